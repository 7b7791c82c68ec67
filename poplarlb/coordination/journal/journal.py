"""A shard's journal in the platform's store: group commit, ring and fencing.

Each entry holds items staged since the last one. It is written to the next slot of a
ring, on condition that the slot's version in the store is the expected one: once a new
owner has written an entry, an earlier owner's write fails.
"""

import enum

from attrs import Factory, define, evolve, field, frozen

from poplarlb.coordination.journal.recovery import Recovery, RecoveryPhase
from poplarlb.coordination.journal.ring import JournalEntry, ShardKeys
from poplarlb.coordination.journal.snapshots import SnapshotBody, SnapshotStoreWriter
from poplarlb.coordination.journal.staging import Batch, StagingQueue
from poplarlb.coordination.membership.backoff import Backoff
from poplarlb.coordination.membership.budget import UrgentStoreCall
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.protocol import codec, ports
from poplarlb.settings import JournalSettings

SNAPSHOT_AFTER_BYTES = 1 << 20  # of entries since the last snapshot
SNAPSHOT_REQUEST_PERIOD_MS = 1_000  # between requests while none is offered


class JournalPhase(enum.StrEnum):
    """The phase of a journal; ``DEPOSED`` is final."""

    RECOVERING = "recovering"
    OPEN = "open"
    DEPOSED = "deposed"


@frozen
class Recovered:
    """Recovery is complete and this owner's first entry is committed.

    ``snapshot`` is empty if there is none. ``items`` are those staged since then, in
    order, one for each call of ``stage``.
    """

    snapshot: bytes
    items: tuple[bytes, ...]


@frozen
class Committed:
    """All items with a ticket up to ``ticket`` are durable.

    A ticket is the number that ``stage`` gave to an item.
    """

    ticket: int


@frozen
class SnapshotRequested:
    """A request to the journal's caller to call ``offer_snapshot`` soon."""


@frozen
class Deposed:
    """Another owner has taken over; the journal writes nothing more.

    Items with a ticket up to ``committed_ticket`` are durable, those above
    ``ambiguous_ticket`` are certainly not; those between may or may not be.
    """

    committed_ticket: int
    ambiguous_ticket: int


JournalOutput = ports.StoreCall | Recovered | Committed | SnapshotRequested | Deposed


@define
class _Append:
    """The entry being appended; the next one waits until its outcome is known.

    ``ambiguous`` means that it may or may not be written, so that its slot is read.
    """

    entry: JournalEntry
    value: bytes
    ticket: int
    urgent: bool
    call_id: int = 0
    ambiguous: bool = False


@frozen
class _OfferedSnapshot:
    """A state that includes all items staged up to ``ticket``."""

    state: bytes
    ticket: int


