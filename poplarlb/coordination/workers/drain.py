"""Moves work away from zones and hosts that go, and relieves services."""

from attrs import define

from poplarlb.coordination.policy.policy import EvictionWanted, ThrottleWanted
from poplarlb.coordination.workers.places import Places
from poplarlb.state.models import HostState, Reason
from poplarlb.state.shard_state import PlaceKey, PlaceRecord

PERIOD_MS = 1_000
SERVICES_PER_PERIOD = 2
BATCH_SHARE = 10
RETURN_RAMP_MS = 20_000
STARTS_PER_RETURN_PERIOD = 4


@define
class Drain:
    """Evicts at a limited rate what must leave its worker.

    After a zone comes back, starts are limited for a while.
    """

    places: Places
    next_ms: int = 0
    was_out: bool = False
    ramp_until_ms: int = 0

    def tick(self, zone: str) -> None:
        """Take one step each period."""
        core = self.places.core
        self._watch_zone(zone)
        if core.now_ms < self.next_ms:
            return
        self.next_ms = core.now_ms + PERIOD_MS
        if not core.context.view_is_fresh(core.now_ms):
            return
        self._relieve()
        self._shrink()
        self._leave()

    def _watch_zone(self, zone: str) -> None:
        core = self.places.core
        out = not core.context.view.zone_allows_starts(zone)
        if self.was_out and not out:
            self.ramp_until_ms = core.now_ms + RETURN_RAMP_MS
        self.was_out = out

    @property
    def start_limit(self) -> int | None:
        """How many starts a placing round may make, or ``None`` for no limit."""
        if self.places.core.now_ms < self.ramp_until_ms:
            return STARTS_PER_RETURN_PERIOD
        return None

    def _relieve(self) -> None:
        core = self.places.core
        rooms = self.places.rooms()
        for relief in core.policy.plan_relief(rooms, core.context.view, core.now_ms):
            key = PlaceKey(relief.key, relief.attempt)
            match relief:
                case ThrottleWanted(worker_id=worker_id, percent=percent):
                    core.decide(
                        relief.key, "throttle", relief.reason, worker_id, relief.detail
                    )
                    self.places.calls.throttle(worker_id, key, percent)
                case EvictionWanted():
                    self.places.evict(key, relief.reason, relief.detail)

    def _shrink(self) -> None:
        """Evict the newest batch work from workers whose capacity shrank."""
        state = self.places.core.state
        for worker_id, worker in self.places.core.workers().items():
            excess = state.reserved_at(worker_id)
            for place in reversed(state.places_of(worker_id)):
                if excess.fits_in(worker.capacity):
                    break
                excess = excess.minus(place.attempt.reserved)
                self._evict(place, Reason.NO_CAPACITY)

    def _leave(self) -> None:
        """Move services first, each service's replicas one after the other."""
        leaving = [item for item in self._places_leaving() if item[0].stopping is None]
        services = {
            place.spec.service: (place, reason)
            for place, reason in leaving
            if place.spec.service
        }
        if services:
            chosen = list(services.values())[:SERVICES_PER_PERIOD]
        else:
            chosen = leaving[: max(1, len(leaving) // BATCH_SHARE)]
        for place, reason in chosen:
            self._evict(place, reason)

    def _places_leaving(self) -> list[tuple[PlaceRecord, Reason]]:
        core = self.places.core
        return [
            (place, reason)
            for worker_id, worker in core.workers().items()
            if (reason := self._reason_to_leave(worker.zone, worker.state)) is not None
            for place in core.state.places_of(worker_id)
        ]

    def _reason_to_leave(self, zone: str, state: HostState) -> Reason | None:
        if not self.places.core.context.view.zone_allows_starts(zone):
            return Reason.ZONE_OUT
        if state is HostState.LEAVING:
            return Reason.HOST_LEAVING
        return None

    def _evict(self, place: PlaceRecord, reason: Reason) -> None:
        key = PlaceKey(place.spec.key, place.attempt.number)
        self.places.evict(key, reason)
