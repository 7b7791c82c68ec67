"""A model of workers on which placement policies are compared.

The latency of one request at a replica is

    base x lognormal x (1 + sum of interference x cpu share x (0.5 + load))
         x overcommitment of processors x queueing factor

so the interference of a batch task grows with the service's load.
``UNTHROTTLED_SHARE`` of a task's interference comes from its memory accesses and
remains when its processors are throttled. Reports lag and are noisy. A batch task
progresses at its throttled share of speed. An eviction takes ``CHECKPOINT_S`` and
loses ``RESTART_S`` of work, or all progress of a task that can't be checkpointed.
If tasks use more memory than the worker has, the task furthest above its
reservation fails.
"""

import collections
import random

from attrs import Factory, define

from bench.loads import Job
from poplarlb.coordination.workers.placement_types import PlacedTask, WorkerLoad
from poplarlb.state.models import (
    Resources,
    ServiceLatency,
    TaskReport,
    TaskSpec,
    Worker,
    WorkerReport,
)

BASE_MS = 12.0
SIGMA = 0.35
SAMPLES_PER_S = 6
CHECKPOINT_S = 2
RESTART_S = 10
REPORT_LAG_S = 5
USAGE_NOISE = 0.1
LATENCIES_KEPT = 60
LOAD_PERIOD_S = 5
UNTHROTTLED_SHARE = 0.25


@define
class FakeTask:
    """A task at a worker or in the queue, with its progress."""

    spec: TaskSpec
    job: Job | None = None
    attempt: int = 0
    reserved: Resources = Resources()
    placed_s: int = 0
    queued_s: int = 0
    throttle_percent: int = 100
    progress_s: float = 0.0
    evictions: int = 0
    stop_at_s: int | None = None

    def as_placed_task(self) -> PlacedTask:
        """Return the task as the policy sees it."""
        return PlacedTask(
            self.spec,
            self.attempt,
            self.reserved,
            self.placed_s * 1000,
            True,
            self.stop_at_s is not None,
            self.throttle_percent,
            int(self.progress_s * 1000),
            self.evictions,
        )

    def used(self) -> Resources:
        """Return the resources that the task actually uses."""
        if self.job is None:
            return self.spec.size
        size = self.job.true_size
        cpu = size.cpu_millis * self.throttle_percent // 100
        return Resources(cpu, size.memory_mb)

    def interfering_cpu_millis(self) -> float:
        """Return the task's CPU use that causes interference, in milli-cores."""
        limited = (
            UNTHROTTLED_SHARE + (1 - UNTHROTTLED_SHARE) * self.throttle_percent / 100
        )
        return self.job.true_size.cpu_millis * limited


@define
class FakeWorker:
    """A simulated worker that runs replicas and batch tasks."""

    worker: Worker
    rng: random.Random
    fails_starts: bool = False
    tasks: list[FakeTask] = Factory(list)
    latencies: collections.deque[float] = Factory(
        lambda: collections.deque(maxlen=LATENCIES_KEPT)
    )
    cached_load: WorkerLoad | None = None
    cached_until_s: int = 0

    def free(self) -> Resources:
        """Return the free capacity."""
        free = self.worker.capacity
        for task in self.tasks:
            free = free.minus(task.reserved)
        return free

    def as_worker_load(self, usable: bool, second: int) -> WorkerLoad:
        """Return the worker as the policy sees it.

        The progress of tasks is updated every ``LOAD_PERIOD_S``, all else at once.
        """
        if (
            self.cached_load is None
            or second >= self.cached_until_s
            or self.cached_load.usable != usable
        ):
            tasks = tuple(task.as_placed_task() for task in self.tasks)
            self.cached_load = WorkerLoad(self.worker, self.free(), tasks, usable)
            self.cached_until_s = second + LOAD_PERIOD_S
        return self.cached_load

    def invalidate_load(self) -> None:
        """Discard the cached load, as tasks were added, removed or throttled."""
        self.cached_load = None

    def replica(self) -> FakeTask | None:
        """Return the service replica at this worker, if any."""
        return next((task for task in self.tasks if task.spec.service), None)

    def sample_latencies(self, load: float) -> list[float]:
        """Return the latencies of the requests sampled in one second."""
        scale_ms = BASE_MS * self.slowdown(load)
        sampled_ms = [
            scale_ms * self.rng.lognormvariate(0, SIGMA) for _ in range(SAMPLES_PER_S)
        ]
        self.latencies.extend(sampled_ms)
        return sampled_ms

    def slowdown(self, load: float) -> float:
        """Return the factor by which tasks here slow the service down."""
        cpu = self.worker.capacity.cpu_millis
        interference = sum(
            task.job.kind.interference * task.interfering_cpu_millis() / cpu
            for task in self.tasks
            if task.job and task.stop_at_s is None
        )
        slowed = (1 + interference * (0.5 + load)) * self.overcommitment()
        return slowed / (1 - min(0.9, 0.5 * load * slowed))

    def overcommitment(self) -> float:
        """Return the ratio of used processors to capacity, at least 1."""
        used = sum(task.used().cpu_millis for task in self.tasks)
        return max(1.0, used / self.worker.capacity.cpu_millis)

    def advance(self) -> list[FakeTask]:
        """Run the batch tasks for one second and return those that finished."""
        speed = 1 / self.overcommitment()
        finished = []
        for task in self.tasks:
            if task.job is None or task.stop_at_s is not None:
                continue
            task.progress_s += speed * task.throttle_percent / 100
            if task.progress_s >= task.job.true_run_time_s:
                finished.append(task)
        return finished

    def out_of_memory(self) -> FakeTask | None:
        """Return the task that fails for lack of memory, if any."""
        used = sum(task.used().memory_mb for task in self.tasks)
        if used <= self.worker.capacity.memory_mb:
            return None
        return max(
            (task for task in self.tasks if task.job),
            key=lambda task: task.used().memory_mb - task.reserved.memory_mb,
            default=None,
        )

    def report(self, now_ms: int) -> WorkerReport:
        """Return a lagging, noisy report."""
        tasks = tuple(
            TaskReport(
                task.spec.key, task.attempt, 1, "running", self._noisy(task.used())
            )
            for task in self.tasks
        )
        ordered = sorted(self.latencies)
        services = ()
        replica = self.replica()
        if ordered and replica is not None:
            name = replica.spec.service
            p50, p99 = ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.99)]
            services = (ServiceLatency(name, p50, p99, len(ordered)),)
        return WorkerReport(
            self.worker.worker_id,
            now_ms,
            now_ms - REPORT_LAG_S * 1000,
            tasks,
            services,
        )

    def _noisy(self, used: Resources) -> Resources:
        factor = max(0.5, self.rng.gauss(1, USAGE_NOISE))
        return Resources(int(used.cpu_millis * factor), int(used.memory_mb * factor))
