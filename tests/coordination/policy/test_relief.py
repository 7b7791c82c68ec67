"""Harm is learned from late, noisy measurements, and relief doesn't oscillate."""

import random
import unittest
from unittest import mock

from attrs import Factory, define, evolve

from poplarlb.coordination.policy.breaches import BreachMonitor, late_share_of
from poplarlb.coordination.policy.policy import (
    EvictionWanted,
    PlacedTask,
    Policy,
    ThrottleWanted,
    WorkerRoom,
)
from poplarlb.coordination.policy.quarantine import Quarantine
from poplarlb.coordination.policy.relief import EvictionBudget
from poplarlb.settings import PolicySettings
from poplarlb.state.models import ServiceLatency, TaskSpec, WorkClass, WorkerReport
from tests.coordination.policy.test_policy import (
    VIEW,
    placed,
    replica_of,
    room_of,
    spec_of,
)

BASE_MS = 20.0
LIMIT = PolicySettings().eviction_budget_per_min


@define
class Simulation:
    """Workers with one replica each, and tasks that harm it."""

    rng: random.Random
    policy: Policy = Factory(lambda: Policy(PolicySettings()))
    rooms: list[WorkerRoom] = Factory(list)
    harm: dict[str, float] = Factory(dict)
    throttles: list[tuple[int, ThrottleWanted]] = Factory(list)
    evictions: list[tuple[int, EvictionWanted]] = Factory(list)
    second: int = 0

    def slowdown(self, room: WorkerRoom) -> float:
        """Return the true slowdown of the replica."""
        return 1 + sum(
            self.harm[task.spec.work_kind]
            * (task.reserved.cpu_millis * task.throttle_percent / 100)
            / room.worker.capacity.cpu_millis
            for task in room.tasks
            if not task.spec.service
        )

    def run(self, seconds: int, load: float = 1.0) -> None:
        """Serve requests, report with a lag, and carry out what is planned."""
        for _ in range(seconds):
            self.second += 1
            now_ms = self.second * 1_000
            for room in self.rooms:
                scale = BASE_MS * load * self.slowdown(room)
                for _ in range(20):
                    latency = scale * self.rng.lognormvariate(0, 0.35)
                    self.policy.observe_request(
                        "dairy", "orders", room.worker.worker_id, latency, now_ms
                    )
            planned = self.policy.plan_relief(self.rooms, VIEW, now_ms)
            for item in planned:
                self.carry_out(item)

    def carry_out(self, item: ThrottleWanted | EvictionWanted) -> None:
        """Limit or remove a task."""
        index = next(
            i for i, r in enumerate(self.rooms) if r.worker.worker_id == item.worker_id
        )
        room = self.rooms[index]
        if isinstance(item, EvictionWanted):
            self.evictions.append((self.second, item))
            kept = [task for task in room.tasks if task.spec.key != item.key]
        else:
            self.throttles.append((self.second, item))
            kept = [
                evolve(task, throttle_percent=item.percent)
                if task.spec.key == item.key
                else task
                for task in room.tasks
            ]
        self.rooms[index] = evolve(room, tasks=tuple(kept))

    def worst_minute(self) -> int:
        """Return the most evictions in any minute."""
        times = [second for second, _ in self.evictions]
        return max((sum(t <= s < t + 60 for s in times) for t in times), default=0)


def task_of(name: str, kind: str, cpu: int = 4_000, **fields: object) -> PlacedTask:
    """Return a running batch task."""
    spec = spec_of(name, WorkClass.PATIENT, work_kind=kind)
    spec = evolve(spec, size=evolve(spec.size, cpu_millis=cpu))
    return placed(spec, **fields)


