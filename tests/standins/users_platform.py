"""A fake of the users' platform: its store and its workers, on the event loop.

``KvTable`` is the store itself. ``StoreService`` and ``WorkerService`` serve it and the
fake workers over HTTP as the platform documents it, with faults that tests inject.
"""

import asyncio
import base64
import itertools
import json
import random
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from attrs import Factory, define, field, frozen

from poplarlb.coordination.jobs import events
from poplarlb.state.models import Resources
from poplarlb.transport.http_server import HttpRequest, HttpResponse, HttpServer
from tests.coordination.jobs.fake_worker import FakeWorker, draw_clock_ms

MAX_PAGE_ITEMS = 500
MAX_TRANSACTION_ENTRIES = 32
WORKER_TICK_S = 0.02
RESTART_STEP = 1_000  # between the incarnations of a worker


@define
class Item:
    """The value of a key, its revisions and its lease."""

    value: str
    rev: int
    created: int
    lease: int = 0


@define(eq=False)
class KvTable:
    """Keys with revisions and leases, and the history of changes for watches."""

    items: dict[str, Item] = Factory(dict)
    history: list[dict] = Factory(list)
    compacted_revision: int = 0  # the history up to this revision was dropped
    revision: int = 1
    leases: dict[int, float] = Factory(dict)  # end in s, on the event loop's clock
    ttls: dict[int, int] = Factory(dict)
    changed: asyncio.Event = field(factory=asyncio.Event)
    lease_numbers: itertools.count = field(factory=lambda: itertools.count(1))

    def encode_item(self, key: str) -> dict:
        """Return an item in its wire format."""
        item = self.items[key]
        return {
            "key": key,
            "value": item.value,
            "rev": item.rev,
            "created": item.created,
            "lease": item.lease,
        }

    def put(self, key: str, value: bytes | str, lease: int = 0) -> None:
        """Write a key; bytes are encoded in base64, as on the wire."""
        if isinstance(value, bytes):
            value = base64.b64encode(value).decode()
        self.revision += 1
        self._write(key, value, lease)

    def _write(self, key: str, value: str, lease: int) -> None:
        created = self.items[key].created if key in self.items else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self._append_change(self.encode_item(key))

    def delete(self, key: str) -> None:
        """Delete a key."""
        self.revision += 1
        self._remove(key)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._append_change({"key": key, "rev": self.revision, "tombstone": True})

    def compact_history(self) -> None:
        """Drop the whole history, as a compaction does."""
        self.history.clear()
        self.compacted_revision = self.revision

    def expire(self, now_s: float) -> None:
        """End the leases that have expired."""
        for lease in [number for number, end in self.leases.items() if end <= now_s]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.delete(key)

    def transact(self, body: dict) -> tuple[int, dict]:
        """Carry out a transaction; return the HTTP status and the response body."""
        expected, puts = body["expected"], body["puts"]
        if len(expected) + len(puts) + len(body["deletes"]) > MAX_TRANSACTION_ENTRIES:
            return 400, {}
        current_revisions = {
            row["key"]: self.items[row["key"]].rev if row["key"] in self.items else 0
            for row in expected
        }
        if any(current_revisions[row["key"]] != row["rev"] for row in expected):
            rows = [
                self.encode_item(key) for key in current_revisions if key in self.items
            ]
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
        """Return the changes of keys with a prefix after a revision."""
        return [
            row
            for row in self.history
            if row["rev"] > after and row["key"].startswith(prefix)
        ]

    def _append_change(self, row: dict) -> None:
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()


