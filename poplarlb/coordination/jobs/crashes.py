"""Counts the workers that crash under a task, and gives such tasks up.

A crash takes all runs of a worker with it and doesn't tell which of them caused it. It
therefore counts against each task that may have. Such tasks run isolated
(:mod:`isolation`): a crash under an isolated run counts against its task alone. The
counts are stored with the job, so they outlast the owner.
"""

from collections.abc import Iterable

from attrs import Factory, define

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.state.jobs import CrashedRun, JobState, Task, TaskStatus

# A run has settled once its worker has listed it this long after its start.
SETTLED_MS = 300
# A task is given up if this many workers crashed as soon as they had begun it, the last
# of them in isolation; more if some of them may only have been out of reach; and more
# still without isolation.
CERTAIN_CRASH_LIMIT = 2
SUDDEN_CRASH_LIMIT = 3
CRASH_LIMIT = 5
# If so many workers, and so large a share of all, fall silent within this time, no
# single task is the cause.
COMMON_CAUSE_WORKERS = 4
COMMON_CAUSE_SHARE = 1 / 8
COMMON_CAUSE_MS = 1_000
# A task with this many crashes runs isolated, no matter how long its runs had lasted.
ISOLATED_FROM = 2
RECENT_MS = 30_000  # losses are compared for this long
MAX_LOGGED_RUNS = 20  # of one worker


@define(eq=False)
class CrashCounter:
    """Decides what follows from the loss of a worker for the tasks that it ran.

    :ivar recent_losses: when workers that were lost had last answered, by id.
    """

    state: DispatcherState
    recent_losses: dict[str, int] = Factory(dict)

    def on_worker_lost(
        self, worker: WorkerState, runs: Iterable[Run], restarted: bool
    ) -> None:
        """Count the loss of a worker, before its runs are released.

        :param restarted: a later incarnation answers, so it has crashed. Otherwise it
            was silent until its leases were over, and may be only out of reach.
        """
        state = self.state
        lost = [run for run in runs if run.phase is not RunPhase.COMMITTING]
        if not lost:
            return
        suspects = [run for run in lost if may_be_cause(worker, run)]
        isolated = [run for run in suspects if is_isolated(run)]
        others_settled = all(
            is_settled(worker, run) for run in suspects if not is_isolated(run)
        )
        counted = isolated if isolated and others_settled else suspects
        if worker.listing is not None and worker.listing.draining:
            counted = []  # it has left
        state.log(
            "worker_lost",
            worker=worker.worker_id,
            life=worker.incarnation,
            restarted=restarted,
            listed=worker.listed,
            runs=len(lost),
            counted=len(counted),
            answered_ms_ago=state.now_ms - worker.answered_ms,
            begun_ms={
                f"{run.task.name} run {run.number}": listed_for_ms(worker, run)
                for run in lost[:MAX_LOGGED_RUNS]
            },
        )
        self.recent_losses[worker.worker_id] = worker.answered_ms
        limit = max(COMMON_CAUSE_WORKERS, COMMON_CAUSE_SHARE * len(state.workers))
        alone = self._count_lost_with(worker) < limit
        certain = restarted or self._is_replaced(worker)
        crashed = certain or not worker.listed
        for run in counted:
            self._count(worker, run, alone and crashed, certain)

    def on_start_confirmed(self, run: Run) -> None:
        """Have it stored that an isolated run has begun, for the next owner."""
        if is_isolated(run):
            run.task.isolated_begun = True
            self.state.mark_dirty(run.task.job)

    def _count_lost_with(self, worker: WorkerState) -> int:
        """Return the number of workers that fell silent at about the same time."""
        state = self.state
        oldest_ms = state.now_ms - RECENT_MS
        self.recent_losses = {
            name: answered_ms
            for name, answered_ms in self.recent_losses.items()
            if answered_ms >= oldest_ms
        }
        silent = {
            other.worker_id: other.answered_ms
            for other in state.workers.values()
            if other.missed_polls and other.answered_ms
        }
        return sum(
            abs(answered_ms - worker.answered_ms) <= COMMON_CAUSE_MS
            for answered_ms in (self.recent_losses | silent).values()
        )

    def _is_replaced(self, worker: WorkerState) -> bool:
        """Return whether another worker is listed at a lost worker's address.

        The address of one without an entry since the takeover isn't known; it is taken
        for replaced.
        """
        return worker.listing is None or any(
            other.listed and other.listing.address == worker.listing.address
            for other in self.state.workers.values()
            if other is not worker
        )

    def _count(
        self, worker: WorkerState, run: Run, crashed_alone: bool, certain: bool
    ) -> None:
        """Count a loss against one run.

        :param crashed_alone: the worker has crashed, as far as known, and few others at
            about the same time.
        """
        state, task = self.state, run.task
        known = task.crashed_runs
        if task.status is TaskStatus.DONE or task.job.final:
            return
        if any(crashed.number == run.number for crashed in known):
            return

        isolated = is_isolated(run)
        sudden = crashed_alone and is_sudden(worker, run)
        crashed_run = CrashedRun(run.number, sudden, sudden and certain)
        task.crashed_runs = crashed_runs = (*known, crashed_run)
        task.suspected = not is_settled(worker, run)
        if task not in task.job.crashed_tasks:
            task.job.crashed_tasks.append(task)
        if needs_isolation(task):
            state.suspects[task] = None
        state.mark_dirty(task.job)

        crashes = len(crashed_runs)
        state.log_task(
            "crash_counted",
            task,
            run.number,
            worker=worker.worker_id,
            crashes=crashes,
            sudden=sudden,
            certain=certain,
            isolated=isolated,
        )
        proven = (
            sum(item.certain for item in crashed_runs) >= CERTAIN_CRASH_LIMIT
            or sum(item.sudden for item in crashed_runs) >= SUDDEN_CRASH_LIMIT
        )
        if (isolated and sudden and proven) or crashes >= CRASH_LIMIT:
            reason = f"{crashes} workers crashed under {task.name}"
            state.finish(task.job, JobState.FAILED, reason)

    def withdraw(self, task: Task, run: int) -> None:
        """Take back a counted crash: the worker was only out of reach."""
        remaining = tuple(item for item in task.crashed_runs if item.number != run)
        if len(remaining) == len(task.crashed_runs):
            return
        task.crashed_runs = remaining
        task.suspected = False
        self.state.mark_dirty(task.job)
        self.state.log_task("crash_withdrawn", task, run)


def needs_isolation(task: Task) -> bool:
    """Return whether a task is to run isolated; a gang's tasks can't."""
    repeated = len(task.crashed_runs) >= ISOLATED_FROM
    return (task.suspected or repeated) and not task.spec.gang


def is_isolated(run: Run) -> bool:
    """Return whether no other run at its worker can have crashed the worker."""
    return run.task.isolated_run == run.number


def is_sudden(worker: WorkerState, run: Run) -> bool:
    """Return whether a worker is known to have crashed as soon as it began a run."""
    match run.phase:
        case RunPhase.RUNNING:
            return not is_settled(worker, run)
        case RunPhase.INHERITED:
            return is_isolated(run) and run.task.isolated_begun
    return False


def may_be_cause(worker: WorkerState, run: Run) -> bool:
    """Return whether a run may have crashed its worker by being started there."""
    return not (run.task.spec.long_running and is_settled(worker, run))


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
