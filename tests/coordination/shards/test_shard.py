"""Scripted faults of single shards and of two shards together."""

import unittest

from attrs import define, evolve, field

from poplarlb.coordination.policy.policy import EvictionWanted, Policy
from poplarlb.protocol import api, messages, ports
from poplarlb.state.models import (
    HostState,
    Reason,
    Resources,
    TaskKey,
    TaskOutcome,
    TaskPhase,
    TaskSpec,
    WorkClass,
    ZoneState,
)
from poplarlb.state.templates import ServiceTemplate
from tests.coordination.shards.shard_world import ShardWorld
from tests.harness import oracle


def key_at(world: ShardWorld, shard: str, number: int = 0) -> TaskKey:
    """Return a task key whose home is the shard."""
    keys = (TaskKey("dairy", f"k{index}") for index in range(10_000))
    own = [key for key in keys if world.shards.home_of_task(key) == shard]
    return own[number]


def make_spec(
    key: TaskKey,
    cpu_millis: int = 600,
    run_time_ms: int = 30_000,
    work_class: WorkClass = WorkClass.ORDINARY,
) -> TaskSpec:
    """Return a batch task."""
    return TaskSpec(key, work_class, Resources(cpu_millis, 100), run_time_ms)


class ShardCase(unittest.TestCase):
    """A world of two shards that is well at first."""

    def setUp(self) -> None:
        """Let the owners reach their workers."""
        self.world = ShardWorld(7)
        self.world.run(1_500)

    def show(self, key: TaskKey) -> api.TaskView:
        """Return what the home shard says of a task."""
        home = self.world.shards.home_of_task(key)
        asked = len(self.world.answers)
        self.world.ask(api.ShowTask(key), home)
        self.world.run(1_000)
        return self.world.answers[asked].result

    def starts(self, key: TaskKey) -> list[tuple[int, str]]:
        """Return the attempts that started, and where."""
        subject = f"{key.team}/{key.task_id}"
        return [
            (row.attempt, row.worker_id)
            for row in self.world.history()
            if row.what == "start" and row.subject == subject
        ]


class TakeoverTest(ShardCase):
    """A new owner waits for all that the old one may still do."""

    def take_over_without_workers(self) -> TaskKey:
        """Cut the owner off from the store and its heir from the workers."""
        key = key_at(self.world, "a/0")
        self.world.submit(make_spec(key))
        self.world.run(1_000)
        self.assertEqual(len(self.starts(key)), 1)
        self.world.daemons["d0"].no_store = True
        self.world.start_daemon("d2")
        self.world.daemons["d2"].cut_workers.update(("a-w0", "a-w1"))
        self.world.take_over("a/0", "d2")
        return key

    def test_waits_out_the_old_owners_renewals(self) -> None:
        """The cut-off owner renews until the horizon; nothing starts twice."""
        key = self.take_over_without_workers()
        self.world.run(8_000)
        self.assertEqual(len(self.starts(key)), 1)
        self.world.run(40_000)
        self.assertEqual(len(self.starts(key)), 2)
        self.assertEqual(oracle.check_one_place(self.world), [])

    def test_takes_running_work_over(self) -> None:
        """An heir that reaches the worker goes on with the same attempt."""
        key = key_at(self.world, "a/0")
        self.world.submit(make_spec(key))
        self.world.run(1_000)
        self.world.kill("d0")
        self.world.start_daemon("d2")
        self.world.take_over("a/0", "d2")
        self.world.run(40_000)
        self.assertEqual(len(self.starts(key)), 1)
        self.assertIs(self.show(key).phase, TaskPhase.ENDED)


