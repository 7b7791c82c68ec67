"""What the owner writes to the store, and in which order."""

import unittest
from types import SimpleNamespace

import orjson

from poplarlb.coordination.jobs.dispatcher import Dispatcher
from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import (
    Commit,
    Event,
    PollAnswered,
    PollFailed,
    PollWorker,
)
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.event_log import EventLog
from poplarlb.exceptions import BadAnswerError
from poplarlb.protocol.store import StoredItem, StoredList
from poplarlb.transport.job_keys import CANCELS, JOBS, PROGRESS
from poplarlb.transport.job_owner import JobOwner, find_leftovers

IDS = ("a" * 16, "b" * 16, "c" * 16)


class ForgetTest(unittest.IsolatedAsyncioTestCase):
    """Jobs are forgotten in several transactions if one can't hold them."""

    # Guards against an old job that is run again: its progress was deleted in one
    # transaction, and the owner was gone before the next one deleted the job.
    async def test_job_goes_before_its_progress(self) -> None:
        """After each delete no job is without its progress."""
        deleted: list[str] = []

        async def commit(puts, deletes) -> int:
            deleted.extend(deletes)
            return 0

        owner = JobOwner(
            None,
            None,
            None,
            None,
            SimpleNamespace(commit=commit, epoch=1),
            Dispatcher(DispatcherState(JobPolicy(), 1)),
            EventLog("d0", lambda: (0, 0)),
        )
        await owner._commit(Commit((), IDS))
        left = {prefix + name for name in IDS for prefix in (JOBS, PROGRESS, CANCELS)}
        for key in deleted:
            left.discard(key)
            for name in IDS:
                self.assertFalse(JOBS + name in left and PROGRESS + name not in left)
        self.assertEqual(left, set())

    async def test_next_owner_deletes_what_is_left(self) -> None:
        """It finds progress without a job."""
        jobs = StoredList((StoredItem(JOBS + IDS[0], b"", 1),), 9)
        progress = StoredList(
            tuple(StoredItem(PROGRESS + name, b"", 1) for name in IDS), 9
        )
        self.assertEqual(find_leftovers(jobs, progress), list(IDS[1:]))


class UnreadableAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A worker whose answers to polls can't be read."""

    async def asyncSetUp(self) -> None:
        """Create an owner whose workers answer as told."""
        self.log = EventLog("d0", lambda: (0, 0))
        self.owner = JobOwner(
            None,
            SimpleNamespace(poll=self.answer),
            None,
            None,
            SimpleNamespace(epoch=1, commit=self.commit),
            Dispatcher(DispatcherState(JobPolicy(), 1)),
            self.log,
        )

    async def answer(self, command: PollWorker, sent_ms: int) -> Event:
        """Return or raise the next answer."""
        if isinstance(self.next_answer, Exception):
            raise self.next_answer
        return self.next_answer

    async def commit(self, puts: list, deletes: list) -> int:
        """Accept any records."""
        return 0

    async def poll(self, answer: Event | Exception, worker_id: str = "w0") -> None:
        """Poll a worker that answers so."""
        self.next_answer = answer
        await self.owner._poll(PollWorker(worker_id, "127.0.0.1:1", 1, None, None, 0))

    # Guards against a line for each poll of a worker that goes on answering oddly.
    async def test_logged_once(self) -> None:
        """One line, whatever the reason, until an answer can be read."""
        for number in range(50):
            await self.poll(BadAnswerError(f"fault {number}"))
            await self.poll(PollFailed("w0", 0))
        await self.poll(BadAnswerError("fault"), "w1")
        self.assertEqual(self.read_workers(), ["w0", "w1"])
        await self.poll(PollAnswered("w0", 0, 1, 5, (), ()))
        await self.poll(BadAnswerError("fault"))
        self.assertEqual(self.read_workers(), ["w0"])

    # Guards against a lease that a worker was granted by a poll whose answer can't be
    # read, and that isn't counted if the worker has restarted (TWICE).
    async def test_renewal_counts(self) -> None:
        """The poll renewed the leases, whatever the answer."""
        self.next_answer = BadAnswerError("fault")
        await self.owner._poll(PollWorker("w0", "127.0.0.1:1", 1, None, 9_000, 0))
        worker = self.owner.dispatcher.state.worker("w0")
        self.assertGreater(worker.late_renewals_until_ms, 0)

    def read_workers(self) -> list[str]:
        """Return the workers in the lines logged since the last call."""
        lines = [orjson.loads(line) for line in self.log.lines]
        self.log.lines.clear()
        return [
            line.get("worker", "")
            for line in lines
            if line["event"] == "answer_unreadable"
        ]


if __name__ == "__main__":
    unittest.main()
