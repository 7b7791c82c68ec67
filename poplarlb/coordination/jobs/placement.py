"""Chooses the worker for a task; does no I/O."""

import heapq
import math
from collections import Counter
from collections.abc import Container, Iterable, Sequence
from itertools import chain

from attrs import Factory, astuple, define, frozen

from poplarlb.coordination.jobs.fleet import WorkerState
from poplarlb.coordination.jobs.interference import (
    MAX_MARGIN,
    InterferenceModel,
    StepKey,
)
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources

# Best-effort tasks are those of steps with ``fills``; serving tasks have a target for
# their tail latency. A best-effort task is placed at a worker only if the margin of
# each serving task there (target to tail latency, expected while it runs) stays above
# the limit with it. Costs are shares of a worker's processors; a worker that is full
# costs 1.
MARGIN_LIMIT = 1.27
RELAXED_MARGIN_LIMIT = 1.64  # for tasks of jobs that have time to wait
PLACEMENT_AHEAD_MS = 2_500  # most of the run time of a best-effort task
INTERFERENCE_COST = 1.0  # of all of a serving task's headroom
# A best-effort task that takes no more off a serving task's margin doesn't harm it.
NEGLIGIBLE_INTERFERENCE = 0.05
# For each other serving image at the worker: more best-effort images interfere there.
IMAGE_COST = 1.0
# Of a serving task at an empty worker: serving tasks don't slow each other, and on
# fewer workers they leave whole ones to large tasks and to best-effort ones.
PACK_COST = 1.0
# For each run of the same step already at the worker, so that few are lost with it.
STEP_COST = 0.05
SERVING_USE_SHARE = 0.4  # of its reservation that a serving task uses
# Between starts as a last resort at a worker, until the throttle of each is in force.
LAST_RESORT_PAUSE_MS = 250
COUNTED_REFUSALS = frozenset(("no_capacity", "interference"))  # of best-effort tasks


@frozen
class Demand:
    """What the tasks of one step require of a worker.

    :param step_key: the step, of which several runs at one worker cost more.
    :param rack: the label of the rack in which the tasks must run; empty: any.
    :param urgent: the step's job has no time to wait for a better worker.
    :param only: the workers that may run the tasks; None: all may.
    :param last_resort: the tasks may interfere with serving tasks, as they have waited
        as long as they may; their runs are throttled from the start.
    """

    spec: StepSpec
    step_key: StepKey
    service: str
    rack: str = ""
    urgent: bool = True
    only: Container[str] | None = None
    last_resort: bool = False

    @property
    def constraint(self) -> tuple:
        """What decides, together with a task's size, which workers can run it."""
        spec = self.spec
        return (
            self.service,
            spec.required_label,
            self.rack,
            spec.fills and spec.image,
            self.urgent,
            self.last_resort,
        )


