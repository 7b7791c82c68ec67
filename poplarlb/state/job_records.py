"""Encodes and decodes the store's records of jobs.

A job has two records: the accepted job, which never changes, and the progress record,
which the owner rewrites with every change. Steps are stored without the fields that
have their default value. The owner also stores the counts of waiting jobs and how long
the leases of unresponsive workers last.
"""

from collections.abc import Collection

import attrs
import orjson
from attrs import frozen

from poplarlb.exceptions import BadAnswerError
from poplarlb.state.jobs import (
    CrashedRun,
    Job,
    JobSpec,
    JobState,
    Occurrence,
    QueueConfig,
    StepSpec,
    Task,
    TaskStatus,
)
from poplarlb.state.models import Resources

QUEUE_LIMITS = (
    "priority",
    "max_attempts",
    "critical_path_factor",
    "objective_ms",
    "needs_advice",
)
# A task's row in the progress record is one of these or a list.
NEVER_RUN = 0  # the task waits and has had no run
DONE = 2  # the task is done
# Raised by reading a record that isn't in the format.
UNREADABLE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,  # by writing out a deeply nested value
    TypeError,
    ValueError,
)


@frozen
class WaitingCounts:
    """Numbers of jobs that haven't started, by queue, as counted at ``utc_ms``."""

    utc_ms: int
    queues: dict[str, int]


def encode_waiting_counts(counts: WaitingCounts) -> bytes:
    """Return the record of the counts of waiting jobs."""
    return orjson.dumps(attrs.asdict(counts))


def decode_waiting_counts(value: bytes) -> WaitingCounts:
    """Return the counts of waiting jobs from their record.

    :raises BadAnswerError: the record is not in this format.
    """
    try:
        row = orjson.loads(value)
        queues = {str(queue): int(count) for queue, count in row["queues"].items()}
        return WaitingCounts(int(row["utc_ms"]), queues)
    except UNREADABLE_ERRORS as error:
        raise BadAnswerError(f"record of waiting jobs: {error}") from error


@frozen
class LeaseRemainder:
    """How much longer runs may continue at an unresponsive worker."""

    worker_id: str
    remaining_ms: int


def encode_lease_remainders(lease_remainders: tuple[LeaseRemainder, ...]) -> bytes:
    """Return the record of the lease remainders of unresponsive workers."""
    return orjson.dumps(
        {remainder.worker_id: remainder.remaining_ms for remainder in lease_remainders}
    )


def decode_lease_remainders(value: bytes) -> tuple[LeaseRemainder, ...]:
    """Return the lease remainders of unresponsive workers from their record.

    :raises BadAnswerError: the record is not in this format.
    """
    try:
        rows = orjson.loads(value).items()
        return tuple(
            LeaseRemainder(worker_id, int(remaining_ms))
            for worker_id, remaining_ms in rows
        )
    except UNREADABLE_ERRORS as error:
        raise BadAnswerError(f"record of unresponsive workers: {error}") from error


@frozen
class LateCall:
    """How much longer a start of a run that got no answer may be carried out.

    Less than 0: it can't any more, but the run may be alive by its lease. ``answered``:
    the start was answered by another incarnation than the owner knew. Without a task:
    any call that was meant for an earlier incarnation of the worker.
    """

    worker_id: str
    task: str
    run: int
    remaining_ms: int
    answered: bool = False


def encode_late_calls(late_calls: tuple[LateCall, ...]) -> bytes:
    """Return the record of the calls that may be carried out late.

    Rows of starts that weren't answered are in the format of earlier versions.
    """
    rows = (
        attrs.astuple(item) if item.answered else attrs.astuple(item)[:-1]
        for item in late_calls
    )
    return orjson.dumps(list(rows))


def decode_late_calls(value: bytes) -> tuple[LateCall, ...]:
    """Return the calls that may be carried out late from their record.

    :raises BadAnswerError: the record is not in this format.
    """
    try:
        return tuple(
            LateCall(
                str(worker_id), str(task), int(run), int(remaining_ms), any(answered)
            )
            for worker_id, task, run, remaining_ms, *answered in orjson.loads(value)
        )
    except UNREADABLE_ERRORS as error:
        raise BadAnswerError(f"record of late calls: {error}") from error


