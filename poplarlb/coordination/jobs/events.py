"""Events that the dispatcher handles, and the commands that it returns.

All instants are on the daemon's monotonic clock unless they are said to be on a
worker's clock or in UTC. ``sent_ms`` is when the call was sent that an event answers.
"""

import enum

from attrs import frozen

from poplarlb.state.job_records import LateCall, LeaseRemainder, WaitingCounts
from poplarlb.state.jobs import JobSpec, OperatorConfig, RunEnd
from poplarlb.state.models import Resources

# --- events -------------------------------------------------------------------------


@frozen
class JobStored:
    """A daemon has stored an accepted job."""

    spec: JobSpec


@frozen
class CancelStored:
    """A daemon has stored that a caller cancelled a job."""

    job_id: str


@frozen
class WorkerListing:
    """A worker's entry in the store, written by the worker.

    ``address`` is ``HOST:PORT``. ``service`` names the pool of workers that it belongs
    to. ``remaining_ms`` is the time that a draining worker has left.
    """

    worker_id: str
    incarnation: int  # when it started, UTC ms
    address: str
    service: str
    zone: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...] = ()
    remaining_ms: int = 0


@frozen
class WorkerListed:
    """A worker's listing was added or changed."""

    listing: WorkerListing


@frozen
class WorkerUnlisted:
    """A worker's listing was removed or can't be used."""

    worker_id: str


@frozen
class ConfigChanged:
    """The operator's configuration has a new version."""

    config: OperatorConfig


@frozen
class ConfigUnreadable:
    """The newest configuration was deleted or can't be decoded."""


@frozen
class ZonesOut:
    """The availability zones that operators have taken out of service changed."""

    zones: frozenset[str]


