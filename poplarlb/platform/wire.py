"""Decodes what the platform and its callers send, and encodes what they are sent."""

import base64
import binascii

import orjson

from poplarlb.coordination.jobs.events import (
    EndedRow,
    RunningRow,
    WorkerListing,
)
from poplarlb.exceptions import BadAnswerError, BadRequestError
from poplarlb.state.jobs import (
    JobSpec,
    OperatorConfig,
    QueueConfig,
    RequestLimits,
    RunEnd,
    ServiceConfig,
    StepSpec,
)
from poplarlb.state.models import Resources

JOB_ID_LENGTH = 16
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
PAYLOAD_LIMIT_BYTES = 4_000
STEPS_LIMIT = 256
TASKS_LIMIT = 4_096  # of one job; its record must stay below the store's value limit
COUNT_LIMIT = 2**53  # whole numbers above it are not exact in JSON


# --- reading fields -------------------------------------------------------------------


class Fields:
    """A JSON object whose fields are read with a type and a default."""

    def __init__(self, row: object, where: str) -> None:
        """Take the object; anything else is an error."""
        if not isinstance(row, dict):
            raise BadRequestError(f"{where}: not an object")
        self.row = row
        self.where = where

    def text(self, name: str, required: bool = False) -> str:
        """Return a text; empty if it is absent."""
        value = self.row.get(name)
        if value is None and not required:
            return ""
        if not isinstance(value, str):
            raise BadRequestError(f"{self.where}.{name}: not a text")
        return value

    def whole(self, name: str, required: bool = False) -> int:
        """Return a whole number of at least 0; 0 if it is absent."""
        value = self.row.get(name)
        if value is None and not required:
            return 0
        if isinstance(value, float) and value.is_integer():
            value = int(value)
        if isinstance(value, bool) or not isinstance(value, int):
            raise BadRequestError(f"{self.where}.{name}: not a whole number")
        if not 0 <= value <= COUNT_LIMIT:
            raise BadRequestError(f"{self.where}.{name}: out of range")
        return value

    def number(self, name: str) -> float:
        """Return a number; 0 if it is absent."""
        value = self.row.get(name)
        if value is None:
            return 0.0
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise BadRequestError(f"{self.where}.{name}: not a number")
        return float(value)

    def flag(self, name: str) -> bool:
        """Return true or false; false if it is absent."""
        value = self.row.get(name)
        if value is None:
            return False
        if not isinstance(value, bool):
            raise BadRequestError(f"{self.where}.{name}: not true or false")
        return value

    def rows(self, name: str, required: bool = False) -> list:
        """Return a list; empty if it is absent."""
        value = self.row.get(name)
        if value is None and not required:
            return []
        if not isinstance(value, list):
            raise BadRequestError(f"{self.where}.{name}: not a list")
        return value


def parse_body(body: bytes, where: str) -> Fields:
    """Return a JSON body's fields.

    :raises BadRequestError: it is not a JSON object.
    """
    try:
        return Fields(orjson.loads(body), where)
    except orjson.JSONDecodeError as error:
        raise BadRequestError(f"{where}: {error}") from error


# --- jobs -----------------------------------------------------------------------------


def is_job_id(text: str) -> bool:
    """Tell whether a text has the form of a job's id."""
    return len(text) == JOB_ID_LENGTH and set(text) <= HEX_DIGITS


def decode_job(
    body: bytes, job_id: str, queue: QueueConfig, accepted_utc_ms: int
) -> JobSpec:
    """Return the job that a caller submits.

    :raises BadRequestError: what is wrong with it.
    """
    fields = parse_body(body, "job")
    payload = fields.text("spec")
    if len(payload.encode()) > PAYLOAD_LIMIT_BYTES:
        raise BadRequestError("job.spec: too long")
    rows = fields.rows("steps", required=True)
    if not 0 < len(rows) <= STEPS_LIMIT:
        raise BadRequestError("job.steps: none or too many")
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
        times=fields.whole("times"),
        first_utc_ms=fields.whole("startMs"),
        interval_ms=fields.whole("intervalMs"),
    )


def decode_step(row: object, number: int) -> StepSpec:
    """Return one step of a submitted job."""
    fields = Fields(row, f"job.steps.{number}")
    after = fields.rows("after")
    if not all(type(item) is int and 0 <= item < number for item in after):
        raise BadRequestError(f"{fields.where}.after: not earlier steps")
    count = fields.whole("count", required=True)
    if not count:
        raise BadRequestError(f"{fields.where}.count: no tasks")
    return StepSpec(
        count,
        decode_amount(fields),
        estimate_ms=fields.whole("estimateMs"),
        after=tuple(sorted(set(after))),
        checkpoints=fields.flag("checkpoints"),
        gang=fields.flag("gang"),
        same_rack=fields.flag("sameRack"),
        required_label=fields.text("requiredLabel"),
        preferred_rack=fields.text("preferredRack"),
        max_per_worker=fields.whole("maxPerServer"),
        speculative=fields.flag("speculative"),
        long_running=fields.flag("longRunning"),
        image=fields.text("image"),
        target_ms=fields.whole("targetMs"),
        fills=fields.flag("fills"),
        may_miss=fields.whole("mayMiss"),
    )


