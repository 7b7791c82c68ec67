"""Relief of services that violate their SLO target: throttle, then evict."""

import collections
from collections.abc import Iterable, Sequence

from attrs import Factory, define, frozen

from poplarlb.coordination.policy.breaches import BreachMonitor
from poplarlb.coordination.policy.interference import InterferenceTable
from poplarlb.coordination.policy.sizes import SizeLearner
from poplarlb.coordination.workers.placement_types import (
    EvictionRequested,
    PlacedTask,
    Relief,
    ThrottleRequested,
    WorkerLoad,
    cpu_share,
    service_of,
)
from poplarlb.settings import PolicySettings
from poplarlb.state.models import Reason, Resources, TaskSpec, WorkClass
from poplarlb.state.templates import ConfigView

MINUTE_MS = 60_000
RESTART_COST_MS = 15_000
REPEATED_EVICTION_COST_MS = 30_000  # for each earlier eviction of the task
LONG_LIVED_COST_MS = 60_000
NEARLY_DONE_SHARE = 0.8  # of the expected run time
MIN_INTERFERENCE = 0.05  # added slowdown from which a task may be throttled
MIN_EVICTION_INTERFERENCE = 0.1  # added slowdown from which a task may be evicted
MAX_LIFT_BACKOFF = 16
EVICTABLE = (WorkClass.ORDINARY, WorkClass.PATIENT, WorkClass.LONG_LIVED)


@frozen
class Candidate:
    """A task that may be throttled or evicted.

    :ivar interference: the slowdown that it adds to the breached services.
    :ivar cost_ms: the cost of its eviction, in work lost.
    """

    task: PlacedTask
    interference: float
    cost_ms: float


@define
class WorkerRelief:
    """The latest relief actions at one worker.

    :ivar last_action_ms: the last throttle, lifted throttle or eviction.
    :ivar breached_until_ms: until when the worker counts as recently breached.
    :ivar evicted_ms: the last eviction.
    :ivar backoff: factor of the wait before a throttle is lifted.
    :ivar lifted_ms: the last lifted throttle, until ``backoff`` is adapted to it.
    """

    last_action_ms: int = -1
    breached_until_ms: int = 0
    evicted_ms: int | None = None
    backoff: int = 1
    lifted_ms: int | None = None


@define
class EvictionBudget:
    """Limits the evictions of a shard in any minute.

    :ivar limit: evictions per minute.
    :ivar taken_ms: the times of the evictions within the last minute.
    """

    limit: int
    taken_ms: collections.deque[int] = Factory(collections.deque)

    def left(self, now_ms: int) -> int:
        """Return how many evictions are allowed now."""
        while self.taken_ms and now_ms - self.taken_ms[0] >= MINUTE_MS:
            self.taken_ms.popleft()
        return self.limit - len(self.taken_ms)

    def take(self, now_ms: int) -> None:
        """Count one eviction."""
        self.taken_ms.append(now_ms)


@define
class EvictionCosts:
    """Estimates the cost of evicting a task, in milliseconds of work lost."""

    sizes: SizeLearner

    def cost_ms(self, task: PlacedTask, now_ms: int) -> float:
        """Return the cost of lost work, a restart, and repeated evictions.

        A long-lived task costs more. For a task that is nearly finished, the work done
        so far is added, also if a checkpoint keeps it.
        """
        lost_ms = 0 if task.spec.checkpointable else task.progress_ms
        cost_ms = RESTART_COST_MS + lost_ms + REPEATED_EVICTION_COST_MS * task.evictions
        if task.spec.work_class == WorkClass.LONG_LIVED:
            cost_ms += LONG_LIVED_COST_MS
        expected_ms = self.sizes.run_time_ms(task.spec)
        done_ms = max(task.progress_ms, 0)
        if expected_ms and done_ms >= NEARLY_DONE_SHARE * expected_ms:
            cost_ms += min(done_ms, expected_ms)
        return cost_ms


