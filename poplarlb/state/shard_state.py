"""The tables of one shard, and how a change alters them.

The same ``apply`` serves the running owner and the replay of the journal.
"""

import collections

from attrs import Factory, define, evolve

from poplarlb.state import changes
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


@define
class TaskRecord:
    """A task at its home shard."""

    spec: TaskSpec
    phase: TaskPhase = TaskPhase.QUEUED
    attempts: list[Attempt] = Factory(list)
    checkpoint: str = ""
    failures: int = 0
    evictions: int = 0
    outcome: TaskOutcome | None = None
    reason: Reason | None = None
    detail: str = ""
    ended_ms: int = 0


@define
class PlaceRecord:
    """An attempt that holds a reservation at one of the shard's workers."""

    spec: TaskSpec
    home_shard: str
    attempt: Attempt
    checkpoint: str = ""
    stopping: Reason | None = None
    ended: changes.PlaceEnded | None = None


@define
class ShardState:
    """Tasks whose home is the shard, and reservations at its workers."""

    tasks: dict[TaskKey, TaskRecord] = Factory(dict)
    places: dict[TaskKey, PlaceRecord] = Factory(dict)
    decisions: collections.deque[Decision] = Factory(
        lambda: collections.deque(maxlen=2_000)
    )

    def reserved_at(self, worker_id: str) -> Resources:
        """Return the sum of reservations at a worker."""
        total = Resources()
        for place in self.places.values():
            if place.attempt.worker_id == worker_id and place.ended is None:
                total = total.plus(place.attempt.reserved)
        return total

    def apply(self, change: changes.Change) -> None:
        """Alter the tables as the change says."""
        match change:
            case changes.TaskAccepted(spec=spec):
                self.tasks[spec.key] = TaskRecord(spec)
            case changes.PlaceTaken(spec=spec, home_shard=home, attempt=attempt):
                self.places[spec.key] = PlaceRecord(spec, home, attempt)
                self.tasks[spec.key].attempts.append(attempt)
                self.tasks[spec.key].phase = TaskPhase.PLACED
            case changes.PlaceRunning(key=key):
                place = self.places[key]
                place.attempt = evolve(place.attempt, running=True)
                self.tasks[key].attempts[-1] = place.attempt
                self.tasks[key].phase = TaskPhase.RUNNING
            case changes.TaskEnded():
                self.places.pop(change.key, None)
                record = self.tasks[change.key]
                record.phase = TaskPhase.ENDED
                record.outcome = change.outcome
                record.reason = change.reason
                record.detail = change.detail
                record.ended_ms = change.at_ms
            case changes.DecisionTaken(decision=decision):
                self.decisions.append(decision)
