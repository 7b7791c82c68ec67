"""CPU time of single policy decisions in large shards."""

import time
from collections.abc import Callable

from bench.loads import KITAKAZE
from bench.rows import Row, save_rows
from poplarlb.coordination.policy.policy import (
    PlacedTask,
    Policy,
    QueuedTask,
    WorkerLoad,
)
from poplarlb.settings import PolicySettings
from poplarlb.state.models import Resources, TaskKey, TaskSpec, WorkClass, Worker

SHARD_SIZES = (40, 150)
BATCH_TASKS_PER_WORKER = 9
QUEUE_SIZES = (200, 20_000)
TEAMS = 130
SIZE = Resources(4_000, 12_000)


def make_worker_loads(count: int) -> list[WorkerLoad]:
    """Return workers that each run one replica and some batch tasks."""
    return [_make_worker_load(number) for number in range(count)]


def _make_worker_load(number: int) -> WorkerLoad:
    worker = Worker(f"w{number}", "sapporo", f"r{number // 10}", "", KITAKAZE.capacity)
    replica = TaskSpec(
        TaskKey("kitakaze", f"service.reorders.{number}"),
        WorkClass.LATENCY_CRITICAL,
        SIZE,
        service="reorders",
    )
    specs = [
        replica,
        *(make_task(number * 100 + i) for i in range(BATCH_TASKS_PER_WORKER)),
    ]
    tasks = tuple(PlacedTask(spec, 1, SIZE, 0, True) for spec in specs)
    free = worker.capacity
    for task in tasks:
        free = free.minus(task.reserved)
    return WorkerLoad(worker, free, tasks)


def make_task(number: int) -> TaskSpec:
    """Return a batch task whose kind and team depend on its number."""
    kind = KITAKAZE.kinds[number % len(KITAKAZE.kinds)]
    team = f"team{number % TEAMS}" if number % 3 else "kitakaze"
    key = TaskKey(team, f"t{number}")
    return TaskSpec(key, kind.work_class, SIZE, 60_000, kind.name)


def cpu_us_per_call(call: Callable[[], object], seconds: float = 0.5) -> float:
    """Return the CPU time of one call in microseconds."""
    calls = 0
    began = time.process_time()
    while time.process_time() - began < seconds:
        call()
        calls += 1
    return (time.process_time() - began) / calls * 1e6


def measure_shard(size: int) -> list[Row]:
    """Measure one placement and one round of relief in a shard."""
    view = KITAKAZE.make_view()
    policy = Policy(PolicySettings())
    worker_loads = make_worker_loads(size)
    spec = make_task(1)

    def place() -> None:
        policy.choose_worker(spec, SIZE, worker_loads, view, 0)

    def relieve() -> None:
        policy.next_relief_ms = 0
        policy.plan_relief(worker_loads, view, 1_000)

    return [
        Row(f"placement among {size} workers", "us", cpu_us_per_call(place)),
        Row(f"relief of {size} workers", "us", cpu_us_per_call(relieve)),
    ]


def measure_order(size: int) -> Row:
    """Measure how long it takes to order a queue."""
    view = KITAKAZE.make_view()
    policy = Policy(PolicySettings())
    queued = [QueuedTask(make_task(i), i) for i in range(size)]

    def order() -> None:
        policy.order_queue(queued, {}, view, 1_000_000)

    return Row(f"order of {size} waiting tasks", "us", cpu_us_per_call(order))


def main() -> list[Row]:
    """Measure placements, relief and queue orders, and print the rows."""
    rows = [row for size in SHARD_SIZES for row in measure_shard(size)]
    rows += [measure_order(size) for size in QUEUE_SIZES]
    save_rows("decisions", rows)
    return rows


if __name__ == "__main__":
    main()
