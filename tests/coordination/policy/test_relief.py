"""Tests of learned interference, throttling, evictions, breaches and quarantine."""

import random
import unittest
from unittest import mock

from attrs import Factory, define, evolve

from poplarlb.coordination.policy.breaches import BreachMonitor, late_share_of
from poplarlb.coordination.policy.policy import (
    EvictionRequested,
    PlacedTask,
    Policy,
    ThrottleRequested,
    WorkerLoad,
)
from poplarlb.coordination.policy.quarantine import Quarantine
from poplarlb.coordination.policy.relief import EvictionBudget
from poplarlb.settings import PolicySettings
from poplarlb.state.models import ServiceLatency, TaskSpec, WorkClass, WorkerReport
from tests.coordination.policy.test_policy import (
    VIEW,
    load_of,
    placed,
    replica_of,
    spec_of,
)

BASE_MS = 20.0
LIMIT = PolicySettings().eviction_budget_per_min


@define
class Simulation:
    """Workers with one replica each, and batch tasks that interfere with it."""

    rng: random.Random
    policy: Policy = Factory(lambda: Policy(PolicySettings()))
    loads: list[WorkerLoad] = Factory(list)
    interference: dict[str, float] = Factory(dict)
    throttles: list[tuple[int, ThrottleRequested]] = Factory(list)
    evictions: list[tuple[int, EvictionRequested]] = Factory(list)
    second: int = 0

    def slowdown(self, load: WorkerLoad) -> float:
        """Return the true slowdown of the replica."""
        return 1 + sum(
            self.interference[task.spec.work_kind]
            * (task.reserved.cpu_millis * task.throttle_percent / 100)
            / load.worker.capacity.cpu_millis
            for task in load.tasks
            if not task.spec.service
        )

    def run(self, seconds: int, load_factor: float = 1.0) -> None:
        """Observe requests every second and carry out the planned relief."""
        for _ in range(seconds):
            self.second += 1
            now_ms = self.second * 1_000
            for load in self.loads:
                scale = BASE_MS * load_factor * self.slowdown(load)
                for _ in range(20):
                    latency = scale * self.rng.lognormvariate(0, 0.35)
                    self.policy.observe_request(
                        "dairy", "orders", load.worker.worker_id, latency, now_ms
                    )
            planned = self.policy.plan_relief(self.loads, VIEW, now_ms)
            for item in planned:
                self.carry_out(item)

    def carry_out(self, item: ThrottleRequested | EvictionRequested) -> None:
        """Throttle or remove a task."""
        index = next(
            i for i, r in enumerate(self.loads) if r.worker.worker_id == item.worker_id
        )
        load = self.loads[index]
        if isinstance(item, EvictionRequested):
            self.evictions.append((self.second, item))
            kept = [task for task in load.tasks if task.spec.key != item.key]
        else:
            self.throttles.append((self.second, item))
            kept = [
                evolve(task, throttle_percent=item.percent)
                if task.spec.key == item.key
                else task
                for task in load.tasks
            ]
        self.loads[index] = evolve(load, tasks=tuple(kept))

    def worst_minute(self) -> int:
        """Return the most evictions in any minute."""
        times = [second for second, _ in self.evictions]
        return max((sum(t <= s < t + 60 for s in times) for t in times), default=0)


def task_of(name: str, kind: str, cpu: int = 4_000, **fields: object) -> PlacedTask:
    """Return a running batch task."""
    spec = spec_of(name, WorkClass.PATIENT, work_kind=kind)
    spec = evolve(spec, size=evolve(spec.size, cpu_millis=cpu))
    return placed(spec, **fields)


def simulation_of(
    seed: int, *kinds: tuple[str, ...], **interference: float
) -> Simulation:
    """Return a simulation with one worker for each tuple of kinds."""
    simulation = Simulation(random.Random(seed), interference=interference)
    for number, own in enumerate(kinds):
        tasks = [task_of(f"{number}.{i}", kind) for i, kind in enumerate(own)]
        replica = placed(replica_of(number))
        simulation.loads.append(load_of(f"w{number}", replica, *tasks))
    return simulation


