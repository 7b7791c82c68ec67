"""Tests of the dispatcher against fake workers."""

import unittest
from unittest import mock

import attrs

from poplarlb.coordination.jobs import events
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state.jobs import JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import QUEUE, JobWorld, fail, make_job

SMALL = Resources(1_000, 1_000)
JOB = "a" * 16


class DispatcherTest(unittest.TestCase):
    """One owner and four workers."""

    def setUp(self) -> None:
        """Start an owner and four workers."""
        self.world = JobWorld()
        self.world.new_owner()
        self.world.add_workers(4)
        self.world.run(200)

    def tearDown(self) -> None:
        """Check that no invariant was violated."""
        self.assertEqual(self.world.violations, [])

    def test_job_runs_to_its_end(self) -> None:
        """Two tasks run once each and the job is done."""
        self.world.submit(make_job())
        self.world.run(2_000)
        self.assertIs(self.world.state(JOB), JobState.DONE)
        self.assertEqual(set(self.world.starts.values()), {1})

    def test_step_waits_for_earlier_steps(self) -> None:
        """A step begins after all tasks of the steps before it."""
        first = StepSpec(3, SMALL, estimate_ms=500)
        second = StepSpec(1, SMALL, estimate_ms=500, after=(0,))
        self.world.submit(make_job(JOB, first, second))
        self.world.run(300)
        self.assertEqual(len(self.world.running()), 3)
        self.world.run(2_000)
        self.assertIs(self.world.state(JOB), JobState.DONE)

    def test_failing_task_fails_its_job(self) -> None:
        """A task that fails as often as its queue allows ends the job."""
        self.world.failing.add(f"{JOB}.0.0.0")
        self.world.submit(make_job())
        self.world.run(6_000)
        self.assertIs(self.world.state(JOB), JobState.FAILED)
        self.assertEqual(self.world.starts[f"{JOB}.0.0.0"], 3)

    # A view may become too old while the commit of a placement is in flight.
    def test_nothing_starts_by_a_view_that_aged_during_the_commit(self) -> None:
        """The run isn't started; its task is placed again by a newer view."""
        self.world.views_confirmed = False
        self.world.run(1_200)
        with mock.patch("tests.coordination.jobs.job_world.COMMIT_MS", 600):
            self.world.submit(make_job())
            self.world.run(1_000)
        self.assertEqual(self.world.starts, {})
        self.world.views_confirmed = True
        self.world.run(3_000)
        self.assertIs(self.world.state(JOB), JobState.DONE)

    # Guards against cancellations of jobs that were never stored, which would stay in
    # the store for good, and against one that is dropped before its job arrives.
    def test_cancel_of_a_job_that_is_not_stored(self) -> None:
        """It holds for a job that comes later, and is deleted after a while."""
        late, never = "c" * 16, "d" * 16
        self.world.cancel(late)
        self.world.cancel(never)
        self.world.new_owner()
        self.world.run(500)
        self.world.submit(make_job(late))
        self.world.run(2_000)
        self.assertIs(self.world.state(late), JobState.CANCELLED)
        self.assertFalse(self.world.starts)
        self.world.run(2 * self.world.policy.retention_ms - 3_000)
        self.assertIn(never, self.world.cancels)
        self.world.run(2_000)
        self.assertNotIn(never, self.world.cancels)

    def test_cancel_stops_what_runs(self) -> None:
        """All runs of a cancelled job are stopped."""
        self.world.work_ms = 60_000
        self.world.submit(make_job())
        self.world.run(500)
        self.world.cancel(JOB)
        self.world.run(1_000)
        self.assertIs(self.world.state(JOB), JobState.CANCELLED)
        self.assertEqual(self.world.running(), {})

    def test_lost_worker_is_replaced_after_its_lease(self) -> None:
        """An unresponsive worker's tasks run elsewhere once its lease has expired."""
        self.world.work_ms = 3_000
        self.world.submit(make_job())
        self.world.run(300)
        lost = next(iter(self.world.running().values()))
        self.world.workers[lost].alive = False
        self.world.run(2_000)
        self.assertLess(sum(self.world.starts.values()), 3)
        self.world.unlist(lost)
        self.world.run(12_000)
        self.assertIs(self.world.state(JOB), JobState.DONE)

    def test_partitioned_worker_keeps_its_task_until_its_lease_expires(self) -> None:
        """A partitioned worker goes on running; its task never runs twice."""
        self.world.work_ms = 60_000
        self.world.submit(make_job())
        self.world.run(300)
        partitioned = next(iter(self.world.running().values()))
        self.world.partitioned.add(partitioned)
        self.world.run(15_000)
        self.assertEqual(len(self.world.running()), 2)
        self.world.partitioned.clear()
        self.world.run(3_000)
        self.assertEqual(len(self.world.running()), 2)

    def test_idle_worker_that_missed_polls_is_used_again(self) -> None:
        """A worker without runs is polled until it answers."""
        self.world.partitioned.update(self.world.workers)
        self.world.submit(make_job())
        self.world.run(20_000)
        self.world.partitioned.clear()
        self.world.run(20_000)
        self.assertIs(self.world.state(JOB), JobState.DONE)

    def test_unanswered_start_holds_no_capacity_at_an_idle_worker(self) -> None:
        """Stops repeated during a poll's wait don't delay the release by its answer."""
        self.world = JobWorld(policy=JobPolicy(stop_ms=200), poll_limit_ms=1_000)
        self.world.new_owner()
        self.world.add_workers(4)
        self.world.run(200)
        deliver = JobWorld._call

        def lose_starts(world, command, owner, action, sent_ms) -> None:
            if isinstance(command, events.StartRun):
                answer = fail(command, sent_ms)
                world.later(900, lambda: world.feed(answer, owner))
            else:
                deliver(world, command, owner, action, sent_ms)

        with mock.patch.object(JobWorld, "_call", lose_starts):
            self.world.submit(make_job())
            self.world.run(3_000)
        self.world.run(6_000)
        self.assertIs(self.world.state(JOB), JobState.DONE)

    def test_next_owner_adopts_running_tasks(self) -> None:
        """A takeover stops no run and starts none again."""
        self.world.work_ms = 4_000
        self.world.submit(make_job())
        self.world.run(500)
        self.world.new_owner()
        self.world.run(6_000)
        self.assertIs(self.world.state(JOB), JobState.DONE)
        self.assertEqual(set(self.world.starts.values()), {1})

    def test_task_of_a_worker_that_died_before_the_takeover_runs_again(self) -> None:
        """A worker that the next owner never sees listed doesn't keep its tasks."""
        self.world.work_ms = 60_000
        self.world.submit(make_job())
        self.world.run(500)
        lost = next(iter(self.world.running().values()))
        self.world.workers[lost].alive = False
        self.world.listed.pop(lost)
        self.world.new_owner()
        self.world.run(25_000)
        self.assertEqual(len(self.world.running()), 2)

    def lose_worker_of_a_task(self) -> str:
        """Start a job of long tasks and lose one of its workers for good."""
        self.world.work_ms = 60_000
        self.world.submit(make_job())
        self.world.run(6_000)  # leases of an earlier owner have expired by then
        lost = next(iter(self.world.running().values()))
        self.world.workers[lost].alive = False
        self.world.unlist(lost)
        return lost

    def test_takeover_waits_for_the_rest_of_a_lost_workers_lease(self) -> None:
        """The next owner waits only for the remaining time of the lease."""
        self.lose_worker_of_a_task()
        self.world.run(4_000)
        self.world.new_owner()
        # Renewed for 2 s, a lease of 5 s, clocks, and the record's period: 8.3 s.
        self.world.run(4_500)
        self.assertEqual(len(self.world.running()), 2)

    def test_takeovers_in_a_row_prolong_no_wait(self) -> None:
        """Each owner continues the wait of the last one."""
        self.lose_worker_of_a_task()
        self.world.new_owner()
        for _ in range(3):
            self.world.run(3_000)
            self.world.new_owner()
        # The bound of renewals and a lease since the first takeover, 10.3 s, and up
        # to the period of the record for each further takeover.
        self.world.run(4_500)
        self.assertEqual(len(self.world.running()), 2)

    def test_worker_that_is_back_is_renewed_after_a_takeover(self) -> None:
        """A worker partitioned during a takeover keeps its tasks once it is back."""
        self.world.work_ms = 60_000
        self.world.submit(make_job())
        self.world.run(500)
        partitioned = next(iter(self.world.running().values()))
        self.world.partitioned.add(partitioned)
        self.world.run(2_500)
        self.world.new_owner()
        self.world.run(1_000)
        self.world.partitioned.clear()
        self.world.run(15_000)
        self.assertEqual(set(self.world.starts.values()), {1})
        self.assertEqual(len(self.world.running()), 2)

    def test_long_running_task_is_started_again(self) -> None:
        """A long-running task runs again however it ended."""
        step = StepSpec(2, SMALL, long_running=True)
        self.world.submit(make_job(JOB, step))
        self.world.run(3_000)
        self.assertIs(self.world.state(JOB), JobState.ACTIVE)
        self.assertGreater(min(self.world.starts.values()), 2)

    def test_spread_limit_holds(self) -> None:
        """No worker gets more tasks of a step than ``max_per_worker``."""
        self.world.work_ms = 1_000
        self.world.submit(make_job(JOB, StepSpec(8, SMALL, max_per_worker=1)))
        self.world.run(500)
        self.assertEqual(len(self.world.running()), 4)
        self.world.run(4_000)
        self.assertIs(self.world.state(JOB), JobState.DONE)

    def test_capacity_is_never_exceeded(self) -> None:
        """Tasks wait for free capacity."""
        self.world.submit(make_job(JOB, StepSpec(12, Resources(8_000, 1_000))))
        self.world.run(5_000)
        self.assertIs(self.world.state(JOB), JobState.DONE)

    def test_occurrences_begin_when_they_are_due(self) -> None:
        """A periodic job runs its steps once per occurrence."""
        first = self.world.utc_ms() + 1_000
        spec = make_job(JOB, times=3, first_utc_ms=first, interval_ms=1_000)
        self.world.submit(spec)
        self.world.run(900)
        self.assertEqual(self.world.starts.total(), 0)
        self.world.run(4_500)
        self.assertIs(self.world.state(JOB), JobState.DONE)
        self.assertEqual(self.world.starts.total(), 6)

    # Guards against a job that fills the memory of every owner in turn, as all of its
    # occurrences are due at once.
    def test_occurrences_that_are_all_due(self) -> None:
        """A thousand occurrences of 1,024 tasks; few are open at a time."""
        step = StepSpec(1_024, Resources(0, 1), estimate_ms=500)
        spec = make_job(JOB, step, times=1_000, first_utc_ms=1, interval_ms=0)
        self.world.submit(spec)
        self.world.run(200)
        job = self.world.owner.state.jobs[JOB]
        self.assertEqual(len(job.occurrences), 4)
        self.world.run(1_200)
        self.assertGreater(job.next_occurrence, 4)
        self.assertLess(job.unfinished_tasks, 5_000)

    # Guards against a job whose record grows above the store's limit with each
    # occurrence that is done, so that no commit gets through any more.
    def test_done_occurrences_leave_the_record(self) -> None:
        """Six hundred short ones, 20 ms apart; each is run once, over takeovers."""
        step = StepSpec(1, Resources(0, 1), estimate_ms=500)
        first = self.world.utc_ms()
        spec = make_job(JOB, step, times=600, first_utc_ms=first, interval_ms=20)
        self.world.submit(spec)
        sizes = []
        while self.world.state(JOB) is not JobState.DONE and len(sizes) < 40:
            self.world.run(500)
            self.world.new_owner(keep_former=len(sizes) % 2 == 0)
            sizes.append(len(self.world.records[JOB]))
        self.assertIs(self.world.state(JOB), JobState.DONE)
        self.assertEqual(len(self.world.starts), 600)
        self.assertLess(max(sizes), 5_000)

    def test_gang_begins_together_or_not_at_all(self) -> None:
        """A gang starts no member unless there is capacity for all."""
        big = Resources(16_000, 1_000)
        self.world.submit(make_job(JOB, StepSpec(5, big, gang=True)))
        self.world.run(1_000)
        self.assertEqual(self.world.running(), {})
        self.assertIs(self.world.state(JOB), JobState.PENDING)
        self.assertEqual(self.world.logged_events("task_placed"), [])
        self.world.add_workers(1)
        self.world.run(300)
        self.assertEqual(len(self.world.running()), 5)
        self.world.run(2_000)
        self.assertIs(self.world.state(JOB), JobState.DONE)

    def test_no_start_while_the_store_is_down(self) -> None:
        """Nothing starts before its record is stored."""
        self.world.store_up = False
        self.world.submit(make_job())
        self.world.run(4_000)
        self.assertEqual(self.world.running(), {})
        self.world.store_up = True
        self.world.run(3_000)
        self.assertIs(self.world.state(JOB), JobState.DONE)

    def test_draining_worker_gets_no_runs_and_loses_long_running_ones(self) -> None:
        """Long-running tasks are moved off a worker that drains."""
        self.world.work_ms = 60_000
        step = StepSpec(1, SMALL, long_running=True)
        self.world.submit(make_job(JOB, step))
        self.world.run(500)
        (place,) = self.world.running().values()
        self.world.workers[place].draining = True
        self.world.relist(place)
        self.world.run(1_500)
        (after,) = self.world.running().values()
        self.assertNotEqual(after, place)

    def test_tasks_of_a_slow_worker_run_elsewhere(self) -> None:
        """Steps end in time although one worker is seven times slower."""
        self.world.workers["w1"].speed = 1 / 7
        self.world.work_ms = 1_500
        ids = [f"{number:016x}" for number in range(4)]
        for job_id in ids:
            self.world.submit(make_job(job_id, StepSpec(8, SMALL, estimate_ms=1_500)))
        self.world.run(5_500)
        for job_id in ids:
            self.assertIs(self.world.state(job_id), JobState.DONE)

    def test_step_runs_only_where_the_advice_allows(self) -> None:
        """A queue that needs advice starts tasks with tickets and asks only once."""
        world = JobWorld(queue=attrs.evolve(QUEUE, needs_advice=True), advised={"w2"})
        world.new_owner()
        world.add_workers(4)
        world.run(200)
        world.work_ms = 4_000
        world.submit(make_job(JOB, StepSpec(3, SMALL)))
        world.run(1_000)
        self.assertEqual(set(world.running().values()), {"w2"})
        self.assertEqual(set(world.tickets), {"t-w2"})
        self.assertEqual(len(world.advice_requests), 1)
        world.run(6_000)
        self.assertIs(world.state(JOB), JobState.DONE)
        self.assertEqual(world.violations, [])


if __name__ == "__main__":
    unittest.main()
