"""Fuzz of the journal: each recovery yields all committed items once and in order."""

import sys
import unittest

import cbor2
from attrs import Factory, define
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from poplarlb.coordination.journal.journal import (
    Committed,
    Deposed,
    Journal,
    JournalPhase,
    Recovered,
    SnapshotRequested,
)
from poplarlb.coordination.membership.budget import UrgentStoreCall
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.protocol import ports
from poplarlb.settings import JournalSettings, Settings
from tests.harness.fuzzing import run_machine
from tests.standins.store import KeyTable

RING = JournalSettings(
    ring_slots=4, snapshot_every=2, snapshot_part_bytes=1_000, entry_limit_bytes=1_000
)
CALL_OUTCOMES = ("answered", "answered", "answer lost", "not sent", "late")
PICK = st.integers(0, 7)


@define
class Owner:
    """A daemon that owns the shard or did so before; its state is a list of items.

    ``base`` is the number of items that it recovered.
    """

    journal: Journal
    offers_snapshots: bool
    items: list[bytes] = Factory(list)
    base: int = 0
    pending: list[ports.StoreCall] = Factory(list)

    def view(self, ticket: int) -> list[bytes]:
        """Return the items that are durable according to the owner."""
        return self.items[: self.base + ticket]


@define
class JournalWorld:
    """The owners, the store that they share, and the oracle.

    ``late`` holds delayed store operations, ``durable`` the items known to be durable,
    ``abandoned`` those that a deposed owner reported as not written. ``newest`` is
    the highest epoch that has recovered.
    """

    table: KeyTable = Factory(KeyTable)
    owners: list[Owner] = Factory(list)
    late: list[ports.StoreOperation] = Factory(list)
    now_ms: int = 0
    epoch: int = 0
    serial: int = 0
    durable: list[bytes] = Factory(list)
    newest: int = 0
    abandoned: set[bytes] = Factory(set)

    def add(self, offers_snapshots: bool) -> Owner:
        """Start an owner under the next epoch."""
        self.epoch += 1
        context = NodeContext(Settings("d", "kochi", journal=RING))
        name = f"d{self.epoch}/1"
        owner = Owner(Journal(context, "kochi/0", name, self.epoch), offers_snapshots)
        self.owners.append(owner)
        return owner

    def kill(self, owner: Owner) -> None:
        """Kill an owner; its calls in flight may still take effect."""
        self.owners.remove(owner)
        self.late.extend(call.operation for call in owner.pending)

    def stage(self, owner: Owner, size: int, urgent: bool) -> None:
        """Have an owner with an open journal stage a new item."""
        if owner.journal.phase is JournalPhase.OPEN:
            self.serial += 1
            item = f"{self.serial}:".encode().ljust(size, b".")
            owner.items.append(item)
            ticket = owner.journal.stage(item, urgent)
            assert len(owner.items) == owner.base + ticket

    def offer(self, owner: Owner) -> None:
        """Have an owner offer its state as a snapshot."""
        owner.journal.offer_snapshot(cbor2.dumps(owner.items))

    def tick(self, owner: Owner, passed_ms: int) -> None:
        """Advance the clock and pass a tick to an owner."""
        self.now_ms += passed_ms
        self.feed(owner, ports.Tick())

    def deliver(self, owner: Owner, pick: int, outcome: str) -> None:
        """Complete one of an owner's calls with an outcome."""
        if not owner.pending:
            return
        call = owner.pending.pop(pick % len(owner.pending))
        result = ports.StoreFailed()
        match outcome:
            case "answered":
                result = self.table.execute(call.operation)
            case "answer lost":
                self.table.execute(call.operation)
            case "late":
                self.late.append(call.operation)
        self.feed(owner, ports.StoreReplied(call.call_id, result))

    def run(self, owner: Owner, steps: int) -> None:
        """Run an owner with all its calls answered at once."""
        for _ in range(steps):
            self.tick(owner, 100)
            while owner.pending:
                self.deliver(owner, 0, "answered")

    def feed(self, owner: Owner, event: ports.Tick | ports.StoreReplied) -> None:
        """Pass an event to an owner's journal and check its output."""
        for output in owner.journal.handle(event, self.now_ms):
            match output:
                case ports.StoreCall():
                    owner.pending.append(output)
                case SnapshotRequested() if owner.offers_snapshots:
                    self.offer(owner)
                case Recovered():
                    self.check_recovered(owner, output)
                case Committed(ticket=ticket):
                    self.check_committed(owner, owner.view(ticket))
                case Deposed():
                    assert owner.journal.epoch < self.epoch, "newest owner deposed"
                    first_abandoned = owner.base + output.ambiguous_ticket
                    self.abandoned.update(owner.items[first_abandoned:])
                    self.check_abandoned()

    def check_recovered(self, owner: Owner, recovered: Recovered) -> None:
        """Check that no durable item is missing, reordered or duplicated."""
        snapshot = cbor2.loads(recovered.snapshot) if recovered.snapshot else []
        owner.items = [*snapshot, *recovered.items]
        owner.base = len(owner.items)
        assert len(set(owner.items)) == len(owner.items), "duplicated"
        if owner.journal.epoch < self.newest:
            # Its first entry was written before the newer owner's; its answer is late.
            assert owner.items == self.durable[: owner.base], "lost or reordered"
            return
        assert owner.items[: len(self.durable)] == self.durable, "lost or reordered"
        self.newest = owner.journal.epoch
        self.durable = list(owner.items)
        self.check_abandoned()

    def check_committed(self, owner: Owner, view: list[bytes]) -> None:
        """Check that only the newest owner adds durable items."""
        if view != self.durable[: len(view)]:
            assert owner.journal.epoch == self.newest, "a deposed owner committed"
            assert view[: len(self.durable)] == self.durable, "lost or reordered"
            self.durable = view
        self.check_abandoned()

    def check_abandoned(self) -> None:
        """Check that no item reported as not written is durable."""
        assert not self.abandoned.intersection(self.durable), "abandoned item durable"

    def finish(self) -> None:
        """Check that a new owner recovers and commits, and no unused part remains."""
        for owner in list(self.owners):
            self.kill(owner)
        for operation in self.late:
            self.table.execute(operation)
        owner = self.add(offers_snapshots=True)
        self.run(owner, 60)
        assert owner.journal.phase is JournalPhase.OPEN, "recovery does not end"
        for _ in range(3 * RING.ring_slots):
            self.stage(owner, 20, True)
            self.run(owner, 3)
        self.run(owner, 40)
        assert owner.journal.committed_ticket == owner.journal.last_ticket, "no commit"
        keys = owner.journal.keys
        head = owner.journal.snapshots.head
        found = {key for key in self.table.items if key.startswith(keys.snapshot)}
        assert found == {keys.snapshot_head, *keys.parts(head)}, (
            "unused or missing parts"
        )


