"""Tests of the operators' server with valid, invalid and malicious calls."""

import io
import json
import unittest

import urllib3
from loguru import logger

from poplarlb.logs import configure_logs
from poplarlb.protocol import api
from poplarlb.settings import LogSettings
from poplarlb.state.models import ZoneState
from poplarlb.transport.operators import (
    BODY_LIMIT_BYTES,
    CALLS_BURST,
    SERVER_BODY_LIMIT_BYTES,
    RateLimit,
)
from tests.transport.fake_runtime import SECRET, FakeRuntime, serve

ZONE_OUT = {"state": "out", "change_id": "c1", "operator": "asha"}
TEAM = {
    "team": "dairy",
    "zones": ["kochi"],
    "quota": {"cpu_millis": 1_000, "memory_mb": 1_000, "accelerators": 0},
}
APPLY = {"change_id": "c2", "operator": "ravi", "base_version": 0, "teams": [TEAM]}


class OperatorServerTest(unittest.TestCase):
    """A server with a fake runtime that answers from memory."""

    def setUp(self) -> None:
        """Start the server and capture its logs."""
        self.logs = io.StringIO()
        configure_logs(LogSettings(json=True), "d1", self.logs)
        self.addCleanup(logger.remove)
        self.runtime = FakeRuntime()
        self.server = serve(self.runtime)
        self.addCleanup(self.server.stop)
        self.http = urllib3.PoolManager(retries=False, timeout=10)

    def call(self, method: str, path: str, body=None, secret: str = SECRET):
        """Return the status and the JSON object of the response."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        answer = self.http.request(
            method,
            f"http://{self.server.address}{path}",
            body=data if body is not None else None,
            headers={"Authorization": f"Bearer {secret}"} if secret else {},
        )
        return answer.status, json.loads(answer.data)

    def test_zone_and_templates(self) -> None:
        """Valid changes reach the runtime as typed calls."""
        status, answer = self.call("PUT", "/v1/zones/kollam", ZONE_OUT)
        self.assertEqual((status, answer["version"]), (200, 1))
        change = api.SetZone("c1", "asha", "kollam", ZoneState.OUT)
        self.assertEqual(self.runtime.asked, [change])
        self.assertIs(self.runtime.asked[0].state, ZoneState.OUT)
        status, answer = self.call("POST", "/v1/config", APPLY)
        self.assertEqual((status, answer["version"]), (200, 2))
        _, shown = self.call("GET", "/v1/config")
        self.assertEqual(shown["view"]["teams"][0]["team"], "dairy")

    def test_secret(self) -> None:
        """Every path requires the secret; neither it nor a wrong one is logged."""
        for path in ("/v1/config", "/v1/zones", "/v1/status", "/v1/explain/worker/w"):
            for secret in ("", "wrong-guess", SECRET + "x", SECRET[:-1]):
                status, answer = self.call("GET", path, secret=secret)
                self.assertEqual((status, answer["code"]), (401, "unauthorized"))
        self.call("PUT", "/v1/zones/kollam", ZONE_OUT, secret="wrong-guess")
        self.assertEqual(self.runtime.asked, [])
        self.call("PUT", "/v1/zones/kollam", ZONE_OUT)
        self.assertNotIn(SECRET[:-1], self.logs.getvalue())
        self.assertNotIn("wrong-guess", self.logs.getvalue())

    def test_changes_are_logged(self) -> None:
        """The log reports the operator, the change and the change id."""
        self.call("PUT", "/v1/zones/kollam", ZONE_OUT)
        lines = [json.loads(line) for line in self.logs.getvalue().splitlines()]
        line = next(line for line in lines if "change_id" in line)
        self.assertEqual((line["operator"], line["change_id"]), ("asha", "c1"))
        self.assertIn("zone kollam out: accepted", line["message"])
        self.assertEqual(line["member"], "d1")

    def test_hostile_input(self) -> None:
        """Malformed input gets a 4xx status with an error code and changes nothing."""
        deep = b"[" * 100_000
        cases = (
            ("PUT", "/v1/zones/kollam", b"\xff\xfe", 400),
            ("PUT", "/v1/zones/kollam", b"[]", 400),
            ("PUT", "/v1/zones/kollam", deep, 400),
            ("PUT", "/v1/zones/kollam", {**ZONE_OUT, "state": "gone"}, 400),
            ("PUT", "/v1/zones/kollam", {**ZONE_OUT, "operator": "a\nb"}, 400),
            ("PUT", "/v1/zones/kollam", {**ZONE_OUT, "change_id": "../x"}, 400),
            ("PUT", "/v1/zones/kollam", {**ZONE_OUT, "extra": 1}, 400),
            ("PUT", "/v1/zones/kollam", {"state": "out"}, 400),
            ("PUT", "/v1/zones/atlantis", ZONE_OUT, 404),
            ("POST", "/v1/config", {**APPLY, "base_version": "0"}, 400),
            ("POST", "/v1/config", {**APPLY, "teams": [{**TEAM, "weight": "x"}]}, 400),
            ("POST", "/v1/config", {**APPLY, "teams": [TEAM, TEAM]}, 400),
            ("POST", "/v1/config", b"x" * (BODY_LIMIT_BYTES + 1), 413),
            ("DELETE", "/v1/config", None, 404),
            ("GET", "/v1/explain/nothing", None, 400),
            ("GET", "/v1/explain/worker/" + "w" * 300, None, 413),
            ("GET", "/v2/config", None, 404),
            ("GET", "/", None, 404),
        )
        for method, path, body, expected in cases:
            with self.subTest(method=method, path=path[:30], body=str(body)[:60]):
                status, answer = self.call(method, path, body)
                self.assertEqual(status, expected)
                self.assertIn("code", answer)
        self.assertEqual(self.runtime.asked, [])

    def test_text_that_cannot_be_stored_is_refused(self) -> None:
        """Guards against a change with a lone surrogate that holds up later changes."""
        for change in (
            {**APPLY, "removed": ["\ud800"]},
            {**APPLY, "teams": [], "removed": ["a", "\udfff"]},
            {**APPLY, "teams": [{**TEAM, "zones": ["\ud800"]}]},
            {**APPLY, "\ud800": 1},
        ):
            with self.subTest(change=ascii(change)[:200]):
                status, answer = self.call("POST", "/v1/config", change)
                self.assertEqual((status, answer["code"]), (400, "bad_request"))
        self.assertEqual(self.runtime.asked, [])

    def test_body_over_the_server_limit(self) -> None:
        """A body over the server's own limit is refused before it is read."""
        url = f"http://{self.server.address}/v1/config"
        body = b"x" * (SERVER_BODY_LIMIT_BYTES + 1)
        answer = self.http.request("POST", url, body=body)
        self.assertEqual((answer.status, self.runtime.asked), (413, []))

    def test_every_fault_of_a_template(self) -> None:
        """A change with an invalid template is refused with every fault."""
        bad = {**TEAM, "zones": ["kochi", "atlantis"], "weight": -1.0}
        status, answer = self.call("POST", "/v1/config", {**APPLY, "teams": [bad]})
        self.assertEqual(status, 400)
        self.assertIn("zones: no zone 'atlantis'", answer["detail"])
        self.assertIn("weight: -1.0 is not allowed", answer["detail"])

    def test_explanation_lists_silent_shards(self) -> None:
        """Decisions of all shards are merged; shards without an answer are listed."""
        _, answer = self.call("GET", "/v1/explain/job/dairy/s1")
        self.assertEqual(answer["decisions"][0]["shard"], "kollam/0")
        _, answer = self.call("GET", "/v1/explain/worker/kollam-w1")
        self.assertEqual(answer["silent_shards"], ["thrissur/0"])

    def test_rate_limit(self) -> None:
        """The token bucket is exhausted and refills over time."""
        limit = RateLimit()
        taken = sum(limit.take(1_000) for _ in range(int(CALLS_BURST) + 50))
        self.assertEqual(taken, CALLS_BURST)
        self.assertFalse(limit.take(1_000))
        self.assertTrue(limit.take(1_100))


if __name__ == "__main__":
    unittest.main()
