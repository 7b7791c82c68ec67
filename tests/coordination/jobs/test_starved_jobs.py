"""Jobs of which nothing runs while most of their service's room is not reserved."""

import unittest
from itertools import count

import attrs

from poplarlb.coordination.jobs.interference import Estimate
from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import LiveRun
from tests.coordination.jobs.job_world import JobWorld, make_job

WORKERS = 4
CPU_MILLIS = 16_000
MAX_WAIT_MS = 3_000  # without a run while most room is free, by the users' rules
TARGET_MS = 40
LONG_AGO_MS = 100_000
STARVED_JOBS = 30  # twice as many as start in a second at all workers
SERVING = "5" * 16
STARVED = "b" * 16
STEEP_SLOPE = 12.0  # two processors of 16 take 1.5 off a margin


def serving_job(count: int = WORKERS):
    """Return a job with one serving task for each worker, of a fifth of its room."""
    step = StepSpec(
        count,
        Resources(3_200, 1_000),
        long_running=True,
        max_per_worker=1,
        image="web",
        target_ms=TARGET_MS,
    )
    return make_job(SERVING, step)


def best_effort_job(job_id: str, count: int, cpu_millis: int, estimate_ms: int = 500):
    """Return a job of one step of best-effort tasks."""
    step = StepSpec(
        count,
        Resources(cpu_millis, 1_000),
        estimate_ms=estimate_ms,
        image="sum",
        fills=True,
    )
    return make_job(job_id, step)


class StarvedJobTest(unittest.TestCase):
    """Four workers, each with a serving task; a fifth of the room is reserved."""

    def setUp(self) -> None:
        """Start the serving tasks."""
        self.world = JobWorld(work_ms=1e9)
        self.world.new_owner()
        self.world.add_workers(WORKERS, capacity=Resources(CPU_MILLIS, 64_000))
        self.world.submit(serving_job())
        self.world.run(1_000)
        self.assertEqual(self.count_runs(SERVING), WORKERS)
        self.world.work_ms = 500
        for worker in self.world.workers.values():
            for run in worker.runs.values():
                worker.measurements[run.task] = 0.4 * TARGET_MS
        self.world.run(2_000)

    def count_runs(self, job_id: str) -> int:
        """Return how many runs of a job the workers have."""
        return len(self.list_runs(job_id))

    def list_runs(self, job_id: str) -> list[LiveRun]:
        """Return the runs of a job at all workers."""
        return [
            run
            for worker in self.world.workers.values()
            for run in worker.runs.values()
            if run.task.startswith(job_id)
        ]

    def learn_steep_slope(self) -> None:
        """Let the best-effort image be known to interfere at each worker."""
        model = self.world.owner.state.interference
        model.slopes = {"web": {"sum": Estimate(STEEP_SLOPE, 0.01, 0)}}

    def wait_for_run(self, job_id: str) -> float:
        """Return how long nothing of a job ran, at most a few seconds more than may."""
        begun_ms = self.world.now_ms
        while self.world.now_ms < begun_ms + 2 * MAX_WAIT_MS:
            if self.count_runs(job_id):
                break
            self.world.run(20)
        return self.world.now_ms - begun_ms

    def test_interfering_job_does_not_starve(self) -> None:
        """Guards against a job that is refused for interference for minutes."""
        self.learn_steep_slope()
        self.world.submit(best_effort_job(STARVED, 3, 2_000))
        self.assertLess(self.wait_for_run(STARVED), MAX_WAIT_MS)
        self.assertEqual(self.count_runs(STARVED), 1)

    def test_interfering_job_ends(self) -> None:
        """Guards against a starved job that gets one run and no others after it."""
        self.learn_steep_slope()
        self.world.submit(best_effort_job(STARVED, 3, 2_000))
        idle_ms = longest_idle_ms = 0
        for _ in range(1_000):
            self.world.run(20)
            if str(self.world.state(STARVED)) == "done":
                break
            idle_ms = 0 if self.count_runs(STARVED) else idle_ms + 20
            longest_idle_ms = max(longest_idle_ms, idle_ms)
        self.assertEqual(str(self.world.state(STARVED)), "done")
        self.assertLess(longest_idle_ms, MAX_WAIT_MS)

    def test_many_starved_jobs_take_turns(self) -> None:
        """Guards against starved jobs that go behind those that starved before them."""
        self.learn_steep_slope()
        self.world.work_ms = 100
        jobs = [f"{number:016x}" for number in range(STARVED_JOBS)]
        for job_id in jobs:
            self.world.submit(best_effort_job(job_id, 20, 2_000))
            self.world.run(20)
        self.world.run(MAX_WAIT_MS)
        last_run_ms = dict.fromkeys(jobs, self.world.now_ms)
        longest_ms = 0
        for _ in range(400):
            self.world.run(20)
            for job_id in jobs:
                if self.count_runs(job_id):
                    last_run_ms[job_id] = self.world.now_ms
                longest_ms = max(longest_ms, self.world.now_ms - last_run_ms[job_id])
        self.assertLess(longest_ms, MAX_WAIT_MS)

    def test_interfering_run_is_throttled_at_once(self) -> None:
        """Guards against a run that harms serving tasks until the next measurement."""
        self.learn_steep_slope()
        self.world.submit(best_effort_job(STARVED, 3, 2_000))
        self.wait_for_run(STARVED)
        self.world.run(60)
        (run,) = self.list_runs(STARVED)
        self.assertLess(run.throttle_percent, 100)

    def test_large_late_job_does_not_starve(self) -> None:
        """Guards against a large late job behind a stream of small ones."""
        world = self.world
        world.owner.state.interference.slopes = {"web": {"sum": Estimate(0, 0.01, 0)}}
        late = best_effort_job(STARVED, 20, 4_000, estimate_ms=5_000)
        late = attrs.evolve(late, accepted_utc_ms=world.utc_ms() - LONG_AGO_MS)
        numbers = count()
        waited_ms = 0
        for _ in range(10):
            self.submit_small(next(numbers))
        world.submit(late)
        while waited_ms < 2 * MAX_WAIT_MS and not self.count_runs(STARVED):
            self.submit_small(next(numbers))
            world.run(100)
            waited_ms += 100
        self.assertLess(waited_ms, MAX_WAIT_MS)

    def submit_small(self, number: int) -> None:
        """Submit a job that fills a quarter of the workers for half a second."""
        job = best_effort_job(f"{number:016x}", 4, 4_000)
        utc_ms = self.world.utc_ms()
        self.world.submit(attrs.evolve(job, accepted_utc_ms=utc_ms))

    def test_interfering_job_waits_while_room_is_scarce(self) -> None:
        """Guards against harm to serving tasks that fill their service."""
        self.learn_steep_slope()
        step = StepSpec(
            WORKERS,
            Resources(9_000, 1_000),
            long_running=True,
            max_per_worker=1,
            image="web",
            target_ms=TARGET_MS,
        )
        self.world.work_ms = 1e9
        self.world.submit(make_job("6" * 16, step))
        self.world.run(500)
        self.world.submit(best_effort_job(STARVED, 3, 2_000))
        self.world.run(2 * MAX_WAIT_MS)
        self.assertEqual(self.count_runs(STARVED), 0)


if __name__ == "__main__":
    unittest.main()
