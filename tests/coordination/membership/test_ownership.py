"""Fuzz tests of membership and ownership: several daemons, one store, faults."""

import random
import sys
import unittest

from attrs import Factory, define, evolve
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
)

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.membership import Membership
from poplarlb.coordination.membership.ownership import (
    HandoverRequested,
    OwnerRecord,
    Ownership,
    ShardAcquired,
    ShardLost,
)
from poplarlb.coordination.membership.sharding import Member, ShardMap, owner_order
from poplarlb.protocol import codec, ports
from poplarlb.settings import Settings, ShardSettings
from tests.harness.fuzzing import run_machine
from tests.standins.store import KeyTable

ZONES = ("kochi", "thrissur", "kollam")
SETTINGS = Settings("x", "kochi", shards=ShardSettings(zones=ZONES))
STEP_MS = 250
UNDISTURBED_MS = 15_000


@define
class Daemon:
    """One incarnation of a daemon; ``disturbed_ms`` is when it last was paused."""

    member: Member
    membership: Membership
    ownership: Ownership
    calls: list[ports.StoreCall] = Factory(list)
    inbox: list[ports.PeerReceived] = Factory(list)
    paused: bool = False
    cut: bool = False
    disturbed_ms: int = 0


@define
class World:
    """The daemons and the store, with checks of each change of an owner."""

    table: KeyTable = Factory(KeyTable)
    daemons: dict[str, Daemon] = Factory(dict)
    delayed: list[ports.StoreOperation] = Factory(list)
    now_ms: int = 1_000_000
    store: str = "up"
    epochs: dict[str, int] = Factory(dict)
    holders: dict[tuple[str, int], str] = Factory(dict)
    rng: random.Random = Factory(lambda: random.Random(0))
    settings: Settings = SETTINGS

    def start(self, number: int) -> None:
        """Start a daemon; replace the one with the same id, if any."""
        name = f"d{number}"
        if name in self.daemons:
            self.kill(name)
        zone = ZONES[number % len(ZONES)]
        member = Member(name, zone, f"{name}:1", f"{name}:2", self.now_ms)
        context = NodeContext(self.settings)
        membership = Membership(context, member)
        shards = ShardMap.from_settings(SETTINGS.shards)
        ownership = Ownership(context, membership, shards)
        self.daemons[name] = Daemon(member, membership, ownership)
        self.daemons[name].disturbed_ms = self.now_ms

    def kill(self, name: str) -> None:
        """Kill a daemon; its last calls may still take effect."""
        self.delayed.extend(call.operation for call in self.daemons.pop(name).calls)
        del self.delayed[:-5]

    def run(self, span_ms: int, lost_share: float = 0.0, seed: int = 0) -> None:
        """Advance the clock; a share of the store calls is lost or delayed."""
        self.rng = random.Random(seed)
        for _ in range(span_ms // STEP_MS):
            self.now_ms += STEP_MS
            for daemon in list(self.daemons.values()):
                if daemon.paused:
                    daemon.disturbed_ms = self.now_ms
                if not daemon.paused:
                    self.run_daemon(daemon, lost_share)

    def run_daemon(self, daemon: Daemon, lost_share: float) -> None:
        """Pass a daemon its messages, its store answers and a tick."""
        inbox, daemon.inbox = daemon.inbox, []
        for event in inbox:
            self.handle(daemon, event)
        calls, daemon.calls = daemon.calls, []
        for call in calls:
            result = self.answer_call(daemon, call.operation, lost_share)
            self.handle(daemon, ports.StoreReplied(call.call_id, result))
        self.handle(daemon, ports.Tick())

    def answer_call(
        self, daemon: Daemon, operation: ports.StoreOperation, lost_share: float
    ) -> ports.StoreResult:
        """Execute a call or let it fail: with, without or with a delayed effect."""
        if self.store == "down" or daemon.cut:
            return ports.StoreFailed()
        if self.rng.random() >= lost_share:
            return self.execute(operation)
        match self.rng.randrange(3):
            case 0:
                self.execute(operation)
            case 1:
                self.delayed.append(operation)
        return ports.StoreFailed()

    def execute(
        self, operation: ports.StoreOperation, delayed: bool = False
    ) -> ports.StoreResult:
        """Execute a call and check every change of an owner."""
        key = getattr(operation, "key", "")
        if not isinstance(operation, ports.StoreWrite) or "/owners/" not in key:
            return self.table.execute(operation, self.now_ms)
        before = self.table.items.get(key)
        old = codec.decode(before.value, OwnerRecord) if before else None
        result = self.table.execute(operation, self.now_ms)
        if result == ports.StoreWritten(True, self.table.revision):
            new = codec.decode(operation.value, OwnerRecord)
            least = old.epoch + (old.owner != new.owner) if old else 1
            assert new.epoch >= least, "the epoch did not grow"
            if not delayed:
                self.check_change(old, new)
        return result

    def check_change(self, old: OwnerRecord | None, new: OwnerRecord) -> None:
        """Check that no shard is taken from a daemon without recent faults."""
        if old is None or old.epoch == new.epoch:
            return
        owner = self.daemons.get(old.owner)
        if owner is None or owner.member.incarnation != old.incarnation:
            return
        undisturbed = self.now_ms - owner.disturbed_ms > UNDISTURBED_MS
        handed_over = (
            old.shard in owner.ownership.handover_requested_ms or old.owner == new.owner
        )
        assert handed_over or not undisturbed, "shard taken from a responsive owner"

    def late_calls_arrive(self) -> None:
        """Let the delayed calls take effect."""
        delayed, self.delayed = self.delayed, []
        for operation in delayed:
            self.execute(operation, delayed=True)

    def handle(self, daemon: Daemon, event: ports.Event) -> None:
        """Pass an event to a daemon and execute its outputs."""
        outputs = list(daemon.membership.handle(event, self.now_ms))
        if not isinstance(event, ports.PeerReceived):
            outputs.extend(daemon.ownership.handle(event, self.now_ms))
        while outputs:
            output = outputs.pop(0)
            match output:
                case ports.StoreCall():
                    daemon.calls.append(output)
                case ports.SendPeer(member_id=name, message=message):
                    received = ports.PeerReceived(daemon.member.member_id, message)
                    if name in self.daemons and len(self.daemons[name].inbox) < 100:
                        self.daemons[name].inbox.append(received)
                case ShardAcquired(record=record):
                    holder = f"{daemon.member.member_id}/{daemon.member.incarnation}"
                    key = (record.shard, record.epoch)
                    assert key not in self.holders, "shard held twice in one epoch"
                    self.holders[key] = holder
                    last = self.epochs.get(record.shard, 0)
                    self.epochs[record.shard] = max(last, record.epoch)
                case HandoverRequested(shard=shard):
                    outputs.extend(daemon.ownership.hand_over(shard, self.now_ms))
                case ShardLost(shard=shard):
                    assert shard not in daemon.ownership.owned_epochs

    def owners(self) -> dict[str, tuple[str, int]]:
        """Return owner and epoch of each shard according to the store."""
        prefix = SETTINGS.store.prefix + "owners/"
        records = [
            codec.decode(item.value, OwnerRecord)
            for key, item in self.table.items.items()
            if key.startswith(prefix)
        ]
        return {record.shard: (record.owner, record.epoch) for record in records}

    def end_faults(self) -> None:
        """End all faults and run long enough to recover."""
        self.store = "up"
        for daemon in self.daemons.values():
            daemon.paused = daemon.cut = False
        if not self.daemons:
            self.start(0)
        self.late_calls_arrive()
        self.run(60_000)

    def check_ownership(self) -> None:
        """Check that each shard is held only by its preferred live member."""
        members = [d.member for d in self.daemons.values() if not d.membership.stopping]
        for shard in ShardMap.from_settings(SETTINGS.shards).shards:
            holders = [
                n for n, d in self.daemons.items() if shard in d.ownership.owned_epochs
            ]
            best = owner_order(shard, members)[0].member_id if members else None
            if best:
                assert holders == [best], f"{shard} is held by {holders}, not {best}"
                owner, epoch = self.owners()[shard]
                held = self.daemons[best].ownership.owned_epochs[shard]
                assert (owner, epoch) == (best, held), "the owner record differs"


class OwnershipMachine(RuleBasedStateMachine):
    """Random faults, with checks during the faults and after them."""

    def __init__(self) -> None:
        """Start four daemons."""
        super().__init__()
        self.world = World()
        for number in range(4):
            self.world.start(number)
        self.world.run(10_000)

    def pick(self, number: int) -> Daemon:
        """Return one of the daemons."""
        names = sorted(self.world.daemons)
        return self.world.daemons[names[number % len(names)]]

    @rule(
        span_s=st.sampled_from((1, 3, 8, 20)),
        lost_share=st.sampled_from((0, 0, 2, 3, 5)),
    )
    def run(self, span_s: int, lost_share: int) -> None:
        """Run with a reliable or an unreliable store."""
        self.world.run(span_s * 1_000, lost_share)

    @rule(store=st.sampled_from(("up", "up", "down")))
    def change_store(self, store: str) -> None:
        """Stop or start the store."""
        self.world.store = store

    @rule(number=st.integers(0, 4))
    def start(self, number: int) -> None:
        """Start or restart a daemon."""
        self.world.start(number)

    @precondition(lambda self: len(self.world.daemons) > 1)
    @rule(number=st.integers(0, 4))
    def kill(self, number: int) -> None:
        """Kill a daemon."""
        self.world.kill(self.pick(number).member.member_id)

    @precondition(lambda self: self.world.daemons)
    @rule(number=st.integers(0, 4), paused=st.booleans(), cut=st.booleans())
    def disturb(self, number: int, paused: bool, cut: bool) -> None:
        """Pause a daemon, disconnect it from the store, both or neither."""
        daemon = self.pick(number)
        daemon.paused = paused
        daemon.cut = cut

    @precondition(lambda self: len(self.world.daemons) > 2)
    @rule(number=st.integers(0, 4))
    def stop(self, number: int) -> None:
        """Ask a daemon to stop, which first hands over its shards."""
        self.pick(number).membership.leave()

    @rule()
    def late_calls_arrive(self) -> None:
        """Let delayed calls take effect."""
        self.world.late_calls_arrive()

    @rule(span_s=st.sampled_from((2, 10, 120)))
    def outage(self, span_s: int) -> None:
        """Check that an outage of the store alone moves no shard."""
        self.world.end_faults()
        before = self.world.owners()
        self.world.store = "down"
        self.world.run(span_s * 1_000)
        self.world.store = "up"
        self.world.run(20_000)
        assert self.world.owners() == before, "a store outage moved a shard"

    def teardown(self) -> None:
        """Check that ownership recovers from all faults."""
        self.world.end_faults()
        self.world.check_ownership()


class OwnershipTest(unittest.TestCase):
    """Tests of ownership under faults."""

    def test_fuzz(self) -> None:
        """No shard is held twice, taken from a live owner, or left without one."""
        run_machine(OwnershipMachine, 8, 15)

    def started(self, settings: Settings = SETTINGS) -> World:
        """Return a world of three daemons in which every shard has an owner."""
        world = World(settings=settings)
        for number in range(3):
            world.start(number)
        world.run(30_000)
        world.check_ownership()
        return world

    def test_orphan_horizon(self) -> None:
        """An unconfirmed owner stops, and resumes under a new epoch only."""
        members = evolve(SETTINGS.members, orphan_horizon_ms=10_000)
        world = self.started(evolve(SETTINGS, members=members))
        before = world.owners()
        world.store = "down"
        world.run(8_000)
        self.assertTrue(any(d.ownership.owned_epochs for d in world.daemons.values()))
        world.run(4_000)
        self.assertFalse(any(d.ownership.owned_epochs for d in world.daemons.values()))
        world.store = "up"
        world.run(60_000)
        world.check_ownership()
        for shard, (_, epoch) in world.owners().items():
            self.assertGreater(epoch, before[shard][1])

    def test_stopping_daemon_hands_over(self) -> None:
        """A daemon that stops hands over its shards and deregisters."""
        world = self.started()
        owner = next(d for d in world.daemons.values() if d.ownership.owned_epochs)
        owner.membership.leave()
        world.run(10_000)
        self.assertEqual(owner.ownership.owned_epochs, {})
        owner.membership.deregister()
        world.run(2_000)
        self.assertTrue(owner.membership.deregistered)
        name = owner.member.member_id
        self.assertNotIn(f"{SETTINGS.store.prefix}members/{name}", world.table.items)
        world.check_ownership()

    def test_backup_is_assigned(self) -> None:
        """The backup is in another zone; a new one counts once it is confirmed."""
        world = self.started()
        owner = next(d for d in world.daemons.values() if d.ownership.owned_epochs)
        shard = next(iter(owner.ownership.owned_epochs))
        backup = owner.ownership.confirmed_backup(shard)
        self.assertNotEqual(
            world.daemons[backup].member.zone, owner.member.zone, "zones"
        )
        world.kill(owner.member.member_id)
        world.run(30_000)
        successor = next(
            d for d in world.daemons.values() if shard in d.ownership.owned_epochs
        )
        record = successor.ownership.owner_of(shard)
        self.assertIn(backup, record.earlier_seconds)
        successor.ownership.assign_backup(shard, record.second)
        self.assertEqual(successor.ownership.confirmed_backup(shard), "")
        world.run(2_000, 0.9, 1)
        world.run(10_000)
        self.assertEqual(successor.ownership.confirmed_backup(shard), record.second)
        self.assertEqual(successor.ownership.owner_of(shard).earlier_seconds, ())


if __name__ == "__main__":
    run_machine(OwnershipMachine, int(sys.argv[1]), int(sys.argv[2]))
