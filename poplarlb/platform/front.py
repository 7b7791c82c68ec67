"""The address that submitters of jobs call, in the platform's terms."""

import asyncio

import orjson
from attrs import define

from poplarlb.event_log import EventLog
from poplarlb.exceptions import (
    BadAnswerError,
    BadRequestError,
    CallUnansweredError,
    PoplarlbError,
    StoreRefusedError,
)
from poplarlb.platform.wire import decode_job, is_job_id
from poplarlb.state.jobs import OperatorConfig, QueueConfig
from poplarlb.transport.http_server import HttpReply, HttpRequest
from poplarlb.transport.job_gateway import JobGateway, WriteResult
from poplarlb.transport.job_owner import utc_ms

DEADLINE_HEADER = "x-poplarlb-deadline-ms"
DEFAULT_DEADLINE_S = 3.0  # the users' callers wait this long
LONGEST_DEADLINE_S = 60.0
RETRY_AFTER_S = 1  # an outage's end is noticed within half a second


@define(eq=False)
class Front:
    """Answers submissions, questions of state, cancels and counts."""

    gateway: JobGateway
    log: EventLog
    config: OperatorConfig | None = None

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one request."""
        started_s = asyncio.get_running_loop().time()
        try:
            reply = await self._route(request)
        except BadRequestError as error:
            self._refuse(request, 400, error)
            return HttpReply(400, encode_error(error.detail))
        except StoreRefusedError as error:
            self._refuse(request, 503, error)
            return HttpReply(503, retry_after_s=RETRY_AFTER_S)
        except (CallUnansweredError, BadAnswerError) as error:
            self._refuse(request, 504, error)
            return HttpReply(504)
        if reply.status not in (200, 404, 410):
            held_ms = (asyncio.get_running_loop().time() - started_s) * 1000
            self.log.write(
                "request_refused",
                method=request.method,
                path=request.path,
                status=reply.status,
                held_ms=int(held_ms),
            )
        return reply

    def _refuse(self, request: HttpRequest, status: int, error: PoplarlbError) -> None:
        self.log.write(
            "request_refused",
            method=request.method,
            path=request.path,
            status=status,
            error=error.detail,
        )

    async def _route(self, request: HttpRequest) -> HttpReply:
        if self.config is None:
            return HttpReply(503, retry_after_s=RETRY_AFTER_S)
        path = request.path.partition("?")[0]
        host = request.headers.get("host", "").partition(":")[0]
        queue = self.config.find_queue(host, path)
        if queue is None:
            return HttpReply(404)
        name = path[len(queue.prefix) :]
        match request.method:
            case "GET" if not name:
                return await self._count(queue)
            case "GET":
                return await self._tell(queue, name)
            case "POST":
                return await self._submit(queue, name, request)
            case "DELETE":
                return await self._cancel(name, request)
        return HttpReply(405)

    async def _count(self, queue: QueueConfig) -> HttpReply:
        count = await self.gateway.count_waiting(queue.name)
        return HttpReply(200, orjson.dumps({"waiting": count}))

    async def _tell(self, queue: QueueConfig, name: str) -> HttpReply:
        if not is_job_id(name):
            return HttpReply(410)
        state = await self.gateway.read_state(name, queue.name)
        if state is None:
            return HttpReply(410)
        return HttpReply(200, orjson.dumps({"state": state}))

    async def _submit(
        self, queue: QueueConfig, name: str, request: HttpRequest
    ) -> HttpReply:
        if not is_job_id(name):
            raise BadRequestError("the id is not 16 hexadecimal digits")
        spec = decode_job(request.body, name, queue, utc_ms())
        return reply_to_write(await self.gateway.submit(spec, deadline_s(request)))

    async def _cancel(self, name: str, request: HttpRequest) -> HttpReply:
        if not is_job_id(name):
            return HttpReply(410)
        result = await self.gateway.cancel(name, deadline_s(request))
        return HttpReply(410) if result is None else reply_to_write(result)


def deadline_s(request: HttpRequest) -> float:
    """Return how long the caller waits for its answer."""
    text = request.headers.get(DEADLINE_HEADER, "")
    if not text.isdigit():
        return DEFAULT_DEADLINE_S
    return min(int(text) / 1000, LONGEST_DEADLINE_S)


def reply_to_write(result: WriteResult) -> HttpReply:
    """Return what the caller is told of its write."""
    match result:
        case WriteResult.STORED:
            return HttpReply(200)
        case WriteResult.REFUSED:
            return HttpReply(503, retry_after_s=RETRY_AFTER_S)
    return HttpReply(504)


def encode_error(detail: str) -> bytes:
    """Return the body of an error."""
    return orjson.dumps({"error": detail})
