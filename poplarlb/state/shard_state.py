"""The tables of one shard, and how changes are applied to them.

A task's home shard keeps its record; the host shard of an attempt to run the task holds
the reservation at the worker.

``ShardState.apply`` is used by the running owner and by the replay of the journal.
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

ATTEMPTS_KEPT = 8  # of a task, and of the workers where it failed
STABLE_MS = 600_000  # a replica that ran this long starts its failure count anew
DECISIONS_KEPT = 2_000
_NO_RESOURCES = Resources()


@frozen(cache_hash=True)
class AttemptKey:
    """The key of one attempt of a task."""

    key: TaskKey
    number: int


@define
class TaskRecord:
    """A task at its home shard.

    ``number`` is the last attempt number used. ``host_shard`` names the shard that
    was asked to run that attempt; it is empty while no attempt is open.
    """

    spec: TaskSpec
    phase: TaskPhase = TaskPhase.QUEUED
    queued_ms: int = 0
    number: int = 0
    host_shard: str = ""
    reserved: Resources = _NO_RESOURCES
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
class ReservationRecord:
    """An attempt with a reservation at one of the shard's workers.

    ``ended`` is set once the reservation is released; the record is then kept until
    the home shard acknowledges the end. ``stopping`` is why the attempt must stop.
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
    """The tasks whose home is the shard, and the reservations at its workers.

    ``tasks``, ``reservations``, ``refused``, ``tombstones``, ``quota``, ``released``
    and ``decisions`` are stored in snapshots; the other tables are derived from them. A
    tombstone is what is kept for a while of a forgotten attempt: the task's key and the
    highest attempt number, by which a delayed duplicate of the request is recognized.

    :ivar released: that an owner handed the shard over.
    :ivar queued: tasks that wait for an attempt.
    :ivar unconfirmed_attempts: tasks with an attempt whose host shard has not answered.
    :ivar ended: ended tasks, those that ended first at the front.
    :ivar replicas: tasks of services that have not ended.
    :ivar reserved: by worker, the sum of its reservations.
    :ivar endpoints: reservations for replicas of services.
    :ivar unacknowledged: ends and refusals that home shards have not acknowledged.
    """

    tasks: dict[TaskKey, TaskRecord] = Factory(dict)
    reservations: dict[AttemptKey, ReservationRecord] = Factory(dict)
    refused: dict[AttemptKey, changes.PlaceRefused] = Factory(dict)
    tombstones: dict[TaskKey, changes.PlaceForgotten] = Factory(dict)
    quota: QuotaTable = Factory(QuotaTable)
    released: changes.EpochReleased | None = None
    decisions: collections.deque[Decision] = Factory(
        lambda: collections.deque(maxlen=DECISIONS_KEPT)
    )
    queued: dict[TaskKey, None] = Factory(dict)
    unconfirmed_attempts: dict[TaskKey, None] = Factory(dict)
    ended: dict[TaskKey, None] = Factory(dict)
    replicas: dict[TaskKey, None] = Factory(dict)
    reserved: dict[str, Resources] = Factory(dict)
    used_by_team: dict[str, Resources] = Factory(dict)
    reservations_at: dict[str, dict[AttemptKey, None]] = Factory(dict)
    endpoints: dict[AttemptKey, None] = Factory(dict)
    unacknowledged: dict[AttemptKey, None] = Factory(dict)

    def reserved_at(self, worker_id: str) -> Resources:
        """Return the sum of reservations at a worker."""
        return self.reserved.get(worker_id, _NO_RESOURCES)

    def reservations_of(self, worker_id: str) -> list[ReservationRecord]:
        """Return the attempts that hold reservations at a worker."""
        return [
            self.reservations[key] for key in self.reservations_at.get(worker_id, ())
        ]

    def apply(self, change: changes.Change) -> None:
        """Apply a change to the tables."""
        match change:
            case changes.TaskAccepted():
                self._accept_task(change)
            case changes.AttemptOpened():
                self._open_attempt(change)
            case changes.AttemptNoted():
                self._record_attempt(change)
            case changes.AttemptClosed():
                self._close_attempt(change)
            case changes.TaskPhaseSet(key=key):
                self.tasks[key].phase = change.phase
                self.tasks[key].reason = change.reason
            case changes.TaskEnded():
                self._end_task(change)
            case changes.TaskForgotten(key=key):
                del self.tasks[key]
                del self.ended[key]
            case changes.PlaceTaken():
                self._add_reservation(change)
            case changes.PlaceRunning(key=key, number=number):
                reservation = self.reservations[AttemptKey(key, number)]
                reservation.attempt = evolve(reservation.attempt, running=True)
            case changes.PlaceStopping(key=key, number=number):
                reservation = self.reservations[AttemptKey(key, number)]
                reservation.stopping = change.reason
                reservation.save_checkpoint = change.checkpoint
            case changes.PlaceEnded(key=key, number=number):
                self._end_reservation(AttemptKey(key, number), change)
            case changes.PlaceRefused(key=key, number=number):
                self.refused[AttemptKey(key, number)] = change
                self.unacknowledged[AttemptKey(key, number)] = None
            case changes.PlaceForgotten():
                self._forget_attempt(change)
            case changes.TombstonesDropped(before_ms=before_ms):
                self._drop_tombstones(before_ms)
            case changes.QuotaGranted() | changes.QuotaReceived():
                self.quota.apply(change)
            case changes.EpochReleased():
                self.released = change
            case changes.DecisionTaken(decision=decision):
                self.decisions.append(decision)

    # --- tasks at their home shard ---------------------------------------------------

    def _accept_task(self, change: changes.TaskAccepted) -> None:
        spec = change.spec
        queued_ms = change.at_ms or spec.submitted_ms
        self.ended.pop(spec.key, None)
        self.tasks[spec.key] = TaskRecord(
            spec, queued_ms=queued_ms, number=change.number
        )
        self.queued[spec.key] = None
        if spec.service:
            self.replicas[spec.key] = None

    def _open_attempt(self, change: changes.AttemptOpened) -> None:
        record = self.tasks[change.key]
        record.number = change.number
        record.host_shard = change.shard
        record.reserved = change.reserved
        record.checkpoint = change.checkpoint
        record.phase = TaskPhase.DELEGATED
        self.queued.pop(change.key, None)
        self.unconfirmed_attempts[change.key] = None

    def _record_attempt(self, change: changes.AttemptNoted) -> None:
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
        self.unconfirmed_attempts.pop(change.key, None)

    def _close_attempt(self, change: changes.AttemptClosed) -> None:
        record = self.tasks[change.key]
        record.host_shard = ""
        record.phase = TaskPhase.QUEUED
        record.queued_ms = change.at_ms
        record.reason = change.reason
        record.checkpoint = change.checkpoint or record.checkpoint
        record.evictions += change.evicted
        if change.counts_as_failure:
            self._count_failure(record, change.at_ms)
        self.unconfirmed_attempts.pop(change.key, None)
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

    def _end_task(self, change: changes.TaskEnded) -> None:
        record = self.tasks[change.key]
        record.phase = TaskPhase.ENDED
        record.host_shard = ""
        record.outcome = change.outcome
        record.reason = change.reason
        record.detail = change.detail
        record.ended_ms = change.at_ms
        self.queued.pop(change.key, None)
        self.unconfirmed_attempts.pop(change.key, None)
        self.replicas.pop(change.key, None)
        self.ended[change.key] = None

    # --- reservations at the shard's workers ------------------------------------------

    def _add_reservation(self, change: changes.PlaceTaken) -> None:
        attempt = change.attempt
        key = AttemptKey(change.spec.key, attempt.number)
        self.reservations[key] = ReservationRecord(
            change.spec, change.home_shard, attempt, change.checkpoint
        )
        self._derive_reservation(key)

    def _derive_reservation(self, key: AttemptKey) -> None:
        reservation = self.reservations[key]
        worker_id = reservation.attempt.worker_id
        amount = reservation.attempt.reserved
        team = reservation.spec.key.team
        self.reserved[worker_id] = self.reserved_at(worker_id).plus(amount)
        used = self.used_by_team.get(team, _NO_RESOURCES)
        self.used_by_team[team] = used.plus(amount)
        self.reservations_at.setdefault(worker_id, {})[key] = None
        if reservation.spec.service:
            self.endpoints[key] = None

    def _end_reservation(self, key: AttemptKey, change: changes.PlaceEnded) -> None:
        reservation = self.reservations[key]
        reservation.ended = change
        worker_id = reservation.attempt.worker_id
        amount = reservation.attempt.reserved
        team = reservation.spec.key.team
        self._subtract(self.reserved, worker_id, amount)
        self._subtract(self.used_by_team, team, amount)
        del self.reservations_at[worker_id][key]
        if not self.reservations_at[worker_id]:
            del self.reservations_at[worker_id]
        self.endpoints.pop(key, None)
        self.unacknowledged[key] = None

    @staticmethod
    def _subtract(sums: dict[str, Resources], name: str, amount: Resources) -> None:
        rest = sums[name].minus(amount)
        if rest == _NO_RESOURCES:
            del sums[name]
        else:
            sums[name] = rest

    def _forget_attempt(self, change: changes.PlaceForgotten) -> None:
        key = AttemptKey(change.key, change.number)
        self.reservations.pop(key, None)
        self.refused.pop(key, None)
        self.unacknowledged.pop(key, None)
        if not change.at_ms:
            return
        known = self.tombstones.pop(change.key, None)
        number = max(change.number, known.number if known else 0)
        self.tombstones[change.key] = evolve(change, number=number)

    def _drop_tombstones(self, before_ms: int) -> None:
        old = [key for key, t in self.tombstones.items() if t.at_ms < before_ms]
        for key in old:
            del self.tombstones[key]

    def derive_tables(self) -> None:
        """Rebuild the derived tables from the stored ones."""
        for key, record in self.tasks.items():
            self._derive_task(key, record)
        by_end = sorted(self.ended, key=lambda key: self.tasks[key].ended_ms)
        self.ended = dict.fromkeys(by_end)
        for key, reservation in self.reservations.items():
            if reservation.ended is None:
                self._derive_reservation(key)
            else:
                self.unacknowledged[key] = None
        self.unacknowledged.update(dict.fromkeys(self.refused))

    def _derive_task(self, key: TaskKey, record: TaskRecord) -> None:
        if record.phase is TaskPhase.ENDED:
            self.ended[key] = None
            return
        if record.spec.service:
            self.replicas[key] = None
        if not record.host_shard:
            self.queued[key] = None
        elif not self._is_placed(record):
            self.unconfirmed_attempts[key] = None

    @staticmethod
    def _is_placed(record: TaskRecord) -> bool:
        return bool(record.attempts) and record.attempts[-1].number == record.number
