"""Tests of the forecast of margins, against the margin that stays as it is."""

import math
import random
import unittest

from poplarlb.coordination.jobs.margin_forecast import (
    AHEAD_SAMPLES,
    SAMPLE_MS,
    MarginForecast,
)

STEPS = 40
SAMPLES = 100
LEARNING_SAMPLES = 30
NOISE = 0.075
AHEAD_MS = 2_000


def measure_errors(margin_at, seed: int) -> tuple[float, float]:
    """Return the mean errors of the forecast and of the present margin, 2 s ahead.

    :param margin_at: returns a margin by the time in seconds and the step's number.
    """
    rng = random.Random(seed)
    forecast = MarginForecast()
    forecast_error = present_error = 0.0
    for sample in range(SAMPLES):
        now_ms = sample * SAMPLE_MS
        for step in range(STEPS):
            measured = margin_at(now_ms / 1_000, step) + rng.uniform(-NOISE, NOISE)
            forecast.add(step, measured, now_ms)
            if sample < LEARNING_SAMPLES:
                continue
            history = forecast.histories[step]
            real = margin_at((now_ms + AHEAD_MS) / 1_000, step)
            ahead = history.ahead[AHEAD_MS // SAMPLE_MS - 1]
            forecast_error += abs(ahead - real)
            present_error += abs(measured - real)
    return forecast_error, present_error


class MarginForecastTest(unittest.TestCase):
    """Forecasts of waves, of steady margins and of margins without a pattern."""

    def test_waves_of_any_period_are_forecast(self) -> None:
        """The error is well below that of the present margin."""
        for period_s in (6.0, 10.0, 16.0):
            with self.subTest(period_s=period_s):

                def wave(at_s: float, step: int, period_s: float = period_s) -> float:
                    angle = 2 * math.pi * (at_s / period_s + step / STEPS)
                    return 2.0 + step / 200 + 1.0 * math.sin(angle)

                forecast, present = measure_errors(wave, seed=1)
                self.assertLess(forecast, 0.6 * present)

    def test_steady_loads_are_forecast_as_they_are(self) -> None:
        """Noise isn't taken for a trend."""
        forecast, present = measure_errors(lambda at_s, step: 1.5 + step / 20, seed=2)
        self.assertLess(forecast, 1.2 * present)

    def test_loads_without_a_pattern_are_not_forecast_worse(self) -> None:
        """Steps up and down that can't be foreseen cost little accuracy."""
        levels = random.Random(3).choices((1.0, 2.0, 3.0), k=STEPS * SAMPLES)

        def jumps(at_s: float, step: int) -> float:
            return levels[(step * 31 + int(at_s / 3)) % len(levels)]

        forecast, present = measure_errors(jumps, seed=3)
        self.assertLess(forecast, 1.1 * present)

    def test_nothing_is_forecast_from_too_little(self) -> None:
        """The present load is returned until a step has some samples."""
        forecast = MarginForecast()
        self.assertEqual(forecast.lowest("a", 0.7, 1_000, 0), 0.7)
        for sample in range(3):
            forecast.add("a", 0.1 * sample, sample * SAMPLE_MS)
        self.assertEqual(forecast.lowest("a", 0.3, 1_000, 1_500), 0.3)

    def test_gaps_and_old_samples_are_left_out(self) -> None:
        """A step that wasn't measured for long is forecast again only after a while."""
        forecast = MarginForecast()
        for sample in range(20):
            forecast.add("a", 0.4 + 0.01 * sample, sample * SAMPLE_MS)
        late_ms = (20 + AHEAD_SAMPLES) * SAMPLE_MS
        self.assertEqual(forecast.lowest("a", 0.3, 1_000, late_ms), 0.3)
        forecast.add("a", 0.5, late_ms)
        self.assertEqual(len(forecast.histories["a"].recent), 1)
        forecast.forget("a")
        self.assertEqual(forecast.lowest("a", 0.5, 1_000, late_ms), 0.5)


if __name__ == "__main__":
    unittest.main()
