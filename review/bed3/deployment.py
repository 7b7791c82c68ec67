"""A small deployment on loopback: a store, workers, and daemons as processes."""

import asyncio
import base64
import json
import os
import pathlib
import shlex
import signal
import socket
import tempfile
import time
import tomllib

from bed3.http import call
from bed3.store import Store
from bed3.workers import Worker

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("kochi", "thrissur", "kozhikode", "kollam")
SERVICE = "dealer-desk"
HOST = "nony24.example"
PREFIX = "/lohu930/"
VISIBLE_S = 3.0
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "slackMs": 200,
    "configMs": 2000,
    "downgradeMs": 250,
    "maxSkewMs": 5000,
    "evacuateMs": 5000,
    "recoverS": 12,
    "holdMaxMs": 6000,
    "stopMs": 200,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "farX": 1.5,
    "saveS": 0.5,
    "restoreMs": 250,
    "noticeMs": 4500,
    "requireFence": True,
    "leaseMs": 3000,
    "paceMs": 100,
    "harmMs": 4000,
}


def free_address(host: str = "127.0.0.1") -> str:
    """Return an address on loopback with a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class Record:
    """Writes what was sent, answered and run, a line each, with the time."""

    def __init__(self, path: pathlib.Path) -> None:
        """Begin the record anew."""
        self.file = path.open("w")
        self.began_s = time.monotonic()
        self.rows: list[tuple[float, str, dict]] = []

    def now_s(self) -> float:
        """Return the time since the record began."""
        return time.monotonic() - self.began_s

    def note(self, event: str, **fields) -> None:
        """Write one line."""
        at_s = self.now_s()
        self.rows.append((at_s, event, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at_s:9.3f} {event} {text}\n")
        self.file.flush()

    def find(self, event: str, **fields) -> list[tuple[float, dict]]:
        """Return time and fields of the lines with these fields."""
        return [
            (at_s, row)
            for at_s, name, row in self.rows
            if name == event and all(row.get(k) == v for k, v in fields.items())
        ]


class Daemon:
    """One daemon, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, host: str, folder: str, store: str):
        """Choose the daemon's addresses without starting it."""
        self.name, self.zone, self.host = name, zone, host
        self.folder = pathlib.Path(folder)
        self.store = store
        self.front, self.ready = free_address(host), free_address(host)
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Write the settings and start the process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings()))
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"]["daemon"]
        command = shlex.split(role["run"])
        environment = {
            **{
                name: os.environ[name]
                for name in ("PATH", "HOME")
                if name in os.environ
            },
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "POPLARLB_BOOT": str(path),
            # The deploy file's port is taken if another daemon runs on this machine.
            **dict.fromkeys(role.get("env", {}), free_address(self.host).split(":")[1]),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def _settings(self) -> dict:
        return {
            "node": self.name,
            "role": "daemon",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": self.zone,
            "region": "kerala",
            "zones": dict.fromkeys(ZONES, "kerala"),
            "listen": {"front": self.front, "ready": self.ready},
            "internalPortRange": [7720, 7735],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.43,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1500,
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "controlMode": "rpc",
            "platform": {
                "addr": self.store,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }

    async def is_ready(self) -> bool:
        """Return whether the daemon answers its readiness check with 200."""
        status, _ = await call(self.ready, "GET", "/v1/readyz", timeout_s=1.0)
        return status == 200

    async def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """A store, workers in four zones, and three daemons in three of them."""

    def __init__(self, record: Record) -> None:
        """Create a deployment without processes."""
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store_address = free_address()
        self.workers: list[Worker] = []
        self.daemons: list[Daemon] = []

    async def start(self, workers: list[dict], work_ms) -> None:
        """Start everything, with the first configuration, and wait until it is ready.

        :param workers: of each worker its labels and its processors (``cpu``).
        """
        await self.store.start(self.store_address)
        self.store.put("op/config", make_config(1))
        for number, row in enumerate(workers):
            worker = Worker(
                f"i-{number:04x}",
                free_address(),
                self.store,
                self.record.note,
                work_ms,
                service=SERVICE,
                zone=ZONES[number % len(ZONES)],
                hold_max_ms=BOUNDS["holdMaxMs"],
                **row,
            )
            self.workers.append(worker)
            await worker.start()
        for number, zone in enumerate(ZONES[:3]):
            daemon = Daemon(
                f"edge-{zone}-1",
                zone,
                f"127.0.0.{number + 2}",
                self.folder.name,
                self.store_address,
            )
            self.daemons.append(daemon)
            await daemon.start()
        async with asyncio.timeout(15):
            while not all([await daemon.is_ready() for daemon in self.daemons]):
                await asyncio.sleep(0.1)
            while "holder" not in self.store.items:
                await asyncio.sleep(0.1)
        # Every worker has answered the owner's first poll.
        async with asyncio.timeout(10):
            while not all(worker.fence for worker in self.workers):
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        self.record.note("ready", daemons=len(self.daemons), workers=len(workers))

    async def replace(self, worker: Worker, labels: tuple[str, ...]) -> None:
        """Start a new worker, under another id, at the address of one that is gone."""
        worker.server.close()
        other = Worker(
            worker.name + "n",
            worker.address,
            self.store,
            self.record.note,
            worker.work_ms,
            service=worker.service,
            zone=worker.zone,
            labels=labels,
            cpu=worker.cpu,
            hold_max_ms=worker.hold_max_ms,
        )
        self.workers.append(other)
        await other.start()

    def find_owner(self) -> Daemon | None:
        """Return the daemon that the store's key of the owner names."""
        item = self.store.items.get("holder")
        if item is None:
            return None
        name = json.loads(base64.b64decode(item["value"]))["daemon"]
        return next(daemon for daemon in self.daemons if daemon.name == name)

    async def submit(self, job: str, body: dict, daemon: int = 0) -> int:
        """Hand in a job; return the status of the answer."""
        front = self.daemons[daemon].front
        status, _ = await call(front, "POST", PREFIX + job, body, HOST)
        self.record.note("post", job=job, to=self.daemons[daemon].name, status=status)
        return status

    async def read_state(self, job: str, daemon: int = 0) -> str:
        """Return a job's state as a daemon shows it; else the answer's status."""
        front = self.daemons[daemon].front
        status, body = await call(front, "GET", PREFIX + job, host=HOST)
        state = body["state"] if status == 200 else str(status)
        self.record.note("get", job=job, of=self.daemons[daemon].name, state=state)
        return state

    async def read_waiting(self, daemon: int = 0) -> int | None:
        """Return the count of waiting jobs that a daemon gives, None without one."""
        front = self.daemons[daemon].front
        status, body = await call(front, "GET", PREFIX, host=HOST)
        count = body["waiting"] if status == 200 else None
        name = self.daemons[daemon].name
        self.record.note("count", of=name, status=status, waiting=count)
        return count

    async def end(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            await daemon.end()
        for worker in self.workers:
            if worker.life is not None:
                worker.life.cancel()
            if worker.unlisting is not None:
                worker.unlisting.cancel()
            if worker.server is not None:
                worker.server.close()
        self.store.close()
        self.folder.cleanup()


def make_config(version: int) -> dict:
    """Return a configuration with one queue."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-lohu930",
                "host": HOST,
                "prefix": PREFIX,
                "service": SERVICE,
                "priority": 0,
                "maxAttempts": 3,
                "stretch": 1.5,
                "sloMs": 250,
            }
        ],
        "services": [{"name": SERVICE, "admissionControl": False}],
        "limits": {},
    }
