"""Contact with a shard's workers: lease renewals, clock checks and lost attempts."""

from attrs import Factory, define, frozen

from poplarlb.coordination.membership.sharding import score, shard_zone
from poplarlb.coordination.shards.shard_core import ShardCore
from poplarlb.protocol import ports
from poplarlb.state.models import HostState, Reason, Worker
from poplarlb.state.shard_state import AttemptKey, ReservationRecord

RETRY_MS = 1_000  # a failed call to a worker is retried within this
MAX_CALLS_IN_FLIGHT = 3  # to one worker


@frozen
class PendingBatch:
    """A batch of operations that was sent to a worker and is not answered yet."""

    worker_id: str
    sent_ms: int
    operations: tuple[ports.WorkerOperation, ...]


@define
class WorkerContact:
    """What this owner knows of a worker, first seen listed at ``since_ms``.

    ``calls`` holds the unanswered calls by call id. ``lease_until_ms`` is the
    latest lease end that the owner sent. ``answered_ms`` and ``failed_ms`` are when
    the last answered and the last failed call were sent.
    ``clock_checked`` is true if the worker's clock was last found to be within the
    margin. ``orphans`` are attempts that run but that the shard has no record of.
    """

    worker: Worker
    since_ms: int
    next_call_ms: int = 0
    lease_until_ms: int = 0
    answered_ms: int = 0
    failed_ms: int = 0
    clock_checked: bool = False
    orphans: tuple[AttemptKey, ...] = ()
    calls: dict[int, PendingBatch] = Factory(dict)


