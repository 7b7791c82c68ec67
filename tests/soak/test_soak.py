"""A short seeded run of the soak, and every seed that ever failed."""

import asyncio
import pathlib
import tempfile
import unittest

from tests.soak.soak import TROUBLE_S, Soak

SHORT_TROUBLE_S = 10.0
SHORT_SEEDS = (1, 2)
LIVELOCK = "stops repeated during each look kept an unanswered start's room for ever"
FAILED_ONCE = {108: LIVELOCK, 116: LIVELOCK}  # seed: cause


class SoakTest(unittest.TestCase):
    """Real daemons, faults from outside, every promise kept."""

    def run_seed(self, seed: int, trouble_s: float) -> None:
        """Run one seed and fail with what it broke."""
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, pathlib.Path(folder), trouble_s=trouble_s)
            self.assertEqual(asyncio.run(soak.run()), [])

    def test_short_seeds(self) -> None:
        """Two seeds with the faults closer together."""
        for seed in SHORT_SEEDS:
            with self.subTest(seed=seed):
                self.run_seed(seed, SHORT_TROUBLE_S)

    def test_seeds_that_failed_once(self) -> None:
        """Their causes are mended; they run in full."""
        for seed, cause in FAILED_ONCE.items():
            with self.subTest(seed=seed, cause=cause):
                self.run_seed(seed, TROUBLE_S)


if __name__ == "__main__":
    unittest.main()