@define
class WorkerChooser:
    """Chooses workers for tasks.

    What fitted nowhere and the margins are kept until :meth:`begin_round` is told
    to forget them. Until then a demand that fitted nowhere is tried only at workers
    where capacity was released since.

    :ivar refused_workers: how many workers best-effort tasks were not placed at, by
        reason.
    :ivar workers: the workers to choose from, by service.
    :ivar freed: those of them where capacity was released, by service.
    :ivar unfit_sizes: sizes that fitted no worker, by constraint.
    :ivar unfit_now: those that also fitted none of ``freed`` in this round.
    :ivar margins: lowest margin, by worker and serving image.
    """

    policy: JobPolicy
    model: InterferenceModel
    refused_workers: Counter[str] = Factory(Counter)
    workers: dict[str, list[WorkerState]] = Factory(dict)
    now_ms: int = 0
    freed: dict[str, list[WorkerState]] = Factory(dict)
    unfit_sizes: dict[tuple, list[Resources]] = Factory(dict)
    unfit_now: dict[tuple, list[Resources]] = Factory(dict)
    margins: dict[str, dict[str, tuple[float, float]]] = Factory(dict)

    def begin_round(
        self,
        workers: dict[str, list[WorkerState]],
        now_ms: int,
        freed: Container[str] | None = None,
    ) -> None:
        """Set the workers to choose from.

        :param freed: the ids of those where capacity was released since all were last
            considered; None: consider all of them again.
        """
        self.workers = workers
        self.now_ms = now_ms
        self.unfit_now = {}
        if freed is None:
            self.unfit_sizes = {}
            self.margins = {}
            self.freed = workers
            return
        self.freed = {
            service: [item for item in members if item.worker_id in freed]
            for service, members in workers.items()
        }
        for worker in chain.from_iterable(self.freed.values()):
            self.margins.pop(worker.worker_id, None)

    def rank(self, demand: Demand) -> "WorkerRanking":
        """Return the workers for the tasks of a step, the cheapest first.

        The ranking is valid until tasks of another step are placed.
        """
        size, constraint = demand.spec.size, demand.constraint
        if is_unfit(size, self.unfit_now.get(constraint, ())):
            return WorkerRanking(self, demand, ())
        was_unfit = is_unfit(size, self.unfit_sizes.get(constraint, ()))
        workers = self.freed if was_unfit else self.workers
        ranking = WorkerRanking(self, demand, workers.get(demand.service, ()))
        if not ranking.found_capacity and demand.only is None:
            self.unfit_now.setdefault(constraint, []).append(size)
            if not was_unfit:
                self.unfit_sizes.setdefault(constraint, []).append(size)
        return ranking

    def count_refusals(self, demand: Demand) -> Counter[str]:
        """Return at how many workers a task can't be placed now, by reason."""
        refusals = Counter()
        for worker in self.workers.get(demand.service, ()):
            reason, _ = self.check(worker, demand)
            refusals[reason or "none"] += 1
        return refusals

    def check(self, worker: WorkerState, demand: Demand) -> tuple[str, float]:
        """Return why a task can't be placed at a worker, or "" and its interference."""
        spec = demand.spec
        if demand.only is not None and worker.worker_id not in demand.only:
            return "not_advised", 0.0
        if not labels_match(worker, spec, demand.rack):
            return "labels", 0.0
        if not has_capacity(worker, spec, demand.last_resort):
            return "no_capacity", 0.0
        if demand.last_resort and not spec.gang and self._has_recent_start(worker):
            return "last_resort_pause", 0.0
        interference_cost = self.interference_cost(worker, demand)
        if interference_cost == math.inf:
            return "interference", 0.0
        return "", interference_cost

    def _has_recent_start(self, worker: WorkerState) -> bool:
        """Return whether the last start as a last resort may not be throttled yet."""
        since_ms = self.now_ms - worker.last_resort_ms
        return worker.last_resort_ms > 0 and since_ms < LAST_RESORT_PAUSE_MS

    def interference_cost(self, worker: WorkerState, demand: Demand) -> float:
        """Return the cost of a task's interference with the others at a worker.

        For a serving task it is what the best-effort tasks there take off its margin,
        for a best-effort task the largest part of a serving task's headroom that it
        takes itself. Infinite if it would bring a margin below its limit.
        """
        spec = demand.spec
        if spec.target_ms:
            return self.model.interference(spec.image, worker.best_effort_mix())
        if demand.last_resort:
            return worker.last_resort_runs + self._missing_headroom(worker, spec)
        if not spec.fills or not worker.serving_runs:
            return 0.0
        limit = MARGIN_LIMIT if demand.urgent else RELAXED_MARGIN_LIMIT
        return self._taken_headroom(worker, spec, limit)

    def _missing_headroom(self, worker: WorkerState, spec: StepSpec) -> float:
        """Return how far a new task would bring a margin below ``MAX_MARGIN``.

        As a share of that; 0 without serving tasks.
        """
        share = spec.size.cpu_millis / max(worker.listing.capacity.cpu_millis, 1)
        missing = (
            MAX_MARGIN - margin + share * self.model.slope(image, spec.image)
            for image, (margin, _) in self._known_margins(worker).items()
        )
        return max(missing, default=0.0) / MAX_MARGIN

    def _known_margins(self, worker: WorkerState) -> dict[str, tuple[float, float]]:
        margins = self.margins.get(worker.worker_id)
        if margins is None:
            margins = self.margins[worker.worker_id] = self._margins(worker)
        return margins

    def _taken_headroom(
        self, worker: WorkerState, spec: StepSpec, limit: float
    ) -> float:
        """Return the largest part of a serving task's headroom that a new task takes.

        The headroom is how far the margin is above 1. Serving tasks that the new task
        hardly interferes with don't count, however low their margin is.
        """
        margins = self._known_margins(worker)
        capacity = max(worker.listing.capacity.cpu_millis, 1)
        share = spec.size.cpu_millis / capacity
        used = worker.best_effort_images.get(spec.image, 0) / capacity
        model = self.model
        largest = 0.0
        for image, (margin, variance) in margins.items():
            taken = share * model.slope(image, spec.image)
            own_variance = model.slope_variance(image, spec.image)
            if taken + share * math.sqrt(own_variance) <= NEGLIGIBLE_INTERFERENCE:
                continue
            variance += own_variance * share * (share + 2 * used)
            if margin - taken - math.sqrt(variance) < limit:
                return math.inf
            largest = max(largest, taken / (margin - 1.0))
        return largest

    def _margins(self, worker: WorkerState) -> dict[str, tuple[float, float]]:
        """Return the lowest margin of each serving image at a worker, and its variance.

        The variance is that of the interference of the best-effort tasks there.
        """
        mix = worker.best_effort_mix()
        own: dict[str, float] = {}
        for step, image in worker.serving_steps.items():
            margin = self.model.lowest_margin(step, PLACEMENT_AHEAD_MS, self.now_ms)
            own[image] = min(own.get(image, MAX_MARGIN), margin)
        return {
            image: (
                margin - self.model.interference(image, mix),
                self.model.interference_variance(image, mix),
            )
            for image, margin in own.items()
        }


