"""Tests that the soak's checker detects each kind of violation that is driven here."""

import unittest

from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import FakeWorker, LiveRun
from tests.soak.invariants import InvariantChecker, SubmittedJob
from tests.soak.link import Link
from tests.standins.users_platform import KvTable, WorkerService

JOB_ID = "0" * 16
TASK = f"{JOB_ID}.0.0.0"


class CheckerTest(unittest.TestCase):
    """One accepted job of one task, and two workers without servers."""

    def setUp(self) -> None:
        """Create them."""
        self.workers = WorkerService(KvTable())
        for number in range(2):
            worker = FakeWorker(f"w{number}", incarnation=1_000)
            self.workers.workers[worker.worker_id] = worker
        self.checker = InvariantChecker(self.workers)
        step = {"count": 1, "cpu": 2_000, "memMb": 256}
        self.job = SubmittedJob(JOB_ID, [step], statuses=[200])
        self.checker.jobs[JOB_ID] = self.job

    def start(self, run: int, worker_id: str = "w0", now_s: float = 0.0) -> None:
        """Start a run of the task and have the checker look."""
        worker = self.workers.workers[worker_id]
        worker.runs[TASK, run] = LiveRun(TASK, run, worker.clock_ms, work_ms=1_000)
        self.checker.check(now_s)

    def crash(self, worker_id: str = "w0") -> None:
        """Crash a worker and start its next incarnation."""
        worker = self.workers.workers[worker_id]
        self.workers.record_crash(worker)
        worker.restart(worker.incarnation + 1_000)

    def crash_repeatedly(self, count: int) -> None:
        """Start the task and crash its worker a number of times."""
        for run in range(1, count + 1):
            self.start(run, f"w{run % 2}")
            self.crash(f"w{run % 2}")

    def report(self, state: str) -> list[str]:
        """Report a state of the job and return all violations."""
        self.checker.check_reported_state(self.job, state, 0.0)
        return self.checker.violations


class BudgetTest(CheckerTest):
    """Tasks that crash the workers that start them."""

    def test_third_start_after_three_crashes_is_found(self) -> None:
        """Two starts after three crashes are allowed, the next one is not."""
        self.workers.deadly_tasks.add(TASK)
        self.crash_repeatedly(5)
        self.assertEqual(self.checker.violations, [])
        self.start(6)
        self.assertEqual([line[:6] for line in self.checker.violations], ["BUDGET"])

    def test_other_tasks_may_start_after_crashes(self) -> None:
        """A task that doesn't crash its workers has no such limit."""
        self.crash_repeatedly(8)
        self.assertEqual(self.checker.violations, [])

    def test_job_failed_after_one_crash_is_found(self) -> None:
        """One crash under a task doesn't show that the task caused it."""
        self.crash_repeatedly(1)
        self.crash("w1")
        self.assertIn("failed", self.report("failed")[0])

    def test_job_may_be_failed_after_two_crashes(self) -> None:
        """Two crashes under a task are enough, whatever caused them."""
        self.crash_repeatedly(2)
        self.assertEqual(self.report("failed"), [])
        self.checker.check_final_state()
        self.assertEqual(self.checker.violations, [])

    def test_deadly_job_that_does_not_end_is_found(self) -> None:
        """A deadly job must end as well."""
        self.workers.deadly_tasks.add(TASK)
        self.crash_repeatedly(3)
        self.report("active")
        self.checker.check_final_state()
        self.assertEqual([line[:4] for line in self.checker.violations], ["LOST"])


class CapacityTest(CheckerTest):
    """Workers whose capacity changes while they run."""

    def setUp(self) -> None:
        """Create a worker whose capacity shrank below the task's size at 10 s."""
        super().setUp()
        self.worker = self.workers.workers["w0"]
        self.workers.addresses["w0"] = "address"
        self.link = self.checker.links["address"] = Link("address", "target")
        self.workers.record_capacity(self.worker, 1.0)
        self.resize(1_000, 10.0)

    def resize(self, cpu_millis: int, now_s: float) -> None:
        """Change the worker's capacity."""
        self.worker.capacity = Resources(cpu_millis, 64_000)
        self.workers.record_capacity(self.worker, now_s)

    def test_start_after_the_limit_is_found(self) -> None:
        """The smaller capacity must be kept 4.5 s after it was written."""
        self.start(1, now_s=14.6)
        self.assertEqual(len(self.checker.violations), 1)

    def test_start_before_the_limit_and_its_run_are_allowed(self) -> None:
        """Until then the larger one counts; what runs may stay."""
        self.start(1, now_s=14.4)
        self.checker.check(20.0)
        self.assertEqual(self.checker.violations, [])

    def test_delayed_start_is_allowed(self) -> None:
        """A start that a link has delayed goes by the time when it was sent."""
        self.link.late_chunks.append((14.0, 16.0))
        self.start(1, now_s=16.0)
        self.assertEqual(self.checker.violations, [])

    def test_start_sent_after_a_delayed_call_is_found(self) -> None:
        """Only what a link has just forwarded may have been sent earlier."""
        self.link.late_chunks.append((14.0, 16.0))
        self.start(1, now_s=16.2)
        self.assertEqual(len(self.checker.violations), 1)

    def test_start_after_growth_is_allowed(self) -> None:
        """A larger capacity counts at once, however short the smaller one was."""
        self.resize(2_000, 16.0)
        self.start(1, now_s=16.1)
        self.assertEqual(self.checker.violations, [])

    def test_fixed_capacity_is_checked_at_any_time(self) -> None:
        """Without a change, what runs must fit also when nothing starts."""
        self.start(1, "w1")
        self.workers.workers["w1"].capacity = Resources(1_000, 64_000)
        self.checker.check(1.0)
        self.assertEqual(len(self.checker.violations), 1)


if __name__ == "__main__":
    unittest.main()
