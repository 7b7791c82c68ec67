"""Stateful fuzzing of whole nodes against an oracle, and seeds of past failures."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.harness.fuzzing import make_settings
from tests.harness.walk import Walk, walk_randomly

DAEMONS = st.integers(0, 2)
PERCENT = st.sampled_from((0, 5, 30))
REGRESSION_SEEDS = (2, 7, 10, 14, 20, 57)
REGRESSION_STEPS = 60


class SystemMachine(RuleBasedStateMachine):
    """Work, faults and operators' changes in any order, with guarantees checked."""

    def __init__(self) -> None:
        """Start a simulated deployment."""
        super().__init__()
        self.walk = Walk(0)

    @rule(duration_ms=st.sampled_from((50, 300, 1_000, 4_000)))
    def advance(self, duration_ms: int) -> None:
        """Advance the simulated clock."""
        self.walk.advance(duration_ms)

    @rule(
        daemon=DAEMONS,
        kind=st.integers(0, 9),
        run_time_ms=st.sampled_from((500, 4_000, 15_000)),
        cpu_millis=st.sampled_from((500, 2_000, 5_000)),
    )
    def submit(self, daemon: int, kind: int, run_time_ms: int, cpu_millis: int) -> None:
        """Submit a job."""
        self.walk.submit(daemon, kind, run_time_ms, cpu_millis)

    @rule(daemon=DAEMONS, back=st.integers(0, 3))
    def cancel(self, daemon: int, back: int) -> None:
        """Cancel a job."""
        self.walk.cancel(daemon, back)

    @rule(daemon=DAEMONS, keyed=st.booleans())
    def request(self, daemon: int, keyed: bool) -> None:
        """Send a request to the service."""
        self.walk.request(daemon, keyed, 3)

    @rule(daemon=DAEMONS)
    def toggle_daemon(self, daemon: int) -> None:
        """Kill or start a daemon."""
        self.walk.toggle_daemon(daemon)

    @rule(daemon=DAEMONS)
    def toggle_pause(self, daemon: int) -> None:
        """Pause or resume a daemon."""
        self.walk.toggle_pause(daemon)

    @rule(daemon=DAEMONS, what=st.integers(0, 2))
    def toggle_partition(self, daemon: int, what: int) -> None:
        """Disconnect or reconnect a daemon."""
        self.walk.toggle_partition(daemon, what)

    @rule()
    def toggle_store(self) -> None:
        """Take the store down or bring it back."""
        self.walk.toggle_store()

    @rule(store=PERCENT, peers=PERCENT, workers=PERCENT)
    def set_losses(self, store: int, peers: int, workers: int) -> None:
        """Set the shares of answers and messages that are lost."""
        self.walk.set_losses(store, peers, workers)

    @rule(
        store_factor=st.sampled_from((1, 100)),
        worker_ms=st.sampled_from((0, 1_500, 4_000)),
    )
    def set_delays(self, store_factor: int, worker_ms: int) -> None:
        """Set the delays of the store and of the calls to workers."""
        self.walk.set_delays(store_factor, worker_ms)

    @rule(worker=st.integers(0, 5), how=st.integers(0, 2))
    def toggle_host(self, worker: int, how: int) -> None:
        """Make a host fail, vanish, leave or return."""
        self.walk.toggle_host(worker, how)

    @rule(daemon=DAEMONS, zone=st.integers(0, 2), out=st.booleans())
    def set_zone(self, daemon: int, zone: int, out: bool) -> None:
        """Take a zone out of service or bring it back."""
        self.walk.set_zone(daemon, zone, out)

    @precondition(lambda self: len(self.walk.trace) % 4 == 0)
    @invariant()
    def guarantees_hold(self) -> None:
        """No observation of workers, callers or operators violates a guarantee."""
        violations = self.walk.check()
        assert not violations, violations[:3]

    def teardown(self) -> None:
        """Remove all faults and check the final state."""
        violations = self.walk.finish()
        assert not violations, violations[:3]


SystemFuzzTest = SystemMachine.TestCase
SystemFuzzTest.settings = make_settings(6, 30)


class RegressionTest(unittest.TestCase):
    """Walks that once violated a guarantee."""

    def test_seeds(self) -> None:
        """No walk violates a guarantee."""
        for seed in REGRESSION_SEEDS:
            with self.subTest(seed=seed):
                _, violations = walk_randomly(seed, REGRESSION_STEPS)
                self.assertEqual(violations, [])