class JournalMachine(RuleBasedStateMachine):
    """Random owners, injected faults and orders of events."""

    def __init__(self) -> None:
        """Start with an empty store."""
        super().__init__()
        self.world = JournalWorld()

    def pick(self, number: int) -> Owner:
        """Return one of the owners."""
        return self.world.owners[number % len(self.world.owners)]

    @precondition(lambda self: len(self.world.owners) < 3)
    @rule(offers_snapshots=st.booleans(), steps=st.sampled_from((0, 2, 8)))
    def start(self, offers_snapshots: bool, steps: int) -> None:
        """Start a new owner."""
        self.world.run(self.world.add(offers_snapshots), steps)

    @precondition(lambda self: self.world.owners)
    @rule(number=PICK)
    def kill(self, number: int) -> None:
        """Kill an owner."""
        self.world.kill(self.pick(number))

    @precondition(lambda self: self.world.owners)
    @rule(number=PICK, count=st.integers(1, 3), size=st.sampled_from((8, 8, 600, 2500)))
    def stage(self, number: int, count: int, size: int) -> None:
        """Stage some items."""
        for _ in range(count):
            self.world.stage(self.pick(number), size, count == 1)

    @precondition(lambda self: self.world.owners)
    @rule(number=PICK)
    def offer(self, number: int) -> None:
        """Offer a snapshot without a request for it."""
        self.world.offer(self.pick(number))

    @precondition(lambda self: self.world.owners)
    @rule(number=PICK, passed_ms=st.sampled_from((0, 50, 100, 2_000)))
    def tick(self, number: int, passed_ms: int) -> None:
        """Advance the clock and pass a tick to one owner."""
        self.world.tick(self.pick(number), passed_ms)

    @precondition(lambda self: self.world.owners)
    @rule(number=PICK, picks=st.lists(st.tuples(PICK, st.sampled_from(CALL_OUTCOMES))))
    def deliver(self, number: int, picks: list) -> None:
        """Complete some of an owner's calls, with time between them."""
        owner = self.pick(number)
        for pick, outcome in picks:
            self.world.deliver(owner, pick, outcome)
            self.world.tick(owner, 100 if outcome == "answered" else 2_000)

    @precondition(lambda self: self.world.owners)
    @rule(number=PICK, steps=st.integers(1, 6), busy=st.booleans())
    def run_promptly(self, number: int, steps: int, busy: bool) -> None:
        """Run an owner without faults, with an item in each step if ``busy``."""
        owner = self.pick(number)
        for _ in range(steps):
            if busy:
                self.world.stage(owner, 8, True)
            self.world.run(owner, 1)

    @precondition(lambda self: self.world.late)
    @rule(pick=PICK)
    def apply_late_call(self, pick: int) -> None:
        """Apply a delayed call to the store."""
        late = self.world.late
        self.world.table.execute(late.pop(pick % len(late)))

    @invariant()
    def late_calls_bounded(self) -> None:
        """Drop the oldest delayed calls."""
        del self.world.late[:-6]

    def teardown(self) -> None:
        """Check the end of the run."""
        self.world.finish()


