"""Decodes the platform's host list (JSON), each entry by itself.

Others write the list, so an entry may hold anything: it is checked field by field, and
one that is odd costs only itself.
"""

import ipaddress
import json
import re

from attrs import frozen

from poplarlb.exceptions import ProtocolError
from poplarlb.state.models import HostState, Resources, Worker

NAME_LIMIT = 253  # characters of an id, a zone or a rack
AMOUNT_LIMIT = 10**9  # of a host's resources, slots and connections
PORT_LIMIT = 65_535
DEPTH_LIMIT = 32  # of arrays and objects in one another; deeper ones are left out

_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_HOST_NAME = re.compile(rf"{_LABEL}(?:\.{_LABEL})*")
_PORT = re.compile(r"[0-9]{1,5}")
_BRACKET_OR_STRING = re.compile(r'[\[\]{}]|"(?:[^"\\]|\\.)*+"?')


@frozen
class HostFault:
    """Why an entry isn't used; ``host`` is its id, or its index if the id is odd."""

    host: str
    fault: str


@frozen
class HostList:
    """The sound entries of a host list, in order, and the faults of the others."""

    workers: tuple[Worker, ...]
    faults: tuple[HostFault, ...] = ()


def parse_hosts(data: bytes, known: tuple[Worker, ...] = ()) -> HostList:
    """Return the host list that the bytes encode.

    Of several sound entries with one id, that with the known worker's address is used,
    else the first.

    :param known: the workers of the list that was read before.
    :raises ProtocolError: if they aren't a JSON object with a list of hosts.
    """
    addresses = {worker.worker_id: worker.address for worker in known}
    workers: dict[str, Worker] = {}
    faults: list[HostFault] = []
    for index, item in enumerate(_load_items(data)):
        try:
            worker = _parse_host(item)
        except ValueError as error:
            faults.append(HostFault(_name_of(item, index), str(error)))
            continue
        used = workers.setdefault(worker.worker_id, worker)
        if used is not worker:
            faults.append(HostFault(worker.worker_id, "id: listed more than once"))
            known_address = addresses.get(worker.worker_id)
            if worker.address == known_address != used.address:
                workers[worker.worker_id] = worker
    return HostList(tuple(workers.values()), tuple(faults))


def _load_items(data: bytes) -> list:
    # A byte that isn't UTF-8 becomes a surrogate, which no field may contain.
    text = data.decode(errors="surrogateescape")
    try:
        table = json.loads(_cut_deep_parts(text), parse_int=_read_integer)
    except json.JSONDecodeError as error:
        raise ProtocolError(f"not JSON: {error.msg}") from error
    if not isinstance(table, dict) or not isinstance(table.get("hosts"), list):
        raise ProtocolError("not an object with a list of hosts")
    return table["hosts"]


def _cut_deep_parts(text: str) -> str:
    """Return JSON with ``null`` for each part that is nested too deeply to be decoded.

    So only the entry that holds the part is odd, not the whole list.
    """
    parts = []
    depth = kept_until = 0
    for match in _BRACKET_OR_STRING.finditer(text):
        if match[0] in "[{":
            depth += 1
            if depth == DEPTH_LIMIT + 1:
                parts.extend((text[kept_until : match.start()], "null"))
        elif match[0] in "]}":
            if depth == DEPTH_LIMIT + 1:
                kept_until = match.end()
            depth -= 1
    if depth <= DEPTH_LIMIT:
        parts.append(text[kept_until:])
    return "".join(parts)


def _read_integer(digits: str) -> int | None:
    """Return the number, or ``None`` if it has more digits than any allowed one."""
    return int(digits) if len(digits) <= len(str(AMOUNT_LIMIT)) else None


def _name_of(item: object, index: int) -> str:
    try:
        return _read_text(item, "id")
    except ValueError:
        return f"#{index}"


def _parse_host(item: object) -> Worker:
    """Return the worker that an entry describes.

    :raises ValueError: if a field is missing or odd; the text names the field.
    """
    return Worker(
        _read_text(item, "id"),
        _read_text(item, "zone"),
        _read_text(item, "rack"),
        _read_address(item),
        Resources(
            _read_amount(item, "cpu_millis"),
            _read_amount(item, "memory_mb"),
            _read_amount(item, "accelerators"),
        ),
        _read_amount(item, "slots"),
        _read_amount(item, "connections"),
        _read_state(item),
    )


def _read_field(item: object, name: str) -> object:
    if not isinstance(item, dict):
        raise ValueError(f"an object is needed, not {type(item).__name__}")
    if name not in item:
        raise ValueError(f"{name}: missing")
    return item[name]


def _read_text(item: object, name: str) -> str:
    value = _read_field(item, name)
    if isinstance(value, str) and value.isprintable() and 0 < len(value) <= NAME_LIMIT:
        return value
    raise ValueError(f"{name}: printable text of 1 to {NAME_LIMIT} characters")


def _read_amount(item: object, name: str) -> int:
    value = _read_field(item, name)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if is_integer and 0 <= value <= AMOUNT_LIMIT:
        return value
    raise ValueError(f"{name}: a whole number from 0 to {AMOUNT_LIMIT}")


def _read_state(item: object) -> HostState:
    value = _read_field(item, "state")
    try:
        return HostState(value)
    except ValueError as error:
        allowed = ", ".join(item.value for item in HostState)
        raise ValueError(f"state: allowed: {allowed}") from error


def _read_address(item: object) -> str:
    value = _read_field(item, "address")
    if isinstance(value, str) and is_address(value):
        return value
    raise ValueError(f"address: HOST:PORT with a port from 1 to {PORT_LIMIT}")


def is_address(text: str) -> bool:
    """Return whether a text is the HOST:PORT of a worker."""
    host, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port) or not 1 <= int(port) <= PORT_LIMIT:
        return False
    return _is_host_name(host) or _is_ipv6(host)


def _is_host_name(host: str) -> bool:
    return len(host) <= NAME_LIMIT and _HOST_NAME.fullmatch(host) is not None


def _is_ipv6(host: str) -> bool:
    if not (host.startswith("[") and host.endswith("]")):
        return False
    try:
        ipaddress.IPv6Address(host[1:-1])
    except ValueError:
        return False
    return "%" not in host
