"""Runs whose percentage changes rarely, beside runs that stand still."""

import unittest
from unittest import mock

from poplarlb.state.jobs import JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import FakeWorker, LiveRun
from tests.coordination.jobs.job_world import JobWorld, make_job

WORKERS = 4
LONG_MS = 600_000
PERCENT_MS = LONG_MS // 100
SHORT_MS = 5_000
DETECTION_MS = 1_200  # a poll, a check and a stop
MAX_IDLE_MS = 3_000  # without a run of a job beside free room, by the users' rules
JOB = "a" * 16


class SlowProgressTest(unittest.TestCase):
    """Four workers, each with a task that takes minutes."""

    def setUp(self) -> None:
        """Start the workers."""
        self.world = JobWorld(work_ms=LONG_MS)
        self.world.new_owner()
        self.world.add_workers(WORKERS)

    def submit(self, estimate_ms: int, **fields) -> None:
        """Submit a job of one task for each worker, and let the tasks start."""
        size = Resources(7_000, 1_000)
        step = StepSpec(
            WORKERS, size, estimate_ms=estimate_ms, max_per_worker=1, **fields
        )
        self.world.submit(make_job(JOB, step))
        self.world.run(200)
        self.assertEqual(len(self.list_runs()), WORKERS)

    def list_runs(self) -> list[LiveRun]:
        """Return the runs at all workers."""
        workers = self.world.workers.values()
        return [run for worker in workers for run in worker.runs.values()]

    def count_stalls(self) -> int:
        """Return how many runs were stopped without progress."""
        return sum(
            line.event == "run_stopped" and line.fields["reason"] == "no progress"
            for line in self.world.logged
        )

    def list_paused(self) -> list[str]:
        """Return the workers that get no new runs for 3 s or more."""
        until_ms = self.world.now_ms + 3_000
        workers = self.world.owner.state.workers.values()
        return sorted(
            worker.worker_id for worker in workers if worker.paused_until_ms > until_ms
        )

    def wait_for_stalls(self, count: int) -> float:
        """Return how long it took until so many runs were stopped, a minute or two."""
        begun_ms = self.world.now_ms
        while self.count_stalls() < count:
            self.world.run(20)
            if self.world.now_ms > begun_ms + 20 * PERCENT_MS:
                break
        return self.world.now_ms - begun_ms

    # A task of 600 s was stopped every 3 s, and never done.
    def test_task_of_ten_minutes_is_done(self) -> None:
        """Its percentage changes each 6 s only."""
        self.submit(LONG_MS)
        self.world.run(LONG_MS + 2_000)
        self.assertEqual(self.count_stalls(), 0)
        self.assertIs(self.world.state(JOB), JobState.DONE)

    # A run that takes ten times its estimate was stopped for good.
    def test_estimate_that_is_far_too_low(self) -> None:
        """The estimate says that a percent takes 0.6 s."""
        self.submit(LONG_MS // 10)
        self.world.run(LONG_MS + 2_000)
        self.assertEqual(self.count_stalls(), 0)
        self.assertIs(self.world.state(JOB), JobState.DONE)

    # A task without an estimate was stopped every 3 s, and never done.
    def test_task_without_an_estimate_is_done(self) -> None:
        """Each run that was stopped gives the next one longer."""
        self.submit(0)
        self.world.run(LONG_MS + 30_000)
        self.assertIs(self.world.state(JOB), JobState.DONE)

    # All workers were paused for 4 s when slow runs at each of them were stopped.
    def test_slow_step_does_not_pause_all_workers(self) -> None:
        """That no task of a step gets on anywhere says nothing about the workers."""
        self.submit(0)
        idle_ms = longest_idle_ms = 0
        for _ in range(1_500):
            self.world.run(20)
            idle_ms = 0 if self.list_runs() else idle_ms + 20
            longest_idle_ms = max(longest_idle_ms, idle_ms)
        self.assertLess(longest_idle_ms, MAX_IDLE_MS)

    # A run that another owner took over was stopped before its next percent.
    def test_runs_outlast_takeovers(self) -> None:
        """A new owner sees a part of a percent first."""
        self.submit(LONG_MS)
        for takeover_ms in range(5_000, 5_000 + PERCENT_MS, 700):
            self.world.run(takeover_ms)
            self.world.new_owner()
        self.world.run(2 * PERCENT_MS)
        self.assertEqual(self.count_stalls(), 0)
        self.assertEqual(set(self.world.starts.values()), {1})

    # A run that resumed shortly before its next percent was stopped after it.
    def test_run_that_resumes_within_a_percent(self) -> None:
        """The first percent after a checkpoint may take any part of its time."""
        self.submit(LONG_MS)
        for number, run in enumerate(self.list_runs()):
            run.done_ms = (40 + (number + 0.9) / WORKERS) * PERCENT_MS
        self.world.run(5 * PERCENT_MS)
        self.assertEqual(self.count_stalls(), 0)

    # A run that saved its work was stopped, as its percentage didn't change.
    def test_checkpoints_are_progress(self) -> None:
        """Without an estimate, new checkpoints show that a run gets on."""
        patch = mock.patch.object(
            FakeWorker, "checkpoint", lambda _, run: f"s{run.done_ms // 1_000}"
        )
        with patch:
            self.submit(0, checkpoints=True)
            self.world.run(3 * PERCENT_MS)
        self.assertEqual(self.count_stalls(), 0)

    # A run that stands still must end before its job waits for many percents.
    def test_run_that_stalls_later_is_stopped(self) -> None:
        """What the run's percents took tells how long one more may take."""
        self.submit(10 * LONG_MS)
        self.world.run(5 * PERCENT_MS)
        self.list_runs()[0].stalled = True
        self.assertLess(self.wait_for_stalls(1), 5 * PERCENT_MS + DETECTION_MS)
        self.world.run(PERCENT_MS)
        self.assertEqual(self.count_stalls(), 1)

    # A run that stands still from its start on has no percents to go by.
    def test_run_without_a_first_percent_is_stopped(self) -> None:
        """The estimate tells how long the first percent may take."""
        self.submit(LONG_MS)
        for run in self.list_runs():
            run.stalled = True
        limit_ms = 10 * PERCENT_MS + DETECTION_MS
        self.assertLess(self.wait_for_stalls(WORKERS), limit_ms)

    # An estimate that is far too high must not hide that a run stands still.
    def test_estimate_that_is_far_too_high(self) -> None:
        """A run of 5 s with an estimate of 600 s stalls at 60 percent."""
        self.world.work_ms = SHORT_MS
        self.submit(LONG_MS)
        self.world.run(0.6 * SHORT_MS)
        self.list_runs()[0].stalled = True
        limit_ms = self.world.policy.stall_ms + DETECTION_MS
        self.assertLess(self.wait_for_stalls(1), limit_ms)

    # Ordinary tasks that stand still must be stopped as soon as before.
    def test_short_run_without_a_first_percent_is_stopped(self) -> None:
        """A percent of it takes far less than the least time without progress."""
        self.world.work_ms = SHORT_MS
        self.submit(SHORT_MS)
        for worker in self.world.workers.values():
            worker.speed = 0.0
        limit_ms = self.world.policy.stall_ms + DETECTION_MS
        self.assertLess(self.wait_for_stalls(WORKERS), limit_ms)

    # A worker at which runs stand still must get no new ones for a while.
    def test_worker_whose_run_stalls_is_paused(self) -> None:
        """Runs of the step get on at the others."""
        self.world.work_ms = 4 * SHORT_MS
        self.submit(4 * SHORT_MS)
        self.world.workers["w0"].speed = 0.0
        self.wait_for_stalls(1)
        self.assertEqual(self.list_paused(), ["w0"])

    # Two workers at which runs stand still must not excuse each other.
    def test_two_workers_whose_runs_stall_are_paused(self) -> None:
        """Runs of the step get on at the other two."""
        self.world.work_ms = 4 * SHORT_MS
        self.submit(4 * SHORT_MS)
        self.world.workers["w0"].speed = self.world.workers["w1"].speed = 0.0
        self.wait_for_stalls(2)
        self.assertEqual(self.list_paused(), ["w0", "w1"])

    # The members of a gang stand still together, also if one worker is the cause.
    def test_workers_of_a_gang_that_stalls_are_paused(self) -> None:
        """None of its workers is excused."""
        self.world.work_ms = 4 * SHORT_MS
        self.submit(4 * SHORT_MS, gang=True)
        for worker in self.world.workers.values():
            worker.speed = 0.0
        self.wait_for_stalls(WORKERS)
        self.assertEqual(self.list_paused(), sorted(self.world.workers))

    # A worker with a stalled run must be paused, though others have just begun theirs.
    def test_run_that_has_just_begun_excuses_no_worker(self) -> None:
        """It has no percent either, as it is too young."""
        self.world.work_ms = 10 * SHORT_MS
        self.world.workers["w0"].speed = 0.0
        size = Resources(16_000, 1_000)
        step = StepSpec(WORKERS, size, estimate_ms=SHORT_MS)
        for worker_id in ("w1", "w2", "w3"):
            self.world.unlist(worker_id)
        self.world.submit(make_job(JOB, step))
        self.world.run(2_400)
        for worker_id in ("w1", "w2", "w3"):
            self.world.relist(worker_id)
        self.wait_for_stalls(1)
        self.assertGreater(len(self.list_runs()), 1)
        self.assertEqual(self.list_paused(), ["w0"])

    # A run that is too young for its first percent was stopped as slow, for good.
    def test_later_runs_of_a_slow_step_are_not_stopped(self) -> None:
        """Others of its step, which began earlier, have shown a percent."""
        self.world.unlist("w3")
        size = Resources(8_000, 1_000)
        step = StepSpec(2 * WORKERS, size, estimate_ms=LONG_MS)
        self.world.submit(make_job(JOB, step))
        self.world.run(2.5 * PERCENT_MS)
        self.world.relist("w3")
        with mock.patch.object(FakeWorker, "checkpoint", lambda *_: ""):
            self.world.run(10 * PERCENT_MS)
        self.assertEqual(len(self.list_runs()), 2 * WORKERS)
        self.assertEqual(set(self.world.starts.values()), {1})

    # A worker that is far slower than others must still lose its runs to them.
    def test_runs_of_a_slow_worker_are_stopped(self) -> None:
        """It works at a tenth of the others' speed."""
        self.world.workers["w0"].speed = 0.1
        step = StepSpec(2 * WORKERS, Resources(8_000, 1_000), estimate_ms=LONG_MS)
        self.world.submit(make_job(JOB, step))
        self.world.run(10 * PERCENT_MS)
        reasons = [
            line.fields["reason"]
            for line in self.world.logged
            if line.event == "run_stopped"
        ]
        self.assertEqual(reasons[:2], ["worker is slow"] * 2)

    # A task that stands still wherever it runs must be tried again and again.
    def test_task_that_always_stalls_is_stopped_again(self) -> None:
        """The time without progress grows with each of its runs, but is bounded."""
        self.submit(0)
        for worker in self.world.workers.values():
            worker.speed = 0.0
        self.world.run(90_000)
        self.assertGreaterEqual(self.count_stalls(), 4 * WORKERS)


if __name__ == "__main__":
    unittest.main()