class InterferenceTest(unittest.TestCase):
    """Learning the interference of pairs."""

    def test_pairs_are_told_apart(self) -> None:
        """Estimates come close to the true values, from mixtures only."""
        kinds = (("a",), ("a", "b"), ("b",), (), ("a", "a"), ("b", "b", "a"))
        simulation = simulation_of(1, *kinds, a=1.2, b=0.1)
        with mock.patch.object(Policy, "plan_relief", _only_record):
            simulation.run(120)
        interference = simulation.policy.interference
        self.assertAlmostEqual(
            interference.interference("dairy/orders", "dairy/a"), 1.2, delta=0.35
        )
        self.assertLess(interference.interference("dairy/orders", "dairy/b"), 0.35)
        self.assertGreater(interference.confidence("dairy/orders", "dairy/a"), 0.8)
        self.assertEqual(interference.confidence("dairy/orders", "dairy/c"), 0.0)
        slowdown = simulation.policy.expected_slowdown("orders", simulation.loads[4])
        self.assertAlmostEqual(slowdown, 1.6, delta=0.2)

    def test_lagging_report_is_attributed_to_what_ran_then(self) -> None:
        """A late report is attributed to the tasks that ran when it was measured."""
        policy = Policy(PolicySettings())
        replica = placed(replica_of(0))
        empty = load_of("w0", replica)
        strong = load_of("w0", replica, task_of("a", "a", 8_000))
        weak = load_of("w0", replica, task_of("b", "b", 8_000))
        loads = (empty, strong, weak)
        latencies = (20.0, 40.0, 20.0)
        for turn in range(120):
            now_ms = turn * 10_000
            policy.interference.record_running(loads[turn % 3], now_ms)
            p50 = latencies[(turn - 1) % 3]
            report = WorkerReport(
                "w0",
                now_ms + 5_000,
                now_ms - 2_000,
                (),
                (ServiceLatency("orders", p50, p50 * 2, 100),),
            )
            policy.observe_report(report, loads[turn % 3], now_ms + 5_000)
        interference = policy.interference
        self.assertGreater(interference.interference("dairy/orders", "dairy/a"), 1.0)
        self.assertLess(interference.interference("dairy/orders", "dairy/b"), 0.2)


def _only_record(policy: Policy, loads: list, view: object, now_ms: int) -> list:
    for load in loads:
        policy.interference.record_running(load, now_ms)
    return []


