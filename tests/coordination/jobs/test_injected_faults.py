"""Injects faults into the handling of worker calls; the random walks find each."""

import contextlib
import unittest
from unittest import mock

import attrs

from poplarlb.coordination.jobs import calls, crashes
from poplarlb.coordination.jobs.calls import WorkerCalls
from poplarlb.coordination.jobs.crashes import CrashCounter
from poplarlb.coordination.jobs.dispatcher import Dispatcher
from poplarlb.coordination.jobs.events import CallOutcome, WorkerListed
from poplarlb.coordination.jobs.fleet import RunPhase, WorkerState
from poplarlb.coordination.jobs.poll_reader import PollReader
from poplarlb.state import job_records
from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs import fake_worker, job_world
from tests.coordination.jobs.job_world import JobWorld, make_job
from tests.coordination.jobs.test_deadly_tasks import CrashWorld
from tests.coordination.jobs.test_job_fuzz import WalkKind, find_failures, walk

SEEDS_TRIED = 150
SLOW_STOP_MS = 600


def acknowledge_early():
    """Acknowledge an end before its record is in the store."""
    original = PollReader.read

    def read(self, worker, poll) -> None:
        original(self, worker, poll)
        worker.stored_end = worker.applied_end

    return mock.patch.object(PollReader, "read", read)


def ignore_unanswered_start():
    """Treat an unanswered start as a refused one."""
    original = WorkerCalls.on_start_answered

    def on_start_answered(self, event) -> None:
        run = self.state.worker(event.worker_id).runs.get((event.task, event.run))
        if event.outcome is CallOutcome.UNANSWERED and run is not None:
            self.state.release(self.state.worker(event.worker_id), run, "injected")
            return
        original(self, event)

    return mock.patch.object(WorkerCalls, "on_start_answered", on_start_answered)


def halve_lease():
    """Release an unresponsive worker's runs before its lease has expired."""

    def lease_expired(self, policy, now_ms: int) -> bool:
        return now_ms - self.answered_ms > policy.lease_ms / 2

    return mock.patch.object(WorkerState, "lease_expired", lease_expired)


def skip_inherited_leases():
    """Let a new owner release the runs of unreachable workers without a wait."""
    original = Dispatcher.take_over.__func__

    def take_over(cls, *arguments, **fields):
        dispatcher = original(cls, *arguments, **fields)
        for worker in dispatcher.state.workers.values():
            worker.inherited_leases_until_ms = 0
        return dispatcher

    return mock.patch.object(Dispatcher, "take_over", classmethod(take_over))


class UnnoticedRuns(tuple):
    """Reserved runs that don't keep their task from being placed."""

    def __bool__(self) -> bool:
        """Return that there are none."""
        return False


def place_beside_reserved_run():
    """Place a task again while an earlier run may still be running."""
    add, remove = WorkerState.add, WorkerState.remove

    def hide(original):
        def change(self, run) -> None:
            original(self, run)
            run.task.reserved_runs = UnnoticedRuns(run.task.reserved_runs)

        return change

    return mock.patch.multiple(WorkerState, add=hide(add), remove=hide(remove))


def release_at_stop():
    """Treat the answer to a stop as the run's end."""
    original = WorkerCalls.on_stop_answered

    def on_stop_answered(self, event) -> None:
        original(self, event)
        worker = self.state.worker(event.worker_id)
        run = worker.runs.get((event.task, event.run))
        if run is not None and event.outcome is CallOutcome.DONE:
            self.state.release(worker, run, "injected")

    return mock.patch.object(WorkerCalls, "on_stop_answered", on_stop_answered)


def mix_incarnations():
    """Keep the end numbers of a worker's earlier incarnation for the next one."""

    def begin_incarnation(self, incarnation: int) -> None:
        self.incarnation = incarnation

    return mock.patch.object(WorkerState, "begin_incarnation", begin_incarnation)


def keep_first_capacity():
    """Ignore that the capacity in a worker's entry has changed."""
    original = Dispatcher._handle_listed

    def handle_listed(self, event) -> None:
        before = self.state.worker(event.listing.worker_id).listing
        if before is not None:
            listing = attrs.evolve(event.listing, capacity=before.capacity)
            event = WorkerListed(listing)
        original(self, event)

    return mock.patch.object(Dispatcher, "_handle_listed", handle_listed)


def forget_crashes():
    """Restore jobs without the crashes that earlier owners have counted."""
    return mock.patch.object(job_records, "restore_crashes", lambda job, row: None)


def count_restarts_only():
    """Count the crash of a worker only if it is back under its id."""
    original = CrashCounter.on_worker_lost

    def on_worker_lost(self, worker, runs, restarted: bool) -> None:
        if restarted:
            original(self, worker, runs, restarted)

    return mock.patch.object(CrashCounter, "on_worker_lost", on_worker_lost)


def count_confirmed_runs_only():
    """Count a crash only under runs whose start was answered."""
    original = CrashCounter.on_worker_lost

    def on_worker_lost(self, worker, runs, restarted: bool) -> None:
        confirmed = [run for run in runs if run.phase is RunPhase.RUNNING]
        original(self, worker, confirmed, restarted)

    return mock.patch.object(CrashCounter, "on_worker_lost", on_worker_lost)


