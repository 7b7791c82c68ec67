"""Chooses the worker for a task, without input or output."""

from collections import Counter
from collections.abc import Container

from attrs import Factory, define

from poplarlb.coordination.jobs.fleet import WorkerState
from poplarlb.coordination.jobs.harm import HarmModel
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state.jobs import StepSpec, Task
from poplarlb.state.models import Resources

# Costs are shares of a worker's processors; being nearly full costs 1.
PRESSURE_LIMIT = 0.72  # a tail meets its target at 0.78; loads swing meanwhile
CALM_PRESSURE_LIMIT = 0.64  # for tasks of jobs that have time to wait
PRESSURE_COST = 3.0  # for each unit of pressure on the serving task worst off
IMAGE_COST = 1.0  # of a further serving image, which more filling images harm
PACK_COST = 0.3  # of an empty worker for a serving task; they don't harm each other
STEP_COST = 0.05  # for each run of the same step, so that a worker's loss hits few
SERVING_USE = 0.4  # of their reservation that serving tasks use, measured


@define
class Placement:
    """One round of choices over the workers that may get new runs.

    :param workers: usable workers by service.
    """

    policy: JobPolicy
    harm: HarmModel
    workers: dict[str, list[WorkerState]]
    misfits: dict[tuple, list[Resources]] = Factory(dict)
    pressures: dict[str, dict[str, float]] = Factory(dict)  # worker: serving image

    def choose(
        self,
        task: Task,
        service: str,
        rack: str = "",
        pressing: bool = True,
        only: Container[str] | None = None,
    ) -> WorkerState | None:
        """Return the cheapest worker with room for a task; None if there is none.

        :param pressing: the task's job has no time to wait for a better worker.
        :param only: the workers that may run it, if not all may.
        """
        spec = task.spec
        constraint = (
            service,
            spec.required_label,
            rack,
            spec.fills and spec.image,
            pressing,
        )
        limit = PRESSURE_LIMIT if pressing else CALM_PRESSURE_LIMIT
        known = self.misfits.get(constraint, ())
        if any(item.fits_in(spec.size) for item in known):
            return None
        pressures = {
            worker.worker_id: pressure
            for worker in self.workers.get(service, ())
            if allows(worker, spec, rack)
            and (only is None or worker.worker_id in only)
            and has_room(worker, spec)
            and (
                (pressure := self.pressure_with(worker, spec)) <= limit
                or not spec.fills
            )
        }
        if not pressures:
            self.misfits.setdefault(constraint, []).append(spec.size)
            return None
        best = self._cheapest(task, service, pressures)
        if best is not None:
            # The caller places the task there, which changes what presses.
            self.pressures.pop(best.worker_id, None)
        return best

    def _cheapest(
        self, task: Task, service: str, pressures: dict[str, float]
    ) -> WorkerState | None:
        """Return the cheapest of some workers that the step's spread limit allows."""
        spec = task.spec
        same_step = self.count_step(task, service)
        best, best_cost = None, 0.0
        for worker in self.workers.get(service, ()):
            pressure = pressures.get(worker.worker_id)
            there = same_step[worker.worker_id]
            if pressure is None:
                continue
            if spec.max_per_worker and there >= spec.max_per_worker:
                continue
            cost = cost_of(worker, spec, self.policy) + there * STEP_COST
            cost += PRESSURE_COST * pressure
            if best is None or cost < best_cost:
                best, best_cost = worker, cost
        return best

    def pressure_with(self, worker: WorkerState, spec: StepSpec) -> float:
        """Return the pressure on the serving task worst off, with one more task."""
        if spec.target_ms:
            return self.harm.pressure(spec.image, worker.filling_mix())
        if not spec.fills or not worker.serving:
            return 0.0
        pressures = self.pressures.get(worker.worker_id)
        if pressures is None:
            pressures = self.pressures[worker.worker_id] = self._pressures(worker)
        share = spec.size.cpu_millis / max(worker.listing.capacity.cpu_millis, 1)
        return max(
            pressure + share * self.harm.press(image, spec.image)
            for image, pressure in pressures.items()
        )

    def _pressures(self, worker: WorkerState) -> dict[str, float]:
        """Return the highest pressure on each serving image at a worker."""
        mix = worker.filling_mix()
        loads: dict[str, float] = {}
        for step, image in worker.serving_steps().items():
            loads[image] = max(loads.get(image, 0.0), self.harm.load(step))
        return {
            image: load + self.harm.pressure(image, mix)
            for image, load in loads.items()
        }

    def count_step(self, task: Task, service: str) -> Counter:
        """Return how many runs of the task's step each worker holds."""
        counts = Counter()
        for worker in self.workers.get(service, ()):
            for run in worker.runs.values():
                other = run.task
                if (
                    other.job is task.job
                    and other.step == task.step
                    and other.occurrence == task.occurrence
                ):
                    counts[worker.worker_id] += 1
        return counts


def allows(worker: WorkerState, spec: StepSpec, rack: str) -> bool:
    """Tell whether a worker's labels suit a step."""
    labels = worker.listing.labels
    if spec.required_label and spec.required_label not in labels:
        return False
    return not rack or rack in labels


def has_room(worker: WorkerState, spec: StepSpec) -> bool:
    """Tell whether a worker has room for one more task of a step."""
    free = worker.free()
    if not spec.reserved.fits_in(free):
        return False
    if not spec.fills:
        return True
    used = worker.reserved.cpu_millis - int(worker.serving_cpu * (1 - SERVING_USE))
    unused = worker.listing.capacity.cpu_millis - used - worker.filling_cpu
    return unused >= spec.size.cpu_millis


def cost_of(worker: WorkerState, spec: StepSpec, policy: JobPolicy) -> float:
    """Return how bad a worker is for one more task of a step."""
    capacity = max(worker.listing.capacity.cpu_millis, 1)
    taken = worker.reserved.cpu_millis + worker.filling_cpu
    cost = taken / capacity
    if spec.target_ms:
        cost = PACK_COST * (1.0 - taken / capacity) + worker.filling_cpu / capacity
        cost += IMAGE_COST * len(set(worker.serving_steps().values()) - {spec.image})
    if spec.preferred_rack and spec.preferred_rack not in worker.listing.labels:
        cost += policy.far_factor - 1.0
    return cost
