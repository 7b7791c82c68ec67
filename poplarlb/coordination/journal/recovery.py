"""Reads a shard's snapshot and ring so that both are consistent with each other."""

import enum

from attrs import Factory, define, field

from poplarlb.coordination.journal.ring import (
    JournalEntry,
    ShardKeys,
    SnapshotHead,
    join_items,
)
from poplarlb.coordination.journal.snapshots import SnapshotBody
from poplarlb.coordination.membership.backoff import Backoff
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.exceptions import SettingsError
from poplarlb.protocol import codec, ports


class RecoveryPhase(enum.StrEnum):
    """The next step of a recovery.

    ``SNAPSHOT`` reads the snapshot's head and parts, ``LOG`` the ring of entries.
    ``CONFIRM`` checks that the snapshot's head is still the one that was read.
    """

    SNAPSHOT = "snapshot"
    LOG = "log"
    CONFIRM = "confirm"
    DONE = "done"


@define
class Recovery:
    """Reads the snapshot and the ring, repeatedly until they are consistent.

    ``highest_epoch`` is the highest found in the head or an entry. The other results
    are valid once ``phase`` is ``DONE``: ``entries`` are those after the snapshot,
    ``versions`` the store's versions of the ring's slots. ``parts`` holds the
    snapshot's parts by key.
    """

    context: NodeContext
    keys: ShardKeys
    phase: RecoveryPhase = RecoveryPhase.SNAPSHOT
    call_id: int = 0
    head: SnapshotHead | None = None
    head_version: int = 0
    parts: dict[str, ports.StoreEntry] = Factory(dict)
    entries: list[JournalEntry] = Factory(list)
    versions: dict[str, int] = Factory(dict)
    highest_epoch: int = 0
    restarts: int = 0
    backoff: Backoff = field(factory=Backoff)

    @property
    def covered_sequence(self) -> int:
        """The sequence of the last entry that the snapshot covers."""
        return self.head.sequence if self.head else 0

    @property
    def next_sequence(self) -> int:
        """The sequence that follows the last entry that was read."""
        return self.covered_sequence + len(self.entries) + 1

    def merged_snapshot(self) -> SnapshotBody:
        """Return the snapshot that was read, extended by the items of later entries.

        :raises ProtocolError: if the snapshot can't be decoded.
        """
        body = SnapshotBody()
        if self.head is not None:
            parts = (self.parts[key].value for key in self.keys.parts(self.head))
            body = SnapshotBody.decode(b"".join(parts))
        joined = join_items(self.entries, self.head, body.tail)
        return SnapshotBody(body.state, body.items + joined.items, joined.tail)

    def part_versions(self) -> dict[str, int]:
        """Return the versions of all parts found, also of those not in the head."""
        return {key: entry.version for key, entry in self.parts.items()}

    def step(self, now_ms: int) -> list[ports.StoreCall]:
        """Return the next read, if none is in flight."""
        if self.call_id or not self.backoff.ready(now_ms):
            return []
        match self.phase:
            case RecoveryPhase.SNAPSHOT:
                operation = ports.StoreRead(self.keys.snapshot)
            case RecoveryPhase.LOG:
                operation = ports.StoreRead(self.keys.log)
            case RecoveryPhase.CONFIRM:
                operation = ports.StoreRead(self.keys.snapshot_head, self.head_version)
            case _:
                return []
        self.call_id = self.context.next_call()
        return [ports.StoreCall(self.call_id, operation)]

    def handle_result(self, result: ports.StoreResult, now_ms: int) -> None:
        """Handle the result of the read in flight."""
        self.call_id = 0
        if not isinstance(result, ports.StoreEntries):
            self.backoff.record_failure(now_ms)
            return
        match self.phase:
            case RecoveryPhase.SNAPSHOT:
                consistent = self._handle_snapshot(result.entries)
                self.phase = RecoveryPhase.LOG
            case RecoveryPhase.LOG:
                consistent = self._handle_log(result.entries)
                self.phase = RecoveryPhase.CONFIRM
            case _:
                # The read also returns keys that only begin with that of the head.
                changed = {entry.key for entry in result.entries}
                consistent = self.keys.snapshot_head not in changed
                self.phase = RecoveryPhase.DONE
        if consistent:
            self.backoff.reset()
            return
        self.phase = RecoveryPhase.SNAPSHOT
        self.restarts += 1
        self.backoff.record_failure(now_ms)

    def _handle_snapshot(self, found: tuple[ports.StoreEntry, ...]) -> bool:
        self.parts = {entry.key: entry for entry in found}
        head = self.parts.pop(self.keys.snapshot_head, None)
        self.head = codec.decode(head.value, SnapshotHead) if head else None
        self.head_version = head.version if head else 0
        if self.head is None:
            return True
        self.highest_epoch = max(self.highest_epoch, self.head.epoch)
        referenced = self.keys.parts(self.head)
        sizes = [len(self.parts[key].value) for key in referenced if key in self.parts]
        return len(sizes) == len(referenced) and sum(sizes) == self.head.size_bytes

    def _handle_log(self, entries: tuple[ports.StoreEntry, ...]) -> bool:
        found = [entry for entry in entries if self.keys.is_slot(entry.key)]
        for entry in entries:
            if not self.keys.is_slot(entry.key):
                self.context.note_unreadable(entry, "the key is not that of a slot")
        self.versions = {entry.key: entry.version for entry in found}
        read = [(e.key, codec.decode(e.value, JournalEntry)) for e in found]
        for key, entry in read:
            if key != self.keys.slot(entry.sequence):
                raise SettingsError(f"{key} was written with a different ring_slots")
        epochs = [entry.epoch for _, entry in read]
        self.highest_epoch = max([self.highest_epoch, *epochs])
        newer = [entry for _, entry in read if entry.sequence > self.covered_sequence]
        self.entries = sorted(newer, key=lambda entry: entry.sequence)
        # A gap means that entries were overwritten between the two reads.
        last = self.entries[-1].sequence if self.entries else self.covered_sequence
        return last == self.covered_sequence + len(self.entries)
