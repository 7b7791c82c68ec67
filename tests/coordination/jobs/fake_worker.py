"""A fake worker that runs tasks under leases and fences, on a simulated clock."""

import random

from attrs import Factory, define, frozen

from poplarlb.coordination.jobs.events import (
    CallOutcome,
    EndedRow,
    RunningRow,
    WorkerListing,
)
from poplarlb.state.jobs import RunEnd
from poplarlb.state.models import Resources

LEASE_LIMIT_MS = 10_000
STOP_MS = 100
JUST_BEGUN_MS = 1_000
FIRST_CLOCK_MS = 1_000.0  # of a clock that has begun anew
CLOCKS_MS = (1_000, 9_000_000)  # of workers before their first restart
# Between the clocks of two incarnations; the next one's may be further behind.
CLOCK_OFFSET_MS = (1_000_000, 9_000_000)


@define
class LiveRun:
    """A run that has started at a worker."""

    task: str
    number: int
    started_ms: float
    work_ms: float
    done_ms: float = 0.0
    throttle_percent: int = 100
    stop_at_ms: float | None = None
    fails: bool = False
    stalled: bool = False

    @property
    def percent(self) -> int:
        """Return the share of the work that is done."""
        return min(int(100 * self.done_ms / self.work_ms), 100)


@frozen
class Crash:
    """A crash of a worker, and the tasks that it was running.

    ``cause`` is the name of the task that caused it; empty if none did. ``just_begun``
    are those of the tasks that had started less than ``JUST_BEGUN_MS`` before.
    """

    incarnation: int
    cause: str
    tasks: frozenset[str]
    just_begun: frozenset[str]


