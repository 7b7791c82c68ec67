"""Jobs of steps, their tasks, and the queues that they come through.

Instants are milliseconds on the daemon's steady clock unless a name says ``utc``.
"""

import enum

from attrs import Factory, define, frozen

from poplarlb.state.models import Resources


class JobState(enum.StrEnum):
    """Where a job stands, as its submitter sees it."""

    PENDING = "pending"
    ACTIVE = "active"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset((JobState.DONE, JobState.FAILED, JobState.CANCELLED))


class TaskStatus(enum.IntEnum):
    """Where a task stands, as the store records it."""

    WAITING = 0
    PLACED = 1
    DONE = 2


class RunEnd(enum.StrEnum):
    """How a worker says that a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@frozen
class StepSpec:
    """One step of a job: tasks that are alike.

    ``after`` lists earlier steps that must be done first. ``fills`` means that the
    tasks take only processor time that others leave. ``target_ms`` is the tail latency
    that a serving task must stay below; 0 for none.
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
        """Return what a task takes of a worker's room."""
        if not self.fills:
            return self.size
        return Resources(0, self.size.memory_mb, self.size.accelerators)


@frozen
class JobSpec:
    """A job as it was accepted.

    ``times`` of 0 runs the steps once; otherwise occurrence K is due at
    ``first_utc_ms + K * interval_ms``.
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


@frozen
class QueueConfig:
    """A queue as the operator configured it; priority 0 comes first."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    needs_advice: bool = False


@frozen
class ServiceConfig:
    """A pool of workers; a spare pool's machines are off."""

    name: str
    spare: bool = False


@frozen
class RequestLimits:
    """The operator's limits on callers' requests."""

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

    def queue(self, name: str) -> QueueConfig | None:
        """Return a queue by its name."""
        return next((item for item in self.queues if item.name == name), None)

    def find_queue(self, host: str, path: str) -> QueueConfig | None:
        """Return the queue with the longest prefix that the path begins with."""
        matching = (
            item
            for item in self.queues
            if item.host == host and path.startswith(item.prefix)
        )
        return max(matching, key=lambda item: len(item.prefix), default=None)


@define(eq=False, slots=True)
class Task:
    """One task of one occurrence of a job.

    ``run`` is the highest number that any of its runs had; ``failed_runs`` are those
    that ended failed. ``worker_id`` and ``life`` say where a placed task is, the life
    being the worker's start (UTC ms).
    """

    job: "Job"
    occurrence: int
    step: int
    index: int
    status: TaskStatus = TaskStatus.WAITING
    run: int = 0
    failed_runs: tuple[int, ...] = ()
    saved: str = ""
    worker_id: str = ""
    life: int = 0
    held: int = 0
    waits_from_ms: int = 0  # since when no room has been found; 0: not in vain

    @property
    def name(self) -> str:
        """Return the name that workers know the task by."""
        job_id = self.job.spec.job_id
        return f"{job_id}.{self.occurrence}.{self.step}.{self.index}"

    @property
    def step_key(self) -> tuple[str, int, int]:
        """Return what names the task's step: job, occurrence and step."""
        return self.job.spec.job_id, self.occurrence, self.step

    @property
    def spec(self) -> StepSpec:
        """Return the step that the task belongs to."""
        return self.job.spec.steps[self.step]


@define(eq=False, slots=True)
class Occurrence:
    """One pass through a job's steps."""

    number: int
    steps: list[list[Task]]
    undone: list[int]  # tasks of each step that haven't ended done

    @property
    def done(self) -> bool:
        """Tell whether every task has ended done."""
        return not any(self.undone)

    def is_ready(self, step: int, spec: StepSpec) -> bool:
        """Tell whether all steps before one are done."""
        return self.undone[step] > 0 and all(
            self.undone[earlier] == 0 for earlier in spec.after
        )


@define(eq=False, slots=True)
class Job:
    """A job and what has become of it."""

    spec: JobSpec
    state: JobState = JobState.PENDING
    reason: str = ""
    occurrences: dict[int, Occurrence] = Factory(dict)
    next_occurrence: int = 0
    final_utc_ms: int = 0
    stored: bool = False  # a record of it is in the store
    trail: list[str] = Factory(list)  # what this owner decided, for the log

    @property
    def final(self) -> bool:
        """Tell whether the job's state can't change any more."""
        return self.state in FINAL_STATES

    @property
    def total_occurrences(self) -> int:
        """Return how often the steps run."""
        return max(self.spec.times, 1)

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

    def find_task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return a task by its numbers."""
        found = self.occurrences.get(occurrence)
        if found is None or step >= len(found.steps) or index >= len(found.steps[step]):
            return None
        return found.steps[step][index]

    def due_utc_ms(self, occurrence: int) -> int:
        """Return when an occurrence may begin; acceptance for a job without times."""
        if not self.spec.times:
            return self.spec.accepted_utc_ms
        return self.spec.first_utc_ms + occurrence * self.spec.interval_ms


def parse_task_name(name: str) -> tuple[str, int, int, int] | None:
    """Return job id, occurrence, step and index of a task's name, if it is one."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])


def chain_ms(job: Job) -> int:
    """Return the longest chain of the steps' estimated times."""
    ends: list[int] = []
    for step in job.spec.steps:
        begin = max((ends[earlier] for earlier in step.after), default=0)
        ends.append(begin + step.estimate_ms)
    return max(ends, default=0)
