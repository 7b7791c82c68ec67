"""Tests of placement, queue order, learned sizes and evictions, through the facade."""

import random
import unittest

from poplarlb.coordination.policy.policy import (
    ChosenWorker,
    NotPlaced,
    PlacedTask,
    Policy,
    QueuedTask,
    WorkerLoad,
)
from poplarlb.settings import PolicySettings
from poplarlb.state.models import (
    Reason,
    Resources,
    TaskKey,
    TaskReport,
    TaskSpec,
    WorkClass,
    Worker,
    WorkerReport,
    ZoneState,
)
from poplarlb.state.templates import (
    BatchTemplate,
    ConfigView,
    ServiceTemplate,
    TeamTemplate,
    ZoneEntry,
)

CAPACITY = Resources(16_000, 60_000)
SIZE = Resources(2_000, 4_000)
SERVICE = ServiceTemplate("orders", 2, SIZE, 60, weight=4.0)
KIND = BatchTemplate("slow", WorkClass.PATIENT, SIZE, max_wait_ms=5_000_000)
VIEW = ConfigView(
    1,
    tuple(
        TeamTemplate(team, (), Resources(64_000, 240_000), weight, (SERVICE,), (KIND,))
        for team, weight in (("dairy", 1.0), ("shelf", 3.0))
    ),
)
HOUR_MS = 3_600_000


def spec_of(
    name: str,
    work_class: WorkClass = WorkClass.ORDINARY,
    team: str = "dairy",
    size: Resources = SIZE,
    **fields: object,
) -> TaskSpec:
    """Return a task's specification."""
    return TaskSpec(TaskKey(team, name), work_class, size, 60_000, **fields)


def replica_of(number: int) -> TaskSpec:
    """Return a replica of the service."""
    name = f"service.orders.{number}"
    return spec_of(name, WorkClass.LATENCY_CRITICAL, service="orders")


def placed(spec: TaskSpec, **fields: object) -> PlacedTask:
    """Return a running task."""
    return PlacedTask(spec, 1, spec.size, 0, running=True, **fields)


def load_of(
    name: str,
    *tasks: PlacedTask,
    rack: str = "r0",
    zone: str = "kochi",
    capacity: Resources = CAPACITY,
    **fields: object,
) -> WorkerLoad:
    """Return a worker with its tasks."""
    free = capacity
    for task in tasks:
        free = free.minus(task.reserved)
    worker = Worker(name, zone, rack, "", capacity)
    return WorkerLoad(worker, free, tasks, **fields)


