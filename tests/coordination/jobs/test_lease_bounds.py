"""Bounds on runs that hold for a worker's known incarnation, or wait too long."""

import unittest
from collections.abc import Callable
from unittest import mock

import attrs
from attrs import Factory, define

from poplarlb.coordination.jobs import events, late_calls
from poplarlb.state.job_records import LeaseRemainder
from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import COMMIT_MS, JobWorld, fail, make_job
from tests.coordination.jobs.test_late_calls import SilentPollWorld, find_overlaps
from tests.coordination.jobs.test_takeover_of_starts import (
    LateStartWorld,
    restart_behind_a_cut,
)

LIST_LATE_CALLS = late_calls.list_late_calls
SIZE = Resources(1_000, 1_000)
STEP = StepSpec(1, SIZE, estimate_ms=60_000)
JOB, OTHER = "a" * 16, "b" * 16
TASK, OTHER_TASK = f"{JOB}.0.0.0", f"{OTHER}.0.0.0"
FORMER_CLOCK_MS = 5_000_000.0
START_ANSWER_MS = 300  # from a worker's answer to a start until it is read
RESET_MS = 20  # until a poll fails on a connection that is reset
LIMIT_MS = 20_000
DARK_MS = 100  # from a crash until the worker is back


@define(eq=False)
class SlowAnswerWorld(JobWorld):
    """A world in which answers to starts are read ``START_ANSWER_MS`` late."""

    def _overtaken_ms(self, command) -> float:
        return START_ANSWER_MS if isinstance(command, events.StartRun) else 0.0


@define(eq=False)
class LateRenewalWorld(JobWorld):
    """A world in which some renewals get no answer and are carried out late.

    Polls of a worker in ``silent`` get no answer and aren't carried out.

    :ivar late_ms: after how long each of the next renewals is carried out.
    :ivar renewed_ms: when each of them was sent.
    """

    late_ms: list[int] = Factory(list)
    renewed_ms: list[float] = Factory(list)
    silent: set[str] = Factory(set)

    def _call(self, command, owner, action, sent_ms: int) -> None:
        is_poll = isinstance(command, events.PollWorker)
        if is_poll and self.late_ms and command.lease_end_ms is not None:
            worker = self.workers[command.worker_id]
            late = attrs.evolve(command, acknowledged_end=None)
            self.renewed_ms.append(self.now_ms)
            self.later(self.late_ms.pop(0), lambda: action(late, worker, sent_ms))
            failed = fail(command, sent_ms)
            self.later(RESET_MS, lambda: self._answer(owner, failed))
        elif is_poll and command.worker_id in self.silent:
            self._fail_later(command, owner, sent_ms)
        else:
            super()._call(command, owner, action, sent_ms)


def run_until(world: JobWorld, done: Callable[[], bool]) -> None:
    """Advance the clock until something is so, for ``LIMIT_MS`` at most."""
    until_ms = world.now_ms + LIMIT_MS
    while not done():
        if world.now_ms > until_ms:
            raise AssertionError("not so in time")
        world.run(20)


@define(eq=False)
class LostStartWorld(SilentPollWorld):
    """A world in which the first start of ``TASK`` finds its worker restarting.

    The next incarnation carries out the second one. It answers no poll.
    """

    lost: bool = False

    def _call(self, command, owner, action, sent_ms: int) -> None:
        is_start = isinstance(command, events.StartRun) and command.task == TASK
        if self.lost or not is_start:
            super()._call(command, owner, action, sent_ms)
            return
        self.lost = True
        worker = self.workers[command.worker_id]
        worker.restart(worker.incarnation + 1_000)
        self._fail_later(command, owner, sent_ms)


def make_world() -> LateRenewalWorld:
    """Return a world in which the only worker runs a task."""
    world = LateRenewalWorld(work_ms=60_000)
    world.new_owner()
    world.add_workers(1, clock_ms=FORMER_CLOCK_MS)
    world.run(200)
    world.submit(make_job(JOB, STEP))
    run_until(world, lambda: TASK in world.running())
    world.run(2_000)
    return world


