"""Requests that wait for an earlier one on their connection."""

import asyncio
import unittest

from poplarlb.transport.http_server import HttpRequest, HttpResponse, HttpServer
from tests.platform.deployment import free_address


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


if __name__ == "__main__":
    unittest.main()
