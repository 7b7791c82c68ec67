"""Tests of the division of a job's time by cause."""

import unittest

from poplarlb.coordination.jobs.delays import divide_duration
from poplarlb.state.jobs import Job, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import make_job

SIZE = Resources(1_000, 1_000)


class DivideDurationTest(unittest.TestCase):
    """A job of two steps of two tasks, accepted at 1,000 ms."""

    def setUp(self) -> None:
        """Open the job."""
        first = StepSpec(2, SIZE, estimate_ms=500)
        second = StepSpec(2, SIZE, estimate_ms=400, after=(0,), fills=True)
        self.job = Job(make_job("a" * 16, first, second))
        self.steps = self.job.open_occurrence(0).steps

    def run_task(self, task: tuple[int, int], *times: int) -> None:
        """Set when a task was first placed, last placed and done."""
        item = self.steps[task[0]][task[1]]
        item.first_placed_ms, item.placed_ms, item.done_ms = times

    def test_last_task_of_each_step_counts(self) -> None:
        """The parts add up to the whole time."""
        self.run_task((0, 0), 1_000, 1_000, 1_500)
        self.run_task((0, 1), 1_200, 1_700, 2_400)
        self.run_task((1, 0), 2_400, 2_400, 2_800)
        self.run_task((1, 1), 3_000, 3_000, 4_000)
        self.steps[1][1].throttled_ms = 250.0
        divided = divide_duration(self.job, 3_050, 4_050, 0)
        self.assertEqual(
            divided,
            {
                "waited_for_room": 200,
                "repeated_runs": 500,
                "expected": 900,
                "slow_run": 200 + 350,
                "waited_for_best_effort_room": 600,
                "throttled": 250,
                "other": 50,
            },
        )
        self.assertEqual(sum(divided.values()), 3_050)

    def test_time_before_a_takeover_is_told_apart(self) -> None:
        """The present owner knows nothing of the steps that were done before."""
        self.run_task((0, 0), 0, 0, 0)
        self.run_task((0, 1), 0, 0, 0)
        self.run_task((1, 0), 2_600, 2_600, 3_000)
        divided = divide_duration(self.job, 2_000, 3_000, 2_500)
        self.assertEqual(divided["before_this_owner"], 1_500)
        self.assertEqual(divided["waited_for_best_effort_room"], 100)
        self.assertEqual(sum(divided.values()), 2_000)


if __name__ == "__main__":
    unittest.main()
