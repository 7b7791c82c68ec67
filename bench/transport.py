"""Costs of one call to a daemon's process: store, worker, peer, host list.

The servers run in this process too; only the CPU time of the calling thread counts,
except for peer messages, where both ends count.
``python -m bench.transport`` prints rows of ``name, unit, value``.
"""

import asyncio
import time
import tracemalloc

from bench.rows import Row, save_rows
from poplarlb.protocol import codec, messages, ports
from poplarlb.settings import PeerSettings, PlatformSettings, StoreSettings
from poplarlb.state.models import (
    Resources,
    TaskKey,
    TaskReport,
    TaskSpec,
    WorkClass,
    Worker,
    WorkerReport,
)
from poplarlb.transport.peers import PeerTransport
from poplarlb.transport.platform import PlatformAdapter
from poplarlb.transport.store import StoreAdapter
from tests.standins.http import Answer, Server, serve
from tests.standins.platform import FakePlatform, FakeWorkerServer
from tests.standins.worker import WorkerModel

CALLS = 1_000
TASKS_PER_REPORT = 12
HOSTS = 1_600


def make_report(tasks: int) -> ports.WorkerAnswer:
    """Return a worker's answer that reports the given number of tasks."""
    reports = tuple(
        TaskReport(
            TaskKey(f"team-{number % 130}", f"job-2026-12-03-{number:06d}"),
            1,
            7,
            "running",
            Resources(1_900, 3_800, 0),
            123_456,
        )
        for number in range(tasks)
    )
    report = WorkerReport("zone-1-worker-0042", 1_700_000_000_000, 1, reports)
    return ports.WorkerAnswer((), report)


def make_start() -> ports.WorkerBatch:
    """Return a batch with the start of one job."""
    spec = TaskSpec(
        TaskKey("team-42", "job-2026-12-03-000042"),
        WorkClass.URGENT,
        Resources(1_900, 3_800, 0),
        60_000,
        "settlement",
        payload=b"x" * 200,
    )
    start = ports.StartTask(spec, 1, 7, spec.size, 1_700_000_000_000)
    return ports.WorkerBatch("zone-1/3", 7, 1_700_000_000_000, (start,))


def measure_calls(name: str, server: Server, call) -> list[Row]:
    """Return the CPU time of the calling thread and the bytes of one call."""
    for _ in range(20):
        call()
    before_bytes = server.received_bytes + server.sent_bytes
    before_s = time.thread_time()
    for _ in range(CALLS):
        call()
    cpu_s = time.thread_time() - before_s
    moved_bytes = server.received_bytes + server.sent_bytes - before_bytes
    return [
        Row(f"{name}: processor time", "us a call", cpu_s / CALLS * 1e6),
        Row(f"{name}: bytes both ways", "B a call", moved_bytes / CALLS),
    ]


def measure_store() -> list[Row]:
    """Return the cost of an unchanged read and of a 1 KB write."""
    body = b'{"header":{"revision":"1000"},"succeeded":true,"kvs":[]}'
    server = serve(lambda *_: Answer(200, body))
    store = StoreAdapter(StoreSettings(server.address))
    read = ports.StoreRead("poplarlb/config/head", 1_000)
    write = ports.StoreWrite("poplarlb/shards/a/log/000000000001", b"x" * 1_000, 999)
    rows = measure_calls("store read", server, lambda: store.execute(read))
    rows += measure_calls("store write, 1 KB", server, lambda: store.execute(write))
    server.stop()
    return rows


def measure_workers() -> list[Row]:
    """Return the cost of a renewal and of a start, with a report of many tasks."""
    data = codec.encode(make_report(TASKS_PER_REPORT), ports.WorkerAnswer)
    server = serve(lambda *_: Answer(200, data, "application/cbor"))
    platform = PlatformAdapter(PlatformSettings())
    renewal = ports.WorkerBatch("zone-1/3", 7, 1_700_000_000_000)
    rows = measure_calls(
        f"renewal, {TASKS_PER_REPORT} tasks",
        server,
        lambda: platform.call_worker(server.address, renewal),
    )
    start = make_start()
    rows += measure_calls(
        f"start, {TASKS_PER_REPORT} tasks",
        server,
        lambda: platform.call_worker(server.address, start),
    )
    server.stop()
    return rows


def measure_host_list() -> list[Row]:
    """Return the cost of a host list of the target size, changed and unchanged."""
    stand_in = FakePlatform()
    size = Resources(64_000, 250_000, 0)
    for number in range(HOSTS):
        worker = Worker(
            f"zone-1-w{number}",
            "zone-1",
            f"zone-1-r{number // 10}",
            "10.0.0.1:80",
            size,
        )
        stand_in.workers[worker.worker_id] = FakeWorkerServer(WorkerModel(worker))
    server = serve(stand_in.answer)
    platform = PlatformAdapter(PlatformSettings(server.address))
    tracemalloc.start()
    listed = platform.read_hosts()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    list_bytes = server.sent_bytes
    before_s = time.thread_time()
    platform.list_tag = ""
    platform.read_hosts()
    parse_s = time.thread_time() - before_s
    before_bytes = server.received_bytes + server.sent_bytes
    before_s = time.thread_time()
    for _ in range(100):
        platform.read_hosts()
    cpu_s = time.thread_time() - before_s
    moved_bytes = server.received_bytes + server.sent_bytes - before_bytes
    server.stop()
    return [
        Row("host list: hosts", "hosts", len(listed.workers)),
        Row("host list, changed: bytes", "B", list_bytes),
        Row("host list, changed: processor time", "ms", parse_s * 1e3),
        Row("host list, held", "KB", held_bytes / 1e3),
        Row("host list, unchanged: bytes both ways", "B a call", moved_bytes / 100),
        Row("host list, unchanged: processor time", "us a call", cpu_s * 1e4),
    ]


async def measure_peers() -> list[Row]:
    """Return the cost of one peer message for sender and receiver together."""
    received = 0

    def receive(sender: str, message: messages.PeerMessage) -> None:
        nonlocal received
        received += 1

    settings = PeerSettings()
    listener = PeerTransport(settings, "b", receive)
    address = await listener.start()
    sender = PeerTransport(settings, "a", receive)
    heartbeat = messages.Heartbeat(1_700_000_000_000, 4_321, 250)
    sender.send(address, heartbeat)
    while received < 1:
        await asyncio.sleep(0.01)
    before_s = time.process_time()
    before_bytes = sender.sent_bytes
    for _ in range(CALLS):
        sender.send(address, heartbeat)
        await asyncio.sleep(0)
    while received < CALLS + 1:
        await asyncio.sleep(0.01)
    cpu_s = time.process_time() - before_s
    moved_bytes = sender.sent_bytes - before_bytes
    await sender.stop()
    await listener.stop()
    return [
        Row("peer message, both ends: processor time", "us", cpu_s / CALLS * 1e6),
        Row("heartbeat without summaries: bytes", "B", moved_bytes / CALLS),
    ]


def main() -> list[Row]:
    """Measure, print and save all figures."""
    rows = [
        *measure_store(),
        *measure_workers(),
        *measure_host_list(),
        *asyncio.run(measure_peers()),
    ]
    save_rows("transport", rows)
    return rows


if __name__ == "__main__":
    main()
