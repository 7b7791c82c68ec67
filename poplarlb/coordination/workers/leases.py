"""Contact with a shard's workers: renewals, clocks, silence and loss."""

from attrs import Factory, define, frozen

from poplarlb.coordination.membership.sharding import score, shard_zone
from poplarlb.coordination.shards.core import ShardCore
from poplarlb.protocol import ports
from poplarlb.state.models import HostState, Reason, Worker
from poplarlb.state.shard_state import PlaceKey, PlaceRecord

RETRY_MS = 1_000
CALLS_IN_FLIGHT = 3


@frozen
class SentCall:
    """A batch that was sent to a worker and not answered yet."""

    worker_id: str
    sent_ms: int
    operations: tuple[ports.WorkerOperation, ...]


@define
class Contact:
    """What this owner knows of its contact with one worker.

    ``lease_until_ms`` is the latest lease end that it sent; ``answered_ms`` and
    ``failed_ms`` are when the last answered and the last failed call were sent;
    ``strays`` are attempts that the worker runs and the state doesn't know.
    """

    worker: Worker
    since_ms: int
    next_call_ms: int = 0
    lease_until_ms: int = 0
    answered_ms: int = 0
    failed_ms: int = 0
    clock_checked: bool = False
    strays: tuple[PlaceKey, ...] = ()
    calls: dict[int, SentCall] = Factory(dict)


