"""Random walks with workers that restart under their ids and are then cut off.

Calls that were meant for an earlier incarnation of a worker are carried out by a later
one, while the jobs' owner changes.
"""

import random
import sys
import unittest

import attrs
from attrs import Factory, define, frozen

from poplarlb.coordination.jobs import events
from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import CLOCKS_MS, FakeWorker, draw_clock_ms
from tests.coordination.jobs.job_world import JobWorld, fail, make_job

WALKS = 20  # ``python -m tests.coordination.jobs.test_late_calls FIRST COUNT``
FIRST_SEED = 1
ROUNDS = 12
LATE_MS = (2_000, 12_000)  # after it was sent a late call is carried out
GIVEN_UP_MS = 900
DARK_MS = (100, 900)
UNTIL_CUT_MS = (100, 4_000)  # after the restart
CUT_MS = (3_000, 14_000)
LISTED_MS = (0, 1_500)  # from the restart until its entry is read
OVERTAKEN_MS = 300
AWAITED_LATE_MS = 9_000
LATE_RATES = (0.0, 0.1, 0.5)
SIZE = Resources(2_000, 1_000)


@frozen
class LateKinds:
    """The kinds of calls that may be carried out late, and of answers read late."""

    orders: bool = True  # starts and stops
    renewals: bool = False  # polls that renew leases
    lists: bool = False  # answers to polls, which answers to other calls overtake


WALK_KINDS = (LateKinds(), LateKinds(renewals=True), LateKinds(lists=True))


@define(eq=False)
class LateCallWorld(JobWorld):
    """A world in which a worker's present incarnation carries out late calls.

    ``clock_rng`` draws the clocks of the workers' incarnations.

    :ivar misdirected_calls: how many calls another incarnation than the one meant has
        carried out.
    :ivar over: the highest run of a task that was stopped or had ended at a worker
        before that restarted.
    :ivar fences: the epoch and the runs of each worker before each of its restarts.
    """

    late: LateKinds = LateKinds()
    late_rate: float = 0.0
    late_rng: random.Random = Factory(random.Random)
    clock_rng: random.Random = Factory(random.Random)
    misdirected_calls: int = 0
    over: dict[tuple[str, str], int] = Factory(dict)
    fences: dict[str, list[tuple[int, frozenset]]] = Factory(dict)

    def crash_worker(self, worker: FakeWorker) -> None:
        """Crash a worker, and note the runs that were stopped or had ended there."""
        for task, run in worker.highest_run.items():
            key = worker.worker_id, task
            self.over[key] = max(self.over.get(key, 0), run)
        fences = self.fences.setdefault(worker.worker_id, [])
        fences.append((worker.fence, frozenset(worker.runs)))
        worker.crash()

    def _is_over(self, command) -> bool:
        """Return whether an earlier incarnation would have refused a start.

        The run had been stopped or had ended there, or the next owner had fenced the
        worker and not found the run. The later one knows nothing of that. Only a wait
        after each start without an answer would avoid that it begins the run.
        """
        if not isinstance(command, events.StartRun):
            return False
        key = command.task, command.run
        if command.run <= self.over.get((command.worker_id, command.task), 0):
            return True
        return any(
            fence > command.epoch and key not in runs
            for fence, runs in self.fences.get(command.worker_id, ())
        )

    def _call(self, command, owner, action, sent_ms: int) -> None:
        worker = self.workers[command.worker_id]
        is_poll = isinstance(command, events.PollWorker)
        may_be_late = self.late.renewals if is_poll else self.late.orders
        if not may_be_late or self.late_rng.random() >= self.late_rate:
            super()._call(command, owner, action, sent_ms)
            return
        sent_to = worker.incarnation
        if is_poll:
            command = attrs.evolve(command, acknowledged_end=None)

        def execute() -> None:
            if not worker.alive or self._is_over(command):
                return
            self.misdirected_calls += worker.incarnation != sent_to
            action(command, worker, sent_ms)

        if command.worker_id not in self.partitioned:
            self.later(self.late_rng.uniform(*LATE_MS), execute)
        answer = fail(command, sent_ms)
        self.later(GIVEN_UP_MS, lambda: self._answer(owner, answer))


