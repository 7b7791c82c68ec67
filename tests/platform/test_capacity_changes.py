"""Tests of workers whose capacity shrinks and grows while they run."""

import asyncio
import unittest
from unittest import mock

import attrs

from poplarlb.coordination.jobs.dispatcher import Dispatcher
from poplarlb.state.models import Resources
from tests.platform.deployment import Deployment
from tests.soak.invariants import SHRINK_LIMIT_S, InvariantChecker, SubmittedJob

FIRST_ID, SECOND_ID = "a" * 16, "b" * 16
STEP = {"count": 4, "cpu": 500, "memMb": 256}
SMALL = Resources(1_000, 64_000)  # for two of the four tasks
START_S = 1.5  # a task that fits starts within this


def keep_first_capacity(dispatcher: Dispatcher, event) -> None:
    """Handle a worker's entry, but keep its capacity: a planted fault."""
    known = dispatcher.state.worker(event.listing.worker_id).listing
    if known is not None:
        listing = attrs.evolve(event.listing, capacity=known.capacity)
        event = attrs.evolve(event, listing=listing)
    HANDLE_LISTED(dispatcher, event)


HANDLE_LISTED = Dispatcher._handle_listed


class CapacityChangeTest(unittest.IsolatedAsyncioTestCase):
    """One daemon and one worker, checked at each start."""

    async def asyncSetUp(self) -> None:
        """Start them."""
        self.system = Deployment()
        self.addAsyncCleanup(self.system.stop)
        await self.system.start(workers=1)
        self.workers = self.system.workers
        self.worker = self.workers.workers["w0"]
        self.full = self.worker.capacity
        self.checker = InvariantChecker(self.workers)
        loop = asyncio.get_running_loop()
        self.workers.on_started = lambda: self.checker.check(loop.time())

    async def submit(self, job_id: str) -> None:
        """Submit a job of four tasks."""
        self.checker.jobs[job_id] = SubmittedJob(job_id, [STEP])
        body = {"spec": "text", "steps": [STEP]}
        await self.system.call("POST", f"/o/{job_id}", body)

    async def run_after_shrinking(self) -> list[str]:
        """Shrink the worker, submit a job after the limit; return the violations."""
        self.workers.resize(self.worker, SMALL)
        await asyncio.sleep(SHRINK_LIMIT_S)
        await self.submit(FIRST_ID)
        await self.system.wait_for_state(FIRST_ID, "done")
        return self.checker.violations

    async def test_smaller_capacity_is_kept(self) -> None:
        """Two tasks run at a time after the capacity has shrunk."""
        self.assertEqual(await self.run_after_shrinking(), [])

    # A smaller capacity that a watch's answer leaves out must be found.
    async def test_skipped_change_is_found(self) -> None:
        """The smaller capacity is found by a listing."""
        self.system.store.hidden_keys.add("servers/w0")
        self.assertEqual(await self.run_after_shrinking(), [])

    async def test_owner_that_keeps_the_first_capacity_is_detected(self) -> None:
        """With an injected fault, the checker finds that LIMIT is violated."""
        with mock.patch.object(Dispatcher, "_handle_listed", keep_first_capacity):
            violations = await self.run_after_shrinking()
        self.assertEqual(violations, ["LIMIT: w0 runs more than its capacity"])

    async def test_runs_stay_and_later_ones_wait_for_growth(self) -> None:
        """Runs above the smaller capacity go on; others start when it has grown."""
        self.workers.work_ms = 60_000.0
        await self.submit(FIRST_ID)
        await self.system.wait_until(lambda: len(self.worker.runs) == STEP["count"])
        self.workers.resize(self.worker, SMALL)
        await asyncio.sleep(SHRINK_LIMIT_S)
        await self.submit(SECOND_ID)
        await asyncio.sleep(START_S)
        self.assertEqual(len(self.worker.runs), STEP["count"])
        self.workers.resize(self.worker, self.full)
        await asyncio.sleep(START_S)
        self.assertEqual(len(self.worker.runs), 2 * STEP["count"])
        self.assertEqual(len(self.workers.starts), 2 * STEP["count"])
        self.assertEqual(self.checker.violations, [])


if __name__ == "__main__":
    unittest.main()
