"""Fuzz of membership and ownership: several daemons, one store, many faults."""

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
    HandOverWanted,
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
CALM_MS = 15_000


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
    """The daemons, the store and the oracle."""

    table: KeyTable = Factory(KeyTable)
    daemons: dict[str, Daemon] = Factory(dict)
    late: list[ports.StoreOperation] = Factory(list)
    now_ms: int = 1_000_000
    store: str = "up"
    epochs: dict[str, int] = Factory(dict)
    holders: dict[tuple[str, int], str] = Factory(dict)
    chance: random.Random = Factory(lambda: random.Random(0))
    settings: Settings = SETTINGS

    def start(self, number: int) -> None:
        """Start a daemon, in place of the one with its id if there is one."""
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
        """End a daemon; what it sent may still arrive."""
        self.late.extend(call.operation for call in self.daemons.pop(name).calls)
        del self.late[:-5]

    def run(self, span_ms: int, lost_share: float = 0.0, seed: int = 0) -> None:
        """Let time pass; a share of store answers is lost or delayed."""
        self.chance = random.Random(seed)
        for _ in range(span_ms // STEP_MS):
            self.now_ms += STEP_MS
            for daemon in list(self.daemons.values()):
                if daemon.paused:
                    daemon.disturbed_ms = self.now_ms
                if not daemon.paused:
                    self.run_daemon(daemon, lost_share)

    def run_daemon(self, daemon: Daemon, lost_share: float) -> None:
        """Let one daemon take its messages, its answers and a tick."""
        inbox, daemon.inbox = daemon.inbox, []
        for event in inbox:
            self.feed(daemon, event)
        calls, daemon.calls = daemon.calls, []
        for call in calls:
            result = self.settle(daemon, call.operation, lost_share)
            self.feed(daemon, ports.StoreReplied(call.call_id, result))
        self.feed(daemon, ports.Tick())

    def settle(
        self, daemon: Daemon, operation: ports.StoreOperation, lost_share: float
    ) -> ports.StoreResult:
        """Carry out a call, or let it fail: after its effect, before, or late."""
        if self.store == "down" or daemon.cut:
            return ports.StoreFailed()
        if self.chance.random() >= lost_share:
            return self.execute(operation)
        match self.chance.randrange(3):
            case 0:
                self.execute(operation)
            case 1:
                self.late.append(operation)
        return ports.StoreFailed()

    def execute(
        self, operation: ports.StoreOperation, late: bool = False
    ) -> ports.StoreResult:
        """Let a call take effect and check every change of an owner."""
        key = getattr(operation, "key", "")
        if not isinstance(operation, ports.StoreWrite) or "/owners/" not in key:
            return self.table.execute(operation, self.now_ms)
        before = self.table.items.get(key)
        old = codec.decode(before.value, OwnerRecord) if before else None
        result = self.table.execute(operation, self.now_ms)
        if result == ports.StoreWritten(True, self.table.revision):
            new = codec.decode(operation.value, OwnerRecord)
            least = old.epoch + (old.owner != new.owner) if old else 1
            assert new.epoch >= least, "an epoch that doesn't grow"
            if not late:
                self.check_change(old, new)
        return result

    def check_change(self, old: OwnerRecord | None, new: OwnerRecord) -> None:
        """Check that nobody takes a shard from a daemon that is well."""
        if old is None or old.epoch == new.epoch:
            return
        owner = self.daemons.get(old.owner)
        if owner is None or owner.member.incarnation != old.incarnation:
            return
        well = self.now_ms - owner.disturbed_ms > CALM_MS
        gave = old.shard in owner.ownership.pending_handovers or old.owner == new.owner
        assert gave or not well, "taken from an owner that answers"

    def land_late(self) -> None:
        """Let the delayed calls take effect."""
        late, self.late = self.late, []
        for operation in late:
            self.execute(operation, late=True)

    def feed(self, daemon: Daemon, event: ports.Event) -> None:
        """Hand an event to a daemon and carry out what it wants."""
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
                    assert key not in self.holders, "held twice under one epoch"
                    self.holders[key] = holder
                    last = self.epochs.get(record.shard, 0)
                    self.epochs[record.shard] = max(last, record.epoch)
                case HandOverWanted(shard=shard):
                    outputs.extend(daemon.ownership.hand_over(shard, self.now_ms))
                case ShardLost(shard=shard):
                    assert shard not in daemon.ownership.held

    def owners(self) -> dict[str, tuple[str, int]]:
        """Return owner and epoch of each shard, as the store has them."""
        prefix = SETTINGS.store.prefix + "owners/"
        records = [
            codec.decode(item.value, OwnerRecord)
            for key, item in self.table.items.items()
            if key.startswith(prefix)
        ]
        return {record.shard: (record.owner, record.epoch) for record in records}

    def heal(self) -> None:
        """End all faults and let everything settle."""
        self.store = "up"
        for daemon in self.daemons.values():
            daemon.paused = daemon.cut = False
        if not self.daemons:
            self.start(0)
        self.land_late()
        self.run(60_000)

    def check_settled(self) -> None:
        """Check that each shard is held by its preferred live member alone."""
        members = [d.member for d in self.daemons.values() if not d.membership.stopping]
        for shard in ShardMap.from_settings(SETTINGS.shards).shards:
            holders = [n for n, d in self.daemons.items() if shard in d.ownership.held]
            best = owner_order(shard, members)[0].member_id if members else None
            if best:
                assert holders == [best], f"{shard} is held by {holders}, not {best}"
                owner, epoch = self.owners()[shard]
                held = self.daemons[best].ownership.held[shard]
                assert (owner, epoch) == (best, held), "the record names another"


class OwnershipMachine(RuleBasedStateMachine):
    """Random faults; checks while they last and once they are over."""

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

    @rule(span_s=st.sampled_from((1, 3, 8, 20)), lossy=st.sampled_from((0, 0, 2, 3, 5)))
    def run(self, span_s: int, lossy: int) -> None:
        """Let time pass with a good or a bad store."""
        self.world.run(span_s * 1_000, lossy)

    @rule(store=st.sampled_from(("up", "up", "down")))
    def change_store(self, store: str) -> None:
        """Take the store down or up."""
        self.world.store = store

    @rule(number=st.integers(0, 4))
    def start(self, number: int) -> None:
        """Start or restart a daemon."""
        self.world.start(number)

    @precondition(lambda self: len(self.world.daemons) > 1)
    @rule(number=st.integers(0, 4))
    def kill(self, number: int) -> None:
        """End a daemon."""
        self.world.kill(self.pick(number).member.member_id)

    @precondition(lambda self: self.world.daemons)
    @rule(number=st.integers(0, 4), paused=st.booleans(), cut=st.booleans())
    def disturb(self, number: int, paused: bool, cut: bool) -> None:
        """Pause a daemon, cut it off from the store, or neither."""
        daemon = self.pick(number)
        daemon.paused = paused
        daemon.cut = cut

    @precondition(lambda self: len(self.world.daemons) > 2)
    @rule(number=st.integers(0, 4))
    def stop(self, number: int) -> None:
        """Ask a daemon to stop; it hands its shards over first."""
        self.pick(number).membership.leave()

    @rule()
    def land_late(self) -> None:
        """Let delayed calls take effect."""
        self.world.land_late()

    @rule(span_s=st.sampled_from((2, 10, 120)))
    def outage(self, span_s: int) -> None:
        """Check that an outage of the store alone moves nothing."""
        self.world.heal()
        before = self.world.owners()
        self.world.store = "down"
        self.world.run(span_s * 1_000)
        self.world.store = "up"
        self.world.run(20_000)
        assert self.world.owners() == before, "an outage moved a shard"

    def teardown(self) -> None:
        """Check that everything settles."""
        self.world.heal()
        self.world.check_settled()


class OwnershipTest(unittest.TestCase):
    """Ownership under faults."""

    def test_fuzz(self) -> None:
        """No shard is held twice, taken from the living, or left alone."""
        run_machine(OwnershipMachine, 8, 15)

    def started(self, settings: Settings = SETTINGS) -> World:
        """Return a world of three daemons that has settled."""
        world = World(settings=settings)
        for number in range(3):
            world.start(number)
        world.run(30_000)
        world.check_settled()
        return world

    def test_orphan_horizon(self) -> None:
        """An owner without proof stops, and comes back under a new epoch only."""
        members = evolve(SETTINGS.members, orphan_horizon_ms=10_000)
        world = self.started(evolve(SETTINGS, members=members))
        before = world.owners()
        world.store = "down"
        world.run(8_000)
        self.assertTrue(any(d.ownership.held for d in world.daemons.values()))
        world.run(4_000)
        self.assertFalse(any(d.ownership.held for d in world.daemons.values()))
        world.store = "up"
        world.run(60_000)
        world.check_settled()
        for shard, (_, epoch) in world.owners().items():
            self.assertGreater(epoch, before[shard][1])

    def test_stopping_daemon_hands_over(self) -> None:
        """A daemon that stops gives its shards away and leaves at once."""
        world = self.started()
        owner = next(d for d in world.daemons.values() if d.ownership.held)
        owner.membership.leave()
        world.run(10_000)
        self.assertEqual(owner.ownership.held, {})
        owner.membership.deregister()
        world.run(2_000)
        self.assertTrue(owner.membership.deregistered)
        name = owner.member.member_id
        self.assertNotIn(f"{SETTINGS.store.prefix}members/{name}", world.table.items)
        world.check_settled()

    def test_second_is_named(self) -> None:
        """The second lies in another zone; its change is certain before it counts."""
        world = self.started()
        owner = next(d for d in world.daemons.values() if d.ownership.held)
        shard = next(iter(owner.ownership.held))
        second = owner.ownership.confirmed_backup(shard)
        self.assertNotEqual(
            world.daemons[second].member.zone, owner.member.zone, "zones"
        )
        world.kill(owner.member.member_id)
        world.run(30_000)
        heir = next(d for d in world.daemons.values() if shard in d.ownership.held)
        record = heir.ownership.owner_of(shard)
        self.assertIn(second, record.earlier_seconds)
        heir.ownership.assign_backup(shard, record.second)
        self.assertEqual(heir.ownership.confirmed_backup(shard), "")
        world.run(2_000, 0.9, 1)
        world.run(10_000)
        self.assertEqual(heir.ownership.confirmed_backup(shard), record.second)
        self.assertEqual(heir.ownership.owner_of(shard).earlier_seconds, ())


if __name__ == "__main__":
    run_machine(OwnershipMachine, int(sys.argv[1]), int(sys.argv[2]))
