"""Workers whose capacity shrinks and grows while they run tasks."""

import itertools
import unittest
from collections import Counter
from unittest import mock

import attrs
from attrs import Factory, define

from poplarlb.coordination.jobs import events
from poplarlb.state.jobs import JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs import fake_worker, job_world
from tests.coordination.jobs.job_world import HEARTBEAT_MS, JobWorld, make_job

FULL = Resources(16_000, 64_000)
HALF = Resources(8_000, 64_000)
QUARTER = Resources(4_000, 1_000)
STEP = StepSpec(1, QUARTER, estimate_ms=500)
FILLING_STEP = attrs.evolve(STEP, fills=True)
LONGEST_VIEW_LAG_MS = 1_400
LONG_COMMIT_MS = 1_460
CUT_MS, LATE_START_MS = 6_000, 4_800  # late, but within the lease of 5 s
SLOW_STOP_MS = 600
TIME_LIMIT_MS = 60_000  # until all jobs of a scenario are done
USED_WITHIN_MS = 500  # from the time at which the owner hears of a grown capacity


def job_id(number: int) -> str:
    """Return a job's id."""
    return f"{number:016x}"


@define(eq=False)
class CapacityWorld(JobWorld):
    """A world with one worker whose capacity changes.

    The first ``lost_sends`` sends of each start don't reach the worker; if ``late_ms``
    isn't 0, the first of them reaches it that much later.
    """

    lost_sends: int = 0
    late_ms: int = 0
    sends: Counter = Factory(Counter)  # by task and run

    def _call(self, command, owner, action, sent_ms: int) -> None:
        if isinstance(command, events.StartRun):
            key = (command.task, command.run)
            self.sends[key] += 1
            if self.sends[key] <= self.lost_sends:
                self._fail_later(command, owner, sent_ms)
                if self.late_ms and self.sends[key] == 1:
                    worker = self.workers["w0"]
                    self.later(self.late_ms, lambda: action(command, worker, sent_ms))
                return
        super()._call(command, owner, action, sent_ms)

    def start(self) -> None:
        """Add an owner and the worker."""
        self.new_owner()
        self.add_workers(1)
        self.run(200)

    def submit_tasks(self, first: int, count: int, step: StepSpec = STEP) -> None:
        """Submit jobs of one task each."""
        for number in range(first, first + count):
            self.submit(make_job(job_id(number), step))

    def set_capacity(self, capacity: Resources, unwritten_ms: float = 0) -> None:
        """Change the capacity of the worker."""
        self.resize("w0", capacity, unwritten_ms)

    def count_running(self) -> int:
        """Return the number of runs at the worker."""
        return len(self.workers["w0"].runs)


class CapacityChangeTest(unittest.TestCase):
    """Starts obey the capacity that the worker has written."""

    def check_done(self, world: CapacityWorld) -> None:
        """Run on; check that all jobs are done, without further starts."""
        until_ms = world.now_ms + TIME_LIMIT_MS
        while world.now_ms < until_ms and not self.are_done(world):
            world.run(200)
        self.assertEqual(world.violations, [])
        self.assertTrue(self.are_done(world))
        self.assertEqual(set(world.starts.values()), {1})

    def are_done(self, world: CapacityWorld) -> bool:
        """Return whether every job is done or cancelled."""
        return all(
            world.state(item) is JobState.DONE or item in world.cancels
            for item in world.jobs
        )

    # Guards against starts by the capacity that a worker had when it was first listed.
    def test_idle_worker_shrinks(self) -> None:
        """Later it gets what fits in the smaller capacity."""
        world = CapacityWorld(work_ms=2_000)
        world.start()
        world.set_capacity(HALF)
        world.run(5_000)
        world.submit_tasks(0, 6)
        world.run(200)
        self.assertEqual(world.count_running(), 2)
        self.check_done(world)

    # Guards against a stop of what runs already, and against starts beside it.
    def test_busy_worker_shrinks(self) -> None:
        """Its runs go on above its capacity; the others wait until there is room."""
        for step in (STEP, FILLING_STEP):
            with self.subTest(fills=step.fills):
                world = CapacityWorld(work_ms=9_000)
                world.start()
                world.submit_tasks(0, 4)
                world.run(200)
                self.assertEqual(world.count_running(), 4)
                world.set_capacity(HALF)
                world.submit_tasks(4, 2, step)
                world.run(7_000)
                self.assertEqual(world.count_running(), 4)
                self.check_done(world)

    # Guards against starts in memory that a worker no longer has.
    def test_memory_shrinks(self) -> None:
        """Tasks that need little of the processors are held back as well."""
        world = CapacityWorld(work_ms=9_000)
        world.start()
        world.submit_tasks(0, 2)
        world.run(200)
        world.set_capacity(Resources(16_000, 1_500))
        world.run(5_000)
        world.submit_tasks(2, 2, FILLING_STEP)
        world.run(1_000)
        self.assertEqual(world.count_running(), 2)
        self.check_done(world)

    # Guards against room that stays unused after it has grown.
    def test_worker_grows(self) -> None:
        """Waiting tasks start soon after the owner has heard of it."""
        for lag_ms in (0, LONGEST_VIEW_LAG_MS):
            with self.subTest(lag_ms=lag_ms):
                world = CapacityWorld(work_ms=9_000, view_lag_ms=lag_ms)
                world.start()
                world.set_capacity(HALF)
                world.run(5_000)
                world.submit_tasks(0, 4)
                world.run(1_000)
                self.assertEqual(world.count_running(), 2)
                world.set_capacity(FULL)
                world.run(lag_ms + USED_WITHIN_MS)
                self.assertEqual(world.count_running(), 4)
                self.check_done(world)

    # Guards against room that is counted as free while its run is being stopped.
    def test_stopped_runs_count(self) -> None:
        """The tasks of a cancelled job hold the smaller capacity until they end."""
        for takes_over in (False, True):
            with (
                self.subTest(takes_over=takes_over),
                mock.patch.object(fake_worker, "STOP_MS", SLOW_STOP_MS),
            ):
                world = CapacityWorld(work_ms=9_000)
                world.start()
                world.submit_tasks(0, 4)
                world.run(200)
                world.set_capacity(HALF)
                world.run(6_000)
                world.submit_tasks(4, 2)
                for number in (0, 1, 2):
                    world.cancel(job_id(number))
                world.run(100)
                if takes_over:
                    world.new_owner()
                world.run(SLOW_STOP_MS - 200)
                self.assertEqual(world.count_running(), 4)
                world.run(1_000)
                self.assertEqual(world.count_running(), 2)
                self.check_done(world)

    # Guards against an owner that doesn't know of runs above the capacity.
    def test_next_owner_starts_nothing_above_the_capacity(self) -> None:
        """It inherits runs that exceed what the worker has written."""
        world = CapacityWorld(work_ms=9_000)
        world.start()
        world.submit_tasks(0, 4)
        world.run(200)
        world.set_capacity(HALF)
        world.run(5_000)
        world.submit_tasks(4, 2)
        world.new_owner(keep_former=True)
        world.run(2_000)
        self.assertEqual(world.count_running(), 4)
        self.check_done(world)


