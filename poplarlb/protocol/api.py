"""What callers and operators may ask of any daemon, and what they are told."""

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


@frozen
class SubmitTask:
    """Accept a batch job; repeating it returns the first record."""

    spec: TaskSpec


@frozen
class ShowTask:
    """Show one task."""

    key: TaskKey


@frozen
class CancelTask:
    """Cancel a task; a running one is stopped first."""

    key: TaskKey


@frozen
class ListTasks:
    """List a team's tasks in one shard, in key order, after ``after``."""

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
    """Some tasks; ``more`` tells that the list was cut at its limit."""

    tasks: tuple[TaskView, ...]
    more: bool = False


# --- explanations ---------------------------------------------------------------


@frozen
class Explain:
    """Ask one shard for the decisions on a subject.

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
    """Replace the templates of some teams, if the head is at ``base_version``."""

    change_id: str
    operator: str
    base_version: int
    teams: tuple[TeamTemplate, ...]
    removed: tuple[str, ...] = ()


@frozen
class SetZone:
    """Take an availability zone out or bring it back."""

    change_id: str
    operator: str
    zone: str
    state: ZoneState


@frozen
class ShowConfig:
    """Ask for the configuration that this daemon has in force."""


@frozen
class ConfigShown:
    """The configuration in force and how long ago it was confirmed."""

    view: ConfigView
    confirmed_age_ms: int


@frozen
class ConfigChanged:
    """The change was committed at ``version``.

    ``waiting_for`` names members that have not yet reported it in force.
    """

    version: int
    waiting_for: tuple[str, ...] = ()


# --- requests to services -------------------------------------------------------


@frozen
class AdmitRequest:
    """Ask for an endpoint's slot for one request to a service."""

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
    """A slot at an endpoint, to be used before ``use_before_ms``."""

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
    """Give a slot back and tell how the request went.

    ``result`` is ``ok``, ``failed`` (the endpoint answered with a fault),
    ``unsent`` (no byte reached it), ``unknown`` (cut off after a byte may have
    reached it) or ``unused`` (nothing was tried).
    """

    request_id: str
    shard: str
    worker_id: str
    latency_ms: float
    result: str


@frozen
class BeginKey:
    """Claim an idempotency key before a request is dispatched."""

    team: str
    service: str
    key: str
    request_id: str
    digest: bytes
    first_sending: bool = False
    deadline_ms: int = 0


@frozen
class KeyClaimed:
    """The claim is held on two daemons; the request may be dispatched once."""

    request_id: str


@frozen
class KeyAnswered:
    """The key was dispatched before, and this was its outcome."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class FinishKey:
    """Record the outcome of a key, or give back a claim that was not used."""

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
    """The call was carried out and has nothing else to say."""


# --- state of a daemon ----------------------------------------------------------


@frozen
class ShowStatus:
    """Ask a daemon for its own view of the system."""


@frozen
class MemberStatus:
    """A daemon as another one sees it."""

    member_id: str
    zone: str
    address: str
    live: bool
    view_version: int
    heard_age_ms: int = 0


@frozen
class ShardStatus:
    """A shard as its owner, or another daemon, sees it."""

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
    """What a daemon knows at a glance."""

    member_id: str
    view_version: int
    view_age_ms: int
    members: tuple[MemberStatus, ...]
    shards: tuple[ShardStatus, ...]
    zones: tuple[tuple[str, str], ...]
    store_ok: bool = True


@frozen
class Fault:
    """A refusal or failure, with its stable code and reason.

    ``code`` is that of an exception in ``poplarlb.exceptions``. ``not_run``
    promises that nothing has run and that nothing will.
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
