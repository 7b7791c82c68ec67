"""The choice of a worker for a task: exact fit, then least cost."""

import collections
import heapq
from collections.abc import Collection, Sequence

from attrs import Factory, define

from poplarlb.coordination.workers.rooms import (
    Chosen,
    HarmEstimates,
    NotPlaced,
    RoomDigest,
    RoomDigests,
    WorkerRoom,
    kind_of,
    service_of,
)
from poplarlb.settings import PolicySettings
from poplarlb.state.models import Alternative, Reason, Resources, TaskSpec
from poplarlb.state.templates import ConfigView

ALTERNATIVES_KEPT = 3


@define
class Placement:
    """Weighs the workers of one shard for one task."""

    settings: PolicySettings
    harm: HarmEstimates
    view: ConfigView
    spec: TaskSpec
    reserved: Resources
    digests: RoomDigests
    quarantined: Collection[str] = ()
    held: Collection[str] = ()
    pressed: Collection[str] = ()
    barred: collections.Counter[Reason] = Factory(collections.Counter)

    def choose(self, rooms: Sequence[WorkerRoom]) -> Chosen | NotPlaced:
        """Return the room of least cost, or why there is none.

        A task is impossible only if its declared size fits in no worker; a
        learned size that is too large never makes it so.
        """
        zones = self._zones()
        allowed = [room for room in rooms if not zones or room.worker.zone in zones]
        if not any(self.spec.size.fits_in(room.worker.capacity) for room in allowed):
            return NotPlaced(Reason.FITS_NOWHERE, never=bool(rooms))
        open_zones = {
            zone
            for zone in {room.worker.zone for room in allowed}
            if self.view.zone_allows_starts(zone)
        }
        fitting = [room for room in allowed if self._admits(room, open_zones)]
        if not fitting:
            return NotPlaced(self._main_reason(), False, self._barred_counts())
        return self._cheapest(fitting)

    def _zones(self) -> tuple[str, ...]:
        if self.spec.zones:
            return self.spec.zones
        team = self.view.team(self.spec.key.team)
        return team.zones if team else ()

    def _admits(self, room: WorkerRoom, open_zones: Collection[str]) -> bool:
        reason = self._bar(room, open_zones)
        if reason is None:
            return True
        self.barred[reason] += 1
        return False

    def _bar(self, room: WorkerRoom, open_zones: Collection[str]) -> Reason | None:
        if not room.usable:
            return room.barred or Reason.HOST_DEAD
        if room.worker.zone not in open_zones:
            return Reason.ZONE_OUT
        if room.worker.worker_id in self.quarantined:
            return Reason.WORKER_QUARANTINED
        if room.worker.worker_id in self.held:
            return Reason.NO_CAPACITY
        if room.worker.worker_id in self.pressed:
            return Reason.SERVICE_BREACH
        return None if self.reserved.fits_in(room.free) else Reason.NO_CAPACITY

    def _main_reason(self) -> Reason:
        if self.barred[Reason.NO_CAPACITY]:
            return Reason.NO_CAPACITY
        return self.barred.most_common(1)[0][0]

    def _barred_counts(self) -> tuple[Alternative, ...]:
        return tuple(
            Alternative(f"{count} workers", 0.0, reason)
            for reason, count in self.barred.most_common()
        )

    def _cheapest(self, fitting: Sequence[WorkerRoom]) -> Chosen:
        cost = self._service_cost if self.spec.service else self._batch_cost
        crowding = self._crowding(fitting)
        weighed = [
            (cost(room) + crowding.get(room.worker.rack, 0.0), room.worker.worker_id)
            for room in fitting
        ]
        best = heapq.nsmallest(ALTERNATIVES_KEPT + 1, weighed)
        others = tuple(Alternative(name, round(cost, 4)) for cost, name in best[1:])
        lowest, worker_id = best[0]
        return Chosen(worker_id, round(lowest, 4), others + self._barred_counts())

    def _crowding(self, rooms: Sequence[WorkerRoom]) -> dict[str, float]:
        """Return a cost for each rack that holds replicas of the same service."""
        if not self.spec.service:
            return {}
        racks: collections.Counter[str] = collections.Counter()
        for room in rooms:
            racks[room.worker.rack] += self._siblings(self.digests.of(room))
        weight = self.settings.spread_weight
        return {rack: weight * count for rack, count in racks.items()}

    def _siblings(self, digest: RoomDigest) -> int:
        """Return how many replicas of the same service a worker has."""
        own = service_of(self.spec)
        return sum(service_of(replica) == own for replica in digest.replicas)

    def _service_cost(self, room: WorkerRoom) -> float:
        digest = self.digests.of(room)
        crowd = 4 * self.settings.spread_weight * self._siblings(digest)
        harm = self._protection(self.spec) * self._harm_at(self.spec, digest)
        return crowd + harm + self._room_cost(room, -1)

    def _batch_cost(self, room: WorkerRoom) -> float:
        share = self.reserved.cpu_millis / max(1, room.worker.capacity.cpu_millis)
        digest = self.digests.of(room)
        harm = sum(
            self._protection(replica) * self._harm_to(replica, digest, share)
            for replica in digest.replicas
        )
        if not digest.replicas:
            harm = self._opportunity_cost(share)
        return self.settings.harm_weight * harm + self._room_cost(room, 1)

    def _harm_at(self, replica: TaskSpec, digest: RoomDigest) -> float:
        """Return the slowdown of a replica by a worker's batch work."""
        name = service_of(replica)
        return sum(self.harm.harm(name, kind) * x for kind, x in digest.shares)

    def _opportunity_cost(self, share: float) -> float:
        """Return the cost of using a worker without services.

        It is the harm that a typical task would do elsewhere, so that these
        workers are left to the tasks that do more.
        """
        team = self.view.team(self.spec.key.team)
        weights = [service.weight for service in team.services] if team else []
        return max(weights, default=0.0) * self.harm.typical() * share

    def _harm_to(self, replica: TaskSpec, digest: RoomDigest, share: float) -> float:
        """Return the growth of the squared slowdown of a replica at a worker.

        The square makes the last of many harmful tasks the costliest.
        """
        before = self._harm_at(replica, digest)
        added = share * self.harm.harm(service_of(replica), kind_of(self.spec))
        return added * (1 + before + added / 2)

    def _protection(self, replica: TaskSpec) -> float:
        service = self.view.service(replica.key.team, replica.service)
        return service.weight if service else 1.0

    def _room_cost(self, room: WorkerRoom, packing: int) -> float:
        """Return the cost of fragments, idle accelerators and left-over room.

        :param packing: 1 to prefer fuller workers, -1 to prefer emptier ones.
        """
        capacity, free = room.worker.capacity, room.free
        cpu = (free.cpu_millis - self.reserved.cpu_millis) / max(1, capacity.cpu_millis)
        memory = (free.memory_mb - self.reserved.memory_mb) / max(1, capacity.memory_mb)
        cost = abs(cpu - memory) + packing * (cpu + memory) / 2
        cost *= self.settings.fragmentation_weight
        if capacity.accelerators and not self.reserved.accelerators:
            cost += self.settings.accelerator_weight
        return cost
