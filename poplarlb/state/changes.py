"""Changes to a shard's state, as the journal stores and recovery replays them.

A task's home shard keeps its record. The host shard of an attempt to run the task is
the one whose worker holds the reservation for it; classes named ``Place...`` are its
changes.
"""

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

# --- at a task's home shard -----------------------------------------------------------


@frozen
class TaskAccepted:
    """The home shard accepted a task.

    ``number`` is the last attempt number that was used under this key before; 0 if
    none was.
    """

    spec: TaskSpec
    at_ms: int = 0
    number: int = 0


@frozen
class AttemptOpened:
    """The home shard chose a shard to run attempt ``number`` of a task."""

    key: TaskKey
    number: int
    shard: str
    reserved: Resources
    checkpoint: str = ""


@frozen
class AttemptNoted:
    """The home shard learned at which worker an attempt was placed, or that it runs."""

    key: TaskKey
    attempt: Attempt


@frozen
class AttemptClosed:
    """An attempt ended without ending its task; the task is requeued."""

    key: TaskKey
    number: int
    reason: Reason
    checkpoint: str = ""
    counts_as_failure: bool = False
    evicted: bool = False
    at_ms: int = 0


@frozen
class TaskPhaseSet:
    """The home shard set a task's phase to cancelling or evicting, to stop it."""

    key: TaskKey
    phase: TaskPhase
    reason: Reason


@frozen
class TaskEnded:
    """A task reached its final outcome."""

    key: TaskKey
    outcome: TaskOutcome
    reason: Reason
    at_ms: int
    detail: str = ""


@frozen
class TaskForgotten:
    """An ended task was removed because its retention time has passed."""

    key: TaskKey


# --- at an attempt's host shard --------------------------------------------------


@frozen
class PlaceTaken:
    """Resources of a worker were reserved for an attempt of a task."""

    spec: TaskSpec
    home_shard: str
    attempt: Attempt
    checkpoint: str = ""


@frozen
class PlaceRunning:
    """A worker reported an attempt as running."""

    key: TaskKey
    number: int


@frozen
class PlaceStopping:
    """An attempt must be stopped for ``reason``.

    With ``checkpoint`` its worker saves its progress first.
    """

    key: TaskKey
    number: int
    checkpoint: bool
    reason: Reason


@frozen
class PlaceEnded:
    """An attempt ended at its worker; kept until the home shard acknowledges it.

    ``outcome`` is None if the attempt didn't exit by itself, such as after an eviction.
    """

    key: TaskKey
    number: int
    outcome: TaskOutcome | None
    reason: Reason
    checkpoint: str = ""
    detail: str = ""


@frozen
class PlaceRefused:
    """This shard will never run an attempt that another shard requested."""

    key: TaskKey
    number: int
    home_shard: str
    reason: Reason


@frozen
class PlaceForgotten:
    """The home shard has acknowledged the end or the refusal of an attempt.

    For a task of another home shard, the key and its highest attempt number are kept
    as a tombstone for a while (``at_ms`` is not 0). Without it a delayed duplicate of
    the request to place the attempt would be handled as a new request.
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
    """The shard's owner under ``epoch`` stopped deciding and handed the shard over.

    No lease that it or an earlier owner sent expires after ``lease_until_ms``.
    """

    epoch: int
    lease_until_ms: int


# --- quotas -----------------------------------------------------------------------


@frozen
class QuotaGranted:
    """A team's quota authority, the shard that divides its quota, set a shard's share.

    ``serial`` grows with every change of that share.
    """

    team: str
    shard: str
    serial: int
    share: Resources


@frozen
class QuotaReceived:
    """A shard received its share of a team's quota."""

    team: str
    serial: int
    share: Resources


# --- explanations -----------------------------------------------------------------


@frozen
class DecisionTaken:
    """A decision was added to the shard's bounded history."""

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
