"""Tests of the HTTP server: waiting requests, and what clients make it hold."""

import asyncio
import unittest

from poplarlb.transport.client_budget import ClientBudget, ClientLimits
from poplarlb.transport.http_server import (
    READ_BYTES,
    UNPARSED_FACTOR,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from tests.platform.deployment import free_address

HEAD = b"POST /one HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class PipelineTest(unittest.IsolatedAsyncioTestCase):
    """A server whose answers take a moment."""

    async def asyncSetUp(self) -> None:
        """Start it."""
        self.server = HttpServer(self.answer)
        self.address = free_address()
        await self.server.start(self.address)

    async def asyncTearDown(self) -> None:
        """Stop it."""
        self.server.close()

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer with the path."""
        await asyncio.sleep(0.02)
        return HttpResponse(200, request.path.encode())

    async def exchange(self, *heads: str) -> str:
        """Return all that is answered to requests that are sent at once."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write("".join(f"{head}\r\n\r\n" for head in heads).encode())
        async with asyncio.timeout(2.0):
            text = await reader.read()
        writer.close()
        return text.decode()

    # Guards against a waiting request that is answered as the one before it asked: the
    # connection stayed open though the caller wanted it closed.
    async def test_each_request_has_its_own_connection_header(self) -> None:
        """The second of two asks for the connection to be closed."""
        head = "GET {} HTTP/1.1\r\nHost: h{}"
        text = await self.exchange(
            head.format("/one", ""), head.format("/two", "\r\nConnection: close")
        )
        first, second = text.split("/one")
        self.assertNotIn("Connection: close", first)
        self.assertIn("Connection: close", second)
        self.assertTrue(second.endswith("/two"))


class LimitTestCase(unittest.IsolatedAsyncioTestCase):
    """A server whose handler answers when it is told to."""

    limits = ClientLimits()
    timeouts = HttpLimits(header_timeout_s=30, idle_timeout_s=30)

    async def asyncSetUp(self) -> None:
        """Start it."""
        self.requests: list[HttpRequest] = []
        self.answerable = asyncio.Event()
        self.answerable.set()
        self.answer_bytes = 0
        self.exceeded: list[str] = []
        self.shed: list[str] = []
        self.budget = ClientBudget(self.limits, self.record_shed)
        self.server = HttpServer(
            self.answer,
            limits=self.timeouts,
            budget=self.budget,
            kept_headers=frozenset({"host"}),
            on_limit=self.exceeded.append,
        )
        self.address = free_address()
        await self.server.start(self.address)
        self.writers: list[asyncio.StreamWriter] = []

    async def asyncTearDown(self) -> None:
        """Stop it; nothing is held for clients that have left."""
        self.answerable.set()
        for writer in self.writers:
            writer.close()
        await self.wait_until(lambda: not self.budget.holdings)
        self.assertEqual((self.budget.used_bytes, self.budget.handled), (0, 0))
        self.server.close()

    def record_shed(self, limit: str, shed: list) -> None:
        """Record which limit was exceeded, for each connection that is shed."""
        self.shed += [limit] * len(shed)

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer when that is allowed."""
        self.requests.append(request)
        await self.answerable.wait()
        return HttpResponse(200, b"x" * self.answer_bytes)

    async def connect(self, data: bytes = b"") -> asyncio.StreamReader:
        """Open a connection, send some data and return what is received on it."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.writers.append(writer)
        writer.write(data)
        return reader

    async def status(self, reader: asyncio.StreamReader) -> int:
        """Return the status of the next response; 0 if the connection has ended."""
        try:
            async with asyncio.timeout(10):
                head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionResetError):
            return 0
        return int(head.split()[1])

    async def wait_until(self, condition) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)


class MessageLimitTest(LimitTestCase):
    """Limits on one message."""

    async def test_messages_of_legal_size_are_served(self) -> None:
        """Very many short headers, single-byte chunks, and both at once."""
        names = b"".join(b"%x:\r\n" % number for number in range(4_000))
        body = b"1\r\nz\r\n" * self.timeouts.body_bytes + b"0\r\n\r\n"
        plain = b"GET /one HTTP/1.1\r\nHost: h\r\n" + names + b"\r\n"
        for data in (plain, CHUNKED + body, CHUNKED[:-2] + names + b"\r\n" + body):
            self.assertEqual(await self.status(await self.connect(data)), 200)
        self.assertEqual(self.requests[0].headers, {"host": "h"})
        self.assertEqual(len(self.requests[2].body), self.timeouts.body_bytes)
        self.assertEqual((self.exceeded, self.shed), ([], []))

    # Guards against what the parser keeps until a header ends, which wasn't counted.
    async def test_message_without_end(self) -> None:
        """Headers, trailers, sizes of chunks and empty lines that go on and on."""
        endless = b"v" * (UNPARSED_FACTOR * self.timeouts.header_bytes + 2 * READ_BYTES)
        for data, status in (
            (HEAD + b"Long: " + endless, 431),
            (HEAD + endless, 431),
            (CHUNKED + b"0\r\nTrailer: " + endless, 400),
            (CHUNKED + b"1;" + endless, 400),
            (b"\r\n" * len(endless), 400),
        ):
            self.assertIn(await self.status(await self.connect(data)), (status, 0))
        self.assertEqual(self.exceeded, ["unparsed_bytes"] * 5)
        self.assertEqual(self.requests, [])

    async def test_trailers_change_no_header(self) -> None:
        """A request is routed by its head, not by what follows its body."""
        data = CHUNKED + b"1\r\nz\r\n0\r\nHost: other\r\n\r\n"
        self.assertEqual(await self.status(await self.connect(data)), 200)
        self.assertEqual(self.requests[0].headers["host"], "h")


