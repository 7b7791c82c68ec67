"""Reads and runs scripted scenarios.

A line either sets up the deployment (``seed 7``, ``zones a b``, ``daemon d1 a``,
``workers a 3``, ``set tasks.lease_ms 5000``, ``team dairy services orders=2``) or is
``at 3s`` with an action or an expectation. ``#`` begins a comment. Times are relative
to the first ``at``; lines must be in the order of their times.
"""

import pathlib
import re

from attrs import Factory, define, frozen

from poplarlb.protocol import api, ports
from poplarlb.state.models import HostState, Resources, TaskKey, WorkClass
from tests.harness import deployment, oracle
from tests.harness.world import World

_UNIT_MS = {"ms": 1, "s": 1_000, "m": 60_000}
_HOST_STATES = {
    "leaving": HostState.LEAVING,
    "live": HostState.LIVE,
    "listed-dead": HostState.DEAD,
}


class ScenarioError(Exception):
    """A line of a scenario is invalid, or its expectation failed."""


@frozen
class Line:
    """One line of a scenario, split into words, and its number in the file."""

    number: int
    words: tuple[str, ...]


def parse_duration_ms(text: str) -> int:
    """Return a duration such as ``1500ms``, ``3s`` or ``2m`` in milliseconds."""
    found = re.fullmatch(r"(\d+)(ms|s|m)", text)
    if found is None:
        raise ScenarioError(f"not a duration: {text}")
    return int(found[1]) * _UNIT_MS[found[2]]


def read_scenario(path: pathlib.Path) -> list[Line]:
    """Return the lines of a file, without comments and blank lines."""
    numbered = enumerate(path.read_text().splitlines(), 1)
    split = ((number, text.partition("#")[0].split()) for number, text in numbered)
    return [Line(number, tuple(words)) for number, words in split if words]