@define
class WorkerContacts:
    """Tracks the calls to a shard's workers and determines which attempts are lost.

    An attempt runs only while its worker holds a lease, which the calls renew.
    """

    core: ShardCore
    by_worker: dict[str, WorkerContact] = Factory(dict)
    unresponsive_after_ms: int = 0

    def __attrs_post_init__(self) -> None:
        """Set after how long without an answer a worker counts as unresponsive."""
        settings = self.core.context.settings
        minimum_ms = (
            settings.tasks.renew_period_ms + settings.platform.worker_timeout_ms
        )
        self.unresponsive_after_ms = max(settings.tasks.lease_ms // 2, minimum_ms)

    def update(self) -> None:
        """Add listed workers; drop unlisted ones that hold no reservation."""
        listed = self.core.workers()
        for worker_id, worker in listed.items():
            contact = self.by_worker.get(worker_id)
            if contact is None:
                self.by_worker[worker_id] = WorkerContact(worker, self.core.now_ms)
            else:
                contact.worker = worker
        unlisted = [
            worker_id
            for worker_id in self.by_worker.keys() - listed.keys()
            if worker_id not in self.core.state.reservations_at
        ]
        for worker_id in unlisted:
            del self.by_worker[worker_id]

    def due(self) -> list[WorkerContact]:
        """Return the workers to call now."""
        now_ms = self.core.now_ms
        return [
            contact
            for contact in self.by_worker.values()
            if now_ms >= contact.next_call_ms and not self._awaits_answer(contact)
        ]

    def _awaits_answer(self, contact: WorkerContact) -> bool:
        answer_timeout_ms = 2 * self.core.context.settings.platform.worker_timeout_ms
        newest = max((call.sent_ms for call in contact.calls.values()), default=0)
        return bool(contact.calls) and self.core.now_ms - newest < answer_timeout_ms

    def can_call(self, contact: WorkerContact) -> bool:
        """Return whether another call may be sent while others are in flight."""
        return len(contact.calls) < MAX_CALLS_IN_FLIGHT

    def call(
        self, contact: WorkerContact, operations: tuple[ports.WorkerOperation, ...]
    ) -> ports.WorkerCall:
        """Return a call to a worker; the call renews the worker's lease if allowed.

        The oldest unanswered call is given up if too many are in flight.
        """
        core = self.core
        contact.lease_until_ms = self._new_lease_end_ms(contact)
        contact.next_call_ms = self._next_renewal_ms(contact)
        call_id = core.context.next_call()
        if not self.can_call(contact):
            contact.calls.pop(min(contact.calls))
        worker = contact.worker
        contact.calls[call_id] = PendingBatch(worker.worker_id, core.now_ms, operations)
        batch = ports.WorkerBatch(
            core.shard, core.epoch, contact.lease_until_ms, operations
        )
        return ports.WorkerCall(call_id, worker.worker_id, worker.address, batch)

    def _new_lease_end_ms(self, contact: WorkerContact) -> int:
        if not self._may_renew() or self.is_unresponsive(contact):
            return contact.lease_until_ms
        lease_ms = self.core.context.settings.tasks.lease_ms
        return max(contact.lease_until_ms, self.core.now_ms + lease_ms)

    def _may_renew(self) -> bool:
        """Return whether ownership was confirmed recently enough to renew leases."""
        horizon_ms = self.core.context.settings.members.orphan_horizon_ms
        return self.core.now_ms - self.core.ownership_confirmed_ms < horizon_ms

    def _next_renewal_ms(self, contact: WorkerContact) -> int:
        """Return when to renew the worker's lease next.

        Each worker has its own offset within the renewal period, to spread the calls.
        """
        period_ms = self.core.context.settings.tasks.renew_period_ms
        offset_ms = score(contact.worker.worker_id) % period_ms
        period = (self.core.now_ms - offset_ms) // period_ms + 1
        return period * period_ms + offset_ms

    def is_unresponsive(self, contact: WorkerContact) -> bool:
        """Return whether the worker has not answered for too long.

        Less time is allowed if its host is listed as dead.
        """
        last_answer_ms = max(contact.answered_ms, contact.since_ms)
        allowed_ms = self.unresponsive_after_ms
        if contact.worker.state is HostState.DEAD:
            allowed_ms = self.core.context.settings.tasks.renew_period_ms
        return self.core.now_ms - last_answer_ms > allowed_ms

    def handle_reply(self, event: ports.WorkerReplied) -> PendingBatch | None:
        """Return the call that a worker's answer belongs to.

        Returns ``None`` for an unknown call, for a failed one, which is retried soon,
        and for an answer that is older than one handled already.
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

    def _check_clock(
        self, contact: WorkerContact, call: PendingBatch, clock_ms: int
    ) -> None:
        """Check the worker's clock offset against the margin.

        The times of the call and its answer bound the offset. When the bounds of a
        slow call are inconclusive, the previous result stays.
        """
        margin_ms = self.core.context.settings.tasks.clock_margin_ms
        min_offset_ms = clock_ms - self.core.now_ms
        max_offset_ms = clock_ms - call.sent_ms
        if -margin_ms <= min_offset_ms and max_offset_ms <= margin_ms:
            contact.clock_checked = True
        elif min_offset_ms > margin_ms or max_offset_ms < -margin_ms:
            contact.clock_checked = False

    def start_block_reason(self, worker: Worker) -> Reason | None:
        """Return why no task may be started on the worker now, or ``None``."""
        return self.shard_block_reason() or self.worker_block_reason(worker)

    def shard_block_reason(self) -> Reason | None:
        """Return why no task may be started in the whole shard now, or ``None``."""
        context = self.core.context
        if not context.view_is_fresh(self.core.now_ms):
            return Reason.VIEW_STALE
        if not context.view.zone_allows_starts(shard_zone(self.core.shard)):
            return Reason.ZONE_OUT
        if not self._may_renew():
            return Reason.NO_OWNER
        return None

    def worker_block_reason(self, worker: Worker) -> Reason | None:
        """Return why no task may be started on this worker, or ``None``.

        Reasons that hold for the whole shard are left out.
        """
        contact = self.by_worker.get(worker.worker_id)
        if worker.state is HostState.LEAVING:
            return Reason.HOST_LEAVING
        if worker.state is HostState.DEAD:
            return Reason.HOST_DEAD
        if contact is None or not contact.answered_ms or self.is_unresponsive(contact):
            return Reason.HOST_DEAD
        if not contact.clock_checked or contact.orphans:
            return Reason.START_REFUSED
        return None

    def is_lost(self, reservation: ReservationRecord) -> bool:
        """Return whether the attempt can neither be running under a lease nor start.

        The worker's lease from this owner ends at the latest lease end that the owner
        sent. An earlier owner may have renewed until ``orphan_horizon_ms`` after its
        ownership was last confirmed, unless it released the shard. A call sent after
        the expiry must have failed, too: otherwise an owner that was paused would give
        up a task whose success the worker can still report.
        """
        margin_ms = self.core.context.settings.tasks.clock_margin_ms
        contact = self.by_worker.get(reservation.attempt.worker_id)
        own_lease_end_ms = contact.lease_until_ms if contact else 0
        expiry_ms = max(own_lease_end_ms, reservation.attempt.start_before_ms)
        if reservation.attempt.epoch != self.core.epoch:
            expiry_ms = max(expiry_ms, self._earlier_leases_end_ms())
        if contact is not None and contact.failed_ms <= expiry_ms:
            return False
        return self.core.now_ms > expiry_ms + margin_ms

    def _earlier_leases_end_ms(self) -> int:
        released = self.core.state.released
        if released is not None and released.epoch == self.core.epoch - 1:
            return released.lease_until_ms
        settings = self.core.context.settings
        horizon_ms = settings.members.orphan_horizon_ms
        return self.core.acquired_ms + horizon_ms + settings.tasks.lease_ms

    def latest_lease_end_ms(self) -> int:
        """Return the time by which every lease sent so far has expired.

        Leases of earlier owners count while one of their attempts has not ended.
        """
        own_lease_end_ms = max(
            (c.lease_until_ms for c in self.by_worker.values()), default=0
        )
        inherited = any(
            reservation.attempt.epoch != self.core.epoch and reservation.ended is None
            for reservation in self.core.state.reservations.values()
        )
        return (
            max(own_lease_end_ms, self._earlier_leases_end_ms())
            if inherited
            else own_lease_end_ms
        )
