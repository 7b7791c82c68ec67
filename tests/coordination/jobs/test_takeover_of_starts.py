"""What the next owner is told of starts whose runs no poll has listed yet."""

import unittest

from attrs import Factory, define

from poplarlb.coordination.jobs import events
from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import JobWorld, make_job
from tests.coordination.jobs.test_late_calls import SilentPollWorld, find_overlaps

SIZE = Resources(2_000, 1_000)
STEP = StepSpec(1, SIZE, estimate_ms=60_000)
JOB, OTHER = "a" * 16, "b" * 16
TASK, OTHER_TASK = f"{JOB}.0.0.0", f"{OTHER}.0.0.0"
LATE_MS = 12_000  # after it was sent a start is carried out


@define(eq=False)
class LateStartWorld(JobWorld):
    """A world in which starts of one task get no answer and are carried out late.

    ``sent_ms`` is when each of them was sent.
    """

    late_task: str = ""
    sent_ms: list[int] = Factory(list)

    def _call(self, command, owner, action, sent_ms: int) -> None:
        late = isinstance(command, events.StartRun) and command.task == self.late_task
        if not late or command.worker_id != "w0":
            super()._call(command, owner, action, sent_ms)
            return
        self.sent_ms.append(sent_ms)
        worker = self.workers[command.worker_id]
        self.later(LATE_MS, lambda: action(command, worker, sent_ms))
        self._fail_later(command, owner, sent_ms)


def restart_behind_a_cut(world: JobWorld) -> None:
    """Restart a worker under its id, cut off from all owners; its entry is read."""
    worker = world.workers["w0"]
    world.partitioned.add("w0")
    worker.restart(worker.incarnation + 1_000)
    world.relist("w0")


class TakeoverOfStartsTest(unittest.TestCase):
    """The next owner waits for each run as long as the run may be alive."""

    # Guards against a start whose answer is awaited when the owner dies, and which the
    # worker's next incarnation carries out after the next owner gave its run up.
    def test_start_in_flight(self) -> None:
        """The owner dies just after the start was sent."""
        world = LateStartWorld(work_ms=60_000, late_task=TASK)
        world.new_owner()
        world.add_workers(1)
        world.run(20_000)
        world.submit(make_job(JOB, STEP))
        while not world.sent_ms:
            world.run(20)
        restart_behind_a_cut(world)
        world.new_owner()
        world.add_workers(1)
        world.run(40_000)
        self.assertEqual(find_overlaps(world), [])
        self.assertIn(TASK, world.running())

    # Guards against the same with a start that the former owner sends again after the
    # takeover.
    def test_start_sent_again_by_the_former_owner(self) -> None:
        """It hasn't learned of the takeover, and its view of the store is fresh."""
        world = LateStartWorld(work_ms=60_000, late_task=TASK)
        world.new_owner()
        world.add_workers(1)
        world.run(20_000)
        world.submit(make_job(JOB, STEP))
        while not world.sent_ms:
            world.run(20)
        world.run(860)
        world.store_up = False
        world.partitioned.add("w0")
        world.new_owner(keep_former=True)
        world.run(100)
        self.assertEqual(len(world.sent_ms), 2)
        world.former_owners.clear()
        world.store_up = True
        restart_behind_a_cut(world)
        world.add_workers(1)
        world.run(40_000)
        self.assertEqual(find_overlaps(world), [])
        self.assertIn(TASK, world.running())

    # Guards against a lease at an incarnation that the former owner didn't know either,
    # of which no record tells the next one.
    def test_answered_start(self) -> None:
        """The worker is cut off after its answer; 4 s later the owner dies."""
        world = SilentPollWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(1)
        world.run(20_000)
        worker = world.workers["w0"]
        world.silent.add("w0")
        worker.restart(worker.incarnation + 1_000)
        world.submit(make_job(JOB, STEP))
        world.run(200)
        self.assertEqual(len(worker.runs), 1)
        world.partitioned.add("w0")
        world.run(4_000)
        world.new_owner()
        world.add_workers(1)
        world.run(20_000)
        self.assertEqual(find_overlaps(world), [])
        self.assertEqual(len(world.workers["w1"].runs), 1)

    # Guards against runs that wait as long as another one of their worker, whose start
    # got no answer (LOST after a zone and then all daemons have lost power).
    def test_other_runs_wait_for_their_lease_alone(self) -> None:
        """A run that polls have listed is started elsewhere once its lease is over."""
        world = LateStartWorld(work_ms=60_000, late_task=OTHER_TASK)
        world.new_owner()
        world.add_workers(1)
        world.run(1_000)
        world.submit(make_job(JOB, STEP))
        world.run(5_000)
        self.assertIn(TASK, world.running())
        world.submit(make_job(OTHER, STEP))
        while not world.sent_ms:
            world.run(20)
        world.partitioned.add("w0")
        world.workers["w0"].crash()
        world.add_workers(1)
        world.run(3_000)
        world.new_owner()
        world.run(world.policy.max_duration_ms(world.policy.lease_ms))
        self.assertEqual(world.running().get(TASK), "w1")


if __name__ == "__main__":
    unittest.main()
