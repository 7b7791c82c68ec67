"""The record of unresponsive workers, by which the next owner waits for leases."""

import unittest

from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import JobWorld, make_job

JOB = "a" * 16
OTHER_JOB = "b" * 16
STEP = StepSpec(1, Resources(1_000, 1_000), estimate_ms=60_000)


class RecordedWorkerTest(unittest.TestCase):
    """A worker that the stored record names answers again, and is cut off once more."""

    # Guards against a start that grants a usual lease while the stored record says that
    # the worker's leases are almost over.
    def test_start_before_the_record_is_replaced(self) -> None:
        """An owner starts a task there at once, and loses the ownership."""
        world = JobWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(1)
        world.run(200)
        world.submit(make_job(JOB, STEP))
        world.run(2_000)
        world.partitioned.add("w0")
        left_ms = world.policy.lease_ms
        while left_ms > 1_000:
            world.run(20)
            left_ms = min([left_ms, *(r.remaining_ms for r in world.lease_remainders)])
        world.partitioned.discard("w0")
        world.new_owner()
        world.submit(make_job(OTHER_JOB, STEP))
        task = f"{OTHER_JOB}.0.0.0"
        for _ in range(100):
            if task in world.running():
                break
            world.run(20)
        self.assertEqual(world.running().get(task), "w0")
        world.partitioned.add("w0")
        world.new_owner()
        world.add_workers(1)
        world.run(20_000)
        self.assertEqual(world.violations, [])


if __name__ == "__main__":
    unittest.main()
