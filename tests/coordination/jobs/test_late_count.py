"""Crashes that are counted after the task has been started again."""

import unittest

from poplarlb.state.jobs import JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import JobWorld, make_job

DEADLY = "d" * 16
GANG = StepSpec(1, Resources(4_000, 1_000), estimate_ms=500, gang=True)
UNLISTED_MS = 7_000  # from a crash until the worker's entry is removed
MAX_STARTS = 5  # two more after three crashes


class LateCountTest(unittest.TestCase):
    """A task isn't started while a crash under it is yet to be counted."""

    # Guards against a sixth start before the fifth crash is counted.
    def test_entries_outlast_the_leases(self) -> None:
        """Each worker that starts the task crashes, and is listed for 7 s more."""
        world = JobWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(10)
        world.run(15_000)
        world.submit(make_job(DEADLY, GANG))
        for _ in range(5_000):
            world.run(20)
            for worker in world.workers.values():
                if worker.alive and worker.runs:
                    worker.alive = False
                    worker.runs.clear()
                    name = worker.worker_id
                    world.later(UNLISTED_MS, lambda name=name: world.unlist(name))
        self.assertIs(world.state(DEADLY), JobState.FAILED)
        self.assertLessEqual(world.starts[f"{DEADLY}.0.0.0"], MAX_STARTS)


if __name__ == "__main__":
    unittest.main()
