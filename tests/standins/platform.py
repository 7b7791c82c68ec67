"""A stand-in for the platform's host list and any number of workers.

Run by hand: ``python -m tests.standins.platform --port 2380 --zone kochi=7``.
Each worker listens on a port of its own and runs tasks under leases.
"""

import argparse
import itertools
import json
import threading
import time

from attrs import Factory, define, evolve

from poplarlb.protocol import codec, ports
from poplarlb.state.models import (
    HostState,
    Resources,
    ServiceLatency,
    TaskKey,
    TaskReport,
    Worker,
    WorkerReport,
)
from tests.standins.http import Answer, Server, serve


def now_ms() -> int:
    """Return the present instant in UTC milliseconds."""
    return time.time_ns() // 1_000_000


@define
class RunningTask:
    """One attempt at a worker."""

    start: ports.StartTask
    shard: str
    started_ms: int
    lease_until_ms: int
    state: str = "running"
    throttle_percent: int = 100
    checkpoint: str = ""
    done_ms: int = 0
    seen_ms: int = 0


@define
class WorkerFaults:
    """What goes wrong at a worker."""

    dead: bool = False
    fail_starts: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


@define
class WorkerStandIn:
    """Runs tasks under leases and serves requests with slots and connections."""

    worker: Worker
    tasks: dict[TaskKey, RunningTask] = Factory(dict)
    epochs: dict[str, int] = Factory(dict)
    faults: WorkerFaults = Factory(WorkerFaults)
    busy: int = 0
    most_busy: int = 0
    history: list[tuple[int, str, str, int]] = Factory(list)
    latencies: list[float] = Factory(list)
    lock: threading.RLock = Factory(threading.RLock)

    def answer(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        """Answer one HTTP call."""
        if self.faults.dead:
            return Answer(drop=True)
        if self.faults.delay_ms:
            time.sleep(self.faults.delay_ms / 1000)
        if path == "/v1/batch":
            return self._batch(codec.decode(body, ports.WorkerBatch))
        if path.startswith("/service/"):
            return self._serve(method, path, body, headers)
        return Answer.of({"error": "unknown"}, 404)

    def _batch(self, batch: ports.WorkerBatch) -> Answer:
        with self.lock:
            if batch.epoch < self.epochs.get(batch.shard, 0):
                return Answer.of({"error": "old epoch"}, 409)
            self.epochs[batch.shard] = batch.epoch
            self.advance()
            for task in self.tasks.values():
                if task.shard == batch.shard:
                    task.lease_until_ms = max(task.lease_until_ms, batch.lease_until_ms)
            results = tuple(self._operate(item, batch) for item in batch.operations)
            answer = ports.WorkerAnswer(results, self.report())
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return Answer(drop=True)
        data = codec.encode(answer, ports.WorkerAnswer)
        return Answer(200, data, "application/cbor")

    def _operate(
        self, operation: ports.WorkerOperation, batch: ports.WorkerBatch
    ) -> ports.OperationResult:
        match operation:
            case ports.StartTask():
                return self._start(operation, batch)
            case ports.StopTask(key=key, attempt=attempt, checkpoint=checkpoint):
                return self._stop(key, attempt, checkpoint)
            case ports.ThrottleTask(key=key, attempt=attempt, percent=percent):
                task = self.tasks.get(key)
                if task is None or task.start.attempt != attempt:
                    return ports.OperationResult(False, "not here")
                task.throttle_percent = percent
                return ports.OperationResult(True)
        return ports.OperationResult(False, "unknown operation")

    def _start(
        self, start: ports.StartTask, batch: ports.WorkerBatch
    ) -> ports.OperationResult:
        task = self.tasks.get(start.spec.key)
        if task is not None and task.start.attempt >= start.attempt:
            return ports.OperationResult(task.start.attempt == start.attempt)
        if now_ms() >= start.start_before_ms:
            return ports.OperationResult(False, "late")
        if self.faults.fail_starts:
            self._record("failed", start.spec.key, start.attempt)
            task = RunningTask(start, batch.shard, now_ms(), batch.lease_until_ms)
            task.state = "failed"
            self.tasks[start.spec.key] = task
            return ports.OperationResult(True)
        self._record("start", start.spec.key, start.attempt)
        task = RunningTask(start, batch.shard, now_ms(), batch.lease_until_ms)
        task.checkpoint = start.checkpoint
        task.done_ms = int(start.checkpoint or 0)
        task.seen_ms = now_ms()
        self.tasks[start.spec.key] = task
        return ports.OperationResult(True)

    def _stop(
        self, key: TaskKey, attempt: int, checkpoint: bool
    ) -> ports.OperationResult:
        task = self.tasks.get(key)
        if task is None or task.start.attempt != attempt:
            return ports.OperationResult(False, "not here")
        if task.state == "running":
            if checkpoint:
                task.checkpoint = str(task.done_ms)
            task.state = "stopped"
            self._record("stopped", key, attempt)
        return ports.OperationResult(True)

    def _record(self, what: str, key: TaskKey, attempt: int) -> None:
        self.history.append((now_ms(), what, f"{key.team}/{key.task_id}", attempt))

    def advance(self) -> None:
        """Let running tasks progress, finish, or lapse with their leases."""
        now = now_ms()
        for key, task in self.tasks.items():
            if task.state != "running":
                continue
            task.done_ms += (now - task.seen_ms) * task.throttle_percent // 100
            task.seen_ms = now
            run_time_ms = task.start.spec.run_time_ms
            if now >= task.lease_until_ms:
                task.state = "stopped"
                self._record("lapsed", key, task.start.attempt)
            elif run_time_ms and task.done_ms >= run_time_ms:
                task.state = "succeeded"
                self._record("succeeded", key, task.start.attempt)

    def report(self) -> WorkerReport:
        """Return the worker's report."""
        tasks = tuple(
            TaskReport(
                key,
                task.start.attempt,
                task.start.epoch,
                task.state,
                task.start.spec.size if task.state == "running" else Resources(),
                task.done_ms,
                task.checkpoint,
                task.throttle_percent,
            )
            for key, task in self.tasks.items()
        )
        return WorkerReport(
            self.worker.worker_id, now_ms(), now_ms(), tasks, self._latencies()
        )

    def _latencies(self) -> tuple[ServiceLatency, ...]:
        if not self.latencies:
            return ()
        ordered = sorted(self.latencies[-200:])
        services = {task.start.spec.service for task in self.tasks.values()} - {""}
        middle = ordered[len(ordered) // 2]
        late = ordered[int(len(ordered) * 0.99)]
        return tuple(
            ServiceLatency(service, middle, late, len(ordered))
            for service in sorted(services)
        )

    def _serve(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Answer:
        with self.lock:
            service = path.split("/")[3]
            serving = any(
                task.state == "running" and task.start.spec.service == service
                for task in self.tasks.values()
            )
            if not serving:
                return Answer.of({"error": "service not here"}, 503)
            if self.busy >= self.worker.slots:
                return Answer.of({"error": "all slots taken"}, 429)
            self.busy += 1
            self.most_busy = max(self.most_busy, self.busy)
        began = time.perf_counter()
        time.sleep(float(headers.get("standin-work-ms", 2)) / 1000)
        with self.lock:
            self.busy -= 1
            self.latencies.append((time.perf_counter() - began) * 1000)
            self.history.append((now_ms(), "served", path, 0))
        answer = {
            "worker": self.worker.worker_id,
            "method": method,
            "path": path,
            "bytes": len(body),
            "key": headers.get("idempotency-key", ""),
        }
        return Answer.of(answer)


@define
class PlatformStandIn:
    """The host list and its workers."""

    workers: dict[str, WorkerStandIn] = Factory(dict)
    servers: list[Server] = Factory(list)

    def add(self, zone: str, number: int, size: Resources, rack_size: int) -> None:
        """Add one worker and listen for it."""
        name = f"{zone}-w{number}"
        rack = f"{zone}-r{number // rack_size}"
        stand_in = WorkerStandIn(Worker(name, zone, rack, "", size))
        server = serve(stand_in.answer)
        stand_in.worker = evolve(stand_in.worker, address=server.address)
        self.servers.append(server)
        self.workers[name] = stand_in

    def answer(self, method: str, path: str, body: bytes, _: dict) -> Answer:
        """Answer a call for the host list, the history, or a fault."""
        if path == "/v1/hosts":
            return Answer.of({"hosts": [_host(item) for item in self.workers.values()]})
        if path == "/control/history":
            return Answer.of(self._history())
        if path == "/control/faults":
            wanted = json.loads(body)
            stand_in = self.workers[wanted.pop("worker")]
            if "state" in wanted:
                state = HostState(wanted.pop("state"))
                stand_in.worker = evolve(stand_in.worker, state=state)
            for name, value in wanted.items():
                setattr(stand_in.faults, name, value)
            return Answer.of({})
        return Answer.of({"error": "unknown"}, 404)

    def _history(self) -> list:
        rows = []
        for name, stand_in in self.workers.items():
            with stand_in.lock:
                stand_in.advance()
                rows.extend([*row, name] for row in stand_in.history)
        return sorted(rows)

    def stop(self) -> None:
        """Stop listening for every worker."""
        for server in self.servers:
            server.stop()


def _host(stand_in: WorkerStandIn) -> dict:
    worker = stand_in.worker
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
    stand_in = PlatformStandIn()
    size = Resources(arguments.cores * 1000, arguments.memory_gb * 1024, 0)
    pairs = [item.partition("=") for item in arguments.zone]
    for zone, number in itertools.chain.from_iterable(
        ((zone, number) for number in range(int(count))) for zone, _, count in pairs
    ):
        stand_in.add(zone, number, size, arguments.rack_size)
    server = serve(stand_in.answer, port=arguments.port)
    print(f"platform stand-in on {server.address}", flush=True)
    server.thread.join()


if __name__ == "__main__":
    main()
