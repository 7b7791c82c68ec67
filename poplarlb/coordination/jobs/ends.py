"""Takes in what a worker lists: the runs it has and the ends not yet acknowledged."""

from attrs import define

from poplarlb.coordination.jobs.book import Book
from poplarlb.coordination.jobs.events import EndedRow, LookAnswered, RunningRow
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.state.jobs import (
    JobState,
    RunEnd,
    Task,
    TaskStatus,
    parse_task_name,
)

ENDS_PER_ANSWER = 500  # a longer list goes on in the next answer


@define(eq=False)
class ReportReader:
    """Compares workers' lists with the book."""

    book: Book

    def read(self, worker: WorkerState, look: LookAnswered) -> None:
        """Take one worker's lists in."""
        book = self.book
        if look.life < worker.life:
            return
        listed = {(row.task, row.run): row for row in look.running}
        if look.life != worker.life:
            self._meet_new_life(worker, look, listed)
        first = not worker.fenced
        worker.hear_clock(look.clock_ms, book.now_ms)
        if first:
            worker.fenced = True
            worker.lease_end_ms = look.clock_ms + book.policy.lease_limit_ms
            book.room_changed = True
            self._settle_inherited(worker, look, listed)
        ended = {(row.task, row.run) for row in look.ended}
        for row in look.ended:
            if row.number > worker.heard:
                worker.heard = row.number
                self._take_end(worker, row)
        if worker.heard > worker.seen:
            book.acknowledge[worker.worker_id] = (worker.life, worker.heard)
        for key, row in listed.items():
            self._take_running(worker, key, row)
        if len(look.ended) < ENDS_PER_ANSWER:
            self._free_missing(worker, look, listed, ended)

    def _meet_new_life(
        self,
        worker: WorkerState,
        look: LookAnswered,
        listed: dict[tuple[str, int], RunningRow],
    ) -> None:
        """End what an earlier life ran; unanswered starts may reach the new one."""
        book = self.book
        known = worker.life
        worker.begin_life(look.life)
        if not known:
            return
        book.note("worker_restarted", worker=worker.worker_id, life=look.life)
        loose = {key for key, until in worker.loose.items() if book.now_ms < until}
        worker.loose.clear()
        for key in loose - worker.runs.keys():
            worker.stray_stops[key] = 0
        for run in list(worker.runs.values()):
            if run.key in listed or run.phase is RunPhase.COMMITTING:
                run.task.life = look.life if run.current else run.task.life
            elif run.phase is RunPhase.SENT or run.key in loose:
                run.phase = RunPhase.UNSETTLED
                run.stopping = run.stopping or "start unanswered by an earlier life"
                run.stop_sent_ms = run.stop_confirmed_ms = 0
            else:
                book.free(worker, run, "worker restarted")

    def _settle_inherited(
        self,
        worker: WorkerState,
        look: LookAnswered,
        listed: dict[tuple[str, int], RunningRow],
    ) -> None:
        """Settle an earlier owner's starts: none is carried out after this answer."""
        ended = {(row.task, row.run) for row in look.ended}
        complete = len(look.ended) < ENDS_PER_ANSWER
        for run in list(worker.runs.values()):
            if run.phase is not RunPhase.INHERITED:
                continue
            run.phase = RunPhase.RUNNING
            run.confirmed_ms = self.book.now_ms
            if complete and run.key not in listed and run.key not in ended:
                self.book.free(worker, run, "not found at its worker by the new owner")

    # --- ends -------------------------------------------------------------------------

    def _find_task(self, name: str) -> Task | None:
        parsed = parse_task_name(name)
        job = self.book.jobs.get(parsed[0]) if parsed else None
        return job.find_task(*parsed[1:]) if job else None

    def _take_end(self, worker: WorkerState, row: EndedRow) -> None:
        book = self.book
        run = worker.runs.get((row.task, row.run))
        task = run.task if run else self._find_task(row.task)
        if run is not None:
            worker.remove(run)
            book.room_changed = True
            if run.task.spec.fills and worker.serving:
                worker.left.append((run.task.spec.image, run.figure, book.now_ms))
        worker.stray_stops.pop((row.task, row.run), None)
        if task is None:
            return
        book.note_task(
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
        if was_current and row.saved:
            task.saved = row.saved
        match row.how:
            case RunEnd.DONE if not task.spec.long_running:
                worker.failures = 0
                self._finish(task)
                return
            case RunEnd.FAILED:
                self._count_failure(worker, task, row.run)
        if was_current:
            book.give_back(task, f"run ended {row.how}")
            if task.spec.gang:
                self._break_gang(task, row)

    def _finish(self, task: Task) -> None:
        if not task.spec.gang:
            self.book.finish_task(task)
            return
        for member in task.job.occurrences[task.occurrence].steps[task.step]:
            self.book.finish_task(member)

    def _break_gang(self, task: Task, row: EndedRow) -> None:
        """Stop the other members; any member's checkpoint holds for all."""
        for member in task.job.occurrences[task.occurrence].steps[task.step]:
            if row.saved:
                member.saved = row.saved
            for worker in self.book.workers.values():
                for run in worker.runs.values():
                    if run.task is member and run.number <= row.run:
                        run.stopping = run.stopping or "another member ended"

    def _count_failure(self, worker: WorkerState, task: Task, run: int) -> None:
        book = self.book
        if run in task.failed_runs:
            return
        worker.failures += 1
        if worker.failures >= book.policy.failing_limit:
            worker.paused_until_ms = book.now_ms + book.policy.failing_pause_ms
            book.note(
                "worker_paused", worker=worker.worker_id, failures=worker.failures
            )
        task.failed_runs += (run,)
        job = task.job
        if job.final:
            return
        book.touch(job)
        limit = book.queue_of(job).max_attempts
        if not task.spec.long_running and len(task.failed_runs) >= limit:
            if task.status is TaskStatus.DONE:
                return
            book.finish(job, JobState.FAILED, f"{task.name} failed {limit} times")

    # --- running ----------------------------------------------------------------------

    def _take_running(
        self, worker: WorkerState, key: tuple[str, int], row: RunningRow
    ) -> None:
        book = self.book
        run = worker.runs.get(key)
        if run is None:
            run = self._meet_stray(worker, row)
        if run is None:
            return
        if run.phase in (RunPhase.SENT, RunPhase.UNSETTLED):
            run.phase = RunPhase.RUNNING
            run.confirmed_ms = book.now_ms
        if row.percent != run.percent or run.pace < 100:
            run.percent = row.percent
            run.progress_ms = book.now_ms
        run.figure = row.figure
        if row.saved and run.current:
            run.task.saved = row.saved

    def _meet_stray(self, worker: WorkerState, row: RunningRow) -> Run | None:
        """Reserve room for a run that the book had given up, until it is stopped."""
        book = self.book
        task = self._find_task(row.task)
        if task is None:
            worker.stray_stops.setdefault((row.task, row.run), 0)
            return None
        phase = RunPhase.RUNNING
        run = Run(task, row.run, worker.worker_id, phase, book.now_ms)
        run.confirmed_ms = book.now_ms
        run.progress_ms = book.now_ms
        run.stopping = "run was given up before"
        worker.add(run)
        book.note_task("stray_run", task, row.run, worker=worker.worker_id)
        return run

    def _free_missing(
        self,
        worker: WorkerState,
        look: LookAnswered,
        listed: dict[tuple[str, int], RunningRow],
        ended: set[tuple[str, int]],
    ) -> None:
        """Free runs that were settled before the look was sent and aren't listed."""
        for run in list(worker.runs.values()):
            if run.key in listed or run.key in ended:
                continue
            if run.phase is RunPhase.RUNNING:
                settled_ms = run.confirmed_ms
            elif run.phase is RunPhase.UNSETTLED:
                settled_ms = run.stop_confirmed_ms
            else:
                continue
            if settled_ms and look.sent_ms > settled_ms:
                self.book.free(worker, run, "not at its worker")
