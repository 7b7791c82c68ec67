"""Tests of the daemon's process as the platform starts it."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from tests.platform.deployment import free_address

START_LIMIT_S = 10.0
SIGNALS_S = 0.5  # long enough for the modules to load and the daemon to serve


def ignores_reload(pid: int) -> bool:
    """Return whether a process ignores SIGHUP, according to the kernel."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    mask = next(row for row in status.splitlines() if row.startswith("SigIgn"))
    return bool(int(mask.split()[1], 16) & 1 << (signal.SIGHUP - 1))


class StartTest(unittest.TestCase):
    """A process that gets signals while it starts."""

    def test_reload_during_the_start(self) -> None:
        """SIGHUP, the request to reload settings, doesn't end a starting process."""
        address = free_address()
        settings = {
            "node": "d0",
            "zone": "z1",
            "ip": "127.0.0.1",
            "listen": {"front": free_address(), "ready": free_address()},
            "platform": {"addr": address},
        }
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "local.json"
            path.write_text(json.dumps(settings))
            process = subprocess.Popen(
                [sys.executable, "-m", "poplarlb.platform"],
                env={**os.environ, "POPLARLB_BOOT": str(path)},
                stdout=subprocess.DEVNULL,
            )
            try:
                until_s = time.monotonic() + START_LIMIT_S
                while not ignores_reload(process.pid):
                    self.assertLess(time.monotonic(), until_s)
                    self.assertIsNone(process.poll())
                    time.sleep(0.001)
                until_s = time.monotonic() + SIGNALS_S
                while time.monotonic() < until_s:
                    process.send_signal(signal.SIGHUP)
                    time.sleep(0.01)
                self.assertIsNone(process.poll())
            finally:
                process.kill()
                process.wait()


if __name__ == "__main__":
    unittest.main()