@define
class ReliefPlanner:
    """Plans throttles, their lifting, and evictions for one shard."""

    settings: PolicySettings
    interference: InterferenceTable
    breaches: BreachMonitor
    costs: EvictionCosts
    budget: EvictionBudget
    workers: dict[str, WorkerRelief] = Factory(dict)

    def recently_breached(self, now_ms: int) -> set[str]:
        """Return the workers where a service was in breach recently."""
        return {
            worker_id
            for worker_id, record in self.workers.items()
            if now_ms < record.breached_until_ms
        }

    def plan(
        self, loads: Sequence[WorkerLoad], view: ConfigView, now_ms: int
    ) -> list[Relief]:
        """Return at most one action for each worker."""
        actions = (self._relieve(load, view, now_ms) for load in loads)
        return [action for action in actions if action is not None]

    def _relieve(
        self, load: WorkerLoad, view: ConfigView, now_ms: int
    ) -> Relief | None:
        breached, clear = self._breached_services(load, now_ms)
        record = self.workers.setdefault(load.worker.worker_id, WorkerRelief())
        if breached:
            record.breached_until_ms = now_ms + self.settings.throttle_wait_ms
        if now_ms - record.last_action_ms < self.settings.throttle_wait_ms:
            return None
        if breached:
            action = self._act_on_breach(load, breached, record, view, now_ms)
        elif clear:
            action = self._lift_throttle(load, record, now_ms)
        else:
            action = None
        if action is not None:
            record.last_action_ms = now_ms
        return action

    def _breached_services(
        self, load: WorkerLoad, now_ms: int
    ) -> tuple[list[TaskSpec], bool]:
        """Return the replicas in breach, and whether throttles may be lifted."""
        record = self.workers.get(load.worker.worker_id, WorkerRelief())
        breached = []
        clear = True
        for task in load.tasks:
            if not task.spec.service:
                continue
            name = service_of(task.spec)
            wait_ms = self._clear_ms(name) * record.backoff
            state = self.breaches.check(name, load.worker.worker_id, now_ms)
            if state is not None and state.breached:
                breached.append(task.spec)
            if state is not None and now_ms - state.since_ms < wait_ms:
                clear = False
        return breached, clear and not breached

    def _clear_ms(self, service: str) -> float:
        """Return how long a service must meet its target before a throttle is lifted.

        The time is shorter for a service of low weight.
        """
        return self.settings.clear_ms * min(1.0, self.breaches.weight_of(service))

    def _act_on_breach(
        self,
        load: WorkerLoad,
        breached: list[TaskSpec],
        record: WorkerRelief,
        view: ConfigView,
        now_ms: int,
    ) -> Relief | None:
        self._update_backoff(record, now_ms)
        candidates = self._candidates(load, breached, view, now_ms)
        if not candidates:
            return None
        throttleable = [item for item in candidates if self._may_throttle(item.task)]
        if throttleable:
            strongest = max(throttleable, key=lambda item: item.interference)
            percent = self.settings.throttle_percent
            return self._throttle(load, strongest.task, percent, strongest.interference)
        return self._evict(load, candidates, breached, record, now_ms)

    def _update_backoff(self, record: WorkerRelief, now_ms: int) -> None:
        """Double the backoff if a breach soon followed the last lifted throttle.

        Otherwise reset it. Each lifted throttle is considered once.
        """
        if record.lifted_ms is None:
            return
        if now_ms - record.lifted_ms < 2 * self.settings.clear_ms:
            record.backoff = min(MAX_LIFT_BACKOFF, record.backoff * 2)
        else:
            record.backoff = 1
        record.lifted_ms = None

    def _may_throttle(self, task: PlacedTask) -> bool:
        return task.throttle_percent > self.settings.throttle_percent

    def _candidates(
        self,
        load: WorkerLoad,
        breached: Iterable[TaskSpec],
        view: ConfigView,
        now_ms: int,
    ) -> list[Candidate]:
        """Return the running batch tasks that slow breached services noticeably."""
        services = [service_of(spec) for spec in breached]
        candidates = []
        for task in load.tasks:
            spec = task.spec
            if spec.work_class not in EVICTABLE or not task.running or task.stopping:
                continue
            share = cpu_share(task, load.worker)
            interference = sum(
                self.interference.added_slowdown(name, spec, share) for name in services
            )
            if interference >= MIN_INTERFERENCE * task.throttle_percent / 100:
                cost_ms = self.costs.cost_ms(task, now_ms)
                candidates.append(Candidate(task, interference, cost_ms))
        return candidates

    def _throttle(
        self, load: WorkerLoad, task: PlacedTask, percent: int, interference: float
    ) -> ThrottleRequested:
        return ThrottleRequested(
            load.worker.worker_id,
            task.spec.key,
            task.attempt,
            percent,
            Reason.SERVICE_BREACH,
            f"slows services by {interference:.2f}",
        )

    def _evict(
        self,
        load: WorkerLoad,
        candidates: list[Candidate],
        breached: list[TaskSpec],
        record: WorkerRelief,
        now_ms: int,
    ) -> EvictionRequested | None:
        cooldown_ms = self.settings.worker_cooldown_ms
        if record.evicted_ms is not None and now_ms - record.evicted_ms < cooldown_ms:
            return None
        if self.budget.left(now_ms) <= 0 or not self._is_severe(load, breached, now_ms):
            return None
        evictable = [
            item
            for item in candidates
            if item.interference >= MIN_EVICTION_INTERFERENCE
        ]
        if not evictable:
            return None
        best = max(evictable, key=lambda item: item.interference / item.cost_ms)
        self.budget.take(now_ms)
        record.evicted_ms = now_ms
        names = ", ".join(sorted(service_of(spec) for spec in breached))
        return EvictionRequested(
            load.worker.worker_id,
            best.task.spec.key,
            best.task.attempt,
            Reason.SERVICE_BREACH,
            f"{names} slowed by {best.interference:.2f}; costs {best.cost_ms:.0f} ms",
        )

    def _is_severe(
        self, load: WorkerLoad, breached: Iterable[TaskSpec], now_ms: int
    ) -> bool:
        """Return whether a service violates its target enough to evict batch work."""
        worker_id = load.worker.worker_id
        return any(
            self.breaches.late_share(name, worker_id, now_ms)
            > self.settings.eviction_factor * self.breaches.limit_of(name)
            for name in map(service_of, breached)
        )

    def _lift_throttle(
        self, load: WorkerLoad, record: WorkerRelief, now_ms: int
    ) -> ThrottleRequested | None:
        """Lift one throttle, of the task that interferes least."""
        throttled = [
            task
            for task in load.tasks
            if task.throttle_percent < 100 and not task.stopping
        ]
        if not throttled:
            return None
        services = [service_of(t.spec) for t in load.tasks if t.spec.service]

        def interference_of(task: PlacedTask) -> float:
            share = cpu_share(task, load.worker)
            return sum(
                self.interference.added_slowdown(name, task.spec, share)
                for name in services
            )

        task = min(throttled, key=interference_of)
        record.lifted_ms = now_ms
        return self._throttle(load, task, 100, interference_of(task))


