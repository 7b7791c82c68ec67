"""Batch tasks of a shard that make each host that starts them fail."""

import unittest

from poplarlb.protocol import api
from poplarlb.state.models import Resources, TaskKey, TaskSpec, WorkClass
from tests.harness import deployment
from tests.harness.world import World

ZONES = ("a",)
HOSTS = 8
REVIVED_MS = 40_000  # from a host's failure until it is live again
PLAYED_MS = 600_000
MAX_STARTS = 6


class DeadlyBatchTaskTest(unittest.TestCase):
    """A task that takes its host with it isn't tried for ever."""

    # Guards against a task whose lost attempts never count, as only failures do.
    def test_task_is_given_up(self) -> None:
        """Each host fails as soon as it runs the task."""
        world = World(deployment.make_settings(ZONES))
        world.add_workers("a", HOSTS, Resources(8_000, 16_000, 1))
        world.start("d1", "a")
        world.run(10_000)
        team = deployment.make_team("dairy", ZONES, ())
        for _ in range(30):
            result = deployment.apply_team(world, "d1", team)
            if isinstance(result, api.ConfigChanged):
                break
            world.run(1_000)
        key = TaskKey("dairy", "j1")
        size = Resources(1_000, 1_000)
        spec = TaskSpec(
            key, WorkClass.ORDINARY, size, 60_000, submitted_ms=world.now_ms
        )
        world.ask("d1", api.SubmitTask(spec))
        until_ms = world.now_ms + PLAYED_MS
        while world.now_ms < until_ms:
            world.run(100)
            for name, model in world.workers.items():
                if key in model.tasks and not model.faults.dead:
                    world.fail_host(name)
                    world.after(REVIVED_MS, lambda name=name: world.revive_host(name))
        starts = sum(row.what == "start" for row in world.history())
        self.assertGreater(starts, 0)
        self.assertLessEqual(starts, MAX_STARTS)


if __name__ == "__main__":
    unittest.main()
