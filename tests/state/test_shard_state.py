"""Tests of replay and snapshots: both restore the state that the owner had."""

import collections
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from poplarlb.coordination.shards.shard_host import ShardHost
from poplarlb.exceptions import ProtocolError
from poplarlb.protocol import api
from poplarlb.state.models import Resources, TaskKey, TaskSpec, WorkClass
from poplarlb.state.shard_state import ShardState
from poplarlb.state.snapshot import decode_state, encode_state
from tests.coordination.shards.shard_world import ShardWorld

DECISIONS_KEPT = 2_000
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("submit", "cancel", "run", "crash", "kill")),
        st.integers(0, 9),
    ),
    max_size=40,
)


def run_steps(world: ShardWorld, steps: list[tuple[str, int]]) -> None:
    """Run submissions, cancellations, crashes and takeovers on two shards."""
    for what, number in steps:
        key = TaskKey("dairy", f"j{number}")
        match what:
            case "submit":
                size = Resources(300 * (1 + number), 100, number % 2)
                spec = TaskSpec(key, WorkClass.ORDINARY, size, 700 * number)
                world.submit(spec)
            case "cancel":
                world.ask(api.CancelTask(key), world.shards.home_of_task(key))
            case "run":
                world.run(400 * number)
            case "crash":
                model = world.workers[("a-w0", "b-w1")[number % 2]]
                model.crash(world.now_ms)
            case "kill":
                name = f"d{len(world.daemons)}"
                world.start_daemon(name)
                world.take_over(("a/0", "b/0")[number % 2], name)


def open_hosts(world: ShardWorld) -> list[ShardHost]:
    """Return the open shard hosts of the shards' current owners."""
    shard_hosts = [world.daemons[n].shard_hosts.get(s) for s, n in world.owners.items()]
    return [host for host in shard_hosts if host is not None and host.open]


class ReplayTest(unittest.TestCase):
    """The journal and the snapshot each hold the whole state."""

    @settings(
        max_examples=30,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(STEPS, st.integers(0, 1_000))
    def test_replay_and_snapshot(self, steps: list, seed: int) -> None:
        """Replayed changes and a decoded snapshot equal the live state."""
        world = ShardWorld(seed)
        world.run(1_500)
        run_steps(world, steps)
        world.run(2_000)
        for host in open_hosts(world):
            live = host.machine.core.state
            snapshot = encode_state(live)
            self.assertEqual(decode_state(snapshot, DECISIONS_KEPT), live)
            self.assertEqual(decode_state(host.writer.encode(), DECISIONS_KEPT), live)
            log = host.journal.log
            replayed = ShardState(decisions=collections.deque(maxlen=DECISIONS_KEPT))
            if log.snapshot:
                replayed = decode_state(log.snapshot, DECISIONS_KEPT)
            batch = host.journal.batch
            in_flight = batch.entries if batch and not batch.applied else ()
            entries = log.entries[log.covered :]
            for entry in (*entries, *in_flight, *host.journal.staged):
                for change in host.decode_changes(entry):
                    replayed.apply(change)
            self.assertEqual(replayed, live)

    def test_damaged_snapshot_is_refused(self) -> None:
        """Truncated, extended and foreign data raise a protocol error."""
        data = encode_state(ShardState())
        for damaged in (b"", data[:-1], data + data, b"\x82\x02\x80", b"\x00"):
            with self.assertRaises(ProtocolError):
                decode_state(damaged, DECISIONS_KEPT)
