"""Jobs, their steps and tasks, and the operator's configuration of queues.

A job here is made of steps with many tasks each; a batch job of
:mod:`poplarlb.state.models` is a single task.

Timestamps are milliseconds on the daemon's monotonic clock unless a name says ``utc``.
"""

import enum
import re
from collections.abc import Iterator, Sequence
from functools import cached_property
from itertools import chain

import attrs
from attrs import Factory, define, frozen

from poplarlb.state.models import Resources

# Of one job. Further occurrences that are due are opened as earlier ones are done.
MAX_OPEN_OCCURRENCES = 256
MAX_OPEN_TASKS = 4_096
TASK_NUMBER = re.compile(r"[0-9]{1,9}")


class JobState(enum.StrEnum):
    """The state of a job, as its submitter sees it."""

    PENDING = "pending"
    ACTIVE = "active"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset((JobState.DONE, JobState.FAILED, JobState.CANCELLED))


class TaskStatus(enum.IntEnum):
    """The status of a task, as the store records it."""

    WAITING = 0
    PLACED = 1
    DONE = 2


class RunEnd(enum.StrEnum):
    """How a run ended, as its worker reports it.

    ``DONE`` completes the task unless it is long-running. After any other end the task
    is requeued; only ``FAILED`` counts as a failed attempt. ``BROKEN`` and ``ALONE``
    are ends that the platform names.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@frozen
class StepSpec:
    """One step of a job: ``count`` identical tasks, each of ``size``.

    ``after`` lists the numbers of the earlier steps that must be done first.
    ``estimate_ms`` is the expected run time of a task. ``checkpoints`` marks tasks that
    resume from checkpoints, and ``gang`` tasks that run together or not at all, with
    ``same_rack`` in one rack. ``fills`` marks best-effort tasks, which use only
    processor time that other tasks leave idle. ``target_ms`` is the SLO target of a
    serving task, the tail latency it must stay below; 0 for none. ``max_per_worker`` 0
    is no limit. ``speculative`` and ``may_miss`` are stored, but not used.
    """

    count: int
    size: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def reserved(self) -> Resources:
        """Return the resources that a task's run reserves at its worker."""
        if not self.fills:
            return self.size
        return Resources(0, self.size.memory_mb, self.size.accelerators)


@frozen
class AdviceTimes:
    """What the advice service takes for a queue's steps, in ms; 0: not known.

    A request takes ``decide_ms`` plus ``each_ms`` for each worker. A ticket is valid
    for ``valid_ms``.
    """

    decide_ms: int = 0
    each_ms: int = 0
    valid_ms: int = 0


@frozen
class QueueConfig:
    """A queue as the operator configured it; priority 0 is the highest.

    A job's objective, the time within which it should be done, is its critical path
    times ``critical_path_factor``, plus ``objective_ms``. ``host`` and ``prefix`` are
    the host and the start of the path that submitters call. ``service`` names the pool
    of workers that run its jobs. With ``needs_advice`` the advice service must permit
    each start, and takes the times in ``advice``. ``max_attempts`` is how many runs of
    a task may fail; 0: not known, as the queue isn't configured. ``fault`` says which
    of the limits can't be read and has its default; empty for none. Such a queue
    accepts no jobs.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    critical_path_factor: float = 1.0
    objective_ms: int = 0
    needs_advice: bool = False
    fault: str = ""
    advice: AdviceTimes = AdviceTimes()

    @property
    def limits(self) -> "QueueConfig":
        """The queue without the host and prefix by which requests are matched."""
        return attrs.evolve(self, host="", prefix="")


@frozen
class JobSpec:
    """A job as it was accepted.

    With ``times`` 0 the steps run once; otherwise ``times`` occurrences run, and
    occurrence K is due at ``first_utc_ms + K * interval_ms``. ``accepted_by`` holds
    the limits of its queue at that time; None in records of earlier versions.
    """

    job_id: str
    queue: str
    service: str
    accepted_utc_ms: int
    payload: str
    steps: tuple[StepSpec, ...]
    times: int = 0
    first_utc_ms: int = 0
    interval_ms: int = 0
    accepted_by: QueueConfig | None = None


@frozen
class ServiceConfig:
    """A service: a pool of workers, which run the jobs of the queues that name it.

    The machines of a spare service are switched off.
    """

    name: str
    spare: bool = False


@frozen
class RequestLimits:
    """The operator's limits on callers' requests; those in ms are timeouts.

    ``header_ms`` is for a request's header, ``idle_ms`` for a connection without one.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_ms: int = 3_000
    idle_ms: int = 15_000


