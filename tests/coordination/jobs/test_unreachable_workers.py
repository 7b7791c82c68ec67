"""Suspects at workers that are cut off and don't crash."""

import unittest

from poplarlb.state.jobs import JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import JobWorld, make_job

JOB = "a" * 16
STEP = StepSpec(1, Resources(4_000, 1_000), estimate_ms=500)
ENTRY_MS = 3_000  # from a cut until a worker's entry is removed
CUT_MS = 25_000


class UnreachableWorkerTest(unittest.TestCase):
    """A job isn't given up unless workers have crashed under it."""

    def cut(self, world: JobWorld, crashes: bool) -> None:
        """Cut off the task's worker just after the start, or crash it."""
        for _ in range(1_000):
            world.run(20)
            worker = next(
                (w for w in world.workers.values() if w.alive and w.runs), None
            )
            if worker is not None:
                break
        self.assertIsNotNone(worker)
        world.run(60)  # the start is answered
        name = worker.worker_id
        if crashes:
            worker.alive = False
            worker.runs.clear()
        else:
            world.partitioned.add(name)
            world.later(CUT_MS, lambda: world.partitioned.discard(name))
            world.later(CUT_MS, lambda: world.relist(name))
        world.later(ENTRY_MS, lambda: world.unlist(name))
        world.run(9_000)

    def play(self, *crashes: bool) -> JobWorld:
        """Return a world after cuts or crashes in turn, and a recovery."""
        world = JobWorld(work_ms=8_000)
        world.new_owner()
        world.add_workers(6)
        world.run(200)
        world.submit(make_job(JOB, STEP))
        for crashed in crashes:
            self.cut(world, crashed)
        world.run(30_000)
        return world

    # Guards against a job that is given up though no worker has crashed under it.
    def test_two_cuts(self) -> None:
        """Two workers are cut off in turn, and both are back after 25 s."""
        self.assertIs(self.play(False, False).state(JOB), JobState.DONE)

    # Guards against a job that is given up after a single crash.
    def test_a_crash_and_a_cut(self) -> None:
        """One worker crashes, the next one is cut off and back after 25 s."""
        self.assertIs(self.play(True, False).state(JOB), JobState.DONE)


if __name__ == "__main__":
    unittest.main()
