"""Order of a shard's queue: by work class and age, with weighted fair shares."""

import heapq
from collections.abc import Iterable, Sequence

from attrs import define, frozen

from poplarlb.coordination.workers.placement_types import QueuedTask
from poplarlb.settings import PolicySettings
from poplarlb.state.models import Resources, TaskKey, WorkClass
from poplarlb.state.templates import ConfigView

# Priority bands; tasks of a lower band are placed first. Waiting tasks rise to the
# ordinary band with age, and to the overdue band after too long a wait.
OVERDUE_BAND = 2
ORDINARY_BAND = 3
BANDS = {
    WorkClass.LATENCY_CRITICAL: 0,
    WorkClass.URGENT: 1,
    WorkClass.ORDINARY: ORDINARY_BAND,
    WorkClass.PATIENT: 4,
    WorkClass.LONG_LIVED: 5,
}


@define
class TeamShare:
    """What a team uses of the sum of all teams' quotas, with the team's weight."""

    weight: float
    total: Resources
    used: Resources

    def value(self) -> float:
        """Return the team's largest share of any resource, divided by its weight."""
        used, total = self.used, self.total
        dominant = max(
            used.cpu_millis / max(1, total.cpu_millis),
            used.memory_mb / max(1, total.memory_mb),
            used.accelerators / max(1, total.accelerators),
        )
        return dominant / self.weight


@frozen
class QueueOrder:
    """The queued tasks in the order in which to place them.

    ``overdue`` holds the tasks that waited longer than ``overdue_ms`` or the limit in
    their team's template.
    """

    tasks: list[QueuedTask]
    overdue: set[TaskKey]


def order_by_band(
    queued: Sequence[QueuedTask],
    used_by_team: dict[str, Resources],
    view: ConfigView,
    settings: PolicySettings,
    now_ms: int,
) -> QueueOrder:
    """Order the tasks by priority band, and within a band by fair share of teams.

    Overdue tasks are ordered by age, whatever their team, so that none starves.
    """
    limits = _wait_limits(view)
    bands: dict[int, list[QueuedTask]] = {}
    for task in sorted(queued, key=_arrival):
        band = _band(task, limits, settings, now_ms)
        bands.setdefault(band, []).append(task)
    shares = _team_shares({task.spec.key.team for task in queued}, used_by_team, view)
    ordered: list[QueuedTask] = []
    for band in sorted(bands):
        tasks = bands[band]
        ordered.extend(tasks if band == OVERDUE_BAND else _interleave(tasks, shares))
    overdue = {task.spec.key for task in bands.get(OVERDUE_BAND, ())}
    return QueueOrder(ordered, overdue)


def _arrival(task: QueuedTask) -> tuple[int, str, str]:
    key = task.spec.key
    return task.queued_ms, key.team, key.task_id


def _wait_limits(view: ConfigView) -> dict[tuple[str, str], int]:
    return {
        (team.team, kind.name): kind.max_wait_ms
        for team in view.teams
        for kind in team.batch
    }


def _band(
    task: QueuedTask,
    limits: dict[tuple[str, str], int],
    settings: PolicySettings,
    now_ms: int,
) -> int:
    spec = task.spec
    band = BANDS[spec.work_class]
    if band < OVERDUE_BAND:
        return band
    waited_ms = now_ms - task.queued_ms
    own_limit_ms = limits.get((spec.key.team, spec.work_kind), settings.overdue_ms)
    if waited_ms >= min(settings.overdue_ms, own_limit_ms):
        return OVERDUE_BAND
    return max(ORDINARY_BAND, band - waited_ms // settings.ageing_ms)


def _team_shares(
    teams: Iterable[str], used_by_team: dict[str, Resources], view: ConfigView
) -> dict[str, TeamShare]:
    total = Resources()
    for template in view.teams:
        total = total.plus(template.quota)
    weights = {template.team: template.weight for template in view.teams}
    return {
        team: TeamShare(
            max(0.001, weights.get(team, 1.0)),
            total,
            used_by_team.get(team, Resources()),
        )
        for team in teams
    }


def _interleave(
    tasks: Sequence[QueuedTask], shares: dict[str, TeamShare]
) -> list[QueuedTask]:
    by_team: dict[str, list[QueuedTask]] = {}
    for task in tasks:
        by_team.setdefault(task.spec.key.team, []).append(task)
    if len(by_team) == 1:
        return list(tasks)
    waiting = {team: iter(items) for team, items in by_team.items()}
    heap = [(shares[team].value(), team) for team in by_team]
    heapq.heapify(heap)
    merged = []
    while heap:
        _, team = heapq.heappop(heap)
        task = next(waiting[team], None)
        if task is None:
            continue
        merged.append(task)
        share = shares[team]
        share.used = share.used.plus(task.spec.size)
        heapq.heappush(heap, (share.value(), team))
    return merged
