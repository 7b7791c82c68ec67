"""The interface of the key-value store; the platform's adapter implements it."""

from collections.abc import Callable
from typing import Protocol

from attrs import frozen


@frozen
class StoredItem:
    """One key with its value; ``revision`` is that of its last change."""

    key: str
    value: bytes
    revision: int


@frozen
class StoredList:
    """The items under a prefix; changes after ``revision`` may be missing."""

    items: tuple[StoredItem, ...]
    revision: int


@frozen
class StoredChange:
    """One change of a key; ``value`` is None if the key was removed."""

    key: str
    value: bytes | None
    revision: int


@frozen
class StoredChanges:
    """The changes after a requested revision, up to and including ``revision``."""

    changes: tuple[StoredChange, ...]
    revision: int


@frozen
class Expectation:
    """A precondition: a key must be at a revision; 0 means absent."""

    key: str
    revision: int


@frozen
class Put:
    """Sets a key to a value, bound to a lease unless ``lease`` is 0."""

    key: str
    value: bytes
    lease: int = 0


@frozen
class Transaction:
    """Changes that are made atomically if every expectation holds."""

    expected: tuple[Expectation, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@frozen
class Applied:
    """A transaction was carried out."""

    revision: int


@frozen
class Conflict:
    """An expectation did not hold; ``items`` are the present items of expected keys."""

    items: tuple[StoredItem, ...]

    def find(self, key: str) -> StoredItem | None:
        """Return the present item of an expected key, or None."""
        return next((item for item in self.items if item.key == key), None)


@frozen
class LeaseGone:
    """The lease that a put is bound to has expired or was revoked."""


TransactionResult = Applied | Conflict | LeaseGone


class Store(Protocol):
    """A linearizable key-value store with leases and watches.

    Every method raises :class:`StoreRefusedError` if nothing was done,
    :class:`CallUnansweredError` if the outcome is ambiguous, and
    :class:`BadAnswerError` if the answer could not be decoded.
    """

    @property
    def is_down(self) -> bool:
        """Return whether calls have failed for a while and none was answered."""

    async def get(self, key: str) -> StoredItem | None:
        """Return a key's item, or None."""

    async def list(self, prefix: str, timeout_s: float = 1.0) -> StoredList:
        """Return every item under a prefix.

        The list holds every change up to its revision, the store's when the first page
        was read.

        :param timeout_s: how long each page may take until its body arrives.
        """

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_ms: int,
        on_progress: Callable[[], None] | None = None,
    ) -> StoredChanges:
        """Return the changes after a revision as soon as there is one.

        Returns none if there is no change within ``wait_ms``.

        :param on_progress: called when a part of the answer has arrived.
        :raises HistoryGoneError: the store no longer keeps the changes.
        """

    async def transact(
        self, transaction: Transaction, timeout_s: float = 1.0
    ) -> TransactionResult:
        """Execute a transaction.

        :param timeout_s: until the answer's body arrives; it holds the values of keys
            whose revision was not the expected one.
        """

    async def grant_lease(self, ttl_ms: int) -> int:
        """Return the id of a new lease."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return false if it has expired or was revoked."""

    async def end_lease(self, lease: int) -> None:
        """Revoke a lease, which removes its keys."""
