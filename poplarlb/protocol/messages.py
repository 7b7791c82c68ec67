"""Messages between daemons. All may be lost, delayed, repeated or reordered."""

from attrs import frozen

from poplarlb.protocol.api import ApiBody, ApiResult
from poplarlb.state.models import (
    Attempt,
    Reason,
    Resources,
    TaskKey,
    TaskOutcome,
    TaskSpec,
)
from poplarlb.state.templates import ConfigView

# --- between members ------------------------------------------------------------


@frozen
class EndpointSummary:
    """How busy a service's endpoints in a shard are."""

    team: str
    service: str
    endpoints: int
    free_slots: int
    queued: int


@frozen
class ShardSummary:
    """What an owner tells all members about its shard."""

    shard: str
    epoch: int
    zone: str
    largest_free: Resources
    total_free: Resources
    queued: int
    endpoints: tuple[EndpointSummary, ...] = ()


@frozen
class Heartbeat:
    """Sent by each member to each other one."""

    incarnation: int
    view_version: int
    store_contact_age_ms: int
    summaries: tuple[ShardSummary, ...] = ()
    stopping: bool = False


@frozen
class ViewOffer:
    """A configuration for a member that has none while the store is down."""

    view: ConfigView


@frozen
class ViewWanted:
    """Ask a peer for its configuration.

    ``reply_to`` is the asker's address, for a peer that doesn't know it yet.
    """

    reply_to: str = ""


@frozen
class Forward:
    """An API call for the owner of a shard."""

    call_id: int
    shard: str
    body: ApiBody


@frozen
class Forwarded:
    """The answer to ``Forward``."""

    call_id: int
    result: ApiResult


# --- between shards (addressed to a shard, sent to its owner) --------------------


@frozen
class PlaceAttempt:
    """The home shard asks another shard to place one attempt of a task.

    A copy that arrives after ``place_before_ms`` is ignored.
    """

    spec: TaskSpec
    attempt: int
    reserved: Resources
    checkpoint: str = ""
    place_before_ms: int = 0


@frozen
class AttemptPlaced:
    """The asked shard committed a place for the attempt."""

    key: TaskKey
    attempt: Attempt


@frozen
class AttemptRefused:
    """The asked shard will never run this attempt."""

    key: TaskKey
    attempt: int
    reason: Reason
    detail: str = ""


@frozen
class AttemptRunning:
    """The attempt was seen running at its worker."""

    key: TaskKey
    attempt: int


@frozen
class AttemptEnded:
    """The attempt is over for good; ``outcome`` is ``None`` if work remains."""

    key: TaskKey
    attempt: int
    outcome: TaskOutcome | None
    reason: Reason
    checkpoint: str = ""
    detail: str = ""


@frozen
class AttemptEndNoted:
    """The home shard committed the end; the host shard may forget it."""

    key: TaskKey
    attempt: int


@frozen
class StopAttempt:
    """The home shard wants the attempt stopped, with a checkpoint if asked."""

    key: TaskKey
    attempt: int
    checkpoint: bool
    reason: Reason


@frozen
class QuotaWanted:
    """A shard asks a team's quota authority for a larger or smaller share."""

    team: str
    serial: int
    wanted: Resources


@frozen
class QuotaShare:
    """The share that the authority committed for the asking shard."""

    team: str
    serial: int
    share: Resources


ShardBody = (
    PlaceAttempt
    | AttemptPlaced
    | AttemptRefused
    | AttemptRunning
    | AttemptEnded
    | AttemptEndNoted
    | StopAttempt
    | QuotaWanted
    | QuotaShare
)


@frozen
class ShardMessage:
    """A message from one shard to another; ``epoch`` is the sender's."""

    sender: str
    epoch: int
    recipient: str
    body: ShardBody


# --- idempotency keys: owner to its second daemon ---------------------------------


@frozen
class MarkKey:
    """Hold a mark for a key before its request is dispatched."""

    shard: str
    epoch: int
    mark_id: int
    team: str
    service: str
    key: str
    request_id: str
    digest: bytes
    expires_ms: int


@frozen
class KeyMarked:
    """The mark is held, or refused because a newer epoch was seen."""

    shard: str
    epoch: int
    mark_id: int
    held: bool


@frozen
class KeyOutcome:
    """The outcome of a marked key, for the second daemon to keep."""

    shard: str
    epoch: int
    team: str
    service: str
    key: str
    request_id: str
    used: bool
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class CollectMarks:
    """A new owner asks a member for the marks that it holds for a shard."""

    shard: str
    epoch: int
    after: str = ""


@frozen
class MarksCollected:
    """Marks and outcomes held for a shard, a page at a time."""

    shard: str
    epoch: int
    marks: tuple[MarkKey, ...]
    outcomes: tuple[KeyOutcome, ...]
    more: bool = False
    complete: bool = True
    after: str = ""
    from_owner: bool = False
    uncertain_until_ms: int = 0


@frozen
class AdoptSecond:
    """An owner gives its second daemon a page of everything that it knows.

    The second holds marks of an epoch only after it took the last page. The
    page is for one ``incarnation`` of it: a restarted daemon has lost its marks.
    """

    shard: str
    epoch: int
    adoption_id: int
    incarnation: int
    page: int
    last: bool
    marks: tuple[MarkKey, ...]
    outcomes: tuple[KeyOutcome, ...]
    uncertain_until_ms: int = 0


@frozen
class SecondAdopted:
    """The second daemon took a page, or has seen a newer epoch."""

    shard: str
    epoch: int
    adoption_id: int
    page: int


# --- slots in use: gateways to a new owner ---------------------------------------


@frozen
class OutstandingGrant:
    """A slot that a gateway uses or may use until ``deadline_ms``."""

    request_id: str
    worker_id: str
    deadline_ms: int
    gateway: str = ""


@frozen
class GrantsWanted:
    """A new owner asks a member which slots of the shard it uses."""

    shard: str
    epoch: int


@frozen
class GrantsReported:
    """All slots of the shard that the member uses; it takes no older grants now.

    ``whole`` tells that the sender was the owner and knows every grant.
    """

    shard: str
    epoch: int
    incarnation: int
    grants: tuple[OutstandingGrant, ...]
    whole: bool = False


PeerMessage = (
    Heartbeat
    | ViewOffer
    | ViewWanted
    | Forward
    | Forwarded
    | ShardMessage
    | MarkKey
    | KeyMarked
    | KeyOutcome
    | CollectMarks
    | MarksCollected
    | AdoptSecond
    | SecondAdopted
    | GrantsWanted
    | GrantsReported
)
