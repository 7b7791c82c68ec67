"""Tests of the choice of a shard for a request, and of the retry budget."""

import collections
import unittest

from poplarlb.coordination.requests.retries import INITIAL_RETRIES, RetryBudget
from poplarlb.coordination.requests.router import choose_shard
from poplarlb.protocol import api
from poplarlb.protocol.messages import EndpointSummary, ShardSummary
from poplarlb.state.models import Resources


def make_summary(zone: str, free: int, queued: int = 0, endpoints: int = 4):
    """Return the summary of a zone's only shard."""
    endpoint = EndpointSummary("dairy", "orders", endpoints, free, queued)
    return ShardSummary(f"{zone}/0", 1, zone, Resources(), Resources(), 0, (endpoint,))


def ask(number: int) -> api.AdmitRequest:
    """Return a request for a slot."""
    return api.AdmitRequest(f"r{number}", "dairy", "orders", 1_000)


class RouterTest(unittest.TestCase):
    """Choices between shards, by their summaries."""

    def test_own_zone_wins_near_tie(self) -> None:
        """The own zone is preferred unless another zone is clearly less loaded."""
        even = [make_summary(zone, 30) for zone in "abc"]
        for number in range(20):
            self.assertEqual(choose_shard(ask(number), even, "b"), "b/0")
        busy = [make_summary("a", 30), make_summary("b", 0, 9), make_summary("c", 30)]
        chosen = {choose_shard(ask(number), busy, "b") for number in range(20)}
        self.assertEqual(chosen, {"a/0", "c/0"})

    def test_sampling_spreads_requests(self) -> None:
        """One stale summary does not send every request to the same shard."""
        zones = "abcdef"
        shards = [make_summary(zone, 30 if zone == "a" else 20) for zone in zones]
        counts = collections.Counter(
            choose_shard(ask(number), shards) for number in range(300)
        )
        self.assertGreaterEqual(len(counts), 5)
        self.assertLess(counts["a/0"], 150)

    def test_without_endpoints(self) -> None:
        """Shards that were tried or have no endpoints are not chosen."""
        shards = [make_summary("a", 0, endpoints=0), make_summary("b", 1)]
        self.assertEqual(choose_shard(ask(1), shards, "a"), "b/0")
        self.assertEqual(choose_shard(ask(1), shards, "a", ["b/0"]), "")

    def test_retries_are_a_share_of_successes(self) -> None:
        """Successes earn retries; a share of 0 allows no retries."""
        budget = RetryBudget(0.1)
        self.assertEqual(sum(budget.try_take() for _ in range(50)), INITIAL_RETRIES)
        for _ in range(25):
            budget.record_success()
        self.assertEqual(sum(budget.try_take() for _ in range(50)), 2)
        self.assertFalse(RetryBudget(0).try_take())