def simulation_of(seed: int, *kinds: tuple[str, ...], **harm: float) -> Simulation:
    """Return a simulation with one worker for each tuple of kinds."""
    simulation = Simulation(random.Random(seed), harm=harm)
    for number, own in enumerate(kinds):
        tasks = [task_of(f"{number}.{i}", kind) for i, kind in enumerate(own)]
        replica = placed(replica_of(number))
        simulation.rooms.append(room_of(f"w{number}", replica, *tasks))
    return simulation


class HarmTest(unittest.TestCase):
    """The harm table."""

    def test_pairs_are_told_apart(self) -> None:
        """Estimates come near the truth, from mixtures only."""
        kinds = (("a",), ("a", "b"), ("b",), (), ("a", "a"), ("b", "b", "a"))
        simulation = simulation_of(1, *kinds, a=1.2, b=0.1)
        with mock.patch.object(Policy, "plan_relief", _only_note):
            simulation.run(120)
        harm = simulation.policy.harm
        self.assertAlmostEqual(harm.harm("dairy/orders", "dairy/a"), 1.2, delta=0.35)
        self.assertLess(harm.harm("dairy/orders", "dairy/b"), 0.35)
        self.assertGreater(harm.confidence("dairy/orders", "dairy/a"), 0.8)
        self.assertEqual(harm.confidence("dairy/orders", "dairy/c"), 0.0)
        slowed = simulation.policy.expected_slowdown("orders", simulation.rooms[4])
        self.assertAlmostEqual(slowed, 1.6, delta=0.2)

    def test_lagging_report_is_attributed_to_what_ran_then(self) -> None:
        """A report that measures the past blames the tasks of the past."""
        policy = Policy(PolicySettings())
        replica = placed(replica_of(0))
        empty = room_of("w0", replica)
        harsh = room_of("w0", replica, task_of("a", "a", 8_000))
        mild = room_of("w0", replica, task_of("b", "b", 8_000))
        rooms = (empty, harsh, mild)
        latencies = (20.0, 40.0, 20.0)
        for turn in range(120):
            now_ms = turn * 10_000
            policy.harm.note_room(rooms[turn % 3], now_ms)
            p50 = latencies[(turn - 1) % 3]
            report = WorkerReport(
                "w0",
                now_ms + 5_000,
                now_ms - 2_000,
                (),
                (ServiceLatency("orders", p50, p50 * 2, 100),),
            )
            policy.observe_report(report, rooms[turn % 3], now_ms + 5_000)
        harm = policy.harm
        self.assertGreater(harm.harm("dairy/orders", "dairy/a"), 1.0)
        self.assertLess(harm.harm("dairy/orders", "dairy/b"), 0.2)


def _only_note(policy: Policy, rooms: list, view: object, now_ms: int) -> list:
    for room in rooms:
        policy.harm.note_room(room, now_ms)
    return []


