"""Runs the dispatcher, which decides about all jobs, in the daemon that owns them."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

import attrs
from attrs import Factory, define, field

from poplarlb.coordination.jobs import bad_jobs, events
from poplarlb.coordination.jobs.dispatcher import Dispatcher
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.coordination.jobs.prefix_view import PrefixView
from poplarlb.event_log import EventLog
from poplarlb.exceptions import (
    BadAnswerError,
    DeposedError,
    OldEpochError,
    PoplarlbError,
)
from poplarlb.protocol.store import Put, Store, StoredChange, StoredItem, StoredList
from poplarlb.state import job_records
from poplarlb.state.jobs import Job
from poplarlb.transport.clock import boottime_ms, utc_ms
from poplarlb.transport.committer import Committer
from poplarlb.transport.job_keys import (
    CANCELS,
    ERRORS,
    HOLDER,
    JOBS,
    LATE_CALLS,
    LEARNED,
    PROGRESS,
    UNRESPONSIVE_WORKERS,
    WAITING,
)
from poplarlb.transport.prefix_watcher import PrefixWatcher, WatchSettings

ERROR_RECORD_TIMEOUT_S = 1.0  # then the ownership is given up without it
TICK_S = 0.02  # the dispatcher's decisions are delayed by at most this
# Runs are placed by views proven less than ``JobPolicy.max_view_age_ms`` ago. This
# leaves a third of that for the answer of a store 100 times slower than usual.
PLACEMENT_LIST_PERIOD_S = 1.0
CANCELS_WATCH = WatchSettings(
    source="cancels",
    prefix=CANCELS,
    wait_ms=2_000,
    list_period_s=PLACEMENT_LIST_PERIOD_S,
    list_timeout_s=0.6,
)
WORKERS_WATCH = attrs.evolve(CANCELS_WATCH, source="workers", prefix="")
# A job that isn't known yet makes no decision wrong, so its view needs no proof.
JOBS_WATCH = WatchSettings(
    source="jobs",
    prefix=JOBS,
    wait_ms=2_000,
    list_period_s=2.0,
    list_bytes_per_s=256 * 1024,  # leaves half of a link of 5 Mbit/s
)


class WorkerClient(Protocol):
    """Sends commands to workers."""

    async def start_run(self, command: events.StartRun, sent_ms: int) -> events.Event:
        """Start a run and return the result."""

    async def stop_run(self, command: events.StopRun, sent_ms: int) -> events.Event:
        """Stop a run and return the result."""

    async def throttle_run(self, command: events.ThrottleRun) -> events.Event:
        """Throttle a run and return the result."""

    async def poll(self, command: events.PollWorker, sent_ms: int) -> events.Event:
        """Poll a worker for the runs that it lists."""


class AdviceClient(Protocol):
    """Requests advice on the workers that may run a step of a job."""

    async def ask(self, command: events.AskAdvice, sent_ms: int) -> events.Event:
        """Request the advice for a step and return the result."""


class WorkerDirectory(Protocol):
    """Decodes the entries with which workers register in the store.

    ``prefix`` is that of the entries' keys.
    """

    prefix: str

    def decode(self, change: StoredChange) -> events.Event | None:
        """Return the event for a change, or None if the entry can't be used."""


