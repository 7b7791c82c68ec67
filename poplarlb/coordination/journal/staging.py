"""The queue of items for a shard's next commits, divided into journal entries."""

import collections

from attrs import Factory, define, frozen

ITEM_OVERHEAD_BYTES = 8


@frozen
class _Fragment:
    """A staged item, or a part of one that is too long for one entry."""

    ticket: int
    data: bytes
    last: bool


@frozen
class Batch:
    """The items of one journal entry.

    ``ticket`` is that of the last item that ends in this entry, 0 if none does.
    ``continued`` means that the last item continues in the next entry. An ``urgent``
    entry is written ahead of less urgent store calls.
    """

    items: tuple[bytes, ...] = ()
    ticket: int = 0
    continued: bool = False
    urgent: bool = False


@define
class StagingQueue:
    """Numbers staged items with tickets and divides them into batches.

    ``limit_bytes`` is the size limit of an entry. ``urgent`` is true if the next entry
    must not wait for the regular commit.
    """

    limit_bytes: int
    last_ticket: int = 0
    urgent: bool = False
    fragments: collections.deque[_Fragment] = Factory(collections.deque)

    def stage(self, item: bytes, urgent: bool) -> int:
        """Queue an item and return its ticket."""
        self.last_ticket += 1
        size = self.limit_bytes
        self.fragments.extend(
            _Fragment(self.last_ticket, item[at : at + size], at + size >= len(item))
            for at in range(0, max(1, len(item)), size)
        )
        self.urgent = self.urgent or urgent
        return self.last_ticket

    def next_batch(self, max_ticket: int) -> Batch | None:
        """Remove and return the next batch of items with tickets up to a limit.

        The batch is ``None`` if no such item is queued.
        """
        chosen: list[_Fragment] = []
        size = 0
        while self.fragments and self.fragments[0].ticket <= max_ticket:
            size += len(self.fragments[0].data) + ITEM_OVERHEAD_BYTES
            if chosen and size > self.limit_bytes:
                break
            chosen.append(self.fragments.popleft())
        if not chosen:
            return None
        urgent = self.urgent
        self.urgent = urgent and bool(self.fragments)
        ended = [fragment.ticket for fragment in chosen if fragment.last]
        return Batch(
            tuple(fragment.data for fragment in chosen),
            ended[-1] if ended else 0,
            not chosen[-1].last,
            urgent,
        )
