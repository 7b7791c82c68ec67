"""Tests of the callers' server over sockets: responses, refusals and bad input."""

import concurrent.futures
import json
import pathlib
import socket
import ssl
import threading
import time
import unittest
import unittest.mock

import urllib3

from poplarlb.settings import ApiSettings, RequestSettings, Settings, ShardSettings
from poplarlb.transport import limits
from poplarlb.transport.callers import CallerHandler, CallerServer
from tests.transport.owner import OwnerRuntime, ScriptedEndpoint

SERVICE = "/v1/services/dairy"
TLS_FOLDER = pathlib.Path(__file__).parent / "tls"
STATUS_BY_CODE = {"not_run": 503, "outcome_unknown": 502, "conflict": 409}


class CallerServerTestCase(unittest.TestCase):
    """A caller server with two scripted endpoints."""

    threads = 8
    requests_per_s = 100_000.0
    body_limit_bytes = 2 << 20
    certificate = ""
    key = ""

    def setUp(self) -> None:
        """Start the endpoints, the owner and the server."""
        self.endpoints = [ScriptedEndpoint() for _ in range(2)]
        settings = Settings(
            "d0",
            "kochi",
            shards=ShardSettings(zones=("kochi",)),
            api=ApiSettings(
                threads=self.threads,
                requests_per_s=self.requests_per_s,
                tls_certificate=str(self.certificate),
                tls_key=str(self.key),
            ),
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
        """Return the response; header names are given with underscores."""
        request_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        url = f"http://{self.server.address}{path}"
        return self.http.request(method, url, body=body, headers=request_headers)

    def check_refusal(self, response, code: str) -> dict:
        """Check the form of a refusal and return its JSON object."""
        table = json.loads(response.data)
        self.assertEqual(table["code"], code)
        self.assertEqual(response.status, STATUS_BY_CODE.get(code, response.status))
        if table.get("retry_after_ms"):
            self.assertIn("Retry-After", response.headers)
        return table

    def check_counted(self, limit: str) -> None:
        """Check that a client that exceeded a limit was counted."""
        text = self.runtime.metrics.render().decode()
        self.assertIn(f'poplarlb_client_limits_total{{limit="{limit}"}}', text)

    def received(self) -> list[tuple[str, str]]:
        """Return the requests that the endpoints received."""
        return [item for endpoint in self.endpoints for item in endpoint.received]

    def exchange(self, data: bytes) -> bytes:
        """Send raw bytes and return all received bytes."""
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


class ServiceTest(CallerServerTestCase):
    """Forwarding of requests and responses, retries and idempotency keys."""

    def test_requests_are_forwarded_unchanged(self) -> None:
        """Method, path, query, headers and bodies of any size are forwarded."""
        response = self.call(
            "PATCH", f"{SERVICE}/stock/a%2Fb/c?q=1&q=%20", b"x", X_A="1"
        )
        echo = json.loads(response.data)
        self.assertEqual(echo["target"], "/service/dairy/stock/a%2Fb/c?q=1&q=%20")
        self.assertEqual((echo["method"], echo["bytes"]), ("PATCH", 1))
        self.assertEqual(echo["headers"]["x-a"], "1")
        self.assertEqual(response.headers.getlist("Set-Cookie"), ["a=1", "b=2"])
        self.assertNotIn("X-Hop", response.headers)
        for size in (300_000, 2 << 20):
            echo = json.loads(self.call("PUT", f"{SERVICE}/stock/x", b"z" * size).data)
            self.assertEqual(echo["bytes"], size)
        streamed = self.call("POST", f"{SERVICE}/stock/x", iter([b"ab", b"cd"]))
        self.assertEqual(json.loads(streamed.data)["bytes"], 4)
        self.assertEqual(
            self.call("GET", f"{SERVICE}/stock/big").data, b"y" * 2_000_000
        )

    def test_responses_without_a_body(self) -> None:
        """The connection stays usable after responses to HEAD, 204 and 304."""
        head = self.call("HEAD", f"{SERVICE}/stock/x")
        self.assertEqual((head.status, head.data), (200, b""))
        self.assertGreater(int(head.headers["Content-Length"]), 10)
        for status in (204, 304):
            response = self.call("GET", f"{SERVICE}/stock/{status}")
            self.assertEqual((response.status, response.data), (status, b""))
            self.assertEqual(response.headers["X-Seen"], "yes")
        self.assertEqual(self.call("GET", f"{SERVICE}/stock/x").status, 200)

    def test_truncated_responses_are_errors(self) -> None:
        """A truncated response of an endpoint never looks complete to the caller."""
        for path in ("short", "cutchunk"):
            response = self.call("GET", f"{SERVICE}/stock/{path}")
            self.check_refusal(response, "outcome_unknown")
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.call("GET", f"{SERVICE}/stock/bigshort")
        self.assertEqual(self.runtime.admission.slots.in_use, {})

    def test_non_idempotent_request_is_sent_once(self) -> None:
        """If a byte may have reached the endpoint, the refusal is "outcome unknown"."""
        response = self.call("POST", f"{SERVICE}/orders/drop", b"{}")
        self.check_refusal(response, "outcome_unknown")
        self.assertEqual(len(self.received()), 1)

    def test_idempotent_request_is_retried_within_budget(self) -> None:
        """Retries are limited to a share of successes, not to a count per request."""
        for _ in range(30):
            self.call("GET", f"{SERVICE}/stock/drop")
        sent = len(self.received())
        self.assertGreater(sent, 10)
        self.assertLessEqual(sent, 36)

    def test_unreachable_endpoint(self) -> None:
        """An unsent request goes to another endpoint, or is refused as "not run"."""
        self.endpoints[0].shutdown()
        self.endpoints[0].server_close()
        for _ in range(4):
            response = self.call("POST", f"{SERVICE}/orders/x", b"{}")
            self.assertEqual(response.status, 200)
        self.endpoints[1].shutdown()
        self.endpoints[1].server_close()
        timeout = {"Poplarlb_Timeout_Ms": "500"}
        response = self.call("POST", f"{SERVICE}/orders/x", b"{}", **timeout)
        self.check_refusal(response, "not_run")
        self.assertEqual(len(self.received()), 4)

    def test_keyed_request_runs_once(self) -> None:
        """A repeat gets the first response; a different body is a conflict."""
        path, key = f"{SERVICE}/orders/x", {"Idempotency_Key": "k1"}
        first = self.call("POST", path, b"one", **key)
        again = self.call("POST", path, b"one", **key)
        self.assertEqual(first.data, again.data)
        self.assertEqual(again.headers["Poplarlb-Replayed"], "true")
        table = self.check_refusal(self.call("POST", path, b"two", **key), "conflict")
        self.assertEqual(table["reason"], "key_reused")
        self.assertEqual(len(self.received()), 1)
        self.check_refusal(
            self.call("POST", f"{SERVICE}/orders/drop", b"", Idempotency_Key="k2"),
            "outcome_unknown",
        )
        self.check_refusal(
            self.call("POST", f"{SERVICE}/orders/drop", b"", Idempotency_Key="k2"),
            "outcome_unknown",
        )
        self.assertEqual(len(self.received()), 2)

    def test_concurrent_repeats_run_once(self) -> None:
        """Concurrent requests with the same key reach an endpoint once."""
        with concurrent.futures.ThreadPoolExecutor(5) as pool:
            responses = list(
                pool.map(
                    lambda _: self.call(
                        "POST", f"{SERVICE}/orders/x", b"one", Idempotency_Key="k"
                    ),
                    range(5),
                )
            )
        self.assertEqual(len(self.received()), 1)
        self.assertTrue({a.status for a in responses} <= {200, 409})

    def test_concurrent_callers_get_their_own_responses(self) -> None:
        """Responses match their requests under concurrency."""
        with concurrent.futures.ThreadPoolExecutor(5) as pool:
            paths = [f"{SERVICE}/stock/p?n={number}" for number in range(100)]
            responses = list(pool.map(lambda path: self.call("GET", path), paths))
        expected = [f"/service/dairy/stock/p?n={number}" for number in range(100)]
        self.assertEqual([json.loads(a.data)["target"] for a in responses], expected)
        ids = {response.headers["Poplarlb-Request-Id"] for response in responses}
        self.assertEqual(len(ids), 100)
        self.assertEqual(self.runtime.admission.slots.in_use, {})


class BadInputTest(CallerServerTestCase):
    """Bad input is refused with a 4xx status and has no other effect."""

    def test_bad_service_requests(self) -> None:
        """Each fault has its status, and no request reaches an endpoint."""
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
        response = self.call("POST", f"{SERVICE}/stock/x", b"x" * (3 << 20))
        self.assertEqual(response.status, 413)
        self.assertEqual(self.received(), [])

    def test_ambiguous_and_malformed_requests(self) -> None:
        """Requests that two servers could parse differently are refused."""
        post = b"POST /v1/services/dairy/stock/x HTTP/1.1\r\nHost: a\r\n"
        get = b"GET /v1/services/dairy/stock/x HTTP/1.1\r\nHost: a\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n"
        raw_requests = [
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
        for data in raw_requests:
            with self.subTest(data[:120]):
                status = int(self.exchange(data).split()[1])
                self.assertIn(status, (400, 413))
        self.assertEqual(self.received(), [])
        self.assertEqual(self.call("GET", f"{SERVICE}/stock/x").status, 200)

    def test_truncated_body_is_not_forwarded(self) -> None:
        """A body that the caller truncates is not sent to an endpoint."""
        head = b"POST /v1/services/dairy/orders/x HTTP/1.1\r\nHost: a\r\n"
        host, _, port = self.server.address.partition(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(head + b"Content-Length: 100\r\n\r\nshort")
            sock.shutdown(socket.SHUT_WR)
            self.assertIn(b"408", sock.recv(4_096))
        self.assertEqual(self.received(), [])

    def test_slow_headers_time_out(self) -> None:
        """A client that sends headers too slowly is disconnected at the timeout."""
        before = limits.HEADER_TIMEOUT_S
        limits.HEADER_TIMEOUT_S = 0.2
        try:
            host, _, port = self.server.address.partition(":")
            with socket.create_connection((host, int(port)), timeout=20) as sock:
                sock.sendall(b"GET /healthz HTTP/1.1\r\nX-Slow: ")
                self.assertIn(sock.recv(4_096)[:12], (b"", b"HTTP/1.1 400"))
        finally:
            limits.HEADER_TIMEOUT_S = before

    def test_every_fault_of_a_job_is_reported(self) -> None:
        """All faults of a job are reported, and a faulty job is not submitted."""
        bad = {"class": "royal", "size": {"cpu_millis": -1, "x": 1}, "zones": "kochi"}
        response = self.call("PUT", "/v1/jobs/dairy/j", json.dumps(bad))
        self.assertEqual(response.status, 400)
        detail = json.loads(response.data)["detail"]
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

    # Guards against a body whose every value takes far more memory than its text.
    def test_values_of_a_job_are_limited(self) -> None:
        """A job of legal length with very many values is refused unread."""
        body = json.dumps({"size": {"cpu_millis": 1}, "zones": ["kochi"] * 20_000})
        response = self.call("PUT", "/v1/jobs/dairy/j", body)
        self.assertEqual(response.status, 400)
        self.assertIn("values", json.loads(response.data)["detail"])
        self.check_counted("values")

    # Guards against forms, which were decoded into an object for each field.
    def test_content_type_changes_nothing(self) -> None:
        """A job declared as a form is read as JSON all the same."""
        body = json.dumps({"size": {"cpu_millis": 1}})
        for kind in ("application/x-www-form-urlencoded", "multipart/form-data"):
            with self.subTest(kind=kind):
                response = self.call("PUT", "/v1/jobs/dairy/j", body, Content_Type=kind)
                self.assertEqual(response.status, 200)

    def test_query_is_limited(self) -> None:
        """A long query is refused before it is decoded."""
        query = "&".join(f"{number:x}=" for number in range(5_000))
        response = self.call("GET", f"/v1/jobs/dairy?{query}")
        self.assertEqual(response.status, 414)
        self.check_counted("query")

    # Guards against bodies that together take more memory than there is.
    def test_memory_for_jobs_is_limited(self) -> None:
        """A job is refused while the bodies that are being read use it up."""
        jobs = self.server.handler.jobs
        self.assertTrue(jobs.bodies.acquire(jobs.bodies.limit_bytes))
        body = json.dumps({"size": {"cpu_millis": 1}})
        response = self.call("PUT", "/v1/jobs/dairy/j", body)
        self.assertEqual((response.status, response.headers["Retry-After"]), (429, "1"))
        self.check_counted("job_bodies")
        jobs.bodies.release(jobs.bodies.limit_bytes)
        response = self.call("PUT", "/v1/jobs/dairy/j", body)
        self.assertEqual((response.status, jobs.bodies.used_bytes), (200, 0))

    def test_jobs_are_listed_in_pages(self) -> None:
        """The next page begins after the last id of the previous page."""
        for number in range(5):
            body = json.dumps({"size": {"cpu_millis": 1}})
            response = self.call("PUT", f"/v1/jobs/dairy/j{number}", body)
            self.assertEqual(response.status, 200)
        page = json.loads(self.call("GET", "/v1/jobs/dairy?limit=3").data)
        self.assertEqual((len(page["jobs"]), page["more"]), (3, True))
        rest = self.call("GET", f"/v1/jobs/dairy?limit=3&after={page['after']}")
        self.assertEqual(len(json.loads(rest.data)["jobs"]), 2)
        for query in ("limit=0", "limit=x", "other=1", "after=%20"):
            self.assertEqual(self.call("GET", f"/v1/jobs/dairy?{query}").status, 400)


class StalledReadTest(CallerServerTestCase):
    """Requests that never end, on a server with few threads."""

    threads = 3

    # Guards against clients that hold all threads until their reading times out.
    def test_stalled_reads_make_room(self) -> None:
        """An ordinary request is served; the reads for over a second are ended."""
        host, _, port = self.server.address.partition(":")
        stalled = [socket.create_connection((host, int(port))) for _ in range(8)]
        self.addCleanup(lambda: [item.close() for item in stalled])
        for number, client in enumerate(stalled):
            head = b"POST /v1/jobs/dairy/j HTTP/1.1\r\nHost: h\r\n"
            chunk = b"Transfer-Encoding: chunked\r\n\r\nffff\r\nx"
            client.sendall(head + chunk if number % 2 else head)
        started_s = time.monotonic()
        self.assertEqual(self.call("GET", "/healthz").status, 200)
        self.assertLess(time.monotonic() - started_s, limits.HEADER_TIMEOUT_S)
        self.check_counted("thread")


class EncryptedServerTest(CallerServerTestCase):
    """A server with TLS and few threads."""

    threads = 3
    certificate = TLS_FOLDER / "certificate.pem"
    key = TLS_FOLDER / "key.pem"

    def connect(self) -> socket.socket:
        """Open a connection without TLS."""
        host, _, port = self.server.address.partition(":")
        connected = socket.create_connection((host, int(port)), timeout=20)
        self.addCleanup(connected.close)
        return connected

    def exchange_encrypted(self, path: str) -> bytes:
        """Return the answer to a request over TLS."""
        context = ssl.create_default_context(cafile=self.certificate)
        with context.wrap_socket(
            self.connect(), server_hostname="127.0.0.1"
        ) as encrypted:
            head = f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            encrypted.sendall(head.encode())
            return b"".join(iter(lambda: encrypted.recv(65_536), b""))

    # Guards against silent clients, each of which held up all others for ten seconds.
    def test_silent_clients_keep_nobody_out(self) -> None:
        """Their handshake is left to the threads, and ends while others wait."""
        for number in range(6):
            if number % 2:
                self.connect().sendall(b"GET / HTTP/1.1\r\n")
            else:
                self.connect()
        started_s = time.monotonic()
        self.assertIn(b"200 OK", self.exchange_encrypted("/healthz"))
        self.assertLess(time.monotonic() - started_s, limits.HEADER_TIMEOUT_S)

    # Guards against a response that isn't encrypted, as the reading was ended before.
    def test_ended_reading_changes_no_encryption(self) -> None:
        """A request that takes long while others wait is answered over TLS."""
        slow = threading.Event()
        self.addCleanup(slow.set)
        self.server.server.watchdog.count_waiting = lambda: 1
        with unittest.mock.patch.object(
            CallerHandler, "_route", lambda *_: slow.wait(2.5) or b"done"
        ):
            answer = self.exchange_encrypted("/v1/slow")
        self.assertTrue(answer.endswith(b"done"))
        self.check_counted("thread")


class WaitingConnectionTest(CallerServerTestCase):
    """More connections than may wait for a thread."""

    threads = 1

    # Guards against connections that wait without a limit until descriptors run out.
    def test_oldest_waiting_connections_are_closed(self) -> None:
        """The newest one is served."""
        self.server.server.connections_limit = 2
        host, _, port = self.server.address.partition(":")
        waiting = [socket.create_connection((host, int(port))) for _ in range(6)]
        self.addCleanup(lambda: [item.close() for item in waiting])
        self.assertEqual(self.call("GET", "/healthz").status, 200)
        self.assertLessEqual(self.server.server.requests.qsize, 2)
        self.check_counted("connections")


class OverloadTest(CallerServerTestCase):
    """Requests beyond the limits are refused at once."""

    threads = 3
    requests_per_s = 20.0

    def test_rate_and_thread_limits(self) -> None:
        """Refusals have Retry-After, and health checks are still answered."""
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            path = f"{SERVICE}/stock/x"
            responses = list(pool.map(lambda _: self.call("GET", path), range(80)))
        counts = dict.fromkeys((200, 429, 503), 0)
        for response in responses:
            counts[response.status] += 1
            if response.status != 200:
                self.assertIn("Retry-After", response.headers)
        self.assertGreater(counts[429], 0)
        self.assertGreater(counts[200], 0)
        self.assertEqual(self.call("GET", "/healthz").status, 200)
        self.assertEqual(self.runtime.admission.slots.in_use, {})
