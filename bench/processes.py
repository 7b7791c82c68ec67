"""Starts stand-ins and real daemons for measurements and reads their costs."""

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

DAEMON = """
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
    """Processor time and memory that a process has used so far."""

    cpu_s: float
    resident_bytes: int
    at_s: float


def read_usage(pid: int) -> Usage:
    """Return what a process has used, as the kernel counts it."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(ticks / CLOCK_TICKS_PER_S, pages * PAGE_BYTES, time.monotonic())


@define
class Deployment:
    """Stand-ins and daemons as plain processes; a context manager."""

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
        """Start everything."""
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stop everything that was started."""
        for process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
        for process in reversed(self.processes):
            try:
                process.wait(20)
            except subprocess.TimeoutExpired:
                process.kill()
        self.folder.cleanup()

    def _start(self) -> None:
        self.store = self._stand_in("store", "--port", "0")
        zones = [f"--zone={zone}={self.workers_per_zone}" for zone in self.zones]
        self.hosts = self._stand_in("platform", "--port", "0", *zones)
        for number in range(self.daemon_count):
            self._start_daemon(f"d{number + 1}", self.zones[number % len(self.zones)])

    def _stand_in(self, name: str, *arguments: str) -> str:
        process = subprocess.Popen(
            [sys.executable, "-m", f"tests.standins.{name}", *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes.append(process)
        return process.stdout.readline().split()[-1]

    def restart(self, number: int) -> None:
        """Start a daemon again that has stopped, under its old name."""
        zone = self.zones[number % len(self.zones)]
        self._start_daemon(f"d{number + 1}", zone)
        self.daemons[number] = self.daemons.pop()
        self.addresses[number] = self.addresses.pop()

    def _start_daemon(self, name: str, zone: str) -> None:
        path = pathlib.Path(self.folder.name, f"{name}.toml")
        zones = ", ".join(f'"{item}"' for item in self.zones)
        text = DAEMON.format(
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
        """Return the status and the JSON answer of one daemon."""
        data = None if body is None else json.dumps(body)
        url = f"http://{self.addresses[number]}{path}"
        answer = self.http.request(method, url, body=data)
        return answer.status, json.loads(answer.data)

    def store_calls(self) -> dict[str, int]:
        """Return the store stand-in's counts so far."""
        answer = self.http.request("POST", f"http://{self.store}/control", body="{}")
        return json.loads(answer.data)

    def history(self) -> list[dict]:
        """Return what all workers did."""
        url = f"http://{self.hosts}/control/history"
        return json.loads(self.http.request("GET", url).data)


def _wait_for_address(log: pathlib.Path) -> str:
    for _ in range(600):
        for line in log.read_text().splitlines():
            if "serves on" in line:
                return line.split()[-1]
        time.sleep(0.05)
    raise RuntimeError(f"no daemon: {log.read_text()}")
