"""Decodes the wire formats of the platform and of callers; encodes stored values."""

import base64
import binascii
import ipaddress
from collections.abc import Iterator

import orjson

from poplarlb.coordination.jobs.events import (
    EndedRow,
    PollAnswered,
    RunningRow,
    WorkerListing,
)
from poplarlb.exceptions import BadAnswerError, BadRequestError
from poplarlb.state.jobs import (
    AdviceTimes,
    JobSpec,
    OperatorConfig,
    QueueConfig,
    RequestLimits,
    RunEnd,
    ServiceConfig,
    StepSpec,
)
from poplarlb.state.models import Resources
from poplarlb.transport.http_client import parse_address

JOB_ID_LENGTH = 16
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
PAYLOAD_LIMIT_BYTES = 4_000
STEPS_LIMIT = 256
TASKS_LIMIT = 4_096  # per job; keeps a job's record below the store's value limit
INTEGER_LIMIT = 2**53  # larger integers are not exact in JSON


# --- reading fields -------------------------------------------------------------------


class Fields:
    """A JSON object whose fields are read with a type and a default.

    ``where`` names the object in error messages.

    :raises BadRequestError: by every method, for a value of the wrong type.
    """

    def __init__(self, row: object, where: str) -> None:
        """Check that ``row`` is an object."""
        if not isinstance(row, dict):
            raise BadRequestError(f"{where}: not an object")
        self.row = row
        self.where = where

    def string(self, name: str, required: bool = False) -> str:
        """Return a string; empty if it is absent."""
        value = self.row.get(name)
        if value is None and not required:
            return ""
        if not isinstance(value, str):
            raise BadRequestError(f"{self.where}.{name}: not a string")
        return value

    def integer(self, name: str, required: bool = False) -> int:
        """Return an integer of at least 0; 0 if it is absent."""
        value = self.row.get(name)
        if value is None and not required:
            return 0
        if isinstance(value, float) and value.is_integer():
            value = int(value)
        if isinstance(value, bool) or not isinstance(value, int):
            raise BadRequestError(f"{self.where}.{name}: not an integer")
        if not 0 <= value <= INTEGER_LIMIT:
            raise BadRequestError(f"{self.where}.{name}: out of range")
        return value

    def number(self, name: str, required: bool = False, lowest: float = 0) -> float:
        """Return a number of at least ``lowest``; 0 if it is absent."""
        value = self.row.get(name)
        if value is None and not required:
            return 0.0
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise BadRequestError(f"{self.where}.{name}: not a number")
        if not lowest <= value <= INTEGER_LIMIT:
            raise BadRequestError(f"{self.where}.{name}: out of range")
        return float(value)

    def boolean(self, name: str) -> bool:
        """Return a boolean; false if it is absent."""
        value = self.row.get(name)
        if value is None:
            return False
        if not isinstance(value, bool):
            raise BadRequestError(f"{self.where}.{name}: not a boolean")
        return value

    def array(self, name: str, required: bool = False) -> list:
        """Return an array's items; empty if it is absent."""
        value = self.row.get(name)
        if value is None and not required:
            return []
        if not isinstance(value, list):
            raise BadRequestError(f"{self.where}.{name}: not an array")
        return value


def parse_body(body: bytes, where: str) -> Fields:
    """Return the fields of a JSON body.

    :raises BadRequestError: the body is not a JSON object.
    """
    try:
        return Fields(orjson.loads(body), where)
    except orjson.JSONDecodeError as error:
        raise BadRequestError(f"{where}: {error}") from error


# --- jobs -----------------------------------------------------------------------------


def is_job_id(text: str) -> bool:
    """Return whether a text has the format of a job's id."""
    return len(text) == JOB_ID_LENGTH and set(text) <= HEX_DIGITS


