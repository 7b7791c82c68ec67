"""Detects SLO violations of a service at a worker by its share of late requests."""

import math

from attrs import Factory, define

from poplarlb.settings import PolicySettings
from poplarlb.state.models import ServiceLatency

BUCKETS = 5  # parts of the window ``breach_window_ms``
SAMPLES_NEEDED = 20  # with fewer requests in a window or report, it is not used
REPORT_AGE_MS = 15_000  # an older report is not used


@define
class Bucket:
    """Counts of requests in one part of the window.

    ``number`` is the time divided by a part's length; ``late`` requests took longer
    than the service's target.
    """

    number: int
    total: int = 0
    late: int = 0


@define
class BreachState:
    """The recent share of late requests of one service at one worker.

    :ivar reported: the share of late requests in the worker's last report.
    :ivar reported_ms: when that report came; ``None`` if there was none.
    :ivar breached: whether the service violates its target there.
    :ivar since_ms: when ``breached`` last changed.
    """

    buckets: list[Bucket] = Factory(list)
    reported: float = 0.0
    reported_ms: int | None = None
    breached: bool = False
    since_ms: int = 0

    def record(self, late: bool, number: int) -> None:
        """Count one request in the bucket of that number."""
        if not self.buckets or self.buckets[-1].number != number:
            self.buckets.append(Bucket(number))
            del self.buckets[:-BUCKETS]
        self.buckets[-1].total += 1
        self.buckets[-1].late += late

    def recorded_share(self, number: int) -> float | None:
        """Return the share of late requests, ``None`` with too few requests."""
        recent = [item for item in self.buckets if item.number > number - BUCKETS]
        total = sum(item.total for item in recent)
        if total < SAMPLES_NEEDED:
            return None
        return sum(item.late for item in recent) / total


@define
class BreachMonitor:
    """Detects with hysteresis whether services meet their targets.

    Services are named ``team/service``.

    :ivar weights: the services' weights; 1 for a service without one.
    :ivar states: the state by service and worker.
    """

    settings: PolicySettings
    weights: dict[str, float] = Factory(dict)
    states: dict[tuple[str, str], BreachState] = Factory(dict)

    def record(self, service: str, worker_id: str, late: bool, now_ms: int) -> None:
        """Count one request of a service at a worker."""
        self._state(service, worker_id).record(late, self._bucket_number(now_ms))

    def record_report(
        self,
        service: str,
        worker_id: str,
        latency: ServiceLatency,
        target_ms: float,
        now_ms: int,
    ) -> None:
        """Record a worker's report, used while too few requests are recorded."""
        if latency.requests < SAMPLES_NEEDED:
            return
        state = self._state(service, worker_id)
        state.reported = late_share_of(latency, target_ms)
        state.reported_ms = now_ms

    def _state(self, service: str, worker_id: str) -> BreachState:
        state = self.states.get((service, worker_id))
        if state is None:
            state = self.states[service, worker_id] = BreachState()
        return state

    def check(self, service: str, worker_id: str, now_ms: int) -> BreachState | None:
        """Update and return the state; ``None`` if nothing was recorded.

        A breach begins above the limit and ends at half of it.
        """
        state = self.states.get((service, worker_id))
        if state is None:
            return None
        late_share = self._current_share(state, now_ms)
        limit = self.limit_of(service)
        breached = late_share > (limit / 2 if state.breached else limit)
        if breached != state.breached:
            state.breached = breached
            state.since_ms = now_ms
        return state

    def limit_of(self, service: str) -> float:
        """Return the allowed share of late requests; lower for a higher weight."""
        return min(0.5, self.settings.breach_share / self.weight_of(service))

    def weight_of(self, service: str) -> float:
        """Return a service's weight, at least 0.1."""
        return max(0.1, self.weights.get(service, 1.0))

    def late_share(self, service: str, worker_id: str, now_ms: int) -> float:
        """Return the share of late requests; 0 if too few are known."""
        state = self.states.get((service, worker_id))
        return self._current_share(state, now_ms) if state else 0.0

    def _current_share(self, state: BreachState, now_ms: int) -> float:
        """Return the recorded share of late requests, else the one reported recently.

        Returns 0 if there are too few recent requests, and no recent report.
        """
        seen = state.recorded_share(self._bucket_number(now_ms))
        if seen is not None:
            return seen
        if state.reported_ms is None or now_ms - state.reported_ms > REPORT_AGE_MS:
            return 0.0
        return state.reported

    def _bucket_number(self, now_ms: int) -> int:
        return now_ms * BUCKETS // self.settings.breach_window_ms


def late_share_of(latency: ServiceLatency, target_ms: float) -> float:
    """Return the estimated share of requests above the target in a report.

    The share is taken to fall exponentially from the median to the 99th percentile.
    """
    if latency.p50_ms > target_ms:
        return 0.5
    if latency.p99_ms <= target_ms:
        return 0.0
    part = (target_ms - latency.p50_ms) / (latency.p99_ms - latency.p50_ms)
    return 0.5 * math.exp(part * math.log(0.01 / 0.5))
