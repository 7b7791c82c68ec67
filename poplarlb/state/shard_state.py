"""The tables of one shard, and how a change alters them.

The same ``apply`` serves the running owner and the replay of the journal.
"""

import collections

from attrs import Factory, define, evolve, frozen

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
from poplarlb.state.quota import QuotaTable

ATTEMPTS_KEPT = 8
STABLE_MS = 600_000
DECISIONS_KEPT = 2_000
_NOTHING = Resources()


@frozen(cache_hash=True)
class PlaceKey:
    """Names one attempt of one task."""

    key: TaskKey
    number: int


@define
class TaskRecord:
    """A task at its home shard.

    ``number`` is the last attempt number used; ``host_shard`` names the shard
    asked to run that attempt, and is empty while no attempt is open.
    """

    spec: TaskSpec
    phase: TaskPhase = TaskPhase.QUEUED
    queued_ms: int = 0
    number: int = 0
    host_shard: str = ""
    reserved: Resources = _NOTHING
    attempts: tuple[Attempt, ...] = ()
    checkpoint: str = ""
    failures: int = 0
    failed_workers: tuple[str, ...] = ()
    evictions: int = 0
    outcome: TaskOutcome | None = None
    reason: Reason | None = None
    detail: str = ""
    ended_ms: int = 0


@define
class PlaceRecord:
    """An attempt that holds a reservation at one of the shard's workers.

    ``ended`` is set once it holds none; the record then waits for the home shard.
    """

    spec: TaskSpec
    home_shard: str
    attempt: Attempt
    checkpoint: str = ""
    stopping: Reason | None = None
    save_checkpoint: bool = False
    ended: changes.PlaceEnded | None = None


