"""Forecasts the own margins of serving steps, which swing with load within seconds.

The margins of all steps are expected to swing alike, each about its own mean. For each
time ahead, one regression on three past values is learned from all of them; the values
span some seconds, so that noise isn't taken for a trend. It covers steady margins,
trends that end, and waves of any period.
"""

import math
from collections import deque
from collections.abc import Hashable, Iterable
from itertools import islice

from attrs import Factory, define

SAMPLE_MS = 500  # from one sample of a margin to the next
AHEAD_SAMPLES = 8  # how far forecasts reach
LAGS = (0, 3, 6)  # the ages of the values that a forecast is made from, in samples
KEPT_SAMPLES = LAGS[-1] + AHEAD_SAMPLES + 1
MEAN_RATE = 0.02  # at least; of a new sample in a mean, which lasts for some waves
MEAN_PRIOR = 8  # weight of the mean of all steps in that of a new one, in samples
DECAY = 0.999  # of what a sample has taught, with each further one
PRIOR_WEIGHT = 1.0  # of the assumption that margins stay as they are
FIT_PERIOD_MS = 500  # between fits of the regressions
MAX_FORECAST_GAP = 5  # missing samples that are taken from the forecast, at most


@define(eq=False)
class MarginHistory:
    """The last samples of one step's margin.

    :ivar sampled_ms: when the last one was due.
    :ivar recent: the last samples, the newest first.
    :ivar mean: of all samples so far, of late ones at first.
    :ivar ahead: the forecast for each of the next ``AHEAD_SAMPLES`` times.
    """

    sampled_ms: int
    mean: float
    recent: deque[float] = Factory(lambda: deque(maxlen=KEPT_SAMPLES))
    samples: int = 0
    ahead: tuple[float, ...] = ()


@define(eq=False, slots=True)
class Regression:
    """A weighted sum of three past deviations from the mean, fitted by least squares.

    :ivar squares: sums of the products of each two past values.
    :ivar products: sums of the products of each past value and the value to forecast.
    """

    squares: list[float] = Factory(
        lambda: [PRIOR_WEIGHT, 0.0, 0.0, PRIOR_WEIGHT, 0.0, PRIOR_WEIGHT]
    )
    products: list[float] = Factory(lambda: [PRIOR_WEIGHT, 0.0, 0.0])
    weights: tuple[float, float, float] = (1.0, 0.0, 0.0)

    def add(self, past: tuple[float, float, float], value: float) -> None:
        """Add a value and the past ones from which it should be forecast."""
        first, second, third = past
        pairs = (
            first * first,
            first * second,
            first * third,
            second * second,
            second * third,
            third * third,
        )
        self.squares = [
            DECAY * total + new for total, new in zip(self.squares, pairs, strict=True)
        ]
        self.products = [
            DECAY * total + item * value
            for total, item in zip(self.products, past, strict=True)
        ]

    def fit(self) -> None:
        """Set the weights by the sums; they stay if the sums don't determine them."""
        aa, ab, ac, bb, bc, cc = self.squares
        ay, by, cy = self.products
        minor_a, minor_b, minor_c = (
            bb * cc - bc * bc,
            ab * cc - bc * ac,
            ab * bc - bb * ac,
        )
        determinant = aa * minor_a - ab * minor_b + ac * minor_c
        if determinant <= 0:
            return
        self.weights = (
            (ay * minor_a - by * (ab * cc - ac * bc) + cy * (ab * bc - ac * bb))
            / determinant,
            (-ay * minor_b + by * (aa * cc - ac * ac) - cy * (aa * bc - ab * ac))
            / determinant,
            (ay * minor_c - by * (aa * bc - ab * ac) + cy * (aa * bb - ab * ab))
            / determinant,
        )


