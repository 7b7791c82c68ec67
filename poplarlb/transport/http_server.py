"""An asyncio HTTP/1.1 server with limits on what a client may send.

Used instead of CherryPy, which serves the APIs of ``callers`` and ``operators``: its
threads take more processor time and memory than the users' hosts have
(``docs/design/platform.md``).
"""

import asyncio
import itertools
import socket
from collections.abc import Awaitable, Callable

import httptools
from attrs import Factory, define, field, frozen

from poplarlb.transport.client_budget import ClientBudget, ClientHolding
from poplarlb.transport.read_turns import ReadTurns

READ_BYTES = 16_384  # read from one connection at once
MAX_READ_STEPS = 256  # callbacks of the parser in one read; more wait for a turn
# The longest a parser may go on without returning anything, as a multiple of a head's
# limit: each header of one character takes four bytes, and only one counts.
UNPARSED_FACTOR = 4
# What the process holds, in bytes:
CONNECTION_BYTES = 8_000  # for a connection, its parser and its timer
HEADER_BYTES = 250  # for a header, besides its text
REQUEST_BYTES = 1_000  # for a request, besides its text
HANDLED_FACTOR = 8  # of a body that is decoded, stored and sent on
FRAMING_HEADERS = frozenset({b"content-length", b"expect"})

PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@frozen
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""


@frozen
class HttpResponse:
    """A response; ``retry_after_s`` of 0 sends no ``Retry-After`` header."""

    status: int
    body: bytes = b""
    retry_after_s: int = 0
    content_type: str = "application/json"


