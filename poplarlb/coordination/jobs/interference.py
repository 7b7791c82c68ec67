"""Learns how much best-effort tasks lengthen the tail latency of serving tasks.

Best-effort tasks are those of steps with ``fills``; serving tasks have a ``target_ms``.
A serving task's margin is its target divided by its tail latency: it meets its target
while the margin is 1 or more. In a queue, tail latency is inversely proportional to
the idle part of its server, so load and interference each reduce the margin by an
amount of their own. A serving task's own margin, that without interference, changes
with its load within seconds and is the same for all tasks of its step. Tasks of one
image behave alike, so a slope is learned for each pair of a serving and a best-effort
image. All estimates have a variance, so that a new pair is learned from its first
measurements, and a known one isn't changed by noise.
"""

import math
from collections.abc import Mapping
from itertools import islice

import orjson
from attrs import Factory, define

from poplarlb.coordination.jobs.margin_forecast import MarginForecast
from poplarlb.exceptions import BadAnswerError
from poplarlb.state.job_records import UNREADABLE_ERRORS

MAX_MARGIN = 5.0  # tail latencies far below their target all count alike
MIN_LEARNED_MARGIN = 0.25  # below it a queue has built up; the tail shows only that
# A slope is what a best-effort image takes off the margin if it uses a whole worker.
# That of a pair not measured yet is the mean of the known ones and of this value.
PRIOR_SLOPE = 2.7
PRIOR_SLOPE_VARIANCE = 2.7**2
PRIOR_PAIRS = 2.0  # weight of PRIOR_SLOPE, in known pairs
KNOWN_VARIANCE = 0.5  # a slope with less is known
MAX_SLOPE = 15.0
SLOPE_DRIFT = 0.05  # growth of a slope's variance in a second
OWN_DRIFT = 0.12  # growth of the variance of a step's own margin in a second
NOISE = 0.06  # relative standard deviation of a measured tail latency
# A measurement further off than this many standard deviations counts as if it were
# noisier: one task's load may jump alone.
OUTLIER_DEVIATIONS = 3.0
MAX_RECORDED_STEPS = 300  # in the record for the next owner, 30 KB
MEAN_RATE = 0.05  # of a new own margin in the mean of all steps
StepKey = tuple[str, int, int]  # job, occurrence, step
Mix = Mapping[str, float]  # share of a worker's processors, by best-effort image


def margin_of(measured_ms: float, target_ms: float) -> float:
    """Return the margin of a serving task by its tail latency."""
    return min(target_ms / max(measured_ms, target_ms / MAX_MARGIN), MAX_MARGIN)


@define(eq=False, slots=True)
class Estimate:
    """An estimated value, its variance, and when it was last updated."""

    value: float
    variance: float
    at_ms: int

    def age(self, drift: float, max_variance: float, now_ms: int) -> None:
        """Let the variance grow for the time since the last update."""
        elapsed_s = max(now_ms - self.at_ms, 0) / 1000
        self.variance = min(self.variance + drift * elapsed_s, max_variance)
        self.at_ms = now_ms

    def correct(
        self, error: float, weight: float, variance: float, max_value: float
    ) -> None:
        """Correct the value by its part of a measurement's error.

        :param error: how far the measurement is above what was expected of it.
        :param weight: how much the measurement grows with the value.
        :param variance: of the error.
        """
        gain = self.variance * weight / variance
        self.value = min(max(self.value + gain * error, 0.0), max_value)
        self.variance *= 1.0 - gain * weight


