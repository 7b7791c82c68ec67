"""Crowds of clients that don't keep to the limits, against a ``poplarlbd`` process.

Checked after each crowd, while its connections are open: the process lives, its memory
and descriptors are within those of its machine, and an ordinary request is answered.
"""

import asyncio
import json
import os
import pathlib
import resource
import sys
import tempfile
import unittest

from poplarlb.state.models import Resources
from tests.harness.crowd import Crowd, ProcessWatch, ask, make_payloads
from tests.platform.deployment import free_address
from tests.standins.http import serve
from tests.standins.platform import FakePlatform
from tests.standins.store import FakeStoreServer
from tests.test_daemon import TEAM

REPOSITORY = pathlib.Path(__file__).parent.parent.parent
SETTINGS = """
member_id = "d1"
zone = "kochi"
[store]
address = "{store}"
[platform]
hosts_address = "{hosts}"
hosts_period_ms = 200
[shards]
zones = ["kochi"]
[api]
listen = "{callers}"
operator_listen = "{operators}"
[peers]
listen = "{peers}"
"""
START_TIMEOUT_S = 60
CLIENTS = 450
MEMORY_MB = 160  # of the smallest machine
DESCRIPTORS = 400  # that the process may open; fewer than there are clients
DESCRIPTORS_BOUND = 350  # the rest is for its own calls
PATH = "/v1/services/dairy/orders/confirm"
PAYLOADS = make_payloads(
    f"POST {PATH} HTTP/1.1\r\nHost: d1\r\n".encode(),
    header_bytes=65_536,
    body_bytes=8 << 20,
    header_lines=99,
)
# The operators' API takes smaller bodies.
OPERATOR_PAYLOADS = make_payloads(
    b"POST /v1/config HTTP/1.1\r\nHost: d1\r\n", header_bytes=65_536, body_bytes=4 << 20
)
PEER_PAYLOADS = make_payloads(
    b"GET / HTTP/1.1\r\nHost: d1\r\n", header_bytes=65_536, body_bytes=4 << 20
)


def limit_descriptors() -> None:
    """Limit the descriptors of the process that is being started."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


class CrowdTest(unittest.IsolatedAsyncioTestCase):
    """A process with few descriptors, and fakes of the platform."""

    async def asyncSetUp(self) -> None:
        """Start them; wait until a service answers."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = FakeStoreServer()
        store = serve(self.store.answer)
        self.addCleanup(store.stop)
        self.platform = FakePlatform()
        for number in range(2):
            self.platform.add("kochi", number, Resources(16_000, 60_000), 6)
        self.addCleanup(self.platform.stop)
        hosts = serve(self.platform.answer)
        self.addCleanup(hosts.stop)
        self.callers, self.operators, self.peers = (free_address() for _ in range(3))
        path = pathlib.Path(folder.name, "d1.toml")
        text = SETTINGS.format(
            store=store.address,
            hosts=hosts.address,
            callers=self.callers,
            operators=self.operators,
            peers=self.peers,
        )
        path.write_text(text)
        with open(pathlib.Path(folder.name, "d1.log"), "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "poplarlb.daemon", "--config", str(path),
                cwd=REPOSITORY, env=dict(os.environ), stdout=log, stderr=log,
                preexec_fn=limit_descriptors,
            )  # fmt: skip
        async with asyncio.timeout(START_TIMEOUT_S):
            await self.wait_for(self.apply_template)
            await self.wait_for(self.call_service)

    async def asyncTearDown(self) -> None:
        """Kill the process."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def wait_for(self, call) -> None:
        """Repeat a call until its answer is 200."""
        while True:
            try:
                if await call() == 200:
                    return
            except OSError:
                pass  # the process is starting
            await asyncio.sleep(0.2)

    async def apply_template(self) -> int:
        """Apply one team's template; return the status."""
        change = {
            "change_id": "c1",
            "operator": "asha",
            "base_version": 0,
            "teams": [{**TEAM, "zones": ["kochi"]}],
            "removed": [],
        }
        return await self.post(self.operators, "/v1/config", json.dumps(change))

    async def call_service(self) -> int:
        """Return the status of the answer to an ordinary request."""
        return await self.post(self.callers, PATH, "{}")

    async def post(self, address: str, path: str, body: str) -> int:
        """Return the status of the answer to one request."""
        head = f"POST {path} HTTP/1.1\r\nHost: d1\r\nContent-Length: {len(body)}\r\n"
        return await ask(address, f"{head}\r\n{body}".encode())

    async def meet(self, address: str, payload: bytes) -> None:
        """Let a crowd come and check the process while the crowd is there."""
        watch = ProcessWatch(self.process.pid)
        sampling = asyncio.ensure_future(watch.run())
        crowd = Crowd(address, payload)
        try:
            await crowd.send(CLIENTS)
            watch.sample()
            self.assertIsNone(self.process.returncode, "the process has ended")
            self.assertEqual(await self.call_service(), 200)
            await watch.settle()
            self.assertEqual(await self.call_service(), 200)
            self.assertIsNone(self.process.returncode, "the process has ended")
            self.assertLessEqual(watch.peak_memory_mb, MEMORY_MB)
            self.assertLessEqual(watch.most_descriptors, DESCRIPTORS_BOUND)
        finally:
            crowd.close()
            sampling.cancel()

    async def test_short_header_lines(self) -> None:
        """Requests of legal size, made of very many short header lines."""
        await self.meet(self.callers, PAYLOADS["short header lines"])

    async def test_header_lines_without_a_value(self) -> None:
        """Requests of legal size, made of very many odd header lines."""
        await self.meet(self.callers, PAYLOADS["header lines without a value"])

    async def test_head_over_the_limit(self) -> None:
        """One header line is far larger than a head may be."""
        await self.meet(self.callers, PAYLOADS["a head over the limit"])

    async def test_header_line_without_end(self) -> None:
        """A header line that never ends."""
        await self.meet(self.callers, PAYLOADS["a header line without end"])

    async def test_header_name_without_end(self) -> None:
        """A header name that never ends."""
        await self.meet(self.callers, PAYLOADS["a header name without end"])

    async def test_empty_lines_without_end(self) -> None:
        """Empty lines before a request that never comes."""
        await self.meet(self.callers, PAYLOADS["empty lines without end"])

    async def test_large_chunks(self) -> None:
        """Chunked bodies in one chunk that stop just short of their end."""
        await self.meet(self.callers, PAYLOADS["large chunks"])

    async def test_very_small_chunks(self) -> None:
        """Chunked bodies of single bytes that stop just short of their end."""
        await self.meet(self.callers, PAYLOADS["very small chunks"])

    async def test_operators_port(self) -> None:
        """The operators' address has limits, too."""
        for kind in ("a header line without end", "large chunks"):
            await self.meet(self.operators, OPERATOR_PAYLOADS[kind])

    async def test_peers_port(self) -> None:
        """The address for other daemons has limits, too."""
        for kind in ("short header lines", "a header line without end"):
            await self.meet(self.peers, PEER_PAYLOADS[kind])


if __name__ == "__main__":
    unittest.main()
