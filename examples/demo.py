"""A demonstration: two firms, three daemons, a zone out, and a daemon killed.

Starts the stand-ins and the daemons as plain processes on loopback, drives them
through ``poplarlb``, and compares what the workers did with what was promised.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import urllib3
from attrs import Factory, define

from examples.processes import ProcessGroup

FOLDER = pathlib.Path(__file__).parent
VELLAKKAL_ZONES = ("kochi", "thrissur", "kozhikode", "kollam")
KITAKAZE_ZONES = ("sapporo", "asahikawa", "hakodate")
ZONES = (*VELLAKKAL_ZONES, *KITAKAZE_ZONES)
DAEMON_ZONES = {"d1": "kochi", "d2": "sapporo", "d3": "kozhikode"}
ZONE_OUT = "thrissur"
KILLED = "d2"
WORKERS_PER_ZONE = 3
ZONE_OUT_LIMIT_MS = 3_000
COMMAND_LIMIT_S = 120
WAIT_LIMIT_S = 120
WAIT_PERIOD_S = 0.3
NOT_RUN_EXIT = 7

DAEMON_SETTINGS = """
member_id = "{name}"
zone = "{zone}"
[store]
address = "{store}"
[platform]
hosts_address = "{hosts}"
hosts_period_ms = 300
[shards]
zones = [{zones}]
[tasks]
renew_period_ms = 500
lease_ms = 8000
"""


@define
class Check:
    """An outcome that must hold."""

    text: str
    held: bool


@define
class Demo:
    """Runs the steps and keeps their checks."""

    group: ProcessGroup
    platform: str = ""
    daemons: dict[str, str] = Factory(dict)
    checks: list[Check] = Factory(list)
    orders: list[str] = Factory(list)
    jobs: list[tuple[str, str]] = Factory(list)
    http: urllib3.PoolManager = Factory(lambda: urllib3.PoolManager(retries=2))

    def start(self) -> None:
        """Start the stand-ins and the daemons."""
        store = self.group.start("store", "tests.standins.store", "--port", "0")
        zones = [f"--zone={zone}={WORKERS_PER_ZONE}" for zone in ZONES]
        hosts = self.group.start(
            "platform", "tests.standins.platform", "--port", "0", *zones
        )
        store.address = store.find(r"stand-in on (\S+)")
        self.platform = hosts.find(r"stand-in on (\S+)")
        started = {
            name: self.start_daemon(name, zone, store.address)
            for name, zone in DAEMON_ZONES.items()
        }
        self.daemons = {
            name: process.find(r"serves on (\S+)") for name, process in started.items()
        }
        say("Started the store, the platform and three daemons:")
        for name, address in self.daemons.items():
            say(f"  {name} in {DAEMON_ZONES[name]} serves on {address}")

    def start_daemon(self, name: str, zone: str, store: str):
        """Start one daemon with settings of its own."""
        path = self.group.folder / f"{name}.toml"
        quoted = ", ".join(f'"{item}"' for item in ZONES)
        path.write_text(
            DAEMON_SETTINGS.format(
                name=name, zone=zone, store=store, hosts=self.platform, zones=quoted
            )
        )
        return self.group.start(name, "poplarlb.daemon", "--config", str(path))

    def run(self, *arguments: str, good: tuple[int, ...] = (0,)) -> str:
        """Run one ``poplarlb`` command and return what it printed."""
        environment = {
            **os.environ,
            "POPLARLB_DAEMONS": ",".join(self.daemons.values()),
            "POPLARLB_OPERATOR": "demo",
        }
        done = subprocess.run(
            [sys.executable, "-m", "poplarlb.cli", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=COMMAND_LIMIT_S,
        )
        if done.returncode not in good:
            raise RuntimeError(
                f"poplarlb {' '.join(arguments)}: exit {done.returncode}\n{done.stderr}"
            )
        return done.stdout.rstrip()

    def persist(self, *arguments: str) -> str:
        """Repeat a command while its answer is that it was certainly not run."""
        until_s = time.monotonic() + WAIT_LIMIT_S
        while time.monotonic() < until_s:
            text = self.run(*arguments, good=(0, NOT_RUN_EXIT))
            if text:
                return text
            time.sleep(WAIT_PERIOD_S)
        raise RuntimeError(f"poplarlb {' '.join(arguments)}: still not run")

    def wait(self, *arguments: str, until) -> dict:
        """Repeat a command until its JSON answer is as wanted."""
        until_s = time.monotonic() + WAIT_LIMIT_S
        answer: dict = {}
        while time.monotonic() < until_s:
            text = self.run(*arguments, "--json", good=(0, NOT_RUN_EXIT))
            answer = json.loads(text) if text else {}
            if answer and until(answer):
                return answer
            time.sleep(WAIT_PERIOD_S)
        raise RuntimeError(f"poplarlb {' '.join(arguments)}: still {answer}")

    def check(self, text: str, held: bool) -> None:
        """Keep an outcome and tell it."""
        self.checks.append(Check(text, held))
        say(f"  [{'held' if held else 'BROKEN'}] {text}")

    def history(self) -> list[dict]:
        """Return what the workers did, as they saw it."""
        answer = self.http.request("GET", f"http://{self.platform}/control/history")
        return json.loads(answer.data)

    # --- steps --------------------------------------------------------------------

    def apply_templates(self) -> None:
        """Apply both firms' templates and wait for their services."""
        say("\nTemplates of both firms, in force everywhere:")
        self.wait("status", until=self.all_shards_open)
        files = [str(FOLDER / "templates" / f"{firm}.toml") for firm in FIRMS]
        say(indent(self.run("template", "apply", *files).splitlines()[-1]))
        for team, service in FIRMS.values():
            path = ("request", team, service, "health")
            self.wait(*path, until=lambda answer: answer["status"] == 200)
            say(f"  {team}/{service} answers")

    def all_shards_open(self, status: dict) -> bool:
        """Tell whether every shard has an owner that takes decisions."""
        shards = [item for d in status["daemons"] for item in d["shards"]]
        opened = {item["shard"] for item in shards if item["state"] == "open"}
        return len(opened) == len(ZONES)

    def send_orders(self, label: str, count: int) -> None:
        """Send keyed orders of both firms, each of them twice."""
        for number in range(count):
            for team, service in FIRMS.values():
                order = f"{label}-{number}"
                command = (
                    "request", team, service, f"orders/{order}", "--method=POST",
                    f"--key={team}-{order}", "--body=order",
                )  # fmt: skip
                first = self.persist(*command, "--first")
                second = self.persist(*command)
                if first != second:
                    self.check(f"{team} {order}: the repeated answer is equal", False)
                self.orders.append(f"{team}/{service}/orders/{order}")
        say(f"  {2 * count} orders sent, each of them twice with its key")

    def submit(self, team: str, job: str, kind: str, run_time_ms: int) -> None:
        """Submit a job twice; the second submission must change nothing."""
        command = ("job", "submit", team, job, f"--kind={kind}")
        for _ in range(2):
            self.run(*command, f"--run_time_ms={run_time_ms}")
        self.jobs.append((team, job))
        say(f"  {team}/{job} ({kind}) accepted, submitted twice")

    def take_zone_out(self) -> None:
        """Take a zone out, run work meanwhile, and bring it back."""
        say(f"\nZone {ZONE_OUT} is taken out; orders and jobs go on elsewhere:")
        say(indent(self.run("zone", "out", ZONE_OUT)))
        out_ms = time.time_ns() // 1_000_000
        for number in range(4):
            self.submit("vellakkal", f"settle-out-{number}", "settlement", 1_000)
        self.send_orders("out", 2)
        for number in range(4):
            self.wait_for_end("vellakkal", f"settle-out-{number}")
        back_ms = time.time_ns() // 1_000_000
        say(indent(self.run("zone", "in", ZONE_OUT)))
        late = [
            row
            for row in self.history()
            if row["what"] == "start"
            and row["worker_id"].startswith(ZONE_OUT)
            and out_ms + ZONE_OUT_LIMIT_MS < row["at_ms"] < back_ms
        ]
        self.check(f"no task started in {ZONE_OUT} while it was out", not late)

    def kill_daemon(self) -> None:
        """Kill a daemon while work of both firms is running."""
        say(f"\n{KILLED} is killed while a settlement and a forecast run:")
        self.submit("vellakkal", "settlement-november", "settlement", 10_000)
        self.submit("kitakaze", "forecast-week-49", "forecast-rebuild", 10_000)
        self.submit("kitakaze", "reorder-1", "shelf-reorder", 1_500)
        for team, job in (
            ("vellakkal", "settlement-november"),
            ("kitakaze", "forecast-week-49"),
        ):
            self.wait(
                "job", "show", team, job, until=lambda job: job["phase"] != "queued"
            )
        self.group.kill(KILLED)
        say(f"  {KILLED} is gone; the command line goes on with the others")
        self.submit("kitakaze", "reorder-2", "shelf-reorder", 1_500)
        self.send_orders("after", 3)

    def wait_for_end(self, team: str, job: str) -> dict:
        """Wait until a job has ended."""
        return self.wait(
            "job", "show", team, job, until=lambda job: job["phase"] == "ended"
        )

    def compare(self) -> None:
        """Compare the workers' history with what was promised."""
        say("\nWhat the workers saw, compared with what was promised:")
        ended = {pair: self.wait_for_end(*pair) for pair in self.jobs}
        good = [task["outcome"] == "succeeded" for task in ended.values()]
        self.check(f"all {len(good)} accepted jobs succeeded", all(good))
        rows = self.history()
        served = [row["subject"] for row in rows if row["what"] == "served"]
        once = [
            sum(order in subject for subject in served) == 1 for order in self.orders
        ]
        self.check(f"each of {len(once)} orders ran exactly once", all(once))
        doubled = [
            f"{team}/{job}"
            for team, job in self.jobs
            if not runs_once([r for r in rows if r["subject"] == f"{team}/{job}"])
        ]
        for name in doubled:
            say(f"  {name} did not finish once, in one place")
        text = "every job finished once and ran in one place at a time"
        self.check(text, not doubled)

    def show_account(self) -> None:
        """Print where work ran and why, and the state at the end."""
        say("\nWhere the settlement ran, and why:")
        account = self.run("explain", "job", "vellakkal", "settlement-november")
        say(indent(account))
        say("\nThe system at the end:")
        say(indent(self.run("status")))


