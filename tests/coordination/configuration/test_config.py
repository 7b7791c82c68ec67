"""Tests of configuration changes: store faults and concurrent operators."""

import random
import unittest

import attrs
from attrs import Factory, define, frozen
from hypothesis import given, settings, strategies

from poplarlb.coordination.configuration.config import ConfigManager, PeerView
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.protocol import api, codec, ports
from poplarlb.settings import PeerSettings, Settings
from poplarlb.state.models import Resources, ZoneState
from poplarlb.state.templates import ConfigHead, TeamTemplate

STEP_MS = 50
PROPAGATION_LIMIT_MS = 6_000


def team(name: str, weight: float = 1.0) -> TeamTemplate:
    """Return a small template; the weight distinguishes two versions of it."""
    return TeamTemplate(name, ("kochi",), Resources(1_000, 1_000), weight)


def address_of(number: int) -> str:
    """Return a manager's address."""
    return f"127.0.0.1:{number}"


@define
class FakeStore:
    """A fake store of keys with revisions; calls take time, fail or lose answers.

    ``commits`` holds the time and the version of each head written.
    """

    random: random.Random
    items: dict[str, ports.StoreEntry] = Factory(dict)
    revision: int = 0
    down: bool = False
    slow: bool = False
    lossy: bool = False
    now_ms: int = 0
    commits: list[tuple[int, int]] = Factory(list)

    def execute(self, operation: ports.StoreOperation) -> ports.StoreResult:
        """Execute one operation now."""
        match operation:
            case ports.StoreRead(prefix=prefix, newer_than=newer):
                found = (
                    entry
                    for key, entry in sorted(self.items.items())
                    if key.startswith(prefix) and entry.version > newer
                )
                return ports.StoreEntries(tuple(found), self.revision)
            case ports.StoreWrite() | ports.StoreDelete():
                return self._change(operation)
        raise TypeError(operation)

    def version_at(self, at_ms: int) -> int:
        """Return the head's version just before a time."""
        return max((v for when, v in self.commits if when < at_ms), default=0)

    def _change(self, operation) -> ports.StoreWritten:
        old = self.items.get(operation.key)
        if (old.version if old else 0) != operation.expected_version:
            return ports.StoreWritten(False)
        self.revision += 1
        if isinstance(operation, ports.StoreDelete):
            del self.items[operation.key]
        else:
            entry = ports.StoreEntry(operation.key, operation.value, self.revision)
            self.items[operation.key] = entry
            if operation.key.endswith("config/head"):
                version = codec.decode(operation.value, ConfigHead).version
                self.commits.append((self.now_ms, version))
        return ports.StoreWritten(True, self.revision)


@frozen(eq=False)
class InFlight:
    """A store call of a manager, or an event for it, that is delivered at ``at_ms``."""

    at_ms: int
    number: int
    manager: ConfigManager
    payload: ports.StoreCall | ports.Event


@define
class Accepted:
    """A change that was reported to an operator as applied in ``version``."""

    version: int
    at_ms: int
    body: api.ApiBody