def decode_job(
    body: bytes, job_id: str, queue: QueueConfig, accepted_utc_ms: int
) -> JobSpec:
    """Return the job in the body of a submission.

    :raises BadRequestError: the job is malformed or exceeds a limit.
    """
    fields = parse_body(body, "job")
    payload = fields.string("spec")
    if len(payload.encode()) > PAYLOAD_LIMIT_BYTES:
        raise BadRequestError("job.spec: over the size limit")
    rows = fields.array("steps", required=True)
    if not 0 < len(rows) <= STEPS_LIMIT:
        raise BadRequestError("job.steps: empty or over the limit")
    steps = tuple(decode_step(row, number) for number, row in enumerate(rows))
    if sum(step.count for step in steps) > TASKS_LIMIT:
        raise BadRequestError("job.steps: too many tasks")
    return JobSpec(
        job_id,
        queue.name,
        queue.service,
        accepted_utc_ms,
        payload,
        steps,
        times=fields.integer("times"),
        first_utc_ms=fields.integer("startMs"),
        interval_ms=fields.integer("intervalMs"),
        accepted_by=queue.limits,
    )


def decode_step(row: object, number: int) -> StepSpec:
    """Return one step of a submitted job."""
    fields = Fields(row, f"job.steps.{number}")
    after = fields.array("after")
    if not all(type(item) is int and 0 <= item < number for item in after):
        raise BadRequestError(f"{fields.where}.after: not numbers of earlier steps")
    count = fields.integer("count", required=True)
    if not count:
        raise BadRequestError(f"{fields.where}.count: must be at least 1")
    return StepSpec(
        count,
        decode_resources(fields),
        estimate_ms=fields.integer("estimateMs"),
        after=tuple(sorted(set(after))),
        checkpoints=fields.boolean("checkpoints"),
        gang=fields.boolean("gang"),
        same_rack=fields.boolean("sameRack"),
        required_label=fields.string("requiredLabel"),
        preferred_rack=fields.string("preferredRack"),
        max_per_worker=fields.integer("maxPerServer"),
        speculative=fields.boolean("speculative"),
        long_running=fields.boolean("longRunning"),
        image=fields.string("image"),
        target_ms=fields.integer("targetMs"),
        fills=fields.boolean("fills"),
        may_miss=fields.integer("mayMiss"),
    )


def decode_resources(fields: Fields) -> Resources:
    """Return an amount of processors (in thousandths), memory and accelerators."""
    return Resources(
        fields.integer("cpu"), fields.integer("memMb"), fields.integer("gpu")
    )


# --- the operator's configuration -----------------------------------------------------

# Limits of a queue: their names on the wire, and how they are read. Absent or 0: the
# default.
QUEUE_LIMITS = {
    "priority": ("priority", Fields.integer),
    "max_attempts": ("maxAttempts", Fields.integer),
    "critical_path_factor": ("stretch", Fields.number),
    "objective_ms": ("sloMs", Fields.integer),
}


def decode_config(value: bytes) -> OperatorConfig:
    """Return the operator's configuration.

    :raises BadAnswerError: the configuration is malformed.
    """
    try:
        fields = parse_body(value, "config")
        return OperatorConfig(
            fields.integer("version", required=True),
            tuple(decode_queue(row) for row in fields.array("routes")),
            tuple(decode_service(row) for row in fields.array("services")),
            decode_limits(fields.row.get("limits") or {}),
        )
    except BadRequestError as error:
        raise BadAnswerError(error.detail) from error


def decode_queue(row: object) -> QueueConfig:
    """Return one queue; the wire format calls it a route.

    A limit that can't be read has its default, and is named in the queue's ``fault``.
    """
    fields = Fields(row, "route")
    limits, faults = {}, []
    for attribute, (name, read) in QUEUE_LIMITS.items():
        try:
            value = read(fields, name)
        except BadRequestError as error:
            faults.append(error.detail)
            continue
        if value:
            limits[attribute] = value
    return QueueConfig(
        fields.string("name", required=True),
        fields.string("host"),
        fields.string("prefix", required=True),
        fields.string("service", required=True),
        needs_advice=bool(fields.row.get("advice")),
        fault="; ".join(faults),
        advice=decode_advice_times(fields.row.get("advice")),
        **limits,
    )


