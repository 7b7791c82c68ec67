"""Tests that a key is dispatched at most once, under crashes, partitions and delays."""

import random
import unittest

from attrs import evolve
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from poplarlb.coordination.requests.idempotency import KeyTable
from poplarlb.coordination.requests.key_takeover import MarkCollector
from poplarlb.coordination.requests.marks import MarkStore
from poplarlb.protocol import api, messages, ports
from poplarlb.state.models import Reason
from tests.coordination.requests.key_world import (
    HORIZON_MS,
    NAMES,
    WINDOW_MS,
    KeyWorld,
    without,
)
from tests.harness.fuzzing import count_failing_walks, make_settings

DAEMONS = st.sampled_from(NAMES)
FUZZ_SETTINGS = make_settings(150, 40)


class KeyMachine(RuleBasedStateMachine):
    """Any interleaving of the events of a :class:`KeyWorld`."""

    durability = "two-daemons"

    def __init__(self) -> None:
        """Start with a shard whose backup daemon is ready."""
        super().__init__()
        self.world = KeyWorld(self.durability)

    @rule(
        key=st.sampled_from("abc"),
        gateway=DAEMONS,
        owner=DAEMONS,
        digest=st.sampled_from((b"1", b"1", b"1", b"2")),
        first=st.booleans(),
        uses=st.booleans(),
    )
    def send(self, key, gateway, owner, digest, first, uses) -> None:
        """Send a key."""
        self.world.send(key, gateway, owner, digest, first, uses)

    @rule(index=st.integers(0, 30), keep=st.booleans())
    def deliver(self, index, keep) -> None:
        """Deliver a packet; it may be delivered again later."""
        self.world.deliver(index, keep)

    @rule(index=st.integers(0, 30))
    def lose(self, index) -> None:
        """Lose a packet."""
        if self.world.network:
            self.world.network.pop(index % len(self.world.network))

    @rule(index=st.integers(0, 200))
    def replay(self, index) -> None:
        """Deliver a packet again."""
        self.world.replay(index)

    @rule(rounds=st.integers(1, 6))
    def deliver_all(self, rounds) -> None:
        """Deliver all packets in order for some rounds."""
        self.world.deliver_all(rounds)

    @rule(elapsed_ms=st.sampled_from((50, 2_000, 15_000, HORIZON_MS, WINDOW_MS)))
    def wait(self, elapsed_ms) -> None:
        """Advance the clock without delivering anything."""
        self.world.tick(elapsed_ms)

    @rule(name=DAEMONS, restarted=st.booleans())
    def kill(self, name, restarted) -> None:
        """Kill a daemon; it may be restarted at once."""
        self.world.dead.add(name)
        if restarted:
            self.world.restart(name)

    @rule(name=DAEMONS, backup=DAEMONS)
    def claim(self, name, backup) -> None:
        """Let a daemon take over the shard or assign another backup daemon."""
        self.world.claim(name, backup)

    @rule(name=DAEMONS)
    def read_record(self, name) -> None:
        """Let a daemon read the owner record."""
        self.world.read_record(name)

    @rule(first=DAEMONS, second=DAEMONS)
    def cut(self, first, second) -> None:
        """Cut or restore the link between two daemons."""
        if first != second:
            self.world.cuts ^= {frozenset((first, second))}

    @rule(name=DAEMONS)
    def disconnect_store(self, name) -> None:
        """Disconnect a daemon from the store, or reconnect it."""
        self.world.cut_from_store ^= {name}

    @rule(number=st.integers(0, 40))
    def give_up(self, number) -> None:
        """Let a gateway stop waiting."""
        if self.world.sendings:
            names = sorted(self.world.sendings)
            self.world.give_up(names[number % len(names)])

    @invariant()
    def one_dispatch(self) -> None:
        """No key is dispatched twice; ``KeyWorld`` asserts the rest itself."""
        for key, done in self.world.dispatches.items():
            assert len(done) <= 1, f"{key}: {done}"


class MemoryMachine(KeyMachine):
    """Runs the same rules with keys kept in the owner's memory only."""

    durability = "memory"


