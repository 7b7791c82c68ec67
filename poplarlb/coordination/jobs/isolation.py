"""Starts tasks that may crash their worker where no other run can be the cause.

A worker is held for such a task: it gets no further runs, and once all of its runs have
settled the task is started there. The worker gets no others until this run has settled
as well or has ended.
"""

from attrs import Factory, define

from poplarlb.coordination.jobs.crashes import (
    ISOLATED_FROM,
    is_settled,
    needs_isolation,
)
from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.fleet import Run, WorkerState
from poplarlb.coordination.jobs.placement import Demand, WorkerChooser, WorkerRanking
from poplarlb.state.jobs import Task, TaskStatus

# Waits for an isolated start, after one crash and after more; then the task is started
# like any other. A long-running one is missed sooner.
FIRST_WAIT_MS = 1_000
REPEATED_WAIT_MS = 10_000
LONG_RUNNING_WAIT_MS = 2_500
# Suspects take at most one in so many of the usable workers, after one crash and after
# more: when many workers are lost at once, many tasks have a crash without causing it.
USABLE_PER_FIRST = 8
USABLE_PER_REPEATED = 2


@define(eq=False)
class Isolation:
    """Holds workers for suspects: tasks under which workers have crashed.

    :ivar holds: the worker that is held for a task.
    :ivar waits: since when a task has waited to be started.
    """

    state: DispatcherState
    chooser: WorkerChooser
    holds: dict[Task, WorkerState] = Factory(dict)
    waits: dict[Task, int] = Factory(dict)

    def list_waiting(self) -> list[Task]:
        """Return the suspects to be started now, those with most crashes first."""
        suspects = self.state.suspects
        for task in [task for task in suspects if is_over(task)]:
            del suspects[task]
            self._forget(task)
        waiting = [
            task
            for task in suspects
            if task.status is TaskStatus.WAITING and not task.reserved_runs
        ]
        return sorted(waiting, key=lambda task: -len(task.crashed_runs))

    def choose(
        self, task: Task, demand: Demand, usable: list[WorkerState]
    ) -> WorkerState | None:
        """Return the worker at which a suspect can be started isolated now.

        If there is none yet, a worker is held for it and removed from ``usable``. A
        task that has waited too long is no longer a suspect.
        """
        now_ms = self.state.now_ms
        since_ms = self.waits.setdefault(task, now_ms)
        if task.spec.long_running:
            task.waiting_since_ms = task.waiting_since_ms or now_ms
        repeated = len(task.crashed_runs) >= ISOLATED_FROM
        if now_ms - since_ms > longest_wait_ms(task, repeated):
            del self.state.suspects[task]
            self._forget(task)
            return None
        worker = self.holds.get(task)
        if worker is not None and not self._can_run(worker, demand):
            self._release(task)
            worker = None
        if worker is None:
            taken = len(self.holds) + len(self.state.isolating)
            usable_per_taken = USABLE_PER_REPEATED if repeated else USABLE_PER_FIRST
            if taken and taken * usable_per_taken >= len(usable) + taken:
                return None
            worker = self._hold(task, demand, usable)
        if worker is None or not all(
            is_settled(worker, run) for run in worker.runs.values()
        ):
            return None
        return worker

    def begin(self, worker: WorkerState, run: Run) -> None:
        """Isolate a run that has been placed at the worker held for its task."""
        self._forget(run.task)
        run.task.isolated_run, run.task.isolated_begun = run.number, False
        worker.isolated_run = run
        self.state.isolating.add(worker)

    def tick(self) -> None:
        """End the isolation of runs that have settled or ended."""
        for worker in list(self.state.isolating):
            self._end_if_passed(worker)

    def keeps_alone(self, worker: WorkerState) -> bool:
        """Return whether a worker gets no other runs now."""
        if worker.isolated_run is not None:
            self._end_if_passed(worker)
        return worker.held_for is not None or worker.isolated_run is not None

    def _end_if_passed(self, worker: WorkerState) -> None:
        run = worker.isolated_run
        active = worker.runs.get(run.key) is run
        if active and not self._has_passed(worker, run):
            return
        if active:
            run.task.isolated_run = 0
            self.state.mark_dirty(run.task.job)
        worker.isolated_run = None
        self.state.isolating.discard(worker)
        self.state.note_freed(worker)

    def _has_passed(self, worker: WorkerState, run: Run) -> bool:
        """Return whether a run has settled, so isn't isolated any more."""
        if not is_settled(worker, run):
            return False
        task = run.task
        task.suspected = False
        if not needs_isolation(task):
            self.state.suspects.pop(task, None)
        return True

    def _hold(
        self, task: Task, demand: Demand, usable: list[WorkerState]
    ) -> WorkerState | None:
        """Hold the worker that can take a task with the least loss if it crashes."""
        ranking = WorkerRanking(self.chooser, demand, tuple(usable))
        candidates = [worker for _, _, worker in sorted(ranking.heap)]
        if not candidates:
            return None
        worker = min(
            candidates, key=lambda item: (count_unsettled(item), len(item.runs))
        )
        usable.remove(worker)
        worker.held_for = task
        self.holds[task] = worker
        self.state.log("worker_held", worker=worker.worker_id, task=task.name)
        return worker

    def _can_run(self, worker: WorkerState, demand: Demand) -> bool:
        if not worker.is_usable(self.state.now_ms):
            return False
        if worker.listing.service != demand.service:
            return False
        if worker.listing.zone in self.state.zones_out:
            return False
        return bool(WorkerRanking(self.chooser, demand, (worker,)).heap)

    def _forget(self, task: Task) -> None:
        self.waits.pop(task, None)
        self._release(task)

    def _release(self, task: Task) -> None:
        worker = self.holds.pop(task, None)
        if worker is not None:
            worker.held_for = None
            self.state.note_freed(worker)


def is_over(task: Task) -> bool:
    """Return whether a task needs no further run."""
    return task.status is TaskStatus.DONE or task.job.final


def longest_wait_ms(task: Task, repeated: bool) -> int:
    """Return how long a suspect waits for an isolated start."""
    if not repeated:
        return FIRST_WAIT_MS
    return LONG_RUNNING_WAIT_MS if task.spec.long_running else REPEATED_WAIT_MS


def count_unsettled(worker: WorkerState) -> int:
    """Return the number of a worker's runs that haven't settled."""
    return sum(not is_settled(worker, run) for run in worker.runs.values())