def restart_and_cut(world: LateCallWorld, rng: random.Random) -> None:
    """Restart some workers under their ids, and cut them off soon after."""
    for worker in rng.sample(list(world.workers.values()), rng.randint(1, 3)):
        world.crash_worker(worker)

        def come_back(worker=worker) -> None:
            if worker.alive:
                return
            clock_ms = draw_clock_ms(world.clock_rng, worker.clock_ms)
            worker.restart(worker.incarnation + 1_000, clock_ms)
            listed_ms = rng.uniform(*LISTED_MS)
            world.later(listed_ms, lambda: world.relist(worker.worker_id))

        dark_ms = rng.uniform(*DARK_MS)
        cut_ms = dark_ms + rng.uniform(*UNTIL_CUT_MS)
        healed_ms = cut_ms + rng.uniform(*CUT_MS)
        name = worker.worker_id
        world.later(dark_ms, come_back)
        world.later(cut_ms, lambda name=name: world.partitioned.add(name))
        world.later(healed_ms, lambda name=name: world.partitioned.discard(name))


def walk(seed: int, late: LateKinds) -> LateCallWorld:
    """Return a world after one random walk."""
    rng = random.Random(f"reborn {seed}")
    world = LateCallWorld(
        seed=seed,
        work_ms=rng.choice((8_000.0, 20_000.0, 60_000.0)),
        late=late,
        overtaken_ms=OVERTAKEN_MS if late.lists else 0.0,
        late_rng=random.Random(f"late {seed}"),
        clock_rng=random.Random(f"clocks {seed}"),
    )
    world.new_owner()
    world.add_workers(6, clock_rate=rng.choice((1.0, 0.98)))
    for worker in world.workers.values():
        worker.clock_ms = world.clock_rng.uniform(*CLOCKS_MS)
    world.run(rng.uniform(300, 15_000))
    for number in range(ROUNDS):
        steps = StepSpec(rng.randint(1, 6), SIZE, estimate_ms=8_000)
        world.submit(make_job(f"{number:016x}", steps))
        world.late_rate = rng.choice(LATE_RATES)
        world.run(rng.choice((20, 200, 1_000)))
        if rng.random() < 0.7:
            restart_and_cut(world, rng)
        for _ in range(rng.randint(0, 2)):
            world.run(rng.uniform(20, 3_000))
            event = rng.random()
            if event < 0.4:
                world.new_owner(keep_former=rng.random() < 0.5)
            elif event < 0.55:
                world.store_up = False
                world.later(rng.uniform(500, 8_000), lambda: reconnect(world))
        world.run(rng.uniform(200, 6_000))
        if find_overlaps(world):
            break
    world.late_rate = 0.0
    world.run(20_000)
    return world


def find_overlaps(world: LateCallWorld) -> list[str]:
    """Return where a task ran at two workers at once."""
    return [text for text in world.violations if " runs at " in text]


def reconnect(world: LateCallWorld) -> None:
    """Let the store answer again."""
    world.store_up = True


@define(eq=False)
class SilentPollWorld(JobWorld):
    """A world in which polls of some workers get no answer, and other calls do."""

    silent: set[str] = Factory(set)

    def _call(self, command, owner, action, sent_ms: int) -> None:
        if isinstance(command, events.PollWorker) and command.worker_id in self.silent:
            self._fail_later(command, owner, sent_ms)
        else:
            super()._call(command, owner, action, sent_ms)


