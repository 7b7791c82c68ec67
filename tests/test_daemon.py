"""End-to-end tests with real daemon processes, and fakes of the platform."""

import concurrent.futures
import io
import json
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest
import unittest.mock

import urllib3
from loguru import logger

from poplarlb import daemon
from poplarlb.logs import configure_logs
from poplarlb.settings import LogSettings, Settings, StopSettings
from poplarlb.state.models import Resources
from tests.standins.http import serve
from tests.standins.platform import FakePlatform
from tests.standins.store import FakeStoreServer

DAEMON = """
member_id = "{name}"
zone = "{zone}"
[store]
address = "{store}"
[platform]
hosts_address = "{hosts}"
hosts_period_ms = 200
[shards]
zones = ["kochi", "thrissur"]
[stop]
drain_ms = 300
[tasks]
renew_period_ms = 300
"""

TEAM = {
    "team": "dairy",
    "zones": ["kochi", "thrissur"],
    "quota": {"cpu_millis": 64_000, "memory_mb": 200_000, "accelerators": 0},
    "services": [
        {
            "name": "orders",
            "replicas": 2,
            "size": {"cpu_millis": 2_000, "memory_mb": 1_000, "accelerators": 0},
        }
    ],
}


class StopTest(unittest.IsolatedAsyncioTestCase):
    """A graceful shutdown with a server that fails."""

    async def test_failed_server_ends_no_shutdown(self) -> None:
        """Guards against a server's error while it stops, which keeps the shards."""
        logs = io.StringIO()
        configure_logs(LogSettings(json=True), "d1", logs)
        self.addCleanup(logger.remove)
        stop = StopSettings(drain_ms=0)
        runtime = unittest.mock.Mock(settings=Settings("d1", "kochi", stop=stop))
        failing, sound = unittest.mock.Mock(), unittest.mock.Mock()
        failing.stop.side_effect = RecursionError("injected")
        await daemon._stop(runtime, [failing, sound])
        sound.stop.assert_called_once_with()
        runtime.hand_over.assert_called_once_with()
        lines = [json.loads(line) for line in logs.getvalue().splitlines()]
        errors = [line["error"] for line in lines if "error" in line]
        self.assertEqual(errors, ["RecursionError: injected"])


class DaemonTest(unittest.TestCase):
    """Two daemons in two zones, with a fake store and fake workers."""

    def setUp(self) -> None:
        """Start the fakes and two daemons."""
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = FakeStoreServer()
        store = serve(self.store.answer)
        self.addCleanup(store.stop)
        self.platform = FakePlatform()
        for zone in ("kochi", "thrissur"):
            for number in range(2):
                self.platform.add(zone, number, Resources(16_000, 60_000), 6)
        self.addCleanup(self.platform.stop)
        hosts = serve(self.platform.answer)
        self.addCleanup(hosts.stop)
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses = [
            self.start(name, zone, store.address, hosts.address)
            for name, zone in (("d1", "kochi"), ("d2", "thrissur"))
        ]
        self.http = urllib3.PoolManager(retries=False, timeout=20)

    def start(self, name: str, zone: str, store: str, hosts: str) -> str:
        """Start one daemon and return the address that it listens on."""
        path = pathlib.Path(self.folder.name, f"{name}.toml")
        path.write_text(DAEMON.format(name=name, zone=zone, store=store, hosts=hosts))
        log = pathlib.Path(self.folder.name, f"{name}.log")
        with log.open("w") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "poplarlb.daemon", "--config", str(path)],
                stderr=output,
            )
        self.processes[name] = process
        self.addCleanup(self.stop, process)
        for _ in range(600):
            for line in log.read_text().splitlines():
                if "serves on" in line:
                    return line.split()[-1]
            time.sleep(0.05)
        raise AssertionError("the daemon did not start")

    def stop(self, process: subprocess.Popen) -> None:
        """Terminate a daemon."""
        process.terminate()
        process.wait(20)

    def call(self, number: int, method: str, path: str, body: object = None):
        """Return the status and the JSON answer of one daemon."""
        data = None if body is None else json.dumps(body)
        url = f"http://{self.addresses[number]}{path}"
        answer = self.http.request(method, url, body=data)
        return answer.status, json.loads(answer.data)

    def wait(
        self, number: int, method: str, path: str, body: object, is_wanted
    ) -> dict:
        """Repeat a call until its answer satisfies a condition."""
        for _ in range(300):
            status, answer = self.call(number, method, path, body)
            if is_wanted(status, answer):
                return answer
            time.sleep(0.1)
        raise AssertionError(f"{method} {path}: {status} {answer}")

    def apply_template(self) -> None:
        """Apply one team's template."""
        change = {
            "change_id": "c1",
            "operator": "asha",
            "base_version": 0,
            "teams": [TEAM],
            "removed": [],
        }
        self.wait(0, "POST", "/v1/config", change, lambda s, a: a.get("version") == 1)

    def test_graceful_shutdown(self) -> None:
        """A graceful shutdown finishes the in-flight request and then exits with 0."""
        self.apply_template()
        path = "/v1/services/dairy/orders/confirm"
        self.wait(0, "POST", path, {}, lambda s, a: s == 200)
        url = f"http://{self.addresses[0]}{path}"
        headers = {"standin-work-ms": "3500"}
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            slow = pool.submit(self.http.request, "POST", url, headers=headers)
            self.wait_until_served()
            self.processes["d1"].terminate()
            answer = slow.result(30)
        self.assertEqual(answer.status, 200)
        self.assertIn(b"worker", answer.data)
        self.assertEqual(self.processes["d1"].wait(60), 0)

    def wait_until_served(self) -> None:
        """Wait until a worker is serving a request."""
        for _ in range(300):
            if any(item.model.busy for item in self.platform.workers.values()):
                return
            time.sleep(0.02)
        raise AssertionError("no request reached a worker")

    def test_template_request_and_job(self) -> None:
        """After a template is applied, a request is answered and a job is run."""
        self.apply_template()
        path = "/v1/services/dairy/orders/confirm"
        for number in (0, 1):
            answer = self.wait(number, "POST", path, {}, lambda s, a: s == 200)
            self.assertEqual(answer["method"], "POST")
        job = {"size": {"cpu_millis": 1_000, "memory_mb": 100}, "run_time_ms": 300}
        self.wait(0, "PUT", "/v1/jobs/dairy/s1", job, lambda s, a: s == 200)
        ended = self.wait(
            1, "GET", "/v1/jobs/dairy/s1", None, lambda s, a: a.get("phase") == "ended"
        )
        self.assertEqual(ended["outcome"], "succeeded")
        rows = [r for r in self.platform.history() if r.subject == "dairy/s1"]
        self.assertEqual([row.what for row in rows], ["start", "succeeded"])
