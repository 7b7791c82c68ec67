"""Tests of registration under faults, heartbeats and the gossip budget."""

import unittest

import cbor2
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.gossip import Gossip
from poplarlb.coordination.membership.membership import Membership
from poplarlb.coordination.membership.sharding import Member
from poplarlb.protocol import codec, messages, ports
from poplarlb.settings import Settings
from poplarlb.state.models import Resources
from tests.standins.store import KeyTable

SETTINGS = Settings("d1", "kochi")
KEY = f"{SETTINGS.store.prefix}members/d1"
STEP_MS = 250
FREE = Resources(16_000, 60_000, 0)


def make_member(name: str, incarnation: int = 1) -> Member:
    """Return a member."""
    return Member(name, "kochi", f"{name}:1", f"{name}:2", incarnation)


def make_summary(number: int, queued: int = 0, endpoints: int = 10):
    """Return a shard's summary."""
    items = tuple(
        messages.EndpointSummary("dairy", f"service-{n}", 4, 20, queued)
        for n in range(endpoints)
    )
    shard = f"kochi/{number}"
    return messages.ShardSummary(shard, 3, "kochi", FREE, FREE, queued, items)


class MembershipTest(unittest.TestCase):
    """One daemon with a fake store and responsive or unresponsive peers."""

    def setUp(self) -> None:
        """Start with an empty store."""
        self.table = KeyTable()
        self.now_ms = 1_000_000
        self.membership = Membership(NodeContext(SETTINGS), make_member("d1"))
        self.sent: list[ports.SendPeer] = []

    def step(self, outcome: str = "answered") -> None:
        """Tick once and give all store calls the same outcome."""
        self.now_ms += STEP_MS
        pending = list(self.membership.handle(ports.Tick(), self.now_ms))
        while pending:
            command = pending.pop(0)
            if isinstance(command, ports.SendPeer):
                self.sent.append(command)
                continue
            result = ports.StoreFailed()
            if outcome != "not sent":
                result = self.table.execute(command.operation, self.now_ms)
            if outcome == "answer lost":
                result = ports.StoreFailed()
            event = ports.StoreReplied(command.call_id, result)
            pending.extend(self.membership.handle(event, self.now_ms))

    def run_for(self, span_ms: int, outcome: str = "answered") -> None:
        """Advance the clock step by step."""
        for _ in range(span_ms // STEP_MS):
            self.step(outcome)

    def deliver_heartbeat(self, name: str, **fields: object) -> None:
        """Deliver a heartbeat of a peer."""
        heartbeat = evolve(messages.Heartbeat(1, 1, 0), **fields)
        self.membership.handle(ports.PeerReceived(name, heartbeat), self.now_ms)

    def add_peer(self, name: str) -> int:
        """Register a peer under a lease of its own and return the lease."""
        lease = self.table.grant(6, self.now_ms)
        value = codec.encode(make_member(name), Member)
        self.table.put(f"{SETTINGS.store.prefix}members/{name}", value, lease)
        return lease

    @settings(derandomize=True, deadline=None, database=None, max_examples=60)
    @given(
        st.lists(st.sampled_from(("answered", "answer lost", "not sent")), max_size=60),
        st.booleans(),
    )
    def test_registration_recovers(self, outcomes: list[str], restarted: bool) -> None:
        """After any lost calls, the record is under a lease that is renewed."""
        self.setUp()
        if restarted:
            older = codec.encode(make_member("d1", 0), Member)
            self.table.put(KEY, older, self.table.grant(6, self.now_ms))
        for outcome in outcomes:
            self.step(outcome)
        self.run_for(10_000)
        for _ in range(80):
            self.step()
            self.assertIn(KEY, self.table.items)
        found = codec.decode(self.table.items[KEY].value, Member)
        self.assertEqual(found, self.membership.own)
        self.membership.deregister()
        for outcome in outcomes[:20]:
            self.step(outcome)
        self.run_for(10_000)
        self.assertTrue(self.membership.deregistered)
        self.assertNotIn(KEY, self.table.items)

    def test_registers_again_after_expired_lease(self) -> None:
        """After an outage longer than its lease an incarnation registers again."""
        self.run_for(2_000)
        self.run_for(20_000, "not sent")
        self.table.expire(self.now_ms)
        self.assertNotIn(KEY, self.table.items)
        self.run_for(4_000)
        found = codec.decode(self.table.items[KEY].value, Member)
        self.assertEqual(found.incarnation, 1)

    def test_superseded(self) -> None:
        """The record of a newer incarnation with our id is not overwritten."""
        newer = codec.encode(make_member("d1", 9), Member)
        self.table.put(KEY, newer, 0)
        self.run_for(5_000)
        self.assertEqual(self.table.items[KEY].value, newer)
        self.assertFalse(self.membership.registered)

    def test_dead_peer(self) -> None:
        """A peer is dead only if its lease has expired and it is unresponsive."""
        for name in ("d2", "d3"):
            self.add_peer(name)
        for _ in range(60):
            self.step()
            self.deliver_heartbeat("d2")
        self.assertFalse(self.membership.is_dead("d2", self.now_ms))
        self.assertTrue(self.membership.is_dead("d3", self.now_ms))
        self.assertEqual(
            self.membership.members_not_stopping(self.now_ms)[0].member_id, "d1"
        )
        self.assertIn("d3", {command.member_id for command in self.sent[-20:]})

    def test_odd_member_record_costs_that_record(self) -> None:
        """Guards against one odd record that leaves the other members unread."""
        sound = cbor2.loads(codec.encode(make_member("d3"), Member))
        odd_values = (
            b"",
            b"\xff\xfe",
            b"\x81" * 100_000,
            cbor2.dumps([sound]),
            cbor2.dumps({**sound, "incarnation": 10**30}),
            cbor2.dumps({**sound, "incarnation": float("inf")}),
            cbor2.dumps({**sound, "member_id": "d2"}),
            cbor2.dumps({**sound, "zone": None}),
        )
        key = f"{SETTINGS.store.prefix}members/d3"
        for value in odd_values:
            with self.subTest(value=value[:40]):
                self.setUp()
                self.add_peer("d2")
                self.table.put(key, codec.encode(make_member("d3"), Member), 0)
                self.run_for(5_000)
                self.assertEqual(set(self.membership.peers), {"d2", "d3"})
                self.table.put(key, value, 0)
                self.add_peer("d4")
                self.run_for(5_000)
                self.assertIn("d4", self.membership.peers)
                self.assertEqual(self.membership.address_of("d2"), "d2:1")
                for _ in range(240):
                    self.step()
                    self.deliver_heartbeat("d4")
                self.assertTrue(self.membership.is_dead("d2", self.now_ms))
                self.assertTrue(self.membership.is_dead("d3", self.now_ms))
                self.assertTrue(self.membership.registered)
                unreadable = self.membership.context.unreadable
                self.assertEqual([item.key for item in unreadable], [key])

    def test_odd_record_of_our_own_is_replaced(self) -> None:
        """Guards against an odd record under our key that ends the registration."""
        self.table.put(KEY, b"\x81" * 100_000, 0)
        self.run_for(5_000)
        found = codec.decode(self.table.items[KEY].value, Member)
        self.assertEqual(found, self.membership.own)
        self.table.put(KEY, b"\xff", 0)
        self.membership.deregister()
        self.run_for(5_000)
        self.assertTrue(self.membership.deregistered)

    def test_stopping_peer_is_not_live(self) -> None:
        """A peer that announces its stop is not a candidate owner."""
        self.add_peer("d2")
        self.run_for(2_000)
        self.deliver_heartbeat("d2", stopping=True)
        names = [m.member_id for m in self.membership.members_not_stopping(self.now_ms)]
        self.assertEqual(names, ["d1"])

    def test_summaries_are_merged(self) -> None:
        """A heartbeat without summaries keeps the last ones; a newer epoch wins."""
        for name in ("d2", "d3"):
            self.add_peer(name)
        self.run_for(2_000)
        self.deliver_heartbeat("d2", summaries=(make_summary(1), make_summary(2)))
        self.deliver_heartbeat("d2")
        self.deliver_heartbeat("d3", summaries=(evolve(make_summary(2), epoch=4),))
        kept = {
            name: [(s.shard, s.epoch) for s in peer.heartbeat.summaries]
            for name, peer in self.membership.peers.items()
        }
        self.assertEqual(kept, {"d2": [("kochi/1", 3)], "d3": [("kochi/2", 4)]})

    def test_gossip_budget(self) -> None:
        """Bytes stay within the budget and every peer gets every summary."""
        gossip = Gossip(4_000)
        summaries = tuple(make_summary(n, endpoints=20) for n in range(2))
        got = {f"d{n}": set() for n in range(59)}
        spent = 0
        for second in range(120):
            fresh = tuple(evolve(s, queued=second) for s in summaries)
            for peer, shards in got.items():
                for chosen in gossip.choose(peer, fresh, second * 1_000):
                    spent += len(codec.encode(chosen, messages.ShardSummary))
                    shards.add(chosen.shard)
        self.assertLess(spent, 4_000 * 122 + 10_000)
        self.assertTrue(all(len(shards) == 2 for shards in got.values()))
