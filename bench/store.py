"""Store calls, bytes and CPU time of coordination: ``python -m bench.store``.

Drives membership, ownership, configuration and journals of several daemons in one
process with a simulated clock and a store that counts calls, without sockets.
"""

import collections
import json
import socket
import threading
import time

from attrs import Factory, define, evolve

from bench.rows import Row, save_rows
from poplarlb.coordination.configuration.config import ConfigManager
from poplarlb.coordination.journal.journal import Journal, Recovered, SnapshotRequested
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.membership import Membership
from poplarlb.coordination.membership.ownership import (
    HandoverRequested,
    Ownership,
    ShardAcquired,
    ShardLost,
)
from poplarlb.coordination.membership.sharding import Member, ShardMap, shard_zone
from poplarlb.protocol import codec, messages, ports
from poplarlb.settings import JournalSettings, Settings, ShardSettings, StoreSettings
from poplarlb.state import changes
from poplarlb.state.models import Resources, TaskKey, TaskSpec, WorkClass
from poplarlb.state.shard_state import ShardState
from poplarlb.state.snapshot import SnapshotWriter, decode_state
from poplarlb.transport.store import StoreAdapter
from tests.standins.http import serve
from tests.standins.store import FakeStoreServer, KeyTable

STEP_MS = 100
IDLE_S = 30
# Long enough for each shard to write a snapshot.
STEADY_S = 105
MAX_SETTLE_ROUNDS = 20
FRAME_BYTES = 8
ITEM_BYTES = 250
ITEMS_PER_S = 5
STATE_BYTES = 300_000
ENDPOINTS_PER_SHARD = 10
# (shards per zone, zones, daemons): from one shard to the target size
SIZES = ((1, 1, 3), (1, 4, 7), (1, 11, 15), (4, 11, 60))
READS = ("kv/range",)


class CountingStore(StoreAdapter):
    """A store adapter that calls a stand-in directly, with a simulated clock."""

    def __init__(self) -> None:
        """Create an adapter with an empty store."""
        super().__init__(StoreSettings())
        self.stand_in = FakeStoreServer()
        self.now_ms = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.body_bytes = 0

    def _post(self, path: str, body: dict) -> dict:
        data = json.dumps(body).encode()
        self.stand_in.table.expire(self.now_ms)
        answer = self.stand_in._dispatch(f"/v3/{path}", json.loads(data), self.now_ms)
        self.calls[path] += 1
        self.body_bytes += len(data) + len(answer.body)
        return json.loads(answer.body)