@define
class EvictionPlanner:
    """Chooses the tasks to evict so that a more urgent one fits.

    ``budget`` is the shard's, which evictions for services use too.
    """

    costs: EvictionCosts
    budget: EvictionBudget

    def choose(
        self,
        spec: TaskSpec,
        reserved: Resources,
        loads: Iterable[WorkerLoad],
        now_ms: int,
    ) -> list[EvictionRequested]:
        """Return the evictions of lowest cost at one worker, or none.

        They are charged to the budget. A worker where the task fits once other tasks
        have stopped is passed over.
        """
        left = self.budget.left(now_ms)
        plans = [
            plan
            for plan in (self._plan(load, reserved, now_ms) for load in loads)
            if plan and len(plan) <= left
        ]
        if not plans:
            return []
        best = min(plans, key=lambda plan: sum(item.cost_ms for item in plan))
        worker_of = {
            task.spec.key: load.worker.worker_id
            for load in loads
            for task in load.tasks
        }
        for _ in best:
            self.budget.take(now_ms)
        return [
            EvictionRequested(
                worker_of[item.task.spec.key],
                item.task.spec.key,
                item.task.attempt,
                Reason.NO_CAPACITY,
                f"makes room for {spec.key.team}/{spec.key.task_id}",
            )
            for item in best
        ]

    def _plan(
        self, load: WorkerLoad, reserved: Resources, now_ms: int
    ) -> list[Candidate]:
        """Return the cheapest tasks to evict so that the new one fits, or none.

        No task is evicted where tasks that are already stopping free enough capacity.
        """
        free = load.free
        for task in load.tasks:
            if task.stopping:
                free = free.plus(task.reserved)
        if reserved.fits_in(free):
            return []
        evictable = [
            Candidate(task, 0.0, self.costs.cost_ms(task, now_ms))
            for task in load.tasks
            if task.spec.work_class in EVICTABLE
            and not task.spec.service
            and not task.stopping
        ]
        plan = []
        for item in sorted(evictable, key=lambda item: item.cost_ms):
            if reserved.fits_in(free):
                break
            free = free.plus(item.task.reserved)
            plan.append(item)
        return plan if reserved.fits_in(free) else []