@define(eq=False)
class JobOwner:
    """Executes the dispatcher's commands until this daemon is no longer the owner.

    ``watchers`` deliver submissions, cancellations, and the workers that register.
    ``views`` are those by which runs are placed: of cancellations, of workers, and of
    the operator's entries, which the daemon watches. ``deposed`` is set when the
    ownership ends. ``calls`` counts the calls in flight by kind. ``errors`` are the
    numbers of unexpected errors by job, with those of earlier owners; after one the
    owner has ``failed``: it handles nothing more, as its state may be inconsistent.
    ``unreadable`` are the workers whose last answer to a poll couldn't be read.
    """

    store: Store
    workers: WorkerClient
    advice: AdviceClient
    directory: WorkerDirectory
    committer: Committer
    dispatcher: Dispatcher
    log: EventLog
    asyncio_tasks: set[asyncio.Task] = Factory(set)
    deposed: asyncio.Event = field(factory=asyncio.Event)
    watchers: tuple[PrefixWatcher, ...] = ()
    views: tuple[PrefixView, ...] = ()
    calls: Counter = field(factory=Counter)
    committing: bool = False
    errors: Counter[str] = field(factory=Counter)
    failed: bool = False
    unreadable: set[str] = Factory(set)

    @classmethod
    async def load(
        cls,
        store: Store,
        workers: WorkerClient,
        advice: AdviceClient,
        directory: WorkerDirectory,
        committer: Committer,
        policy: JobPolicy,
        operator_view: PrefixView,
        log: EventLog,
    ) -> "JobOwner":
        """Return an owner that resumes from the records in the store."""
        listed_ms = boottime_ms()
        (
            stored_jobs,
            cancels,
            progress,
            learned,
            unresponsive,
            late_calls,
            stored_errors,
        ) = await asyncio.gather(
            store.list(JOBS),
            store.list(CANCELS),
            store.list(PROGRESS),
            store.get(LEARNED),
            store.get(UNRESPONSIVE_WORKERS),
            store.get(LATE_CALLS),
            store.get(ERRORS),
        )
        jobs = read_jobs(stored_jobs, progress, log)
        errors = read_errors(stored_errors, jobs, log)
        try:
            dispatcher = Dispatcher.take_over(
                policy,
                committer.epoch,
                jobs,
                boottime_ms(),
                read_unresponsive_workers(unresponsive, log),
                errors,
                utc_ms(),
                read_late_calls(late_calls, log),
            )
        except Exception as error:
            await record_error(error, errors, committer, log)
            raise
        if learned is not None:
            try:
                dispatcher.restore_learned(learned.value)
            except BadAnswerError as error:
                log.write("record_unreadable", key=LEARNED, error=error.detail)
        dispatcher.state.forgotten.extend(find_leftovers(stored_jobs, progress))
        owner = cls(
            store,
            workers,
            advice,
            directory,
            committer,
            dispatcher,
            log,
            errors=errors,
        )
        jobs_watcher = owner.watch(JOBS_WATCH, owner.handle_job_change)
        jobs_watcher.resume_from(stored_jobs, listed_ms)
        cancels_watcher = owner.watch(CANCELS_WATCH, owner.handle_cancel_change)
        cancels_watcher.resume_from(cancels, listed_ms)
        workers_watcher = owner.watch(
            attrs.evolve(WORKERS_WATCH, prefix=directory.prefix),
            owner.handle_registration_change,
        )
        owner.watchers = (jobs_watcher, cancels_watcher, workers_watcher)
        owner.views = (cancels_watcher.view, workers_watcher.view, operator_view)
        for item in cancels.items:
            owner.feed(events.CancelStored(item.key.removeprefix(CANCELS)))
        log.write(
            "ownership_loaded",
            epoch=committer.epoch,
            jobs=len(jobs),
            open_jobs=sum(not job.final for job in jobs),
        )
        return owner

    def watch(
        self, settings: WatchSettings, on_change: Callable[[StoredChange], None]
    ) -> PrefixWatcher:
        """Return a watcher that reports its listings."""
        return PrefixWatcher(
            self.store, settings, on_change, self.handle_view_confirmed, self.log
        )

    def run(self) -> None:
        """Start the watches and the ticks."""
        for work in (*(watcher.run() for watcher in self.watchers), self._tick()):
            self._spawn(work)

    def close(self) -> None:
        """Cancel all asyncio tasks; the next owner resumes from the store."""
        for task in self.asyncio_tasks:
            task.cancel()

    async def hand_over(self, limit_s: float) -> None:
        """Stop starting runs; wait for in-flight starts and commits.

        :param limit_s: the longest wait.
        """
        self.dispatcher.stopping = True
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            if not (self.committing or self.calls["starts"]):
                return
            await asyncio.sleep(TICK_S)

    # --- events -----------------------------------------------------------------------

    def feed(self, event: events.Event) -> None:
        """Pass an event to the dispatcher and execute its commands.

        An unexpected error ends the ownership; the next owner resumes from the store.
        """
        if self.failed:
            return
        try:
            for command in self.dispatcher.handle(event, boottime_ms()):
                self._execute(command)
        except Exception as error:
            self._fail(error)

    def handle_cancel_change(self, change: StoredChange) -> None:
        """Handle a stored cancellation."""
        if change.value is not None:
            self.feed(events.CancelStored(change.key.removeprefix(CANCELS)))

    def handle_job_change(self, change: StoredChange) -> None:
        """Handle a stored job."""
        if change.value is None:
            return
        try:
            spec = job_records.decode_job(change.value)
        except BadAnswerError as error:
            self.log.write("record_unreadable", key=change.key, error=error.detail)
            return
        self.feed(events.JobStored(spec))

    def handle_registration_change(self, change: StoredChange) -> None:
        """Handle a change to a worker's registration."""
        event = self.directory.decode(change)
        if event is not None:
            self.feed(event)

    def handle_view_confirmed(self) -> None:
        """Tell the dispatcher up to when every change is known in all views."""
        proven_ms = [view.proven_ms for view in self.views]
        if None not in proven_ms:
            self.feed(events.ViewConfirmed(min(proven_ms)))

    async def _tick(self) -> None:
        while True:
            self.feed(events.Tick(utc_ms()))
            self.log.flush()
            await asyncio.sleep(TICK_S)

    # --- commands ---------------------------------------------------------------------

    def _execute(self, command: events.Command) -> None:
        match command:
            case events.LogEvent(event=event, fields=fields):
                self.log.write(event, epoch=self.committer.epoch, **fields)
            case events.StepDown(reason=reason):
                self.log.write("ownership_lost", reason=reason)
                self.deposed.set()
            case events.Commit():
                self._spawn(self._commit(command))
            case events.StartRun():
                self._spawn(self._call("starts", self.workers.start_run, command))
            case events.StopRun():
                self._spawn(self._call("stops", self.workers.stop_run, command))
            case events.PollWorker():
                self._spawn(self._poll(command))
            case events.AskAdvice():
                self._spawn(self._call("advice", self.advice.ask, command))
            case events.ThrottleRun():
                self._spawn(self._throttle(command))

    async def _call(self, kind: str, send: Callable, command) -> None:
        self.calls[kind] += 1
        try:
            self.feed(await send(command, boottime_ms()))
        finally:
            self.calls[kind] -= 1

    async def _throttle(self, command: events.ThrottleRun) -> None:
        self.feed(await self.workers.throttle_run(command))

    async def _poll(self, command: events.PollWorker) -> None:
        sent_ms = boottime_ms()
        worker_id = command.worker_id
        try:
            answer = await self.workers.poll(command, sent_ms)
        except OldEpochError:
            self._execute(events.StepDown(f"{worker_id}: a higher epoch"))
            return
        except BadAnswerError as error:
            if worker_id not in self.unreadable:
                self.unreadable.add(worker_id)
                self.log.write(
                    "answer_unreadable", worker=worker_id, error=error.detail
                )
            # The worker has carried the poll out.
            renewed = command.lease_end_ms is not None
            self.feed(events.PollFailed(worker_id, sent_ms, renewed))
            return
        if isinstance(answer, events.PollAnswered):
            self.unreadable.discard(worker_id)
        self.feed(answer)

    async def _commit(self, command: events.Commit) -> None:
        puts = []
        # Before the records of jobs: what these no longer say of starts, it says.
        if command.late_calls is not None:
            late_calls = job_records.encode_late_calls(command.late_calls)
            puts.append(Put(LATE_CALLS, late_calls))
        puts += [
            Put(PROGRESS + record.job_id, record.value) for record in command.records
        ]
        if command.waiting is not None:
            waiting = job_records.encode_waiting_counts(command.waiting)
            puts.append(Put(WAITING, waiting))
        if command.lease_remainders is not None:
            puts.append(
                Put(
                    UNRESPONSIVE_WORKERS,
                    job_records.encode_lease_remainders(command.lease_remainders),
                )
            )
        if command.learned:
            puts.append(Put(LEARNED, command.learned))
        # The job goes before its progress: without that, it would be run again.
        deletes = [
            prefix + job_id
            for job_id in command.forgotten
            for prefix in (JOBS, PROGRESS, CANCELS)
        ]
        self.committing = True
        try:
            confirmed_ms = await self.committer.commit(puts, deletes)
        except DeposedError as error:
            self._execute(events.StepDown(error.detail))
            return
        finally:
            self.committing = False
        self.feed(events.Committed(confirmed_ms))

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.asyncio_tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self.asyncio_tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._fail(task.exception())

    def _fail(self, error: BaseException) -> None:
        """Give up the ownership after an unexpected error."""
        if self.failed:
            return
        self.failed = True
        asyncio.get_running_loop().call_exception_handler(
            {"message": "a part of the owner failed", "exception": error}
        )
        self._spawn(self._record_and_give_up(error))

    async def _record_and_give_up(self, error: BaseException) -> None:
        try:
            await record_error(error, self.errors, self.committer, self.log)
        finally:
            self.deposed.set()


