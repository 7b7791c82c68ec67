"""Jobs whose tasks fail wherever they are started."""

import unittest

from poplarlb.state.jobs import JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import JobWorld, list_tasks, make_job

WORKERS = 12
SIZE = Resources(1_000, 1_000)
FAILING, GANG = "a" * 16, "b" * 16


class FailingJobTest(unittest.TestCase):
    """A job that fails everywhere isn't its workers' fault."""

    # Guards against review/10: one failing service that keeps most workers paused, so
    # that wide gangs never find enough of them.
    def test_gang_beside_a_failing_service(self) -> None:
        """A lasting job fails at all workers; a gang needs ten of the twelve."""
        world = JobWorld(work_ms=400)
        world.new_owner()
        world.add_workers(WORKERS)
        world.run(200)
        spec = StepSpec(WORKERS, SIZE, long_running=True, max_per_worker=1)
        failing = make_job(FAILING, spec)
        world.failing.update(list_tasks(failing))
        world.submit(failing)
        world.run(20_000)
        gang = StepSpec(10, SIZE, estimate_ms=400, gang=True, max_per_worker=1)
        world.submit(make_job(GANG, gang))
        world.run(4_000)
        self.assertIs(world.state(GANG), JobState.DONE)


if __name__ == "__main__":
    unittest.main()
