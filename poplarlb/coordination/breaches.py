"""Which services miss their target at which workers, from late shares."""

from attrs import Factory, define

from poplarlb.settings import PolicySettings

BUCKETS = 5
SAMPLES_NEEDED = 20


@define
class Bucket:
    """Counts of requests in a part of the window."""

    number: int
    total: int = 0
    late: int = 0


@define
class LateShare:
    """The share of late requests of one service at one worker, lately.

    ``clear_since_ms`` is 0 while the service is in breach.
    """

    buckets: list[Bucket] = Factory(list)
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
        share = self.shares.get((service, worker_id))
        if share is None:
            share = self.shares[service, worker_id] = LateShare()
        share.note(late, self._number(now_ms))

    def check(self, service: str, worker_id: str, now_ms: int) -> LateShare | None:
        """Return the service's standing; it clears at half of the limit."""
        share = self.shares.get((service, worker_id))
        if share is None:
            return None
        value = share.value(self._number(now_ms))
        if value is None:
            value = 0.0
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
        value = share.value(self._number(now_ms)) if share else None
        return value or 0.0

    def _number(self, now_ms: int) -> int:
        return now_ms * BUCKETS // self.settings.breach_window_ms
