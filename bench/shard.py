"""CPU time, memory and replay of one shard: ``python -m bench.shard``.

Drives the shard's state machine with a simulated clock. Journal entries are kept in
memory and count as committed at once.
"""

import collections
import functools
import gc
import time
import tracemalloc
from collections.abc import Callable

from attrs import define, evolve, field

from bench.rows import Row, save_rows
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.sharding import ShardMap
from poplarlb.coordination.policy.policy import Policy
from poplarlb.coordination.shards.effects import Effects, Resume
from poplarlb.coordination.shards.shard_core import ShardCore
from poplarlb.coordination.shards.shard_host import CHANGES, ShardHost
from poplarlb.coordination.shards.shard_state_machine import ShardStateMachine
from poplarlb.protocol import api, codec, ports
from poplarlb.settings import Settings, ShardSettings
from poplarlb.state.changes import Change
from poplarlb.state.models import (
    Resources,
    TaskKey,
    TaskReport,
    TaskSpec,
    Worker,
    WorkerReport,
)
from poplarlb.state.models import WorkClass as Kind
from poplarlb.state.shard_state import ShardState
from poplarlb.state.snapshot import SnapshotWriter, decode_state
from poplarlb.state.templates import ConfigView, TeamTemplate

ZONE = "a"
SHARD = "a/0"
CAPACITY = Resources(64_000, 250_000)
SIZE = Resources(1_000, 1_000)
QUOTA = Resources(100_000_000, 400_000_000)
START_MS = 1_700_000_000_000
TASKS_PER_REPORT = 12
SIZES = (25, 100, 400, 1_600)
WORKERS_PER_SHARD = 40
DECISIONS_KEPT = 2_000
_CONVERTER = codec.make_converter((Change,))


