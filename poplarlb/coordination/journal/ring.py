"""The records and keys of a shard's journal in the store.

Entries are written to a ring of slots; a slot is reused once a snapshot covers its
entry.
"""

import re
from collections.abc import Iterable

from attrs import frozen

_SLOT_NAME = re.compile(r"[0-9]{4,}")


@frozen
class JournalEntry:
    """The content of one slot of the ring: its writer and the staged items.

    ``sequence`` numbers the shard's entries; ``epoch`` is the number of the writer's
    ownership. With ``continued`` the last item continues in the same writer's next
    entry.
    """

    writer: str
    epoch: int
    sequence: int
    items: tuple[bytes, ...]
    continued: bool = False

    def is_same_append(self, other: "JournalEntry") -> bool:
        """Return whether both entries come from the same append."""
        mine = (self.writer, self.epoch, self.sequence)
        return mine == (other.writer, other.epoch, other.sequence)


@frozen
class SnapshotHead:
    """Identifies a snapshot and its parts.

    ``sequence`` is that of the last entry that the snapshot covers. ``attempt``
    numbers the snapshots that the writer began under the epoch.
    """

    writer: str
    epoch: int
    sequence: int
    attempt: int
    parts: int
    size_bytes: int


@frozen
class ShardKeys:
    """The keys of one shard's journal below ``prefix``.

    :param ring_slots: the size of the ring, fixed for the lifetime of a deployment.
    """

    prefix: str
    ring_slots: int

    @property
    def log(self) -> str:
        """The prefix of the ring's slots."""
        return f"{self.prefix}log/"

    @property
    def snapshot(self) -> str:
        """The prefix of the snapshot's head and parts."""
        return f"{self.prefix}snapshot/"

    @property
    def snapshot_head(self) -> str:
        """The key of the snapshot's head."""
        return f"{self.snapshot}head"

    def slot(self, sequence: int) -> str:
        """Return the key of the slot that holds an entry."""
        return f"{self.log}{sequence % self.ring_slots:04d}"

    def is_slot(self, key: str) -> bool:
        """Return whether a key below ``log`` is that of a slot, of any ring."""
        return _SLOT_NAME.fullmatch(key.removeprefix(self.log)) is not None

    def parts(self, head: SnapshotHead) -> list[str]:
        """Return the keys of all parts of a head's snapshot, in order."""
        name = f"{head.epoch:010d}-{head.sequence:012d}-{head.attempt:06d}"
        return [
            f"{self.snapshot}part/{name}-{number:04d}" for number in range(head.parts)
        ]


@frozen
class JoinedItems:
    """Complete items in order, and the beginning of an incomplete last one."""

    items: tuple[bytes, ...]
    tail: bytes = b""


def join_items(
    entries: Iterable[JournalEntry], head: SnapshotHead | None, tail: bytes
) -> JoinedItems:
    """Return the items of the entries in order, with divided items joined.

    An item whose writer was deposed before its last fragment was written is left out.

    :param head: of the snapshot that precedes the entries; its writer began ``tail``.
    :param tail: the start of an item whose rest is in the first entry, or ``b""``.
    """
    complete: list[bytes] = []
    fragments = [tail] if tail else []
    source = (head.writer, head.epoch) if head else ("", 0)
    for entry in entries:
        if (entry.writer, entry.epoch) != source:
            source = (entry.writer, entry.epoch)
            fragments = []
        items = list(entry.items)
        if fragments and items:
            items[0] = b"".join([*fragments, items[0]])
            fragments = []
        if entry.continued:
            fragments = [items.pop()]
        complete.extend(items)
    return JoinedItems(tuple(complete), b"".join(fragments))
