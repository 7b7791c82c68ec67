"""What happens to runs of starved jobs after they were placed, and who gets none."""

import unittest
from itertools import chain
from unittest import mock

import attrs

from poplarlb.coordination.jobs.events import CallOutcome
from poplarlb.coordination.jobs.interference import Estimate
from poplarlb.coordination.jobs.starvation import MAX_RANKED_WORKERS, StarvedJobs
from poplarlb.coordination.jobs.throttling import LAST_RESORT_PERCENT
from poplarlb.state.jobs import JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs import test_starved_jobs as starved
from tests.coordination.jobs import test_throttling as throttling
from tests.coordination.jobs.fake_worker import FakeWorker
from tests.coordination.jobs.job_world import JobWorld, make_job

MAX_WAIT_MS, STARVED, TARGET_MS = (
    starved.MAX_WAIT_MS,
    starved.STARVED,
    starved.TARGET_MS,
)
FULL_PERCENT = 100
LONG_MS = 8_000  # of a run that goes on through a takeover
HARMLESS = {"web": {"sum": Estimate(0.0, 0.01, 0)}}


class ThrottleOrderTest(unittest.TestCase):
    """One worker: a serving task, a run that harms it, and one of a last resort."""

    def test_harmless_last_resort_hides_no_run(self) -> None:
        """Guards against harm by runs after one that hardly interferes."""
        world = throttling.ThrottlerTest()
        world.setUp()
        step = StepSpec(1, Resources(7_000, 1_000), image="light", fills=True)
        light = world.place("c" * 16, step)
        world.worker.remove(light)
        light.last_resort = True
        world.worker.add(light)
        light.measurement = 7_000
        model = world.state.interference
        model.slopes = {
            "web": {
                "sum": Estimate(8.2, 0.01, 10_000),
                "light": Estimate(0.3, 0.01, 10_000),
            }
        }
        model.margins[world.serving.task.step_key] = Estimate(1.6, 0.01, 10_000)
        world.measure(1.8)
        self.assertLess(world.best_effort.wanted_throttle_percent, 50)


class LastResortRunTest(unittest.TestCase):
    """One worker: a serving task, and the best-effort run as a last resort."""

    def setUp(self) -> None:
        """Place the best-effort task as a last resort."""
        self.world = throttling.ThrottlerTest()
        self.world.setUp()
        self.worker, self.run = self.world.worker, self.world.best_effort
        self.worker.remove(self.run)
        self.run.last_resort = True
        self.worker.add(self.run)

    def test_makes_way_in_the_accounts(self) -> None:
        """Guards against ordinary tasks that find no room beside a last resort."""
        self.assertEqual(self.worker.best_effort_cpu, 0)
        self.assertEqual(self.worker.best_effort_mix(), {})
        self.assertEqual(self.worker.last_resort_runs, 1)
        self.worker.remove(self.run)
        self.assertEqual(self.worker.best_effort_cpu, 0)
        self.assertEqual(self.worker.last_resort_runs, 0)

    def test_leaves_headroom_to_others(self) -> None:
        """Guards against last resorts that use up what ordinary tasks could use."""
        self.assertEqual(self.world.measure(0.2, times=3), [LAST_RESORT_PERCENT])

    def test_goes_on_at_a_low_throttle_for_some_seconds(self) -> None:
        """Guards against starved jobs that lose the run that they have got."""
        self.world.measure(1.5, times=10)
        self.assertEqual(self.run.stopping, "")
        self.world.measure(1.5, times=20)
        self.assertEqual(self.run.stopping, "harms a serving task")


