"""Relief of services that miss their target: throttle, then evict."""

import collections
from collections.abc import Iterable, Sequence

from attrs import Factory, define, frozen

from poplarlb.coordination.policy.breaches import BreachMonitor
from poplarlb.coordination.policy.interference import HarmTable
from poplarlb.coordination.policy.sizes import SizeLearner
from poplarlb.coordination.workers.rooms import (
    EvictionWanted,
    PlacedTask,
    Relief,
    ThrottleWanted,
    WorkerRoom,
    cpu_share,
    service_of,
)
from poplarlb.settings import PolicySettings
from poplarlb.state.models import Reason, Resources, TaskSpec, WorkClass
from poplarlb.state.templates import ConfigView

MINUTE_MS = 60_000
RESTART_COST_MS = 15_000
EVICTED_AGAIN_COST_MS = 30_000
LONG_LIVED_COST_MS = 60_000
NEARLY_DONE_SHARE = 0.8
CAUSE_NEEDED = 0.05
EVICTION_HARM_NEEDED = 0.1
RESTORE_BACKOFF_LIMIT = 16
EVICTABLE = (WorkClass.ORDINARY, WorkClass.PATIENT, WorkClass.LONG_LIVED)


@frozen
class Suspect:
    """A task that may slow a service down, and by how much."""

    task: PlacedTask
    harm: float
    cost_ms: float


@define
class WorkerRelief:
    """What was done lately at one worker."""

    acted_ms: int = -1
    pressed_until_ms: int = 0
    evicted_ms: int | None = None
    backoff: int = 1
    restored_ms: int | None = None


@define
class EvictionBudget:
    """Bounds the evictions of a shard in any minute."""

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
    """Weighs what is lost when a task is evicted, in milliseconds of work."""

    sizes: SizeLearner

    def cost_ms(self, task: PlacedTask, now_ms: int) -> float:
        """Return the work lost, the restart, and a surcharge for repetition.

        A nearly finished task costs the more, the closer it is to its end.
        """
        lost_ms = 0 if task.spec.checkpointable else task.progress_ms
        cost_ms = RESTART_COST_MS + lost_ms + EVICTED_AGAIN_COST_MS * task.evictions
        if task.spec.work_class == WorkClass.LONG_LIVED:
            cost_ms += LONG_LIVED_COST_MS
        expected_ms = self.sizes.run_time_ms(task.spec)
        done_ms = max(task.progress_ms, 0)
        if expected_ms and done_ms >= NEARLY_DONE_SHARE * expected_ms:
            cost_ms += min(done_ms, expected_ms)
        return cost_ms


