"""Tests of the throttling of best-effort tasks beside serving ones."""

import unittest

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import ThrottleRun, WorkerListing
from poplarlb.coordination.jobs.fleet import Run, RunPhase
from poplarlb.coordination.jobs.interference import (
    MAX_MARGIN,
    Estimate,
    InterferenceModel,
    margin_of,
)
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.coordination.jobs.throttling import Throttler
from poplarlb.exceptions import BadAnswerError
from poplarlb.state.jobs import Job, StepSpec, TaskStatus
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import make_job

CAPACITY = Resources(64_000, 256_000)
TARGET_MS = 40


class ThrottlerTest(unittest.TestCase):
    """One worker with a serving task and a best-effort one."""

    def setUp(self) -> None:
        """Place both tasks."""
        self.state = DispatcherState(JobPolicy(), epoch=1, now_ms=10_000)
        self.worker = self.state.worker("w")
        self.worker.listing = WorkerListing("w", 1, "w:1", "desk", "z", False, CAPACITY)
        self.serving = self.place(
            "a" * 16,
            StepSpec(
                1,
                Resources(13_000, 1_000),
                long_running=True,
                image="web",
                target_ms=TARGET_MS,
            ),
        )
        self.best_effort = self.place(
            "b" * 16,
            StepSpec(1, Resources(7_000, 1_000), image="sum", fills=True),
        )
        self.best_effort.measurement = 7_000
        self.throttler = Throttler(self.state)

    def place(self, job_id: str, step: StepSpec) -> Run:
        """Place the task of a job of one step."""
        job = Job(make_job(job_id, step))
        (task,) = job.open_occurrence(0).steps[0]
        task.status, task.run, task.worker_id = TaskStatus.PLACED, 1, "w"
        run = Run(task, 1, "w", RunPhase.RUNNING, 0, confirmed_ms=1)
        self.worker.add(run)
        return run

    def measure(self, ratio: float, times: int = 1, every_ms: int = 500) -> list[int]:
        """Return the throttles sent in polls that measure the same tail latency."""
        sent = []
        for _ in range(times):
            self.state.now_ms += every_ms
            self.state.commands = []
            self.serving.measurement = ratio * TARGET_MS
            self.throttler.update(self.worker)
            sent += [
                command.percent
                for command in self.state.commands
                if isinstance(command, ThrottleRun)
            ]
        return sent

    def test_low_tail_is_not_throttled(self) -> None:
        """Nothing is throttled while the tail is far below its target."""
        self.assertEqual(self.measure(0.4, times=5), [])

    def test_high_tail_is_throttled(self) -> None:
        """The best-effort task is throttled when the tail is near its target."""
        self.assertTrue(min(self.measure(0.95, times=4)) < 100)

    def test_tail_over_target_stops_whatever_was_learned(self) -> None:
        """The best-effort image is throttled to 0 even if learned not to interfere."""
        model = self.state.interference
        model.slopes = {"web": {"sum": Estimate(0.0, 0.01, 10_000)}}
        model.margins[self.serving.task.step_key] = Estimate(0.25, 0.01, 10_000)
        self.measure(1.3, times=5)
        self.assertEqual(self.best_effort.wanted_throttle_percent, 0)

    def test_throttles_once_by_each_measurement(self) -> None:
        """Many polls within a measurement's half second don't make it oscillate."""
        sent = self.measure(0.95, times=40, every_ms=20)
        self.assertLessEqual(len(sent), 2)
        for ratio in (1.2, 3.0):
            with self.subTest(ratio=ratio):
                sent = self.measure(ratio, times=40, every_ms=20)
                self.assertLessEqual(len(sent), 2)
                self.assertEqual(sent, sorted(sent, reverse=True))

    # A uniform throttle would slow many runs that hardly interfere.
    def test_runs_that_interfere_most_are_throttled_first(self) -> None:
        """One that hardly interferes works on beside one that is throttled."""
        step = StepSpec(1, Resources(7_000, 1_000), image="light", fills=True)
        light = self.place("c" * 16, step)
        light.measurement = 7_000
        model = self.state.interference
        model.slopes = {
            "web": {
                "sum": Estimate(8.2, 0.01, 10_000),
                "light": Estimate(1.4, 0.01, 10_000),
            }
        }
        model.margins[self.serving.task.step_key] = Estimate(1.6, 0.01, 10_000)
        self.measure(1.8)  # as both images' interference makes it
        self.assertLess(self.best_effort.wanted_throttle_percent, 50)
        self.assertEqual(light.wanted_throttle_percent, 100)

    def test_heavily_throttled_task_is_moved(self) -> None:
        """A best-effort task that may hardly work is stopped, to run elsewhere."""
        self.measure(1.5, times=8)
        self.assertEqual(self.best_effort.stopping, "harms a serving task")