@define
class World:
    """Some managers, their fake store, and the answers that operators received.

    ``bodies`` are the changes asked for; ``view_versions`` and ``head_revisions`` are
    the highest seen of each manager, to check that neither goes back.
    """

    random: random.Random
    count: int = 3
    now_ms: int = 1_000_000
    store: FakeStore = None
    managers: list[ConfigManager] = Factory(list)
    paused_until_ms: list[int] = Factory(list)
    in_flight: list[InFlight] = Factory(list)
    pending_calls: dict[tuple[int, int], api.ApiBody] = Factory(dict)
    answers: dict[str, api.ApiResult] = Factory(dict)
    accepted: list[Accepted] = Factory(list)
    refused: list[api.ApiBody] = Factory(list)
    bodies: list[api.ApiBody] = Factory(list)
    view_versions: list[int] = Factory(list)
    head_revisions: dict[int, int] = Factory(dict)
    serial: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the store and the managers."""
        self.store = FakeStore(self.random)
        self.managers = [self.make_manager(n) for n in range(self.count)]
        self.paused_until_ms = [0] * self.count
        self.view_versions = [0] * self.count

    def make_manager(self, number: int) -> ConfigManager:
        """Return a new manager that knows only its seeds."""
        seeds = tuple(address_of(number) for number in range(self.count))
        own = Settings("m", "kochi", peers=PeerSettings(seeds=seeds))
        return ConfigManager(NodeContext(own), address_of(number))

    def random_time(self, low: int, high: int) -> int:
        """Return a random time from ``low`` to ``high`` ms from now."""
        return self.now_ms + self.random.randint(low, high)

    def send(self, at_ms: int, number: int, payload) -> None:
        """Put a store call of a manager, or an event for it, in flight."""
        self.in_flight.append(InFlight(at_ms, number, self.managers[number], payload))

    def execute(self, number: int, command: ports.Command) -> None:
        """Execute a command of a manager."""
        match command:
            case ports.StoreCall():
                delay = 3_000 if self.store.slow else 20
                at_ms = self.random_time(1, delay)
                self.send(at_ms, number, command)
            case ports.SendPeer(address=address, message=message):
                event = ports.PeerReceived(f"k{number}", message)
                target = int(address.rpartition(":")[2])
                self.send(self.random_time(1, 500), target, event)
            case ports.ApiAnswer(call_id=call_id, result=result):
                self.record_answer(number, call_id, result)

    def record_answer(self, number: int, call_id: int, result: api.ApiResult) -> None:
        """Record the answer to an operator."""
        body = self.pending_calls.pop((number, call_id))
        self.answers[body.change_id] = result
        match result:
            case api.ConfigChanged(version=version):
                self.accepted.append(Accepted(version, self.now_ms, body))
            case api.Fault(code="conflict" | "not_run"):
                self.refused.append(body)

    def handle(self, number: int, event: ports.Event, peers=None) -> None:
        """Pass an event to a manager; check that its view did not go back."""
        manager = self.managers[number]
        for command in manager.handle(event, self.now_ms, peers):
            self.execute(number, command)
        version = manager.context.view.version
        assert version >= self.view_versions[number], (
            "the view went back to an older version"
        )
        self.view_versions[number] = version
        assert manager.head_revision >= self.head_revisions.get(id(manager), 0), (
            "the head went back"
        )
        self.head_revisions[id(manager)] = manager.head_revision
        confirmed_ms = manager.context.view_confirmed_ms
        assert version >= self.store.version_at(confirmed_ms), (
            "an outdated view was confirmed"
        )

    def ask(self, number: int, body: api.ApiBody) -> None:
        """Let an operator ask a manager for a change."""
        call_id = self.managers[number].context.next_call()
        self.pending_calls[number, call_id] = body
        self.handle(number, ports.ApiRequested(call_id, body))

    def restart(self, number: int) -> None:
        """Replace a manager by a new one; its operators get no answers."""
        self.head_revisions.pop(id(self.managers[number]), None)
        self.managers[number] = self.make_manager(number)
        self.view_versions[number] = 0
        self.pending_calls = {
            key: b for key, b in self.pending_calls.items() if key[0] != number
        }

    def deliver(self, item) -> None:
        """Execute a call at the store, or pass an event to its manager."""
        if not isinstance(item.payload, ports.StoreCall):
            if self.managers[item.number] is item.manager:
                self.handle(item.number, item.payload)
            return
        result = ports.StoreFailed("down")
        if not self.store.down:
            result = self.store.execute(item.payload.operation)
            if self.store.lossy and self.random.random() < 0.5:
                result = ports.StoreFailed("the answer was lost")
        event = ports.StoreReplied(item.payload.call_id, result)
        answer = attrs.evolve(item, at_ms=self.random_time(1, 20), payload=event)
        self.in_flight.append(answer)

    def run(self, duration_ms: int) -> None:
        """Advance the clock and deliver what is due."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            self.store.now_ms = self.now_ms
            due = [item for item in self.in_flight if item.at_ms <= self.now_ms]
            self.in_flight = [i for i in self.in_flight if i.at_ms > self.now_ms]
            self.random.shuffle(due)
            for item in due:
                paused = self.paused_until_ms[item.number] > self.now_ms
                if paused and not isinstance(item.payload, ports.StoreCall):
                    self.in_flight.append(item)
                else:
                    self.deliver(item)
            for number in range(self.count):
                if self.paused_until_ms[number] <= self.now_ms:
                    self.handle(number, ports.Tick(), self.peers_of(number))

    def run_until(self, reached) -> None:
        """Advance the clock until a condition holds."""
        for _ in range(400):
            if reached():
                return
            self.run(STEP_MS)
        raise AssertionError("the condition was never reached")

    def peers_of(self, number: int) -> tuple[PeerView, ...]:
        """Return the other managers, as heartbeats show them."""
        return tuple(
            PeerView(f"k{other}", address_of(other), self.view_versions[other])
            for other in range(self.count)
            if other != number and self.paused_until_ms[other] <= self.now_ms
        )

    def check_end(self) -> None:
        """End all faults; compare every view with the answers to operators."""
        self.store.down = self.store.slow = self.store.lossy = False
        self.paused_until_ms = [0] * self.count
        self.run(30_000)
        views = [manager.context.view for manager in self.managers]
        assert all(view == views[0] for view in views), "the views differ"
        ids = [note.change_id for note in views[0].changes]
        assert len(ids) == len(set(ids)), "a change was applied twice"
        versions = {note.change_id: note.version for note in views[0].changes}
        oldest = min(versions.values(), default=0)
        for item in self.accepted:
            if item.version >= oldest:
                assert versions.get(item.body.change_id) == item.version, (
                    "an accepted change was lost"
                )
        accepted_ids = {item.body.change_id for item in self.accepted}
        for body in self.refused:
            applied = body.change_id in versions
            assert not applied or body.change_id in accepted_ids, (
                "a refused change was applied"
            )
        self.check_content(views[0])
        self.check_parts()

    def check_parts(self) -> None:
        """Change every team; check that the store has only the parts the head names."""
        base = self.managers[0].context.view.version
        teams = tuple(team(name) for name in "abc")
        body = api.ApplyTemplates("last", "asha", base, teams, ("d",))
        self.ask(0, body)
        self.run(3_000)
        manager = self.managers[0]
        named = {f"{ref.team}/{ref.part}" for ref in manager.head.parts}
        prefix = "poplarlb/config/parts/"
        kept = {k.removeprefix(prefix) for k in self.store.items if prefix in k}
        assert kept == named, "parts remain that the head does not name, or are lost"

    def check_content(self, view) -> None:
        """Apply the changes by version; compare teams and zones with the view."""
        bodies = {body.change_id: body for body in self.bodies}
        if len(view.changes) < view.version:
            return
        teams, zones = {}, {}
        for note in view.changes:
            match bodies[note.change_id]:
                case api.SetZone(zone=zone, state=state):
                    zones[zone] = state
                case api.ApplyTemplates(teams=changed, removed=removed):
                    teams.update({item.team: item for item in changed})
                    teams = {k: v for k, v in teams.items() if k not in removed}
        assert {item.team: item for item in view.teams} == teams, "wrong templates"
        assert {item.zone: item.state for item in view.zones} == zones, "wrong zones"

    def new_change(self, number: int) -> api.ApiBody:
        """Return a random change, based on a manager's present view."""
        self.serial += 1
        name = f"c{self.serial}"
        if self.random.random() < 0.5:
            zone = self.random.choice(("kochi", "kollam"))
            state = self.random.choice((ZoneState.IN, ZoneState.OUT))
            body = api.SetZone(name, "asha", zone, state)
        else:
            base = self.managers[number].context.view.version
            changed = (team(self.random.choice("abc"), float(self.serial)),)
            removed = ("d",) if self.random.random() < 0.2 else ()
            body = api.ApplyTemplates(name, "ravi", base, changed, removed)
        self.bodies.append(body)
        return body

    def step(self) -> None:
        """Apply one random change or fault."""
        number = self.random.randrange(self.count)
        match self.random.choice("aaaarrdsloofx"):
            case "a":
                self.ask(number, self.new_change(number))
            case "r" if self.bodies:
                self.ask(number, self.random.choice(self.bodies[-3:]))
            case "d":
                self.store.down = not self.store.down
            case "s":
                self.store.slow = not self.store.slow
            case "l":
                self.store.lossy = not self.store.lossy
            case "o":
                self.store.down = self.store.slow = False
            case "f":
                self.paused_until_ms[number] = self.random_time(0, 8_000)
            case "x":
                self.restart(number)
        self.run(self.random.choice((0, 100, 1_000, 4_000)))


