"""Fake workers whose restart under their id can be kept from the daemons."""

import asyncio
from collections import Counter

from attrs import Factory, define

from poplarlb.transport.http_server import HttpRequest, HttpResponse
from tests.coordination.jobs.fake_worker import FIRST_CLOCK_MS, FakeWorker
from tests.standins.users_platform import RESTART_STEP, WorkerService

HELD_BACK_S = 3_600.0


@define(eq=False)
class UnseenWorkers(WorkerService):
    """Workers whose restart isn't seen, and workers that no call reaches.

    The entries of ``unseen`` workers aren't written unless they drain, and their
    answers to polls are held back. Calls to workers that are ``cut`` aren't carried
    out. ``answered_starts`` holds the workers and incarnations that answered a start.
    ``least_work_ms`` is, by worker, how long its runs take at least. ``polls`` counts
    the polls in progress, by worker.
    """

    unseen: set[str] = Factory(set)
    cut: set[str] = Factory(set)
    answered_starts: list[tuple[str, int]] = Factory(list)
    least_work_ms: dict[str, float] = Factory(dict)
    polls: Counter[str] = Factory(Counter)

    def list(self, worker: FakeWorker) -> None:
        """Write a worker's entry unless it is held back."""
        if worker.worker_id not in self.unseen or worker.draining:
            super().list(worker)

    def restart(self, worker: FakeWorker, clock_ms: float = FIRST_CLOCK_MS) -> None:
        """Restart a worker under its id, unseen; its connections are reset.

        :param clock_ms: what the new incarnation's clock shows.
        """
        self.unseen.add(worker.worker_id)
        self._reset_connections(worker)
        worker.restart(worker.incarnation + RESTART_STEP, clock_ms)

    def reveal(self, worker: FakeWorker) -> None:
        """Hold back nothing more of a worker, and write its entry if it is alive."""
        self.unseen.discard(worker.worker_id)
        if worker.alive:
            self.list(worker)

    async def handle(self, worker: FakeWorker, request: HttpRequest) -> HttpResponse:
        """Handle one call unless the worker is cut off."""
        if worker.worker_id in self.cut:
            await asyncio.sleep(HELD_BACK_S)
        answer = await super().handle(worker, request)
        if request.path == "/v1/run-start" and answer.status == 200:
            self.answered_starts.append((worker.worker_id, worker.incarnation))
            for run in worker.runs.values():
                least_ms = self.least_work_ms.get(worker.worker_id, 0.0)
                run.work_ms = max(run.work_ms, least_ms)
        return answer

    async def _handle_hold(self, worker: FakeWorker, body: dict) -> HttpResponse:
        self.polls[worker.worker_id] += 1
        try:
            answer = await super()._handle_hold(worker, body)
        finally:
            self.polls[worker.worker_id] -= 1
        if worker.worker_id in self.unseen:
            await asyncio.sleep(HELD_BACK_S)
        return answer
