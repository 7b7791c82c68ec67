"""Forwards a caller's request to an endpoint (a running replica) of its service.

The steps: claim the idempotency key, if any, at its owner; be admitted, which grants a
slot at an endpoint; send; finish, which releases the slot and stores the key's outcome.
A separate WSGI application on the server's threads, so that bodies are streamed.
"""

import contextlib
import itertools
import threading
import time
from collections.abc import Callable, Iterator

from attrs import Factory, define, evolve, field
from loguru import logger

from poplarlb.coordination.requests.retries import RetryBudget
from poplarlb.exceptions import (
    BadRequestError,
    NotFoundError,
    PoplarlbError,
    RateLimitedError,
    RefusedError,
)
from poplarlb.protocol import api
from poplarlb.state.models import Reason
from poplarlb.transport.bodies import (
    MAX_BUFFERED_BODY_BYTES,
    BufferBudget,
    reserve_buffer,
)
from poplarlb.transport.endpoints import (
    BODILESS_STATUSES,
    EndpointClient,
    EndpointResponse,
    ExchangeBrokenError,
    OutgoingRequest,
    RequestNotSentError,
)
from poplarlb.transport.key_client import KeyClient, KeyNotClaimedError
from poplarlb.transport.limits import REQUEST_KEY
from poplarlb.transport.operators import RateLimit
from poplarlb.transport.responses import (
    CallerResponse,
    Exchange,
    RetryState,
    error_response,
    overload_fault,
)
from poplarlb.transport.runtime import Runtime, now_ms
from poplarlb.transport.service_calls import (
    ServiceCall,
    parse_call,
    parse_target,
)

BUFFER_BYTES = 64 << 20  # for all request bodies in memory
RESERVED_THREADS = 2  # for paths that are not services, such as the health check
RETRIED_STATUSES = frozenset({429, 502, 503, 504})
TAKEOVER_WAIT_MS = 3_000  # how long a request may wait for a shard's new owner
TAKEOVER_RETRY_MS = 200
MAX_TAKEOVER_WAITERS = 8
TAKEOVER_REASONS = frozenset({Reason.NO_OWNER, Reason.NO_SECOND, Reason.KEY_UNCERTAIN})


