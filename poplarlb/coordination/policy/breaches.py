"""Detects SLO violations of a service at a worker by its share of late requests."""

import math

from attrs import Factory, define

from poplarlb.settings import PolicySettings
from poplarlb.state.models import ServiceLatency

BUCKETS = 5
SAMPLES_NEEDED = 20
REPORT_AGE_MS = 15_000


@define
class Bucket:
    """Counts of requests in one part of the window."""

    number: int
    total: int = 0
    late: int = 0


@define
class LateShare:
    """The recent share of late requests of one service at one worker.

    ``reported`` is the share by the worker's last report.
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

    def value(self, number: int) -> float | None:
        """Return the share of late requests, ``None`` with too few requests."""
        recent = [item for item in self.buckets if item.number > number - BUCKETS]
        total = sum(item.total for item in recent)
        if total < SAMPLES_NEEDED:
            return None
        return sum(item.late for item in recent) / total


@define
class BreachMonitor:
    """Detects with hysteresis whether services meet their targets."""

    settings: PolicySettings
    weights: dict[str, float] = Factory(dict)
    shares: dict[tuple[str, str], LateShare] = Factory(dict)

    def record(self, service: str, worker_id: str, late: bool, now_ms: int) -> None:
        """Count one request of a service at a worker."""
        self._share(service, worker_id).record(late, self._bucket_number(now_ms))

    def record_report(
        self,
        service: str,
        worker_id: str,
        latency: ServiceLatency,
        target_ms: float,
        now_ms: int,
    ) -> None:
        """Record a worker's report; it is used where too few requests were recorded."""
        if latency.requests < SAMPLES_NEEDED:
            return
        share = self._share(service, worker_id)
        share.reported = late_share_of(latency, target_ms)
        share.reported_ms = now_ms

    def _share(self, service: str, worker_id: str) -> LateShare:
        share = self.shares.get((service, worker_id))
        if share is None:
            share = self.shares[service, worker_id] = LateShare()
        return share

    def check(self, service: str, worker_id: str, now_ms: int) -> LateShare | None:
        """Return the service's state; a breach ends at half of the limit."""
        share = self.shares.get((service, worker_id))
        if share is None:
            return None
        value = self._value(share, now_ms)
        limit = self.limit_of(service)
        breached = value > (limit / 2 if share.breached else limit)
        if breached != share.breached:
            share.breached = breached
            share.since_ms = now_ms
        return share

    def limit_of(self, service: str) -> float:
        """Return the allowed share of late requests; lower for a higher weight."""
        return min(0.5, self.settings.breach_share / self.weight_of(service))

    def weight_of(self, service: str) -> float:
        """Return a service's weight, at least 0.1."""
        return max(0.1, self.weights.get(service, 1.0))

    def late_share(self, service: str, worker_id: str, now_ms: int) -> float:
        """Return the share of late requests; 0 with too few requests."""
        share = self.shares.get((service, worker_id))
        return self._value(share, now_ms) if share else 0.0

    def _value(self, share: LateShare, now_ms: int) -> float:
        """Return the recorded share, or else the one reported recently."""
        seen = share.value(self._bucket_number(now_ms))
        if seen is not None:
            return seen
        if share.reported_ms is None or now_ms - share.reported_ms > REPORT_AGE_MS:
            return 0.0
        return share.reported

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
