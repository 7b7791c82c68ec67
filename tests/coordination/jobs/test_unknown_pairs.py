"""Best-effort images whose interference isn't known yet, in the first seconds.

Steps of several tasks of new images arrive while serving tasks run on every worker.
Some pairs of images interfere heavily, most hardly. Workers are simulated.
"""

import itertools
import random
import unittest

from attrs import Factory, define

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import WorkerListing
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.coordination.jobs.interference import InterferenceModel
from poplarlb.coordination.jobs.placement import Demand, WorkerChooser
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state.jobs import Job, StepSpec, Task, TaskStatus
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import make_job

CPU_MILLIS = 64_000
TASK_CPU_MILLIS = 8_000
TARGET_MS = 50
WORKERS = 20
SERVING_IMAGES = ("web", "api")
BEST_EFFORT_IMAGES = tuple(f"batch{number}" for number in range(8))
OWN_MARGIN = 2.4
HEAVY, LIGHT = 10.0, 0.2  # slopes
NOISE = 0.05
MEASURE_MS = 500
SEEDS = (1, 2, 3)
HELD_OUT_SEED = 11


@define(eq=False, slots=False)
class Site:
    """Workers with four serving tasks of one image each, of four steps."""

    seed: int
    model: InterferenceModel
    state: DispatcherState = Factory(lambda: DispatcherState(JobPolicy(), 1))
    over_target: int = 0  # measurements of serving tasks over their target
    placed: int = 0

    def __attrs_post_init__(self) -> None:
        """Place the serving tasks."""
        self.rng = random.Random(self.seed)
        self.slopes = {
            pair: HEAVY if self.rng.random() < 0.4 else LIGHT
            for pair in itertools.product(SERVING_IMAGES, BEST_EFFORT_IMAGES)
        }
        self.chooser = WorkerChooser(JobPolicy(), self.model)
        for index in range(WORKERS):
            worker = self.state.worker(f"w{index}")
            worker.listing = WorkerListing(
                worker.worker_id,
                1,
                "",
                "desk",
                "z",
                False,
                Resources(CPU_MILLIS, 256_000),
            )
        for index in range(WORKERS):
            step = StepSpec(
                4,
                Resources(13_000, 1_000),
                long_running=True,
                image=SERVING_IMAGES[index % 2],
                target_ms=TARGET_MS,
            )
            tasks = Job(make_job(f"{index:016x}", step)).open_occurrence(0).steps[0]
            for number, task in enumerate(tasks):
                place = (index + 2 * number) % WORKERS
                self.place(self.state.workers[f"w{place}"], task)

    def place(self, worker: WorkerState, task: Task) -> None:
        """Place a task at a worker."""
        task.status, task.run, task.worker_id = TaskStatus.PLACED, 1, worker.worker_id
        worker.add(Run(task, 1, worker.worker_id, RunPhase.RUNNING, 0, confirmed_ms=1))

    def submit(self, image: str, count: int, number: int) -> None:
        """Place as many tasks of a step as the chooser allows."""
        step = StepSpec(
            count, Resources(TASK_CPU_MILLIS, 1_000), image=image, fills=True
        )
        tasks = Job(make_job(f"f{number:015x}", step)).open_occurrence(0).steps[0]
        ranking = self.chooser.rank(Demand(step, tasks[0].step_key, "desk"))
        for task in tasks:
            worker = ranking.take()
            if worker is None:
                return
            self.placed += 1
            self.place(worker, task)

    def measure(self) -> None:
        """Let the model learn from every serving task."""
        for worker in self.state.workers.values():
            mix = worker.best_effort_mix()
            for run in worker.runs.values():
                spec = run.task.spec
                if not spec.target_ms:
                    continue
                taken = sum(
                    self.slopes[spec.image, image] * share
                    for image, share in mix.items()
                )
                margin = max(OWN_MARGIN - taken, 0.1)
                self.over_target += margin < 1.0
                margin *= 1 + self.rng.uniform(-NOISE, NOISE)
                key = run.task.step_key
                self.model.learn(key, spec.image, margin, mix, self.state.now_ms)

    def run(self, rounds: int) -> None:
        """Submit a step of each image in each round, and end all before the next."""
        for number in range(rounds):
            self.chooser.begin_round(
                {"desk": list(self.state.workers.values())}, self.state.now_ms
            )
            for index, image in enumerate(BEST_EFFORT_IMAGES):
                self.submit(image, 4, number * 100 + index)
            for _ in range(4):
                self.state.now_ms += MEASURE_MS
                self.measure()
            for worker in self.state.workers.values():
                for run in list(worker.runs.values()):
                    if run.task.spec.fills:
                        worker.remove(run)
            self.model.update_prior()
            self.state.now_ms += MEASURE_MS
            self.measure()


