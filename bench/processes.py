"""Starts stand-ins and daemon processes for benchmarks and reads their resource use."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import urllib3
from attrs import Factory, define, frozen

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

DAEMON_SETTINGS = """
member_id = "{name}"
zone = "{zone}"
[store]
address = "{store}"
[platform]
hosts_address = "{hosts}"
[shards]
zones = [{zones}]
[logs]
level = "WARNING"
"""


@frozen
class Usage:
    """The CPU time of a process so far, and its resident memory."""

    cpu_s: float
    resident_bytes: int
    at_s: float


def read_usage(pid: int) -> Usage:
    """Read the CPU time and the memory of a process from ``/proc``."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(ticks / CLOCK_TICKS_PER_S, pages * PAGE_BYTES, time.monotonic())


@define
class Deployment:
    """A context manager that runs stand-ins and daemons as processes."""

    zones: tuple[str, ...]
    workers_per_zone: int
    daemon_count: int
    processes: list[subprocess.Popen] = Factory(list)
    daemons: list[subprocess.Popen] = Factory(list)
    addresses: list[str] = Factory(list)
    store: str = ""
    hosts: str = ""
    folder: tempfile.TemporaryDirectory = Factory(tempfile.TemporaryDirectory)
    http: urllib3.PoolManager = Factory(
        lambda: urllib3.PoolManager(retries=False, timeout=30, maxsize=16)
    )

    def __enter__(self) -> "Deployment":
        """Start all processes."""
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stop all processes."""
        for process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
        for process in reversed(self.processes):
            try:
                process.wait(20)
            except subprocess.TimeoutExpired:
                process.kill()
        self.folder.cleanup()

    def _start(self) -> None:
        self.store = self._start_stand_in("store", "--port", "0")
        zones = [f"--zone={zone}={self.workers_per_zone}" for zone in self.zones]
        self.hosts = self._start_stand_in("platform", "--port", "0", *zones)
        for number in range(self.daemon_count):
            self._start_daemon(f"d{number + 1}", self.zones[number % len(self.zones)])

    def _start_stand_in(self, name: str, *arguments: str) -> str:
        process = subprocess.Popen(
            [sys.executable, "-m", f"tests.standins.{name}", *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes.append(process)
        return process.stdout.readline().split()[-1]

    def restart(self, number: int) -> None:
        """Start a stopped daemon again under the same name."""
        zone = self.zones[number % len(self.zones)]
        self._start_daemon(f"d{number + 1}", zone)
        self.daemons[number] = self.daemons.pop()
        self.addresses[number] = self.addresses.pop()

    def _start_daemon(self, name: str, zone: str) -> None:
        path = pathlib.Path(self.folder.name, f"{name}.toml")
        zones = ", ".join(f'"{item}"' for item in self.zones)
        text = DAEMON_SETTINGS.format(
            name=name, zone=zone, store=self.store, hosts=self.hosts, zones=zones
        )
        path.write_text(text.replace('level = "WARNING"', 'level = "INFO"'))
        log = pathlib.Path(self.folder.name, f"{name}.log")
        with log.open("w") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "poplarlb.daemon", "--config", str(path)],
                stderr=output,
            )
        self.processes.append(process)
        self.daemons.append(process)
        self.addresses.append(_wait_for_address(log))

    def call(
        self, number: int, method: str, path: str, body: object = None
    ) -> tuple[int, dict]:
        """Call a daemon and return the status and the JSON body of its response."""
        data = None if body is None else json.dumps(body)
        url = f"http://{self.addresses[number]}{path}"
        response = self.http.request(method, url, body=data)
        return response.status, json.loads(response.data)

    def store_calls(self) -> dict[str, int]:
        """Return the counters of the store stand-in."""
        response = self.http.request("POST", f"http://{self.store}/control", body="{}")
        return json.loads(response.data)

    def history(self) -> list[dict]:
        """Return the event history of all workers."""
        url = f"http://{self.hosts}/control/history"
        return json.loads(self.http.request("GET", url).data)


def _wait_for_address(log: pathlib.Path) -> str:
    for _ in range(600):
        for line in log.read_text().splitlines():
            if "serves on" in line:
                return line.split()[-1]
        time.sleep(0.05)
    raise RuntimeError(f"the daemon did not start: {log.read_text()}")
