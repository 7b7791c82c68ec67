"""The facade over all placement decisions, called by the shard machine.

The policy keeps learned, volatile state only; it never touches the journal.
"""

from collections.abc import Sequence

from attrs import define, frozen

from poplarlb.settings import PolicySettings
from poplarlb.state.models import (
    Alternative,
    Reason,
    Resources,
    TaskKey,
    TaskSpec,
    Worker,
    WorkerReport,
)
from poplarlb.state.templates import ConfigView


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


@define
class Policy:
    """Decides where tasks go and which ones give way."""

    settings: PolicySettings

    def reserve_for(self, spec: TaskSpec) -> Resources:
        """Return the larger of the declared and the learned size."""
        return spec.size

    def order_queue(
        self,
        queued: Sequence[QueuedTask],
        used_by_team: dict[str, Resources],
        view: ConfigView,
        now_ms: int,
    ) -> list[QueuedTask]:
        """Return the waiting tasks in the order in which to place them."""
        return sorted(queued, key=lambda task: (task.queued_ms, task.spec.key))

    def choose_worker(
        self,
        spec: TaskSpec,
        reserved: Resources,
        rooms: Sequence[WorkerRoom],
        view: ConfigView,
        now_ms: int,
    ) -> Chosen | NotPlaced:
        """Return the best worker for a task, or why there is none."""
        allowed = [
            room for room in rooms if not spec.zones or room.worker.zone in spec.zones
        ]
        if not any(reserved.fits_in(room.worker.capacity) for room in allowed):
            return NotPlaced(Reason.FITS_NOWHERE, never=True)
        fitting = [
            room for room in allowed if room.usable and reserved.fits_in(room.free)
        ]
        if not fitting:
            return NotPlaced(Reason.NO_CAPACITY)
        return Chosen(fitting[0].worker.worker_id, 0.0)

    def choose_eviction(
        self,
        spec: TaskSpec,
        reserved: Resources,
        rooms: Sequence[WorkerRoom],
        view: ConfigView,
        now_ms: int,
    ) -> list[EvictionWanted]:
        """Return tasks to evict so that a more urgent one fits, or nothing."""
        return []

    def observe_report(
        self, report: WorkerReport, room: WorkerRoom, now_ms: int
    ) -> None:
        """Learn sizes and harm from a worker's lagging report."""

    def observe_end(
        self,
        spec: TaskSpec,
        worker_id: str,
        succeeded: bool,
        run_time_ms: int,
        now_ms: int,
    ) -> None:
        """Learn from the end of an attempt; feeds the worker quarantine."""

    def observe_request(
        self, team: str, service: str, worker_id: str, latency_ms: float, now_ms: int
    ) -> None:
        """Learn from the latency of one request to a service's endpoint."""

    def expected_slowdown(self, service: str, room: WorkerRoom) -> float:
        """Return the factor by which a worker's other tasks slow a service."""
        return 1.0

    def plan_relief(
        self, rooms: Sequence[WorkerRoom], view: ConfigView, now_ms: int
    ) -> list[Relief]:
        """Return what to throttle or evict for services that miss their target."""
        return []

    def quarantined(self, now_ms: int) -> tuple[str, ...]:
        """Return the workers that get no starts because they fail too often."""
        return ()
