"""Leases at a worker that restarted under its id, by calls meant for its earlier life.

A new incarnation's clock starts anew, so a lease's end on the earlier clock is far away
there, and the worker shortens it to its limit of 10 s instead of the usual 5 s.
"""

import unittest

from attrs import Factory, define

from poplarlb.coordination.jobs import events
from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import UNANSWERED_MS, JobWorld, make_job

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
STEP = StepSpec(1, Resources(1_000, 1_000), estimate_ms=30_000)
BUSY = "b" * 16
BUSY_STEP = StepSpec(16, Resources(1_000, 1_000), estimate_ms=90_000)
DARK_MS = 800
CUT_MS = 12_000


@define(eq=False)
class RestartWorld(JobWorld):
    """A world in which the first start of ``TASK`` finds its worker crashing.

    The worker is back after ``dark_ms``. With ``late_ms`` that start is carried out so
    much later, by the new incarnation. ``sent`` are the workers and runs of its starts.
    """

    dark_ms: int = DARK_MS
    late_ms: float = 0.0
    lists_restart: bool = False  # the owner reads the new entry at once
    sent: list[tuple[str, int]] = Factory(list)
    restarted: str = ""

    def _call(self, command, owner, action, sent_ms: int) -> None:
        if not isinstance(command, events.StartRun) or command.task != TASK:
            super()._call(command, owner, action, sent_ms)
            return
        self.sent.append((command.worker_id, command.run))
        if self.restarted:
            super()._call(command, owner, action, sent_ms)
            return
        worker = self.workers[command.worker_id]
        self.restarted = worker.worker_id
        worker.crash()
        self.later(self.dark_ms, lambda: worker.restart(worker.incarnation + 1_000))
        listed_ms = self.dark_ms
        if not self.lists_restart:
            listed_ms = max(listed_ms, UNANSWERED_MS + 100)
        self.later(listed_ms, lambda: self.relist(worker.worker_id))
        self._fail_later(command, owner, sent_ms)
        if self.late_ms:
            self.later(self.late_ms, lambda: action(command, worker, sent_ms))

    def cut(self, duration_ms: float) -> None:
        """Cut off the restarted worker, which runs on."""
        name = self.restarted
        self.partitioned.add(name)
        self.later(duration_ms, lambda: self.partitioned.discard(name))


def make_world(busy: bool = True, **fields) -> RestartWorld:
    """Return a world whose workers have run for 20 s; ``busy``: with other tasks."""
    world = RestartWorld(work_ms=90_000, **fields)
    world.new_owner()
    world.add_workers(4)
    world.run(200)
    if busy:
        world.submit(make_job(BUSY, BUSY_STEP))
    world.run(20_000)
    world.submit(make_job(JOB, STEP))
    return world


class LeaseAfterRestartTest(unittest.TestCase):
    """A task isn't started elsewhere while a lease at a new incarnation may last."""

    # Guards against review/3: a repeated start at a new incarnation has a lease of 10 s
    # there, and the owner counted on 5 s.
    def test_repeated_start(self) -> None:
        """The start is repeated after the restart; 1.5 s later the worker is cut."""
        world = make_world()
        world.run(DARK_MS + 1_500)
        self.assertIn(TASK, world.workers[world.restarted].runs_by_task())
        world.cut(CUT_MS)
        world.run(CUT_MS + 5_000)
        self.assertEqual(world.violations, [])

    # Guards against a lease of 10 s by a start that the new incarnation carried out
    # late while it answered.
    def test_late_start_prolongs_the_leases(self) -> None:
        """The first start is carried out 6 s late; 1 s later the worker is cut."""
        world = make_world(late_ms=6_000)
        world.run(7_000)
        self.assertIn(TASK, world.workers[world.restarted].runs_by_task())
        world.cut(CUT_MS)
        world.run(CUT_MS + 5_000)
        self.assertEqual(world.violations, [])

    # Guards against a lease that a late start prolongs behind a cut.
    def test_late_start_behind_a_cut(self) -> None:
        """The worker is cut 2 s before the first start is carried out 5 s late."""
        world = make_world(late_ms=5_000)
        world.run(3_000)
        world.cut(CUT_MS)
        world.run(CUT_MS + 5_000)
        self.assertEqual(world.violations, [])

    # Guards against a start sent again by the former clock although the worker's entry
    # shows the restart.
    def test_no_repeat_once_the_restart_is_listed(self) -> None:
        """The worker's new entry is read before the start is given up."""
        world = make_world(lists_restart=True)
        world.run(3_000)
        self.assertEqual(world.sent.count((world.restarted, 1)), 1)

    # Guards against an unanswered start that is forgotten at the first of two restarts,
    # and then isn't stopped when the second incarnation carries it out.
    def test_unanswered_start_over_two_restarts(self) -> None:
        """The worker restarts again before the first start is carried out late."""
        world = make_world(dark_ms=3_000, late_ms=7_000)
        world.run(5_500)
        worker = world.workers[world.restarted]
        worker.restart(worker.incarnation + 1_000)
        world.relist(worker.worker_id)
        world.run(10_000)
        self.assertEqual(world.violations, [])

    # Guards against a next owner that waits for the usual lease only, while the former
    # one has repeated a start to a new incarnation.
    def test_former_owner_repeats_a_start(self) -> None:
        """It doesn't learn of the takeover, and the next one is cut off the worker."""
        world = make_world(busy=False, dark_ms=880)
        while not world.restarted:
            world.run(20)
        world.workers[world.restarted].clock_rate = 0.98
        others = world.workers.keys() - {world.restarted}
        world.store_up = False
        world.partitioned |= others
        world.new_owner(keep_former=True)
        world.run(940)
        world.store_up = True
        world.partitioned -= others
        self.assertIn(TASK, world.workers[world.restarted].runs_by_task())
        world.cut(14_000)
        world.run(20_000)
        self.assertEqual(world.violations, [])


class GrantedLeaseTest(unittest.TestCase):
    """No lease is granted for longer than usual, however long others may last."""

    def check(self, world: JobWorld) -> None:
        """Check the leases at all workers over the next seconds."""
        for _ in range(100):
            world.run(60)
            for worker in world.workers.values():
                if worker.runs:
                    left_ms = worker.lease_end_ms - worker.clock_ms
                    self.assertLessEqual(left_ms, world.policy.lease_ms)

    # Guards against renewals for 10 s by an owner that was just deposed, while the next
    # one waits 5 s for the renewals and 5 s for the lease.
    def test_after_a_takeover(self) -> None:
        """What an earlier owner may have granted isn't granted again."""
        world = JobWorld(work_ms=90_000)
        world.new_owner()
        world.add_workers(4)
        world.run(200)
        world.submit(make_job(BUSY, BUSY_STEP))
        world.run(5_000)
        world.new_owner()
        self.check(world)

    # Guards against the same while starts to an earlier incarnation may arrive.
    def test_after_a_restart(self) -> None:
        """Nor is what a start by the earlier clock may have granted."""
        world = make_world()
        world.run(2_000)
        worker = world.workers[world.restarted]
        worker.lease_end_ms = worker.clock_ms + world.policy.lease_ms
        self.check(world)


if __name__ == "__main__":
    unittest.main()