def encode_job(spec: JobSpec) -> bytes:
    """Return the record of an accepted job."""
    row = attrs.asdict(spec, recurse=False)
    row["steps"] = [encode_step(step) for step in spec.steps]
    row["accepted_by"] = encode_queue(spec.accepted_by)
    return orjson.dumps(row)


def encode_queue(queue: QueueConfig | None) -> dict | None:
    """Return a queue's limits that differ from their defaults, and its service."""
    if queue is None:
        return None
    limits = {
        field.name: getattr(queue, field.name)
        for field in attrs.fields(QueueConfig)
        if field.name in QUEUE_LIMITS and getattr(queue, field.name) != field.default
    }
    return {"service": queue.service, **limits}


def decode_queue(name: str, row: dict | None) -> QueueConfig | None:
    """Return a queue by its limits; no request is matched by it."""
    return None if row is None else QueueConfig(name, "", "", **row)


def encode_step(step: StepSpec) -> dict:
    """Return a step's fields that differ from their defaults."""
    row = {
        field.name: getattr(step, field.name)
        for field in attrs.fields(StepSpec)
        if getattr(step, field.name) != field.default
    }
    row["size"] = attrs.astuple(step.size)
    return row


def decode_job(value: bytes) -> JobSpec:
    """Return an accepted job from its record.

    :raises BadAnswerError: the record is not in this format.
    """
    try:
        row = orjson.loads(value)
        steps = tuple(decode_step(step) for step in row.pop("steps"))
        accepted_by = decode_queue(row["queue"], row.pop("accepted_by", None))
        return JobSpec(steps=steps, accepted_by=accepted_by, **row)
    except UNREADABLE_ERRORS as error:
        raise BadAnswerError(f"record of an accepted job: {error}") from error


def decode_step(row: dict) -> StepSpec:
    """Return a step from its fields."""
    size = Resources(*row.pop("size"))
    after = tuple(row.pop("after", ()))
    return StepSpec(size=size, after=after, **row)


def encode_progress(
    job: Job, left_out: Collection[Task] = (), starting: Collection[Task] = ()
) -> bytes:
    """Return the progress record of a job.

    :param left_out: the tasks that are stored without their checkpoints.
    :param starting: the placed tasks whose start may be yet to be sent or answered.
    """
    row = {"state": job.state, "reason": job.reason, "next": job.next_occurrence}
    if job.final:
        row["final_utc_ms"] = job.final_utc_ms
    if job.last_queue is not None:
        row["queue"] = encode_queue(job.last_queue)
    if job.state is not JobState.DONE:
        row["occurrences"] = {
            str(number): encode_occurrence(occurrence, left_out)
            for number, occurrence in job.occurrences.items()
        }
        if starting:
            row["starting"] = [
                (task.occurrence, task.step, task.index) for task in starting
            ]
        if job.crashed_tasks:
            row["crashes"] = [encode_crashes(task) for task in job.crashed_tasks]
    return orjson.dumps(row)


def choose_left_out(job: Job, excess_bytes: int) -> set[Task]:
    """Return the tasks whose checkpoints are left out to shorten a progress record.

    The largest go first, those of a gang together, as they must be equal.
    """
    groups: list[list[Task]] = []
    for occurrence in job.occurrences.values():
        for tasks, spec in zip(occurrence.steps, job.spec.steps, strict=True):
            groups += [tasks] if spec.gang else [[task] for task in tasks]
    sizes = [
        sum(len(orjson.dumps(task.checkpoint)) for task in group) for group in groups
    ]
    chosen: set[Task] = set()
    for size, group in sorted(zip(sizes, groups, strict=True), key=lambda row: -row[0]):
        if excess_bytes <= 0:
            break
        chosen.update(group)
        excess_bytes -= size - len(group) * len(orjson.dumps(""))
    return chosen