class UnansweredStartTest(unittest.TestCase):
    """Starts that take effect long after the owner chose the worker."""

    def check(
        self, chosen_after_ms: int, lag_ms: int, cut_ms: int = 0, **fields
    ) -> CapacityWorld:
        """Check starts that are chosen about when the capacity shrinks.

        :param chosen_after_ms: from the change of the capacity to the choice; the
            worker writes the change as late as it may.
        :param lag_ms: from then until the owner hears of it.
        :param cut_ms: how long the worker can't be reached after the choice.
        :return: the world when all that has taken effect.
        """
        world = CapacityWorld(work_ms=3_000, view_lag_ms=lag_ms, **fields)
        world.start()
        world.set_capacity(HALF, HEARTBEAT_MS)
        world.run(chosen_after_ms)
        world.submit_tasks(0, 4)
        if cut_ms:
            world.partitioned = {"w0"}
            world.later(cut_ms, world.partitioned.clear)
        world.run(9_000)
        self.assertEqual(world.violations, [])
        return world

    # Guards against a start that is sent again though the capacity shrank meanwhile.
    def test_starts_are_lost(self) -> None:
        """Only the third send of a start reaches the worker, or the second one."""
        for chosen_after_ms, lag_ms, lost_sends in itertools.product(
            range(0, 3_200, 100), (0, LONGEST_VIEW_LAG_MS), (1, 2)
        ):
            with self.subTest(
                chosen_after_ms=chosen_after_ms, lag_ms=lag_ms, lost_sends=lost_sends
            ):
                self.check(chosen_after_ms, lag_ms, lost_sends=lost_sends)

    # Guards against starts that reach the worker when it can be reached again.
    def test_worker_is_cut_off(self) -> None:
        """The worker can't be reached when the first starts are sent."""
        for chosen_after_ms, lag_ms, cut_ms in itertools.product(
            range(0, 3_200, 200), (0, LONGEST_VIEW_LAG_MS), (800, 1_700)
        ):
            with self.subTest(
                chosen_after_ms=chosen_after_ms, lag_ms=lag_ms, cut_ms=cut_ms
            ):
                self.check(chosen_after_ms, lag_ms, cut_ms)

    # Guards against a start whose commit took long, by the capacity before it.
    def test_commits_take_long(self) -> None:
        """A commit takes as long as its starts may wait; then starts are lost."""
        for chosen_after_ms, lag_ms, lost_sends in itertools.product(
            range(0, 3_200, 100), (0, LONGEST_VIEW_LAG_MS), (0, 2)
        ):
            with (
                self.subTest(
                    chosen_after_ms=chosen_after_ms,
                    lag_ms=lag_ms,
                    lost_sends=lost_sends,
                ),
                mock.patch.object(job_world, "COMMIT_MS", LONG_COMMIT_MS),
            ):
                self.check(chosen_after_ms, lag_ms, lost_sends=lost_sends)

    # The worker may carry out a start when the smaller capacity counts, though it was
    # sent before. The rules exempt late starts from bounds of time.
    def test_late_starts_are_counted_apart(self) -> None:
        """A start that is late for its capacity is no violation, but isn't hidden."""
        world = self.check(0, 0, CUT_MS, lost_sends=3, late_ms=LATE_START_MS)
        self.assertEqual(world.excused_excesses.keys(), {"carried out late"})


if __name__ == "__main__":
    unittest.main()
