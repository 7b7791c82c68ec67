"""Workers that restart unseen by the owner and are then cut off, over real sockets."""

import asyncio
import unittest

from tests.coordination.jobs.fake_worker import FakeWorker
from tests.platform.deployment import Deployment, free_address
from tests.soak.invariants import InvariantChecker, SubmittedJob
from tests.standins.unseen_workers import UnseenWorkers
from tests.standins.users_platform import RESTART_STEP

JOB_ID = "a" * 16
TASK = f"{JOB_ID}.0.0.0"
STEP = {"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 60_000}
FORMER_CLOCK_MS = 5_000_000.0  # the next incarnation's clock begins anew
WORK_MS = 60_000.0
# The first answer to a poll counts as a lease of 10 s. An owner that goes by it must
# still give the run up early, so the start is sent more than 5 s later.
IDLE_S = 6.0
SETTLE_S = 0.2  # answers that were sent have been read after this
KILL_S = 3.5  # after the cut the owner dies
CHECKED_S = 13.0  # after the cut; a lease of the longest duration is over by then
STARTED_S = 4.0  # within which the second worker must run the task after that


class UnseenRestartTest(unittest.IsolatedAsyncioTestCase):
    """The task of a worker that is cut off runs elsewhere once its lease is over."""

    async def start(self, daemons: int) -> None:
        """Start daemons and one worker that the owner has polled and that is idle."""
        self.system = Deployment()
        self.addAsyncCleanup(self.system.stop)
        await self.system.start(daemons=daemons, workers=0)
        self.workers = UnseenWorkers(self.system.store.table, work_ms=WORK_MS)
        self.system.workers = self.workers
        self.checker = InvariantChecker(self.workers)
        self.checker.jobs[JOB_ID] = SubmittedJob(JOB_ID, [STEP])
        loop = asyncio.get_running_loop()
        self.workers.on_started = lambda: self.checker.check(loop.time())
        self.first = FakeWorker("w0", 1_000, clock_ms=FORMER_CLOCK_MS)
        await self.workers.add(self.first, free_address())
        await self.system.wait_until(lambda: self.first.fence)
        await asyncio.sleep(IDLE_S)

    def owner(self) -> str:
        """Return the name of the daemon that owns the jobs."""
        daemons = self.system.daemons
        return next(name for name in self.system.running if daemons[name].owns_jobs())

    async def restart_and_cut(self) -> None:
        """Have the next incarnation answer a start, cut it off, and add a worker."""
        self.workers.restart(self.first)
        body = {"spec": "text", "steps": [STEP]}
        answer = await self.system.call(
            "POST", f"/o/{JOB_ID}", body, daemon=self.owner()
        )
        self.assertEqual(answer.status, 200)
        await self.system.wait_until(lambda: self.workers.answered_starts)
        await asyncio.sleep(SETTLE_S)
        self.workers.cut.add("w0")
        self.assertEqual(self.workers.answered_starts, [("w0", 1_000 + RESTART_STEP)])
        self.second = FakeWorker("w1", 1_001, clock_ms=FORMER_CLOCK_MS)
        await self.workers.add(self.second, free_address())

    async def check(self, remaining_s: float) -> None:
        """Check that no two workers run the task, and that the second one does.

        :param remaining_s: for how long this is checked in any case.
        """
        await asyncio.sleep(remaining_s)
        self.assertEqual(self.checker.violations, [])
        await self.system.wait_until(lambda: self.second.runs, STARTED_S)
        self.assertEqual(self.checker.violations, [])
        self.assertEqual(list(self.second.runs_by_task()), [TASK])

    # Guards against a lease of 10 s, by a clock not polled, that counts as one of 5 s.
    async def test_owner_that_lives_on(self) -> None:
        """The owner has the answer to the start and no answer to a poll."""
        await self.start(daemons=1)
        await self.restart_and_cut()
        await self.check(CHECKED_S)

    # Guards against a next owner that isn't told which incarnation answered the start.
    async def test_owner_that_is_killed(self) -> None:
        """The owner dies while the worker is cut off, and another daemon takes over."""
        await self.start(daemons=2)
        await self.restart_and_cut()
        await asyncio.sleep(KILL_S)
        self.system.kill(self.owner())
        await self.system.wait_until(self.owner_exists)
        await self.check(CHECKED_S - KILL_S)

    def owner_exists(self) -> bool:
        """Return whether a daemon owns the jobs."""
        return any(daemon.owns_jobs() for daemon in self.system.live())


if __name__ == "__main__":
    unittest.main()
