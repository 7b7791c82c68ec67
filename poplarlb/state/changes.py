"""Changes of a shard's state: what the journal keeps and recovery replays."""

from attrs import frozen

from poplarlb.state.models import (
    Attempt,
    Decision,
    Reason,
    Resources,
    TaskKey,
    TaskOutcome,
    TaskPhase,
    TaskSpec,
)

# --- at the home shard ------------------------------------------------------------


@frozen
class TaskAccepted:
    """A task entered its home shard's record.

    ``number`` is the last attempt number used under the key before.
    """

    spec: TaskSpec
    at_ms: int = 0
    number: int = 0


@frozen
class AttemptOpened:
    """The home shard chose a shard for attempt ``number``."""

    key: TaskKey
    number: int
    shard: str
    reserved: Resources
    checkpoint: str = ""


@frozen
class AttemptNoted:
    """The home shard learned where the attempt was placed, or that it runs."""

    key: TaskKey
    attempt: Attempt


@frozen
class AttemptClosed:
    """The attempt is over; the task is queued again."""

    key: TaskKey
    number: int
    reason: Reason
    checkpoint: str = ""
    counts_as_failure: bool = False
    evicted: bool = False
    at_ms: int = 0


@frozen
class TaskPhaseSet:
    """The home shard wants the task stopped: cancelling or evicting."""

    key: TaskKey
    phase: TaskPhase
    reason: Reason


@frozen
class TaskEnded:
    """The task ended for good."""

    key: TaskKey
    outcome: TaskOutcome
    reason: Reason
    at_ms: int
    detail: str = ""


@frozen
class TaskForgotten:
    """An ended task's retention time has passed."""

    key: TaskKey


# --- at the shard that holds the worker --------------------------------------------


@frozen
class PlaceTaken:
    """Resources of a worker were reserved for an attempt."""

    spec: TaskSpec
    home_shard: str
    attempt: Attempt
    checkpoint: str = ""


@frozen
class PlaceRunning:
    """The attempt was seen running at its worker."""

    key: TaskKey
    number: int


@frozen
class PlaceStopping:
    """The attempt must be stopped, and why."""

    key: TaskKey
    number: int
    checkpoint: bool
    reason: Reason


@frozen
class PlaceEnded:
    """The attempt is over at its worker; kept until the home shard notes it."""

    key: TaskKey
    number: int
    outcome: TaskOutcome | None
    reason: Reason
    checkpoint: str = ""
    detail: str = ""


@frozen
class PlaceRefused:
    """An attempt asked for by another shard will never run here."""

    key: TaskKey
    number: int
    home_shard: str
    reason: Reason


@frozen
class PlaceForgotten:
    """The home shard has noted the end or refusal.

    A guest's key and highest attempt number are kept as a tombstone for a while,
    so that a late copy of a request to place it is not taken for a new one.
    """

    key: TaskKey
    number: int
    at_ms: int = 0


@frozen
class TombstonesDropped:
    """Tombstones made before ``before_ms`` are no longer needed."""

    before_ms: int


@frozen
class EpochReleased:
    """The owner of ``epoch`` stopped for good before it gave the shard away.

    No lease that it or an earlier owner sent ends after ``lease_until_ms``.
    """

    epoch: int
    lease_until_ms: int


# --- quotas -----------------------------------------------------------------------


@frozen
class QuotaGranted:
    """At the team's authority: the share of one shard was set."""

    team: str
    shard: str
    serial: int
    share: Resources


@frozen
class QuotaReceived:
    """At a shard: its share of a team's quota was set."""

    team: str
    serial: int
    share: Resources


# --- explanations -----------------------------------------------------------------


@frozen
class DecisionTaken:
    """A decision, kept in the shard's bounded history."""

    decision: Decision


Change = (
    TaskAccepted
    | AttemptOpened
    | AttemptNoted
    | AttemptClosed
    | TaskPhaseSet
    | TaskEnded
    | TaskForgotten
    | PlaceTaken
    | PlaceRunning
    | PlaceStopping
    | PlaceEnded
    | PlaceRefused
    | PlaceForgotten
    | QuotaGranted
    | QuotaReceived
    | DecisionTaken
    | TombstonesDropped
    | EpochReleased
)
