"""Learns sizes and run times of tasks from worker reports and ends of tasks."""

import collections
import math
import statistics
from collections.abc import Iterable

from attrs import Factory, define

from poplarlb.coordination.policy.amounts import elementwise_min
from poplarlb.coordination.requests.recent import keep_recent
from poplarlb.coordination.workers.placement_types import kind_of
from poplarlb.settings import PolicySettings
from poplarlb.state.models import Resources, TaskKey, TaskSpec, WorkerReport

PEAKS_KEPT = 64  # tasks of each kind
RUN_TIMES_KEPT = 32  # of each kind
SAMPLES_NEEDED = 5  # with fewer, the declared size or run time is used
KINDS_KEPT = 1_000


@define
class KindRecord:
    """The peak use of a kind's latest tasks, and its latest run times.

    ``learned`` caches the quantile of the peaks until a peak changes.
    """

    peaks: collections.OrderedDict[TaskKey, Resources] = Factory(
        collections.OrderedDict
    )
    run_times_ms: collections.deque[int] = Factory(
        lambda: collections.deque(maxlen=RUN_TIMES_KEPT)
    )
    learned: Resources | None = None

    def record_peak(self, key: TaskKey, used: Resources) -> None:
        """Raise a task's peak to the use reported; the oldest tasks are dropped."""
        peak = self.peaks.get(key)
        if peak is not None and used.fits_in(peak):
            return
        self.peaks[key] = used.elementwise_max(peak or Resources())
        self.learned = None
        if len(self.peaks) > PEAKS_KEPT:
            self.peaks.popitem(last=False)

    def size(self, quantile: float) -> Resources:
        """Return a quantile of the peaks, for each resource."""
        if self.learned is None:
            peaks = self.peaks.values()
            self.learned = Resources(
                quantile_of((peak.cpu_millis for peak in peaks), quantile),
                quantile_of((peak.memory_mb for peak in peaks), quantile),
                quantile_of((peak.accelerators for peak in peaks), quantile),
            )
        return self.learned


def quantile_of(values: Iterable[int], quantile: float) -> int:
    """Return the smallest value that is at or above the share ``quantile`` of all."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(quantile * len(ordered)) - 1)]


@define
class SizeLearner:
    """Learns sizes and run times by team and kind of work.

    ``capacities`` holds the distinct capacities of the shard's workers.
    """

    settings: PolicySettings
    kinds: collections.OrderedDict[str, KindRecord] = Factory(collections.OrderedDict)
    capacities: set[Resources] = Factory(set)

    def record_capacity(self, capacity: Resources) -> None:
        """Record a worker's capacity, which bounds every reservation."""
        self.capacities.add(capacity)

    def record_report(
        self, report: WorkerReport, specs: dict[TaskKey, TaskSpec]
    ) -> None:
        """Learn from the resources that a worker's running tasks used."""
        for task in report.tasks:
            spec = specs.get(task.key)
            if spec is None or task.used == Resources():
                continue
            record = self._kind_record(kind_of(spec))
            record.record_peak(task.key, task.used)

    def record_run_time(self, spec: TaskSpec, run_time_ms: int) -> None:
        """Learn from the run time of a task that succeeded."""
        self._kind_record(kind_of(spec)).run_times_ms.append(run_time_ms)

    def _kind_record(self, kind: str) -> KindRecord:
        record = self.kinds.setdefault(kind, KindRecord())
        keep_recent(self.kinds, kind, KINDS_KEPT)
        return record

    def reserve_for(self, spec: TaskSpec) -> Resources:
        """Return the larger of the declared and the learned size.

        The result fits in some worker if the declared size does.
        """
        record = self.kinds.get(kind_of(spec))
        if record is None or len(record.peaks) < SAMPLES_NEEDED:
            return spec.size
        wanted = spec.size.elementwise_max(record.size(self.settings.learned_quantile))
        fitting = [item for item in self.capacities if spec.size.fits_in(item)]
        if not fitting:
            return spec.size
        if any(wanted.fits_in(item) for item in fitting):
            return wanted
        return elementwise_min(wanted, max(fitting, key=lambda item: item.cpu_millis))

    def run_time_ms(self, spec: TaskSpec) -> int:
        """Return the median of recent run times, or the declared one without them."""
        record = self.kinds.get(kind_of(spec))
        if record is None or len(record.run_times_ms) < SAMPLES_NEEDED:
            return spec.run_time_ms
        return int(statistics.median(record.run_times_ms))