async def record_error(
    error: BaseException, errors: Counter[str], committer: Committer, log: EventLog
) -> None:
    """Log an unexpected error, and count it for its job in the store.

    If the job is known the ownership is released with that, so that the next owner
    begins at once. Otherwise the lease delays it, as it may well fail too.
    """
    job_id = bad_jobs.find_job_id(error)
    log.write("ownership_failed", error=f"{type(error).__name__}: {error}", job=job_id)
    if not job_id:
        return
    errors[job_id] += 1
    put = Put(ERRORS, bad_jobs.encode_errors(errors))
    try:
        async with asyncio.timeout(ERROR_RECORD_TIMEOUT_S):
            await committer.write((put,), (HOLDER,))
    except (TimeoutError, PoplarlbError) as failure:
        log.write("release_failed", error=str(failure))


def read_errors(
    item: StoredItem | None, jobs: list[Job], log: EventLog
) -> Counter[str]:
    """Return the numbers of unexpected errors of earlier owners, by job."""
    if item is None:
        return Counter()
    try:
        errors = bad_jobs.decode_errors(item.value)
    except BadAnswerError as error:
        log.write("record_unreadable", key=ERRORS, error=error.detail)
        return Counter()
    known = {job.spec.job_id for job in jobs}
    return Counter({name: count for name, count in errors.items() if name in known})


