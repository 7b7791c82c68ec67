"""The callers' door over real sockets: whole answers, true refusals, bad input."""

import concurrent.futures
import json
import socket
import threading
import unittest

import urllib3

from poplarlb.settings import ApiSettings, RequestSettings, Settings, ShardSettings
from poplarlb.transport import limits
from poplarlb.transport.callers import CallerServer
from tests.transport.owner import OwnerRuntime, ScriptedEndpoint

SERVICE = "/v1/services/dairy"
RETRY_STATUSES = {"not_run": 503, "outcome_unknown": 502, "conflict": 409}


class CallersCase(unittest.TestCase):
    """A door in front of two scripted endpoints."""

    threads = 8
    requests_per_s = 100_000.0
    body_limit_bytes = 2 << 20

    def setUp(self) -> None:
        """Start endpoints, the owner and the door."""
        self.endpoints = [ScriptedEndpoint() for _ in range(2)]
        settings = Settings(
            "d0",
            "kochi",
            shards=ShardSettings(zones=("kochi",)),
            api=ApiSettings(threads=self.threads, requests_per_s=self.requests_per_s),
            requests=RequestSettings(body_limit_bytes=self.body_limit_bytes),
        )
        self.runtime = OwnerRuntime(settings, [e.address for e in self.endpoints])
        self.server = CallerServer(self.runtime)
        threading.Thread(target=self.server.serve, daemon=True).start()
        self.addCleanup(self.server.stop)
        self.addCleanup(self.runtime.started.clear)
        for endpoint in self.endpoints:
            self.addCleanup(endpoint.server_close)
            self.addCleanup(endpoint.shutdown)
        self.http = urllib3.PoolManager(retries=False, timeout=20)
        self.addCleanup(self.http.clear)

    def call(self, method: str, path: str, body=None, **headers: str):
        """Return an answer; header names are given with underscores."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"http://{self.server.address}{path}"
        return self.http.request(method, url, body=body, headers=named)

    def refused(self, answer, code: str) -> dict:
        """Check a refusal's form and return it."""
        table = json.loads(answer.data)
        self.assertEqual(table["code"], code)
        self.assertEqual(answer.status, RETRY_STATUSES.get(code, answer.status))
        if table.get("retry_after_ms"):
            self.assertIn("Retry-After", answer.headers)
        return table

    def seen(self) -> list[tuple[str, str]]:
        """Return what the endpoints got."""
        return [item for endpoint in self.endpoints for item in endpoint.seen]

    def exchange(self, data: bytes) -> bytes:
        """Send raw bytes and return all that comes back."""
        host, _, port = self.server.address.partition(":")
        with socket.create_connection((host, int(port)), timeout=20) as sock:
            sock.sendall(data)
            parts = []
            try:
                while part := sock.recv(65_536):
                    parts.append(part)
            except ConnectionResetError:
                pass
        return b"".join(parts)