class LastResortTest(unittest.TestCase):
    """Four workers, each with a serving task; a fifth of the room is reserved."""

    world: JobWorld

    def setUp(self) -> None:
        """Start the serving tasks, beside which the best-effort image interferes."""
        self.parent = starved.StarvedJobTest()
        self.parent.setUp()
        self.world = self.parent.world
        self.parent.learn_steep_slope()

    def longest_idle_ms(self, duration_ms: int) -> int:
        """Return for how long on end nothing of the job runs; it stays interfering."""
        idle_ms = longest_ms = 0
        for _ in range(duration_ms // 20):
            self.parent.learn_steep_slope()
            self.world.run(20)
            if self.world.state(STARVED) is JobState.DONE:
                break
            idle_ms = 0 if self.parent.count_runs(STARVED) else idle_ms + 20
            longest_ms = max(longest_ms, idle_ms)
        return longest_ms

    def measure(self, share: float) -> None:
        """Let all serving tasks' tails be this share of their target."""
        for worker in self.world.workers.values():
            for task in worker.measurements:
                worker.measurements[task] = share * TARGET_MS

    def paces(self) -> list[int]:
        """Return at what percentages the starved job's runs work."""
        return [run.throttle_percent for run in self.parent.list_runs(STARVED)]

    # The next owner takes the pace of all runs for 100 % and so sends no other.
    def test_next_owner_lifts_the_limit(self) -> None:
        """Guards against runs that stay slow as their owner doesn't know that."""
        self.world.work_ms = LONG_MS
        self.world.submit(starved.best_effort_job(STARVED, 1, 2_000))
        self.parent.wait_for_run(STARVED)
        self.world.run(100)
        self.assertLess(self.paces()[0], FULL_PERCENT)
        self.world.new_owner()
        self.world.owner.state.interference.slopes = HARMLESS
        self.world.run(2_000)
        self.assertEqual(self.paces(), [FULL_PERCENT])

    def test_run_at_0_ends_after_a_takeover(self) -> None:
        """Guards against a job that is never done, with a run that never works."""
        self.world.submit(starved.best_effort_job(STARVED, 1, 2_000))
        self.world.work_ms = 2_000
        self.parent.wait_for_run(STARVED)
        self.measure(1.5)
        self.world.run(2_500)
        self.assertEqual(self.paces(), [0])
        self.measure(0.2)
        self.world.new_owner()
        self.world.owner.state.interference.slopes = HARMLESS
        self.world.run(20_000)
        self.assertIs(self.world.state(STARVED), JobState.DONE)

    # The job has no other waiting task, so it isn't known as starved any more.
    def test_refused_start_of_the_only_task(self) -> None:
        """Guards against a wait that begins anew though nothing has run."""
        refused = []
        start = FakeWorker.start

        def refuse_once(worker, command, *arguments) -> CallOutcome:
            if command.task.startswith(STARVED) and not refused:
                refused.append(command)
                return CallOutcome.NO_ROOM
            return start(worker, command, *arguments)

        with mock.patch.object(FakeWorker, "start", refuse_once):
            self.world.submit(starved.best_effort_job(STARVED, 1, 2_000))
            self.assertLess(self.longest_idle_ms(10_000), MAX_WAIT_MS)

    def test_shrunken_worker_gets_no_run(self) -> None:
        """Guards against runs that are placed and released again and again."""
        worker = self.world.workers["w0"]
        shrunken = Resources(1_000, worker.capacity.memory_mb)
        self.world.resize("w0", shrunken, unwritten_ms=0)
        self.world.run(1_000)
        self.world.logged.clear()
        for number in range(2 * len(self.world.workers)):
            job = starved.best_effort_job(f"{number:016x}", 3, 2_000)
            self.world.submit(job)
        self.world.run(2 * MAX_WAIT_MS)
        placed = {
            event.fields["worker"] for event in self.world.logged_events("task_placed")
        }
        self.assertEqual(placed, {"w1", "w2", "w3"})

    def test_few_are_due_at_once_on_a_large_fleet(self) -> None:
        """Guards against an owner that is busy for a second with starved jobs."""
        jobs = [f"{number:016x}" for number in range(20)]
        for job_id in jobs:
            self.world.submit(starved.best_effort_job(job_id, 20, 2_000))
        starved_jobs = self.world.owner.scheduler.starved_jobs
        with mock.patch.object(StarvedJobs, "list_due", return_value=[]):
            self.world.run(2_500)
        workers = MAX_RANKED_WORKERS // 4
        rounds = [starved_jobs.list_due(workers) for _ in range(5)]
        self.assertEqual([len(due) for due in rounds], [4] * 5)
        due = {job.spec.job_id for job in chain.from_iterable(rounds)}
        self.assertEqual(due, set(jobs))

    def test_gang_does_not_starve(self) -> None:
        """Guards against a gang that is refused for interference for minutes."""
        self.submit_one_step(count=2, gang=True)
        self.assertLess(self.longest_idle_ms(10_000), MAX_WAIT_MS)

    def test_long_running_task_does_not_starve(self) -> None:
        """Guards against a task that lasts and is refused for interference."""
        self.submit_one_step(count=1, long_running=True)
        self.assertLess(self.longest_idle_ms(10_000), MAX_WAIT_MS)

    def wait_for_start(self, task: str) -> int:
        """Return how long a task waits for its first start, 10 s at most."""
        for waited_ms in range(0, 10_000, 20):
            if self.world.starts[task]:
                return waited_ms
            self.parent.learn_steep_slope()
            self.world.run(20)
        return 10_000

    def test_step_that_fits_nowhere_hides_no_other(self) -> None:
        """Guards against a ready task that waits behind another that can't run."""
        large = StepSpec(1, Resources(starved.CPU_MILLIS + 1, 1_000), estimate_ms=500)
        size = Resources(2_000, 1_000)
        small = StepSpec(1, size, estimate_ms=500, image="sum", fills=True)
        self.world.submit(make_job(STARVED, large, small))
        self.assertLess(self.wait_for_start(f"{STARVED}.0.1.0"), MAX_WAIT_MS)

    def test_failed_task_without_known_limit_hides_no_other(self) -> None:
        """Guards against tasks that wait behind one that may not start again yet."""
        first = f"{STARVED}.0.0.0"
        self.world.failing.add(first)
        self.world.submit(starved.best_effort_job(STARVED, 3, 6_000))
        self.wait_for_start(first)
        self.world.configure(attrs.evolve(self.world.queue, max_attempts=0))
        while self.parent.count_runs(STARVED):
            self.parent.learn_steep_slope()
            self.world.run(20)
        self.assertLess(self.wait_for_start(f"{STARVED}.0.0.1"), MAX_WAIT_MS)

    def submit_one_step(self, count: int, **fields) -> None:
        """Submit a job of one step of best-effort tasks that interfere."""
        size = Resources(2_000, 1_000)
        step = StepSpec(count, size, estimate_ms=500, image="sum", fills=True, **fields)
        self.world.submit(make_job(STARVED, step))

    def test_run_without_serving_tasks_is_not_slowed(self) -> None:
        """Guards against a limit, and two calls, where nothing can be harmed."""
        self.world.cancel(starved.SERVING)
        self.world.run(2_000)
        self.world.work_ms = 4_000
        self.world.submit(starved.best_effort_job("1" * 16, 16, 4_000, 100))
        self.world.run(500)
        self.world.submit(starved.best_effort_job(STARVED, 2, 8_000, 90_000))
        self.parent.wait_for_run(STARVED)
        self.world.run(1_000)
        self.assertEqual(self.world.logged_events("run_paced"), [])


if __name__ == "__main__":
    unittest.main()
