"""Limits on all that the clients of a process make it hold, together.

When a limit is exceeded, the connections that have held the most for the longest time
are shed first: an ordinary request is small and complete within milliseconds.
"""

import itertools
from collections.abc import Callable

from attrs import Factory, define, frozen

FILE_DESCRIPTORS = 200  # of a process, not available for sockets
CONNECTIONS_SHARE = 0.4  # of the descriptors for sockets
REQUESTS_SHARE = 0.25  # each request may need a connection to the store
ACCEPTS_SHARE = 0.25  # accepted at once, before any is counted
MAX_ACCEPTS = 512
MEMORY_SHARE = 0.25  # of a process's memory
KEPT_SHARE = 7 / 8  # of an exceeded limit is kept, so that shedding is rare


@frozen
class ClientLimits:
    """Limits on all clients of a process together.

    ``memory_bytes`` is for all that is held for them, ``connections`` for open
    connections, ``requests`` for requests handled at once, and ``accepts`` for
    connections that are accepted at once.
    """

    memory_bytes: int = 40_000_000
    connections: int = 1_558
    requests: int = 974
    accepts: int = MAX_ACCEPTS

    @classmethod
    def for_machine(cls, memory_mb: int, descriptors: int) -> "ClientLimits":
        """Return the limits of a process that may use so much memory in MB."""
        sockets = max(descriptors - FILE_DESCRIPTORS, 0)
        return cls(
            int(memory_mb * 1_000_000 * MEMORY_SHARE),
            max(1, int(sockets * CONNECTIONS_SHARE)),
            max(1, int(sockets * REQUESTS_SHARE)),
            max(1, min(int(sockets * ACCEPTS_SHARE), MAX_ACCEPTS)),
        )


@define(eq=False)
class ClientHolding:
    """What one connection makes the process hold.

    ``shed`` closes the connection, or drops what it holds beyond the request being
    handled. ``droppable_bytes`` would be released by that, ``handled_bytes`` are held
    until its request is answered. ``since_s`` is when the request that is being
    received began, or else the last one ended.
    """

    shed: Callable[[], None]
    since_s: float
    droppable_bytes: int = 0
    handled_bytes: int = 0

    @property
    def total_bytes(self) -> int:
        """All that the connection holds."""
        return self.droppable_bytes + self.handled_bytes

    def weigh(self, now_s: float) -> float:
        """Return the byte-seconds that shedding this holding is rated by."""
        return self.droppable_bytes * (now_s - self.since_s)


@define(eq=False)
class ClientBudget:
    """Adds up the holdings of all connections and chooses which of them are shed.

    ``handled`` is the number of requests being handled.

    :ivar on_shed: called with the limit's name and the holdings that are shed.
    """

    limits: ClientLimits = Factory(ClientLimits)
    on_shed: Callable[[str, list[ClientHolding]], None] = lambda name, shed: None
    holdings: set[ClientHolding] = Factory(set)
    used_bytes: int = 0
    handled: int = 0

    def add(self, holding: ClientHolding, now_s: float) -> None:
        """Count a new connection; shed others if there are too many."""
        self.holdings.add(holding)
        self.used_bytes += holding.total_bytes
        self.enforce(now_s)

    def resize(
        self, holding: ClientHolding, droppable_bytes: int, handled_bytes: int
    ) -> None:
        """Count what a connection holds now."""
        change = droppable_bytes + handled_bytes - holding.total_bytes
        holding.droppable_bytes = droppable_bytes
        holding.handled_bytes = handled_bytes
        if holding in self.holdings:
            self.used_bytes += change

    def remove(self, holding: ClientHolding) -> None:
        """Stop counting a connection, which holds nothing any more."""
        if holding in self.holdings:
            self.holdings.remove(holding)
            self.used_bytes -= holding.total_bytes

    def find_exceeded(self) -> str:
        """Return the limit that another request would exceed, or an empty string."""
        if self.handled >= self.limits.requests:
            return "requests"
        return "memory_bytes" if self.used_bytes > self.limits.memory_bytes else ""

    @property
    def is_exceeded(self) -> bool:
        """Whether there are too many connections, or they hold too much."""
        return (
            self.used_bytes > self.limits.memory_bytes
            or len(self.holdings) > self.limits.connections
        )

    def enforce(self, now_s: float) -> None:
        """Shed holdings until the limits are kept, as far as that is possible."""
        if not self.is_exceeded:
            return
        for name, chosen in (
            ("connections", self.choose_by_count(now_s)),
            ("memory_bytes", self.choose_by_size(now_s)),
        ):
            if chosen:
                self.on_shed(name, chosen)
            for holding in chosen:
                holding.shed()

    def choose_by_count(self, now_s: float) -> list[ClientHolding]:
        """Return the connections to close, those without a request being handled."""
        if len(self.holdings) <= self.limits.connections:
            return []
        excess = len(self.holdings) - int(self.limits.connections * KEPT_SHARE)
        idle = [item for item in self.holdings if not item.handled_bytes]
        return sort_by_weight(idle, now_s)[:excess]

    def choose_by_size(self, now_s: float) -> list[ClientHolding]:
        """Return the holdings whose release frees enough memory."""
        if self.used_bytes <= self.limits.memory_bytes:
            return []
        excess = self.used_bytes - int(self.limits.memory_bytes * KEPT_SHARE)
        droppable = [item for item in self.holdings if item.droppable_bytes]
        ordered = sort_by_weight(droppable, now_s)
        freed = itertools.accumulate(
            (item.droppable_bytes for item in ordered), initial=0
        )
        return [
            item
            for item, freed_before in zip(ordered, freed, strict=False)
            if freed_before < excess
        ]


def sort_by_weight(holdings: list[ClientHolding], now_s: float) -> list[ClientHolding]:
    """Return holdings in the order in which they are shed."""
    return sorted(holdings, key=lambda item: item.weigh(now_s), reverse=True)
