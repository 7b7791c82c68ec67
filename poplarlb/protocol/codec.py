"""CBOR codec for attrs classes that are sent to other processes or stored.

Where a union of classes is declared, a value is tagged with the name of its class
under ``_type``.
"""

import enum
import io
import typing

import cattrs
import cbor2
from cattrs.strategies import configure_tagged_union

from poplarlb.exceptions import ProtocolError
from poplarlb.protocol import api, messages, ports

TYPE_TAG = "_type"
MAX_MESSAGE_BYTES = 1 << 20
NUMBER_LIMIT = 1 << 53  # of any number's amount: exact as a float, and in JSON

_UNIONS = (
    api.ApiBody,
    api.ApiResult,
    messages.ShardBody,
    messages.PeerMessage,
    ports.WorkerOperation,
)


def make_converter(unions: tuple = _UNIONS) -> cattrs.Converter:
    """Return a converter that refuses unknown fields and values of another type.

    It also refuses numbers beyond ``NUMBER_LIMIT`` and those that aren't finite.

    :param unions: the unions whose values are tagged.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    for pass_through in (bytes, int, float, str, bool):
        converter.register_structure_hook(pass_through, _make_checker(pass_through))
    # Without this hook that of str would decode string enums, as plain strings.
    converter.register_structure_hook(enum.StrEnum, _structure_enum)
    for union in unions:
        configure_tagged_union(union, converter, tag_name=TYPE_TAG)
    return converter


def _structure_enum(value: object, kind: type[enum.StrEnum]) -> enum.StrEnum:
    return kind(value)


def _make_checker(expected: type) -> typing.Callable:
    accepted = (int, float) if expected is float else expected

    def check(value: object, _: type) -> object:
        if isinstance(value, bool) and expected is not bool:
            raise TypeError(f"expected {expected.__name__}, not bool")
        if not isinstance(value, accepted):
            found = type(value).__name__
            raise TypeError(f"expected {expected.__name__}, not {found}")
        if isinstance(value, int | float) and not abs(value) <= NUMBER_LIMIT:
            raise ValueError(f"expected an amount of at most {NUMBER_LIMIT}")
        return value

    return check


_CONVERTER = make_converter()


def encode(value: object, kind: object, converter: cattrs.Converter = _CONVERTER):
    """Return ``value``, an instance of ``kind``, as CBOR bytes."""
    return cbor2.dumps(converter.unstructure(value, kind))


def _load(data: bytes) -> object:
    """Return the single CBOR item in the bytes.

    :raises ValueError: if bytes follow the item, which ``cbor2.loads`` would ignore.
    """
    stream = io.BytesIO(data)
    item = cbor2.load(stream)
    if stream.tell() != len(data):
        raise ValueError(f"{len(data) - stream.tell()} bytes follow the item")
    return item


def decode(data: bytes, kind: object, converter: cattrs.Converter = _CONVERTER):
    """Return the instance of ``kind`` that the CBOR bytes encode.

    :raises ProtocolError: if the data is too large, truncated, or not an encoded
        ``kind``.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise ProtocolError(f"{len(data)} bytes, at most {MAX_MESSAGE_BYTES} allowed")
    try:
        return converter.structure(_load(data), kind)
    except Exception as error:
        raise ProtocolError(f"not a {kind}: {error}") from error
