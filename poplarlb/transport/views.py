"""Conversion of callers' and operators' requests and answers from and to JSON."""

import base64
import re
import typing

import cattrs
from cattrs.preconf.json import make_converter

from poplarlb import exceptions
from poplarlb.coordination.workers.replicas import REPLICA_PREFIX
from poplarlb.exceptions import BadRequestError
from poplarlb.protocol import api
from poplarlb.state.models import Resources, TaskKey, TaskSpec, WorkClass

PAYLOAD_LIMIT_BYTES = 65_536
ZONES_LIMIT = 64
NUMBER_LIMIT = 10**12

_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_TEAM = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_KIND = re.compile(r"[A-Za-z0-9._-]{0,64}")
_JOB_CLASSES = frozenset(WorkClass) - {WorkClass.LATENCY_CRITICAL}
_SIZE_KEYS = ("cpu_millis", "memory_mb", "accelerators")
_JOB_KEYS = (
    "class",
    "size",
    "run_time_ms",
    "kind",
    "zones",
    "payload",
    "checkpointable",
)

_CONVERTER = make_converter(forbid_extra_keys=True)
_CONVERTER.register_unstructure_hook(
    bytes, lambda data: base64.b64encode(data).decode()
)
_HTTP_STATUS = {
    kind.code: kind.http_status
    for kind in vars(exceptions).values()
    if isinstance(kind, type) and issubclass(kind, exceptions.PoplarlbError)
}


def to_json(result: api.ApiResult) -> dict[str, typing.Any]:
    """Return the JSON object for an answer."""
    return _CONVERTER.unstructure(result)


def status_of(result: api.ApiResult) -> int:
    """Return the HTTP status for an answer."""
    if isinstance(result, api.Fault):
        return _HTTP_STATUS.get(result.code, 500)
    return 200


def parse_change(table: dict) -> api.ApplyTemplates:
    """Return the change of templates that an operator's JSON object represents.

    :raises BadRequestError: if the object is invalid; the detail lists every fault.
    """
    try:
        return _CONVERTER.structure(table, api.ApplyTemplates)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        faults = cattrs.transform_error(error)
        raise BadRequestError("; ".join(faults)) from error


def parse_job_key(team: str, job_id: str) -> TaskKey:
    """Return the key of the task for a caller's batch job.

    :raises BadRequestError: if a part has forbidden characters or a wrong length, or
        if the id has the prefix reserved for replicas of services.
    """
    faults = []
    if not _TEAM.fullmatch(team):
        faults.append(f"team: allowed: {_TEAM.pattern}")
    if not _ID.fullmatch(job_id):
        faults.append(f"job id: allowed: {_ID.pattern}")
    if job_id.startswith(REPLICA_PREFIX):
        faults.append(f"job id: must not start with {REPLICA_PREFIX}")
    if faults:
        raise BadRequestError("; ".join(faults))
    return TaskKey(team, job_id)


def parse_job(key: TaskKey, table: dict, submitted_ms: int) -> TaskSpec:
    """Return the task for a batch job that a JSON object represents.

    :raises BadRequestError: if the job is invalid; the detail lists every fault.
    """
    faults = [
        f"{name}: unknown; allowed: {', '.join(_JOB_KEYS)}"
        for name in table
        if name not in _JOB_KEYS
    ]
    work_class = _parse_work_class(table.get("class", "ordinary"), faults)
    size = _parse_size(table.get("size"), faults)
    run_time_ms = _parse_number("run_time_ms", table.get("run_time_ms", 0), faults)
    kind = table.get("kind", "")
    if not isinstance(kind, str) or not _KIND.fullmatch(kind):
        faults.append(f"kind: allowed: {_KIND.pattern}")
    zones = table.get("zones", [])
    if not _is_list_of_names(zones):
        faults.append(f"zones: a list of at most {ZONES_LIMIT} names")
    payload = _parse_payload(table.get("payload", ""), faults)
    checkpointable = table.get("checkpointable", True)
    if not isinstance(checkpointable, bool):
        faults.append("checkpointable: true or false")
    if faults:
        raise BadRequestError("; ".join(faults))
    return TaskSpec(
        key,
        work_class,
        size,
        run_time_ms,
        kind,
        zones=tuple(zones),
        payload=payload,
        checkpointable=checkpointable,
        submitted_ms=submitted_ms,
    )


def _parse_work_class(value: object, faults: list[str]) -> WorkClass | None:
    allowed = {item.value: item for item in _JOB_CLASSES}
    if isinstance(value, str) and value in allowed:
        return allowed[value]
    faults.append(f"class: allowed: {', '.join(sorted(allowed))}")
    return None


def _parse_size(value: object, faults: list[str]) -> Resources:
    if not isinstance(value, dict):
        faults.append(f"size: an object with {', '.join(_SIZE_KEYS)}")
        return Resources()
    faults.extend(
        f"size.{name}: unknown; allowed: {', '.join(_SIZE_KEYS)}"
        for name in value
        if name not in _SIZE_KEYS
    )
    size = Resources(
        *(
            _parse_number(f"size.{name}", value.get(name, 0), faults)
            for name in _SIZE_KEYS
        )
    )
    if size == Resources():
        faults.append("size: must not be zero")
    return size


def _parse_number(name: str, value: object, faults: list[str]) -> int:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if is_integer and 0 <= value <= NUMBER_LIMIT:
        return value
    faults.append(f"{name}: a whole number from 0 to {NUMBER_LIMIT}")
    return 0


def _is_list_of_names(value: object) -> bool:
    return (
        isinstance(value, list)
        and len(value) <= ZONES_LIMIT
        and all(isinstance(item, str) and _TEAM.fullmatch(item) for item in value)
    )


def _parse_payload(value: object, faults: list[str]) -> bytes:
    try:
        data = value.encode()
    except (AttributeError, UnicodeEncodeError):
        faults.append("payload: a string")
        return b""
    if len(data) > PAYLOAD_LIMIT_BYTES:
        faults.append(f"payload: at most {PAYLOAD_LIMIT_BYTES} bytes")
    return data


def parse_page(query: dict, default: int, maximum: int) -> tuple[str, int]:
    """Return the id after which a page begins, and its maximum length.

    :raises BadRequestError: if the query is invalid; the detail lists every fault.
    """
    faults = [f"{name}: unknown; allowed: after, limit" for name in query]
    faults = [
        fault for fault in faults if fault.split(":")[0] not in ("after", "limit")
    ]
    after = query.get("after", "")
    if not isinstance(after, str) or (after and not _ID.fullmatch(after)):
        faults.append(f"after: allowed: {_ID.pattern}")
    limit = query.get("limit", str(default))
    if not isinstance(limit, str) or not re.fullmatch(r"[0-9]{1,4}", limit):
        faults.append(f"limit: a number from 1 to {maximum}")
    elif not 1 <= int(limit) <= maximum:
        faults.append(f"limit: from 1 to {maximum}")
    if faults:
        raise BadRequestError("; ".join(faults))
    return after, int(limit)