class PlacementTest(unittest.TestCase):
    """The choice of a worker."""

    def setUp(self) -> None:
        """Make a policy."""
        self.policy = Policy(PolicySettings())

    def choose(self, spec: TaskSpec, *loads: WorkerLoad, view: ConfigView = VIEW):
        """Return the policy's choice."""
        return self.policy.choose_worker(spec, spec.size, loads, view, 1_000)

    def test_exact_fit_or_reason(self) -> None:
        """A task is placed only where it fits, and each rejection is counted."""
        rng = random.Random(1)
        for _ in range(300):
            loads = [
                load_of(
                    f"w{i}",
                    zone=rng.choice(("kochi", "kollam")),
                    capacity=Resources(*(rng.randrange(6_000) for _ in range(2))),
                    usable=rng.random() < 0.8,
                )
                for i in range(6)
            ]
            spec = spec_of("s", zones=("kochi",))
            choice = self.choose(spec, *loads)
            good = {
                load.worker.worker_id
                for load in loads
                if load.usable
                and load.worker.zone == "kochi"
                and SIZE.fits_in(load.free)
            }
            if isinstance(choice, ChosenWorker):
                self.assertIn(choice.worker_id, good)
                self.assertLessEqual(len(choice.alternatives), 3 + 4)
            else:
                self.assertFalse(good)
                fits = any(
                    load.worker.zone == "kochi" and SIZE.fits_in(load.worker.capacity)
                    for load in loads
                )
                self.assertEqual(choice.never, not fits)

    def test_no_start_in_zone_that_is_out(self) -> None:
        """No task is placed in a zone that operators have taken out."""
        view = ConfigView(2, VIEW.teams, (ZoneEntry("kochi", ZoneState.OUT),))
        choice = self.choose(spec_of("s"), load_of("w0"), view=view)
        self.assertIsInstance(choice, NotPlaced)
        self.assertEqual(choice.reason, Reason.ZONE_OUT)
        self.assertEqual(choice.alternatives[0].worker_id, "1 workers")

    def test_accelerators_are_kept_for_tasks_that_need_them(self) -> None:
        """Tasks without accelerators are placed elsewhere, even if they'd pack well."""
        special = load_of(
            "w0", placed(spec_of("x")), capacity=Resources(16_000, 60_000, 2)
        )
        plain = load_of("w1")
        self.assertEqual(self.choose(spec_of("s"), special, plain).worker_id, "w1")
        accelerated = spec_of("n", size=Resources(1_000, 100, 1))
        self.assertEqual(self.choose(accelerated, special, plain).worker_id, "w0")

    def test_replicas_spread_over_racks(self) -> None:
        """A replica goes to another rack, then to another worker."""
        first = load_of("w0", placed(replica_of(0)))
        loads = (first, load_of("w1"), load_of("w2", placed(spec_of("b")), rack="r1"))
        self.assertEqual(self.choose(replica_of(1), *loads).worker_id, "w2")
        self.assertEqual(self.choose(replica_of(1), *loads[:2]).worker_id, "w1")

    def test_overdue_task_gets_capacity(self) -> None:
        """A worker is held for a large overdue task; urgent tasks may still use it."""
        large = spec_of("large", WorkClass.PATIENT, size=CAPACITY)
        queued = [QueuedTask(large, 0)]
        now_ms = 2 * HOUR_MS
        load = load_of("w0", placed(spec_of("b")))
        self.policy.order_queue(queued, {}, VIEW, now_ms)
        waits = self.policy.choose_worker(large, CAPACITY, [load], VIEW, now_ms)
        self.assertEqual(waits.reason, Reason.NO_CAPACITY)

        def start(spec: TaskSpec) -> ChosenWorker | NotPlaced:
            return self.policy.choose_worker(spec, spec.size, [load], VIEW, now_ms)

        self.assertIsInstance(start(spec_of("small")), NotPlaced)
        self.assertIsInstance(start(spec_of("u", WorkClass.URGENT)), ChosenWorker)
        load = load_of("w0")
        self.assertIsInstance(start(large), ChosenWorker)
        self.assertIsInstance(start(spec_of("small")), ChosenWorker)


