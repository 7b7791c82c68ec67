"""Reports workers that were lost and the runs that were lost with them."""

from collections.abc import Iterable

from attrs import define

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState

# A run has settled once its worker has listed it this long after its start.
SETTLED_MS = 300
MAX_LOGGED_RUNS = 20  # of one worker


@define(eq=False)
class CrashCounter:
    """Decides what follows from the loss of a worker for the tasks that it ran."""

    state: DispatcherState

    def on_worker_lost(
        self, worker: WorkerState, runs: Iterable[Run], reason: str
    ) -> None:
        """Handle that a worker's process has ended, before its runs are released."""
        state = self.state
        lost = [run for run in runs if run.phase is not RunPhase.COMMITTING]
        if not lost:
            return
        state.log(
            "worker_lost",
            worker=worker.worker_id,
            life=worker.incarnation,
            reason=reason,
            runs=len(lost),
            answered_ms_ago=state.now_ms - worker.answered_ms,
            begun_ms={
                f"{run.task.name} run {run.number}": listed_for_ms(worker, run)
                for run in lost[:MAX_LOGGED_RUNS]
            },
        )


def listed_for_ms(worker: WorkerState, run: Run) -> int:
    """Return how long a run was certainly active: from its start to the last poll.

    Less than 0 if the start is not confirmed, or no poll was answered since.
    """
    if run.phase is not RunPhase.RUNNING or not run.confirmed_ms:
        return -1
    return worker.answered_ms - run.confirmed_ms


def is_settled(worker: WorkerState, run: Run) -> bool:
    """Return whether a worker has listed a run for a while, so survived its start."""
    return listed_for_ms(worker, run) >= SETTLED_MS
