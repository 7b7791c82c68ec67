"""Encodes a shard's tables as a snapshot, and decodes them."""

import collections
import io

import cattrs
import cbor2
from attrs import define, field, frozen

from poplarlb.exceptions import ProtocolError
from poplarlb.state import changes
from poplarlb.state.models import Decision, TaskKey
from poplarlb.state.quota import QuotaTable
from poplarlb.state.shard_state import (
    AttemptKey,
    ReservationRecord,
    ShardState,
    TaskRecord,
)

FORMAT = 1


@frozen
class SmallTables:
    """The tables of a shard that are small enough to encode for every snapshot."""

    refused: tuple[changes.PlaceRefused, ...] = ()
    tombstones: tuple[changes.PlaceForgotten, ...] = ()
    quota: QuotaTable = QuotaTable()
    released: changes.EpochReleased | None = None


@frozen
class Parts:
    """A snapshot, in which each record is encoded separately."""

    format: int
    tasks: tuple[bytes, ...]
    places: tuple[bytes, ...]
    decisions: tuple[bytes, ...]
    small: bytes


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)
    converter.register_structure_hook(bytes, lambda value, _: value)
    return converter


_CONVERTER = _make_converter()


def _encode(record: object) -> bytes:
    return cbor2.dumps(_CONVERTER.unstructure(record))


def _decode(data: bytes, kind: type) -> object:
    stream = io.BytesIO(data)
    raw = cbor2.load(stream)
    if stream.tell() != len(data):
        raise ValueError("bytes follow the record")
    return _CONVERTER.structure(raw, kind)


@define
class SnapshotWriter:
    """Encodes successive snapshots of a state, and only changed records anew."""

    state: ShardState
    tasks: dict[TaskKey, bytes] = field(factory=dict, repr=False)
    reservations: dict[AttemptKey, bytes] = field(factory=dict, repr=False)
    decisions: collections.deque[bytes] = field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Encode the decisions that the state already holds."""
        kept = self.state.decisions.maxlen
        self.decisions = collections.deque(map(_encode, self.state.decisions), kept)

    def on_change(self, change: changes.Change) -> None:
        """Invalidate the encoded records that a change applied to the state affects."""
        match change:
            case changes.DecisionTaken(decision=decision):
                self.decisions.append(_encode(decision))
            case changes.TaskAccepted(spec=spec):
                self.tasks.pop(spec.key, None)
            case changes.PlaceTaken():
                pass
            case _:
                self._invalidate(change)

    def _invalidate(self, change: changes.Change) -> None:
        key = getattr(change, "key", None)
        number = getattr(change, "number", 0)
        self.tasks.pop(key, None)
        self.reservations.pop(AttemptKey(key, number), None)

    def encode(self) -> bytes:
        """Return the state as CBOR bytes."""
        state = self.state
        self._update(self.tasks, state.tasks)
        self._update(self.reservations, state.reservations)
        small = SmallTables(
            tuple(state.refused.values()),
            tuple(state.tombstones.values()),
            state.quota,
            state.released,
        )
        parts = Parts(
            FORMAT,
            tuple(self.tasks.values()),
            tuple(self.reservations.values()),
            tuple(self.decisions),
            _encode(small),
        )
        return _encode(parts)

    @staticmethod
    def _update(encoded: dict, records: dict) -> None:
        for key in [key for key in encoded if key not in records]:
            del encoded[key]
        for key, record in records.items():
            if key not in encoded:
                encoded[key] = _encode(record)


def encode_state(state: ShardState) -> bytes:
    """Return a shard's state as CBOR bytes."""
    return SnapshotWriter(state).encode()


def decode_state(data: bytes, decisions_kept: int) -> ShardState:
    """Return the state that ``encode_state`` encoded.

    :raises ProtocolError: if the bytes are truncated or in another format.
    """
    try:
        parts = _decode(data, Parts)
        if parts.format != FORMAT:
            raise ValueError(f"format {parts.format}, not {FORMAT}")
        return _to_state(parts, decisions_kept)
    except Exception as error:
        raise ProtocolError(f"not a shard's snapshot: {error}") from error


def _to_state(parts: Parts, decisions_kept: int) -> ShardState:
    small = _decode(parts.small, SmallTables)
    tasks = [_decode(item, TaskRecord) for item in parts.tasks]
    reservations = [_decode(item, ReservationRecord) for item in parts.places]
    decisions = [_decode(item, Decision) for item in parts.decisions]
    state = ShardState(
        tasks={item.spec.key: item for item in tasks},
        reservations={
            AttemptKey(r.spec.key, r.attempt.number): r for r in reservations
        },
        refused={AttemptKey(item.key, item.number): item for item in small.refused},
        tombstones={item.key: item for item in small.tombstones},
        quota=small.quota,
        released=small.released,
        decisions=collections.deque(decisions, decisions_kept),
    )
    state.derive_tables()
    return state
