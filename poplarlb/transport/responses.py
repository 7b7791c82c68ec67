"""Responses to callers: endpoints' responses, and refusals in JSON."""

import json
import math
from collections.abc import Iterator

from attrs import define

from poplarlb.exceptions import PoplarlbError, RateLimitedError, RefusedError
from poplarlb.protocol import api
from poplarlb.state.models import Reason
from poplarlb.transport import views
from poplarlb.transport.endpoints import EndpointResponse

BUSY_RETRY_MS = 100


@define
class Exchange:
    """A response and the grant whose slot it holds until the body is read.

    ``grant`` is ``None`` once the slot is released.
    """

    grant: api.Grant | None
    response: EndpointResponse


@define
class RetryState:
    """The results of the attempts to send one request to an endpoint.

    ``avoid`` holds the workers tried. ``fault`` is reported if no endpoint responds;
    its code is not ``not_run`` once a byte may have reached one. ``last_response`` is
    the latest response that allowed a retry, ``exchange`` that to the last attempt.
    """

    avoid: tuple[str, ...] = ()
    fault: api.Fault | None = None
    last_response: Exchange | None = None
    exchange: Exchange | None = None

    def record_not_sent(self, detail: str) -> None:
        """Record that an endpoint could not be reached."""
        if self.fault is None:
            self.fault = api.Fault("not_run", Reason.ENDPOINT_FAILED, detail, 500)

    def record_broken_exchange(self, detail: str) -> None:
        """Record that an exchange failed with an ambiguous outcome."""
        self.fault = api.Fault("outcome_unknown", Reason.ENDPOINT_FAILED, detail)

    def resolve(self, last: api.Fault | None) -> Exchange:
        """Return the latest response, as no other attempt follows.

        :param last: the fault to report if no earlier attempt recorded one.
        :raises RefusedError: if there is no response.
        """
        if self.last_response is not None:
            return self.last_response
        raise RefusedError(self.fault or last)


@define
class CallerResponse:
    """The response to a caller; ``result`` is its label in the metrics."""

    status: int
    reason: str
    headers: list[tuple[str, str]]
    chunks: Iterator[bytes]
    result: str = "ok"


def overload_fault(detail: str) -> api.Fault:
    """Return the fault of a request that exceeds the present capacity."""
    return api.Fault("not_run", Reason.RATE_LIMITED, detail, BUSY_RETRY_MS)


def error_response(error: PoplarlbError) -> CallerResponse:
    """Return the response that reports an error to a caller."""
    if isinstance(error, RefusedError):
        fault = error.fault
        status = views.status_of(fault)
        table = views.to_json(fault)
    else:
        fault = api.Fault(error.code, Reason.RATE_LIMITED, error.detail)
        status = error.http_status
        table = {"code": error.code, "detail": error.detail}
        if isinstance(error, RateLimitedError):
            table["retry_after_ms"] = 1_000
    data = json.dumps(table).encode() + b"\n"
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    retry_after_ms = table.get("retry_after_ms", 0)
    if retry_after_ms:
        headers.append(("Retry-After", str(math.ceil(retry_after_ms / 1000))))
    return CallerResponse(status, "Refused", headers, iter([data]), fault.code)
