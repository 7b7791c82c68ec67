"""What a daemon knows of the keys under a prefix of the store, and as of when.

Every decision by such keys rests on one :class:`PrefixView`. Only a listing, or a
comparison of the revisions of all keys that matter, proves that no change is missing.
The answers of a watch bring changes sooner, but a change that one of them leaves out
shows only in a later listing or comparison.
"""

from collections.abc import Iterable

from attrs import Factory, define, frozen

from poplarlb.protocol.store import (
    Expectation,
    StoredChange,
    StoredChanges,
    StoredItem,
    StoredList,
)


@frozen
class ViewUpdate:
    """Changes that were not known before, in the order in which to apply them.

    ``missed`` holds those of them that the watch should have brought earlier.
    """

    changes: tuple[StoredChange, ...] = ()
    missed: tuple[StoredChange, ...] = ()


@define
class PrefixView:
    """The revisions of the keys under a prefix, from listings and a watch.

    Both may be in flight at the same time and be answered in any order: a change is
    passed on once, and none that an answer already applied has superseded.

    :ivar known: the revision of each existing key.
    :ivar value_bytes: the size of each existing key's value.
    :ivar removed: the revision of each removal that the watch brought after the last
        listing.
    :ivar compared: the revision of the store when a key was last found unchanged.
    :ivar listed_revision: the last listing holds every change up to this revision.
    :ivar watched_revision: where the watch continues; 0 before the first listing.
    :ivar proven_ms: every change that the store confirmed before this time is known;
        None before the first listing.
    """

    known: dict[str, int] = Factory(dict)
    value_bytes: dict[str, int] = Factory(dict)
    removed: dict[str, int] = Factory(dict)
    compared: dict[str, int] = Factory(dict)
    listed_revision: int = 0
    watched_revision: int = 0
    proven_ms: int | None = None

    def apply_list(self, listed: StoredList, sent_ms: int) -> ViewUpdate:
        """Apply a listing that was requested at ``sent_ms``."""
        if listed.revision < self.listed_revision:
            return ViewUpdate()
        present = {item.key for item in listed.items}
        gone = tuple(
            StoredChange(key, None, listed.revision)
            for key, revision in self.known.items()
            if key not in present and revision <= listed.revision
        )
        written = tuple(
            StoredChange(item.key, item.value, item.revision)
            for item in listed.items
            if item.revision > self.latest_revision(item.key)
        )
        missed = tuple(
            change for change in written if change.revision <= self.watched_revision
        )
        for change in gone + written:
            self._set(change)
        self.listed_revision = listed.revision
        self.watched_revision = max(self.watched_revision, listed.revision)
        self.removed = {
            key: revision
            for key, revision in self.removed.items()
            if revision > listed.revision
        }
        self.proven_ms = max(sent_ms, self.proven_ms or 0)
        return ViewUpdate(gone + written, missed)

    def apply_watch(self, found: StoredChanges) -> ViewUpdate:
        """Apply an answer to a watch from ``watched_revision``."""
        changes = []
        for change in found.changes:
            if change.revision <= self.listed_revision:
                continue
            if change.revision <= self.latest_revision(change.key):
                continue
            if change.value is None:
                self.removed[change.key] = change.revision
            self._set(change)
            changes.append(change)
        self.watched_revision = max(self.watched_revision, found.revision)
        return ViewUpdate(tuple(changes))

    def _set(self, change: StoredChange) -> None:
        """Set or forget a key's revision and size."""
        if change.value is None:
            self.known.pop(change.key, None)
            self.value_bytes.pop(change.key, None)
        else:
            self.known[change.key] = change.revision
            self.value_bytes[change.key] = len(change.value)

    @property
    def total_bytes(self) -> int:
        """Return the size of all values, which a listing carries."""
        return sum(self.value_bytes.values())

    def expect(self, keys: Iterable[str]) -> tuple[Expectation, ...]:
        """Return the keys with their known revisions, 0 for those not known to exist.

        If the store finds them unchanged, no change of these keys is missing.
        """
        return tuple(Expectation(key, self.known.get(key, 0)) for key in keys)

    def continue_watch_from(self, revision: int) -> None:
        """Have the watch continue after a revision up to which nothing is missing."""
        self.watched_revision = max(self.watched_revision, revision)

    def confirm(
        self, compared: tuple[Expectation, ...], revision: int, sent_ms: int
    ) -> None:
        """Note that a comparison requested at ``sent_ms`` found what was expected.

        That proves nothing if a watch has meanwhile brought a key that didn't exist: it
        may have been removed again.

        :param revision: the store's when it compared.
        """
        if any(not item.revision and item.key in self.known for item in compared):
            return
        self.compared.update((item.key, revision) for item in compared)
        self.proven_ms = max(sent_ms, self.proven_ms or 0)

    def apply_conflict(
        self,
        compared: tuple[Expectation, ...],
        items: tuple[StoredItem, ...],
    ) -> ViewUpdate:
        """Apply what a comparison found instead of what was expected.

        It proves nothing, as the store's revision isn't known; the next one may.

        :param items: those of the compared keys that exist.
        """
        present = {item.key: item for item in items}
        written = tuple(
            StoredChange(item.key, item.value, item.revision)
            for item in items
            if item.revision > self.latest_revision(item.key)
        )
        gone = tuple(
            StoredChange(item.key, None, item.revision)
            for item in compared
            if item.key not in present
            and item.revision
            and self.known.get(item.key) == item.revision
        )
        missed = tuple(
            change for change in written if change.revision <= self.watched_revision
        )
        for change in gone:
            self.removed[change.key] = change.revision
        for change in gone + written:
            self._set(change)
        return ViewUpdate(gone + written, missed)

    def latest_revision(self, key: str) -> int:
        """Return the revision up to which a key's changes are known; 0 if none is."""
        return max(
            self.known.get(key, 0),
            self.removed.get(key, 0),
            self.compared.get(key, 0),
        )

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since ``proven_ms``; None before the first listing."""
        return None if self.proven_ms is None else now_ms - self.proven_ms
