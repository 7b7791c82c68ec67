"""Finds workers that run tasks far more slowly than others run the same step.

Tasks of one step are alike, so their progress tells workers apart. A slow worker gets
no tasks for a while, and what is done sooner by beginning anew elsewhere is stopped.
"""

import statistics

from attrs import Factory, define

from poplarlb.coordination.jobs.book import Book
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState

PERIOD_MS = 250
LEAST_AGE_MS = 600  # progress is known to a few percent by then
LEAST_PEERS = 3  # runs of a step, to tell one worker from the step
SLOW_FACTOR = 3.0  # below the usual rate; sizes within a step differ by half at most
SLOW_SIGNS = 2  # tasks seen slow, to call their worker slow
PAUSE_MS = 3_000  # then it is tried again
RESTART_GAIN = 2.0  # how much sooner a new run must be done to stop the old one
RESTART_COST_MS = 400  # a stop, a commit and a start
FULL_PERCENT = 100


@define(eq=False)
class SlowWorkers:
    """Compares the progress of runs of each step."""

    book: Book
    next_ms: int = 0
    signs: dict[str, set[tuple[str, int]]] = Factory(dict)  # slow runs, by worker

    def tick(self) -> None:
        """Compare all runs, now and then."""
        book = self.book
        if book.now_ms < self.next_ms:
            return
        self.next_ms = book.now_ms + PERIOD_MS
        steps: dict[tuple, list[tuple[WorkerState, Run, float]]] = {}
        for worker in book.workers.values():
            for run in worker.runs.values():
                rate = self._rate(worker, run)
                if rate is not None:
                    key = run.task.step_key
                    steps.setdefault(key, []).append((worker, run, rate))
        for runs in steps.values():
            if len(runs) >= LEAST_PEERS:
                self._compare(runs)

    def _rate(self, worker: WorkerState, run: Run) -> float | None:
        """Return a run's progress in percent a ms; None if it tells nothing."""
        spec = run.task.spec
        if spec.long_running or run.phase is not RunPhase.RUNNING or run.stopping:
            return None
        if run.pace_sent != FULL_PERCENT or run.resumed:
            return None
        age_ms = worker.answered_ms - run.confirmed_ms
        return run.percent / age_ms if age_ms >= LEAST_AGE_MS else None

    def _compare(self, runs: list[tuple[WorkerState, Run, float]]) -> None:
        usual = statistics.median(rate for _, _, rate in runs)
        if not usual:
            return
        for worker, run, rate in runs:
            if rate * SLOW_FACTOR > usual:
                continue
            signs = self.signs.setdefault(worker.worker_id, set())
            signs.add(run.key)
            if len(signs) >= SLOW_SIGNS:
                self._pause(worker, len(signs))
            if worker.paused_until_ms > self.book.now_ms:
                self._stop_if_sooner(run, rate, usual)

    def _pause(self, worker: WorkerState, signs: int) -> None:
        book = self.book
        self.signs.pop(worker.worker_id)
        worker.paused_until_ms = book.now_ms + PAUSE_MS
        book.note("worker_paused", worker=worker.worker_id, slow_tasks=signs)

    def _stop_if_sooner(self, run: Run, rate: float, usual: float) -> None:
        left = FULL_PERCENT - run.percent
        again = left if run.task.spec.checkpoints else FULL_PERCENT
        rest_ms = left / max(rate, 1e-6)
        if rest_ms > RESTART_GAIN * (again / usual + RESTART_COST_MS):
            run.stopping = "worker is slow"