@frozen
class RunningRow:
    """A run in a worker's answer to a poll.

    ``percent`` is how much of the task's work is done. ``measurement`` is the tail
    latency in ms of a serving task, and the processor use in thousandths of a processor
    of a best-effort task.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    measurement: float = 0.0


@frozen
class EndedRow:
    """A run's end in a worker's answer to a poll, listed until it is acknowledged.

    ``number`` counts the ends at the worker's incarnation; acknowledging one covers all
    lower ones.
    """

    number: int
    task: str
    run: int
    how: RunEnd
    checkpoint: str


@frozen
class PollAnswered:
    """A worker answered a poll with its runs and ends."""

    worker_id: str
    sent_ms: int
    incarnation: int  # when it started, UTC ms
    clock_ms: int  # the worker's own clock
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


@frozen
class PollFailed:
    """A poll got no answer.

    ``renewed``: it would have renewed the worker's leases, and may still do so.
    """

    worker_id: str
    sent_ms: int
    renewed: bool = False


class CallOutcome(enum.StrEnum):
    """The outcome of a start, a stop or a throttle."""

    DONE = "done"
    NO_ROOM = "no_room"  # too little free capacity
    LEASE_OVER = "lease_over"  # the lease had expired when the start arrived
    OLD_RUN = "old_run"  # the worker has ended this run, or a later one of the task
    OLD_EPOCH = "old_epoch"  # the worker has seen a higher epoch
    NO_TICKET = "no_ticket"  # the advice service's ticket is missing or not valid
    REFUSED = "refused"  # for another reason
    NOT_SENT = "not_sent"
    UNANSWERED = "unanswered"  # the worker may have carried it out


@frozen
class StartAnswered:
    """A start was answered or has failed.

    ``clock_ms`` is what the clock of the worker that answered showed, whatever the
    outcome. An answer that it was sent to another worker (status 421) bears that
    other one's.
    """

    worker_id: str
    task: str
    run: int
    sent_ms: int
    outcome: CallOutcome
    clock_ms: int | None = None  # the worker's clock in its answer; None without one


@frozen
class StopAnswered:
    """A stop was answered or has failed."""

    worker_id: str
    task: str
    run: int
    sent_ms: int
    outcome: CallOutcome


@frozen
class ThrottleAnswered:
    """A throttle was answered or has failed."""

    worker_id: str
    task: str
    run: int
    percent: int
    outcome: CallOutcome


@frozen
class AdviceAnswered:
    """The advice service named the workers that may run a step, or the request failed.

    A ticket is sent with a start; it permits the step's tasks at its worker for
    ``valid_ms``. An asked worker without a ticket is denied, unless the request failed.
    """

    step: tuple[str, int, int]  # job, occurrence, step
    asked_workers: tuple[str, ...]
    sent_ms: int
    tickets: tuple[tuple[str, str], ...] = ()  # worker and ticket
    valid_ms: int = 0
    failed: bool = False


@frozen
class Committed:
    """The store holds the records of the last :class:`Commit`.

    ``sent_ms`` is when the last of its calls was sent; 0 if none was needed.
    """

    sent_ms: int


@frozen
class OwnershipConfirmed:
    """The store confirmed the ownership by a call sent at ``sent_ms``."""

    sent_ms: int


@frozen
class ViewConfirmed:
    """All changes in the store up to ``sent_ms`` have been received."""

    sent_ms: int


@frozen
class Tick:
    """Time has passed; ``utc_ms`` is the wall-clock time."""

    utc_ms: int


Event = (
    JobStored
    | CancelStored
    | WorkerListed
    | WorkerUnlisted
    | ConfigChanged
    | ConfigUnreadable
    | ZonesOut
    | PollAnswered
    | PollFailed
    | StartAnswered
    | StopAnswered
    | ThrottleAnswered
    | AdviceAnswered
    | Committed
    | OwnershipConfirmed
    | ViewConfirmed
    | Tick
)

# --- commands -----------------------------------------------------------------------


@frozen
class StartRun:
    """Start a run; its lease ends at ``lease_end_ms`` on the worker's clock.

    The run resumes from ``checkpoint`` unless that is empty. ``ticket`` is the advice
    service's, where the job's queue needs one.
    """

    worker_id: str
    address: str
    task: str
    run: int
    payload: str
    lease_end_ms: int
    epoch: int
    checkpoint: str
    ticket: str = ""


@frozen
class StopRun:
    """Stop a run at a worker, or void its start if that is still in flight."""

    worker_id: str
    address: str
    task: str
    run: int
    epoch: int


@frozen
class ThrottleRun:
    """Throttle a run to a share of its processors; 100 percent lifts the throttle."""

    worker_id: str
    address: str
    task: str
    run: int
    percent: int
    epoch: int


@frozen
class PollWorker:
    """Poll a worker for its runs and ends.

    Run ends up to the number ``acknowledged_end`` are acknowledged, with None no end.
    The worker's leases are renewed to ``lease_end_ms`` on its clock, with None not at
    all. The worker may wait ``wait_ms`` for an end before it answers.
    """

    worker_id: str
    address: str
    epoch: int
    acknowledged_end: int | None
    lease_end_ms: int | None
    wait_ms: int


@frozen
class AskAdvice:
    """Ask the advice service which of these workers may run a step.

    The service should take ``expected_ms`` (0: not known). The request has failed after
    ``timeout_ms``.
    """

    step: tuple[str, int, int]  # job, occurrence, step
    workers: tuple[str, ...]
    expected_ms: int = 0
    timeout_ms: int = 5_000


@frozen
class ProgressRecord:
    """The encoded progress of a job, to be stored."""

    job_id: str
    value: bytes


@frozen
class Commit:
    """Store records and delete forgotten jobs; answered by :class:`Committed`."""

    records: tuple[ProgressRecord, ...]
    forgotten: tuple[str, ...]  # ids of jobs
    waiting: WaitingCounts | None = None  # None: not to be stored
    lease_remainders: tuple[LeaseRemainder, ...] | None = (
        None  # of unresponsive workers; None: unchanged
    )
    learned: bytes = b""  # learned interference; empty: not to be stored
    late_calls: tuple[LateCall, ...] | None = None  # None: unchanged


@frozen
class StepDown:
    """Give up the ownership: another daemon has a higher epoch."""

    reason: str


@frozen
class LogEvent:
    """A decision to be logged."""

    event: str
    fields: dict


Command = (
    StartRun
    | StopRun
    | ThrottleRun
    | PollWorker
    | AskAdvice
    | Commit
    | StepDown
    | LogEvent
)
