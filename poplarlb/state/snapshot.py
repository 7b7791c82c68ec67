"""Encodes a shard's tables for its snapshot, and decodes them."""

import collections

import cattrs
import cbor2
from attrs import frozen

from poplarlb.exceptions import ProtocolError
from poplarlb.state import changes
from poplarlb.state.models import Decision
from poplarlb.state.shard_state import PlaceKey, PlaceRecord, ShardState, TaskRecord

FORMAT = 1


@frozen
class ShardTables:
    """The record of a shard in the order in which it is written."""

    tasks: tuple[TaskRecord, ...] = ()
    places: tuple[PlaceRecord, ...] = ()
    refused: tuple[changes.PlaceRefused, ...] = ()
    tombstones: tuple[changes.PlaceForgotten, ...] = ()
    quota_granted: tuple[changes.QuotaGranted, ...] = ()
    quota_received: tuple[changes.QuotaReceived, ...] = ()
    released: changes.EpochReleased | None = None
    decisions: tuple[Decision, ...] = ()


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)
    converter.register_structure_hook(bytes, lambda value, _: value)
    return converter


_CONVERTER = _make_converter()


def encode_state(state: ShardState) -> bytes:
    """Return the CBOR bytes of a shard's state."""
    tables = ShardTables(
        tuple(state.tasks.values()),
        tuple(state.places.values()),
        tuple(state.refused.values()),
        tuple(state.tombstones.values()),
        tuple(state.quota_granted.values()),
        tuple(state.quota_received.values()),
        state.released,
        tuple(state.decisions),
    )
    return cbor2.dumps((FORMAT, _CONVERTER.unstructure(tables)))


def decode_state(data: bytes, decisions_kept: int) -> ShardState:
    """Return the state that ``encode_state`` wrote.

    :raises ProtocolError: if the bytes are cut short or of another format.
    """
    try:
        format_number, raw = cbor2.loads(data)
        if format_number != FORMAT:
            raise ValueError(f"format {format_number}, not {FORMAT}")
        tables = _CONVERTER.structure(raw, ShardTables)
    except Exception as error:
        raise ProtocolError(f"not a shard's snapshot: {error}") from error
    return _to_state(tables, decisions_kept)


def _to_state(tables: ShardTables, decisions_kept: int) -> ShardState:
    state = ShardState(
        tasks={item.spec.key: item for item in tables.tasks},
        places={
            PlaceKey(item.spec.key, item.attempt.number): item for item in tables.places
        },
        refused={PlaceKey(item.key, item.number): item for item in tables.refused},
        tombstones={item.key: item for item in tables.tombstones},
        quota_granted={(item.team, item.shard): item for item in tables.quota_granted},
        quota_received={item.team: item for item in tables.quota_received},
        released=tables.released,
        decisions=collections.deque(tables.decisions, decisions_kept),
    )
    state.derive()
    return state
