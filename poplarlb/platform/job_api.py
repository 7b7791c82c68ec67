"""The HTTP API for submitters of jobs, in the platform's wire format."""

import asyncio
from collections.abc import Awaitable, Callable

import orjson
from attrs import define

from poplarlb.event_log import EventLog
from poplarlb.exceptions import (
    BadAnswerError,
    BadRequestError,
    CallUnansweredError,
    StoreRefusedError,
)
from poplarlb.platform.wire import decode_job, is_job_id
from poplarlb.state.jobs import ConfigStamp, OperatorConfig, QueueConfig
from poplarlb.transport.http_server import HttpRequest, HttpResponse
from poplarlb.transport.job_gateway import JobGateway, WriteResult
from poplarlb.transport.job_owner import utc_ms

DEADLINE_HEADER = "x-poplarlb-deadline-ms"
KEPT_HEADERS = frozenset(("host", DEADLINE_HEADER))  # others aren't used
DEFAULT_TIMEOUT_S = 3.0  # callers without a deadline header wait this long
MAX_TIMEOUT_S = 60.0
ERROR_STATUSES = frozenset((400, 405, 503, 504))  # logged; 404 and 410 are regular
MAX_SHOWN = 200  # characters of a caller's text in a log line
RETRY_AFTER_S = 1  # the end of an outage is detected within half a second


@define(eq=False)
class JobApi:
    """Handles submissions and cancellations of jobs, and queries of states and counts.

    Without a configuration, or if a newer one may be in force, every request is refused
    with 503.

    :param confirm_config: reads the configuration again if it is too old to decide by.
    :param stamp_config: returns what is known of the configuration in force.
    """

    gateway: JobGateway
    log: EventLog
    confirm_config: Callable[[], Awaitable[None]]
    stamp_config: Callable[[], ConfigStamp]
    config: OperatorConfig | None = None

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request, count it in the metrics, and log an error status."""
        started_s = asyncio.get_running_loop().time()
        await self.confirm_config()
        stamp = self.stamp_config()
        if stamp.is_current:
            response = await self._respond(request, stamp)
        else:
            response = refuse_outdated()
        took_s = asyncio.get_running_loop().time() - started_s
        self.log.metrics.count_request(request.method, response.status, took_s)
        self.log.metrics.view_ages.observe(stamp.age_ms / 1000)
        if response.status in ERROR_STATUSES:
            self._log_refusal(response, stamp, request.method, request.path, took_s)
        elif response.status == 404:
            self.log.write(
                "queue_unknown",
                method=request.method,
                path=request.path[:MAX_SHOWN],
                host=request.headers.get("host", "")[:MAX_SHOWN],
                **stamp.log_fields(),
            )
        return response

    def reject(self, status: int) -> HttpResponse:
        """Return and log the answer to a request that the server doesn't read whole.

        Its limits are the configuration's, so an outdated one rejects nothing.

        :param status: that of the limit it exceeds, 400 if it isn't HTTP, or 503 if
            there is no room for it.
        """
        stamp = self.stamp_config()
        if not stamp.is_current:
            response = refuse_outdated()
        elif status == 503:
            error = encode_error("the daemon has no room for this request")
            response = HttpResponse(503, error, RETRY_AFTER_S)
        else:
            response = HttpResponse(status)
        self._log_refusal(response, stamp, "", "", 0.0)
        return response

    def _log_refusal(
        self,
        response: HttpResponse,
        stamp: ConfigStamp,
        method: str,
        path: str,
        took_s: float,
    ) -> None:
        self.log.write(
            "request_refused",
            method=method,
            path=path[:MAX_SHOWN],
            status=response.status,
            held_ms=int(took_s * 1000),
            error=response.body.decode("utf-8", "replace"),
            **stamp.log_fields(),
        )

    async def _respond(self, request: HttpRequest, stamp: ConfigStamp) -> HttpResponse:
        try:
            return await self._route(request, stamp)
        except BadRequestError as error:
            return HttpResponse(400, encode_error(error.detail))
        except StoreRefusedError as error:
            return HttpResponse(503, encode_error(error.detail), RETRY_AFTER_S)
        except (CallUnansweredError, BadAnswerError) as error:
            return HttpResponse(504, encode_error(error.detail))

    async def _route(self, request: HttpRequest, stamp: ConfigStamp) -> HttpResponse:
        path = request.path.partition("?")[0]
        host = request.headers.get("host", "").partition(":")[0]
        queue = self.config.find_queue(host, path)
        if queue is None:
            return HttpResponse(404)
        if queue.fault:
            return HttpResponse(503, encode_error(queue.fault), RETRY_AFTER_S)
        name = path[len(queue.prefix) :]
        match request.method:
            case "GET" if not name:
                return await self._answer_count(queue)
            case "GET":
                return await self._answer_state(queue, name)
            case "POST":
                return await self._submit(queue, name, request, stamp)
            case "DELETE":
                return await self._cancel(name, request, stamp)
        return HttpResponse(405)

    async def _answer_count(self, queue: QueueConfig) -> HttpResponse:
        count = await self.gateway.count_waiting(queue.name)
        return HttpResponse(200, orjson.dumps({"waiting": count}))

    async def _answer_state(self, queue: QueueConfig, name: str) -> HttpResponse:
        if not is_job_id(name):
            return HttpResponse(410)
        configured = self.config.queues_by_name
        state = await self.gateway.read_state(name, queue.name, configured)
        if state is None:
            return HttpResponse(410)
        return HttpResponse(200, orjson.dumps({"state": state}))

    async def _submit(
        self, queue: QueueConfig, name: str, request: HttpRequest, stamp: ConfigStamp
    ) -> HttpResponse:
        if not is_job_id(name):
            raise BadRequestError("the job's id is not 16 hexadecimal digits")
        spec = decode_job(request.body, name, queue, utc_ms())
        return response_to_write(
            await self.gateway.submit(spec, caller_timeout_s(request), stamp)
        )

    async def _cancel(
        self, name: str, request: HttpRequest, stamp: ConfigStamp
    ) -> HttpResponse:
        if not is_job_id(name):
            return HttpResponse(410)
        result = await self.gateway.cancel(name, caller_timeout_s(request), stamp)
        return HttpResponse(410) if result is None else response_to_write(result)


def caller_timeout_s(request: HttpRequest) -> float:
    """Return how long the caller of a request waits for the response."""
    text = request.headers.get(DEADLINE_HEADER, "")
    if not (text.isascii() and text.isdigit()):
        return DEFAULT_TIMEOUT_S
    return min(float(text) / 1000, MAX_TIMEOUT_S)


def response_to_write(result: WriteResult) -> HttpResponse:
    """Return the response to a write: 503 if refused, 504 if ambiguous.

    A job that was cancelled before is refused for good, so no retry is asked for.
    """
    match result:
        case WriteResult.STORED:
            return HttpResponse(200)
        case WriteResult.CANCELLED:
            return HttpResponse(503, encode_error("the job was cancelled"))
        case WriteResult.REFUSED:
            return HttpResponse(503, retry_after_s=RETRY_AFTER_S)
    return HttpResponse(504)


def refuse_outdated() -> HttpResponse:
    """Return the answer while a newer configuration may be in force."""
    error = encode_error("the configuration may be out of date")
    return HttpResponse(503, error, RETRY_AFTER_S)


def encode_error(detail: str) -> bytes:
    """Return the body of an error response."""
    return orjson.dumps({"error": detail})