@define
class Journal:
    """Appends staged items to the shard's ring and recovers them.

    ``versions`` holds the store's version of each slot of the ring by key.

    :param writer: the daemon and its incarnation, which identify the process that
        writes; never reused.
    :param epoch: the epoch under which the shard was acquired.
    """

    context: NodeContext
    shard: str
    writer: str
    epoch: int
    phase: JournalPhase = JournalPhase.RECOVERING
    next_sequence: int = 1
    committed_ticket: int = 0
    versions: dict[str, int] = Factory(dict)
    staging: StagingQueue | None = None
    append: _Append | None = None
    backoff: Backoff = field(factory=Backoff)
    offer: _OfferedSnapshot | None = None
    recovery: Recovery | None = None
    snapshots: SnapshotStoreWriter | None = None
    bytes_since_snapshot: int = 0
    next_commit_ms: int = 0
    next_snapshot_request_ms: int = 0

    def __attrs_post_init__(self) -> None:
        """Prepare recovery."""
        self.staging = StagingQueue(self.settings.entry_limit_bytes)
        self.recovery = Recovery(self.context, self.keys)
        self.snapshots = SnapshotStoreWriter(
            self.context, self.keys, self.writer, self.epoch
        )

    @property
    def settings(self) -> JournalSettings:
        """The journal's settings."""
        return self.context.settings.journal

    @property
    def last_ticket(self) -> int:
        """The ticket of the last staged item."""
        return self.staging.last_ticket

    @property
    def keys(self) -> ShardKeys:
        """The shard's keys in the store."""
        return ShardKeys(self.prefix(), self.settings.ring_slots)

    @property
    def ring_full(self) -> bool:
        """Whether the next slot still holds an entry that no snapshot covers."""
        oldest = self.next_sequence - self.settings.ring_slots
        return oldest > self.snapshots.covered_sequence

    def prefix(self) -> str:
        """Return the prefix of the shard's keys in the store."""
        return f"{self.context.settings.store.prefix}shards/{self.shard}/"

    def stage(self, item: bytes, urgent: bool = False) -> int:
        """Queue an item for the next commit and return its ticket."""
        return self.staging.stage(item, urgent)

    def offer_snapshot(self, data: bytes) -> None:
        """Accept the caller's encoded state for the next snapshot.

        The state must include every change staged so far; it is written once these are
        committed. It is ignored unless the journal is open, and while an earlier offer
        or snapshot is pending.
        """
        busy = self.offer is not None or self.snapshots.pending is not None
        if self.phase is JournalPhase.OPEN and not busy:
            self.offer = _OfferedSnapshot(data, self.last_ticket)

    def step_down(self) -> Deposed:
        """Stop writing for good, after the ownership was lost or given up."""
        return self._depose(self.append.ticket if self.append else 0)

    def advance(self, now_ms: int) -> list[JournalOutput]:
        """Return the store calls and events that are due now.

        Call it after an urgent ``stage``; otherwise the item waits for the next event.
        """
        match self.phase:
            case JournalPhase.RECOVERING:
                return self._recover(now_ms)
            case JournalPhase.OPEN:
                return self._advance_open(now_ms)
        return []

    def handle(
        self, event: ports.Tick | ports.StoreReplied, now_ms: int
    ) -> list[JournalOutput]:
        """Handle an event and return store calls and the journal's own events."""
        if self.phase is JournalPhase.DEPOSED:
            return []
        outputs: list[JournalOutput] = []
        if isinstance(event, ports.StoreReplied):
            if not self._owns_call(event.call_id):
                return []
            outputs = self._handle_reply(event, now_ms)
        return [*outputs, *self.advance(now_ms)]

    def _owns_call(self, call_id: int) -> bool:
        return (
            (self.append is not None and call_id == self.append.call_id)
            or (self.recovery is not None and call_id == self.recovery.call_id)
            or self.snapshots.owns_call(call_id)
        )

    def _handle_reply(
        self, event: ports.StoreReplied, now_ms: int
    ) -> list[JournalOutput]:
        if self.append is not None and event.call_id == self.append.call_id:
            return self._handle_append_result(event.result, now_ms)
        if self.recovery is not None and event.call_id == self.recovery.call_id:
            self.recovery.handle_result(event.result, now_ms)
            if self.recovery.highest_epoch > self.epoch:
                return [self.step_down()]
            return []
        self.snapshots.handle_result(event.call_id, event.result, now_ms)
        conflicting_head = self.snapshots.conflicting_head
        if conflicting_head is None:
            return []
        if conflicting_head.epoch >= self.epoch:
            return [self.step_down()]
        self.snapshots.conflicting_head = None
        if self.phase is JournalPhase.RECOVERING:
            self._restart_recovery(now_ms)
        return []

    # --- recovery ------------------------------------------------------------------

    def _recover(self, now_ms: int) -> list[JournalOutput]:
        if self.recovery.phase is not RecoveryPhase.DONE:
            calls = self.recovery.step(now_ms)
            if self.recovery.phase is not RecoveryPhase.DONE:
                return calls
        if self.append is None and self.snapshots.pending is None:
            self._begin_takeover()
        if self.snapshots.pending is not None:
            return self.snapshots.step(now_ms)
        return self._send_append(now_ms)

    def _begin_takeover(self) -> None:
        found = self.recovery
        if self.snapshots.covered_sequence <= found.covered_sequence:
            self.snapshots.load_recovered(
                found.head, found.head_version, found.part_versions()
            )
        self.versions = dict(found.versions)
        self.next_sequence = found.next_sequence
        if self.ring_full:
            self._start_snapshot(evolve(found.merged_snapshot(), tail=b""))
            return
        self._begin_append(Batch())

    def _restart_recovery(self, now_ms: int) -> None:
        self.append = None
        self.snapshots.pending = None
        self.recovery = Recovery(self.context, self.keys)
        self.recovery.backoff.record_failure(now_ms)

    # --- group commit --------------------------------------------------------------

    def _advance_open(self, now_ms: int) -> list[JournalOutput]:
        outputs: list[JournalOutput] = []
        if self.append is None:
            self._start_offered_snapshot()
            self._append_next_batch(now_ms)
        outputs.extend(self._send_append(now_ms))
        outputs.extend(self._compact(now_ms))
        outputs.extend(self.snapshots.step(now_ms))
        if self._snapshot_due() and now_ms >= self.next_snapshot_request_ms:
            self.next_snapshot_request_ms = now_ms + SNAPSHOT_REQUEST_PERIOD_MS
            outputs.append(SnapshotRequested())
        return outputs

    def _append_next_batch(self, now_ms: int) -> None:
        if self.ring_full:
            return
        if now_ms < self.next_commit_ms and not self.staging.urgent:
            return
        # The batch ends with the last item that an offered snapshot includes, so that
        # the snapshot covers whole entries.
        batch = self.staging.next_batch(
            self.offer.ticket if self.offer else self.last_ticket
        )
        if batch is not None:
            self.next_commit_ms = now_ms + self.settings.commit_period_ms
            self._begin_append(batch)

    def _begin_append(self, batch: Batch) -> None:
        entry = JournalEntry(
            self.writer, self.epoch, self.next_sequence, batch.items, batch.continued
        )
        value = codec.encode(entry, JournalEntry)
        self.append = _Append(entry, value, batch.ticket, batch.urgent)

    def _send_append(self, now_ms: int) -> list[JournalOutput]:
        append = self.append
        if append is None or append.call_id or not self.backoff.ready(now_ms):
            return []
        key = self.keys.slot(append.entry.sequence)
        operation: ports.StoreOperation = ports.StoreRead(key)
        if not append.ambiguous:
            version = self.versions.get(key, 0)
            operation = ports.StoreWrite(key, append.value, version)
        append.call_id = self.context.next_call()
        call_type = UrgentStoreCall if append.urgent else ports.StoreCall
        return [call_type(append.call_id, operation)]

    def _handle_append_result(
        self, result: ports.StoreResult, now_ms: int
    ) -> list[JournalOutput]:
        self.append.call_id = 0
        match result:
            case ports.StoreWritten(applied=True, version=version):
                return self._commit(version)
            case ports.StoreWritten():
                self.append.ambiguous = True
            case ports.StoreEntries(entries=entries):
                key = self.keys.slot(self.append.entry.sequence)
                return self._resolve_append(ports.find_entry(entries, key), now_ms)
            case _:
                self.append.ambiguous = True
                self.backoff.record_failure(now_ms)
        return []

    def _resolve_append(
        self, found: ports.StoreEntry | None, now_ms: int
    ) -> list[JournalOutput]:
        key = self.keys.slot(self.append.entry.sequence)
        version = found.version if found else 0
        if version == self.versions.get(key, 0):
            self.append.ambiguous = False
            return []
        entry = codec.decode(found.value, JournalEntry)
        if entry.is_same_append(self.append.entry):
            return self._commit(version)
        if self.phase is JournalPhase.RECOVERING and entry.epoch < self.epoch:
            self._restart_recovery(now_ms)
            return []
        # With an entry of the same sequence in the slot, this append was not written.
        # A later entry may have replaced this one after the new owner recovered it.
        may_be_committed = entry.sequence != self.append.entry.sequence
        return [self._depose(self.append.ticket if may_be_committed else 0)]

    def _commit(self, version: int) -> list[JournalOutput]:
        append = self.append
        self.append = None
        self.backoff.reset()
        self.versions[self.keys.slot(append.entry.sequence)] = version
        self.next_sequence = append.entry.sequence + 1
        self.bytes_since_snapshot += len(append.value)
        if self.phase is JournalPhase.RECOVERING:
            body = self.recovery.merged_snapshot()
            self.recovery = None
            self.phase = JournalPhase.OPEN
            return [Recovered(body.state, body.items)]
        if append.ticket <= self.committed_ticket:
            return []
        self.committed_ticket = append.ticket
        return [Committed(append.ticket)]

    def _depose(self, ambiguous_ticket: int) -> Deposed:
        self.phase = JournalPhase.DEPOSED
        self.staging.fragments.clear()
        last_ambiguous = max(ambiguous_ticket, self.committed_ticket)
        return Deposed(self.committed_ticket, last_ambiguous)

    # --- snapshots -----------------------------------------------------------------

    def _start_offered_snapshot(self) -> None:
        offer = self.offer
        if offer is None or self.committed_ticket < offer.ticket:
            return
        self.offer = None
        covered = self.next_sequence - 1 <= self.snapshots.covered_sequence
        if self.snapshots.pending is None and not covered:
            self._start_snapshot(SnapshotBody(offer.state))

    def _start_snapshot(self, body: SnapshotBody) -> None:
        self.bytes_since_snapshot = 0
        self.snapshots.start(body, self.next_sequence - 1)

    def _snapshot_due(self) -> bool:
        if self.offer is not None or self.snapshots.pending is not None:
            return False
        entries = self.next_sequence - 1 - self.snapshots.covered_sequence
        limit = min(self.settings.snapshot_every, self.settings.ring_slots // 2)
        return entries >= limit or self.bytes_since_snapshot >= SNAPSHOT_AFTER_BYTES

    def _compact(self, now_ms: int) -> list[JournalOutput]:
        """Free a full ring without a new state from the journal's caller.

        While the ring is full, the staged changes that an offered snapshot includes
        can't be committed. Therefore the old snapshot and the ring are read and
        written back as one snapshot.
        """
        if not self.ring_full or self.append is not None or self.snapshots.pending:
            self.recovery = None
            return []
        if self.recovery is None:
            self.recovery = Recovery(self.context, self.keys)
        if self.recovery.phase is not RecoveryPhase.DONE:
            return self.recovery.step(now_ms)
        found = self.recovery
        self.recovery = None
        if found.next_sequence == self.next_sequence:
            self._start_snapshot(found.merged_snapshot())
        return []