class ReliefTest(unittest.TestCase):
    """Throttles, their lifting, and evictions."""

    def test_likely_cause_is_throttled_first(self) -> None:
        """The task that interferes is throttled before the one that doesn't."""
        kinds = (("a", "b", "b"), ("a",), ("b",), ())
        simulation = simulation_of(2, *kinds, a=4.0, b=0.1)
        simulation.run(60)
        first = simulation.throttles[0][1]
        self.assertIn(first.key.task_id, ("0.0", "1.0"))
        throttled = {item.key.task_id for _, item in simulation.throttles}
        self.assertTrue({"0.0", "1.0"} <= throttled)
        self.assertNotIn("2.0", throttled)
        self.assertEqual(simulation.evictions, [])

    def test_throttle_is_lifted_once_clear(self) -> None:
        """Throttles are lifted after the load has fallen."""
        simulation = simulation_of(3, ("a",), ("a",), (), a=2.0)
        simulation.run(60, load_factor=2.0)
        self.assertTrue(simulation.throttles)
        simulation.run(400, load_factor=0.5)
        percents = [task.throttle_percent for r in simulation.loads for task in r.tasks]
        self.assertEqual(set(percents), {100})

    def test_no_oscillation(self) -> None:
        """A throttle is lifted ever more rarely if each time a breach follows."""
        simulation = simulation_of(4, ("a",), ("a",), (), a=6.0)
        simulation.run(1_800)
        lifted = [s for s, item in simulation.throttles if item.percent == 100]
        per_worker = len(lifted) / 2
        self.assertLess(per_worker, 16)
        self.assertGreater(per_worker, 0)

    def test_eviction_budget(self) -> None:
        """Services that stay in breach cause no more evictions than the budget."""
        kinds = [("a", "a", "a")] * 8
        simulation = simulation_of(5, *kinds, (), a=4.0)
        simulation.run(300, load_factor=3.0)
        self.assertGreater(len(simulation.evictions), 0)
        self.assertLessEqual(simulation.worst_minute(), LIMIT)
        last: dict[str, int] = {}
        cooldown_s = PolicySettings().worker_cooldown_ms // 1_000
        for second, item in simulation.evictions:
            previous = last.get(item.worker_id, -cooldown_s)
            self.assertGreaterEqual(second - previous, cooldown_s)
            last[item.worker_id] = second

    def test_injected_fault_exceeds_the_budget(self) -> None:
        """The check of the budget fails if evictions aren't counted."""
        simulation = simulation_of(5, *[("a", "a", "a")] * 8, (), a=4.0)
        with mock.patch.object(EvictionBudget, "take", lambda budget, now_ms: None):
            simulation.run(300, load_factor=3.0)
        self.assertGreater(simulation.worst_minute(), LIMIT)

    def test_harmless_tasks_are_not_throttled(self) -> None:
        """Noise causes no throttle; a jump of load causes no eviction."""
        for seed in (6, 7, 8):
            kinds = (("b",), ("b", "b"), (), ())
            simulation = simulation_of(seed, *kinds, b=0.0)
            simulation.run(300)
            self.assertEqual(simulation.throttles, [])
            simulation.run(120, load_factor=3.0)
            self.assertEqual(simulation.evictions, [])

    def test_no_start_while_in_breach(self) -> None:
        """A worker in breach gets urgent tasks but no other batch tasks."""
        simulation = simulation_of(7, ("a", "a"), a=6.0)
        simulation.run(8)
        now_ms = simulation.second * 1_000

        def worker_for(work_class: WorkClass) -> str:
            spec: TaskSpec = spec_of("new", work_class)
            choice = simulation.policy.choose_worker(
                spec, spec.size, simulation.loads, VIEW, now_ms
            )
            return getattr(choice, "worker_id", choice)

        self.assertEqual(worker_for(WorkClass.URGENT), "w0")
        self.assertNotEqual(worker_for(WorkClass.ORDINARY), "w0")


class BreachTest(unittest.TestCase):
    """Breaches of a target."""

    def test_hysteresis(self) -> None:
        """A breach ends only at half of the share that began it."""
        monitor = BreachMonitor(PolicySettings(breach_share=0.2))
        for number, late, breached in (
            (0, 10, False),
            (1, 25, True),
            (2, 15, True),
            (3, 5, False),
            (4, 15, False),
        ):
            now_ms = number * 10_000
            for i in range(100):
                monitor.record("s", "w", i < late, now_ms)
            self.assertEqual(monitor.check("s", "w", now_ms).breached, breached)

    def test_reports_alone_reveal_a_breach(self) -> None:
        """Where no request is observed, worker reports lead to a throttle."""
        policy = Policy(PolicySettings())
        replica, task = placed(replica_of(0)), task_of("a", "a")
        load = load_of("w0", replica, task)
        planned = []
        for second in range(1, 31):
            now_ms = second * 1_000
            if second % 10 == 0:
                latencies = (ServiceLatency("orders", 40.0, 90.0, 500),)
                report = WorkerReport("w0", now_ms, now_ms - 5_000, (), latencies)
                policy.observe_report(report, load, now_ms)
            planned += policy.plan_relief([load], VIEW, now_ms)
        self.assertTrue(planned)
        self.assertIsInstance(planned[0], ThrottleRequested)
        share = late_share_of(ServiceLatency("s", 10.0, 20.0, 9), 20.0)
        self.assertEqual(share, 0.0)
        share = late_share_of(ServiceLatency("s", 10.0, 20.0, 9), 19.99)
        self.assertAlmostEqual(share, 0.01, delta=0.001)


