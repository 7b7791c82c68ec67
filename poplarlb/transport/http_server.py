"""An asyncio HTTP/1.1 server with limits on what a client may send.

Used instead of CherryPy, which serves the APIs of ``callers`` and ``operators``: its
threads take more processor time and memory than the users' hosts have
(``docs/design/platform.md``).
"""

import asyncio
from collections.abc import Awaitable, Callable

import httptools
from attrs import Factory, define, frozen

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
    ``idle_timeout_s`` the wait for the next request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@define
class HttpServer:
    """Serves one address with ``handler``, which returns the response to a request.

    ``answer_rejection`` returns the response to a request that is malformed or exceeds
    a limit, from the status that this has by itself.
    """

    handler: Handler
    limits: HttpLimits = Factory(HttpLimits)
    answer_rejection: Callable[[int], HttpResponse] = HttpResponse
    draining: bool = False
    connections: set = Factory(set)
    listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on ``HOST:PORT``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=512
        )

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


class ServerConnection(asyncio.Protocol):
    """A client's connection; requests are handled in order, one at a time.

    ``task`` runs the handler; ``backlog`` holds the requests that wait for it to end,
    and whether the connection is kept after each. ``timer`` is the running timeout.
    """

    def __init__(self, server: HttpServer) -> None:
        """Create a connection that has no transport yet."""
        self.server = server
        self.transport = None
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.backlog: list[tuple[HttpRequest, bool]] = []
        self._begin_message()
        self.parser = httptools.HttpRequestParser(self)

    def _begin_message(self) -> None:
        self.url = b""
        self.headers: dict[str, str] = {}
        self.header_size = 0
        self.chunks: list[bytes] = []
        self.body_size = 0

    # --- asyncio ----------------------------------------------------------------------

    def connection_made(self, transport) -> None:
        """Start the idle timeout until the first request."""
        self.transport = transport
        self.server.connections.add(self)
        self._start_timer(self.server.limits.idle_timeout_s, self._close_idle)

    def connection_lost(self, error) -> None:
        """Unregister the connection; a running handler completes."""
        self.transport = None
        self._stop_timer()
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Pass the data to the parser; reject malformed data with status 400."""
        if self.transport is None or self.transport.is_closing():
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)

    # --- httptools --------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start the timeout for the whole request."""
        self._begin_message()
        self._start_timer(
            self.server.limits.header_timeout_s, lambda: self._reject(408)
        )

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self.url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        self._count_header(len(name) + len(value))
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Reject a body whose declared length is too large before it arrives."""
        declared = self.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > self.server.limits.body_bytes:
            self._reject(413)
        elif self.headers.get("expect", "").lower() == "100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body_size += len(body)
        if self.body_size > self.server.limits.body_bytes:
            self._reject(413)
            return
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Handle the request, or queue it behind the one in progress."""
        if self.transport is None or self.transport.is_closing():
            return
        self._stop_timer()
        request = HttpRequest(
            self.parser.get_method().decode("latin-1"),
            self.url.decode("latin-1"),
            self.headers,
            b"".join(self.chunks),
        )
        keep_alive = self.parser.should_keep_alive()
        if self.task is not None:
            self.backlog.append((request, keep_alive))
            return
        self._handle(request, keep_alive)

    # --- responses --------------------------------------------------------------------

    def _handle(self, request: HttpRequest, keep_alive: bool) -> None:
        self.task = asyncio.ensure_future(self.server.handler(request))
        self.task.add_done_callback(lambda task: self._send_response(task, keep_alive))

    def _send_response(self, task: asyncio.Task, keep_alive: bool) -> None:
        self.task = None
        if task.cancelled() or self.transport is None:
            return
        error = task.exception()
        response = task.result() if error is None else HttpResponse(500)
        if error is not None:
            asyncio.get_running_loop().call_exception_handler(
                {"message": "a request handler failed", "exception": error}
            )
        keep_alive = keep_alive and not self.server.draining
        self.transport.write(format_response(response, keep_alive))
        if not keep_alive:
            self.transport.close()
        elif self.backlog:
            self._handle(*self.backlog.pop(0))
        else:
            self._start_timer(self.server.limits.idle_timeout_s, self._close_idle)

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self.task is None and self.transport is not None:
            self.transport.close()

    def _close_idle(self) -> None:
        if self.task is None and self.transport is not None:
            self.transport.close()

    def _reject(self, status: int) -> None:
        self._stop_timer()
        if self.transport is None or self.transport.is_closing():
            return
        if self.task is None:
            self.transport.write(
                format_response(self.server.answer_rejection(status), keep_alive=False)
            )
        self.transport.close()

    def _count_header(self, size: int) -> None:
        self.header_size += size
        if self.header_size > self.server.limits.header_bytes:
            self._reject(431)

    def _start_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        self.timer = asyncio.get_running_loop().call_later(delay_s, action)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


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
