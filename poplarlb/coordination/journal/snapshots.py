"""Writes a shard's snapshot: its parts, then the head, a record that identifies them.

After that it removes the parts of earlier snapshots.
"""

import cbor2
from attrs import Factory, define, field, frozen

from poplarlb.coordination.journal.ring import ShardKeys, SnapshotHead
from poplarlb.coordination.membership.backoff import Backoff
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.exceptions import ProtocolError
from poplarlb.protocol import codec, ports

MAX_CALLS_IN_FLIGHT = 4  # that write parts, and as many that remove parts


@frozen
class SnapshotBody:
    """An encoded state, and the items that were staged after it.

    ``tail`` is the start of one more item, whose rest is in the journal entry that
    follows the snapshot; it is empty if the snapshot ends with a complete item.
    """

    state: bytes = b""
    items: tuple[bytes, ...] = ()
    tail: bytes = b""

    def encode(self) -> bytes:
        """Return the snapshot as bytes, which are then divided into parts."""
        return cbor2.dumps([self.tail, self.state, *self.items])

    @classmethod
    def decode(cls, data: bytes) -> "SnapshotBody":
        """Return the body that the joined parts encode.

        :raises ProtocolError: if they don't encode a snapshot.
        """
        try:
            tail, state, *items = cbor2.loads(data)
        except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
            raise ProtocolError(f"invalid snapshot: {error}") from error
        if not all(isinstance(item, bytes) for item in (tail, state, *items)):
            raise ProtocolError("invalid snapshot: an item is not bytes")
        return cls(state, tuple(items), tail)


@define
class _PendingSnapshot:
    """The snapshot being written; its parts are bytes by key.

    ``queued`` parts have no call in flight. ``ambiguous`` means that the head may or
    may not have been written, so that it is read next.
    """

    head: SnapshotHead
    queued: dict[str, bytes]
    in_flight: dict[str, bytes] = Factory(dict)
    ambiguous: bool = False


