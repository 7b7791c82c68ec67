"""Finds starved jobs: nothing of them runs, though a task's turn has come."""

from attrs import Factory, define

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.state.jobs import Job, Task, TaskStatus

CHECK_PERIOD_MS = 500
LOG_PERIOD_MS = 2_000
LOGGED_JOBS = 2  # in each period, those that have starved longest
LOGGED_FROM_MS = 3_000  # without a run


@define(eq=False)
class StarvedJobs:
    """Knows since when nothing runs of each job that waits.

    :ivar since_ms: by job, when that was first seen.
    """

    state: DispatcherState
    since_ms: dict[Job, int] = Factory(dict)
    next_check_ms: int = 0
    next_log_ms: int = 0

    def update(self) -> None:
        """Look once per period for jobs of which nothing runs."""
        now_ms = self.state.now_ms
        if now_ms < self.next_check_ms:
            return
        self.next_check_ms = now_ms + CHECK_PERIOD_MS
        self.since_ms = {
            job: self.since_ms.get(job, now_ms)
            for job in self.state.unplaced
            if next(job.reserved_runs(), None) is None and list_ready(job)
        }

    def due_for_log(self) -> list[Job]:
        """Return once per period the jobs that have starved longest."""
        now_ms = self.state.now_ms
        if now_ms < self.next_log_ms:
            return []
        self.next_log_ms = now_ms + LOG_PERIOD_MS
        long_starved = [
            job
            for job, since_ms in self.since_ms.items()
            if now_ms - since_ms >= LOGGED_FROM_MS and not job.final
        ]
        return sorted(long_starved, key=self.since_ms.get)[:LOGGED_JOBS]


def list_ready(job: Job) -> list[Task]:
    """Return the waiting tasks of the first step of a job whose turn has come."""
    for occurrence in job.occurrences.values():
        for step, spec in enumerate(job.spec.steps):
            if occurrence.is_ready(step, spec):
                tasks = occurrence.steps[step]
                return [task for task in tasks if task.status is TaskStatus.WAITING]
    return []