@define
class SimulatedShard:
    """One shard whose workers answer every call immediately."""

    workers: int
    now_ms: int = START_MS
    entries: list[bytes] = field(factory=list)
    calls: int = 0
    running: dict[str, dict] = field(factory=dict)
    machine: ShardStateMachine = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the state machine and let it contact its workers."""
        settings = Settings("d1", ZONE, shards=ShardSettings((ZONE,), 1))
        shards = ShardMap.from_settings(settings.shards)
        team = TeamTemplate("dairy", (ZONE,), QUOTA)
        context = NodeContext(settings, ConfigView(1, (team,)))
        context.view_confirmed_ms = self.now_ms
        names = [f"w{number}" for number in range(self.workers)]
        workers = [Worker(name, ZONE, name[:2], name, CAPACITY) for name in names]
        context.set_workers(tuple(workers), shards)
        core = ShardCore(
            context,
            shards,
            SHARD,
            1,
            self.now_ms,
            ShardState(),
            Policy(settings.policy),
            tuple,
            self.now_ms,
        )
        self.machine = ShardStateMachine(core)
        self.advance(1_000)

    def handle(self, event: ports.Event) -> None:
        """Handle an event and apply all its effects."""
        self.apply_effects(self.machine.handle(event, self.now_ms))

    def apply_effects(self, effects: Effects) -> None:
        """Record the changes as committed and answer the calls to workers."""
        if effects.changes:
            data = codec.encode(tuple(effects.changes), CHANGES, _CONVERTER)
            self.entries.append(data)
        for command in (*effects.immediate, *effects.after_commit):
            match command:
                case Resume(step=step):
                    self.apply_effects(self.machine.resume(step, self.now_ms))
                case ports.WorkerCall():
                    self.answer_call(command)

    def answer_call(self, call: ports.WorkerCall) -> None:
        """Answer a call as a worker that carries out every start."""
        self.calls += 1
        tasks = self.running.setdefault(call.worker_id, {})
        for operation in call.batch.operations:
            if isinstance(operation, ports.StartTask):
                tasks[operation.spec.key] = TaskReport(
                    operation.spec.key, operation.attempt, 1, "running", SIZE
                )
        report = WorkerReport(
            call.worker_id, self.now_ms, self.now_ms, tuple(tasks.values())
        )
        answer = ports.WorkerAnswer((), report)
        self.handle(ports.WorkerReplied(call.call_id, call.worker_id, answer))

    def advance(self, duration_ms: int, step_ms: int = 50) -> None:
        """Advance the clock with ticks; view and ownership stay confirmed."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            self.machine.core.context.view_confirmed_ms = self.now_ms
            self.machine.core.ownership_confirmed_ms = self.now_ms
            self.handle(ports.Tick())

    def submit(self, first: int, count: int) -> None:
        """Submit tasks, and advance the clock after every fourth."""
        for number in range(first, first + count):
            key = TaskKey("dairy", f"job-{number}")
            spec = TaskSpec(key, Kind.URGENT, SIZE, 600_000, submitted_ms=self.now_ms)
            self.handle(ports.ApiRequested(number, api.SubmitTask(spec)))
            if number % 4 == 3:
                self.advance(50)

    def finish(self, count: int) -> None:
        """Let some tasks succeed and run until they are reported."""
        for tasks in self.running.values():
            for key in list(tasks)[: max(1, count // len(self.running))]:
                tasks[key] = evolve(tasks[key], state="succeeded")
        self.advance(12_000)


def cpu_us(action: Callable[[], object], count: int) -> float:
    """Return the CPU microseconds of an action per item, for ``count`` items."""
    began_ns = time.process_time_ns()
    action()
    return (time.process_time_ns() - began_ns) / 1_000 / count


def measure_shard() -> list[Row]:
    """Measure a shard of the target size while it has 300 to 500 tasks."""
    shard = SimulatedShard(WORKERS_PER_SHARD)
    shard.submit(0, 300)
    per_task_us = cpu_us(lambda: shard.submit(300, 200), 200)
    shard.advance(3_000)
    placed = len(shard.machine.core.state.reservations)
    renewal_us = measure_renewal(shard)
    ticks = 400
    tick_us = cpu_us(lambda: shard.advance(ticks * 50), ticks)
    return [
        Row("shard.accept_place_start", "us/task", round(per_task_us, 1)),
        Row("shard.placed_in_that_run", "tasks", placed),
        Row("shard.renewal_12_tasks", "us/renewal", round(renewal_us, 1)),
        Row("shard.tick_40_workers_500_tasks", "us/tick", round(tick_us, 1)),
    ]


def measure_renewal(shard: SimulatedShard) -> float:
    """Return the CPU microseconds of one renewal whose report has 12 tasks."""
    machine = shard.machine
    contacts = list(machine.contacts.by_worker.values())
    rounds = 10

    def renew() -> None:
        for contact in contacts * rounds:
            machine.core.begin(shard.now_ms)
            machine.calls.call(contact)
            shard.apply_effects(machine.core.effects)

    return cpu_us(renew, len(contacts) * rounds)


def measure_memory() -> list[Row]:
    """Measure the memory of one worker and of one running task."""
    gc.collect()
    tracemalloc.start()
    shard = SimulatedShard(WORKERS_PER_SHARD)
    shard.entries.clear()
    with_workers = tracemalloc.get_traced_memory()[0]
    shard.submit(0, 1_000)
    shard.entries.clear()
    gc.collect()
    with_tasks = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        Row("shard.memory_per_worker", "bytes", with_workers // WORKERS_PER_SHARD),
        Row("shard.memory_per_task", "bytes", (with_tasks - with_workers) // 1_000),
    ]


def measure_recovery() -> list[Row]:
    """Measure journal replay, and encoding and decoding of snapshots."""
    shard = SimulatedShard(WORKERS_PER_SHARD)
    shard.submit(0, 1_000)
    changes = [ShardHost.decode_changes(entry) for entry in shard.entries]
    count = sum(map(len, changes))

    def replay() -> None:
        state = ShardState(decisions=collections.deque(maxlen=DECISIONS_KEPT))
        for entry in shard.entries:
            for change in ShardHost.decode_changes(entry):
                state.apply(change)

    replay_us = cpu_us(replay, count)
    writer = SnapshotWriter(shard.machine.core.state)
    first_us = cpu_us(writer.encode, 1)
    unchanged_us = cpu_us(writer.encode, 1)
    data = writer.encode()
    read_us = cpu_us(lambda: decode_state(data, DECISIONS_KEPT), 1)
    size = sum(map(len, shard.entries))
    return [
        Row("shard.replay", "changes/s", round(1_000_000 / replay_us)),
        Row("shard.journal_per_task_started", "bytes", size // 1_000),
        Row("shard.snapshot_1000_tasks", "bytes", len(data)),
        Row("shard.snapshot_first_encode", "ms", round(first_us / 1_000, 1)),
        Row("shard.snapshot_unchanged_encode", "ms", round(unchanged_us / 1_000, 2)),
        Row("shard.snapshot_decode", "ms", round(read_us / 1_000, 1)),
    ]


def measure_growth() -> list[Row]:
    """Measure a shard with a rising number of workers, 9 tasks each, at most 2,000."""
    rows = []
    for workers in SIZES:
        shard = SimulatedShard(workers)
        shard.submit(0, min(9 * workers, 2_000))
        shard.advance(3_000)
        calls = shard.calls
        ticks = 240
        tick_us = cpu_us(functools.partial(shard.advance, ticks * 50), ticks)
        seconds = ticks * 50 / 1_000
        calls_per_s = (shard.calls - calls) / seconds
        rows += [
            Row(f"shard.{workers}_workers.tick", "us/tick", round(tick_us, 1)),
            Row(
                f"shard.{workers}_workers.worker_calls",
                "calls/s",
                round(calls_per_s, 1),
            ),
        ]
    return rows


def main() -> None:
    """Measure, print and save all figures."""
    rows = [
        *measure_shard(),
        *measure_memory(),
        *measure_recovery(),
        *measure_growth(),
    ]
    save_rows("shard", rows)


if __name__ == "__main__":
    main()