@define
class ShardState:
    """Tasks whose home is the shard, and reservations at its workers.

    ``tasks``, ``places``, ``refused``, ``tombstones``, ``quota``,
    ``released`` and ``decisions`` are the record; all else is derived from it.
    """

    tasks: dict[TaskKey, TaskRecord] = Factory(dict)
    places: dict[PlaceKey, PlaceRecord] = Factory(dict)
    refused: dict[PlaceKey, changes.PlaceRefused] = Factory(dict)
    tombstones: dict[TaskKey, changes.PlaceForgotten] = Factory(dict)
    quota: QuotaTable = Factory(QuotaTable)
    released: changes.EpochReleased | None = None
    decisions: collections.deque[Decision] = Factory(
        lambda: collections.deque(maxlen=DECISIONS_KEPT)
    )
    queued: dict[TaskKey, None] = Factory(dict)
    open_elsewhere: dict[TaskKey, None] = Factory(dict)
    ended: dict[TaskKey, None] = Factory(dict)
    replicas: dict[TaskKey, None] = Factory(dict)
    reserved: dict[str, Resources] = Factory(dict)
    used_by_team: dict[str, Resources] = Factory(dict)
    places_at: dict[str, dict[PlaceKey, None]] = Factory(dict)
    endpoints: dict[PlaceKey, None] = Factory(dict)
    unnoted: dict[PlaceKey, None] = Factory(dict)

    def reserved_at(self, worker_id: str) -> Resources:
        """Return the sum of reservations at a worker."""
        return self.reserved.get(worker_id, _NOTHING)

    def places_of(self, worker_id: str) -> list[PlaceRecord]:
        """Return the attempts that hold reservations at a worker."""
        return [self.places[key] for key in self.places_at.get(worker_id, ())]

    def apply(self, change: changes.Change) -> None:
        """Alter the tables as the change says."""
        match change:
            case changes.TaskAccepted():
                self._accept(change)
            case changes.AttemptOpened():
                self._open(change)
            case changes.AttemptNoted():
                self._note(change)
            case changes.AttemptClosed():
                self._close(change)
            case changes.TaskPhaseSet(key=key):
                self.tasks[key].phase = change.phase
                self.tasks[key].reason = change.reason
            case changes.TaskEnded():
                self._end(change)
            case changes.TaskForgotten(key=key):
                del self.tasks[key]
                del self.ended[key]
            case changes.PlaceTaken():
                self._take_place(change)
            case changes.PlaceRunning(key=key, number=number):
                place = self.places[PlaceKey(key, number)]
                place.attempt = evolve(place.attempt, running=True)
            case changes.PlaceStopping(key=key, number=number):
                place = self.places[PlaceKey(key, number)]
                place.stopping = change.reason
                place.save_checkpoint = change.checkpoint
            case changes.PlaceEnded(key=key, number=number):
                self._end_place(PlaceKey(key, number), change)
            case changes.PlaceRefused(key=key, number=number):
                self.refused[PlaceKey(key, number)] = change
                self.unnoted[PlaceKey(key, number)] = None
            case changes.PlaceForgotten():
                self._forget_place(change)
            case changes.TombstonesDropped(before_ms=before_ms):
                self._drop_tombstones(before_ms)
            case changes.QuotaGranted() | changes.QuotaReceived():
                self.quota.apply(change)
            case changes.EpochReleased():
                self.released = change
            case changes.DecisionTaken(decision=decision):
                self.decisions.append(decision)

    # --- tasks at home --------------------------------------------------------------

    def _accept(self, change: changes.TaskAccepted) -> None:
        spec = change.spec
        queued_ms = change.at_ms or spec.submitted_ms
        self.ended.pop(spec.key, None)
        self.tasks[spec.key] = TaskRecord(
            spec, queued_ms=queued_ms, number=change.number
        )
        self.queued[spec.key] = None
        if spec.service:
            self.replicas[spec.key] = None

    def _open(self, change: changes.AttemptOpened) -> None:
        record = self.tasks[change.key]
        record.number = change.number
        record.host_shard = change.shard
        record.reserved = change.reserved
        record.checkpoint = change.checkpoint
        record.phase = TaskPhase.DELEGATED
        self.queued.pop(change.key, None)
        self.open_elsewhere[change.key] = None

    def _note(self, change: changes.AttemptNoted) -> None:
        record = self.tasks[change.key]
        attempt = change.attempt
        record.number = attempt.number
        record.host_shard = attempt.shard
        record.reserved = attempt.reserved
        others = [item for item in record.attempts if item.number != attempt.number]
        record.attempts = (*others[-ATTEMPTS_KEPT + 1 :], attempt)
        if record.phase is not TaskPhase.CANCELLING:
            running = attempt.running
            record.phase = TaskPhase.RUNNING if running else TaskPhase.PLACED
        self.queued.pop(change.key, None)
        self.open_elsewhere.pop(change.key, None)

    def _close(self, change: changes.AttemptClosed) -> None:
        record = self.tasks[change.key]
        record.host_shard = ""
        record.phase = TaskPhase.QUEUED
        record.queued_ms = change.at_ms
        record.reason = change.reason
        record.checkpoint = change.checkpoint or record.checkpoint
        record.evictions += change.evicted
        if change.counts_as_failure:
            self._count_failure(record, change.at_ms)
        self.open_elsewhere.pop(change.key, None)
        self.queued[change.key] = None

    @staticmethod
    def _count_failure(record: TaskRecord, at_ms: int) -> None:
        last = record.attempts[-1] if record.attempts else None
        record.failures += 1
        if last is None or last.number != record.number:
            return
        if record.spec.service and at_ms - last.placed_ms >= STABLE_MS:
            record.failures = 1
            record.failed_workers = ()
        if last.worker_id not in record.failed_workers:
            kept = record.failed_workers[-ATTEMPTS_KEPT + 1 :]
            record.failed_workers = (*kept, last.worker_id)

    def _end(self, change: changes.TaskEnded) -> None:
        record = self.tasks[change.key]
        record.phase = TaskPhase.ENDED
        record.host_shard = ""
        record.outcome = change.outcome
        record.reason = change.reason
        record.detail = change.detail
        record.ended_ms = change.at_ms
        self.queued.pop(change.key, None)
        self.open_elsewhere.pop(change.key, None)
        self.replicas.pop(change.key, None)
        self.ended[change.key] = None

    # --- places at the shard's workers ------------------------------------------------

    def _take_place(self, change: changes.PlaceTaken) -> None:
        attempt = change.attempt
        key = PlaceKey(change.spec.key, attempt.number)
        self.places[key] = PlaceRecord(
            change.spec, change.home_shard, attempt, change.checkpoint
        )
        self._hold(key)

    def _hold(self, key: PlaceKey) -> None:
        place = self.places[key]
        worker_id = place.attempt.worker_id
        amount = place.attempt.reserved
        team = place.spec.key.team
        self.reserved[worker_id] = self.reserved_at(worker_id).plus(amount)
        used = self.used_by_team.get(team, _NOTHING)
        self.used_by_team[team] = used.plus(amount)
        self.places_at.setdefault(worker_id, {})[key] = None
        if place.spec.service:
            self.endpoints[key] = None

    def _end_place(self, key: PlaceKey, change: changes.PlaceEnded) -> None:
        place = self.places[key]
        place.ended = change
        worker_id = place.attempt.worker_id
        amount = place.attempt.reserved
        team = place.spec.key.team
        self._subtract(self.reserved, worker_id, amount)
        self._subtract(self.used_by_team, team, amount)
        del self.places_at[worker_id][key]
        if not self.places_at[worker_id]:
            del self.places_at[worker_id]
        self.endpoints.pop(key, None)
        self.unnoted[key] = None

    @staticmethod
    def _subtract(sums: dict[str, Resources], name: str, amount: Resources) -> None:
        rest = sums[name].minus(amount)
        if rest == _NOTHING:
            del sums[name]
        else:
            sums[name] = rest

    def _forget_place(self, change: changes.PlaceForgotten) -> None:
        key = PlaceKey(change.key, change.number)
        self.places.pop(key, None)
        self.refused.pop(key, None)
        self.unnoted.pop(key, None)
        if not change.at_ms:
            return
        known = self.tombstones.pop(change.key, None)
        number = max(change.number, known.number if known else 0)
        self.tombstones[change.key] = evolve(change, number=number)

    def _drop_tombstones(self, before_ms: int) -> None:
        old = [key for key, t in self.tombstones.items() if t.at_ms < before_ms]
        for key in old:
            del self.tombstones[key]

    def derive(self) -> None:
        """Build the derived tables anew from the record."""
        for key, record in self.tasks.items():
            self._derive_task(key, record)
        by_end = sorted(self.ended, key=lambda key: self.tasks[key].ended_ms)
        self.ended = dict.fromkeys(by_end)
        for key, place in self.places.items():
            if place.ended is None:
                self._hold(key)
            else:
                self.unnoted[key] = None
        self.unnoted.update(dict.fromkeys(self.refused))

    def _derive_task(self, key: TaskKey, record: TaskRecord) -> None:
        if record.phase is TaskPhase.ENDED:
            self.ended[key] = None
            return
        if record.spec.service:
            self.replicas[key] = None
        if not record.host_shard:
            self.queued[key] = None
        elif not self._is_noted(record):
            self.open_elsewhere[key] = None

    @staticmethod
    def _is_noted(record: TaskRecord) -> bool:
        return bool(record.attempts) and record.attempts[-1].number == record.number
