"""Chooses the worker for a task; does no I/O."""

from collections import Counter
from collections.abc import Container

from attrs import Factory, define

from poplarlb.coordination.jobs.fleet import WorkerState
from poplarlb.coordination.jobs.interference import InterferenceModel
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state.jobs import StepSpec, Task
from poplarlb.state.models import Resources

# Best-effort tasks are those of steps with ``fills``; serving tasks have a target for
# their tail latency. A best-effort task is placed at a worker only if the utilization
# of each serving task there (own load plus interference, 0 to 1, learned from tail
# latency) doesn't exceed the limit with it. Costs are shares of a worker's processors;
# a worker that is full costs 1.
UTILIZATION_LIMIT = 0.72  # targets are met up to 0.78; loads change meanwhile
RELAXED_UTILIZATION_LIMIT = 0.64  # for tasks of jobs that have time to wait
UTILIZATION_COST = 3.0  # for each unit of the highest utilization of a serving task
# For each other serving image at the worker: more best-effort images interfere there.
IMAGE_COST = 1.0
# Of a serving task at an empty worker: serving tasks don't slow each other.
PACK_COST = 0.3
# For each run of the same step already at the worker, so that few are lost with it.
STEP_COST = 0.05
SERVING_USE_SHARE = 0.4  # of its reservation that a serving task uses


@define
class WorkerChooser:
    """Chooses workers for tasks in one scheduling round.

    :param workers: the workers to choose from, by service.
    :ivar unfit_sizes: sizes that fitted no worker in this round, by constraint.
    """

    policy: JobPolicy
    model: InterferenceModel
    workers: dict[str, list[WorkerState]]
    unfit_sizes: dict[tuple, list[Resources]] = Factory(dict)
    # Highest utilization, by worker and serving image.
    utilizations: dict[str, dict[str, float]] = Factory(dict)

    def choose(
        self,
        task: Task,
        service: str,
        rack: str = "",
        urgent: bool = True,
        only: Container[str] | None = None,
    ) -> WorkerState | None:
        """Return the cheapest worker with capacity for a task; None if there is none.

        :param rack: the label of the rack in which the task must run; empty: any.
        :param urgent: the task's job has no time to wait for a better worker.
        :param only: the workers that may run it; None: all may.
        """
        spec = task.spec
        constraint = (
            service,
            spec.required_label,
            rack,
            spec.fills and spec.image,
            urgent,
        )
        limit = UTILIZATION_LIMIT if urgent else RELAXED_UTILIZATION_LIMIT
        known = self.unfit_sizes.get(constraint, ())
        if any(item.fits_in(spec.size) for item in known):
            return None
        utilizations = {
            worker.worker_id: utilization
            for worker in self.workers.get(service, ())
            if labels_match(worker, spec, rack)
            and (only is None or worker.worker_id in only)
            and has_capacity(worker, spec)
            and (
                (utilization := self.utilization_with(worker, spec)) <= limit
                or not spec.fills
            )
        }
        if not utilizations:
            self.unfit_sizes.setdefault(constraint, []).append(spec.size)
            return None
        best = self._cheapest(task, service, utilizations)
        if best is not None:
            # The caller places the task there, which changes the utilization.
            self.utilizations.pop(best.worker_id, None)
        return best

    def _cheapest(
        self, task: Task, service: str, utilizations: dict[str, float]
    ) -> WorkerState | None:
        """Return the cheapest of the workers that the step's spread limit allows.

        :param utilizations: the workers that fit, with their highest utilization.
        """
        spec = task.spec
        same_step = self.count_step_runs(task, service)
        best, best_cost = None, 0.0
        for worker in self.workers.get(service, ()):
            utilization = utilizations.get(worker.worker_id)
            there = same_step[worker.worker_id]
            if utilization is None:
                continue
            if spec.max_per_worker and there >= spec.max_per_worker:
                continue
            cost = placement_cost(worker, spec, self.policy) + there * STEP_COST
            cost += UTILIZATION_COST * utilization
            if best is None or cost < best_cost:
                best, best_cost = worker, cost
        return best

    def utilization_with(self, worker: WorkerState, spec: StepSpec) -> float:
        """Return the highest utilization of a serving task, with one more task.

        For a serving task it is only the interference that the task itself would meet;
        for a task that is neither serving nor best-effort it is 0.
        """
        if spec.target_ms:
            return self.model.interference(spec.image, worker.best_effort_mix())
        if not spec.fills or not worker.serving_runs:
            return 0.0
        utilizations = self.utilizations.get(worker.worker_id)
        if utilizations is None:
            utilizations = self.utilizations[worker.worker_id] = self._utilizations(
                worker
            )
        share = spec.size.cpu_millis / max(worker.listing.capacity.cpu_millis, 1)
        return max(
            utilization + share * self.model.coefficient(image, spec.image)
            for image, utilization in utilizations.items()
        )

    def _utilizations(self, worker: WorkerState) -> dict[str, float]:
        """Return the highest utilization of each serving image at a worker."""
        mix = worker.best_effort_mix()
        loads: dict[str, float] = {}
        for step, image in worker.serving_steps().items():
            loads[image] = max(loads.get(image, 0.0), self.model.load(step))
        return {
            image: load + self.model.interference(image, mix)
            for image, load in loads.items()
        }

    def count_step_runs(self, task: Task, service: str) -> Counter:
        """Return the number of runs of the task's step at each worker."""
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


def labels_match(worker: WorkerState, spec: StepSpec, rack: str) -> bool:
    """Return whether a worker has the labels that a step requires."""
    labels = worker.listing.labels
    if spec.required_label and spec.required_label not in labels:
        return False
    return not rack or rack in labels


def has_capacity(worker: WorkerState, spec: StepSpec) -> bool:
    """Return whether one more task of a step fits in a worker's free capacity.

    A best-effort task also needs processors that the other tasks leave unused.
    """
    free = worker.free_capacity()
    if not spec.reserved.fits_in(free):
        return False
    if not spec.fills:
        return True
    used = worker.reserved.cpu_millis - int(
        worker.serving_cpu * (1 - SERVING_USE_SHARE)
    )
    unused = worker.listing.capacity.cpu_millis - used - worker.best_effort_cpu
    return unused >= spec.size.cpu_millis


def placement_cost(worker: WorkerState, spec: StepSpec, policy: JobPolicy) -> float:
    """Return the cost of placing one more task of a step at a worker."""
    capacity = max(worker.listing.capacity.cpu_millis, 1)
    reserved = worker.reserved.cpu_millis + worker.best_effort_cpu
    cost = reserved / capacity
    if spec.target_ms:
        cost = (
            PACK_COST * (1.0 - reserved / capacity) + worker.best_effort_cpu / capacity
        )
        cost += IMAGE_COST * len(set(worker.serving_steps().values()) - {spec.image})
    if spec.preferred_rack and spec.preferred_rack not in worker.listing.labels:
        cost += policy.far_factor - 1.0
    return cost
