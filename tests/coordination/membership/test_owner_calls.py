"""Calls that a daemon forwards to the owners of shards, over its restarts."""

import unittest

from poplarlb.protocol import api
from tests.harness import deployment
from tests.harness.world import World

ZONES = ("a",)


class RestartedCallerTest(unittest.TestCase):
    """A daemon restarts under its id while an owner works on a call of its."""

    def setUp(self) -> None:
        """Start two daemons; one of them owns the only shard."""
        self.world = World(deployment.make_settings(ZONES))
        for name in ("d1", "d2"):
            self.world.start(name, "a")
        self.world.run(10_000)
        team = deployment.make_team("dairy", ZONES)
        deployment.apply_team(self.world, "d1", team)
        daemons = self.world.daemons.values()
        (self.owner,) = (item for item in daemons if item.node.shard_hosts)
        (self.caller,) = (item for item in daemons if not item.node.shard_hosts)

    def submit(self, name: str) -> tuple[api.SubmitTask, int]:
        """Submit a task at the other one; return the call and its forwarded number."""
        call = api.SubmitTask(deployment.make_job(self.world, name))
        self.world.ask(self.caller.name, call)
        return call, max(self.caller.node.owner_calls.sent)

    # Guards against an accepted task that isn't: the answer to a call of the earlier
    # process was taken for that to another call, which had the same number.
    def test_answer_to_a_call_of_the_earlier_process(self) -> None:
        """No caller of the later process gets the answer of the earlier one's."""
        world = self.world
        self.owner.store_unreachable = True  # so it answers later
        _, first = self.submit("dairy/first")
        world.run(500)
        world.kill(self.caller.name)
        world.start(self.caller.name)
        world.run(2_000)
        context = self.caller.node.context
        while context.next_call() < first - 2:  # so that the numbers may be equal
            pass
        call, _ = self.submit("dairy/second")
        self.owner.store_unreachable = False
        world.run(10_000)
        answers = [answer.result for answer in world.answers if answer.call == call]
        self.assertEqual([answer.spec.key for answer in answers], [call.spec.key])


if __name__ == "__main__":
    unittest.main()
