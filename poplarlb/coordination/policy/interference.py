"""Learns from noisy latencies how much batch work slows services down.

The latency of a service at a worker is modelled as

    baseline x (1 + sum over kinds of interference[kind] x cpu share of the kind)

The baseline is the latency without batch work. A kind groups batch tasks that behave
alike; its cpu share is the fraction of the worker's processors that it may use.
A Kalman filter with a diagonal covariance estimates the logarithm of the baseline of
each service and the interference of each pair of a service and a kind. Residuals
(measured minus expected values) are clipped, and variances grow with time, so that
old estimates lose weight.
"""

import bisect
import collections
import math
import statistics
from collections.abc import Sequence

from attrs import Factory, define, frozen

from poplarlb.coordination.requests.recent import keep_recent
from poplarlb.coordination.workers.placement_types import (
    PlacedTask,
    WorkerLoad,
    cpu_share,
    kind_of,
    service_of,
)
from poplarlb.settings import PolicySettings
from poplarlb.state.models import TaskSpec, WorkerReport

WINDOW_MS = 1_000  # the median latency of each window is one measurement
WINDOW_SAMPLES_NEEDED = 5  # until then a window may last 10 times as long
WINDOW_SAMPLES_KEPT = 128
REPORT_REQUESTS_NEEDED = 10  # a report on fewer requests is ignored
SAMPLE_NOISE = 0.5  # relative standard deviation of one request's latency
NOISE_FLOOR = 0.03  # relative standard deviation of the median of many requests
PRIOR_DEVIATION = 1.0  # standard deviation of an interference never measured
BASELINE_DRIFT_PER_S = 0.02  # standard deviation of a log baseline's change in 1 s
CLIP_DEVIATIONS = 2.5  # residuals are clipped at this many standard deviations
HISTORY_KEPT = 64  # mixtures of one worker
PAIRS_KEPT = 5_000  # estimates of one kind's interference with one service


@frozen
class Mixture:
    """The batch work that ran at a worker from ``since_ms`` on.

    ``shares`` holds the cpu share of each kind.
    """

    since_ms: int
    shares: tuple[tuple[str, float], ...] = ()


@define
class Estimate:
    """A mean with its variance, and the time of the last update."""

    mean: float
    variance: float
    at_ms: int

    def confidence(self) -> float:
        """Return an interference's confidence: 0 for the prior, 1 for no variance."""
        return max(0.0, 1 - self.variance / PRIOR_DEVIATION**2)


@define
class MixtureHistory:
    """The latest mixtures of batch work at one worker.

    A measurement that arrives later is attributed to the mixture that ran when it
    was taken.
    """

    mixtures: collections.deque[Mixture] = Factory(
        lambda: collections.deque(maxlen=HISTORY_KEPT)
    )

    def record(self, shares: tuple[tuple[str, float], ...], now_ms: int) -> None:
        """Record a mixture if it differs from the last."""
        if not self.mixtures or self.mixtures[-1].shares != shares:
            self.mixtures.append(Mixture(now_ms, shares))

    def at(self, time_ms: int) -> Mixture | None:
        """Return the mixture at a time; ``None`` before the first."""
        starts = [mixture.since_ms for mixture in self.mixtures]
        position = bisect.bisect_right(starts, time_ms)
        return self.mixtures[position - 1] if position else None


@define
class LatencyWindow:
    """Latencies in ms of requests to one service at one worker since ``since_ms``."""

    since_ms: int
    samples: list[float] = Factory(list)


def mixture_of(load: WorkerLoad) -> tuple[tuple[str, float], ...]:
    """Return the cpu share of each kind of batch work that runs at a worker."""
    shares: dict[str, float] = {}
    for task in load.tasks:
        if task.running and not task.spec.service:
            kind = kind_of(task.spec)
            shares[kind] = shares.get(kind, 0.0) + cpu_share(task, load.worker)
    return tuple(sorted(shares.items()))


