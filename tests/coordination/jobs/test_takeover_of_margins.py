"""Takeovers while the loads of serving tasks swing: what the next owner knows.

An owner is killed or hands over; the next one resumes from the stored record. Without
the margins it would take all loads for their mean, and overfill workers at their peak.
"""

import math
import random
import unittest

from poplarlb.coordination.jobs.interference import InterferenceModel

STEPS = 30
PERIOD_S = 14.0
MEAN, SWING, NOISE = 2.4, 1.2, 0.08
MEASURE_MS = 500
TAKEOVER_MS = 20_000
AHEAD_MS = 2_000
UTC_OFFSET_MS = 1_800_000_000_000
NEW_CLOCK_MS = 7_000_000  # the next owner's monotonic clock runs from another start


def margin_at(at_ms: float, step: int) -> float:
    """Return a step's own margin."""
    angle = 2 * math.pi * (at_ms / 1000 / PERIOD_S + step / STEPS)
    return MEAN + SWING * math.sin(angle)


def measure(model: InterferenceModel, at_ms: int, clock_ms: int, rng) -> None:
    """Deliver a measurement of each step."""
    for step in range(STEPS):
        measured = margin_at(at_ms, step) + rng.uniform(-NOISE, NOISE)
        model.learn((f"job{step}", 0, 0), "web", measured, {}, clock_ms)


def mean_error(model: InterferenceModel, at_ms: int, clock_ms: int) -> float:
    """Return the mean error of the lowest margin that is expected in the next time."""
    errors = []
    for step in range(STEPS):
        lowest = min(margin_at(at_ms + ms, step) for ms in range(0, AHEAD_MS, 100))
        key = (f"job{step}", 0, 0)
        errors.append(abs(model.lowest_margin(key, AHEAD_MS, clock_ms) - lowest))
    return sum(errors) / len(errors)


class TakeoverOfMarginsTest(unittest.TestCase):
    """One owner learns for 20 s, and another resumes after a gap."""

    def take_over(self, seed: int, gap_ms: int) -> InterferenceModel:
        """Return the next owner's model, before its first measurement."""
        rng = random.Random(seed)
        model = InterferenceModel()
        for now_ms in range(0, TAKEOVER_MS, MEASURE_MS):
            measure(model, now_ms, now_ms, rng)
        last_ms = TAKEOVER_MS - MEASURE_MS
        record = model.encode(last_ms, UTC_OFFSET_MS + last_ms)
        successor = InterferenceModel()
        utc_ms = UTC_OFFSET_MS + last_ms + gap_ms
        successor.restore(record, NEW_CLOCK_MS + gap_ms, utc_ms)
        return successor

    def test_next_owner_knows_the_loads_at_once(self) -> None:
        """Its error is below half of that of an owner that knows no loads."""
        for seed in (1, 2, 3, 11):
            for gap_ms in (100, 1_500, 2_400):
                with self.subTest(seed=seed, gap_ms=gap_ms):
                    model = self.take_over(seed, gap_ms)
                    at_ms = TAKEOVER_MS - MEASURE_MS + gap_ms
                    error = mean_error(model, at_ms, NEW_CLOCK_MS + gap_ms)
                    unknown = mean_error(InterferenceModel(mean_margin=MEAN), at_ms, 0)
                    self.assertLess(error, 0.5 * unknown)

    def test_samples_missed_in_between_are_filled(self) -> None:
        """The forecast goes on after the gap as if nothing had been missed."""
        for gap_ms in (500, 1_500, 2_400):
            with self.subTest(gap_ms=gap_ms):
                model = self.take_over(1, gap_ms)
                at_ms = TAKEOVER_MS - MEASURE_MS + gap_ms
                clock_ms = NEW_CLOCK_MS + gap_ms
                measure(model, at_ms, clock_ms, random.Random(1))
                self.assertLess(mean_error(model, at_ms, clock_ms), 0.3)


if __name__ == "__main__":
    unittest.main()