@frozen
class OperatorConfig:
    """One version of the operator's configuration."""

    version: int
    queues: tuple[QueueConfig, ...] = ()
    services: tuple[ServiceConfig, ...] = ()
    limits: RequestLimits = RequestLimits()

    @cached_property
    def queues_by_name(self) -> dict[str, QueueConfig]:
        """The queues by name; of several with one name, the first."""
        return {item.name: item for item in reversed(self.queues)}

    @cached_property
    def queues_by_host(self) -> dict[str, tuple[QueueConfig, ...]]:
        """Each host's queues, those with the longest path prefix first."""
        by_host: dict[str, list[QueueConfig]] = {}
        for item in self.queues:
            by_host.setdefault(item.host, []).append(item)
        return {
            host: tuple(sorted(queues, key=lambda item: -len(item.prefix)))
            for host, queues in by_host.items()
        }

    def queue(self, name: str) -> QueueConfig | None:
        """Return the queue with this name, or None."""
        return self.queues_by_name.get(name)

    def find_queue(self, host: str, path: str) -> QueueConfig | None:
        """Return the host's queue with the longest matching path prefix, or None."""
        queues = self.queues_by_host.get(host, ())
        return next((item for item in queues if path.startswith(item.prefix)), None)


@frozen
class ConfigStamp:
    """The configuration by which a daemon decided; logged with each decision.

    ``version`` is 0 without a configuration, ``revision`` the store's revision of its
    last change. ``age_ms`` is the time since the store last confirmed that no change
    is missing; ``is_current`` tells whether requests may be answered by it.
    """

    version: int
    revision: int
    age_ms: int
    is_current: bool

    def log_fields(self) -> dict[str, int]:
        """Return the fields of a log line."""
        return {
            "config_version": self.version,
            "config_revision": self.revision,
            "view_age_ms": self.age_ms,
        }


@frozen
class CrashedRun:
    """A run under which its worker crashed or was lost.

    ``sudden``: as soon as the run had begun. ``certain``: suddenly, and the worker was
    not only out of reach.
    """

    number: int
    sudden: bool = False
    certain: bool = False


@define(eq=False, slots=True)
class Task:
    """One task of one occurrence of a job.

    ``run`` is the number of its latest run, the highest so far; 0: none.
    ``failed_runs`` are the numbers of those that failed. ``checkpoint`` is its latest
    one. ``worker_id`` and ``incarnation`` name the worker of a placed task and that
    worker's incarnation, its start time (UTC ms). ``reserved_runs`` are its runs
    that hold a reservation, as the owner of the jobs tracks them. ``starting``: as its
    record was stored, the start of its run may have been yet to be sent or answered.

    ``crashed_runs`` are the runs under which their worker crashed. ``isolated_run`` is
    the number of the run that no other one at its worker disturbs; 0: none.
    ``isolated_begun`` tells that its worker confirmed the start. A ``suspected`` task
    may have crashed its last worker by being started there.

    ``first_placed_ms``, ``placed_ms`` (of the latest run), ``done_ms`` and
    ``throttled_ms`` (how much run time its throttles have cost) are for the log; 0 if
    the present owner of the jobs hasn't seen the event. ``stalled_runs`` counts the
    runs that this owner stopped for want of progress.
    """

    job: "Job"
    occurrence: int
    step: int
    index: int
    status: TaskStatus = TaskStatus.WAITING
    run: int = 0
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    worker_id: str = ""
    incarnation: int = 0
    reserved_runs: tuple = ()
    starting: bool = False
    waiting_since_ms: int = 0  # since when no worker had free capacity for it; 0: none
    crashed_runs: tuple[CrashedRun, ...] = ()
    isolated_run: int = 0
    isolated_begun: bool = False
    suspected: bool = False
    first_placed_ms: int = 0
    placed_ms: int = 0
    done_ms: int = 0
    throttled_ms: float = 0.0
    stalled_runs: int = 0

    @property
    def name(self) -> str:
        """Return the task's name at workers."""
        job_id = self.job.spec.job_id
        return f"{job_id}.{self.occurrence}.{self.step}.{self.index}"

    @property
    def step_key(self) -> tuple[str, int, int]:
        """Return the key of the task's step: job id, occurrence and step."""
        return self.job.spec.job_id, self.occurrence, self.step

    @property
    def spec(self) -> StepSpec:
        """Return the step that the task belongs to."""
        return self.job.spec.steps[self.step]


