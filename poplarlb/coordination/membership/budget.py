"""Rate limit of the daemon's store calls, and their priorities."""

import collections
import enum

from attrs import Factory, define, frozen

from poplarlb.protocol import ports
from poplarlb.settings import StoreSettings

FAIR_INTERVAL = 4
# Prefixes of the store keys whose calls are critical, below the common prefix.
CRITICAL_KEYS = ("owners/", "members/", "config/")


@frozen
class UrgentStoreCall(ports.StoreCall):
    """A store call for a journal commit that urgent work waits for."""


class CallPriority(enum.IntEnum):
    """The order of store calls while the budget is exhausted; lowest number first."""

    CRITICAL = 0
    URGENT = 1
    REGULAR = 2


@define
class CallBudget:
    """A token bucket: ``calls_per_s`` store calls on average and a bounded burst."""

    settings: StoreSettings
    tokens: float = 0.0
    filled_ms: int = 0

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = float(self.settings.burst_calls)

    def try_take(self, now_ms: int) -> bool:
        """Take one token; return whether one was available."""
        self._refill(now_ms)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self, now_ms: int) -> None:
        gained = max(0, now_ms - self.filled_ms) * self.settings.calls_per_s / 1000
        self.tokens = min(self.settings.burst_calls, self.tokens + gained)
        self.filled_ms = max(self.filled_ms, now_ms)


@define
class StoreCallQueue:
    """Delays store calls while the budget is exhausted.

    Critical calls (membership, ownership and configuration) go first, then urgent
    commits, then the rest. Every ``FAIR_INTERVAL``-th call is the one that has
    waited longest of all, so that no priority starves. ``pushed`` and ``released``
    count all calls so far.
    """

    budget: CallBudget
    waiting: dict[CallPriority, collections.deque] = Factory(
        lambda: {priority: collections.deque() for priority in CallPriority}
    )
    pushed: int = 0
    released: int = 0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return sum(len(calls) for calls in self.waiting.values())

    def push(self, call: ports.StoreCall) -> None:
        """Queue a call."""
        self.pushed += 1
        self.waiting[self.priority_of(call)].append((self.pushed, call))

    def release(self, now_ms: int) -> list[ports.StoreCall]:
        """Return the calls that the budget allows now, in order."""
        calls = []
        while len(self) and self.budget.try_take(now_ms):
            calls.append(self._next())
        return calls

    def priority_of(self, call: ports.StoreCall) -> CallPriority:
        """Return the call's priority."""
        prefix = self.budget.settings.prefix
        critical = tuple(prefix + name for name in CRITICAL_KEYS)
        match call.operation:
            case ports.StoreLeaseGrant() | ports.StoreLeaseRenew():
                return CallPriority.CRITICAL
            case ports.StoreRead(prefix=key) if key.startswith(critical):
                return CallPriority.CRITICAL
            case ports.StoreWrite(key=key) | ports.StoreDelete(key=key) if (
                key.startswith(critical)
            ):
                return CallPriority.CRITICAL
        if isinstance(call, UrgentStoreCall):
            return CallPriority.URGENT
        return CallPriority.REGULAR

    def _next(self) -> ports.StoreCall:
        self.released += 1
        queues = [calls for calls in self.waiting.values() if calls]
        chosen = queues[0]
        if self.released % FAIR_INTERVAL == 0:
            chosen = min(queues, key=lambda calls: calls[0][0])
        return chosen.popleft()[1]
