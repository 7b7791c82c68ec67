"""Tests of the peer transport: valid messages are received, others rejected."""

import asyncio
import io
import json
import unittest
import unittest.mock
from collections.abc import Callable

import websockets
from loguru import logger
from websockets.asyncio.client import connect

from poplarlb.logs import configure_logs
from poplarlb.protocol import codec, messages
from poplarlb.settings import LogSettings, PeerSettings
from poplarlb.transport import peers

SECRET = "correct horse"
WAIT_S = 10.0
HEARTBEAT = messages.Heartbeat(1, 2, 3)
ODD_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:x",
    "127.0.0.1:80\r\nX: y",
    "\ud800:80",
    "x" * 300 + ":80",
    "a..b:80",
    "[::1:80",
)


class PeerTransportTest(unittest.IsolatedAsyncioTestCase):
    """Valid and malicious input over sockets."""

    async def asyncSetUp(self) -> None:
        """Listen with a secret."""
        self.received: list = []
        self.transport = peers.PeerTransport(
            PeerSettings(secret=SECRET), "d1", lambda *args: self.received.append(args)
        )
        self.address = await self.transport.start()
        self.addAsyncCleanup(self.transport.stop)

    async def send(
        self,
        *frames: bytes | str,
        secret: str = SECRET,
        name: str = "d2",
        headers: list[tuple[str, str]] | None = None,
    ) -> int | None:
        """Send frames and a valid one; return the code with which the server closed.

        :param headers: of the handshake, instead of those with secret and name.
        """
        headers = headers or [
            (peers.SECRET_HEADER, secret),
            (peers.MEMBER_HEADER, name),
        ]
        async with connect(
            f"ws://{self.address}",
            subprotocols=[peers.PROTOCOL_VERSION],
            additional_headers=headers,
            max_size=None,
            proxy=None,
        ) as socket:
            try:
                for frame in (*frames, codec.encode(HEARTBEAT, messages.PeerMessage)):
                    await socket.send(frame)
                await socket.ping()
                await socket.close()
            except websockets.ConnectionClosed:
                pass
        await self.wait_until(lambda: not self.transport.server.handlers)
        return socket.close_code

    async def wait_until(self, is_over: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_S):
            while not is_over():
                await asyncio.sleep(0.01)

    async def test_good_message(self) -> None:
        """A message is received together with its sender's id."""
        await self.send()
        self.assertEqual(self.received, [("d2", HEARTBEAT)])

    async def test_bad_messages_are_counted(self) -> None:
        """Invalid frames are counted and dropped; the connection stays open."""
        good = codec.encode(HEARTBEAT, messages.PeerMessage)
        unknown = good.replace(b"Heartbeat", b"Heartbeet")
        bad = ("text", b"", b"\xff\xff", good[:-3], good + b"\x00", unknown)
        await self.send(*bad)
        self.assertEqual(self.transport.rejected["bad_message"], len(bad))
        self.assertEqual(self.received, [("d2", HEARTBEAT)])

    async def test_wrong_secret(self) -> None:
        """A connection without the secret is closed, and no message is received."""
        for secret in ("", "correct hors", "correct horses"):
            self.assertEqual(await self.send(secret=secret), 1008)
        self.assertEqual(self.transport.rejected["unauthorized"], 3)
        self.assertEqual(self.received, [])

    async def test_silent_connections_are_limited(self) -> None:
        """Guards against clients that send no secret and use up the descriptors."""
        host, _, port = self.address.rpartition(":")
        silent = [
            await asyncio.open_connection(host, int(port))
            for _ in range(2 * peers.UNAUTHORIZED_LIMIT)
        ]
        self.addCleanup(lambda: [writer.close() for _, writer in silent])
        await self.wait_until(
            lambda: len(self.transport.server.handlers) <= peers.UNAUTHORIZED_LIMIT
        )
        limit = peers.UNAUTHORIZED_LIMIT
        self.assertEqual(self.transport.rejected["connections"], limit)
        async with connect(
            f"ws://{self.address}",
            subprotocols=[peers.PROTOCOL_VERSION],
            additional_headers=[
                (peers.SECRET_HEADER, SECRET), (peers.MEMBER_HEADER, "d2"),
            ],
            proxy=None,
        ) as socket:  # fmt: skip
            await socket.send(codec.encode(HEARTBEAT, messages.PeerMessage))
            await self.wait_until(lambda: self.received)
            self.assertEqual(len(self.transport.unauthorized), limit - 1)

    async def test_oversized_message(self) -> None:
        """A message over the limit closes only its own connection."""
        code = await self.send(b"x" * (codec.MAX_MESSAGE_BYTES + 1))
        self.assertEqual(code, 1009)
        await self.send()
        self.assertEqual(self.received, [("d2", HEARTBEAT)])

    async def test_odd_names_are_rejected(self) -> None:
        """Guards against a sender's name that ends the handling or is used as it is."""
        for name in ("", "D2", "d2 d3", "d" * 64, "d\xe9", "../d2", "-d2"):
            with self.subTest(name=name):
                rejected = self.transport.rejected["unauthorized"]
                self.assertEqual(await self.send(name=name), 1008)
                self.assertEqual(self.transport.rejected["unauthorized"], rejected + 1)
        twice = [(peers.MEMBER_HEADER, "d2"), (peers.MEMBER_HEADER, "d3")]
        self.assertEqual(await self.send(headers=twice), 1008)
        odd_secret = [(peers.MEMBER_HEADER, "d2"), (peers.SECRET_HEADER, "\xe9")]
        self.assertEqual(await self.send(headers=odd_secret), 1008)
        self.assertEqual(self.received, [])

    async def test_bad_messages_are_logged_once(self) -> None:
        """Guards against refused messages and connections that no log line names."""
        logs = io.StringIO()
        configure_logs(LogSettings(json=True), "d1", logs)
        self.addCleanup(logger.remove)
        for _ in range(3):
            await self.send(b"\x81" * 100_000, b"\xff" * 1_000)
            await self.send(secret="wrong-guess")
        lines = [json.loads(line) for line in logs.getvalue().splitlines()]
        reasons = [(line["sender"], line["outcome"]) for line in lines]
        self.assertEqual(
            reasons, [("d2", "message refused"), ("d2", "connection refused")]
        )
        self.assertNotIn("wrong-guess", logs.getvalue())
        self.assertLess(len(logs.getvalue()), 2_000)

    async def test_odd_address_ends_no_sender(self) -> None:
        """Guards against a member's odd address that ends its sender without a line."""
        logs = io.StringIO()
        configure_logs(LogSettings(json=True), "d1", logs)
        self.addCleanup(logger.remove)
        with unittest.mock.patch.object(peers, "RECONNECT_DELAY_S", 0.01):
            for address in ODD_ADDRESSES:
                with self.subTest(address=ascii(address)[:40]):
                    logs.seek(0)
                    logs.truncate()
                    for _ in range(3):
                        self.assertTrue(self.transport.send(address, HEARTBEAT))
                        await self.wait_until(self.transport.queues[address].empty)
                    self.assertFalse(self.transport.senders[address].done())
                    self.assertEqual(len(logs.getvalue().splitlines()), 1)
                    self.assertLess(len(logs.getvalue()), 2_000)

    async def test_other_protocol_version(self) -> None:
        """A connection with another protocol version is rejected."""
        headers = {peers.SECRET_HEADER: SECRET, peers.MEMBER_HEADER: "d2"}
        with self.assertRaises(websockets.InvalidStatus):
            await connect(
                f"ws://{self.address}",
                subprotocols=["poplarlb.0"],
                additional_headers=headers,
                proxy=None,
            )
