"""Tests of whole nodes: isolation of a failed shard, store outage and shutdown."""

import unittest

from poplarlb.protocol import api, ports
from tests.harness import deployment
from tests.harness.walk import Walk
from tests.harness.world import World

ZONES = ("a", "b", "c")


class _FailingMachine:
    """A fake of a shard's state machine that raises on every access."""

    def __getattr__(self, name: str):
        """Raise the injected fault."""
        raise RuntimeError("injected fault")


class NodeTest(unittest.TestCase):
    """Nodes with a failed shard, without the store, and at shutdown."""

    def setUp(self) -> None:
        """Start three daemons and run nine jobs to their end."""
        self.world: World = deployment.make_world(ZONES, 3, 2)
        self.world.run(10_000)
        team = deployment.make_team("dairy", ZONES)
        result = deployment.apply_team(self.world, "d1", team)
        self.assertIsInstance(result, api.ConfigChanged)
        self.specs = [
            deployment.make_job(self.world, f"dairy/j{number}") for number in range(9)
        ]
        for spec in self.specs:
            self.world.ask("d1", api.SubmitTask(spec))
        self.world.run(10_000)

    def show_all(self) -> list[str]:
        """Return the phase of every job, asked at d2."""
        answers = [
            self.world.ask_and_wait("d2", api.ShowTask(spec.key)) for spec in self.specs
        ]
        return [str(answer.phase) for answer in answers]

    def test_failed_shard_is_recovered(self) -> None:
        """A shard whose state machine raises is recovered without losing a task."""
        daemon = next(d for d in self.world.daemons.values() if d.node.shard_hosts)
        node = daemon.node
        shard, host = next(iter(node.shard_hosts.items()))
        host.machine = _FailingMachine()
        node.owned.handle(shard, ports.Tick(), self.world.now_ms)
        self.assertEqual([fault.shard for fault in node.owned.faults], [shard])
        node.owned.faults.clear()
        self.world.run(5_000)
        self.assertFalse(node.shard_hosts[shard] is host)
        self.assertTrue(node.shard_hosts[shard].open)
        self.assertGreater(node.shard_hosts[shard].epoch, host.epoch)
        self.assertEqual(self.show_all(), ["ended"] * 9)

    def test_requests_go_on_without_the_store(self) -> None:
        """Requests, also those with an idempotency key, succeed in a store outage."""
        walk = Walk(5)
        walk.world.run(8_000)
        walk.world.faults.store_down = True
        walk.world.run(30_000)
        for number in range(12):
            walk.request(number, True, 1)
            walk.request(number, False, 1)
            walk.world.run(300)
        walk.world.run(20_000)
        answers = [outcome.answer for outcome in walk.callers.outcomes]
        self.assertEqual(answers, ["ok"] * 24)
        self.assertEqual(walk.check(), [])

    def test_last_daemon_flushes_its_journals(self) -> None:
        """After all daemons have stopped in turn, a new one recovers every task."""
        for name in ("d1", "d3"):
            node = self.world.daemons[name].node
            for command in node.handle(ports.ShutdownRequested(), self.world.now_ms):
                self.assertNotIsInstance(command, ports.Stopped)
            self.world.run(15_000)
            self.assertFalse(self.world.daemons[name].alive)
        self.world.deliver(self.world.daemons["d2"], ports.ShutdownRequested())
        self.world.run(15_000)
        self.assertFalse(self.world.daemons["d2"].alive)
        self.assertFalse([k for k in self.world.store.items if "/members/" in k])
        self.world.start("d2")
        self.world.run(15_000)
        self.assertEqual(self.show_all(), ["ended"] * 9)
