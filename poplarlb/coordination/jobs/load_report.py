"""The owner's summaries: stored counts of waiting jobs, and the logged worker load."""

from collections import Counter

from attrs import define

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.state.job_records import WaitingCounts
from poplarlb.state.jobs import JobState

LOAD_LOG_PERIOD_MS = 2_000  # 0.5 log lines a second, of the 20 that operators allow


@define(eq=False)
class LoadReporter:
    """Decides when the counts of waiting jobs are stored, and logs the load.

    :ivar stored_counts: pending jobs by queue, as last returned to be stored; None:
        never.
    :ivar next_confirm_ms: when unchanged counts are stored again.
    """

    state: DispatcherState
    next_count_ms: int = 0
    next_confirm_ms: int = 0
    next_load_log_ms: int = 0
    stored_counts: dict[str, int] | None = None

    def count_waiting(self) -> WaitingCounts | None:
        """Return the counts of pending jobs by queue if they are due to be stored."""
        state = self.state
        if state.now_ms < self.next_count_ms:
            return None
        self.next_count_ms = state.now_ms + state.policy.status_period_ms
        counts = Counter(
            job.spec.queue
            for job in state.jobs.values()
            if job.state is JobState.PENDING
        )
        if counts == self.stored_counts and state.now_ms < self.next_confirm_ms:
            return None
        self.stored_counts = counts
        self.next_confirm_ms = state.now_ms + state.policy.status_confirm_ms
        return WaitingCounts(state.utc_ms, dict(counts))

    def log_load(self) -> None:
        """Log the workers' load and the jobs with unplaced tasks once per period.

        ``paused`` counts all listed workers that get no new runs, also draining ones.
        ``refused_workers`` counts by reason the workers at which best-effort tasks were
        not placed since the last line.
        """
        state = self.state
        if state.now_ms < self.next_load_log_ms:
            return
        self.next_load_log_ms = state.now_ms + LOAD_LOG_PERIOD_MS
        listed = [worker for worker in state.workers.values() if worker.listed]
        waiting = Counter(job.spec.queue for job in state.unplaced)
        serving = [
            run
            for worker in listed
            if worker.serving_runs
            for run in worker.runs.values()
            if run.task.spec.target_ms
        ]
        over_target = sum(run.measurement > run.task.spec.target_ms for run in serving)
        refused = dict(state.refused_workers)
        state.refused_workers.clear()
        state.log(
            "load",
            workers=len(listed),
            paused=sum(not worker.is_usable(state.now_ms) for worker in listed),
            serving_workers=sum(worker.serving_runs > 0 for worker in listed),
            capacity_cpu=sum(item.listing.capacity.cpu_millis for item in listed),
            reserved_cpu=sum(item.reserved.cpu_millis for item in listed),
            filling_cpu=sum(item.best_effort_cpu for item in listed),
            runs=sum(len(item.runs) for item in listed),
            serving_runs=len(serving),
            over_target_runs=over_target,
            refused_workers=refused,
            jobs_waiting=dict(waiting),
        )