class JournalTest(unittest.TestCase):
    """The journal under faults, and its group commit without faults."""

    def test_fuzz(self) -> None:
        """Delays, lost answers, killed or overlapping owners and wraps lose no item."""
        run_machine(JournalMachine, 120, 50)

    def test_divided_item_survives_fold(self) -> None:
        """A ring that fills in the middle of a divided item loses no fragment."""
        for owners in range(1, 6):
            with self.subTest(owners=owners):
                world = JournalWorld()
                for _ in range(owners):
                    owner = world.add(offers_snapshots=False)
                    world.run(owner, 2)
                world.stage(owner, 2_500, False)
                world.run(owner, 1)
                world.finish()

    def test_ring_moves_on_during_recovery(self) -> None:
        """A recovery restarts when the old owner reuses slots meanwhile."""
        for reads in range(4):
            with self.subTest(reads=reads):
                world = JournalWorld()
                old = world.add(offers_snapshots=True)
                world.run(old, 1)
                new = world.add(offers_snapshots=True)
                world.tick(new, 100)
                for _ in range(reads):
                    world.deliver(new, 0, "answered")
                for _ in range(3 * RING.ring_slots):
                    world.stage(old, 8, True)
                    world.run(old, 2)
                world.run(new, 60)
                self.assertIs(new.journal.phase, JournalPhase.OPEN)
                world.finish()

    def test_late_head_keeps_its_parts(self) -> None:
        """Parts that an earlier owner's delayed head may refer to are not removed."""
        world = JournalWorld()
        old = world.add(offers_snapshots=False)
        world.run(old, 1)
        world.stage(old, 8, True)
        world.run(old, 1)
        world.offer(old)
        world.tick(old, 100)
        world.deliver(old, 0, "answered")
        (head,) = old.pending
        self.assertEqual(head.operation.key, old.journal.keys.snapshot_head)
        world.kill(old)
        new = world.add(offers_snapshots=False)
        world.run(new, 10)
        self.assertIs(new.journal.phase, JournalPhase.OPEN)
        world.table.execute(world.late.pop())
        world.kill(new)
        world.finish()

    def test_keys_of_another_writer_end_no_ownership(self) -> None:
        """Guards against a foreign key under the shard's prefix that fails recovery."""
        for value in (b"\x81" * 100_000, b"\xff", b""):
            with self.subTest(value=value[:10]):
                world = JournalWorld()
                owner = world.add(offers_snapshots=True)
                keys = owner.journal.keys
                for name in ("note", "0001x", "-001", "00 1"):
                    world.table.put(f"{keys.log}{name}", value, 0)
                world.run(owner, 5)
                self.assertIs(owner.journal.phase, JournalPhase.OPEN)
                for _ in range(3 * RING.ring_slots):
                    world.stage(owner, 20, True)
                    world.run(owner, 3)
                noted = {item.key for item in owner.journal.context.unreadable}
                self.assertLessEqual(len(noted), 4)
                world.finish()

    def test_key_beside_the_head_delays_no_recovery(self) -> None:
        """Guards against a foreign key that is taken for the snapshot's head."""
        world = JournalWorld()
        old = world.add(offers_snapshots=True)
        keys = old.journal.keys
        world.run(old, 2)
        new = world.add(offers_snapshots=True)
        for step in range(60):
            world.table.put(f"{keys.snapshot_head}-copy", b"\xff%d" % step, 0)
            world.run(new, 1)
        self.assertIs(new.journal.phase, JournalPhase.OPEN)

    def test_key_beside_a_slot_is_not_read_as_the_slot(self) -> None:
        """Guards against a foreign key that resolves an append with a lost answer."""
        world = JournalWorld()
        owner = world.add(offers_snapshots=False)
        world.run(owner, 2)
        key = owner.journal.keys.slot(owner.journal.next_sequence)
        world.table.put(f"{key}-copy", b"\xff", 0)
        world.stage(owner, 20, True)
        world.tick(owner, 100)
        owner.pending.clear()
        call_id = owner.journal.append.call_id
        world.feed(owner, ports.StoreReplied(call_id, ports.StoreFailed()))
        world.run(owner, 40)
        self.assertEqual(owner.journal.committed_ticket, 1)

    def test_group_commit(self) -> None:
        """Items of one commit period share an entry; urgent ones don't wait."""
        world = JournalWorld()
        owner = world.add(offers_snapshots=False)
        world.run(owner, 1)
        before = owner.journal.next_sequence
        for _ in range(5):
            world.stage(owner, 20, False)
        world.run(owner, 1)
        self.assertEqual(owner.journal.next_sequence, before + 1)
        self.assertEqual(owner.journal.committed_ticket, 5)
        world.stage(owner, 20, False)
        self.assertEqual(owner.journal.advance(world.now_ms), [])
        world.stage(owner, 20, True)
        (call,) = owner.journal.advance(world.now_ms)
        self.assertIsInstance(call, UrgentStoreCall)

    def test_full_ring_holds_back(self) -> None:
        """While no snapshot can be written, no entry is overwritten or lost."""
        world = JournalWorld()
        owner = world.add(offers_snapshots=True)
        world.run(owner, 1)
        for _ in range(40):
            world.stage(owner, 20, True)
            world.tick(owner, 500)
            for call in list(owner.pending):
                outcome = "answered"
                if "/part/" in getattr(call.operation, "key", ""):
                    outcome = "not sent"
                world.deliver(owner, owner.pending.index(call), outcome)
        self.assertTrue(owner.journal.ring_full)
        slots = [k for k in world.table.items if k.startswith(owner.journal.keys.log)]
        self.assertEqual(len(slots), RING.ring_slots)
        world.run(owner, 60)
        self.assertEqual(owner.journal.committed_ticket, 40)
        world.finish()


if __name__ == "__main__":
    run_machine(JournalMachine, int(sys.argv[1]), int(sys.argv[2]))
