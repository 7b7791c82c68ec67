"""Tests of the budget of store calls: rate, order and no starvation."""

import collections
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from poplarlb.coordination.membership.budget import (
    CallBudget,
    CallPriority,
    StoreCallQueue,
    UrgentStoreCall,
)
from poplarlb.protocol import ports
from poplarlb.settings import StoreSettings

SETTINGS = StoreSettings(calls_per_s=10, burst_calls=5)
PREFIX = SETTINGS.prefix
MAKERS = {
    CallPriority.CRITICAL: lambda n: ports.StoreCall(n, ports.StoreLeaseRenew(1)),
    CallPriority.URGENT: lambda n: UrgentStoreCall(
        n, ports.StoreWrite(f"{PREFIX}shards/a/log/0001", b"", 0)
    ),
    CallPriority.REGULAR: lambda n: ports.StoreCall(
        n, ports.StoreRead(f"{PREFIX}shards/a/log/")
    ),
}


class BudgetTest(unittest.TestCase):
    """Rate and order of store calls."""

    def setUp(self) -> None:
        """Start with a full bucket."""
        self.queue = StoreCallQueue(CallBudget(SETTINGS))

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.lists(st.tuples(st.sampled_from(CallPriority), st.integers(0, 400))))
    def test_rate_and_order(self, steps: list) -> None:
        """Calls never exceed the rate; calls of one priority stay in order."""
        queue = StoreCallQueue(CallBudget(SETTINGS))
        released = []
        now_ms = 0
        for number, (priority, elapsed_ms) in enumerate(steps):
            now_ms += elapsed_ms
            queue.push(MAKERS[priority](number))
            released.extend(queue.release(now_ms))
            self.assertLessEqual(len(released), 5 + now_ms * 10 / 1000 + 1e-6)
        released.extend(queue.release(now_ms + 500_000))
        while len(queue):
            now_ms += 500_000
            released.extend(queue.release(now_ms))
        orders = collections.defaultdict(list)
        for call in released:
            orders[queue.priority_of(call)].append(call.call_id)
        for numbers in orders.values():
            self.assertEqual(numbers, sorted(numbers))
        self.assertEqual(len(released), len(steps))

    def test_critical_first_and_none_starve(self) -> None:
        """Under a constant load of critical calls the others are still released."""
        self.queue.push(MAKERS[CallPriority.REGULAR](1))
        self.queue.push(MAKERS[CallPriority.URGENT](2))
        for number in range(3, 40):
            self.queue.push(MAKERS[CallPriority.CRITICAL](number))
        released = self.queue.release(0)
        self.assertEqual([call.call_id for call in released], [3, 4, 5, 1, 6])
        released = self.queue.release(1_000)
        self.assertIn(2, [call.call_id for call in released])

    def test_priorities(self) -> None:
        """Owner, member and configuration keys are critical; journals are not."""
        for name in ("owners/", "members/d1", "config/head"):
            read = ports.StoreCall(1, ports.StoreRead(PREFIX + name))
            write = ports.StoreCall(1, ports.StoreWrite(PREFIX + name, b"", 0))
            self.assertIs(self.queue.priority_of(read), CallPriority.CRITICAL)
            self.assertIs(self.queue.priority_of(write), CallPriority.CRITICAL)
        for priority, make in MAKERS.items():
            self.assertIs(self.queue.priority_of(make(1)), priority)
