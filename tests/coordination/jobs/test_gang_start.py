"""Gangs of which a member can't be started after all."""

import unittest
from unittest import mock

from attrs import Factory, define

from poplarlb.coordination.jobs import events
from poplarlb.state.jobs import JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import FakeWorker
from tests.coordination.jobs.job_world import JobWorld, make_job

GANG = "a" * 16
SIZE = Resources(8_000, 1_000)
SMALL = Resources(4_000, 64_000)


@define(eq=False)
class RecordingWorld(JobWorld):
    """A world that records the checkpoints of starts, by run."""

    checkpoints: dict[int, set[str]] = Factory(dict)

    def _call(self, command, owner, action, sent_ms: int) -> None:
        if isinstance(command, events.StartRun):
            self.checkpoints.setdefault(command.run, set()).add(command.checkpoint)
        super()._call(command, owner, action, sent_ms)


class GangStartTest(unittest.TestCase):
    """A gang's members are started together or not at all."""

    # Guards against a member that waits alone, as another one's worker has shrunk.
    def test_worker_shrinks_before_the_start(self) -> None:
        """One of two workers shrinks between the placement and the start."""
        world = JobWorld()
        world.new_owner()
        world.add_workers(2, capacity=Resources(8_000, 64_000))
        world.run(200)
        world.submit(make_job(GANG, StepSpec(2, SIZE, estimate_ms=500, gang=True)))
        while not any(worker.runs for worker in world.owner.state.workers.values()):
            world.run(20)
        self.assertEqual(sum(world.starts.values()), 0)
        worker = world.workers["w1"]
        worker.capacity = SMALL
        world.relist("w1")
        world.run(1_000)
        self.assertEqual(dict(world.starts), {})

    # Guards against review/8: a gang for one rack that waits for good, as no rack holds
    # it since a worker was lost.
    def test_gang_that_fits_in_no_rack(self) -> None:
        """It runs in two racks; one that fits in a rack runs there."""
        world = JobWorld(work_ms=500)
        world.new_owner()
        world.add_workers(2, rack="r1")
        world.add_workers(3, rack="r2")
        world.run(200)
        size = Resources(9_000, 1_000)
        for count, job_id in ((3, GANG), (4, "b" * 16)):
            spec = StepSpec(count, size, estimate_ms=500, gang=True, same_rack=True)
            world.submit(make_job(job_id, spec))
            world.run(300)
            racks = {world.workers[name].rack for name in world.running().values()}
            self.assertEqual(racks, {"r2"} if count == 3 else set())
            world.run(3_000)
            self.assertIs(world.state(job_id), JobState.DONE)

    # Guards against members that carry different checkpoints; by the pages, any one is
    # valid for the gang, and all must carry the same.
    def test_members_resume_from_one_checkpoint(self) -> None:
        """The workers of all members restart at once, so none lists its run's end."""

        def save(worker: FakeWorker, run) -> str:
            return f"{worker.worker_id} {run.percent}"

        world = RecordingWorld(work_ms=30_000)
        world.new_owner()
        world.add_workers(2, capacity=Resources(8_000, 64_000))
        world.run(200)
        spec = StepSpec(2, SIZE, estimate_ms=8_000, checkpoints=True, gang=True)
        with mock.patch.object(FakeWorker, "checkpoint", save):
            world.submit(make_job(GANG, spec))
            world.run(8_000)
            for worker in world.workers.values():
                worker.restart(worker.incarnation + 1_000)
                world.relist(worker.worker_id)
            world.run(6_000)
        self.assertIn(2, world.checkpoints)
        self.assertEqual(len(world.checkpoints[2]), 1)


if __name__ == "__main__":
    unittest.main()
