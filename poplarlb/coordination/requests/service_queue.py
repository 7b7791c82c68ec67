"""A service's endpoints in a shard and the requests that wait for them."""

import itertools
from collections.abc import Iterator

from attrs import Factory, define, frozen

from poplarlb.coordination.requests.health import (
    DEFAULT_RESPONSE_MS,
    EndpointHealth,
    mean_response_ms,
)
from poplarlb.protocol import api
from poplarlb.state.models import Worker

# How many endpoints or queued requests are compared at once.
SCAN_LIMIT = 16


@frozen
class Endpoint:
    """A running replica of a service at a worker.

    ``slowdown`` is the expected factor by which other tasks of the worker lengthen
    its response times.
    """

    team: str
    service: str
    worker: Worker
    slowdown: float = 1.0


@define
class ServingEndpoint:
    """An endpoint with its health; ``limit`` is how many requests it takes at once."""

    endpoint: Endpoint
    limit: int
    health: EndpointHealth = Factory(EndpointHealth)


@frozen(order=True)
class QueuedRequest:
    """A request that waits for a slot; ordered by deadline, class and arrival.

    Deadlines within the same ``deadline_step`` count as equal.
    """

    deadline_step: int
    class_order: int
    number: int
    call_id: int
    body: api.AdmitRequest


@define
class ServiceQueue:
    """A service's endpoints in the shard and the requests that wait for them.

    ``endpoints`` are keyed by worker. ``listed`` are the same, in the order of
    scans, of which the last began at ``cursor``. ``mean_ms`` is the mean response
    time, ``min_slowdown`` the lowest slowdown of any endpoint.
    """

    endpoints: dict[str, ServingEndpoint] = Factory(dict)
    waiting: list[QueuedRequest] = Factory(list)
    listed: list[ServingEndpoint] = Factory(list)
    cursor: int = 0
    mean_ms: float = DEFAULT_RESPONSE_MS
    min_slowdown: float = 1.0

    def update(self, wanted: dict[str, Endpoint]) -> None:
        """Replace the endpoints by ``wanted``, keyed by worker id.

        Those not in ``wanted`` receive no more requests; the others keep their health.
        """
        for worker_id in self.endpoints.keys() - wanted.keys():
            del self.endpoints[worker_id]
        for worker_id, endpoint in wanted.items():
            known = self.endpoints.get(worker_id)
            if known is None:
                limit = slots_of(endpoint.worker)
                self.endpoints[worker_id] = ServingEndpoint(endpoint, limit)
            else:
                known.endpoint = endpoint
                known.limit = slots_of(endpoint.worker)
        self.listed = list(self.endpoints.values())
        self.min_slowdown = min(
            (item.endpoint.slowdown for item in self.listed), default=1.0
        )
        self.update_mean()

    def update_mean(self) -> None:
        """Recompute the mean response time of the endpoints."""
        self.mean_ms = mean_response_ms(item.health for item in self.listed)

    def in_scan_order(self) -> Iterator[ServingEndpoint]:
        """Return all endpoints, in the order of the next scan.

        With more than ``SCAN_LIMIT`` of them, each scan begins as many further on.
        """
        if len(self.listed) <= SCAN_LIMIT:
            return iter(self.listed)
        self.cursor = (self.cursor + SCAN_LIMIT) % len(self.listed)
        after = itertools.islice(self.listed, self.cursor, None)
        return itertools.chain(after, itertools.islice(self.listed, self.cursor))

    def earliest_available_ms(self, avoid: tuple[str, ...], now_ms: int) -> int | None:
        """Return when an endpoint not in ``avoid`` may receive a request.

        Returns ``None`` if there is no such endpoint.
        """
        soonest = None
        for item in self.listed:
            if item.endpoint.worker.worker_id in avoid:
                continue
            if not item.health.ejected:
                return now_ms
            after_ms = item.health.probe_after_ms
            soonest = after_ms if soonest is None else min(soonest, after_ms)
        return soonest

    def wait_ms(self, position: int) -> float:
        """Return the expected wait of a request that is behind ``position`` others."""
        slots = sum(item.limit for item in self.healthy_endpoints() or self.listed)
        return (position + 1) * self.mean_ms / max(1, slots)

    def remove_unservable(self, now_ms: int) -> list[QueuedRequest]:
        """Remove and return the requests that can no longer be served in time.

        They would miss their deadline, or avoid every endpoint, or there is none.
        """
        late = [
            item
            for item in self.waiting
            if now_ms + self.mean_ms > item.body.deadline_ms
            or all(name in item.body.avoid for name in self.endpoints)
        ]
        if late:
            removed = {item.number for item in late}
            self.waiting = [item for item in self.waiting if item.number not in removed]
        return late

    def all_health(self) -> list[EndpointHealth]:
        """Return the health of every endpoint."""
        return [item.health for item in self.endpoints.values()]

    def healthy_endpoints(self) -> list[ServingEndpoint]:
        """Return the endpoints that are not ejected."""
        return [item for item in self.endpoints.values() if not item.health.ejected]


def slots_of(worker: Worker) -> int:
    """Return how many requests a worker can process at once."""
    return max(1, min(worker.slots, worker.connections))
