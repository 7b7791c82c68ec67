"""Runs the dispatcher, which decides about all jobs, in the daemon that owns them."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from attrs import Factory, define, field

from poplarlb.coordination.jobs import events
from poplarlb.coordination.jobs.dispatcher import Dispatcher
from poplarlb.coordination.jobs.policy import JobPolicy
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
from poplarlb.transport.committer import Committer
from poplarlb.transport.job_keys import (
    CANCELS,
    INBOX,
    JOBS,
    LEARNED,
    PROGRESS,
    UNRESPONSIVE_WORKERS,
    WAITING,
)
from poplarlb.transport.prefix_watcher import PrefixWatcher

TICK_S = 0.02  # the dispatcher's decisions are delayed by at most this
WATCH_WAIT_MS = 1_000  # the view of the workers must be confirmed every 1.5 s


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


def boottime_ms() -> int:
    """Return a monotonic time in ms that also advances during a suspension."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)


def utc_ms() -> int:
    """Return the UTC time in ms since 1970."""
    return int(time.time() * 1000)


@define(eq=False)
class JobOwner:
    """Executes the dispatcher's commands until this daemon is no longer the owner.

    ``inbox_watcher`` delivers submissions and cancellations of jobs,
    ``registration_watcher`` the workers that register; ``confirmed_ms`` holds when each
    was last up to date. ``deposed`` is set when the ownership ends. ``calls`` counts
    the calls in flight by kind.
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
    inbox_watcher: PrefixWatcher = None
    registration_watcher: PrefixWatcher = None
    confirmed_ms: dict[str, int] = Factory(dict)
    calls: Counter = field(factory=Counter)
    committing: bool = False

    @classmethod
    async def load(
        cls,
        store: Store,
        workers: WorkerClient,
        advice: AdviceClient,
        directory: WorkerDirectory,
        committer: Committer,
        policy: JobPolicy,
        log: EventLog,
    ) -> "JobOwner":
        """Return an owner that resumes from the records in the store."""
        inbox, progress, learned, unresponsive = await asyncio.gather(
            store.list(INBOX),
            store.list(PROGRESS),
            store.get(LEARNED),
            store.get(UNRESPONSIVE_WORKERS),
        )
        jobs, cancelled = read_jobs(inbox, progress, log)
        dispatcher = Dispatcher.take_over(
            policy,
            committer.epoch,
            jobs,
            boottime_ms(),
            read_unresponsive_workers(unresponsive, log),
        )
        dispatcher.state.utc_ms = utc_ms()
        if learned is not None:
            try:
                dispatcher.state.interference.restore(learned.value)
            except BadAnswerError as error:
                log.write("record_unreadable", key=LEARNED, error=error.detail)
        owner = cls(store, workers, advice, directory, committer, dispatcher, log)
        owner.inbox_watcher = PrefixWatcher(
            store,
            INBOX,
            WATCH_WAIT_MS,
            owner.handle_inbox_change,
            lambda: owner.handle_watch_confirmed("inbox"),
            lambda error: owner.log_watch_failure("inbox", error),
        )
        owner.inbox_watcher.resume_from(inbox)
        owner.registration_watcher = PrefixWatcher(
            store,
            directory.prefix,
            WATCH_WAIT_MS,
            owner.handle_registration_change,
            lambda: owner.handle_watch_confirmed("workers"),
            lambda error: owner.log_watch_failure("workers", error),
        )
        for job_id in cancelled:
            owner.feed(events.CancelStored(job_id))
        log.write(
            "ownership_loaded",
            epoch=committer.epoch,
            jobs=len(jobs),
            open_jobs=sum(not job.final for job in jobs),
        )
        return owner

    def run(self) -> None:
        """Start the watches and the ticks."""
        for work in (
            self.inbox_watcher.run(),
            self.registration_watcher.run(),
            self._tick(),
        ):
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
        """Pass an event to the dispatcher and execute its commands."""
        for command in self.dispatcher.handle(event, boottime_ms()):
            self._execute(command)

    def handle_inbox_change(self, change: StoredChange) -> None:
        """Handle a stored job or cancellation."""
        if change.value is None:
            return
        if change.key.startswith(CANCELS):
            self.feed(events.CancelStored(change.key.removeprefix(CANCELS)))
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

    def handle_watch_confirmed(self, source: str) -> None:
        """Record that a watch has delivered all changes so far.

        Once both watches have been confirmed, the dispatcher's view is as old as the
        older confirmation.
        """
        self.confirmed_ms[source] = boottime_ms()
        if len(self.confirmed_ms) == 2:
            self.feed(events.ViewConfirmed(min(self.confirmed_ms.values())))

    def log_watch_failure(self, source: str, error: PoplarlbError) -> None:
        """Log that a watch failed."""
        self.log.write("watch_failed", source=source, error=error.detail)

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
        try:
            self.feed(await self.workers.poll(command, sent_ms))
        except OldEpochError:
            self._execute(events.StepDown(f"{command.worker_id}: a higher epoch"))
        except BadAnswerError as error:
            self.log.write("answer_unreadable", error=error.detail)
            self.feed(events.PollFailed(command.worker_id, sent_ms))

    async def _commit(self, command: events.Commit) -> None:
        sent_ms = boottime_ms()
        puts = [
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
        deletes = [
            prefix + job_id
            for job_id in command.forgotten
            for prefix in (PROGRESS, JOBS, CANCELS)
        ]
        self.committing = True
        try:
            await self.committer.commit(puts, deletes)
        except DeposedError as error:
            self._execute(events.StepDown(error.detail))
            return
        finally:
            self.committing = False
        self.feed(events.Committed(sent_ms))

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.asyncio_tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self.asyncio_tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self.log.write("ownership_failed", error=f"{type(error).__name__}: {error}")
        asyncio.get_running_loop().call_exception_handler(
            {"message": "a part of the owner failed", "exception": error}
        )
        self.deposed.set()


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


def read_jobs(
    inbox: StoredList, progress: StoredList, log: EventLog
) -> tuple[list[Job], list[str]]:
    """Return the jobs with their stored progress, and the ids of the cancelled ones.

    Unreadable records are logged and left out.
    """
    jobs: dict[str, Job] = {}
    cancelled = []
    for item in inbox.items:
        if item.key.startswith(CANCELS):
            cancelled.append(item.key.removeprefix(CANCELS))
            continue
        try:
            jobs[item.key] = Job(job_records.decode_job(item.value))
        except BadAnswerError as error:
            log.write("record_unreadable", key=item.key, error=error.detail)
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
    return list(jobs.values()), cancelled
