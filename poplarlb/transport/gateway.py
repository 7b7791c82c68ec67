"""The flow of one request to a service: claim, admit, send, finish.

Runs on the server's threads as a WSGI application of its own, so that bodies
pass through in pieces.
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
    WHOLE_BODY_BYTES,
    BufferBudget,
    buffered,
)
from poplarlb.transport.endpoints import (
    NO_BODY_STATUS,
    BrokenError,
    EndpointAnswer,
    EndpointClient,
    OutgoingRequest,
    UnsentError,
)
from poplarlb.transport.key_calls import KeyCalls, UnclaimedError
from poplarlb.transport.limits import REQUEST_KEY
from poplarlb.transport.operators import RateLimit
from poplarlb.transport.replies import Exchange, Reply, Tries, busy, refuse
from poplarlb.transport.runtime import Runtime, now_ms
from poplarlb.transport.service_calls import (
    ServiceCall,
    parse_call,
    parse_target,
)

BUFFER_BYTES = 64 << 20
RESERVED_THREADS = 2
RETRIED_STATUS = frozenset({429, 502, 503, 504})
MOVE_PATIENCE_MS = 3_000
MOVE_STEP_MS = 200
MOVE_WAITERS = 8
MOVING = frozenset({Reason.NO_OWNER, Reason.NO_SECOND, Reason.KEY_UNCERTAIN})


@define
class ServiceGateway:
    """The WSGI application under ``/v1/services``.

    :param runtime: answers the calls to owners.
    """

    runtime: Runtime
    client: EndpointClient = Factory(EndpointClient)
    buffers: BufferBudget = Factory(lambda: BufferBudget(BUFFER_BYTES))
    budgets: dict[tuple[str, str], RetryBudget] = Factory(dict)
    numbers: Iterator[int] = Factory(lambda: itertools.count(1))
    rate: RateLimit = field(init=False)
    places: int = field(init=False)
    started_ms: int = Factory(now_ms)
    lock: threading.Lock = Factory(threading.Lock)
    keys: KeyCalls = field(init=False)
    waiters: threading.Semaphore = Factory(lambda: threading.Semaphore(MOVE_WAITERS))

    def __attrs_post_init__(self) -> None:
        """Take the limits from the settings."""
        self.keys = KeyCalls(self.runtime)
        settings = self.runtime.settings.api
        per_s = settings.requests_per_s
        self.rate = RateLimit(per_s, per_s, per_s)
        self.places = max(1, settings.threads - RESERVED_THREADS)

    def __call__(self, environ: dict, start_response: Callable) -> Iterator[bytes]:
        """Answer one request."""
        request = environ[REQUEST_KEY]
        began_ms = now_ms()
        request_id = self._make_id()
        names = ("", "")
        with contextlib.ExitStack() as stack:
            try:
                self._enter(stack)
                call = self._parse(environ, request_id, began_ms)
                names = (call.team, call.service)
                if not stack.enter_context(buffered(self.buffers, call.body)):
                    raise RefusedError(busy("too many bodies are being read"))
                reply = self._serve(call, stack)
            except PoplarlbError as error:
                # What is left of the body is not worth waiting for.
                request.close_connection = True
                reply = refuse(error)
            except Exception:
                logger.exception("request {} failed", request_id)
                request.close_connection = True
                reply = refuse(PoplarlbError("an unexpected error"))
            reply.headers.append(("Poplarlb-Request-Id", request_id))
            latency_ms = now_ms() - began_ms
            self.runtime.metrics.observe_request(*names, reply.result, latency_ms)
            start_response(f"{reply.status} {reply.reason}", reply.headers)
            yield from reply.chunks

    def _make_id(self) -> str:
        member = self.runtime.settings.member_id
        return f"{member}-{self.started_ms:x}-{next(self.numbers)}"

    def _enter(self, stack: contextlib.ExitStack) -> None:
        """Take a place among the requests in flight, or refuse at once."""
        if not self.rate.take(now_ms()):
            raise RateLimitedError("too many requests a second")
        with self.lock:
            if self.places <= 0:
                raise RefusedError(busy("every thread is in use"))
            self.places -= 1
        stack.callback(self._leave)

    def _leave(self) -> None:
        with self.lock:
            self.places += 1

    # --- parsing --------------------------------------------------------------------

    def _parse(self, environ: dict, request_id: str, began_ms: int) -> ServiceCall:
        team, service, rest = parse_target(environ["REQUEST_URI"])
        template = self._find_template(team, service)
        return parse_call(
            environ[REQUEST_KEY],
            (team, service, rest),
            template,
            self.runtime.settings.requests,
            request_id,
            began_ms,
        )

    def _find_template(self, team: str, service: str):
        if not self.runtime.started.is_set():
            raise RefusedError(busy("the daemon is starting"))
        view = self.runtime.node.context.view
        template = view.service(team, service)
        if template is None and view.version == 0:
            raise RefusedError(busy("the configuration is not known yet"))
        if template is None:
            raise NotFoundError(f"no service {service} of team {team}")
        return template

    # --- the flow -------------------------------------------------------------------

    def _serve(self, call: ServiceCall, stack: contextlib.ExitStack) -> Reply:
        whole = call.body.read_whole(WHOLE_BODY_BYTES)
        if call.key and not whole:
            limit = WHOLE_BODY_BYTES
            raise BadRequestError(f"with a key a body has at most {limit} bytes")
        until_ms = min(call.deadline_ms, now_ms() + MOVE_PATIENCE_MS)
        while True:
            try:
                return self._serve_once(call, stack)
            except RefusedError as refused:
                if not _is_moving(refused) or not self._wait_for_owner(until_ms):
                    raise
            # A new id, so that nothing late of this try can touch the next one.
            call = evolve(call, request_id=self._make_id())

    def _serve_once(self, call: ServiceCall, stack: contextlib.ExitStack) -> Reply:
        if call.key:
            return self._serve_keyed(call, stack)
        return self._reply(call, self._exchange(call), stack)

    def _wait_for_owner(self, until_ms: int) -> bool:
        """Wait a moment for a shard's next owner; only a few threads may."""
        if now_ms() + MOVE_STEP_MS >= until_ms:
            return False
        if not self.waiters.acquire(blocking=False):
            return False
        try:
            time.sleep(MOVE_STEP_MS / 1000)
        finally:
            self.waiters.release()
        return True

    def _serve_keyed(self, call: ServiceCall, stack: contextlib.ExitStack) -> Reply:
        claim = self.keys.claim(call)
        if isinstance(claim, api.KeyAnswered):
            headers = [*claim.headers, ("Poplarlb-Replayed", "true")]
            return Reply(claim.status, "Replayed", headers, iter([claim.body]))
        used = True
        outcome = None
        try:
            exchange = self._exchange(call)
            if exchange.answer.whole:
                outcome = exchange.answer
        except RefusedError as error:
            used = error.fault.code != "not_run"
            raise
        finally:
            self.keys.finish(call, used, outcome)
        return self._reply(call, exchange, stack)

    def _exchange(self, call: ServiceCall) -> Exchange:
        """Return an endpoint's answer, after retries where nothing can run twice.

        :raises RefusedError: "not run" if no endpoint got a byte, and else
            "outcome unknown".
        """
        tries = Tries()
        while True:
            try:
                grant = self._admit(call, tries.avoid)
            except RefusedError as refused:
                return tries.settle(refused.fault)
            again = self._try_endpoint(call, grant, tries)
            if tries.exchange is not None and not again:
                return tries.exchange
            if not again or not self._may_retry(call):
                return tries.settle(tries.fault)
            tries.avoid = (*tries.avoid, grant.worker_id)

    def _try_endpoint(self, call: ServiceCall, grant: api.Grant, tries: Tries) -> bool:
        """Send to one endpoint; tells whether another try can do no harm."""
        tries.exchange = None
        try:
            answer = self._send(call, grant)
        except UnsentError as error:
            self._finish(grant, "unsent", 0)
            tries.note_unsent(f"the endpoint can't be reached: {error}")
            return True
        except BrokenError as error:
            self._finish(grant, "unknown", 0)
            tries.note_broken(f"the exchange broke off: {error}")
            return call.idempotent
        except BaseException:
            self._finish(grant, "unused", 0)
            raise
        tries.exchange = Exchange(grant, answer)
        if not call.idempotent or answer.status not in RETRIED_STATUS:
            return False
        if answer.whole:
            self._finish_answer(tries.exchange)
            tries.exchange = tries.answered = Exchange(None, answer)
        return answer.whole

    def _may_retry(self, call: ServiceCall) -> bool:
        if call.body.whole is None or now_ms() >= call.deadline_ms:
            return False
        with self.lock:
            allowed = self._budget_of(call).take()
        if allowed:
            self.runtime.metrics.count_retry("request")
        return allowed

    def _budget_of(self, call: ServiceCall) -> RetryBudget:
        share = self.runtime.settings.requests.retry_share
        key = (call.team, call.service)
        return self.budgets.setdefault(key, RetryBudget(share))

    def _admit(self, call: ServiceCall, avoid: tuple[str, ...]) -> api.Grant:
        began_ms = now_ms()
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
        left_s = max(0, call.deadline_ms - began_ms) / 1000
        result = self.runtime.ask(body, left_s + 1.0)
        if isinstance(result, api.Fault):
            raise RefusedError(result)
        waited_ms = now_ms() - began_ms
        self.runtime.metrics.observe_queue(call.team, call.service, waited_ms)
        if now_ms() >= min(result.use_before_ms, call.deadline_ms):
            self._finish(result, "unused", 0)
            detail = "the slot came too late"
            raise RefusedError(api.Fault("not_run", Reason.DEADLINE, detail, 50))
        return result

    def _send(self, call: ServiceCall, grant: api.Grant) -> EndpointAnswer:
        request = OutgoingRequest(
            call.method, call.target, call.headers, call.body, call.deadline_ms
        )
        fresh = not call.idempotent or grant.idle_connections < 1
        return self.client.send(grant, request, WHOLE_BODY_BYTES, fresh)

    def _finish(self, grant: api.Grant, result: str, latency_ms: float) -> None:
        self.runtime.tell(
            api.FinishRequest(
                grant.request_id, grant.shard, grant.worker_id, latency_ms, result
            )
        )

    # --- the answer -----------------------------------------------------------------

    def _reply(
        self, call: ServiceCall, exchange: Exchange, stack: contextlib.ExitStack
    ) -> Reply:
        answer = exchange.answer
        headers = list(answer.headers)
        bodiless = call.method == "HEAD" or answer.status in NO_BODY_STATUS
        if answer.whole:
            self._note_answer(call, exchange)
            if not bodiless:
                headers = [h for h in headers if h[0].lower() != "content-length"]
                headers.append(("Content-Length", str(len(answer.first))))
            chunks = iter([answer.first])
        else:
            # Closing it gives the slot back, also if the caller goes away.
            chunks = self._stream(call, exchange)
            stack.callback(chunks.close)
        return Reply(answer.status, answer.reason, headers, chunks)

    def _stream(self, call: ServiceCall, exchange: Exchange) -> Iterator[bytes]:
        """Yield an answer's body; raises when it is cut short.

        The server then closes the connection without the end of the body.
        """
        result = "unknown"
        try:
            yield exchange.answer.first
            yield from exchange.answer.rest
            result = "ok"
        except GeneratorExit:
            result = "unused"
            raise
        finally:
            exchange.answer.rest.close()
            if result == "ok":
                self._note_answer(call, exchange)
            else:
                self._finish(exchange.grant, result, 0)

    def _finish_answer(self, exchange: Exchange) -> bool:
        """Give the slot back; tells whether the answer was a good one."""
        answer = exchange.answer
        good = answer.status < 500 and answer.status != 429
        if exchange.grant is not None:
            result = "ok" if good else "failed"
            self._finish(exchange.grant, result, answer.waited_ms)
        return good

    def _note_answer(self, call: ServiceCall, exchange: Exchange) -> None:
        if self._finish_answer(exchange):
            with self.lock:
                self._budget_of(call).note_success()


def _is_moving(refused: RefusedError) -> bool:
    """Tell whether a shard may have a new owner soon, and nothing was dispatched."""
    fault = refused.fault
    undone = fault.code == "not_run" or isinstance(refused, UnclaimedError)
    return undone and fault.reason in MOVING