@define
class Scenario:
    """Runs the lines of one scenario in a world of its own."""

    lines: list[Line]
    world: World = Factory(lambda: World(deployment.make_settings(("a",))))
    zones: tuple[str, ...] = ()
    start_ms: int = 0
    teams: list = Factory(list)

    def run(self) -> World:
        """Run every line.

        :raises ScenarioError: naming the line that failed.
        """
        for line in self.lines:
            try:
                self._run_line(line.words)
            except (ScenarioError, ValueError, KeyError) as error:
                text = " ".join(line.words)
                raise ScenarioError(f"line {line.number}: {text}: {error}") from error
        return self.world

    def _run_line(self, words: tuple[str, ...]) -> None:
        match words:
            case ("seed", number):
                self.world.seed = int(number)
                self.world.rng.seed(int(number))
            case ("zones", *zones):
                self.zones = tuple(zones)
                self.world.settings = deployment.make_settings(self.zones)
            case ("set", path, value):
                deployment.change_settings(self.world, path, int(value))
            case ("workers", zone, count, *size):
                amounts = [int(word) for word in size] or [8_000, 16_000, 1]
                self.world.add_workers(zone, int(count), Resources(*amounts))
            case ("daemon", name, zone):
                self.world.start(name, zone)
            case ("team", name, *rest):
                self._apply_team(name, rest)
            case ("at", time, *action):
                self._advance_to(parse_duration_ms(time))
                self._run_action(tuple(action))
            case _:
                raise ScenarioError("unknown line")

    def _apply_team(self, name: str, words: list[str]) -> None:
        pairs = (word.split("=") for word in words)
        services = tuple((service, int(count)) for service, count in pairs)
        team = deployment.make_team(name, self.zones, services)
        daemon = next(iter(self.world.daemons))
        for _ in range(30):
            result = deployment.apply_team(self.world, daemon, team)
            if isinstance(result, api.ConfigChanged):
                return
            self.world.run(1_000)
        raise ScenarioError(f"template not applied: {result}")

    def _advance_to(self, at_ms: int) -> None:
        if not self.start_ms:
            self.world.run(10_000)
            self.start_ms = self.world.now_ms
        remaining_ms = self.start_ms + at_ms - self.world.now_ms
        if remaining_ms < 0:
            raise ScenarioError("time is earlier than that of the previous line")
        self.world.run(remaining_ms)

    def _run_action(self, words: tuple[str, ...]) -> None:
        world = self.world
        match words:
            case ("store", "down"):
                world.faults.store_down = True
            case ("store", "up"):
                world.faults.store_down = False
            case ("store", "slow", factor):
                world.faults.store_delay_factor = int(factor)
            case ("store", "loses", count, "answers"):
                world.faults.store_answers_to_lose = int(count)
            case ("messages", "lost", percent):
                world.faults.message_loss = int(percent) / 100
            case ("messages", "repeated", percent):
                world.faults.message_duplication = int(percent) / 100
            case ("worker-answers", "lost", percent):
                world.faults.worker_answer_loss = int(percent) / 100
            case ("list", "lag", time):
                world.faults.list_lag_ms = parse_duration_ms(time)
            case ("kill", *names):
                for name in names:
                    world.kill(name)
            case ("start", *names):
                for name in names:
                    world.start(name)
            case ("pause", name):
                world.pause(name)
            case ("resume", name):
                world.resume(name)
            case ("cut", name, *what):
                self._cut(name, what)
            case ("heal", name):
                self._heal(name)
            case ("host", name, state):
                self._set_host(name, state)
            case ("zone", zone, ("out" | "in") as state, "via", daemon):
                deployment.set_zone(world, daemon, zone, state == "out")
            case ("job", name, "via", daemon, *rest):
                self._submit(name, daemon, rest)
            case ("cancel", name, "via", daemon):
                world.ask(daemon, api.CancelTask(TaskKey(*name.split("/"))))
            case ("shutdown", name):
                world.deliver(world.daemons[name], ports.ShutdownRequested())
            case ("expect", *what):
                self._expect(tuple(what))
            case _:
                raise ScenarioError("unknown action")

    def _cut(self, name: str, what: list[str]) -> None:
        daemon = self.world.daemons[name]
        for word in what:
            match word:
                case "store":
                    daemon.store_unreachable = True
                case "workers":
                    daemon.workers_unreachable = True
                case "peers":
                    for other in self.world.daemons.values():
                        daemon.unreachable_peers.add(other.name)
                        other.unreachable_peers.add(name)
                case _:
                    raise ScenarioError(f"can't cut {word}")

    def _heal(self, name: str) -> None:
        daemon = self.world.daemons[name]
        daemon.store_unreachable = False
        daemon.workers_unreachable = False
        daemon.unreachable_peers.clear()
        for other in self.world.daemons.values():
            other.unreachable_peers.discard(name)

    def _set_host(self, name: str, state: str) -> None:
        match state:
            case "fail":
                self.world.fail_host(name)
            case "revive":
                self.world.revive_host(name)
            case "unreachable":
                self.world.workers[name].faults.dead = True
            case "reachable":
                self.world.workers[name].faults.dead = False
            case "fails-starts":
                self.world.workers[name].faults.fail_starts = True
            case _:
                self.world.set_host(name, _HOST_STATES[state])

    def _submit(self, name: str, daemon: str, words: list[str]) -> None:
        options = dict(word.split("=") for word in words)
        spec = deployment.make_job(
            self.world,
            name,
            WorkClass(options.pop("class", "ordinary")),
            Resources(int(options.pop("cpu", 1_000)), int(options.pop("memory", 500))),
            parse_duration_ms(options.pop("run", "3s")),
        )
        if options:
            raise ScenarioError(f"unknown options {sorted(options)}")
        self.world.ask(daemon, api.SubmitTask(spec))

    # --- expectations -----------------------------------------------------------

    def _expect(self, words: tuple[str, ...]) -> None:
        match words:
            case ("promises",):
                self._expect_none(oracle.check_guarantees(self.world))
            case ("finished",):
                self._expect_none(oracle.check_finished(self.world))
            case ("in-force", *names):
                self._expect_none(oracle.check_in_force(self.world, names))
            case ("starts", subject, count):
                self._expect_rows("start", subject, int(count))
            case ("succeeded", subject, count):
                self._expect_rows("succeeded", subject, int(count))
            case ("running", subject):
                if subject not in self._running():
                    raise ScenarioError(f"running tasks: {sorted(self._running())}")
            case ("not-running", subject):
                if subject in self._running():
                    raise ScenarioError("the task is running")
            case ("owners", *names):
                owners = self._owners()
                if not owners <= set(names):
                    raise ScenarioError(f"the owners are {sorted(owners)}")
            case ("job", name, phase):
                self._expect_phase(name, phase)
            case ("answers", code, count):
                found = [
                    a for a in self.world.answers if _answer_code(a.result) == code
                ]
                if len(found) != int(count):
                    raise ScenarioError(f"{len(found)} matching answers")
            case _:
                raise ScenarioError("unknown expectation")

    def _expect_none(self, violations: list[oracle.Violation]) -> None:
        if violations:
            lines = [f"{item.guarantee}: {item.detail}" for item in violations[:5]]
            raise ScenarioError("; ".join(lines))

    def _expect_rows(self, what: str, subject: str, count: int) -> None:
        rows = [
            row
            for row in self.world.history()
            if row.what == what and row.subject == subject
        ]
        if len(rows) != count:
            raise ScenarioError(f"{len(rows)} history rows: {rows}")

    def _running(self) -> set[str]:
        return {
            f"{key.team}/{key.task_id}"
            for model in self.world.workers.values()
            for key, task in model.tasks.items()
            if task.state == "running" and task.lease_until_ms > self.world.now_ms
        }

    def _owners(self) -> set[str]:
        return {
            daemon.name
            for daemon in self.world.daemons.values()
            if daemon.alive and daemon.node.shard_hosts
        }

    def _expect_phase(self, name: str, phase: str) -> None:
        key = TaskKey(*name.split("/"))
        alive = [d.name for d in self.world.daemons.values() if d.alive]
        result = self.world.ask_and_wait(alive[0], api.ShowTask(key))
        found = (
            result.phase if isinstance(result, api.TaskView) else _answer_code(result)
        )
        if found != phase:
            raise ScenarioError(f"the job's phase is {found}")


def _answer_code(result: api.ApiResult | None) -> str:
    return result.code if isinstance(result, api.Fault) else type(result).__name__
