"""Sizes and run times of tasks, learned from lagging reports."""

import collections
import math
import statistics
from collections.abc import Iterable

from attrs import Factory, define

from poplarlb.coordination.policy.amounts import smaller
from poplarlb.coordination.requests.recent import keep_recent
from poplarlb.coordination.workers.rooms import kind_of
from poplarlb.settings import PolicySettings
from poplarlb.state.models import Resources, TaskKey, TaskSpec, WorkerReport

PEAKS_KEPT = 64
RUN_TIMES_KEPT = 32
SAMPLES_NEEDED = 5
KINDS_KEPT = 1_000


@define
class KindRecord:
    """The peaks of a kind's latest tasks, and its latest run times."""

    peaks: collections.OrderedDict[TaskKey, Resources] = Factory(
        collections.OrderedDict
    )
    run_times_ms: collections.deque[int] = Factory(
        lambda: collections.deque(maxlen=RUN_TIMES_KEPT)
    )
    learned: Resources | None = None

    def note_peak(self, key: TaskKey, used: Resources) -> None:
        """Raise a task's peak; the oldest tasks are dropped."""
        peak = self.peaks.get(key)
        if peak is not None and used.fits_in(peak):
            return
        self.peaks[key] = used.larger(peak or Resources())
        self.learned = None
        if len(self.peaks) > PEAKS_KEPT:
            self.peaks.popitem(last=False)

    def size(self, quantile: float) -> Resources:
        """Return a high quantile of the peaks, part by part."""
        if self.learned is None:
            peaks = self.peaks.values()
            self.learned = Resources(
                high_quantile((peak.cpu_millis for peak in peaks), quantile),
                high_quantile((peak.memory_mb for peak in peaks), quantile),
                high_quantile((peak.accelerators for peak in peaks), quantile),
            )
        return self.learned


def high_quantile(values: Iterable[int], quantile: float) -> int:
    """Return the value at or above the given share of the values."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(quantile * len(ordered)) - 1)]


@define
class SizeLearner:
    """Learns sizes and run times by team and kind of work."""

    settings: PolicySettings
    kinds: collections.OrderedDict[str, KindRecord] = Factory(collections.OrderedDict)
    capacities: set[Resources] = Factory(set)

    def note_capacity(self, capacity: Resources) -> None:
        """Remember a worker's capacity, which bounds every reservation."""
        self.capacities.add(capacity)

    def note_report(self, report: WorkerReport, specs: dict[TaskKey, TaskSpec]) -> None:
        """Learn from what a worker's running tasks used."""
        for task in report.tasks:
            spec = specs.get(task.key)
            if spec is None or task.used == Resources():
                continue
            record = self._record(kind_of(spec))
            record.note_peak(task.key, task.used)

    def note_run_time(self, spec: TaskSpec, run_time_ms: int) -> None:
        """Learn from the run time of a task that succeeded."""
        self._record(kind_of(spec)).run_times_ms.append(run_time_ms)

    def _record(self, kind: str) -> KindRecord:
        record = self.kinds.setdefault(kind, KindRecord())
        keep_recent(self.kinds, kind, KINDS_KEPT)
        return record

    def reserve_for(self, spec: TaskSpec) -> Resources:
        """Return the larger of the declared and the learned size.

        The result fits in some worker that the declared size fits in.
        """
        record = self.kinds.get(kind_of(spec))
        if record is None or len(record.peaks) < SAMPLES_NEEDED:
            return spec.size
        wanted = spec.size.larger(record.size(self.settings.learned_quantile))
        roomy = [item for item in self.capacities if spec.size.fits_in(item)]
        if not roomy:
            return spec.size
        if any(wanted.fits_in(item) for item in roomy):
            return wanted
        return smaller(wanted, max(roomy, key=lambda item: item.cpu_millis))

    def run_time_ms(self, spec: TaskSpec) -> int:
        """Return the expected run time: the median of late, or the declared."""
        record = self.kinds.get(kind_of(spec))
        if record is None or len(record.run_times_ms) < SAMPLES_NEEDED:
            return spec.run_time_ms
        return int(statistics.median(record.run_times_ms))
