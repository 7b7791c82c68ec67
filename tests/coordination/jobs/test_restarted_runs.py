"""What the owner knows of a run that the next incarnation of its worker begins again.

The first start of a run gets no answer, the second is answered. The worker restarts
under its id, and the new incarnation carries out the first start late.
"""

import unittest
from collections.abc import Callable
from unittest import mock

from attrs import Factory, define

from poplarlb.coordination.jobs import events
from poplarlb.coordination.jobs.crashes import SETTLED_MS, is_settled
from poplarlb.coordination.jobs.fleet import Run, RunPhase
from poplarlb.coordination.jobs.interference import Estimate
from poplarlb.state.jobs import CrashedRun, JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import FakeWorker
from tests.coordination.jobs.job_world import UNANSWERED_MS, JobWorld, make_job
from tests.coordination.jobs.test_late_calls import SilentPollWorld

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
SIZE = Resources(1_000, 1_000)
STEP = StepSpec(1, SIZE, estimate_ms=30_000, checkpoints=True)
SERVING = "b" * 16
SERVING_STEP = StepSpec(1, SIZE, long_running=True, image="web", target_ms=40)
FILLING_STEP = StepSpec(1, SIZE, image="sum", fills=True)
DARK_MS = 140  # from a crash until the worker is back
MOVED_MS = 7_200  # from a crash until the task runs elsewhere


@define(eq=False)
class LateStartWorld(JobWorld):
    """A world in which the first start of each task gets no answer.

    :ivar late_starts: these carry such a start out, by task.
    """

    late_starts: dict[str, Callable[[], object]] = Factory(dict)

    def _call(self, command, owner, action, sent_ms: int) -> None:
        is_start = isinstance(command, events.StartRun)
        if not is_start or command.task in self.late_starts:
            super()._call(command, owner, action, sent_ms)
            return
        worker = self.workers[command.worker_id]
        self.late_starts[command.task] = lambda: action(command, worker, sent_ms)
        self._fail_later(command, owner, sent_ms)

    def restart(self, worker: FakeWorker) -> None:
        """Start a worker's next incarnation; its entry is read at once."""
        worker.restart(worker.incarnation + 1_000)
        self.relist(worker.worker_id)

    def carry_out_late(self) -> None:
        """Carry out the starts that got no answer."""
        for start in self.late_starts.values():
            start()

    def find_run(self, task: str) -> Run:
        """Return the run of a task that the owner keeps at the first worker."""
        runs = self.owner.state.worker("w0").runs.values()
        return next(run for run in runs if run.task.name == task)


def make_world() -> LateStartWorld:
    """Return a world with one worker, which has answered the owner long ago."""
    world = LateStartWorld(work_ms=90_000)
    world.new_owner()
    world.add_workers(1)
    world.run(20_000)
    return world


class RemovedEntryTest(unittest.TestCase):
    """A worker whose entry was removed, and that is back under its id."""

    # Guards against TWICE by a start that a worker without an entry may still carry
    # out, and that was forgotten with the worker.
    def test_late_start_after_the_entry_was_removed(self) -> None:
        """The task runs elsewhere when the late start arrives."""
        world = make_world()
        world.submit(make_job(JOB, STEP))
        world.run(UNANSWERED_MS + 500)
        worker = world.workers["w0"]
        self.assertIn(TASK, worker.runs_by_task())
        world.add_workers(1)
        worker.crash()
        world.later(3_000, lambda: world.unlist("w0"))
        world.run(MOVED_MS)
        self.assertEqual(world.running(), {TASK: "w1"})
        world.restart(worker)
        world.run(500)
        world.carry_out_late()
        world.run(1_000)
        self.assertEqual(world.violations, [])


