"""The nouns of the system: resources, workers, tasks, attempts, decisions.

All instants are UTC milliseconds as ``int``; all durations end in their unit.
"""

import enum

from attrs import frozen


class WorkClass(enum.StrEnum):
    """How soon a task must start and whether it may be evicted."""

    LATENCY_CRITICAL = "latency-critical"
    URGENT = "urgent"
    ORDINARY = "ordinary"
    PATIENT = "patient"
    LONG_LIVED = "long-lived"


class TaskPhase(enum.StrEnum):
    """Where a task stands in its life, as its home shard records it."""

    QUEUED = "queued"
    PLACED = "placed"
    RUNNING = "running"
    EVICTING = "evicting"
    DELEGATED = "delegated"
    CANCELLING = "cancelling"
    ENDED = "ended"


class TaskOutcome(enum.StrEnum):
    """How a task ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    IMPOSSIBLE = "impossible"


class ZoneState(enum.StrEnum):
    """Whether operators allow starts in an availability zone."""

    IN = "in"
    OUT = "out"


class HostState(enum.StrEnum):
    """What the platform's host list says of a worker."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


class Reason(enum.StrEnum):
    """Why a decision was taken; a bounded set, used as a metric label."""

    BEST_COST = "best_cost"
    NO_CAPACITY = "no_capacity"
    FITS_NOWHERE = "fits_nowhere"
    QUOTA_EXCEEDED = "quota_exceeded"
    ZONE_OUT = "zone_out"
    HOST_LEAVING = "host_leaving"
    HOST_DEAD = "host_dead"
    WORKER_QUARANTINED = "worker_quarantined"
    VIEW_STALE = "view_stale"
    SERVICE_BREACH = "service_breach"
    LEASE_EXPIRED = "lease_expired"
    START_REFUSED = "start_refused"
    START_LATE = "start_late"
    CANCELLED_BY_CALLER = "cancelled_by_caller"
    TEMPLATE_CHANGED = "template_changed"
    FAILED_EVERYWHERE = "failed_everywhere"
    EXITED = "exited"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no_endpoint"
    NO_OWNER = "no_owner"
    KEY_UNCERTAIN = "key_uncertain"
    KEY_RUNNING = "key_running"
    RATE_LIMITED = "rate_limited"
    STORE_DOWN = "store_down"
    SHUTTING_DOWN = "shutting_down"
    DELEGATED = "delegated"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    KEY_REUSED = "key_reused"
    KEYS_FULL = "keys_full"
    NO_SECOND = "no_second"
    ENDPOINT_FAILED = "endpoint_failed"
    ID_IN_USE = "id_in_use"


@frozen
class Resources:
    """An amount of processors, memory and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return this amount less the other; a part may become negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def larger(self, other: "Resources") -> "Resources":
        """Return the larger of both, part by part."""
        return Resources(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fits_in(self, room: "Resources") -> bool:
        """Tell whether this amount fits in ``room`` in every part."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


@frozen
class Worker:
    """A host that runs tasks, as the platform's host list describes it."""

    worker_id: str
    zone: str
    rack: str
    address: str
    capacity: Resources
    slots: int = 8
    connections: int = 64
    state: HostState = HostState.LIVE


@frozen(order=True)
class TaskKey:
    """Names a task for ever: the team and the id that its submitter chose."""

    team: str
    task_id: str


@frozen
class TaskSpec:
    """What was asked for: a batch job, or one replica of a service.

    ``service`` is empty for batch work. ``work_kind`` groups batch tasks that
    behave alike (for learned sizes and harm); it defaults to the class's name.
    """

    key: TaskKey
    work_class: WorkClass
    size: Resources
    run_time_ms: int = 0
    work_kind: str = ""
    service: str = ""
    zones: tuple[str, ...] = ()
    payload: bytes = b""
    checkpointable: bool = True
    submitted_ms: int = 0


@frozen
class Attempt:
    """One try to run a task at one worker; its number is the fencing token."""

    number: int
    shard: str
    worker_id: str
    epoch: int
    reserved: Resources
    start_before_ms: int
    placed_ms: int
    running: bool = False
    checkpoint: str = ""


@frozen
class Alternative:
    """A choice that was weighed, with its cost or why it was ruled out."""

    worker_id: str
    cost: float
    reason: Reason = Reason.BEST_COST


@frozen
class Decision:
    """An explained placement, eviction, move, end or refusal."""

    subject: str
    action: str
    reason: Reason
    at_ms: int
    epoch: int = 0
    view_version: int = 0
    worker_id: str = ""
    detail: str = ""
    alternatives: tuple[Alternative, ...] = ()


@frozen
class TaskReport:
    """What a worker says of one task in a report.

    ``state`` is ``running``, ``succeeded``, ``failed``, ``stopped`` or
    ``refused``; ``used`` lags behind the present.
    """

    key: TaskKey
    attempt: int
    epoch: int
    state: str
    used: Resources = Resources()
    progress_ms: int = 0
    checkpoint: str = ""
    throttle_percent: int = 100
    detail: str = ""


@frozen
class ServiceLatency:
    """Lagging latency of one service's replica at a worker."""

    service: str
    p50_ms: float
    p99_ms: float
    requests: int


@frozen
class WorkerReport:
    """A worker's answer to a renewal: its clock, load and tasks."""

    worker_id: str
    clock_ms: int
    measured_ms: int
    tasks: tuple[TaskReport, ...] = ()
    service_latency_ms: tuple[ServiceLatency, ...] = ()
