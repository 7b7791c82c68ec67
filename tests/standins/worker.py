"""A model of one worker: tasks under leases and injected faults, on a manual clock.

Both the fake platform's HTTP servers and the simulated worlds of tests use it.
"""

from attrs import Factory, define, frozen

from poplarlb.protocol import ports
from poplarlb.state.models import (
    Resources,
    ServiceLatency,
    TaskKey,
    TaskReport,
    Worker,
    WorkerReport,
)


@frozen
class HistoryRow:
    """An event at a worker, as an outside observer sees it.

    ``what`` is ``start``, ``succeeded``, ``failed``, ``stopped``, ``lapsed`` (its
    lease expired), ``crashed``, ``served`` or ``answered``.
    """

    at_ms: int
    what: str
    subject: str
    attempt: int
    worker_id: str
    detail: str = ""
    reserved: Resources = Resources()


@define
class RunningTask:
    """One attempt at a worker; ``progress_ms`` is its run time at full speed."""

    start: ports.StartTask
    shard: str
    lease_until_ms: int
    progress_until_ms: int
    state: str = "running"
    throttle_percent: int = 100
    checkpoint: str = ""
    progress_ms: int = 0


@define
class WorkerFaults:
    """Injected faults of a worker."""

    dead: bool = False
    fail_starts: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