def run_random(
    seed: int, steps: int = 120, durability: str = "two-daemons"
) -> KeyWorld:
    """Run a random sequence of events, weighted towards those that reveal faults."""
    rng = random.Random(seed)
    world = KeyWorld(durability)
    for _ in range(steps):
        name, other = rng.choice(NAMES), rng.choice(NAMES)
        index = rng.randrange(40)
        match rng.choices(range(11), (20, 12, 3, 20, 4, 4, 6, 3, 2, 2, 6))[0]:
            case 0:
                owner = world.record.owner if rng.random() < 0.6 else other
                digest = b"1" if rng.random() < 0.9 else b"2"
                first, uses = rng.random() < 0.5, rng.random() < 0.8
                world.send(rng.choice("abcd"), name, owner, digest, first, uses)
            case 1:
                world.deliver(index, rng.random() < 0.3)
            case 2:
                if world.network:
                    world.network.pop(index % len(world.network))
            case 3:
                world.deliver_all(rng.randint(1, 4))
            case 4:
                world.tick(rng.choice((50, 2_000, 15_000, HORIZON_MS)))
            case 5:
                world.dead.add(name)
                if rng.random() < 0.6:
                    world.restart(name)
            case 6:
                world.claim(name, other)
            case 7:
                world.read_record(name)
                world.cut_from_store ^= {other} if rng.random() < 0.5 else set()
            case 8:
                if name != other:
                    world.cuts ^= {frozenset((name, other))}
            case 9:
                if world.sendings:
                    names = sorted(world.sendings)
                    world.give_up(names[index % len(names)])
            case 10:
                world.replay(rng.randrange(200))
    return world


def claim_unmarked(self, call_id, body, now_ms):
    """Claim without a mark on the backup daemon."""
    name = f"{body.team}/{body.service}/{body.key}"
    fault = self._find_fault(name, body, now_ms)
    if fault is not None:
        return [ports.ApiAnswer(call_id, fault)]
    return self._claim(self._make_mark(body, now_ms), call_id, now_ms)


def collect_nothing(self, marks, horizon_ms, now_ms):
    """Begin without collecting the keys that earlier epochs dispatched."""
    self.previous = None
    return []


def assume_not_run(original):
    """Assume that a claim without an outcome did not run once it has timed out."""

    def answer(self, held, body, now_ms):
        fault = original(self, held, body, now_ms)
        expired = now_ms >= self.running_until_ms.get(held.name, 0)
        if held.outcome is None and held.name not in self.pending and expired:
            self.ledger.keys.pop(held.name, None)
            return None
        return fault

    return answer


def ignore_digest(original):
    """Answer any request with a known key as if it were the first one."""

    def answer(self, held, body, now_ms):
        return original(self, held, evolve(body, digest=held.mark.digest), now_ms)

    return answer


def adopt_any_incarnation(original):
    """Adopt pages that were sent to an earlier incarnation of this daemon."""

    def adopt(self, page):
        return original(self, evolve(page, incarnation=self.incarnation))

    return adopt


def collect_without_fencing(original):
    """Give marks to a new owner and still accept marks of the old one."""

    def collect(self, shard, epoch, after):
        before = self.epochs.get(shard, 0)
        page = original(self, shard, epoch, after)
        self.epochs[shard] = before
        return page

    return collect


def skip_fencing(original):
    """Dispatch first sendings while an earlier owner may still dispatch."""

    def begin(self):
        original(self)
        self.collector.marked.fenced_ms = 0

    return begin


def discard_collected(self, records):
    """Discard the collected records."""
    return False


def refuse_as_not_run(original):
    """Refuse any sending with ``not_run``, also one that is a repeat."""

    def find(self, name, body, now_ms):
        fault = original(self, name, body, now_ms)
        known = name in self.ledger.keys or name in self.pending
        if isinstance(fault, api.Fault) and not known:
            return evolve(fault, code="not_run")
        return fault

    return find


INJECTED_FAULTS = {
    "no mark on the backup daemon": (KeyTable, "_begin", claim_unmarked),
    "new owner collects nothing": (MarkCollector, "begin", collect_nothing),
    "collected marks dropped": (KeyTable, "_merge", discard_collected),
    "not run assumed too early": (
        KeyTable,
        "_answer_repeat",
        assume_not_run(KeyTable._answer_repeat),
    ),
    "digest ignored": (
        KeyTable,
        "_answer_repeat",
        ignore_digest(KeyTable._answer_repeat),
    ),
    "repeat refused with not_run": (
        KeyTable,
        "_find_fault",
        refuse_as_not_run(KeyTable._find_fault),
    ),
}