class ThrottleTest(unittest.TestCase):
    """A best-effort run beside a serving one; both are begun again."""

    # Guards against HARM by a best-effort run that begins at 100 percent at the next
    # incarnation, while the owner counts on the throttle that it had sent before.
    def test_throttle_after_a_restart(self) -> None:
        """The new incarnation's run gets the throttle that the owner decides by."""
        world = make_world()
        world.submit(make_job(SERVING, SERVING_STEP))
        world.submit(make_job(JOB, FILLING_STEP))
        worker = world.workers["w0"]
        worker.measurements = {f"{SERVING}.0.0.0": 33.4, TASK: 400.0}
        model = world.owner.state.interference
        model.slopes = {"web": {"sum": Estimate(8.2, 0.01, 0)}}
        model.margins[(SERVING, 0, 0)] = Estimate(1.4, 0.01, 0)
        world.run(UNANSWERED_MS + 3_000)
        run = world.find_run(TASK)
        self.assertEqual(worker.runs[run.key].throttle_percent, 40)
        world.restart(worker)
        world.carry_out_late()
        world.run(2_000)
        self.assertIs(world.find_run(TASK), run)
        self.assertEqual(run.throttle_percent, 40)
        self.assertEqual(worker.runs[run.key].throttle_percent, 40)


class SecondRestartTest(unittest.TestCase):
    """A worker restarts twice while a start to it is in flight."""

    # Guards against TWICE by a start that isn't given up yet, and so isn't known as
    # one that may be carried out late, when its worker restarts once more.
    def test_start_in_flight_over_two_restarts(self) -> None:
        """The start is carried out by the third incarnation."""
        world = make_world()
        world.submit(make_job(JOB, STEP))
        worker = world.workers["w0"]
        while not world.late_starts:
            world.run(20)
        world.restart(worker)
        while world.find_run(TASK).phase is not RunPhase.AMBIGUOUS:
            world.run(20)
        worker.crash()  # before the stop arrives
        world.run(DARK_MS)
        worker.restart(worker.incarnation + 1_000)
        worker.draining = True  # the task's next run gets another worker
        world.relist("w0")
        world.add_workers(1)
        world.run(3_000)
        self.assertEqual(world.running(), {TASK: "w1"})
        world.carry_out_late()
        world.run(1_000)
        self.assertEqual(world.violations, [])


class CheckpointTest(unittest.TestCase):
    """A task has saved its work before its worker restarts."""

    # Guards against lost work: a run that begins anew saves less than the task had, and
    # the owner keeps the older checkpoint.
    def test_older_checkpoint_replaces_no_newer_one(self) -> None:
        """The run is begun again from nothing."""

        def save(worker: FakeWorker, run) -> str:
            return f"{run.percent:03}"

        world = make_world()
        with mock.patch.object(FakeWorker, "checkpoint", save):
            world.submit(make_job(JOB, STEP))
            world.run(10_000)
            run = world.find_run(TASK)
            saved = run.task.checkpoint
            self.assertGreater(saved, "000")
            world.restart(world.workers["w0"])
            world.carry_out_late()
            world.run(1_000)
            self.assertGreaterEqual(run.task.checkpoint, saved)


class CrashTest(unittest.TestCase):
    """What counts as a crash under a task whose worker restarts."""

    # Guards against a crash that counts as one of a worker that had survived the start
    # for long, though the new incarnation has only begun the run.
    def test_run_that_was_begun_again_has_not_settled(self) -> None:
        """The run is listed by the new incarnation, and was by the former one."""
        world = make_world()
        world.submit(make_job(JOB, STEP))
        world.run(3_000)
        worker = world.owner.state.worker("w0")
        run = world.find_run(TASK)
        self.assertTrue(is_settled(worker, run))
        world.restart(world.workers["w0"])
        world.carry_out_late()
        world.run(SETTLED_MS / 2)
        self.assertEqual(worker.incarnation, world.workers["w0"].incarnation)
        self.assertFalse(is_settled(worker, run))

    # Guards against LOST: a job is failed for a crash under a run that the incarnation
    # that ran it lists as done in its first answer.
    def test_run_done_at_an_unknown_incarnation(self) -> None:
        """Four workers have crashed under the task before."""
        world = SilentPollWorld(work_ms=500)
        world.new_owner()
        world.add_workers(1)
        world.run(20_000)
        world.silent.add("w0")
        world.workers["w0"].restart(2_000)
        world.submit(make_job(JOB, StepSpec(1, SIZE, estimate_ms=500)))
        world.run(200)
        (run,) = world.owner.state.worker("w0").runs.values()
        run.task.crashed_runs = tuple(CrashedRun(-n, False, False) for n in range(4))
        world.run(800)
        world.silent.clear()
        world.run(2_000)
        self.assertEqual(world.state(JOB), JobState.DONE)


if __name__ == "__main__":
    unittest.main()
