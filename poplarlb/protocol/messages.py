"""Messages between daemons.

Any message may be lost, delayed, duplicated or reordered. An ``epoch`` is the number
of an ownership of a shard; an ``incarnation`` is the start time of a daemon's process.
A task's home shard keeps its record; an attempt's host shard is that of its worker.
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
    """The endpoints of a service in one shard; ``queued`` counts its requests."""

    team: str
    service: str
    endpoints: int
    free_slots: int
    queued: int


@frozen
class ShardSummary:
    """A summary of a shard that its owner sends to all members.

    ``queued`` counts tasks. ``largest_free`` is the free capacity of the worker with
    most free processors, ``total_free`` that of all workers; both leave out workers
    that may not start tasks.
    """

    shard: str
    epoch: int
    zone: str
    largest_free: Resources
    total_free: Resources
    queued: int
    endpoints: tuple[EndpointSummary, ...] = ()


@frozen
class Heartbeat:
    """A periodic message from each member to each other member.

    ``view_version`` is the version of the configuration that the sender has in force,
    ``summaries`` the shards it owns, as far as they are sent with this message.
    ``store_contact_age_ms`` is the time since the store last answered the sender.
    """

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
    """Asks a peer for its configuration.

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

    A new attempt is ignored if the message arrives after ``place_before_ms``.
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
    """The shard that was asked to place the attempt will never run it."""

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
    """The attempt ended at the host shard.

    ``outcome`` is ``None`` if the task did not exit by itself: it was stopped, was not
    started, or was lost with its worker.
    """

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
    """A shard requests a larger share of a team's quota, or reports its present one.

    Sent to the team's quota authority, which is the team's home shard. The authority
    ignores a ``serial`` below that of its last grant to the shard, and repeats the
    grant for the same one.
    """

    team: str
    serial: int
    wanted: Resources


@frozen
class QuotaShare:
    """The share that a team's quota authority committed for the recipient, or a recall.

    ``serial`` is that of the request; an older answer is not applied. With the serial
    that the recipient already holds, a lower ``share`` asks for the return of what it
    does not use above that share.
    """

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
# A mark records that a key's request may have been dispatched. The backup daemon holds
# copies of an owner's marks and of the outcomes of their requests.


@frozen
class MarkKey:
    """Asks the backup daemon to hold a mark for a key before its request is sent.

    ``digest`` is that of the request's content; the mark is kept until ``expires_ms``.
    """

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
    """Whether the backup daemon holds the mark.

    It refuses a mark if it knows another epoch, which ``epoch`` then holds, has not
    applied all pages of that epoch's ``AdoptSecond``, or can't store the mark.
    """

    shard: str
    epoch: int
    mark_id: int
    held: bool


@frozen
class KeyOutcome:
    """The outcome of a marked key, for the backup daemon to keep.

    ``used`` is false if the request was not sent; the mark is then deleted. Otherwise
    the last fields hold the response; ``status`` 0 means that it was too large to keep.
    """

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
    """A new owner asks a member for the marks that it holds for a shard.

    ``after`` is the name of the last key of the page before; empty for the first page.
    """

    shard: str
    epoch: int
    after: str = ""


@frozen
class MarksCollected:
    """One page of the marks and outcomes that a member holds for a shard.

    ``epoch`` is the latest epoch whose marks the member holds completely; without
    such an epoch it is 0 and ``complete`` is not set. Keys dispatched before that
    epoch may be missing until ``uncertain_until_ms``. ``from_owner`` is set if the
    member was the owner of that epoch and also knows the keys that had no mark at a
    backup daemon. ``after`` repeats that of the request; ``more`` is set if further
    pages follow.
    """

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
    page is for one ``incarnation`` of the backup daemon, as a restarted one has lost
    its marks. Keys dispatched by earlier owners may be missing until
    ``uncertain_until_ms``.
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
    """The backup daemon applied a page, or refused it.

    It refuses a page if it knows a newer epoch, which ``epoch`` then holds; ``page`` is
    then -1.
    """

    shard: str
    epoch: int
    adoption_id: int
    page: int


# --- slots in use: gateways to a new owner ---------------------------------------


@frozen
class OutstandingGrant:
    """A request slot at a worker that a gateway may use until ``deadline_ms``.

    ``gateway`` is the gateway's daemon; empty for the sender of the report.
    """

    request_id: str
    worker_id: str
    deadline_ms: int
    gateway: str = ""


@frozen
class GrantsWanted:
    """A new owner asks a member which slots of the shard the member is using."""

    shard: str
    epoch: int


@frozen
class GrantsReported:
    """All slots of the shard that a member uses.

    The member then refuses grants of older epochs. ``incarnation`` is the member's;
    ``whole`` is set if it was the owner of the epoch before and reports the grants of
    all members.
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
