"""Limits of the HTTP servers on cheroot: strict headers, and limited time and room."""

import queue
import re
import resource
import socket
import ssl
import threading
import time
from collections.abc import Callable

from attrs import Factory, define, frozen
from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10, Server
from loguru import logger

from poplarlb.transport.chunked_bodies import ChunkedBodyReader
from poplarlb.transport.limit_reports import LimitReporter

HEADERS_LIMIT = 100  # in one request
HEADER_TIMEOUT_S = 10.0  # to read the request line and all headers
BODY_TIMEOUT_S = 35.0  # to read the body, from the end of the headers
SOCKET_TIMEOUT_S = 10.0  # without data from a client
BUSY_READ_S = 1.0  # for reading while others wait for a thread
CONNECTIONS_SHARE = 0.5  # of a process's descriptors, for all servers together
LISTEN_BACKLOG = 128
WATCH_PERIOD_S = 0.5  # between checks of the sockets' deadlines
REQUEST_KEY = "poplarlb.request"  # of the request object in the WSGI environment

_NAME = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]{1,128}")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_LENGTH = re.compile(rb"[0-9]{1,15}")
_SINGLE_VALUE_HEADERS = frozenset(
    {
        b"Authorization",
        b"Content-Length",
        b"Content-Type",
        b"Expect",
        b"Host",
        b"Idempotency-Key",
        b"Poplarlb-Attempt",
        b"Poplarlb-Class",
        b"Poplarlb-Timeout-Ms",
        b"Transfer-Encoding",
    }
)


@frozen
class ServerLimits:
    """Limits of one server.

    ``header_bytes`` and ``body_bytes`` are for one request. ``connections`` limits
    those that wait for one of the threads.
    """

    threads: int
    header_bytes: int
    body_bytes: int
    connections: int


def limit_connections(wanted: int) -> int:
    """Return a limit on connections that the process has the descriptors for."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return wanted
    return min(wanted, int(descriptors * CONNECTIONS_SHARE))


class StrictHeaderReader(HeaderReader):
    """Reads headers and rejects those that two servers could parse differently.

    Headers with an underscore in their name are dropped, as WSGI can't distinguish
    them from names with a hyphen.
    """

    def __call__(self, rfile, hdict=None):
        """Return the headers by name.

        :raises ValueError: if a header is invalid; the message names the fault.
        """
        headers = {} if hdict is None else hdict
        for number, line in enumerate(iter(rfile.readline, b"\r\n")):
            if not line:
                raise ValueError("Illegal end of headers.")
            if number >= HEADERS_LIMIT:
                raise ValueError(f"More than {HEADERS_LIMIT} headers.")
            self._parse_line(line, headers)
        if b"Content-Length" in headers and b"Transfer-Encoding" in headers:
            raise ValueError("Both Content-Length and Transfer-Encoding.")
        return headers

    def _parse_line(self, line: bytes, headers: dict[bytes, bytes]) -> None:
        if not line.endswith(b"\r\n"):
            raise ValueError("HTTP requires CRLF terminators")
        name, colon, value = line[:-2].partition(b":")
        if not colon:
            raise ValueError("Illegal header line.")
        value = value.strip(b" \t")
        if b"_" in name:
            return
        if not _NAME.fullmatch(name):
            raise ValueError("Illegal header name.")
        if not _VALUE.fullmatch(value):
            raise ValueError("Illegal header value.")
        name = name.title()
        if name in headers and name in _SINGLE_VALUE_HEADERS:
            raise ValueError(f"{name.decode()} is given twice.")
        self._check_framing(name, value)
        separator = b"; " if name == b"Cookie" else b", "
        joined = [headers[name], value] if name in headers else [value]
        headers[name] = separator.join(joined)

    def _check_framing(self, name: bytes, value: bytes) -> None:
        if name == b"Content-Length" and not _LENGTH.fullmatch(value):
            raise ValueError("Malformed Content-Length.")
        if name == b"Transfer-Encoding" and value.lower() != b"chunked":
            raise ValueError("Only chunked is a known Transfer-Encoding.")


class StrictRequest(HTTPRequest):
    """A request whose headers must be complete, timely and unambiguous."""

    header_reader = StrictHeaderReader()

    def parse_request(self):
        """Parse the request line and headers within ``HEADER_TIMEOUT_S``."""
        watchdog = self.server.watchdog
        with watchdog.limit(self.conn.socket, HEADER_TIMEOUT_S):
            return super().parse_request()

    def read_request_headers(self):
        """Read the headers; return whether they are acceptable."""
        if not super().read_request_headers():
            return False
        chunked = b"Transfer-Encoding" in self.inheaders
        if chunked and self.response_protocol != "HTTP/1.1":
            self.simple_response("400 Bad Request", "Transfer-Encoding in HTTP/1.0.")
            return False
        return True

    def respond(self):
        """Pass the request on; the parts of a chunked body have a bounded size."""
        if not self.chunked_read:
            super().respond()
            return
        limit_bytes = self.server.max_request_body_size
        self.rfile = ChunkedBodyReader(self.conn.rfile, limit_bytes)
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")


class StrictConnection(HTTPConnection):
    """A connection whose requests are a ``StrictRequest``."""

    RequestHandlerClass = StrictRequest

    def communicate(self) -> bool:
        """Handle a request, after the TLS handshake of a new connection.

        Returns whether the connection is kept.
        """
        return self._secure() and super().communicate()

    def _secure(self) -> bool:
        """Do the handshake if it is due; return whether there is no error."""
        if not isinstance(self.socket, ssl.SSLSocket) or self.socket.version():
            return True
        try:
            with self.server.watchdog.limit(self.socket, HEADER_TIMEOUT_S):
                self.socket.do_handshake()
        except OSError as error:
            _log(f"TLS handshake failed: {error}")
            return False
        return True


class RequestGateway(Gateway_10):
    """Passes the server's request object to the WSGI application."""

    def respond(self):
        """Handle the request, with ``BODY_TIMEOUT_S`` for its body."""
        with self.req.server.watchdog.limit(self.req.conn.socket, BODY_TIMEOUT_S):
            super().respond()

    def get_environ(self):
        """Return the WSGI environment with the request under ``REQUEST_KEY``."""
        return {**super().get_environ(), REQUEST_KEY: self.req}


