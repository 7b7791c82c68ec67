"""The calls that callers and operators may make to any daemon, and their answers."""

from attrs import frozen

from poplarlb.state.models import (
    Attempt,
    Decision,
    Reason,
    TaskKey,
    TaskOutcome,
    TaskPhase,
    TaskSpec,
    WorkClass,
    ZoneState,
)
from poplarlb.state.templates import ConfigView, TeamTemplate

# --- jobs -----------------------------------------------------------------------
# A batch job is one task here; the replicas of services are tasks, too.


@frozen
class SubmitTask:
    """Submit a batch job; a repetition returns the task as it is now."""

    spec: TaskSpec


@frozen
class ShowTask:
    """Return the state of one task."""

    key: TaskKey


@frozen
class CancelTask:
    """Cancel a task; a running one is stopped first."""

    key: TaskKey


@frozen
class ListTasks:
    """List a team's tasks whose home is one shard, in order of their ids.

    The list begins after the id ``after`` and has at most ``limit`` tasks.
    """

    team: str
    shard: str
    after: str = ""
    limit: int = 100


@frozen
class TaskView:
    """A task as its home shard records it."""

    spec: TaskSpec
    phase: TaskPhase
    home_shard: str
    attempts: tuple[Attempt, ...] = ()
    outcome: TaskOutcome | None = None
    reason: Reason | None = None
    detail: str = ""
    evictions: int = 0


@frozen
class TaskViews:
    """A page of tasks; ``more`` is set if further tasks follow."""

    tasks: tuple[TaskView, ...]
    more: bool = False


# --- explanations ---------------------------------------------------------------


@frozen
class Explain:
    """Ask one shard for the decisions that it keeps on a subject.

    The subject is ``job/<team>/<id>``, ``request/<id>`` or ``worker/<id>``.
    """

    subject: str
    shard: str


@frozen
class Decisions:
    """The decisions that a shard keeps on a subject, oldest first."""

    decisions: tuple[Decision, ...]


# --- configuration --------------------------------------------------------------


@frozen
class ApplyTemplates:
    """Replace the templates of some teams if the configuration is at ``base_version``.

    The teams in ``removed`` lose their template. A repetition with the same
    ``change_id`` changes nothing.
    """

    change_id: str
    operator: str
    base_version: int
    teams: tuple[TeamTemplate, ...]
    removed: tuple[str, ...] = ()


@frozen
class SetZone:
    """Take an availability zone out of service, or bring it back."""

    change_id: str
    operator: str
    zone: str
    state: ZoneState


@frozen
class ShowConfig:
    """Ask a daemon for the configuration that it has in force."""


@frozen
class ConfigShown:
    """The configuration in force, and how long ago the store confirmed it."""

    view: ConfigView
    confirmed_age_ms: int


@frozen
class ConfigChanged:
    """A change to the configuration was committed as ``version``.

    ``waiting_for`` names the members that have not yet reported it in force.
    """

    version: int
    waiting_for: tuple[str, ...] = ()


# --- requests to services -------------------------------------------------------


@frozen
class AdmitRequest:
    """Ask for a slot at an endpoint of a service, for one request.

    The workers in ``avoid`` are not to be used. ``gateway`` is the daemon that sends
    the request to the endpoint.
    """

    request_id: str
    team: str
    service: str
    deadline_ms: int
    idempotent: bool = True
    avoid: tuple[str, ...] = ()
    gateway: str = ""
    work_class: WorkClass = WorkClass.LATENCY_CRITICAL


@frozen
class Grant:
    """A slot at an endpoint; the request must be sent before ``use_before_ms``.

    ``slots`` is the number of slots that the endpoint has, ``idle_connections`` the
    number of idle connections that each gateway may keep open to it.
    """

    request_id: str
    shard: str
    epoch: int
    worker_id: str
    address: str
    use_before_ms: int
    deadline_ms: int = 0
    slots: int = 8
    idle_connections: int = 1


@frozen
class FinishRequest:
    """Release a slot and report the result of its request.

    ``result`` is ``ok``, ``failed`` (the endpoint answered with an error),
    ``unsent`` (no byte reached the endpoint), ``unknown`` (the connection failed after
    a byte may have reached it) or ``unused`` (no connection was tried).
    """

    request_id: str
    shard: str
    worker_id: str
    latency_ms: float
    result: str


@frozen
class BeginKey:
    """Claim an idempotency key before its request is dispatched.

    ``first_sending`` is the caller's statement that the key was never sent before.
    ``digest`` is that of the request's content.
    """

    team: str
    service: str
    key: str
    request_id: str
    digest: bytes
    first_sending: bool = False
    deadline_ms: int = 0


@frozen
class KeyClaimed:
    """The key is claimed, and its request may be dispatched, once.

    The owner of the key's shard has recorded the claim, and so has its backup daemon
    unless the service's ``durability`` is ``memory``.
    """

    request_id: str


@frozen
class KeyAnswered:
    """The recorded response of a key whose request was dispatched before."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class FinishKey:
    """Record the response to a key's request, or release a claim that was not used.

    ``used`` is false if the request was not sent.
    """

    team: str
    service: str
    key: str
    request_id: str
    used: bool
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@frozen
class Done:
    """A call was carried out; it has no result."""


# --- state of a daemon ----------------------------------------------------------


@frozen
class ShowStatus:
    """Ask a daemon for its view of the system."""


@frozen
class MemberStatus:
    """The status of a daemon as another daemon sees it.

    ``address`` is that of its HTTP API; ``heard_age_ms`` is the time since its last
    heartbeat.
    """

    member_id: str
    zone: str
    address: str
    live: bool
    view_version: int
    heard_age_ms: int = 0


@frozen
class ShardStatus:
    """The status of a shard as its owner, or another daemon, sees it.

    ``state`` is ``open`` or ``recovering`` at the owner; any other daemon reports
    ``elsewhere`` and only the owner and epoch. ``queued`` counts tasks by work class;
    ``quarantined`` names the workers in quarantine; ``waiting`` says why tasks wait.
    """

    shard: str
    owner: str
    epoch: int
    state: str
    workers: int = 0
    running: int = 0
    queued: tuple[tuple[str, int], ...] = ()
    quarantined: tuple[str, ...] = ()
    waiting: tuple[Decision, ...] = ()


@frozen
class Status:
    """A daemon's view of members, shards, zones, configuration and store.

    ``view_age_ms`` is the time since the store confirmed the configuration.
    """

    member_id: str
    view_version: int
    view_age_ms: int
    members: tuple[MemberStatus, ...]
    shards: tuple[ShardStatus, ...]
    zones: tuple[tuple[str, str], ...]
    store_ok: bool = True


@frozen
class Fault:
    """A refusal or failure of a call, with a stable code and a reason.

    ``code`` is the code of an exception in ``poplarlb.exceptions``. The code
    ``not_run`` guarantees that the call has no effect, now or later.
    """

    code: str
    reason: Reason
    detail: str = ""
    retry_after_ms: int = 0


ApiBody = (
    SubmitTask
    | ShowTask
    | CancelTask
    | ListTasks
    | Explain
    | ApplyTemplates
    | SetZone
    | ShowConfig
    | AdmitRequest
    | FinishRequest
    | BeginKey
    | FinishKey
    | ShowStatus
)

ApiResult = (
    TaskView
    | TaskViews
    | Decisions
    | ConfigChanged
    | ConfigShown
    | Grant
    | KeyClaimed
    | KeyAnswered
    | Done
    | Status
    | Fault
)