@define
class Daemon:
    """The coordination of one daemon, without workers and callers."""

    settings: Settings
    member: Member
    context: NodeContext = None
    membership: Membership = None
    ownership: Ownership = None
    config: ConfigManager = None
    journals: dict[str, Journal] = Factory(dict)
    inbox: list[ports.PeerReceived] = Factory(list)
    recovered_journals: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the state machines."""
        self.context = NodeContext(self.settings)
        self.membership = Membership(self.context, self.member)
        shards = ShardMap.from_settings(self.settings.shards)
        self.ownership = Ownership(self.context, self.membership, shards)
        self.config = ConfigManager(self.context, self.member.peer_address)

    def handle(self, event: ports.Event, now_ms: int) -> list:
        """Handle an event and return store calls and peer messages."""
        if isinstance(event, ports.PeerReceived):
            return self.membership.handle(event, now_ms)
        summaries = ()
        if isinstance(event, ports.Tick):
            summaries = tuple(make_summary(shard, now_ms) for shard in self.journals)
        outputs = [
            *self.membership.handle(event, now_ms, summaries),
            *self.ownership.handle(event, now_ms),
            *self.config.handle(event, now_ms),
        ]
        for journal in list(self.journals.values()):
            outputs.extend(self.feed_journal(journal, event, now_ms))
        return [
            item
            for item in outputs
            if not self.apply_ownership_change(item, outputs, now_ms)
        ]

    def feed_journal(self, journal: Journal, event: ports.Event, now_ms: int) -> list:
        """Pass an event to a journal and return its outputs."""
        outputs = journal.handle(event, now_ms)
        for output in outputs:
            match output:
                case SnapshotRequested():
                    journal.offer_snapshot(bytes(STATE_BYTES))
                case Recovered():
                    self.recovered_journals += 1
        return outputs

    def apply_ownership_change(
        self, output: object, outputs: list, now_ms: int
    ) -> bool:
        """Apply a change of ownership; return whether the output is not to be sent."""
        match output:
            case ShardAcquired(record=record):
                writer = f"{self.member.member_id}/{self.member.incarnation}"
                journal = Journal(self.context, record.shard, writer, record.epoch)
                self.journals[record.shard] = journal
            case ShardLost(shard=shard):
                self.journals.pop(shard, None)
            case HandoverRequested(shard=shard):
                outputs.extend(self.ownership.hand_over(shard, now_ms))
        return not isinstance(output, ports.StoreCall | ports.SendPeer)


def make_summary(shard: str, now_ms: int) -> messages.ShardSummary:
    """Return a summary whose free capacity changes every 5 seconds."""
    free = Resources(64_000 - now_ms // 5_000 % 7 * 4_000, 200_000, 0)
    endpoints = tuple(
        messages.EndpointSummary("dairy", f"orders-{number}", 4, 20, 0)
        for number in range(ENDPOINTS_PER_SHARD)
    )
    zone = shard_zone(shard)
    return messages.ShardSummary(shard, 1, zone, free, free, 0, endpoints)


@define
class Deployment:
    """Daemons with a common store and clock."""

    settings: Settings
    store: CountingStore = Factory(CountingStore)
    daemons: dict[str, Daemon] = Factory(dict)
    now_ms: int = 1_000_000
    messages: int = 0
    message_bytes: int = 0

    def start(self, count: int) -> None:
        """Add daemons, distributed over the zones."""
        zones = self.settings.shards.zones
        for number in range(count):
            name = f"d{number}"
            zone = zones[number % len(zones)]
            address = f"10.0.{number}.1"
            member = Member(name, zone, f"{address}:7000", f"{address}:80", self.now_ms)
            daemon_settings = evolve(self.settings, member_id=name, zone=zone)
            self.daemons[name] = Daemon(daemon_settings, member)

    def run(self, duration_ms: int, items_per_s: int = 0) -> None:
        """Advance the clock; each shard's journal stages items at the given rate."""
        for step in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            self.store.now_ms = self.now_ms
            staged = items_per_s * STEP_MS * (step + 1) // 1000
            staged -= items_per_s * STEP_MS * step // 1000
            for daemon in list(self.daemons.values()):
                inbox, daemon.inbox = daemon.inbox, []
                for journal in daemon.journals.values():
                    for _ in range(staged):
                        journal.stage(bytes(ITEM_BYTES), True)
                for event in (*inbox, ports.Tick()):
                    self.deliver(daemon, event)

    def deliver(self, daemon: Daemon, event: ports.Event) -> None:
        """Deliver an event to a daemon and carry out the commands that follow."""
        pending = daemon.handle(event, self.now_ms)
        while pending:
            command = pending.pop(0)
            if isinstance(command, ports.SendPeer):
                self.send(daemon, command)
                continue
            result = self.store.execute(command.operation)
            reply = ports.StoreReplied(command.call_id, result)
            pending.extend(daemon.handle(reply, self.now_ms))

    def send(self, daemon: Daemon, command: ports.SendPeer) -> None:
        """Count a message and put it in the recipient's inbox."""
        size = len(codec.encode(command.message, messages.PeerMessage)) + FRAME_BYTES
        self.messages += 1
        self.message_bytes += size
        if command.member_id in self.daemons:
            received = ports.PeerReceived(daemon.member.member_id, command.message)
            self.daemons[command.member_id].inbox.append(received)

    def run_until_settled(self) -> None:
        """Run until the owners of shards no longer change."""
        for _ in range(MAX_SETTLE_ROUNDS):
            before = {n: set(d.journals) for n, d in self.daemons.items()}
            self.run(10_000)
            if before == {n: set(d.journals) for n, d in self.daemons.items()}:
                return

    def reset_counts(self) -> None:
        """Reset all counts."""
        self.store.calls.clear()
        self.store.body_bytes = self.messages = self.message_bytes = 0


