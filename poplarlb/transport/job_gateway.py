"""Requests of submitters that any daemon serves: accept, show, cancel, count jobs.

A daemon accepts a job by creating its key in the store; the owner, the daemon that
decides about all jobs, isn't called.
"""

import asyncio
import enum
from collections import Counter
from collections.abc import Callable, Container, Mapping

from attrs import define, field

from poplarlb.event_log import EventLog
from poplarlb.exceptions import (
    BadAnswerError,
    CallUnansweredError,
    StoreRefusedError,
)
from poplarlb.protocol.store import (
    Applied,
    Conflict,
    Expectation,
    Put,
    Store,
    StoredItem,
    Transaction,
)
from poplarlb.state import job_records
from poplarlb.state.jobs import ConfigStamp, JobSpec, JobState
from poplarlb.transport.job_keys import CANCELS, INBOX, JOBS, PROGRESS, WAITING

# For one attempt; above 240 ms, which is 60 times the usual response time.
WRITE_TIMEOUT_S = 0.8
WRITE_BUDGET_S = 2.4  # callers time out after 3 s
DEADLINE_MARGIN_S = 0.2  # for sending the response
DEADLINE_MARGIN_SHARE = 0.3  # of the caller's budget, if that is less
RETRY_S = 0.1
COUNTS_MAX_AGE_S = 0.5  # then the counts are read again
OWNER_COUNTS_MAX_AGE_MS = 2_000  # the owner stores its counts once a second


class WriteResult(enum.Enum):
    """What is known about a write that a caller requested."""

    STORED = "stored"  # by this write or an earlier one
    CANCELLED = "cancelled"  # not stored, as the job was cancelled before
    REFUSED = "refused"  # not stored, and will not be
    UNKNOWN = "unknown"  # may be stored now or later