class StartTest(ShardCase):
    """From the submission to the start."""

    def appends_until_start(self, key: TaskKey) -> dict[str, int]:
        """Submit urgent work and return the appends of each shard until it runs."""
        journals = {
            shard: self.world.daemons[name].hosts[shard].journal
            for shard, name in self.world.owners.items()
        }
        self.world.run(3_000)
        before = {shard: journal.appends for shard, journal in journals.items()}
        self.world.submit(make_spec(key, work_class=WorkClass.URGENT))
        for _ in range(1_000):
            self.world.run(1)
            if self.starts(key):
                break
        self.assertEqual(len(self.starts(key)), 1)
        return {shard: j.appends - before[shard] for shard, j in journals.items()}

    def hold_share(self, shard: str) -> None:
        """Let a shard obtain a share of the team's quota, and free it again."""
        key = key_at(self.world, shard, 5)
        self.world.submit(make_spec(key, 1_800))
        self.world.run(1_500)
        self.world.ask(api.CancelTask(key), shard)
        self.world.run(1_500)

    def test_urgent_work_at_home_needs_one_commit(self) -> None:
        """Accepting, placing and explaining share one append."""
        self.hold_share("a/0")
        used = self.appends_until_start(key_at(self.world, "a/0", 1))
        self.assertEqual(used, {"a/0": 1, "b/0": 0})

    def test_delegated_urgent_work_needs_one_commit_at_each_shard(self) -> None:
        """The home opens the attempt and the host takes the place."""
        self.hold_share("b/0")
        key = key_at(self.world, "a/0")
        spec = evolve(make_spec(key, work_class=WorkClass.URGENT), zones=("b",))
        homes = self.world.daemons["d0"].hosts["a/0"].journal
        before = homes.appends
        self.world.submit(spec)
        self.world.run(120)
        self.assertEqual(homes.appends - before, 1)
        self.world.run(1_000)
        self.assertEqual([worker[0] for _, worker in self.starts(key)], ["b"])

    def test_same_id_with_another_content_is_a_conflict(self) -> None:
        """A repetition gets the record; anything else under the id is refused."""
        key = key_at(self.world, "a/0")
        for cpu_millis in (600, 600, 700):
            self.world.submit(make_spec(key, cpu_millis))
            self.world.run(500)
        first, again, other = [answer.result for answer in self.world.answers]
        self.assertEqual(first.spec, again.spec)
        self.assertEqual((other.code, other.reason), ("conflict", Reason.ID_IN_USE))

    def test_queue_limit_is_a_true_not_run(self) -> None:
        """A full queue refuses at once and keeps nothing."""
        core = self.world.daemons["d0"].hosts["a/0"].machine.core
        limit = core.context.settings.tasks.queue_limit
        core.state.queued.update(dict.fromkeys(range(limit)))
        key = key_at(self.world, "a/0")
        answer = (
            self.world.daemons["d0"].hosts["a/0"].machine.home.submit(make_spec(key))
        )
        self.assertEqual((answer.code, answer.reason), ("not_run", Reason.QUEUE_FULL))
        self.assertNotIn(key, core.state.tasks)

    def test_task_larger_than_every_worker_ends(self) -> None:
        """It ends with its reason, after the grace."""
        key = key_at(self.world, "a/0")
        self.world.submit(make_spec(key, 64_000))
        self.world.run(5_000)
        self.assertIs(self.show(key).phase, TaskPhase.QUEUED)
        self.world.run(10_000)
        view = self.show(key)
        self.assertIs(view.outcome, TaskOutcome.IMPOSSIBLE)
        self.assertIs(view.reason, Reason.FITS_NOWHERE)

    def test_task_that_fails_everywhere_ends(self) -> None:
        """It is tried on different workers first."""
        for model in self.world.workers.values():
            model.faults.fail_starts = True
        key = key_at(self.world, "a/0")
        self.world.submit(make_spec(key))
        self.world.run(240_000)
        view = self.show(key)
        self.assertIs(view.outcome, TaskOutcome.FAILED)
        self.assertIs(view.reason, Reason.FAILED_EVERYWHERE)
        self.assertGreater(len({worker for _, worker in self.starts(key)}), 1)

    def test_worker_with_a_wrong_clock_gets_no_start(self) -> None:
        """An offset beyond the margin bars a worker until it is mended."""
        for name in self.world.workers:
            self.world.offsets_ms[name] = 900
        self.world.run(2_000)
        key = key_at(self.world, "a/0")
        self.world.submit(make_spec(key))
        self.world.run(5_000)
        self.assertEqual(self.starts(key), [])
        self.world.offsets_ms["a-w1"] = 0
        self.world.run(5_000)
        self.assertEqual(self.starts(key), [(1, "a-w1")])


