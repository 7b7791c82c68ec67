"""A demonstration with two firms, three daemons, a zone taken out and a daemon killed.

Starts the stand-ins and the daemons as processes on loopback, controls them with the
``poplarlb`` command, and checks the workers' history against the expected outcomes.
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
KILLED_DAEMON = "d2"
WORKERS_PER_ZONE = 3
ZONE_OUT_GRACE_MS = 3_000
COMMAND_TIMEOUT_S = 120
WAIT_TIMEOUT_S = 120
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
    """An expected outcome, and whether it held."""

    text: str
    held: bool


@define
class Demo:
    """Runs the steps of the demonstration and collects their checks."""

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
        store.address = store.wait_for_log(r"stand-in on (\S+)")
        self.platform = hosts.wait_for_log(r"stand-in on (\S+)")
        started = {
            name: self.start_daemon(name, zone, store.address)
            for name, zone in DAEMON_ZONES.items()
        }
        self.daemons = {
            name: process.wait_for_log(r"serves on (\S+)")
            for name, process in started.items()
        }
        print_line("Started the store, the platform and three daemons:")
        for name, address in self.daemons.items():
            print_line(f"  {name} in {DAEMON_ZONES[name]} serves on {address}")

    def start_daemon(self, name: str, zone: str, store: str):
        """Start one daemon with its own settings file."""
        path = self.group.folder / f"{name}.toml"
        quoted = ", ".join(f'"{item}"' for item in ZONES)
        path.write_text(
            DAEMON_SETTINGS.format(
                name=name, zone=zone, store=store, hosts=self.platform, zones=quoted
            )
        )
        return self.group.start(name, "poplarlb.daemon", "--config", str(path))

    def run(self, *arguments: str, allowed_exits: tuple[int, ...] = (0,)) -> str:
        """Run a ``poplarlb`` command and return its standard output."""
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
            timeout=COMMAND_TIMEOUT_S,
        )
        if done.returncode not in allowed_exits:
            raise RuntimeError(
                f"poplarlb {' '.join(arguments)}: exit {done.returncode}\n{done.stderr}"
            )
        return done.stdout.rstrip()

    def run_until_carried_out(self, *arguments: str) -> str:
        """Repeat a command while it reports that it was not run."""
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline_s:
            text = self.run(*arguments, allowed_exits=(0, NOT_RUN_EXIT))
            if text:
                return text
            time.sleep(WAIT_PERIOD_S)
        raise RuntimeError(f"poplarlb {' '.join(arguments)}: still not run")

    def wait_for_answer(self, *arguments: str, condition) -> dict:
        """Repeat a command until its JSON answer meets a condition."""
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        answer: dict = {}
        while time.monotonic() < deadline_s:
            text = self.run(*arguments, "--json", allowed_exits=(0, NOT_RUN_EXIT))
            answer = json.loads(text) if text else {}
            if answer and condition(answer):
                return answer
            time.sleep(WAIT_PERIOD_S)
        raise RuntimeError(f"poplarlb {' '.join(arguments)}: still {answer}")

    def check(self, text: str, held: bool) -> None:
        """Record and print an outcome."""
        self.checks.append(Check(text, held))
        print_line(f"  [{'held' if held else 'BROKEN'}] {text}")

    def history(self) -> list[dict]:
        """Return the event history that the workers recorded."""
        response = self.http.request("GET", f"http://{self.platform}/control/history")
        return json.loads(response.data)

    # --- steps --------------------------------------------------------------------

    def apply_templates(self) -> None:
        """Apply both firms' templates and wait until their services respond."""
        print_line("\nTemplates of both firms, in force everywhere:")
        self.wait_for_answer("status", condition=self.all_shards_open)
        files = [str(FOLDER / "templates" / f"{firm}.toml") for firm in FIRMS]
        print_line(indent_lines(self.run("template", "apply", *files).splitlines()[-1]))
        for team, service in FIRMS.values():
            path = ("request", team, service, "health")
            self.wait_for_answer(
                *path, condition=lambda answer: answer["status"] == 200
            )
            print_line(f"  {team}/{service} answers")

    def all_shards_open(self, status: dict) -> bool:
        """Return whether every shard is open at its owner."""
        shards = [item for d in status["daemons"] for item in d["shards"]]
        opened = {item["shard"] for item in shards if item["state"] == "open"}
        return len(opened) == len(ZONES)

    def send_orders(self, label: str, count: int) -> None:
        """Send orders of both firms, each twice with the same idempotency key."""
        for number in range(count):
            for team, service in FIRMS.values():
                order = f"{label}-{number}"
                command = (
                    "request", team, service, f"orders/{order}", "--method=POST",
                    f"--key={team}-{order}", "--body=order",
                )  # fmt: skip
                first = self.run_until_carried_out(*command, "--first")
                second = self.run_until_carried_out(*command)
                if first != second:
                    self.check(f"{team} {order}: the repeated answer is equal", False)
                self.orders.append(f"{team}/{service}/orders/{order}")
        print_line(f"  {2 * count} orders sent, each of them twice with its key")

    def submit(self, team: str, job: str, kind: str, run_time_ms: int) -> None:
        """Submit a job twice; the second submission must change nothing."""
        command = ("job", "submit", team, job, f"--kind={kind}")
        for _ in range(2):
            self.run(*command, f"--run_time_ms={run_time_ms}")
        self.jobs.append((team, job))
        print_line(f"  {team}/{job} ({kind}) accepted, submitted twice")

    def take_zone_out(self) -> None:
        """Take a zone out, run jobs and orders elsewhere, and put it back in."""
        print_line(f"\nZone {ZONE_OUT} is taken out; orders and jobs go on elsewhere:")
        print_line(indent_lines(self.run("zone", "out", ZONE_OUT)))
        out_ms = time.time_ns() // 1_000_000
        for number in range(4):
            self.submit("vellakkal", f"settle-out-{number}", "settlement", 1_000)
        self.send_orders("out", 2)
        for number in range(4):
            self.wait_for_end("vellakkal", f"settle-out-{number}")
        in_again_ms = time.time_ns() // 1_000_000
        print_line(indent_lines(self.run("zone", "in", ZONE_OUT)))
        late_starts = [
            row
            for row in self.history()
            if row["what"] == "start"
            and row["worker_id"].startswith(ZONE_OUT)
            and out_ms + ZONE_OUT_GRACE_MS < row["at_ms"] < in_again_ms
        ]
        self.check(f"no task started in {ZONE_OUT} while it was out", not late_starts)

    def kill_daemon(self) -> None:
        """Kill a daemon while jobs of both firms are running."""
        print_line(
            f"\n{KILLED_DAEMON} is killed while a settlement and a forecast run:"
        )
        self.submit("vellakkal", "settlement-november", "settlement", 10_000)
        self.submit("kitakaze", "forecast-week-49", "forecast-rebuild", 10_000)
        self.submit("kitakaze", "reorder-1", "shelf-reorder", 1_500)
        for team, job in (
            ("vellakkal", "settlement-november"),
            ("kitakaze", "forecast-week-49"),
        ):
            self.wait_for_answer(
                "job", "show", team, job, condition=lambda job: job["phase"] != "queued"
            )
        self.group.kill(KILLED_DAEMON)
        print_line(
            f"  {KILLED_DAEMON} is gone; the command line goes on with the others"
        )
        self.submit("kitakaze", "reorder-2", "shelf-reorder", 1_500)
        self.send_orders("after", 3)

    def wait_for_end(self, team: str, job: str) -> dict:
        """Wait until a job has ended."""
        return self.wait_for_answer(
            "job", "show", team, job, condition=lambda job: job["phase"] == "ended"
        )

    def compare(self) -> None:
        """Check the workers' history against the expected outcomes."""
        print_line("\nThe workers' history, compared with the expected outcomes:")
        ended = {pair: self.wait_for_end(*pair) for pair in self.jobs}
        succeeded = [task["outcome"] == "succeeded" for task in ended.values()]
        self.check(f"all {len(succeeded)} accepted jobs succeeded", all(succeeded))
        rows = self.history()
        served = [row["subject"] for row in rows if row["what"] == "served"]
        once = [
            sum(order in subject for subject in served) == 1 for order in self.orders
        ]
        self.check(f"each of {len(once)} orders ran exactly once", all(once))
        faulty_jobs = [
            f"{team}/{job}"
            for team, job in self.jobs
            if not runs_once([r for r in rows if r["subject"] == f"{team}/{job}"])
        ]
        for name in faulty_jobs:
            print_line(f"  {name} did not succeed exactly once, in one place at a time")
        text = "every job finished once and ran in one place at a time"
        self.check(text, not faulty_jobs)

    def show_explanation(self) -> None:
        """Print the explanation of one job's placement and the final status."""
        print_line("\nWhere the settlement ran, and why:")
        explanation = self.run("explain", "job", "vellakkal", "settlement-november")
        print_line(indent_lines(explanation))
        print_line("\nThe system at the end:")
        print_line(indent_lines(self.run("status")))


