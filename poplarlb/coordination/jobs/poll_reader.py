"""Applies a worker's poll answer: its runs, and its ends not yet acknowledged."""

from attrs import define

from poplarlb.coordination.jobs.crashes import MAX_LOGGED_RUNS, CrashCounter
from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import EndedRow, PollAnswered, RunningRow
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.coordination.jobs.progress import note_progress
from poplarlb.state.job_records import restore_occurrence
from poplarlb.state.jobs import (
    JobState,
    RunEnd,
    Task,
    TaskStatus,
    parse_task_name,
)

MAX_ENDS_PER_POLL = 500  # the worker lists further ends in its next answer
MAX_BLAMED_WORKERS = 2  # at which a failing job counts against the worker


@define(eq=False)
class PollReader:
    """Applies the runs and ends that workers list to the dispatcher's state."""

    state: DispatcherState
    crashes: CrashCounter

    def read(self, worker: WorkerState, poll: PollAnswered) -> None:
        """Apply one worker's answer; that of an earlier incarnation is ignored."""
        state = self.state
        if poll.incarnation < worker.incarnation:
            return
        listed = {(row.task, row.run): row for row in poll.running}
        if poll.incarnation != worker.incarnation:
            self._handle_new_incarnation(worker, poll, listed)
        first = not worker.fenced
        worker.update_clock(poll.clock_ms, state.policy, state.now_ms)
        worker.polled_ms = poll.sent_ms
        if worker.answer_delayed_ms < poll.sent_ms:
            worker.answer_delay_ms = 0
        if first:
            state.capacity_changed = True
            self._resolve_inherited(worker, poll, listed)
        ended = {(row.task, row.run) for row in poll.ended}
        for row in poll.ended:
            if row.number > worker.applied_end:
                worker.applied_end = row.number
                self._handle_end(worker, row)
        if worker.applied_end > worker.stored_end:
            state.to_acknowledge[worker.worker_id] = (
                worker.incarnation,
                worker.applied_end,
            )
        for key, row in listed.items():
            self._handle_running(worker, key, row, poll.sent_ms)
        if len(poll.ended) < MAX_ENDS_PER_POLL:
            self._release_missing(worker, poll, listed, ended)

    def _handle_new_incarnation(
        self,
        worker: WorkerState,
        poll: PollAnswered,
        listed: dict[tuple[str, int], RunningRow],
    ) -> None:
        """Release runs of the earlier incarnation.

        Starts that got no answer may still reach the new incarnation; their runs are
        stopped there. Runs that the new incarnation lists, also as ended, are kept, and
        those whose start it may have carried out after it listed its runs.
        """
        state = self.state
        if not worker.incarnation:
            worker.begin_incarnation(poll.incarnation)
            return
        kept = listed.keys() | {(row.task, row.run) for row in poll.ended}
        lost = [
            run
            for run in worker.runs.values()
            if run.key not in kept and not is_confirmed_since(run, poll)
        ]
        self.crashes.on_worker_lost(worker, lost, restarted=True)
        former_lease_end_ms = worker.lease_end_ms
        worker.poll_renews = False  # it has been answered
        worker.note_misdirected_calls(state.policy)
        state.note_late_call(worker)
        worker.begin_incarnation(poll.incarnation)
        state.log(
            "worker_restarted",
            worker=worker.worker_id,
            life=poll.incarnation,
            clock_ms=poll.clock_ms,
            former_lease_end_ms=former_lease_end_ms,
            misdirected_ms=max(worker.misdirected_until_ms - state.now_ms, 0),
            poll_sent_ms_ago=state.now_ms - poll.sent_ms,
            kept_runs=[f"{task} run {run}" for task, run in listed][:MAX_LOGGED_RUNS],
            confirmed_ms_ago={
                f"{run.task.name} run {run.number}": state.now_ms - run.confirmed_ms
                for run in lost[:MAX_LOGGED_RUNS]
                if run.confirmed_ms
            },
        )
        unanswered_starts = {
            key
            for key, until in worker.unanswered_starts.items()
            if state.now_ms < until
        }
        for key in unanswered_starts - worker.runs.keys():
            worker.orphan_stops[key] = 0
        for run in list(worker.runs.values()):
            if run.key in kept or run.phase is RunPhase.COMMITTING:
                run.task.incarnation = (
                    poll.incarnation if run.current else run.task.incarnation
                )
                if run.confirmed_ms:  # it has begun again
                    run.confirmed_ms = run.progress_ms = state.now_ms
            elif run.phase is RunPhase.SENT or run.key in unanswered_starts:
                run.phase = RunPhase.AMBIGUOUS
                until_ms = run.sent_ms + state.policy.max_call_delay_ms
                worker.add_unanswered_start(
                    run.key, until_ms, state.policy, state.now_ms
                )
                state.stop(run, "start unanswered by an earlier life")
                run.stop_sent_ms = run.stop_confirmed_ms = 0
            elif not is_confirmed_since(run, poll):
                state.release(worker, run, "worker restarted")

    def _resolve_inherited(
        self,
        worker: WorkerState,
        poll: PollAnswered,
        listed: dict[tuple[str, int], RunningRow],
    ) -> None:
        """Confirm or release the runs that an earlier owner placed at a worker.

        The poll carried the present owner's epoch, so the worker now refuses starts
        that the earlier owner sent.
        """
        ended = {(row.task, row.run) for row in poll.ended}
        complete = len(poll.ended) < MAX_ENDS_PER_POLL
        inherited = [
            run for run in worker.runs.values() if run.phase is RunPhase.INHERITED
        ]
        missing = [
            run
            for run in inherited
            if complete and run.key not in listed and run.key not in ended
        ]
        # Runs of the worker's present incarnation are missing if their starts were
        # never sent.
        lost = [run for run in missing if run.task.incarnation != poll.incarnation]
        self.crashes.on_worker_lost(worker, lost, restarted=True)
        for run in inherited:
            run.phase = RunPhase.RUNNING
            run.confirmed_ms = self.state.now_ms
        for run in missing:
            self.state.release(worker, run, "not found at its worker by the new owner")

    # --- ends -------------------------------------------------------------------------

    def _find_task(self, name: str) -> Task | None:
        """Return the task of a name that a worker lists, or None.

        The tasks of a job or an occurrence that is done aren't kept. They are created
        again if a run of one of them is listed later.
        """
        parsed = parse_task_name(name)
        job = self.state.jobs.get(parsed[0]) if parsed else None
        if job is None:
            return None
        number = parsed[1]
        opened = job.next_occurrence if job.spec.times else 0
        if job.state is JobState.DONE:
            opened = job.total_occurrences
        if (
            number < opened
            and number not in job.occurrences
            and job.state in (JobState.ACTIVE, JobState.DONE)
        ):
            restore_occurrence(job.open_occurrence(number), None)
        return job.find_task(*parsed[1:])

    def _handle_end(self, worker: WorkerState, row: EndedRow) -> None:
        state = self.state
        run = worker.runs.get((row.task, row.run))
        task = run.task if run else self._find_task(row.task)
        if run is not None:
            worker.remove(run)
            state.note_freed(worker)
            if run.task.spec.fills and worker.serving_runs:
                worker.recently_ended.append(
                    (run.task.spec.image, run.measurement, state.now_ms)
                )
        worker.orphan_stops.pop((row.task, row.run), None)
        if task is None:
            return
        state.log_task(
            "run_ended",
            task,
            row.run,
            worker=worker.worker_id,
            how=str(row.how),
            stopping=run.stopping if run else "",
        )
        was_current = (
            task.status is TaskStatus.PLACED
            and task.run == row.run
            and task.worker_id == worker.worker_id
        )
        if was_current and row.checkpoint:
            task.checkpoint = row.checkpoint
        if row.how is not RunEnd.STOPPED:
            self.crashes.withdraw(task, row.run)
        match row.how:
            case RunEnd.DONE if not task.spec.long_running:
                worker.failures = 0
                task.job.failing_workers.clear()
                self._finish(task)
                return
            case RunEnd.FAILED:
                self._count_failure(worker, task, row.run)
        if was_current:
            state.requeue(task, f"run ended {row.how}")
            if task.spec.gang:
                self._stop_gang(task, row)

    def _finish(self, task: Task) -> None:
        if not task.spec.gang or task.status is TaskStatus.DONE:
            self.state.finish_task(task)
            return
        for member in task.job.occurrences[task.occurrence].steps[task.step]:
            self.state.finish_task(member)

    def _stop_gang(self, task: Task, row: EndedRow) -> None:
        """Stop the other members of a gang; a member's checkpoint is valid for all."""
        for member in task.job.occurrences[task.occurrence].steps[task.step]:
            if row.checkpoint:
                member.checkpoint = row.checkpoint
            for run in member.reserved_runs:
                if run.number <= row.run:
                    self.state.stop(run, "another member ended")

    def _count_failure(self, worker: WorkerState, task: Task, run: int) -> None:
        """Count a failed run for its task, and for its worker unless the job fails it.

        A job that has failed at several workers since one of its tasks was last done is
        the cause itself.
        """
        state = self.state
        if run in task.failed_runs:
            return
        job = task.job
        job.failing_workers.add(worker.worker_id)
        if len(job.failing_workers) <= MAX_BLAMED_WORKERS:
            worker.failures += 1
            if worker.failures >= state.policy.failing_limit:
                worker.paused_until_ms = state.now_ms + state.policy.failing_pause_ms
                state.log(
                    "worker_paused", worker=worker.worker_id, failures=worker.failures
                )
        task.failed_runs += (run,)
        if job.final:
            return
        state.mark_dirty(job)
        if task.status is not TaskStatus.DONE and state.is_exhausted(task):
            state.fail_exhausted(task)

    # --- running ----------------------------------------------------------------------

    def _handle_running(
        self, worker: WorkerState, key: tuple[str, int], row: RunningRow, sent_ms: int
    ) -> None:
        state = self.state
        run = worker.runs.get(key)
        if run is None:
            run = self._track_orphan(worker, row)
        if run is None:
            return
        if run.phase in (RunPhase.SENT, RunPhase.AMBIGUOUS):
            run.phase = RunPhase.RUNNING
            run.confirmed_ms = state.now_ms
            self.crashes.on_start_confirmed(run)
        if run.answered_elsewhere_ms <= sent_ms:
            run.answered_elsewhere_ms = 0
        note_progress(run, row, state.now_ms)
        run.measurement = row.measurement
        if row.checkpoint and run.current:
            run.task.checkpoint = row.checkpoint

    def _track_orphan(self, worker: WorkerState, row: RunningRow) -> Run | None:
        """Reserve capacity for an orphaned run, one without a record, until its end.

        The run is stopped. Without a task of its name its size is unknown, so the
        worker gets no new runs while it lists the run.
        """
        state = self.state
        task = self._find_task(row.task)
        if task is None:
            worker.orphan_stops.setdefault((row.task, row.run), 0)
            until_ms = state.now_ms + state.policy.refused_pause_ms
            worker.paused_until_ms = max(worker.paused_until_ms, until_ms)
            return None
        phase = RunPhase.RUNNING
        run = Run(task, row.run, worker.worker_id, phase, state.now_ms)
        run.confirmed_ms = state.now_ms
        run.progress_ms = state.now_ms
        worker.add(run)
        state.stop(run, "run was given up before")
        state.log_task("stray_run", task, row.run, worker=worker.worker_id)
        return run

    def _release_missing(
        self,
        worker: WorkerState,
        poll: PollAnswered,
        listed: dict[tuple[str, int], RunningRow],
        ended: set[tuple[str, int]],
    ) -> None:
        """Release runs that the worker lists neither as active nor as ended.

        A run may be missing from an answer unless its start or stop was confirmed
        before the poll was sent.
        """
        for run in list(worker.runs.values()):
            if run.key in listed or run.key in ended:
                continue
            if run.phase is RunPhase.RUNNING:
                resolved_ms = run.confirmed_ms
            elif run.phase is RunPhase.AMBIGUOUS:
                resolved_ms = run.stop_confirmed_ms
            else:
                continue
            if resolved_ms and poll.sent_ms > resolved_ms:
                self.state.release(worker, run, "not at its worker")


def is_confirmed_since(run: Run, poll: PollAnswered) -> bool:
    """Return whether a start was confirmed after a poll was sent.

    Answers may overtake each other, so the poll's lists may be older than the start.
    """
    return run.phase is RunPhase.RUNNING and run.confirmed_ms >= poll.sent_ms