@define(eq=False)
class MarginForecast:
    """Learns how margins go on from past values.

    :ivar regressions: one for each of the next ``AHEAD_SAMPLES`` times.
    :ivar mean: of the samples of all steps.
    """

    histories: dict[Hashable, MarginHistory] = Factory(dict)
    regressions: list[Regression] = Factory(
        lambda: [Regression() for _ in range(AHEAD_SAMPLES)]
    )
    mean: float | None = None
    next_fit_ms: int = 0

    def add(self, step: Hashable, margin: float, now_ms: int) -> None:
        """Take a sample of a step's margin if one is due."""
        history = self.histories.get(step)
        if history is None:
            mean = margin if self.mean is None else self.mean
            history = self.histories[step] = MarginHistory(now_ms - SAMPLE_MS, mean)
        elapsed_ms = now_ms - history.sampled_ms
        if elapsed_ms < SAMPLE_MS:
            return
        if elapsed_ms < 2 * SAMPLE_MS:
            history.sampled_ms += SAMPLE_MS
        else:
            self._fill_gap(history, elapsed_ms // SAMPLE_MS - 1)
            history.sampled_ms = now_ms
        history.recent.appendleft(margin)
        history.samples += 1
        rate = max(1.0 / (history.samples + MEAN_PRIOR), MEAN_RATE)
        history.mean += rate * (margin - history.mean)
        if self.mean is None:
            self.mean = margin
        self.mean += MEAN_RATE * (margin - self.mean)
        self._learn(history, now_ms)
        history.ahead = self._predict(history)

    def lowest(
        self, step: Hashable, present: float, ahead_ms: int, now_ms: int
    ) -> float:
        """Return the lowest margin of a step from now until ``ahead_ms`` later.

        :param present: the margin as last measured; the forecast for now counts
            instead if a sample is missing since.
        """
        history = self.histories.get(step)
        if history is None:
            return present
        passed = (now_ms - history.sampled_ms) // SAMPLE_MS
        until = -((history.sampled_ms - now_ms - ahead_ms) // SAMPLE_MS)
        if passed < 1:
            return min((present, *history.ahead[:until]))
        return min(history.ahead[passed - 1 : until], default=present)

    def forget(self, step: Hashable) -> None:
        """Forget the samples of a step."""
        self.histories.pop(step, None)

    def encode(self, steps: Iterable[list], now_ms: int) -> dict:
        """Return the regressions and the samples of some steps for the next owner."""
        rows = [
            [
                *step,
                now_ms - history.sampled_ms,
                round(history.mean, 3),
                history.samples,
                [round(value, 2) for value in islice(history.recent, LAGS[-1] + 1)],
            ]
            for step in steps
            if (history := self.histories.get(tuple(step))) is not None
        ]
        sums = [
            [round(item, 3) for item in (*regression.squares, *regression.products)]
            for regression in self.regressions
        ]
        return {"mean": self.mean, "sums": sums, "steps": rows}

    @classmethod
    def decode(cls, record: dict, written_ms: int) -> "MarginForecast":
        """Return the forecast that was encoded at ``written_ms``.

        :raises ValueError, TypeError, LookupError: the record is malformed.
        """
        mean = record["mean"]
        forecast = cls(mean=None if mean is None else float(mean))
        for regression, sums in zip(forecast.regressions, record["sums"], strict=True):
            numbers = [float(item) for item in sums]
            if len(numbers) != 9 or not all(map(math.isfinite, numbers)):
                raise ValueError("the sums of a regression")
            regression.squares, regression.products = numbers[:6], numbers[6:]
            regression.fit()
        for job, occurrence, step, age_ms, step_mean, samples, recent in record[
            "steps"
        ]:
            history = MarginHistory(written_ms - int(age_ms), float(step_mean))
            history.samples = int(samples)
            history.recent.extend(float(value) for value in recent)
            history.ahead = forecast._predict(history)
            forecast.histories[str(job), int(occurrence), int(step)] = history
        return forecast

    def _fill_gap(self, history: MarginHistory, missing: int) -> None:
        """Take missing samples from the forecast, or forget what was before them."""
        if missing > MAX_FORECAST_GAP or not history.ahead:
            history.recent.clear()
            return
        history.recent.extendleft(history.ahead[:missing])

    def _learn(self, history: MarginHistory, now_ms: int) -> None:
        recent, mean = history.recent, history.mean
        value = recent[0] - mean
        for ahead, regression in enumerate(self.regressions, start=1):
            if ahead + LAGS[-1] >= len(recent):
                break
            regression.add(_past_values(recent, mean, ahead), value)
        if now_ms >= self.next_fit_ms:
            self.next_fit_ms = now_ms + FIT_PERIOD_MS
            for regression in self.regressions:
                regression.fit()

    def _predict(self, history: MarginHistory) -> tuple[float, ...]:
        """Return the forecast for the next samples; empty if too little is known."""
        if len(history.recent) <= LAGS[-1]:
            return ()
        past = _past_values(history.recent, history.mean, 0)
        return tuple(
            max(history.mean + sum(map(float.__mul__, regression.weights, past)), 0.0)
            for regression in self.regressions
        )


def _past_values(
    recent: deque[float], mean: float, age: int
) -> tuple[float, float, float]:
    """Return the deviations from the mean that a forecast of this age used."""
    first, second, third = LAGS
    return (
        recent[age + first] - mean,
        recent[age + second] - mean,
        recent[age + third] - mean,
    )
