"""Tests of the maps to shards and of the order of owners."""

import collections
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from poplarlb.coordination.membership.sharding import (
    Member,
    ShardMap,
    choose_backup,
    owner_order,
    shard_zone,
)
from poplarlb.settings import ShardSettings
from poplarlb.state.models import Resources, TaskKey, Worker

ZONES = ("kochi", "thrissur", "kollam")
MAP = ShardMap.from_settings(ShardSettings(zones=ZONES, shards_per_zone=4))
KNOWN_HOMES = ["kochi/3", "thrissur/1", "kochi/3", "thrissur/0"]
MEMBERS = st.lists(
    st.builds(
        lambda number, zone: Member(f"d{number}", zone, "", "", 1),
        st.integers(0, 99),
        st.sampled_from(ZONES),
    ),
    min_size=1,
    max_size=9,
    unique_by=lambda member: member.member_id,
)


class ShardingTest(unittest.TestCase):
    """Stability, balance and zones."""

    def test_known_homes(self) -> None:
        """The maps never change, because records in the store depend on them."""
        homes = [MAP.home_of_task(TaskKey("dairy", f"s{n}")) for n in range(4)]
        self.assertEqual(homes, KNOWN_HOMES)

    def test_balance(self) -> None:
        """Names spread evenly over shards."""
        counts = collections.Counter(
            MAP.home_of_task(TaskKey("dairy", f"job-{n}")) for n in range(6_000)
        )
        self.assertEqual(len(counts), len(MAP.shards))
        self.assertLess(max(counts.values()), 1.3 * 6_000 / len(MAP.shards))

    def test_workers_stay_in_their_zone(self) -> None:
        """A worker's shard lies in its zone; an unknown zone has none."""
        size = Resources(1, 1)
        for zone in ZONES:
            worker = Worker("w1", zone, "r1", "127.0.0.1:1", size)
            self.assertEqual(shard_zone(MAP.of_worker(worker)), zone)
        unknown = Worker("w1", "idukki", "r1", "127.0.0.1:1", size)
        self.assertEqual(MAP.of_worker(unknown), "")

    @settings(derandomize=True, deadline=None, database=None)
    @given(MEMBERS, st.sampled_from(MAP.shards))
    def test_order(self, members: list[Member], shard: str) -> None:
        """Members of other zones come first; a leaving member moves only its shards."""
        order = owner_order(shard, members)
        own_zone = [member.zone == shard_zone(shard) for member in order]
        self.assertEqual(own_zone, sorted(own_zone))
        for leaving in members:
            rest = [member for member in members if member is not leaving]
            expected = [member for member in order if member is not leaving]
            self.assertEqual(owner_order(shard, rest), expected)
        backup = choose_backup(shard, order[0], members)
        zones = {member.zone for member in members}
        chosen = [member for member in members if member.member_id == backup]
        self.assertEqual(bool(chosen), len(members) > 1)
        if chosen and len(zones) > 1:
            self.assertNotEqual(chosen[0].zone, order[0].zone)
