"""Isolation of many suspects at once, and the tasks that wait meanwhile."""

import unittest

from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import JobWorld, make_job

CAPACITY = Resources(16_000, 64_000)
SIZE = Resources(1_000, 1_000)
NEW = "f" * 16
START_MS = 3_000  # within which a job starts while there is capacity for it


def crash(world: JobWorld, count: int) -> None:
    """Crash the workers whose tasks have most crashes."""

    def count_crashes(worker) -> int:
        tasks = [
            run.task
            for run in world.owner.state.workers[worker.worker_id].runs.values()
        ]
        return sum(len(task.crashed_runs) for task in tasks)

    workers = [item for item in world.workers.values() if item.alive and item.runs]
    for worker in sorted(workers, key=count_crashes, reverse=True)[:count]:
        worker.alive = False
        worker.runs.clear()
        world.later(3_000, lambda name=worker.worker_id: world.unlist(name))
        world.later(6_000, lambda: world.add_workers(1, capacity=CAPACITY))


def count_isolating(world: JobWorld) -> int:
    """Return the number of workers that get no other runs."""
    return sum(
        bool(worker.isolated_run or worker.held_for)
        for worker in world.owner.state.workers.values()
    )


class IsolationLimitTest(unittest.TestCase):
    """Most workers stay open to other tasks, however many suspects there are."""

    def make_world(self) -> JobWorld:
        """Return a world with 20 workers, half full of tasks that last."""
        world = JobWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(20, capacity=CAPACITY)
        world.run(300)
        for number in range(40):
            world.submit(make_job(f"{number:016x}", StepSpec(4, SIZE, estimate_ms=500)))
        return world

    # Guards against a limit on held workers that leaves out those with isolated runs.
    def test_few_workers_are_isolated_after_one_crash_each(self) -> None:
        """Eight workers are lost as soon as they have begun their tasks."""
        world = self.make_world()
        world.run(200)
        crash(world, 8)
        highest = 0
        for _ in range(500):
            world.run(20)
            highest = max(highest, count_isolating(world))
        self.assertLessEqual(highest, 5)

    # Guards against new jobs that wait for seconds as all workers have isolated runs.
    def test_new_job_starts_beside_suspects(self) -> None:
        """Eight workers are lost twice, with the same tasks."""
        world = self.make_world()
        world.run(600)
        crash(world, 8)
        world.run(12_000)
        crash(world, 8)
        while not count_isolating(world):
            world.run(20)
        world.submit(make_job(NEW, StepSpec(1, SIZE, estimate_ms=500)))
        world.run(START_MS)
        self.assertEqual(world.starts[f"{NEW}.0.0.0"], 1)


if __name__ == "__main__":
    unittest.main()