class LeaseBoundTest(unittest.TestCase):
    """A task isn't started elsewhere while a lease of its run lasts, and soon after."""

    # Guards against runs that wait for a lost worker by the sum of how late the answers
    # to all its starts were read (LOST).
    def test_slow_answers_to_many_starts(self) -> None:
        """A worker is cut off 1 s after it has started 1 task, or 15."""
        waits_ms = {}
        for count in (1, 15):
            world = SlowAnswerWorld(work_ms=60_000)
            world.new_owner()
            world.add_workers(1)
            world.submit(make_job(OTHER, STEP))
            world.run(15_000)
            world.submit(make_job(JOB, attrs.evolve(STEP, count=count)))
            world.run(1_000)
            self.assertEqual(len(world.running()), count + 1)
            world.partitioned.add("w0")
            cut_ms = world.now_ms
            runs = world.owner.state.workers["w0"].runs
            run_until(world, lambda runs=runs: not runs)
            waits_ms[count] = world.now_ms - cut_ms
        self.assertLessEqual(waits_ms[15], waits_ms[1] + START_ANSWER_MS)

    # Guards against late renewals that the owner has forgotten with a worker whose
    # entry was removed, and which is back under its id (TWICE).
    def test_late_renewal_after_the_entry_was_removed(self) -> None:
        """The next incarnation runs the task again, carries one out, and is cut off."""
        world = make_world()
        worker = world.workers["w0"]
        world.late_ms = [12_000]
        run_until(world, lambda: world.renewed_ms)
        worker.crash()
        world.run(4_500)
        world.unlist("w0")
        runs = world.owner.state.workers["w0"].runs
        run_until(world, lambda: not runs)
        world.run(100)
        worker.restart(worker.incarnation + 1_000)
        world.relist("w0")
        run_until(world, lambda: TASK in world.running())
        world.run(world.renewed_ms[0] + 11_500 - world.now_ms)
        world.partitioned.add("w0")
        world.add_workers(1)
        world.run(20_000)
        self.assertEqual(find_overlaps(world), [])
        self.assertEqual(world.running().get(TASK), "w1")

    # Guards against a second late renewal, which prolongs a lease that a first one has
    # prolonged after the worker was cut off (TWICE).
    def test_two_late_renewals_in_a_row(self) -> None:
        """Both were sent to the former incarnation, whose clock was ahead."""
        world = make_world()
        worker = world.workers["w0"]
        world.late_ms = [5_000, 12_000]
        run_until(world, lambda: len(world.renewed_ms) == 2)
        worker.crash()
        world.run(DARK_MS)
        worker.restart(worker.incarnation + 1_000)
        world.relist("w0")
        run_until(world, lambda: TASK in world.running())
        world.run(40)
        world.partitioned.add("w0")
        world.add_workers(1)
        world.run(25_000)
        self.assertEqual(find_overlaps(world), [])
        self.assertEqual(world.running().get(TASK), "w1")

    # Guards against a late renewal of the former owner at an incarnation that no owner
    # knows and whose clock is like that of the one before (TWICE).
    def test_late_renewal_of_the_former_owner(self) -> None:
        """The worker restarts at the takeover, and again before it gets a start."""
        world = make_world()
        worker = world.workers["w0"]
        world.late_ms = [9_700]
        run_until(world, lambda: world.renewed_ms)
        worker.restart(worker.incarnation + 1_000)
        world.relist("w0")
        world.new_owner()
        world.run(world.renewed_ms[0] + 9_400 - world.now_ms)
        self.assertEqual(world.running().get(TASK), "w0")
        world.silent.add("w0")
        world.run(100)
        worker.restart(worker.incarnation + 1_000, worker.clock_ms + 1_000)
        world.run(240)
        world.submit(make_job(OTHER, STEP))
        run_until(world, lambda: OTHER_TASK in world.running())
        world.run(20)
        world.partitioned.add("w0")
        world.add_workers(1)
        world.run(20_000)
        self.assertEqual(find_overlaps(world), [])
        self.assertEqual(world.running().get(OTHER_TASK), "w1")

    # Guards against a start that a worker carries out late, whose entry expired while
    # the store was down and is back 1.5 s after the store (TWICE).
    def test_late_start_at_a_worker_whose_entry_expired(self) -> None:
        """The worker has restarted, and is cut off from the owner alone."""
        world = LateStartWorld(work_ms=60_000, late_task=TASK)
        world.new_owner()
        world.add_workers(1)
        world.run(20_000)
        world.submit(make_job(JOB, STEP))
        while not world.sent_ms:
            world.run(20)
        world.late_task = ""  # the start that is sent again is answered
        world.run(1_500)
        self.assertEqual(world.running().get(TASK), "w0")
        world.partitioned.add("w0")
        world.run(100)
        restart_behind_a_cut(world)
        world.run(500)
        world.store_up = False
        world.run(6_000)
        world.store_up = True
        world.unlist("w0")
        world.add_workers(1)
        world.run(1_500)
        world.relist("w0")
        world.run(40_000)
        self.assertEqual(find_overlaps(world), [])
        self.assertIn(TASK, world.running())


