"""The facade of job scheduling: ``Dispatcher.handle(event, now_ms) -> commands``."""

from collections.abc import Mapping
from types import MappingProxyType

from attrs import Factory, define

from poplarlb.coordination.jobs.advice import AdviceRequests
from poplarlb.coordination.jobs.bad_jobs import MAX_ERRORS
from poplarlb.coordination.jobs.calls import WorkerCalls
from poplarlb.coordination.jobs.crashes import CrashCounter
from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import (
    AdviceAnswered,
    CallOutcome,
    CancelStored,
    Command,
    Commit,
    Committed,
    ConfigChanged,
    ConfigUnreadable,
    Event,
    JobStored,
    OwnershipConfirmed,
    PollAnswered,
    PollFailed,
    StartAnswered,
    StepDown,
    StopAnswered,
    ThrottleAnswered,
    Tick,
    ViewConfirmed,
    WorkerListed,
    WorkerUnlisted,
    ZonesOut,
)
from poplarlb.coordination.jobs.fleet import UNKNOWN_THROTTLE, Run, WorkerState
from poplarlb.coordination.jobs.late_calls import LateCalls
from poplarlb.coordination.jobs.load_report import LoadReporter
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.coordination.jobs.poll_reader import PollReader
from poplarlb.coordination.jobs.schedule import Scheduler
from poplarlb.coordination.jobs.slow_workers import SlowWorkers
from poplarlb.coordination.jobs.throttling import Throttler
from poplarlb.coordination.jobs.tickets import TicketCache
from poplarlb.coordination.jobs.unresponsive import UnresponsiveWorkers, may_renew
from poplarlb.state.job_records import LateCall, LeaseRemainder
from poplarlb.state.jobs import Job, JobSpec, JobState

FORGET_PER_COMMIT = 8  # jobs whose records one commit deletes, at most


