"""What the policy is told of tasks and workers, and what it answers."""

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
    """A task that holds a reservation at a worker."""

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
class WorkerRoom:
    """A worker with what is reserved on it.

    ``usable`` is false if starts are barred (zone out, leaving, no contact);
    ``barred`` then says why.
    """

    worker: Worker
    free: Resources
    tasks: tuple[PlacedTask, ...] = ()
    usable: bool = True
    barred: Reason | None = None


@frozen
class Chosen:
    """The worker to place a task on, with what was weighed."""

    worker_id: str
    cost: float
    alternatives: tuple[Alternative, ...] = ()


@frozen
class NotPlaced:
    """No worker of this shard can take the task now.

    ``never`` means that no worker of this shard could, even if empty.
    """

    reason: Reason
    never: bool = False
    alternatives: tuple[Alternative, ...] = ()


@frozen
class QueuedTask:
    """A task that waits for a place at its home shard."""

    spec: TaskSpec
    queued_ms: int
    evictions: int = 0
    failures: int = 0


@frozen
class ThrottleWanted:
    """Limit a task's processors to relieve a service."""

    worker_id: str
    key: TaskKey
    attempt: int
    percent: int
    reason: Reason
    detail: str = ""


@frozen
class EvictionWanted:
    """Checkpoint and stop a task to relieve a service or make room."""

    worker_id: str
    key: TaskKey
    attempt: int
    reason: Reason
    detail: str = ""


Relief = ThrottleWanted | EvictionWanted


@frozen
class RoomDigest:
    """What placement needs of a worker's tasks.

    ``shares`` has the processor share of each kind of batch work.
    """

    tasks: tuple[PlacedTask, ...]
    replicas: tuple[TaskSpec, ...]
    shares: tuple[tuple[str, float], ...]


@define
class RoomDigests:
    """Keeps a digest of each worker for as long as its tasks are the same object."""

    by_worker: dict[str, RoomDigest] = Factory(dict)

    def of(self, room: WorkerRoom) -> RoomDigest:
        """Return the digest of a worker's tasks."""
        digest = self.by_worker.get(room.worker.worker_id)
        if digest is None or digest.tasks is not room.tasks:
            digest = make_digest(room)
            self.by_worker[room.worker.worker_id] = digest
        return digest


class HarmEstimates(typing.Protocol):
    """Estimates of how much batch work slows services down."""

    def harm(self, service: str, kind: str) -> float:
        """Return the expected slowdown by a whole worker's worth of a kind."""

    def typical(self) -> float:
        """Return the harm of a typical pair by a whole worker's worth."""


def kind_of(spec: TaskSpec) -> str:
    """Return the name under which tasks that behave alike are learned."""
    if spec.service:
        return f"{spec.key.team}/service/{spec.service}"
    return f"{spec.key.team}/{spec.work_kind or spec.work_class}"


def service_of(spec: TaskSpec) -> str:
    """Return the name of a replica's service, with its team."""
    return f"{spec.key.team}/{spec.service}"


def cpu_share(task: PlacedTask, worker: Worker) -> float:
    """Return the part of a worker's processors that a task may use now."""
    cpu = task.reserved.cpu_millis * task.throttle_percent / 100
    return cpu / max(1, worker.capacity.cpu_millis)


def make_digest(room: WorkerRoom) -> RoomDigest:
    """Return the replicas and the shares of batch work at a worker."""
    shares: dict[str, float] = {}
    for task in room.tasks:
        if not task.spec.service:
            kind = kind_of(task.spec)
            shares[kind] = shares.get(kind, 0.0) + cpu_share(task, room.worker)
    replicas = tuple(task.spec for task in room.tasks if task.spec.service)
    return RoomDigest(room.tasks, replicas, tuple(shares.items()))
