"""Messages between daemons.

Any message may be lost, delayed, duplicated or reordered.
"""

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
    """The load of a service's endpoints in one shard."""

    team: str
    service: str
    endpoints: int
    free_slots: int
    queued: int


@frozen
class ShardSummary:
    """A summary of a shard that its owner sends to all members."""

    shard: str
    epoch: int
    zone: str
    largest_free: Resources
    total_free: Resources
    queued: int
    endpoints: tuple[EndpointSummary, ...] = ()


@frozen
class Heartbeat:
    """A periodic message from each member to each other member."""

    incarnation: int
    view_version: int
    store_contact_age_ms: int
    summaries: tuple[ShardSummary, ...] = ()
    stopping: bool = False


@frozen
class ViewOffer:
    """The sender's configuration, for a member that can't read it from the store."""

    view: ConfigView


@frozen
class ViewWanted:
    """Ask a peer for its configuration.

    ``reply_to`` is the sender's address, for a peer that doesn't know it yet.
    """

    reply_to: str = ""


@frozen
class Forward:
    """An API call, forwarded to the owner of a shard."""

    call_id: int
    shard: str
    body: ApiBody


@frozen
class Forwarded:
    """The owner's answer to a ``Forward`` with the same ``call_id``."""

    call_id: int
    result: ApiResult


# --- between shards (addressed to a shard, sent to its owner) --------------------


@frozen
class PlaceAttempt:
    """The home shard asks another shard to place one attempt of a task.

    The message is ignored if it arrives after ``place_before_ms``.
    """

    spec: TaskSpec
    attempt: int
    reserved: Resources
    checkpoint: str = ""
    place_before_ms: int = 0


@frozen
class AttemptPlaced:
    """The host shard committed a reservation for the attempt."""

    key: TaskKey
    attempt: Attempt


@frozen
class AttemptRefused:
    """The shard asked to place the attempt will never run it."""

    key: TaskKey
    attempt: int
    reason: Reason
    detail: str = ""


@frozen
class AttemptRunning:
    """The worker reported the attempt as running."""

    key: TaskKey
    attempt: int


@frozen
class AttemptEnded:
    """The attempt ended at the host shard; ``outcome`` is ``None`` if work remains."""

    key: TaskKey
    attempt: int
    outcome: TaskOutcome | None
    reason: Reason
    checkpoint: str = ""
    detail: str = ""


@frozen
class AttemptEndNoted:
    """The home shard committed the attempt's end; the host shard may delete it."""

    key: TaskKey
    attempt: int


@frozen
class StopAttempt:
    """The home shard asks for the attempt to be stopped, with or without checkpoint."""

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
    """The share that a team's quota authority committed for the recipient."""

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
    """A message from one shard to another, with the epoch of the sender's owner."""

    sender: str
    epoch: int
    recipient: str
    body: ShardBody


# --- idempotency keys: owner to its backup daemon ---------------------------------


@frozen
class MarkKey:
    """Ask the backup daemon to hold a mark for a key before its request is sent."""

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
    """Whether the mark is held; it is refused after a newer epoch was seen."""

    shard: str
    epoch: int
    mark_id: int
    held: bool


@frozen
class KeyOutcome:
    """The outcome of a marked key, for the backup daemon to keep."""

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
    """One page of the marks and outcomes that a member holds for a shard."""

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
    """One page of all marks and outcomes of an owner, for its backup daemon.

    The backup daemon holds marks of an epoch only after it applied the last page. The
    page is for one ``incarnation`` of it, as a restarted daemon has lost its marks.
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
    """The backup daemon applied a page, or it has seen a newer epoch."""

    shard: str
    epoch: int
    adoption_id: int
    page: int


# --- slots in use: gateways to a new owner ---------------------------------------


@frozen
class OutstandingGrant:
    """A slot that a gateway is using, or may use, until ``deadline_ms``."""

    request_id: str
    worker_id: str
    deadline_ms: int
    gateway: str = ""


@frozen
class GrantsWanted:
    """A new owner asks a member which slots of the shard it is using."""

    shard: str
    epoch: int


@frozen
class GrantsReported:
    """All slots of the shard that a member uses; it now refuses grants of older epochs.

    ``whole`` is set if the sender was the owner and so knows every grant.
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
