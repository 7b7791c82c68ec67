"""Drives one policy through one load with a hand-held clock."""

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
    EvictionWanted,
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
TRIES_PER_S = 2
REPLICA_GRACE_S = 15
LEAVING_PER_S = 4
ATTEMPTS_LIMIT = 4


@frozen
class Figures:
    """What one run measured; work is in core-seconds."""

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
class Driver:
    """One run: workers, one policy for each zone, and the queue of each."""

    load: Load
    name: Baseline
    settings: PolicySettings
    second: int = 0
    zone_out: str = ""
    load_each: float = 0.0
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
    evicted_s: list[tuple[str, int]] = Factory(list)
    decisions: int = 0
    deciding_s: float = 0.0
    dealt: itertools.count = Factory(itertools.count)

    def run(self) -> Figures:
        """Run to the end and return the figures."""
        self._prepare()
        jobs = self.load.jobs()
        for self.second in range(DURATION_S):
            self._follow_zone()
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
        place = self.load.deployment
        self.view = place.make_view()
        rng = random.Random(f"{self.load.seed}/workers")
        for zone in place.zones:
            self.policies[zone] = make_policy(self.name, self.settings)
            self.queues[zone] = []
            self.workers[zone] = []
        for worker in place.make_workers():
            fake = FakeWorker(
                worker, random.Random(rng.random()), self.load.fails_starts(worker)
            )
            self.workers[worker.zone].append(fake)
        for spec in replicas_wanted(self.view):
            self._enqueue(FakeTask(spec))

    @property
    def now_ms(self) -> int:
        """The hand-held clock."""
        return self.second * 1000

    def _enqueue(self, task: FakeTask) -> None:
        zones = [zone for zone in self.queues if zone != self.zone_out]
        self.queues[zones[next(self.dealt) % len(zones)]].append(task)

    def _rooms(self, zone: str) -> list[WorkerLoad]:
        usable = zone != self.zone_out
        return [worker.as_room(usable, self.second) for worker in self.workers[zone]]

    # --- the zone that leaves and returns

    def _follow_zone(self) -> None:
        before, self.zone_out = self.zone_out, self.load.zone_out(self.second)
        if before != self.zone_out:
            state = ZoneState.OUT if self.zone_out else ZoneState.IN
            entry = ZoneEntry(self.zone_out or before, state)
            self.view = self.load.deployment.make_view((entry,))
        if self.zone_out:
            self._leave(before)

    def _leave(self, before: str) -> None:
        workers = self.workers[self.zone_out]
        if not before:
            for task in self.queues[self.zone_out]:
                self._enqueue(task)
            self.queues[self.zone_out] = []
            for replica in filter(None, (worker.replica() for worker in workers)):
                self._enqueue(FakeTask(replica.spec))
        if self.second == ZONE_OUT_S + REPLICA_GRACE_S:
            for worker in workers:
                worker.tasks = [task for task in worker.tasks if task.job]
                worker.changed()
        running = [t for w in workers for t in w.tasks if t.job]
        for task in [t for t in running if t.stop_at_s is None][:LEAVING_PER_S]:
            task.stop_at_s = self.second + CHECKPOINT_S

    # --- placing

    def _place_queue(self, zone: str) -> None:
        if not self.queues[zone]:
            return
        waiting = {task.spec.key: task for task in self.queues[zone]}
        queued = [
            QueuedTask(task.spec, task.queued_s * 1000, task.evictions, task.attempt)
            for task in waiting.values()
        ]
        rooms = {zone: self._rooms(zone)}
        failures = 0
        for item in self.policies[zone].order_queue(queued, {}, self.view, self.now_ms):
            if failures >= TRIES_PER_S:
                break
            if self._place(waiting[item.spec.key], zone, rooms):
                del waiting[item.spec.key]
            else:
                failures += 1
        self.queues[zone] = list(waiting.values())

    def _place(
        self, task: FakeTask, home: str, rooms: dict[str, list[WorkerLoad]]
    ) -> bool:
        others = [zone for zone in self.workers if zone != home]
        for zone in [home, *others]:
            if zone == self.zone_out:
                continue
            if zone not in rooms:
                rooms[zone] = self._rooms(zone)
            if self._place_at(task, zone, rooms):
                return True
        if task.spec.service:
            self._make_room(task, home, rooms)
        return False

    def _place_at(
        self, task: FakeTask, zone: str, rooms: dict[str, list[WorkerLoad]]
    ) -> bool:
        policy = self.policies[zone]
        began = time.perf_counter()
        reserved = policy.reserve_for(task.spec)
        choice = policy.choose_worker(
            task.spec, reserved, rooms[zone], self.view, self.now_ms
        )
        self.deciding_s += time.perf_counter() - began
        self.decisions += 1
        if not isinstance(choice, ChosenWorker):
            return False
        worker = self._worker(zone, choice.worker_id)
        self._start(task, worker, reserved)
        rooms[zone] = self._rooms(zone)
        return True

    def _worker(self, zone: str, worker_id: str) -> FakeWorker:
        return next(w for w in self.workers[zone] if w.worker.worker_id == worker_id)

    def _start(self, task: FakeTask, worker: FakeWorker, reserved: Resources) -> None:
        task.attempt += 1
        task.reserved = reserved
        task.placed_s = self.second
        task.throttle_percent = 100
        task.stop_at_s = None
        worker.tasks.append(task)
        worker.changed()

    def _make_room(
        self, task: FakeTask, home: str, rooms: dict[str, list[WorkerLoad]]
    ) -> None:
        for zone in sorted(rooms, key=lambda zone: zone != home):
            policy = self.policies[zone]
            wanted = policy.choose_eviction(
                task.spec, task.spec.size, rooms[zone], self.view, self.now_ms
            )
            if wanted:
                self._carry_out(zone, wanted)
                rooms[zone] = self._rooms(zone)
                return

    # --- running

    def _spread_load(self) -> None:
        """Divide the demand evenly over the running replicas."""
        fakes = itertools.chain(*self.workers.values())
        running = sum(fake.replica() is not None for fake in fakes)
        wanted = self.load.deployment.service.replicas
        demand = self.load.demand(self.second)
        self.load_each = min(1.5, demand * wanted / max(1, running))

    def _advance(self, zone: str, worker: FakeWorker) -> None:
        policy = self.policies[zone]
        if worker.replica() and not worker.fails_starts:
            self._serve(policy, worker)
        for task in list(worker.tasks):
            if worker.fails_starts and self.second > task.placed_s:
                self._fail(policy, worker, task)
            elif task.stop_at_s is not None and self.second >= task.stop_at_s:
                self._stop(worker, task)
        for task in worker.advance():
            self._finish(policy, worker, task)
        killed = worker.out_of_memory()
        if killed is not None:
            self._fail(policy, worker, killed)
        if (self.second + hash_of(worker)) % REPORT_PERIOD_S == 0:
            room = worker.as_room(True, self.second)
            policy.observe_report(worker.report(self.now_ms), room, self.now_ms)

    def _serve(self, policy: Policy, worker: FakeWorker) -> None:
        spec = worker.replica().spec
        samples = worker.sample_latencies(self.load_each)
        self.latencies.extend(samples)
        worker_id = worker.worker.worker_id
        for sample in samples:
            policy.observe_request(
                spec.key.team, spec.service, worker_id, sample, self.now_ms
            )

    def _finish(self, policy: Policy, worker: FakeWorker, task: FakeTask) -> None:
        worker.tasks.remove(task)
        worker.changed()
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
        worker.changed()
        self.failures += 1
        policy.observe_end(task.spec, worker.worker.worker_id, False, 0, self.now_ms)
        if task.job is None:
            self._enqueue(task)
            return
        self._lose(task, task.progress_s)
        if task.attempt >= ATTEMPTS_LIMIT:
            self.abandoned += 1
        else:
            self._requeue(task)

    def _stop(self, worker: FakeWorker, task: FakeTask) -> None:
        worker.tasks.remove(task)
        worker.changed()
        task.evictions += 1
        lost_s = RESTART_S if task.spec.checkpointable else task.progress_s
        self._lose(task, min(lost_s, task.progress_s))
        self._requeue(task)

    def _lose(self, task: FakeTask, seconds: float) -> None:
        task.progress_s -= seconds
        self.work_lost += seconds * task.job.kind.size.cpu_millis / 1000

    def _requeue(self, task: FakeTask) -> None:
        task.queued_s = self.second
        self._enqueue(task)

    def _relieve(self, zone: str) -> None:
        policy = self.policies[zone]
        planned = policy.plan_relief(self._rooms(zone), self.view, self.now_ms)
        self._carry_out(zone, planned)

    def _carry_out(self, zone: str, planned: list[Relief]) -> None:
        for item in planned:
            worker = self._worker(zone, item.worker_id)
            task = next(t for t in worker.tasks if t.spec.key == item.key)
            if isinstance(item, EvictionWanted):
                task.stop_at_s = self.second + CHECKPOINT_S
                self.evicted_s.append((zone, self.second))
            else:
                task.throttle_percent = item.percent
            worker.changed()

    # --- checks and figures

    def _check(self) -> None:
        """Check that reservations fit and that no start is in a zone that is out."""
        for workers in self.workers.values():
            for worker in workers:
                if not Resources().fits_in(worker.free()):
                    raise AssertionError(f"{worker.worker.worker_id} is overcommitted")
        if self.load.zone_out(self.second):
            for worker in self.workers[self.zone_out]:
                if any(task.placed_s == self.second for task in worker.tasks):
                    raise AssertionError("a start in a zone that is out")
            self.work_in_outage += self._rate_of_work()

    def _rate_of_work(self) -> float:
        return sum(
            task.throttle_percent / 100 * task.job.kind.size.cpu_millis / 1000
            for workers in self.workers.values()
            for worker in workers
            for task in worker.tasks
            if task.job and task.stop_at_s is None and not worker.fails_starts
        )

    def _worst_minute(self) -> int:
        worst = 0
        for zone in self.workers:
            times = [second for name, second in self.evicted_s if name == zone]
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
            len(self.evicted_s),
            self.work_lost,
            self.work_in_outage,
            self.failures,
            self.abandoned,
            self._worst_minute(),
            self.decisions / max(1e-9, self.deciding_s),
        )


def hash_of(worker: FakeWorker) -> int:
    """Return the worker's number, which spreads the reports over time."""
    return int(worker.worker.worker_id.rpartition("-")[2])


def measure(load: Load, name: Baseline, settings: PolicySettings) -> Figures:
    """Run one policy through one load."""
    return Driver(load, name, settings).run()


def count_by_zone(events: list[tuple[str, int]]) -> collections.Counter[str]:
    """Return how many events each zone had."""
    return collections.Counter(zone for zone, _ in events)
