"""Writes a shard's snapshot: parts first, then the head, then the clean-up."""

import cbor2
from attrs import Factory, define, field, frozen

from poplarlb.coordination.journal.ring import ShardKeys, SnapshotHead
from poplarlb.coordination.membership.backoff import Backoff
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.exceptions import ProtocolError
from poplarlb.protocol import codec, ports

CALLS_IN_FLIGHT = 4


@frozen
class SnapshotBody:
    """A state offered by the owner, and items staged after it.

    ``tail`` is the beginning of an item that goes on in the next entry.
    """

    state: bytes = b""
    items: tuple[bytes, ...] = ()
    tail: bytes = b""

    def encode(self) -> bytes:
        """Return the bytes to divide into parts."""
        return cbor2.dumps([self.tail, self.state, *self.items])

    @classmethod
    def decode(cls, data: bytes) -> "SnapshotBody":
        """Return the body that the joined parts describe.

        :raises ProtocolError: if they describe anything else.
        """
        try:
            tail, state, *items = cbor2.loads(data)
        except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
            raise ProtocolError(f"not a snapshot: {error}") from error
        if not all(isinstance(item, bytes) for item in (tail, state, *items)):
            raise ProtocolError("not a snapshot: an item is not bytes")
        return cls(state, tuple(items), tail)


@define
class _Job:
    """The snapshot being written; ``waiting`` parts have no call in flight."""

    head: SnapshotHead
    waiting: dict[str, bytes]
    flying: dict[str, bytes] = Factory(dict)
    doubtful: bool = False


@define
class SnapshotWriter:
    """Writes one snapshot at a time and repeats its calls until they settle.

    ``head`` is the newest that this owner wrote or read, at ``head_version``.
    ``rival`` is set when another writer's head is met in its place.
    """

    context: NodeContext
    keys: ShardKeys
    writer: str
    epoch: int
    head: SnapshotHead | None = None
    head_version: int = 0
    parts: dict[str, int] = Factory(dict)
    rival: SnapshotHead | None = None
    attempts: int = 0
    job: _Job | None = None
    part_calls: dict[int, str] = Factory(dict)
    removal_calls: dict[int, str] = Factory(dict)
    head_call: int = 0
    backoff: Backoff = field(factory=Backoff)

    @property
    def covered(self) -> int:
        """The last entry that the snapshot covers, 0 without a snapshot."""
        return self.head.sequence if self.head else 0

    def adopt(
        self, head: SnapshotHead | None, version: int, parts: dict[str, int]
    ) -> None:
        """Take the head that was read, and all parts found with versions."""
        self.head = head
        self.head_version = version
        self.parts.update(parts)
        self.rival = None
        self.job = None

    def start(self, body: SnapshotBody, sequence: int) -> None:
        """Begin to write a snapshot that covers entries up to ``sequence``."""
        data = body.encode()
        size = self.context.settings.journal.snapshot_part_bytes
        pieces = [data[at : at + size] for at in range(0, len(data), size)]
        self.attempts += 1
        head = SnapshotHead(
            self.writer, self.epoch, sequence, self.attempts, len(pieces), len(data)
        )
        self.job = _Job(head, dict(zip(self.keys.parts(head), pieces, strict=True)))

    def step(self, now_ms: int) -> list[ports.StoreCall]:
        """Return the calls that may be made now."""
        if not self.backoff.ready(now_ms):
            return []
        if self.job is None:
            return self._remove_parts()
        room = CALLS_IN_FLIGHT - len(self.job.flying)
        calls = [self._write_part(key) for key in list(self.job.waiting)[:room]]
        if not self.job.flying and not self.head_call:
            calls.append(self._touch_head())
        return calls

    def takes(self, call_id: int) -> bool:
        """Tell whether a call is this writer's."""
        return (
            call_id == self.head_call
            or call_id in self.part_calls
            or call_id in self.removal_calls
        )

    def settle(self, call_id: int, result: ports.StoreResult, now_ms: int) -> None:
        """Take the result of one of the calls."""
        if isinstance(result, ports.StoreFailed):
            self.backoff.fail(now_ms)
        else:
            self.backoff.succeed()
        if call_id in self.part_calls:
            self._settle_part(self.part_calls.pop(call_id), result)
        elif call_id in self.removal_calls:
            self._settle_removal(self.removal_calls.pop(call_id), result)
        else:
            self.head_call = 0
            self._settle_head(result)

    # --- parts ---------------------------------------------------------------------

    def _write_part(self, key: str) -> ports.StoreCall:
        value = self.job.waiting.pop(key)
        self.job.flying[key] = value
        call = ports.StoreCall(
            self.context.next_call(), ports.StoreWrite(key, value, 0)
        )
        self.part_calls[call.call_id] = key
        return call

    def _settle_part(self, key: str, result: ports.StoreResult) -> None:
        if isinstance(result, ports.StoreWritten) and result.applied:
            self.parts[key] = result.version
        if self.job is None or key not in self.job.flying:
            return
        value = self.job.flying.pop(key)
        # A part's name belongs to this owner and this attempt, so a part that is
        # there already was written by an earlier call whose answer was lost.
        if isinstance(result, ports.StoreFailed):
            self.job.waiting[key] = value

    def _remove_parts(self) -> list[ports.StoreCall]:
        # Until our own head is in place, an earlier owner's head may still land
        # and name the parts that we found unnamed.
        if self.head is None or self.head.epoch != self.epoch:
            return []
        named = set(self.keys.parts(self.head))
        flying = set(self.removal_calls.values())
        unnamed = [key for key in self.parts if key not in named | flying]
        calls = []
        for key in unnamed[: CALLS_IN_FLIGHT - len(flying)]:
            operation = ports.StoreDelete(key, self.parts[key])
            calls.append(ports.StoreCall(self.context.next_call(), operation))
            self.removal_calls[calls[-1].call_id] = key
        return calls

    def _settle_removal(self, key: str, result: ports.StoreResult) -> None:
        if not isinstance(result, ports.StoreFailed):
            self.parts.pop(key, None)

    # --- head ----------------------------------------------------------------------

    def _touch_head(self) -> ports.StoreCall:
        operation = ports.StoreRead(self.keys.head)
        if not self.job.doubtful:
            value = codec.encode(self.job.head, SnapshotHead)
            operation = ports.StoreWrite(self.keys.head, value, self.head_version)
        self.head_call = self.context.next_call()
        return ports.StoreCall(self.head_call, operation)

    def _settle_head(self, result: ports.StoreResult) -> None:
        if self.job is None:
            return
        match result:
            case ports.StoreWritten(applied=True, version=version):
                self._finish(version)
            case ports.StoreWritten():
                self.job.doubtful = True
            case ports.StoreFailed() if not self.job.doubtful:
                self.job.doubtful = True
            case ports.StoreEntries(entries=entries):
                self.job.doubtful = False
                self._compare(entries[0] if entries else None)

    def _compare(self, entry: ports.StoreEntry | None) -> None:
        if entry is None or entry.version == self.head_version:
            return
        found = codec.decode(entry.value, SnapshotHead)
        if found == self.job.head:
            self._finish(entry.version)
            return
        self.rival = found
        if found.epoch < self.epoch:
            self.head = found
            self.head_version = entry.version

    def _finish(self, version: int) -> None:
        self.head = self.job.head
        self.head_version = version
        self.job = None