@define(eq=False, slots=True)
class Occurrence:
    """One execution of a job's steps."""

    number: int
    steps: list[list[Task]]
    unfinished: list[int]  # number of tasks of each step that aren't done

    @property
    def done(self) -> bool:
        """Return whether every task is done."""
        return not any(self.unfinished)

    def is_ready(self, step: int, spec: StepSpec) -> bool:
        """Return whether a step has unfinished tasks, and each in ``after`` is done."""
        return self.unfinished[step] > 0 and all(
            self.unfinished[earlier] == 0 for earlier in spec.after
        )


@define(eq=False, slots=True)
class Job:
    """A job and its progress.

    ``next_occurrence`` is the number of the next occurrence to be created. Of a job
    with ``times``, earlier ones that aren't in ``occurrences`` are done.
    ``last_queue`` holds the last limits of its queue if it isn't configured any more;
    None: as at acceptance. ``failing_workers`` are those at which one of its tasks has
    failed since one was last done, as this owner has seen.
    """

    spec: JobSpec
    state: JobState = JobState.PENDING
    reason: str = ""
    occurrences: dict[int, Occurrence] = Factory(dict)
    next_occurrence: int = 0
    final_utc_ms: int = 0
    stored: bool = False  # its progress record is in the store or in a commit
    critical_path_ms: int = 0  # the estimated time of the steps' critical path
    trail: list[str] = Factory(list)  # this owner's decisions on the job, for the log
    crashed_tasks: list[Task] = Factory(list)  # that have or had ``crashed_runs``
    last_queue: QueueConfig | None = None
    failing_workers: set[str] = Factory(set)

    def __attrs_post_init__(self) -> None:
        """Compute the critical path, which never changes."""
        self.critical_path_ms = sum_critical_path(self.spec.steps)

    @property
    def final(self) -> bool:
        """Return whether the job's state is final."""
        return self.state in FINAL_STATES

    @property
    def total_occurrences(self) -> int:
        """Return how many occurrences the job has."""
        return max(self.spec.times, 1)

    @property
    def may_open_occurrence(self) -> bool:
        """Return whether one more occurrence may be open; one always may."""
        if len(self.occurrences) >= MAX_OPEN_OCCURRENCES:
            return False
        added = sum(step.count for step in self.spec.steps)
        return not self.occurrences or self.unfinished_tasks + added <= MAX_OPEN_TASKS

    @property
    def unfinished_tasks(self) -> int:
        """Return the number of tasks that aren't done, in all open occurrences."""
        return sum(sum(item.unfinished) for item in self.occurrences.values())

    @property
    def known_queue(self) -> QueueConfig:
        """Return the queue as last known, for when it isn't configured."""
        spec = self.spec
        unknown = QueueConfig(spec.queue, "", "", spec.service, max_attempts=0)
        return self.last_queue or spec.accepted_by or unknown

    def open_occurrence(self, number: int) -> Occurrence:
        """Create the tasks of one occurrence."""
        steps = [
            [Task(self, number, step, index) for index in range(spec.count)]
            for step, spec in enumerate(self.spec.steps)
        ]
        occurrence = Occurrence(number, steps, [len(tasks) for tasks in steps])
        self.occurrences[number] = occurrence
        self.next_occurrence = max(self.next_occurrence, number + 1)
        return occurrence

    def reserved_runs(self) -> Iterator:
        """Yield the runs of all tasks that hold a reservation."""
        for occurrence in self.occurrences.values():
            for task in chain.from_iterable(occurrence.steps):
                yield from task.reserved_runs

    def find_task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return a task by its numbers, or None."""
        found = self.occurrences.get(occurrence)
        if found is None or step >= len(found.steps) or index >= len(found.steps[step]):
            return None
        return found.steps[step][index]

    def due_utc_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start.

        The only occurrence of a job without ``times`` may start at acceptance.
        """
        if not self.spec.times:
            return self.spec.accepted_utc_ms
        return self.spec.first_utc_ms + occurrence * self.spec.interval_ms


def parse_task_name(name: str) -> tuple[str, int, int, int] | None:
    """Return the job id, occurrence, step and index in a task's name.

    Returns None if the text is not a task's name.
    """
    parts = name.split(".")
    if len(parts) != 4 or not all(TASK_NUMBER.fullmatch(part) for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])


def sum_critical_path(
    steps: tuple[StepSpec, ...], unfinished: Sequence[int] | None = None
) -> int:
    """Return the estimated time in ms of the critical path through a job's steps.

    :param unfinished: the number of unfinished tasks of each step; steps without any
        take no time. None: no step is finished.
    """
    ends: list[int] = []
    for number, step in enumerate(steps):
        start = max((ends[earlier] for earlier in step.after), default=0)
        is_open = unfinished is None or unfinished[number] > 0
        ends.append(start + (step.estimate_ms if is_open else 0))
    return max(ends, default=0)