class MemoryTest(unittest.TestCase):
    """No table grows with names that callers choose, or with replaced hosts."""

    def test_tables_are_bounded(self) -> None:
        """The tables stay bounded with many kinds of work and many workers."""
        policy = Policy(PolicySettings())
        replica = placed(replica_of(0))
        for number in range(6_000):
            task = task_of(f"t{number}", f"kind{number}")
            load = load_of(f"w{number}", replica, task)
            policy.plan_relief([load], VIEW, number * 1_000)
            latencies = (ServiceLatency("orders", 40.0, 90.0, 500),)
            at_ms = number * 1_000 + 1
            report = WorkerReport(f"w{number}", at_ms, at_ms, (), latencies)
            policy.observe_report(report, load, at_ms)
            spec = task.spec
            policy.observe_end(spec, f"w{number}", number % 2 == 0, 1_000, at_ms)
            repeated = spec_of("repeated", work_kind="repeated")
            policy.observe_end(repeated, f"w{number}", False, 0, at_ms)
        self.assertLessEqual(len(policy.sizes.kinds), 1_000)
        self.assertLessEqual(len(policy.interference.pairs), 5_000)
        self.assertLessEqual(len(policy.quarantine.failed_workers_by_kind), 2_000)
        for table in (policy.interference.histories, policy.breaches.states):
            self.assertLessEqual(len(table), 2)
        self.assertLessEqual(len(policy.quarantine.workers), 2)


class QuarantineTest(unittest.TestCase):
    """Failing workers and failing jobs."""

    def setUp(self) -> None:
        """Make a quarantine."""
        self.quarantine = Quarantine(PolicySettings(), known_workers=12)

    def end(self, worker: str, job: str, succeeded: bool, now_ms: int = 0) -> None:
        """Record the end of an attempt."""
        spec = spec_of(job, work_kind=job.partition("-")[0])
        self.quarantine.record_end(spec, worker, succeeded, now_ms)

    def test_bad_worker_is_probed_and_comes_back(self) -> None:
        """Three failed jobs, a failed probe with backoff, a good probe."""
        for number in range(3):
            for good in range(4):
                self.end(f"w{good}", f"g-{number}{good}", True)
            self.end("bad", f"k{number}-x", False)
        self.assertEqual(self.quarantine.excluded_workers(0), ("bad",))
        self.assertEqual(self.quarantine.excluded_workers(59_999), ("bad",))
        self.assertEqual(self.quarantine.excluded_workers(60_000), ())
        probe = spec_of("p-1", work_kind="p")
        self.quarantine.start_probe("bad", probe.key, 60_000)
        self.assertEqual(self.quarantine.excluded_workers(60_001), ("bad",))
        self.end("bad", "p-1", False, 61_000)
        self.assertEqual(self.quarantine.excluded_workers(180_000), ("bad",))
        self.assertEqual(self.quarantine.excluded_workers(181_000), ())
        self.quarantine.start_probe("bad", probe.key, 181_000)
        self.end("bad", "p-1", True, 182_000)
        self.assertEqual(self.quarantine.excluded_workers(182_000), ())

    def test_job_that_fails_everywhere_excludes_no_worker(self) -> None:
        """Failing jobs and failing kinds of work are not the workers' fault."""
        for number in range(60):
            self.end(f"w{number % 12}", "j-1", False)
            self.end(f"w{number % 12}", f"kind-{number}", False)
        self.assertEqual(self.quarantine.excluded_workers(0), ())

    def test_share_of_workers_is_bounded(self) -> None:
        """However many workers fail, most of them stay in use."""
        for number in range(12):
            for job in range(8):
                self.end("good", f"g-{number}.{job}", True)
                self.end(f"w{number}", f"u{number}{job}-x", False)
        self.assertLessEqual(len(self.quarantine.excluded_workers(0)), 3)


if __name__ == "__main__":
    unittest.main()