FIRMS = {
    "vellakkal": ("vellakkal", "confirmations"),
    "kitakaze": ("kitakaze", "store-orders"),
}


def runs_once(rows: list[dict]) -> bool:
    """Tell whether a job's history has one success and no two runs at a time."""
    running = 0
    for row in rows:
        if row["what"] == "start":
            running += 1
        else:
            running -= 1
        if running > 1:
            return False
    return sum(row["what"] == "succeeded" for row in rows) == 1


def say(text: str) -> None:
    """Print at once."""
    print(text, flush=True)


def indent(text: str) -> str:
    """Return the text moved to the right."""
    return "\n".join(f"  {line}" for line in text.splitlines())


def main() -> None:
    """Run the demonstration; exit 0 only if every outcome held."""
    with tempfile.TemporaryDirectory() as folder:
        group = ProcessGroup(pathlib.Path(folder))
        demo = Demo(group)
        try:
            demo.start()
            demo.apply_templates()
            say("\nMorning orders:")
            demo.send_orders("morning", 4)
            demo.take_zone_out()
            demo.kill_daemon()
            demo.compare()
            demo.show_account()
        except (RuntimeError, subprocess.TimeoutExpired) as error:
            say(f"\nThe demonstration stopped: {error}")
            demo.checks.append(Check("the demonstration ran to its end", False))
            if "-v" in sys.argv:
                for item in group.running:
                    say(f"--- {item.name}\n{item.log.read_text()[-6_000:]}")
        finally:
            group.stop_all()
    broken = [check.text for check in demo.checks if not check.held]
    say(f"\n{len(demo.checks) - len(broken)} outcomes held, {len(broken)} broken")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
