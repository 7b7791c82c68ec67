"""Builds the calls to workers: starts, stops and throttles."""

from attrs import Factory, define, frozen

from poplarlb.coordination.shards.shard_core import ShardCore
from poplarlb.coordination.workers.leases import WorkerContact, WorkerContacts
from poplarlb.protocol import ports
from poplarlb.state.models import TaskReport
from poplarlb.state.shard_state import AttemptKey, ReservationRecord

MIN_DRAIN_MS = 500


@frozen
class AttemptCommitted:
    """Passed to ``resume`` when an attempt's start or stop is durable."""

    key: AttemptKey


@frozen
class Draining:
    """When a draining replica may be stopped; its running requests may end until then.

    It is stopped at ``earliest_ms`` if it serves no request, else at ``latest_ms``.
    """

    earliest_ms: int
    latest_ms: int


@define
class WorkerCalls:
    """Keeps the operations that each worker must still carry out and builds the calls.

    ``starts`` and ``stops`` hold the attempts to start or stop at each worker, if that
    is durable; ``throttles`` holds the new limits of attempts in percent. ``progress``
    holds the worker's last report on each attempt.
    """

    core: ShardCore
    contacts: WorkerContacts
    starts: dict[str, dict[AttemptKey, None]] = Factory(dict)
    stops: dict[str, dict[AttemptKey, None]] = Factory(dict)
    throttles: dict[str, dict[AttemptKey, int]] = Factory(dict)
    progress: dict[AttemptKey, TaskReport] = Factory(dict)
    draining: dict[AttemptKey, Draining] = Factory(dict)

    def recover(self) -> None:
        """Queue every start and stop that an earlier owner committed."""
        for key, reservation in self.core.state.reservations.items():
            if reservation.ended is None:
                self._queue_operation(key, reservation)

    def _queue_operation(self, key: AttemptKey, reservation: ReservationRecord) -> None:
        worker_id = reservation.attempt.worker_id
        if reservation.stopping is not None:
            self.starts.get(worker_id, {}).pop(key, None)
            if reservation.spec.service and reservation.attempt.running:
                self._begin_drain(key)
                return
            self.stops.setdefault(worker_id, {})[key] = None
        elif not reservation.attempt.running:
            self.starts.setdefault(worker_id, {})[key] = None

    def send_committed(self, key: AttemptKey) -> None:
        """Send an attempt's start or stop, now durable, to its worker at once."""
        reservation = self.core.state.reservations.get(key)
        if reservation is None or reservation.ended is not None:
            return
        self._queue_operation(key, reservation)
        self.call_soon(reservation.attempt.worker_id)

    def _begin_drain(self, key: AttemptKey) -> None:
        """Delay a replica's stop until its requests are done; it gets no new ones."""
        timeout_ms = self.core.context.settings.requests.default_timeout_ms
        now_ms = self.core.now_ms
        drain = Draining(now_ms + MIN_DRAIN_MS, now_ms + timeout_ms)
        self.draining.setdefault(key, drain)

    def stop_drained(self) -> None:
        """Queue the stops of draining replicas that are idle or have timed out."""
        for key, drain in list(self.draining.items()):
            worker_id = self.core.state.reservations[key].attempt.worker_id
            idle = not self.core.busy_slots(worker_id)
            due_ms = drain.earliest_ms if idle else drain.latest_ms
            if self.core.now_ms >= due_ms:
                del self.draining[key]
                self.stops.setdefault(worker_id, {})[key] = None
                self.call_soon(worker_id)

    def throttle(self, worker_id: str, key: AttemptKey, percent: int) -> None:
        """Limit an attempt's processor time; 100 lifts the limit."""
        self.throttles.setdefault(worker_id, {})[key] = percent
        self.call_soon(worker_id)

    def forget(self, key: AttemptKey, worker_id: str) -> None:
        """Drop the operations and the progress of an attempt that has ended."""
        for waiting in (self.starts, self.stops, self.throttles):
            waiting.get(worker_id, {}).pop(key, None)
        self.progress.pop(key, None)
        self.draining.pop(key, None)

    def confirm_start(self, key: AttemptKey, worker_id: str) -> None:
        """Remove an attempt's start, which the worker has confirmed."""
        self.starts.get(worker_id, {}).pop(key, None)

    def call_soon(self, worker_id: str) -> None:
        """Call a worker now, or later if too many calls to it are in flight."""
        contact = self.contacts.by_worker.get(worker_id)
        if contact is None:
            return
        if self.contacts.can_call(contact):
            self.call(contact)
        else:
            contact.next_call_ms = self.core.now_ms

    def call(self, contact: WorkerContact) -> None:
        """Call a worker with all operations queued for it.

        These include stops of orphans: attempts that the shard has no record of.
        """
        worker_id = contact.worker.worker_id
        operations = (
            *self._orphan_stops(contact),
            *self._stops(worker_id),
            *self._throttles(worker_id),
            *self._starts(contact),
        )
        call = self.contacts.call(contact, operations)
        self.core.effects.immediate.append(call)

    def _orphan_stops(self, contact: WorkerContact) -> list[ports.StopTask]:
        return [ports.StopTask(key.key, key.number) for key in contact.orphans]

    def _stops(self, worker_id: str) -> list[ports.StopTask]:
        state = self.core.state
        return [
            ports.StopTask(key.key, key.number, state.reservations[key].save_checkpoint)
            for key in self.stops.get(worker_id, ())
        ]

    def _throttles(self, worker_id: str) -> list[ports.ThrottleTask]:
        waiting = self.throttles.pop(worker_id, {})
        return [
            ports.ThrottleTask(key.key, key.number, percent)
            for key, percent in waiting.items()
        ]

    def _starts(self, contact: WorkerContact) -> list[ports.StartTask]:
        """Return the queued starts, less those that are no longer allowed."""
        worker = contact.worker
        waiting = self.starts.get(worker.worker_id)
        if not waiting or self.contacts.start_block_reason(worker) is not None:
            return []
        reserved = self.core.state.reserved_at(worker.worker_id)
        if not reserved.fits_in(worker.capacity):
            return []
        return [
            self._start(self.core.state.reservations[key])
            for key in waiting
            if self._may_start(self.core.state.reservations[key])
        ]

    def _may_start(self, reservation: ReservationRecord) -> bool:
        in_time = self.core.now_ms < reservation.attempt.start_before_ms
        return in_time and reservation.stopping is None

    def _start(self, reservation: ReservationRecord) -> ports.StartTask:
        attempt = reservation.attempt
        return ports.StartTask(
            reservation.spec,
            attempt.number,
            self.core.epoch,
            attempt.reserved,
            attempt.start_before_ms,
            reservation.checkpoint,
        )

    def call_due(self) -> None:
        """Call every worker whose renewal is due."""
        for contact in self.contacts.due():
            self.call(contact)
