"""Scripted crashes: tasks that crash their workers, and tasks that only share them."""

import itertools
import unittest
from functools import partial
from unittest import mock

from attrs import define

from poplarlb.state.jobs import FINAL_STATES, JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs import job_world
from tests.coordination.jobs.job_world import JobWorld, make_job

QUARTER = Resources(4_000, 1_000)  # of a worker
STEP = StepSpec(1, QUARTER, estimate_ms=500)
LASTING_STEP = StepSpec(1, QUARTER, estimate_ms=500, long_running=True)
DEADLY_JOB = "d" * 16
DEADLY_TASK = f"{DEADLY_JOB}.0.0.0"
LASTING_JOB = "e" * 16
LASTING_TASK = f"{LASTING_JOB}.0.0.0"
TAKEOVER_DELAY_MS = 40  # from a worker's crash
TIME_LIMIT_MS = 120_000  # until all jobs of a scenario are final
PARTITION_MS, PAUSE_MS = 9_000, 1_000  # the partition outlasts the leases
RACK_WORKERS, RACK_JOBS = 12, 48  # of which half crash
RERUNS_AT_CRASH = 3  # tasks of the first crash that run again when the next one comes
RERUN_LIMIT_MS = 20_000
LONG_MS = 30_000  # between two crashes under a long-running task


def job_id(number: int) -> str:
    """Return the id of an innocent job."""
    return f"{number:016x}"


