"""Tells runs that get on slowly from runs that stand still.

A worker lists a run's progress in whole percents, so a long task shows none for a long
time. A run gets on if its percentage or its checkpoint changes. How long it may show
neither follows from how long its own percents took; until that is known, from the
task's estimate. The processor time in use says nothing about it: a run that waits for
itself may use it all.
"""

from poplarlb.coordination.jobs.events import RunningRow
from poplarlb.coordination.jobs.fleet import Run, WorkerState
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state.jobs import TaskStatus

FULL_PERCENT = 100
MAX_DOUBLINGS = 8  # of the time without progress, after runs that were stopped for it
# Another run of the step is compared if it has been without progress for at least this
# share of the stalled run's time.
MIN_QUIET_SHARE = 0.5


def note_progress(run: Run, row: RunningRow, now_ms: int) -> None:
    """Record what a worker's answer shows of a run's progress."""
    if row.percent != run.percent_done:
        gained = row.percent - run.percent_done
        # The run may have resumed within a percent, or been taken over within one, so
        # the first change isn't the end of a whole percent, and the second not either.
        if run.percent_changes > 1 and gained > 0:
            percent_ms = (now_ms - run.percent_changed_ms) / gained
            run.longest_percent_ms = max(run.longest_percent_ms, percent_ms)
        run.percent_done = row.percent
        run.percent_changes += 1
        run.percent_changed_ms = run.progress_ms = now_ms
    if row.checkpoint != run.listed_checkpoint:
        run.listed_checkpoint = row.checkpoint
        run.progress_ms = now_ms
    if run.throttle_percent < FULL_PERCENT:
        run.progress_ms = now_ms


def has_stalled(run: Run, worker: WorkerState, policy: JobPolicy) -> bool:
    """Return whether a run has been without progress for too long.

    Only what the worker has listed counts, not the time in which it didn't answer.
    """
    return worker.answered_ms - run.progress_ms > max_quiet_ms(run, policy)


def max_quiet_ms(run: Run, policy: JobPolicy) -> float:
    """Return how long a run may go on without progress.

    The estimate, and what the run has shown, may be wrong. So each run of the task that
    was stopped doubles the time for the next one.
    """
    if run.longest_percent_ms:
        expected_ms = policy.stall_percents * run.longest_percent_ms
    else:
        percent_ms = run.task.spec.estimate_ms / FULL_PERCENT
        expected_ms = policy.stall_estimated_percents * percent_ms
    doublings = min(run.task.stalled_runs, MAX_DOUBLINGS)
    return max(policy.stall_ms, expected_ms) * 2**doublings


def is_step_slow(run: Run, now_ms: int) -> bool:
    """Return whether a run's step gets on at none of two workers or more.

    The run's worker isn't the cause then. The members of a gang wait for each other, so
    they say nothing about it.
    """
    task = run.task
    if task.spec.gang:
        return False
    tasks = task.job.occurrences[task.occurrence].steps[task.step]
    if any(other.status is TaskStatus.DONE for other in tasks):
        return False
    runs = [other for task in tasks for other in task.reserved_runs]
    if any(other.percent_done for other in runs):
        return False
    quiet_ms = now_ms - run.progress_ms
    return any(
        other.worker_id != run.worker_id
        and now_ms - other.progress_ms > MIN_QUIET_SHARE * quiet_ms
        for other in runs
    )
