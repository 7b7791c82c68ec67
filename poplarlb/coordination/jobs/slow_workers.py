"""Finds workers that run tasks far more slowly than others run the same step.

Tasks of one step are alike, so their progress shows which workers are slow. A slow
worker is paused, so it gets no new runs for a while. A slow run at a paused worker is
stopped if a new run elsewhere would end far sooner.
"""

import statistics

from attrs import Factory, define

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState

PERIOD_MS = 250  # between comparisons
MIN_AGE_MS = 600  # of a run; its rate of progress is known to a few percent by then
# Runs of a step that are needed for a comparison. The median of fewer says little, so
# a worker might count as slow because the step is.
MIN_RUNS = 3
# A run is slow if the median rate of progress in its step is at least this many times
# its own; task sizes in a step differ by half at most.
SLOW_FACTOR = 3.0
MIN_SLOW_RUNS = 2  # a worker with this many is slow
PAUSE_MS = 3_000  # then the worker is tried again
# A run is stopped if it still needs more than this many times what a new one would.
RESTART_GAIN = 2.0
RESTART_COST_MS = 400  # a stop, a commit and a start
FULL_PERCENT = 100


@define(eq=False)
class SlowWorkers:
    """Compares the progress of runs of each step.

    :ivar next_ms: when the runs are compared next.
    :ivar slow_runs: by worker, the keys of the slow runs seen since its last pause.
    """

    state: DispatcherState
    next_ms: int = 0
    slow_runs: dict[str, set[tuple[str, int]]] = Factory(dict)

    def tick(self) -> None:
        """Compare the runs of each step once per period."""
        state = self.state
        if state.now_ms < self.next_ms:
            return
        self.next_ms = state.now_ms + PERIOD_MS
        steps: dict[tuple, list[tuple[WorkerState, Run, float]]] = {}
        for worker in state.workers.values():
            for run in worker.runs.values():
                rate = self._rate(worker, run)
                if rate is not None:
                    key = run.task.step_key
                    steps.setdefault(key, []).append((worker, run, rate))
        for runs in steps.values():
            if len(runs) >= MIN_RUNS:
                self._compare(runs)

    def _rate(self, worker: WorkerState, run: Run) -> float | None:
        """Return a run's progress in percent per ms; None if it can't be compared."""
        spec = run.task.spec
        if spec.long_running or run.phase is not RunPhase.RUNNING or run.stopping:
            return None
        if run.sent_throttle_percent != FULL_PERCENT or run.resumed:
            return None
        age_ms = worker.answered_ms - run.confirmed_ms
        return run.percent_done / age_ms if age_ms >= MIN_AGE_MS else None

    def _highest_rate(self, worker: WorkerState, run: Run) -> float:
        """Return the highest rate of progress that a run's whole percents allow."""
        return (run.percent_done + 1) / (worker.answered_ms - run.confirmed_ms)

    def _compare(self, runs: list[tuple[WorkerState, Run, float]]) -> None:
        median = statistics.median(rate for _, _, rate in runs)
        if not median:
            return
        for worker, run, _ in runs:
            rate = self._highest_rate(worker, run)
            if rate * SLOW_FACTOR > median:
                continue
            slow_runs = self.slow_runs.setdefault(worker.worker_id, set())
            slow_runs.add(run.key)
            if len(slow_runs) >= MIN_SLOW_RUNS:
                self._pause(worker, len(slow_runs))
            if worker.paused_until_ms > self.state.now_ms:
                self._stop_if_sooner(run, rate, median)

    def _pause(self, worker: WorkerState, slow_run_count: int) -> None:
        state = self.state
        self.slow_runs.pop(worker.worker_id)
        worker.paused_until_ms = state.now_ms + PAUSE_MS
        state.log("worker_paused", worker=worker.worker_id, slow_tasks=slow_run_count)

    def _stop_if_sooner(self, run: Run, rate: float, median: float) -> None:
        remaining = FULL_PERCENT - run.percent_done
        percent_of_new_run = remaining if run.task.spec.checkpoints else FULL_PERCENT
        remaining_ms = remaining / max(rate, 1e-6)
        if remaining_ms > RESTART_GAIN * (
            percent_of_new_run / median + RESTART_COST_MS
        ):
            self.state.stop(run, "worker is slow")
