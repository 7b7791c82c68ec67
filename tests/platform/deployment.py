"""Runs the platform's daemons in one process, with a fake store and fake workers."""

import asyncio
import json
import pathlib
import socket
import tempfile

import orjson
from attrs import Factory, define, field

from poplarlb.event_log import EventLog
from poplarlb.platform.daemon import PlatformDaemon
from poplarlb.platform.settings import load_settings
from poplarlb.transport.clock import boottime_ms, utc_ms
from poplarlb.transport.http_client import ClientResponse, HttpClient
from tests.coordination.jobs.fake_worker import FakeWorker
from tests.soak.link import Link
from tests.standins.users_platform import StoreService, WorkerService

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "orders",
            "host": "orders.example",
            "prefix": "/o/",
            "kind": "unsafe",
            "timeoutMs": 3000,
            "sloMs": 250,
            "priority": 0,
            "service": "desk",
            "maxAttempts": 3,
            "stretch": 1.5,
        }
    ],
    "services": [{"name": "desk", "admissionControl": False, "spare": False}],
    "limits": {
        "maxHeaderBytes": 4096,
        "maxBodyBytes": 20_000,
        "headerTimeoutMs": 500,
        "idleTimeoutMs": 5000,
    },
}
JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "memMb": 256}]}


issued_addresses: set[str] = set()


def free_address() -> str:
    """Return an unused loopback address that was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        if address not in issued_addresses:
            issued_addresses.add(address)
            return address


@define(eq=False)
class RecordingLog(EventLog):
    """A log that records its lines for tests."""

    recorded: list[dict] = Factory(list)

    def flush(self) -> None:
        """Record the lines instead of writing them."""
        while self.lines:
            self.recorded.append(orjson.loads(self.lines.popleft()))


@define(eq=False)
class Deployment:
    """A fake store, fake workers and daemons on loopback addresses."""

    store: StoreService = Factory(StoreService)
    workers: WorkerService = None
    daemons: dict[str, PlatformDaemon] = Factory(dict)
    running: dict[str, asyncio.Task] = Factory(dict)
    client: HttpClient = field(factory=HttpClient)
    folder: tempfile.TemporaryDirectory = field(factory=tempfile.TemporaryDirectory)
    store_address: str = ""
    link: Link | None = None  # between the daemons and the store
    config_ms: int = 2_000  # within which a configuration must be in force
    lines: list[dict] = Factory(list)

    async def start(
        self, daemons: int = 1, workers: int = 2, linked: bool = False
    ) -> None:
        """Start everything and wait until a daemon owns the jobs.

        :param linked: daemons reach the store through ``link``.
        """
        self.store_address = free_address()
        await self.store.start(self.store_address)
        if linked:
            self.link = Link(free_address(), self.store_address)
            await self.link.start()
            self.store_address = self.link.listen
        self.workers = WorkerService(self.store.table)
        for number in range(workers):
            worker = FakeWorker(f"w{number}", incarnation=1_000 + number)
            await self.workers.add(worker, free_address())
        self.configure(CONFIG)
        for number in range(daemons):
            await self.start_daemon(f"d{number}")
        await self.wait_until(lambda: any(item.owns_jobs() for item in self.live()))

    def configure(self, config: dict) -> None:
        """Write the operator's configuration."""
        self.store.table.put("op/config", json.dumps(config).encode())

    def live(self) -> list[PlatformDaemon]:
        """Return the running daemons."""
        return [self.daemons[name] for name in self.running]

    async def start_daemon(self, name: str, cores: int = 1) -> None:
        """Start one daemon on a host with a number of processors."""
        path = pathlib.Path(self.folder.name) / f"{name}.json"
        path.write_text(json.dumps(self.settings(name, cores)))
        log = RecordingLog(name, lambda: (boottime_ms(), utc_ms()), recorded=self.lines)
        daemon = PlatformDaemon(load_settings(path), path, log)
        self.daemons[name] = daemon
        self.running[name] = asyncio.ensure_future(daemon.run())
        await self.wait_until(daemon.is_ready)

    def settings(self, name: str, cores: int = 1) -> dict:
        """Return a settings file as the platform writes it."""
        return {
            "node": name,
            "zone": "z1",
            "ip": "127.0.0.1",
            "listen": {"front": free_address(), "ready": free_address()},
            "limits": {"cpuShare": 0.5, "cores": cores},
            "zones": {"z1": "r1", "z2": "r1"},
            "bounds": {
                "graceS": 2,
                "stopMs": 200,
                "holdMaxMs": 10_000,
                "configMs": self.config_ms,
            },
            "platform": {"addr": self.store_address},
            "unknown": {"ignored": True},
        }

    def kill(self, name: str) -> None:
        """End a daemon as a crash would, without a handover."""
        daemon = self.daemons[name]
        self.running.pop(name).cancel()
        if daemon.ownership.owner is not None:
            daemon.ownership.owner.close()
        for server in daemon.servers:
            server.close()
            for connection in list(server.connections):
                connection.transport.abort()
        daemon.client.close()

    async def call(
        self, method: str, path: str, body: dict | bytes = b"", daemon: str = "d0"
    ) -> ClientResponse:
        """Call a daemon's job API as a submitter does."""
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        address = self.daemons[daemon].settings.listen.front
        request = (
            f"{method} {path} HTTP/1.1\r\nHost: orders.example\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        connection = await self.client._connect(address, 1.0)
        return await asyncio.wait_for(connection.exchange(request), 5)

    async def state(self, job_id: str, daemon: str = "d0") -> str:
        """Return a job's state in the job API; the status if there is no body."""
        answer = await self.call("GET", f"/o/{job_id}", daemon=daemon)
        return json.loads(answer.body)["state"] if answer.body else str(answer.status)

    async def wait_until(self, condition, timeout_s: float = 8.0) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.02)

    async def wait_for_state(
        self, job_id: str, state: str, daemon: str = "d0", timeout_s: float = 8.0
    ) -> None:
        """Wait until the job API returns a state for a job."""
        async with asyncio.timeout(timeout_s):
            while await self.state(job_id, daemon) != state:
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop everything."""
        for name in list(self.running):
            self.kill(name)
        self.workers.close()
        if self.link is not None:
            self.link.close()
        self.store.server.close()
        self.client.close()
        self.folder.cleanup()
