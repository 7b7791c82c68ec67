"""Simulates one placement policy under one load, on a simulated clock."""

import collections
import itertools
import random
import time

from attrs import Factory, define, frozen

from bench.baselines import Baseline, make_policy
from bench.fakes import CHECKPOINT_S, RESTART_S, FakeTask, FakeWorker
from bench.loads import DURATION_S, ZONE_OUT_S, Load
from poplarlb.coordination.policy.policy import (
    ChosenWorker,
    EvictionRequested,
    Policy,
    QueuedTask,
    Relief,
    WorkerLoad,
)
from poplarlb.coordination.workers.replicas import replicas_wanted
from poplarlb.settings import PolicySettings
from poplarlb.state.models import Resources, ZoneState
from poplarlb.state.templates import ConfigView, ZoneEntry

REPORT_PERIOD_S = 10
MAX_FAILED_PLACEMENTS_PER_S = 2
REPLICA_GRACE_S = 15
EVACUATIONS_PER_S = 4
MAX_ATTEMPTS = 4


@frozen
class Figures:
    """The results of one simulation; work is in core-seconds."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    in_target: float
    work: float
    finished: int
    evictions: int
    work_lost: float
    work_in_outage: float
    failures: int
    abandoned: int
    worst_evictions_per_min: int
    decisions_per_s: float


@define
class Simulation:
    """One run: workers, and a policy and a queue for each zone."""

    load: Load
    baseline: Baseline
    settings: PolicySettings
    second: int = 0
    zone_out: str = ""
    load_per_replica: float = 0.0
    view: ConfigView = ConfigView()
    workers: dict[str, list[FakeWorker]] = Factory(dict)
    policies: dict[str, Policy] = Factory(dict)
    queues: dict[str, list[FakeTask]] = Factory(dict)
    latencies: list[float] = Factory(list)
    work: float = 0.0
    work_lost: float = 0.0
    work_in_outage: float = 0.0
    finished: int = 0
    failures: int = 0
    abandoned: int = 0
    eviction_times: list[tuple[str, int]] = Factory(list)
    decisions: int = 0
    decision_time_s: float = 0.0
    enqueue_counter: itertools.count = Factory(itertools.count)

    def run(self) -> Figures:
        """Simulate the whole load and return the figures."""
        self._prepare()
        jobs = self.load.jobs()
        for self.second in range(DURATION_S):
            self._update_zone_out()
            for job in jobs[self.second]:
                self._enqueue(FakeTask(job.spec, job, queued_s=self.second))
            for zone in self.workers:
                self._place_queue(zone)
            self._spread_load()
            for zone, workers in self.workers.items():
                for worker in workers:
                    self._advance(zone, worker)
                self._relieve(zone)
            self._check()
        return self._figures()

    def _prepare(self) -> None:
        deployment = self.load.deployment
        self.view = deployment.make_view()
        rng = random.Random(f"{self.load.seed}/workers")
        for zone in deployment.zones:
            self.policies[zone] = make_policy(self.baseline, self.settings)
            self.queues[zone] = []
            self.workers[zone] = []
        for worker in deployment.make_workers():
            fake = FakeWorker(
                worker, random.Random(rng.random()), self.load.fails_starts(worker)
            )
            self.workers[worker.zone].append(fake)
        for spec in replicas_wanted(self.view):
            self._enqueue(FakeTask(spec))

    @property
    def now_ms(self) -> int:
        """The time of the simulated clock."""
        return self.second * 1000

    def _enqueue(self, task: FakeTask) -> None:
        zones = [zone for zone in self.queues if zone != self.zone_out]
        self.queues[zones[next(self.enqueue_counter) % len(zones)]].append(task)

    def _worker_loads(self, zone: str) -> list[WorkerLoad]:
        usable = zone != self.zone_out
        return [
            worker.as_worker_load(usable, self.second) for worker in self.workers[zone]
        ]

    # --- zone evacuation

    def _update_zone_out(self) -> None:
        previous_zone_out, self.zone_out = (
            self.zone_out,
            self.load.zone_out(self.second),
        )
        if previous_zone_out != self.zone_out:
            state = ZoneState.OUT if self.zone_out else ZoneState.IN
            entry = ZoneEntry(self.zone_out or previous_zone_out, state)
            self.view = self.load.deployment.make_view((entry,))
        if self.zone_out:
            self._evacuate_zone(previous_zone_out)

    def _evacuate_zone(self, previous_zone_out: str) -> None:
        workers = self.workers[self.zone_out]
        if not previous_zone_out:
            for task in self.queues[self.zone_out]:
                self._enqueue(task)
            self.queues[self.zone_out] = []
            for replica in filter(None, (worker.replica() for worker in workers)):
                self._enqueue(FakeTask(replica.spec))
        if self.second == ZONE_OUT_S + REPLICA_GRACE_S:
            for worker in workers:
                worker.tasks = [task for task in worker.tasks if task.job]
                worker.invalidate_load()
        running = [t for w in workers for t in w.tasks if t.job]
        for task in [t for t in running if t.stop_at_s is None][:EVACUATIONS_PER_S]:
            task.stop_at_s = self.second + CHECKPOINT_S

    # --- placement

    def _place_queue(self, zone: str) -> None:
        if not self.queues[zone]:
            return
        unplaced = {task.spec.key: task for task in self.queues[zone]}
        queued = [
            QueuedTask(task.spec, task.queued_s * 1000, task.evictions, task.attempt)
            for task in unplaced.values()
        ]
        worker_loads = {zone: self._worker_loads(zone)}
        failures = 0
        for item in self.policies[zone].order_queue(queued, {}, self.view, self.now_ms):
            if failures >= MAX_FAILED_PLACEMENTS_PER_S:
                break
            if self._place(unplaced[item.spec.key], zone, worker_loads):
                del unplaced[item.spec.key]
            else:
                failures += 1
        self.queues[zone] = list(unplaced.values())

    def _place(
        self, task: FakeTask, home: str, worker_loads: dict[str, list[WorkerLoad]]
    ) -> bool:
        others = [zone for zone in self.workers if zone != home]
        for zone in [home, *others]:
            if zone == self.zone_out:
                continue
            if zone not in worker_loads:
                worker_loads[zone] = self._worker_loads(zone)
            if self._place_at(task, zone, worker_loads):
                return True
        if task.spec.service:
            self._evict_for(task, home, worker_loads)
        return False

    def _place_at(
        self, task: FakeTask, zone: str, worker_loads: dict[str, list[WorkerLoad]]
    ) -> bool:
        policy = self.policies[zone]
        began = time.perf_counter()
        reserved = policy.reserve_for(task.spec)
        choice = policy.choose_worker(
            task.spec, reserved, worker_loads[zone], self.view, self.now_ms
        )
        self.decision_time_s += time.perf_counter() - began
        self.decisions += 1
        if not isinstance(choice, ChosenWorker):
            return False
        worker = self._find_worker(zone, choice.worker_id)
        self._start(task, worker, reserved)
        worker_loads[zone] = self._worker_loads(zone)
        return True

    def _find_worker(self, zone: str, worker_id: str) -> FakeWorker:
        return next(w for w in self.workers[zone] if w.worker.worker_id == worker_id)

    def _start(self, task: FakeTask, worker: FakeWorker, reserved: Resources) -> None:
        task.attempt += 1
        task.reserved = reserved
        task.placed_s = self.second
        task.throttle_percent = 100
        task.stop_at_s = None
        worker.tasks.append(task)
        worker.invalidate_load()

    def _evict_for(
        self, task: FakeTask, home: str, worker_loads: dict[str, list[WorkerLoad]]
    ) -> None:
        for zone in sorted(worker_loads, key=lambda zone: zone != home):
            policy = self.policies[zone]
            evictions = policy.choose_eviction(
                task.spec, task.spec.size, worker_loads[zone], self.view, self.now_ms
            )
            if evictions:
                self._apply_reliefs(zone, evictions)
                worker_loads[zone] = self._worker_loads(zone)
                return

    # --- running

    def _spread_load(self) -> None:
        """Divide the demand evenly among the running replicas."""
        fakes = itertools.chain(*self.workers.values())
        running = sum(fake.replica() is not None for fake in fakes)
        replicas = self.load.deployment.service.replicas
        demand = self.load.demand(self.second)
        self.load_per_replica = min(1.5, demand * replicas / max(1, running))

    def _advance(self, zone: str, worker: FakeWorker) -> None:
        policy = self.policies[zone]
        if worker.replica() and not worker.fails_starts:
            self._serve(policy, worker)
        for task in list(worker.tasks):
            if worker.fails_starts and self.second > task.placed_s:
                self._fail(policy, worker, task)
            elif task.stop_at_s is not None and self.second >= task.stop_at_s:
                self._complete_eviction(worker, task)
        for task in worker.advance():
            self._finish(policy, worker, task)
        killed = worker.out_of_memory()
        if killed is not None:
            self._fail(policy, worker, killed)
        if (self.second + worker_number(worker)) % REPORT_PERIOD_S == 0:
            worker_load = worker.as_worker_load(True, self.second)
            policy.observe_report(worker.report(self.now_ms), worker_load, self.now_ms)

    def _serve(self, policy: Policy, worker: FakeWorker) -> None:
        spec = worker.replica().spec
        samples = worker.sample_latencies(self.load_per_replica)
        self.latencies.extend(samples)
        worker_id = worker.worker.worker_id
        for sample in samples:
            policy.observe_request(
                spec.key.team, spec.service, worker_id, sample, self.now_ms
            )

    def _finish(self, policy: Policy, worker: FakeWorker, task: FakeTask) -> None:
        worker.tasks.remove(task)
        worker.invalidate_load()
        self.finished += 1
        self._count_work(task, task.job.true_run_time_s)
        run_time_ms = (self.second - task.placed_s) * 1000
        policy.observe_end(
            task.spec, worker.worker.worker_id, True, run_time_ms, self.now_ms
        )

    def _count_work(self, task: FakeTask, seconds: float) -> None:
        self.work += seconds * task.job.kind.size.cpu_millis / 1000

    def _fail(self, policy: Policy, worker: FakeWorker, task: FakeTask) -> None:
        worker.tasks.remove(task)
        worker.invalidate_load()
        self.failures += 1
        policy.observe_end(task.spec, worker.worker.worker_id, False, 0, self.now_ms)
        if task.job is None:
            self._enqueue(task)
            return
        self._lose_progress(task, task.progress_s)
        if task.attempt >= MAX_ATTEMPTS:
            self.abandoned += 1
        else:
            self._requeue(task)

    def _complete_eviction(self, worker: FakeWorker, task: FakeTask) -> None:
        worker.tasks.remove(task)
        worker.invalidate_load()
        task.evictions += 1
        lost_s = RESTART_S if task.spec.checkpointable else task.progress_s
        self._lose_progress(task, min(lost_s, task.progress_s))
        self._requeue(task)

    def _lose_progress(self, task: FakeTask, seconds: float) -> None:
        task.progress_s -= seconds
        self.work_lost += seconds * task.job.kind.size.cpu_millis / 1000

    def _requeue(self, task: FakeTask) -> None:
        task.queued_s = self.second
        self._enqueue(task)

    def _relieve(self, zone: str) -> None:
        policy = self.policies[zone]
        reliefs = policy.plan_relief(self._worker_loads(zone), self.view, self.now_ms)
        self._apply_reliefs(zone, reliefs)

    def _apply_reliefs(self, zone: str, reliefs: list[Relief]) -> None:
        for item in reliefs:
            worker = self._find_worker(zone, item.worker_id)
            task = next(t for t in worker.tasks if t.spec.key == item.key)
            if isinstance(item, EvictionRequested):
                task.stop_at_s = self.second + CHECKPOINT_S
                self.eviction_times.append((zone, self.second))
            else:
                task.throttle_percent = item.percent
            worker.invalidate_load()

    # --- checks and figures

    def _check(self) -> None:
        """Check for overcommitted workers and for starts in a zone that is out."""
        for workers in self.workers.values():
            for worker in workers:
                if not Resources().fits_in(worker.free()):
                    raise AssertionError(f"{worker.worker.worker_id} is overcommitted")
        if self.load.zone_out(self.second):
            for worker in self.workers[self.zone_out]:
                if any(task.placed_s == self.second for task in worker.tasks):
                    raise AssertionError("a start in a zone that is out")
            self.work_in_outage += self._work_rate()

    def _work_rate(self) -> float:
        return sum(
            task.throttle_percent / 100 * task.job.kind.size.cpu_millis / 1000
            for workers in self.workers.values()
            for worker in workers
            for task in worker.tasks
            if task.job and task.stop_at_s is None and not worker.fails_starts
        )

    def _max_evictions_per_min(self) -> int:
        worst = 0
        for zone in self.workers:
            times = [second for name, second in self.eviction_times if name == zone]
            for first in times:
                worst = max(worst, sum(first <= s < first + 60 for s in times))
        return worst

    def _figures(self) -> Figures:
        for workers in self.workers.values():
            for task in itertools.chain(*(worker.tasks for worker in workers)):
                if task.job:
                    self._count_work(task, task.progress_s)
        for task in itertools.chain(*self.queues.values()):
            if task.job:
                self._count_work(task, task.progress_s)
        ordered = sorted(self.latencies)
        count = len(ordered)
        target_ms = self.load.deployment.service.target_ms
        return Figures(
            ordered[count // 2],
            ordered[int(count * 0.99)],
            ordered[int(count * 0.999)],
            sum(value <= target_ms for value in ordered) / count,
            self.work,
            self.finished,
            len(self.eviction_times),
            self.work_lost,
            self.work_in_outage,
            self.failures,
            self.abandoned,
            self._max_evictions_per_min(),
            self.decisions / max(1e-9, self.decision_time_s),
        )


def worker_number(worker: FakeWorker) -> int:
    """Return the number in the worker's id; it staggers the workers' reports."""
    return int(worker.worker.worker_id.rpartition("-")[2])


def measure(load: Load, baseline: Baseline, settings: PolicySettings) -> Figures:
    """Simulate one policy under one load."""
    return Simulation(load, baseline, settings).run()


def count_by_zone(events: list[tuple[str, int]]) -> collections.Counter[str]:
    """Return the number of events of each zone."""
    return collections.Counter(zone for zone, _ in events)
