"""A gateway's calls to the owner of an idempotency key.

The owner of the key's shard records which request claimed the key, and the outcome.
"""

import contextlib

from attrs import define

from poplarlb.exceptions import PoplarlbError, RefusedError
from poplarlb.protocol import api
from poplarlb.transport.endpoints import EndpointResponse
from poplarlb.transport.runtime import Runtime
from poplarlb.transport.service_calls import ServiceCall, digest_of

CALL_TIMEOUT_S = 8.0


class KeyNotClaimedError(RefusedError):
    """A key could not be claimed, so its request was not dispatched."""


@define
class KeyClient:
    """Claims idempotency keys before a dispatch and records outcomes after it.

    :param runtime: answers the calls to owners.
    """

    runtime: Runtime

    def claim(self, call: ServiceCall) -> api.KeyClaimed | api.KeyAnswered:
        """Claim a call's key; return the claim, or the outcome if one is recorded.

        :raises KeyNotClaimedError: if the key is refused or its state is unknown.
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
            raise KeyNotClaimedError(result)
        return result

    def finish(
        self, call: ServiceCall, used: bool, outcome: EndpointResponse | None
    ) -> None:
        """Record a key's outcome before the caller is sent the response.

        If the outcome is missing or too large, the owner is notified without waiting.
        """
        limit = self.runtime.settings.requests.key_body_limit_bytes
        recorded = outcome if outcome and len(outcome.buffered) <= limit else None
        body = api.FinishKey(
            call.team,
            call.service,
            call.key,
            call.request_id,
            used,
            recorded.status if recorded else 0,
            recorded.headers if recorded else (),
            recorded.buffered if recorded else b"",
        )
        if recorded is None:
            self.runtime.notify(body)
            return
        with contextlib.suppress(PoplarlbError):
            self.runtime.ask(body, CALL_TIMEOUT_S)
