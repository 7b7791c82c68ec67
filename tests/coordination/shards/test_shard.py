"""Scripted tests of shards under faults, one shard alone or two together."""

import unittest
import unittest.mock

from attrs import define, evolve, field

from poplarlb.coordination.policy.policy import EvictionRequested, Policy
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
    WorkerReport,
    ZoneState,
)
from poplarlb.state.templates import ServiceTemplate
from tests.coordination.shards.shard_world import ShardWorld
from tests.harness import oracle
from tests.standins.worker import WorkerModel


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
    """Base of tests with two shards, each with its owner, without faults at first."""

    def setUp(self) -> None:
        """Run until the owners have contact with their workers."""
        self.world = ShardWorld(7)
        self.world.run(1_500)

    def show(self, key: TaskKey) -> api.TaskView:
        """Return the home shard's view of a task."""
        home = self.world.shards.home_of_task(key)
        answered_before = len(self.world.answers)
        self.world.ask(api.ShowTask(key), home)
        self.world.run(1_000)
        return self.world.answers[answered_before].result

    def starts(self, key: TaskKey) -> list[tuple[int, str]]:
        """Return the number and the worker of each start of a task."""
        subject = f"{key.team}/{key.task_id}"
        return [
            (row.attempt, row.worker_id)
            for row in self.world.history()
            if row.what == "start" and row.subject == subject
        ]


class TakeoverTest(ShardCase):
    """A new owner waits until the earlier owner's leases have expired."""

    def take_over_without_workers(self) -> TaskKey:
        """Disconnect the owner from the store and the new owner from the workers."""
        key = key_at(self.world, "a/0")
        self.world.submit(make_spec(key))
        self.world.run(1_000)
        self.assertEqual(len(self.starts(key)), 1)
        self.world.daemons["d0"].store_unreachable = True
        self.world.start_daemon("d2")
        self.world.daemons["d2"].unreachable_workers.update(("a-w0", "a-w1"))
        self.world.take_over("a/0", "d2")
        return key

    def test_waits_out_the_old_owners_renewals(self) -> None:
        """The disconnected owner renews until the horizon; nothing starts twice."""
        key = self.take_over_without_workers()
        self.world.run(8_000)
        self.assertEqual(len(self.starts(key)), 1)
        self.world.run(40_000)
        self.assertEqual(len(self.starts(key)), 2)
        self.assertEqual(oracle.check_single_run(self.world), [])

    def test_new_owner_continues_running_work(self) -> None:
        """A new owner with contact to the worker continues the same attempt."""
        key = key_at(self.world, "a/0")
        self.world.submit(make_spec(key))
        self.world.run(1_000)
        self.world.kill("d0")
        self.world.start_daemon("d2")
        self.world.take_over("a/0", "d2")
        self.world.run(40_000)
        self.assertEqual(len(self.starts(key)), 1)
        self.assertIs(self.show(key).phase, TaskPhase.ENDED)


class OddReportTest(ShardCase):
    """Reports of workers with odd entries."""

    def test_unknown_state_ends_no_attempt(self) -> None:
        """Guards against a task in an unknown state that is started a second time."""
        key = key_at(self.world, "a/0")
        other = key_at(self.world, "a/0", 1)
        self.world.submit(make_spec(key))
        self.world.submit(make_spec(other))
        self.world.run(2_000)
        report = WorkerModel.report

        def report_oddly(model: WorkerModel, now_ms: int) -> WorkerReport:
            sound = report(model, now_ms)
            tasks = tuple(
                evolve(item, state="resting")
                if item.key == key and item.state == "running"
                else item
                for item in sound.tasks
            )
            return evolve(sound, tasks=tasks)

        with unittest.mock.patch.object(WorkerModel, "report", report_oddly):
            self.world.run(20_000)
        self.world.run(20_000)
        for name in (key, other):
            self.assertEqual(len(self.starts(name)), 1)
            self.assertIs(self.show(name).outcome, TaskOutcome.SUCCEEDED)
        self.assertEqual(oracle.check_single_run(self.world), [])