@define(eq=False)
class FakeWorker:
    """One worker, which records run ends and its crashes for the checks.

    ``acknowledged_ends`` holds ends as done that were acknowledged,
    ``ends_at_lease_expiry`` ends that were listed while the lease ended;
    ``failed_tasks`` are the tasks of which a run ended as failed. A worker that
    has been ``replaced`` by one with another id doesn't come back. ``measurements`` are
    those that it lists, by task.
    """

    worker_id: str
    incarnation: int
    zone: str = "z1"
    rack: str = "r1"
    capacity: Resources = Resources(16_000, 64_000, 0)
    service: str = "desk"
    clock_rate: float = 1.0
    clock_ms: float = FIRST_CLOCK_MS
    fence: int = 0
    lease_end_ms: float = 0.0
    runs: dict[tuple[str, int], LiveRun] = Factory(dict)
    ends: list[EndedRow] = Factory(list)
    next_end: int = 1
    highest_run: dict[str, int] = Factory(dict)
    alive: bool = True
    draining: bool = False
    fails_all: bool = False
    speed: float = 1.0
    acknowledged_ends: set[tuple[str, int]] = Factory(set)
    ends_at_lease_expiry: set[tuple[str, int]] = Factory(set)
    failed_tasks: set[str] = Factory(set)
    crashes: list[Crash] = Factory(list)
    address: str = ""
    replaced: bool = False
    measurements: dict[str, float] = Factory(dict)
    checkpoint_size: int = 0  # characters at least

    def __attrs_post_init__(self) -> None:
        """Set the address unless it is given."""
        self.address = self.address or f"{self.worker_id}:1"

    def listing(self) -> WorkerListing:
        """Return the worker's entry in the store."""
        return WorkerListing(
            self.worker_id,
            self.incarnation,
            self.address,
            self.service,
            self.zone,
            self.draining,
            self.capacity,
            ("a", self.rack),
        )

    def advance(self, elapsed_ms: float) -> None:
        """Advance the clock: work on the runs, end runs, and expire the lease."""
        if not self.alive:
            return
        self.clock_ms += elapsed_ms * self.clock_rate
        for key, run in list(self.runs.items()):
            if not run.stalled:
                run.done_ms += elapsed_ms * run.throttle_percent / 100 * self.speed
            if run.stop_at_ms is not None and self.clock_ms >= run.stop_at_ms:
                self.end(key, RunEnd.STOPPED)
            elif run.done_ms >= run.work_ms:
                self.end(key, RunEnd.FAILED if run.fails else RunEnd.DONE)
        if self.clock_ms >= self.lease_end_ms:
            self.ends_at_lease_expiry.update((row.task, row.run) for row in self.ends)
        if self.runs and self.clock_ms >= self.lease_end_ms:
            for key in list(self.runs):
                self.end(key, RunEnd.EXPIRED)

    def checkpoint(self, run: LiveRun) -> str:
        """Return what a run saves."""
        return f"s{run.number}".ljust(self.checkpoint_size, "-")

    def end(self, key: tuple[str, int], how: RunEnd) -> None:
        """End a run."""
        run = self.runs.pop(key)
        self.highest_run[run.task] = max(self.highest_run.get(run.task, 0), run.number)
        if how is RunEnd.FAILED:
            self.failed_tasks.add(run.task)
        is_kept = how not in (RunEnd.DONE, RunEnd.FAILED)
        checkpoint = self.checkpoint(run) if is_kept else ""
        self.ends.append(EndedRow(self.next_end, run.task, run.number, how, checkpoint))
        self.next_end += 1

    def runs_by_task(self) -> dict[str, LiveRun]:
        """Return the active runs by the names of their tasks."""
        return {run.task: run for run in self.runs.values()}

    def crash(self, cause: str = "") -> None:
        """Stop answering and lose all runs."""
        if not self.alive:
            return
        tasks = frozenset(run.task for run in self.runs.values())
        just_begun = frozenset(
            run.task
            for run in self.runs.values()
            if self.clock_ms - run.started_ms < JUST_BEGUN_MS
        )
        self.crashes.append(Crash(self.incarnation, cause, tasks, just_begun))
        self.alive = False

    def restart(self, incarnation: int, clock_ms: float = FIRST_CLOCK_MS) -> None:
        """Crash, unless it is down, and start an incarnation without any state.

        :param clock_ms: what the new incarnation's clock shows.
        """
        self.crash()
        self.incarnation = incarnation
        self.clock_ms = clock_ms
        self.fence = 0
        self.lease_end_ms = 0.0
        self.runs.clear()
        self.ends.clear()
        self.next_end = 1
        self.highest_run.clear()
        self.alive = True
        self.draining = False

    # --- calls ------------------------------------------------------------------------

    def extend_lease(self, until_ms: float | None) -> None:
        """Extend every run's lease."""
        if until_ms is not None:
            limit_ms = self.clock_ms + LEASE_LIMIT_MS
            self.lease_end_ms = max(self.lease_end_ms, min(until_ms, limit_ms))

    def start(self, command, work_ms: float, fails: bool) -> CallOutcome:
        """Start a run."""
        if command.epoch < self.fence:
            return CallOutcome.OLD_EPOCH
        self.fence = command.epoch
        key = (command.task, command.run)
        if command.lease_end_ms <= self.clock_ms:
            return CallOutcome.LEASE_OVER
        self.extend_lease(command.lease_end_ms)
        if key in self.runs:
            return CallOutcome.DONE
        if command.run <= self.highest_run.get(command.task, 0):
            return CallOutcome.OLD_RUN
        self.runs[key] = LiveRun(
            command.task,
            command.run,
            self.clock_ms,
            work_ms,
            fails=fails or self.fails_all,
        )
        return CallOutcome.DONE

    def stop(self, command) -> CallOutcome:
        """Stop a run, or refuse its start from now on."""
        if command.epoch < self.fence:
            return CallOutcome.OLD_EPOCH
        self.fence = command.epoch
        run = self.runs.get((command.task, command.run))
        if run is not None:
            if run.stop_at_ms is None:
                run.stop_at_ms = self.clock_ms + STOP_MS
        else:
            known = self.highest_run.get(command.task, 0)
            self.highest_run[command.task] = max(known, command.run)
        return CallOutcome.DONE

    def poll(self, command):
        """Answer a poll with the runs and ends; None if its epoch is old."""
        if command.epoch < self.fence:
            return None
        self.fence = command.epoch
        self.extend_lease(command.lease_end_ms)
        if command.acknowledged_end is not None:
            for row in self.ends:
                if row.number <= command.acknowledged_end and row.how is RunEnd.DONE:
                    self.acknowledged_ends.add((row.task, row.run))
            self.ends = [
                row for row in self.ends if row.number > command.acknowledged_end
            ]
        running = tuple(
            RunningRow(
                run.task,
                run.number,
                self.checkpoint(run),
                run.percent,
                self.measurements.get(run.task, 0.0),
            )
            for run in self.runs.values()
        )
        return running, tuple(self.ends)


def draw_clock_ms(rng: random.Random, former_ms: float) -> float:
    """Return a next incarnation's clock: begun anew, far ahead or far behind."""
    ahead_ms = former_ms + rng.uniform(*CLOCK_OFFSET_MS)
    latest_ms = max(former_ms - CLOCK_OFFSET_MS[0], FIRST_CLOCK_MS)
    behind_ms = rng.uniform(FIRST_CLOCK_MS, latest_ms)
    return rng.choice((FIRST_CLOCK_MS, ahead_ms, behind_ms))
