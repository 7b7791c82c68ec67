"""Short seeded soak runs, and every seed that failed before."""

import asyncio
import pathlib
import tempfile
import unittest

from tests.soak.soak import FAULT_PHASE_S, Soak

SHORT_FAULT_PHASE_S = 10.0
SHORT_SEEDS = (1, 2)
LIVELOCK = "stops repeated in each poll kept an unanswered start's reservation for ever"
UNSEEN_RESTART = (
    "a lease by the clock of an incarnation that no poll had met was too short"
)
PREVIOUSLY_FAILED = {  # seed: cause
    108: LIVELOCK,
    116: LIVELOCK,
    73005: UNSEEN_RESTART,
    73008: UNSEEN_RESTART,
}


class SoakTest(unittest.TestCase):
    """Real daemons keep all invariants under injected faults."""

    def run_seed(self, seed: int, fault_phase_s: float) -> None:
        """Run one seed and expect no violations."""
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, pathlib.Path(folder), fault_phase_s=fault_phase_s)
            self.assertEqual(asyncio.run(soak.run()), [])

    def test_short_seeds(self) -> None:
        """Two seeds whose faults follow each other more closely."""
        for seed in SHORT_SEEDS:
            with self.subTest(seed=seed):
                self.run_seed(seed, SHORT_FAULT_PHASE_S)

    def test_seeds_that_failed_once(self) -> None:
        """Seeds whose cause of failure was fixed run for the full duration."""
        for seed, cause in PREVIOUSLY_FAILED.items():
            with self.subTest(seed=seed, cause=cause):
                self.run_seed(seed, FAULT_PHASE_S)


if __name__ == "__main__":
    unittest.main()