class TakeoverTest(unittest.TestCase):
    """What the next owner does by the records of the last one."""

    # Guards against an answer of an unknown incarnation that the record leaves out, as
    # an earlier start of the run got none (TWICE).
    def test_start_answered_when_sent_again(self) -> None:
        """The worker's entry is removed, and 4 s later the owner dies."""
        world = LostStartWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(1)
        world.submit(make_job(OTHER, STEP))
        world.run(20_000)
        world.silent.add("w0")
        world.run(100)
        world.submit(make_job(JOB, STEP))
        world.run(1_500)
        self.assertIn(TASK, world.running())
        world.partitioned.add("w0")
        world.unlist("w0")
        world.run(4_000)
        world.new_owner()
        world.add_workers(1)
        world.run(20_000)
        self.assertEqual(find_overlaps(world), [])
        self.assertEqual(world.running().get(TASK), "w1")

    # Guards against a start that is given up and placed again with each commit, at a
    # worker that the record names although no task is placed there.
    def test_recorded_worker_without_tasks(self) -> None:
        """A job is submitted as the next owner begins."""
        world = JobWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(1)
        world.run(200)
        world.lease_remainders = (LeaseRemainder("w0", 2_000),)
        world.new_owner()
        world.submit(make_job(JOB, STEP))
        world.run(1_000)
        self.assertEqual(world.running().get(TASK), "w0")
        given_up = [
            note
            for note in world.logged_events("task_waits")
            if note.fields["reason"] == "worker is stored as unresponsive"
        ]
        self.assertLessEqual(len(given_up), 1)

    # Guards against an owner that has no time left, as it lists the late calls of all
    # workers with each event (2.3 s of processor time in 2 s with 2,000 such runs).
    def test_late_calls_are_listed_rarely(self) -> None:
        """All runs were started just before the takeover; the record is due once."""
        count, seconds = 200, 1
        world = JobWorld(work_ms=600_000, poll_limit_ms=1_000)
        world.new_owner()
        world.add_workers(count // 10)
        world.run(300)
        world.submit(make_job(JOB, attrs.evolve(STEP, count=count)))
        run_until(world, lambda: len(world.running()) == count)
        world.new_owner()
        world.run(600)
        listed = []

        def list_late_calls(*args):
            found = tuple(LIST_LATE_CALLS(*args))
            listed.extend(found)
            return found

        with mock.patch.object(late_calls, "list_late_calls", list_late_calls):
            world.run(seconds * 1_000)
        self.assertLessEqual(len(listed), 20 * seconds * count)

    # Guards against a wait that a second takeover shortens: the first of the former
    # owners may still send a start again (TWICE).
    def test_second_takeover(self) -> None:
        """It comes once the second owner has made its first commit."""
        world = LateStartWorld(work_ms=60_000, late_task=TASK)
        world.new_owner()
        world.add_workers(1)
        world.run(20_000)
        world.submit(make_job(JOB, STEP))
        while not world.sent_ms:
            world.run(20)
        restart_behind_a_cut(world)
        waits_until_ms = []
        for _ in range(2):
            world.new_owner()
            worker = world.owner.state.workers["w0"]
            run = next(iter(worker.runs.values()))
            now_ms = int(world.now_ms)
            waits_until_ms.append(
                now_ms + worker.restarted_run_ms(run, world.policy, now_ms)
            )
            world.run(10 * COMMIT_MS)
        self.assertGreaterEqual(waits_until_ms[1], waits_until_ms[0])


if __name__ == "__main__":
    unittest.main()
