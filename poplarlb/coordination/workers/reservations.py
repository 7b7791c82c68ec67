"""Resources reserved for attempts at the workers of one shard."""

from collections.abc import Iterable

from attrs import Factory, define, evolve, frozen

from poplarlb.coordination.policy.policy import (
    ChosenWorker,
    NotPlaced,
    PlacedTask,
    WorkerLoad,
)
from poplarlb.coordination.shards.shard_core import ShardCore
from poplarlb.coordination.workers.leases import WorkerContact, WorkerContacts
from poplarlb.coordination.workers.worker_calls import AttemptCommitted, WorkerCalls
from poplarlb.protocol import messages
from poplarlb.state import changes
from poplarlb.state.models import (
    Attempt,
    Reason,
    Resources,
    TaskOutcome,
    TaskSpec,
    Worker,
)
from poplarlb.state.shard_state import AttemptKey, ReservationRecord

TOMBSTONE_RETENTION_MS = 600_000


@frozen
class PlacementRequest:
    """A request to place one attempt on a worker of this shard."""

    spec: TaskSpec
    number: int
    reserved: Resources
    home_shard: str
    checkpoint: str = ""
    avoid: tuple[str, ...] = ()


@define
class Reservations:
    """Reserves capacity at workers for attempts, and ends attempts.

    ``capacity_freed`` is set when waiting tasks may fit now that did not fit before;
    the queue clears it.
    ``placed_tasks`` caches the tasks of each worker as the policy sees them.
    """

    core: ShardCore
    contacts: WorkerContacts
    calls: WorkerCalls
    placed_tasks: dict[str, tuple[PlacedTask, ...]] = Factory(dict)
    capacity_freed: bool = True

    # --- worker loads and placement ---------------------------------------------------

    def worker_loads(self) -> list[WorkerLoad]:
        """Return the load of every listed worker of the shard."""
        quarantined = self.core.policy.quarantined(self.core.now_ms)
        shard_block_reason = self.contacts.shard_block_reason()
        return [
            self.load_of(worker, shard_block_reason, worker.worker_id in quarantined)
            for worker in self.core.workers().values()
        ]

    def load_of(
        self,
        worker: Worker,
        shard_block_reason: Reason | None,
        quarantined: bool = False,
    ) -> WorkerLoad:
        """Return one worker's load: its free capacity, tasks and block reason."""
        block_reason = shard_block_reason or self.contacts.worker_block_reason(worker)
        if block_reason is None and quarantined:
            block_reason = Reason.WORKER_QUARANTINED
        free = worker.capacity.minus(self.core.state.reserved_at(worker.worker_id))
        tasks = self._tasks_at(worker.worker_id)
        return WorkerLoad(worker, free, tasks, block_reason is None, block_reason)

    def _tasks_at(self, worker_id: str) -> tuple[PlacedTask, ...]:
        tasks = self.placed_tasks.get(worker_id)
        if tasks is None:
            reservations = self.core.state.reservations_of(worker_id)
            tasks = tuple(
                self._placed_task(reservation) for reservation in reservations
            )
            self.placed_tasks[worker_id] = tasks
        return tasks

    def _placed_task(self, reservation: ReservationRecord) -> PlacedTask:
        attempt = reservation.attempt
        key = AttemptKey(reservation.spec.key, attempt.number)
        progress = self.calls.progress.get(key)
        return PlacedTask(
            reservation.spec,
            attempt.number,
            attempt.reserved,
            attempt.placed_ms,
            attempt.running,
            reservation.stopping is not None,
            progress.throttle_percent if progress else 100,
            progress.progress_ms if progress else 0,
        )

    def try_place(self, request: PlacementRequest) -> Attempt | NotPlaced:
        """Reserve capacity at the best worker, or return why there is none."""
        core = self.core
        if not core.quota_allows(request.spec.key.team, request.reserved):
            return NotPlaced(Reason.QUOTA_EXCEEDED)
        choice = self._choose(request)
        if isinstance(choice, NotPlaced):
            return choice
        attempt = Attempt(
            request.number,
            core.shard,
            choice.worker_id,
            core.epoch,
            request.reserved,
            self._start_deadline_ms(),
            core.now_ms,
            checkpoint=request.checkpoint,
        )
        taken = changes.PlaceTaken(
            request.spec, request.home_shard, attempt, request.checkpoint
        )
        core.change(taken)
        core.record_decision(
            request.spec.key,
            "place",
            Reason.BEST_COST,
            choice.worker_id,
            alternatives=choice.alternatives,
        )
        core.after_commit(
            AttemptCommitted(AttemptKey(request.spec.key, request.number))
        )
        self.placed_tasks.pop(choice.worker_id, None)
        return attempt

    def _choose(self, request: PlacementRequest) -> ChosenWorker | NotPlaced:
        loads = self.worker_loads()
        if request.avoid:
            others = [self._exclude_avoided(load, request.avoid) for load in loads]
            choice = self._choose_among(request, others)
            if isinstance(choice, ChosenWorker):
                return choice
        return self._choose_among(request, loads)

    @staticmethod
    def _exclude_avoided(load: WorkerLoad, avoid: tuple[str, ...]) -> WorkerLoad:
        if load.worker.worker_id not in avoid:
            return load
        return evolve(load, usable=False, block_reason=Reason.WORKER_QUARANTINED)

    def _choose_among(
        self, request: PlacementRequest, loads: list[WorkerLoad]
    ) -> ChosenWorker | NotPlaced:
        """Return the policy's choice, refused if that worker can't hold the task."""
        core = self.core
        choice = core.policy.choose_worker(
            request.spec, request.reserved, loads, core.context.view, core.now_ms
        )
        if isinstance(choice, NotPlaced):
            return choice
        load = next(r for r in loads if r.worker.worker_id == choice.worker_id)
        if load.usable and request.reserved.fits_in(load.free):
            return choice
        core.counters["choices_refused"] += 1
        return NotPlaced(Reason.NO_CAPACITY, alternatives=choice.alternatives)

    def _start_deadline_ms(self) -> int:
        context = self.core.context
        return min(
            self.core.now_ms + context.settings.tasks.start_window_ms,
            context.view_confirmed_ms + context.settings.config.staleness_ms,
        )

    # --- messages from home shards ----------------------------------------------------

    def handle_message(self, message: messages.ShardMessage) -> None:
        """Handle a message from an attempt's home shard."""
        match message.body:
            case messages.PlaceAttempt() as body:
                self._handle_place_request(message.sender, body)
            case messages.StopAttempt() as body:
                self._handle_stop(message.sender, body)
            case messages.AttemptEndNoted(key=key, attempt=number):
                self._handle_end_acknowledged(message.sender, AttemptKey(key, number))

    def _handle_place_request(self, sender: str, body: messages.PlaceAttempt) -> None:
        key = AttemptKey(body.spec.key, body.attempt)
        if self._answer_known(sender, key):
            return
        if self.core.now_ms > body.place_before_ms or self._is_outdated(key):
            self.core.counters["requests_outdated"] += 1
            return
        request = PlacementRequest(
            body.spec, body.attempt, body.reserved, sender, body.checkpoint
        )
        result = self.try_place(request)
        self.core.effects.urgent = True
        if isinstance(result, NotPlaced):
            self._refuse(sender, key, result.reason)
        else:
            self.core.send(sender, messages.AttemptPlaced(key.key, result))

    def _answer_known(self, home: str, key: AttemptKey) -> bool:
        reservation = self.core.state.reservations.get(key)
        refusal = self.core.state.refused.get(key)
        if reservation is not None and reservation.ended is not None:
            self._send_end(key, reservation)
        elif reservation is not None:
            self.core.send(home, messages.AttemptPlaced(key.key, reservation.attempt))
        elif refusal is not None:
            self._send_refusal(refusal)
        return reservation is not None or refusal is not None

    def _is_outdated(self, key: AttemptKey) -> bool:
        tombstone = self.core.state.tombstones.get(key.key)
        return tombstone is not None and key.number <= tombstone.number

    def _refuse(self, home: str, key: AttemptKey, reason: Reason) -> None:
        refusal = changes.PlaceRefused(key.key, key.number, home, reason)
        self.core.change(refusal)
        self.core.record_decision(
            key.key, "refuse", reason, detail=f"attempt {key.number}"
        )
        self._send_refusal(refusal)

    def _send_refusal(self, refusal: changes.PlaceRefused) -> None:
        body = messages.AttemptRefused(refusal.key, refusal.number, refusal.reason)
        self.core.send(refusal.home_shard, body)

    def _send_end(self, key: AttemptKey, reservation: ReservationRecord) -> None:
        ended = reservation.ended
        body = messages.AttemptEnded(
            key.key,
            key.number,
            ended.outcome,
            ended.reason,
            ended.checkpoint,
            ended.detail,
        )
        self.core.send(reservation.home_shard, body)

    def _handle_stop(self, sender: str, body: messages.StopAttempt) -> None:
        """Have an attempt stopped; refuse an unknown one so that it is never placed."""
        key = AttemptKey(body.key, body.attempt)
        reservation = self.core.state.reservations.get(key)
        if reservation is not None and reservation.ended is None:
            self.stop(key, body.reason, body.checkpoint)
        elif not self._answer_known(sender, key) and not self._is_outdated(key):
            self._refuse(sender, key, body.reason)

    def _handle_end_acknowledged(self, sender: str, key: AttemptKey) -> None:
        state = self.core.state
        reservation = state.reservations.get(key)
        if reservation is not None and reservation.ended is None:
            self.core.counters["messages_refused"] += 1
            return
        if reservation is None and key not in state.refused:
            return
        at_ms = self.core.now_ms if sender != self.core.shard else 0
        self.core.change(changes.PlaceForgotten(key.key, key.number, at_ms))

    # --- stops and ends ---------------------------------------------------------------

    def stop(self, key: AttemptKey, reason: Reason, checkpoint: bool) -> bool:
        """Have an attempt stopped; return whether the call changed anything.

        The first reason stays, except that a caller's cancellation replaces it.
        """
        reservation = self.core.state.reservations.get(key)
        if reservation is None or reservation.ended is not None:
            return False
        cancels = reason is Reason.CANCELLED_BY_CALLER
        if reservation.stopping is not None and (
            not cancels or reservation.stopping is reason
        ):
            return False
        self.core.change(changes.PlaceStopping(key.key, key.number, checkpoint, reason))
        self.core.after_commit(AttemptCommitted(key))
        self.placed_tasks.pop(reservation.attempt.worker_id, None)
        return True

    def evict(self, key: AttemptKey, reason: Reason, detail: str = "") -> bool:
        """Stop an attempt so that its task resumes elsewhere, and record the reason."""
        reservation = self.core.state.reservations.get(key)
        if reservation is None or not self.stop(
            key, reason, reservation.spec.checkpointable
        ):
            return False
        worker_id = reservation.attempt.worker_id
        self.core.record_decision(key.key, "evict", reason, worker_id, detail)
        return True

    def record_running(self, key: AttemptKey) -> None:
        """Record that an attempt runs, and notify its home shard."""
        reservation = self.core.state.reservations[key]
        self.core.change(changes.PlaceRunning(key.key, key.number))
        self.placed_tasks.pop(reservation.attempt.worker_id, None)
        body = messages.AttemptRunning(key.key, key.number)
        self.core.send(reservation.home_shard, body)

    def end(
        self,
        key: AttemptKey,
        outcome: TaskOutcome | None,
        reason: Reason,
        checkpoint: str = "",
        detail: str = "",
    ) -> None:
        """Free an attempt's reservation and notify its home shard."""
        reservation = self.core.state.reservations[key]
        worker_id = reservation.attempt.worker_id
        saved = checkpoint or reservation.checkpoint
        self.core.change(
            changes.PlaceEnded(key.key, key.number, outcome, reason, saved, detail)
        )
        self.placed_tasks.pop(worker_id, None)
        self.calls.forget(key, worker_id)
        self.capacity_freed = True
        if reservation.home_shard != self.core.shard:
            self.core.record_decision(key.key, "end attempt", reason, worker_id, detail)
        self._send_end(key, reservation)

    def end_lost(self) -> None:
        """End the attempts at unresponsive or unlisted workers whose leases expired."""
        unresponsive: Iterable[WorkerContact] = (
            contact
            for contact in self.contacts.by_worker.values()
            if contact.worker.worker_id in self.core.state.reservations_at
            and self.contacts.is_unresponsive(contact)
        )
        unlisted = (
            self.core.state.reservations_at.keys() - self.contacts.by_worker.keys()
        )
        worker_ids = [*(item.worker.worker_id for item in unresponsive), *unlisted]
        for worker_id in worker_ids:
            for reservation in self.core.state.reservations_of(worker_id):
                if self.contacts.is_lost(reservation):
                    self._end_lost(reservation)

    def _end_lost(self, reservation: ReservationRecord) -> None:
        key = AttemptKey(reservation.spec.key, reservation.attempt.number)
        progress = self.calls.progress.get(key)
        checkpoint = progress.checkpoint if progress else ""
        self.end(key, None, Reason.LEASE_EXPIRED, checkpoint)

    def resend_unacknowledged(self) -> None:
        """Repeat the ends and refusals that home shards have not acknowledged."""
        state = self.core.state
        for key in state.unacknowledged:
            if key in state.refused:
                self._send_refusal(state.refused[key])
            else:
                self._send_end(key, state.reservations[key])

    def drop_tombstones(self) -> None:
        """Drop the tombstones that are older than any message in flight can be.

        A tombstone holds the number of a task's last forgotten attempt, so that a late
        request can't place that attempt again.
        """
        before_ms = self.core.now_ms - TOMBSTONE_RETENTION_MS
        oldest = next(iter(self.core.state.tombstones.values()), None)
        if oldest is not None and oldest.at_ms < before_ms:
            self.core.change(changes.TombstonesDropped(before_ms))
