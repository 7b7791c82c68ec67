"""Placement of a task: of the workers where it fits, the one of lowest cost."""

import collections
import heapq
from collections.abc import Collection, Sequence

from attrs import Factory, define

from poplarlb.coordination.workers.placement_types import (
    ChosenWorker,
    InterferenceEstimates,
    LoadDigest,
    LoadDigests,
    NotPlaced,
    WorkerLoad,
    kind_of,
    service_of,
)
from poplarlb.settings import PolicySettings
from poplarlb.state.models import Alternative, Reason, Resources, TaskSpec
from poplarlb.state.templates import ConfigView

ALTERNATIVES_KEPT = 3


@define
class WorkerChooser:
    """Chooses among the workers of one shard for one task.

    :ivar view: the configuration in force.
    :ivar reserved: the resources to reserve for the task.
    :ivar digests: cached summaries of the tasks at each worker.
    :ivar quarantined: workers that get no tasks because their tasks fail.
    :ivar held_workers: workers kept free for another task.
    :ivar recently_breached: workers whose services must not be slowed further.
    :ivar rejections: how many workers were rejected for each reason.
    """

    settings: PolicySettings
    interference: InterferenceEstimates
    view: ConfigView
    spec: TaskSpec
    reserved: Resources
    digests: LoadDigests
    quarantined: Collection[str] = ()
    held_workers: Collection[str] = ()
    recently_breached: Collection[str] = ()
    rejections: collections.Counter[Reason] = Factory(collections.Counter)

    def choose(self, loads: Sequence[WorkerLoad]) -> ChosenWorker | NotPlaced:
        """Return the worker of lowest cost, or why there is none.

        A task can never be placed only if its declared size fits in no worker; a
        learned size that is too large only delays it.
        """
        zones = self._zones()
        allowed = [load for load in loads if not zones or load.worker.zone in zones]
        if not any(self.spec.size.fits_in(load.worker.capacity) for load in allowed):
            return NotPlaced(Reason.FITS_NOWHERE, never=bool(loads))
        open_zones = {
            zone
            for zone in {load.worker.zone for load in allowed}
            if self.view.zone_allows_starts(zone)
        }
        fitting = [load for load in allowed if self._admits(load, open_zones)]
        if not fitting:
            return NotPlaced(self._main_reason(), False, self._rejection_counts())
        return self._cheapest(fitting)

    def _zones(self) -> tuple[str, ...]:
        if self.spec.zones:
            return self.spec.zones
        team = self.view.team(self.spec.key.team)
        return team.zones if team else ()

    def _admits(self, load: WorkerLoad, open_zones: Collection[str]) -> bool:
        reason = self._rejection_reason(load, open_zones)
        if reason is None:
            return True
        self.rejections[reason] += 1
        return False

    def _rejection_reason(
        self, load: WorkerLoad, open_zones: Collection[str]
    ) -> Reason | None:
        if not load.usable:
            return load.block_reason or Reason.HOST_DEAD
        if load.worker.zone not in open_zones:
            return Reason.ZONE_OUT
        if load.worker.worker_id in self.quarantined:
            return Reason.WORKER_QUARANTINED
        if load.worker.worker_id in self.held_workers:
            return Reason.NO_CAPACITY
        if load.worker.worker_id in self.recently_breached:
            return Reason.SERVICE_BREACH
        return None if self.reserved.fits_in(load.free) else Reason.NO_CAPACITY

    def _main_reason(self) -> Reason:
        if self.rejections[Reason.NO_CAPACITY]:
            return Reason.NO_CAPACITY
        return self.rejections.most_common(1)[0][0]

    def _rejection_counts(self) -> tuple[Alternative, ...]:
        return tuple(
            Alternative(f"{count} workers", 0.0, reason)
            for reason, count in self.rejections.most_common()
        )

    def _cheapest(self, fitting: Sequence[WorkerLoad]) -> ChosenWorker:
        cost = self._service_cost if self.spec.service else self._batch_cost
        rack_costs = self._rack_costs(fitting)
        weighed = [
            (cost(load) + rack_costs.get(load.worker.rack, 0.0), load.worker.worker_id)
            for load in fitting
        ]
        best = heapq.nsmallest(ALTERNATIVES_KEPT + 1, weighed)
        others = tuple(Alternative(name, round(cost, 4)) for cost, name in best[1:])
        lowest, worker_id = best[0]
        return ChosenWorker(
            worker_id, round(lowest, 4), others + self._rejection_counts()
        )

    def _rack_costs(self, loads: Sequence[WorkerLoad]) -> dict[str, float]:
        """Return each rack's cost, which grows with replicas of the same service."""
        if not self.spec.service:
            return {}
        racks: collections.Counter[str] = collections.Counter()
        for load in loads:
            racks[load.worker.rack] += self._count_replicas(self.digests.of(load))
        weight = self.settings.spread_weight
        return {rack: weight * count for rack, count in racks.items()}

    def _count_replicas(self, digest: LoadDigest) -> int:
        """Return the number of replicas of the same service at a worker."""
        own = service_of(self.spec)
        return sum(service_of(replica) == own for replica in digest.replicas)

    def _service_cost(self, load: WorkerLoad) -> float:
        digest = self.digests.of(load)
        replica_cost = 4 * self.settings.spread_weight * self._count_replicas(digest)
        interference = self._service_weight(self.spec) * self._slowdown_at(
            self.spec, digest
        )
        return replica_cost + interference + self._packing_cost(load, -1)

    def _batch_cost(self, load: WorkerLoad) -> float:
        share = self.reserved.cpu_millis / max(1, load.worker.capacity.cpu_millis)
        digest = self.digests.of(load)
        interference = sum(
            self._service_weight(replica)
            * self._slowdown_growth(replica, digest, share)
            for replica in digest.replicas
        )
        if not digest.replicas:
            interference = self._opportunity_cost(share)
        return self.settings.harm_weight * interference + self._packing_cost(load, 1)

    def _slowdown_at(self, replica: TaskSpec, digest: LoadDigest) -> float:
        """Return the slowdown that a worker's batch work adds to a replica."""
        name = service_of(replica)
        return sum(
            self.interference.interference(name, kind) * x for kind, x in digest.shares
        )

    def _opportunity_cost(self, share: float) -> float:
        """Return the cost of using a worker without services for a batch task.

        It is the interference that a typical task would cause elsewhere, so that
        these workers are left to tasks that interfere more.
        """
        team = self.view.team(self.spec.key.team)
        weights = [service.weight for service in team.services] if team else []
        return (
            max(weights, default=0.0) * self.interference.typical_interference() * share
        )

    def _slowdown_growth(
        self, replica: TaskSpec, digest: LoadDigest, share: float
    ) -> float:
        """Return the growth of the squared slowdown of a replica at a worker.

        With the square, each further interfering task costs more than the last.
        """
        before = self._slowdown_at(replica, digest)
        added_slowdown = share * self.interference.interference(
            service_of(replica), kind_of(self.spec)
        )
        return added_slowdown * (1 + before + added_slowdown / 2)

    def _service_weight(self, replica: TaskSpec) -> float:
        service = self.view.service(replica.key.team, replica.service)
        return service.weight if service else 1.0

    def _packing_cost(self, load: WorkerLoad, packing: int) -> float:
        """Return the cost of fragmentation, idle accelerators and free capacity.

        :param packing: 1 to prefer fuller workers, -1 to prefer emptier ones.
        """
        capacity, free = load.worker.capacity, load.free
        cpu = (free.cpu_millis - self.reserved.cpu_millis) / max(1, capacity.cpu_millis)
        memory = (free.memory_mb - self.reserved.memory_mb) / max(1, capacity.memory_mb)
        cost = abs(cpu - memory) + packing * (cpu + memory) / 2
        cost *= self.settings.fragmentation_weight
        if capacity.accelerators and not self.reserved.accelerators:
            cost += self.settings.accelerator_weight
        return cost
