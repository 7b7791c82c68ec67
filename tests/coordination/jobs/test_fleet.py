"""The sums that a worker's state keeps of its runs."""

import itertools
import random
import unittest

import attrs

from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.state.jobs import Job, JobState, StepSpec, Task
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import JobWorld, make_job

JOB = "f" * 16
SIZES = (Resources(), Resources(0, 500), Resources(100, 0), Resources(0, 0, 1))
KINDS = (
    {},
    {"fills": True, "image": "i1"},
    {"fills": True},
    {"target_ms": 100, "image": "i2", "long_running": True},
    {"target_ms": 100, "fills": True, "image": "i1"},
)


def make_runs(steps: tuple[StepSpec, ...]) -> list[Run]:
    """Return a run of each task of a job with these steps."""
    job = Job(make_job(JOB, *steps))
    tasks: list[Task] = [
        task for tasks in job.open_occurrence(0).steps for task in tasks
    ]
    return [Run(task, 1, "w0", RunPhase.RUNNING, 0) for task in tasks]


class RunSumsTest(unittest.TestCase):
    """Sums fall back to nothing when the last run is gone, in whatever order."""

    # Guards against review/1: a best-effort image without cpu was dropped with the
    # first of its runs, and the end of the next one raised KeyError.
    def test_sums_of_every_kind_and_size(self) -> None:
        """Three tasks of each kind and size come and go in a random order."""
        steps = tuple(
            StepSpec(3, size, **kind) for size, kind in itertools.product(SIZES, KINDS)
        )
        for seed in range(20):
            worker = WorkerState("w0")
            runs = make_runs(steps)
            rng = random.Random(seed)
            rng.shuffle(runs)
            for run in runs:
                worker.add(run)
            rng.shuffle(runs)
            for number, run in enumerate(runs, start=1):
                worker.remove(run)
                left = runs[number:]
                images = {item.task.spec.image for item in left if item.task.spec.fills}
                self.assertEqual(worker.best_effort_images.keys(), images)
                serving = {
                    item.task.step_key for item in left if item.task.spec.target_ms
                }
                self.assertEqual(worker.serving_steps.keys(), serving)
                self.assertEqual(sum(worker.step_runs.values()), len(left))
            empty = WorkerState("w0")
            for name in attrs.fields_dict(WorkerState):
                self.assertEqual(getattr(worker, name), getattr(empty, name), name)

    # Guards against review/1 in the whole owner, which failed with every ownership.
    def test_best_effort_step_without_cpu_is_done(self) -> None:
        """Several of its tasks share a worker, beside an ordinary job."""
        world = JobWorld(work_ms=500)
        world.new_owner()
        world.add_workers(3)
        world.run(200)
        step = StepSpec(36, Resources(0, 500), estimate_ms=500, image="i1", fills=True)
        world.submit(make_job(JOB, step))
        world.submit(make_job())
        world.run(10_000)
        self.assertIs(world.state(JOB), JobState.DONE)
        self.assertIs(world.state("a" * 16), JobState.DONE)


if __name__ == "__main__":
    unittest.main()
