"""Daemon processes, each with a settings file, a log and a link to the store."""

import asyncio
import json
import os
import pathlib
import signal
import sys

from attrs import define

from tests.platform.deployment import free_address
from tests.soak.link import Link

REPOSITORY = pathlib.Path(__file__).parent.parent.parent
GRACE_S = 2
INTERPRETER_START_S = 0.2  # signals can be handled only after the interpreter started


@define(eq=False)
class DaemonProcess:
    """One daemon process, controlled by signals only, as in operation."""

    name: str
    folder: pathlib.Path
    store_link: Link  # a proxy for this daemon only
    api_address: str
    ready_address: str
    process: asyncio.subprocess.Process | None = None
    restarting: bool = False
    started_s: float = 0.0

    @classmethod
    async def create(cls, name: str, folder: pathlib.Path, store_address: str):
        """Create a daemon without starting it."""
        link = Link(free_address(), store_address)
        await link.start()
        return cls(name, folder, link, free_address(), free_address())

    async def start(self) -> None:
        """Start the process; it appends to its log file."""
        self.started_s = asyncio.get_running_loop().time()
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings()))
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "poplarlb.platform",
                cwd=REPOSITORY,
                env={**os.environ, "POPLARLB_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )

    def _settings(self) -> dict:
        return {
            "node": self.name,
            "zone": "z1",
            "ip": "127.0.0.1",
            "listen": {"front": self.api_address, "ready": self.ready_address},
            "limits": {"cpuShare": 0.5, "cores": 1},
            "bounds": {"graceS": GRACE_S, "stopMs": 200, "holdMaxMs": 10_000},
            "platform": {"addr": self.store_link.listen},
        }

    @property
    def running(self) -> bool:
        """Return whether the process exists, also while it is paused."""
        return self.process is not None and self.process.returncode is None

    def reload(self) -> None:
        """Make the process reload its settings, unless its interpreter is starting."""
        age_s = asyncio.get_running_loop().time() - self.started_s
        if age_s > INTERPRETER_START_S:
            self.send(signal.SIGHUP)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.running:
            self.process.send_signal(number)

    async def restart(self, number: signal.Signals, pause_s: float) -> None:
        """Stop the process with a signal and start it again after a pause."""
        if self.restarting:
            return
        self.restarting = True
        try:
            self.send(number)
            if self.running:
                await self.process.wait()
            await asyncio.sleep(pause_s)
            await self.start()
        finally:
            self.restarting = False

    async def kill(self) -> None:
        """Kill the process, also if it is paused, and close its link."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self.store_link.close()