@define
class ReliefPlanner:
    """Plans throttling, restoring and evictions for one shard."""

    settings: PolicySettings
    harm: HarmTable
    breaches: BreachMonitor
    costs: EvictionCosts
    budget: EvictionBudget
    workers: dict[str, WorkerRelief] = Factory(dict)

    def pressed(self, now_ms: int) -> set[str]:
        """Return the workers where a service was in breach a short time ago."""
        return {
            worker_id
            for worker_id, record in self.workers.items()
            if now_ms < record.pressed_until_ms
        }

    def plan(
        self, rooms: Sequence[WorkerRoom], view: ConfigView, now_ms: int
    ) -> list[Relief]:
        """Return at most one action for each worker."""
        actions = (self._relieve(room, view, now_ms) for room in rooms)
        return [action for action in actions if action is not None]

    def _relieve(
        self, room: WorkerRoom, view: ConfigView, now_ms: int
    ) -> Relief | None:
        breached, clear = self._standing(room, now_ms)
        record = self.workers.setdefault(room.worker.worker_id, WorkerRelief())
        if breached:
            record.pressed_until_ms = now_ms + self.settings.throttle_wait_ms
        if now_ms - record.acted_ms < self.settings.throttle_wait_ms:
            return None
        if breached:
            action = self._act_on_breach(room, breached, record, view, now_ms)
        elif clear:
            action = self._restore(room, record, now_ms)
        else:
            action = None
        if action is not None:
            record.acted_ms = now_ms
        return action

    def _standing(self, room: WorkerRoom, now_ms: int) -> tuple[list[TaskSpec], bool]:
        """Return the services in breach, and whether all have been clear a while."""
        record = self.workers.get(room.worker.worker_id, WorkerRelief())
        breached = []
        clear = True
        for task in room.tasks:
            if not task.spec.service:
                continue
            name = service_of(task.spec)
            wait_ms = self._clear_ms(name) * record.backoff
            share = self.breaches.check(name, room.worker.worker_id, now_ms)
            if share is not None and share.breached:
                breached.append(task.spec)
            if share is not None and now_ms - share.since_ms < wait_ms:
                clear = False
        return breached, clear and not breached

    def _clear_ms(self, service: str) -> float:
        """Return how long a service must keep its target; less for a low weight."""
        return self.settings.clear_ms * min(1.0, self.breaches.weight_of(service))

    def _act_on_breach(
        self,
        room: WorkerRoom,
        breached: list[TaskSpec],
        record: WorkerRelief,
        view: ConfigView,
        now_ms: int,
    ) -> Relief | None:
        self._note_relapse(record, now_ms)
        suspects = self._suspects(room, breached, view, now_ms)
        if not suspects:
            return None
        full = [item for item in suspects if self._may_throttle(item.task)]
        if full:
            worst = max(full, key=lambda item: item.harm)
            percent = self.settings.throttle_percent
            return self._throttle(room, worst.task, percent, worst.harm)
        return self._evict(room, suspects, breached, record, now_ms)

    def _note_relapse(self, record: WorkerRelief, now_ms: int) -> None:
        """Wait longer before the next restoring if the last one led to a breach."""
        if record.restored_ms is None:
            return
        if now_ms - record.restored_ms < 2 * self.settings.clear_ms:
            record.backoff = min(RESTORE_BACKOFF_LIMIT, record.backoff * 2)
        else:
            record.backoff = 1
        record.restored_ms = None

    def _may_throttle(self, task: PlacedTask) -> bool:
        return task.throttle_percent > self.settings.throttle_percent

    def _suspects(
        self,
        room: WorkerRoom,
        breached: Iterable[TaskSpec],
        view: ConfigView,
        now_ms: int,
    ) -> list[Suspect]:
        """Return the running batch tasks that slow a breached service enough."""
        services = [service_of(spec) for spec in breached]
        suspects = []
        for task in room.tasks:
            spec = task.spec
            if spec.work_class not in EVICTABLE or not task.running or task.stopping:
                continue
            share = cpu_share(task, room.worker)
            harm = sum(self.harm.added(name, spec, share) for name in services)
            if harm >= CAUSE_NEEDED * task.throttle_percent / 100:
                cost_ms = self.costs.cost_ms(task, now_ms)
                suspects.append(Suspect(task, harm, cost_ms))
        return suspects

    def _throttle(
        self, room: WorkerRoom, task: PlacedTask, percent: int, harm: float
    ) -> ThrottleWanted:
        return ThrottleWanted(
            room.worker.worker_id,
            task.spec.key,
            task.attempt,
            percent,
            Reason.SERVICE_BREACH,
            f"slows services by {harm:.2f}",
        )

    def _evict(
        self,
        room: WorkerRoom,
        suspects: list[Suspect],
        breached: list[TaskSpec],
        record: WorkerRelief,
        now_ms: int,
    ) -> EvictionWanted | None:
        cooldown_ms = self.settings.worker_cooldown_ms
        if record.evicted_ms is not None and now_ms - record.evicted_ms < cooldown_ms:
            return None
        if self.budget.left(now_ms) <= 0 or not self._is_severe(room, breached, now_ms):
            return None
        guilty = [item for item in suspects if item.harm >= EVICTION_HARM_NEEDED]
        if not guilty:
            return None
        best = max(guilty, key=lambda item: item.harm / item.cost_ms)
        self.budget.take(now_ms)
        record.evicted_ms = now_ms
        names = ", ".join(sorted(service_of(spec) for spec in breached))
        return EvictionWanted(
            room.worker.worker_id,
            best.task.spec.key,
            best.task.attempt,
            Reason.SERVICE_BREACH,
            f"{names} slowed by {best.harm:.2f}; costs {best.cost_ms:.0f} ms",
        )

    def _is_severe(
        self, room: WorkerRoom, breached: Iterable[TaskSpec], now_ms: int
    ) -> bool:
        """Tell whether a service misses its target enough to lose batch work."""
        worker_id = room.worker.worker_id
        return any(
            self.breaches.late_share(name, worker_id, now_ms)
            > self.settings.eviction_factor * self.breaches.limit_of(name)
            for name in map(service_of, breached)
        )

    def _restore(
        self, room: WorkerRoom, record: WorkerRelief, now_ms: int
    ) -> ThrottleWanted | None:
        """Lift one limit, of the task that harms least."""
        limited = [
            task
            for task in room.tasks
            if task.throttle_percent < 100 and not task.stopping
        ]
        if not limited:
            return None
        services = [service_of(t.spec) for t in room.tasks if t.spec.service]

        def harm_of(task: PlacedTask) -> float:
            share = cpu_share(task, room.worker)
            return sum(self.harm.added(name, task.spec, share) for name in services)

        task = min(limited, key=harm_of)
        record.restored_ms = now_ms
        return self._throttle(room, task, 100, harm_of(task))


@define
class RoomMaker:
    """Chooses what to evict so that a more urgent task fits."""

    costs: EvictionCosts
    budget: EvictionBudget

    def choose(
        self,
        spec: TaskSpec,
        reserved: Resources,
        rooms: Iterable[WorkerRoom],
        now_ms: int,
    ) -> list[EvictionWanted]:
        """Return the least costly evictions at one worker, or nothing."""
        left = self.budget.left(now_ms)
        plans = [
            plan
            for plan in (self._plan(room, reserved, now_ms) for room in rooms)
            if plan and len(plan) <= left
        ]
        if not plans:
            return []
        best = min(plans, key=lambda plan: sum(item.cost_ms for item in plan))
        worker_of = {
            task.spec.key: room.worker.worker_id
            for room in rooms
            for task in room.tasks
        }
        for _ in best:
            self.budget.take(now_ms)
        return [
            EvictionWanted(
                worker_of[item.task.spec.key],
                item.task.spec.key,
                item.task.attempt,
                Reason.NO_CAPACITY,
                f"makes room for {spec.key.team}/{spec.key.task_id}",
            )
            for item in best
        ]

    def _plan(
        self, room: WorkerRoom, reserved: Resources, now_ms: int
    ) -> list[Suspect]:
        """Return the cheapest tasks whose end lets the new one fit.

        Nothing is evicted where tasks that stop already will make room.
        """
        free = room.free
        for task in room.tasks:
            if task.stopping:
                free = free.plus(task.reserved)
        if reserved.fits_in(free):
            return []
        evictable = [
            Suspect(task, 0.0, self.costs.cost_ms(task, now_ms))
            for task in room.tasks
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
