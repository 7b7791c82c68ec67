"""What the owner of the jobs hears, and what it orders.

``now_ms`` and all instants are the daemon's steady clock; a worker's own clock is
named so.
"""

import enum

from attrs import frozen

from poplarlb.state.job_records import Lapse, WaitingCounts
from poplarlb.state.jobs import JobSpec, OperatorConfig, RunEnd
from poplarlb.state.models import Resources

# --- events -------------------------------------------------------------------------


@frozen
class JobStored:
    """A daemon has stored an accepted job."""

    spec: JobSpec


@frozen
class CancelStored:
    """A daemon has stored that a job's caller cancelled it."""

    job_id: str


@frozen
class WorkerListing:
    """What a worker says of itself in the store."""

    worker_id: str
    life: int  # the worker's start, UTC ms
    address: str
    service: str
    zone: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...] = ()
    remaining_ms: int = 0


@frozen
class WorkerListed:
    """A worker's listing appeared or changed."""

    listing: WorkerListing


@frozen
class WorkerUnlisted:
    """A worker's listing is gone."""

    worker_id: str


@frozen
class ConfigChanged:
    """The operator's configuration has a new version."""

    config: OperatorConfig


@frozen
class ZonesOut:
    """The availability zones that operators have taken out of service."""

    zones: frozenset[str]


@frozen
class RunningRow:
    """A run that a worker lists; ``figure`` is a tail in ms or processor use."""

    task: str
    run: int
    saved: str
    percent: int
    figure: float = 0.0


@frozen
class EndedRow:
    """An end that a worker lists until it is acknowledged."""

    number: int
    task: str
    run: int
    how: RunEnd
    saved: str


@frozen
class LookAnswered:
    """A worker listed its runs and ends."""

    worker_id: str
    sent_ms: int
    life: int
    clock_ms: int  # the worker's own clock
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


@frozen
class LookFailed:
    """A look got no answer."""

    worker_id: str
    sent_ms: int


class CallOutcome(enum.StrEnum):
    """What became of a start, a stop or a pace."""

    DONE = "done"
    NO_ROOM = "no_room"
    LEASE_OVER = "lease_over"
    OLD_RUN = "old_run"
    OLD_EPOCH = "old_epoch"
    NO_TICKET = "no_ticket"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNANSWERED = "unanswered"


@frozen
class StartAnswered:
    """A start was answered, or failed."""

    worker_id: str
    task: str
    run: int
    sent_ms: int
    outcome: CallOutcome


@frozen
class StopAnswered:
    """A stop was answered, or failed."""

    worker_id: str
    task: str
    run: int
    sent_ms: int
    outcome: CallOutcome


@frozen
class PaceAnswered:
    """A pace was answered, or failed."""

    worker_id: str
    task: str
    run: int
    percent: int
    outcome: CallOutcome


@frozen
class AdviceAnswered:
    """The advice service named the workers that may run a step."""

    step: tuple[str, int, int]  # job, occurrence, step
    asked: tuple[str, ...]
    sent_ms: int
    good: tuple[tuple[str, str], ...] = ()  # worker and ticket
    valid_ms: int = 0
    failed: bool = False


@frozen
class Committed:
    """The store holds the records of the last :class:`Commit`."""

    sent_ms: int


@frozen
class OwnershipProven:
    """The store confirmed the ownership by a call sent at ``sent_ms``."""

    sent_ms: int


@frozen
class ViewConfirmed:
    """All that the store told up to ``sent_ms`` has been heard."""

    sent_ms: int


@frozen
class Tick:
    """Time has passed; ``utc_ms`` is the time of day."""

    utc_ms: int


Event = (
    JobStored
    | CancelStored
    | WorkerListed
    | WorkerUnlisted
    | ConfigChanged
    | ZonesOut
    | LookAnswered
    | LookFailed
    | StartAnswered
    | StopAnswered
    | PaceAnswered
    | AdviceAnswered
    | Committed
    | OwnershipProven
    | ViewConfirmed
    | Tick
)

# --- commands -----------------------------------------------------------------------


@frozen
class StartRun:
    """Start a run at a worker; its lease ends at ``lease_end_ms`` there."""

    worker_id: str
    address: str
    task: str
    run: int
    payload: str
    lease_end_ms: int
    epoch: int
    saved: str
    ticket: str = ""


@frozen
class StopRun:
    """Stop a run at a worker, or make a start on its way void."""

    worker_id: str
    address: str
    task: str
    run: int
    epoch: int


@frozen
class PaceRun:
    """Let a run work at a share of its speed."""

    worker_id: str
    address: str
    task: str
    run: int
    percent: int
    epoch: int


@frozen
class Look:
    """Ask a worker for its runs and ends.

    ``seen`` of None acknowledges nothing, ``lease_end_ms`` of None renews nothing; the
    worker may wait ``wait_ms`` for an end before it answers.
    """

    worker_id: str
    address: str
    epoch: int
    seen: int | None
    lease_end_ms: int | None
    wait_ms: int


@frozen
class AskAdvice:
    """Ask which of some workers may run a step."""

    step: tuple[str, int, int]  # job, occurrence, step
    workers: tuple[str, ...]


@frozen
class ProgressRecord:
    """A job's progress, to be stored."""

    job_id: str
    value: bytes


@frozen
class Commit:
    """Store records and forget jobs; answered by :class:`Committed`."""

    records: tuple[ProgressRecord, ...]
    forgotten: tuple[str, ...]
    waiting: WaitingCounts | None = None  # None: neither changed nor to be confirmed
    lapses: tuple[Lapse, ...] | None = None  # of silent workers; None: unchanged
    learned: bytes = b""  # what the next owner needn't learn again; empty: unchanged


@frozen
class StepDown:
    """Give the ownership up; another daemon has a higher epoch."""

    reason: str


@frozen
class Note:
    """A decision for the log."""

    event: str
    fields: dict


Command = StartRun | StopRun | PaceRun | Look | AskAdvice | Commit | StepDown | Note
