"""Baseline policies that poplarlb's policy is compared with."""

import enum
import random
from collections.abc import Sequence

from attrs import Factory, define

from poplarlb.coordination.policy.policy import (
    ChosenWorker,
    EvictionRequested,
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
    """The measured policies, poplarlb's own first."""

    OWN = "poplarlb"
    FIRST_FIT = "first fit"
    RANDOM_OF_TWO = "random of two"
    NO_EVICTION = "no eviction"
    EVICT_AT_ONCE = "evict at once"


@define
class FirstFit(Policy):
    """Places on the first worker with free capacity; no learning, no relief."""

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
        """Return replicas first, then the other tasks in the order of arrival."""
        return sorted(queued, key=lambda task: (not task.spec.service, task.queued_ms))

    def choose_worker(
        self,
        spec: TaskSpec,
        reserved: Resources,
        worker_loads: Sequence[WorkerLoad],
        view: ConfigView,
        now_ms: int,
    ) -> ChosenWorker | NotPlaced:
        """Return a worker with free capacity; replicas avoid each other if possible."""
        fitting = [
            worker_load
            for worker_load in worker_loads
            if worker_load.usable and reserved.fits_in(worker_load.free)
        ]
        if spec.service:
            empty = [
                worker_load
                for worker_load in fitting
                if not any(task.spec.service for task in worker_load.tasks)
            ]
            fitting = empty or fitting
        if not fitting:
            return NotPlaced(Reason.NO_CAPACITY)
        return ChosenWorker(self.pick(fitting).worker.worker_id, 0.0)

    def pick(self, fitting: list[WorkerLoad]) -> WorkerLoad:
        """Return the worker load to use."""
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
    """Places on the one of two random workers that has more free processors."""

    rng: random.Random = Factory(lambda: random.Random(1))

    def pick(self, fitting: list[WorkerLoad]) -> WorkerLoad:
        """Return the one of two random workers that has more free processors."""
        two = self.rng.sample(fitting, min(2, len(fitting)))
        return max(two, key=lambda worker_load: worker_load.free.cpu_millis)


@define
class NoEviction(Policy):
    """poplarlb's own policy without evictions."""

    def choose_eviction(self, *_: object) -> list[EvictionRequested]:
        """Evict nothing."""
        return []

    def plan_relief(
        self, worker_loads: Sequence[WorkerLoad], view: ConfigView, now_ms: int
    ) -> list[Relief]:
        """Throttle only."""
        planned = super().plan_relief(worker_loads, view, now_ms)
        return [item for item in planned if not isinstance(item, EvictionRequested)]


@define
class EvictAtOnce(Policy):
    """poplarlb's own placement; each breach evicts the largest task at once."""

    def plan_relief(
        self, worker_loads: Sequence[WorkerLoad], view: ConfigView, now_ms: int
    ) -> list[Relief]:
        """Evict the largest task from each worker with a service in breach."""
        self.update_services(worker_loads, view, now_ms)
        planned = []
        for worker_load in worker_loads:
            batch = [
                t for t in worker_load.tasks if not t.spec.service and not t.stopping
            ]
            if not batch or not self._is_breached(worker_load, now_ms):
                continue
            task = max(batch, key=lambda item: item.reserved.cpu_millis)
            planned.append(
                EvictionRequested(
                    worker_load.worker.worker_id,
                    task.spec.key,
                    task.attempt,
                    Reason.SERVICE_BREACH,
                )
            )
        return planned

    def _is_breached(self, worker_load: WorkerLoad, now_ms: int) -> bool:
        shares = [
            self.breaches.check(
                service_of(t.spec), worker_load.worker.worker_id, now_ms
            )
            for t in worker_load.tasks
            if t.spec.service
        ]
        return any(share is not None and share.breached for share in shares)


def make_policy(name: Baseline, settings: PolicySettings) -> Policy:
    """Return a new policy of the given kind."""
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