@define(eq=False)
class UnlearnedSlopes(InterferenceModel):
    """Takes all pairs to interfere alike: a baseline."""

    def slope(self, serving: str, best_effort: str) -> float:
        """Return the mean of all pairs of the site."""
        return 0.4 * HEAVY + 0.6 * LIGHT

    def slope_variance(self, serving: str, best_effort: str) -> float:
        """Return 0, as there is no estimate."""
        return 0.0

    def interference_variance(self, serving: str, mix) -> float:
        """Return 0, as there is no estimate."""
        return 0.0


class UnknownPairsTest(unittest.TestCase):
    """The first rounds of a site whose pairs nobody has measured."""

    def test_heavy_pairs_are_known_after_two_rounds(self) -> None:
        """Each measured pair's slope is on the right side after 5 s."""
        for seed in (*SEEDS, HELD_OUT_SEED):
            site = Site(seed, InterferenceModel())
            site.measure()
            site.run(2)
            for serving, known in site.model.slopes.items():
                for image, pair in known.items():
                    with self.subTest(seed=seed, serving=serving, image=image):
                        real = site.slopes[serving, image]
                        if pair.variance < 1.0:
                            self.assertEqual(pair.value > 3.0, real == HEAVY)

    def test_targets_hold_from_the_third_round_on(self) -> None:
        """Most of the tasks run, and hardly any serving task is over its target."""
        for seed in (*SEEDS, HELD_OUT_SEED):
            with self.subTest(seed=seed):
                site = Site(seed, InterferenceModel())
                site.measure()
                site.run(2)
                site.over_target = site.placed = 0
                site.run(6)
                measurements = 6 * 5 * 4 * WORKERS
                self.assertLess(site.over_target, 0.01 * measurements)
                self.assertGreater(site.placed, 0.7 * 6 * 4 * len(BEST_EFFORT_IMAGES))

    def test_fewer_targets_are_missed_than_without_learning(self) -> None:
        """Over the first rounds, beside at least four fifths of the placed tasks."""
        ours = [Site(seed, InterferenceModel()) for seed in (*SEEDS, HELD_OUT_SEED)]
        plain = [Site(seed, UnlearnedSlopes()) for seed in (*SEEDS, HELD_OUT_SEED)]
        for site in (*ours, *plain):
            site.measure()
            site.run(6)
        self.assertLess(
            sum(site.over_target for site in ours),
            0.5 * sum(site.over_target for site in plain),
        )
        self.assertGreater(
            sum(site.placed for site in ours), 0.8 * sum(site.placed for site in plain)
        )

    # Several tasks of one unknown image at one worker put it over its target at once.
    def test_tasks_of_an_unknown_image_are_spread(self) -> None:
        """No worker gets half of a step whose interference nobody knows."""
        site = Site(1, InterferenceModel())
        site.measure()
        site.chooser.begin_round({"desk": list(site.state.workers.values())}, 0)
        site.submit("batch0", 20, 1)
        most = max(
            worker.best_effort_cpu // TASK_CPU_MILLIS
            for worker in site.state.workers.values()
        )
        self.assertLessEqual(most, 2)


if __name__ == "__main__":
    unittest.main()