class PipelineLimitTest(LimitTestCase):
    """Requests behind the one in progress."""

    # Guards against reading, and holding, requests faster than they are answered.
    async def test_waiting_requests_stop_reading(self) -> None:
        """They are read once those before them are answered, and all are answered."""
        self.answerable.clear()
        count = 3 * READ_BYTES // len(HEAD)
        request = HEAD.replace(b"POST", b"GET") + b"\r\n"
        reader = await self.connect(request * count)
        await self.wait_until(lambda: self.requests)
        await asyncio.sleep(0.1)
        (connection,) = self.server.connections
        self.assertLess(len(connection.backlog), count // 2)
        self.assertFalse(connection.transport.is_reading())
        self.answerable.set()
        for _ in range(count):
            self.assertEqual(await self.status(reader), 200)

    # Guards against a malformed request that took the answer of the one before it.
    async def test_malformed_request_waits(self) -> None:
        """The one in progress is answered before the connection ends."""
        self.answerable.clear()
        reader = await self.connect(HEAD + b"Content-Length: 0\r\n\r\n" + b"\0\0\r\n")
        await self.wait_until(lambda: self.requests)
        self.answerable.set()
        self.assertEqual(await self.status(reader), 200)
        self.assertEqual(await self.status(reader), 400)
        self.assertEqual(await self.status(reader), 0)


class UnreadResponseTest(LimitTestCase):
    """Clients that don't read their responses."""

    timeouts = HttpLimits(header_timeout_s=0.3, idle_timeout_s=0.5)
    limits = ClientLimits(memory_bytes=3_000_000)

    # Guards against responses that pile up, as nothing limited how long they stay.
    async def test_unread_responses_end_the_connection(self) -> None:
        """No further request is handled, and the connection ends after a while."""
        self.answer_bytes = 8 << 20
        request = HEAD.replace(b"POST", b"GET") + b"\r\n"
        await self.connect(request * 5)
        await self.wait_until(lambda: self.requests)
        await self.wait_until(lambda: not self.server.connections)
        self.assertEqual(len(self.requests), 1)

    # Guards against a connection that no timeout ends: its last request came too late.
    async def test_unread_responses_before_an_unfinished_request(self) -> None:
        """The connection ends, as it does without that request."""
        self.answer_bytes = 8 << 20
        request = HEAD.replace(b"POST", b"GET") + b"\r\n"
        await self.connect(request * 2 + HEAD)
        await self.wait_until(lambda: self.requests)
        await self.wait_until(lambda: not self.server.connections)
        self.assertEqual(len(self.requests), 1)


class BudgetTest(LimitTestCase):
    """All connections together."""

    limits = ClientLimits(memory_bytes=1_000_000, connections=8, requests=3)

    # Guards against bodies that each are within the limits and together are not.
    async def test_oldest_unfinished_bodies_are_shed(self) -> None:
        """Clients that complete their request are served meanwhile."""
        size = self.timeouts.body_bytes
        stalled = CHUNKED + b"%x\r\n" % size + b"z" * (size - 1)
        readers = []
        for number in range(7):
            readers.append(await self.connect(stalled))
            await self.wait_until(
                lambda number=number: self.budget.used_bytes > min(number, 2) * size
            )
            await asyncio.sleep(0.05)
        self.assertLessEqual(self.budget.used_bytes, self.limits.memory_bytes)
        self.assertIn("memory_bytes", self.shed)
        self.assertIn(await self.status(readers[0]), (503, 0))
        ordinary = HEAD + b"Content-Length: 4\r\n\r\nbody"
        self.assertEqual(await self.status(await self.connect(ordinary)), 200)

    async def test_new_connections_replace_idle_ones(self) -> None:
        """The one that has been idle longest is closed."""
        readers = [await self.connect() for _ in range(9)]
        await self.wait_until(lambda: self.shed)
        self.assertEqual(await self.status(readers[0]), 0)
        ordinary = HEAD + b"Content-Length: 0\r\n\r\n"
        self.assertEqual(await self.status(await self.connect(ordinary)), 200)

    async def test_requests_beyond_the_limit_are_refused_at_once(self) -> None:
        """They have not run, and their connections stay open."""
        self.answerable.clear()
        ordinary = HEAD + b"Content-Length: 0\r\n\r\n"
        for number in range(3):
            await self.connect(ordinary)
            await self.wait_until(lambda number=number: len(self.requests) > number)
        refused = await self.connect(ordinary)
        self.assertEqual(await self.status(refused), 503)
        self.assertEqual(len(self.requests), 3)
        self.assertEqual(self.exceeded, ["requests"])
        self.answerable.set()
        await self.wait_until(lambda: not self.budget.handled)
        self.writers[-1].write(ordinary)
        self.assertEqual(await self.status(refused), 200)

    async def test_client_that_leaves(self) -> None:
        """Its request in progress counts until it ends."""
        self.answerable.clear()
        await self.connect(HEAD + b"Content-Length: 4\r\n\r\nbody")
        await self.wait_until(lambda: self.requests)
        self.writers[-1].transport.abort()
        await self.wait_until(lambda: not self.server.connections)
        self.assertEqual(self.budget.handled, 1)
        self.assertGreater(self.budget.used_bytes, 0)


if __name__ == "__main__":
    unittest.main()