@define
class HttpLimits:
    """Limits on a client, in bytes and seconds; replaced when settings change.

    ``header_timeout_s`` limits the arrival of a whole request, headers and body;
    ``idle_timeout_s`` the wait for the next request, and for a response to be read.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@define
class HttpServer:
    """Serves one address with ``handler``, which returns the response to a request.

    ``answer_rejection`` returns the response to a request that is malformed, exceeds
    a limit or finds no room, from the status that this has by itself. ``budget`` may
    be shared with other servers. ``kept_headers`` names the headers, in lower case,
    that requests keep; ``None`` for all, and ``kept_names`` are these and those that
    frame a message, as they are received. ``on_limit`` is called with the name of a
    limit that a request exceeds. All connections are read into ``read_buffer``.
    """

    handler: Handler
    limits: HttpLimits = Factory(HttpLimits)
    answer_rejection: Callable[[int], HttpResponse] = HttpResponse
    budget: ClientBudget = Factory(ClientBudget)
    kept_headers: frozenset[str] | None = None
    on_limit: Callable[[str], None] = lambda limit: None
    draining: bool = False
    connections: set = Factory(set)
    listener: asyncio.Server | None = None
    turns: ReadTurns = Factory(ReadTurns)
    kept_names: frozenset[bytes] | None = field(init=False, default=None)
    read_buffer: memoryview = Factory(lambda: memoryview(bytearray(READ_BYTES)))

    def __attrs_post_init__(self) -> None:
        """Encode the names of the headers that requests keep, and that frame them."""
        if self.kept_headers is not None:
            names = (name.encode("latin-1") for name in self.kept_headers)
            self.kept_names = FRAMING_HEADERS.union(names)

    async def start(self, address: str) -> None:
        """Listen on ``HOST:PORT``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            int(port),
            backlog=self.budget.limits.accepts,
        )
        # What the kernel holds for a connection that isn't read has the same limit.
        for listening in self.listener.sockets:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)

    @property
    def active_requests(self) -> int:
        """The number of requests whose handler has not returned a response."""
        return sum(1 for item in self.connections if item.task is not None)

    def drain(self) -> None:
        """Have every connection closed after its next response."""
        self.draining = True

    def close(self) -> None:
        """Stop listening and close idle connections."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close_if_idle()


@define
class ReceivedMessage:
    """The part of a request that has been received.

    ``header_size`` is that of the target and all headers as text, ``kept_bytes`` what
    the kept ones take.
    """

    url: bytes = b""
    headers: dict[str, str] = Factory(dict)
    header_size: int = 0
    kept_bytes: int = 0
    body: bytearray = Factory(bytearray)
    headers_complete: bool = False

    @property
    def held_bytes(self) -> int:
        """What the message takes; a growing body has an eighth in reserve."""
        return self.kept_bytes + len(self.url) + len(self.body) * 9 // 8


class ServerConnection(asyncio.BufferedProtocol):
    """A client's connection; requests are handled in order, one at a time.

    ``message`` is the request that is being received, if ``receiving``; ``backlog``
    holds those that wait, each with whether the connection is kept after it, and
    ``task`` runs the handler of the one in progress, from ``handling`` on.
    ``rejection`` is the status that follows the last of them and ends the connection.
    ``timer`` is the running timeout. ``unparsed_bytes`` were received since the parser
    last returned a part of a body or a whole head; ``progressed`` says whether it did
    during this read, and ``steps`` counts its callbacks.
    """

    def __init__(self, server: HttpServer) -> None:
        """Create a connection that has no transport yet."""
        self.server = server
        self.transport = None
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.holding: ClientHolding | None = None
        self.message: ReceivedMessage | None = None
        self.receiving = False
        self.backlog: list[tuple[HttpRequest, bool]] = []
        self.backlog_bytes = 0
        self.handling = False
        self.handled_bytes = 0
        self.rejection = 0
        self.writable = True
        self.paused = False
        self.waits_for_turn = False
        self.unparsed_bytes = 0
        self.progressed = False
        self.steps = 0
        self.parser = httptools.HttpRequestParser(self)

    # --- asyncio ----------------------------------------------------------------------

    def connection_made(self, transport) -> None:
        """Count the connection and start the idle timeout until the first request."""
        self.transport = transport
        self.server.connections.add(self)
        self._start_idle_timer()
        opened_s = now_s()
        self.holding = ClientHolding(self.shed, opened_s, CONNECTION_BYTES)
        self.server.budget.add(self.holding, opened_s)

    def connection_lost(self, error) -> None:
        """Unregister the connection; a running handler completes."""
        self.transport = None
        self._stop_timer()
        self._drop_unhandled()
        self.server.connections.discard(self)
        if self.holding is None:
            return
        if self.handling:
            budget = self.server.budget
            budget.resize(self.holding, 0, self.holding.handled_bytes)
        else:
            self._remove_holding()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share, as data is parsed at once."""
        return self.server.read_buffer

    def buffer_updated(self, count: int) -> None:
        """Pass the data to the parser; reject malformed data with status 400."""
        if self.closing or self.rejection:
            return
        self.progressed = False
        self.steps = 0
        try:
            self.parser.feed_data(self.server.read_buffer[:count])
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(400)
        if self.closing:
            return
        self._count_unparsed(count)
        self._update_holding()
        self._enforce_budget()
        if self.steps > MAX_READ_STEPS:
            self.waits_for_turn = True
            self.server.turns.wait(self._take_turn)
        self._update_reading()

    def pause_writing(self) -> None:
        """Handle no further request until the client has read its responses."""
        self.writable = False

    def resume_writing(self) -> None:
        """Handle the next request."""
        self.writable = True
        self._continue()

    # --- httptools --------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start the timeout for the whole request."""
        self.message = ReceivedMessage()
        self.receiving = True
        self.holding.since_s = now_s()
        self._start_timer(self.server.limits.header_timeout_s, self._time_out)

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        message = self.message
        message.url += url
        message.header_size += len(url)
        if message.header_size > self.server.limits.header_bytes:
            self._reject(431, "header_bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header, unless it is a trailer or isn't kept."""
        self.steps += 1
        message, kept = self.message, self.server.kept_names
        size = len(name) + len(value)
        message.header_size += size
        if message.header_size > self.server.limits.header_bytes:
            self._reject(431, "header_bytes")
        elif not message.headers_complete:
            name = name.lower()
            if kept is None or name in kept:
                message.headers[name.decode("latin-1")] = value.decode("latin-1")
                message.kept_bytes += HEADER_BYTES + size

    def on_headers_complete(self) -> None:
        """Reject a body whose declared length is too large before it arrives."""
        self.progressed = True
        self.message.headers_complete = True
        if self.closing or self.rejection:
            return
        headers = self.message.headers
        declared = headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > self.server.limits.body_bytes:
            self._reject(413, "body_bytes")
        elif headers.get("expect", "").lower() == "100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.steps += 1
        self.progressed = True
        if self.closing or self.rejection:
            return
        if len(self.message.body) + len(body) > self.server.limits.body_bytes:
            self._reject(413, "body_bytes")
            return
        self.message.body += body

    def on_message_complete(self) -> None:
        """Handle the request, or queue it behind the one in progress."""
        self.steps += 1
        self.progressed = True
        if self.closing or self.rejection:
            return
        self._stop_timer()
        message, self.message = self.message, None
        self.receiving = False
        request = HttpRequest(
            self.parser.get_method().decode("latin-1"),
            message.url.decode("latin-1"),
            message.headers,
            bytes(message.body),
        )
        self.backlog.append((request, self.parser.should_keep_alive()))
        self.backlog_bytes += REQUEST_BYTES + message.held_bytes
        self._handle_next()
        if not self.handling:
            self._continue()

    # --- responses --------------------------------------------------------------------

    def _handle_next(self) -> None:
        """Handle waiting requests until one is in progress."""
        while self.backlog and self.writable and not self.handling and not self.closing:
            request, keep_alive = self.backlog.pop(0)
            self.backlog_bytes -= min(self.backlog_bytes, REQUEST_BYTES)
            if not self.backlog:
                self.backlog_bytes = 0
            self._handle(request, keep_alive)

    def _handle(self, request: HttpRequest, keep_alive: bool) -> None:
        self.handling = True
        text = itertools.chain((request.path,), request.headers.values())
        self.handled_bytes = (
            REQUEST_BYTES + HANDLED_FACTOR * len(request.body) + sum(map(len, text))
        )
        budget = self.server.budget
        if budget.used_bytes + self.handled_bytes > budget.limits.memory_bytes:
            self._update_holding()
            self._enforce_budget()
        exceeded = budget.find_exceeded()
        if exceeded:
            self.server.on_limit(exceeded)
            self._respond(self.server.answer_rejection(503), keep_alive)
            return
        budget.handled += 1
        self.task = asyncio.ensure_future(self.server.handler(request))
        self.task.add_done_callback(lambda task: self._finish(task, keep_alive))

    def _finish(self, task: asyncio.Task, keep_alive: bool) -> None:
        """Send the response of a handler and go on with the next request."""
        self.task = None
        self.server.budget.handled -= 1
        if self.transport is None:
            self._remove_holding()
        if task.cancelled() or self.transport is None:
            return
        error = task.exception()
        response = task.result() if error is None else HttpResponse(500)
        if error is not None:
            asyncio.get_running_loop().call_exception_handler(
                {"message": "a request handler failed", "exception": error}
            )
        self._respond(response, keep_alive)
        self._continue()

    def _respond(self, response: HttpResponse, keep_alive: bool) -> None:
        self.handling = False
        self.handled_bytes = 0
        self.holding.since_s = now_s()
        keep_alive = keep_alive and not self.server.draining
        self.transport.write(format_response(response, keep_alive))
        if not keep_alive:
            self._close()
            self._update_holding()

    def _continue(self) -> None:
        """Go on after a response was sent or has been read."""
        self._handle_next()
        if self.closing:
            return
        if not self.handling and not self.backlog and self.rejection:
            self._reject(self.rejection)
            return
        if not self.handling and (self.rejection or not self.receiving):
            self._start_idle_timer()
        self._update_holding()
        self._update_reading()

    # --- the end of a connection ------------------------------------------------------

    @property
    def closing(self) -> bool:
        """Whether no further request is read."""
        return self.transport is None or self.transport.is_closing()

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if not self.handling and self.transport is not None:
            self._close()

    def shed(self) -> None:
        """Release what the connection holds but for the request in progress."""
        if self.transport is None:
            return
        if self.handling:
            self._drop_unhandled()
            self._reject(503)
            self._update_holding()
            self._update_reading()
            return
        self._remove_holding()
        if self.receiving and not self.transport.get_write_buffer_size():
            self._drop_unhandled()
            self._reject(503)
        else:
            self.transport.abort()

    def _remove_holding(self) -> None:
        self.server.budget.remove(self.holding)
        self.holding = None

    def _reject(self, status: int, limit: str = "") -> None:
        """End the connection with an error, after the requests before it."""
        self._stop_timer()
        if self.closing:
            return
        if limit:
            self.server.on_limit(limit)
        if self.handling or self.backlog:
            self.rejection = status
            if not self.handling:
                self._start_idle_timer()
            return
        rejection = self.server.answer_rejection(status)
        self.transport.write(format_response(rejection, keep_alive=False))
        self._close()

    def _close(self) -> None:
        """Close the connection once the client has read its responses."""
        self.transport.close()
        if self.transport.get_write_buffer_size():
            self._start_timer(self.server.limits.idle_timeout_s, self.transport.abort)

    def _close_idle(self) -> None:
        if self.transport.get_write_buffer_size():
            self.server.on_limit("idle_timeout_s")
            self.transport.abort()
        else:
            self._close()

    def _time_out(self) -> None:
        """Reject a request that isn't complete, unless its reading was paused."""
        if self.handling:
            self._start_timer(self.server.limits.header_timeout_s, self._time_out)
        else:
            self._reject(408, "header_timeout_s")

    def _drop_unhandled(self) -> None:
        """Drop all but the request in progress; the connection reads no others."""
        self.backlog.clear()
        self.backlog_bytes = 0
        self.message = None
        self.receiving = False
        self.unparsed_bytes = 0
        self.parser = None

    # --- limits -----------------------------------------------------------------------

    def _count_unparsed(self, count: int) -> None:
        """Reject a message of which the parser returns nothing for too long."""
        if self.progressed:
            self.unparsed_bytes = count if self.receiving else 0
        else:
            self.unparsed_bytes += count
        limit = UNPARSED_FACTOR * self.server.limits.header_bytes + READ_BYTES
        if self.unparsed_bytes > limit:
            is_head = self.receiving and not self.message.headers_complete
            self._reject(431 if is_head else 400, "unparsed_bytes")

    def _update_holding(self) -> None:
        """Count what the connection holds now, unless it is lost or shed."""
        if self.holding is None:
            return
        held_bytes = (
            self.backlog_bytes
            + self.unparsed_bytes
            + self.transport.get_write_buffer_size()
        )
        if self.receiving:
            held_bytes += self.message.held_bytes
        if self.handling:
            handled_bytes = CONNECTION_BYTES + self.handled_bytes
            self.server.budget.resize(self.holding, held_bytes, handled_bytes)
        else:
            self.server.budget.resize(self.holding, CONNECTION_BYTES + held_bytes, 0)

    def _take_turn(self) -> None:
        self.waits_for_turn = False
        self._update_reading()

    def _enforce_budget(self) -> None:
        budget = self.server.budget
        if budget.is_exceeded:
            budget.enforce(now_s())

    def _update_reading(self) -> None:
        """Read, unless the connection has requests to handle or waits for its turn."""
        paused = bool(
            self.waits_for_turn
            or self.rejection
            or not self.writable
            or (self.handling and (self.backlog or self.receiving))
        )
        if paused == self.paused or self.closing:
            return
        self.paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _start_idle_timer(self) -> None:
        self._start_timer(self.server.limits.idle_timeout_s, self._close_idle)

    def _start_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        self.timer = asyncio.get_running_loop().call_later(delay_s, action)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def now_s() -> float:
    """Return the time on the event loop's clock."""
    return asyncio.get_running_loop().time()


def format_response(response: HttpResponse, keep_alive: bool) -> bytes:
    """Return the encoded response."""
    lines = [
        f"HTTP/1.1 {response.status} {PHRASES.get(response.status, 'Unknown')}",
        f"Content-Length: {len(response.body)}",
    ]
    if response.body:
        lines.append(f"Content-Type: {response.content_type}")
    if response.retry_after_s:
        lines.append(f"Retry-After: {response.retry_after_s}")
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode() + response.body
