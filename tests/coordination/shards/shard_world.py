"""A simulation of shard hosts on one clock, with a journal and network that fail."""

import heapq
import itertools
import random
from collections.abc import Callable

from attrs import Factory, define, evolve, field, frozen

from poplarlb.coordination.journal.journal import (
    Committed,
    Deposed,
    JournalPhase,
    Recovered,
    SnapshotRequested,
)
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.sharding import ShardMap
from poplarlb.coordination.requests.admission import Admission
from poplarlb.coordination.shards.effects import SendShard
from poplarlb.coordination.shards.shard_host import ShardHost
from poplarlb.protocol import api, codec, messages, ports
from poplarlb.settings import (
    ConfigSettings,
    MemberSettings,
    PlatformSettings,
    Settings,
    ShardSettings,
    TaskSettings,
)
from poplarlb.state.models import HostState, Resources, TaskSpec, Worker, ZoneState
from poplarlb.state.templates import ConfigView, TeamTemplate, ZoneEntry
from tests.standins.worker import HistoryRow, WorkerModel

START_MS = 1_700_000_000_000
TICK_MS = 50
OWNERSHIP_READ_PERIOD_MS = 500
SNAPSHOT_EVERY = 5
QUOTA = Resources(100_000, 100_000, 10)

SETTINGS = Settings(
    "unnamed",
    "a",
    platform=PlatformSettings(worker_timeout_ms=400),
    members=MemberSettings(orphan_horizon_ms=10_000),
    shards=ShardSettings(("a", "b"), 1),
    tasks=TaskSettings(
        lease_ms=2_000, renew_period_ms=500, clock_margin_ms=100, start_window_ms=1_500
    ),
    config=ConfigSettings(staleness_ms=1_500),
)


@define
class Log:
    """The content of the store for one shard's journal."""

    epoch: int = 0
    entries: list[bytes] = Factory(list)
    snapshot: bytes = b""
    covered: int = 0


@define
class Batch:
    """An append in flight; the store knows its outcome before the owner does."""

    entries: tuple[bytes, ...]
    ticket: int
    applied: bool | None = None
    answered: bool = False


@define
class FakeJournal:
    """A fake journal over a ``Log``, whose appends are delayed or fail."""

    world: "ShardWorld"
    daemon: "FakeDaemon"
    log: Log
    epoch: int
    phase: JournalPhase = JournalPhase.RECOVERING
    last_ticket: int = 0
    committed: int = 0
    base: int = 0
    staged: list[bytes] = Factory(list)
    batch: Batch | None = None
    offered: tuple[int, bytes] | None = None
    appends: int = 0

    def stage(self, item: bytes, urgent: bool = False) -> int:
        """Queue an item."""
        self.staged.append(item)
        self.last_ticket += 1
        return self.last_ticket

    def advance(self, now_ms: int) -> list:
        """Return nothing; this journal writes on ticks only."""
        return []

    def offer_snapshot(self, data: bytes) -> None:
        """Keep a snapshot until all changes that it includes are committed."""
        self.offered = (self.last_ticket, data)

    def handle(self, event: ports.Event, now_ms: int) -> list:
        """Recover, append the staged entries, and report the append's outcome."""
        if self.phase is JournalPhase.DEPOSED:
            return []
        if self.phase is JournalPhase.RECOVERING:
            return self._recover()
        outputs = self._settle() if self.batch else []
        if self.phase is JournalPhase.OPEN and not self.batch and self.staged:
            self._append()
        return outputs

    def _recover(self) -> list:
        if self.daemon.store_unreachable:
            return []
        if self.log.epoch != self.epoch:
            self.phase = JournalPhase.DEPOSED
            return [Deposed(0, 0)]
        self.phase = JournalPhase.OPEN
        self.base = len(self.log.entries)
        since = tuple(self.log.entries[self.log.covered :])
        return [Recovered(self.log.snapshot, since)]

    def _append(self) -> None:
        self.batch = Batch(tuple(self.staged), self.last_ticket)
        self.staged.clear()
        self.appends += 1
        self._send(self.batch)

    def _send(self, batch: Batch) -> None:
        """Apply an append after a delay; retry it while the store is unreachable."""
        request_delay_ms = self.world.rng.randint(1, 30)
        answer_delay_ms = self.world.rng.choice((1, 5, 20, 400))

        def land() -> None:
            if self.daemon.store_unreachable:
                self.world.after(200, land)
                return
            batch.applied = self.log.epoch == self.epoch
            if batch.applied:
                self.log.entries.extend(batch.entries)
            self.world.after(answer_delay_ms, answer)

        def answer() -> None:
            batch.answered = True

        self.world.after(request_delay_ms, land)

    def _settle(self) -> list:
        batch = self.batch
        if not batch.answered:
            return []
        if not batch.applied:
            self.phase = JournalPhase.DEPOSED
            return [Deposed(self.committed, self.committed)]
        self.batch = None
        self.committed = batch.ticket
        self._keep_snapshot()
        outputs = [Committed(batch.ticket)]
        if self.appends % SNAPSHOT_EVERY == 0:
            outputs.append(SnapshotRequested())
        return outputs

    def _keep_snapshot(self) -> None:
        if self.offered is None or self.offered[0] > self.committed:
            return
        if self.log.epoch == self.epoch and not self.daemon.store_unreachable:
            ticket, self.log.snapshot = self.offered
            self.log.covered = self.base + ticket
        self.offered = None


