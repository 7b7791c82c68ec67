"""Answers to polls that the answers to starts overtake, on another connection.

A worker has restarted under its id. Its lists were composed before it carried a start
out, and are read after it has answered the start.
"""

import unittest

import attrs
from attrs import Factory, define

from poplarlb.coordination.jobs import events
from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import FakeWorker
from tests.coordination.jobs.job_world import JobWorld, make_job

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
OTHER_JOB = "b" * 16
STEP = StepSpec(1, Resources(1_000, 1_000), estimate_ms=60_000)
NEAR_DATA = attrs.evolve(STEP, preferred_rack="r2")  # of a worker that joins later
READ_LATE_MS = 300
START_LATE_MS = 40
FORMER_CLOCK_MS = 5_000_000.0
LATER_CLOCKS_MS = (1_000.0, 2_000_000.0)  # a clock that is ahead refuses the start


@define(eq=False)
class OvertakenWorld(JobWorld):
    """A world that notes in which order lists and starts are composed and read.

    The answer to the first poll that meets the restarted worker is read late. A start
    of ``TASK`` reaches its worker ``start_late_ms`` later than usual. ``steps`` holds
    the notes on the restarted incarnation.
    """

    start_late_ms: float = 0.0

    restarted: int = 0  # the incarnation
    steps: list[str] = Factory(list)

    def _way_ms(self, command) -> float:
        is_start = isinstance(command, events.StartRun) and command.task == TASK
        return self.start_late_ms if is_start else 0.0

    def _poll(self, command: events.PollWorker, worker: FakeWorker, sent_ms: int):
        answer = super()._poll(command, worker, sent_ms)
        if worker.incarnation == self.restarted:
            has_run = any(row.task == TASK for row in answer.running)
            self.steps.append("composed with it" if has_run else "composed without it")
        return answer

    def _overtaken_ms(self, command) -> float:
        is_first = self.steps == ["composed without it"]
        is_poll = isinstance(command, events.PollWorker)
        return READ_LATE_MS if is_poll and is_first else 0.0

    def _answer(self, owner, event) -> None:
        match event:
            case events.PollAnswered(incarnation=self.restarted):
                self.steps.append("read")
            case events.StartAnswered(task=task, outcome=events.CallOutcome.DONE) if (
                task == TASK
            ):
                self.steps.append("start confirmed")
        super()._answer(owner, event)


class OvertakenListsTest(unittest.TestCase):
    """The task isn't started elsewhere while the restarted worker runs it."""

    def check(self, clock_ms: float, busy: bool) -> None:
        """Restart a worker, and send it a start between a poll's lists and its answer.

        :param clock_ms: of the restarted worker.
        :param busy: the worker ran another task, so that polls meet the restart.
        """
        world = OvertakenWorld(
            work_ms=60_000,
            overtaken_ms=READ_LATE_MS,
            start_late_ms=0.0 if busy else START_LATE_MS,
        )
        world.new_owner()
        world.add_workers(1, clock_ms=FORMER_CLOCK_MS)
        world.run(200)
        worker = world.workers["w0"]
        if busy:
            world.submit(make_job(OTHER_JOB, STEP))
        world.run(20_000)
        world.restarted = worker.incarnation + 1_000
        worker.restart(world.restarted, clock_ms)
        while busy and not world.steps:
            world.run(20)
        world.submit(make_job(JOB, NEAR_DATA))
        while "start confirmed" not in world.steps:
            world.run(20)
        world.add_workers(1, rack="r2")
        while "read" not in world.steps:
            world.run(20)
        self.assertEqual(
            world.steps[:3], ["composed without it", "start confirmed", "read"]
        )
        world.relist("w0")
        world.run(20_000)
        self.assertEqual(world.violations, [])
        self.assertEqual(world.running().get(TASK), "w0")
        self.assertEqual(world.starts[TASK], 1)

    # Guards against a run that the owner releases because the first lists of a new
    # incarnation lack it, though they were composed before its start was carried out.
    def test_poll_of_an_idle_worker(self) -> None:
        """The poll and the start are sent at the same time, by two connections."""
        for clock_ms in LATER_CLOCKS_MS:
            with self.subTest(clock_ms=clock_ms):
                self.check(clock_ms, busy=False)

    # Guards against the same at a worker that is polled all the time.
    def test_poll_of_a_busy_worker(self) -> None:
        """The poll is sent before the task is submitted."""
        for clock_ms in LATER_CLOCKS_MS:
            with self.subTest(clock_ms=clock_ms):
                self.check(clock_ms, busy=True)


if __name__ == "__main__":
    unittest.main()