class QueueOrderTest(unittest.TestCase):
    """The order of the queue."""

    def setUp(self) -> None:
        """Make a policy."""
        self.policy = Policy(PolicySettings())

    def order(self, queued: list[QueuedTask], used: dict, now_ms: int) -> list[str]:
        """Return the names of the tasks in queue order."""
        ordered = self.policy.order_queue(queued, used, VIEW, now_ms)
        self.assertCountEqual(ordered, queued)
        return [task.spec.key.task_id for task in ordered]

    def test_class_then_age(self) -> None:
        """Urgent tasks come first at any age of the others; age raises patient ones."""
        queued = [
            QueuedTask(spec_of(work_class.value, work_class), 0)
            for work_class in reversed(WorkClass)
        ]
        fresh = ["latency-critical", "urgent", "ordinary", "patient", "long-lived"]
        self.assertEqual(self.order(queued, {}, 1_000), fresh)
        late = [*queued[:2], QueuedTask(spec_of("new"), 2 * HOUR_MS)]
        aged = self.order(late, {}, 2 * HOUR_MS)
        self.assertEqual(aged, ["long-lived", "patient", "new"])

    def test_patient_work_never_starves(self) -> None:
        """A patient task starts among one start and one new ordinary task a second."""
        patient = QueuedTask(spec_of("patient", WorkClass.PATIENT), 0)
        queued = [patient, *(QueuedTask(spec_of(f"o{i}"), 0) for i in range(600))]
        for second in range(1, 4_000):
            now_ms = second * 1_000
            queued.append(QueuedTask(spec_of(f"n{second}"), now_ms))
            if second % 20:
                continue
            ordered = self.policy.order_queue(queued, {}, VIEW, now_ms)
            if patient in ordered[:20]:
                return
            queued = ordered[20:]
        self.fail("the patient task starved")

    def test_dominant_share_over_weight(self) -> None:
        """Teams get starts in proportion to their weights."""
        queued = [
            QueuedTask(spec_of(f"{team}{i}", team=team), i)
            for team in ("dairy", "shelf")
            for i in range(40)
        ]
        first = self.order(queued, {}, 1_000)[:40]
        self.assertAlmostEqual(sum(n.startswith("shelf") for n in first), 30, delta=1)
        used = {"shelf": Resources(60_000, 0)}
        first = self.order(queued, used, 1_000)[:9]
        self.assertTrue(all(name.startswith("dairy") for name in first))


class SizeTest(unittest.TestCase):
    """Sizes learned from reports."""

    def test_learned_size_is_bounded(self) -> None:
        """The reservation follows a high quantile and never exceeds capacity."""
        policy = Policy(PolicySettings())
        for number in range(20):
            spec = spec_of(f"t{number}", work_kind="k")
            cpu = 90_000 if number == 0 else 3_000 + number
            task = TaskReport(spec.key, 1, 1, "running", Resources(cpu, 1_000))
            report = WorkerReport("w0", 0, 0, (task,))
            policy.observe_report(report, load_of("w0", placed(spec)), 0)
        learned = policy.reservation_for(spec_of("next", work_kind="k"))
        self.assertEqual(learned.memory_mb, SIZE.memory_mb)
        self.assertTrue(3_010 <= learned.cpu_millis <= 3_020, learned)
        for number in range(20, 60):
            spec = spec_of(f"t{number}", work_kind="k")
            task = TaskReport(spec.key, 1, 1, "running", Resources(90_000, 90_000))
            report = WorkerReport("w0", 0, 0, (task,))
            policy.observe_report(report, load_of("w0", placed(spec)), 0)
        self.assertEqual(policy.reservation_for(spec_of("z", work_kind="k")), CAPACITY)


class EvictionTest(unittest.TestCase):
    """Evictions that free capacity for urgent tasks."""

    def test_cheapest_evictions_within_budget(self) -> None:
        """The cheapest tasks are evicted; none for ordinary tasks or over budget."""
        policy = Policy(PolicySettings(eviction_budget_per_min=2))
        size = Resources(8_000, 20_000)
        cheap = placed(spec_of("cheap", size=size))
        rigid = placed(
            spec_of("rigid", size=size, checkpointable=False), progress_ms=900
        )
        loads = [
            load_of("w0", cheap, rigid),
            load_of(
                "w1",
                *(
                    placed(spec_of(f"s{i}", WorkClass.URGENT, size=size))
                    for i in range(2)
                ),
            ),
        ]
        urgent = spec_of("u", WorkClass.URGENT, size=size)

        def evict(spec: TaskSpec, now_ms: int) -> list[str]:
            wanted = policy.choose_eviction(spec, spec.size, loads, VIEW, now_ms)
            return [item.key.task_id for item in wanted]

        self.assertEqual(evict(spec_of("o", size=size), 0), [])
        self.assertEqual(evict(urgent, 0), ["cheap"])
        self.assertEqual(evict(urgent, 1), ["cheap"])
        self.assertEqual(evict(urgent, 2), [])
        self.assertEqual(evict(urgent, 60_001), ["cheap"])


if __name__ == "__main__":
    unittest.main()
