"""Which services miss their target at which workers, from late shares."""

import math

from attrs import Factory, define

from poplarlb.settings import PolicySettings
from poplarlb.state.models import ServiceLatency

BUCKETS = 5
SAMPLES_NEEDED = 20
REPORT_AGE_MS = 15_000


@define
class Bucket:
    """Counts of requests in a part of the window."""

    number: int
    total: int = 0
    late: int = 0


@define
class LateShare:
    """The share of late requests of one service at one worker, lately.

    ``reported`` is what the worker's last report says of it.
    """

    buckets: list[Bucket] = Factory(list)
    reported: float = 0.0
    reported_ms: int | None = None
    breached: bool = False
    since_ms: int = 0

    def note(self, late: bool, number: int) -> None:
        """Count one request in the bucket of that number."""
        if not self.buckets or self.buckets[-1].number != number:
            self.buckets.append(Bucket(number))
            del self.buckets[:-BUCKETS]
        self.buckets[-1].total += 1
        self.buckets[-1].late += late

    def value(self, number: int) -> float | None:
        """Return the share of late requests, or ``None`` with too few."""
        recent = [item for item in self.buckets if item.number > number - BUCKETS]
        total = sum(item.total for item in recent)
        if total < SAMPLES_NEEDED:
            return None
        return sum(item.late for item in recent) / total


@define
class BreachMonitor:
    """Tells with hysteresis whether services keep their targets."""

    settings: PolicySettings
    weights: dict[str, float] = Factory(dict)
    shares: dict[tuple[str, str], LateShare] = Factory(dict)

    def note(self, service: str, worker_id: str, late: bool, now_ms: int) -> None:
        """Count one request of a service at a worker."""
        self._share(service, worker_id).note(late, self._number(now_ms))

    def note_report(
        self,
        service: str,
        worker_id: str,
        latency: ServiceLatency,
        target_ms: float,
        now_ms: int,
    ) -> None:
        """Take a worker's report; it counts where too few requests were seen."""
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
        """Return the service's standing; it clears at half of the limit."""
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
        """Return the share of late requests allowed; less for a higher weight."""
        return min(0.5, self.settings.breach_share / self.weight_of(service))

    def weight_of(self, service: str) -> float:
        """Return the weight of a service's protection."""
        return max(0.1, self.weights.get(service, 1.0))

    def late_share(self, service: str, worker_id: str, now_ms: int) -> float:
        """Return the share of late requests, 0 with too few of them."""
        share = self.shares.get((service, worker_id))
        return self._value(share, now_ms) if share else 0.0

    def _value(self, share: LateShare, now_ms: int) -> float:
        """Return the share seen, or else the one reported a short time ago."""
        seen = share.value(self._number(now_ms))
        if seen is not None:
            return seen
        if share.reported_ms is None or now_ms - share.reported_ms > REPORT_AGE_MS:
            return 0.0
        return share.reported

    def _number(self, now_ms: int) -> int:
        return now_ms * BUCKETS // self.settings.breach_window_ms


def late_share_of(latency: ServiceLatency, target_ms: float) -> float:
    """Return the share of requests above the target that a report implies.

    Between the median and the 99th percentile the share falls exponentially.
    """
    if latency.p50_ms > target_ms:
        return 0.5
    if latency.p99_ms <= target_ms:
        return 0.0
    part = (target_ms - latency.p50_ms) / (latency.p99_ms - latency.p50_ms)
    return 0.5 * math.exp(part * math.log(0.01 / 0.5))
