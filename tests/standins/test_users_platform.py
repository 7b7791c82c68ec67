"""Tests of the fake platform: what its workers answer."""

import json
import unittest

from attrs import define

from tests.coordination.jobs.fake_worker import FIRST_CLOCK_MS, FakeWorker
from tests.standins.users_platform import KvTable, WorkerService


@define
class Call:
    """What the service reads of a request."""

    path: str
    body: bytes
    headers: dict


class WorkerAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers of a worker whose clock is far from its first value."""

    # Guards against stand-ins that are simpler than the protocol, by which every answer
    # with a body has the clock.
    async def test_every_answer_with_a_body_has_the_clock(self) -> None:
        """Starts, stops, paces and polls have it, refused or not."""
        service = WorkerService(KvTable())
        worker = FakeWorker("w0", 1_000, clock_ms=4_000_000.5)
        run = {
            "task": "a.0.0.0",
            "run": 2,
            "fence": 3,
            "spec": "",
            "untilMs": 4_005_000,
        }
        for path, changed, status in (
            ("/v1/run-start", {}, 200),
            ("/v1/run-start", {"fence": 2}, 409),
            ("/v1/run-start", {"untilMs": 5}, 409),
            ("/v1/run-stop", {"run": 7}, 200),
            ("/v1/run-stop", {"fence": 2}, 409),
            ("/v1/run-start", {"run": 6}, 409),
            ("/v1/pace", {}, 200),
            ("/v1/hold", {}, 200),
            ("/v1/hold", {"fence": 2}, 409),
        ):
            with self.subTest(path=path, changed=changed):
                body = json.dumps(run | changed).encode()
                answer = await service.handle(worker, Call(path, body, {}))
                self.assertEqual(answer.status, status)
                self.assertEqual(json.loads(answer.body)["clockMs"], 4_000_000)

    # Guards against restarted workers whose clocks all begin anew.
    async def test_clocks_after_crashes(self) -> None:
        """The clock after a crash is drawn, whether the worker keeps its id or not."""
        for renamed in (False, True):
            with self.subTest(renamed=renamed):
                service = WorkerService(KvTable())
                worker = FakeWorker("w0", 1_000, clock_ms=4_000_000.0)
                service.hosts["w0"] = service.workers["w0"] = worker
                seen = set()
                for _ in range(16):
                    worker = service.hosts["w0"]
                    former_ms = worker.clock_ms
                    service.listen_addresses[worker.worker_id] = "127.0.0.1:0"
                    service.addresses[worker.worker_id] = "127.0.0.1:0"
                    await service._bring_back(worker, renamed)
                    clock_ms = service.hosts["w0"].clock_ms
                    if clock_ms == FIRST_CLOCK_MS:
                        seen.add("begun anew")
                    else:
                        seen.add("ahead" if clock_ms > former_ms else "behind")
                service.close()
                self.assertEqual(seen, {"begun anew", "ahead", "behind"})


if __name__ == "__main__":
    unittest.main()
