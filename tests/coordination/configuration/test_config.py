"""Configuration keepers against a store that fails, and operators who race."""

import random
import unittest

import attrs
from attrs import Factory, define, frozen
from hypothesis import given, settings, strategies

from poplarlb.coordination.configuration.config import ConfigKeeper, PeerView
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.protocol import api, codec, ports
from poplarlb.settings import PeerSettings, Settings
from poplarlb.state.models import Resources, ZoneState
from poplarlb.state.templates import ConfigHead, TeamTemplate

STEP_MS = 50
IN_FORCE_MS = 6_000


def team(name: str, weight: float = 1.0) -> TeamTemplate:
    """Return a small template; the weight tells two editions apart."""
    return TeamTemplate(name, ("kochi",), Resources(1_000, 1_000), weight)


def address_of(number: int) -> str:
    """Return a keeper's address."""
    return f"127.0.0.1:{number}"


@define
class FakeStore:
    """Keys with revisions; calls take time, fail, or lose their answers."""

    random: random.Random
    items: dict[str, ports.StoreEntry] = Factory(dict)
    revision: int = 0
    down: bool = False
    slow: bool = False
    lossy: bool = False
    now_ms: int = 0
    commits: list[tuple[int, int]] = Factory(list)

    def carry_out(self, operation: ports.StoreOperation) -> ports.StoreResult:
        """Carry out one operation now."""
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
        """Return the head's version just before an instant."""
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
    """A store call of a keeper, or an event for it, on its way."""

    at_ms: int
    number: int
    keeper: ConfigKeeper
    thing: ports.StoreCall | ports.Event


@define
class Accepted:
    """A change that an operator was told is in force at ``version``."""

    version: int
    at_ms: int
    body: api.ApiBody