class ServiceTest(CallersCase):
    """Requests pass both ways whole, and run at most as often as allowed."""

    def test_any_request_passes_whole(self) -> None:
        """Method, path, query, headers and bodies of any size go both ways."""
        answer = self.call("PATCH", f"{SERVICE}/stock/a%2Fb/c?q=1&q=%20", b"x", X_A="1")
        told = json.loads(answer.data)
        self.assertEqual(told["target"], "/service/dairy/stock/a%2Fb/c?q=1&q=%20")
        self.assertEqual((told["method"], told["bytes"]), ("PATCH", 1))
        self.assertEqual(told["headers"]["x-a"], "1")
        self.assertEqual(answer.headers.getlist("Set-Cookie"), ["a=1", "b=2"])
        self.assertNotIn("X-Hop", answer.headers)
        for size in (300_000, 2 << 20):
            told = json.loads(self.call("PUT", f"{SERVICE}/stock/x", b"z" * size).data)
            self.assertEqual(told["bytes"], size)
        streamed = self.call("POST", f"{SERVICE}/stock/x", iter([b"ab", b"cd"]))
        self.assertEqual(json.loads(streamed.data)["bytes"], 4)
        self.assertEqual(
            self.call("GET", f"{SERVICE}/stock/big").data, b"y" * 2_000_000
        )

    def test_answers_without_a_body(self) -> None:
        """HEAD, 204 and 304 keep the connection usable."""
        head = self.call("HEAD", f"{SERVICE}/stock/x")
        self.assertEqual((head.status, head.data), (200, b""))
        self.assertGreater(int(head.headers["Content-Length"]), 10)
        for status in (204, 304):
            answer = self.call("GET", f"{SERVICE}/stock/{status}")
            self.assertEqual((answer.status, answer.data), (status, b""))
            self.assertEqual(answer.headers["X-Seen"], "yes")
        self.assertEqual(self.call("GET", f"{SERVICE}/stock/x").status, 200)

    def test_cut_answers_are_errors(self) -> None:
        """No caller takes a part of an answer for the whole."""
        for path in ("short", "cutchunk"):
            answer = self.call("GET", f"{SERVICE}/stock/{path}")
            self.refused(answer, "outcome_unknown")
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.call("GET", f"{SERVICE}/stock/bigshort")
        self.assertEqual(self.runtime.admission.slots.in_use, {})

    def test_unsafe_request_is_sent_once(self) -> None:
        """After a byte may have arrived the answer is "outcome unknown"."""
        answer = self.call("POST", f"{SERVICE}/orders/drop", b"{}")
        self.refused(answer, "outcome_unknown")
        self.assertEqual(len(self.seen()), 1)

    def test_safe_request_is_retried_within_budget(self) -> None:
        """Retries are a share of successes, not a count for each request."""
        for _ in range(30):
            self.call("GET", f"{SERVICE}/stock/drop")
        sent = len(self.seen())
        self.assertGreater(sent, 10)
        self.assertLessEqual(sent, 36)

    def test_unreachable_endpoint(self) -> None:
        """Nothing was sent, so another endpoint may get it, or "not run" is true."""
        self.endpoints[0].shutdown()
        self.endpoints[0].server_close()
        for _ in range(4):
            answer = self.call("POST", f"{SERVICE}/orders/x", b"{}")
            self.assertEqual(answer.status, 200)
        self.endpoints[1].shutdown()
        self.endpoints[1].server_close()
        timeout = {"Poplarlb_Timeout_Ms": "500"}
        answer = self.call("POST", f"{SERVICE}/orders/x", b"{}", **timeout)
        self.refused(answer, "not_run")
        self.assertEqual(len(self.seen()), 4)

    def test_keyed_request_runs_once(self) -> None:
        """A repeat gets the first answer; another body is a conflict."""
        path, key = f"{SERVICE}/orders/x", {"Idempotency_Key": "k1"}
        first = self.call("POST", path, b"one", **key)
        again = self.call("POST", path, b"one", **key)
        self.assertEqual(first.data, again.data)
        self.assertEqual(again.headers["Poplarlb-Replayed"], "true")
        table = self.refused(self.call("POST", path, b"two", **key), "conflict")
        self.assertEqual(table["reason"], "key_reused")
        self.assertEqual(len(self.seen()), 1)
        self.refused(
            self.call("POST", f"{SERVICE}/orders/drop", b"", Idempotency_Key="k2"),
            "outcome_unknown",
        )
        self.refused(
            self.call("POST", f"{SERVICE}/orders/drop", b"", Idempotency_Key="k2"),
            "outcome_unknown",
        )
        self.assertEqual(len(self.seen()), 2)

    def test_repeats_at_once_run_once(self) -> None:
        """Many sendings of a key at the same time reach the endpoint once."""
        with concurrent.futures.ThreadPoolExecutor(5) as pool:
            answers = list(
                pool.map(
                    lambda _: self.call(
                        "POST", f"{SERVICE}/orders/x", b"one", Idempotency_Key="k"
                    ),
                    range(5),
                )
            )
        self.assertEqual(len(self.seen()), 1)
        self.assertTrue({a.status for a in answers} <= {200, 409})

    def test_each_caller_gets_its_own_answer(self) -> None:
        """Answers match their requests under concurrency."""
        with concurrent.futures.ThreadPoolExecutor(5) as pool:
            paths = [f"{SERVICE}/stock/p?n={number}" for number in range(100)]
            answers = list(pool.map(lambda path: self.call("GET", path), paths))
        wanted = [f"/service/dairy/stock/p?n={number}" for number in range(100)]
        self.assertEqual([json.loads(a.data)["target"] for a in answers], wanted)
        ids = {answer.headers["Poplarlb-Request-Id"] for answer in answers}
        self.assertEqual(len(ids), 100)
        self.assertEqual(self.runtime.admission.slots.in_use, {})


