"""What the owner writes to the store, and in which order."""

import unittest
from types import SimpleNamespace

from poplarlb.coordination.jobs.dispatcher import Dispatcher
from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import Commit
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.event_log import EventLog
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

        async def commit(puts, deletes) -> None:
            deleted.extend(deletes)

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


if __name__ == "__main__":
    unittest.main()