def blame_without_isolation():
    """Blame each run that a worker lost, and isolate none."""
    return mock.patch.multiple(
        crashes, is_isolated=lambda run: True, needs_isolation=lambda task: False
    )


USUAL, RESIZING = WalkKind(), WalkKind(resizes=True)
DEADLY = WalkKind(deadly_tasks=True)
INJECTED_FAULTS = {
    acknowledge_early: (11, USUAL),
    ignore_unanswered_start: (1, USUAL),
    halve_lease: (27, USUAL),
    skip_inherited_leases: (62, USUAL),
    release_at_stop: (14, USUAL),
    mix_incarnations: (1, USUAL),
    keep_first_capacity: (4, RESIZING),
    count_restarts_only: (1, DEADLY),
    count_confirmed_runs_only: (9, DEADLY),
}  # the seed and kind of the walk that finds the fault


def is_found(inject, seed: int, kind: WalkKind) -> bool:
    """Return whether a walk violates an invariant with an injected fault."""
    with inject():
        return bool(find_failures(walk(seed, kind)))


class InjectedFaultTest(unittest.TestCase):
    """Each injected fault makes a walk fail that passes without it."""

    def test_each_fault_is_found(self) -> None:
        """The walk of the fault's seed fails with the fault, and only with it."""
        for inject, (seed, kind) in INJECTED_FAULTS.items():
            with self.subTest(fault=inject.__name__, seed=seed):
                self.assertTrue(is_found(inject, seed, kind))
                self.assertFalse(is_found(contextlib.nullcontext, seed, kind))


class StrayRunTest(unittest.TestCase):
    """A fault that random walks hardly show: a stray run ends within a stop's time."""

    def list_violations(self) -> list[str]:
        """Return what goes wrong after a takeover without the run's record."""
        world = JobWorld(work_ms=5_000)
        world.new_owner()
        world.add_workers(2)
        world.run(200)
        step = StepSpec(1, Resources(4_000, 1_000), estimate_ms=5_000)
        world.submit(make_job("a" * 16, step))
        world.run(200)
        self.assertEqual(len(world.running()), 1)
        world.records.clear()
        with mock.patch.object(fake_worker, "STOP_MS", SLOW_STOP_MS):
            world.new_owner()
            world.run(2_000)
        return world.violations

    def test_task_is_placed_after_its_stray_run_has_ended(self) -> None:
        """It runs at two workers only with the injected fault."""
        self.assertEqual(self.list_violations(), [])
        with place_beside_reserved_run():
            self.assertTrue(self.list_violations())


class UnresponsiveWorkerTest(unittest.TestCase):
    """A scripted scenario that random walks seldom reach."""

    def reconnect_unresponsive_worker(self) -> list[str]:
        """Return the violations when a worker is back while the store is down."""
        world = JobWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(3)
        world.run(200)
        world.submit(make_job())
        world.run(6_000)
        back = next(iter(world.running().values()))
        world.partitioned.add(back)
        world.run(3_500)  # until the store holds the remaining time of its lease
        world.store_up = False
        world.partitioned.clear()
        world.run(2_500)
        world.partitioned.add(back)
        world.store_up = True
        world.new_owner(keep_former=True)
        world.run(12_000)
        return world.violations

    def test_no_renewal_while_recorded_as_unresponsive(self) -> None:
        """Otherwise the next owner would not wait for the renewed lease to expire."""
        self.assertEqual(self.reconnect_unresponsive_worker(), [])
        injected = mock.patch.object(calls, "may_renew", lambda state, worker: True)
        with injected:
            self.assertNotEqual(self.reconnect_unresponsive_worker(), [])


class DeadlyTaskTest(unittest.TestCase):
    """Faults in the count of crashes, found by tasks that crash their workers."""

    def find_failures(self, early_crash_rate: float, **fields) -> list[str]:
        """Return what goes wrong with two deadly tasks among innocent ones.

        :param early_crash_rate: share of the crashes that come before the answer.
        """
        world = CrashWorld(work_ms=800, **fields)
        with mock.patch.object(job_world, "EARLY_CRASH_RATE", early_crash_rate):
            world.start(2)
            world.submit_beside_innocents(["d" * 16, "e" * 16], 16)
            return world.find_failures()

    def test_each_fault_is_found(self) -> None:
        """The scenario fails with the fault, and only with it."""
        for inject, early_crash_rate, fields in (
            (forget_crashes, 0.0, {"replaces_owner": True}),
            (count_restarts_only, 0.0, {"keeps_id": False}),
            (count_confirmed_runs_only, 1.0, {"keeps_id": True}),
            (blame_without_isolation, 0.0, {"keeps_id": True}),
        ):
            with self.subTest(fault=inject.__name__):
                self.assertEqual(self.find_failures(early_crash_rate, **fields), [])
                with inject():
                    found = self.find_failures(early_crash_rate, **fields)
                self.assertNotEqual(found, [])


if __name__ == "__main__":
    for injected, (_, kind) in INJECTED_FAULTS.items():
        seeds = range(1, SEEDS_TRIED)
        found = (seed for seed in seeds if is_found(injected, seed, kind))
        print(injected.__name__, next(found, None), flush=True)
