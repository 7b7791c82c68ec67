"""The facade of the job decisions: ``handle(event, now_ms) -> commands``."""

from attrs import Factory, define

from poplarlb.coordination.jobs.advice import AdviceDesk
from poplarlb.coordination.jobs.book import Book
from poplarlb.coordination.jobs.calls import WorkerCalls
from poplarlb.coordination.jobs.ends import ReportReader
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
from poplarlb.coordination.jobs.overview import Overview
from poplarlb.coordination.jobs.pacing import Pacer
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.coordination.jobs.schedule import Scheduler
from poplarlb.coordination.jobs.silence import SilentWorkers
from poplarlb.coordination.jobs.slowness import SlowWorkers
from poplarlb.state.job_records import Lapse
from poplarlb.state.jobs import Job, JobSpec, JobState

FORGET_PER_COMMIT = 8


@define(eq=False)
class Dispatcher:
    """Decides for all jobs under one epoch.

    :param book: what the earlier owners left, and all that is decided since.
    """

    book: Book
    calls: WorkerCalls = None
    reports: ReportReader = None
    advice: AdviceDesk = None
    scheduler: Scheduler = None
    pacer: Pacer = None
    slow_workers: SlowWorkers = None
    silent_workers: SilentWorkers = None
    overview: Overview = None
    committing: bool = False
    committed_ms: int = 0
    in_commit_starts: list[Run] = Factory(list)
    in_commit_seen: dict[str, tuple[int, int]] = Factory(dict)
    view_ms: int = 0
    next_schedule_ms: int = 0
    next_learned_ms: int = 0
    stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Build the parts."""
        self.calls = WorkerCalls(self.book)
        self.reports = ReportReader(self.book)
        self.advice = AdviceDesk(self.book)
        self.scheduler = Scheduler(self.book, self.advice)
        self.pacer = Pacer(self.book)
        self.slow_workers = SlowWorkers(self.book)
        self.silent_workers = SilentWorkers(self.book, self.book.now_ms)
        self.overview = Overview(self.book)

    @classmethod
    def take_over(
        cls,
        policy: JobPolicy,
        epoch: int,
        jobs: list[Job],
        now_ms: int,
        lapses: tuple[Lapse, ...] = (),
    ) -> "Dispatcher":
        """Return a dispatcher that resumes what the store holds.

        :param lapses: the workers that the last owner could not reach.
        """
        book = Book(policy, epoch, now_ms=now_ms)
        for job in jobs:
            book.restore(job)
        longest_ms = policy.lease_ms / (1 - policy.clock_slack)
        for worker in book.workers.values():
            worker.unknown_until_ms = int(
                now_ms + policy.renew_unproven_ms + longest_ms + policy.lease_margin_ms
            )
        dispatcher = cls(book)
        dispatcher.silent_workers.restore(lapses)
        dispatcher.calls.proven_ms = now_ms
        return dispatcher

    def handle(self, event: Event, now_ms: int) -> list[Command]:
        """Take one event in and return what is to be done."""
        book = self.book
        book.now_ms = now_ms
        book.commands = []
        match event:
            case LookAnswered():
                self._take_look(event)
            case LookFailed(worker_id=worker_id):
                self.calls.look_ended(book.worker(worker_id), answered=False)
            case StartAnswered():
                self._take_start(event)
            case AdviceAnswered():
                self.advice.answered(event)
            case StopAnswered():
                self.calls.stop_answered(event)
            case PaceAnswered():
                self._take_pace(event)
            case Committed():
                self._take_commit(event)
            case OwnershipProven(sent_ms=sent_ms):
                self.calls.proven_ms = max(self.calls.proven_ms, sent_ms)
            case ViewConfirmed(sent_ms=sent_ms):
                self.view_ms = max(self.view_ms, sent_ms)
            case JobStored(spec=spec):
                self._take_job(spec)
            case CancelStored(job_id=job_id):
                self._take_cancel(job_id)
            case WorkerListed():
                self._take_listing(event)
            case WorkerUnlisted(worker_id=worker_id):
                self._take_unlisted(worker_id)
            case ConfigChanged(config=config):
                book.config = config
                book.room_changed = True
            case ZonesOut(zones=zones):
                book.zones_out = zones
                book.room_changed = True
            case Tick(utc_ms=utc_ms):
                self._tick(utc_ms)
        self._act()
        return book.commands

    # --- events -----------------------------------------------------------------------

    def _take_look(self, look: LookAnswered) -> None:
        worker = self.book.worker(look.worker_id)
        self.reports.read(worker, look)
        self.calls.look_ended(worker, answered=True)
        self.pacer.pace(worker)

    def _take_start(self, event: StartAnswered) -> None:
        if event.outcome is CallOutcome.NO_TICKET:
            worker = self.book.worker(event.worker_id)
            run = worker.runs.get((event.task, event.run))
            if run is not None:
                self.advice.drop(run.task.step_key, event.worker_id)
        self.calls.start_answered(event)

    def _take_pace(self, event: PaceAnswered) -> None:
        if event.outcome is CallOutcome.OLD_EPOCH:
            self.book.commands.append(StepDown("a worker saw a higher epoch"))
            return
        run = self.book.worker(event.worker_id).runs.get((event.task, event.run))
        if run is not None and event.outcome is not CallOutcome.DONE:
            run.pace_sent = -1

    def _take_job(self, spec: JobSpec) -> None:
        book = self.book
        if spec.job_id in book.jobs:
            return
        job = Job(spec)
        book.jobs[spec.job_id] = job
        if not spec.times:
            job.open_occurrence(0)
        book.unplaced.add(job)
        book.room_changed = True
        book.note("job_taken_in", job=spec.job_id, queue=spec.queue)
        if spec.job_id in book.cancelled_early:
            book.cancelled_early.discard(spec.job_id)
            self._take_cancel(spec.job_id)

    def _take_cancel(self, job_id: str) -> None:
        book = self.book
        job = book.jobs.get(job_id)
        if job is None:
            book.cancelled_early.add(job_id)
        elif not job.final:
            book.finish(job, JobState.CANCELLED, "cancelled by its submitter")

    def _take_listing(self, event: WorkerListed) -> None:
        book = self.book
        listing = event.listing
        worker = book.worker(listing.worker_id)
        before = worker.listing
        worker.listing = listing
        worker.listed = True
        book.room_changed = True
        if before is None or before.life != listing.life:
            worker.next_look_ms = 0
            book.note(
                "worker_listed",
                worker=listing.worker_id,
                life=listing.life,
                zone=listing.zone,
            )
        if listing.draining and (before is None or not before.draining):
            book.note(
                "worker_draining",
                worker=listing.worker_id,
                remaining_ms=listing.remaining_ms,
            )
            self._leave(worker)

    def _leave(self, worker: WorkerState) -> None:
        """Move tasks that last off a worker that leaves."""
        for run in worker.runs.values():
            if run.task.spec.long_running:
                run.stopping = run.stopping or "worker is draining"

    def _take_unlisted(self, worker_id: str) -> None:
        worker = self.book.workers.get(worker_id)
        if worker is None:
            return
        self.book.note("worker_unlisted", worker=worker_id, runs=len(worker.runs))
        # It may live behind a partition: its leases decide what becomes of its runs.
        worker.listed = False

    # --- commits ----------------------------------------------------------------------

    def _take_commit(self, event: Committed) -> None:
        book = self.book
        self.committing = False
        self.committed_ms = book.now_ms
        self.calls.proven_ms = max(self.calls.proven_ms, event.sent_ms)
        self.silent_workers.committed()
        for worker_id, (life, number) in self.in_commit_seen.items():
            worker = book.worker(worker_id)
            if worker.life == life:
                worker.seen = max(worker.seen, number)
                worker.next_look_ms = 0
        starts, self.in_commit_starts = self.in_commit_starts, []
        self.in_commit_seen = {}
        fresh = book.now_ms - event.sent_ms <= book.policy.start_within_ms
        for run in starts:
            worker = book.workers[run.worker_id]
            reason = self._why_not_start(worker, run, fresh)
            if not reason:
                self.calls.start(run)
                continue
            book.free(worker, run, reason)

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

    def _act(self) -> None:
        book = self.book
        self.calls.look_due()
        if self.committing:
            return
        if book.now_ms < self.committed_ms + book.policy.commit_gap_ms:
            return
        view_fresh = book.now_ms - self.view_ms <= book.policy.view_limit_ms
        due = book.room_changed or book.now_ms >= self.next_schedule_ms
        if due and book.unplaced and view_fresh and not self.stopping:
            self.next_schedule_ms = book.now_ms + book.policy.schedule_period_ms
            self.scheduler.place_waiting()
        waiting = self.overview.count_waiting()
        lapses = self.silent_workers.record()
        changed = book.dirty or book.acknowledge or book.forgotten
        if not changed and waiting is None and lapses is None:
            return
        self.committing = True
        self.in_commit_starts, book.to_start = book.to_start, []
        self.in_commit_seen, book.acknowledge = book.acknowledge, {}
        forgotten = tuple(book.forgotten[:FORGET_PER_COMMIT])
        del book.forgotten[:FORGET_PER_COMMIT]
        book.commands.append(
            Commit(book.take_records(), forgotten, waiting, lapses, self._learned())
        )

    def _learned(self) -> bytes:
        """Return what was learned, if it is to be stored with this commit."""
        book = self.book
        if book.now_ms < self.next_learned_ms or not book.harm.presses:
            return b""
        self.next_learned_ms = book.now_ms + book.policy.learned_period_ms
        return book.harm.encode()

    # --- time -------------------------------------------------------------------------

    def _tick(self, utc_ms: int) -> None:
        self.book.utc_ms = utc_ms
        self._open_occurrences()
        self.calls.free_lost()
        self.calls.stop_stalled()
        self.slow_workers.tick()
        self.calls.stop_due()
        self._drop_workers()
        self._forget_old()
        self.advice.forget_final()
        self.overview.note_load()

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
                book.touch(job)
                book.room_changed = True

    def _drop_workers(self) -> None:
        """Forget unlisted workers that hold nothing any more."""
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