FIRMS = {
    "vellakkal": ("vellakkal", "confirmations"),
    "kitakaze": ("kitakaze", "store-orders"),
}


def runs_once(rows: list[dict]) -> bool:
    """Return whether a job succeeded once and never had two runs at a time."""
    running = 0
    for row in rows:
        if row["what"] == "start":
            running += 1
        else:
            running -= 1
        if running > 1:
            return False
    return sum(row["what"] == "succeeded" for row in rows) == 1


def print_line(text: str) -> None:
    """Print a line and flush the output."""
    print(text, flush=True)


def indent_lines(text: str) -> str:
    """Return the text with each line indented by two spaces."""
    return "\n".join(f"  {line}" for line in text.splitlines())


def main() -> None:
    """Run the demonstration; the exit status is 0 only if every outcome held."""
    with tempfile.TemporaryDirectory() as folder:
        group = ProcessGroup(pathlib.Path(folder))
        demo = Demo(group)
        try:
            demo.start()
            demo.apply_templates()
            print_line("\nMorning orders:")
            demo.send_orders("morning", 4)
            demo.take_zone_out()
            demo.kill_daemon()
            demo.compare()
            demo.show_explanation()
        except (RuntimeError, subprocess.TimeoutExpired) as error:
            print_line(f"\nThe demonstration stopped: {error}")
            demo.checks.append(Check("the demonstration ran to its end", False))
            if "-v" in sys.argv:
                for item in group.running:
                    print_line(f"--- {item.name}\n{item.log.read_text()[-6_000:]}")
        finally:
            group.stop_all()
    broken = [check.text for check in demo.checks if not check.held]
    print_line(
        f"\n{len(demo.checks) - len(broken)} outcomes held, {len(broken)} broken"
    )
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
