"""The records and keys of a shard's journal in the store."""

from collections.abc import Iterable

from attrs import frozen


@frozen
class JournalEntry:
    """One slot of the ring: who wrote it and what was staged.

    With ``continued`` the last item goes on in the same writer's next entry.
    """

    writer: str
    epoch: int
    sequence: int
    items: tuple[bytes, ...]
    continued: bool = False

    def is_same_append(self, other: "JournalEntry") -> bool:
        """Tell whether both come from the same append."""
        mine = (self.writer, self.epoch, self.sequence)
        return mine == (other.writer, other.epoch, other.sequence)


@frozen
class SnapshotHead:
    """Names a snapshot's parts; ``sequence`` is the last entry it covers.

    ``attempt`` counts the snapshots that the writer began under the epoch.
    """

    writer: str
    epoch: int
    sequence: int
    attempt: int
    parts: int
    size_bytes: int


@frozen
class ShardKeys:
    """The keys of one shard below ``prefix``.

    :param ring_slots: fixed for a deployment's life.
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
    def head(self) -> str:
        """The key of the snapshot's head."""
        return f"{self.snapshot}head"

    def slot(self, sequence: int) -> str:
        """Return the key of the slot that holds an entry."""
        return f"{self.log}{sequence % self.ring_slots:04d}"

    def parts(self, head: SnapshotHead) -> list[str]:
        """Return the keys of all parts that a head names, in order."""
        name = f"{head.epoch:010d}-{head.sequence:012d}-{head.attempt:06d}"
        return [
            f"{self.snapshot}part/{name}-{number:04d}" for number in range(head.parts)
        ]


@frozen
class JoinedItems:
    """Whole items in order, and the beginning of one that is not yet whole."""

    items: tuple[bytes, ...]
    tail: bytes = b""


def join_items(
    entries: Iterable[JournalEntry], head: SnapshotHead | None, tail: bytes
) -> JoinedItems:
    """Return the staged items of entries in order, divided ones put together.

    An item whose writer was deposed before its last piece is left out.

    :param tail: the beginning of an item of the head's writer, or nothing.
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
