"""Reservations and attempts at the workers of one shard."""

from collections.abc import Iterable

from attrs import Factory, define, evolve, frozen

from poplarlb.coordination.policy.policy import (
    Chosen,
    NotPlaced,
    PlacedTask,
    WorkerRoom,
)
from poplarlb.coordination.shards.core import ShardCore
from poplarlb.coordination.workers.leases import Contact, Contacts
from poplarlb.coordination.workers.worker_calls import PlaceReady, WorkerCalls
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
from poplarlb.state.shard_state import PlaceKey, PlaceRecord

TOMBSTONE_MS = 600_000


@frozen
class PlaceRequest:
    """One attempt that looks for a worker of this shard."""

    spec: TaskSpec
    number: int
    reserved: Resources
    home_shard: str
    checkpoint: str = ""
    avoid: tuple[str, ...] = ()


@define
class Places:
    """Reserves workers for attempts, and ends attempts for good.

    ``room_freed`` tells that waiting tasks may fit since it was last cleared.
    """

    core: ShardCore
    contacts: Contacts
    calls: WorkerCalls
    placed_tasks: dict[str, tuple[PlacedTask, ...]] = Factory(dict)
    room_freed: bool = True

    # --- rooms and placement ----------------------------------------------------------

    def rooms(self) -> list[WorkerRoom]:
        """Return every listed worker of the shard with its free room."""
        quarantined = self.core.policy.quarantined(self.core.now_ms)
        barred_all = self.contacts.barred_all()
        return [
            self.room_of(worker, barred_all, worker.worker_id in quarantined)
            for worker in self.core.workers().values()
        ]

    def room_of(
        self, worker: Worker, barred_all: Reason | None, quarantined: bool = False
    ) -> WorkerRoom:
        """Return one worker with its free room."""
        barred = barred_all or self.contacts.barred_one(worker)
        if barred is None and quarantined:
            barred = Reason.WORKER_QUARANTINED
        free = worker.capacity.minus(self.core.state.reserved_at(worker.worker_id))
        tasks = self._tasks_at(worker.worker_id)
        return WorkerRoom(worker, free, tasks, barred is None, barred)

    def _tasks_at(self, worker_id: str) -> tuple[PlacedTask, ...]:
        tasks = self.placed_tasks.get(worker_id)
        if tasks is None:
            places = self.core.state.places_of(worker_id)
            tasks = tuple(self._placed_task(place) for place in places)
            self.placed_tasks[worker_id] = tasks
        return tasks

    def _placed_task(self, place: PlaceRecord) -> PlacedTask:
        attempt = place.attempt
        key = PlaceKey(place.spec.key, attempt.number)
        progress = self.calls.progress.get(key)
        return PlacedTask(
            place.spec,
            attempt.number,
            attempt.reserved,
            attempt.placed_ms,
            attempt.running,
            place.stopping is not None,
            progress.throttle_percent if progress else 100,
            progress.progress_ms if progress else 0,
        )

    def try_place(self, request: PlaceRequest) -> Attempt | NotPlaced:
        """Reserve the best worker for an attempt, or tell why there is none."""
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
            self._start_before(),
            core.now_ms,
            checkpoint=request.checkpoint,
        )
        taken = changes.PlaceTaken(
            request.spec, request.home_shard, attempt, request.checkpoint
        )
        core.change(taken)
        core.decide(
            request.spec.key,
            "place",
            Reason.BEST_COST,
            choice.worker_id,
            alternatives=choice.alternatives,
        )
        core.after_commit(PlaceReady(PlaceKey(request.spec.key, request.number)))
        self.placed_tasks.pop(choice.worker_id, None)
        return attempt

    def _choose(self, request: PlaceRequest) -> Chosen | NotPlaced:
        rooms = self.rooms()
        if request.avoid:
            others = [self._avoiding(room, request.avoid) for room in rooms]
            choice = self._choose_among(request, others)
            if isinstance(choice, Chosen):
                return choice
        return self._choose_among(request, rooms)

    @staticmethod
    def _avoiding(room: WorkerRoom, avoid: tuple[str, ...]) -> WorkerRoom:
        if room.worker.worker_id not in avoid:
            return room
        return evolve(room, usable=False, barred=Reason.WORKER_QUARANTINED)

    def _choose_among(
        self, request: PlaceRequest, rooms: list[WorkerRoom]
    ) -> Chosen | NotPlaced:
        """Ask the policy, and hold it to the room that there is."""
        core = self.core
        choice = core.policy.choose_worker(
            request.spec, request.reserved, rooms, core.context.view, core.now_ms
        )
        if isinstance(choice, NotPlaced):
            return choice
        room = next(r for r in rooms if r.worker.worker_id == choice.worker_id)
        if room.usable and request.reserved.fits_in(room.free):
            return choice
        core.counters["choices_refused"] += 1
        return NotPlaced(Reason.NO_CAPACITY, alternatives=choice.alternatives)

    def _start_before(self) -> int:
        context = self.core.context
        return min(
            self.core.now_ms + context.settings.tasks.start_window_ms,
            context.view_confirmed_ms + context.settings.config.staleness_ms,
        )

    # --- messages from home shards ----------------------------------------------------

    def take_message(self, message: messages.ShardMessage) -> None:
        """Take a message from an attempt's home shard."""
        match message.body:
            case messages.PlaceAttempt() as body:
                self._take_request(message.sender, body)
            case messages.StopAttempt() as body:
                self._take_stop(message.sender, body)
            case messages.AttemptEndNoted(key=key, attempt=number):
                self._forget(message.sender, PlaceKey(key, number))

    def _take_request(self, sender: str, body: messages.PlaceAttempt) -> None:
        key = PlaceKey(body.spec.key, body.attempt)
        if self._answer_known(sender, key):
            return
        if self.core.now_ms > body.place_before_ms or self._is_outdated(key):
            self.core.counters["requests_outdated"] += 1
            return
        request = PlaceRequest(
            body.spec, body.attempt, body.reserved, sender, body.checkpoint
        )
        result = self.try_place(request)
        self.core.effects.urgent = True
        if isinstance(result, NotPlaced):
            self._refuse(sender, key, result.reason)
        else:
            self.core.send(sender, messages.AttemptPlaced(key.key, result))

    def _answer_known(self, home: str, key: PlaceKey) -> bool:
        place = self.core.state.places.get(key)
        refusal = self.core.state.refused.get(key)
        if place is not None and place.ended is not None:
            self._tell_end(key, place)
        elif place is not None:
            self.core.send(home, messages.AttemptPlaced(key.key, place.attempt))
        elif refusal is not None:
            self._tell_refusal(refusal)
        return place is not None or refusal is not None

    def _is_outdated(self, key: PlaceKey) -> bool:
        tombstone = self.core.state.tombstones.get(key.key)
        return tombstone is not None and key.number <= tombstone.number

    def _refuse(self, home: str, key: PlaceKey, reason: Reason) -> None:
        refusal = changes.PlaceRefused(key.key, key.number, home, reason)
        self.core.change(refusal)
        self.core.decide(key.key, "refuse", reason, detail=f"attempt {key.number}")
        self._tell_refusal(refusal)

    def _tell_refusal(self, refusal: changes.PlaceRefused) -> None:
        body = messages.AttemptRefused(refusal.key, refusal.number, refusal.reason)
        self.core.send(refusal.home_shard, body)

    def _tell_end(self, key: PlaceKey, place: PlaceRecord) -> None:
        ended = place.ended
        body = messages.AttemptEnded(
            key.key,
            key.number,
            ended.outcome,
            ended.reason,
            ended.checkpoint,
            ended.detail,
        )
        self.core.send(place.home_shard, body)

    def _take_stop(self, sender: str, body: messages.StopAttempt) -> None:
        """Stop the attempt, or make sure that it will never be placed."""
        key = PlaceKey(body.key, body.attempt)
        place = self.core.state.places.get(key)
        if place is not None and place.ended is None:
            self.stop(key, body.reason, body.checkpoint)
        elif not self._answer_known(sender, key) and not self._is_outdated(key):
            self._refuse(sender, key, body.reason)

    def _forget(self, sender: str, key: PlaceKey) -> None:
        state = self.core.state
        place = state.places.get(key)
        if place is not None and place.ended is None:
            self.core.counters["messages_refused"] += 1
            return
        if place is None and key not in state.refused:
            return
        at_ms = self.core.now_ms if sender != self.core.shard else 0
        self.core.change(changes.PlaceForgotten(key.key, key.number, at_ms))

    # --- stops and ends ---------------------------------------------------------------

    def stop(self, key: PlaceKey, reason: Reason, checkpoint: bool) -> bool:
        """Have an attempt stopped; the first reason stays, a cancel replaces it."""
        place = self.core.state.places.get(key)
        if place is None or place.ended is not None:
            return False
        cancels = reason is Reason.CANCELLED_BY_CALLER
        if place.stopping is not None and (not cancels or place.stopping is reason):
            return False
        self.core.change(changes.PlaceStopping(key.key, key.number, checkpoint, reason))
        self.core.after_commit(PlaceReady(key))
        self.placed_tasks.pop(place.attempt.worker_id, None)
        return True

    def evict(self, key: PlaceKey, reason: Reason, detail: str = "") -> bool:
        """Stop an attempt so that its task resumes elsewhere, and say why."""
        place = self.core.state.places.get(key)
        if place is None or not self.stop(key, reason, place.spec.checkpointable):
            return False
        worker_id = place.attempt.worker_id
        self.core.decide(key.key, "evict", reason, worker_id, detail)
        return True

    def note_running(self, key: PlaceKey) -> None:
        """Record that an attempt was seen running."""
        place = self.core.state.places[key]
        self.core.change(changes.PlaceRunning(key.key, key.number))
        self.placed_tasks.pop(place.attempt.worker_id, None)
        body = messages.AttemptRunning(key.key, key.number)
        self.core.send(place.home_shard, body)

    def end(
        self,
        key: PlaceKey,
        outcome: TaskOutcome | None,
        reason: Reason,
        checkpoint: str = "",
        detail: str = "",
    ) -> None:
        """Free an attempt's reservation and tell its home shard."""
        place = self.core.state.places[key]
        worker_id = place.attempt.worker_id
        saved = checkpoint or place.checkpoint
        self.core.change(
            changes.PlaceEnded(key.key, key.number, outcome, reason, saved, detail)
        )
        self.placed_tasks.pop(worker_id, None)
        self.calls.drop(key, worker_id)
        self.room_freed = True
        if place.home_shard != self.core.shard:
            self.core.decide(key.key, "end attempt", reason, worker_id, detail)
        self._tell_end(key, place)

    def end_lost(self) -> None:
        """End the attempts whose leases can't hold any more."""
        silent: Iterable[Contact] = (
            contact
            for contact in self.contacts.by_worker.values()
            if contact.worker.worker_id in self.core.state.places_at
            and self.contacts.silent(contact)
        )
        orphans = self.core.state.places_at.keys() - self.contacts.by_worker.keys()
        worker_ids = [*(item.worker.worker_id for item in silent), *orphans]
        for worker_id in worker_ids:
            for place in self.core.state.places_of(worker_id):
                if self.contacts.lost(place):
                    self._end_lost(place)

    def _end_lost(self, place: PlaceRecord) -> None:
        key = PlaceKey(place.spec.key, place.attempt.number)
        progress = self.calls.progress.get(key)
        checkpoint = progress.checkpoint if progress else ""
        self.end(key, None, Reason.LEASE_EXPIRED, checkpoint)

    def tell_unnoted(self) -> None:
        """Tell home shards again what they have not noted yet."""
        state = self.core.state
        for key in state.unnoted:
            if key in state.refused:
                self._tell_refusal(state.refused[key])
            else:
                self._tell_end(key, state.places[key])

    def drop_tombstones(self) -> None:
        """Drop the tombstones that no late message can meet any more."""
        before_ms = self.core.now_ms - TOMBSTONE_MS
        oldest = next(iter(self.core.state.tombstones.values()), None)
        if oldest is not None and oldest.at_ms < before_ms:
            self.core.change(changes.TombstonesDropped(before_ms))
