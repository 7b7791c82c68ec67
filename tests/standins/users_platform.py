"""A stand-in for the users' platform: its store and its workers, on the event loop.

``KvTable`` is the store itself; ``StoreService`` and ``WorkerService`` serve it and the
fake workers over HTTP as the platform's pages tell, with faults that tests switch on.
"""

import asyncio
import base64
import itertools
import json
from urllib.parse import parse_qs, urlsplit

from attrs import Factory, define, field

from poplarlb.coordination.jobs import events
from poplarlb.transport.http_server import HttpReply, HttpRequest, HttpServer
from tests.coordination.jobs.fake_worker import FakeWorker

PAGE_ITEMS = 500
ENTRIES_PER_TRANSACTION = 32
WORKER_TICK_S = 0.02


@define
class Item:
    """One key of the store."""

    value: str
    rev: int
    created: int
    lease: int = 0


@define(eq=False)
class KvTable:
    """Keys with revisions and leases, and the history that watches read."""

    items: dict[str, Item] = Factory(dict)
    history: list[dict] = Factory(list)
    forgotten: int = 0  # history up to this revision is gone
    revision: int = 1
    leases: dict[int, float] = Factory(dict)  # end, on the loop's clock
    ttls: dict[int, int] = Factory(dict)
    changed: asyncio.Event = field(factory=asyncio.Event)
    numbers: itertools.count = field(factory=lambda: itertools.count(1))

    def row(self, key: str) -> dict:
        """Return an item as the wire has it."""
        item = self.items[key]
        return {
            "key": key,
            "value": item.value,
            "rev": item.rev,
            "created": item.created,
            "lease": item.lease,
        }

    def put(self, key: str, value: bytes | str, lease: int = 0) -> None:
        """Write a key; bytes are encoded as the wire has them."""
        if isinstance(value, bytes):
            value = base64.b64encode(value).decode()
        self.revision += 1
        self._write(key, value, lease)

    def _write(self, key: str, value: str, lease: int) -> None:
        created = self.items[key].created if key in self.items else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self._tell(self.row(key))

    def delete(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self._remove(key)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._tell({"key": key, "rev": self.revision, "tombstone": True})

    def forget_history(self) -> None:
        """Drop all history, as a compaction does."""
        self.history.clear()
        self.forgotten = self.revision

    def expire(self, now_s: float) -> None:
        """End the leases that are over."""
        for lease in [number for number, end in self.leases.items() if end <= now_s]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.delete(key)

    def transact(self, body: dict) -> tuple[int, dict]:
        """Carry out a transaction; return the status and the answer."""
        expected, puts = body["expected"], body["puts"]
        if len(expected) + len(puts) + len(body["deletes"]) > ENTRIES_PER_TRANSACTION:
            return 400, {}
        now = {
            row["key"]: self.items[row["key"]].rev if row["key"] in self.items else 0
            for row in expected
        }
        if any(now[row["key"]] != row["rev"] for row in expected):
            rows = [self.row(key) for key in now if key in self.items]
            return 412, {"items": rows}
        if any(row.get("lease") and row["lease"] not in self.leases for row in puts):
            return 404, {}
        self.revision += 1
        for row in puts:
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in body["deletes"]:
            self._remove(key)
        return 200, {"rev": self.revision}

    def changes(self, prefix: str, after: int) -> list[dict]:
        """Return the changes under a prefix after a revision."""
        return [
            row
            for row in self.history
            if row["rev"] > after and row["key"].startswith(prefix)
        ]

    def _tell(self, row: dict) -> None:
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()


@define(eq=False)
class StoreService:
    """Serves the table over HTTP.

    ``refusing`` answers 503 to everything; ``silent`` carries writes out and never
    answers; ``silent_writes`` does so for that many transactions.
    """

    table: KvTable = Factory(KvTable)
    server: HttpServer = None
    refusing: bool = False
    silent: bool = False
    silent_writes: int = 0
    calls: int = 0

    async def start(self, address: str) -> None:
        """Listen."""
        self.server = HttpServer(self.handle)
        await self.server.start(address)

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one call."""
        self.calls += 1
        now_s = asyncio.get_running_loop().time()
        self.table.expire(now_s)
        if self.refusing:
            return HttpReply(503)
        parts = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if self.silent:
            await asyncio.sleep(3_600)
        match request.method, parts.path:
            case "GET", "/v1/kv-key":
                return self._get(query["key"])
            case "GET", "/v1/kv-range":
                return self._range(query)
            case "GET", "/v1/kv-watch":
                return await self._watch(query)
            case "POST", "/v1/kv-txn":
                status, answer = self.table.transact(json.loads(request.body))
                if self.silent_writes:
                    self.silent_writes -= 1
                    await asyncio.sleep(3_600)
                return reply(status, answer)
            case "POST", "/v1/kv-lease":
                ttl_ms = json.loads(request.body)["ttlMs"]
                lease = next(self.table.numbers)
                self.table.leases[lease] = now_s + ttl_ms / 1000
                self.table.ttls[lease] = ttl_ms
                return reply(200, {"lease": lease, "ttlMs": ttl_ms})
        lease = int(parts.path.rsplit("/", 1)[1])
        if lease not in self.table.leases:
            return HttpReply(404)
        if request.method == "DELETE":
            self.table.end_lease(lease)
            return reply(200, {})
        ttl_ms = self.table.ttls[lease]
        self.table.leases[lease] = now_s + ttl_ms / 1000
        return reply(200, {"ttlMs": ttl_ms})

    def _get(self, key: str) -> HttpReply:
        if key not in self.table.items:
            return HttpReply(404)
        return reply(200, {**self.table.row(key), "currentRev": self.table.revision})

    def _range(self, query: dict) -> HttpReply:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self.table.items
            if key.startswith(query["prefix"]) and key > after
        )
        rows = [self.table.row(key) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return reply(
            200,
            {"items": rows, "hasMore": more, "currentRev": self.table.revision},
        )

    async def _watch(self, query: dict) -> HttpReply:
        table, after = self.table, int(query["after"])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query["waitMs"]) / 1000
        while True:
            if after < table.forgotten:
                return HttpReply(410)
            found = table.changes(query["prefix"], after)
            left_s = until_s - loop.time()
            if found or left_s <= 0:
                answer = {"events": found, "currentRev": table.revision}
                return reply(200, answer)
            changed = table.changed
            try:
                # Short waits also notice that leases end.
                async with asyncio.timeout(min(left_s, 0.05)):
                    await changed.wait()
            except TimeoutError:
                table.expire(loop.time())


@define(eq=False)
class WorkerService:
    """Serves fake workers over HTTP, each at its own port, and lists them."""

    table: KvTable
    workers: dict[str, FakeWorker] = Factory(dict)
    servers: dict[str, HttpServer] = Factory(dict)
    addresses: dict[str, str] = Factory(dict)
    work_ms: float = 100.0
    starts: list[str] = Factory(list)
    ticking: asyncio.Task | None = None

    async def add(self, worker: FakeWorker, address: str) -> None:
        """Start a worker and list it."""
        self.workers[worker.worker_id] = worker
        self.addresses[worker.worker_id] = address
        server = HttpServer(lambda request: self.handle(worker, request))
        self.servers[worker.worker_id] = server
        await server.start(address)
        self.list(worker)
        if self.ticking is None:
            self.ticking = asyncio.ensure_future(self._tick())

    def list(self, worker: FakeWorker) -> None:
        """Write a worker's entry."""
        entry = {
            "service": worker.service,
            "addr": self.addresses[worker.worker_id],
            "zone": worker.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if worker.draining else "ready",
            "coldLeftMs": 0,
            "capacity": {
                "cpu": worker.capacity.cpu_millis,
                "memMb": worker.capacity.memory_mb,
                "gpu": worker.capacity.accelerators,
            },
            "labels": ["a", worker.rack],
            "born": worker.life,
            "sequence": 1,
        }
        key = f"servers/{worker.worker_id}"
        self.table.put(key, json.dumps(entry).encode())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(WORKER_TICK_S)
            for worker in self.workers.values():
                worker.advance(WORKER_TICK_S * 1000)

    async def handle(self, worker: FakeWorker, request: HttpRequest) -> HttpReply:
        """Answer one order."""
        body = json.loads(request.body)
        match request.path:
            case "/v1/run-start":
                command = events.StartRun(
                    worker.worker_id,
                    "",
                    body["task"],
                    body["run"],
                    body["spec"],
                    body["untilMs"],
                    body["fence"],
                    body.get("saved", ""),
                )
                outcome = worker.start(command, self.work_ms, fails=False)
                if outcome is events.CallOutcome.DONE:
                    self.starts.append(command.task)
                return self._outcome(worker, outcome)
            case "/v1/run-stop":
                command = events.StopRun(
                    worker.worker_id, "", body["task"], body["run"], body["fence"]
                )
                return self._outcome(worker, worker.stop(command))
            case "/v1/hold":
                return await self._hold(worker, body)
        return self._outcome(worker, events.CallOutcome.DONE)

    async def _hold(self, worker: FakeWorker, body: dict) -> HttpReply:
        command = events.Look(
            worker.worker_id,
            "",
            body["fence"],
            body.get("lastSeen"),
            body.get("untilMs"),
            0,
        )
        life = worker.life
        lists = worker.look(command)
        until_s = asyncio.get_running_loop().time() + body.get("waitMs", 0) / 1000
        while lists is not None and not lists[1]:
            if asyncio.get_running_loop().time() >= until_s:
                break
            await asyncio.sleep(WORKER_TICK_S)
            if worker.life != life:
                return HttpReply(503)  # what a process has received dies with it
            lists = worker.look(command)
        if lists is None:
            return self._outcome(worker, events.CallOutcome.OLD_EPOCH)
        running, ended = lists
        return reply(
            200,
            {
                "clockMs": int(worker.clock_ms),
                "born": worker.life,
                "running": [[r.task, r.run, r.saved, r.percent, 0] for r in running],
                "ended": [[e.number, e.task, e.run, e.how, e.saved] for e in ended],
            },
        )

    def _outcome(self, worker: FakeWorker, outcome: events.CallOutcome) -> HttpReply:
        reasons = {
            events.CallOutcome.OLD_EPOCH: "fence",
            events.CallOutcome.OLD_RUN: "old",
            events.CallOutcome.LEASE_OVER: "late",
        }
        clock_ms = int(worker.clock_ms)
        if outcome is events.CallOutcome.DONE:
            return reply(200, {"clockMs": clock_ms})
        return reply(409, {"clockMs": clock_ms, "reason": reasons[outcome]})

    def close(self) -> None:
        """Stop the clock and the servers."""
        if self.ticking is not None:
            self.ticking.cancel()
        for server in self.servers.values():
            server.close()


def reply(status: int, answer: dict) -> HttpReply:
    """Return an answer with a JSON body."""
    return HttpReply(status, json.dumps(answer).encode())
