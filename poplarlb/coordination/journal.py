"""A shard's journal in the platform's store: group commit, ring and fencing."""

import enum

from attrs import define, field, frozen

from poplarlb.coordination.context import NodeContext
from poplarlb.protocol import codec, ports
from poplarlb.settings import JournalSettings


class JournalPhase(enum.StrEnum):
    """Where a journal stands."""

    RECOVERING = "recovering"
    OPEN = "open"
    DEPOSED = "deposed"


@frozen
class Recovered:
    """Recovery is done and the takeover entry committed.

    ``snapshot`` is empty if there is none; ``entries`` are what was staged
    since, in order, one ``bytes`` for each call of ``stage``.
    """

    snapshot: bytes
    entries: tuple[bytes, ...]


@frozen
class Committed:
    """Everything staged with a ticket up to ``ticket`` is durable."""

    ticket: int


@frozen
class SnapshotWanted:
    """The owner should call ``offer_snapshot`` with its state soon.

    The state offered must be that after ``Committed(ticket)``, or hold staged
    changes too, in which case the journal writes it only once these commit.
    """


@frozen
class Deposed:
    """Another owner has taken over; nothing uncommitted will be written.

    Tickets up to ``committed_ticket`` are durable and those above
    ``unsettled_ticket`` are certainly not; between them nobody knows.
    """

    committed_ticket: int
    unsettled_ticket: int


JournalOutput = ports.StoreCall | Recovered | Committed | SnapshotWanted | Deposed


@frozen
class _Batch:
    """One journal entry: who wrote it and what was staged."""

    writer: str
    epoch: int
    sequence: int
    entries: tuple[bytes, ...]


@define
class Journal:
    """Appends staged entries to the shard's slots and recovers them.

    :param writer: this daemon and incarnation, unique for ever.
    :param epoch: the epoch under which the shard was claimed.
    """

    context: NodeContext
    shard: str
    writer: str
    epoch: int
    phase: JournalPhase = JournalPhase.RECOVERING
    next_sequence: int = 1
    last_ticket: int = 0
    staged: list[bytes] = field(factory=list)
    in_flight: _Batch | None = None
    in_flight_ticket: int = 0
    in_flight_call: int = 0
    recovered: list[_Batch] = field(factory=list)
    next_commit_ms: int = 0

    @property
    def settings(self) -> JournalSettings:
        """The journal's settings."""
        return self.context.settings.journal

    def prefix(self) -> str:
        """Return the prefix of the shard's keys in the store."""
        return f"{self.context.settings.store.prefix}shards/{self.shard}/"

    def stage(self, entry: bytes, urgent: bool = False) -> int:
        """Queue an entry for the next commit and return its ticket."""
        self.staged.append(entry)
        self.last_ticket += 1
        if urgent:
            self.next_commit_ms = 0
        return self.last_ticket

    def offer_snapshot(self, data: bytes) -> None:
        """Take a snapshot of the shard's state, all staged changes included."""

    def handle(
        self, event: ports.Tick | ports.StoreReplied, now_ms: int
    ) -> list[JournalOutput]:
        """Advance the journal and return store calls and what happened."""
        match event:
            case ports.Tick():
                return self._tick(now_ms)
            case ports.StoreReplied(call_id=call_id, result=result):
                if call_id == self.in_flight_call:
                    return self._settle(result, now_ms)
        return []

    def _tick(self, now_ms: int) -> list[JournalOutput]:
        if self.in_flight_call:
            return []
        if self.phase is JournalPhase.RECOVERING and self.in_flight is None:
            return self._call(ports.StoreRead(self.prefix() + "log/"))
        if self.in_flight is not None:
            return self._append()
        if self.staged and now_ms >= self.next_commit_ms:
            self.next_commit_ms = now_ms + self.settings.commit_period_ms
            self._make_batch()
            return self._append()
        return []

    def _make_batch(self) -> None:
        self.in_flight = _Batch(
            self.writer, self.epoch, self.next_sequence, tuple(self.staged)
        )
        self.in_flight_ticket = self.last_ticket
        self.staged.clear()

    def _append(self) -> list[JournalOutput]:
        key = f"{self.prefix()}log/{self.in_flight.sequence:012d}"
        value = codec.encode(self.in_flight, _Batch)
        return self._call(ports.StoreWrite(key, value, 0))

    def _call(self, operation: ports.StoreOperation) -> list[JournalOutput]:
        self.in_flight_call = self.context.next_call()
        return [ports.StoreCall(self.in_flight_call, operation)]

    def _settle(self, result: ports.StoreResult, now_ms: int) -> list[JournalOutput]:
        self.in_flight_call = 0
        match result:
            case ports.StoreEntries(entries=entries):
                self.recovered = [codec.decode(e.value, _Batch) for e in entries]
                self.next_sequence = len(self.recovered) + 1
                self._make_batch()
                return self._append()
            case ports.StoreWritten(applied=True):
                return self._committed()
            case ports.StoreWritten(applied=False):
                self.phase = JournalPhase.DEPOSED
                return [Deposed(self.in_flight_ticket - 1, self.in_flight_ticket)]
        return []

    def _committed(self) -> list[JournalOutput]:
        self.next_sequence += 1
        self.in_flight = None
        if self.phase is JournalPhase.RECOVERING:
            self.phase = JournalPhase.OPEN
            entries = tuple(e for batch in self.recovered for e in batch.entries)
            self.recovered = []
            return [Recovered(b"", entries)]
        return [Committed(self.in_flight_ticket)]