@define
class FakeDaemon:
    """A daemon that owns shards; it may be paused, disconnected or dead.

    ``store_unreachable`` disconnects it from the store, ``unreachable_workers`` names
    the workers that it can't reach. ``inbox`` holds the events that arrive while it is
    paused.
    """

    name: str
    context: NodeContext
    shard_hosts: dict[str, ShardHost] = Factory(dict)
    alive: bool = True
    paused: bool = False
    store_unreachable: bool = False
    unreachable_workers: set[str] = Factory(set)
    inbox: list[tuple[str, ports.Event]] = Factory(list)


@frozen
class AnsweredCall:
    """A call and its result."""

    call: api.ApiBody
    result: api.ApiResult
    asked_ms: int
    at_ms: int


@define
class ShardWorld:
    """A simulation of the daemons, journals, workers and messages of a few shards.

    ``loss_rate`` and ``repeat_rate`` are the probabilities that a message is lost or
    delivered twice.
    """

    seed: int = 0
    settings: Settings = SETTINGS
    workers_per_zone: int = 2
    capacity: Resources = Resources(2_000, 2_000, 1)
    now_ms: int = START_MS
    view: ConfigView = ConfigView(1, (TeamTemplate("dairy", ("a", "b"), QUOTA),))
    queue: list = Factory(list)
    order: itertools.count = Factory(itertools.count)
    logs: dict[str, Log] = Factory(dict)
    daemons: dict[str, FakeDaemon] = Factory(dict)
    owners: dict[str, str] = Factory(dict)
    workers: dict[str, WorkerModel] = Factory(dict)
    offsets_ms: dict[str, int] = Factory(dict)
    pending: dict[int, tuple[api.ApiBody, int, str]] = Factory(dict)
    answers: list[AnsweredCall] = Factory(list)
    reported: dict = Factory(dict)
    worker_delay_ms: int = 10
    loss_rate: float = 0.0
    repeat_rate: float = 0.0
    shards: ShardMap = field(init=False)
    rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the workers, and one daemon that owns each shard."""
        self.rng = random.Random(self.seed)
        self.shards = ShardMap.from_settings(self.settings.shards)
        for zone in self.settings.shards.zones:
            for number in range(self.workers_per_zone):
                name = f"{zone}-w{number}"
                worker = Worker(name, zone, f"{zone}-r0", name, self.capacity)
                self.workers[name] = WorkerModel(worker)
                self.offsets_ms[name] = self.rng.choice((-60, 0, 60))
        for number, shard in enumerate(self.shards.shards):
            self.logs[shard] = Log()
            self.start_daemon(f"d{number}")
            self.take_over(shard, f"d{number}")

    # --- time ---------------------------------------------------------------------

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        entry = (self.now_ms + delay_ms, next(self.order), action)
        heapq.heappush(self.queue, entry)

    def run(self, duration_ms: int) -> None:
        """Advance the clock and run all actions that become due."""
        end_ms = self.now_ms + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.queue)
            action()
        self.now_ms = end_ms

    # --- daemons --------------------------------------------------------------------

    def start_daemon(self, name: str) -> None:
        """Start a daemon that owns no shard yet."""
        context = NodeContext(self.settings, call_ids=self.order)
        daemon = FakeDaemon(name, context)
        self.daemons[name] = daemon
        self._read_store(daemon)
        self._tick(daemon)

    def take_over(self, shard: str, name: str) -> None:
        """Make a daemon a shard's owner; the earlier one learns it from the store."""
        log = self.logs[shard]
        log.epoch += 1
        self.owners[shard] = name
        daemon = self.daemons[name]
        daemon.shard_hosts[shard] = ShardHost(
            daemon.context,
            self.shards,
            shard,
            log.epoch,
            FakeJournal(self, daemon, log, log.epoch),
            Admission(daemon.context, shard, log.epoch),
            self.summaries,
            self.now_ms,
        )

    def summaries(self) -> list[messages.ShardSummary]:
        """Return the current owners' summaries of their shards."""
        shard_hosts = (
            self.daemons[self.owners[s]].shard_hosts.get(s) for s in self.shards.shards
        )
        found = (host.summary() for host in shard_hosts if host is not None)
        return [summary for summary in found if summary is not None]

    def kill(self, name: str) -> None:
        """Kill a daemon; its pending calls end with an unknown outcome."""
        daemon = self.daemons[name]
        daemon.alive = False
        daemon.shard_hosts.clear()
        for call_id in [c for c, item in self.pending.items() if item[2] == name]:
            body, asked_ms, _ = self.pending.pop(call_id)
            fault = api.Fault("outcome_unknown", "no_owner")
            self.answers.append(AnsweredCall(body, fault, asked_ms, self.now_ms))

    def resume_daemon(self, name: str) -> None:
        """Resume a paused daemon and deliver the events that arrived meanwhile."""
        daemon = self.daemons[name]
        daemon.paused = False
        waiting, daemon.inbox = daemon.inbox, []
        for shard, event in waiting:
            self._deliver(daemon, shard, event)

    def _read_store(self, daemon: FakeDaemon) -> None:
        """Read the view and the ownership, which count as of the read's sending."""
        sent_ms = self.now_ms
        if not daemon.alive:
            return
        if not daemon.paused and not daemon.store_unreachable:
            view = self.view
            held = {shard: log.epoch for shard, log in self.logs.items()}
            delay_ms = self.rng.randint(1, 20)
            self.after(delay_ms, lambda: self._confirm(daemon, view, held, sent_ms))
        self.after(OWNERSHIP_READ_PERIOD_MS, lambda: self._read_store(daemon))

    def _confirm(
        self, daemon: FakeDaemon, view: ConfigView, held: dict[str, int], sent_ms: int
    ) -> None:
        if daemon.paused:
            return
        if view.version >= daemon.context.view.version:
            daemon.context.view = view
            daemon.context.view_confirmed_ms = sent_ms
        daemon.context.workers = {
            name: model.worker for name, model in self.workers.items()
        }
        for shard, host in list(daemon.shard_hosts.items()):
            if held[shard] == host.epoch:
                host.ownership_confirmed_ms = sent_ms
            elif held[shard] > host.epoch:
                del daemon.shard_hosts[shard]

    def _tick(self, daemon: FakeDaemon) -> None:
        if not daemon.alive:
            return
        if not daemon.paused:
            for shard in list(daemon.shard_hosts):
                self._deliver(daemon, shard, ports.Tick())
        self.after(TICK_MS, lambda: self._tick(daemon))

    def _deliver(self, daemon: FakeDaemon, shard: str, event: ports.Event) -> None:
        if daemon.paused:
            daemon.inbox.append((shard, event))
            return
        host = daemon.shard_hosts.get(shard)
        if host is None:
            return
        for command in host.handle(event, self.now_ms):
            self._carry_out(daemon, shard, command)

    def _carry_out(self, daemon: FakeDaemon, shard: str, command: object) -> None:
        match command:
            case ports.WorkerCall():
                self._call_worker(daemon, shard, command)
            case SendShard(message=message):
                self._send(message)
            case ports.ApiAnswer(call_id=call_id, result=result):
                item = self.pending.pop(call_id, None)
                if item is not None:
                    answer = AnsweredCall(item[0], result, item[1], self.now_ms)
                    self.answers.append(answer)

    def _send(self, message: messages.ShardMessage) -> None:
        if self.rng.random() < self.loss_rate:
            return
        data = codec.encode(message, messages.PeerMessage)
        for _ in range(1 + (self.rng.random() < self.repeat_rate)):
            decoded = codec.decode(data, messages.PeerMessage)
            event = ports.PeerReceived("peer", decoded)
            delay_ms = self.rng.choice((1, 5, 30, 30, 2_000))
            self.after(delay_ms, lambda event=event: self._arrive(event))

    def _arrive(self, event: ports.PeerReceived) -> None:
        shard = event.message.recipient
        daemon = self.daemons[self.owners[shard]]
        if daemon.alive:
            self._deliver(daemon, shard, event)

    def _call_worker(
        self, daemon: FakeDaemon, shard: str, call: ports.WorkerCall
    ) -> None:
        request_delay_ms = self.rng.randint(1, self.worker_delay_ms)
        lost = self.rng.random() < self.loss_rate

        def arrive() -> None:
            name = call.worker_id
            model = self.workers[name]
            result = None
            if not model.faults.dead and name not in daemon.unreachable_workers:
                result = model.execute_batch(
                    call.batch, self.now_ms + self.offsets_ms[name]
                )
            if result is None or lost:
                result = ports.WorkerFailed("no answer")
            event = ports.WorkerReplied(call.call_id, name, result)
            delay_ms = self.rng.randint(1, 10)
            self.after(delay_ms, lambda: self._deliver(daemon, shard, event))

        self.after(request_delay_ms, arrive)

    def was_reachable(self, worker_id: str, from_ms: int, to_ms: int) -> bool:
        """Return ``False``, as this simulation doesn't record reachability."""
        return False

    # --- callers and operators --------------------------------------------------------

    def ask(self, body: api.ApiBody, shard: str) -> None:
        """Send a call to the owner of a shard."""
        name = self.owners[shard]
        daemon = self.daemons[name]
        if not daemon.alive:
            return
        call_id = next(self.order)
        self.pending[call_id] = (body, self.now_ms, name)
        self._deliver(daemon, shard, ports.ApiRequested(call_id, body))

    def submit(self, spec: TaskSpec) -> None:
        """Submit a task at its home shard."""
        self.ask(api.SubmitTask(spec), self.shards.home_of_task(spec.key))

    def set_zone(self, zone: str, state: ZoneState) -> None:
        """Set a zone's state, committed at an instant at which nothing else happens."""
        self.run(1)
        others = tuple(entry for entry in self.view.zones if entry.zone != zone)
        self.view = evolve(
            self.view,
            version=self.view.version + 1,
            zones=(*others, ZoneEntry(zone, state)),
        )
        call = api.SetZone(f"c{self.view.version}", "asha", zone, state)
        result = api.ConfigChanged(self.view.version)
        self.answers.append(AnsweredCall(call, result, self.now_ms, self.now_ms))

    def set_host(self, name: str, state: HostState) -> None:
        """Set a worker's state in the host list."""
        model = self.workers[name]
        model.worker = evolve(model.worker, state=state)

    def history(self) -> list[HistoryRow]:
        """Return the workers' history, in the simulation's time and not their own."""
        rows = []
        for name, model in self.workers.items():
            model.advance(self.now_ms + self.offsets_ms[name])
            offset_ms = self.offsets_ms[name]
            rows.extend(evolve(r, at_ms=r.at_ms - offset_ms) for r in model.history)
        return sorted(rows, key=lambda row: row.at_ms)