class ReliefTest(unittest.TestCase):
    """Throttling, restoring and evictions."""

    def test_likely_cause_is_throttled_first(self) -> None:
        """The harmful task is limited before the harmless one."""
        kinds = (("a", "b", "b"), ("a",), ("b",), ())
        simulation = simulation_of(2, *kinds, a=4.0, b=0.1)
        simulation.run(60)
        first = simulation.throttles[0][1]
        self.assertIn(first.key.task_id, ("0.0", "1.0"))
        limited = {item.key.task_id for _, item in simulation.throttles}
        self.assertTrue({"0.0", "1.0"} <= limited)
        self.assertNotIn("2.0", limited)
        self.assertEqual(simulation.evictions, [])

    def test_limit_is_lifted_once_clear(self) -> None:
        """After the load falls, tasks get their processors back."""
        simulation = simulation_of(3, ("a",), ("a",), (), a=2.0)
        simulation.run(60, load=2.0)
        self.assertTrue(simulation.throttles)
        simulation.run(400, load=0.5)
        percents = [task.throttle_percent for r in simulation.rooms for task in r.tasks]
        self.assertEqual(set(percents), {100})

    def test_no_oscillation(self) -> None:
        """A task that harms whenever it is restored is restored ever more rarely."""
        simulation = simulation_of(4, ("a",), ("a",), (), a=6.0)
        simulation.run(1_800)
        lifted = [s for s, item in simulation.throttles if item.percent == 100]
        per_worker = len(lifted) / 2
        self.assertLess(per_worker, 16)
        self.assertGreater(per_worker, 0)

    def test_eviction_budget(self) -> None:
        """Services beyond help cost no more than the budget each minute."""
        kinds = [("a", "a", "a")] * 8
        simulation = simulation_of(5, *kinds, (), a=4.0)
        simulation.run(300, load=3.0)
        self.assertGreater(len(simulation.evictions), 0)
        self.assertLessEqual(simulation.worst_minute(), LIMIT)
        last: dict[str, int] = {}
        cooldown_s = PolicySettings().worker_cooldown_ms // 1_000
        for second, item in simulation.evictions:
            previous = last.get(item.worker_id, -cooldown_s)
            self.assertGreaterEqual(second - previous, cooldown_s)
            last[item.worker_id] = second

    def test_planted_fault_breaks_the_budget(self) -> None:
        """The check of the budget trips if nothing is counted."""
        simulation = simulation_of(5, *[("a", "a", "a")] * 8, (), a=4.0)
        with mock.patch.object(EvictionBudget, "take", lambda budget, now_ms: None):
            simulation.run(300, load=3.0)
        self.assertGreater(simulation.worst_minute(), LIMIT)

    def test_harmless_tasks_are_left_alone(self) -> None:
        """Noise moves nothing; a jump of load evicts nothing."""
        for seed in (6, 7, 8):
            kinds = (("b",), ("b", "b"), (), ())
            simulation = simulation_of(seed, *kinds, b=0.0)
            simulation.run(300)
            self.assertEqual(simulation.throttles, [])
            simulation.run(120, load=3.0)
            self.assertEqual(simulation.evictions, [])

    def test_no_start_while_in_breach(self) -> None:
        """A worker in breach gets no new batch work, but urgent work."""
        simulation = simulation_of(7, ("a", "a"), a=6.0)
        simulation.run(8)
        now_ms = simulation.second * 1_000

        def worker_for(work_class: WorkClass) -> str:
            spec: TaskSpec = spec_of("new", work_class)
            choice = simulation.policy.choose_worker(
                spec, spec.size, simulation.rooms, VIEW, now_ms
            )
            return getattr(choice, "worker_id", choice)

        self.assertEqual(worker_for(WorkClass.URGENT), "w0")
        self.assertNotEqual(worker_for(WorkClass.ORDINARY), "w0")


class BreachTest(unittest.TestCase):
    """Breaches of a target."""

    def test_hysteresis(self) -> None:
        """A breach clears only at half of the share that began it."""
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
                monitor.note("s", "w", i < late, now_ms)
            self.assertEqual(monitor.check("s", "w", now_ms).breached, breached)

    def test_reports_alone_reveal_a_breach(self) -> None:
        """Where no request is seen, lagging reports lead to a limit."""
        policy = Policy(PolicySettings())
        replica, task = placed(replica_of(0)), task_of("a", "a")
        room = room_of("w0", replica, task)
        planned = []
        for second in range(1, 31):
            now_ms = second * 1_000
            if second % 10 == 0:
                latencies = (ServiceLatency("orders", 40.0, 90.0, 500),)
                report = WorkerReport("w0", now_ms, now_ms - 5_000, (), latencies)
                policy.observe_report(report, room, now_ms)
            planned += policy.plan_relief([room], VIEW, now_ms)
        self.assertTrue(planned)
        self.assertIsInstance(planned[0], ThrottleWanted)
        share = late_share_of(ServiceLatency("s", 10.0, 20.0, 9), 20.0)
        self.assertEqual(share, 0.0)
        share = late_share_of(ServiceLatency("s", 10.0, 20.0, 9), 19.99)
        self.assertAlmostEqual(share, 0.01, delta=0.001)


