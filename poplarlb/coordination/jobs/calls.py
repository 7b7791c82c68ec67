"""Decides which calls workers get: looks, stops, paces, and what failed calls mean."""

from attrs import define

from poplarlb.coordination.jobs.book import Book
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
from poplarlb.coordination.jobs.silence import may_renew
from poplarlb.state.jobs import TaskStatus

START_SENDINGS = 3  # of a start that gets no answer
# The worker has said, or it is certain, that the start was not carried out.
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
    """Orders calls and settles those that failed.

    :ivar proven_ms: when the ownership was last proven by the store.
    """

    book: Book
    proven_ms: int = 0

    # --- looks ------------------------------------------------------------------------

    def look_due(self) -> None:
        """Look at each worker that has something to tell."""
        for worker in self.book.workers.values():
            if self._needs_look(worker):
                self.look(worker)

    def _needs_look(self, worker: WorkerState) -> bool:
        if worker.listing is None or worker.look_sent_ms:
            return False
        if self.book.now_ms < worker.next_look_ms:
            return False
        return bool(
            worker.runs
            or worker.stray_stops
            or worker.missed
            or not worker.fenced
            or worker.life < worker.listing.life
            or worker.heard > worker.seen
        )

    def look(self, worker: WorkerState) -> None:
        """Ask a worker for its lists and renew its leases."""
        book = self.book
        policy = book.policy
        lease_end_ms = None
        wait_ms = 0
        known = worker.fenced and worker.life >= worker.listing.life
        if known and not worker.is_silent(policy, book.now_ms):
            proven = book.now_ms - self.proven_ms <= policy.renew_unproven_ms
            if proven and may_renew(book, worker):
                lease_end_ms = worker.new_lease_end(policy, book.now_ms)
            watched = worker.serving and worker.filling_cpu
            wait_ms = policy.watched_look_wait_ms if watched else policy.look_wait_ms
            if worker.heard > worker.seen:
                wait_ms = 0
        worker.look_sent_ms = book.now_ms
        seen = worker.seen if known and worker.seen else None
        book.commands.append(
            Look(
                worker.worker_id,
                worker.listing.address,
                book.epoch,
                seen,
                lease_end_ms,
                wait_ms,
            )
        )

    def look_ended(self, worker: WorkerState, answered: bool) -> None:
        """Plan the next look."""
        worker.look_sent_ms = 0
        pause_ms = 0
        worker.missed += not answered
        if not answered or worker.heard > worker.seen:
            pause_ms = self.book.policy.look_retry_ms
        worker.next_look_ms = self.book.now_ms + pause_ms

    # --- starts -----------------------------------------------------------------------

    def start(self, run: Run) -> None:
        """Send a start whose record is in the store."""
        book = self.book
        worker = book.workers[run.worker_id]
        run.phase = RunPhase.SENT
        run.sendings += 1
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

    def start_answered(self, event: StartAnswered) -> None:
        """Take a start's outcome in."""
        book = self.book
        worker = book.worker(event.worker_id)
        run = worker.runs.get((event.task, event.run))
        if event.outcome is CallOutcome.OLD_EPOCH:
            book.commands.append(StepDown(f"{event.worker_id} saw a higher epoch"))
            return
        if event.outcome is CallOutcome.UNANSWERED:
            worker.note_loose(
                (event.task, event.run),
                event.sent_ms + book.policy.late_start_ms,
                book.now_ms,
            )
        if run is None:
            return
        if event.outcome is CallOutcome.DONE:
            if run.phase in (RunPhase.SENT, RunPhase.UNSETTLED):
                run.phase = RunPhase.RUNNING
                run.confirmed_ms = book.now_ms
            return
        book.note_task(
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
        if event.outcome in NOT_STARTED and run.sendings == 1:
            book.free(worker, run, f"start refused: {event.outcome}")
            return
        # A start is idempotent; an unanswered one is sent again before it is given up.
        resend = event.outcome is CallOutcome.UNANSWERED and not run.stopping
        resend = resend and may_renew(book, worker)
        if resend and run.sendings < START_SENDINGS and worker.listed:
            self.start(run)
            return
        run.phase = RunPhase.UNSETTLED
        run.stopping = run.stopping or "start unanswered"

    # --- stops ------------------------------------------------------------------------

    def stop_due(self) -> None:
        """Send and repeat stops until the end is listed."""
        for worker in self.book.workers.values():
            if worker.listing is None:
                continue
            self._stop_strays(worker)
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
            book.note_task(
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

    def _stop_strays(self, worker: WorkerState) -> None:
        now_ms = self.book.now_ms
        for (task, number), sent_ms in worker.stray_stops.items():
            if not sent_ms or now_ms - sent_ms >= self.book.policy.stop_retry_ms:
                worker.stray_stops[(task, number)] = now_ms
                self._send_stop(worker, task, number)

    def _send_stop(self, worker: WorkerState, task: str, number: int) -> None:
        address = worker.listing.address
        self.book.commands.append(
            StopRun(worker.worker_id, address, task, number, self.book.epoch)
        )

    def stop_answered(self, event: StopAnswered) -> None:
        """Take a stop's outcome in."""
        book = self.book
        if event.outcome is CallOutcome.OLD_EPOCH:
            book.commands.append(StepDown(f"{event.worker_id} saw a higher epoch"))
            return
        if event.outcome is not CallOutcome.DONE:
            return
        worker = book.worker(event.worker_id)
        run = worker.runs.get((event.task, event.run))
        if run is not None:
            # The first one counts: looks may wait longer than stops are repeated.
            run.stop_confirmed_ms = run.stop_confirmed_ms or book.now_ms
        # If it runs in spite of the stop, the next look finds it again.
        worker.stray_stops.pop((event.task, event.run), None)

    # --- losses -----------------------------------------------------------------------

    def free_lost(self) -> None:
        """Free the runs of silent workers whose leases are over."""
        book = self.book
        for worker in book.workers.values():
            if not worker.runs or not worker.is_silent(book.policy, book.now_ms):
                continue
            if not worker.lease_is_over(book.policy, book.now_ms):
                continue
            for run in list(worker.runs.values()):
                if self._may_start_yet(run):
                    continue
                book.free(worker, run, "lease is over at a silent worker")

    def _may_start_yet(self, run: Run) -> bool:
        if run.phase is RunPhase.COMMITTING:
            return True
        if run.phase not in (RunPhase.SENT, RunPhase.UNSETTLED):
            return False
        return self.book.now_ms < run.sent_ms + self.book.policy.late_start_ms

    def stop_stalled(self) -> None:
        """Stop runs that make no progress at full pace."""
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