class MoveTest(ShardCase):
    """Evictions, cancels, zones and services."""

    def submit_and_run(self, key: TaskKey) -> str:
        """Start a task and return its worker."""
        self.world.submit(make_spec(key))
        self.world.run(2_000)
        return self.starts(key)[0][1]

    def test_eviction_resumes_from_the_checkpoint(self) -> None:
        """Attempt 2 starts once, from where attempt 1 was stopped."""
        key = key_at(self.world, "a/0")
        worker_id = self.submit_and_run(key)
        core = self.world.daemons["d0"].hosts["a/0"].machine.core
        core.policy = OneEviction(core.policy.settings, worker_id=worker_id, key=key)
        self.world.run(10_000)
        rows = [row for row in self.world.history() if "k" in row.subject]
        stopped = next(row for row in rows if row.what == "stopped")
        again = [row for row in rows if row.what == "start"][1:]
        self.assertEqual([row.attempt for row in again], [2])
        self.assertEqual(again[0].detail, stopped.detail)
        self.assertGreater(int(stopped.detail), 0)
        self.assertEqual(self.show(key).evictions, 1)

    def test_cancel_stops_a_running_task(self) -> None:
        """The task is stopped at its worker before it has ended."""
        key = key_at(self.world, "a/0")
        self.submit_and_run(key)
        self.world.ask(api.CancelTask(key), "a/0")
        self.world.run(3_000)
        self.assertIs(self.show(key).outcome, TaskOutcome.CANCELLED)
        self.assertEqual(self.world.history()[-1].what, "stopped")

    def test_cancel_meets_a_delegation_that_was_lost(self) -> None:
        """The host refuses the attempt for good, so a late request is harmless."""
        key = key_at(self.world, "a/0")
        self.world.loss_rate = 1.0
        self.world.submit(evolve(make_spec(key), zones=("b",)))
        self.world.run(500)
        self.assertIs(self.show(key).phase, TaskPhase.DELEGATED)
        self.world.ask(api.CancelTask(key), "a/0")
        self.world.run(500)
        self.world.loss_rate = 0.0
        self.world.run(6_000)
        self.assertIs(self.show(key).outcome, TaskOutcome.CANCELLED)
        self.world.run(30_000)
        self.assertEqual(self.starts(key), [])

    def test_zone_out_moves_work_with_its_checkpoint(self) -> None:
        """The zone is left at a limited rate, and nothing runs twice."""
        keys = [key_at(self.world, "a/0", number) for number in range(4)]
        for key in keys:
            self.submit_and_run(key)
        self.world.set_zone("a", ZoneState.OUT)
        self.world.run(20_000)
        for key in keys:
            self.assertEqual(self.starts(key)[-1][1][0], "b")
        self.assertEqual(oracle.check_one_place(self.world), [])
        self.assertEqual(oracle.check_zones(self.world), [])

    def test_replicas_follow_the_template(self) -> None:
        """Replicas are started, removed, and started again under new attempts."""
        for replicas, expected in ((2, 2), (1, 1), (2, 2), (0, 0)):
            self.set_replicas(replicas)
            self.world.run(12_000)
            self.assertEqual(len(self.running()), expected)

    def test_replica_is_stopped_after_its_requests(self) -> None:
        """A replica that leaves finishes what it serves, within the timeout."""
        self.set_replicas(2)
        self.world.run(5_000)
        for daemon in self.world.daemons.values():
            for host in daemon.hosts.values():
                host.admission.slots.in_use.update(dict.fromkeys(self.world.workers, 1))
        self.set_replicas(0)
        self.world.run(6_000)
        self.assertEqual(len(self.running()), 2)
        for daemon in self.world.daemons.values():
            for host in daemon.hosts.values():
                self.assertEqual(host.machine.endpoints(), [])
                host.admission.slots.in_use.clear()
        self.world.run(1_500)
        self.assertEqual(len(self.running()), 0)

    def set_replicas(self, count: int) -> None:
        """Put a template with one service in force."""
        service = ServiceTemplate("orders", count, Resources(500, 100))
        team = evolve(self.world.view.teams[0], services=(service,))
        version = self.world.view.version + 1
        self.world.view = evolve(self.world.view, version=version, teams=(team,))

    def running(self) -> list[str]:
        """Return the subjects that run at workers now."""
        now_ms = self.world.now_ms
        for model in self.world.workers.values():
            model.advance(now_ms)
        return [
            key.task_id
            for model in self.world.workers.values()
            for key, task in model.tasks.items()
            if task.state == "running"
        ]

    def test_worker_that_leaves_the_list_loses_its_tasks_only_by_lease(self) -> None:
        """The list may be wrong: a running task stays where it is."""
        key = key_at(self.world, "a/0")
        worker_id = self.submit_and_run(key)
        self.world.set_host(worker_id, HostState.DEAD)
        self.world.run(10_000)
        self.assertEqual(len(self.starts(key)), 1)