def decode_advice_times(row: object) -> AdviceTimes:
    """Return the times of the advice service; those that can't be read are unknown."""
    try:
        fields = Fields(row, "advice")
        names = ("decideMs", "eachMs", "validMs")
        return AdviceTimes(*(int(fields.number(name)) for name in names))
    except BadRequestError:
        return AdviceTimes()


def decode_service(row: object) -> ServiceConfig:
    """Return one service of the configuration."""
    fields = Fields(row, "service")
    return ServiceConfig(fields.string("name", required=True), fields.boolean("spare"))


def decode_limits(row: object) -> RequestLimits:
    """Return the limits on callers' requests; absent or 0: the default."""
    fields = Fields(row, "limits")
    default = RequestLimits()
    return RequestLimits(
        fields.integer("maxHeaderBytes") or default.header_bytes,
        fields.integer("maxBodyBytes") or default.body_bytes,
        fields.integer("headerTimeoutMs") or default.header_ms,
        fields.integer("idleTimeoutMs") or default.idle_ms,
    )


# --- workers --------------------------------------------------------------------------

DRAINING_BY_STATE = {"ready": False, "draining": True}
# What the items of the rows in a worker's lists are.
RUNNING_NAMES = ("task", "run", "saved", "percent", "figure")
ENDED_NAMES = ("N", "task", "run", "how", "saved")
RUN_ENDS = frozenset(RunEnd)
TASK_NAME_LIMIT = 100  # characters; an id and three numbers are far fewer


def decode_listing(worker_id: str, value: bytes) -> WorkerListing:
    """Return the listing in a worker's entry.

    :raises BadAnswerError: the entry can't be used; the reason quotes none of it.
    """
    try:
        check_worker_id(worker_id)
        fields = parse_body(value, "server")
        state = fields.string("state", required=True)
        if state not in DRAINING_BY_STATE:
            raise BadRequestError("server.state: unknown")
        labels = fields.array("labels")
        if not all(isinstance(label, str) for label in labels):
            raise BadRequestError("server.labels: not strings")
        return WorkerListing(
            worker_id,
            fields.integer("born"),
            decode_address(fields.string("addr", required=True)),
            fields.string("service", required=True),
            fields.string("zone", required=True),
            DRAINING_BY_STATE[state],
            decode_resources(Fields(fields.row.get("capacity"), "server.capacity")),
            tuple(labels),
            fields.integer("remainingMs"),
        )
    except BadRequestError as error:
        raise BadAnswerError(error.detail) from error


def check_worker_id(text: str) -> None:
    """Check that a worker's id can stand in a header of a call.

    :raises BadRequestError: it can't.
    """
    if not text or " " in text or not text.isascii() or not text.isprintable():
        raise BadRequestError("server: the key has no id, or one with odd characters")


def decode_address(text: str) -> str:
    """Return an address of a worker, which must be an IP address and a port.

    The platform has no name lookups, and a lookup would delay the calls to others.
    """
    try:
        host, _ = parse_address(text)
        ipaddress.ip_address(host)
    except ValueError as error:
        raise BadRequestError("server.addr: not an IP address and a port") from error
    return text


def decode_answer(worker_id: str, sent_ms: int, body: bytes) -> PollAnswered:
    """Return a worker's answer to a poll.

    :raises BadAnswerError: the answer is malformed; the reason quotes none of it.
    """
    try:
        fields = parse_body(body, worker_id)
        return PollAnswered(
            worker_id,
            sent_ms,
            fields.integer("born"),
            int(fields.number("clockMs", required=True)),
            decode_running(fields.array("running")),
            decode_ended(fields.array("ended")),
        )
    except BadRequestError as error:
        raise BadAnswerError(error.detail) from error


