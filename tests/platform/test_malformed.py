"""Answers of the platform that aren't what its protocol says.

None may end a process or an ownership: each is an error of the one call.
"""

import asyncio
import itertools
import unittest

import orjson

from poplarlb.coordination.jobs.events import (
    AskAdvice,
    PollWorker,
    StartRun,
    StopRun,
    ThrottleRun,
)
from poplarlb.exceptions import PoplarlbError
from poplarlb.platform.advice import PlatformAdvice
from poplarlb.platform.store import PlatformStore
from poplarlb.platform.workers import PlatformWorkers
from poplarlb.protocol.store import Expectation, Put, Transaction
from poplarlb.transport.http_client import HttpClient
from poplarlb.transport.http_server import HttpRequest, HttpResponse, HttpServer
from tests.platform.deployment import JOB, Deployment, free_address

ID = "0123456789abcdef"
ODD_VALUES = (None, True, 1e308, -1, "x", [], ["x"], {}, {"a": 1}, [[1], {}], 10**15)
FIELDS = (
    "items",
    "events",
    "currentRev",
    "hasMore",
    "rev",
    "lease",
    "key",
    "value",
    "clockMs",
    "running",
    "ended",
    "born",
    "good",
)
ODD_POLL_ANSWERS = (
    {"clockMs": 1e300, "born": 1_000},
    {"clockMs": 5, "born": 1e300},
    {"clockMs": 5, "born": 1_000, "running": [[f"{ID}.0.0.0", 1e300, "", 0]]},
    {"clockMs": 5, "born": 1_000, "running": [["x", 1e300, "", 0]]},
    {"clockMs": 5, "born": 1_000, "ended": [[1e300, "x", 1, "done", ""]]},
)


def odd_bodies() -> list[bytes]:
    """Return bodies of every kind that no caller expects."""
    bodies = [b"", b"\xff\xfe", b"{", b"[" * 3_000]
    bodies += [orjson.dumps(value) for value in ODD_VALUES]
    deep = b"[" * 1_000 + b"]" * 1_000  # its repr() and str() raise RecursionError
    bodies += [b'{"%s":%s}' % (field.encode(), deep) for field in FIELDS]
    for name in (b"items", b"events", b"running", b"ended", b"good"):
        for row in (deep, b"[%s,%s,%s,%s]" % (deep, deep, deep, deep)):
            bodies.append(b'{"clockMs":5,"currentRev":7,"%s":[%s]}' % (name, row))
        row = b'{"key":%s,"value":%s,"rev":%s}' % (deep, deep, deep)
        bodies.append(b'{"clockMs":5,"currentRev":7,"%s":[%s]}' % (name, row))
        row = b'{"key":"k","rev":%s}' % deep
        bodies.append(b'{"clockMs":5,"currentRev":7,"%s":[%s]}' % (name, row))
    bodies.append(b'{"good":[["w",%s]],"validMs":5}' % deep)
    bodies.append(b'{"reason":%s}' % deep)
    for field in FIELDS:
        for value in ODD_VALUES:
            row = {"clockMs": 5, "currentRev": 7, "rev": 7, "items": [], "events": []}
            row[field] = value
            bodies.append(orjson.dumps(row))
    for value in ODD_VALUES:
        for name in ("items", "events", "running", "ended", "good"):
            row = {"clockMs": 5, "currentRev": 7, name: [value, [value] * 5]}
            bodies.append(orjson.dumps(row))
        item = {"key": "k", "value": value, "rev": value}
        bodies.append(orjson.dumps({"items": [item], "currentRev": 7}))
    return bodies


class MalformedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A server that answers every call with one odd body after the other."""

    async def asyncSetUp(self) -> None:
        """Start the server."""
        self.body = b""
        self.status = 200
        self.server = HttpServer(self.answer)
        self.address = free_address()
        await self.server.start(self.address)
        self.client = HttpClient()

    async def asyncTearDown(self) -> None:
        """Stop it."""
        self.client.close()
        self.server.close()

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer any call."""
        return HttpResponse(self.status, self.body)

    async def check(self, *calls) -> None:
        """Check that each call raises only errors of this product."""
        for body in odd_bodies():
            self.body = body
            for call in calls:
                with self.subTest(call=call.__name__, body=body[:60]):
                    try:
                        await call()
                    except PoplarlbError:
                        continue

    async def test_store(self) -> None:
        """Every call to the store, with any answer."""
        store = PlatformStore(self.client, self.address)
        transaction = Transaction((Expectation("k", 1),), (Put("k", b"v"),))

        async def get() -> None:
            await store.get("k")

        async def list_items() -> None:
            await store.list("k")

        async def watch() -> None:
            await store.watch("k", 1, 0)

        async def transact() -> None:
            await store.transact(transaction)

        async def grant() -> None:
            await store.grant_lease(1_000)

        async def renew() -> None:
            await store.renew_lease(1)

        await self.check(get, list_items, watch, transact, grant, renew)
        self.status = 412
        await self.check(transact)

    async def test_workers_and_advice(self) -> None:
        """Every call to a worker, and to the advice service."""
        workers = PlatformWorkers(self.client)
        advice = PlatformAdvice(self.client, self.address)

        async def poll() -> None:
            await workers.poll(PollWorker("w", self.address, 1, 1, 5, 0), 0)

        async def start() -> None:
            command = StartRun("w", self.address, "t", 1, "p", 9, 1, "", "")
            await workers.start_run(command, 0)

        async def stop() -> None:
            await workers.stop_run(StopRun("w", self.address, "t", 1, 1), 0)

        async def throttle() -> None:
            command = ThrottleRun("w", self.address, "t", 1, 50, 1)
            await workers.throttle_run(command)

        async def ask() -> None:
            await advice.ask(AskAdvice((ID, 0, 0), ("w",)), 0)

        await self.check(poll, start, stop, throttle, ask)
        self.status = 409
        await self.check(poll, start, stop, throttle)


class MalformedWorkerTest(unittest.IsolatedAsyncioTestCase):
    """A worker whose answers to polls are odd, beside a sound one."""

    async def test_ownership_goes_on(self) -> None:
        """Jobs run at the other worker, under the same ownership."""
        system = Deployment()
        await system.start(daemons=1, workers=2)
        try:
            server = system.workers.servers["w0"]
            server.handler = answer_with_a_list
            await system.call("POST", f"/o/{ID}", JOB)
            await system.wait_for_state(ID, "done", timeout_s=12.0)
            self.assertEqual(system.daemons["d0"].ownership.takeovers, 1)
        finally:
            await system.stop()

    # Guards against a worker's numbers that no call and no record can hold.
    async def test_numbers_out_of_range(self) -> None:
        """No odd number ends the ownership or fails a job."""
        system = Deployment()
        await system.start(daemons=1, workers=2)
        worker = system.workers.servers["w0"]
        answer, polls = worker.handler, itertools.cycle(ODD_POLL_ANSWERS)

        async def answer_odd(request: HttpRequest) -> HttpResponse:
            if request.path == "/v1/hold":
                return HttpResponse(200, orjson.dumps(next(polls)))
            return await answer(request)

        worker.handler = answer_odd
        try:
            jobs = [f"{number:016x}" for number in range(12)]
            for job_id in jobs:
                await system.call("POST", f"/o/{job_id}", JOB)
                await asyncio.sleep(0.1)
            for job_id in jobs:
                await system.wait_for_state(job_id, "done", timeout_s=12.0)
            self.assertEqual(system.daemons["d0"].ownership.takeovers, 1)
        finally:
            await system.stop()


async def answer_with_a_list(request: HttpRequest) -> HttpResponse:
    """Answer any call with a list of numbers."""
    return HttpResponse(200, b"[1, 2]")


if __name__ == "__main__":
    unittest.main()
