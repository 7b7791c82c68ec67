"""Workers that fail what they start: quarantine, one probe task, and back."""

import collections
import enum

from attrs import Factory, define

from poplarlb.coordination.requests.recent import keep_recent
from poplarlb.coordination.workers.rooms import kind_of
from poplarlb.settings import PolicySettings
from poplarlb.state.models import TaskKey, TaskSpec

RESULTS_KEPT = 20
BLAMED_JOBS_KEPT = 2_000
WORKERS_TO_CLEAR = 2
PEER_MARGIN = 0.25
BACKOFF_LIMIT = 8


class Standing(enum.Enum):
    """Whether a worker may get tasks."""

    GOOD = "good"
    QUARANTINED = "quarantined"
    PROBING = "probing"


@define
class WorkerRecord:
    """The latest results at one worker; ``True`` is a success.

    A failure is kept with its job, so that it can be taken back if the job
    turns out to fail at other workers too.
    """

    results: collections.deque[tuple[bool, TaskKey]] = Factory(
        lambda: collections.deque(maxlen=RESULTS_KEPT)
    )
    standing: Standing = Standing.GOOD
    until_ms: int = 0
    backoff: int = 1
    probe: TaskKey | None = None
    probe_until_ms: int = 0

    def failures(self) -> int:
        """Return the failures of distinct jobs since the last success."""
        jobs = set()
        for succeeded, key in reversed(self.results):
            if succeeded:
                break
            jobs.add(key)
        return len(jobs)

    def success_rate(self) -> float:
        """Return the share of successes, by add-one smoothing."""
        successes = sum(succeeded for succeeded, _ in self.results)
        return (successes + 1) / (len(self.results) + 2)


@define
class Quarantine:
    """Tells failing workers from failing jobs."""

    settings: PolicySettings
    workers: dict[str, WorkerRecord] = Factory(dict)
    failed_at: collections.OrderedDict[TaskKey, set[str]] = Factory(
        collections.OrderedDict
    )
    kind_failed_at: collections.OrderedDict[str, set[str]] = Factory(
        collections.OrderedDict
    )
    known_workers: int = 0

    def note_end(
        self, spec: TaskSpec, worker_id: str, succeeded: bool, now_ms: int
    ) -> None:
        """Take the end of an attempt into account."""
        record = self.workers.setdefault(worker_id, WorkerRecord())
        if record.standing is not Standing.GOOD:
            self._settle_probe(record, spec.key, succeeded, now_ms)
            return
        if not succeeded and not self._blames_worker(spec, worker_id):
            return
        record.results.append((succeeded, spec.key))
        if succeeded:
            self.kind_failed_at.pop(kind_of(spec), None)
        elif self._fails_too_often(record):
            self._bar(record, now_ms)

    def barred(self, now_ms: int) -> tuple[str, ...]:
        """Return the workers that get no task now."""
        return tuple(
            worker_id
            for worker_id, record in self.workers.items()
            if record.standing is not Standing.GOOD
            and not self._may_probe(record, now_ms)
        )

    def waiting_for_probe(self, now_ms: int) -> tuple[str, ...]:
        """Return the workers whose next task would be their probe."""
        return tuple(name for name in self.workers if self.needs_probe(name, now_ms))

    def needs_probe(self, worker_id: str, now_ms: int) -> bool:
        """Tell whether the next task at a worker would be its probe."""
        record = self.workers.get(worker_id)
        return (
            record is not None
            and record.standing is not Standing.GOOD
            and self._may_probe(record, now_ms)
        )

    def start_probe(self, worker_id: str, key: TaskKey, now_ms: int) -> None:
        """Note that a task was sent to a worker in probation."""
        record = self.workers[worker_id]
        record.standing = Standing.PROBING
        record.probe = key
        record.probe_until_ms = now_ms + self.settings.quarantine_ms

    def _may_probe(self, record: WorkerRecord, now_ms: int) -> bool:
        if record.standing is Standing.PROBING:
            return now_ms >= record.probe_until_ms
        return now_ms >= record.until_ms

    def _settle_probe(
        self, record: WorkerRecord, key: TaskKey, succeeded: bool, now_ms: int
    ) -> None:
        if succeeded:
            record.results.clear()
            record.standing = Standing.GOOD
            record.backoff = 1
        elif record.probe == key:
            record.backoff = min(BACKOFF_LIMIT, record.backoff * 2)
            self._bar(record, now_ms)

    def _blames_worker(self, spec: TaskSpec, worker_id: str) -> bool:
        """Tell whether a failure speaks against the worker rather than the job."""
        places = self.failed_at.setdefault(spec.key, set())
        places.add(worker_id)
        keep_recent(self.failed_at, spec.key, BLAMED_JOBS_KEPT)
        kind_places = self.kind_failed_at.setdefault(kind_of(spec), set())
        kind_places.add(worker_id)
        keep_recent(self.kind_failed_at, kind_of(spec), BLAMED_JOBS_KEPT)
        if sum(map(self._is_good, places)) < WORKERS_TO_CLEAR:
            return len(kind_places) <= WORKERS_TO_CLEAR
        for place in places:
            self._take_back(place, spec.key)
        return False

    def _is_good(self, worker_id: str) -> bool:
        record = self.workers.get(worker_id)
        return record is None or record.standing is Standing.GOOD

    def _take_back(self, worker_id: str, key: TaskKey) -> None:
        record = self.workers.get(worker_id)
        if record is None:
            return
        kept = [item for item in record.results if item != (False, key)]
        record.results.clear()
        record.results.extend(kept)

    def _fails_too_often(self, record: WorkerRecord) -> bool:
        if record.failures() < self.settings.quarantine_failures:
            return False
        peers = [item.success_rate() for item in self.workers.values()]
        peer_rate = sorted(peers)[len(peers) // 2] if len(peers) > 1 else 0.5
        if len(peers) > 2 and record.success_rate() > peer_rate - PEER_MARGIN:
            return False
        barred = sum(
            item.standing is not Standing.GOOD for item in self.workers.values()
        )
        known = max(self.known_workers, len(self.workers))
        return barred < max(1, int(known * self.settings.quarantine_share))

    def _bar(self, record: WorkerRecord, now_ms: int) -> None:
        record.standing = Standing.QUARANTINED
        record.until_ms = now_ms + self.settings.quarantine_ms * record.backoff
        record.probe = None
