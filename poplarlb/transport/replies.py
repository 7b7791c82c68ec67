"""What callers are told: answers of endpoints, and refusals in JSON."""

import json
import math
from collections.abc import Iterator

from attrs import define

from poplarlb.exceptions import PoplarlbError, RateLimitedError, RefusedError
from poplarlb.protocol import api
from poplarlb.state.models import Reason
from poplarlb.transport import views
from poplarlb.transport.endpoints import EndpointAnswer

BUSY_RETRY_MS = 100


@define
class Exchange:
    """An answer on its way, and the slot that it uses until it is read."""

    grant: api.Grant | None
    answer: EndpointAnswer


@define
class Tries:
    """What became of the tries to have one request answered.

    ``fault`` is what to tell if none was; once a byte may have reached an
    endpoint it is no more "not run". ``answered`` is an answer that was worth
    another try, ``exchange`` that of the last one.
    """

    avoid: tuple[str, ...] = ()
    fault: api.Fault | None = None
    answered: Exchange | None = None
    exchange: Exchange | None = None

    def note_unsent(self, detail: str) -> None:
        """Note that an endpoint could not be reached."""
        if self.fault is None:
            self.fault = api.Fault("not_run", Reason.ENDPOINT_FAILED, detail, 500)

    def note_broken(self, detail: str) -> None:
        """Note that an exchange broke off."""
        self.fault = api.Fault("outcome_unknown", Reason.ENDPOINT_FAILED, detail)

    def settle(self, last: api.Fault | None) -> Exchange:
        """Return an earlier answer, as there will be no other.

        :raises RefusedError: if there is none.
        """
        if self.answered is not None:
            return self.answered
        raise RefusedError(self.fault or last)


@define
class Reply:
    """What the caller is told."""

    status: int
    reason: str
    headers: list[tuple[str, str]]
    chunks: Iterator[bytes]
    result: str = "ok"


def busy(detail: str) -> api.Fault:
    """Return the refusal of a request for which there is no room now."""
    return api.Fault("not_run", Reason.RATE_LIMITED, detail, BUSY_RETRY_MS)


def refuse(error: PoplarlbError) -> Reply:
    """Return the reply that tells a caller of an error."""
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
    return Reply(status, "Refused", headers, iter([data]), fault.code)