@define
class OneEviction(Policy):
    """Evicts one task at the first relief."""

    worker_id: str = field(default="", kw_only=True)
    key: TaskKey | None = field(default=None, kw_only=True)

    def plan_relief(self, rooms, view, now_ms) -> list[EvictionWanted]:
        """Return the eviction once."""
        key, self.key = self.key, None
        if key is None:
            return []
        return [EvictionWanted(self.worker_id, key, 1, Reason.SERVICE_BREACH)]


class MessageTest(ShardCase):
    """Messages that nobody may send are dropped and counted."""

    def test_wrong_sender_and_old_epoch_are_refused(self) -> None:
        """Only the home shard may ask for a place, and only its latest owner."""
        machine = self.world.daemons["d1"].hosts["b/0"].machine
        spec = make_spec(key_at(self.world, "a/0"))
        later_ms = self.world.now_ms + 10_000
        body = messages.PlaceAttempt(spec, 1, spec.size, "", later_ms)
        wrong_parties = (("b/0", 9, "b/0"), ("a/0", 9, "a/0"))
        stale = (("a/0", 2, "b/0"), ("a/0", 1, "b/0"))
        for sender, epoch, recipient in (*wrong_parties, *stale):
            message = messages.ShardMessage(sender, epoch, recipient, body)
            machine.handle(ports.PeerReceived("d9", message), self.world.now_ms)
        counters = machine.core.counters
        self.assertEqual(counters["messages_refused"], 2)
        self.assertEqual(counters["messages_of_old_epochs"], 1)


class HandOverTest(ShardCase):
    """Giving a shard away on purpose."""

    def test_new_owner_counts_from_the_released_leases(self) -> None:
        """After a release the heir need not wait for the horizon."""
        key = key_at(self.world, "a/0")
        self.world.submit(make_spec(key))
        self.world.run(1_000)
        host = self.world.daemons["d0"].hosts["a/0"]
        host.hand_over(self.world.now_ms)
        self.world.run(1_000)
        self.assertTrue(host.handed_over)
        self.world.start_daemon("d2")
        self.world.daemons["d2"].cut_workers.update(("a-w0", "a-w1"))
        self.world.take_over("a/0", "d2")
        self.world.run(8_000)
        self.assertEqual(len(self.starts(key)), 2)
        self.assertEqual(oracle.check_one_place(self.world), [])


if __name__ == "__main__":
    unittest.main()