class StartTest(ShardCase):
    """Submissions, up to the start or the end without one."""

    def appends_until_start(self, key: TaskKey) -> dict[str, int]:
        """Submit urgent work and return the appends of each shard until it runs."""
        journals = {
            shard: self.world.daemons[name].shard_hosts[shard].journal
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
        """Have a shard obtain a share of the team's quota, and free what it used."""
        key = key_at(self.world, shard, 5)
        self.world.submit(make_spec(key, 1_800))
        self.world.run(1_500)
        self.world.ask(api.CancelTask(key), shard)
        self.world.run(1_500)

    def test_urgent_work_at_home_needs_one_commit(self) -> None:
        """Acceptance, placement and the decision record are one append."""
        self.hold_share("a/0")
        used = self.appends_until_start(key_at(self.world, "a/0", 1))
        self.assertEqual(used, {"a/0": 1, "b/0": 0})

    def test_delegated_urgent_work_needs_one_commit_at_each_shard(self) -> None:
        """The home shard opens the attempt and the host shard reserves capacity."""
        self.hold_share("b/0")
        key = key_at(self.world, "a/0")
        spec = evolve(make_spec(key, work_class=WorkClass.URGENT), zones=("b",))
        home_journal = self.world.daemons["d0"].shard_hosts["a/0"].journal
        before = home_journal.appends
        self.world.submit(spec)
        self.world.run(120)
        self.assertEqual(home_journal.appends - before, 1)
        self.world.run(1_000)
        self.assertEqual([worker[0] for _, worker in self.starts(key)], ["b"])

    def test_same_id_with_another_content_is_a_conflict(self) -> None:
        """A repeated submission gets the task; other content is refused."""
        key = key_at(self.world, "a/0")
        for cpu_millis in (600, 600, 700):
            self.world.submit(make_spec(key, cpu_millis))
            self.world.run(500)
        first, again, other = [answer.result for answer in self.world.answers]
        self.assertEqual(first.spec, again.spec)
        self.assertEqual((other.code, other.reason), ("conflict", Reason.ID_IN_USE))

    def test_submission_to_a_full_queue_is_not_run(self) -> None:
        """A full queue refuses a submission at once and records nothing."""
        core = self.world.daemons["d0"].shard_hosts["a/0"].machine.core
        limit = core.context.settings.tasks.queue_limit
        core.state.queued.update(dict.fromkeys(range(limit)))
        key = key_at(self.world, "a/0")
        answer = (
            self.world.daemons["d0"]
            .shard_hosts["a/0"]
            .machine.home.submit(make_spec(key))
        )
        self.assertEqual((answer.code, answer.reason), ("not_run", Reason.QUEUE_FULL))
        self.assertNotIn(key, core.state.tasks)

    def test_task_larger_than_every_worker_ends(self) -> None:
        """The task ends as impossible after the grace period."""
        key = key_at(self.world, "a/0")
        self.world.submit(make_spec(key, 64_000))
        self.world.run(5_000)
        self.assertIs(self.show(key).phase, TaskPhase.QUEUED)
        self.world.run(10_000)
        view = self.show(key)
        self.assertIs(view.outcome, TaskOutcome.IMPOSSIBLE)
        self.assertIs(view.reason, Reason.FITS_NOWHERE)

    def test_task_that_fails_everywhere_ends(self) -> None:
        """The task is tried on different workers before it fails."""
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
        """A worker whose clock is off by more than the margin gets no starts."""
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
    """Evictions, cancellations, zones and services."""

    def submit_and_run(self, key: TaskKey) -> str:
        """Start a task and return its worker."""
        self.world.submit(make_spec(key))
        self.world.run(2_000)
        return self.starts(key)[0][1]

    def test_eviction_resumes_from_the_checkpoint(self) -> None:
        """Attempt 2 starts once, from the checkpoint of attempt 1."""
        key = key_at(self.world, "a/0")
        worker_id = self.submit_and_run(key)
        core = self.world.daemons["d0"].shard_hosts["a/0"].machine.core
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
        """The worker stops the task before its run time is over."""
        key = key_at(self.world, "a/0")
        self.submit_and_run(key)
        self.world.ask(api.CancelTask(key), "a/0")
        self.world.run(3_000)
        self.assertIs(self.show(key).outcome, TaskOutcome.CANCELLED)
        self.assertEqual(self.world.history()[-1].what, "stopped")

    def test_cancel_of_a_lost_delegation(self) -> None:
        """The host shard refuses the attempt, so a late request starts nothing."""
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
        """Tasks leave the zone at a limited rate, and none runs twice."""
        keys = [key_at(self.world, "a/0", number) for number in range(4)]
        for key in keys:
            self.submit_and_run(key)
        self.world.set_zone("a", ZoneState.OUT)
        self.world.run(20_000)
        for key in keys:
            self.assertEqual(self.starts(key)[-1][1][0], "b")
        self.assertEqual(oracle.check_single_run(self.world), [])
        self.assertEqual(oracle.check_zones(self.world), [])

    def test_replicas_follow_the_template(self) -> None:
        """Replicas are started, removed, and started again as new attempts."""
        for replicas, expected in ((2, 2), (1, 1), (2, 2), (0, 0)):
            self.set_replicas(replicas)
            self.world.run(12_000)
            self.assertEqual(len(self.running()), expected)

    def test_replica_is_stopped_after_its_requests(self) -> None:
        """A removed replica finishes its requests within the timeout."""
        self.set_replicas(2)
        self.world.run(5_000)
        for daemon in self.world.daemons.values():
            for host in daemon.shard_hosts.values():
                host.admission.slots.in_use.update(dict.fromkeys(self.world.workers, 1))
        self.set_replicas(0)
        self.world.run(6_000)
        self.assertEqual(len(self.running()), 2)
        for daemon in self.world.daemons.values():
            for host in daemon.shard_hosts.values():
                self.assertEqual(host.machine.endpoints(), [])
                host.admission.slots.in_use.clear()
        self.world.run(1_500)
        self.assertEqual(len(self.running()), 0)

    def set_replicas(self, count: int) -> None:
        """Apply a template with one service of ``count`` replicas."""
        service = ServiceTemplate("orders", count, Resources(500, 100))
        team = evolve(self.world.view.teams[0], services=(service,))
        version = self.world.view.version + 1
        self.world.view = evolve(self.world.view, version=version, teams=(team,))

    def running(self) -> list[str]:
        """Return the ids of the tasks that run on workers now."""
        now_ms = self.world.now_ms
        for model in self.world.workers.values():
            model.advance(now_ms)
        return [
            key.task_id
            for model in self.world.workers.values()
            for key, task in model.tasks.items()
            if task.state == "running"
        ]

    def test_worker_listed_as_dead_keeps_its_task_while_its_lease_holds(self) -> None:
        """The host list may be wrong, so a running task stays where it is."""
        key = key_at(self.world, "a/0")
        worker_id = self.submit_and_run(key)
        self.world.set_host(worker_id, HostState.DEAD)
        self.world.run(10_000)
        self.assertEqual(len(self.starts(key)), 1)


@define
class OneEviction(Policy):
    """A policy that evicts one task at the first call of ``plan_relief``."""

    worker_id: str = field(default="", kw_only=True)
    key: TaskKey | None = field(default=None, kw_only=True)

    def plan_relief(self, loads, view, now_ms) -> list[EvictionRequested]:
        """Return the eviction at the first call only."""
        key, self.key = self.key, None
        if key is None:
            return []
        return [EvictionRequested(self.worker_id, key, 1, Reason.SERVICE_BREACH)]


class MessageTest(ShardCase):
    """Messages of a wrong sender or an old epoch are dropped and counted."""

    def test_wrong_sender_and_old_epoch_are_refused(self) -> None:
        """Only the newest owner of the home shard may request a placement."""
        machine = self.world.daemons["d1"].shard_hosts["b/0"].machine
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
    """An orderly release of a shard to another daemon."""

    def test_new_owner_counts_from_the_released_leases(self) -> None:
        """After a release the new owner doesn't wait for the horizon."""
        key = key_at(self.world, "a/0")
        self.world.submit(make_spec(key))
        self.world.run(1_000)
        host = self.world.daemons["d0"].shard_hosts["a/0"]
        host.hand_over(self.world.now_ms)
        self.world.run(1_000)
        self.assertTrue(host.handed_over)
        self.world.start_daemon("d2")
        self.world.daemons["d2"].unreachable_workers.update(("a-w0", "a-w1"))
        self.world.take_over("a/0", "d2")
        self.world.run(8_000)
        self.assertEqual(len(self.starts(key)), 2)
        self.assertEqual(oracle.check_single_run(self.world), [])


if __name__ == "__main__":
    unittest.main()
