"""What is asked of the workers: starts, stops, throttles, right before sending."""

from attrs import Factory, define, frozen

from poplarlb.coordination.shards.core import ShardCore
from poplarlb.coordination.workers.leases import Contact, Contacts
from poplarlb.protocol import ports
from poplarlb.state.models import TaskReport
from poplarlb.state.shard_state import PlaceKey, PlaceRecord

DRAIN_AT_LEAST_MS = 500


@frozen
class PlaceReady:
    """An attempt's start or stop is durable and may be sent."""

    key: PlaceKey


@frozen
class Draining:
    """When a replica that takes no new requests may be stopped."""

    earliest_ms: int
    latest_ms: int


@define
class WorkerCalls:
    """Keeps what each worker must still carry out and builds the calls.

    ``starts`` and ``stops`` hold durable attempts only. ``progress`` is what the
    workers last said of their tasks.
    """

    core: ShardCore
    contacts: Contacts
    starts: dict[str, dict[PlaceKey, None]] = Factory(dict)
    stops: dict[str, dict[PlaceKey, None]] = Factory(dict)
    throttles: dict[str, dict[PlaceKey, int]] = Factory(dict)
    progress: dict[PlaceKey, TaskReport] = Factory(dict)
    draining: dict[PlaceKey, Draining] = Factory(dict)

    def recover(self) -> None:
        """Resume every start and stop that an earlier owner committed."""
        for key, place in self.core.state.places.items():
            if place.ended is None:
                self._add(key, place)

    def _add(self, key: PlaceKey, place: PlaceRecord) -> None:
        worker_id = place.attempt.worker_id
        if place.stopping is not None:
            self.starts.get(worker_id, {}).pop(key, None)
            if place.spec.service and place.attempt.running:
                self._begin_drain(key)
                return
            self.stops.setdefault(worker_id, {})[key] = None
        elif not place.attempt.running:
            self.starts.setdefault(worker_id, {})[key] = None

    def make_ready(self, key: PlaceKey) -> None:
        """Send an attempt's durable start or stop to its worker at once."""
        place = self.core.state.places.get(key)
        if place is None or place.ended is not None:
            return
        self._add(key, place)
        self.call_soon(place.attempt.worker_id)

    def _begin_drain(self, key: PlaceKey) -> None:
        """Keep a replica until its requests are done; it gets no new ones."""
        timeout_ms = self.core.context.settings.requests.default_timeout_ms
        now_ms = self.core.now_ms
        drain = Draining(now_ms + DRAIN_AT_LEAST_MS, now_ms + timeout_ms)
        self.draining.setdefault(key, drain)

    def stop_drained(self) -> None:
        """Stop the replicas whose requests are done or took too long."""
        for key, drain in list(self.draining.items()):
            worker_id = self.core.state.places[key].attempt.worker_id
            idle = not self.core.busy_slots(worker_id)
            due_ms = drain.earliest_ms if idle else drain.latest_ms
            if self.core.now_ms >= due_ms:
                del self.draining[key]
                self.stops.setdefault(worker_id, {})[key] = None
                self.call_soon(worker_id)

    def throttle(self, worker_id: str, key: PlaceKey, percent: int) -> None:
        """Limit an attempt's processor time; 100 lifts the limit."""
        self.throttles.setdefault(worker_id, {})[key] = percent
        self.call_soon(worker_id)

    def drop(self, key: PlaceKey, worker_id: str) -> None:
        """Forget an attempt that is over."""
        for waiting in (self.starts, self.stops, self.throttles):
            waiting.get(worker_id, {}).pop(key, None)
        self.progress.pop(key, None)
        self.draining.pop(key, None)

    def started(self, key: PlaceKey, worker_id: str) -> None:
        """Stop sending an attempt's start."""
        self.starts.get(worker_id, {}).pop(key, None)

    def call_soon(self, worker_id: str) -> None:
        """Call a worker as soon as its calls in flight allow."""
        contact = self.contacts.by_worker.get(worker_id)
        if contact is None:
            return
        if self.contacts.can_call(contact):
            self.call(contact)
        else:
            contact.next_call_ms = self.core.now_ms

    def call(self, contact: Contact) -> None:
        """Call a worker with all that waits for it."""
        worker_id = contact.worker.worker_id
        operations = (
            *self._strays(contact),
            *self._stops(worker_id),
            *self._throttles(worker_id),
            *self._starts(contact),
        )
        call = self.contacts.call(contact, operations)
        self.core.effects.at_once.append(call)

    def _strays(self, contact: Contact) -> list[ports.StopTask]:
        return [ports.StopTask(key.key, key.number) for key in contact.strays]

    def _stops(self, worker_id: str) -> list[ports.StopTask]:
        state = self.core.state
        return [
            ports.StopTask(key.key, key.number, state.places[key].save_checkpoint)
            for key in self.stops.get(worker_id, ())
        ]

    def _throttles(self, worker_id: str) -> list[ports.ThrottleTask]:
        waiting = self.throttles.pop(worker_id, {})
        return [
            ports.ThrottleTask(key.key, key.number, percent)
            for key, percent in waiting.items()
        ]

    def _starts(self, contact: Contact) -> list[ports.StartTask]:
        """Return the starts that may still be sent, checked once more."""
        worker = contact.worker
        waiting = self.starts.get(worker.worker_id)
        if not waiting or self.contacts.barred(worker) is not None:
            return []
        reserved = self.core.state.reserved_at(worker.worker_id)
        if not reserved.fits_in(worker.capacity):
            return []
        return [
            self._start(self.core.state.places[key])
            for key in waiting
            if self._may_start(self.core.state.places[key])
        ]

    def _may_start(self, place: PlaceRecord) -> bool:
        in_time = self.core.now_ms < place.attempt.start_before_ms
        return in_time and place.stopping is None

    def _start(self, place: PlaceRecord) -> ports.StartTask:
        attempt = place.attempt
        return ports.StartTask(
            place.spec,
            attempt.number,
            self.core.epoch,
            attempt.reserved,
            attempt.start_before_ms,
            place.checkpoint,
        )

    def call_due(self) -> None:
        """Call every worker whose renewal is due."""
        for contact in self.contacts.due():
            self.call(contact)