@define(eq=False)
class Dispatcher:
    """Schedules all jobs under one epoch, the number of an ownership of the jobs.

    A commit writes changed records to the store; runs start only after the commit that
    holds them, and run ends are acknowledged to their workers only after theirs.

    :param state: the state that was stored by earlier owners, with all later changes.
    :ivar committing: a commit is in flight.
    :ivar committed_ms: when the last commit was done.
    :ivar in_commit_starts: the runs to start after that commit.
    :ivar in_commit_acknowledged: by worker, its incarnation and the number of the last
        run end that may be acknowledged after that commit.
    :ivar view_confirmed_ms: all changes in the store up to this time were received.
    :ivar config_known: the configuration in the state is the newest one.
    :ivar next_schedule_ms: when tasks that fitted nowhere are tried again even if no
        capacity became free.
    :ivar next_learned_ms: when the learned interference is next stored.
    :ivar stopping: the daemon is stopping, so no new runs are placed.
    """

    state: DispatcherState
    crashes: CrashCounter = None
    calls: WorkerCalls = None
    poll_reader: PollReader = None
    tickets: TicketCache = None
    advice: AdviceRequests = None
    scheduler: Scheduler = None
    throttler: Throttler = None
    slow_workers: SlowWorkers = None
    unresponsive_workers: UnresponsiveWorkers = None
    late_calls: LateCalls = None
    load_reporter: LoadReporter = None
    committing: bool = False
    committed_ms: int = 0
    in_commit_starts: list[Run] = Factory(list)
    in_commit_acknowledged: dict[str, tuple[int, int]] = Factory(dict)
    view_confirmed_ms: int = 0
    config_known: bool = False
    next_schedule_ms: int = 0
    next_learned_ms: int = 0
    stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the parts that share the state."""
        self.crashes = CrashCounter(self.state)
        self.calls = WorkerCalls(self.state, self.crashes, self._reason_not_to_start)
        self.poll_reader = PollReader(self.state, self.crashes)
        self.tickets = TicketCache(self.state)
        self.advice = AdviceRequests(self.state, self.tickets)
        self.scheduler = Scheduler(self.state, self.advice)
        self.throttler = Throttler(self.state)
        self.slow_workers = SlowWorkers(self.state)
        self.unresponsive_workers = UnresponsiveWorkers(self.state, self.state.now_ms)
        self.late_calls = LateCalls(self.state)
        self.load_reporter = LoadReporter(self.state)

    @classmethod
    def take_over(
        cls,
        policy: JobPolicy,
        epoch: int,
        jobs: list[Job],
        now_ms: int,
        lease_remainders: tuple[LeaseRemainder, ...] = (),
        errors: Mapping[str, int] = MappingProxyType({}),
        utc_ms: int = 0,
        late_calls: tuple[LateCall, ...] = (),
    ) -> "Dispatcher":
        """Return a dispatcher that resumes the jobs in the store.

        :param lease_remainders: the workers that the last owner could not reach, and
            how long their leases may last.
        :param errors: how many unexpected errors each job has caused.
        :param late_calls: the calls without an answer that may still be carried out.
        """
        state = DispatcherState(
            policy, epoch, now_ms=now_ms, owned_since_ms=now_ms, utc_ms=utc_ms
        )
        for job in jobs:
            count = errors.get(job.spec.job_id, 0)
            if count >= MAX_ERRORS and job.state is not JobState.DONE:
                state.set_aside(job, f"{count} unexpected errors of the scheduler")
            else:
                state.restore(job)
        for worker in state.workers.values():
            worker.inherited_leases_until_ms = now_ms + policy.max_inherited_lease_ms
        dispatcher = cls(state)
        dispatcher.unresponsive_workers.restore(lease_remainders)
        dispatcher.late_calls.restore(late_calls)
        dispatcher.calls.ownership_confirmed_ms = now_ms
        return dispatcher

    def restore_learned(self, record: bytes) -> None:
        """Set what an earlier owner has learned of interference and margins.

        :raises BadAnswerError: the record is malformed.
        """
        state = self.state
        state.interference.restore(record, state.now_ms, state.utc_ms)
        for job_id in {step[0] for step in state.interference.margins}:
            job = state.jobs.get(job_id)
            if job is None or job.final:
                state.interference.forget(job_id)

    def handle(self, event: Event, now_ms: int) -> list[Command]:
        """Apply one event and return the commands to carry out."""
        state = self.state
        state.now_ms = now_ms
        state.commands = []
        match event:
            case PollAnswered():
                self._handle_poll_answered(event)
            case PollFailed():
                self.calls.on_poll_failed(event)
            case StartAnswered():
                self._handle_start_answered(event)
            case AdviceAnswered():
                self.advice.on_answer(event)
            case StopAnswered():
                self.calls.on_stop_answered(event)
            case ThrottleAnswered():
                self._handle_throttle_answered(event)
            case Committed():
                self._handle_committed(event)
            case OwnershipConfirmed(sent_ms=sent_ms):
                self.calls.ownership_confirmed_ms = max(
                    self.calls.ownership_confirmed_ms, sent_ms
                )
            case ViewConfirmed(sent_ms=sent_ms):
                self.view_confirmed_ms = max(self.view_confirmed_ms, sent_ms)
            case JobStored(spec=spec):
                self._handle_job_stored(spec)
            case CancelStored(job_id=job_id):
                self._handle_cancel(job_id)
            case WorkerListed():
                self._handle_listed(event)
            case WorkerUnlisted(worker_id=worker_id):
                self._handle_unlisted(worker_id)
            case ConfigChanged(config=config):
                state.change_config(config)
                self.config_known = True
            case ConfigUnreadable():
                self.config_known = False
            case ZonesOut(zones=zones):
                state.zones_out = zones
                state.capacity_changed = True
            case Tick(utc_ms=utc_ms):
                self._tick(utc_ms)
        self._issue_commands()
        return state.commands

    # --- events -----------------------------------------------------------------------

    def _handle_poll_answered(self, poll: PollAnswered) -> None:
        worker = self.state.worker(poll.worker_id)
        restarted = 0 < worker.incarnation < poll.incarnation
        self.poll_reader.read(worker, poll)
        if restarted:
            self.throttler.forget_sent(worker)
        self.calls.schedule_poll(worker, answered=True)
        self.throttler.update(worker)

    def _handle_start_answered(self, event: StartAnswered) -> None:
        worker = self.state.worker(event.worker_id)
        run = worker.runs.get((event.task, event.run))
        if event.outcome is CallOutcome.NO_TICKET and run is not None:
            self.tickets.on_refused(run)
        self.calls.on_start_answered(event)
        if event.outcome is CallOutcome.DONE and run is not None and run.last_resort:
            self.throttler.limit_new(worker)

    def _handle_throttle_answered(self, event: ThrottleAnswered) -> None:
        if event.outcome is CallOutcome.OLD_EPOCH:
            self.state.commands.append(StepDown("a worker saw a higher epoch"))
            return
        run = self.state.worker(event.worker_id).runs.get((event.task, event.run))
        if run is not None and event.outcome is not CallOutcome.DONE:
            run.sent_throttle_percent = UNKNOWN_THROTTLE

    def _handle_job_stored(self, spec: JobSpec) -> None:
        state = self.state
        if spec.job_id in state.jobs:
            return
        job = Job(spec)
        state.jobs[spec.job_id] = job
        if not spec.times:
            job.open_occurrence(0)
        state.unplaced.add(job)
        state.capacity_changed = True
        state.log("job_taken_in", job=spec.job_id, queue=spec.queue)
        if state.cancelled_early.pop(spec.job_id, None) is not None:
            self._handle_cancel(spec.job_id)

    def _handle_cancel(self, job_id: str) -> None:
        state = self.state
        job = state.jobs.get(job_id)
        if job is None:
            state.cancelled_early.setdefault(job_id, state.now_ms)
        elif not job.final:
            state.finish(job, JobState.CANCELLED, "cancelled by its submitter")

    def _handle_listed(self, event: WorkerListed) -> None:
        state = self.state
        listing = event.listing
        worker = state.worker(listing.worker_id)
        before = worker.listing
        worker.listing = listing
        worker.listed = True
        state.capacity_changed = True
        if before is None or before.incarnation != listing.incarnation:
            worker.next_poll_ms = 0
            self.unresponsive_workers.on_incarnation_listed(worker)
            state.log(
                "worker_listed",
                worker=listing.worker_id,
                life=listing.incarnation,
                zone=listing.zone,
            )
        if listing.draining and (before is None or not before.draining):
            state.log(
                "worker_draining",
                worker=listing.worker_id,
                remaining_ms=listing.remaining_ms,
            )
            self._stop_long_running(worker)

    def _stop_long_running(self, worker: WorkerState) -> None:
        """Stop the long-running tasks of a worker that drains."""
        for run in worker.runs.values():
            if run.task.spec.long_running:
                self.state.stop(run, "worker is draining")

    def _handle_unlisted(self, worker_id: str) -> None:
        worker = self.state.workers.get(worker_id)
        if worker is None:
            return
        self.state.log("worker_unlisted", worker=worker_id, runs=len(worker.runs))
        # The worker may still run behind a network partition: its runs are released
        # only when their leases have expired.
        worker.listed = False
        worker.unlisted_ms = self.state.now_ms

    # --- commits ----------------------------------------------------------------------

    def _handle_committed(self, event: Committed) -> None:
        state = self.state
        self.committing = False
        self.committed_ms = state.now_ms
        self.calls.ownership_confirmed_ms = max(
            self.calls.ownership_confirmed_ms, event.sent_ms
        )
        self.unresponsive_workers.on_committed()
        for worker_id, (incarnation, number) in self.in_commit_acknowledged.items():
            worker = state.worker(worker_id)
            if worker.incarnation == incarnation:
                worker.stored_end = max(worker.stored_end, number)
                worker.next_poll_ms = 0
                state.workers_to_poll[worker_id] = worker
        starts, self.in_commit_starts = self.in_commit_starts, []
        self.in_commit_acknowledged = {}
        committed_in_time = (
            state.now_ms - event.sent_ms <= state.policy.max_commit_before_start_ms
        )
        reasons = {
            run: self._reason_not_to_start(state.workers[run.worker_id], run)
            or ("" if committed_in_time else "its commit took too long")
            or ("" if self.tickets.permits(run) else "its ticket has expired")
            for run in starts
        }
        incomplete_gangs = {
            run.task.step_key
            for run, reason in reasons.items()
            if reason and run.task.spec.gang
        }
        for run, reason in reasons.items():
            if not reason and run.task.step_key in incomplete_gangs:
                reason = "another member of its gang isn't started"
            if reason:
                worker = state.workers[run.worker_id]
                if not may_renew(state, worker):
                    self.unresponsive_workers.pause(worker)
                state.release(worker, run, reason)
            else:
                self.calls.start(run)

    def _reason_not_to_start(self, worker: WorkerState, run: Run) -> str:
        """Return why a start may not be sent now, also not again; empty if it may."""
        if run.stopping or run.task.job.final:
            return "no longer wanted"
        if not self._is_view_fresh():
            return "view of the store is out of date"
        if not worker.listed or worker.listing.draining:
            return "worker is leaving"
        if worker.listing.zone in self.state.zones_out:
            return "availability zone is out"
        if worker.incarnation != run.task.incarnation:
            return "worker restarted"
        if worker.listing.incarnation > worker.incarnation:
            return "worker restarted, by its entry"
        if not worker.reserved.fits_in(worker.listing.capacity):
            return "capacity has shrunk"
        if not may_renew(self.state, worker):
            return "worker is stored as unresponsive"
        return ""

    def _is_view_fresh(self) -> bool:
        """Return whether runs may be placed and started by what is known."""
        state = self.state
        age_ms = state.now_ms - self.view_confirmed_ms
        return self.config_known and age_ms <= state.policy.max_view_age_ms

    def _issue_commands(self) -> None:
        state = self.state
        self.calls.poll_due()
        if self.committing:
            return
        if state.now_ms < self.committed_ms + state.policy.min_commit_interval_ms:
            return
        due = state.capacity_changed or state.now_ms >= self.next_schedule_ms
        if due and state.unplaced and self._is_view_fresh() and not self.stopping:
            self.next_schedule_ms = state.now_ms + state.policy.schedule_period_ms
            self.scheduler.place_waiting()
        waiting = self.load_reporter.count_waiting()
        lease_remainders = self.unresponsive_workers.due_record()
        late_calls = self.late_calls.due_record()
        changed = state.dirty or state.to_acknowledge or state.forgotten
        due = (waiting, lease_remainders, late_calls)
        if not changed and all(record is None for record in due):
            return
        self.late_calls.refresh_jobs()
        self.committing = True
        self.in_commit_starts, state.to_start = state.to_start, []
        self.in_commit_acknowledged, state.to_acknowledge = state.to_acknowledge, {}
        forgotten = tuple(state.forgotten[:FORGET_PER_COMMIT])
        del state.forgotten[:FORGET_PER_COMMIT]
        state.commands.append(
            Commit(
                state.collect_records(),
                forgotten,
                waiting,
                lease_remainders,
                self._learned_record(),
                late_calls,
            )
        )

    def _learned_record(self) -> bytes:
        """Return the learned interference if it is due to be stored, else ``b""``."""
        state = self.state
        if state.now_ms < self.next_learned_ms or not state.interference.slopes:
            return b""
        self.next_learned_ms = state.now_ms + state.policy.learned_period_ms
        return state.interference.encode(state.now_ms, state.utc_ms)

    # --- time -------------------------------------------------------------------------

    def _tick(self, utc_ms: int) -> None:
        self.state.utc_ms = utc_ms
        self.state.workers_to_poll.update(self.state.workers)
        self._open_occurrences()
        self.calls.release_expired()
        self.calls.stop_stalled()
        self.scheduler.isolation.tick()
        self.slow_workers.tick()
        self.calls.stop_due()
        self._drop_workers()
        self._forget_old()
        self.advice.forget_final()
        self.load_reporter.log_load()

    def _open_occurrences(self) -> None:
        state = self.state
        for job in state.jobs.values():
            if job.final or not job.spec.times:
                continue
            while (
                job.next_occurrence < job.spec.times
                and job.due_utc_ms(job.next_occurrence) <= state.utc_ms
                and job.may_open_occurrence
            ):
                job.open_occurrence(job.next_occurrence)
                state.unplaced.add(job)
                state.mark_dirty(job)
                state.capacity_changed = True

    def _drop_workers(self) -> None:
        """Set unlisted workers aside that hold no reservations.

        They are forgotten once no call to them can be carried out late any more.
        """
        state = self.state
        for worker in list(state.workers.values()):
            if not worker.listed and not worker.runs:
                state.departed[worker.worker_id] = state.workers.pop(worker.worker_id)
        for worker in list(state.departed.values()):
            late_calls_until_ms = max(
                worker.misdirected_until_ms, worker.late_calls_until_ms(state.policy)
            )
            if late_calls_until_ms <= state.now_ms:
                del state.departed[worker.worker_id]

    def _forget_old(self) -> None:
        """Forget jobs without runs that have been final for twice their retention time.

        Also cancellations of jobs that weren't stored in that time. None is forgotten
        while records of earlier ones wait to be deleted.
        """
        state = self.state
        if state.forgotten:
            return
        kept_ms = 2 * state.policy.retention_ms
        limit_ms = state.utc_ms - kept_ms
        old = [
            job_id
            for job_id, job in state.jobs.items()
            if job.final and job.final_utc_ms < limit_ms and not self._has_runs(job)
        ]
        for job_id in old:
            del state.jobs[job_id]
            state.shortened.discard(job_id)
        never_stored = [
            job_id
            for job_id, read_ms in state.cancelled_early.items()
            if state.now_ms - read_ms > kept_ms
        ]
        for job_id in never_stored:
            del state.cancelled_early[job_id]
        state.forgotten.extend(old + never_stored)

    def _has_runs(self, job: Job) -> bool:
        return next(job.reserved_runs(), None) is not None
