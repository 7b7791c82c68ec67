"""A gateway's calls to the keeper of an idempotency key."""

import contextlib

from attrs import define

from poplarlb.exceptions import PoplarlbError, RefusedError
from poplarlb.protocol import api
from poplarlb.transport.endpoints import EndpointAnswer
from poplarlb.transport.runtime import Runtime
from poplarlb.transport.service_calls import ServiceCall, digest_of

CALL_TIMEOUT_S = 8.0


class UnclaimedError(RefusedError):
    """A key could not be claimed; this call has dispatched nothing."""


@define
class KeyCalls:
    """Claims keys before a dispatch and records their outcomes after it.

    :param runtime: answers the calls to owners.
    """

    runtime: Runtime

    def claim(self, call: ServiceCall) -> api.KeyClaimed | api.KeyAnswered:
        """Return the claim, or the outcome that the key already has.

        :raises UnclaimedError: if the key is refused or its state is unknown.
        """
        body = api.BeginKey(
            call.team,
            call.service,
            call.key,
            call.request_id,
            digest_of(call),
            call.first_sending,
            call.deadline_ms,
        )
        result = None
        try:
            result = self.runtime.ask(body, CALL_TIMEOUT_S)
        finally:
            if not isinstance(result, api.KeyClaimed | api.KeyAnswered):
                self.finish(call, False, None)
        if isinstance(result, api.Fault):
            raise UnclaimedError(result)
        return result

    def finish(
        self, call: ServiceCall, used: bool, outcome: EndpointAnswer | None
    ) -> None:
        """Record a key's outcome before the caller hears it."""
        limit = self.runtime.settings.requests.key_body_limit_bytes
        kept = outcome if outcome and len(outcome.first) <= limit else None
        body = api.FinishKey(
            call.team,
            call.service,
            call.key,
            call.request_id,
            used,
            kept.status if kept else 0,
            kept.headers if kept else (),
            kept.first if kept else b"",
        )
        if kept is None:
            self.runtime.tell(body)
            return
        with contextlib.suppress(PoplarlbError):
            self.runtime.ask(body, CALL_TIMEOUT_S)