@define
class InterferenceTable:
    """Estimates of the interference of kinds of batch work with services.

    Services are named ``team/service``.

    :ivar pairs: interference by service and kind.
    :ivar log_baselines: logarithm of the baseline in ms, by service.
    :ivar histories: what ran, by worker.
    :ivar windows: latencies not yet learned from, by service and worker.
    """

    settings: PolicySettings
    pairs: collections.OrderedDict[tuple[str, str], Estimate] = Factory(
        collections.OrderedDict
    )
    log_baselines: dict[str, Estimate] = Factory(dict)
    histories: dict[str, MixtureHistory] = Factory(dict)
    windows: dict[tuple[str, str], LatencyWindow] = Factory(dict)

    def added_slowdown(self, service: str, spec: TaskSpec, share: float) -> float:
        """Return the slowdown that a task adds, as a fraction of the baseline.

        :param share: the task's share of the worker's processors.
        """
        return share * self.interference(service, kind_of(spec))

    def interference(self, service: str, kind: str) -> float:
        """Return the slowdown that a kind adds if it uses a whole worker.

        The slowdown is a fraction of the service's baseline, at least 0.
        """
        pair = self.pairs.get((service, kind))
        if pair is None:
            return self.settings.harm_prior
        return max(0.0, pair.mean)

    def typical_interference(self) -> float:
        """Return the mean interference of all pairs; 0 if none was measured."""
        if not self.pairs:
            return 0.0
        return statistics.fmean(pair.mean for pair in self.pairs.values())

    def confidence(self, service: str, kind: str) -> float:
        """Return the confidence in a pair's interference, from 0 to 1."""
        pair = self.pairs.get((service, kind))
        return pair.confidence() if pair else 0.0

    def slowdown(self, service: str, load: WorkerLoad) -> float:
        """Return a service's expected latency over its baseline, at least 1."""
        return 1.0 + sum(
            self.added_slowdown(service, task.spec, cpu_share(task, load.worker))
            for task in load.tasks
            if task.running and not task.spec.service
        )

    def record_running(self, load: WorkerLoad, now_ms: int) -> None:
        """Record the mixture that runs at a worker now."""
        history = self.histories.setdefault(load.worker.worker_id, MixtureHistory())
        history.record(mixture_of(load), now_ms)

    def learn_from_report(
        self, report: WorkerReport, tasks: Sequence[PlacedTask]
    ) -> None:
        """Learn from the latencies in a worker's report.

        They are attributed to the batch work that ran when they were measured.
        """
        names = {
            task.spec.service: service_of(task.spec)
            for task in tasks
            if task.spec.service
        }
        for latency in report.service_latency_ms:
            service = names.get(latency.service)
            if service is None or latency.requests < REPORT_REQUESTS_NEEDED:
                continue
            self._learn(
                service,
                report.worker_id,
                latency.p50_ms,
                latency.requests,
                report.measured_ms,
            )

    def record_latency(
        self, service: str, worker_id: str, latency_ms: float, now_ms: int
    ) -> None:
        """Record a request's latency; learn first from a window that has ended."""
        window = self.windows.get((service, worker_id))
        if window is None:
            window = LatencyWindow(now_ms)
            self.windows[service, worker_id] = window
        if now_ms - window.since_ms >= WINDOW_MS:
            self._end_window(service, worker_id, window, now_ms)
        if len(window.samples) < WINDOW_SAMPLES_KEPT:
            window.samples.append(latency_ms)

    def _end_window(
        self, service: str, worker_id: str, window: LatencyWindow, now_ms: int
    ) -> None:
        """Learn from a window and begin the next; wait if it has too few samples."""
        if len(window.samples) < WINDOW_SAMPLES_NEEDED:
            if now_ms - window.since_ms < 10 * WINDOW_MS:
                return
        else:
            median = statistics.median(window.samples)
            count = len(window.samples)
            self._learn(service, worker_id, median, count, window.since_ms)
        window.since_ms = now_ms
        window.samples.clear()

    def _learn(
        self, service: str, worker_id: str, latency_ms: float, count: int, at_ms: int
    ) -> None:
        """Update a service's baseline and its interference from a measured latency.

        :param count: the number of requests of which ``latency_ms`` is the median.
        :param at_ms: when they ran.
        """
        history = self.histories.get(worker_id)
        mixture = history.at(at_ms) if history else None
        if mixture is None or latency_ms <= 0:
            return
        baseline = self.log_baselines.get(service)
        if baseline is None:
            self.log_baselines[service] = Estimate(math.log(latency_ms), 0.25, at_ms)
            return
        noise = NOISE_FLOOR**2 + SAMPLE_NOISE**2 / count
        pairs = [(self._pair(service, kind, at_ms), x) for kind, x in mixture.shares]
        expected = max(1.0, 1.0 + sum(pair.mean * x for pair, x in pairs))
        self._update_baseline(baseline, latency_ms / expected, noise, at_ms)
        if pairs:
            ratio = latency_ms / math.exp(baseline.mean)
            self._update_pairs(pairs, ratio, noise)

    def _pair(self, service: str, kind: str, at_ms: int) -> Estimate:
        """Return a pair's estimate, with its variance grown towards the prior's."""
        pair = self.pairs.get((service, kind))
        if pair is None:
            pair = Estimate(self.settings.harm_prior, PRIOR_DEVIATION**2, at_ms)
            self.pairs[service, kind] = pair
        keep_recent(self.pairs, (service, kind), PAIRS_KEPT)
        passed_ms = max(0, at_ms - pair.at_ms)
        fade = 0.5 ** (passed_ms / self.settings.harm_half_life_ms)
        prior = PRIOR_DEVIATION**2
        pair.variance = prior - (prior - pair.variance) * fade
        pair.at_ms = max(pair.at_ms, at_ms)
        return pair

    def _update_baseline(
        self, baseline: Estimate, own_latency_ms: float, noise: float, at_ms: int
    ) -> None:
        passed_s = max(0, at_ms - baseline.at_ms) / 1000
        baseline.variance += BASELINE_DRIFT_PER_S**2 * passed_s
        baseline.at_ms = max(baseline.at_ms, at_ms)
        total = baseline.variance + noise
        gain = baseline.variance / total
        residual = math.log(own_latency_ms) - baseline.mean
        baseline.mean += gain * _clip(residual, total)
        baseline.variance *= 1 - gain

    def _update_pairs(
        self, pairs: list[tuple[Estimate, float]], ratio: float, noise: float
    ) -> None:
        expected = 1.0 + sum(pair.mean * share for pair, share in pairs)
        noise *= max(1.0, expected) ** 2
        total = noise + sum(pair.variance * share**2 for pair, share in pairs)
        residual = _clip(ratio - expected, total)
        for pair, share in pairs:
            gain = pair.variance * share / total
            pair.mean = max(0.0, pair.mean + gain * residual)
            pair.variance *= 1 - gain * share


def _clip(residual: float, variance: float) -> float:
    limit = CLIP_DEVIATIONS * math.sqrt(variance)
    return max(-limit, min(limit, residual))
