"""The policies that poplarlb's own is compared with."""

import enum
import random
from collections.abc import Sequence

from attrs import Factory, define

from poplarlb.coordination.policy.policy import (
    ChosenWorker,
    EvictionWanted,
    NotPlaced,
    Policy,
    QueuedTask,
    Relief,
    WorkerLoad,
)
from poplarlb.coordination.workers.placement_types import service_of
from poplarlb.settings import PolicySettings
from poplarlb.state.models import Reason, Resources, TaskSpec
from poplarlb.state.templates import ConfigView


class Baseline(enum.StrEnum):
    """The policies that are measured, poplarlb's own first."""

    OWN = "poplarlb"
    FIRST_FIT = "first fit"
    RANDOM_OF_TWO = "random of two"
    NO_EVICTION = "no eviction"
    EVICT_AT_ONCE = "evict at once"


@define
class FirstFit(Policy):
    """Place on the first worker with room; learn nothing, relieve nothing."""

    def reserve_for(self, spec: TaskSpec) -> Resources:
        """Return the declared size."""
        return spec.size

    def order_queue(
        self,
        queued: Sequence[QueuedTask],
        used_by_team: dict[str, Resources],
        view: ConfigView,
        now_ms: int,
    ) -> list[QueuedTask]:
        """Return replicas first, then the rest as they came."""
        return sorted(queued, key=lambda task: (not task.spec.service, task.queued_ms))

    def choose_worker(
        self,
        spec: TaskSpec,
        reserved: Resources,
        rooms: Sequence[WorkerLoad],
        view: ConfigView,
        now_ms: int,
    ) -> ChosenWorker | NotPlaced:
        """Return the first worker with room, without a second replica."""
        fitting = [
            room for room in rooms if room.usable and reserved.fits_in(room.free)
        ]
        if spec.service:
            empty = [
                room
                for room in fitting
                if not any(task.spec.service for task in room.tasks)
            ]
            fitting = empty or fitting
        if not fitting:
            return NotPlaced(Reason.NO_CAPACITY)
        return ChosenWorker(self.pick(fitting).worker.worker_id, 0.0)

    def pick(self, fitting: list[WorkerLoad]) -> WorkerLoad:
        """Return the room to use."""
        return fitting[0]

    def observe_request(self, *_: object) -> None:
        """Learn nothing."""

    def observe_report(self, *_: object) -> None:
        """Learn nothing."""

    def observe_end(self, *_: object) -> None:
        """Learn nothing."""

    def plan_relief(self, *_: object) -> list[Relief]:
        """Relieve nothing."""
        return []


@define
class RandomOfTwo(FirstFit):
    """Place on the emptier of two random workers with room."""

    rng: random.Random = Factory(lambda: random.Random(1))

    def pick(self, fitting: list[WorkerLoad]) -> WorkerLoad:
        """Return the emptier of two."""
        two = self.rng.sample(fitting, min(2, len(fitting)))
        return max(two, key=lambda room: room.free.cpu_millis)


@define
class NoEviction(Policy):
    """Poplarlb's own policy, but no task is ever evicted."""

    def choose_eviction(self, *_: object) -> list[EvictionWanted]:
        """Evict nothing."""
        return []

    def plan_relief(
        self, rooms: Sequence[WorkerLoad], view: ConfigView, now_ms: int
    ) -> list[Relief]:
        """Throttle only."""
        planned = super().plan_relief(rooms, view, now_ms)
        return [item for item in planned if not isinstance(item, EvictionWanted)]


@define
class EvictAtOnce(Policy):
    """Poplarlb's own placement, but each breach evicts the largest task at once."""

    def plan_relief(
        self, rooms: Sequence[WorkerLoad], view: ConfigView, now_ms: int
    ) -> list[Relief]:
        """Evict the largest task from each worker with a service in breach."""
        self.update_services(rooms, view, now_ms)
        planned = []
        for room in rooms:
            batch = [t for t in room.tasks if not t.spec.service and not t.stopping]
            if not batch or not self._is_breached(room, now_ms):
                continue
            task = max(batch, key=lambda item: item.reserved.cpu_millis)
            planned.append(
                EvictionWanted(
                    room.worker.worker_id,
                    task.spec.key,
                    task.attempt,
                    Reason.SERVICE_BREACH,
                )
            )
        return planned

    def _is_breached(self, room: WorkerLoad, now_ms: int) -> bool:
        shares = [
            self.breaches.check(service_of(t.spec), room.worker.worker_id, now_ms)
            for t in room.tasks
            if t.spec.service
        ]
        return any(share is not None and share.breached for share in shares)


def make_policy(name: Baseline, settings: PolicySettings) -> Policy:
    """Return a new policy of that name."""
    match name:
        case Baseline.FIRST_FIT:
            return FirstFit(settings)
        case Baseline.RANDOM_OF_TWO:
            return RandomOfTwo(settings)
        case Baseline.NO_EVICTION:
            return NoEviction(settings)
        case Baseline.EVICT_AT_ONCE:
            return EvictAtOnce(settings)
    return Policy(settings)