def encode_occurrence(
    occurrence: Occurrence, left_out: Collection[Task] = ()
) -> list | None:
    """Return the rows of each step's tasks, or None if every task is done."""
    if occurrence.done:
        return None
    return [
        [encode_task(task, task not in left_out) for task in tasks]
        for tasks in occurrence.steps
    ]


def encode_task(task: Task, with_checkpoint: bool = True) -> int | list:
    """Return one task's row."""
    if task.status is TaskStatus.DONE:
        return DONE
    if task.status is TaskStatus.WAITING and not task.run:
        return NEVER_RUN
    return [
        int(task.status),
        task.run,
        task.failed_runs,
        task.checkpoint if with_checkpoint else "",
        task.worker_id,
        task.incarnation,
    ]


def encode_crashes(task: Task) -> list:
    """Return the row of the runs of one task under which their worker crashed."""
    runs = [attrs.astuple(run) for run in task.crashed_runs]
    isolated = [task.isolated_run, task.isolated_begun]
    return [task.occurrence, task.step, task.index, runs, *isolated]


def restore_crashes(job: Job, row: list) -> None:
    """Set what :func:`encode_crashes` stored of one task; a done task is left out."""
    occurrence, step, index, runs, isolated_run, isolated_begun = row[:6]
    task = job.find_task(occurrence, step, index)
    if task is not None and task.status is not TaskStatus.DONE:
        task.crashed_runs = tuple(CrashedRun(*run[:3]) for run in runs)
        task.isolated_run, task.isolated_begun = isolated_run, isolated_begun
        job.crashed_tasks.append(task)


def decode_job_state(value: bytes) -> JobState:
    """Return only the job's state from a progress record.

    :raises BadAnswerError: the record is not in this format.
    """
    try:
        return JobState(orjson.loads(value)["state"])
    except UNREADABLE_ERRORS as error:
        raise BadAnswerError(f"progress record: {error}") from error


def restore_progress(job: Job, value: bytes) -> None:
    """Restore a job's state and occurrences from its progress record.

    :raises BadAnswerError: the record is not in this format; all of it but its starts
        and crashes has been restored if only these aren't.
    """
    try:
        row = orjson.loads(value)
        job.state = JobState(row["state"])
        job.reason = row["reason"]
        job.final_utc_ms = row.get("final_utc_ms", 0)
        for number, steps in row.get("occurrences", {}).items():
            if steps is None and job.spec.times:
                continue  # it is done
            occurrence = job.open_occurrence(int(number))
            restore_occurrence(occurrence, steps)
        job.next_occurrence = row["next"]
        job.last_queue = decode_queue(job.spec.queue, row.get("queue"))
    except UNREADABLE_ERRORS as error:
        raise BadAnswerError(f"progress record: {error}") from error
    job.stored = True
    try:
        for numbers in row.get("starting", ()):
            restore_starting(job, numbers)
        for crashes in row.get("crashes", ()):
            restore_crashes(job, crashes)
    except UNREADABLE_ERRORS as error:
        raise BadAnswerError(
            f"starts or crashes in a progress record: {error}"
        ) from error


def restore_starting(job: Job, numbers: list[int]) -> None:
    """Note that the start of a task's run may be yet to be sent or answered."""
    occurrence, step, index = numbers
    task = job.find_task(occurrence, step, index)
    if task is not None:
        task.starting = True


def restore_occurrence(occurrence: Occurrence, steps: list | None) -> None:
    """Set the tasks of one occurrence from their rows; None: every task is done."""
    for number, tasks in enumerate(occurrence.steps):
        for task in tasks:
            row = DONE if steps is None else steps[number][task.index]
            restore_task(task, row)
        occurrence.unfinished[number] = sum(
            task.status is not TaskStatus.DONE for task in tasks
        )


def restore_task(task: Task, row: int | list) -> None:
    """Set one task from its row."""
    if row == DONE:
        task.status = TaskStatus.DONE
    elif isinstance(row, list):
        (
            status,
            task.run,
            failed_runs,
            task.checkpoint,
            task.worker_id,
            task.incarnation,
        ) = row
        task.status = TaskStatus(status)
        task.failed_runs = tuple(failed_runs)
