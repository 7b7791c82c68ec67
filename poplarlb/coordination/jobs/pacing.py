"""Paces filling tasks by the tails of the serving tasks beside them."""

from attrs import define

from poplarlb.coordination.jobs.book import Book
from poplarlb.coordination.jobs.events import PaceRun
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.state.jobs import TaskStatus

SLOW_DOWN_AT = 0.9  # of the target; figures lag half a second
SPEED_UP_AT = 0.6  # of the target
FULL_PACE = 100
PACE_STEPS = (0, 25, 50, 100)  # percent


@define(eq=False)
class Pacer:
    """Decides the pace of each filling run after each answer of its worker."""

    book: Book

    def pace(self, worker: WorkerState) -> None:
        """Slow filling runs down while a serving one is near its target."""
        filling = [
            run
            for run in worker.runs.values()
            if run.task.spec.fills and run.phase is RunPhase.RUNNING
        ]
        if not filling:
            return
        worst = max(
            (
                run.figure / run.task.spec.target_ms
                for run in worker.runs.values()
                if run.task.spec.target_ms
                and run.task.status is TaskStatus.PLACED
                and not run.stopping
            ),
            default=0.0,
        )
        for run in filling:
            run.pace = next_pace(run.pace, worst)
            if run.pace != run.pace_sent and not run.stopping:
                self._send(worker, run, worst)

    def _send(self, worker: WorkerState, run: Run, worst: float) -> None:
        self.book.note(
            "run_paced",
            task=run.task.name,
            run=run.number,
            worker=worker.worker_id,
            percent=run.pace,
            worst_tail_of_target=round(worst, 2),
        )
        run.pace_sent = run.pace
        self.book.commands.append(
            PaceRun(
                worker.worker_id,
                worker.listing.address,
                run.task.name,
                run.number,
                run.pace,
                self.book.epoch,
            )
        )


def next_pace(pace: int, worst: float) -> int:
    """Return the pace after a worst tail, given as a share of its target."""
    if worst >= 1.0:
        return 0
    if worst >= SLOW_DOWN_AT:
        return max((step for step in PACE_STEPS if step < pace), default=0)
    if worst <= SPEED_UP_AT:
        return min((step for step in PACE_STEPS if step > pace), default=FULL_PACE)
    return pace
