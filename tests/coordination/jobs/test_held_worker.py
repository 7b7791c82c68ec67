"""Workers held for a suspect while the configuration changes."""

import unittest

import attrs

from poplarlb.coordination.jobs.events import ConfigChanged
from poplarlb.state.jobs import OperatorConfig, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import JobWorld, make_job

SUSPECT = "a" * 16
STEP = StepSpec(1, Resources(4_000, 1_000), estimate_ms=500)
SMALL = StepSpec(1, Resources(100, 100), estimate_ms=500)


class HeldWorkerTest(unittest.TestCase):
    """A held worker is used only if the task may run there when it starts."""

    # Guards against a start at a worker of the service that the queue had before.
    def test_queue_moves_to_another_service(self) -> None:
        """The configuration changes while a worker is held."""
        world = JobWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(2)
        world.add_workers(2, service="other")
        world.run(200)
        world.submit(make_job(SUSPECT, STEP))
        world.run(100)
        worker = next(item for item in world.workers.values() if item.runs)
        worker.alive = False
        worker.runs.clear()
        world.later(3_000, lambda: world.unlist(worker.worker_id))
        world.run(8_000)
        for number in range(60):  # runs that haven't settled delay the isolated start
            world.submit(make_job(f"{number:016x}", SMALL))
            world.run(40)
            if any(item.held_for for item in world.owner.state.workers.values()):
                break
        self.assertEqual(world.starts[f"{SUSPECT}.0.0.0"], 1)
        moved = attrs.evolve(world.queue, service="other")
        world.feed(ConfigChanged(OperatorConfig(2, (moved,))))
        world.run(3_000)
        place = world.running()[f"{SUSPECT}.0.0.0"]
        self.assertEqual(world.workers[place].service, "other")


if __name__ == "__main__":
    unittest.main()
