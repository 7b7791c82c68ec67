"""The facade of the decisions on a shard's tasks, called by its state machine.

It covers placement, throttling, eviction and quarantine. Its state is learned, or set
from the configuration; none of it is stored.
"""

from collections.abc import Sequence

from attrs import Factory, define

from poplarlb.coordination.policy.breaches import BreachMonitor
from poplarlb.coordination.policy.fairness import order_by_band
from poplarlb.coordination.policy.interference import InterferenceTable
from poplarlb.coordination.policy.placement import WorkerChooser
from poplarlb.coordination.policy.quarantine import Quarantine
from poplarlb.coordination.policy.relief import (
    EvictionBudget,
    EvictionCosts,
    EvictionPlanner,
    ReliefPlanner,
)
from poplarlb.coordination.policy.sizes import SizeLearner
from poplarlb.coordination.requests.recent import forget_absent
from poplarlb.coordination.workers.placement_types import (
    ChosenWorker,
    EvictionRequested,
    LoadDigests,
    NotPlaced,
    PlacedTask,
    QueuedTask,
    Relief,
    ThrottleRequested,
    WorkerLoad,
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
    "ChosenWorker",
    "EvictionRequested",
    "NotPlaced",
    "PlacedTask",
    "Policy",
    "QueuedTask",
    "Relief",
    "ThrottleRequested",
    "WorkerLoad",
]

DEFAULT_TARGET_MS = 100  # of a service without a template
# May displace other tasks, and use workers held for others or with services in breach.
PRIVILEGED_CLASSES = (WorkClass.LATENCY_CRITICAL, WorkClass.URGENT)


@define
class WorkerHold:
    """The task for which a worker is kept free, and until when.

    Besides that task, only latency-critical and urgent tasks may be placed there.
    """

    key: TaskKey
    until_ms: int


