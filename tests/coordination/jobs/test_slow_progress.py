"""Runs whose percentage changes rarely, beside runs that stand still."""

import unittest

from poplarlb.state.jobs import JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import LiveRun
from tests.coordination.jobs.job_world import JobWorld, make_job

WORKERS = 4
LONG_MS = 600_000
JOB = "a" * 16


class SlowProgressTest(unittest.TestCase):
    """Four workers, each with a task that takes minutes."""

    def setUp(self) -> None:
        """Start the workers."""
        self.world = JobWorld(work_ms=LONG_MS)
        self.world.new_owner()
        self.world.add_workers(WORKERS)

    def submit(self, estimate_ms: int, **fields) -> None:
        """Submit a job of one task for each worker, and let the tasks start."""
        size = Resources(7_000, 1_000)
        step = StepSpec(
            WORKERS, size, estimate_ms=estimate_ms, max_per_worker=1, **fields
        )
        self.world.submit(make_job(JOB, step))
        self.world.run(200)
        self.assertEqual(len(self.list_runs()), WORKERS)

    def list_runs(self) -> list[LiveRun]:
        """Return the runs at all workers."""
        workers = self.world.workers.values()
        return [run for worker in workers for run in worker.runs.values()]

    def count_stalls(self) -> int:
        """Return how many runs were stopped without progress."""
        return sum(
            line.event == "run_stopped" and line.fields["reason"] == "no progress"
            for line in self.world.logged
        )

    # A task of 600 s was stopped every 3 s, and never done.
    def test_task_of_ten_minutes_is_done(self) -> None:
        """Its percentage changes each 6 s only."""
        self.submit(LONG_MS)
        self.world.run(LONG_MS + 2_000)
        self.assertEqual(self.count_stalls(), 0)
        self.assertIs(self.world.state(JOB), JobState.DONE)


if __name__ == "__main__":
    unittest.main()
