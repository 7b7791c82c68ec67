"""Tests of the command line against an API server with a fake runtime."""

import contextlib
import io
import json
import os
import socket
import unittest
from unittest import mock

from loguru import logger

from poplarlb import cli, client, commands
from poplarlb.client import Client
from poplarlb.exceptions import OutcomeUnknownError
from poplarlb.logs import configure_logs
from poplarlb.protocol import api
from poplarlb.settings import LogSettings
from poplarlb.state.models import Reason
from tests.standins.http import Answer
from tests.standins.http import serve as serve_http
from tests.transport.fake_runtime import SECRET, FakeRuntime, serve

VELLAKKAL = "examples/templates/vellakkal.toml"


def free_address() -> str:
    """Return an unused loopback address."""
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{taken.getsockname()[1]}"


class CommandTest(unittest.TestCase):
    """Commands, their output and their exit codes."""

    def setUp(self) -> None:
        """Start a server, and list an unreachable address before its own."""
        configure_logs(LogSettings(), "d1", io.StringIO())
        self.addCleanup(logger.remove)
        self.runtime = FakeRuntime()
        self.server = serve(self.runtime)
        self.addCleanup(self.server.stop)
        environment = {
            client.DAEMONS_VARIABLE: f"{free_address()},{self.server.address}",
            client.SECRET_VARIABLE: SECRET,
            "POPLARLB_OPERATOR": "asha",
        }
        for patch in (
            mock.patch.dict(os.environ, environment),
            mock.patch.object(commands, "IN_FORCE_TIMEOUT_S", 0.5),
            mock.patch.object(client, "ROUND_PAUSE_S", 0.01),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """Return the exit code, standard output and standard error of a command."""
        output, errors, code = io.StringIO(), io.StringIO(), 0
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            try:
                cli.main(list(arguments))
            except SystemExit as stopped:
                code = stopped.code
        return code, output.getvalue(), errors.getvalue()

    def test_apply_show_and_list(self) -> None:
        """A template is applied through the second address, then shown and listed."""
        code, output, errors = self.run_command("template", "apply", VELLAKKAL)
        self.assertEqual((code, errors), (0, ""))
        self.assertIn("+ vellakkal.services.confirmations.replicas = 3", output)
        self.assertIn("version 1 is in force everywhere", output)
        code, output, _ = self.run_command("template", "apply", VELLAKKAL)
        self.assertIn("no effective change", output)
        self.assertEqual(len(self.runtime.asked), 1)
        code, output, _ = self.run_command("template", "show", "vellakkal", "--json")
        self.assertEqual(json.loads(output)["quota"]["cpu_millis"], 64_000)
        code, output, _ = self.run_command("template", "list")
        self.assertIn("vellakkal", output)
        code, output, _ = self.run_command("template", "diff", "--remove", "vellakkal")
        self.assertIn("- vellakkal.team = vellakkal", output)

    def test_conflict_shows_the_other_change(self) -> None:
        """A conflicting change exits with 6 and names the change that came first."""
        detail = "now at version 8, not 7: version 8 by ravi"
        self.runtime.fault = api.Fault("conflict", Reason.TEMPLATE_CHANGED, detail)
        code, _, errors = self.run_command("template", "apply", VELLAKKAL)
        self.assertEqual(code, 6)
        self.assertIn("version 8 by ravi", errors)

    def test_zone_not_in_force_everywhere(self) -> None:
        """A daemon without the new version is named; the exit code is 9."""
        self.runtime.lagging = 1
        code, _, errors = self.run_command("zone", "out", "kollam", "--json")
        self.assertEqual(code, 9)
        self.assertIn("d2", json.loads(errors)["detail"])
        self.runtime.lagging = 0
        code, output, _ = self.run_command("zone", "in", "kollam")
        self.assertIn("zone kollam is in: version 2", output)
        code, output, _ = self.run_command("zone", "list")
        self.assertRegex(output, r"kollam +in +1970-01-01T00:00:01.000Z +asha")

    def test_bad_input(self) -> None:
        """Each kind of invalid input has its own exit code."""
        self.assertEqual(self.run_command("template", "apply", "none.toml")[0], 3)
        self.assertEqual(self.run_command("zone", "out", "atlantis")[0], 5)
        self.assertEqual(self.run_command("zone", "out")[0], 2)
        with mock.patch.dict(os.environ, {client.SECRET_VARIABLE: "wrong"}):
            self.assertEqual(self.run_command("status")[0], 4)

    def test_explain(self) -> None:
        """Explanations name time, reason, shard, epoch and alternatives."""
        _, output, _ = self.run_command("explain", "job", "dairy", "s1")
        for part in (
            "Explanation of job/dairy/s1",
            "attempt 1 at kollam-w1 (shard kollam/0, epoch 3)",
            "1970-01-01T00:00:01.000Z  placed at kollam-w1: the lowest cost of all",
            "decided by shard kollam/0 in epoch 3 under configuration version 7",
            "considered kollam-w1: cost 0.250",
            "ruled out kollam-w2: the worker fails what it starts",
        ):
            self.assertIn(part, output)
        _, output, _ = self.run_command("explain", "worker", "kollam-w1")
        self.assertIn("Incomplete: no answer from the owners of thrissur/0", output)

    def test_status(self) -> None:
        """Members, zones, shards, queues, quarantine and waiting tasks are shown."""
        code, output, _ = self.run_command("status")
        self.assertEqual(code, 0)
        self.assertIn("d2 (127.0.0.1:1): no answer", output)
        self.assertRegex(output, r"kochi/0 +d1 +4 +open +3 +2 +patient:1 +kochi-w2")
        self.assertIn("job/dairy/big: the team's quota is used up", output)

    def test_help_names_every_command(self) -> None:
        """The help lists commands and flags."""
        code, output, _ = self.run_command("--help")
        self.assertEqual(code, 0)
        for word in ("template apply", "zone out", "job submit", "explain", "--json"):
            self.assertIn(word, output)


class FailoverTest(unittest.TestCase):
    """Which calls are retried at the next daemon, and which are not."""

    def setUp(self) -> None:
        """Start two servers; the first closes every connection without an answer."""
        self.seen: list[tuple[str, str]] = []
        self.first = serve_http(self.drop)
        self.second = serve_http(self.answer)
        self.addCleanup(self.first.stop)
        self.addCleanup(self.second.stop)
        self.client = Client([self.first.address, self.second.address])

    def drop(self, method: str, path: str, body: bytes, headers: dict) -> Answer:
        """Record a call and drop its answer."""
        self.seen.append(("first", headers.get("poplarlb-attempt", "")))
        return Answer(drop=True)

    def answer(self, method: str, path: str, body: bytes, headers: dict) -> Answer:
        """Record a call and answer it."""
        self.seen.append(("second", headers.get("poplarlb-attempt", "")))
        return Answer.of({"ok": True})

    def test_repeatable_call_is_retried(self) -> None:
        """A repeatable call is retried at the next daemon."""
        self.assertEqual(self.client.call("PUT", "/v1/jobs/a/b", {}), {"ok": True})
        self.assertEqual(self.seen, [("first", ""), ("second", "")])

    def test_attempt_header_counts_sendings(self) -> None:
        """The attempt header is incremented by a retry, and absent if not given."""
        headers = {client.ATTEMPT_HEADER: "1"}
        path = "/v1/services/a/b/"
        self.client.send("POST", path, b"x", headers, repeatable=True)
        self.assertEqual(self.seen, [("first", "1"), ("second", "2")])

    def test_unkeyed_request_is_not_repeated(self) -> None:
        """A request without a key that may have run is not retried."""
        with self.assertRaises(OutcomeUnknownError):
            self.client.send("POST", "/v1/services/a/b/", b"x", {}, repeatable=False)
        self.assertEqual(self.seen, [("first", "")])


if __name__ == "__main__":
    unittest.main()
