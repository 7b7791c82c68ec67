"""A fake platform: the host list and any number of workers.

Run it with ``python -m tests.standins.platform --port 2380 --zone kochi=7``.
Each worker listens on its own port and runs tasks under leases.
"""

import argparse
import itertools
import json
import threading
import time
import zlib

from attrs import Factory, asdict, define, evolve

from poplarlb.protocol import codec, ports
from poplarlb.state.models import HostState, Resources, Worker
from tests.standins.http import Answer, Server, serve
from tests.standins.worker import HistoryRow, WorkerModel


def now_ms() -> int:
    """Return the current UTC time in milliseconds."""
    return time.time_ns() // 1_000_000


@define
class FakeWorkerServer:
    """Serves one worker's model over HTTP."""

    model: WorkerModel
    lock: threading.RLock = Factory(threading.RLock)

    def answer(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        """Handle one HTTP request."""
        faults = self.model.faults
        if faults.dead:
            return Answer(drop=True)
        if faults.delay_ms:
            time.sleep(faults.delay_ms / 1000)
        if path == "/v1/batch":
            return self._handle_batch(codec.decode(body, ports.WorkerBatch))
        if path.startswith("/service/"):
            return self._serve_request(method, path, body, headers)
        return Answer.of({"error": "unknown"}, 404)

    def _handle_batch(self, batch: ports.WorkerBatch) -> Answer:
        with self.lock:
            answer = self.model.execute_batch(batch, now_ms())
        if answer is None:
            return Answer.of({"error": "old epoch"}, 409)
        if self.model.faults.lose_answers:
            self.model.faults.lose_answers -= 1
            return Answer(drop=True)
        data = codec.encode(answer, ports.WorkerAnswer)
        return Answer(200, data, "application/cbor")

    def _serve_request(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        model = self.model
        with self.lock:
            if not model.serves(path.split("/")[3]):
                return Answer.of({"error": "service not running here"}, 503)
            if model.busy >= model.worker.slots:
                return Answer.of({"error": "no free slot"}, 429)
            model.busy += 1
            model.max_busy = max(model.max_busy, model.busy)
        started_s = time.perf_counter()
        time.sleep(float(headers.get("standin-work-ms", 2)) / 1000)
        key = headers.get("idempotency-key", "")
        with self.lock:
            model.busy -= 1
            model.latencies_ms.append((time.perf_counter() - started_s) * 1000)
            model.history.append(
                HistoryRow(now_ms(), "served", path, 0, model.worker.worker_id, key)
            )
        answer = {
            "worker": model.worker.worker_id,
            "method": method,
            "path": path,
            "bytes": len(body),
            "key": key,
        }
        return Answer.of(answer)


@define
class FakePlatform:
    """Serves the host list over HTTP, and runs the workers' servers."""

    workers: dict[str, FakeWorkerServer] = Factory(dict)
    servers: list[Server] = Factory(list)

    def add(self, zone: str, number: int, size: Resources, rack_size: int) -> None:
        """Add a worker and start its server."""
        name = f"{zone}-w{number}"
        rack = f"{zone}-r{number // rack_size}"
        worker = FakeWorkerServer(WorkerModel(Worker(name, zone, rack, "", size)))
        server = serve(worker.answer)
        model = worker.model
        model.worker = evolve(model.worker, address=server.address)
        self.servers.append(server)
        self.workers[name] = worker

    def answer(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        """Handle a request for the host list, the history or a change of faults."""
        if path == "/v1/hosts":
            return self._list_hosts(headers.get("if-none-match", ""))
        if path == "/control/history":
            return Answer.of([asdict(row) for row in self.history()])
        if path == "/control/faults":
            return self._set_faults(json.loads(body))
        return Answer.of({"error": "unknown"}, 404)

    def _list_hosts(self, known_etag: str) -> Answer:
        hosts = [_host_entry(worker.model.worker) for worker in self.workers.values()]
        answer = Answer.of({"hosts": hosts})
        etag = f'"{zlib.crc32(answer.body):08x}"'
        if etag == known_etag:
            return Answer(304, etag=etag)
        return evolve(answer, etag=etag)

    def _set_faults(self, changes: dict) -> Answer:
        model = self.workers[changes.pop("worker")].model
        if "state" in changes:
            state = HostState(changes.pop("state"))
            model.worker = evolve(model.worker, state=state)
        for name, value in changes.items():
            setattr(model.faults, name, value)
        return Answer.of({})

    def history(self) -> list[HistoryRow]:
        """Return the history of all workers, oldest row first."""
        rows: list[HistoryRow] = []
        for worker in self.workers.values():
            with worker.lock:
                worker.model.advance(now_ms())
                rows.extend(worker.model.history)
        return sorted(rows, key=lambda row: row.at_ms)

    def stop(self) -> None:
        """Stop the servers of all workers."""
        for server in self.servers:
            server.stop()


def _host_entry(worker: Worker) -> dict:
    return {
        "id": worker.worker_id,
        "zone": worker.zone,
        "rack": worker.rack,
        "address": worker.address,
        "cpu_millis": worker.capacity.cpu_millis,
        "memory_mb": worker.capacity.memory_mb,
        "accelerators": worker.capacity.accelerators,
        "slots": worker.slots,
        "connections": worker.connections,
        "state": worker.state.value,
    }


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=2380)
    parser.add_argument("--zone", action="append", metavar="NAME=COUNT", required=True)
    parser.add_argument("--cores", type=int, default=16)
    parser.add_argument("--memory-gb", type=int, default=60)
    parser.add_argument("--rack-size", type=int, default=6)
    arguments = parser.parse_args()
    platform = FakePlatform()
    size = Resources(arguments.cores * 1000, arguments.memory_gb * 1024, 0)
    pairs = [item.partition("=") for item in arguments.zone]
    for zone, number in itertools.chain.from_iterable(
        ((zone, number) for number in range(int(count))) for zone, _, count in pairs
    ):
        platform.add(zone, number, size, arguments.rack_size)
    server = serve(platform.answer, port=arguments.port)
    print(f"platform stand-in on {server.address}", flush=True)
    server.thread.join()


if __name__ == "__main__":
    main()