@define
class ServiceGateway:
    """The WSGI application under ``/v1/services``.

    ``retry_budgets`` limits retries for each team and service. ``free_threads`` is the
    number of further requests that may be handled at once.

    :param runtime: answers the calls to owners.
    """

    runtime: Runtime
    client: EndpointClient = Factory(EndpointClient)
    buffer_budget: BufferBudget = Factory(lambda: BufferBudget(BUFFER_BYTES))
    retry_budgets: dict[tuple[str, str], RetryBudget] = Factory(dict)
    request_numbers: Iterator[int] = Factory(lambda: itertools.count(1))
    rate_limit: RateLimit = field(init=False)
    free_threads: int = field(init=False)
    started_ms: int = Factory(now_ms)
    lock: threading.Lock = Factory(threading.Lock)
    keys: KeyClient = field(init=False)
    takeover_waiters: threading.Semaphore = Factory(
        lambda: threading.Semaphore(MAX_TAKEOVER_WAITERS)
    )

    def __attrs_post_init__(self) -> None:
        """Set the limits from the settings."""
        self.keys = KeyClient(self.runtime)
        settings = self.runtime.settings.api
        per_s = settings.requests_per_s
        self.rate_limit = RateLimit(per_s, per_s, per_s)
        self.free_threads = max(1, settings.threads - RESERVED_THREADS)

    def __call__(self, environ: dict, start_response: Callable) -> Iterator[bytes]:
        """Handle one request and yield the body of its response."""
        request = environ[REQUEST_KEY]
        received_ms = now_ms()
        request_id = self._next_request_id()
        labels = ("", "")
        with contextlib.ExitStack() as stack:
            try:
                self._acquire_thread(stack)
                call = self._parse(environ, request_id, received_ms)
                labels = (call.team, call.service)
                if not stack.enter_context(
                    reserve_buffer(self.buffer_budget, call.body)
                ):
                    raise RefusedError(
                        overload_fault("the memory for request bodies is used up")
                    )
                response = self._serve(call, stack)
            except PoplarlbError as error:
                # Closing avoids waiting for the rest of the body.
                request.close_connection = True
                response = error_response(error)
            except Exception:
                logger.exception("request {} failed", request_id)
                request.close_connection = True
                response = error_response(PoplarlbError("an unexpected error"))
            response.headers.append(("Poplarlb-Request-Id", request_id))
            latency_ms = now_ms() - received_ms
            self.runtime.metrics.observe_request(*labels, response.result, latency_ms)
            start_response(f"{response.status} {response.reason}", response.headers)
            yield from response.chunks

    def _next_request_id(self) -> str:
        member = self.runtime.settings.member_id
        return f"{member}-{self.started_ms:x}-{next(self.request_numbers)}"

    def _acquire_thread(self, stack: contextlib.ExitStack) -> None:
        """Acquire one of the threads for requests until ``stack`` closes.

        :raises PoplarlbError: if no thread is free or the rate limit is exceeded.
        """
        if not self.rate_limit.take(now_ms()):
            raise RateLimitedError("too many requests per second")
        with self.lock:
            if self.free_threads <= 0:
                raise RefusedError(overload_fault("all threads are in use"))
            self.free_threads -= 1
        stack.callback(self._release_thread)

    def _release_thread(self) -> None:
        with self.lock:
            self.free_threads += 1

    # --- parsing --------------------------------------------------------------------

    def _parse(self, environ: dict, request_id: str, received_ms: int) -> ServiceCall:
        team, service, rest = parse_target(environ["REQUEST_URI"])
        template = self._find_template(team, service)
        return parse_call(
            environ[REQUEST_KEY],
            (team, service, rest),
            template,
            self.runtime.settings.requests,
            request_id,
            received_ms,
        )

    def _find_template(self, team: str, service: str):
        if not self.runtime.started.is_set():
            raise RefusedError(overload_fault("the daemon is starting"))
        view = self.runtime.node.context.view
        template = view.service(team, service)
        if template is None and view.version == 0:
            raise RefusedError(overload_fault("the configuration is not known yet"))
        if template is None:
            raise NotFoundError(f"no service {service} of team {team}")
        return template

    # --- dispatch -------------------------------------------------------------------

    def _serve(self, call: ServiceCall, stack: contextlib.ExitStack) -> CallerResponse:
        buffered = call.body.read_all(MAX_BUFFERED_BODY_BYTES)
        if call.key and not buffered:
            limit = MAX_BUFFERED_BODY_BYTES
            raise BadRequestError(
                f"request body with an idempotency key exceeds {limit} bytes"
            )
        until_ms = min(call.deadline_ms, now_ms() + TAKEOVER_WAIT_MS)
        while True:
            try:
                return self._serve_once(call, stack)
            except RefusedError as refused:
                if not _is_takeover_refusal(refused) or not self._wait_for_owner(
                    until_ms
                ):
                    raise
            # A new id, so that a late message of this attempt can't affect the next.
            call = evolve(call, request_id=self._next_request_id())

    def _serve_once(
        self, call: ServiceCall, stack: contextlib.ExitStack
    ) -> CallerResponse:
        if call.key:
            return self._serve_keyed(call, stack)
        return self._respond(call, self._exchange(call), stack)

    def _wait_for_owner(self, until_ms: int) -> bool:
        """Wait briefly for the shard's next owner; return whether to try again.

        This is false if too little time is left, or if ``MAX_TAKEOVER_WAITERS`` threads
        wait already.
        """
        if now_ms() + TAKEOVER_RETRY_MS >= until_ms:
            return False
        if not self.takeover_waiters.acquire(blocking=False):
            return False
        try:
            time.sleep(TAKEOVER_RETRY_MS / 1000)
        finally:
            self.takeover_waiters.release()
        return True

    def _serve_keyed(
        self, call: ServiceCall, stack: contextlib.ExitStack
    ) -> CallerResponse:
        claim = self.keys.claim(call)
        if isinstance(claim, api.KeyAnswered):
            headers = [*claim.headers, ("Poplarlb-Replayed", "true")]
            return CallerResponse(claim.status, "Replayed", headers, iter([claim.body]))
        used = True
        outcome = None
        try:
            exchange = self._exchange(call)
            if exchange.response.complete:
                outcome = exchange.response
        except RefusedError as error:
            used = error.fault.code != "not_run"
            raise
        finally:
            self.keys.finish(call, used, outcome)
        return self._respond(call, exchange, stack)

    def _exchange(self, call: ServiceCall) -> Exchange:
        """Return an endpoint's response, after retries at other endpoints if needed.

        A request that may have run is retried only if its service is idempotent.

        :raises RefusedError: ``not_run`` if no endpoint received a byte, otherwise
            ``outcome_unknown``.
        """
        state = RetryState()
        while True:
            try:
                grant = self._admit(call, state.avoid)
            except RefusedError as refused:
                return state.resolve(refused.fault)
            retryable = self._try_endpoint(call, grant, state)
            if state.exchange is not None and not retryable:
                return state.exchange
            if not retryable or not self._may_retry(call):
                return state.resolve(state.fault)
            state.avoid = (*state.avoid, grant.worker_id)

    def _try_endpoint(
        self, call: ServiceCall, grant: api.Grant, state: RetryState
    ) -> bool:
        """Send to one endpoint; return whether another attempt is safe."""
        state.exchange = None
        try:
            response = self._send(call, grant)
        except RequestNotSentError as error:
            self._finish(grant, "unsent", 0)
            state.record_not_sent(f"endpoint unreachable: {error}")
            return True
        except ExchangeBrokenError as error:
            self._finish(grant, "unknown", 0)
            state.record_broken_exchange(f"exchange with the endpoint failed: {error}")
            return call.idempotent
        except BaseException:
            self._finish(grant, "unused", 0)
            raise
        state.exchange = Exchange(grant, response)
        if not call.idempotent or response.status not in RETRIED_STATUSES:
            return False
        if response.complete:
            self._report_response(state.exchange)
            state.exchange = state.last_response = Exchange(None, response)
        return response.complete

    def _may_retry(self, call: ServiceCall) -> bool:
        if call.body.content is None or now_ms() >= call.deadline_ms:
            return False
        with self.lock:
            allowed = self._retry_budget(call).try_take()
        if allowed:
            self.runtime.metrics.count_retry("request")
        return allowed

    def _retry_budget(self, call: ServiceCall) -> RetryBudget:
        share = self.runtime.settings.requests.retry_share
        key = (call.team, call.service)
        return self.retry_budgets.setdefault(key, RetryBudget(share))

    def _admit(self, call: ServiceCall, avoid: tuple[str, ...]) -> api.Grant:
        sent_ms = now_ms()
        body = api.AdmitRequest(
            call.request_id,
            call.team,
            call.service,
            call.deadline_ms,
            call.idempotent,
            avoid,
            self.runtime.settings.member_id,
            call.work_class,
        )
        remaining_s = max(0, call.deadline_ms - sent_ms) / 1000
        result = self.runtime.ask(body, remaining_s + 1.0)
        if isinstance(result, api.Fault):
            raise RefusedError(result)
        waited_ms = now_ms() - sent_ms
        self.runtime.metrics.observe_queue(call.team, call.service, waited_ms)
        if now_ms() >= min(result.use_before_ms, call.deadline_ms):
            self._finish(result, "unused", 0)
            detail = "slot granted too late"
            raise RefusedError(api.Fault("not_run", Reason.DEADLINE, detail, 50))
        return result

    def _send(self, call: ServiceCall, grant: api.Grant) -> EndpointResponse:
        request = OutgoingRequest(
            call.method, call.target, call.headers, call.body, call.deadline_ms
        )
        fresh = not call.idempotent or grant.idle_connections < 1
        return self.client.send(grant, request, MAX_BUFFERED_BODY_BYTES, fresh)

    def _finish(self, grant: api.Grant, result: str, latency_ms: float) -> None:
        self.runtime.notify(
            api.FinishRequest(
                grant.request_id, grant.shard, grant.worker_id, latency_ms, result
            )
        )

    # --- response -------------------------------------------------------------------

    def _respond(
        self, call: ServiceCall, exchange: Exchange, stack: contextlib.ExitStack
    ) -> CallerResponse:
        response = exchange.response
        headers = list(response.headers)
        bodiless = call.method == "HEAD" or response.status in BODILESS_STATUSES
        if response.complete:
            self._record_response(call, exchange)
            if not bodiless:
                headers = [h for h in headers if h[0].lower() != "content-length"]
                headers.append(("Content-Length", str(len(response.buffered))))
            chunks = iter([response.buffered])
        else:
            # Closing the generator releases the slot, also if the caller disconnects.
            chunks = self._stream(call, exchange)
            stack.callback(chunks.close)
        return CallerResponse(response.status, response.reason, headers, chunks)

    def _stream(self, call: ServiceCall, exchange: Exchange) -> Iterator[bytes]:
        """Yield the body of a response.

        :raises ExchangeBrokenError: if the body is truncated; the server then closes
            the connection, so that the caller sees an incomplete body.
        """
        result = "unknown"
        try:
            yield exchange.response.buffered
            yield from exchange.response.remaining
            result = "ok"
        except GeneratorExit:
            result = "unused"
            raise
        finally:
            exchange.response.remaining.close()
            if result == "ok":
                self._record_response(call, exchange)
            else:
                self._finish(exchange.grant, result, 0)

    def _report_response(self, exchange: Exchange) -> bool:
        """Release the slot; return whether the response counts as a success."""
        response = exchange.response
        success = response.status < 500 and response.status != 429
        if exchange.grant is not None:
            result = "ok" if success else "failed"
            self._finish(exchange.grant, result, response.waited_ms)
        return success

    def _record_response(self, call: ServiceCall, exchange: Exchange) -> None:
        if self._report_response(exchange):
            with self.lock:
                self._retry_budget(call).record_success()


def _is_takeover_refusal(refused: RefusedError) -> bool:
    """Return whether nothing was dispatched and a shard may soon have a new owner."""
    fault = refused.fault
    not_dispatched = fault.code == "not_run" or isinstance(refused, KeyNotClaimedError)
    return not_dispatched and fault.reason in TAKEOVER_REASONS
