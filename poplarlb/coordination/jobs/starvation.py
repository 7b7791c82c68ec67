"""Finds starved jobs: nothing of them runs, though a task's turn has come.

The order of jobs puts late and large ones behind all others, and best-effort tasks
aren't placed where they may interfere with serving tasks. Neither bounds how long a job
waits. While most of a service's room is not reserved, each starved job therefore gets
one run at a time, at whichever worker can take it; a run that may interfere is
throttled from its start.
"""

from collections import defaultdict
from itertools import chain

from attrs import Factory, define

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.state.jobs import Job, Task, TaskStatus
from poplarlb.state.models import Resources

CHECK_PERIOD_MS = 500
# Half of the wait allowed while most of the room is free, so that the next run begins
# in time.
MAX_STARVED_MS = 1_500
FREE_SERVICE_SHARE = 0.6  # a service with less of its room reserved is mostly free
MAX_RANKED_WORKERS = 8_000  # in a round; bounds how long the owner is busy with it
LOG_PERIOD_MS = 2_000
LOGGED_JOBS = 2  # in each period, those that have been idle longest
LOGGED_FROM_MS = 3_000  # without a run


@define(eq=False)
class StarvedJobs:
    """Knows since when nothing runs of each job that waits.

    :ivar since_ms: by job, when that was first seen. Runs that were placed as a last
        resort don't count, so that the next one follows at once.
    :ivar idle_since_ms: the same, with those runs.
    :ivar tried_ms: when an idle job was last due for a run.
    :ivar free_services: the services of which most room is not reserved.
    """

    state: DispatcherState
    since_ms: dict[Job, int] = Factory(dict)
    idle_since_ms: dict[Job, int] = Factory(dict)
    tried_ms: dict[Job, int] = Factory(dict)
    free_services: set[str] = Factory(set)
    next_check_ms: int = 0
    next_log_ms: int = 0

    def update(self) -> None:
        """Look once per period for jobs of which nothing runs."""
        now_ms = self.state.now_ms
        if now_ms < self.next_check_ms:
            return
        self.next_check_ms = now_ms + CHECK_PERIOD_MS
        self.since_ms = {
            job: self.since_ms.get(job, now_ms)
            for job in chain(self.state.unplaced, self.since_ms)
            if is_starved(job)
        }
        if self.since_ms:
            self.free_services = self._find_free_services()

    def list_due(self, worker_count: int) -> list[Job]:
        """Return the jobs that must get a run now, those idle longest first.

        On a large fleet not all may be due at once; the others come first next time.

        :param worker_count: how many workers are ranked for each job.
        """
        state = self.state
        self.idle_since_ms = {
            job: self.idle_since_ms.get(job, state.now_ms)
            for job in self.since_ms
            if is_idle(job)
        }
        due = [
            job
            for job in self.idle_since_ms
            if state.now_ms - self.since_ms[job] >= MAX_STARVED_MS
            and state.queue_of(job).service in self.free_services
        ]
        limit = max(MAX_RANKED_WORKERS // max(worker_count, 1), 1)
        if len(due) > limit:
            due = sorted(due, key=self._waited_since)[:limit]
        self.tried_ms = {
            job: at_ms
            for job, at_ms in self.tried_ms.items()
            if job in self.idle_since_ms
        } | dict.fromkeys(due, state.now_ms)
        return sorted(due, key=self.idle_since_ms.get)

    def _waited_since(self, job: Job) -> tuple[int, bool]:
        """Return since when a job has waited for its turn, and whether it had one."""
        since_ms = self.tried_ms.get(job, self.idle_since_ms[job])
        return since_ms, job in self.tried_ms

    def due_for_log(self) -> list[Job]:
        """Return once per period the jobs that have been idle longest."""
        now_ms = self.state.now_ms
        if now_ms < self.next_log_ms:
            return []
        self.next_log_ms = now_ms + LOG_PERIOD_MS
        long_idle = [
            job
            for job, since_ms in self.idle_since_ms.items()
            if now_ms - since_ms >= LOGGED_FROM_MS and is_idle(job)
        ]
        return sorted(long_idle, key=self.idle_since_ms.get)[:LOGGED_JOBS]

    def _find_free_services(self) -> set[str]:
        """Return the services of which most room is not reserved."""
        reserved: dict[str, Resources] = defaultdict(Resources)
        capacity: dict[str, Resources] = defaultdict(Resources)
        for worker in self.state.workers.values():
            if worker.is_reachable:
                service = worker.listing.service
                reserved[service] = reserved[service].plus(worker.reserved)
                capacity[service] = capacity[service].plus(worker.listing.capacity)
        return {
            service
            for service, total in capacity.items()
            if reserved[service].cpu_millis < FREE_SERVICE_SHARE * total.cpu_millis
            and reserved[service].memory_mb < FREE_SERVICE_SHARE * total.memory_mb
        }


def is_starved(job: Job) -> bool:
    """Return whether a job has only runs placed as a last resort, or waits for one."""
    if job.final or not all(run.last_resort for run in job.reserved_runs()):
        return False
    return not is_idle(job) or bool(list_ready(job))


def is_idle(job: Job) -> bool:
    """Return whether a job isn't final and nothing of it runs."""
    return not job.final and next(job.reserved_runs(), None) is None


def list_ready(job: Job) -> list[Task]:
    """Return the waiting tasks of a job whose turn has come."""
    return [
        task
        for occurrence in job.occurrences.values()
        for step, spec in enumerate(job.spec.steps)
        if occurrence.is_ready(step, spec)
        for task in occurrence.steps[step]
        if task.status is TaskStatus.WAITING
    ]
