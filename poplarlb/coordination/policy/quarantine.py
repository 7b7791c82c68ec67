"""Quarantine of workers whose tasks fail.

After some time one task is placed there as a probe. A task that succeeds at the worker
ends the quarantine; a failed probe prolongs it.
"""

import collections
import enum

from attrs import Factory, define

from poplarlb.coordination.requests.recent import keep_recent
from poplarlb.coordination.workers.placement_types import kind_of
from poplarlb.settings import PolicySettings
from poplarlb.state.models import TaskKey, TaskSpec

RESULTS_KEPT = 20  # of each worker
FAILED_TASKS_KEPT = 2_000  # tasks, and kinds, whose failures are remembered
MIN_FAILING_WORKERS = 2  # a task that fails at so many good workers is at fault itself
PEER_MARGIN = 0.25  # a worker this close to the median success rate isn't quarantined
MAX_BACKOFF = 8


class QuarantineState(enum.Enum):
    """Whether a worker may get tasks; on probe it runs a single one."""

    GOOD = "good"
    QUARANTINED = "quarantined"
    ON_PROBE = "probing"


@define
class WorkerRecord:
    """The latest results at one worker, and the state of its quarantine.

    A failure is kept with its task, so that it can be withdrawn if the task
    fails at other workers too.

    :ivar results: whether a task succeeded, and its key; oldest first.
    :ivar until_ms: the end of the quarantine; then a probe may be placed.
    :ivar backoff: factor of the quarantine's duration, doubled by a failed probe.
    :ivar probe: the task that was placed as the probe.
    :ivar probe_until_ms: when another probe may be placed if this one has not ended.
    """

    results: collections.deque[tuple[bool, TaskKey]] = Factory(
        lambda: collections.deque(maxlen=RESULTS_KEPT)
    )
    state: QuarantineState = QuarantineState.GOOD
    until_ms: int = 0
    backoff: int = 1
    probe: TaskKey | None = None
    probe_until_ms: int = 0

    def failures(self) -> int:
        """Return the number of tasks that failed since the last success."""
        tasks = set()
        for succeeded, key in reversed(self.results):
            if succeeded:
                break
            tasks.add(key)
        return len(tasks)

    def success_rate(self) -> float:
        """Return the share of successes, with add-one smoothing."""
        successes = sum(succeeded for succeeded, _ in self.results)
        return (successes + 1) / (len(self.results) + 2)


@define
class Quarantine:
    """Distinguishes failing workers from failing tasks and kinds of task.

    :ivar known_workers: the number of workers in the shard.
    """

    settings: PolicySettings
    workers: dict[str, WorkerRecord] = Factory(dict)
    failed_workers_by_task: collections.OrderedDict[TaskKey, set[str]] = Factory(
        collections.OrderedDict
    )
    failed_workers_by_kind: collections.OrderedDict[str, set[str]] = Factory(
        collections.OrderedDict
    )
    known_workers: int = 0

    def record_end(
        self, spec: TaskSpec, worker_id: str, succeeded: bool, now_ms: int
    ) -> None:
        """Record the end of an attempt; may begin or end a quarantine."""
        record = self.workers.setdefault(worker_id, WorkerRecord())
        if record.state is not QuarantineState.GOOD:
            self._finish_probe(record, spec.key, succeeded, now_ms)
            return
        if not succeeded and not self._is_worker_at_fault(spec, worker_id):
            return
        record.results.append((succeeded, spec.key))
        if succeeded:
            self.failed_workers_by_kind.pop(kind_of(spec), None)
        elif self._fails_too_often(record):
            self._set_quarantine(record, now_ms)

    def excluded_workers(self, now_ms: int) -> tuple[str, ...]:
        """Return the workers that must get no tasks now."""
        return tuple(
            worker_id
            for worker_id, record in self.workers.items()
            if record.state is not QuarantineState.GOOD
            and not self._may_probe(record, now_ms)
        )

    def waiting_for_probe(self, now_ms: int) -> tuple[str, ...]:
        """Return the workers whose next task would be their probe."""
        return tuple(name for name in self.workers if self.needs_probe(name, now_ms))

    def needs_probe(self, worker_id: str, now_ms: int) -> bool:
        """Return whether the next task at a worker would be its probe."""
        record = self.workers.get(worker_id)
        return (
            record is not None
            and record.state is not QuarantineState.GOOD
            and self._may_probe(record, now_ms)
        )

    def start_probe(self, worker_id: str, key: TaskKey, now_ms: int) -> None:
        """Record the task that was placed at a worker as its probe."""
        record = self.workers[worker_id]
        record.state = QuarantineState.ON_PROBE
        record.probe = key
        record.probe_until_ms = now_ms + self.settings.quarantine_ms

    def _may_probe(self, record: WorkerRecord, now_ms: int) -> bool:
        if record.state is QuarantineState.ON_PROBE:
            return now_ms >= record.probe_until_ms
        return now_ms >= record.until_ms

    def _finish_probe(
        self, record: WorkerRecord, key: TaskKey, succeeded: bool, now_ms: int
    ) -> None:
        if succeeded:
            record.results.clear()
            record.state = QuarantineState.GOOD
            record.backoff = 1
        elif record.probe == key:
            record.backoff = min(MAX_BACKOFF, record.backoff * 2)
            self._set_quarantine(record, now_ms)

    def _is_worker_at_fault(self, spec: TaskSpec, worker_id: str) -> bool:
        """Record a failure; return whether it is the worker's fault, not the task's.

        If it is the task's, the task's failures at other workers are withdrawn.
        """
        failed_workers = self.failed_workers_by_task.setdefault(spec.key, set())
        failed_workers.add(worker_id)
        keep_recent(self.failed_workers_by_task, spec.key, FAILED_TASKS_KEPT)
        kind_failed_workers = self.failed_workers_by_kind.setdefault(
            kind_of(spec), set()
        )
        kind_failed_workers.add(worker_id)
        keep_recent(self.failed_workers_by_kind, kind_of(spec), FAILED_TASKS_KEPT)
        if sum(map(self._is_good, failed_workers)) < MIN_FAILING_WORKERS:
            return len(kind_failed_workers) <= MIN_FAILING_WORKERS
        for failed_worker in failed_workers:
            self._withdraw_failure(failed_worker, spec.key)
        return False

    def _is_good(self, worker_id: str) -> bool:
        record = self.workers.get(worker_id)
        return record is None or record.state is QuarantineState.GOOD

    def _withdraw_failure(self, worker_id: str, key: TaskKey) -> None:
        record = self.workers.get(worker_id)
        if record is None:
            return
        kept = [item for item in record.results if item != (False, key)]
        record.results.clear()
        record.results.extend(kept)

    def _fails_too_often(self, record: WorkerRecord) -> bool:
        """Return whether to quarantine a worker; false if too many are already."""
        if record.failures() < self.settings.quarantine_failures:
            return False
        peers = [item.success_rate() for item in self.workers.values()]
        peer_rate = sorted(peers)[len(peers) // 2] if len(peers) > 1 else 0.5
        if len(peers) > 2 and record.success_rate() > peer_rate - PEER_MARGIN:
            return False
        quarantined = sum(
            item.state is not QuarantineState.GOOD for item in self.workers.values()
        )
        known = max(self.known_workers, len(self.workers))
        return quarantined < max(1, int(known * self.settings.quarantine_share))

    def _set_quarantine(self, record: WorkerRecord, now_ms: int) -> None:
        record.state = QuarantineState.QUARANTINED
        record.until_ms = now_ms + self.settings.quarantine_ms * record.backoff
        record.probe = None
