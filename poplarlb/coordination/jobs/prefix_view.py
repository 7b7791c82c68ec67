"""What a daemon knows of the keys under a prefix of the store, and as of when.

Every decision by such keys rests on one :class:`PrefixView`. Only a listing proves that
no change is missing. The answers of a watch bring changes sooner, but a change that one
of them leaves out shows only in a later listing.
"""

from attrs import Factory, define, frozen

from poplarlb.protocol.store import StoredChange, StoredChanges, StoredList


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
    :ivar removed: the revision of each removal that the watch brought after the last
        listing.
    :ivar listed_revision: the last listing holds every change up to this revision.
    :ivar watched_revision: where the watch continues; 0 before the first listing.
    :ivar proven_ms: every change that the store confirmed before this time is known;
        None before the first listing.
    """

    known: dict[str, int] = Factory(dict)
    removed: dict[str, int] = Factory(dict)
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
        for change in gone:
            del self.known[change.key]
        self.known.update((change.key, change.revision) for change in written)
        missed = tuple(
            change for change in written if change.revision <= self.watched_revision
        )
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
                self.known.pop(change.key, None)
                self.removed[change.key] = change.revision
            else:
                self.known[change.key] = change.revision
            changes.append(change)
        self.watched_revision = max(self.watched_revision, found.revision)
        return ViewUpdate(tuple(changes))

    def latest_revision(self, key: str) -> int:
        """Return the revision of a key's last known change; 0 if none is known."""
        return max(self.known.get(key, 0), self.removed.get(key, 0))

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since ``proven_ms``; None before the first listing."""
        return None if self.proven_ms is None else now_ms - self.proven_ms
