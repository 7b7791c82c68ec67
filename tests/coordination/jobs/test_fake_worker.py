"""Tests of the fake worker: what the protocol says of leases, clocks and restarts."""

import random
import unittest

from poplarlb.coordination.jobs.events import CallOutcome, StartRun, StopRun
from tests.coordination.jobs.fake_worker import (
    CLOCK_OFFSET_MS,
    FIRST_CLOCK_MS,
    FakeWorker,
    draw_clock_ms,
)
from tests.coordination.jobs.job_world import JobWorld, make_job

TASK = f"{'a' * 16}.0.0.0"


def make_start(worker: FakeWorker, run: int, lease_ms: float, epoch: int = 1):
    """Return a start with a lease of some length from now on."""
    until_ms = int(worker.clock_ms + lease_ms)
    return StartRun("w0", "w0:1", TASK, run, "", until_ms, epoch, "")


class StartTest(unittest.TestCase):
    """Leases that starts grant, whatever is answered."""

    def setUp(self) -> None:
        """Make a worker that refuses run 2."""
        self.worker = FakeWorker("w0", 1_000, clock_ms=50_000.0)
        self.worker.stop(StopRun("w0", "w0:1", TASK, 2, 1))

    # Guards against worlds in which a refused start leaves the leases as they are.
    def test_refused_old_run_extends_the_lease(self) -> None:
        """The lease of a start that is refused as old is taken."""
        outcome = self.worker.start(make_start(self.worker, 2, 7_000), 500, False)
        self.assertEqual(outcome, CallOutcome.OLD_RUN)
        self.assertEqual(self.worker.lease_end_ms, 57_000)

    # Guards against leases that end earlier or later than the protocol allows.
    def test_lease_is_limited_and_never_shortened(self) -> None:
        """It is cut to 10 s; an earlier end changes nothing."""
        self.worker.start(make_start(self.worker, 2, 70_000), 500, False)
        self.assertEqual(self.worker.lease_end_ms, 60_000)
        self.worker.start(make_start(self.worker, 3, 4_000), 500, False)
        self.assertEqual(self.worker.lease_end_ms, 60_000)

    # Guards against worlds in which a refusal for another reason grants a lease.
    def test_other_refusals_grant_nothing(self) -> None:
        """A start with an old epoch, or whose lease is over, extends nothing."""
        self.worker.stop(StopRun("w0", "w0:1", TASK, 2, 5))
        start = make_start(self.worker, 3, 7_000, epoch=4)
        self.assertEqual(self.worker.start(start, 500, False), CallOutcome.OLD_EPOCH)
        start = make_start(self.worker, 3, 0, epoch=5)
        self.assertEqual(self.worker.start(start, 500, False), CallOutcome.LEASE_OVER)
        self.assertEqual(self.worker.lease_end_ms, 0)


class AnswerTest(unittest.TestCase):
    """What the worlds answer to starts."""

    # Guards against worlds whose answers to starts lack the clock, also refusals.
    def test_clock(self) -> None:
        """Each answer has the worker's clock."""
        world = JobWorld()
        world.add_workers(1)
        world.submit(make_job())
        worker = world.workers["w0"]
        worker.clock_ms = 50_000.7
        for run, epoch, outcome in (
            (2, 3, CallOutcome.DONE),
            (2, 3, CallOutcome.DONE),
            (1, 2, CallOutcome.OLD_EPOCH),
        ):
            start = make_start(worker, run, 5_000, epoch)
            answer = world._execute(start, worker, 0)
            self.assertEqual((answer.outcome, answer.clock_ms), (outcome, 50_000))


class ClockTest(unittest.TestCase):
    """Clocks of restarted workers."""

    # Guards against restarts whose clocks all begin anew, which hides bounds that are
    # wrong for a clock that is ahead of the former one.
    def test_drawn_clocks(self) -> None:
        """Some begin anew, some are far ahead and some far behind."""
        rng = random.Random(1)
        former_ms = 20_000_000.0
        clocks = [draw_clock_ms(rng, former_ms) for _ in range(60)]
        least_ms = CLOCK_OFFSET_MS[0]
        ahead = [clock for clock in clocks if clock >= former_ms + least_ms]
        behind = [c for c in clocks if FIRST_CLOCK_MS < c <= former_ms - least_ms]
        anew = clocks.count(FIRST_CLOCK_MS)
        self.assertEqual(len(ahead) + len(behind) + anew, len(clocks))
        self.assertGreater(min(len(ahead), len(behind), anew), 10)

    # Guards against a restart that keeps the former clock or lease.
    def test_restart(self) -> None:
        """The next incarnation has the given clock and no lease."""
        worker = FakeWorker("w0", 1_000, clock_ms=50_000.0)
        worker.start(make_start(worker, 1, 5_000), 500, False)
        worker.restart(2_000, 7_000_000.0)
        self.assertEqual((worker.clock_ms, worker.lease_end_ms), (7_000_000.0, 0.0))
        worker.restart(3_000)
        self.assertEqual(worker.clock_ms, FIRST_CLOCK_MS)


if __name__ == "__main__":
    unittest.main()
