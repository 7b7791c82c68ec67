"""Scheduling under patterns of heavy load, without a network."""

import unittest

import attrs

from poplarlb.coordination.jobs.fleet import WorkerState
from poplarlb.coordination.jobs.interference import Estimate, InterferenceModel
from poplarlb.coordination.jobs.placement import Demand, WorkerChooser
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state.jobs import Job, JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import JobWorld, make_job

QUARTER = Resources(4_000, 1_000)
WHOLE = Resources(16_000, 1_000)


def name(number: int) -> str:
    """Return a job's id."""
    return f"{number:016x}"


class BurstTest(unittest.TestCase):
    """More jobs than the workers can run."""

    def setUp(self) -> None:
        """Start four workers, each with capacity for four tasks."""
        self.world = JobWorld(work_ms=1_000)
        self.world.new_owner()
        self.world.add_workers(4)
        self.world.run(200)

    def tearDown(self) -> None:
        """Check that no invariant was violated."""
        self.assertEqual(self.world.violations, [])

    def submit(self, number: int, step: StepSpec, queue: str = "orders") -> None:
        """Submit a job of one step, accepted now."""
        spec = attrs.evolve(
            make_job(name(number), step),
            queue=queue,
            accepted_utc_ms=self.world.utc_ms(),
        )
        self.world.submit(spec)

    def test_burst_of_patient_jobs_delays_no_urgent_one(self) -> None:
        """Waiting patient jobs leave all capacity that is released to urgent ones."""
        for number in range(40):
            self.submit(number, StepSpec(4, QUARTER, estimate_ms=1_000), "patient")
        self.world.run(300)
        self.submit(100, StepSpec(4, QUARTER, estimate_ms=1_000))
        self.world.run(2_600)
        self.assertIs(self.world.state(name(100)), JobState.DONE)

    def test_long_running_task_uses_a_paused_worker_rather_than_none(self) -> None:
        """A worker paused after failures is the last resort of long-running tasks."""
        self.world.work_ms = 60_000
        for number in range(3):
            self.submit(number, StepSpec(1, WHOLE, estimate_ms=1_000))
        self.world.run(200)
        paused = (set(self.world.workers) - set(self.world.running().values())).pop()
        paused_worker = self.world.owner.state.workers[paused]
        paused_worker.paused_until_ms = self.world.owner.state.now_ms + 60_000
        long_running = StepSpec(2, QUARTER, estimate_ms=100, long_running=True)
        self.submit(50, long_running)
        self.submit(51, StepSpec(2, QUARTER, estimate_ms=100))
        self.world.run(1_000)
        self.assertNotIn(paused, self.world.running().values())
        self.world.run(2_000)  # 3 s in all: the limit while capacity is free
        there = [
            task for task, place in self.world.running().items() if place == paused
        ]
        self.assertEqual({task[:16] for task in there}, {name(50)})
        self.assertEqual(len(there), 2)

    def test_long_running_tasks_wait_for_short_ones_of_their_priority(self) -> None:
        """Released capacity goes to short tasks, which release it again soon."""
        self.submit(0, StepSpec(16, QUARTER, estimate_ms=1_000))
        self.world.run(100)
        long_running = StepSpec(16, QUARTER, estimate_ms=100, long_running=True)
        self.submit(1, long_running)
        self.submit(2, StepSpec(16, QUARTER, estimate_ms=1_000))
        self.world.run(1_500)
        running = {task.split(".")[0] for task in self.world.running()}
        self.assertIn(name(2), running)
        self.assertNotIn(name(1), running)

    def test_widest_jobs_are_not_starved(self) -> None:
        """A job that needs all workers ends in time beside a stream of small ones."""
        begun_ms = self.world.now_ms
        self.submit(0, StepSpec(16, QUARTER, estimate_ms=1_000))
        for number in range(1, 60):
            self.submit(number, StepSpec(2, QUARTER, estimate_ms=1_000))
            self.world.run(100)
            if self.world.state(name(0)) is JobState.DONE:
                break
        late_ms = 3 * (1.5 * 1_000 + 500)  # jobs that end later have no value
        self.assertLess(self.world.now_ms - begun_ms, late_ms)

    def test_big_tasks_find_a_whole_worker(self) -> None:
        """Tasks that need a whole worker run beside a stream of small tasks."""
        self.submit(0, StepSpec(2, WHOLE, estimate_ms=1_000))
        for number in range(1, 60):
            self.submit(number, StepSpec(1, QUARTER, estimate_ms=1_000), "patient")
            self.world.run(100)
        self.assertIs(self.world.state(name(0)), JobState.DONE)

    def test_worker_that_fails_all_runs_is_paused(self) -> None:
        """A worker whose runs all fail uses up few attempts of the jobs."""
        self.world.workers["w0"].fails_all = True
        for number in range(30):
            self.submit(number, StepSpec(3, QUARTER, estimate_ms=1_000))
            self.world.run(300)
        self.world.run(6_000)
        failed = sum(
            self.world.state(name(number)) is JobState.FAILED for number in range(30)
        )
        self.assertEqual(failed, 0)


