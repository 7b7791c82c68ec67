"""Faults planted in the rules for worker calls; the walks must find each."""

import contextlib
import unittest
from unittest import mock

from poplarlb.coordination.jobs import calls
from poplarlb.coordination.jobs.calls import WorkerCalls
from poplarlb.coordination.jobs.dispatcher import Dispatcher
from poplarlb.coordination.jobs.events import CallOutcome
from poplarlb.coordination.jobs.fleet import WorkerState
from poplarlb.coordination.jobs.poll_reader import PollReader
from tests.coordination.jobs.job_world import JobWorld, make_job
from tests.coordination.jobs.test_job_fuzz import find_failures, walk

SEEDS_TRIED = 150


def acknowledge_early():
    """Acknowledge an end before its record is in the store."""
    original = PollReader.read

    def read(self, worker, look) -> None:
        original(self, worker, look)
        worker.stored_end = worker.applied_end

    return mock.patch.object(PollReader, "read", read)


def forget_unanswered():
    """Take an unanswered start for one that was refused."""
    original = WorkerCalls.on_start_answered

    def on_start_answered(self, event) -> None:
        run = self.book.worker(event.worker_id).runs.get((event.task, event.run))
        if event.outcome is CallOutcome.UNANSWERED and run is not None:
            self.book.release(self.book.worker(event.worker_id), run, "planted")
            return
        original(self, event)

    return mock.patch.object(WorkerCalls, "on_start_answered", on_start_answered)


def halve_the_lease():
    """Give a silent worker up before its lease is over."""

    def lease_expired(self, policy, now_ms: int) -> bool:
        return now_ms - self.answered_ms > policy.lease_ms / 2

    return mock.patch.object(WorkerState, "lease_expired", lease_expired)


def trust_the_first_look():
    """Let a new owner not wait for workers that it can't reach."""
    original = Dispatcher.take_over.__func__

    def take_over(cls, policy, epoch, jobs, now_ms, lapses=()):
        dispatcher = original(cls, policy, epoch, jobs, now_ms, lapses)
        for worker in dispatcher.book.workers.values():
            worker.inherited_leases_until_ms = 0
        return dispatcher

    return mock.patch.object(Dispatcher, "take_over", classmethod(take_over))


def place_beside_a_held_run():
    """Place a task again while an earlier run may still be at work."""
    original = WorkerState.add

    def add(self, run) -> None:
        original(self, run)
        run.task.held = 0

    return mock.patch.object(WorkerState, "add", add)


def free_at_the_stop():
    """Take the answer to a stop for the run's end."""
    original = WorkerCalls.on_stop_answered

    def on_stop_answered(self, event) -> None:
        original(self, event)
        worker = self.book.worker(event.worker_id)
        run = worker.runs.get((event.task, event.run))
        if run is not None and event.outcome is CallOutcome.DONE:
            self.book.release(worker, run, "planted")

    return mock.patch.object(WorkerCalls, "on_stop_answered", on_stop_answered)


def take_an_id_for_a_life():
    """Keep numbers of ends of an earlier life for the next one."""

    def begin_incarnation(self, life: int) -> None:
        self.life = life

    return mock.patch.object(WorkerState, "begin_incarnation", begin_incarnation)


PLANTED = {
    acknowledge_early: 11,
    forget_unanswered: 1,
    halve_the_lease: 27,
    trust_the_first_look: 27,
    place_beside_a_held_run: 1,
    free_at_the_stop: 14,
    take_an_id_for_a_life: 1,
}  # the seed whose walk finds each


def breaks(plant, seed: int) -> bool:
    """Tell whether a walk breaks with a fault planted."""
    with plant():
        return bool(find_failures(walk(seed)))


class PlantedFaultTest(unittest.TestCase):
    """Each rule left out breaks a walk that is sound with it."""

    def test_each_fault_is_found(self) -> None:
        """The walk of the fault's seed breaks with the fault, and only with it."""
        for plant, seed in PLANTED.items():
            with self.subTest(plant=plant.__name__, seed=seed):
                self.assertTrue(breaks(plant, seed))
                self.assertFalse(breaks(contextlib.nullcontext, seed))


class SilenceTest(unittest.TestCase):
    """A rule that walks meet too seldom, by script."""

    def meet_a_silent_worker_again(self) -> list[str]:
        """Return what breaks when a worker is back while the store is away."""
        world = JobWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(3)
        world.run(200)
        world.submit(make_job())
        world.run(6_000)
        back = next(iter(world.running().values()))
        world.cut.add(back)
        world.run(3_500)  # the store says by now how long its lease lasts
        world.store_up = False
        world.cut.clear()
        world.run(2_500)
        world.cut.add(back)
        world.store_up = True
        world.new_owner(keep_former=True)
        world.run(12_000)
        return world.violations

    def test_no_renewal_beside_a_record_of_silence(self) -> None:
        """The next owner would wait too short a time for the renewed lease."""
        self.assertEqual(self.meet_a_silent_worker_again(), [])
        planted = mock.patch.object(calls, "may_renew", lambda book, worker: True)
        with planted:
            self.assertNotEqual(self.meet_a_silent_worker_again(), [])


if __name__ == "__main__":
    for planted in PLANTED:
        found = (seed for seed in range(1, SEEDS_TRIED) if breaks(planted, seed))
        print(planted.__name__, next(found, None), flush=True)