def measure_header_bytes() -> int:
    """Return the header bytes of one call and its response."""
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    header_sizes: list[int] = []

    def receive() -> None:
        connection, _ = listener.accept()
        with connection:
            header_sizes.append(connection.recv(65_536).index(b"\r\n\r\n") + 4)

    thread = threading.Thread(target=receive)
    thread.start()
    StoreAdapter(StoreSettings(address=f"{host}:{port}")).execute(ports.StoreRead("a"))
    thread.join()
    listener.close()
    server = serve(FakeStoreServer().answer)
    host, port = server.address.split(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(b"GET /control HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        header_sizes.append(connection.recv(65_536).index(b"\r\n\r\n") + 4)
    server.stop()
    return sum(header_sizes)


def make_rows(
    name: str, deployment: Deployment, duration_s: float, header_bytes: int
) -> list:
    """Return the rate of calls of all daemons and the rate of bytes per daemon."""
    daemons = len(deployment.daemons)
    calls = deployment.store.calls
    reads = sum(calls[path] for path in READS)
    writes = sum(calls.values()) - reads
    store_bytes = deployment.store.body_bytes + header_bytes * (reads + writes)
    # Each message counts at its sender and at its receiver.
    peer_bytes = 2 * deployment.message_bytes
    return [
        Row(f"{name} store reads", "calls/s", reads / duration_s),
        Row(f"{name} store writes and lease calls", "calls/s", writes / duration_s),
        Row(f"{name} store bytes", "B/s/daemon", store_bytes / duration_s / daemons),
        Row(f"{name} peer bytes", "B/s/daemon", peer_bytes / duration_s / daemons),
    ]


def measure_deployment(
    per_zone: int, zones: int, daemons: int, header_bytes: int
) -> list:
    """Return the rows of one deployment size: idle, steady load and a takeover."""
    names = tuple(f"zone{number}" for number in range(zones))
    settings = Settings("x", "x", shards=ShardSettings(names, per_zone))
    deployment = Deployment(settings)
    deployment.start(daemons)
    deployment.run_until_settled()
    label = f"{per_zone * zones} shards {daemons} daemons"
    rows = []
    for name, rate, duration_s in (
        ("idle", 0, IDLE_S),
        ("steady", ITEMS_PER_S, STEADY_S),
    ):
        deployment.reset_counts()
        deployment.run(duration_s * 1_000, rate)
        rows.extend(make_rows(f"{label} {name}", deployment, duration_s, header_bytes))
    return [*rows, *measure_takeover(label, deployment)]


def measure_takeover(label: str, deployment: Deployment) -> list:
    """Remove the daemon with the most shards and run until others recovered them."""
    busiest = max(deployment.daemons.values(), key=lambda daemon: len(daemon.journals))
    lost_shards = len(busiest.journals)
    del deployment.daemons[busiest.member.member_id]
    recovered_journals = sum(
        daemon.recovered_journals for daemon in deployment.daemons.values()
    )
    began_ms = deployment.now_ms
    deployment.reset_counts()
    while (
        sum(d.recovered_journals for d in deployment.daemons.values())
        < recovered_journals + lost_shards
    ):
        deployment.run(STEP_MS)
    duration_ms = deployment.now_ms - began_ms
    calls = sum(deployment.store.calls.values())
    return [
        Row(f"{label} takeover of {lost_shards}", "ms", duration_ms),
        Row(f"{label} takeover store calls", "calls/s", 1_000 * calls / duration_ms),
        Row(
            f"{label} takeover store bodies",
            "B/s",
            1_000 * deployment.store.body_bytes / duration_ms,
        ),
    ]


def measure_entries() -> list:
    """Return the CPU time of a journal entry and the rate of recovery of a ring."""
    settings = Settings("x", "x", journal=JournalSettings(snapshot_every=4_096))
    context = NodeContext(settings)
    table = KeyTable()
    rows = []
    for items in (1, 10, 100):
        journal = Journal(context, f"zone/{items}", "d/1", 1)
        run_until_idle(journal, table)
        entry_count = settings.journal.ring_slots // 2 - 2
        began = time.process_time()
        for _ in range(entry_count):
            for _ in range(items):
                journal.stage(bytes(ITEM_BYTES), True)
            run_until_idle(journal, table)
        cpu_us = (time.process_time() - began) * 1e6 / entry_count
        rows.append(Row(f"journal entry of {items} items", "us", cpu_us))
    journal = Journal(context, "zone/100", "d/2", 2)
    began = time.process_time()
    run_until_idle(journal, table)
    cpu_s = time.process_time() - began
    rows.append(Row("journal items recovered", "items/s", entry_count * 100 / cpu_s))
    return rows


def run_until_idle(journal: Journal, table: KeyTable) -> None:
    """Tick a journal and answer its store calls until it makes no more."""
    pending = journal.handle(ports.Tick(), 0)
    while pending:
        output = pending.pop(0)
        if isinstance(output, ports.StoreCall):
            result = table.execute(output.operation)
            reply = ports.StoreReplied(output.call_id, result)
            pending.extend(journal.handle(reply, 0))


def measure_state() -> list:
    """Return how fast a shard's state is encoded and decoded."""
    count = 2_000
    state = ShardState()
    for number in range(count):
        key = TaskKey("dairy", f"settlement-{number}")
        spec = TaskSpec(key, WorkClass.ORDINARY, Resources(1_000, 500))
        state.apply(changes.TaskAccepted(spec, 1_000_000))
    began = time.process_time()
    data = SnapshotWriter(state).encode()
    encode_s = time.process_time() - began
    began = time.process_time()
    decode_state(data, 2_000)
    decode_s = time.process_time() - began
    return [
        Row("state size", "B/task", len(data) / count),
        Row("state encoded whole", "tasks/s", count / encode_s),
        Row("state recovered", "tasks/s", count / decode_s),
    ]


def measure_messages() -> list:
    """Return the encoded sizes of messages between members."""
    heartbeat = messages.Heartbeat(1_790_000_000_000, 3_100, 250)
    summary = make_summary("zone10/3", 0)
    without_endpoints = evolve(summary, endpoints=())
    total_bytes = len(codec.encode(summary, messages.ShardSummary))
    bare_bytes = len(codec.encode(without_endpoints, messages.ShardSummary))
    endpoint_bytes = (total_bytes - bare_bytes) / ENDPOINTS_PER_SHARD
    heartbeat_bytes = len(codec.encode(heartbeat, messages.PeerMessage))
    return [
        Row("heartbeat without summaries", "B", heartbeat_bytes),
        Row("shard summary without endpoints", "B", bare_bytes),
        Row("endpoint in a shard summary", "B", endpoint_bytes),
    ]


def main() -> None:
    """Measure everything, print the rows and save them."""
    header_bytes = measure_header_bytes()
    rows = [Row("store call headers", "B/call", header_bytes), *measure_messages()]
    rows += [*measure_entries(), *measure_state()]
    for per_zone, zones, daemons in SIZES:
        rows += measure_deployment(per_zone, zones, daemons, header_bytes)
    save_rows("store", rows)


if __name__ == "__main__":
    main()