@define
class WorkerModel:
    """Runs tasks under leases and counts requests in its slots."""

    worker: Worker
    tasks: dict[TaskKey, RunningTask] = Factory(dict)
    epochs: dict[str, int] = Factory(dict)
    faults: WorkerFaults = Factory(WorkerFaults)
    history: list[HistoryRow] = Factory(list)
    busy: int = 0
    max_busy: int = 0
    latencies_ms: list[float] = Factory(list)
    run_time_factor: float = 1.0

    def execute_batch(
        self, batch: ports.WorkerBatch, now_ms: int
    ) -> ports.WorkerAnswer | None:
        """Carry out a batch; returns ``None`` for a batch with an old epoch."""
        if batch.epoch < self.epochs.get(batch.shard, 0):
            return None
        self.epochs[batch.shard] = batch.epoch
        self.advance(now_ms)
        for task in self.tasks.values():
            if task.shard == batch.shard:
                task.lease_until_ms = max(task.lease_until_ms, batch.lease_until_ms)
        results = tuple(
            self._execute(operation, batch, now_ms) for operation in batch.operations
        )
        return ports.WorkerAnswer(results, self.report(now_ms))

    def serves(self, service: str) -> bool:
        """Return whether a replica of the service runs at this worker."""
        return any(
            task.state == "running" and task.start.spec.service == service
            for task in self.tasks.values()
        )

    def crash(self, now_ms: int) -> None:
        """Lose all tasks, as a host that fails does."""
        self.advance(now_ms)
        for key, task in self.tasks.items():
            if task.state == "running":
                self._record(now_ms, "crashed", key, task.start.attempt)
        self.tasks.clear()
        self.busy = 0

    def advance(self, now_ms: int) -> None:
        """Advance running tasks to ``now_ms``; each stops at its end or its lease's."""
        for key, task in self.tasks.items():
            if task.state == "running":
                self._advance_task(key, task, now_ms)

    def _advance_task(self, key: TaskKey, task: RunningTask, now_ms: int) -> None:
        until_ms = min(now_ms, task.lease_until_ms)
        gained_ms = (
            max(0, until_ms - task.progress_until_ms) * task.throttle_percent // 100
        )
        spec = task.start.spec
        run_time_ms = int(spec.run_time_ms * self.run_time_factor)
        remaining_ms = run_time_ms - task.progress_ms
        if run_time_ms and not spec.service and gained_ms >= remaining_ms:
            end_ms = task.progress_until_ms + remaining_ms * 100 // max(
                1, task.throttle_percent
            )
            task.state = "succeeded"
            task.progress_ms = run_time_ms
            self._record(end_ms, "succeeded", key, task.start.attempt)
            return
        task.progress_ms += gained_ms
        task.progress_until_ms = max(task.progress_until_ms, until_ms)
        if now_ms >= task.lease_until_ms:
            task.state = "stopped"
            self._record(task.lease_until_ms, "lapsed", key, task.start.attempt)

    def report(self, now_ms: int) -> WorkerReport:
        """Return the worker's report of its tasks and request latencies."""
        tasks = tuple(
            TaskReport(
                key,
                task.start.attempt,
                task.start.epoch,
                task.state,
                task.start.spec.size if task.state == "running" else Resources(),
                task.progress_ms,
                task.checkpoint,
                task.throttle_percent,
            )
            for key, task in self.tasks.items()
        )
        return WorkerReport(
            self.worker.worker_id, now_ms, now_ms, tasks, self._latencies()
        )

    def _latencies(self) -> tuple[ServiceLatency, ...]:
        if not self.latencies_ms:
            return ()
        ordered = sorted(self.latencies_ms[-200:])
        services = {task.start.spec.service for task in self.tasks.values()} - {""}
        p50_ms = ordered[len(ordered) // 2]
        p99_ms = ordered[int(len(ordered) * 0.99)]
        return tuple(
            ServiceLatency(service, p50_ms, p99_ms, len(ordered))
            for service in sorted(services)
        )

    def _execute(
        self, operation: ports.WorkerOperation, batch: ports.WorkerBatch, now_ms: int
    ) -> ports.OperationResult:
        match operation:
            case ports.StartTask():
                return self._start(operation, batch, now_ms)
            case ports.StopTask(key=key, attempt=attempt, checkpoint=checkpoint):
                return self._stop(key, attempt, checkpoint, now_ms)
            case ports.ThrottleTask(key=key, attempt=attempt, percent=percent):
                task = self.tasks.get(key)
                if task is None or task.start.attempt != attempt:
                    return ports.OperationResult(False, "not here")
                task.throttle_percent = percent
                return ports.OperationResult(True)

    def _start(
        self, start: ports.StartTask, batch: ports.WorkerBatch, now_ms: int
    ) -> ports.OperationResult:
        key = start.spec.key
        task = self.tasks.get(key)
        if task is not None and task.start.attempt >= start.attempt:
            return ports.OperationResult(task.start.attempt == start.attempt)
        if task is not None and task.state == "running":
            return ports.OperationResult(False, "an earlier attempt runs here")
        if now_ms >= start.start_before_ms:
            return ports.OperationResult(False, "late")
        task = RunningTask(start, batch.shard, batch.lease_until_ms, now_ms)
        task.checkpoint = start.checkpoint
        task.progress_ms = int(start.checkpoint or 0)
        self.tasks[key] = task
        self._record(
            now_ms, "start", key, start.attempt, start.checkpoint, start.reserved
        )
        if self.faults.fail_starts:
            task.state = "failed"
            self._record(now_ms, "failed", key, start.attempt)
        return ports.OperationResult(True)

    def _stop(
        self, key: TaskKey, attempt: int, checkpoint: bool, now_ms: int
    ) -> ports.OperationResult:
        task = self.tasks.get(key)
        if task is None or task.start.attempt != attempt:
            return ports.OperationResult(False, "not here")
        if task.state == "running":
            if checkpoint:
                task.checkpoint = str(task.progress_ms)
            task.state = "stopped"
            self._record(now_ms, "stopped", key, attempt, task.checkpoint)
        return ports.OperationResult(True)

    def _record(
        self,
        at_ms: int,
        what: str,
        key: TaskKey,
        attempt: int,
        detail: str = "",
        reserved: Resources | None = None,
    ) -> None:
        self.history.append(
            HistoryRow(
                at_ms,
                what,
                f"{key.team}/{key.task_id}",
                attempt,
                self.worker.worker_id,
                detail,
                reserved or Resources(),
            )
        )