@define
class SnapshotStoreWriter:
    """Writes one snapshot at a time and retries failed calls.

    ``head`` is the newest head that this owner wrote or read, at ``head_version``.
    ``conflicting_head`` is set when the store holds another writer's head instead.
    ``parts`` holds the versions of all parts known to be in the store. ``attempts``
    counts the snapshots begun under this epoch.
    """

    context: NodeContext
    keys: ShardKeys
    writer: str
    epoch: int
    head: SnapshotHead | None = None
    head_version: int = 0
    parts: dict[str, int] = Factory(dict)
    conflicting_head: SnapshotHead | None = None
    attempts: int = 0
    pending: _PendingSnapshot | None = None
    part_calls: dict[int, str] = Factory(dict)
    removal_calls: dict[int, str] = Factory(dict)
    head_call: int = 0
    backoff: Backoff = field(factory=Backoff)

    @property
    def covered_sequence(self) -> int:
        """The sequence of the last entry that the snapshot covers, 0 without one."""
        return self.head.sequence if self.head else 0

    def load_recovered(
        self, head: SnapshotHead | None, version: int, parts: dict[str, int]
    ) -> None:
        """Set the head and the versions of all parts that a recovery read."""
        self.head = head
        self.head_version = version
        self.parts.update(parts)
        self.conflicting_head = None
        self.pending = None

    def start(self, body: SnapshotBody, sequence: int) -> None:
        """Begin to write a snapshot that covers entries up to ``sequence``."""
        data = body.encode()
        size = self.context.settings.journal.snapshot_part_bytes
        chunks = [data[at : at + size] for at in range(0, len(data), size)]
        self.attempts += 1
        head = SnapshotHead(
            self.writer, self.epoch, sequence, self.attempts, len(chunks), len(data)
        )
        self.pending = _PendingSnapshot(
            head, dict(zip(self.keys.parts(head), chunks, strict=True))
        )

    def step(self, now_ms: int) -> list[ports.StoreCall]:
        """Return the calls that may be made now."""
        if not self.backoff.ready(now_ms):
            return []
        if self.pending is None:
            return self._remove_parts()
        free_calls = MAX_CALLS_IN_FLIGHT - len(self.pending.in_flight)
        calls = [
            self._write_part(key) for key in list(self.pending.queued)[:free_calls]
        ]
        if not self.pending.in_flight and not self.head_call:
            calls.append(self._next_head_call())
        return calls

    def owns_call(self, call_id: int) -> bool:
        """Return whether a call of this writer is in flight under an id."""
        return (
            call_id == self.head_call
            or call_id in self.part_calls
            or call_id in self.removal_calls
        )

    def handle_result(
        self, call_id: int, result: ports.StoreResult, now_ms: int
    ) -> None:
        """Handle the result of one of this writer's calls."""
        if isinstance(result, ports.StoreFailed):
            self.backoff.record_failure(now_ms)
        else:
            self.backoff.reset()
        if call_id in self.part_calls:
            self._handle_part_result(self.part_calls.pop(call_id), result)
        elif call_id in self.removal_calls:
            self._handle_removal_result(self.removal_calls.pop(call_id), result)
        else:
            self.head_call = 0
            self._handle_head_result(result)

    # --- parts ---------------------------------------------------------------------

    def _write_part(self, key: str) -> ports.StoreCall:
        value = self.pending.queued.pop(key)
        self.pending.in_flight[key] = value
        call = ports.StoreCall(
            self.context.next_call(), ports.StoreWrite(key, value, 0)
        )
        self.part_calls[call.call_id] = key
        return call

    def _handle_part_result(self, key: str, result: ports.StoreResult) -> None:
        if isinstance(result, ports.StoreWritten) and result.applied:
            self.parts[key] = result.version
        if self.pending is None or key not in self.pending.in_flight:
            return
        value = self.pending.in_flight.pop(key)
        # A part's key is unique to this owner and attempt, so a part that already
        # exists was written by an earlier call whose answer was lost.
        if isinstance(result, ports.StoreFailed):
            self.pending.queued[key] = value

    def _remove_parts(self) -> list[ports.StoreCall]:
        # Until this owner's head is written, a delayed write of an earlier owner's
        # head may still arrive and refer to the parts that are unreferenced now.
        if self.head is None or self.head.epoch != self.epoch:
            return []
        referenced = set(self.keys.parts(self.head))
        in_flight = set(self.removal_calls.values())
        unreferenced = [key for key in self.parts if key not in referenced | in_flight]
        calls = []
        for key in unreferenced[: MAX_CALLS_IN_FLIGHT - len(in_flight)]:
            operation = ports.StoreDelete(key, self.parts[key])
            calls.append(ports.StoreCall(self.context.next_call(), operation))
            self.removal_calls[calls[-1].call_id] = key
        return calls

    def _handle_removal_result(self, key: str, result: ports.StoreResult) -> None:
        if not isinstance(result, ports.StoreFailed):
            self.parts.pop(key, None)

    # --- head ----------------------------------------------------------------------

    def _next_head_call(self) -> ports.StoreCall:
        operation = ports.StoreRead(self.keys.snapshot_head)
        if not self.pending.ambiguous:
            value = codec.encode(self.pending.head, SnapshotHead)
            operation = ports.StoreWrite(
                self.keys.snapshot_head, value, self.head_version
            )
        self.head_call = self.context.next_call()
        return ports.StoreCall(self.head_call, operation)

    def _handle_head_result(self, result: ports.StoreResult) -> None:
        if self.pending is None:
            return
        match result:
            case ports.StoreWritten(applied=True, version=version):
                self._finish(version)
            case ports.StoreWritten():
                self.pending.ambiguous = True
            case ports.StoreFailed() if not self.pending.ambiguous:
                self.pending.ambiguous = True
            case ports.StoreEntries(entries=entries):
                self.pending.ambiguous = False
                key = self.keys.snapshot_head
                self._resolve_head(ports.find_entry(entries, key))

    def _resolve_head(self, entry: ports.StoreEntry | None) -> None:
        if entry is None or entry.version == self.head_version:
            return
        found = codec.decode(entry.value, SnapshotHead)
        if found == self.pending.head:
            self._finish(entry.version)
            return
        self.conflicting_head = found
        if found.epoch < self.epoch:
            self.head = found
            self.head_version = entry.version

    def _finish(self, version: int) -> None:
        self.head = self.pending.head
        self.head_version = version
        self.pending = None
