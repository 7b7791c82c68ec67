"""Health of a service's endpoints: response times, ejection and probes.

An ejected endpoint receives no requests, except one at a time as a probe later on.
"""

import statistics
from collections.abc import Iterable

from attrs import define

# Failures in a row.
FAILURES_TO_EJECT = 3
# The length of an ejection at level 0.
EJECTION_MS = 1_000
MAX_EJECTION_MS = 60_000
# After this time without a change, a response lowers the ejection level by one.
LEVEL_DECAY_MS = 60_000
MAX_EJECTED_SHARE = 0.5
# An outlier's response time exceeds this multiple of its peers' median, and the floor.
OUTLIER_FACTOR = 3.0
# Responses of an endpoint that are needed to judge it; admission checks it again each
# time that this many more have come.
OUTLIER_SAMPLES = 8
# Other endpoints of the service with responses that are needed for a comparison.
OUTLIER_PEERS = 3
OUTLIER_FLOOR_MS = 20.0
# The weight of a new response time.
EWMA_WEIGHT = 0.2
# Assumed while no endpoint of a service has responded.
DEFAULT_RESPONSE_MS = 20.0


@define
class EndpointHealth:
    """Response times and failures of one endpoint, as the shard's owner has seen them.

    ``response_ms`` is an EWMA of the response times, 0 before the first response;
    ``samples`` counts the successful responses since the last ejection ended.
    ``failures`` are those in a row. Each step of ``ejection_level`` doubles the length
    of the next ejection. A probe may be sent to an ejected endpoint from
    ``probe_after_ms`` on; ``probe`` is the id of that request while it is in flight.
    ``changed_ms`` is when the level or the ejection last changed.
    """

    response_ms: float = 0.0
    samples: int = 0
    failures: int = 0
    ejection_level: int = 0
    ejected: bool = False
    probe_after_ms: int = 0
    probe: str = ""
    changed_ms: int = 0

    def accepts_requests(self, now_ms: int) -> bool:
        """Return whether the endpoint may receive a request now."""
        if not self.ejected:
            return True
        return now_ms >= self.probe_after_ms and not self.probe

    def begin(self, request_id: str) -> None:
        """Record a granted request as the only probe if the endpoint is ejected."""
        if self.ejected:
            self.probe = request_id

    def record_answer(self, request_id: str, latency_ms: float, now_ms: int) -> None:
        """Record a successful response; a probe's response ends the ejection."""
        self.failures = 0
        if self.probe == request_id and self.ejected:
            self.ejected = False
            self.probe = ""
            self.samples = 0
            self.changed_ms = now_ms
        if self.ejection_level and now_ms - self.changed_ms >= LEVEL_DECAY_MS:
            self.ejection_level -= 1
            self.changed_ms = now_ms
        if self.samples == 0:
            self.response_ms = latency_ms
        else:
            self.response_ms += EWMA_WEIGHT * (latency_ms - self.response_ms)
        self.samples += 1

    def record_failure(self, request_id: str, now_ms: int) -> bool:
        """Record a failure; return whether the endpoint should be ejected."""
        self.failures += 1
        if self.probe == request_id and self.ejected:
            self.eject(now_ms)
            return False
        return not self.ejected and self.failures >= FAILURES_TO_EJECT

    def release_probe(self, request_id: str) -> None:
        """Clear a probe that was never sent."""
        if self.probe == request_id:
            self.probe = ""

    def eject(self, now_ms: int) -> None:
        """Send the endpoint no requests until its next probe."""
        self.ejected = True
        self.probe = ""
        self.failures = 0
        self.changed_ms = now_ms
        length_ms = min(EJECTION_MS << self.ejection_level, MAX_EJECTION_MS)
        self.probe_after_ms = now_ms + length_ms
        self.ejection_level = min(self.ejection_level + 1, 6)

    def is_outlier(self, peers: Iterable["EndpointHealth"]) -> bool:
        """Return whether the endpoint is much slower than its peers."""
        if self.samples < OUTLIER_SAMPLES:
            return False
        times = [p.response_ms for p in peers if p is not self and p.samples]
        if len(times) < OUTLIER_PEERS:
            return False
        limit = OUTLIER_FACTOR * statistics.median(times)
        return self.response_ms > max(limit, OUTLIER_FLOOR_MS)


def may_eject(peers: list[EndpointHealth]) -> bool:
    """Return whether one more endpoint of a service may be ejected."""
    ejected = sum(item.ejected for item in peers)
    return ejected + 1 <= MAX_EJECTED_SHARE * len(peers)


def mean_response_ms(peers: Iterable[EndpointHealth]) -> float:
    """Return the mean response time of the endpoints that have responded."""
    times = [item.response_ms for item in peers if item.samples]
    return statistics.fmean(times) if times else DEFAULT_RESPONSE_MS
