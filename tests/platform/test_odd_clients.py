"""Crowds of clients that don't keep to the limits, against a daemon process.

Checked after each crowd, while its connections are open: the process lives, its memory
and descriptors are within those of its machine, and an ordinary request is answered.
"""

import asyncio
import json
import os
import pathlib
import tempfile
import unittest
import unittest.mock

from attrs import define

from poplarlb.platform.settings import METRICS_PORT_VARIABLE
from tests.harness.crowd import Crowd, ProcessWatch, ask, make_payloads
from tests.platform.deployment import CONFIG, JOB, free_address
from tests.soak.daemons import DaemonProcess
from tests.standins.users_platform import StoreService

# Clients are cut off by the limits under test, not by a timeout.
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 262_144,
    "headerTimeoutMs": 120_000,
    "idleTimeoutMs": 120_000,
}
READY_TIMEOUT_S = 30
CLIENTS = 450
MEMORY_MB = 80
DESCRIPTORS = 1_600
FEW_DESCRIPTORS = 400  # fewer than there are clients
PAYLOADS = make_payloads(
    b"POST /o/00000000000000aa HTTP/1.1\r\nHost: orders.example\r\n",
    LIMITS["maxHeaderBytes"],
    LIMITS["maxBodyBytes"],
)


@define(eq=False)
class SmallMachineDaemon(DaemonProcess):
    """A daemon process on a machine with little memory and few descriptors."""

    memory_mb: int = MEMORY_MB
    descriptors: int = DESCRIPTORS

    def _settings(self) -> dict:
        limits = {"memoryMb": self.memory_mb, "maxFds": self.descriptors}
        settings = super()._settings()
        return {**settings, "limits": {**settings["limits"], **limits}}


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """A store and one daemon process."""

    descriptors = DESCRIPTORS

    async def asyncSetUp(self) -> None:
        """Start them and wait until the daemon is ready."""
        self.folder = tempfile.TemporaryDirectory()
        self.store = StoreService()
        store_address = free_address()
        await self.store.start(store_address)
        config = {**CONFIG, "limits": LIMITS}
        self.store.table.put("op/config", json.dumps(config).encode())
        self.daemon = await SmallMachineDaemon.create(
            "d0", pathlib.Path(self.folder.name), store_address
        )
        self.daemon.descriptors = self.descriptors
        self.metrics_address = free_address()
        port = self.metrics_address.rpartition(":")[2]
        with unittest.mock.patch.dict(os.environ, {METRICS_PORT_VARIABLE: port}):
            await self.daemon.start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def asyncTearDown(self) -> None:
        """Stop them."""
        await self.daemon.kill()
        self.store.server.close()
        self.folder.cleanup()

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            return await self.check_readiness() == 200
        except OSError:
            return False

    async def check_readiness(self) -> int:
        """Return the status of the readiness check."""
        request = b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n"
        return await ask(self.daemon.ready_address, request)

    async def submit_job(self) -> int:
        """Return the status of the answer to an ordinary submission."""
        body = json.dumps(JOB).encode()
        head = (
            "POST /o/00000000000000bb HTTP/1.1\r\nHost: orders.example\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return await ask(self.daemon.api_address, head.encode() + body)

    async def meet(self, kind: str, address: str = "") -> None:
        """Let a crowd come and check the process while the crowd is there."""
        watch = ProcessWatch(self.daemon.process.pid)
        sampling = asyncio.ensure_future(watch.run())
        crowd = Crowd(address or self.daemon.api_address, PAYLOADS[kind])
        try:
            await crowd.send(CLIENTS)
            watch.sample()
            self.assertTrue(self.daemon.running, "the process has ended")
            self.assertEqual(await self.submit_job(), 200)
            self.assertEqual(await self.check_readiness(), 200)
            await watch.settle()
            self.assertEqual(await self.submit_job(), 200)
            self.assertTrue(self.daemon.running, "the process has ended")
            self.assertLessEqual(watch.peak_memory_mb, MEMORY_MB)
            self.assertLessEqual(watch.most_descriptors, self.descriptors)
        finally:
            crowd.close()
            sampling.cancel()


class MemoryTest(CrowdTestCase):
    """Guards against clients that make the process hold more than its memory."""

    async def test_short_header_lines(self) -> None:
        """Requests of legal size, made of very many short header lines."""
        await self.meet("short header lines")

    async def test_header_lines_without_a_value(self) -> None:
        """Requests of legal size, made of very many odd header lines."""
        await self.meet("header lines without a value")

    async def test_head_over_the_limit(self) -> None:
        """One header line is far larger than a head may be."""
        await self.meet("a head over the limit")

    async def test_header_line_without_end(self) -> None:
        """A header line that never ends."""
        await self.meet("a header line without end")

    async def test_header_name_without_end(self) -> None:
        """A header name that never ends."""
        await self.meet("a header name without end")

    async def test_empty_lines_without_end(self) -> None:
        """Empty lines before a request that never comes."""
        await self.meet("empty lines without end")

    async def test_large_chunks(self) -> None:
        """Chunked bodies in one chunk that stop just short of their end."""
        await self.meet("large chunks")

    async def test_very_small_chunks(self) -> None:
        """Chunked bodies of single bytes that stop just short of their end."""
        await self.meet("very small chunks")

    async def test_readiness_port(self) -> None:
        """The address of the readiness check has the same limits."""
        for kind in ("a header line without end", "large chunks"):
            await self.meet(kind, self.daemon.ready_address)

    async def test_metrics_port(self) -> None:
        """So has the address of the metrics."""
        for kind in ("a header line without end", "large chunks"):
            await self.meet(kind, self.metrics_address)


class DescriptorTest(CrowdTestCase):
    """Guards against more open connections than the process has descriptors for."""

    descriptors = FEW_DESCRIPTORS

    async def test_short_header_lines(self) -> None:
        """Connections with an unfinished head."""
        await self.meet("short header lines")

    async def test_empty_lines_without_end(self) -> None:
        """Connections with empty lines before a request that never comes."""
        await self.meet("empty lines without end")

    async def test_large_chunks(self) -> None:
        """Connections with an unfinished body."""
        await self.meet("large chunks")


if __name__ == "__main__":
    unittest.main()
