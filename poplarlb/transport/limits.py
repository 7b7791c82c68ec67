"""What the callers' door accepts: strict headers, bounded time and bodies."""

import re
import socket
import threading
import time

from attrs import Factory, define
from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10, Server
from loguru import logger

HEADERS_LIMIT = 100
HEADER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 35.0
SOCKET_TIMEOUT_S = 10.0
WATCH_PERIOD_S = 0.5
REQUEST_KEY = "poplarlb.request"

_NAME = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]{1,128}")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_LENGTH = re.compile(rb"[0-9]{1,15}")
_ONCE = frozenset(
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


class StrictHeaderReader(HeaderReader):
    """Reads headers and refuses whatever two servers could read differently.

    Names with an underscore are dropped, as WSGI can't tell them from those with
    a hyphen.
    """

    def __call__(self, rfile, hdict=None):
        """Return the headers by name.

        :raises ValueError: naming what is wrong.
        """
        headers = {} if hdict is None else hdict
        for number, line in enumerate(iter(rfile.readline, b"\r\n")):
            if not line:
                raise ValueError("Illegal end of headers.")
            if number >= HEADERS_LIMIT:
                raise ValueError(f"More than {HEADERS_LIMIT} headers.")
            self._take_line(line, headers)
        if b"Content-Length" in headers and b"Transfer-Encoding" in headers:
            raise ValueError("Both Content-Length and Transfer-Encoding.")
        return headers

    def _take_line(self, line: bytes, headers: dict[bytes, bytes]) -> None:
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
        if name in headers and name in _ONCE:
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
    """A request whose headers come whole, in time and unambiguous."""

    header_reader = StrictHeaderReader()

    def parse_request(self):
        """Parse the request line and headers within the time allowed."""
        watch = self.server.watch
        with watch.limit(self.conn.socket, HEADER_TIMEOUT_S):
            return super().parse_request()

    def read_request_headers(self):
        """Read the headers; tells whether they are acceptable."""
        if not super().read_request_headers():
            return False
        chunked = b"Transfer-Encoding" in self.inheaders
        if chunked and self.response_protocol != "HTTP/1.1":
            self.simple_response("400 Bad Request", "Transfer-Encoding in HTTP/1.0.")
            return False
        return True


class StrictConnection(HTTPConnection):
    """A connection whose requests are strict."""

    RequestHandlerClass = StrictRequest


class RequestGateway(Gateway_10):
    """Hands the server's own request to the WSGI application."""

    def respond(self):
        """Answer the request; its body must come within the time allowed."""
        with self.req.server.watch.limit(self.req.conn.socket, BODY_TIMEOUT_S):
            super().respond()

    def get_environ(self):
        """Return the environment with the request under ``REQUEST_KEY``."""
        return {**super().get_environ(), REQUEST_KEY: self.req}


@define
class WatchedSocket:
    """A socket to be shut once its time has passed."""

    socket: socket.socket
    end_s: float


@define
class SocketWatch:
    """Shuts sockets from which something should have come in time.

    A client that sends a byte now and then never runs into a socket's own
    timeout; its reader sees the end of the stream instead.
    """

    watched: dict[int, WatchedSocket] = Factory(dict)
    lock: threading.Lock = Factory(threading.Lock)
    stopped: threading.Event = Factory(threading.Event)

    def start(self) -> None:
        """Begin to watch on a thread of its own."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop watching."""
        self.stopped.set()

    def limit(self, sock: socket.socket, seconds: float) -> "WatchLimit":
        """Return a context within which the socket has so much time."""
        return WatchLimit(self, sock, seconds)

    def _run(self) -> None:
        while not self.stopped.wait(WATCH_PERIOD_S):
            now_s = time.monotonic()
            with self.lock:
                late = [i for i, w in self.watched.items() if now_s >= w.end_s]
                sockets = [self.watched.pop(item).socket for item in late]
            for sock in sockets:
                _shut(sock)


@define
class WatchLimit:
    """Limits the time that a socket is read for."""

    watch: SocketWatch
    socket: socket.socket
    seconds: float

    def __enter__(self) -> "WatchLimit":
        """Begin to count."""
        entry = WatchedSocket(self.socket, time.monotonic() + self.seconds)
        with self.watch.lock:
            self.watch.watched[id(self)] = entry
        return self

    def __exit__(self, *_: object) -> None:
        """Stop counting."""
        with self.watch.lock:
            self.watch.watched.pop(id(self), None)


def _shut(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        # The other end was faster.
        return


def make_server(address: tuple[str, int], application, threads: int) -> Server:
    """Return a server for a WSGI application that keeps to these limits."""
    server = Server(address, application, numthreads=threads, max=threads)
    server.ConnectionClass = StrictConnection
    server.gateway = RequestGateway
    server.timeout = SOCKET_TIMEOUT_S
    server.shutdown_timeout = BODY_TIMEOUT_S
    server.watch = SocketWatch()
    server.error_log = _log
    return server


def _log(message: str = "", level: int = 20, traceback: bool = False) -> None:
    """Log what the server says; a client that goes away is nothing to report."""
    logger.opt(exception=traceback).debug("http: {}", message)
