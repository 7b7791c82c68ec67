"""What the product asks of a key-value store; the platform's adapter provides it."""

from typing import Protocol

from attrs import frozen


@frozen
class StoredItem:
    """One key; ``revision`` is that of its last change."""

    key: str
    value: bytes
    revision: int


@frozen
class StoredList:
    """Every key under a prefix; changes after ``revision`` may be missing."""

    items: tuple[StoredItem, ...]
    revision: int


@frozen
class StoredChange:
    """One change; ``value`` is None if the key was removed."""

    key: str
    value: bytes | None
    revision: int


@frozen
class StoredChanges:
    """The changes after a revision, up to ``revision``."""

    changes: tuple[StoredChange, ...]
    revision: int


@frozen
class Expectation:
    """A key must be at a revision; 0 means absent."""

    key: str
    revision: int


@frozen
class Put:
    """A key gets a value, bound to a lease unless it is 0."""

    key: str
    value: bytes
    lease: int = 0


@frozen
class Transaction:
    """Changes that are made together if every expectation holds."""

    expected: tuple[Expectation, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@frozen
class Applied:
    """A transaction was carried out."""

    revision: int


@frozen
class Conflict:
    """An expectation did not hold; ``items`` are those that exist."""

    items: tuple[StoredItem, ...]

    def find(self, key: str) -> StoredItem | None:
        """Return the present item of an expected key."""
        return next((item for item in self.items if item.key == key), None)


@frozen
class LeaseGone:
    """The lease that a put names has ended."""


TransactionResult = Applied | Conflict | LeaseGone


class Store(Protocol):
    """A linearizable key-value store with leases and watches.

    Every method raises :class:`StoreRefusedError` if nothing was done, and
    :class:`CallUnansweredError` if the effect is unknown.
    """

    @property
    def is_down(self) -> bool:
        """Tell whether calls have failed for a while and none has been answered."""

    async def get(self, key: str) -> StoredItem | None:
        """Return a key's item, or None."""

    async def list(self, prefix: str) -> StoredList:
        """Return every item under a prefix."""

    async def watch(self, prefix: str, after: int, wait_ms: int) -> StoredChanges:
        """Return changes after a revision, as soon as there is one.

        :raises HistoryGoneError: the changes are no longer kept.
        """

    async def transact(
        self, transaction: Transaction, timeout_s: float = 1.0
    ) -> TransactionResult:
        """Carry a transaction out."""

    async def grant_lease(self, ttl_ms: int) -> int:
        """Return a new lease."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; false if it has ended."""

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
