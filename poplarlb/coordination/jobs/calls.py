"""Decides which calls workers get, and what follows from their outcomes."""

from attrs import define

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import (
    CallOutcome,
    Look,
    StartAnswered,
    StartRun,
    StepDown,
    StopAnswered,
    StopRun,
)
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.coordination.jobs.unresponsive import may_renew
from poplarlb.state.jobs import TaskStatus

MAX_START_SENDS = 3  # of a start that gets no answer
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


@define(eq=False)
class WorkerCalls:
    """Sends polls, starts and stops to workers and handles the outcomes.

    :ivar ownership_confirmed_ms: when the store last confirmed the ownership.
    """

    book: DispatcherState
    ownership_confirmed_ms: int = 0

    # --- polls ------------------------------------------------------------------------

    def poll_due(self) -> None:
        """Poll each worker that is due for a poll."""
        for worker in self.book.workers.values():
            if self._needs_poll(worker):
                self.poll(worker)

    def _needs_poll(self, worker: WorkerState) -> bool:
        if worker.listing is None or worker.poll_sent_ms:
            return False
        if self.book.now_ms < worker.next_poll_ms:
            return False
        return bool(
            worker.runs
            or worker.orphan_stops
            or worker.missed_polls
            or not worker.fenced
            or worker.life < worker.listing.life
            or worker.applied_end > worker.stored_end
        )

    def poll(self, worker: WorkerState) -> None:
        """Poll a worker for its runs and ends, and renew its leases."""
        book = self.book
        policy = book.policy
        lease_end_ms = None
        wait_ms = 0
        known = worker.fenced and worker.life >= worker.listing.life
        if known and not worker.is_unresponsive(policy, book.now_ms):
            confirmed = (
                book.now_ms - self.ownership_confirmed_ms <= policy.max_unconfirmed_ms
            )
            if confirmed and may_renew(book, worker):
                lease_end_ms = worker.new_lease_end(policy, book.now_ms)
            watched = worker.serving_runs and worker.best_effort_cpu
            wait_ms = policy.watched_poll_wait_ms if watched else policy.poll_wait_ms
            if worker.applied_end > worker.stored_end:
                wait_ms = 0
        worker.poll_sent_ms = book.now_ms
        acknowledged = worker.stored_end if known and worker.stored_end else None
        book.commands.append(
            Look(
                worker.worker_id,
                worker.listing.address,
                book.epoch,
                acknowledged,
                lease_end_ms,
                wait_ms,
            )
        )

    def on_poll_ended(self, worker: WorkerState, answered: bool) -> None:
        """Schedule the next poll."""
        worker.poll_sent_ms = 0
        pause_ms = 0
        worker.missed_polls += not answered
        if not answered or worker.applied_end > worker.stored_end:
            pause_ms = self.book.policy.poll_retry_ms
        worker.next_poll_ms = self.book.now_ms + pause_ms

    # --- starts -----------------------------------------------------------------------

    def start(self, run: Run) -> None:
        """Send the start of a run whose record is in the store."""
        book = self.book
        worker = book.workers[run.worker_id]
        run.phase = RunPhase.SENT
        run.times_sent += 1
        run.sent_ms = book.now_ms
        run.progress_ms = book.now_ms
        job = run.task.job
        book.commands.append(
            StartRun(
                run.worker_id,
                worker.listing.address,
                run.task.name,
                run.number,
                job.spec.payload,
                worker.new_lease_end(book.policy, book.now_ms),
                book.epoch,
                run.task.saved,
                run.ticket,
            )
        )

    def on_start_answered(self, event: StartAnswered) -> None:
        """Handle the outcome of a start."""
        book = self.book
        worker = book.worker(event.worker_id)
        run = worker.runs.get((event.task, event.run))
        if event.outcome is CallOutcome.OLD_EPOCH:
            book.commands.append(StepDown(f"{event.worker_id} saw a higher epoch"))
            return
        if event.outcome is CallOutcome.UNANSWERED:
            worker.add_unanswered_start(
                (event.task, event.run),
                event.sent_ms + book.policy.max_start_delay_ms,
                book.now_ms,
            )
        if run is None:
            return
        if event.outcome is CallOutcome.DONE:
            if run.phase in (RunPhase.SENT, RunPhase.AMBIGUOUS):
                run.phase = RunPhase.RUNNING
                run.confirmed_ms = book.now_ms
            return
        book.log_task(
            "start_failed",
            run.task,
            event.run,
            worker=event.worker_id,
            outcome=str(event.outcome),
            sent_ms_ago=book.now_ms - event.sent_ms,
        )
        if event.outcome in NOT_STARTED:
            pause_ms = book.now_ms + book.policy.refused_pause_ms
            worker.paused_until_ms = max(worker.paused_until_ms, pause_ms)
        if run.phase is not RunPhase.SENT:
            return
        if event.outcome in NOT_STARTED and run.times_sent == 1:
            book.release(worker, run, f"start refused: {event.outcome}")
            return
        # Starts are idempotent: without an answer, a start is sent again, then stopped.
        resend = event.outcome is CallOutcome.UNANSWERED and not run.stopping
        resend = resend and may_renew(book, worker)
        if resend and run.times_sent < MAX_START_SENDS and worker.listed:
            self.start(run)
            return
        run.phase = RunPhase.AMBIGUOUS
        run.stopping = run.stopping or "start unanswered"

    # --- stops ------------------------------------------------------------------------

    def stop_due(self) -> None:
        """Send the stops that are due, again until the end of the run is listed."""
        for worker in self.book.workers.values():
            if worker.listing is None:
                continue
            self._stop_orphans(worker)
            for run in worker.runs.values():
                if run.stopping:
                    self._stop(worker, run)

    def _stop(self, worker: WorkerState, run: Run) -> None:
        book = self.book
        if run.phase in (RunPhase.COMMITTING, RunPhase.INHERITED):
            return
        if run.stop_sent_ms and book.now_ms < run.stop_sent_ms + self._stop_wait_ms(
            run
        ):
            return
        if not run.stop_sent_ms:
            book.log_task(
                "run_stopped",
                run.task,
                run.number,
                worker=run.worker_id,
                reason=run.stopping,
            )
        run.stop_sent_ms = book.now_ms
        self._send_stop(worker, run.task.name, run.number)

    def _stop_wait_ms(self, run: Run) -> int:
        policy = self.book.policy
        if run.stop_confirmed_ms:
            return policy.stop_ms + policy.stop_retry_ms
        return policy.stop_retry_ms

    def _stop_orphans(self, worker: WorkerState) -> None:
        now_ms = self.book.now_ms
        for (task, number), sent_ms in worker.orphan_stops.items():
            if not sent_ms or now_ms - sent_ms >= self.book.policy.stop_retry_ms:
                worker.orphan_stops[(task, number)] = now_ms
                self._send_stop(worker, task, number)

    def _send_stop(self, worker: WorkerState, task: str, number: int) -> None:
        address = worker.listing.address
        self.book.commands.append(
            StopRun(worker.worker_id, address, task, number, self.book.epoch)
        )

    def on_stop_answered(self, event: StopAnswered) -> None:
        """Handle the outcome of a stop."""
        book = self.book
        if event.outcome is CallOutcome.OLD_EPOCH:
            book.commands.append(StepDown(f"{event.worker_id} saw a higher epoch"))
            return
        if event.outcome is not CallOutcome.DONE:
            return
        worker = book.worker(event.worker_id)
        run = worker.runs.get((event.task, event.run))
        if run is not None:
            # The first answer counts: a poll may wait longer than the period of stops.
            run.stop_confirmed_ms = run.stop_confirmed_ms or book.now_ms
        # If the run goes on in spite of the stop, the next poll finds it again.
        worker.orphan_stops.pop((event.task, event.run), None)

    # --- losses -----------------------------------------------------------------------

    def release_expired(self) -> None:
        """Release the runs of unresponsive workers whose leases have expired."""
        book = self.book
        for worker in book.workers.values():
            if not worker.runs or not worker.is_unresponsive(book.policy, book.now_ms):
                continue
            if not worker.lease_expired(book.policy, book.now_ms):
                continue
            for run in list(worker.runs.values()):
                if self._may_still_start(run):
                    continue
                book.release(worker, run, "lease is over at a silent worker")

    def _may_still_start(self, run: Run) -> bool:
        if run.phase is RunPhase.COMMITTING:
            return True
        if run.phase not in (RunPhase.SENT, RunPhase.AMBIGUOUS):
            return False
        return self.book.now_ms < run.sent_ms + self.book.policy.max_start_delay_ms

    def stop_stalled(self) -> None:
        """Stop runs that make no progress although they are not throttled."""
        book = self.book
        for worker in book.workers.values():
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
                if worker.answered_ms - run.progress_ms > book.policy.stall_ms:
                    run.stopping = "no progress"
                    worker.failures += 1
                    worker.paused_until_ms = book.now_ms + book.policy.failing_pause_ms
