"""Decides when workers are polled and runs started and stopped; handles outcomes."""

from collections.abc import Callable

from attrs import define

from poplarlb.coordination.jobs.crashes import CrashCounter
from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import (
    CallOutcome,
    PollFailed,
    PollWorker,
    StartAnswered,
    StartRun,
    StepDown,
    StopAnswered,
    StopRun,
)
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.coordination.jobs.progress import has_stalled, is_step_slow
from poplarlb.coordination.jobs.unresponsive import may_renew
from poplarlb.state.jobs import TaskStatus

STALL_CHECK_PERIOD_MS = 250  # between checks for runs without progress
MAX_START_SENDS = 3  # how often a start is sent in all if it gets no answer
# Outcomes after which it is certain that the worker did not carry out the start.
NOT_STARTED = frozenset(
    (
        CallOutcome.NO_ROOM,
        CallOutcome.LEASE_OVER,
        CallOutcome.OLD_RUN,
        CallOutcome.NO_TICKET,
        CallOutcome.REFUSED,
        CallOutcome.NOT_SENT,
    )
)
# Outcomes of starts by whose answer the worker may have prolonged its leases.
RENEWING_OUTCOMES = frozenset(
    (
        CallOutcome.DONE,
        CallOutcome.NO_ROOM,
        CallOutcome.OLD_RUN,
        CallOutcome.NO_TICKET,
    )
)