class MemoryTest(unittest.TestCase):
    """Nothing grows with the names that callers choose, or with replaced hosts."""

    def test_tables_are_bounded(self) -> None:
        """Many kinds of work and many workers leave bounded tables."""
        policy = Policy(PolicySettings())
        replica = placed(replica_of(0))
        for number in range(6_000):
            task = task_of(f"t{number}", f"kind{number}")
            room = room_of(f"w{number}", replica, task)
            policy.plan_relief([room], VIEW, number * 1_000)
            latencies = (ServiceLatency("orders", 40.0, 90.0, 500),)
            at_ms = number * 1_000 + 1
            report = WorkerReport(f"w{number}", at_ms, at_ms, (), latencies)
            policy.observe_report(report, room, at_ms)
            spec = task.spec
            policy.observe_end(spec, f"w{number}", number % 2 == 0, 1_000, at_ms)
            lasting = spec_of("lasting", work_kind="lasting")
            policy.observe_end(lasting, f"w{number}", False, 0, at_ms)
        self.assertLessEqual(len(policy.sizes.kinds), 1_000)
        self.assertLessEqual(len(policy.harm.pairs), 5_000)
        self.assertLessEqual(len(policy.quarantine.kind_failed_at), 2_000)
        for table in (policy.harm.histories, policy.breaches.shares):
            self.assertLessEqual(len(table), 2)
        self.assertLessEqual(len(policy.quarantine.workers), 2)


class QuarantineTest(unittest.TestCase):
    """Failing workers and failing jobs."""

    def setUp(self) -> None:
        """Make a quarantine."""
        self.quarantine = Quarantine(PolicySettings(), known_workers=12)

    def end(self, worker: str, job: str, succeeded: bool, now_ms: int = 0) -> None:
        """Note the end of an attempt."""
        spec = spec_of(job, work_kind=job.partition("-")[0])
        self.quarantine.note_end(spec, worker, succeeded, now_ms)

    def test_bad_worker_is_probed_and_comes_back(self) -> None:
        """Three failed jobs, a failed probe with backoff, a good probe."""
        for number in range(3):
            for good in range(4):
                self.end(f"w{good}", f"g-{number}{good}", True)
            self.end("bad", f"k{number}-x", False)
        self.assertEqual(self.quarantine.barred(0), ("bad",))
        self.assertEqual(self.quarantine.barred(59_999), ("bad",))
        self.assertEqual(self.quarantine.barred(60_000), ())
        probe = spec_of("p-1", work_kind="p")
        self.quarantine.start_probe("bad", probe.key, 60_000)
        self.assertEqual(self.quarantine.barred(60_001), ("bad",))
        self.end("bad", "p-1", False, 61_000)
        self.assertEqual(self.quarantine.barred(180_000), ("bad",))
        self.assertEqual(self.quarantine.barred(181_000), ())
        self.quarantine.start_probe("bad", probe.key, 181_000)
        self.end("bad", "p-1", True, 182_000)
        self.assertEqual(self.quarantine.barred(182_000), ())

    def test_job_that_fails_everywhere_bars_nobody(self) -> None:
        """Failing jobs, and failing kinds of work, are not the workers' fault."""
        for number in range(60):
            self.end(f"w{number % 12}", "j-1", False)
            self.end(f"w{number % 12}", f"kind-{number}", False)
        self.assertEqual(self.quarantine.barred(0), ())

    def test_share_of_workers_is_bounded(self) -> None:
        """However many workers fail, most of them stay in use."""
        for number in range(12):
            for job in range(8):
                self.end("good", f"g-{number}.{job}", True)
                self.end(f"w{number}", f"u{number}{job}-x", False)
        self.assertLessEqual(len(self.quarantine.barred(0)), 3)


if __name__ == "__main__":
    unittest.main()