@define(eq=False)
class InterferenceModel:
    """The learned slopes of pairs of images, and the own margins of serving steps.

    :ivar slopes: by serving image, then by best-effort image.
    :ivar mean_margin: of all steps, for one that wasn't measured yet; 0: unknown.
    """

    slopes: dict[str, dict[str, Estimate]] = Factory(dict)
    margins: dict[StepKey, Estimate] = Factory(dict)
    forecast: MarginForecast = Factory(MarginForecast)
    mean_margin: float = 0.0
    prior_slope: float = PRIOR_SLOPE

    def slope(self, serving: str, best_effort: str) -> float:
        """Return what a best-effort image that uses a whole worker takes off."""
        known = self.slopes.get(serving)
        estimate = known.get(best_effort) if known else None
        return estimate.value if estimate is not None else self.prior_slope

    def slope_variance(self, serving: str, best_effort: str) -> float:
        """Return the variance of the slope of a pair."""
        known = self.slopes.get(serving)
        estimate = known.get(best_effort) if known else None
        return estimate.variance if estimate is not None else PRIOR_SLOPE_VARIANCE

    def interference_variance(self, serving: str, mix: Mix) -> float:
        """Return the variance of what a best-effort mix takes off."""
        return sum(
            self.slope_variance(serving, image) * share * share
            for image, share in mix.items()
        )

    def interference(self, serving: str, mix: Mix) -> float:
        """Return what a best-effort mix takes off a serving image's margin."""
        return sum(self.slope(serving, image) * share for image, share in mix.items())

    def own_margin(self, step: StepKey) -> float:
        """Return a serving step's margin without interference."""
        estimate = self.margins.get(step)
        if estimate is not None:
            return estimate.value
        return self.mean_margin or MAX_MARGIN / 2

    def lowest_margin(self, step: StepKey, ahead_ms: int, now_ms: int) -> float:
        """Return the lowest own margin of a serving step until ``ahead_ms`` later."""
        return self.forecast.lowest(step, self.own_margin(step), ahead_ms, now_ms)

    def learn(
        self, step: StepKey, serving: str, margin: float, mix: Mix, now_ms: int
    ) -> None:
        """Update a step's own margin and the slopes by a measured margin.

        The slopes change only if best-effort tasks ran and the margin is at least
        ``MIN_LEARNED_MARGIN``.

        :param mix: what best-effort tasks used at its worker during the measurement.
        """
        pairs = self._pairs(serving, mix, now_ms)
        noise = (NOISE * max(margin, MIN_LEARNED_MARGIN)) ** 2
        interference = sum(pair.value * share for pair, share in pairs)
        variance = noise + sum(pair.variance * share * share for pair, share in pairs)
        own = self.margins.get(step)
        if own is None:
            own = Estimate(min(margin + interference, MAX_MARGIN), variance, now_ms)
            self.margins[step] = own
        else:
            own.age(OWN_DRIFT, MAX_MARGIN, now_ms)
            error = margin - (own.value - interference)
            variance += own.variance
            # An outlier counts as a noisier measurement.
            variance = max(variance, (error / OUTLIER_DEVIATIONS) ** 2)
            if margin >= MIN_LEARNED_MARGIN:
                for pair, share in pairs:
                    pair.correct(-error, share, variance, MAX_SLOPE)
            own.correct(error, 1.0, variance, MAX_MARGIN)
        rate = MEAN_RATE if self.mean_margin else 1.0
        self.mean_margin += rate * (own.value - self.mean_margin)
        self.forecast.add(step, own.value, now_ms)

    def _pairs(
        self, serving: str, mix: Mix, now_ms: int
    ) -> list[tuple[Estimate, float]]:
        """Return the slopes of a mix with its shares; new ones are created."""
        known = self.slopes.setdefault(serving, {})
        pairs = []
        for image, share in mix.items():
            if image not in known:
                known[image] = Estimate(self.prior_slope, PRIOR_SLOPE_VARIANCE, now_ms)
            known[image].age(SLOPE_DRIFT, PRIOR_SLOPE_VARIANCE, now_ms)
            pairs.append((known[image], share))
        return pairs

    def update_prior(self) -> None:
        """Set the slope of unknown pairs by the mean of the known ones."""
        known = [
            pair.value
            for pairs in self.slopes.values()
            for pair in pairs.values()
            if pair.variance < KNOWN_VARIANCE
        ]
        total = sum(known) + PRIOR_PAIRS * PRIOR_SLOPE
        self.prior_slope = total / (len(known) + PRIOR_PAIRS)

    def encode(self, now_ms: int, utc_ms: int) -> bytes:
        """Return the record of what was learned for the next owner."""
        slopes = {
            serving: {
                image: [round(pair.value, 2), round(pair.variance, 3)]
                for image, pair in known.items()
            }
            for serving, known in self.slopes.items()
        }
        margins = [
            [*step, round(own.value, 2), round(own.variance, 3), now_ms - own.at_ms]
            for step, own in islice(self.margins.items(), MAX_RECORDED_STEPS)
        ]
        return orjson.dumps(
            {
                "utc_ms": utc_ms,
                "slopes": slopes,
                "margins": margins,
                "forecast": self.forecast.encode([row[:3] for row in margins], now_ms),
            }
        )

    def restore(self, value: bytes, now_ms: int, utc_ms: int) -> None:
        """Set what an earlier owner has learned.

        A malformed record changes nothing.

        :raises BadAnswerError: the record is malformed.
        """
        try:
            record = orjson.loads(value)
            slopes = {
                str(serving): {
                    str(image): _decode_pair(pair, now_ms)
                    for image, pair in known.items()
                }
                for serving, known in record["slopes"].items()
            }
            written_ms = now_ms - max(utc_ms - int(record["utc_ms"]), 0)
            margins = {
                (str(job), int(occurrence), int(step)): _decode_margin(
                    margin, variance, written_ms - int(age_ms)
                )
                for job, occurrence, step, margin, variance, age_ms in record["margins"]
            }
            forecast = MarginForecast.decode(record["forecast"], written_ms)
        except UNREADABLE_ERRORS as error:
            raise BadAnswerError(
                f"malformed record of learned interference: {error}"
            ) from error
        self.slopes, self.margins, self.forecast = slopes, margins, forecast
        if margins:
            total = sum(own.value for own in margins.values())
            self.mean_margin = total / len(margins)
        self.update_prior()

    def forget(self, job_id: str) -> None:
        """Forget the margins of a job that is final."""
        for step in [step for step in self.margins if step[0] == job_id]:
            del self.margins[step]
            self.forecast.forget(step)


def _decode_margin(value: float, variance: float, at_ms: int) -> Estimate:
    return Estimate(
        min(max(float(value), 0.0), MAX_MARGIN),
        min(max(float(variance), 0.0), MAX_MARGIN),
        at_ms,
    )


def _decode_pair(row: list, now_ms: int) -> Estimate:
    value, variance = (float(item) for item in row)
    if not (math.isfinite(value) and math.isfinite(variance)):
        raise ValueError("a slope is not a number")
    return Estimate(
        min(max(value, 0.0), MAX_SLOPE),
        min(max(variance, 0.0), PRIOR_SLOPE_VARIANCE),
        now_ms,
    )
