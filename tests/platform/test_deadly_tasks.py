"""Tests of tasks that crash every worker that starts them, over real sockets."""

import asyncio
import unittest
from unittest import mock

from poplarlb.coordination.jobs.crashes import CrashCounter
from tests.platform.deployment import JOB, Deployment
from tests.soak.invariants import InvariantChecker, SubmittedJob
from tests.standins.users_platform import CrashSettings

DEADLY_ID = "d" * 16
DEADLY_TASK = f"{DEADLY_ID}.0.0.0"
DEADLY_JOB = {"spec": "text", "steps": [{"count": 1, "cpu": 500, "memMb": 256}]}
INNOCENT_IDS = tuple(f"{number:016x}" for number in range(6))
WORKERS = 5
WORK_MS = 400.0
MAX_CRASHES = 3
TIMEOUT_S = 40.0


class DeadlyTaskTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons and five workers, with one deadly job among innocent ones."""

    async def start(self, settings: CrashSettings) -> None:
        """Start the deployment and submit the jobs."""
        self.system = Deployment()
        self.addAsyncCleanup(self.system.stop)
        await self.system.start(daemons=3, workers=WORKERS)
        self.workers = self.system.workers
        self.workers.work_ms = WORK_MS
        self.workers.deadly_tasks.add(DEADLY_TASK)
        self.workers.next_crash = lambda: settings
        self.checker = InvariantChecker(self.workers)
        loop = asyncio.get_running_loop()
        self.workers.on_started = lambda: self.checker.check(loop.time())
        jobs = {
            **dict.fromkeys(INNOCENT_IDS[:3], JOB),
            DEADLY_ID: DEADLY_JOB,
            **dict.fromkeys(INNOCENT_IDS[3:], JOB),
        }
        for job_id, body in jobs.items():
            self.checker.jobs[job_id] = SubmittedJob(job_id, body["steps"])
            await self.system.call("POST", f"/o/{job_id}", body)

    async def replace_owner(self) -> None:
        """Kill the owner, and start a daemon of its name again."""
        names = [name for name in self.system.running if self.owns_jobs(name)]
        for name in names:
            self.system.kill(name)
        for name in names:
            await self.system.start_daemon(name)

    def owns_jobs(self, name: str) -> bool:
        """Return whether a daemon is the owner."""
        return self.system.daemons[name].owns_jobs()

    async def check_jobs(self, *, kill_owners: bool) -> None:
        """Wait until the deadly job has failed, then for the innocent ones."""
        crashes = 0
        async with asyncio.timeout(TIMEOUT_S):
            while await self.system.state(DEADLY_ID) != "failed":
                self.assertLessEqual(len(self.workers.crashes), MAX_CRASHES)
                if kill_owners and len(self.workers.crashes) > crashes:
                    crashes = len(self.workers.crashes)
                    await self.replace_owner()
                await asyncio.sleep(0.02)
        for job_id in INNOCENT_IDS:
            await self.system.wait_for_state(job_id, "done", timeout_s=TIMEOUT_S)
        self.assertLessEqual(len(self.workers.crashes), MAX_CRASHES)
        self.assertEqual(self.checker.violations, [])

    # Nothing counted the workers lost under a task: it crashed one after another.
    async def test_workers_that_restart_under_their_ids(self) -> None:
        """Connections are reset, and the workers come back as later incarnations."""
        await self.start(CrashSettings(listed_s=0.5, absent_s=0.5))
        await self.check_jobs(kill_owners=False)

    # A crash must count although the worker comes back under another id.
    async def test_workers_that_come_back_as_new_ones(self) -> None:
        """Connections are silent, and the workers come back under other ids."""
        await self.start(
            CrashSettings(silent=True, renamed=True, listed_s=0.5, absent_s=0.5)
        )
        await self.check_jobs(kill_owners=False)

    # Crashes that an earlier owner saw, or didn't live to see, must count.
    async def test_owner_killed_after_each_crash(self) -> None:
        """A later incarnation is back before the next owner has taken over."""
        await self.start(CrashSettings(silent=True, listed_s=0.5, absent_s=0.5))
        await self.check_jobs(kill_owners=True)

    # A later owner must count a crash of a worker that it never saw listed.
    async def test_owner_killed_and_workers_come_back_as_new_ones(self) -> None:
        """The crashed worker's entry is gone before the next owner has taken over."""
        await self.start(CrashSettings(renamed=True, listed_s=0.5, absent_s=0.5))
        await self.check_jobs(kill_owners=True)

    async def test_owner_that_counts_no_crashes_is_detected(self) -> None:
        """With an injected fault, the soak's checker finds that BUDGET is violated."""
        with mock.patch.object(CrashCounter, "_count"):
            await self.start(CrashSettings(listed_s=0.2, absent_s=0.2))
            await self.system.wait_until(lambda: self.checker.violations, TIMEOUT_S)
        self.assertIn("BUDGET", self.checker.violations[0])


if __name__ == "__main__":
    unittest.main()
