"""Places queued tasks on workers of this shard, or delegates them to other shards."""

import collections
import functools

from attrs import Factory, define, frozen

from poplarlb.coordination.membership.sharding import shard_zone
from poplarlb.coordination.policy.policy import NotPlaced, QueuedTask
from poplarlb.coordination.shards.shard_core import ShardCore
from poplarlb.coordination.workers.home_tasks import HomeTasks, RefusalKey
from poplarlb.coordination.workers.reservations import PlacementRequest, Reservations
from poplarlb.protocol.messages import ShardSummary
from poplarlb.state.models import (
    Decision,
    Reason,
    Resources,
    TaskKey,
    TaskSpec,
    WorkClass,
)
from poplarlb.state.shard_state import AttemptKey, TaskRecord

ROUND_PERIOD_MS = 100  # between placement rounds while something changes
RETRY_PERIOD_MS = 1_000  # between rounds without a change, or with a start limit
TASKS_PER_ROUND = 200
INITIAL_BACKOFF_MS = 1_000  # after a task's first failure; doubles with each
MAX_BACKOFF_MS = 60_000
DELEGATION_PENDING_MS = 2_000  # until the other shard's summary shows the reservation
IMPOSSIBLE_GRACE_MS = 10_000  # the least wait before a task that fits nowhere ends
WAITING_SHOWN = 20  # tasks for which the reason to wait is listed
TASKS_PER_QUOTA_REQUEST = 32  # the tasks whose sizes a team's request adds up
# Placed at once; tasks of other classes may be evicted for them.
URGENT_CLASSES = (WorkClass.LATENCY_CRITICAL, WorkClass.URGENT)


@frozen
class _EquivalenceClass:
    """The properties of a task that decide which workers it fits.

    If one task of a class can't be placed now, no other task of the class can.
    """

    team: str
    size: Resources
    zones: tuple[str, ...]
    work_class: WorkClass
    work_kind: str  # from the ``TaskSpec``: batch tasks of one kind behave alike
    service: str
    avoid: tuple[str, ...]


@frozen
class _PendingDelegation:
    """Capacity requested at another shard, counted as used until ``until_ms``."""

    until_ms: int
    amount: Resources


