"""The input and output types of the placement policy."""

import typing

from attrs import Factory, define, frozen

from poplarlb.state.models import (
    Alternative,
    Reason,
    Resources,
    TaskKey,
    TaskSpec,
    Worker,
)


@frozen
class PlacedTask:
    """A task that holds a reservation at a worker.

    ``throttle_percent`` is the part of its reserved processor time that it may use, and
    ``progress_ms`` the run time completed so far, as the worker last reported them.
    """

    spec: TaskSpec
    attempt: int
    reserved: Resources
    placed_ms: int
    running: bool = False
    stopping: bool = False
    throttle_percent: int = 100
    progress_ms: int = 0
    evictions: int = 0


@frozen
class WorkerLoad:
    """A worker, its free capacity and the tasks that hold reservations on it.

    ``usable`` is false while no task may be started there, for example because the zone
    is out, the host leaves or the worker is unresponsive; ``block_reason`` then says
    why.
    """

    worker: Worker
    free: Resources
    tasks: tuple[PlacedTask, ...] = ()
    usable: bool = True
    block_reason: Reason | None = None


@frozen
class ChosenWorker:
    """The worker to place a task on, with its cost and the alternatives.

    The policy chooses the lowest cost.
    """

    worker_id: str
    cost: float
    alternatives: tuple[Alternative, ...] = ()


@frozen
class NotPlaced:
    """The result if no worker of this shard can take the task now, or no quota is left.

    ``never`` means that no worker could, even with all its capacity free.
    """

    reason: Reason
    never: bool = False
    alternatives: tuple[Alternative, ...] = ()


@frozen
class QueuedTask:
    """A task that waits for a worker at its home shard."""

    spec: TaskSpec
    queued_ms: int
    evictions: int = 0
    failures: int = 0


@frozen
class ThrottleRequested:
    """A request to limit a task's processor time in order to relieve a service."""

    worker_id: str
    key: TaskKey
    attempt: int
    percent: int
    reason: Reason
    detail: str = ""


@frozen
class EvictionRequested:
    """A request to checkpoint and stop a task.

    It relieves a service or frees capacity for a more urgent task.
    """

    worker_id: str
    key: TaskKey
    attempt: int
    reason: Reason
    detail: str = ""


Relief = ThrottleRequested | EvictionRequested


@frozen
class LoadDigest:
    """A summary of a worker's tasks for placement.

    ``replicas`` holds the tasks that serve requests, ``shares`` the fraction of the
    worker's processors that each kind of batch work may use.
    """

    tasks: tuple[PlacedTask, ...]
    replicas: tuple[TaskSpec, ...]
    shares: tuple[tuple[str, float], ...]


@define
class LoadDigests:
    """Caches each worker's digest while its ``tasks`` tuple is the same object."""

    by_worker: dict[str, LoadDigest] = Factory(dict)

    def of(self, load: WorkerLoad) -> LoadDigest:
        """Return the digest of a worker's tasks."""
        digest = self.by_worker.get(load.worker.worker_id)
        if digest is None or digest.tasks is not load.tasks:
            digest = make_digest(load)
            self.by_worker[load.worker.worker_id] = digest
        return digest


class InterferenceEstimates(typing.Protocol):
    """Estimates of the interference of batch work with services."""

    def interference(self, service: str, kind: str) -> float:
        """Return a service's expected slowdown by one kind of work.

        The estimate is for work of that kind which fills the whole worker.
        """

    def typical_interference(self) -> float:
        """Return the slowdown of a typical service by a typical kind of work.

        The estimate is for work that fills the whole worker.
        """


def kind_of(spec: TaskSpec) -> str:
    """Return the name under which estimates for similar tasks are shared."""
    if spec.service:
        return f"{spec.key.team}/service/{spec.service}"
    return f"{spec.key.team}/{spec.work_kind or spec.work_class}"


def service_of(spec: TaskSpec) -> str:
    """Return the name of a replica's service, qualified by its team."""
    return f"{spec.key.team}/{spec.service}"


def cpu_share(task: PlacedTask, worker: Worker) -> float:
    """Return the fraction of a worker's processors that a task may use now."""
    cpu = task.reserved.cpu_millis * task.throttle_percent / 100
    return cpu / max(1, worker.capacity.cpu_millis)


def make_digest(load: WorkerLoad) -> LoadDigest:
    """Return the digest of a worker: its replicas and the shares of batch work."""
    shares: dict[str, float] = {}
    for task in load.tasks:
        if not task.spec.service:
            kind = kind_of(task.spec)
            shares[kind] = shares.get(kind, 0.0) + cpu_share(task, load.worker)
    replicas = tuple(task.spec for task in load.tasks if task.spec.service)
    return LoadDigest(load.tasks, replicas, tuple(shares.items()))