@define
class Contacts:
    """Calls the workers of a shard and tells when their tasks are lost."""

    core: ShardCore
    by_worker: dict[str, Contact] = Factory(dict)
    silence_ms: int = 0

    def __attrs_post_init__(self) -> None:
        """Fix how long a worker may stay silent before its leases lapse."""
        settings = self.core.context.settings
        shortest = settings.tasks.renew_period_ms + settings.platform.worker_timeout_ms
        self.silence_ms = max(settings.tasks.lease_ms // 2, shortest)

    def update(self) -> None:
        """Follow the host list and the workers that hold reservations."""
        listed = self.core.workers()
        for worker_id, worker in listed.items():
            contact = self.by_worker.get(worker_id)
            if contact is None:
                self.by_worker[worker_id] = Contact(worker, self.core.now_ms)
            else:
                contact.worker = worker
        gone = [
            worker_id
            for worker_id in self.by_worker.keys() - listed.keys()
            if worker_id not in self.core.state.places_at
        ]
        for worker_id in gone:
            del self.by_worker[worker_id]

    def due(self) -> list[Contact]:
        """Return the workers to call now."""
        now_ms = self.core.now_ms
        return [
            contact
            for contact in self.by_worker.values()
            if now_ms >= contact.next_call_ms and not self._waits(contact)
        ]

    def _waits(self, contact: Contact) -> bool:
        patience_ms = 2 * self.core.context.settings.platform.worker_timeout_ms
        newest = max((call.sent_ms for call in contact.calls.values()), default=0)
        return bool(contact.calls) and self.core.now_ms - newest < patience_ms

    def can_call(self, contact: Contact) -> bool:
        """Tell whether another call may be sent beside those in flight."""
        return len(contact.calls) < CALLS_IN_FLIGHT

    def call(
        self, contact: Contact, operations: tuple[ports.WorkerOperation, ...]
    ) -> ports.WorkerCall:
        """Return a call that renews the worker's leases if they may be renewed."""
        core = self.core
        contact.lease_until_ms = self._lease_until(contact)
        contact.next_call_ms = self._next_renewal(contact)
        call_id = core.context.next_call()
        if not self.can_call(contact):
            contact.calls.pop(min(contact.calls))
        worker = contact.worker
        contact.calls[call_id] = SentCall(worker.worker_id, core.now_ms, operations)
        batch = ports.WorkerBatch(
            core.shard, core.epoch, contact.lease_until_ms, operations
        )
        return ports.WorkerCall(call_id, worker.worker_id, worker.address, batch)

    def _lease_until(self, contact: Contact) -> int:
        if not self._may_renew() or self.silent(contact):
            return contact.lease_until_ms
        lease_ms = self.core.context.settings.tasks.lease_ms
        return max(contact.lease_until_ms, self.core.now_ms + lease_ms)

    def _may_renew(self) -> bool:
        """Tell whether the last proof of ownership is young enough."""
        horizon_ms = self.core.context.settings.members.orphan_horizon_ms
        return self.core.now_ms - self.core.proof_ms < horizon_ms

    def _next_renewal(self, contact: Contact) -> int:
        """Return the next renewal, at the worker's own offset in the period."""
        period_ms = self.core.context.settings.tasks.renew_period_ms
        offset_ms = score(contact.worker.worker_id) % period_ms
        slot = (self.core.now_ms - offset_ms) // period_ms + 1
        return slot * period_ms + offset_ms

    def silent(self, contact: Contact) -> bool:
        """Tell whether the worker has not answered for too long."""
        heard_ms = max(contact.answered_ms, contact.since_ms)
        allowed_ms = self.silence_ms
        if contact.worker.state is HostState.DEAD:
            allowed_ms = self.core.context.settings.tasks.renew_period_ms
        return self.core.now_ms - heard_ms > allowed_ms

    def settle(self, event: ports.WorkerReplied) -> SentCall | None:
        """Take an answer off the list of calls; ``None`` if it is not awaited.

        A failed call is repeated soon; an answer older than one that was taken
        already is dropped.
        """
        contact = self.by_worker.get(event.worker_id)
        call = contact.calls.pop(event.call_id, None) if contact else None
        if call is None:
            return None
        if isinstance(event.result, ports.WorkerFailed):
            contact.failed_ms = max(contact.failed_ms, call.sent_ms)
            retry_ms = self.core.now_ms + RETRY_MS
            contact.next_call_ms = min(contact.next_call_ms, retry_ms)
            return None
        if call.sent_ms < contact.answered_ms:
            return None
        contact.answered_ms = call.sent_ms
        self._check_clock(contact, call, event.result.report.clock_ms)
        return call

    def _check_clock(self, contact: Contact, call: SentCall, clock_ms: int) -> None:
        """Bound the worker's clock offset by the call's sending and answer.

        A slow call that proves nothing either way leaves the last finding.
        """
        margin_ms = self.core.context.settings.tasks.clock_margin_ms
        least_ms = clock_ms - self.core.now_ms
        most_ms = clock_ms - call.sent_ms
        if -margin_ms <= least_ms and most_ms <= margin_ms:
            contact.clock_checked = True
        elif least_ms > margin_ms or most_ms < -margin_ms:
            contact.clock_checked = False

    def barred(self, worker: Worker) -> Reason | None:
        """Return why the worker gets no starts now, or ``None``."""
        return self.barred_all() or self.barred_one(worker)

    def barred_all(self) -> Reason | None:
        """Return why no worker of the shard gets starts now, or ``None``."""
        context = self.core.context
        if not context.view_is_fresh(self.core.now_ms):
            return Reason.VIEW_STALE
        if not context.view.zone_allows_starts(shard_zone(self.core.shard)):
            return Reason.ZONE_OUT
        if not self._may_renew():
            return Reason.NO_OWNER
        return None

    def barred_one(self, worker: Worker) -> Reason | None:
        """Return why this worker alone gets no starts now, or ``None``."""
        contact = self.by_worker.get(worker.worker_id)
        if worker.state is HostState.LEAVING:
            return Reason.HOST_LEAVING
        if worker.state is HostState.DEAD:
            return Reason.HOST_DEAD
        if contact is None or not contact.answered_ms or self.silent(contact):
            return Reason.HOST_DEAD
        if not contact.clock_checked or contact.strays:
            return Reason.START_REFUSED
        return None

    def lost(self, place: PlaceRecord) -> bool:
        """Tell whether no lease and no start of the attempt can still hold.

        Leases sent by this owner count from its own last renewal. An earlier
        owner may renew until its proof is older than the horizon, unless it
        released the shard. The worker must also have failed to answer a call
        sent after that: an owner that was paused would otherwise give up a task
        whose success the worker can still report.
        """
        margin_ms = self.core.context.settings.tasks.clock_margin_ms
        contact = self.by_worker.get(place.attempt.worker_id)
        own_ms = contact.lease_until_ms if contact else 0
        ends_ms = max(own_ms, place.attempt.start_before_ms)
        if place.attempt.epoch != self.core.epoch:
            ends_ms = max(ends_ms, self._earlier_leases_end())
        if contact is not None and contact.failed_ms <= ends_ms:
            return False
        return self.core.now_ms > ends_ms + margin_ms

    def _earlier_leases_end(self) -> int:
        released = self.core.state.released
        if released is not None and released.epoch == self.core.epoch - 1:
            return released.lease_until_ms
        settings = self.core.context.settings
        horizon_ms = settings.members.orphan_horizon_ms
        return self.core.acquired_ms + horizon_ms + settings.tasks.lease_ms

    def latest_lease(self) -> int:
        """Return an instant after which no lease sent so far can hold."""
        own_ms = max((c.lease_until_ms for c in self.by_worker.values()), default=0)
        inherited = any(
            place.attempt.epoch != self.core.epoch and place.ended is None
            for place in self.core.state.places.values()
        )
        return max(own_ms, self._earlier_leases_end()) if inherited else own_ms
