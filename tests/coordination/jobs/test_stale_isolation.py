"""Isolated runs that go on over a takeover."""

import unittest

from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import FakeWorker
from tests.coordination.jobs.job_world import JobWorld, make_job

FIRST, DEADLY = "a" * 16, "d" * 16
STEP = StepSpec(1, Resources(4_000, 1_000), estimate_ms=500)


class StaleIsolationTest(unittest.TestCase):
    """A run that gets neighbours isn't isolated any more."""

    def start(self, world: JobWorld, job_id: str, starts: int) -> FakeWorker:
        """Run until a job's task was started so often; return its worker."""
        while world.starts[f"{job_id}.0.0.0"] < starts:
            world.run(20)
        return next(
            worker
            for worker in world.workers.values()
            if worker.alive and any(task.startswith(job_id) for task, _ in worker.runs)
        )

    def crash(self, world: JobWorld, worker: FakeWorker) -> None:
        """Crash a worker and remove its entry later."""
        worker.alive = False
        worker.runs.clear()
        world.later(3_000, lambda: world.unlist(worker.worker_id))

    # Guards against a crash that counts against a settled run and not its neighbour.
    def test_crash_beside_a_run_that_was_isolated(self) -> None:
        """The new owner places a deadly task beside a run isolated by the last one."""
        world = JobWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(2)
        world.run(200)
        world.submit(make_job(FIRST, STEP))
        self.crash(world, self.start(world, FIRST, 1))
        self.start(world, FIRST, 2)
        world.run(20)
        world.new_owner()
        world.run(10_000)
        world.submit(make_job(DEADLY, STEP))
        self.crash(world, self.start(world, DEADLY, 1))
        world.run(13_000)
        task = world.owner.state.jobs[DEADLY].find_task(0, 0, 0)
        self.assertEqual(len(task.crashed_runs), 1)


if __name__ == "__main__":
    unittest.main()