@define(eq=False)
class CrashWorld(JobWorld):
    """A world in which the owner may be replaced right after each crash."""

    replaces_owner: bool = False
    keeps_former: bool = False

    def crash(self, worker, cause: str = "") -> None:
        """Crash a worker and have the owner replaced soon after that."""
        super().crash(worker, cause)
        if self.replaces_owner:
            self.later(
                TAKEOVER_DELAY_MS, lambda: self.new_owner(keep_former=self.keeps_former)
            )

    def start(self, workers: int) -> None:
        """Add an owner and workers."""
        self.new_owner()
        self.add_workers(workers)
        self.run(200)

    def run_until_final(self) -> None:
        """Run until all jobs are final, a check has failed, or the time is up."""
        until_ms = self.now_ms + TIME_LIMIT_MS
        while (
            self.now_ms < until_ms
            and not self.violations
            and not all(self.state(item) in FINAL_STATES for item in self.jobs)
        ):
            self.run(200)

    def submit_beside_innocents(
        self, deadly: list[str], innocent: int, step: StepSpec = STEP
    ) -> None:
        """Submit jobs with a deadly task among innocent ones."""
        every = innocent // len(deadly)
        for number in range(innocent):
            if number % every == 0 and number // every < len(deadly):
                name = deadly[number // every]
                self.deadly.add(f"{name}.0.0.0")
                self.submit(make_job(name, step))
            self.submit(make_job(job_id(number), STEP))
            self.run(40)

    def find_failures(self) -> list[str]:
        """Return the violations, and the jobs that didn't end as they should."""
        self.run_until_final()
        deadly_jobs = {task.split(".")[0] for task in self.deadly}
        states = {item: self.state(item) for item in self.jobs}
        return self.violations + [
            f"{item} is {state}"
            for item, state in states.items()
            if state is not (JobState.FAILED if item in deadly_jobs else JobState.DONE)
        ]


class DeadlyTaskTest(unittest.TestCase):
    """Jobs with deadly tasks fail in time; the jobs beside them are done."""

    def check_clusters(self, *deadly: str, step: StepSpec = STEP, **fields) -> None:
        """Check a small and a large cluster whose workers keep or change their ids."""
        for (workers, innocent), keeps_id in itertools.product(
            ((3, 12), (12, 48)), (True, False)
        ):
            with self.subTest(workers=workers, keeps_id=keeps_id):
                world = CrashWorld(work_ms=800, keeps_id=keeps_id, **fields)
                world.start(workers)
                world.submit_beside_innocents(list(deadly), innocent, step)
                self.assertEqual(world.find_failures(), [])

    # Guards against a task that is started for ever, each time at another worker, as
    # only failed runs count as attempts.
    def test_one_deadly_task_on_shared_workers(self) -> None:
        """Its workers are lost together with innocent tasks."""
        self.check_clusters(DEADLY_JOB)

    # Guards against crashes that are forgotten with the owner that saw them.
    def test_owner_is_replaced_after_each_crash(self) -> None:
        """Each crash is counted by an owner that didn't send the start."""
        self.check_clusters(DEADLY_JOB, replaces_owner=True)

    # Guards against crashes that only an owner counts whose commits are refused.
    def test_former_owner_goes_on_after_each_crash(self) -> None:
        """The same while the former owner doesn't know yet of the next one."""
        self.check_clusters(DEADLY_JOB, replaces_owner=True, keeps_former=True)

    # Guards against crashes that are counted only under runs that were confirmed.
    def test_workers_crash_before_they_answer(self) -> None:
        """No start of the deadly task is answered."""
        with mock.patch.object(job_world, "EARLY_CRASH_RATE", 1.0):
            self.check_clusters(DEADLY_JOB)

    # Guards against blame that one deadly task passes to another.
    def test_several_deadly_tasks_at_once(self) -> None:
        """Some of them share workers."""
        self.check_clusters(*("d" * 15 + letter for letter in "abcd"))

    # Guards against innocent tasks that are blamed with a deadly one, as the next owner
    # doesn't know that a run is isolated.
    def test_owner_is_replaced_while_several_deadly_tasks_run(self) -> None:
        """The owner is replaced after each of the crashes under several tasks."""
        for workers, deadly, keeps_id, seed in itertools.product(
            (3, 4, 6), (2, 4, 6), (True, False), (1, 2, 3)
        ):
            with self.subTest(
                workers=workers, deadly=deadly, keeps_id=keeps_id, seed=seed
            ):
                world = CrashWorld(
                    work_ms=800, keeps_id=keeps_id, seed=seed, replaces_owner=True
                )
                world.start(workers)
                names = ["d" * 15 + letter for letter in "abcdef"[:deadly]]
                world.submit_beside_innocents(names, 4 * workers)
                self.assertEqual(world.find_failures(), [])

    # Guards against a budget that holds only for tasks that end by themselves.
    def test_long_running_deadly_task(self) -> None:
        """It has no limit of failed runs, but one of crashes."""
        self.check_clusters(DEADLY_JOB, step=LASTING_STEP)

    # Guards against crashes that are added up over the tasks of a job.
    def test_one_deadly_task_in_a_wide_step(self) -> None:
        """Only one of a job's tasks is deadly, and its job fails for that one."""
        for keeps_id in (True, False):
            with self.subTest(keeps_id=keeps_id):
                world = CrashWorld(work_ms=800, keeps_id=keeps_id)
                world.start(4)
                wide = StepSpec(12, QUARTER, estimate_ms=500)
                world.deadly.add(f"{DEADLY_JOB}.0.0.7")
                world.submit(make_job(DEADLY_JOB, wide))
                world.submit(make_job(job_id(0), wide))
                self.assertEqual(world.find_failures(), [])
                name = f"{DEADLY_JOB}.0.0.7"
                self.assertGreaterEqual(len(world.crashes_under(name)), 2)


class InnocentTaskTest(unittest.TestCase):
    """Workers that are lost for other causes are no reason to give up a task."""

    def check_partitions(self, unlisted: bool) -> None:
        """Check that all jobs are done though each worker is cut off three times.

        :param unlisted: the entry of a worker is removed while it is cut off.
        """
        world = CrashWorld(work_ms=4_000)
        world.start(6)
        for number in range(24):
            world.submit(make_job(job_id(number), STEP))
        world.run(1_000)
        names = list(world.workers)
        for cut in 3 * [names[:3], names[3:]]:
            world.partitioned = set(cut)
            for name in cut if unlisted else ():
                world.later(job_world.UNLISTED_AFTER_MS, partial(world.unlist, name))
            world.run(PARTITION_MS)
            world.partitioned = set()
            for name in cut:
                world.relist(name)
            world.run(PAUSE_MS)
        self.assertEqual(world.find_failures(), [])
        self.assertEqual([item.crashes for item in world.workers.values()], 6 * [[]])

    # Guards against silence that counts as a crash though the worker never crashed.
    def test_partitions(self) -> None:
        """The workers stay listed, and answer later as the same incarnation."""
        self.check_partitions(unlisted=False)

    # Guards against a removed entry that counts as a crash.
    def test_partitions_from_the_store(self) -> None:
        """The workers' entries are removed; they come back as the same incarnation."""
        self.check_partitions(unlisted=True)

    def crash_racks(self, world: CrashWorld, age_ms: int) -> None:
        """Crash half of the workers at once, twice, so that tasks are hit both times.

        :param age_ms: how long tasks have been running then.
        """
        world.start(RACK_WORKERS)
        for number in range(RACK_JOBS):
            world.submit(make_job(job_id(number), STEP))
        while len(world.running()) < RACK_JOBS:
            world.run(20)
        world.run(age_ms)
        for worker in list(world.workers.values())[: RACK_WORKERS // 2]:
            world.crash(worker)
        hit = {
            task
            for worker in world.workers.values()
            for crash in worker.crashes
            for task in crash.tasks
        }
        until_ms = world.now_ms + RERUN_LIMIT_MS
        while (
            world.now_ms < until_ms
            and len(hit & world.running().keys()) < RERUNS_AT_CRASH
        ):
            world.run(20)
        world.run(age_ms)

        def count_reruns(worker) -> int:
            return sum(task in hit for task, _ in worker.runs)

        alive = [worker for worker in world.workers.values() if worker.alive]
        alive.sort(key=count_reruns, reverse=True)
        for worker in alive[: RACK_WORKERS // 2]:
            world.crash(worker)
        self.assertTrue(any(len(world.crashes_under(task)) == 2 for task in hit))

    # Guards against jobs that are given up after two crashes that no task has caused.
    def test_crashes_of_a_rack(self) -> None:
        """Tasks that were hit twice, just after their start or later, are done."""
        for keeps_id, age_ms, replaces_owner in itertools.product(
            (True, False), (0, 1_500), (True, False)
        ):
            with self.subTest(
                keeps_id=keeps_id, age_ms=age_ms, replaces_owner=replaces_owner
            ):
                world = CrashWorld(
                    work_ms=4_000, keeps_id=keeps_id, replaces_owner=replaces_owner
                )
                self.crash_racks(world, age_ms)
                self.assertEqual(world.find_failures(), [])

    # Guards against crashes that add up over a long life until the task is given up.
    def test_long_running_task_that_loses_workers(self) -> None:
        """It is started again after each of four crashes, and innocents are done."""
        for keeps_id, replaces_owner in itertools.product((True, False), (True, False)):
            with self.subTest(keeps_id=keeps_id, replaces_owner=replaces_owner):
                world = CrashWorld(
                    work_ms=1e9, keeps_id=keeps_id, replaces_owner=replaces_owner
                )
                world.start(3)
                world.submit(make_job(LASTING_JOB, LASTING_STEP))
                for _ in range(4):
                    world.run(LONG_MS)
                    self.assertIn(LASTING_TASK, world.running())
                    world.crash(world.workers[world.running()[LASTING_TASK]])
                world.run(LONG_MS)
                self.assertEqual(world.violations, [])
                self.assertIn(LASTING_TASK, world.running())
                self.assertIs(world.state(LASTING_JOB), JobState.ACTIVE)


if __name__ == "__main__":
    unittest.main()