@define(eq=False)
class JobGateway:
    """Serves submitters from the store.

    ``counts`` caches the number of waiting jobs by queue, read at ``counts_read_s``.
    """

    store: Store
    log: EventLog
    utc_ms: Callable[[], int]
    counts: Mapping[str, int] | None = None
    counts_read_s: float = 0.0
    counts_lock: asyncio.Lock = field(factory=asyncio.Lock)

    async def submit(
        self, spec: JobSpec, budget_s: float, stamp: ConfigStamp
    ) -> WriteResult:
        """Store an accepted job; a repeat with the same id has no effect.

        A job that has been cancelled is not stored any more: the write may be repeated,
        or carried out late, after its caller has gone and cancelled it elsewhere.

        :param budget_s: the time that the caller still waits.
        :param stamp: the configuration by which the job was accepted, for the log.
        """
        key = JOBS + spec.job_id
        put = Put(key, job_records.encode_job(spec))
        result = await self._create(put, budget_s, unless=CANCELS + spec.job_id)
        self.log.write(
            "job_accepted" if result is WriteResult.STORED else "job_not_accepted",
            job=spec.job_id,
            queue=spec.queue,
            result=result.value,
            **stamp.log_fields(),
        )
        return result

    async def cancel(
        self, job_id: str, budget_s: float, stamp: ConfigStamp
    ) -> WriteResult | None:
        """Store a job's cancellation; return None if there is no such job.

        It is stored also if the job isn't: a submission may still be under way.
        """
        result = await self._create(Put(CANCELS + job_id, b"{}"), budget_s)
        known = result is not WriteResult.STORED or await self._is_stored(job_id)
        self.log.write(
            "cancel_stored",
            job=job_id,
            result=result.value,
            known=known,
            **stamp.log_fields(),
        )
        return result if known else None

    async def _is_stored(self, job_id: str) -> bool:
        """Return whether a job was accepted; true if the store can't be read."""
        try:
            return await self._read(JOBS + job_id) is not None
        except StoreRefusedError as error:
            self.log.write("job_unread", job=job_id, error=error.detail)
            return True

    async def read_state(
        self, job_id: str, queue: str, configured: Container[str]
    ) -> JobState | None:
        """Return a job's state, or None if there is no such job.

        A job of another queue that is ``configured`` isn't shown until the owner has
        stored its progress. A job whose queue isn't configured any more is shown, as
        the queue may have another name now.
        """
        progress = await self._read(PROGRESS + job_id)
        if progress is not None:
            return job_records.decode_job_state(progress.value)
        accepted = await self._read(JOBS + job_id)
        if accepted is None:
            return None
        found = job_records.decode_job(accepted.value).queue
        if found != queue and found in configured:
            return None
        return JobState.PENDING

    async def count_waiting(self, queue: str) -> int:
        """Return the number of a queue's jobs not yet begun; up to 2.5 s old."""
        loop = asyncio.get_running_loop()
        async with self.counts_lock:
            if (
                self.counts is None
                or loop.time() - self.counts_read_s > COUNTS_MAX_AGE_S
            ):
                self.counts = await self._read_counts()
                self.counts_read_s = loop.time()
        return self.counts.get(queue, 0)

    async def _read_counts(self) -> Mapping[str, int]:
        """Return the owner's counts, or count the records if those are out of date."""
        item = await self._read(WAITING)
        age_ms = None
        if item is not None:
            try:
                stored_counts = job_records.decode_waiting_counts(item.value)
                age_ms = self.utc_ms() - stored_counts.utc_ms
            except BadAnswerError as error:
                self.log.write("record_unreadable", key=WAITING, error=error.detail)
        # Clocks may differ, so counts dated in the future can't be trusted either.
        if age_ms is not None and abs(age_ms) <= OWNER_COUNTS_MAX_AGE_MS:
            return stored_counts.queues
        self.log.write("waiting_recounted", owners_count_ms_ago=age_ms)
        return await self._count_from_records()

    async def _count_from_records(self) -> Mapping[str, int]:
        """Count the accepted jobs that have not begun and weren't cancelled."""
        try:
            inbox = await self.store.list(INBOX)
            progress = await self.store.list(PROGRESS)
        except CallUnansweredError as error:
            raise StoreRefusedError(error.detail) from error
        begun = {
            item.key.removeprefix(PROGRESS)
            for item in progress.items
            if job_records.decode_job_state(item.value) is not JobState.PENDING
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
        """Return a key's item, with one retry if the store does not answer.

        :raises StoreRefusedError: if the store is unavailable; a failed read is never
            ambiguous, as it changes nothing.
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

    async def _create(self, put: Put, budget_s: float, unless: str = "") -> WriteResult:
        """Create a key if it is absent, and so is the key ``unless`` if it is given.

        An unanswered write may still be executed, so it is retried until an attempt
        is answered; a refusal is final only if no attempt was unanswered.
        """
        if self.store.is_down:
            return WriteResult.REFUSED
        absent = (put.key, unless) if unless else (put.key,)
        transaction = Transaction(tuple(Expectation(key, 0) for key in absent), (put,))
        loop = asyncio.get_running_loop()
        margin_s = min(DEADLINE_MARGIN_S, DEADLINE_MARGIN_SHARE * budget_s)
        deadline_s = loop.time() + min(budget_s - margin_s, WRITE_BUDGET_S)
        ambiguous = False
        while True:
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0:
                return WriteResult.UNKNOWN
            try:
                result = await self.store.transact(
                    transaction, min(WRITE_TIMEOUT_S, remaining_s)
                )
                match result:
                    case Applied():
                        return WriteResult.STORED
                    case Conflict() if result.find(put.key) is not None:
                        return WriteResult.STORED  # by an earlier attempt or write
                    case Conflict() if result.find(unless) is not None:
                        return WriteResult.CANCELLED
                self.log.write("write_repeated", key=put.key)
            except StoreRefusedError:
                if not ambiguous:
                    return WriteResult.REFUSED
            except CallUnansweredError:
                ambiguous = True
            except BadAnswerError as error:
                self.log.write("answer_unreadable", error=error.detail)
                ambiguous = True
            await asyncio.sleep(RETRY_S)
