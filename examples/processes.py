"""Plain processes on loopback for the demonstration: started, watched, ended."""

import pathlib
import re
import subprocess
import sys
import time

from attrs import Factory, define

START_LIMIT_S = 40
STOP_LIMIT_S = 15
POLL_S = 0.05


@define
class RunningProcess:
    """A process that the demonstration started, and its log."""

    name: str
    process: subprocess.Popen
    log: pathlib.Path
    address: str = ""

    def find(self, pattern: str) -> str:
        """Return the first group of a pattern once the log holds it."""
        until_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < until_s:
            found = re.search(pattern, self.log.read_text())
            if found:
                return found[1]
            if self.process.poll() is not None:
                break
            time.sleep(POLL_S)
        raise RuntimeError(f"{self.name} did not start:\n{self.log.read_text()}")


@define
class ProcessGroup:
    """Starts processes and ends all of them by their ids."""

    folder: pathlib.Path
    running: list[RunningProcess] = Factory(list)

    def start(self, name: str, module: str, *arguments: str) -> RunningProcess:
        """Start a Python module as a process with a log of its own."""
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
        """End one process at once, as a host's failure would."""
        found = next(item for item in self.running if item.name == name)
        found.process.kill()
        found.process.wait(STOP_LIMIT_S)

    def stop_all(self) -> None:
        """End every process that is still running, the newest first."""
        for item in reversed(self.running):
            if item.process.poll() is None:
                item.process.terminate()
        for item in reversed(self.running):
            try:
                item.process.wait(STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                item.process.kill()
                item.process.wait()
