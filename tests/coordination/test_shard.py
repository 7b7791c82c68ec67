"""Scripted faults of single shards and of two shards together."""

import unittest

from poplarlb.protocol import api
from poplarlb.state.models import Resources, TaskKey, TaskPhase, TaskSpec, WorkClass
from tests.coordination.shard_world import ShardWorld
from tests.harness import oracle


def key_at(world: ShardWorld, shard: str, number: int = 0) -> TaskKey:
    """Return a task key whose home is the shard."""
    keys = (TaskKey("dairy", f"k{index}") for index in range(10_000))
    own = [key for key in keys if world.shards.home_of_task(key) == shard]
    return own[number]


def make_spec(
    key: TaskKey,
    cpu_millis: int = 600,
    run_time_ms: int = 30_000,
    work_class: WorkClass = WorkClass.ORDINARY,
) -> TaskSpec:
    """Return a batch task."""
    return TaskSpec(key, work_class, Resources(cpu_millis, 100), run_time_ms)


class ShardCase(unittest.TestCase):
    """A world of two shards that is well at first."""

    def setUp(self) -> None:
        """Let the owners reach their workers."""
        self.world = ShardWorld(7)
        self.world.run(1_500)

    def show(self, key: TaskKey) -> api.TaskView:
        """Return what the home shard says of a task."""
        home = self.world.shards.home_of_task(key)
        asked = len(self.world.answers)
        self.world.ask(api.ShowTask(key), home)
        self.world.run(1_000)
        return self.world.answers[asked].result

    def starts(self, key: TaskKey) -> list[tuple[int, str]]:
        """Return the attempts that started, and where."""
        subject = f"{key.team}/{key.task_id}"
        return [
            (row.attempt, row.worker_id)
            for row in self.world.history()
            if row.what == "start" and row.subject == subject
        ]


class TakeoverTest(ShardCase):
    """A new owner waits for all that the old one may still do."""

    def run_blind_takeover(self) -> TaskKey:
        """Cut the owner off from the store and its heir from the workers."""
        key = key_at(self.world, "a/0")
        self.world.submit(make_spec(key))
        self.world.run(1_000)
        self.assertEqual(len(self.starts(key)), 1)
        self.world.daemons["d0"].no_store = True
        self.world.start_daemon("d2")
        self.world.daemons["d2"].cut_workers.update(("a-w0", "a-w1"))
        self.world.take_over("a/0", "d2")
        return key

    def test_waits_out_the_old_owners_renewals(self) -> None:
        """The cut-off owner renews until the horizon; nothing starts twice."""
        key = self.run_blind_takeover()
        self.world.run(8_000)
        self.assertEqual(len(self.starts(key)), 1)
        self.world.run(40_000)
        self.assertEqual(len(self.starts(key)), 2)
        self.assertEqual(oracle.check_one_place(self.world), [])

    def test_takes_running_work_over(self) -> None:
        """An heir that reaches the worker goes on with the same attempt."""
        key = key_at(self.world, "a/0")
        self.world.submit(make_spec(key))
        self.world.run(1_000)
        self.world.kill("d0")
        self.world.start_daemon("d2")
        self.world.take_over("a/0", "d2")
        self.world.run(40_000)
        self.assertEqual(len(self.starts(key)), 1)
        self.assertIs(self.show(key).phase, TaskPhase.ENDED)


if __name__ == "__main__":
    unittest.main()
