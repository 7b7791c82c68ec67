"""Random walks over whole nodes: jobs, requests, faults, operators' calls, recovery."""

import random

from attrs import Factory, define, field

from poplarlb.protocol import api
from poplarlb.state.models import HostState, Resources, TaskKey, WorkClass
from poplarlb.state.templates import ConfigView
from tests.harness import deployment, oracle
from tests.harness.caller import Callers
from tests.harness.world import World

ZONES = ("a", "b", "c")
RECOVERY_MS = 240_000
WORK_CLASSES = (
    WorkClass.URGENT,
    WorkClass.ORDINARY,
    WorkClass.PATIENT,
    WorkClass.LONG_LIVED,
)


@define
class Walk:
    """One run: rules that are called in any order, then ``finish``."""

    seed: int
    daemons: int = 3
    jobs: int = 0
    requests: int = 0
    world: World = field(init=False)
    callers: Callers = field(init=False)
    trace: list[str] = Factory(list)

    def __attrs_post_init__(self) -> None:
        """Start a deployment with one team and one service."""
        self.world = deployment.make_world(ZONES, self.daemons, 2, self.seed)
        self.callers = Callers(self.world)
        self.world.run(8_000)
        team = deployment.make_team("dairy", ZONES, (("orders", 3),))
        for _ in range(10):
            result = deployment.apply_team(self.world, "d1", team)
            if isinstance(result, api.ConfigChanged):
                break
            self.world.run(1_000)
        self.world.run(3_000)

    def record_step(self, description: str) -> None:
        """Add a line to the trace of this run."""
        self.trace.append(f"{self.world.now_ms} {description}")

    # --- rules --------------------------------------------------------------------

    def advance(self, duration_ms: int) -> None:
        """Advance the clock."""
        self.record_step(f"advance {duration_ms}")
        self.world.run(duration_ms)

    def submit(self, daemon: int, kind: int, run_time_ms: int, cpu_millis: int) -> None:
        """Submit a new job, or the previous one again if ``kind`` is 8 or more."""
        self.jobs += 1
        number = self.jobs if kind < 8 else max(1, self.jobs - 1)
        name = f"dairy/j{number}"
        self.record_step(
            f"submit {name} via {daemon} {run_time_ms} ms {cpu_millis} mcpu"
        )
        spec = deployment.make_job(
            self.world,
            name,
            WORK_CLASSES[kind % len(WORK_CLASSES)],
            Resources(cpu_millis, 500),
            run_time_ms,
        )
        self.world.ask(self._daemon_name(daemon), api.SubmitTask(spec))

    def cancel(self, daemon: int, jobs_ago: int) -> None:
        """Cancel a recent job."""
        number = max(1, self.jobs - jobs_ago)
        self.record_step(f"cancel j{number} via {daemon}")
        key = TaskKey("dairy", f"j{number}")
        self.world.ask(self._daemon_name(daemon), api.CancelTask(key))

    def request(self, daemon: int, keyed: bool, tries: int) -> None:
        """Send a request to the service."""
        self.requests += 1
        key = f"k{self.requests}" if keyed else ""
        self.record_step(f"request {key} via {daemon}")
        self.callers.send(self._daemon_name(daemon), "dairy", "orders", key, tries)

    def toggle_daemon(self, daemon: int) -> None:
        """Kill a daemon, or restart it if it is dead."""
        name = self._daemon_name(daemon)
        if self.world.daemons[name].alive:
            self.record_step(f"kill {name}")
            self.world.kill(name)
        else:
            self.record_step(f"start {name}")
            self.world.start(name)

    def toggle_pause(self, daemon: int) -> None:
        """Pause a daemon, or resume it if it is paused."""
        name = self._daemon_name(daemon)
        if self.world.daemons[name].paused:
            self.record_step(f"resume {name}")
            self.world.resume(name)
        else:
            self.record_step(f"pause {name}")
            self.world.pause(name)

    def toggle_partition(self, daemon: int, link: int) -> None:
        """Cut a daemon's links to the store, the workers or its peers, or heal them."""
        target = self.world.daemons[self._daemon_name(daemon)]
        match link % 3:
            case 0:
                target.store_unreachable = not target.store_unreachable
                self.record_step(
                    f"no store for {target.name}: {target.store_unreachable}"
                )
            case 1:
                target.workers_unreachable = not target.workers_unreachable
                self.record_step(
                    f"no workers for {target.name}: {target.workers_unreachable}"
                )
            case 2:
                self._toggle_peers(target)

    def _toggle_peers(self, target) -> None:
        heal = bool(target.unreachable_peers)
        self.record_step(f"no peers for {target.name}: {not heal}")
        for other in self.world.daemons.values():
            if heal:
                target.unreachable_peers.discard(other.name)
                other.unreachable_peers.discard(target.name)
            else:
                target.unreachable_peers.add(other.name)
                other.unreachable_peers.add(target.name)

    def toggle_store(self) -> None:
        """Take the store down or bring it back."""
        faults = self.world.faults
        faults.store_down = not faults.store_down
        self.record_step(f"store down: {faults.store_down}")

    def set_losses(self, store: int, peers: int, workers: int) -> None:
        """Set the shares of lost answers and messages, in percent."""
        self.record_step(f"losses in percent: {store} {peers} {workers}")
        faults = self.world.faults
        faults.store_answer_loss = store / 100
        faults.message_loss = peers / 100
        faults.message_duplication = peers / 100
        faults.worker_answer_loss = workers / 100

    def set_delays(self, store_delay_factor: int, worker_ms: int) -> None:
        """Set the delay of store calls, as a factor, and of calls to workers."""
        self.record_step(
            f"store {store_delay_factor} times slower, worker calls {worker_ms} ms"
        )
        self.world.faults.store_delay_factor = store_delay_factor
        self.world.faults.worker_call_delay_ms = worker_ms

    def toggle_host(self, worker: int, fault: int) -> None:
        """Let a live host fail, become unreachable or leave; bring back any other."""
        names = sorted(self.world.workers)
        name = names[worker % len(names)]
        model = self.world.workers[name]
        if model.faults.dead or model.worker.state is not HostState.LIVE:
            self.record_step(f"{name} back")
            self.world.revive_host(name)
            return
        match fault % 3:
            case 0:
                self.record_step(f"{name} fails")
                self.world.fail_host(name)
            case 1:
                self.record_step(f"{name} unreachable")
                model.faults.dead = True
            case 2:
                self.record_step(f"{name} leaving")
                self.world.set_host(name, HostState.LEAVING)

    def set_zone(self, daemon: int, zone: int, out: bool) -> None:
        """Take a zone out or bring it back."""
        self.record_step(f"zone {ZONES[zone % 3]} out: {out} via {daemon}")
        deployment.set_zone(self.world, self._daemon_name(daemon), ZONES[zone % 3], out)

    def _daemon_name(self, number: int) -> str:
        return f"d{number % self.daemons + 1}"

    # --- end ----------------------------------------------------------------------

    def check(self) -> list[oracle.Violation]:
        """Return the violations so far."""
        return [*oracle.check_guarantees(self.world), *self.callers.check()]

    def finish(self) -> list[oracle.Violation]:
        """Remove all faults, wait for recovery, and return every violation."""
        world = self.world
        self.record_step("remove all faults")
        self.set_losses(0, 0, 0)
        self.set_delays(1, 0)
        world.faults.store_down = False
        for daemon in world.daemons.values():
            daemon.store_unreachable = False
            daemon.workers_unreachable = False
            daemon.unreachable_peers.clear()
        for name, daemon in world.daemons.items():
            if daemon.paused:
                world.resume(name)
            if not daemon.alive:
                world.start(name)
        for name in world.workers:
            world.revive_host(name)
        world.run(5_000)
        for number, zone in enumerate(ZONES):
            deployment.set_zone(world, self._daemon_name(number), zone, False)
            world.run(1_500)
        world.run_until(lambda: not oracle.check_finished(world), RECOVERY_MS)
        return [*self.check(), *oracle.check_finished(world), *self._check_views()]

    def _check_views(self) -> list[oracle.Violation]:
        views: set[ConfigView] = {
            daemon.node.context.view for daemon in self.world.daemons.values()
        }
        if len(views) == 1:
            return []
        versions = sorted(view.version for view in views)
        return [oracle.Violation("one configuration everywhere", f"{versions}")]


