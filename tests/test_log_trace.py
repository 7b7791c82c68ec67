"""Tests of the timeline of a job that is reconstructed from logs."""

import json
import unittest

from poplarlb.log_trace import read_lines, trace_job

ID = "0123456789abcdef"


def line(utc_ms: int, event: str, **fields) -> str:
    """Return a log line with the prefix that a log collector adds."""
    row = {"utc_ms": utc_ms, "daemon": "d1", "event": event, **fields}
    return f"  12.5 d1 {json.dumps(row)}\n"


class LogTraceTest(unittest.TestCase):
    """Logs of one or more daemons."""

    def test_refusal_while_the_store_was_down(self) -> None:
        """A refused submission is traced to the outage, across two logs."""
        first = [line(900, "store_lost", error="reset")]
        second = [
            line(1_000, "request_refused", path=f"/o/{ID}", status=503, error=""),
            "no JSON at all\n",
        ]
        trace = trace_job(read_lines([second, first]), ID)
        self.assertIn("refused 1 times with 503: the store was down", trace.causes)
        self.assertIn("store_lost", trace.text())

    def test_late_job_that_ran_again(self) -> None:
        """The causes of a late job name its objective and what its runs met."""
        final = line(
            9_000,
            "job_final",
            job=ID,
            state="done",
            reason="every task is done",
            took_ms=8_000,
            objective_ms=3_000,
            trail=["20 ms task_placed 0.0.0 run 1 w1", "900 ms run_ended w1 failed "],
        )
        logs = [
            line(1_000, "job_begun", job=ID, waited_ms=1_200),
            line(2_000, "ownership_claimed", epoch=4),
            line(2_500, "job_begun", job="f" * 16, waited_ms=3),
            final,
        ]
        trace = trace_job(read_lines([logs]), ID)
        self.assertEqual(
            trace.causes,
            [
                "late: 8000 ms of 3000 ms",
                "waited 1200 ms for free capacity",
                "1 runs that failed",
                "1 takeovers of ownership meanwhile",
            ],
        )
        self.assertNotIn("f" * 16, trace.text())

    def test_job_in_no_log(self) -> None:
        """The trace of a job without log lines says that there are none."""
        self.assertIn("nothing in these logs", trace_job([], ID).text())


if __name__ == "__main__":
    unittest.main()
