"""Starts, watches and stops the processes of the demonstration."""

import pathlib
import re
import subprocess
import sys
import time

from attrs import Factory, define

START_TIMEOUT_S = 40
STOP_TIMEOUT_S = 15
POLL_PERIOD_S = 0.05


@define
class RunningProcess:
    """A process that the demonstration started, and its log."""

    name: str
    process: subprocess.Popen
    log: pathlib.Path
    address: str = ""

    def wait_for_log(self, pattern: str) -> str:
        """Wait until the log matches a pattern and return the first group."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            found = re.search(pattern, self.log.read_text())
            if found:
                return found[1]
            if self.process.poll() is not None:
                break
            time.sleep(POLL_PERIOD_S)
        raise RuntimeError(f"{self.name} did not start:\n{self.log.read_text()}")


@define
class ProcessGroup:
    """Starts processes and stops exactly these."""

    folder: pathlib.Path
    running: list[RunningProcess] = Factory(list)

    def start(self, name: str, module: str, *arguments: str) -> RunningProcess:
        """Start a Python module as a process with its own log file."""
        log = self.folder / f"{name}.log"
        with log.open("w") as output:
            process = subprocess.Popen(
                [sys.executable, "-u", "-m", module, *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        started = RunningProcess(name, process, log)
        self.running.append(started)
        return started

    def kill(self, name: str) -> None:
        """Kill a process, which simulates the failure of its host."""
        found = next(item for item in self.running if item.name == name)
        found.process.kill()
        found.process.wait(STOP_TIMEOUT_S)

    def stop_all(self) -> None:
        """Stop all processes that still run, in the reverse order of their start."""
        for item in reversed(self.running):
            if item.process.poll() is None:
                item.process.terminate()
        for item in reversed(self.running):
            try:
                item.process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                item.process.kill()
                item.process.wait()
