"""How long commits take, and what their answers prove."""

import asyncio
import unittest
from types import SimpleNamespace

import attrs
from attrs import Factory, define

from poplarlb.coordination.jobs import events
from poplarlb.coordination.jobs.dispatcher import Dispatcher
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.event_log import EventLog
from poplarlb.exceptions import StoreRefusedError
from poplarlb.protocol.store import Applied, Put, Transaction
from poplarlb.state.jobs import Job, JobSpec, OperatorConfig, QueueConfig, StepSpec
from poplarlb.state.models import Resources
from poplarlb.transport.clock import boottime_ms
from poplarlb.transport.committer import ENTRIES_PER_COMMIT, Committer
from poplarlb.transport.job_owner import JobOwner

CALL_S = 0.05
LIMIT_MS = 100
JOBS = 4 * ENTRIES_PER_COMMIT
QUEUE = QueueConfig("orders", "h", "/o/", "desk", max_attempts=3)
ONE_TASK = (StepSpec(1, Resources(1, 1)),)
LISTING = events.WorkerListing(
    "w0", 1, "127.0.0.1:1", "desk", "z1", False, Resources(10_000, 10_000)
)


@define(eq=False)
class SlowStore:
    """Applies each transaction after ``CALL_S``, and refuses the first ``refusals``."""

    refusals: int = 0
    sent_ms: list[int] = Factory(list)

    async def transact(self, transaction: Transaction, timeout_s: float) -> Applied:
        """Apply or refuse one transaction."""
        self.sent_ms.append(boottime_ms())
        await asyncio.sleep(CALL_S)
        if self.refusals:
            self.refusals -= 1
            raise StoreRefusedError("busy")
        return Applied(len(self.sent_ms) + 1)


class CommitTest(unittest.IsolatedAsyncioTestCase):
    """A commit that needs several calls."""

    async def test_last_call_counts(self) -> None:
        """The time is that of the last call, after earlier ones and refusals."""
        store = SlowStore(refusals=2)
        committer = Committer(store, "d0", 1, 1)
        puts = [Put(f"k{number}", b"") for number in range(JOBS)]
        confirmed_ms = await committer.commit(puts, [])
        self.assertEqual(len(store.sent_ms), JOBS // ENTRIES_PER_COMMIT + 2)
        self.assertEqual(confirmed_ms, store.sent_ms[-1])

    # Guards against an ownership that is confirmed without a call to the store.
    async def test_nothing_to_store(self) -> None:
        """A commit without records proves nothing."""
        self.assertEqual(await Committer(None, "d0", 1, 1).commit([], []), 0)

    # Guards against commits that always take too long, so that none of their runs is
    # ever started: their calls wait for each other.
    async def test_runs_of_a_long_commit_start(self) -> None:
        """Each call is quick enough, all of them together aren't."""
        started: list[str] = []

        async def start_run(command: events.StartRun, sent_ms: int) -> events.Event:
            started.append(command.task)
            return events.StartAnswered(
                "w0", command.task, command.run, sent_ms, events.CallOutcome.DONE
            )

        async def poll(command: events.PollWorker, sent_ms: int) -> events.Event:
            await asyncio.sleep(CALL_S)
            return events.PollAnswered("w0", sent_ms, 1, boottime_ms(), (), ())

        jobs = [
            Job(JobSpec(f"{number:016x}", "orders", "desk", 1, "", ONE_TASK))
            for number in range(JOBS)
        ]
        for job in jobs:
            job.open_occurrence(0)
        policy = attrs.evolve(JobPolicy(), max_commit_before_start_ms=LIMIT_MS)
        owner = JobOwner(
            None,
            SimpleNamespace(start_run=start_run, poll=poll),
            None,
            None,
            Committer(SlowStore(), "d0", 1, 1),
            Dispatcher.take_over(policy, 1, jobs, boottime_ms()),
            EventLog("d0", lambda: (0, 0)),
        )
        owner.feed(events.ConfigChanged(OperatorConfig(1, (QUEUE,))))
        owner.feed(events.WorkerListed(LISTING))
        try:
            for _ in range(50):
                owner.feed(events.ViewConfirmed(boottime_ms()))
                owner.feed(events.Tick(1))
                await asyncio.sleep(CALL_S / 2)
            self.assertEqual(len(set(started)), JOBS)
        finally:
            owner.close()


if __name__ == "__main__":
    unittest.main()
