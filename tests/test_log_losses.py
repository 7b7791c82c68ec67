"""Tests of the summary of what late jobs lost their time to."""

import unittest

from poplarlb.log_losses import losses_text, sum_losses


def final(job: str, took_ms: int, **delays_ms: int) -> dict:
    """Return the event of a job's end; its objective is 1 s."""
    return {
        "event": "job_final",
        "job": job,
        "queue": "q",
        "state": "done",
        "took_ms": took_ms,
        "objective_ms": 1_000,
        "delays_ms": delays_ms,
    }


class LogLossesTest(unittest.TestCase):
    """Events of a few jobs."""

    def test_time_beyond_the_objective_is_divided_by_cause(self) -> None:
        """The parts add up to the time beyond the objectives of the late jobs."""
        rows = [
            final("a", 900, expected=900),
            final("b", 3_000, expected=1_000, waited_for_room=1_500, slow_run=500),
            final("b", 3_000, expected=1_000, waited_for_room=1_500, slow_run=500),
            final("c", 5_000),
        ]
        queues, _ = sum_losses(rows)
        queue = queues["q"]
        self.assertEqual((queue.jobs, queue.late, queue.worthless), (3, 2, 1))
        self.assertEqual(
            queue.late_ms, {"waited_for_room": 1_500, "slow_run": 500, "unknown": 4_000}
        )

    def test_serving_runs_and_text(self) -> None:
        """The text names queues, causes and the share of serving runs over target."""
        rows = [
            final("b", 3_000, expected=1_000, throttled=2_000),
            {"event": "load", "serving_runs": 200, "over_target_runs": 10},
            {"event": "job_not_accepted", "queue": "q"},
        ]
        text = losses_text(*sum_losses(rows))
        self.assertIn("1 late", text)
        self.assertIn("1 refused", text)
        self.assertIn("100%  throttled", text)
        self.assertIn("5.0% of the listed", text)
        self.assertEqual(losses_text(*sum_losses([])), "no ended jobs in these logs")


if __name__ == "__main__":
    unittest.main()
