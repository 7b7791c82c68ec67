"""Tests of the asyncio HTTP client and server."""

import asyncio
import unittest

from poplarlb.exceptions import CallNotSentError, CallUnansweredError
from poplarlb.transport.http_client import ClientConnection, HttpClient
from poplarlb.transport.http_server import HttpResponse, HttpServer
from tests.platform.deployment import free_address

ODD_ADDRESSES = (
    "",
    ":",
    ":80",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:x",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:\u0668\u0660",
    "127.0.0.1:8_0",
    "127.0.0.1: 80",
    "127.0.0.1:1e400",
    "127.0.0.1\r\nX-Odd: 1:80",
    "127.0.0.1 x:80",
    "127.0.0.1\0:80",
    "[::1:80",
    "999.1.1.1:80",
    "\ud800:80",
    "ｘ．example:80",
    "x" * 70 + ".invalid:80",
    "x" * 100_000 + ":80",
)


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    """A server that echoes, sleeps or aborts connections."""

    async def asyncSetUp(self) -> None:
        """Start the server."""
        self.address = free_address()
        self.server = HttpServer(self.answer)
        await self.server.start(self.address)
        self.client = HttpClient()

    async def asyncTearDown(self) -> None:
        """Close the client and the server."""
        self.client.close()
        self.server.close()

    async def answer(self, request) -> HttpResponse:
        """Respond according to the path."""
        if request.path == "/slow":
            await asyncio.sleep(5)
        if request.path == "/break":
            for connection in list(self.server.connections):
                connection.transport.abort()
        return HttpResponse(200, request.body)

    async def call(self, path: str, body: bytes = b"", timeout_s: float = 1.0):
        """Call the server and return its response."""
        return await self.client.call(
            self.address, "POST", path, body, timeout_s=timeout_s
        )

    async def test_connections_are_reused(self) -> None:
        """Consecutive calls share one connection."""
        for number in range(5):
            answer = await self.call("/", b"%d" % number)
            self.assertEqual(answer.body, b"%d" % number)
        self.assertEqual(self.client.connects, 1)
        self.assertIsNotNone(self.client.find_idle(self.address))

    async def test_concurrent_calls_get_their_own_responses(self) -> None:
        """Each of several concurrent calls gets its own response."""
        bodies = [b"%d" % number for number in range(20)]
        answers = await asyncio.gather(*(self.call("/", body) for body in bodies))
        self.assertEqual([answer.body for answer in answers], bodies)

    # Connections die together, so one that timed out must not be replaced by another
    # that was idle meanwhile.
    async def test_idle_connections_are_closed_after_an_unanswered_call(self) -> None:
        """The call after an unanswered one opens a connection."""
        await asyncio.gather(*(self.call("/") for _ in range(3)))
        with self.assertRaises(CallUnansweredError):
            await self.call("/slow", timeout_s=0.1)
        self.assertIsNone(self.client.find_idle(self.address))

    # Connections may die while a call is in flight, just after others were answered.
    async def test_answer_during_an_unanswered_call_proves_nothing_later(self) -> None:
        """Only a connection answered at the end of the call's wait is kept."""
        loop = asyncio.get_running_loop()
        slow = asyncio.ensure_future(self.call("/slow", timeout_s=0.5))
        await asyncio.sleep(0.05)
        await asyncio.gather(self.call("/"), self.call("/"))
        await asyncio.sleep(0.4)
        await self.call("/")
        with self.assertRaises(CallUnansweredError):
            await slow
        kept = self.client.idle[self.address]
        self.assertEqual(len(kept), 1)
        self.assertLess(loop.time() - kept[0].answered_s, 0.2)

    async def test_slow_response_is_unanswered(self) -> None:
        """A call that times out has an ambiguous outcome."""
        with self.assertRaises(CallUnansweredError):
            await self.call("/slow", timeout_s=0.1)
        self.assertIsNone(self.client.find_idle(self.address))

    async def test_broken_connection_is_unanswered(self) -> None:
        """A call whose connection is lost has an ambiguous outcome."""
        with self.assertRaises(CallUnansweredError):
            await self.call("/break")

    async def test_connection_refused(self) -> None:
        """A call without a connection was not executed."""
        self.address = free_address()
        with self.assertRaises(CallNotSentError):
            await self.call("/")

    # Guards against an address that another writer put into a worker's entry: the error
    # of connecting to it ended the ownership of the jobs.
    async def test_odd_address(self) -> None:
        """A call to an address that can't be connected to was not executed."""
        for address in ODD_ADDRESSES:
            with self.subTest(address=address[:40]):
                self.address = address
                with self.assertRaises(CallNotSentError) as raised:
                    await self.call("/")
                self.assertLess(len(raised.exception.detail), 300)

    async def test_connection_lost_before_the_call(self) -> None:
        """A call over a lost connection is not sent and fails as such."""
        with self.assertRaises(CallNotSentError):
            await ClientConnection().exchange(b"")


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    """The server's handling of bad input and draining."""

    async def asyncSetUp(self) -> None:
        """Start a server with small limits."""
        self.address = free_address()
        self.server = HttpServer(self.answer)
        self.server.limits.header_bytes = 500
        self.server.limits.body_bytes = 100
        self.server.limits.header_timeout_s = 0.2
        await self.server.start(self.address)

    async def asyncTearDown(self) -> None:
        """Close the client and the server."""
        self.server.close()

    async def answer(self, request) -> HttpResponse:
        """Respond to any request."""
        return HttpResponse(200, b"ok")

    async def send(self, data: bytes) -> bytes:
        """Send raw bytes and return all bytes received until the connection ends."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        try:
            return await asyncio.wait_for(reader.read(), 2)
        finally:
            writer.close()

    async def test_status_for_bad_input(self) -> None:
        """Each kind of bad input has its status."""
        cases = {
            b"nonsense\r\n\r\n": b"400",
            b"GET / HTTP/1.1\r\nX: " + b"x" * 600 + b"\r\n\r\n": b"431",
            b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n": b"413",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"70\r\n" + b"x" * 112 + b"\r\n0\r\n\r\n": b"413",
            b"GET / HTTP/1.1\r\nHost: slow": b"408",
        }
        for data, status in cases.items():
            with self.subTest(data=data[:40]):
                self.assertIn(status, (await self.send(data)).split(b"\r\n")[0])

    async def test_drain_closes_after_the_answer(self) -> None:
        """A draining server responds and closes the connection."""
        self.server.drain()
        answer = await self.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertIn(b"Connection: close", answer)
        self.assertTrue(answer.endswith(b"ok"))


if __name__ == "__main__":
    unittest.main()
