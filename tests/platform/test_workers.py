"""Tests of the calls to workers, with a server that records them."""

import json
import unittest

from attrs import Factory, define

from poplarlb.coordination.jobs.events import (
    CallOutcome,
    PollWorker,
    StartAnswered,
    StartRun,
)
from poplarlb.exceptions import BadAnswerError
from poplarlb.platform.workers import PlatformWorkers
from poplarlb.transport.http_client import HttpClient
from poplarlb.transport.http_server import HttpRequest, HttpResponse, HttpServer
from tests.platform.deployment import free_address

LISTS = {"clockMs": 5, "born": 7, "running": [], "ended": []}


@define
class RecordingWorker:
    """Answers every call and records the bodies of polls.

    Other calls are answered with ``status`` and ``body``.
    """

    polls: list[dict] = Factory(list)
    status: int = 200
    body: bytes = json.dumps(LISTS).encode()
    lists: dict = Factory(LISTS.copy)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one call."""
        if request.path == "/v1/hold":
            self.polls.append(json.loads(request.body))
            return HttpResponse(200, json.dumps(self.lists).encode())
        return HttpResponse(self.status, self.body)


class WorkerCase(unittest.IsolatedAsyncioTestCase):
    """Sends calls to a server that records them."""

    async def asyncSetUp(self) -> None:
        """Start the server."""
        self.worker = RecordingWorker()
        self.address = free_address()
        self.server = HttpServer(self.worker.handle)
        await self.server.start(self.address)
        self.client = HttpClient()
        self.calls = PlatformWorkers(self.client)

    async def asyncTearDown(self) -> None:
        """Close the client and the server."""
        self.client.close()
        self.server.close()

    async def start(self) -> StartAnswered:
        """Send a start; return the event of its answer."""
        command = StartRun("w0", self.address, "a.0.0.0", 1, "", 9_000, 3, "")
        return await self.calls.start_run(command, 0)


class PollTest(WorkerCase):
    """A worker that may have been restarted under its id."""

    async def poll(self) -> dict:
        """Poll with an acknowledgement and a lease; return what was sent."""
        await self.calls.poll(PollWorker("w0", self.address, 3, 60, 9_000, 0), 0)
        return self.worker.polls[-1]

    # An acknowledgement for an earlier incarnation makes a later one forget an end that
    # the owner never saw, and the task runs again. A start may open the connection.
    async def test_connection_that_a_start_opened_gets_no_acknowledgement(self) -> None:
        """Only a connection on which a poll was answered gets one, and a lease."""
        await self.start()
        self.assertEqual(await self.poll(), {"fence": 3})
        self.assertEqual(
            await self.poll(), {"fence": 3, "lastSeen": 60, "untilMs": 9_000}
        )
        self.assertEqual(self.client.connects, 1)

    # The same by an answer that doesn't tell which incarnation has sent it, and that
    # the owner therefore doesn't apply.
    async def test_unreadable_answer_verifies_no_connection(self) -> None:
        """A connection gets none until an answer on it could be read."""
        del self.worker.lists["clockMs"]
        with self.assertRaises(BadAnswerError):
            await self.poll()
        self.worker.lists = LISTS
        self.assertEqual(await self.poll(), {"fence": 3})
        self.assertEqual(
            await self.poll(), {"fence": 3, "lastSeen": 60, "untilMs": 9_000}
        )
        self.assertEqual(self.client.connects, 1)


class StartAnswerTest(WorkerCase):
    """What the answer to a start tells of the worker's clock."""

    # Guards against a clock that is read from confirmed starts only: a refused start
    # may have prolonged the leases, too.
    async def test_clock_of_every_answer(self) -> None:
        """Every status bears the clock."""
        for status, reason, outcome in (
            (200, "", CallOutcome.DONE),
            (409, "old", CallOutcome.OLD_RUN),
            (409, "room", CallOutcome.NO_ROOM),
            (409, "late", CallOutcome.LEASE_OVER),
            (409, "fence", CallOutcome.OLD_EPOCH),
            (409, "ticket", CallOutcome.NO_TICKET),
            (400, "", CallOutcome.REFUSED),
            (503, "", CallOutcome.REFUSED),
            (500, "", CallOutcome.UNANSWERED),
        ):
            with self.subTest(status=status, reason=reason):
                self.worker.status = status
                fields = {"clockMs": 482_113, "reason": reason}
                self.worker.body = json.dumps(fields).encode()
                answer = await self.start()
                self.assertEqual(answer.outcome, outcome)
                self.assertEqual(answer.clock_ms, 482_113)

    # Guards against a confirmed start that is lost because its clock can't be read.
    async def test_answer_without_a_clock(self) -> None:
        """The outcome holds, and the clock is None."""
        for body in (b"", b"{}", b"x", b'{"clockMs": "5"}', b'{"clockMs": 5.5}'):
            with self.subTest(body):
                self.worker.body = body
                answer = await self.start()
                self.assertEqual(answer.outcome, CallOutcome.DONE)
                self.assertIsNone(answer.clock_ms)

    # Guards against a clock of a call that no worker has answered.
    async def test_no_answer(self) -> None:
        """Without an answer there is no clock."""
        self.server.close()
        answer = await self.start()
        self.assertIn(answer.outcome, (CallOutcome.NOT_SENT, CallOutcome.UNANSWERED))
        self.assertIsNone(answer.clock_ms)


if __name__ == "__main__":
    unittest.main()