@define
class World:
    """Some keepers, the store between them, and what operators were told."""

    random: random.Random
    count: int = 3
    now_ms: int = 1_000_000
    store: FakeStore = None
    keepers: list[ConfigKeeper] = Factory(list)
    frozen_until: list[int] = Factory(list)
    in_flight: list[InFlight] = Factory(list)
    asked: dict[tuple[int, int], api.ApiBody] = Factory(dict)
    answers: dict[str, api.ApiResult] = Factory(dict)
    accepted: list[Accepted] = Factory(list)
    refused: list[api.ApiBody] = Factory(list)
    bodies: list[api.ApiBody] = Factory(list)
    seen: list[int] = Factory(list)
    revisions: dict[int, int] = Factory(dict)
    serial: int = 0

    def __attrs_post_init__(self) -> None:
        """Make the store and newborn keepers."""
        self.store = FakeStore(self.random)
        self.keepers = [self.newborn(n) for n in range(self.count)]
        self.frozen_until = [0] * self.count
        self.seen = [0] * self.count

    def newborn(self, number: int) -> ConfigKeeper:
        """Return a keeper without any knowledge but its seeds."""
        seeds = tuple(address_of(number) for number in range(self.count))
        own = Settings("m", "kochi", peers=PeerSettings(seeds=seeds))
        return ConfigKeeper(NodeContext(own), address_of(number))

    def later(self, low: int, high: int) -> int:
        """Return a random instant between the bounds from now."""
        return self.now_ms + self.random.randint(low, high)

    def send(self, at_ms: int, number: int, thing) -> None:
        """Put a store call of a keeper, or an event for it, on its way."""
        self.in_flight.append(InFlight(at_ms, number, self.keepers[number], thing))

    def carry_out(self, number: int, command: ports.Command) -> None:
        """Send a command on its way."""
        match command:
            case ports.StoreCall():
                delay = 3_000 if self.store.slow else 20
                at_ms = self.later(1, delay)
                self.send(at_ms, number, command)
            case ports.SendPeer(address=address, message=message):
                event = ports.PeerReceived(f"k{number}", message)
                target = int(address.rpartition(":")[2])
                self.send(self.later(1, 500), target, event)
            case ports.ApiAnswer(call_id=call_id, result=result):
                self.record_answer(number, call_id, result)

    def record_answer(self, number: int, call_id: int, result: api.ApiResult) -> None:
        """Remember what an operator was told."""
        body = self.asked.pop((number, call_id))
        self.answers[body.change_id] = result
        match result:
            case api.ConfigChanged(version=version):
                self.accepted.append(Accepted(version, self.now_ms, body))
            case api.Fault(code="conflict" | "not_run"):
                self.refused.append(body)

    def handle(self, number: int, event: ports.Event, peers=None) -> None:
        """Give an event to a keeper and check that its view did not go back."""
        keeper = self.keepers[number]
        for command in keeper.handle(event, self.now_ms, peers):
            self.carry_out(number, command)
        version = keeper.context.view.version
        assert version >= self.seen[number], "the view went back"
        self.seen[number] = version
        assert keeper.head_revision >= self.revisions.get(id(keeper), 0), "older head"
        self.revisions[id(keeper)] = keeper.head_revision
        confirmed_ms = keeper.context.view_confirmed_ms
        assert version >= self.store.version_at(confirmed_ms), "a false confirmation"

    def ask(self, number: int, body: api.ApiBody) -> None:
        """Let an operator ask a keeper for a change."""
        call_id = self.keepers[number].context.next_call()
        self.asked[number, call_id] = body
        self.handle(number, ports.ApiRequested(call_id, body))

    def restart(self, number: int) -> None:
        """Replace a keeper by a newborn one; its operators hear nothing."""
        self.revisions.pop(id(self.keepers[number]), None)
        self.keepers[number] = self.newborn(number)
        self.seen[number] = 0
        self.asked = {key: b for key, b in self.asked.items() if key[0] != number}

    def deliver(self, item) -> None:
        """Carry out a call at the store, or hand an event over."""
        if not isinstance(item.thing, ports.StoreCall):
            if self.keepers[item.number] is item.keeper:
                self.handle(item.number, item.thing)
            return
        result = ports.StoreFailed("down")
        if not self.store.down:
            result = self.store.carry_out(item.thing.operation)
            if self.store.lossy and self.random.random() < 0.5:
                result = ports.StoreFailed("the answer was lost")
        event = ports.StoreReplied(item.thing.call_id, result)
        answer = attrs.evolve(item, at_ms=self.later(1, 20), thing=event)
        self.in_flight.append(answer)

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            self.store.now_ms = self.now_ms
            due = [item for item in self.in_flight if item.at_ms <= self.now_ms]
            self.in_flight = [i for i in self.in_flight if i.at_ms > self.now_ms]
            self.random.shuffle(due)
            for item in due:
                paused = self.frozen_until[item.number] > self.now_ms
                if paused and not isinstance(item.thing, ports.StoreCall):
                    self.in_flight.append(item)
                else:
                    self.deliver(item)
            for number in range(self.count):
                if self.frozen_until[number] <= self.now_ms:
                    self.handle(number, ports.Tick(), self.peers_of(number))

    def run_until(self, reached) -> None:
        """Let time pass until a condition holds."""
        for _ in range(400):
            if reached():
                return
            self.run(STEP_MS)
        raise AssertionError("the condition was never reached")

    def peers_of(self, number: int) -> tuple[PeerView, ...]:
        """Return the other keepers, as heartbeats show them."""
        return tuple(
            PeerView(f"k{other}", address_of(other), self.seen[other])
            for other in range(self.count)
            if other != number and self.frozen_until[other] <= self.now_ms
        )

    def check_end(self) -> None:
        """Heal everything, and compare every view with what operators heard."""
        self.store.down = self.store.slow = self.store.lossy = False
        self.frozen_until = [0] * self.count
        self.run(30_000)
        views = [keeper.context.view for keeper in self.keepers]
        assert all(view == views[0] for view in views), "the views differ"
        ids = [note.change_id for note in views[0].changes]
        assert len(ids) == len(set(ids)), "a change was applied twice"
        versions = {note.change_id: note.version for note in views[0].changes}
        oldest = min(versions.values(), default=0)
        for item in self.accepted:
            if item.version >= oldest:
                assert versions.get(item.body.change_id) == item.version, "lost"
        accepted_ids = {item.body.change_id for item in self.accepted}
        for body in self.refused:
            applied = body.change_id in versions
            assert not applied or body.change_id in accepted_ids, "a false refusal"
        self.check_content(views[0])
        self.check_parts()

    def check_parts(self) -> None:
        """Change every team; then the store holds the named parts and no other."""
        base = self.keepers[0].context.view.version
        teams = tuple(team(name) for name in "abc")
        body = api.ApplyTemplates("last", "asha", base, teams, ("d",))
        self.ask(0, body)
        self.run(3_000)
        keeper = self.keepers[0]
        named = {f"{ref.team}/{ref.part}" for ref in keeper.head.parts}
        prefix = "poplarlb/config/parts/"
        kept = {k.removeprefix(prefix) for k in self.store.items if prefix in k}
        assert kept == named, "parts were left behind or lost"

    def check_content(self, view) -> None:
        """Replay the changes by version and compare teams and zones."""
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
        """Return a random change by an operator who looked at a keeper's view."""
        self.serial += 1
        name = f"c{self.serial}"
        if self.random.random() < 0.5:
            zone = self.random.choice(("kochi", "kollam"))
            state = self.random.choice((ZoneState.IN, ZoneState.OUT))
            body = api.SetZone(name, "asha", zone, state)
        else:
            base = self.keepers[number].context.view.version
            changed = (team(self.random.choice("abc"), float(self.serial)),)
            removed = ("d",) if self.random.random() < 0.2 else ()
            body = api.ApplyTemplates(name, "ravi", base, changed, removed)
        self.bodies.append(body)
        return body

    def step(self) -> None:
        """Do one random thing."""
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
                self.frozen_until[number] = self.later(0, 8_000)
            case "x":
                self.restart(number)
        self.run(self.random.choice((0, 100, 1_000, 4_000)))


def is_sweep(thing) -> bool:
    """Tell whether a store call reads all parts of one team."""
    operation = getattr(thing, "operation", None)
    return isinstance(operation, ports.StoreRead) and operation.prefix.endswith("a/")


