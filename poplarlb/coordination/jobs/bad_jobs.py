"""Finds the job that an unexpected error is about, and counts such errors by job.

An error in the dispatcher ends the ownership. If what caused it is in the store, the
next owner meets it again, and so on. The errors are therefore counted by job, and a job
with several of them is set aside: it fails, and the others get on.
"""

from collections import Counter
from collections.abc import Iterator
from types import FrameType, TracebackType

import orjson

from poplarlb.coordination.jobs import events
from poplarlb.coordination.jobs.fleet import Run
from poplarlb.exceptions import BadAnswerError
from poplarlb.state.job_records import UNREADABLE_ERRORS
from poplarlb.state.jobs import Job, JobSpec, Task, parse_task_name

MAX_ERRORS = 2  # a job with so many is set aside
EVENTS = (  # those about one job
    events.JobStored,
    events.CancelStored,
    events.StartAnswered,
    events.StopAnswered,
    events.ThrottleAnswered,
    events.AdviceAnswered,
)


def find_job_id(error: BaseException) -> str:
    """Return the id of the job that was being handled; empty if that isn't known.

    The innermost function counts that was called with a job, or with a part of one;
    without any the innermost one that has one in a variable. An event counts only as a
    variable: decisions about all jobs are made by functions that are called with it.
    """
    frames = list(_frames(error.__traceback__))[::-1]
    for names, ignored in ((_argument_names, EVENTS), (_variable_names, ())):
        for frame in frames:
            for name in names(frame):
                value = frame.f_locals.get(name)
                job_id = "" if isinstance(value, ignored) else _job_id_of(value)
                if job_id:
                    return job_id
    return ""


def _frames(traceback: TracebackType | None) -> Iterator[FrameType]:
    while traceback is not None:
        yield traceback.tb_frame
        traceback = traceback.tb_next


def _argument_names(frame: FrameType) -> tuple[str, ...]:
    return frame.f_code.co_varnames[: frame.f_code.co_argcount]


def _variable_names(frame: FrameType) -> tuple[str, ...]:
    return tuple(frame.f_locals)


def _job_id_of(value: object) -> str:
    match value:
        case Run(task=task):
            return task.job.spec.job_id
        case Task(job=job):
            return job.spec.job_id
        case Job(spec=spec) | events.JobStored(spec=spec):
            return spec.job_id
        case JobSpec(job_id=job_id) | events.CancelStored(job_id=job_id):
            return job_id
        case events.AdviceAnswered(step=step) | events.AskAdvice(step=step):
            return step[0]
        case (
            events.RunningRow(task=name)
            | events.EndedRow(task=name)
            | events.StartRun(task=name)
            | events.StopRun(task=name)
            | events.ThrottleRun(task=name)
            | events.StartAnswered(task=name)
            | events.StopAnswered(task=name)
            | events.ThrottleAnswered(task=name)
        ):
            parsed = parse_task_name(name)
            return parsed[0] if parsed else ""
    return ""


def encode_errors(errors: Counter[str]) -> bytes:
    """Return the record of the numbers of errors by job."""
    return orjson.dumps(dict(errors))


def decode_errors(value: bytes) -> Counter[str]:
    """Return the numbers of errors by job from their record.

    :raises BadAnswerError: the record is malformed.
    """
    try:
        rows = orjson.loads(value).items()
        return Counter({str(job_id): int(count) for job_id, count in rows})
    except UNREADABLE_ERRORS as error:
        raise BadAnswerError(f"record of errors by job: {error}") from error