@define(eq=False)
class AwaitedStartWorld(JobWorld):
    """A world in which the first start finds its worker crashing.

    The worker is back behind a cut, and carries the start out ``AWAITED_LATE_MS`` late.
    """

    sent_to: str = ""

    def _call(self, command, owner, action, sent_ms: int) -> None:
        if self.sent_to or not isinstance(command, events.StartRun):
            super()._call(command, owner, action, sent_ms)
            return
        worker = self.workers[command.worker_id]
        self.sent_to = worker.worker_id
        self.partitioned.add(worker.worker_id)
        worker.restart(worker.incarnation + 1_000)
        self._fail_later(command, owner, sent_ms)
        self.later(AWAITED_LATE_MS, lambda: action(command, worker, sent_ms))


class AwaitedStartTest(unittest.TestCase):
    """An owner dies while it awaits the answer to a start."""

    # Guards against a late start that the record for the next owner doesn't name.
    def test_start_awaited_at_a_takeover(self) -> None:
        """The task isn't started elsewhere while the late start's lease lasts."""
        world = AwaitedStartWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(1)
        world.run(20_000)
        world.submit(make_job("a" * 16, StepSpec(1, SIZE, estimate_ms=8_000)))
        while not world.sent_to:
            world.run(20)
        world.new_owner()
        world.add_workers(1)
        world.run(AWAITED_LATE_MS + 100)
        self.assertEqual(len(world.workers["w0"].runs), 1)
        world.run(20_000)
        self.assertEqual(find_overlaps(world), [])
        self.assertEqual(len(world.workers["w1"].runs), 1)


class UnnoticedRestartTest(unittest.TestCase):
    """A worker restarts, is sent a start, and is cut off before it answers a poll."""

    # Guards against a start that the next incarnation has answered, with a longer lease
    # than by the earlier one's clock.
    def test_answered_start(self) -> None:
        """The task isn't started elsewhere while the lease lasts."""
        world = SilentPollWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(1)
        world.run(20_000)
        worker = world.workers["w0"]
        world.silent.add("w0")
        worker.restart(worker.incarnation + 1_000)
        world.submit(make_job("a" * 16, StepSpec(1, SIZE, estimate_ms=8_000)))
        world.run(200)
        self.assertEqual(len(worker.runs), 1)
        world.partitioned.add("w0")
        world.add_workers(1)
        world.run(20_000)
        self.assertEqual(find_overlaps(world), [])
        self.assertEqual(len(world.workers["w1"].runs), 1)


class LateCallTest(unittest.TestCase):
    """No task runs at two workers at once."""

    # Guards against a task that is started elsewhere while a worker that was cut off
    # soon after its restart runs it.
    def test_late_orders(self) -> None:
        """Starts and stops are carried out late."""
        for seed in range(FIRST_SEED, FIRST_SEED + WALKS):
            with self.subTest(seed=seed):
                self.assertEqual(find_overlaps(walk(seed, LateKinds())), [])

    # Guards against leases that a renewal for the earlier incarnation has prolonged.
    def test_late_renewals(self) -> None:
        """Also polls that renew leases by the earlier incarnation's clock."""
        for seed in range(FIRST_SEED, FIRST_SEED + WALKS):
            with self.subTest(seed=seed):
                late = LateKinds(renewals=True)
                self.assertEqual(find_overlaps(walk(seed, late)), [])

    # Guards against lists that are taken for the present although a start was answered
    # after they had been composed.
    def test_overtaken_lists(self) -> None:
        """Also, answers to polls are read up to 0.3 s late, and calls take as long."""
        for seed in range(FIRST_SEED, FIRST_SEED + WALKS):
            with self.subTest(seed=seed):
                late = LateKinds(lists=True)
                self.assertEqual(find_overlaps(walk(seed, late)), [])


if __name__ == "__main__":
    first, count = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first, first + count):
        for late in WALK_KINDS:
            world = walk(seed, late)
            found = find_overlaps(world)
            if found:
                print(seed, late, world.misdirected_calls, found[:2], flush=True)