@define
class Policy:
    """Decides where tasks are placed and which are throttled or evicted.

    :ivar targets_ms: SLO targets of services, by ``team/service``.
    :ivar overdue: queued tasks that have waited longer than allowed.
    :ivar held_workers: workers kept free for an overdue task.
    :ivar next_relief_ms: when the next throttles and evictions may be planned.
    """

    settings: PolicySettings
    sizes: SizeLearner = Factory(lambda self: SizeLearner(self.settings), True)
    interference: InterferenceTable = Factory(
        lambda self: InterferenceTable(self.settings), True
    )
    breaches: BreachMonitor = Factory(lambda self: BreachMonitor(self.settings), True)
    quarantine: Quarantine = Factory(lambda self: Quarantine(self.settings), True)
    budget: EvictionBudget = Factory(
        lambda self: EvictionBudget(self.settings.eviction_budget_per_min), True
    )
    digests: LoadDigests = Factory(LoadDigests)
    targets_ms: dict[str, int] = Factory(dict)
    overdue: set[TaskKey] = Factory(set)
    held_workers: dict[str, WorkerHold] = Factory(dict)
    next_relief_ms: int = 0
    planner: ReliefPlanner = Factory(
        lambda self: ReliefPlanner(
            self.settings,
            self.interference,
            self.breaches,
            EvictionCosts(self.sizes),
            self.budget,
        ),
        True,
    )

    def reservation_for(self, spec: TaskSpec) -> Resources:
        """Return the resources to reserve: the larger of declared and learned size."""
        return self.sizes.reservation_for(spec)

    def order_queue(
        self,
        queued: Sequence[QueuedTask],
        used_by_team: dict[str, Resources],
        view: ConfigView,
        now_ms: int,
    ) -> list[QueuedTask]:
        """Return the queued tasks in the order in which to place them."""
        order = order_by_band(queued, used_by_team, view, self.settings, now_ms)
        self.overdue = order.overdue
        return order.tasks

    def choose_worker(
        self,
        spec: TaskSpec,
        reserved: Resources,
        loads: Sequence[WorkerLoad],
        view: ConfigView,
        now_ms: int,
    ) -> ChosenWorker | NotPlaced:
        """Return the best worker for a task, or why there is none."""
        self._record_capacities(loads)
        chooser = WorkerChooser(
            self.settings,
            self.interference,
            view,
            spec,
            reserved,
            self.digests,
            self._quarantined_for(spec, now_ms),
            self._held_for_others(spec, now_ms),
            self._breached_for(spec, now_ms),
        )
        choice = chooser.choose(loads)
        if isinstance(choice, ChosenWorker):
            self._record_choice(spec, choice, now_ms)
        elif spec.key in self.overdue and choice.reason is Reason.NO_CAPACITY:
            self._hold_worker(spec, reserved, loads, now_ms)
        return choice

    def choose_eviction(
        self,
        spec: TaskSpec,
        reserved: Resources,
        loads: Sequence[WorkerLoad],
        view: ConfigView,
        now_ms: int,
    ) -> list[EvictionRequested]:
        """Return the tasks to evict so that a more urgent one fits, or none.

        The evictions returned are charged to the shard's budget.
        """
        if spec.work_class not in PRIVILEGED_CLASSES:
            return []
        zones = spec.zones
        open_loads = [
            load
            for load in loads
            if load.usable
            and (not zones or load.worker.zone in zones)
            and view.zone_allows_starts(load.worker.zone)
        ]
        planner = EvictionPlanner(EvictionCosts(self.sizes), self.budget)
        return planner.choose(spec, reserved, open_loads, now_ms)

    def observe_report(
        self, report: WorkerReport, load: WorkerLoad, now_ms: int
    ) -> None:
        """Learn sizes and interference from a worker's report."""
        self.sizes.record_capacity(load.worker.capacity)
        specs = {task.spec.key: task.spec for task in load.tasks}
        self.sizes.record_report(report, specs)
        self._record_late_shares(report, load, now_ms)
        self.interference.learn_from_report(report, load.tasks)
        self.interference.record_running(load, now_ms)

    def _record_late_shares(
        self, report: WorkerReport, load: WorkerLoad, now_ms: int
    ) -> None:
        names = {
            task.spec.service: service_of(task.spec)
            for task in load.tasks
            if task.spec.service
        }
        for latency in report.service_latency_ms:
            name = names.get(latency.service)
            if name is not None:
                target_ms = self.targets_ms.get(name, DEFAULT_TARGET_MS)
                self.breaches.record_report(
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
        """Learn from the end of an attempt; may quarantine its worker."""
        self.quarantine.record_end(spec, worker_id, succeeded, now_ms)
        if succeeded and run_time_ms > 0:
            self.sizes.record_run_time(spec, run_time_ms)

    def observe_request(
        self, team: str, service: str, worker_id: str, latency_ms: float, now_ms: int
    ) -> None:
        """Learn from the latency of one request to a service's endpoint."""
        name = f"{team}/{service}"
        late = latency_ms > self.targets_ms.get(name, DEFAULT_TARGET_MS)
        self.breaches.record(name, worker_id, late, now_ms)
        self.interference.record_latency(name, worker_id, latency_ms, now_ms)

    def expected_slowdown(self, service: str, load: WorkerLoad) -> float:
        """Return the factor by which a worker's batch tasks slow a service down."""
        team = next(
            (task.spec.key.team for task in load.tasks if task.spec.service == service),
            "",
        )
        return self.interference.slowdown(f"{team}/{service}", load)

    def plan_relief(
        self, loads: Sequence[WorkerLoad], view: ConfigView, now_ms: int
    ) -> list[Relief]:
        """Return throttles and evictions for services that miss their target.

        Throttles that are no longer needed are lifted. Nothing is returned until
        ``relief_period_ms`` after the last plan.
        """
        if now_ms < self.next_relief_ms:
            return []
        self.next_relief_ms = now_ms + self.settings.relief_period_ms
        self.update_services(loads, view, now_ms)
        return self.planner.plan(loads, view, now_ms)

    def update_services(
        self, loads: Sequence[WorkerLoad], view: ConfigView, now_ms: int
    ) -> None:
        """Update the services' targets and weights, and what runs at each worker.

        Workers that are not in ``loads`` are forgotten.
        """
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
        self._forget_absent(loads)
        for load in loads:
            self.interference.record_running(load, now_ms)

    def quarantined(self, now_ms: int) -> tuple[str, ...]:
        """Return the workers that get no starts because too many tasks failed there."""
        return self.quarantine.excluded_workers(now_ms)

    def _forget_absent(self, loads: Sequence[WorkerLoad]) -> None:
        """Forget the workers that the shard no longer has."""
        present = {load.worker.worker_id for load in loads}
        for table in (
            self.interference.histories,
            self.quarantine.workers,
            self.planner.workers,
            self.digests.by_worker,
        ):
            forget_absent(table, present)
        for table in (self.interference.windows, self.breaches.states):
            for key in [key for key in table if key[1] not in present]:
                del table[key]

    def _record_capacities(self, loads: Sequence[WorkerLoad]) -> None:
        self.quarantine.known_workers = len(loads)
        for load in loads:
            self.sizes.record_capacity(load.worker.capacity)

    def _quarantined_for(self, spec: TaskSpec, now_ms: int) -> set[str]:
        """Return the workers that a task may not use because of quarantine.

        A replica of a service is never the probe that ends a quarantine.
        """
        excluded = set(self.quarantine.excluded_workers(now_ms))
        if spec.work_class == WorkClass.LATENCY_CRITICAL:
            excluded.update(self.quarantine.waiting_for_probe(now_ms))
        return excluded

    def _held_for_others(self, spec: TaskSpec, now_ms: int) -> set[str]:
        """Return the workers kept free for another task.

        Latency-critical and urgent tasks may use them.
        """
        if spec.work_class in PRIVILEGED_CLASSES:
            return set()
        return {
            worker_id
            for worker_id, hold in self.held_workers.items()
            if hold.key != spec.key and now_ms < hold.until_ms
        }

    def _breached_for(self, spec: TaskSpec, now_ms: int) -> set[str]:
        """Return the workers whose services must not be slowed further.

        Latency-critical, urgent and overdue tasks may use them.
        """
        if spec.work_class in PRIVILEGED_CLASSES or spec.key in self.overdue:
            return set()
        return self.planner.recently_breached(now_ms)

    def _record_choice(self, spec: TaskSpec, choice: ChosenWorker, now_ms: int) -> None:
        self.held_workers = {
            worker_id: hold
            for worker_id, hold in self.held_workers.items()
            if hold.key != spec.key
        }
        if self.quarantine.needs_probe(choice.worker_id, now_ms):
            self.quarantine.start_probe(choice.worker_id, spec.key, now_ms)

    def _hold_worker(
        self,
        spec: TaskSpec,
        reserved: Resources,
        loads: Sequence[WorkerLoad],
        now_ms: int,
    ) -> None:
        """Keep a worker free for an overdue task unless another task has one."""
        self.held_workers = {
            w: h for w, h in self.held_workers.items() if now_ms < h.until_ms
        }
        own = next((w for w, h in self.held_workers.items() if h.key == spec.key), None)
        if self.held_workers and own is None:
            return
        large = [
            load
            for load in loads
            if load.usable
            and reserved.fits_in(load.worker.capacity)
            and (not spec.zones or load.worker.zone in spec.zones)
        ]
        if not large:
            return
        emptiest = max(large, key=lambda load: load.free.cpu_millis)
        worker_id = own or emptiest.worker.worker_id
        self.held_workers[worker_id] = WorkerHold(
            spec.key, now_ms + self.settings.held_ms
        )
