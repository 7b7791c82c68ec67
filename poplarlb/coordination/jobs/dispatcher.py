"""The facade of job scheduling: ``Dispatcher.handle(event, now_ms) -> commands``."""

from attrs import Factory, define

from poplarlb.coordination.jobs.advice import TicketCache
from poplarlb.coordination.jobs.calls import WorkerCalls
from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import (
    AdviceAnswered,
    CallOutcome,
    CancelStored,
    Command,
    Commit,
    Committed,
    ConfigChanged,
    Event,
    JobStored,
    LookAnswered,
    LookFailed,
    OwnershipProven,
    PaceAnswered,
    StartAnswered,
    StepDown,
    StopAnswered,
    Tick,
    ViewConfirmed,
    WorkerListed,
    WorkerUnlisted,
    ZonesOut,
)
from poplarlb.coordination.jobs.fleet import Run, WorkerState
from poplarlb.coordination.jobs.load_report import LoadReporter
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.coordination.jobs.poll_reader import PollReader
from poplarlb.coordination.jobs.schedule import Scheduler
from poplarlb.coordination.jobs.slow_workers import SlowWorkers
from poplarlb.coordination.jobs.throttling import Throttler
from poplarlb.coordination.jobs.unresponsive import UnresponsiveWorkers
from poplarlb.state.job_records import Lapse
from poplarlb.state.jobs import Job, JobSpec, JobState

FORGET_PER_COMMIT = 8


