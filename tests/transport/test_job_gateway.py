"""Submissions and cancels of one job that meet in the store, through two daemons."""

import asyncio
import unittest

from attrs import Factory, define

from poplarlb.event_log import EventLog
from poplarlb.exceptions import CallUnansweredError, StoreRefusedError
from poplarlb.protocol.store import (
    Applied,
    Conflict,
    StoredItem,
    Transaction,
    TransactionResult,
)
from poplarlb.state.jobs import ConfigStamp, JobState
from poplarlb.transport.job_gateway import JobGateway, WriteResult
from poplarlb.transport.job_keys import CANCELS, JOBS
from tests.coordination.jobs.job_world import make_job

JOB = "e" * 16
STAMP = ConfigStamp(1, 1, 0, True)
CALLER_S = 3.0


@define(eq=False)
class FakeTable:
    """The store's keys, with the revision of each."""

    items: dict[str, StoredItem] = Factory(dict)
    revision: int = 0

    def apply(self, transaction: Transaction) -> TransactionResult:
        """Carry out a transaction."""
        expected = transaction.expected
        found = {item.key: self.items.get(item.key) for item in expected}
        if any(
            (row.revision if row else 0) != item.revision
            for item, row in zip(expected, found.values(), strict=True)
        ):
            return Conflict(tuple(row for row in found.values() if row))
        self.revision += 1
        for put in transaction.puts:
            self.items[put.key] = StoredItem(put.key, put.value, self.revision)
        return Applied(self.revision)


@define(eq=False)
class FakeStore:
    """One daemon's way to the table.

    ``ignored`` writes get no answer; ``executed`` tells whether they are carried out,
    or kept in ``late`` to be carried out when a test wants.
    """

    table: FakeTable
    ignored: int = 0
    executed: bool = False
    refused_reads: int = 0
    late: list[Transaction] = Factory(list)
    is_down: bool = False

    async def transact(
        self, transaction: Transaction, timeout_s: float
    ) -> TransactionResult:
        """Carry out a transaction, or leave it unanswered."""
        if not self.ignored:
            return self.table.apply(transaction)
        self.ignored -= 1
        if self.executed:
            self.table.apply(transaction)
        else:
            self.late.append(transaction)
        raise CallUnansweredError("no answer")

    async def get(self, key: str) -> StoredItem | None:
        """Return a key's item."""
        if self.refused_reads:
            self.refused_reads -= 1
            raise StoreRefusedError("503")
        return self.table.items.get(key)


class CancelTest(unittest.IsolatedAsyncioTestCase):
    """A cancel that was acknowledged holds for every write of its job."""

    def setUp(self) -> None:
        """Create the table and two daemons' gateways."""
        self.table = FakeTable()
        self.stores = [FakeStore(self.table), FakeStore(self.table)]
        log = EventLog("d0", lambda: (0, 0))
        self.first, self.second = (
            JobGateway(store, log, lambda: 0) for store in self.stores
        )

    async def submit(self, gateway: JobGateway) -> WriteResult:
        """Submit the job."""
        return await gateway.submit(make_job(JOB), CALLER_S, STAMP)

    async def cancel(self, gateway: JobGateway) -> WriteResult | None:
        """Cancel the job."""
        return await gateway.cancel(JOB, CALLER_S, STAMP)

    def carry_out_late(self) -> None:
        """Let the store carry out the writes that it has ignored."""
        for store in self.stores:
            for transaction in store.late:
                self.table.apply(transaction)

    # Guards against review/5: a submission that is repeated for a caller that has gone
    # stored the job after its cancel was acknowledged elsewhere.
    async def test_write_is_repeated_after_the_cancel(self) -> None:
        """The store ignores the first daemon; the second one cancels meanwhile."""
        self.stores[0].ignored = 3
        submission = asyncio.ensure_future(self.submit(self.first))
        await asyncio.sleep(0.05)
        self.assertIsNone(await self.cancel(self.second))
        self.assertIs(await submission, WriteResult.CANCELLED)
        self.carry_out_late()
        self.assertNotIn(JOBS + JOB, self.table.items)

    # Guards against a write that the store carries out after the cancel.
    async def test_write_is_carried_out_late(self) -> None:
        """No attempt is answered, and the last one is carried out seconds later."""
        self.stores[0].ignored = 100
        self.assertIs(await self.submit(self.first), WriteResult.UNKNOWN)
        self.assertIsNone(await self.cancel(self.second))
        self.carry_out_late()
        self.assertNotIn(JOBS + JOB, self.table.items)

    # Guards against a submission that comes first after its cancel.
    async def test_cancel_comes_first(self) -> None:
        """The submission was delayed on its way; a repeat comes at the other daemon."""
        self.assertIsNone(await self.cancel(self.first))
        self.assertIs(await self.submit(self.first), WriteResult.CANCELLED)
        self.assertIs(await self.submit(self.second), WriteResult.CANCELLED)
        self.assertNotIn(JOBS + JOB, self.table.items)

    # Guards against a cancel that is lost with its answer.
    async def test_cancel_is_not_answered(self) -> None:
        """The store carries the cancel out; it is repeated at the other daemon."""
        self.stores[0].ignored, self.stores[0].executed = 100, True
        self.assertIs(await self.cancel(self.first), WriteResult.UNKNOWN)
        self.assertIsNone(await self.cancel(self.second))
        self.assertIs(await self.submit(self.second), WriteResult.CANCELLED)

    # Guards against a cancel that counts as one of an unknown job when only its first
    # attempt was executed.
    async def test_repeated_cancel_of_a_stored_job(self) -> None:
        """The job is stored; every cancel of it is acknowledged."""
        self.assertIs(await self.submit(self.first), WriteResult.STORED)
        for gateway in (self.first, self.second, self.first):
            self.assertIs(await self.cancel(gateway), WriteResult.STORED)
        self.assertIn(CANCELS + JOB, self.table.items)

    # Guards against an accepted job that is refused when its submission is repeated.
    async def test_repeated_submission_of_a_cancelled_job(self) -> None:
        """It remains one job, whose submission was stored."""
        self.stores[0].ignored, self.stores[0].executed = 1, True
        self.assertIs(await self.submit(self.first), WriteResult.STORED)
        self.assertIs(await self.cancel(self.second), WriteResult.STORED)
        self.assertIs(await self.submit(self.second), WriteResult.STORED)

    # Guards against a stored cancel that is refused, as the job can't be read.
    async def test_read_fails_after_the_cancel(self) -> None:
        """The cancel is in force, so it is acknowledged."""
        self.stores[0].refused_reads = 2
        self.assertIs(await self.cancel(self.first), WriteResult.STORED)


class StateTest(unittest.IsolatedAsyncioTestCase):
    """The state of a job that the owner hasn't begun."""

    # Guards against an accepted job that is unknown once its queue has another name.
    async def test_queue_was_renamed(self) -> None:
        """It is shown unless its own queue is still configured beside this one."""
        log = EventLog("d0", lambda: (0, 0))
        gateway = JobGateway(FakeStore(FakeTable()), log, lambda: 0)
        await gateway.submit(make_job(JOB), CALLER_S, STAMP)
        for queue, configured, state in (
            ("orders", ("orders",), JobState.PENDING),
            ("renamed", ("renamed",), JobState.PENDING),
            ("patient", ("orders", "patient"), None),
        ):
            found = await gateway.read_state(JOB, queue, configured)
            self.assertIs(found, state)


if __name__ == "__main__":
    unittest.main()