class InterferenceModelTest(unittest.TestCase):
    """Learning the interference of pairs of images."""

    def test_margin_of_a_tail(self) -> None:
        """It is 1 at the target, and bounded for tails that are tiny or missing."""
        self.assertEqual(margin_of(40.0, 40), 1.0)
        self.assertEqual(margin_of(80.0, 40), 0.5)
        for measured in (0.001, 0.0, -3.0):
            self.assertEqual(margin_of(measured, 40), MAX_MARGIN)

    def test_pairs_are_told_apart(self) -> None:
        """A few measurements of two pairs move their slopes apart."""
        model = InterferenceModel()
        for _ in range(10):
            model.learn(("j", 0, 0), "web", 2.5, {}, 0)
            model.learn(("j", 0, 0), "web", 2.5 - 8.2 * 0.1, {"heavy": 0.1}, 0)
            model.learn(("j", 0, 0), "web", 2.5, {"light": 0.1}, 0)
        self.assertGreater(model.slope("web", "heavy"), 6.4)
        self.assertLess(model.slope("web", "light"), 1.0)

    def test_jump_of_one_task_moves_no_slope_far(self) -> None:
        """A known pair isn't learned anew from a task whose load jumps alone."""
        model = InterferenceModel()
        for _ in range(40):
            model.learn(("j", 0, 0), "web", 2.5, {}, 0)
            model.learn(("j", 0, 0), "web", 2.5, {"light": 0.1}, 0)
        for _ in range(3):
            model.learn(("j", 0, 0), "web", 0.6, {"light": 0.1}, 0)
        self.assertLess(model.slope("web", "light"), 2.0)
        self.assertGreater(model.own_margin(("j", 0, 0)), 1.8)

    def test_unknown_pairs_resemble_the_known_ones(self) -> None:
        """Where most pairs don't interfere, a new one is expected not to."""
        model = InterferenceModel()
        before = model.slope("web", "new")
        for image in "abcdef":
            for _ in range(20):
                model.learn(("j", 0, 0), "web", 2.5, {}, 0)
                model.learn(("j", 0, 0), "web", 2.5, {image: 0.2}, 0)
        model.update_prior()
        self.assertLess(model.slope("web", "new"), before / 2)

    def test_next_owner_restores_what_was_learned(self) -> None:
        """The record of one model restores another; a malformed one is rejected."""
        model, other = InterferenceModel(), InterferenceModel()
        model.learn(("j", 0, 0), "web", 2.5, {}, 0)
        model.learn(("j", 0, 0), "web", 1.3, {"heavy": 0.1}, 0)
        other.restore(model.encode(500, 10_500), 700, 10_700)
        pair, restored = model.slopes["web"]["heavy"], other.slopes["web"]["heavy"]
        self.assertAlmostEqual(restored.value, pair.value, places=2)
        self.assertAlmostEqual(restored.variance, pair.variance, places=2)
        good = model.encode(500, 10_500)
        for value in (
            b"",
            b"[]",
            b"{}",
            b'{"web":{"heavy":[1, 1]}}',
            good.replace(b"[[", b"[3, [", 1),
            good.replace(b'"heavy":[', b'"heavy":["x",', 1),
            good.replace(b'"sums":[[', b'"sums":[[1,', 1),
            good.replace(b'"utc_ms":10500', b'"utc_ms":"x"', 1),
        ):
            with self.subTest(value=value), self.assertRaises(BadAnswerError):
                other.restore(value, 0, 0)


if __name__ == "__main__":
    unittest.main()