@define
class PlacementQueue:
    """Places the tasks that wait at their home shard.

    A task that fits no worker here is delegated: another shard is asked to place it.
    ``pending_delegations`` is capacity that was requested at other shards recently and
    that their summaries may still show as free. ``waiting`` holds why each task could
    not be placed. ``evicting_until_ms`` is until when nothing more is evicted for a
    task, as earlier evictions for it are still under way.
    """

    core: ShardCore
    home_tasks: HomeTasks
    reservations: Reservations
    next_round_ms: int = 0
    next_retry_ms: int = 0
    waiting: dict[TaskKey, NotPlaced] = Factory(dict)
    evicting_until_ms: dict[TaskKey, int] = Factory(dict)
    pending_delegations: dict[str, list[_PendingDelegation]] = Factory(dict)

    def place_submitted(self, key: TaskKey) -> None:
        """Try to place a new task at once if it is urgent or the only queued task."""
        record = self.core.state.tasks[key]
        urgent = record.spec.work_class in URGENT_CLASSES
        self.core.effects.urgent = self.core.effects.urgent or urgent
        is_only_task = len(self.core.state.queued) == 1
        if (urgent or is_only_task) and self.core.context.view_is_fresh(
            self.core.now_ms
        ):
            self._try_place(record)

    def tick(self, start_limit: int | None) -> None:
        """Run a placement round if one is due and the configuration view is fresh.

        A round is due after a change, but at most every ``ROUND_PERIOD_MS``, and else
        every ``RETRY_PERIOD_MS``.

        :param start_limit: maximum number of tasks to place; ``None``: the usual one.
        """
        core = self.core
        retry = core.now_ms >= self.next_retry_ms
        changed = self.home_tasks.queue_changed or self.reservations.capacity_freed
        if not core.state.queued or core.now_ms < self.next_round_ms:
            return
        if not (changed or retry) or not core.context.view_is_fresh(core.now_ms):
            return
        self.home_tasks.queue_changed = self.reservations.capacity_freed = False
        self.next_round_ms = core.now_ms + ROUND_PERIOD_MS
        self.next_retry_ms = core.now_ms + RETRY_PERIOD_MS
        if start_limit is not None:
            self.next_round_ms = core.now_ms + RETRY_PERIOD_MS
        self._run_round(TASKS_PER_ROUND if start_limit is None else start_limit)

    def _run_round(self, limit: int) -> None:
        state = self.core.state
        ready = [
            _queued_task(state.tasks[key])
            for key in state.queued
            if self._backoff_is_over(key)
        ]
        ordered = self.core.policy.order_queue(
            ready, state.used_by_team, self.core.context.view, self.core.now_ms
        )
        self._place_in_order(ordered, limit)
        self._request_quotas(ordered)

    def _request_quotas(self, ordered: list[QueuedTask]) -> None:
        """Request quota for the next tasks of each team that has too little."""
        shortages = collections.defaultdict(list)
        for task in ordered:
            result = self.waiting.get(task.spec.key)
            if result is not None and result.reason is Reason.QUOTA_EXCEEDED:
                shortages[task.spec.key.team].append(task.spec.size)
        for team, sizes in shortages.items():
            amount = functools.reduce(Resources.plus, sizes[:TASKS_PER_QUOTA_REQUEST])
            self.core.request_quota(team, amount)

    def _place_in_order(self, ordered: list[QueuedTask], limit: int) -> None:
        state = self.core.state
        blocked: dict[_EquivalenceClass, NotPlaced] = {}
        placed = 0
        for task in ordered:
            record = state.tasks[task.spec.key]
            equivalence_class = _equivalence_class(record)
            if equivalence_class in blocked:
                self.waiting[task.spec.key] = blocked[equivalence_class]
            elif self._try_place(record):
                placed += 1
            elif task.spec.key in self.waiting:
                blocked[equivalence_class] = self.waiting[task.spec.key]
            if placed >= limit:
                self.home_tasks.queue_changed = True
                return

    def _backoff_is_over(self, key: TaskKey) -> bool:
        record = self.core.state.tasks[key]
        if not record.failures:
            return True
        doublings = min(record.failures - 1, 10)
        backoff_ms = min(INITIAL_BACKOFF_MS << doublings, MAX_BACKOFF_MS)
        return self.core.now_ms >= record.queued_ms + backoff_ms

    def _try_place(self, record: TaskRecord) -> bool:
        """Place or delegate one task; return whether that succeeded."""
        key = record.spec.key
        reserved = self._size_to_reserve(record.spec)
        result = self._try_place_here(record, reserved)
        if result is None:
            self.waiting.pop(key, None)
            return True
        shard = ""
        if result.reason is not Reason.QUOTA_EXCEEDED:
            shard = self._other_shard(record, reserved, result)
        if shard:
            delegation = _PendingDelegation(
                self.core.now_ms + DELEGATION_PENDING_MS, reserved
            )
            self.pending_delegations.setdefault(shard, []).append(delegation)
            self.home_tasks.delegate(record, shard, reserved)
            self.waiting.pop(key, None)
            return True
        self.waiting[key] = result
        if result.reason is Reason.NO_CAPACITY:
            self._evict_for(record, reserved)
        self._end_if_impossible(record)
        return False

    def _size_to_reserve(self, spec: TaskSpec) -> Resources:
        """Return a task's learned size, or its declared one if that fits no worker."""
        learned = self.core.policy.reservation_for(spec)
        workers = self.core.context.workers.values()
        if any(learned.fits_in(worker.capacity) for worker in workers):
            return learned
        return spec.size

    def _try_place_here(
        self, record: TaskRecord, reserved: Resources
    ) -> NotPlaced | None:
        zones = self.core.allowed_zones(record.spec)
        if zones and shard_zone(self.core.shard) not in zones:
            return NotPlaced(Reason.FITS_NOWHERE, never=True)
        request = PlacementRequest(
            record.spec,
            record.number + 1,
            reserved,
            self.core.shard,
            record.checkpoint,
            record.failed_workers,
        )
        result = self.reservations.try_place(request)
        if isinstance(result, NotPlaced):
            return result
        self.home_tasks.record_attempt(record.spec.key, result)
        return None

    # --- other shards -----------------------------------------------------------------

    def _other_shard(
        self, record: TaskRecord, reserved: Resources, result: NotPlaced
    ) -> str:
        """Return the shard with the most free capacity for the task, or ``""``."""
        zones = self.core.allowed_zones(record.spec)
        candidates = [
            summary
            for summary in self.core.summaries()
            if summary.shard != self.core.shard
            and (not zones or summary.zone in zones)
            and self.core.context.view.zone_allows_starts(summary.zone)
            and not self._is_refusing(summary.shard, record.spec.key.team)
        ]
        fitting = [
            summary
            for summary in candidates
            if reserved.fits_in(summary.largest_free)
            and reserved.fits_in(self._free_at(summary))
        ]
        if not fitting and result.never and record.spec.work_class in URGENT_CLASSES:
            fitting = [item for item in candidates if item.total_free.cpu_millis > 0]
        best = max(fitting, key=lambda s: (s.total_free.cpu_millis, s.shard), default=0)
        return best.shard if best else ""

    def _free_at(self, summary: ShardSummary) -> Resources:
        delegations = [
            delegation
            for delegation in self.pending_delegations.get(summary.shard, ())
            if delegation.until_ms > self.core.now_ms
        ]
        self.pending_delegations[summary.shard] = delegations
        free = summary.total_free
        for delegation in delegations:
            free = free.minus(delegation.amount)
        return free

    def _is_refusing(self, shard: str, team: str) -> bool:
        refusal_key = RefusalKey(shard, team)
        return self.core.now_ms < self.home_tasks.refused_until_ms.get(refusal_key, 0)

    # --- tasks that don't fit ---------------------------------------------------------

    def _evict_for(self, record: TaskRecord, reserved: Resources) -> None:
        """Evict the tasks that the policy chooses to make way for an urgent one."""
        key = record.spec.key
        now_ms = self.core.now_ms
        if record.spec.work_class not in URGENT_CLASSES:
            return
        if now_ms < self.evicting_until_ms.get(key, 0):
            return
        evictions = self.core.policy.choose_eviction(
            record.spec,
            reserved,
            self.reservations.worker_loads(),
            self.core.context.view,
            now_ms,
        )
        tasks = self.core.context.settings.tasks
        if evictions:
            self.evicting_until_ms[key] = now_ms + tasks.renew_period_ms
        for wanted in evictions:
            attempt_key = AttemptKey(wanted.key, wanted.attempt)
            self.reservations.evict(attempt_key, wanted.reason, wanted.detail)

    def _end_if_impossible(self, record: TaskRecord) -> None:
        """End a batch task that has waited and is larger than every worker it may use.

        It goes on waiting while one of its zones has no listed worker.
        """
        waited_ms = self.core.now_ms - max(record.queued_ms, self.core.acquired_ms)
        if record.spec.service or waited_ms < IMPOSSIBLE_GRACE_MS:
            return
        known = {shard_zone(shard) for shard in self.core.shards.shards}
        allowed = known & set(self.core.allowed_zones(record.spec) or known)
        workers = [w for w in self.core.context.workers.values() if w.zone in allowed]
        if allowed - {worker.zone for worker in workers}:
            return
        if any(record.spec.size.fits_in(worker.capacity) for worker in workers):
            return
        detail = f"larger than each of {len(workers)} workers in its zones"
        self.home_tasks.end_impossible(record.spec.key, detail)

    def waiting_decisions(self) -> tuple[Decision, ...]:
        """Return why tasks are not placed, for at most ``WAITING_SHOWN`` of them."""
        state = self.core.state
        oldest = [key for key in self.waiting if key in state.queued][:WAITING_SHOWN]
        return tuple(
            Decision(
                f"job/{key.team}/{key.task_id}",
                "wait",
                self.waiting[key].reason,
                state.tasks[key].queued_ms,
                self.core.epoch,
                self.core.context.view.version,
                alternatives=self.waiting[key].alternatives,
            )
            for key in oldest
        )

    def prune(self) -> None:
        """Drop what is kept about tasks that are no longer queued."""
        queued = self.core.state.queued
        for table in (self.waiting, self.evicting_until_ms):
            for key in [key for key in table if key not in queued]:
                del table[key]


def _queued_task(record: TaskRecord) -> QueuedTask:
    return QueuedTask(record.spec, record.queued_ms, record.evictions, record.failures)


def _equivalence_class(record: TaskRecord) -> _EquivalenceClass:
    spec = record.spec
    return _EquivalenceClass(
        spec.key.team,
        spec.size,
        spec.zones,
        spec.work_class,
        spec.work_kind,
        spec.service,
        record.failed_workers,
    )
