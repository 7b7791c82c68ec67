"""Fuzz of shards under faults, checked by the workers' history and callers' answers."""

import os
import unittest

from attrs import define, field
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from poplarlb.coordination.policy.policy import (
    EvictionRequested,
    Policy,
    Relief,
    WorkerLoad,
)
from poplarlb.protocol import api
from poplarlb.state.models import (
    HostState,
    Reason,
    Resources,
    TaskKey,
    TaskPhase,
    TaskSpec,
    WorkClass,
    ZoneState,
)
from poplarlb.state.templates import ConfigView
from tests.coordination.shards.shard_world import ShardWorld
from tests.harness import fuzzing, oracle

RECOVERY_TIME_MS = 120_000
ZONES = st.sampled_from(("a", "b"))
WORKERS = st.sampled_from(("a-w0", "a-w1", "b-w0", "b-w1"))
SHARDS = st.sampled_from(("a/0", "b/0"))
CLASSES = st.sampled_from((WorkClass.URGENT, WorkClass.ORDINARY, WorkClass.PATIENT))
TASKS = st.integers(0, 11)
RUN_TIMES = st.sampled_from((500, 2_000, 10_000, 30_000))


def check_resumed(world: ShardWorld) -> list[oracle.Violation]:
    """Return starts that do not resume from the checkpoint of the last stop."""
    found = []
    saved: dict[str, str] = {}
    for row in world.history():
        if row.what == "stopped":
            saved[row.subject] = row.detail
        elif row.what == "lapsed":
            saved.pop(row.subject, None)
        elif row.what == "start":
            wanted = saved.pop(row.subject, row.detail)
            if row.detail != wanted:
                detail = f"{row.subject} from {row.detail!r}, not {wanted!r}"
                found.append(oracle.Violation("resumes from its checkpoint", detail))
    return found


def check_ended(world: ShardWorld) -> list[oracle.Violation]:
    """Return starts of tasks that were reported as ended to a caller before.

    A success that was not reported before the worker's lease expired doesn't count:
    the owner must consider the attempt lost.
    """
    told: dict[str, int] = {}
    for answer in world.answers:
        match answer.result:
            case api.TaskView(phase=TaskPhase.ENDED, spec=spec):
                subject = f"{spec.key.team}/{spec.key.task_id}"
                told.setdefault(subject, answer.at_ms)
    return [
        oracle.Violation("ended work never runs again", f"{row.subject} #{row.attempt}")
        for row in world.history()
        if row.what == "start" and row.at_ms > told.get(row.subject, world.now_ms)
    ]


def check_single_run(world: ShardWorld) -> list[oracle.Violation]:
    """Return tasks that ran on two workers at once."""
    found = oracle.check_single_run(world)
    return [item for item in found if item.guarantee == "one place at a time"]


def check_attempts(world: ShardWorld) -> list[oracle.Violation]:
    """Return starts whose attempt number is too low.

    Each start has a higher number, except that a crash allows the same one again.
    """
    found = []
    latest: dict[str, int] = {}
    crashed: set[str] = set()
    for row in world.history():
        if row.what == "crashed":
            crashed.add(row.subject)
        if row.what != "start":
            continue
        least = latest.get(row.subject, 0) + (row.subject not in crashed)
        if row.attempt < least:
            detail = f"{row.subject} #{row.attempt}, not #{least}"
            found.append(oracle.Violation("resumes exactly once", detail))
        latest[row.subject] = row.attempt
        crashed.discard(row.subject)
    return found


def check_guarantees(world: ShardWorld) -> list[oracle.Violation]:
    """Return every violation of an invariant so far."""
    return [
        *check_single_run(world),
        *check_ended(world),
        *oracle.check_capacity(world),
        *check_attempts(world),
        *oracle.check_zones(world),
        *oracle.check_not_run(world),
    ]


