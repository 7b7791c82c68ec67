"""The facade over all placement decisions, called by the shard machine.

The policy keeps learned, volatile state only; it never touches the journal.
"""

from collections.abc import Sequence

from attrs import Factory, define

from poplarlb.coordination.policy.breaches import BreachMonitor
from poplarlb.coordination.policy.fairness import order_by_band
from poplarlb.coordination.policy.interference import HarmTable
from poplarlb.coordination.policy.placement import Placement
from poplarlb.coordination.policy.quarantine import Quarantine
from poplarlb.coordination.policy.relief import (
    EvictionBudget,
    EvictionCosts,
    ReliefPlanner,
    RoomMaker,
)
from poplarlb.coordination.policy.sizes import SizeLearner
from poplarlb.coordination.requests.recent import forget_absent
from poplarlb.coordination.workers.rooms import (
    Chosen,
    EvictionWanted,
    NotPlaced,
    PlacedTask,
    QueuedTask,
    Relief,
    RoomDigests,
    ThrottleWanted,
    WorkerRoom,
    service_of,
)
from poplarlb.settings import PolicySettings
from poplarlb.state.models import (
    Reason,
    Resources,
    TaskKey,
    TaskSpec,
    WorkClass,
    WorkerReport,
)
from poplarlb.state.templates import ConfigView

__all__ = [
    "Chosen",
    "EvictionWanted",
    "NotPlaced",
    "PlacedTask",
    "Policy",
    "QueuedTask",
    "Relief",
    "ThrottleWanted",
    "WorkerRoom",
]

DEFAULT_TARGET_MS = 100
MAKE_ROOM_FOR = (WorkClass.LATENCY_CRITICAL, WorkClass.URGENT)


@define
class HeldWorker:
    """A worker kept free of other batch starts for an overdue task."""

    key: TaskKey
    until_ms: int


