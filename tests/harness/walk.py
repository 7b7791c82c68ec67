"""A random walk over whole nodes: work, faults, operators, then quiet."""

import random

from attrs import Factory, define, field

from poplarlb.protocol import api
from poplarlb.state.models import HostState, Resources, TaskKey, WorkClass
from poplarlb.state.templates import ConfigView
from tests.harness import deployment, oracle
from tests.harness.caller import Callers
from tests.harness.world import World

ZONES = ("a", "b", "c")
QUIET_MS = 240_000
CLASSES = (
    WorkClass.URGENT,
    WorkClass.ORDINARY,
    WorkClass.PATIENT,
    WorkClass.LONG_LIVED,
)


@define
class Walk:
    """One run: rules to call in any order, then ``finish``."""

    seed: int
    daemons: int = 3
    jobs: int = 0
    keys: int = 0
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

    def note(self, what: str) -> None:
        """Keep a line of the run's own account."""
        self.trace.append(f"{self.world.now_ms} {what}")

    # --- rules --------------------------------------------------------------------

    def advance(self, duration_ms: int) -> None:
        """Let time pass."""
        self.note(f"advance {duration_ms}")
        self.world.run(duration_ms)

    def submit(self, daemon: int, kind: int, run_time_ms: int, cpu_millis: int) -> None:
        """Submit a job, sometimes one that was submitted before."""
        self.jobs += 1
        number = self.jobs if kind < 8 else max(1, self.jobs - 1)
        name = f"dairy/j{number}"
        self.note(f"submit {name} via {daemon} {run_time_ms} ms {cpu_millis} mcpu")
        spec = deployment.make_job(
            self.world,
            name,
            CLASSES[kind % len(CLASSES)],
            Resources(cpu_millis, 500),
            run_time_ms,
        )
        self.world.ask(self._name(daemon), api.SubmitTask(spec))

    def cancel(self, daemon: int, back: int) -> None:
        """Cancel a recent job."""
        number = max(1, self.jobs - back)
        self.note(f"cancel j{number} via {daemon}")
        key = TaskKey("dairy", f"j{number}")
        self.world.ask(self._name(daemon), api.CancelTask(key))

    def request(self, daemon: int, keyed: bool, tries: int) -> None:
        """Send a request to the service."""
        self.keys += 1
        key = f"k{self.keys}" if keyed else ""
        self.note(f"request {key} via {daemon}")
        self.callers.send(self._name(daemon), "dairy", "orders", key, tries)

    def toggle_daemon(self, daemon: int) -> None:
        """Kill a daemon or start it anew."""
        name = self._name(daemon)
        if self.world.daemons[name].alive:
            self.note(f"kill {name}")
            self.world.kill(name)
        else:
            self.note(f"start {name}")
            self.world.start(name)

    def toggle_pause(self, daemon: int) -> None:
        """Freeze a daemon or let it go on."""
        name = self._name(daemon)
        if self.world.daemons[name].paused:
            self.note(f"resume {name}")
            self.world.resume(name)
        else:
            self.note(f"pause {name}")
            self.world.pause(name)

    def toggle_cut(self, daemon: int, what: int) -> None:
        """Cut a daemon off from the store, its peers or the workers, or heal it."""
        target = self.world.daemons[self._name(daemon)]
        match what % 3:
            case 0:
                target.no_store = not target.no_store
                self.note(f"no store for {target.name}: {target.no_store}")
            case 1:
                target.cut_workers = not target.cut_workers
                self.note(f"no workers for {target.name}: {target.cut_workers}")
            case 2:
                self._toggle_peers(target)

    def _toggle_peers(self, target) -> None:
        heal = bool(target.cut_peers)
        self.note(f"peers of {target.name} cut: {not heal}")
        for other in self.world.daemons.values():
            if heal:
                target.cut_peers.discard(other.name)
                other.cut_peers.discard(target.name)
            else:
                target.cut_peers.add(other.name)
                other.cut_peers.add(target.name)

    def toggle_store(self) -> None:
        """Take the store down or bring it back."""
        faults = self.world.faults
        faults.store_down = not faults.store_down
        self.note(f"store down: {faults.store_down}")

    def set_losses(self, store: int, peers: int, workers: int) -> None:
        """Set the shares of lost answers and messages, in percent."""
        self.note(f"losses {store} {peers} {workers}")
        faults = self.world.faults
        faults.lose_store_answer = store / 100
        faults.lose_message = peers / 100
        faults.repeat_message = peers / 100
        faults.lose_worker_answer = workers / 100

    def set_delays(self, store_factor: int, worker_ms: int) -> None:
        """Slow the store's answers and the calls to workers."""
        self.note(f"store {store_factor} times slower, worker calls {worker_ms} ms")
        self.world.faults.store_factor = store_factor
        self.world.faults.slow_worker_call_ms = worker_ms

    def toggle_host(self, worker: int, how: int) -> None:
        """Let a host fail, vanish from the network, leave, or come back."""
        names = sorted(self.world.workers)
        name = names[worker % len(names)]
        model = self.world.workers[name]
        if model.faults.dead or model.worker.state is not HostState.LIVE:
            self.note(f"{name} back")
            self.world.revive_host(name)
            return
        match how % 3:
            case 0:
                self.note(f"{name} fails")
                self.world.fail_host(name)
            case 1:
                self.note(f"{name} unreachable")
                model.faults.dead = True
            case 2:
                self.note(f"{name} leaving")
                self.world.set_host(name, HostState.LEAVING)

    def set_zone(self, daemon: int, zone: int, out: bool) -> None:
        """Take a zone out or bring it back."""
        self.note(f"zone {ZONES[zone % 3]} out: {out} via {daemon}")
        deployment.set_zone(self.world, self._name(daemon), ZONES[zone % 3], out)

    def _name(self, number: int) -> str:
        return f"d{number % self.daemons + 1}"

    # --- end ----------------------------------------------------------------------

    def check(self) -> list[oracle.Violation]:
        """Return the promises broken so far."""
        return [*oracle.check_promises(self.world), *self.callers.check()]

    def finish(self) -> list[oracle.Violation]:
        """Heal everything, wait, and return every broken promise."""
        world = self.world
        self.note("quiet")
        self.set_losses(0, 0, 0)
        self.set_delays(1, 0)
        world.faults.store_down = False
        for daemon in world.daemons.values():
            daemon.no_store = False
            daemon.cut_workers = False
            daemon.cut_peers.clear()
        for name, daemon in world.daemons.items():
            if daemon.paused:
                world.resume(name)
            if not daemon.alive:
                world.start(name)
        for name in world.workers:
            world.revive_host(name)
        world.run(5_000)
        for number, zone in enumerate(ZONES):
            deployment.set_zone(world, self._name(number), zone, False)
            world.run(1_500)
        world.run_until(lambda: not oracle.check_finished(world), QUIET_MS)
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
    """Run one seeded walk to its end and return what it broke."""
    chance = random.Random(seed)
    walk = Walk(seed, daemons=chance.choice((3, 3, 5)))
    rules = (
        (8, lambda: walk.advance(chance.choice((50, 300, 1_000, 4_000)))),
        (5, lambda: _submit(walk, chance)),
        (1, lambda: walk.cancel(chance.randrange(9), chance.randrange(4))),
        (5, lambda: walk.request(chance.randrange(9), chance.random() < 0.8, 3)),
        (1.2, lambda: walk.toggle_daemon(chance.randrange(9))),
        (1.2, lambda: walk.toggle_pause(chance.randrange(9))),
        (1.5, lambda: walk.toggle_cut(chance.randrange(9), chance.randrange(3))),
        (0.7, walk.toggle_store),
        (1, lambda: walk.set_losses(*(chance.choice((0, 0, 5, 30)) for _ in "xyz"))),
        (0.7, lambda: _set_delays(walk, chance)),
        (1.5, lambda: walk.toggle_host(chance.randrange(9), chance.randrange(3))),
        (1, lambda: _set_zone(walk, chance)),
    )
    weights = [weight for weight, _ in rules]
    for _ in range(steps):
        _, rule = chance.choices(rules, weights)[0]
        rule()
        broken = walk.check()
        if broken:
            return walk, broken
    return walk, walk.finish()


def _submit(walk: Walk, chance: random.Random) -> None:
    walk.submit(
        chance.randrange(9),
        chance.randrange(10),
        chance.choice((500, 4_000, 15_000)),
        chance.choice((500, 2_000, 5_000)),
    )


def _set_delays(walk: Walk, chance: random.Random) -> None:
    walk.set_delays(chance.choice((1, 1, 100)), chance.choice((0, 0, 1_500, 4_000)))


def _set_zone(walk: Walk, chance: random.Random) -> None:
    walk.set_zone(chance.randrange(9), chance.randrange(3), chance.random() < 0.5)