class HostileTest(CallersCase):
    """Bad input gets a clear 4xx and costs nothing else."""

    def test_bad_service_requests(self) -> None:
        """Each fault has its status; the endpoints see none of it."""
        cases = [
            ("GET", f"{SERVICE}/nosuch/x", {}, 404),
            ("GET", "/v1/services/dairy", {}, 404),
            ("GET", "/v1/nothing", {}, 404),
            ("POST", "/v1/jobs/dairy/x", {}, 405),
            ("GET", f"{SERVICE}/stock/x", {"Poplarlb_Timeout_Ms": "-1"}, 400),
            ("GET", f"{SERVICE}/stock/x", {"Poplarlb_Timeout_Ms": "999999"}, 400),
            ("GET", f"{SERVICE}/stock/x", {"Poplarlb_Attempt": "many"}, 400),
            ("GET", f"{SERVICE}/stock/x", {"Poplarlb_Class": "royal"}, 400),
            ("GET", f"{SERVICE}/stock/x", {"Idempotency_Key": "a b"}, 400),
            ("GET", f"{SERVICE}/stock/x", {"Idempotency_Key": "k" * 200}, 400),
        ]
        for method, path, headers, status in cases:
            with self.subTest(path=path, headers=headers):
                self.assertEqual(self.call(method, path, **headers).status, status)
        answer = self.call("POST", f"{SERVICE}/stock/x", b"x" * (3 << 20))
        self.assertEqual(answer.status, 413)
        self.assertEqual(self.seen(), [])

    def test_raw_tricks(self) -> None:
        """What two servers could read differently is refused."""
        post = b"POST /v1/services/dairy/stock/x HTTP/1.1\r\nHost: a\r\n"
        get = b"GET /v1/services/dairy/stock/x HTTP/1.1\r\nHost: a\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n"
        tricks = [
            post + b"Content-Length: 4\r\n" + chunked + b"\r\n0\r\n\r\n",
            post + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            post + b"Content-Length: -1\r\n\r\n",
            post + b"Content-Length: +1\r\n\r\na",
            post + b"Content-Length : 1\r\n\r\na",
            post + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            post + b"Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
            post + chunked + b"\r\nzz\r\n",
            post.replace(b"1.1", b"1.0") + chunked + b"\r\n0\r\n\r\n",
            get + b"X-A: 1\rX-B: 2\r\n\r\n",
            get + b"X-A: 1\nX-B: 2\r\n\r\n",
            get + b"X-A: 1\r\n folded\r\n\r\n",
            get + b"X-A: \x00\r\n\r\n",
            get + b"X A: 1\r\n\r\n",
            get + b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
            get + b"X-N: 1\r\n" * 200 + b"\r\n",
            get + b"X-Long: " + b"x" * 100_000 + b"\r\n\r\n",
            get.replace(b"stock/x", b"stock/../../../v1/batch") + b"\r\n",
            get.replace(b"stock/x", b"stock/%2e%2e/%2e%2e/x") + b"\r\n",
            get.replace(b"stock/x", b"stock/\x7f") + b"\r\n",
            get.replace(b"GET", b"G{}T") + b"\r\n",
            b"nonsense\r\n\r\n",
        ]
        for data in tricks:
            with self.subTest(data[:120]):
                status = int(self.exchange(data).split()[1])
                self.assertIn(status, (400, 413))
        self.assertEqual(self.seen(), [])
        self.assertEqual(self.call("GET", f"{SERVICE}/stock/x").status, 200)

    def test_short_body_is_never_sent_whole(self) -> None:
        """A caller that goes away in its body leaves no request behind."""
        head = b"POST /v1/services/dairy/orders/x HTTP/1.1\r\nHost: a\r\n"
        host, _, port = self.server.address.partition(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(head + b"Content-Length: 100\r\n\r\nshort")
            sock.shutdown(socket.SHUT_WR)
            self.assertIn(b"408", sock.recv(4_096))
        self.assertEqual(self.seen(), [])

    def test_slow_headers_are_cut(self) -> None:
        """A client that trickles is cut off when its time is up."""
        before = limits.HEADER_TIMEOUT_S
        limits.HEADER_TIMEOUT_S = 0.2
        try:
            host, _, port = self.server.address.partition(":")
            with socket.create_connection((host, int(port)), timeout=20) as sock:
                sock.sendall(b"GET /healthz HTTP/1.1\r\nX-Slow: ")
                self.assertIn(sock.recv(4_096)[:12], (b"", b"HTTP/1.1 400"))
        finally:
            limits.HEADER_TIMEOUT_S = before

    def test_bad_jobs_name_every_fault(self) -> None:
        """A job is checked whole, and nothing is submitted on a fault."""
        bad = {"class": "royal", "size": {"cpu_millis": -1, "x": 1}, "zones": "kochi"}
        answer = self.call("PUT", "/v1/jobs/dairy/j", json.dumps(bad))
        self.assertEqual(answer.status, 400)
        detail = json.loads(answer.data)["detail"]
        for name in ("class", "size.cpu_millis", "size.x", "zones"):
            self.assertIn(name, detail)
        good = json.dumps({"size": {"cpu_millis": 1}})
        cases = [
            ("/v1/jobs/dairy/service.orders.0", good, 400),
            ("/v1/jobs/dairy/a%20b", good, 400),
            ("/v1/jobs/dairy/" + "a" * 200, good, 400),
            ("/v1/jobs/nosuch/j", good, 404),
            ("/v1/jobs/dairy/j", "{", 400),
            ("/v1/jobs/dairy/j", "[]", 400),
            ("/v1/jobs/dairy/j", "[" * 100_000, 400),
            ("/v1/jobs/dairy/j", b"\xff\xfe", 400),
        ]
        for path, body, status in cases:
            with self.subTest(path=path, body=body[:20]):
                self.assertEqual(self.call("PUT", path, body).status, status)
        self.assertEqual(self.runtime.jobs, {})

    def test_jobs_are_listed_in_pages(self) -> None:
        """Pages follow each other by the last id."""
        for number in range(5):
            body = json.dumps({"size": {"cpu_millis": 1}})
            answer = self.call("PUT", f"/v1/jobs/dairy/j{number}", body)
            self.assertEqual(answer.status, 200)
        page = json.loads(self.call("GET", "/v1/jobs/dairy?limit=3").data)
        self.assertEqual((len(page["jobs"]), page["more"]), (3, True))
        rest = self.call("GET", f"/v1/jobs/dairy?limit=3&after={page['after']}")
        self.assertEqual(len(json.loads(rest.data)["jobs"]), 2)
        for query in ("limit=0", "limit=x", "other=1", "after=%20"):
            self.assertEqual(self.call("GET", f"/v1/jobs/dairy?{query}").status, 400)


class BusyTest(CallersCase):
    """Too much at once is refused at once."""

    threads = 3
    requests_per_s = 20.0

    def test_rate_and_threads(self) -> None:
        """Refusals come with when to come back, and health still answers."""
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            path = f"{SERVICE}/stock/x"
            answers = list(pool.map(lambda _: self.call("GET", path), range(80)))
        counts = dict.fromkeys((200, 429, 503), 0)
        for answer in answers:
            counts[answer.status] += 1
            if answer.status != 200:
                self.assertIn("Retry-After", answer.headers)
        self.assertGreater(counts[429], 0)
        self.assertGreater(counts[200], 0)
        self.assertEqual(self.call("GET", "/healthz").status, 200)
        self.assertEqual(self.runtime.admission.slots.in_use, {})