@define
class WorkerRanking:
    """Workers that fit a demand, taken one by one for its tasks.

    The caller places a task at the taken worker before it takes the next one.

    :param candidates: the workers to rank.
    :ivar heap: cost, position among the candidates, and worker.
    :ivar found_capacity: whether a candidate fitted, regardless of the spread limit.
    :ivar taken: the position and the worker last taken, to be ranked again.
    """

    chooser: WorkerChooser
    demand: Demand
    candidates: Sequence[WorkerState]
    heap: list[tuple[float, int, WorkerState]] = Factory(list)
    found_capacity: bool = False
    taken: tuple[int, WorkerState] | None = None

    def __attrs_post_init__(self) -> None:
        """Rank all candidates."""
        for position, worker in enumerate(self.candidates):
            self._rank(position, worker)

    def take(self) -> WorkerState | None:
        """Return the cheapest worker with capacity for a task; None if there is none.

        Of several with the same cost it is the first of the candidates.
        """
        if self.taken is not None:
            position, worker = self.taken
            self.taken = None
            self.chooser.margins.pop(worker.worker_id, None)
            self._rank(position, worker)
        if not self.heap:
            return None
        _, position, worker = heapq.heappop(self.heap)
        self.taken = position, worker
        return worker

    def _rank(self, position: int, worker: WorkerState) -> None:
        demand = self.demand
        spec = demand.spec
        reason, interference_cost = self.chooser.check(worker, demand)
        if reason:
            if spec.fills and reason in COUNTED_REFUSALS:
                self.chooser.refused_workers[reason] += 1
            return
        self.found_capacity = True
        same_step = worker.step_runs.get(demand.step_key, 0)
        if spec.max_per_worker and same_step >= spec.max_per_worker:
            return
        cost = placement_cost(worker, spec, self.chooser.policy)
        cost += same_step * STEP_COST + INTERFERENCE_COST * interference_cost
        heapq.heappush(self.heap, (cost, position, worker))


def is_unfit(size: Resources, unfit_sizes: Iterable[Resources]) -> bool:
    """Return whether a size is at least as large as one that fitted nowhere."""
    return any(unfit.fits_in(size) for unfit in unfit_sizes)


def labels_match(worker: WorkerState, spec: StepSpec, rack: str) -> bool:
    """Return whether a worker has the labels that a step requires."""
    labels = worker.listing.labels
    if spec.required_label and spec.required_label not in labels:
        return False
    return not rack or rack in labels


def list_racks(workers: Iterable[WorkerState]) -> list[str]:
    """Return the labels that may name a rack: all of a worker's but the first."""
    return sorted({label for worker in workers for label in worker.listing.labels[1:]})


def count_fitting(worker: WorkerState, spec: StepSpec, step_key: StepKey) -> int:
    """Return how many tasks of a step fit in a worker's free capacity.

    A best-effort task may interfere with others, so one is counted.
    """
    if spec.fills:
        return 1
    free, size = astuple(worker.free_capacity()), astuple(spec.size)
    counts = [have // need for have, need in zip(free, size, strict=True) if need]
    if spec.max_per_worker:
        counts.append(spec.max_per_worker - worker.step_runs.get(step_key, 0))
    return max(min(counts, default=spec.count), 0)


def has_capacity(
    worker: WorkerState, spec: StepSpec, last_resort: bool = False
) -> bool:
    """Return whether one more task of a step fits in a worker's free capacity.

    A best-effort task also needs processors that the other tasks leave unused. As a
    last resort it shares them with other best-effort tasks.
    """
    size, reserved, capacity = spec.size, worker.reserved, worker.listing.capacity
    if size.memory_mb + reserved.memory_mb > capacity.memory_mb:
        return False
    if size.accelerators + reserved.accelerators > capacity.accelerators:
        return False
    if not spec.fills:
        return size.cpu_millis + reserved.cpu_millis <= capacity.cpu_millis
    if last_resort:
        return reserved.cpu_millis <= capacity.cpu_millis
    used = reserved.cpu_millis - int(worker.serving_cpu * (1 - SERVING_USE_SHARE))
    unused = capacity.cpu_millis - used - worker.best_effort_cpu
    return reserved.cpu_millis <= capacity.cpu_millis and unused >= size.cpu_millis


def placement_cost(worker: WorkerState, spec: StepSpec, policy: JobPolicy) -> float:
    """Return the cost of placing one more task of a step at a worker."""
    capacity = max(worker.listing.capacity.cpu_millis, 1)
    reserved = worker.reserved.cpu_millis + worker.best_effort_cpu
    cost = reserved / capacity
    if spec.target_ms:
        cost = (
            PACK_COST * (1.0 - reserved / capacity) + worker.best_effort_cpu / capacity
        )
        cost += IMAGE_COST * len(set(worker.serving_steps.values()) - {spec.image})
    if spec.preferred_rack and spec.preferred_rack not in worker.listing.labels:
        cost += policy.far_factor - 1.0
    return cost