@define
class EvictingPolicy(Policy):
    """A policy that evicts one task at the next call of ``plan_relief``."""

    key: TaskKey | None = field(default=None, kw_only=True)

    def plan_relief(
        self, loads: list[WorkerLoad], view: ConfigView, now_ms: int
    ) -> list[Relief]:
        """Return the eviction at the first call only."""
        key, self.key = self.key, None
        return [
            EvictionRequested(
                load.worker.worker_id, key, task.attempt, Reason.SERVICE_BREACH
            )
            for load in loads
            for task in load.tasks
            if task.spec.key == key
        ]


class ShardFuzz(RuleBasedStateMachine):
    """Two shards, each with an owner, four workers, and all injected faults.

    Without ``contact_faults`` every worker stays reachable, and then no checkpoint
    may be lost.
    """

    contact_faults = True

    @initialize(seed=st.integers(0, 1 << 30))
    def begin(self, seed: int) -> None:
        """Start without faults."""
        self.world = ShardWorld(seed)
        self.daemons = 2
        self.world.run(1_500)

    @rule(number=TASKS, work_class=CLASSES, big=st.booleans(), run=RUN_TIMES)
    def submit(self, number: int, work_class: WorkClass, big: bool, run: int) -> None:
        """Submit a task, or repeat its first submission."""
        size = Resources(1_500 if big else 600, 500)
        key = TaskKey("dairy", f"j{number}")
        spec = TaskSpec(key, work_class, size, run)
        known = [
            answer.call.spec
            for answer in self.world.answers
            if isinstance(answer.call, api.SubmitTask) and answer.call.spec.key == key
        ]
        self.world.submit(known[0] if known else spec)

    @rule(number=TASKS)
    def cancel(self, number: int) -> None:
        """Cancel a task."""
        key = TaskKey("dairy", f"j{number}")
        self.world.ask(api.CancelTask(key), self.world.shards.home_of_task(key))

    @rule(step=st.sampled_from((50, 200, 700, 1_000, 3_000, 13_000)))
    def advance(self, step: int) -> None:
        """Let time pass."""
        self.world.run(step)
        self.show_all()
        self.check()

    def show_all(self) -> None:
        """Ask for the view of every submitted task."""
        keys = {
            answer.call.spec.key
            for answer in self.world.answers
            if isinstance(answer.call, api.SubmitTask)
        }
        for key in sorted(keys):
            self.world.ask(api.ShowTask(key), self.world.shards.home_of_task(key))

    @rule(number=TASKS)
    def evict(self, number: int) -> None:
        """Evict a task from whichever worker it is placed on."""
        key = TaskKey("dairy", f"j{number}")
        for daemon in self.world.daemons.values():
            for host in daemon.shard_hosts.values():
                if host.open and not daemon.paused:
                    core = host.machine.core
                    core.policy = EvictingPolicy(core.policy.settings, key=key)

    @rule(
        shard=SHARDS,
        how=st.sampled_from(("kill", "pause", "cut", "clean")),
        without_workers=st.booleans(),
    )
    def replace_owner(self, shard: str, how: str, without_workers: bool) -> None:
        """Move a shard to a new daemon after a fault of the old one, or without one."""
        old = self.world.owners[shard]
        daemon = self.world.daemons[old]
        if how == "kill":
            self.world.kill(old)
        elif how == "pause":
            daemon.paused = True
        elif how == "cut":
            daemon.store_unreachable = True
        name = f"d{self.daemons}"
        self.daemons += 1
        self.world.start_daemon(name)
        if without_workers and self.contact_faults:
            self.world.daemons[name].unreachable_workers.update(self.world.workers)
        for other, owner in list(self.world.owners.items()):
            if other == shard or (owner == old and not daemon.alive):
                self.world.take_over(other, name)

    @rule(shard=SHARDS, step=st.sampled_from((4_000, 13_500)))
    def orphan_workers(self, shard: str, step: int) -> None:
        """Disconnect an owner from the store and the new owner from the workers."""
        self.replace_owner(shard, "cut", True)
        self.advance(step)

    @rule()
    def resume_all(self) -> None:
        """Resume every paused daemon."""
        for name, daemon in self.world.daemons.items():
            if daemon.alive and daemon.paused:
                self.world.resume_daemon(name)

    @rule()
    def restore_store(self) -> None:
        """Reconnect every daemon to the store."""
        for daemon in self.world.daemons.values():
            daemon.store_unreachable = False

    @rule(shard=SHARDS, pause=st.booleans())
    def disturb_owner(self, shard: str, pause: bool) -> None:
        """Pause an owner or disconnect it from the store, without a takeover."""
        daemon = self.world.daemons[self.world.owners[shard]]
        if pause:
            daemon.paused = True
        else:
            daemon.store_unreachable = True

    @rule(shard=SHARDS, worker=WORKERS, unreachable=st.booleans())
    def cut_worker(self, shard: str, worker: str, unreachable: bool) -> None:
        """Disconnect the current owner from a worker, or reconnect it."""
        daemon = self.world.daemons[self.world.owners[shard]]
        if unreachable and self.contact_faults:
            daemon.unreachable_workers.add(worker)
        else:
            daemon.unreachable_workers.discard(worker)

    @rule(worker=WORKERS)
    def crash_worker(self, worker: str) -> None:
        """Crash a worker; it restarts without tasks."""
        now_ms = self.world.now_ms + self.world.offsets_ms[worker]
        if self.contact_faults:
            self.world.workers[worker].crash(now_ms)

    @rule(worker=WORKERS, state=st.sampled_from(HostState))
    def list_host(self, worker: str, state: HostState) -> None:
        """Set a worker's state in the host list, whether it is true or not."""
        self.world.set_host(worker, state)

    @rule(zone=ZONES, state=st.sampled_from(ZoneState))
    def set_zone(self, zone: str, state: ZoneState) -> None:
        """Set a zone's state."""
        self.world.set_zone(zone, state)

    @rule(
        loss_rate=st.sampled_from((0.0, 0.3)), repeat_rate=st.sampled_from((0.0, 0.5))
    )
    def set_network(self, loss_rate: float, repeat_rate: float) -> None:
        """Set the rates of lost and repeated messages."""
        self.world.loss_rate = loss_rate
        self.world.repeat_rate = repeat_rate

    @rule(delay=st.sampled_from((10, 300, 3_000)))
    def slow_workers(self, delay: int) -> None:
        """Set the delay of calls to workers."""
        self.world.worker_delay_ms = delay if self.contact_faults else 10

    def check(self) -> None:
        """Fail on any violation."""
        found = check_guarantees(self.world)
        if not self.contact_faults:
            found.extend(check_resumed(self.world))
        assert not found, found

    def teardown(self) -> None:
        """End all faults; then every accepted task must end, exactly once."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.loss_rate = world.repeat_rate = 0.0
        world.worker_delay_ms = 10
        for worker in world.workers:
            world.set_host(worker, HostState.LIVE)
        for zone in ("a", "b"):
            world.set_zone(zone, ZoneState.IN)
        for daemon in world.daemons.values():
            daemon.unreachable_workers.clear()
        self.restore_store()
        self.resume_all()
        world.run(RECOVERY_TIME_MS)
        self.check()
        found = oracle.check_finished(world)
        assert not found, found


class ReachableFuzz(ShardFuzz):
    """The same fuzz, but contact with the workers is never lost for long."""

    contact_faults = False


def make_settings(examples: int) -> settings:
    """Return fixed settings; ``SHARD_FUZZ_FACTOR`` multiplies the examples."""
    factor = int(os.environ.get("SHARD_FUZZ_FACTOR", "1"))
    phases = (Phase.generate, Phase.shrink)
    return fuzzing.make_settings(examples * factor, 40, phases=phases)


ShardFuzzTest = ShardFuzz.TestCase
ShardFuzzTest.settings = make_settings(20)
ReachableFuzzTest = ReachableFuzz.TestCase
ReachableFuzzTest.settings = make_settings(10)

if __name__ == "__main__":
    unittest.main()
