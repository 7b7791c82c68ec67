"""The data model: resources, workers, tasks, attempts, decisions and reports.

Timestamps are UTC milliseconds as ``int`` unless they are said to be on a worker's
clock. The names of durations end in their unit.
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
    """The phase of a task, as its home shard, which keeps its record, sees it.

    ``DELEGATED``: a shard was asked to place it and has not answered. ``EVICTING`` is
    never set.
    """

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
    """The state of a worker in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


class Reason(enum.StrEnum):
    """Why a decision was made; a bounded set, as it is a metric label."""

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
    """An amount of processors (in thousandths), memory and accelerators."""

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
        """Return this amount minus the other; a component may become negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def elementwise_max(self, other: "Resources") -> "Resources":
        """Return the larger of both amounts in each component."""
        return Resources(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fits_in(self, capacity: "Resources") -> bool:
        """Return whether no component of this amount exceeds that of ``capacity``."""
        return (
            self.cpu_millis <= capacity.cpu_millis
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )


@frozen
class Worker:
    """A host that runs tasks, as the platform's host list describes it.

    It serves ``slots`` requests at once, over at most ``connections`` connections.
    """

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
    """The permanent name of a task: its team and the id its submitter chose."""

    team: str
    task_id: str


@frozen
class TaskSpec:
    """A requested task: a batch job or one replica of a service.

    A batch job is a single task here; :mod:`poplarlb.state.jobs` has jobs of steps.

    ``service`` is empty for batch work. ``work_kind`` groups batch tasks that
    behave alike, for learned sizes and interference; it defaults to the name of the
    work class.
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
    """One attempt to run a task at a worker; its number is the fencing token.

    The worker refuses to start it from ``start_before_ms`` on. ``epoch`` is the number
    of the ownership of ``shard``, the worker's, under which it was placed.
    """

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
    """A worker considered in a decision, with its cost or why it was ruled out."""

    worker_id: str
    cost: float
    reason: Reason = Reason.BEST_COST


@frozen
class Decision:
    """A placement, eviction, move, end or refusal, with its reason.

    ``subject`` names the task, request or other thing that was decided on.
    ``view_version`` is the version of the configuration in force.
    """

    subject: str
    action: str
    reason: Reason
    at_ms: int
    epoch: int = 0
    view_version: int = 0
    worker_id: str = ""
    detail: str = ""
    alternatives: tuple[Alternative, ...] = ()


ENDED_STATES = frozenset({"succeeded", "failed", "stopped", "refused"})


@frozen
class TaskReport:
    """One task in a worker's report.

    ``state`` is ``running`` or one of ``ENDED_STATES``; a task in any other state
    counts as running. ``used`` lags behind the current usage. ``progress_ms`` is its
    run time at full speed.
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
    """Latency of one service's replica at a worker; lags behind the current latency."""

    service: str
    p50_ms: float
    p99_ms: float
    requests: int


@frozen
class WorkerReport:
    """A worker's clock, tasks and service latencies, in its answer to a renewal.

    ``clock_ms`` is the time on the worker's clock; usage and latencies were measured
    earlier, at ``measured_ms``.
    """

    worker_id: str
    clock_ms: int
    measured_ms: int
    tasks: tuple[TaskReport, ...] = ()
    service_latency_ms: tuple[ServiceLatency, ...] = ()