def decode_amount(fields: Fields) -> Resources:
    """Return processors (thousandths), memory and accelerators."""
    return Resources(fields.whole("cpu"), fields.whole("memMb"), fields.whole("gpu"))


# --- the operator's configuration -----------------------------------------------------


def decode_config(value: bytes) -> OperatorConfig:
    """Return the configuration that the operator wrote.

    :raises BadAnswerError: it can't be read.
    """
    try:
        fields = parse_body(value, "config")
        return OperatorConfig(
            fields.whole("version", required=True),
            tuple(decode_queue(row) for row in fields.rows("routes")),
            tuple(decode_service(row) for row in fields.rows("services")),
            decode_limits(fields.row.get("limits") or {}),
        )
    except BadRequestError as error:
        raise BadAnswerError(error.detail) from error


def decode_queue(row: object) -> QueueConfig:
    """Return one queue; the wire calls it a route."""
    fields = Fields(row, "route")
    return QueueConfig(
        fields.text("name", required=True),
        fields.text("host"),
        fields.text("prefix", required=True),
        fields.text("service", required=True),
        priority=fields.whole("priority"),
        max_attempts=fields.whole("maxAttempts") or 1,
        stretch=fields.number("stretch") or 1.0,
        objective_ms=fields.whole("sloMs"),
        needs_advice=bool(fields.row.get("advice")),
    )


def decode_service(row: object) -> ServiceConfig:
    """Return one service."""
    fields = Fields(row, "service")
    return ServiceConfig(fields.text("name", required=True), fields.flag("spare"))


def decode_limits(row: object) -> RequestLimits:
    """Return the limits on callers' requests; what is absent has its default."""
    fields = Fields(row, "limits")
    default = RequestLimits()
    return RequestLimits(
        fields.whole("maxHeaderBytes") or default.header_bytes,
        fields.whole("maxBodyBytes") or default.body_bytes,
        fields.whole("headerTimeoutMs") or default.header_ms,
        fields.whole("idleTimeoutMs") or default.idle_ms,
    )


# --- workers --------------------------------------------------------------------------


def decode_listing(worker_id: str, value: bytes) -> WorkerListing | None:
    """Return a worker's entry; None if it names no worker that can be used."""
    try:
        fields = parse_body(value, "server")
        states = {"ready": False, "draining": True}
        draining = states.get(fields.text("state", required=True))
        address = fields.text("addr", required=True)
        service = fields.text("service", required=True)
        capacity = decode_amount(Fields(fields.row.get("capacity"), "capacity"))
        labels = fields.rows("labels")
        life = fields.whole("born")
        zone = fields.text("zone", required=True)
        remaining_ms = fields.whole("remainingMs")
    except BadRequestError:
        return None
    if draining is None or ":" not in address:
        return None
    if not all(isinstance(label, str) for label in labels):
        return None
    return WorkerListing(
        worker_id,
        life,
        address,
        service,
        zone,
        draining,
        capacity,
        tuple(labels),
        remaining_ms,
    )


def decode_running(rows: object) -> tuple[RunningRow, ...]:
    """Return the runs that a worker lists.

    :raises BadAnswerError: the list is malformed.
    """
    try:
        return tuple(
            RunningRow(
                str(row[0]),
                int(row[1]),
                str(row[2] or ""),
                int(row[3]),
                float(row[4]) if len(row) > 4 and row[4] is not None else 0.0,
            )
            for row in rows or ()
        )
    except (TypeError, ValueError, IndexError) as error:
        raise BadAnswerError(f"a list of runs: {error}") from error


def decode_ended(rows: object) -> tuple[EndedRow, ...]:
    """Return the ends that a worker lists.

    :raises BadAnswerError: the list is malformed.
    """
    try:
        return tuple(
            EndedRow(
                int(row[0]),
                str(row[1]),
                int(row[2]),
                RunEnd(row[3]),
                str(row[4] or ""),
            )
            for row in rows or ()
        )
    except (TypeError, ValueError, IndexError) as error:
        raise BadAnswerError(f"a list of ends: {error}") from error


# --- the store ------------------------------------------------------------------------


def encode_value(value: bytes) -> str:
    """Return a value as the store takes it."""
    return base64.b64encode(value).decode()


def decode_value(text: object) -> bytes:
    """Return a value's bytes.

    :raises BadAnswerError: it is not base64.
    """
    try:
        return base64.b64decode(text or "", validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise BadAnswerError(f"a stored value: {error}") from error