class InterferenceTest(unittest.TestCase):
    """Best-effort tasks whose image interferes with one of two serving images."""

    def setUp(self) -> None:
        """Place one serving task at each of two workers."""
        self.world = JobWorld(work_ms=60_000)
        self.world.new_owner()
        self.world.add_workers(2)
        self.world.run(200)
        size = Resources(8_000, 1_000)
        for number, image in enumerate(("web", "api")):
            step = StepSpec(1, size, long_running=True, image=image, target_ms=40)
            self.world.submit(make_job(name(number), step))
            self.world.run(200)
        model = InterferenceModel(
            {"web": {"sum": Estimate(11.0, 0.0, 0)}, "api": {"sum": Estimate(0, 0, 0)}}
        )
        workers = list(self.world.owner.state.workers.values())
        self.chooser = WorkerChooser(JobPolicy(), model)
        self.chooser.begin_round({"desk": workers}, 0)

    def choose(self, image: str) -> WorkerState | None:
        """Return the worker chosen for a best-effort task of an image."""
        step = StepSpec(1, Resources(4_000, 1_000), image=image, fills=True)
        (task,) = Job(make_job("f" * 16, step)).open_occurrence(0).steps[0]
        demand = Demand(step, task.step_key, "desk")
        return self.chooser.rank(demand).take()

    def serving_images(self, worker: WorkerState) -> set[str]:
        """Return the serving images at a worker."""
        return set(worker.serving_steps.values())

    def test_serving_images_are_apart(self) -> None:
        """Each image has its own worker while capacity allows it."""
        placed = [
            self.serving_images(w) for w in self.world.owner.state.workers.values()
        ]
        self.assertCountEqual(placed, [{"web"}, {"api"}])

    def test_best_effort_task_avoids_interference(self) -> None:
        """The worker is chosen whose serving image it doesn't slow down."""
        self.assertEqual(self.serving_images(self.choose("sum")), {"api"})

    def test_best_effort_task_waits_rather_than_violate_targets(self) -> None:
        """It is not placed if every worker's serving task would exceed its target."""
        self.chooser.model.slopes["api"]["sum"] = Estimate(11.0, 0.0, 0)
        self.assertIsNone(self.choose("sum"))

    # A worker near its limit was closed to tasks that take nothing from it.
    def test_worker_without_headroom_still_takes_harmless_tasks(self) -> None:
        """A task is judged by what it takes itself, not by what its neighbours take."""
        model = self.chooser.model
        for number in range(2):
            model.margins[name(number), 0, 0] = Estimate(1.1, 0.0, 0)
        self.assertEqual(self.serving_images(self.choose("sum")), {"api"})
        model.slopes["api"]["sum"] = Estimate(2.0, 0.0, 0)
        self.assertIsNone(self.choose("sum"))

    def test_uncertain_interference_counts(self) -> None:
        """Of two pairs with the same slope, the one that is known well is preferred."""
        model = self.chooser.model
        model.slopes = {
            "web": {"sum": Estimate(2.0, 0.0, 0)},
            "api": {"sum": Estimate(2.0, 30.0, 0)},
        }
        for number in range(2):
            model.margins[name(number), 0, 0] = Estimate(2.5, 0.0, 0)
        self.assertEqual(self.serving_images(self.choose("sum")), {"web"})


class RemainderTest(unittest.TestCase):
    """Serving tasks reserve most processors, and large tasks come after them."""

    def test_serving_tasks_leave_whole_workers_to_large_tasks(self) -> None:
        """Tasks that need most of a worker find one, and start at once."""
        world = JobWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(20, capacity=Resources(24_000, 64_000))
        world.run(200)
        for number in range(6):
            step = StepSpec(
                14,
                Resources(3_200, 1_000),
                long_running=True,
                image=f"web{number % 3}",
                target_ms=40,
            )
            world.submit(make_job(name(number), step))
            world.run(100)
        # 84 of 140 places of this size are taken.
        large = StepSpec(4, Resources(18_000, 1_000), estimate_ms=500)
        world.submit(make_job(name(100), large))
        world.run(200)
        begun = [task for task in world.running() if task.startswith(name(100))]
        self.assertEqual(len(begun), 4)
        self.assertEqual(world.violations, [])


if __name__ == "__main__":
    unittest.main()
