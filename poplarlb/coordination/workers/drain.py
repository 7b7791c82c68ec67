"""Evicts work from zones that are out and hosts that leave, and relieves services.

Operators take a zone out; relief slows down or evicts batch work beside slow services.
"""

from attrs import define

from poplarlb.coordination.policy.policy import EvictionRequested, ThrottleRequested
from poplarlb.coordination.workers.reservations import Reservations
from poplarlb.state.models import HostState, Reason
from poplarlb.state.shard_state import AttemptKey, ReservationRecord

PERIOD_MS = 1_000  # between rounds of evictions and throttles
SERVICES_PER_PERIOD = 2  # one replica of each is evicted
BATCH_DIVISOR = 10  # a tenth of the batch tasks that must leave is evicted per period
RETURN_RAMP_MS = 20_000  # starts are limited this long after a zone's return
# In one placement round while starts are limited; there is about one round per second.
MAX_STARTS_PER_RAMP_ROUND = 4


@define
class Drain:
    """Evicts one shard's tasks that must leave their workers, at a limited rate.

    It also carries out the policy's throttles and evictions that relieve services.
    After the shard's zone comes back into service, starts are limited for
    ``RETURN_RAMP_MS``, until ``ramp_until_ms``. ``next_ms`` is when the next round of
    evictions and throttles is due.
    """

    reservations: Reservations
    next_ms: int = 0
    zone_was_out: bool = False
    ramp_until_ms: int = 0

    def tick(self, zone: str) -> None:
        """Relieve services and evict tasks, once in each period.

        Without a recently confirmed view of the configuration nothing is evicted or
        throttled.

        :param zone: the shard's availability zone.
        """
        core = self.reservations.core
        self._update_return_ramp(zone)
        if core.now_ms < self.next_ms:
            return
        self.next_ms = core.now_ms + PERIOD_MS
        if not core.context.view_is_fresh(core.now_ms):
            return
        self._relieve()
        self._evict_excess()
        self._evict_leaving()

    def _update_return_ramp(self, zone: str) -> None:
        core = self.reservations.core
        out = not core.context.view.zone_allows_starts(zone)
        if self.zone_was_out and not out:
            self.ramp_until_ms = core.now_ms + RETURN_RAMP_MS
        self.zone_was_out = out

    @property
    def start_limit(self) -> int | None:
        """The limit of starts in a placement round, ``None`` if there is no limit."""
        if self.reservations.core.now_ms < self.ramp_until_ms:
            return MAX_STARTS_PER_RAMP_ROUND
        return None

    def _relieve(self) -> None:
        core = self.reservations.core
        loads = self.reservations.worker_loads()
        for relief in core.policy.plan_relief(loads, core.context.view, core.now_ms):
            key = AttemptKey(relief.key, relief.attempt)
            match relief:
                case ThrottleRequested(worker_id=worker_id, percent=percent):
                    core.record_decision(
                        relief.key, "throttle", relief.reason, worker_id, relief.detail
                    )
                    self.reservations.calls.throttle(worker_id, key, percent)
                case EvictionRequested():
                    self.reservations.evict(key, relief.reason, relief.detail)

    def _evict_excess(self) -> None:
        """Evict the newest tasks from workers whose capacity was reduced."""
        state = self.reservations.core.state
        for worker_id, worker in self.reservations.core.workers().items():
            reserved = state.reserved_at(worker_id)
            for reservation in reversed(state.reservations_of(worker_id)):
                if reserved.fits_in(worker.capacity):
                    break
                reserved = reserved.minus(reservation.attempt.reserved)
                self._evict(reservation, Reason.NO_CAPACITY)

    def _evict_leaving(self) -> None:
        """Evict tasks from workers that they must leave.

        Replicas go first, one of each service in a round; batch work follows once all
        such replicas are being stopped.
        """
        leaving = [
            item for item in self._leaving_reservations() if item[0].stopping is None
        ]
        services = {
            reservation.spec.service: (reservation, reason)
            for reservation, reason in leaving
            if reservation.spec.service
        }
        if services:
            chosen = list(services.values())[:SERVICES_PER_PERIOD]
        else:
            chosen = leaving[: max(1, len(leaving) // BATCH_DIVISOR)]
        for reservation, reason in chosen:
            self._evict(reservation, reason)

    def _leaving_reservations(self) -> list[tuple[ReservationRecord, Reason]]:
        core = self.reservations.core
        return [
            (reservation, reason)
            for worker_id, worker in core.workers().items()
            if (reason := self._reason_to_leave(worker.zone, worker.state)) is not None
            for reservation in core.state.reservations_of(worker_id)
        ]

    def _reason_to_leave(self, zone: str, state: HostState) -> Reason | None:
        if not self.reservations.core.context.view.zone_allows_starts(zone):
            return Reason.ZONE_OUT
        if state is HostState.LEAVING:
            return Reason.HOST_LEAVING
        return None

    def _evict(self, reservation: ReservationRecord, reason: Reason) -> None:
        key = AttemptKey(reservation.spec.key, reservation.attempt.number)
        self.reservations.evict(key, reason)