@define(eq=False)
class WorkerCalls:
    """Sends polls, starts and stops to workers and handles the outcomes.

    :param reason_not_to_start: tells why a start may not be sent; empty if it may.
    :ivar ownership_confirmed_ms: when the last store call was sent whose answer showed
        that this daemon owns the jobs.
    """

    state: DispatcherState
    crashes: CrashCounter
    reason_not_to_start: Callable[[WorkerState, Run], str]
    ownership_confirmed_ms: int = 0
    next_stall_check_ms: int = 0

    # --- polls ------------------------------------------------------------------------

    def poll_due(self) -> None:
        """Poll each worker that is due for a poll, of those noted since the last call.

        Every tick notes all workers, so other events note only those whose poll must
        not wait for the next one.
        """
        noted, self.state.workers_to_poll = self.state.workers_to_poll, {}
        for worker in noted.values():
            if self._needs_poll(worker):
                self.poll(worker)

    def _needs_poll(self, worker: WorkerState) -> bool:
        if worker.listing is None or worker.poll_sent_ms:
            return False
        if self.state.now_ms < worker.next_poll_ms:
            return False
        return bool(
            worker.runs
            or worker.orphan_stops
            or worker.missed_polls
            or not worker.fenced
            or worker.incarnation < worker.listing.incarnation
            or worker.applied_end > worker.stored_end
        )

    def poll(self, worker: WorkerState) -> None:
        """Poll a worker for its runs and ends, and renew its leases if that is safe.

        Renewing is safe while the ownership is confirmed, the worker responds, and no
        stored record names the worker as unresponsive.
        """
        state = self.state
        policy = state.policy
        lease_end_ms = None
        wait_ms = 0
        known = worker.fenced and worker.incarnation >= worker.listing.incarnation
        if known and not worker.is_unresponsive(policy, state.now_ms):
            confirmed = (
                state.now_ms - self.ownership_confirmed_ms <= policy.max_unconfirmed_ms
            )
            if confirmed and may_renew(state, worker):
                lease_end_ms = worker.new_lease_end(policy, state.now_ms)
            filled = worker.best_effort_cpu or worker.last_resort_runs
            watched = worker.serving_runs and filled
            watched = watched or worker.held_for or worker.isolated_run
            wait_ms = policy.watched_poll_wait_ms if watched else policy.poll_wait_ms
            if worker.applied_end > worker.stored_end:
                wait_ms = 0
        worker.poll_sent_ms = state.now_ms
        worker.poll_renews = lease_end_ms is not None
        acknowledged = worker.stored_end if known and worker.stored_end else None
        state.commands.append(
            PollWorker(
                worker.worker_id,
                worker.listing.address,
                state.epoch,
                acknowledged,
                lease_end_ms,
                wait_ms,
            )
        )

    def on_poll_failed(self, event: PollFailed) -> None:
        """Handle that a poll got no answer."""
        worker = self.state.worker(event.worker_id)
        if event.renewed:
            until_ms = event.sent_ms + self.state.policy.max_call_delay_ms
            worker.late_renewals_until_ms = max(worker.late_renewals_until_ms, until_ms)
        self.schedule_poll(worker, answered=False)

    def schedule_poll(self, worker: WorkerState, answered: bool) -> None:
        """Schedule the next poll after one was answered or has failed."""
        policy = self.state.policy
        worker.poll_sent_ms = 0
        worker.poll_renews = False
        pause_ms = 0
        worker.missed_polls += not answered
        if not answered or worker.applied_end > worker.stored_end:
            pause_ms = policy.poll_retry_ms
        worker.next_poll_ms = self.state.now_ms + pause_ms
        self.state.workers_to_poll[worker.worker_id] = worker

    # --- starts -----------------------------------------------------------------------

    def start(self, run: Run) -> None:
        """Send the start of a run whose record is in the store."""
        state = self.state
        worker = state.workers[run.worker_id]
        run.phase = RunPhase.SENT
        run.times_sent += 1
        run.sent_ms = state.now_ms
        run.progress_ms = state.now_ms
        run.lease_end_ms = worker.new_lease_end(state.policy, state.now_ms)
        job = run.task.job
        state.commands.append(
            StartRun(
                run.worker_id,
                worker.listing.address,
                run.task.name,
                run.number,
                job.spec.payload,
                run.lease_end_ms,
                state.epoch,
                run.task.checkpoint,
                run.ticket,
            )
        )

    def on_start_answered(self, event: StartAnswered) -> None:
        """Handle the outcome of a start."""
        state = self.state
        worker = state.worker(event.worker_id)
        run = worker.runs.get((event.task, event.run))
        if event.outcome is CallOutcome.OLD_EPOCH:
            state.commands.append(StepDown(f"{event.worker_id} saw a higher epoch"))
            return
        if event.outcome is CallOutcome.UNANSWERED:
            worker.add_unanswered_start(
                (event.task, event.run),
                event.sent_ms + state.policy.max_call_delay_ms,
                state.policy,
                state.now_ms,
            )
            state.note_late_call(worker)
        known = event.outcome not in RENEWING_OUTCOMES or worker.note_start_clock(
            event.clock_ms, event.sent_ms, state.policy, state.now_ms
        )
        if not known:
            self._log_other_clock(worker, event)
        if run is None:
            return
        if event.outcome is CallOutcome.DONE:
            if not known:
                run.answered_elsewhere_ms = state.now_ms
                state.note_late_call(worker)
            if run.phase in (RunPhase.SENT, RunPhase.AMBIGUOUS):
                run.phase = RunPhase.RUNNING
                run.confirmed_ms = state.now_ms
                self.crashes.on_start_confirmed(run)
            return
        state.log_task(
            "start_failed",
            run.task,
            event.run,
            worker=event.worker_id,
            outcome=str(event.outcome),
            sent_ms_ago=state.now_ms - event.sent_ms,
        )
        if event.outcome in NOT_STARTED and event.outcome is not CallOutcome.NO_TICKET:
            until_ms = state.now_ms + state.policy.refused_pause_ms
            worker.paused_until_ms = max(worker.paused_until_ms, until_ms)
        if run.phase is not RunPhase.SENT:
            return
        if event.outcome in NOT_STARTED and run.times_sent == 1:
            state.release(worker, run, f"start refused: {event.outcome}")
            return
        # Starts are idempotent, so an unanswered one is sent again. If that isn't
        # allowed, its run is stopped.
        confirmed_ms_ago = state.now_ms - self.ownership_confirmed_ms
        resend = (
            event.outcome is CallOutcome.UNANSWERED
            and may_renew(state, worker)
            and confirmed_ms_ago <= state.policy.max_view_age_ms
        )
        if resend and run.times_sent < MAX_START_SENDS:
            reason = self.reason_not_to_start(worker, run)
            if not reason:
                self.start(run)
                state.log_task(
                    "start_repeated",
                    run.task,
                    run.number,
                    worker=event.worker_id,
                    life=worker.incarnation,
                    listed_life=worker.listing.incarnation,
                    clock_ms=worker.clock_now_ms(state.now_ms),
                    lease_end_ms=run.lease_end_ms,
                )
                return
            state.log_task("start_not_repeated", run.task, run.number, reason=reason)
        run.phase = RunPhase.AMBIGUOUS
        state.stop(run, "start unanswered")

    def _log_other_clock(self, worker: WorkerState, event: StartAnswered) -> None:
        """Log that another incarnation than the known one has answered a start."""
        state = self.state
        state.log(
            "start_clock_differs",
            task=event.task,
            run=event.run,
            worker=event.worker_id,
            life=worker.incarnation,
            outcome=str(event.outcome),
            clock_ms=event.clock_ms,
            expected_clock_ms=worker.clock_now_ms(state.now_ms),
            lease_end_ms=worker.lease_end_ms,
            sent_ms_ago=state.now_ms - event.sent_ms,
            answered_ms_ago=state.now_ms - worker.answered_ms,
        )

    # --- stops ------------------------------------------------------------------------

    def stop_due(self) -> None:
        """Send the stops that are due.

        A stop is repeated until the worker lists the run's end; for an orphaned run, of
        which the owner has no record, until it is answered.
        """
        state = self.state
        for worker in state.workers.values():
            if worker.orphan_stops and worker.listing is not None:
                self._stop_orphans(worker)
        for run in list(state.runs_to_stop):
            worker = state.workers.get(run.worker_id)
            if worker is None or worker.runs.get(run.key) is not run:
                del state.runs_to_stop[run]
            elif worker.listing is not None:
                self._stop(worker, run)

    def _stop(self, worker: WorkerState, run: Run) -> None:
        state = self.state
        if run.phase in (RunPhase.COMMITTING, RunPhase.INHERITED):
            return
        if run.stop_sent_ms and state.now_ms < run.stop_sent_ms + self._stop_wait_ms(
            run
        ):
            return
        if not run.stop_sent_ms:
            state.log_task(
                "run_stopped",
                run.task,
                run.number,
                worker=run.worker_id,
                reason=run.stopping,
            )
        run.stop_sent_ms = state.now_ms
        self._send_stop(worker, run.task.name, run.number)

    def _stop_wait_ms(self, run: Run) -> int:
        policy = self.state.policy
        if run.stop_confirmed_ms:
            return policy.stop_ms + policy.stop_retry_ms
        return policy.stop_retry_ms

    def _stop_orphans(self, worker: WorkerState) -> None:
        now_ms = self.state.now_ms
        for (task, number), sent_ms in worker.orphan_stops.items():
            if not sent_ms or now_ms - sent_ms >= self.state.policy.stop_retry_ms:
                worker.orphan_stops[(task, number)] = now_ms
                self._send_stop(worker, task, number)

    def _send_stop(self, worker: WorkerState, task: str, number: int) -> None:
        address = worker.listing.address
        self.state.commands.append(
            StopRun(worker.worker_id, address, task, number, self.state.epoch)
        )

    def on_stop_answered(self, event: StopAnswered) -> None:
        """Handle the outcome of a stop."""
        state = self.state
        if event.outcome is CallOutcome.OLD_EPOCH:
            state.commands.append(StepDown(f"{event.worker_id} saw a higher epoch"))
            return
        if event.outcome is not CallOutcome.DONE:
            return
        worker = state.worker(event.worker_id)
        run = worker.runs.get((event.task, event.run))
        if run is not None:
            # The first answer counts: a poll may wait longer than the time until the
            # stop is sent again.
            run.stop_confirmed_ms = run.stop_confirmed_ms or state.now_ms
        # If the run goes on in spite of the stop, the next poll finds it again.
        worker.orphan_stops.pop((event.task, event.run), None)

    # --- losses -----------------------------------------------------------------------

    def release_expired(self) -> None:
        """Release the runs of unresponsive workers whose leases have expired.

        Runs that the worker may have started again since are kept.
        """
        state = self.state
        for worker in state.workers.values():
            if not worker.runs or not worker.is_unresponsive(
                state.policy, state.now_ms
            ):
                continue
            if not worker.lease_expired(state.policy, state.now_ms):
                continue
            expired = [
                run
                for run in worker.runs.values()
                if run.phase is not RunPhase.COMMITTING
                and not worker.restarted_run_ms(run, state.policy, state.now_ms)
            ]
            self.crashes.on_worker_lost(worker, expired, restarted=False)
            for run in expired:
                state.release(worker, run, "lease is over at a silent worker")

    def stop_stalled(self) -> None:
        """Stop runs that make no progress, and pause their workers.

        A worker isn't paused if the run's step makes no progress elsewhere either.
        Long-running and best-effort runs are left out; only the latter are throttled.
        """
        state = self.state
        if state.now_ms < self.next_stall_check_ms:
            return
        self.next_stall_check_ms = state.now_ms + STALL_CHECK_PERIOD_MS
        for worker in state.workers.values():
            for run in worker.runs.values():
                if run.stopping or run.phase is not RunPhase.RUNNING:
                    continue
                spec = run.task.spec
                if (
                    spec.long_running
                    or spec.fills
                    or run.task.status is TaskStatus.DONE
                ):
                    continue
                if not has_stalled(run, worker, state.policy):
                    continue
                state.stop(run, "no progress")
                run.task.stalled_runs += 1
                if not is_step_slow(run, state.now_ms):
                    worker.failures += 1
                    worker.paused_until_ms = (
                        state.now_ms + state.policy.failing_pause_ms
                    )
