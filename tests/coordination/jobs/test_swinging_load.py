"""Serving tasks whose load swings within seconds, beside best-effort tasks.

The load rises from a third of what its target allows to nearly all of it and falls
again, as that of callers does. Workers are simulated; there is no network.
"""

import math
import random
import unittest
from unittest import mock

from attrs import Factory, define

from poplarlb.coordination.jobs import throttling
from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import WorkerListing
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.coordination.jobs.interference import Estimate
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.coordination.jobs.throttling import Throttler
from poplarlb.state.jobs import Job, StepSpec, Task, TaskStatus
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import make_job

CPU_MILLIS = 16_000
TARGET_MS = 18
IDLE_RATIO = 0.22  # of tail latency to target, without any load
COEFFICIENT = 1.4  # of the best-effort image with the serving one
MEAN_LOAD, SWING = 0.43, 0.21
STEP_MS = 20
MEASURED_MS = 500
POLL_MS = 500
PACE_MS = 100  # until a worker obeys a throttle
WORKERS = 24
MAX_BEST_EFFORT = 5  # tasks at a worker; others have fewer, or none
SECONDS = 40
SEEDS = (1, 2, 3)
HELD_OUT_SEED = 11


@define(eq=False, slots=False)
class Site:
    """Workers with one serving step, polled in turn."""

    period_s: float
    seed: int
    state: DispatcherState = Factory(lambda: DispatcherState(JobPolicy(), 1))
    over_target_ms: int = 0
    best_effort_ms: float = 0.0
    in_force: dict[Run, float] = Factory(dict)
    ordered: list[tuple[int, Run, int]] = Factory(list)  # time, run, percent
    utilizations: dict[str, list[float]] = Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Place the tasks."""
        self.rng = random.Random(self.seed)
        self.phase = self.rng.uniform(0, 2 * math.pi)
        self.throttler = Throttler(self.state)
        slope = Estimate(COEFFICIENT / IDLE_RATIO, 0.1, 0)
        self.state.interference.slopes = {"web": {"sum": slope}}
        serving = StepSpec(
            WORKERS, Resources(3_200, 1), long_running=True, image="web", target_ms=18
        )
        self.serving = Job(make_job("a" * 16, serving)).open_occurrence(0).steps[0]
        for index, task in enumerate(self.serving):
            worker = self.state.worker(f"w{index}")
            worker.listing = WorkerListing(
                worker.worker_id, 1, "", "desk", "z", False, Resources(CPU_MILLIS, 64)
            )
            self.place(worker, task)
            self.utilizations[worker.worker_id] = []
            for number in range(index % (MAX_BEST_EFFORT + 1)):
                step = StepSpec(1, Resources(1_800, 1), image="sum", fills=True)
                job = Job(make_job(f"{index:08x}{number:08x}", step))
                self.in_force[
                    self.place(worker, job.open_occurrence(0).steps[0][0])
                ] = 1

    def place(self, worker: WorkerState, task: Task) -> Run:
        """Place a task at a worker."""
        task.status, task.run, task.worker_id = TaskStatus.PLACED, 1, worker.worker_id
        run = Run(task, 1, worker.worker_id, RunPhase.RUNNING, 0, confirmed_ms=1)
        worker.add(run)
        return run

    def run(self) -> None:
        """Let time pass."""
        for now_ms in range(STEP_MS, SECONDS * 1_000, STEP_MS):
            self.state.now_ms = now_ms
            load = MEAN_LOAD + SWING * math.sin(
                2 * math.pi * now_ms / 1_000 / self.period_s + self.phase
            )
            for due_ms, run, percent in self.ordered:
                if due_ms <= now_ms:
                    self.in_force[run] = percent / 100
            self.ordered = [item for item in self.ordered if item[0] > now_ms]
            for index, worker in enumerate(self.state.workers.values()):
                self.advance(worker, load)
                if (now_ms + index * POLL_MS // WORKERS) // STEP_MS % 25 == 0:
                    self.poll(worker)

    def advance(self, worker: WorkerState, load: float) -> None:
        """Let a worker's tasks work for one step."""
        runs = [run for run in worker.runs.values() if run.task.spec.fills]
        used = sum(1_800 * self.in_force[run] for run in runs) / CPU_MILLIS
        utilization = min(load + COEFFICIENT * used, 0.98)
        self.utilizations[worker.worker_id].append(utilization)
        self.over_target_ms += STEP_MS * (IDLE_RATIO / (1 - utilization) > 1)
        self.best_effort_ms += STEP_MS * sum(self.in_force[run] for run in runs)

    def poll(self, worker: WorkerState) -> None:
        """Deliver a worker's measurements, and take the throttles."""
        recent = self.utilizations[worker.worker_id][-MEASURED_MS // STEP_MS :]
        utilization = sum(recent) / len(recent) + self.rng.uniform(-0.02, 0.02)
        for run in worker.runs.values():
            if run.task.spec.target_ms:
                run.measurement = TARGET_MS * IDLE_RATIO / (1 - min(utilization, 0.98))
            else:
                run.measurement = 1_800 * self.in_force[run]
            run.stopping = ""
        self.state.commands = []
        self.throttler.update(worker)
        self.ordered += [
            (
                self.state.now_ms + PACE_MS,
                worker.runs[item.task, item.run],
                item.percent,
            )
            for item in self.state.commands
            if isinstance(item, throttling.ThrottleRun)
        ]


def simulate(period_s: float, seed: int, ahead: bool = True) -> Site:
    """Return a site after its run, with or without forecasts of its loads."""
    site = Site(period_s, seed)
    if not ahead:
        site.state.interference.forecast = mock.Mock(
            lowest=lambda step, present, ahead_ms, now_ms: present
        )
    site.run()
    return site


class SwingingLoadTest(unittest.TestCase):
    """Compares with throttles that go by the present load."""

    def compare(self, period_s: float, share: float) -> None:
        """Check that targets are missed for less than a share of the time."""
        for seed in (*SEEDS, HELD_OUT_SEED):
            with self.subTest(period_s=period_s, seed=seed):
                present = simulate(period_s, seed, ahead=False)
                forecast = simulate(period_s, seed)
                self.assertLess(forecast.over_target_ms, share * present.over_target_ms)

    def test_targets_are_missed_for_less_than_half_the_time(self) -> None:
        """A rising load is throttled for before it has risen."""
        self.compare(10.0, 0.5)

    def test_faster_and_slower_swings_are_forecast_too(self) -> None:
        """The forecast goes by the trend and not by a period."""
        self.compare(7.0, 0.85)
        self.compare(15.0, 0.85)

    def test_best_effort_tasks_keep_most_of_their_work(self) -> None:
        """Nine tenths of the work without forecasts is done with them."""
        for seed in SEEDS:
            present = simulate(10.0, seed, ahead=False)
            forecast = simulate(10.0, seed)
            self.assertGreater(forecast.best_effort_ms, 0.9 * present.best_effort_ms)


if __name__ == "__main__":
    unittest.main()