@define(eq=False)
class Dispatcher:
    """Schedules all jobs under one epoch.

    :param book: the state that was stored by earlier owners, with all later changes.
    """

    book: DispatcherState
    calls: WorkerCalls = None
    poll_reader: PollReader = None
    advice: TicketCache = None
    scheduler: Scheduler = None
    throttler: Throttler = None
    slow_workers: SlowWorkers = None
    unresponsive_workers: UnresponsiveWorkers = None
    load_reporter: LoadReporter = None
    committing: bool = False
    committed_ms: int = 0
    in_commit_starts: list[Run] = Factory(list)
    in_commit_acknowledged: dict[str, tuple[int, int]] = Factory(dict)
    view_confirmed_ms: int = 0
    next_schedule_ms: int = 0
    next_learned_ms: int = 0
    stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the parts that share the state."""
        self.calls = WorkerCalls(self.book)
        self.poll_reader = PollReader(self.book)
        self.advice = TicketCache(self.book)
        self.scheduler = Scheduler(self.book, self.advice)
        self.throttler = Throttler(self.book)
        self.slow_workers = SlowWorkers(self.book)
        self.unresponsive_workers = UnresponsiveWorkers(self.book, self.book.now_ms)
        self.load_reporter = LoadReporter(self.book)

    @classmethod
    def take_over(
        cls,
        policy: JobPolicy,
        epoch: int,
        jobs: list[Job],
        now_ms: int,
        lapses: tuple[Lapse, ...] = (),
    ) -> "Dispatcher":
        """Return a dispatcher that resumes the jobs in the store.

        :param lapses: the workers that the last owner could not reach, and how long
            their leases may last.
        """
        book = DispatcherState(policy, epoch, now_ms=now_ms)
        for job in jobs:
            book.restore(job)
        longest_ms = policy.lease_ms / (1 - policy.max_clock_drift)
        for worker in book.workers.values():
            worker.inherited_leases_until_ms = int(
                now_ms + policy.max_unconfirmed_ms + longest_ms + policy.lease_margin_ms
            )
        dispatcher = cls(book)
        dispatcher.unresponsive_workers.restore(lapses)
        dispatcher.calls.ownership_confirmed_ms = now_ms
        return dispatcher

    def handle(self, event: Event, now_ms: int) -> list[Command]:
        """Apply one event and return the commands to carry out."""
        book = self.book
        book.now_ms = now_ms
        book.commands = []
        match event:
            case LookAnswered():
                self._handle_poll(event)
            case LookFailed(worker_id=worker_id):
                self.calls.on_poll_ended(book.worker(worker_id), answered=False)
            case StartAnswered():
                self._handle_start(event)
            case AdviceAnswered():
                self.advice.on_answer(event)
            case StopAnswered():
                self.calls.on_stop_answered(event)
            case PaceAnswered():
                self._handle_throttle(event)
            case Committed():
                self._handle_commit(event)
            case OwnershipProven(sent_ms=sent_ms):
                self.calls.ownership_confirmed_ms = max(
                    self.calls.ownership_confirmed_ms, sent_ms
                )
            case ViewConfirmed(sent_ms=sent_ms):
                self.view_confirmed_ms = max(self.view_confirmed_ms, sent_ms)
            case JobStored(spec=spec):
                self._handle_job(spec)
            case CancelStored(job_id=job_id):
                self._handle_cancel(job_id)
            case WorkerListed():
                self._handle_listing(event)
            case WorkerUnlisted(worker_id=worker_id):
                self._handle_unlisted(worker_id)
            case ConfigChanged(config=config):
                book.config = config
                book.capacity_changed = True
            case ZonesOut(zones=zones):
                book.zones_out = zones
                book.capacity_changed = True
            case Tick(utc_ms=utc_ms):
                self._tick(utc_ms)
        self._issue_commands()
        return book.commands

    # --- events -----------------------------------------------------------------------

    def _handle_poll(self, poll: LookAnswered) -> None:
        worker = self.book.worker(poll.worker_id)
        self.poll_reader.read(worker, poll)
        self.calls.on_poll_ended(worker, answered=True)
        self.throttler.update(worker)

    def _handle_start(self, event: StartAnswered) -> None:
        if event.outcome is CallOutcome.NO_TICKET:
            worker = self.book.worker(event.worker_id)
            run = worker.runs.get((event.task, event.run))
            if run is not None:
                self.advice.drop(run.task.step_key, event.worker_id)
        self.calls.on_start_answered(event)

    def _handle_throttle(self, event: PaceAnswered) -> None:
        if event.outcome is CallOutcome.OLD_EPOCH:
            self.book.commands.append(StepDown("a worker saw a higher epoch"))
            return
        run = self.book.worker(event.worker_id).runs.get((event.task, event.run))
        if run is not None and event.outcome is not CallOutcome.DONE:
            run.sent_throttle_percent = -1

    def _handle_job(self, spec: JobSpec) -> None:
        book = self.book
        if spec.job_id in book.jobs:
            return
        job = Job(spec)
        book.jobs[spec.job_id] = job
        if not spec.times:
            job.open_occurrence(0)
        book.unplaced.add(job)
        book.capacity_changed = True
        book.log("job_taken_in", job=spec.job_id, queue=spec.queue)
        if spec.job_id in book.cancelled_early:
            book.cancelled_early.discard(spec.job_id)
            self._handle_cancel(spec.job_id)

    def _handle_cancel(self, job_id: str) -> None:
        book = self.book
        job = book.jobs.get(job_id)
        if job is None:
            book.cancelled_early.add(job_id)
        elif not job.final:
            book.finish(job, JobState.CANCELLED, "cancelled by its submitter")

    def _handle_listing(self, event: WorkerListed) -> None:
        book = self.book
        listing = event.listing
        worker = book.worker(listing.worker_id)
        before = worker.listing
        worker.listing = listing
        worker.listed = True
        book.capacity_changed = True
        if before is None or before.life != listing.life:
            worker.next_poll_ms = 0
            book.log(
                "worker_listed",
                worker=listing.worker_id,
                life=listing.life,
                zone=listing.zone,
            )
        if listing.draining and (before is None or not before.draining):
            book.log(
                "worker_draining",
                worker=listing.worker_id,
                remaining_ms=listing.remaining_ms,
            )
            self._stop_long_running(worker)

    def _stop_long_running(self, worker: WorkerState) -> None:
        """Stop the long-running tasks of a worker that drains."""
        for run in worker.runs.values():
            if run.task.spec.long_running:
                run.stopping = run.stopping or "worker is draining"

    def _handle_unlisted(self, worker_id: str) -> None:
        worker = self.book.workers.get(worker_id)
        if worker is None:
            return
        self.book.log("worker_unlisted", worker=worker_id, runs=len(worker.runs))
        # It may still run behind a network partition: its runs are released only when
        # their leases have expired.
        worker.listed = False

    # --- commits ----------------------------------------------------------------------

    def _handle_commit(self, event: Committed) -> None:
        book = self.book
        self.committing = False
        self.committed_ms = book.now_ms
        self.calls.ownership_confirmed_ms = max(
            self.calls.ownership_confirmed_ms, event.sent_ms
        )
        self.unresponsive_workers.on_committed()
        for worker_id, (life, number) in self.in_commit_acknowledged.items():
            worker = book.worker(worker_id)
            if worker.life == life:
                worker.stored_end = max(worker.stored_end, number)
                worker.next_poll_ms = 0
        starts, self.in_commit_starts = self.in_commit_starts, []
        self.in_commit_acknowledged = {}
        fresh = book.now_ms - event.sent_ms <= book.policy.start_deadline_ms
        for run in starts:
            worker = book.workers[run.worker_id]
            reason = self._why_not_start(worker, run, fresh)
            if not reason:
                self.calls.start(run)
                continue
            book.release(worker, run, reason)

    def _why_not_start(self, worker: WorkerState, run: Run, fresh: bool) -> str:
        if run.stopping or run.task.job.final:
            return "no longer wanted"
        if not fresh:
            return "its commit took too long"
        if not worker.listed or worker.listing.draining:
            return "worker is leaving"
        if worker.listing.zone in self.book.zones_out:
            return "availability zone is out"
        if worker.life != run.task.life:
            return "worker restarted"
        return ""

    def _issue_commands(self) -> None:
        book = self.book
        self.calls.poll_due()
        if self.committing:
            return
        if book.now_ms < self.committed_ms + book.policy.min_commit_interval_ms:
            return
        view_fresh = book.now_ms - self.view_confirmed_ms <= book.policy.max_view_age_ms
        due = book.capacity_changed or book.now_ms >= self.next_schedule_ms
        if due and book.unplaced and view_fresh and not self.stopping:
            self.next_schedule_ms = book.now_ms + book.policy.schedule_period_ms
            self.scheduler.place_waiting()
        waiting = self.load_reporter.count_waiting()
        lapses = self.unresponsive_workers.record()
        changed = book.dirty or book.to_acknowledge or book.forgotten
        if not changed and waiting is None and lapses is None:
            return
        self.committing = True
        self.in_commit_starts, book.to_start = book.to_start, []
        self.in_commit_acknowledged, book.to_acknowledge = book.to_acknowledge, {}
        forgotten = tuple(book.forgotten[:FORGET_PER_COMMIT])
        del book.forgotten[:FORGET_PER_COMMIT]
        book.commands.append(
            Commit(
                book.collect_records(),
                forgotten,
                waiting,
                lapses,
                self._learned_record(),
            )
        )

    def _learned_record(self) -> bytes:
        """Return the learned interference if it is due to be stored, else nothing."""
        book = self.book
        if book.now_ms < self.next_learned_ms or not book.harm.coefficients:
            return b""
        self.next_learned_ms = book.now_ms + book.policy.learned_period_ms
        return book.harm.encode()

    # --- time -------------------------------------------------------------------------

    def _tick(self, utc_ms: int) -> None:
        self.book.utc_ms = utc_ms
        self._open_occurrences()
        self.calls.release_expired()
        self.calls.stop_stalled()
        self.slow_workers.tick()
        self.calls.stop_due()
        self._drop_workers()
        self._forget_old()
        self.advice.forget_final()
        self.load_reporter.log_load()

    def _open_occurrences(self) -> None:
        book = self.book
        for job in book.jobs.values():
            if job.final or not job.spec.times:
                continue
            while (
                job.next_occurrence < job.spec.times
                and job.due_utc_ms(job.next_occurrence) <= book.utc_ms
            ):
                job.open_occurrence(job.next_occurrence)
                book.unplaced.add(job)
                book.mark_dirty(job)
                book.capacity_changed = True

    def _drop_workers(self) -> None:
        """Forget unlisted workers that hold no reservations."""
        book = self.book
        for worker in list(book.workers.values()):
            if not worker.listed and not worker.runs:
                del book.workers[worker.worker_id]

    def _forget_old(self) -> None:
        book = self.book
        if book.forgotten:
            return
        limit_ms = book.utc_ms - 2 * book.policy.retention_ms
        old = [
            job_id
            for job_id, job in book.jobs.items()
            if job.final and job.final_utc_ms < limit_ms and not self._has_runs(job)
        ]
        for job_id in old:
            del book.jobs[job_id]
        book.forgotten.extend(old)

    def _has_runs(self, job: Job) -> bool:
        return any(
            run.task.job is job
            for worker in self.book.workers.values()
            for run in worker.runs.values()
        )
