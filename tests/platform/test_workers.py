"""Tests of the calls to workers, with a server that records them."""

import json
import unittest

from attrs import Factory, define

from poplarlb.coordination.jobs.events import PollWorker, StartRun
from poplarlb.exceptions import BadAnswerError
from poplarlb.platform.workers import PlatformWorkers
from poplarlb.transport.http_client import HttpClient
from poplarlb.transport.http_server import HttpRequest, HttpResponse, HttpServer
from tests.platform.deployment import free_address

LISTS = {"clockMs": 5, "born": 7, "running": [], "ended": []}


@define
class RecordingWorker:
    """Answers every call and records the bodies of polls."""

    polls: list[dict] = Factory(list)
    lists: dict = Factory(LISTS.copy)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one call."""
        if request.path == "/v1/hold":
            self.polls.append(json.loads(request.body))
        return HttpResponse(200, json.dumps(self.lists).encode())


class PollTest(unittest.IsolatedAsyncioTestCase):
    """A worker that may have been restarted under its id."""

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

    async def poll(self) -> dict:
        """Poll with an acknowledgement and a lease; return what was sent."""
        await self.calls.poll(PollWorker("w0", self.address, 3, 60, 9_000, 0), 0)
        return self.worker.polls[-1]

    # An acknowledgement for an earlier incarnation makes a later one forget an end that
    # the owner never saw, and the task runs again. A start may open the connection.
    async def test_connection_that_a_start_opened_gets_no_acknowledgement(self) -> None:
        """Only a connection on which a poll was answered gets one, and a lease."""
        start = StartRun("w0", self.address, "a.0.0.0", 1, "", 9_000, 3, "")
        await self.calls.start_run(start, 0)
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


if __name__ == "__main__":
    unittest.main()
