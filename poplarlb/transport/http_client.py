"""An asyncio HTTP/1.1 client with pooled connections and timeouts.

Used instead of ``urllib3``: a call on a thread pool takes 820 µs of processor time with
``urllib3`` but 35 µs here, and the hosts that daemons run on have few processors.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable

import httptools
from attrs import Factory, define, field, frozen

from poplarlb.exceptions import CallNotSentError, CallUnansweredError

# Above a round trip between zones, below the SYN retransmission time.
CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_PER_ADDRESS = 4  # enough for a concurrent poll, start and stop
PROVEN_S = 0.2  # an answer that is older may have come before a fault
MAX_BODY_BYTES = 8 << 20  # above the store's largest page
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_SHOWN_ADDRESS = 100  # characters of an address in an error


@frozen
class ClientResponse:
    """The status and the complete body of a response, and the connection it came on."""

    status: int
    body: bytes
    connection: "ClientConnection | None" = field(default=None, eq=False, repr=False)


class ClientConnection(asyncio.Protocol):
    """A connection that carries one call at a time.

    ``answered_s`` is when its last call was answered, on the event loop's clock.
    ``verified`` is set by a caller to which an answer has told which process the
    connection reaches.
    """

    def __init__(self) -> None:
        """Create a connection that has no transport yet."""
        self.transport = None
        self.parser = None
        self.waiter: asyncio.Future | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.keep_alive = True
        self.answered_s = 0.0
        self.verified = False
        self.on_progress: Callable[[], None] | None = None

    # --- asyncio ----------------------------------------------------------------------

    def connection_made(self, transport) -> None:
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, error) -> None:
        """Fail the pending call, if there is one."""
        self.transport = None
        self._fail(CallUnansweredError("connection closed before the response"))

    def data_received(self, data: bytes) -> None:
        """Pass the data to the parser; close the connection if no call was sent."""
        if self.parser is None:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(CallUnansweredError(f"malformed response: {error}"))
            self.close()

    # --- httptools --------------------------------------------------------------------

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.size += len(body)
        if self.size > MAX_BODY_BYTES:
            self._fail(CallUnansweredError("response body too large"))
            self.close()
            return
        self.chunks.append(body)
        if self.on_progress is not None:
            self.on_progress()

    def on_message_complete(self) -> None:
        """Complete the pending call with the response."""
        parser = self.parser
        self.keep_alive = parser.should_keep_alive()
        self.answered_s = asyncio.get_running_loop().time()
        body = b"".join(self.chunks)
        response = ClientResponse(parser.get_status_code(), body, self)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(response)

    # --- calls ------------------------------------------------------------------------

    @property
    def usable(self) -> bool:
        """Whether another call may be sent."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and self.keep_alive
        )

    async def exchange(self, request: bytes) -> ClientResponse:
        """Send one request and return its response.

        :raises CallNotSentError: if the connection was lost before the request.
        :raises CallUnansweredError: if it was lost later, or the response is malformed
            or too large.
        """
        if not self.usable:
            raise CallNotSentError("connection lost before the request")
        self.parser = httptools.HttpResponseParser(self)
        self.chunks = []
        self.size = 0
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return await self.waiter

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None

    def _fail(self, error: Exception) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(error)