@define
class WatchedSocket:
    """A socket whose reading side is shut down at its deadline."""

    socket: socket.socket
    deadline_s: float
    since_s: float


@define
class SocketWatchdog:
    """Shuts down the reading side of sockets that pass their deadline.

    A client that sends single bytes slowly never reaches the socket's own timeout.
    After the shutdown its reader sees the end of the stream. While connections wait
    for a thread, those that have been read for the longest time, and for more than
    ``BUSY_READ_S``, are shut down early.

    :ivar count_waiting: returns the number of connections that wait.
    :ivar on_shed: called with the number of sockets that were shut down early.
    """

    count_waiting: Callable[[], int] = lambda: 0
    on_shed: Callable[[int], None] = lambda count: None
    watched: dict[int, WatchedSocket] = Factory(dict)
    lock: threading.Lock = Factory(threading.Lock)
    stopped: threading.Event = Factory(threading.Event)

    def start(self) -> None:
        """Start a thread that checks the deadlines."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop the thread."""
        self.stopped.set()

    def limit(self, sock: socket.socket, seconds: float) -> "ReadTimeLimit":
        """Return a context manager that limits the time for reading the socket."""
        return ReadTimeLimit(self, sock, seconds)

    def _run(self) -> None:
        while not self.stopped.wait(WATCH_PERIOD_S):
            now_s = time.monotonic()
            with self.lock:
                expired = [i for i, w in self.watched.items() if now_s >= w.deadline_s]
                sockets = [self.watched.pop(item).socket for item in expired]
                shed = self.choose_shed(now_s)
                sockets += [self.watched.pop(item).socket for item in shed]
            for sock in sockets:
                _shut_down_reading(sock)
            if shed:
                self.on_shed(len(shed))

    def choose_shed(self, now_s: float) -> list[int]:
        """Return the keys of the sockets to shut down for connections that wait."""
        long_read = [
            (watched.since_s, key)
            for key, watched in self.watched.items()
            if now_s - watched.since_s >= BUSY_READ_S
        ]
        return [key for _, key in sorted(long_read)[: self.count_waiting()]]


@define
class ReadTimeLimit:
    """Limits the time for reading a socket within a ``with`` block to ``seconds``."""

    watchdog: SocketWatchdog
    socket: socket.socket
    seconds: float

    def __enter__(self) -> "ReadTimeLimit":
        """Register the socket with its deadline."""
        now_s = time.monotonic()
        entry = WatchedSocket(self.socket, now_s + self.seconds, now_s)
        with self.watchdog.lock:
            self.watchdog.watched[id(self)] = entry
        return self

    def __exit__(self, *_: object) -> None:
        """Remove the deadline."""
        with self.watchdog.lock:
            self.watchdog.watched.pop(id(self), None)


def _shut_down_reading(sock: socket.socket) -> None:
    try:
        # SSLSocket.shutdown ends the encryption of the response, too.
        socket.socket.shutdown(sock, socket.SHUT_RD)
    except OSError:
        # The client has closed the connection.
        return


class BoundedServer(Server):
    """A server whose connections that wait for a thread are limited in number.

    :param limits: of requests, threads and connections.
    :param reporter: reports the connections that are shed.
    """

    def __init__(
        self, address, application, limits: ServerLimits, reporter: LimitReporter
    ) -> None:
        """Create a server that applies these limits to a WSGI application."""
        super().__init__(
            address,
            application,
            numthreads=limits.threads,
            max=limits.threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=SOCKET_TIMEOUT_S,
            shutdown_timeout=BODY_TIMEOUT_S,
        )
        self.ConnectionClass = StrictConnection
        self.gateway = RequestGateway
        self.max_request_header_size = limits.header_bytes
        self.max_request_body_size = limits.body_bytes
        self.error_log = _log
        self.connections_limit = limits.connections
        self.reporter = reporter
        self.watchdog = SocketWatchdog(
            count_waiting=lambda: self.requests.qsize,
            on_shed=lambda count: reporter.report("thread", "reading ended", count),
        )

    def process_conn(self, conn) -> None:
        """Queue a connection; close the one that has waited longest if it is full."""
        while self.ready and self.requests.qsize >= self.connections_limit:
            try:
                self.requests.get(block=False).close()
            except queue.Empty:
                break
            self.reporter.report("connections", "connection closed")
        super().process_conn(conn)


def _log(message: str = "", level: int = 20, traceback: bool = False) -> None:
    """Log the server's messages at debug level; client disconnects are expected."""
    logger.opt(exception=traceback).debug("http: {}", message)
