"""Tasks that crash the workers that start them, and the tasks beside them."""

import unittest

from poplarlb.state.jobs import JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import JobWorld, make_job

CRASH_DELAY_MS = 40  # from a start to the worker's crash
UNLISTED_MS = 3_000  # from a crash until the worker's entry is removed
DOWN_MS = 6_000  # from a crash until a worker with another id takes the address
MAX_CRASHES = 3
DEADLY, INNOCENT = "d" * 16, "a" * 16
STEP = StepSpec(1, Resources(4_000, 1_000), estimate_ms=500)


class DeadlyWorld(JobWorld):
    """A world in which each worker that starts the task of ``DEADLY`` crashes."""

    def start_world(self, workers: int) -> "DeadlyWorld":
        """Add an owner, workers and a job with the deadly task; return the world."""
        self.crashed: list[str] = []
        self.replace_owner = False
        self.new_owner()
        self.add_workers(workers)
        self.run(200)
        return self

    def run(self, duration_ms: float) -> None:
        """Advance the clock, and crash the workers that run the deadly task."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            super().run(20)
            for worker in list(self.workers.values()):
                if worker.alive and any(
                    task.startswith(DEADLY) for task, _ in worker.runs
                ):
                    self._crash(worker)

    def _crash(self, worker) -> None:
        self.crashed.append(worker.worker_id)
        worker.crash(DEADLY)
        self.later(UNLISTED_MS, lambda: self.unlist(worker.worker_id))
        self.later(DOWN_MS, lambda: self.replace(worker))
        if self.replace_owner:
            self.later(CRASH_DELAY_MS, self.new_owner)


class CrashTest(unittest.TestCase):
    """Crashes under a task are counted, and the task is given up."""

    def play(self, replace_owner: bool = False) -> DeadlyWorld:
        """Return the world after two minutes with a deadly job and innocent ones."""
        world = DeadlyWorld(work_ms=800).start_world(4)
        world.replace_owner = replace_owner
        world.submit(make_job(DEADLY, STEP))
        for number in range(12):
            world.submit(make_job(f"{number:016x}", STEP))
            world.run(150)
        world.run(120_000)
        return world

    def check(self, world: DeadlyWorld) -> None:
        """Check that only the deadly job failed, after few crashes."""
        self.assertEqual(world.violations, [])
        self.assertLessEqual(len(world.crashed), MAX_CRASHES)
        self.assertIs(world.state(DEADLY), JobState.FAILED)
        states = {world.state(job_id) for job_id in world.jobs if job_id != DEADLY}
        self.assertEqual(states, {JobState.DONE})

    # Guards against a task that is started for ever, each time at another worker, as
    # only failed runs count as attempts.
    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        """Its job fails after three lost workers at most; the others are done."""
        self.check(self.play())

    # Guards against crashes that are forgotten with the owner that saw them.
    def test_crashes_are_counted_over_takeovers(self) -> None:
        """The same if another daemon owns the jobs after each crash."""
        self.check(self.play(replace_owner=True))


if __name__ == "__main__":
    unittest.main()
