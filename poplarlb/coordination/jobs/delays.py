"""Divides the time that a job took by what it was spent on, for the log of its end.

Of each step only the task that ended last counts, as the next step waited for it.
"""

from collections import Counter
from itertools import chain

from poplarlb.state.jobs import Job, Occurrence, StepSpec, Task

EXPECTED = "expected"  # run time as estimated
ROOM = "waited_for_room"
BEST_EFFORT_ROOM = "waited_for_best_effort_room"
REPEATS = "repeated_runs"  # from the first placement to that of the last run
THROTTLED = "throttled"  # run time lost to throttles
SLOW = "slow_run"  # run time beyond the estimate, without that lost to throttles
EARLIER_OWNER = "before_this_owner"
OTHER = "other"  # the time until the owner read the job, and of its last commit


def divide_duration(
    job: Job, took_ms: int, now_ms: int, owned_since_ms: int
) -> dict[str, int]:
    """Return by cause how long a job took; empty for repeated or long-running jobs.

    :param took_ms: from the job's acceptance until now.
    :param owned_since_ms: when the present owner took over; it knows no earlier events.
    """
    if job.spec.times or any(step.long_running for step in job.spec.steps):
        return {}
    occurrence = job.occurrences.get(0)
    if occurrence is None:
        return {}
    accepted_ms = now_ms - took_ms
    begin_ms = max(accepted_ms, owned_since_ms)
    spent = Counter({EARLIER_OWNER: begin_ms - accepted_ms})
    last = _last_task(chain.from_iterable(occurrence.steps))
    while last is not None and last.done_ms:
        before = _last_task(_tasks_before(occurrence, last.spec))
        ready_ms = max(before.done_ms if before else 0, begin_ms)
        spent += _divide_task(last, ready_ms)
        last = before
    spent[OTHER] = max(took_ms - spent.total(), 0)
    return {cause: int(ms) for cause, ms in spent.items() if ms >= 1}


def _tasks_before(occurrence: Occurrence, spec: StepSpec) -> chain[Task]:
    return chain.from_iterable(occurrence.steps[step] for step in spec.after)


def _last_task(tasks: chain[Task]) -> Task | None:
    return max(tasks, key=lambda task: task.done_ms, default=None)


def _divide_task(task: Task, ready_ms: int) -> Counter[str]:
    """Return by cause the time from when a task could start until it was done."""
    first_ms = max(task.first_placed_ms, ready_ms)
    placed_ms = max(task.placed_ms, first_ms)
    ran_ms = max(task.done_ms - placed_ms, 0)
    expected_ms = min(ran_ms, task.spec.estimate_ms)
    throttled_ms = min(ran_ms - expected_ms, task.throttled_ms)
    return Counter(
        {
            BEST_EFFORT_ROOM if task.spec.fills else ROOM: first_ms - ready_ms,
            REPEATS: placed_ms - first_ms,
            EXPECTED: expected_ms,
            THROTTLED: throttled_ms,
            SLOW: ran_ms - expected_ms - throttled_ms,
        }
    )
