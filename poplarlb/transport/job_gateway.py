"""What any daemon does for the submitters of jobs: accept, tell, cancel, count.

A daemon accepts a job by creating its key in the store; it needs no owner for that.
"""

import asyncio
import enum
from collections import Counter
from collections.abc import Callable, Mapping

from attrs import define, field

from poplarlb.event_log import EventLog
from poplarlb.exceptions import (
    BadAnswerError,
    CallUnansweredError,
    StoreRefusedError,
)
from poplarlb.protocol.store import (
    Expectation,
    Put,
    Store,
    StoredItem,
    Transaction,
)
from poplarlb.state import job_records
from poplarlb.state.jobs import JobSpec, JobState
from poplarlb.transport.job_keys import CANCELS, INBOX, JOBS, PROGRESS, WAITING

WRITE_TIMEOUT_S = 0.8  # for one attempt; sixty times the usual answer is 240 ms
WRITE_BUDGET_S = 2.4  # below the 3 s that callers wait
DEADLINE_MARGIN_S = 0.2  # for the answer's way back
DEADLINE_MARGIN_SHARE = 0.3  # of what is left, when little is
RETRY_S = 0.1
COUNTS_AGE_S = 0.5  # a count is read again after this
COUNTS_TRUSTED_MS = 2_000  # the owner confirms its counts once a second


class WriteResult(enum.Enum):
    """What is known of a write for a caller."""

    STORED = "stored"
    REFUSED = "refused"  # certainly not stored, now or later
    UNKNOWN = "unknown"  # may be stored yet


@define(eq=False)
class JobGateway:
    """Serves submitters out of the store."""

    store: Store
    log: EventLog
    utc_ms: Callable[[], int]
    counts: Mapping[str, int] | None = None
    counts_at_s: float = 0.0
    counting: asyncio.Lock = field(factory=asyncio.Lock)

    async def submit(self, spec: JobSpec, budget_s: float) -> WriteResult:
        """Store an accepted job; the same id is stored once."""
        key = JOBS + spec.job_id
        put = Put(key, job_records.encode_job(spec))
        result = await self._create(put, budget_s)
        self.log.write(
            "job_accepted" if result is WriteResult.STORED else "job_not_accepted",
            job=spec.job_id,
            queue=spec.queue,
            result=result.value,
        )
        return result

    async def cancel(self, job_id: str, budget_s: float) -> WriteResult | None:
        """Store that a job is cancelled; None if there is no such job."""
        if await self._read(JOBS + job_id) is None:
            return None
        result = await self._create(Put(CANCELS + job_id, b"{}"), budget_s)
        self.log.write("cancel_stored", job=job_id, result=result.value)
        return result

    async def read_state(self, job_id: str, queue: str) -> JobState | None:
        """Return a job's state; None if there is no such job in the queue."""
        progress = await self._read(PROGRESS + job_id)
        if progress is not None:
            return job_records.decode_state(progress.value)
        accepted = await self._read(JOBS + job_id)
        if accepted is None:
            return None
        if job_records.decode_job(accepted.value).queue != queue:
            return None
        return JobState.PENDING

    async def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue haven't begun, up to 2.5 s old."""
        loop = asyncio.get_running_loop()
        async with self.counting:
            if self.counts is None or loop.time() - self.counts_at_s > COUNTS_AGE_S:
                self.counts = await self._read_counts()
                self.counts_at_s = loop.time()
        return self.counts.get(queue, 0)

    async def _read_counts(self) -> Mapping[str, int]:
        """Return the owner's counts, or our own if no owner has confirmed them."""
        item = await self._read(WAITING)
        age_ms = None
        if item is not None:
            try:
                told = job_records.decode_waiting(item.value)
                age_ms = self.utc_ms() - told.utc_ms
            except BadAnswerError as error:
                self.log.write("record_unreadable", key=WAITING, error=error.detail)
        # Clocks may differ, so a count from the future can't be trusted either.
        if age_ms is not None and abs(age_ms) <= COUNTS_TRUSTED_MS:
            return told.queues
        self.log.write("waiting_recounted", owners_count_ms_ago=age_ms)
        return await self._count_from_records()

    async def _count_from_records(self) -> Mapping[str, int]:
        """Count the accepted jobs that have no progress and weren't cancelled."""
        try:
            inbox = await self.store.list(INBOX)
            progress = await self.store.list(PROGRESS)
        except CallUnansweredError as error:
            raise StoreRefusedError(error.detail) from error
        begun = {
            item.key.removeprefix(PROGRESS)
            for item in progress.items
            if job_records.decode_state(item.value) is not JobState.PENDING
        }
        begun |= {
            item.key.removeprefix(CANCELS)
            for item in inbox.items
            if item.key.startswith(CANCELS)
        }
        return Counter(
            job_records.decode_job(item.value).queue
            for item in inbox.items
            if item.key.startswith(JOBS) and item.key.removeprefix(JOBS) not in begun
        )

    async def _read(self, key: str) -> StoredItem | None:
        """Return a key's item; a read that got no answer is repeated once.

        :raises StoreRefusedError: the store is away; nothing depends on the read.
        """
        if self.store.is_down:
            raise StoreRefusedError("the store is down")
        try:
            return await self.store.get(key)
        except CallUnansweredError:
            self.log.write("read_repeated", key=key)
        try:
            return await self.store.get(key)
        except CallUnansweredError as error:
            raise StoreRefusedError(error.detail) from error

    async def _create(self, put: Put, budget_s: float) -> WriteResult:
        """Create a key if it is absent.

        A write without an answer may still be carried out, so it is repeated until it
        or its repetition is answered; a refusal counts only if nothing was unanswered.
        """
        if self.store.is_down:
            return WriteResult.REFUSED
        transaction = Transaction((Expectation(put.key, 0),), (put,))
        loop = asyncio.get_running_loop()
        margin_s = min(DEADLINE_MARGIN_S, DEADLINE_MARGIN_SHARE * budget_s)
        until_s = loop.time() + min(budget_s - margin_s, WRITE_BUDGET_S)
        uncertain = False
        while True:
            left_s = until_s - loop.time()
            if left_s <= 0:
                return WriteResult.UNKNOWN
            try:
                # A conflict: the key is there already, by this write or by another.
                await self.store.transact(transaction, min(WRITE_TIMEOUT_S, left_s))
                return WriteResult.STORED
            except StoreRefusedError:
                if not uncertain:
                    return WriteResult.REFUSED
            except CallUnansweredError:
                uncertain = True
            except BadAnswerError as error:
                self.log.write("answer_unreadable", error=error.detail)
                uncertain = True
            await asyncio.sleep(RETRY_S)
