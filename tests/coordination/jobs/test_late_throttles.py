"""Throttles that got no answer and are carried out after newer ones."""

import unittest
from collections.abc import Callable

from attrs import define

from poplarlb.coordination.jobs import events
from poplarlb.coordination.jobs.interference import Estimate
from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import JobWorld, make_job

SERVING, FILLING = "a" * 16, "b" * 16
SIZE = Resources(1_000, 1_000)
SERVING_STEP = StepSpec(1, SIZE, long_running=True, image="web", target_ms=40)
FILLING_STEP = StepSpec(1, SIZE, image="sum", fills=True)
FULL_PERCENT = 100


@define(eq=False)
class LateThrottleWorld(JobWorld):
    """A world in which the first throttle that is lifted gets no answer.

    :ivar late_throttle: carries it out.
    """

    late_throttle: Callable[[], object] | None = None

    def _call(self, command, owner, action, sent_ms: int) -> None:
        lifts = isinstance(command, events.ThrottleRun) and (
            command.percent == FULL_PERCENT
        )
        if not lifts or self.late_throttle is not None:
            super()._call(command, owner, action, sent_ms)
            return
        worker = self.workers[command.worker_id]
        self.late_throttle = lambda: action(command, worker, sent_ms)
        self._fail_later(command, owner, sent_ms)


class LateThrottleTest(unittest.TestCase):
    """A best-effort run beside a serving one."""

    # Guards against a best-effort run that works on at a throttle that the owner has
    # replaced, as no call tells the owner which one is in force.
    def test_late_throttle_is_replaced(self) -> None:
        """A throttle of 100 percent is carried out after one of 40."""
        world = LateThrottleWorld(work_ms=90_000)
        world.new_owner()
        world.add_workers(1)
        world.submit(make_job(SERVING, SERVING_STEP))
        world.submit(make_job(FILLING, FILLING_STEP))
        worker = world.workers["w0"]
        serving, filling = f"{SERVING}.0.0.0", f"{FILLING}.0.0.0"
        worker.measurements = {serving: 33.4, filling: 400.0}
        model = world.owner.state.interference
        model.slopes = {"web": {"sum": Estimate(8.2, 0.01, 0)}}
        model.margins[(SERVING, 0, 0)] = Estimate(1.4, 0.01, 0)
        world.run(3_000)
        worker.measurements[serving] = 15.0
        while world.late_throttle is None:
            world.run(20)
        worker.measurements[serving] = 33.4
        world.run(4_000)
        run = worker.runs[(filling, 1)]
        self.assertEqual(run.throttle_percent, 40)
        world.late_throttle()
        world.run(2_000)
        self.assertEqual(run.throttle_percent, 40)


if __name__ == "__main__":
    unittest.main()
