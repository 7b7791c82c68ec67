"""Jobs that make the owner raise an unexpected error, on real daemons."""

import unittest
from unittest import mock

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.poll_reader import PollReader
from poplarlb.coordination.jobs.schedule import Scheduler
from poplarlb.coordination.jobs.slow_workers import PERIOD_MS, SlowWorkers
from poplarlb.platform.workers import PlatformWorkers
from tests.platform.deployment import JOB, Deployment

BAD = "bad0000000000000"
OTHERS = [f"{number:016x}" for number in range(1, 5)]
COMPARED_WORK_MS = 4 * PERIOD_MS  # tasks are compared while they run
ERRORS = (KeyError("i1"), ZeroDivisionError(), AttributeError("x"), RecursionError())


def raise_for_bad(target: type, name: str, error: Exception):
    """Let a method raise when it handles the bad job."""
    original = getattr(target, name)

    def method(self, *arguments):
        if any(BAD in repr(getattr(item, "spec", item)) for item in arguments):
            raise error
        return original(self, *arguments)

    return mock.patch.object(target, name, method)


def raise_in_rate(error: Exception):
    """Let the comparison of running tasks raise for those of the bad job."""
    original = SlowWorkers._rate

    def rate(self, worker, run):
        if run.task.job.spec.job_id == BAD:
            raise error
        return original(self, worker, run)

    return mock.patch.object(SlowWorkers, "_rate", rate)


class BadJobTest(unittest.IsolatedAsyncioTestCase):
    """One job ends the ownership whenever it is handled; the others get on."""

    async def asyncSetUp(self) -> None:
        """Start two daemons and two workers."""
        self.deployment = Deployment()
        await self.deployment.start(daemons=2)

    async def asyncTearDown(self) -> None:
        """Stop them."""
        await self.deployment.stop()

    async def play(self, job: dict = JOB) -> None:
        """Submit the bad job and others; check that only it fails."""
        deployment = self.deployment
        await deployment.call("POST", f"/o/{BAD}", job)
        for job_id in OTHERS:
            await deployment.call("POST", f"/o/{job_id}", JOB)
        await deployment.wait_for_state(BAD, "failed", timeout_s=15.0)
        for job_id in OTHERS:
            await deployment.wait_for_state(job_id, "done")
        workers = deployment.workers.workers.values()
        await deployment.wait_until(lambda: not any(item.runs for item in workers))

    # Guards against review/1, whatever the error: the ends of one job's runs ended
    # every ownership in turn.
    async def test_end_of_a_run(self) -> None:
        """Reading an end raises, a different error at each owner."""
        errors = iter(ERRORS * 5)
        original = PollReader._handle_end

        def handle_end(reader, worker, row):
            if row.task.startswith(BAD) and reader.state.jobs[BAD].occurrences:
                raise next(errors)
            original(reader, worker, row)

        with mock.patch.object(PollReader, "_handle_end", handle_end):
            await self.play()

    # Guards against a job that can't be placed without an error.
    async def test_placement(self) -> None:
        """Placing the job raises."""
        with raise_for_bad(Scheduler, "_place_job", TypeError("x")):
            await self.play()

    # Guards against a job that can't be taken over.
    async def test_takeover(self) -> None:
        """Restoring the job raises at the next daemon, which isn't ended by it."""
        deployment = self.deployment
        await deployment.call("POST", f"/o/{BAD}", JOB)
        owner = next(name for name in deployment.running if owns(deployment, name))
        with raise_for_bad(DispatcherState, "restore", OverflowError("x")):
            deployment.kill(owner)
            left = next(iter(deployment.running))
            await deployment.wait_for_state(BAD, "failed", left, timeout_s=15.0)
        await deployment.call("POST", f"/o/{OTHERS[0]}", JOB, left)
        await deployment.wait_for_state(OTHERS[0], "done", left)

    # Guards against a job that is compared with others, or called for, with an error.
    async def test_tick_and_call(self) -> None:
        """A periodic comparison of running tasks raises, and so do all starts."""
        self.deployment.workers.work_ms = COMPARED_WORK_MS
        with raise_in_rate(ValueError("x")):
            await self.play()

    async def test_start(self) -> None:
        """Encoding its starts raises."""
        original = PlatformWorkers.start_run

        async def start_run(workers, command, sent_ms):
            if command.task.startswith(BAD):
                raise TypeError("x")
            return await original(workers, command, sent_ms)

        with mock.patch.object(PlatformWorkers, "start_run", start_run):
            await self.play()


def owns(deployment: Deployment, name: str) -> bool:
    """Return whether a daemon owns the jobs."""
    return deployment.daemons[name].owns_jobs()


if __name__ == "__main__":
    unittest.main()