def send_new(world: KeyWorld, key: str, owner: str, first: bool) -> None:
    """Send a key through d3 to the daemon that d3 assumes to be the owner."""
    world.send(key, "d3", owner, b"1", first, True)
    world.deliver_all()


def adopt_after_restart() -> None:
    """Restart the backup daemon and deliver an old adoption to it again."""
    world = KeyWorld()
    send_new(world, "a", "d0", True)
    world.restart("d1")
    for index in range(len(world.past)):
        if isinstance(world.past[index].body, messages.AdoptSecond):
            world.hand_to_recipient(world.past[index])
    world.dead.add("d0")
    world.claim("d2", "d3")
    world.deliver_all()
    send_new(world, "a", "d2", False)


def mark_after_takeover() -> None:
    """Let a deposed owner continue, disconnected from the store with its backup."""
    world = KeyWorld()
    world.cut_from_store |= {"d0", "d1"}
    world.cuts.add(frozenset(("d0", "d2")))
    world.claim("d2", "d3")
    world.deliver_all()
    send_new(world, "a", "d2", True)
    send_new(world, "a", "d0", False)


def dispatch_beside_old_owner() -> None:
    """Let a new owner reach neither the old owner nor its backup daemon."""
    world = KeyWorld()
    sides = (("d0", "d2"), ("d0", "d3"), ("d1", "d2"), ("d1", "d3"))
    world.cuts |= {frozenset(pair) for pair in sides}
    world.cut_from_store |= {"d0", "d1"}
    world.claim("d2", "d3")
    world.deliver_all()
    send_new(world, "a", "d2", True)
    world.cuts.discard(frozenset(("d0", "d3")))
    send_new(world, "a", "d0", False)


SCRIPTED = {
    "restarted backup adopts pages of an earlier incarnation": (
        adopt_after_restart,
        (MarkStore, "_adopt", adopt_any_incarnation(MarkStore._adopt)),
    ),
    "marks of old epochs accepted": (
        mark_after_takeover,
        (MarkStore, "collect", collect_without_fencing(MarkStore.collect)),
    ),
    "dispatch before earlier owners are fenced": (
        dispatch_beside_old_owner,
        (
            KeyTable,
            "__attrs_post_init__",
            skip_fencing(KeyTable.__attrs_post_init__),
        ),
    ),
}


class KeyFuzz(unittest.TestCase):
    """The guarantees hold in every random run, and injected faults are found."""

    def test_machine(self) -> None:
        """Hypothesis finds no repeated dispatch and no wrong answer."""
        run_state_machine_as_test(KeyMachine, settings=FUZZ_SETTINGS)

    def test_machine_in_memory(self) -> None:
        """The same holds for keys kept in memory only."""
        run_state_machine_as_test(MemoryMachine, settings=FUZZ_SETTINGS)

    def test_random_runs(self) -> None:
        """No guarantee is broken in 400 seeded random runs."""
        self.assertEqual(count_failing_walks(run_random, 400), 0)

    def test_injected_faults(self) -> None:
        """Each injected fault breaks a guarantee in some random run."""
        for name, (target, method, fault) in INJECTED_FAULTS.items():
            with self.subTest(name):
                mutated = without(target, method, fault)(count_failing_walks)
                self.assertGreater(mutated(run_random, 150), 0)

    def test_scripted_faults(self) -> None:
        """Each rare fault breaks its script, which passes without the fault."""
        for name, (script, (target, method, fault)) in SCRIPTED.items():
            with self.subTest(name):
                script()
                with self.assertRaises(AssertionError):
                    without(target, method, fault)(script)()

    def test_repeat_after_owner_death(self) -> None:
        """A repeat through another daemon returns the first outcome."""
        world = KeyWorld()
        send_new(world, "a", "d0", True)
        world.dead.add("d0")
        world.claim("d1", "d2")
        world.deliver_all()
        begin = api.BeginKey("dairy", "orders", "a", "again", b"1")
        table = world.daemons["d1"].table
        answer = table.handle(ports.ApiRequested(1, begin), world.now_ms)[0].result
        self.assertEqual((answer.status, answer.body), (200, b"1"))
        other = evolve(begin, digest=b"2")
        fault = table.handle(ports.ApiRequested(2, other), world.now_ms)[0].result
        self.assertEqual((fault.code, fault.reason), ("conflict", Reason.KEY_REUSED))