def walk_randomly(seed: int, steps: int) -> tuple[Walk, list[oracle.Violation]]:
    """Run a seeded walk up to its end or its first violations; return both."""
    rng = random.Random(seed)
    walk = Walk(seed, daemons=rng.choice((3, 3, 5)))
    rules = (
        (8, lambda: walk.advance(rng.choice((50, 300, 1_000, 4_000)))),
        (5, lambda: _submit(walk, rng)),
        (1, lambda: walk.cancel(rng.randrange(9), rng.randrange(4))),
        (5, lambda: walk.request(rng.randrange(9), rng.random() < 0.8, 3)),
        (1.2, lambda: walk.toggle_daemon(rng.randrange(9))),
        (1.2, lambda: walk.toggle_pause(rng.randrange(9))),
        (1.5, lambda: walk.toggle_partition(rng.randrange(9), rng.randrange(3))),
        (0.7, walk.toggle_store),
        (1, lambda: walk.set_losses(*(rng.choice((0, 0, 5, 30)) for _ in "xyz"))),
        (0.7, lambda: _set_delays(walk, rng)),
        (1.5, lambda: walk.toggle_host(rng.randrange(9), rng.randrange(3))),
        (1, lambda: _set_zone(walk, rng)),
    )
    weights = [weight for weight, _ in rules]
    for _ in range(steps):
        _, rule = rng.choices(rules, weights)[0]
        rule()
        violations = walk.check()
        if violations:
            return walk, violations
    return walk, walk.finish()


def _submit(walk: Walk, rng: random.Random) -> None:
    walk.submit(
        rng.randrange(9),
        rng.randrange(10),
        rng.choice((500, 4_000, 15_000)),
        rng.choice((500, 2_000, 5_000)),
    )


def _set_delays(walk: Walk, rng: random.Random) -> None:
    walk.set_delays(rng.choice((1, 1, 100)), rng.choice((0, 0, 1_500, 4_000)))


def _set_zone(walk: Walk, rng: random.Random) -> None:
    walk.set_zone(rng.randrange(9), rng.randrange(3), rng.random() < 0.5)
