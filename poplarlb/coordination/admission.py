"""Exact admission to the endpoints of one shard."""

from attrs import Factory, define, frozen

from poplarlb.coordination.context import NodeContext
from poplarlb.protocol import api, ports
from poplarlb.protocol.messages import EndpointSummary
from poplarlb.state.models import Reason, Worker

GRANT_USE_MS = 2_000


@frozen
class Endpoint:
    """A running replica of a service at a worker."""

    team: str
    service: str
    worker: Worker
    slowdown: float = 1.0


@define
class Admission:
    """Grants slots at the shard's endpoints.

    State is volatile; a new owner starts without knowledge of grants in use.
    """

    context: NodeContext
    shard: str
    epoch: int
    endpoints: list[Endpoint] = Factory(list)
    in_use: dict[str, int] = Factory(dict)

    def set_endpoints(self, endpoints: list[Endpoint], now_ms: int) -> None:
        """Take the endpoints that are running and may get requests."""
        self.endpoints = endpoints

    def handle(self, event: ports.Event, now_ms: int) -> list[ports.Command]:
        """Answer calls for slots and their return."""
        match event:
            case ports.ApiRequested(call_id=call_id, body=api.AdmitRequest() as body):
                return [ports.ApiAnswer(call_id, self._admit(body, now_ms))]
            case ports.ApiRequested(call_id=call_id, body=api.FinishRequest() as body):
                self.in_use[body.worker_id] = self.in_use.get(body.worker_id, 1) - 1
                return [ports.ApiAnswer(call_id, api.Done())]
        return []

    def summaries(self) -> tuple[EndpointSummary, ...]:
        """Return how busy each service's endpoints are."""
        names = sorted({(item.team, item.service) for item in self.endpoints})
        return tuple(self._summary(team, service) for team, service in names)

    def _summary(self, team: str, service: str) -> EndpointSummary:
        own = self._endpoints_of(team, service)
        free = sum(max(0, self._free(item.worker)) for item in own)
        return EndpointSummary(team, service, len(own), free, 0)

    def _endpoints_of(self, team: str, service: str) -> list[Endpoint]:
        return [e for e in self.endpoints if (e.team, e.service) == (team, service)]

    def _free(self, worker: Worker) -> int:
        return worker.slots - self.in_use.get(worker.worker_id, 0)

    def _admit(self, body: api.AdmitRequest, now_ms: int) -> api.ApiResult:
        own = self._endpoints_of(body.team, body.service)
        free = [item for item in own if self._free(item.worker) > 0]
        if not free:
            return api.Fault("not_run", Reason.NO_ENDPOINT, retry_after_ms=1_000)
        best = max(free, key=lambda item: self._free(item.worker))
        worker = best.worker
        self.in_use[worker.worker_id] = self.in_use.get(worker.worker_id, 0) + 1
        return api.Grant(
            body.request_id,
            self.shard,
            self.epoch,
            worker.worker_id,
            worker.address,
            now_ms + GRANT_USE_MS,
        )