def writes_head(thing) -> bool:
    """Tell whether a store call writes the head."""
    operation = getattr(thing, "operation", None)
    return isinstance(operation, ports.StoreWrite) and operation.key.endswith("head")


class ConfigFuzzTest(unittest.TestCase):
    """Random changes, faults and restarts."""

    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(strategies.integers(0, 1 << 32))
    def test_changes_survive_faults(self, seed: int) -> None:
        """No view goes back, no accepted change is lost, no refusal is false."""
        world = World(random.Random(seed))
        for _ in range(25):
            world.step()
        world.check_end()


class ConfigTest(unittest.TestCase):
    """Single cases of the keeper."""

    def setUp(self) -> None:
        """Start three keepers at a good store."""
        self.world = World(random.Random(1))
        self.world.run(1_000)

    def change(self, name: str, base: int, weight: float) -> api.ApplyTemplates:
        """Return a change to team a."""
        return api.ApplyTemplates(name, name, base, (team("a", weight),))

    def test_in_force_everywhere_within_bound(self) -> None:
        """Every change is in every view within six seconds of its acceptance."""
        for serial in range(20):
            base = self.world.keepers[0].context.view.version
            self.world.ask(serial % 3, self.change(f"c{serial}", base, serial))
            asked_ms = self.world.now_ms
            number = serial + 1
            self.world.run_until(lambda n=number: len(self.world.accepted) >= n)
            self.world.run_until(lambda n=number: min(self.world.seen) >= n)
            self.assertLess(self.world.now_ms - asked_ms, IN_FORCE_MS)

    def test_lost_answer_before_an_outage(self) -> None:
        """A write that took effect unseen is told as unknown, and settled later."""
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
        """A change that was never sent is truly not run."""
        self.world.store.down = True
        self.world.ask(0, self.change("c1", 0, 1.0))
        self.world.run(15_000)
        self.assertEqual(self.world.answers["c1"].code, "not_run")

    def test_newborn_without_store(self) -> None:
        """A newborn takes its peers' view while the store is down, unconfirmed."""
        world = self.world
        world.ask(0, self.change("c1", 0, 1.0))
        world.run(3_000)
        world.store.down = True
        world.restart(2)
        world.run(3_000)
        context = world.keepers[2].context
        self.assertEqual(context.view.version, 1)
        self.assertFalse(context.view_is_fresh(world.now_ms))

    def test_reused_change_id(self) -> None:
        """A change id can't be used for another change."""
        self.world.ask(0, self.change("c1", 0, 1.0))
        self.world.run(2_000)
        self.world.ask(1, self.change("c1", 1, 2.0))
        self.world.run(2_000)
        self.assertEqual(self.world.answers["c1"].code, "conflict")

    def test_sweep_spares_a_part_not_yet_named(self) -> None:
        """A sweep that meets another change's fresh part leaves it alone."""
        world = self.world
        world.ask(0, self.change("c1", 0, 1.0))
        world.run_until(lambda: world.keepers[0].sweeps)
        sweep = [item for item in world.in_flight if is_sweep(item.thing)]
        world.in_flight = [i for i in world.in_flight if i not in sweep]
        world.run(1_000)
        world.ask(1, self.change("c2", 1, 2.0))
        world.run_until(lambda: any(writes_head(i.thing) for i in world.in_flight))
        head = [item for item in world.in_flight if writes_head(item.thing)]
        world.in_flight = [i for i in world.in_flight if i not in head] + sweep
        world.run(1_000)
        world.in_flight += head
        world.run(7_000)
        self.assertEqual(world.answers["c2"].version, 2)
        fresh = [k.context.view_is_fresh(world.now_ms) for k in world.keepers]
        self.assertEqual(fresh, [True] * 3)

    def test_zone_states_survive_the_codec(self) -> None:
        """A zone that is back in allows starts at every keeper."""
        for serial, state in enumerate((ZoneState.OUT, ZoneState.IN)):
            self.world.ask(0, api.SetZone(f"z{serial}", "asha", "kochi", state))
            self.world.run(2_000)
            allowed = {
                keeper.context.view.zone_allows_starts("kochi")
                for keeper in self.world.keepers
            }
            self.assertEqual(allowed, {state is ZoneState.IN})

    def test_race_names_the_winner(self) -> None:
        """The loser learns the winning version and the other's change."""
        world = self.world
        world.ask(0, self.change("c1", 0, 1.0))
        world.ask(1, self.change("c2", 0, 2.0))
        world.run(3_000)
        kinds = {name: type(item) for name, item in world.answers.items()}
        self.assertEqual(set(kinds.values()), {api.ConfigChanged, api.Fault})
        winner = next(n for n, k in kinds.items() if k is api.ConfigChanged)
        fault = next(a for a in world.answers.values() if isinstance(a, api.Fault))
        self.assertEqual(fault.code, "conflict")
        self.assertIn(f"version 1 by {winner}", fault.detail)


if __name__ == "__main__":
    unittest.main()