@define(eq=False)
class StoreService:
    """Serves the table over HTTP, with injected faults.

    ``refusing``: every call gets status 503. ``silent``: every call waits for an hour
    before it is carried out. ``unanswered_writes``: this number of transactions is
    carried out and answered an hour later. ``silent_watches`` and ``silent_prefixes``:
    watches, and all calls for keys with these prefixes, wait for an hour.
    ``hidden_keys``: watches leave out the changes of these keys, and their revision
    passes them.
    """

    table: KvTable = Factory(KvTable)
    server: HttpServer = None
    refusing: bool = False
    silent: bool = False
    unanswered_writes: int = 0
    silent_watches: bool = False
    silent_prefixes: tuple[str, ...] = ()
    hidden_keys: set[str] = Factory(set)
    calls: int = 0

    async def start(self, address: str) -> None:
        """Start the server."""
        self.server = HttpServer(self.handle)
        await self.server.start(address)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one call."""
        self.calls += 1
        now_s = asyncio.get_running_loop().time()
        self.table.expire(now_s)
        if self.refusing:
            return HttpResponse(503)
        parts = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        wanted = query.get("prefix") or query.get("key", "")
        is_watch = parts.path == "/v1/kv-watch"
        if (
            self.silent
            or (is_watch and self.silent_watches)
            or (wanted and wanted.startswith(self.silent_prefixes))
        ):
            await asyncio.sleep(3_600)
        match request.method, parts.path:
            case "GET", "/v1/kv-key":
                return self._get(query["key"])
            case "GET", "/v1/kv-range":
                return self._range(query)
            case "GET", "/v1/kv-watch":
                return await self._watch(query)
            case "POST", "/v1/kv-txn":
                status, body = self.table.transact(json.loads(request.body))
                if self.unanswered_writes:
                    self.unanswered_writes -= 1
                    await asyncio.sleep(3_600)
                return json_response(status, body)
            case "POST", "/v1/kv-lease":
                ttl_ms = json.loads(request.body)["ttlMs"]
                lease = next(self.table.lease_numbers)
                self.table.leases[lease] = now_s + ttl_ms / 1000
                self.table.ttls[lease] = ttl_ms
                return json_response(200, {"lease": lease, "ttlMs": ttl_ms})
        lease = int(parts.path.rsplit("/", 1)[1])
        if lease not in self.table.leases:
            return HttpResponse(404)
        if request.method == "DELETE":
            self.table.end_lease(lease)
            return json_response(200, {})
        ttl_ms = self.table.ttls[lease]
        self.table.leases[lease] = now_s + ttl_ms / 1000
        return json_response(200, {"ttlMs": ttl_ms})

    def _get(self, key: str) -> HttpResponse:
        if key not in self.table.items:
            return HttpResponse(404)
        return json_response(
            200, {**self.table.encode_item(key), "currentRev": self.table.revision}
        )

    def _range(self, query: dict) -> HttpResponse:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self.table.items
            if key.startswith(query["prefix"]) and key > after
        )
        rows = [self.table.encode_item(key) for key in keys[:MAX_PAGE_ITEMS]]
        more = len(keys) > MAX_PAGE_ITEMS
        return json_response(
            200,
            {"items": rows, "hasMore": more, "currentRev": self.table.revision},
        )

    async def _watch(self, query: dict) -> HttpResponse:
        table, after = self.table, int(query["after"])
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(query["waitMs"]) / 1000
        while True:
            if after < table.compacted_revision:
                return HttpResponse(410)
            found = [
                row
                for row in table.changes(query["prefix"], after)
                if row["key"] not in self.hidden_keys
            ]
            remaining_s = deadline_s - loop.time()
            if found or remaining_s <= 0:
                body = {"events": found, "currentRev": table.revision}
                return json_response(200, body)
            changed = table.changed
            try:
                # Waits are at most 0.05 s so that expired leases are noticed.
                async with asyncio.timeout(min(remaining_s, 0.05)):
                    await changed.wait()
            except TimeoutError:
                table.expire(loop.time())


@frozen
class CrashSettings:
    """How a worker crashes under a deadly task, and how it comes back.

    :param silent: its connections get no answers instead of being reset.
    :param renamed: it comes back as a new worker at its address, instead of under its
        id as a later incarnation.
    :param delay_s: from the answered start to the crash.
    :param listed_s: for how long its entry stays in the store.
    :param absent_s: from the removal of its entry until it is back.
    """

    silent: bool = False
    renamed: bool = False
    delay_s: float = 0.01
    listed_s: float = 3.0
    absent_s: float = 3.0


@frozen
class WorkerCrash:
    """A crash of a worker, and the tasks that ran there."""

    worker_id: str
    incarnation: int
    tasks: frozenset[str]


@define(eq=False)
class WorkerService:
    """Serves fake workers over HTTP, each at its own port, and lists them in the store.

    ``workers`` holds every worker by its id, also those that are gone; ``hosts`` the
    latest worker of each host, which is named after its first one. ``addresses`` are
    those in the workers' entries, ``listen_addresses`` those of their servers.
    ``work_ms`` is the run time of every run; ``starts`` holds the started tasks. A
    worker that starts one of ``deadly_tasks`` crashes as ``next_crash`` tells.
    ``on_started`` is called after each start of a run. ``capacities`` holds, by worker,
    each capacity that was written to the store and when. ``clock_rng`` draws the clocks
    of the workers that are back after a crash.
    """

    table: KvTable
    workers: dict[str, FakeWorker] = Factory(dict)
    hosts: dict[str, FakeWorker] = Factory(dict)
    servers: dict[str, HttpServer] = Factory(dict)
    addresses: dict[str, str] = Factory(dict)
    listen_addresses: dict[str, str] = Factory(dict)
    work_ms: float = 100.0
    starts: list[str] = Factory(list)
    tick_task: asyncio.Task | None = None
    deadly_tasks: set[str] = Factory(set)
    next_crash: Callable[[], CrashSettings] = CrashSettings
    crashes: list[WorkerCrash] = Factory(list)
    crash_tasks: set[asyncio.Task] = Factory(set)
    on_started: Callable[[], None] = lambda: None
    capacities: dict[str, list[tuple[float, Resources]]] = Factory(dict)
    clock_rng: random.Random = Factory(lambda: random.Random("clocks"))

    async def add(self, worker: FakeWorker, address: str) -> None:
        """Start a worker's server and list the worker in the store."""
        self.hosts[worker.worker_id] = worker
        await self._serve(worker, address, address)
        if self.tick_task is None:
            self.tick_task = asyncio.ensure_future(self._tick())

    async def _serve(self, worker: FakeWorker, listen: str, listed: str) -> None:
        self.workers[worker.worker_id] = worker
        self.listen_addresses[worker.worker_id] = listen
        self.addresses[worker.worker_id] = listed
        server = HttpServer(lambda request: self.handle(worker, request))
        self.servers[worker.worker_id] = server
        await server.start(listen)
        self.list(worker)

    def list(self, worker: FakeWorker) -> None:
        """Write a worker's entry into the store."""
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
            "born": worker.incarnation,
            "sequence": 1,
        }
        key = f"servers/{worker.worker_id}"
        self.table.put(key, json.dumps(entry).encode())
        self.record_capacity(worker, asyncio.get_running_loop().time())

    def resize(self, worker: FakeWorker, capacity: Resources) -> None:
        """Change a worker's capacity; one that is gone says so when it is back."""
        worker.capacity = capacity
        if worker.alive:
            self.list(worker)

    def record_capacity(self, worker: FakeWorker, now_s: float) -> None:
        """Record a worker's capacity if it has changed."""
        written = self.capacities.setdefault(worker.worker_id, [])
        if not written or written[-1][1] != worker.capacity:
            written.append((now_s, worker.capacity))

    def capacities_since(
        self, worker: FakeWorker, since_s: float
    ) -> tuple[Resources, ...]:
        """Return the capacities of a worker that were in force at a time or later."""
        written = self.capacities.get(worker.worker_id, [(0.0, worker.capacity)])
        replaced_s = [at_s for at_s, _ in written[1:]] + [float("inf")]
        return tuple(
            capacity
            for (_, capacity), until_s in zip(written, replaced_s, strict=True)
            if until_s >= since_s
        )

    def unlist(self, worker: FakeWorker) -> None:
        """Remove a worker's entry from the store."""
        self.table.delete(f"servers/{worker.worker_id}")

    # --- crashes ----------------------------------------------------------------------

    def record_crash(self, worker: FakeWorker) -> None:
        """End a worker's process and record what ran there."""
        worker.alive = False
        tasks = frozenset(task for task, _ in worker.runs)
        crash = WorkerCrash(worker.worker_id, worker.incarnation, tasks)
        self.crashes.append(crash)

    def crashes_under(self, task: str) -> int:
        """Return how many workers have crashed while they ran a task."""
        return sum(task in crash.tasks for crash in self.crashes)

    async def _crash(self, worker: FakeWorker, settings: CrashSettings) -> None:
        """Crash a worker some time after a start, and bring it back."""
        incarnation = worker.incarnation
        await asyncio.sleep(settings.delay_s)
        if not worker.alive or worker.incarnation != incarnation:
            return
        self.record_crash(worker)
        if not settings.silent:
            self._disconnect(worker)
        await asyncio.sleep(settings.listed_s)
        self.unlist(worker)
        await asyncio.sleep(settings.absent_s)
        # Data that the crashed process received must not reach the next one.
        self._disconnect(worker)
        await self._bring_back(worker, settings.renamed)

    async def _bring_back(self, worker: FakeWorker, renamed: bool) -> None:
        host = next(name for name, item in self.hosts.items() if item is worker)
        listen = self.listen_addresses[worker.worker_id]
        listed = self.addresses[worker.worker_id]
        incarnation = worker.incarnation + RESTART_STEP
        clock_ms = draw_clock_ms(self.clock_rng, worker.clock_ms)
        if renamed:
            worker = FakeWorker(
                f"{host}-{incarnation}",
                incarnation,
                zone=worker.zone,
                rack=worker.rack,
                capacity=worker.capacity,
                service=worker.service,
                clock_rate=worker.clock_rate,
                clock_ms=clock_ms,
            )
            self.hosts[host] = worker
        else:
            worker.restart(incarnation, clock_ms)
        await self._serve(worker, listen, listed)

    def _disconnect(self, worker: FakeWorker) -> None:
        """Stop listening, abort every connection and drop the calls in progress."""
        self.servers[worker.worker_id].listener.close()
        self._reset_connections(worker)

    def _reset_connections(self, worker: FakeWorker) -> None:
        """Abort every connection and drop the calls in progress."""
        for connection in list(self.servers[worker.worker_id].connections):
            if connection.task is not None:
                connection.task.cancel()
            if connection.transport is not None:
                connection.transport.abort()

    # --- calls ------------------------------------------------------------------------

    async def _tick(self) -> None:
        """Advance the workers by the time that has passed, also after a stall."""
        loop = asyncio.get_running_loop()
        advanced_s = loop.time()
        while True:
            await asyncio.sleep(WORKER_TICK_S)
            elapsed_s = loop.time() - advanced_s
            advanced_s += elapsed_s
            for worker in self.workers.values():
                worker.advance(elapsed_s * 1000)

    async def handle(self, worker: FakeWorker, request: HttpRequest) -> HttpResponse:
        """Handle one call to a worker; a crashed one doesn't answer."""
        if not worker.alive:
            await asyncio.sleep(3_600)
        called = request.headers.get("x-poplarlb-expect-instance", worker.worker_id)
        if called != worker.worker_id:
            return HttpResponse(421)
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
                repeated = (command.task, command.run) in worker.runs
                outcome = worker.start(command, self.work_ms, fails=False)
                if outcome is events.CallOutcome.DONE:
                    self.starts.append(command.task)
                    if not repeated:
                        self._handle_started(worker, command.task)
                return self._outcome(worker, outcome)
            case "/v1/run-stop":
                command = events.StopRun(
                    worker.worker_id, "", body["task"], body["run"], body["fence"]
                )
                return self._outcome(worker, worker.stop(command))
            case "/v1/hold":
                return await self._handle_hold(worker, body)
        return self._outcome(worker, events.CallOutcome.DONE)

    def _handle_started(self, worker: FakeWorker, task: str) -> None:
        self.on_started()
        if task in self.deadly_tasks:
            crash = asyncio.ensure_future(self._crash(worker, self.next_crash()))
            self.crash_tasks.add(crash)
            crash.add_done_callback(self.crash_tasks.discard)

    async def _handle_hold(self, worker: FakeWorker, body: dict) -> HttpResponse:
        command = events.PollWorker(
            worker.worker_id,
            "",
            body["fence"],
            body.get("lastSeen"),
            body.get("untilMs"),
            0,
        )
        incarnation = worker.incarnation
        lists = worker.poll(command)
        deadline_s = asyncio.get_running_loop().time() + body.get("waitMs", 0) / 1000
        while lists is not None and not lists[1]:
            if asyncio.get_running_loop().time() >= deadline_s:
                break
            await asyncio.sleep(WORKER_TICK_S)
            if not worker.alive:
                await asyncio.sleep(3_600)
            if worker.incarnation != incarnation:
                return HttpResponse(503)  # a restarted process has lost its calls
            lists = worker.poll(command)
        if lists is None:
            return self._outcome(worker, events.CallOutcome.OLD_EPOCH)
        running, ended = lists
        return json_response(
            200,
            {
                "clockMs": int(worker.clock_ms),
                "born": worker.incarnation,
                "running": [
                    [r.task, r.run, r.checkpoint, r.percent, 0] for r in running
                ],
                "ended": [
                    [e.number, e.task, e.run, e.how, e.checkpoint] for e in ended
                ],
            },
        )

    def _outcome(self, worker: FakeWorker, outcome: events.CallOutcome) -> HttpResponse:
        reasons = {
            events.CallOutcome.OLD_EPOCH: "fence",
            events.CallOutcome.OLD_RUN: "old",
            events.CallOutcome.LEASE_OVER: "late",
        }
        clock_ms = int(worker.clock_ms)
        if outcome is events.CallOutcome.DONE:
            return json_response(200, {"clockMs": clock_ms})
        return json_response(409, {"clockMs": clock_ms, "reason": reasons[outcome]})

    def close(self) -> None:
        """Stop the workers' clock and the servers; no crashed worker comes back."""
        if self.tick_task is not None:
            self.tick_task.cancel()
        for crash in self.crash_tasks:
            crash.cancel()
        for server in self.servers.values():
            server.close()


def json_response(status: int, body: dict) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, json.dumps(body).encode())
