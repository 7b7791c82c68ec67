"""A small deployment on loopback: stand-ins, daemon processes, a caller, a record."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable

from bed.http import call, free_address
from bed.store import Store
from bed.workers import Fleet

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
ROUTE, PREFIX = "r-desk", "/jobs-desk/"
HOST = "desk.example"
LOG_CHARACTERS = 2_000  # of the log of a daemon that doesn't start
READY_S = 20.0  # the longest wait for daemons to be ready
FINISH_S = 14.0  # bounds.finish_s
BOUNDS = {  # those of the example in DEPLOY.md
    "stableMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "slackMs": 200,
    "configMs": 2000,
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
    "leaseMs": 3000,
    "paceMs": 100,
    "harmMs": 4000,
}


class NotRunError(Exception):
    """The case couldn't run; nothing was judged."""


class Daemon:
    """One daemon process, started with the command of the deploy file."""

    def __init__(self, name: str, folder: pathlib.Path, settings: dict) -> None:
        """Write the settings file."""
        self.name = name
        self.folder = folder
        self.front = settings["listen"]["front"]
        self.ready = settings["listen"]["ready"]
        self.path = folder / f"{name}.json"
        self.path.write_text(json.dumps(settings))
        self.process: subprocess.Popen | None = None

    def start(self, run: list[str], variables: dict[str, str]) -> None:
        """Start the process; its log goes to a file in the temporary folder."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= variables
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["POPLARLB_BOOT"] = str(self.path)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def end(self) -> None:
        """Kill the process, also if it is stopped."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Bed:
    """The deployment of one case."""

    def __init__(self, folder: pathlib.Path, record, capacity: dict) -> None:
        """Create the stand-ins."""
        self.folder = folder
        self.record = record
        self.began_s = time.monotonic()
        self.store = Store()
        self.fleet = Fleet(self.store, self.note, capacity)
        self.daemons: list[Daemon] = []
        self.advice_address = ""
        self.version = 0
        self.turn = 0

    def note(self, event: str, **fields) -> None:
        """Write one line of the record."""
        at_s = time.monotonic() - self.began_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(f"{at_s:8.3f} {event} {text}\n")
        self.record.flush()

    def settings(self, name: str, zone: str) -> dict:
        """Return the settings of a daemon, as in the example of DEPLOY.md."""
        return {
            "node": name,
            "role": "daemon",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "kerala",
            "zones": {"kochi": "kerala", "thrissur": "kerala", "kollam": "kerala"},
            "listen": {"front": free_address(), "ready": free_address()},
            "internalPortRange": [7720, 7735],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpuShare": 1.0, "cores": 1, "memoryMb": 300, "maxFds": 4100},
            "dataDir": None,
            "heartbeatMs": 1500,
            "bounds": BOUNDS,
            "controlMode": "rpc",
            "advice": self.advice_address,
            "platform": {
                "addr": self.store.address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }

    def configure(self, **queue) -> None:
        """Write a version of the operator's configuration."""
        self.version += 3
        route = {
            "name": ROUTE,
            "host": HOST,
            "prefix": PREFIX,
            "kind": "unsafe",
            "timeoutMs": 3000,
            "sloMs": 1000,
            "priority": 0,
            "service": self.fleet.service,
            "maxAttempts": 3,
            "stretch": 2.0,
            **queue,
        }
        service = {
            "name": self.fleet.service,
            "healthPath": "/healthz",
            "maxConns": 64,
            "admissionControl": False,
            "spare": False,
        }
        config = {"version": self.version, "routes": [route], "services": [service]}
        self.store.put_json("op/config", config)
        self.note("config", version=self.version, **queue)

    async def start_daemons(self, count: int = 3) -> None:
        """Start daemons, and wait until all are ready."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["daemon"]
        run = [
            sys.executable if word == "python3" else word
            for word in role["run"].split()
        ]
        zones = ("kochi", "thrissur", "kollam")
        for number in range(count):
            zone = zones[number % len(zones)]
            name = f"edge-{zone}-{number + 1}"
            daemon = Daemon(name, self.folder, self.settings(name, zone))
            daemon.start(run, {})
            self.daemons.append(daemon)
        until_s = time.monotonic() + READY_S
        for daemon in self.daemons:
            while (await call(daemon.ready, "GET", "/v1/readyz") or (0,))[0] != 200:
                if time.monotonic() > until_s or daemon.process.poll() is not None:
                    log = (self.folder / f"{daemon.name}.log").read_text()
                    self.note("daemon_log", text=log[-LOG_CHARACTERS:])
                    raise NotRunError(f"{daemon.name} isn't ready")
                await asyncio.sleep(0.1)
        self.note("daemons_ready", count=count)

    def next_front(self) -> str:
        """Return the next running daemon's front address, in turn."""
        running = [item for item in self.daemons if item.process.poll() is None]
        if not running:
            raise NotRunError("no daemon runs")
        self.turn += 1
        return running[self.turn % len(running)].front

    async def request(self, method: str, job: str, body: dict | None = None):
        """Send one call of a requester; return its answer or None."""
        headers = (f"Host: {HOST}", "X-Poplarlb-Deadline-Ms: 3000")
        answer = await call(self.next_front(), method, PREFIX + job, body, headers)
        self.note("request", method=method, job=job, answer=answer)
        return answer

    async def submit(self, job: str, steps: list[dict], work_s: float, **more) -> bool:
        """Hand in a job, with up to four retries; return whether it was accepted."""
        body = {"spec": f"spec of {job}", "steps": steps, **more}
        self.fleet.jobs[job] = body
        self.fleet.works[job] = work_s
        for _ in range(5):
            answer = await self.request("POST", job, body)
            if answer is not None and 200 <= answer[0] < 300:
                return True
            if answer is not None and answer[0] not in (429, 502, 503, 504):
                return False
            await asyncio.sleep(1.0)
        return False

    async def state(self, job: str) -> str:
        """Return a job's state as a requester sees it; the status if it isn't 200."""
        for _ in range(3):
            answer = await self.request("GET", job)
            if answer is not None and answer[0] == 200:
                return answer[1]["state"]
            if answer is not None and answer[0] not in (429, 502, 503, 504):
                return str(answer[0])
            await asyncio.sleep(0.5)
        return "no answer"

    def end(self) -> None:
        """End all processes and stand-ins."""
        for daemon in self.daemons:
            daemon.end()
        self.fleet.stop()
        self.store.server.stop()


async def watch_idle(
    bed: Bed, jobs: list[str], needed_cpu: int, watch_s: float
) -> list[str]:
    """Return the jobs that break the rule LOST's bound on idle jobs.

    That is: for 3 s on end, a job that isn't final has nothing running, while the
    workers that are up have its processors free twice over, and less than half of the
    service is in use.
    """
    idle_since: dict[str, float] = {}
    broken: list[str] = []
    final: set[str] = set()
    until_s = time.monotonic() + watch_s
    while time.monotonic() < until_s:
        await asyncio.sleep(0.1)
        now_s = time.monotonic()
        used, total = bed.fleet.free_cpu()
        room = total - used >= 2 * needed_cpu and used < total / 2
        for job in jobs:
            if job in final or bed.fleet.running(job) or not room:
                idle_since.pop(job, None)
                continue
            if now_s - idle_since.setdefault(job, now_s) > 3.0 and job not in broken:
                state = await bed.state(job)
                if state in ("pending", "active"):
                    broken.append(job)
                    bed.note("idle", job=job, state=state, used=used, total=total)
                else:
                    final.add(job)
    return broken


def play(case: Callable[[Bed, bool], Awaitable[str]], capacity: dict) -> None:
    """Run a case with its record, and exit with 0, 1 or 2.

    :param case: returns what broke the rule; empty if it held.
    """
    folder = pathlib.Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = NOT_RUN
    with (
        open(folder / "record.txt", "w") as record,
        tempfile.TemporaryDirectory(prefix="case-") as temporary,
    ):

        async def run() -> str:
            bed = Bed(pathlib.Path(temporary), record, capacity)
            bed.note("begin", trouble=trouble)
            loop, task = asyncio.get_running_loop(), asyncio.current_task()
            loop.add_signal_handler(signal.SIGTERM, task.cancel)
            try:
                await bed.store.server.start()
                return await case(bed, trouble)
            finally:
                bed.end()

        try:
            broken = asyncio.run(run())
            status = BROKEN if broken else HELD
            verdict = f"BROKEN: {broken}" if broken else "HELD"
        except (Exception, asyncio.CancelledError) as error:
            verdict = f"NOT RUN: {error!r}"
            traceback.print_exc(file=record)
        record.write(verdict + "\n")
    print(verdict)
    sys.exit(status)