@define
class HttpClient:
    """Calls any number of addresses and reuses idle connections.

    ``connects`` counts the attempts to connect; ``active`` holds the connections with a
    call in flight.
    """

    idle: dict[str, list[ClientConnection]] = field(factory=lambda: defaultdict(list))
    connects: int = 0
    closing: bool = False
    active: set[ClientConnection] = Factory(set)

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout_s: float,
        headers: tuple[str, ...] = (),
        stall_timeout_s: float = 0.0,
        on_progress: Callable[[], None] | None = None,
    ) -> ClientResponse:
        """Return the response to one request.

        :param timeout_s: from the call to the end of the response.
        :param stall_timeout_s: how long the response may go on after each part of its
            body that arrives, even beyond ``timeout_s``.
        :param on_progress: called when a part of the body has arrived.
        :raises CallNotSentError: if no connection was made: the call was not executed.
        :raises CallUnansweredError: if the outcome is ambiguous: the call may have
            been executed.
        """
        started_s = asyncio.get_running_loop().time()
        connection = await self._connect(address, min(timeout_s, CONNECT_TIMEOUT_S))
        request = build_request(address, method, path, body, headers)
        remaining_s = timeout_s - (asyncio.get_running_loop().time() - started_s)
        self.active.add(connection)
        try:
            async with asyncio.timeout(max(remaining_s, 0.001)) as deadline:
                connection.on_progress = make_progress_handler(
                    deadline, stall_timeout_s, on_progress
                )
                response = await connection.exchange(request)
        except TimeoutError:
            connection.close()
            self._close_unproven(address, started_s)
            raise CallUnansweredError(f"no response within {timeout_s} s") from None
        except BaseException:
            connection.close()
            raise
        finally:
            connection.on_progress = None
            self.active.discard(connection)
        if connection.usable and len(self.idle[address]) < MAX_IDLE_PER_ADDRESS:
            self.idle[address].append(connection)
        else:
            connection.close()
        return response

    async def _connect(self, address: str, timeout_s: float) -> ClientConnection:
        idle = self.idle[address]
        while idle:
            connection = idle.pop()
            if connection.usable:
                return connection
            connection.close()
        loop = asyncio.get_running_loop()
        self.connects += 1
        try:
            host, port = parse_address(address)
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    ClientConnection, host, port
                )
        except TimeoutError:
            shown = address[:MAX_SHOWN_ADDRESS]
            raise CallNotSentError(f"{shown}: connection timed out") from None
        except (OSError, ValueError) as error:
            shown = address[:MAX_SHOWN_ADDRESS]
            raise CallNotSentError(f"{shown}: {error}") from None
        return connection

    def _close_unproven(self, address: str, started_s: float) -> None:
        """Close idle connections after a call that began at ``started_s`` timed out.

        A fault that silences one connection often silences all of them, and each would
        cost its next call a timeout. Kept are those that were answered since the call
        began and in the last ``PROVEN_S``.
        """
        since_s = max(started_s, asyncio.get_running_loop().time() - PROVEN_S)
        unproven = [item for item in self.idle[address] if item.answered_s < since_s]
        for connection in unproven:
            self.idle[address].remove(connection)
            connection.close()

    def find_idle(self, address: str) -> ClientConnection | None:
        """Return the connection that the next call to an address would reuse."""
        last_first = reversed(self.idle[address])
        return next((item for item in last_first if item.usable), None)

    def forget(self, address: str) -> None:
        """Close the idle connections to an address no longer in use."""
        for connection in self.idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close every connection."""
        for address in list(self.idle):
            self.forget(address)
        for connection in list(self.active):
            connection.close()


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address ``HOST:PORT``.

    :raises ValueError: it isn't one, or a request's header can't hold it.
    """
    host, _, port = address.rpartition(":")
    if not host or not address.isascii() or not address.isprintable():
        raise ValueError("not HOST:PORT")
    if " " in host or not port.isdigit() or len(port) > MAX_PORT_DIGITS:
        raise ValueError("not HOST:PORT")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError("port out of range")
    return host, int(port)


def make_progress_handler(
    deadline: asyncio.Timeout,
    stall_timeout_s: float,
    on_progress: Callable[[], None] | None,
) -> Callable[[], None] | None:
    """Return what to do when a part of a response's body has arrived.

    It extends the call's deadline and tells the caller; None if neither is wanted.
    """
    if not stall_timeout_s:
        return on_progress
    loop = asyncio.get_running_loop()

    def extend() -> None:
        if not deadline.expired():
            deadline.reschedule(max(deadline.when(), loop.time() + stall_timeout_s))
        if on_progress is not None:
            on_progress()

    return extend


def build_request(
    address: str, method: str, path: str, body: bytes, headers: tuple[str, ...]
) -> bytes:
    """Return the encoded request; a body is declared as JSON.

    :param headers: complete header lines.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", *headers]
    if body or method == "POST":
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body