def read_unresponsive_workers(
    item: StoredItem | None, log: EventLog
) -> tuple[job_records.LeaseRemainder, ...]:
    """Return the unresponsive workers that the previous owner stored."""
    if item is None:
        return ()
    try:
        return job_records.decode_lease_remainders(item.value)
    except BadAnswerError as error:
        log.write("record_unreadable", key=UNRESPONSIVE_WORKERS, error=error.detail)
        return ()


def read_late_calls(
    item: StoredItem | None, log: EventLog
) -> tuple[job_records.LateCall, ...]:
    """Return the calls that may be carried out late, as the last owner stored them."""
    if item is None:
        return ()
    try:
        return job_records.decode_late_calls(item.value)
    except BadAnswerError as error:
        log.write("record_unreadable", key=LATE_CALLS, error=error.detail)
        return ()


def find_leftovers(stored_jobs: StoredList, progress: StoredList) -> list[str]:
    """Return the ids of jobs that an earlier owner was about to forget.

    Their progress is still stored, and the job no more.
    """
    known = {item.key.removeprefix(JOBS) for item in stored_jobs.items}
    ids = (item.key.removeprefix(PROGRESS) for item in progress.items)
    return [job_id for job_id in ids if job_id not in known]


def read_jobs(
    stored_jobs: StoredList, progress: StoredList, log: EventLog
) -> list[Job]:
    """Return the jobs with their stored progress.

    Unreadable records are logged and left out.
    """
    jobs: dict[str, Job] = {}
    for item in stored_jobs.items:
        try:
            jobs[item.key] = Job(job_records.decode_job(item.value))
        except (BadAnswerError, *job_records.UNREADABLE_ERRORS) as error:
            log.write("record_unreadable", key=item.key, error=str(error))
    for item in progress.items:
        job = jobs.get(JOBS + item.key.removeprefix(PROGRESS))
        if job is None:
            continue
        try:
            job_records.restore_progress(job, item.value)
        except BadAnswerError as error:
            log.write("record_unreadable", key=item.key, error=error.detail)
    for job in jobs.values():
        if not job.stored and not job.spec.times:
            job.open_occurrence(0)
    return list(jobs.values())