def is_sweep(payload) -> bool:
    """Return whether a store call reads all parts of team a."""
    operation = getattr(payload, "operation", None)
    return isinstance(operation, ports.StoreRead) and operation.prefix.endswith("a/")


def writes_head(payload) -> bool:
    """Return whether a store call writes the head."""
    operation = getattr(payload, "operation", None)
    return isinstance(operation, ports.StoreWrite) and operation.key.endswith("head")


class ConfigFuzzTest(unittest.TestCase):
    """Random changes, faults and restarts."""

    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(strategies.integers(0, 1 << 32))
    def test_changes_survive_faults(self, seed: int) -> None:
        """No view goes back, no accepted change is lost, no refused one is applied."""
        world = World(random.Random(seed))
        for _ in range(25):
            world.step()
        world.check_end()


class ConfigTest(unittest.TestCase):
    """Single cases of configuration changes and views."""

    def setUp(self) -> None:
        """Start three managers with a store that works."""
        self.world = World(random.Random(1))
        self.world.run(1_000)

    def change(self, name: str, base: int, weight: float) -> api.ApplyTemplates:
        """Return a change to team a."""
        return api.ApplyTemplates(name, name, base, (team("a", weight),))

    def test_change_reaches_every_view_in_time(self) -> None:
        """Every change is in every view within 6 s of its request."""
        for serial in range(20):
            base = self.world.managers[0].context.view.version
            self.world.ask(serial % 3, self.change(f"c{serial}", base, serial))
            requested_ms = self.world.now_ms
            number = serial + 1
            self.world.run_until(lambda n=number: len(self.world.accepted) >= n)
            self.world.run_until(lambda n=number: min(self.world.view_versions) >= n)
            self.assertLess(self.world.now_ms - requested_ms, PROPAGATION_LIMIT_MS)

    def test_lost_answer_before_an_outage(self) -> None:
        """A write without an answer has an unknown outcome, which a retry shows."""
        world = self.world
        body = self.change("c1", 0, 1.0)
        world.ask(0, body)
        world.run_until(lambda: world.store.commits)
        world.store.down = True
        world.in_flight = []
        world.run(15_000)
        self.assertEqual(world.answers["c1"].code, "outcome_unknown")
        world.store.down = False
        world.ask(1, body)
        world.run(2_000)
        self.assertEqual(world.answers["c1"].version, 1)
        self.assertEqual(len(world.store.commits), 1)

    def test_outage_before_any_write(self) -> None:
        """A change whose write was never sent is answered with not_run."""
        self.world.store.down = True
        self.world.ask(0, self.change("c1", 0, 1.0))
        self.world.run(15_000)
        self.assertEqual(self.world.answers["c1"].code, "not_run")

    def test_new_manager_without_store(self) -> None:
        """A new manager adopts its peers' view, unconfirmed, without the store."""
        world = self.world
        world.ask(0, self.change("c1", 0, 1.0))
        world.run(3_000)
        world.store.down = True
        world.restart(2)
        world.run(3_000)
        context = world.managers[2].context
        self.assertEqual(context.view.version, 1)
        self.assertFalse(context.view_is_fresh(world.now_ms))

    def test_odd_record_of_the_configuration_is_noted(self) -> None:
        """Guards against an unreadable head or part that no log line names.

        The view stays as it is, unconfirmed, until the record is replaced.
        """
        world = self.world
        world.ask(0, self.change("c1", 0, 1.0))
        world.run(3_000)
        keys = [key for key in world.store.items if "/parts/" in key]
        for key in (*keys, next(k for k in world.store.items if k.endswith("head"))):
            with self.subTest(key=key):
                sound = world.store.items[key]
                for value in (b"\x81" * 100_000, b"\xff"):
                    world.store.revision += 1
                    version = world.store.revision
                    world.store.items[key] = ports.StoreEntry(key, value, version)
                    world.restart(1)
                    world.run(5_000)
                    context = world.managers[1].context
                    noted = [(item.key, item.version) for item in context.unreadable]
                    self.assertEqual(noted, [(key, version)])
                    self.assertFalse(context.view_is_fresh(world.now_ms))
                world.store.revision += 1
                version = world.store.revision
                entry = ports.StoreEntry(key, sound.value, version)
                world.store.items[key] = entry
                world.run(3_000)
                self.assertTrue(context.view_is_fresh(world.now_ms))

    def test_reused_change_id(self) -> None:
        """A change id can't be used for another change."""
        self.world.ask(0, self.change("c1", 0, 1.0))
        self.world.run(2_000)
        self.world.ask(1, self.change("c1", 1, 2.0))
        self.world.run(2_000)
        self.assertEqual(self.world.answers["c1"].code, "conflict")

    def test_sweep_keeps_a_part_not_yet_in_the_head(self) -> None:
        """A sweep does not delete a part that another change has just written."""
        world = self.world
        world.ask(0, self.change("c1", 0, 1.0))
        world.run_until(lambda: world.managers[0].sweeps)
        sweep = [item for item in world.in_flight if is_sweep(item.payload)]
        world.in_flight = [i for i in world.in_flight if i not in sweep]
        world.run(1_000)
        world.ask(1, self.change("c2", 1, 2.0))
        world.run_until(lambda: any(writes_head(i.payload) for i in world.in_flight))
        head = [item for item in world.in_flight if writes_head(item.payload)]
        world.in_flight = [i for i in world.in_flight if i not in head] + sweep
        world.run(1_000)
        world.in_flight += head
        world.run(7_000)
        self.assertEqual(world.answers["c2"].version, 2)
        fresh = [k.context.view_is_fresh(world.now_ms) for k in world.managers]
        self.assertEqual(fresh, [True] * 3)

    def test_zone_states_survive_the_codec(self) -> None:
        """A zone that was taken out and back in allows starts at every manager."""
        for serial, state in enumerate((ZoneState.OUT, ZoneState.IN)):
            self.world.ask(0, api.SetZone(f"z{serial}", "asha", "kochi", state))
            self.world.run(2_000)
            allowed = {
                manager.context.view.zone_allows_starts("kochi")
                for manager in self.world.managers
            }
            self.assertEqual(allowed, {state is ZoneState.IN})

    def test_conflict_names_the_applied_change(self) -> None:
        """A conflict names the version and the change that were applied first."""
        world = self.world
        world.ask(0, self.change("c1", 0, 1.0))
        world.ask(1, self.change("c2", 0, 2.0))
        world.run(3_000)
        result_types = {name: type(item) for name, item in world.answers.items()}
        self.assertEqual(set(result_types.values()), {api.ConfigChanged, api.Fault})
        winner = next(n for n, k in result_types.items() if k is api.ConfigChanged)
        fault = next(a for a in world.answers.values() if isinstance(a, api.Fault))
        self.assertEqual(fault.code, "conflict")
        self.assertIn(f"version 1 by {winner}", fault.detail)


if __name__ == "__main__":
    unittest.main()