def decode_running(rows: object) -> tuple[RunningRow, ...]:
    """Return the active runs that a worker lists.

    :raises BadAnswerError: the list is malformed.
    """
    try:
        return tuple(
            RunningRow(
                decode_task_name(fields),
                fields.integer("run", required=True),
                fields.string("saved"),
                int(fields.number("percent", required=True)),
                fields.number("figure", lowest=-INTEGER_LIMIT),
            )
            for fields in name_items(rows, RUNNING_NAMES, "running")
        )
    except BadRequestError as error:
        raise BadAnswerError(error.detail) from error


def decode_ended(rows: object) -> tuple[EndedRow, ...]:
    """Return the ended runs that a worker lists.

    :raises BadAnswerError: the list is malformed.
    """
    try:
        return tuple(
            EndedRow(
                fields.integer("N", required=True),
                decode_task_name(fields),
                fields.integer("run", required=True),
                decode_end(fields),
                fields.string("saved"),
            )
            for fields in name_items(rows, ENDED_NAMES, "ended")
        )
    except BadRequestError as error:
        raise BadAnswerError(error.detail) from error


def name_items(rows: object, names: tuple[str, ...], where: str) -> Iterator[Fields]:
    """Yield the items of each row as fields; those beyond the names are left out."""
    if not isinstance(rows, list):
        raise BadRequestError(f"{where}: not a list")
    for row in rows:
        if not isinstance(row, list):
            raise BadRequestError(f"{where}: not a row")
        yield Fields(dict(zip(names, row, strict=False)), where)


def decode_end(fields: Fields) -> RunEnd:
    """Return how a run has ended."""
    how = fields.string("how", required=True)
    if how not in RUN_ENDS:
        raise BadRequestError(f"{fields.where}.how: unknown")
    return RunEnd(how)


def decode_task_name(fields: Fields) -> str:
    """Return the name of the task in a row of a worker's list."""
    name = fields.string("task", required=True)
    if len(name) > TASK_NAME_LIMIT:
        raise BadRequestError(f"{fields.where}.task: too long")
    return name


def decode_reason(body: bytes) -> str:
    """Return a worker's reason for a refusal; empty if it gave none."""
    try:
        return parse_body(body, "refusal").string("reason")
    except BadRequestError:
        return ""


def decode_clock(body: bytes) -> int | None:
    """Return the worker's clock in any of its answers; None if it can't be read."""
    try:
        return parse_body(body, "answer").integer("clockMs", required=True)
    except BadRequestError:
        return None


def decode_advice(body: bytes) -> tuple[tuple[tuple[str, str], ...], int]:
    """Return the workers that may run a step with their tickets, and how long in ms.

    :raises BadAnswerError: the answer is malformed; the reason quotes none of it.
    """
    try:
        fields = parse_body(body, "advice")
        rows = fields.array("good", required=True)
        tickets = tuple(
            (row.string("worker", required=True), decode_ticket(row))
            for row in name_items(rows, ("worker", "ticket"), "advice.good")
        )
        return tickets, int(fields.number("validMs", required=True))
    except BadRequestError as error:
        raise BadAnswerError(error.detail) from error


def decode_ticket(row: Fields) -> str:
    """Return a ticket, which the platform may also write as a whole number."""
    if isinstance(row.row.get("ticket"), str):
        return row.string("ticket")
    return str(row.integer("ticket", required=True))


# --- the store ------------------------------------------------------------------------


def encode_value(value: bytes) -> str:
    """Return a value in base64, as the store expects it."""
    return base64.b64encode(value).decode()


def decode_value(text: object) -> bytes:
    """Return the bytes of a stored value.

    :raises BadAnswerError: the value is not base64.
    """
    try:
        return base64.b64decode(text or "", validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise BadAnswerError(f"stored value: {error}") from error
