"""Crashes that are released without being counted."""

import unittest

from poplarlb.state import job_records
from poplarlb.state.jobs import Job, JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import FakeWorker
from tests.coordination.jobs.job_world import JobWorld, make_job

DEADLY = "d" * 16
STEP = StepSpec(1, Resources(4_000, 1_000), estimate_ms=500)
MAX_STARTS = 5  # two more after three crashes


def make_world(workers: int) -> JobWorld:
    """Return a world with an owner, workers and the deadly job."""
    world = JobWorld(work_ms=60_000)
    world.new_owner()
    world.add_workers(workers)
    world.run(200)
    world.submit(make_job(DEADLY, STEP))
    return world


def crash_under(world: JobWorld) -> FakeWorker | None:
    """Crash the worker of the deadly task; None if no worker starts it."""
    for _ in range(1_000):
        world.run(20)
        for worker in world.workers.values():
            if worker.alive and worker.runs:
                worker.alive = False
                worker.runs.clear()
                return worker
    return None


def release(world: JobWorld, worker: FakeWorker) -> None:
    """Run until the owner has released the runs of a crashed worker."""
    state = world.owner.state
    while worker.worker_id in state.workers and state.workers[worker.worker_id].runs:
        world.run(20)


def count_crashes(world: JobWorld) -> int:
    """Return the number of crashes in the task's stored record."""
    job = Job(world.jobs[DEADLY])
    job_records.restore_progress(job, world.records[DEADLY])
    return len(job.find_task(0, 0, 0).crashed_runs)


class UncountedCrashTest(unittest.TestCase):
    """Every crash under a task is in its record once the task runs again."""

    # Guards against crashes that are lost with the owner, who alone knows them.
    def test_takeover_while_crashed_worker_is_listed(self) -> None:
        """Seven workers would crash, each listed until its leases are over."""
        world = make_world(12)
        for _ in range(7):
            worker = crash_under(world)
            if worker is None:
                break
            release(world, worker)
            world.run(200)
            world.new_owner()
            world.unlist(worker.worker_id)
        self.assertLessEqual(world.starts[f"{DEADLY}.0.0.0"], MAX_STARTS)
        self.assertIs(world.state(DEADLY), JobState.FAILED)

    # Guards against a crash that is dropped when its worker first answers a new owner.
    def test_worker_returns_after_takeover_and_leases(self) -> None:
        """A worker crashes, another daemon takes over, and the worker returns late."""
        world = make_world(6)
        worker = crash_under(world)
        world.run(2_500)
        world.new_owner()
        release(world, worker)
        worker.restart(worker.incarnation + 1_000)
        world.relist(worker.worker_id)
        world.run(2_000)
        self.assertEqual(count_crashes(world), 1)


if __name__ == "__main__":
    unittest.main()