@define
class Policy:
    """Decides where tasks go and which ones give way."""

    settings: PolicySettings
    sizes: SizeLearner = Factory(lambda self: SizeLearner(self.settings), True)
    harm: HarmTable = Factory(lambda self: HarmTable(self.settings), True)
    breaches: BreachMonitor = Factory(lambda self: BreachMonitor(self.settings), True)
    quarantine: Quarantine = Factory(lambda self: Quarantine(self.settings), True)
    budget: EvictionBudget = Factory(
        lambda self: EvictionBudget(self.settings.eviction_budget_per_min), True
    )
    digests: RoomDigests = Factory(RoomDigests)
    targets_ms: dict[str, int] = Factory(dict)
    overdue: set[TaskKey] = Factory(set)
    held: dict[str, HeldWorker] = Factory(dict)
    next_relief_ms: int = 0
    planner: ReliefPlanner = Factory(
        lambda self: ReliefPlanner(
            self.settings,
            self.harm,
            self.breaches,
            EvictionCosts(self.sizes),
            self.budget,
        ),
        True,
    )

    def reserve_for(self, spec: TaskSpec) -> Resources:
        """Return the larger of the declared and the learned size."""
        return self.sizes.reserve_for(spec)

    def order_queue(
        self,
        queued: Sequence[QueuedTask],
        used_by_team: dict[str, Resources],
        view: ConfigView,
        now_ms: int,
    ) -> list[QueuedTask]:
        """Return the waiting tasks in the order in which to place them."""
        order = order_by_band(queued, used_by_team, view, self.settings, now_ms)
        self.overdue = order.overdue
        return order.tasks

    def choose_worker(
        self,
        spec: TaskSpec,
        reserved: Resources,
        rooms: Sequence[WorkerRoom],
        view: ConfigView,
        now_ms: int,
    ) -> Chosen | NotPlaced:
        """Return the best worker for a task, or why there is none."""
        self._note_rooms(rooms)
        placement = Placement(
            self.settings,
            self.harm,
            view,
            spec,
            reserved,
            self.digests,
            self._barred_for(spec, now_ms),
            self._held_from(spec, now_ms),
            self._pressed_for(spec, now_ms),
        )
        choice = placement.choose(rooms)
        if isinstance(choice, Chosen):
            self._note_choice(spec, choice, now_ms)
        elif spec.key in self.overdue and choice.reason is Reason.NO_CAPACITY:
            self._hold_worker(spec, reserved, rooms, now_ms)
        return choice

    def choose_eviction(
        self,
        spec: TaskSpec,
        reserved: Resources,
        rooms: Sequence[WorkerRoom],
        view: ConfigView,
        now_ms: int,
    ) -> list[EvictionWanted]:
        """Return tasks to evict so that a more urgent one fits, or nothing."""
        if spec.work_class not in MAKE_ROOM_FOR:
            return []
        zones = spec.zones
        open_rooms = [
            room
            for room in rooms
            if room.usable
            and (not zones or room.worker.zone in zones)
            and view.zone_allows_starts(room.worker.zone)
        ]
        maker = RoomMaker(EvictionCosts(self.sizes), self.budget)
        return maker.choose(spec, reserved, open_rooms, now_ms)

    def observe_report(
        self, report: WorkerReport, room: WorkerRoom, now_ms: int
    ) -> None:
        """Learn sizes and harm from a worker's lagging report."""
        self.sizes.note_capacity(room.worker.capacity)
        specs = {task.spec.key: task.spec for task in room.tasks}
        self.sizes.note_report(report, specs)
        self._note_latencies(report, room, now_ms)
        self.harm.note_report(report, room.tasks)
        self.harm.note_room(room, now_ms)

    def _note_latencies(
        self, report: WorkerReport, room: WorkerRoom, now_ms: int
    ) -> None:
        names = {
            task.spec.service: service_of(task.spec)
            for task in room.tasks
            if task.spec.service
        }
        for latency in report.service_latency_ms:
            name = names.get(latency.service)
            if name is not None:
                target_ms = self.targets_ms.get(name, DEFAULT_TARGET_MS)
                self.breaches.note_report(
                    name, report.worker_id, latency, target_ms, now_ms
                )

    def observe_end(
        self,
        spec: TaskSpec,
        worker_id: str,
        succeeded: bool,
        run_time_ms: int,
        now_ms: int,
    ) -> None:
        """Learn from the end of an attempt; feeds the worker quarantine."""
        self.quarantine.note_end(spec, worker_id, succeeded, now_ms)
        if succeeded and run_time_ms > 0:
            self.sizes.note_run_time(spec, run_time_ms)

    def observe_request(
        self, team: str, service: str, worker_id: str, latency_ms: float, now_ms: int
    ) -> None:
        """Learn from the latency of one request to a service's endpoint."""
        name = f"{team}/{service}"
        late = latency_ms > self.targets_ms.get(name, DEFAULT_TARGET_MS)
        self.breaches.note(name, worker_id, late, now_ms)
        self.harm.note_latency(name, worker_id, latency_ms, now_ms)

    def expected_slowdown(self, service: str, room: WorkerRoom) -> float:
        """Return the factor by which a worker's other tasks slow a service."""
        team = next(
            (task.spec.key.team for task in room.tasks if task.spec.service == service),
            "",
        )
        return self.harm.slowdown(f"{team}/{service}", room)

    def plan_relief(
        self, rooms: Sequence[WorkerRoom], view: ConfigView, now_ms: int
    ) -> list[Relief]:
        """Return what to throttle or evict for services that miss their target."""
        if now_ms < self.next_relief_ms:
            return []
        self.next_relief_ms = now_ms + self.settings.relief_period_ms
        self.note_state(rooms, view, now_ms)
        return self.planner.plan(rooms, view, now_ms)

    def note_state(
        self, rooms: Sequence[WorkerRoom], view: ConfigView, now_ms: int
    ) -> None:
        """Take the services' targets and weights, and what runs at each worker."""
        self.targets_ms = {
            f"{team.team}/{service.name}": service.target_ms
            for team in view.teams
            for service in team.services
        }
        self.breaches.weights = {
            f"{team.team}/{service.name}": service.weight
            for team in view.teams
            for service in team.services
        }
        self._forget_absent(rooms)
        for room in rooms:
            self.harm.note_room(room, now_ms)

    def quarantined(self, now_ms: int) -> tuple[str, ...]:
        """Return the workers that get no starts because they fail too often."""
        return self.quarantine.barred(now_ms)

    def _forget_absent(self, rooms: Sequence[WorkerRoom]) -> None:
        """Drop what is known of workers that the shard no longer has."""
        present = {room.worker.worker_id for room in rooms}
        for table in (
            self.harm.histories,
            self.quarantine.workers,
            self.planner.workers,
            self.digests.by_worker,
        ):
            forget_absent(table, present)
        for table in (self.harm.windows, self.breaches.shares):
            for key in [key for key in table if key[1] not in present]:
                del table[key]

    def _note_rooms(self, rooms: Sequence[WorkerRoom]) -> None:
        self.quarantine.known_workers = len(rooms)
        for room in rooms:
            self.sizes.note_capacity(room.worker.capacity)

    def _barred_for(self, spec: TaskSpec, now_ms: int) -> set[str]:
        """Return the workers in quarantine; services never serve as a probe."""
        barred = set(self.quarantine.barred(now_ms))
        if spec.work_class == WorkClass.LATENCY_CRITICAL:
            barred.update(self.quarantine.waiting_for_probe(now_ms))
        return barred

    def _held_from(self, spec: TaskSpec, now_ms: int) -> set[str]:
        """Return the workers that are kept free for another task."""
        if spec.work_class in MAKE_ROOM_FOR:
            return set()
        return {
            worker_id
            for worker_id, hold in self.held.items()
            if hold.key != spec.key and now_ms < hold.until_ms
        }

    def _pressed_for(self, spec: TaskSpec, now_ms: int) -> set[str]:
        """Return the workers whose services must not be slowed further."""
        if spec.work_class in MAKE_ROOM_FOR or spec.key in self.overdue:
            return set()
        return self.planner.pressed(now_ms)

    def _note_choice(self, spec: TaskSpec, choice: Chosen, now_ms: int) -> None:
        self.held = {
            worker_id: hold
            for worker_id, hold in self.held.items()
            if hold.key != spec.key
        }
        if self.quarantine.needs_probe(choice.worker_id, now_ms):
            self.quarantine.start_probe(choice.worker_id, spec.key, now_ms)

    def _hold_worker(
        self,
        spec: TaskSpec,
        reserved: Resources,
        rooms: Sequence[WorkerRoom],
        now_ms: int,
    ) -> None:
        """Keep one worker of the shard free for the most overdue task."""
        self.held = {w: h for w, h in self.held.items() if now_ms < h.until_ms}
        own = next((w for w, h in self.held.items() if h.key == spec.key), None)
        if self.held and own is None:
            return
        large = [
            room
            for room in rooms
            if room.usable
            and reserved.fits_in(room.worker.capacity)
            and (not spec.zones or room.worker.zone in spec.zones)
        ]
        if not large:
            return
        emptiest = max(large, key=lambda room: room.free.cpu_millis)
        worker_id = own or emptiest.worker.worker_id
        self.held[worker_id] = HeldWorker(spec.key, now_ms + self.settings.held_ms)
