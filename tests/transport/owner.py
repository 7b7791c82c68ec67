"""A fake runtime with the owner of one shard, and endpoints with scripted responses."""

import itertools
import json
import socket
import socketserver
import threading
import time
import types

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.requests.admission import Admission, Endpoint
from poplarlb.coordination.requests.idempotency import KeyTable
from poplarlb.coordination.requests.key_takeover import KeyPeers
from poplarlb.coordination.requests.marks import MarkStore
from poplarlb.exceptions import OutcomeUnknownError
from poplarlb.metrics import Metrics
from poplarlb.protocol import api, ports
from poplarlb.settings import Settings
from poplarlb.state.models import Reason, Resources, TaskPhase, Worker
from poplarlb.state.templates import ConfigView, ServiceTemplate, TeamTemplate
from poplarlb.transport.runtime import now_ms

SHARD = "kochi/0"


class OwnerRuntime:
    """Answers calls like a daemon's runtime, from one admission and one key table."""

    def __init__(self, settings: Settings, addresses: list[str]) -> None:
        """Create a team with two services, served by all the given endpoints."""
        self.settings = settings
        self.metrics = Metrics()
        self.started = threading.Event()
        self.started.set()
        self.ready = True
        self.lock = threading.RLock()
        self.answers: dict[int, api.ApiResult] = {}
        self.answered = threading.Condition(self.lock)
        self.jobs: dict = {}
        context = NodeContext(settings)
        size = Resources(1, 1)
        services = tuple(
            ServiceTemplate(name, 1, size, idempotent=idempotent, durability="memory")
            for name, idempotent in (("stock", True), ("orders", False))
        )
        context.view = ConfigView(
            1, (TeamTemplate("dairy", ("kochi",), size, services=services),)
        )
        self.node = types.SimpleNamespace(context=context)
        self.admission = Admission(context, SHARD, 1)
        workers = [
            Worker(f"w{n}", "kochi", "r", address, size)
            for n, address in enumerate(addresses)
        ]
        self.admission.set_endpoints(
            [Endpoint("dairy", s.name, w) for s in services for w in workers], 0
        )
        marks = MarkStore(1, lambda _: 1, str)
        peers = KeyPeers("d0", str, lambda _: 1, list, str, now_ms)
        self.table = KeyTable(context, SHARD, 1, now_ms(), peers, marks)
        self.numbers = itertools.count(1)
        threading.Thread(target=self._tick, daemon=True).start()

    def _tick(self) -> None:
        while self.started.is_set():
            time.sleep(0.02)
            with self.answered:
                self._store_answers(self.admission.handle(ports.Tick(), now_ms()))

    def ask(self, body: api.ApiBody, timeout_s: float = 30) -> api.ApiResult:
        """Return the owner's answer; wait for that of a queued request."""
        with self.answered:
            call_id = next(self.numbers)
            self._handle(ports.ApiRequested(call_id, body))
            if not self.answered.wait_for(lambda: call_id in self.answers, timeout_s):
                raise OutcomeUnknownError("no answer within the timeout")
            return self.answers.pop(call_id)

    def ask_all(self, bodies: list[api.ApiBody]) -> list[api.ApiResult]:
        """Return the answers to several calls."""
        return [self.ask(body) for body in bodies]

    def notify(self, body: api.ApiBody) -> None:
        """Make a call without waiting for its answer."""
        with self.answered:
            self._handle(ports.ApiRequested(next(self.numbers), body))

    def _handle(self, event: ports.ApiRequested) -> None:
        match event.body:
            case api.BeginKey() | api.FinishKey():
                commands = self.table.handle(event, now_ms())
            case api.AdmitRequest() | api.FinishRequest():
                commands = self.admission.handle(event, now_ms())
            case body:
                commands = [ports.ApiAnswer(event.call_id, self._handle_job_call(body))]
        self._store_answers(commands)

    def _store_answers(self, commands: list[ports.ApiAnswer]) -> None:
        self.answers.update({item.call_id: item.result for item in commands})
        self.answered.notify_all()

    def _handle_job_call(self, body: api.ApiBody) -> api.ApiResult:
        match body:
            case api.SubmitTask(spec=spec):
                view = api.TaskView(spec, TaskPhase.QUEUED, SHARD)
                return self.jobs.setdefault(spec.key, view)
            case api.ListTasks(after=after, limit=limit):
                found = [v for k, v in sorted(self.jobs.items()) if k.task_id > after]
                return api.TaskViews(tuple(found[:limit]), len(found) > limit)
            case api.ShowTask(key=key) if key in self.jobs:
                return self.jobs[key]
        return api.Fault("not_found", Reason.NO_OWNER)


class ScriptedEndpoint(socketserver.ThreadingTCPServer):
    """An endpoint whose response depends on the path; it records the requests."""

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self) -> None:
        """Listen on a free port."""
        super().__init__(("127.0.0.1", 0), EndpointHandler)
        self.received: list[tuple[str, str]] = []
        self.address = "{}:{}".format(*self.server_address)
        threading.Thread(target=self.serve_forever, daemon=True).start()


class EndpointHandler(socketserver.StreamRequestHandler):
    """Reads requests and responds as scripted for their paths."""

    def handle(self) -> None:
        """Handle requests until the connection ends."""
        while True:
            line = self.rfile.readline().decode()
            if not line:
                return
            method, target, _ = line.split()
            headers = {}
            while (line := self.rfile.readline().decode().strip()) != "":
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            body = self._read_body(headers)
            self.server.received.append((method, target))
            if not self._respond(method, target, headers, body):
                self.connection.shutdown(socket.SHUT_RDWR)
                return

    def _read_body(self, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding") != "chunked":
            return self.rfile.read(int(headers.get("content-length", 0)))
        parts = []
        while size := int(self.rfile.readline(), 16):
            parts.append(self.rfile.read(size))
            self.rfile.readline()
        self.rfile.readline()
        return b"".join(parts)

    def _respond(self, method: str, target: str, headers: dict, body: bytes) -> bool:
        path = target.partition("?")[0].rpartition("/")[2]
        match path:
            case "drop":
                return False
            case "short":
                self._write("200 OK", b"x" * 10, "Content-Length: 1000")
                return False
            case "bigshort":
                self._write("200 OK", b"x" * 700_000, "Content-Length: 1000000")
                return False
            case "cutchunk":
                head = "Transfer-Encoding: chunked"
                self._write("200 OK", b"5\r\nhello\r\n", head)
                return False
            case "big":
                body = b"%x\r\n%s\r\n" % (100_000, b"y" * 100_000) * 20 + b"0\r\n\r\n"
                self._write("200 OK", body, "Transfer-Encoding: chunked")
            case "204" | "304":
                self._write(f"{path} Fine", b"", "X-Seen: yes")
            case "503":
                self._write("503 Busy", b"no", "Content-Length: 2")
            case _:
                echo = {
                    "method": method,
                    "target": target,
                    "headers": headers,
                    "bytes": len(body),
                    "number": len(self.server.received),
                }
                data = json.dumps(echo).encode()
                head = (
                    f"Content-Length: {len(data)}\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2"
                )
                self._write("200 OK", b"" if method == "HEAD" else data, head)
        return True

    def _write(self, status: str, body: bytes, head: str) -> None:
        text = f"HTTP/1.1 {status}\r\n{head}\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\r\n"
        self.wfile.write(text.encode() + body)
