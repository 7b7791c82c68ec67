"""The home shard's authority on tasks: accept, attempts, cancel and end."""

from attrs import Factory, define, evolve, frozen

from poplarlb.coordination.shards.core import ShardCore
from poplarlb.protocol import api, messages
from poplarlb.state import changes
from poplarlb.state.models import (
    Attempt,
    Reason,
    Resources,
    TaskKey,
    TaskOutcome,
    TaskPhase,
    TaskSpec,
)
from poplarlb.state.shard_state import TaskRecord

REPLICA_PREFIX = "service."
REQUEST_VALID_MS = 30_000
RETRY_AFTER_MS = 5_000
FAILURES_ON_FEW_WORKERS = 3
REFUSED_BACKOFF_MS = 2_000
NOT_EVICTIONS = frozenset(
    {
        Reason.LEASE_EXPIRED,
        Reason.START_LATE,
        Reason.START_REFUSED,
        Reason.HOST_DEAD,
        Reason.EXITED,
    }
)


@frozen
class ClosedDoor:
    """A shard that lately refused a team's attempt."""

    shard: str
    team: str


@define
class HomeTasks:
    """Tasks whose home is this shard."""

    core: ShardCore
    closed_until_ms: dict[ClosedDoor, int] = Factory(dict)
    cancelling: dict[TaskKey, None] = Factory(dict)
    queue_changed: bool = True

    def recover(self) -> None:
        """Resume what an earlier owner began."""
        self.cancelling = {
            key: None
            for key, record in self.core.state.tasks.items()
            if record.phase is TaskPhase.CANCELLING
        }

    # --- calls ------------------------------------------------------------------------

    def submit(self, spec: TaskSpec) -> api.ApiResult:
        """Accept a task, or return the record that its id already has."""
        if spec.service or spec.key.task_id.startswith(REPLICA_PREFIX):
            detail = f"ids that begin with {REPLICA_PREFIX} are reserved"
            return api.Fault("bad_request", Reason.ID_IN_USE, detail)
        record = self.core.state.tasks.get(spec.key)
        if record is not None:
            return self._repeat(record, spec)
        if len(self.core.state.queued) >= self.core.context.settings.tasks.queue_limit:
            self.core.counters["submits_refused"] += 1
            detail = "too many tasks wait at the home shard"
            return api.Fault("not_run", Reason.QUEUE_FULL, detail, RETRY_AFTER_MS)
        self.accept(spec)
        return self.view(self.core.state.tasks[spec.key])

    def _repeat(self, record: TaskRecord, spec: TaskSpec) -> api.ApiResult:
        first = evolve(record.spec, submitted_ms=spec.submitted_ms)
        if first == spec:
            return self.view(record)
        detail = "the id belongs to a task that was submitted with another content"
        return api.Fault("conflict", Reason.ID_IN_USE, detail)

    def accept(self, spec: TaskSpec, number: int = 0) -> None:
        """Enter a task into the record."""
        self.core.change(changes.TaskAccepted(spec, self.core.now_ms, number))
        self.queue_changed = True

    def cancel_by_caller(self, key: TaskKey) -> api.ApiResult:
        """Cancel a task for a caller."""
        record = self.core.state.tasks.get(key)
        if record is None:
            return self._not_found(key)
        if record.spec.service:
            detail = "replicas follow their team's template"
            return api.Fault("bad_request", Reason.ID_IN_USE, detail)
        self.cancel(record, Reason.CANCELLED_BY_CALLER)
        self.core.effects.urgent = True
        return self.view(record)

    def cancel(self, record: TaskRecord, reason: Reason) -> None:
        """End a waiting task, or have the open attempt stopped first."""
        key = record.spec.key
        if record.phase in (TaskPhase.ENDED, TaskPhase.CANCELLING):
            return
        self.core.decide(key, "cancel", reason)
        if not record.host_shard:
            self._end(key, TaskOutcome.CANCELLED, reason)
            return
        self.core.change(changes.TaskPhaseSet(key, TaskPhase.CANCELLING, reason))
        self.cancelling[key] = None
        self._ask_to_stop(record)

    def show(self, key: TaskKey) -> api.ApiResult:
        """Return one task as it is recorded."""
        record = self.core.state.tasks.get(key)
        return self.view(record) if record is not None else self._not_found(key)

    @staticmethod
    def _not_found(key: TaskKey) -> api.Fault:
        detail = f"no task {key.team}/{key.task_id}"
        return api.Fault("not_found", Reason.NO_OWNER, detail)

    def list(self, team: str, after: str, limit: int) -> api.TaskViews:
        """Return some of a team's tasks in key order."""
        keys = sorted(
            key
            for key in self.core.state.tasks
            if key.team == team and key.task_id > after
        )
        views = tuple(self.view(self.core.state.tasks[key]) for key in keys[:limit])
        return api.TaskViews(views, len(keys) > limit)

    def view(self, record: TaskRecord) -> api.TaskView:
        """Return a record as callers see it."""
        return api.TaskView(
            record.spec,
            record.phase,
            self.core.shard,
            record.attempts,
            record.outcome,
            record.reason,
            record.detail,
            record.evictions,
        )

    # --- attempts ---------------------------------------------------------------------

    def note_place(self, key: TaskKey, attempt: Attempt) -> None:
        """Record where the open attempt holds its place."""
        self.core.change(changes.AttemptNoted(key, attempt))

    def delegate(self, record: TaskRecord, shard: str, reserved: Resources) -> None:
        """Open the next attempt at another shard, and ask that shard for a place."""
        key = record.spec.key
        opened = changes.AttemptOpened(
            key, record.number + 1, shard, reserved, record.checkpoint
        )
        self.core.change(opened)
        self.core.decide(key, "delegate", Reason.DELEGATED, detail=f"to {shard}")
        self._ask_to_place(record)

    def _ask_to_place(self, record: TaskRecord) -> None:
        body = messages.PlaceAttempt(
            record.spec,
            record.number,
            record.reserved,
            record.checkpoint,
            self.core.now_ms + REQUEST_VALID_MS,
        )
        self.core.send(record.host_shard, body)

    def _ask_to_stop(self, record: TaskRecord) -> None:
        body = messages.StopAttempt(
            record.spec.key, record.number, False, Reason.CANCELLED_BY_CALLER
        )
        self.core.send(record.host_shard, body)

    def resend(self) -> None:
        """Ask again for what other shards have not answered."""
        tasks = self.core.state.tasks
        for key in self.core.state.open_elsewhere:
            if key not in self.cancelling:
                self._ask_to_place(tasks[key])
        for key in self.cancelling:
            if tasks[key].host_shard != self.core.shard:
                self._ask_to_stop(tasks[key])

    def take_message(self, message: messages.ShardMessage) -> None:
        """Take a host shard's word on an attempt."""
        match message.body:
            case messages.AttemptPlaced(key=key, attempt=attempt):
                self._take_placed(key, attempt)
            case messages.AttemptRunning(key=key, attempt=number):
                self._take_running(key, number)
            case messages.AttemptRefused() as body:
                self._take_refused(message.sender, body)
            case messages.AttemptEnded() as body:
                self._take_ended(message.sender, body)

    def _open_record(self, key: TaskKey, number: int) -> TaskRecord | None:
        """Return the task if the attempt is its open one."""
        record = self.core.state.tasks.get(key)
        if record is None or not record.host_shard or record.number != number:
            return None
        return record

    def _take_placed(self, key: TaskKey, attempt: Attempt) -> None:
        record = self._open_record(key, attempt.number)
        if record is not None and key in self.core.state.open_elsewhere:
            self.note_place(key, attempt)

    def _take_running(self, key: TaskKey, number: int) -> None:
        record = self._open_record(key, number)
        if record is None or not record.attempts:
            return
        last = record.attempts[-1]
        if last.number == number and not last.running:
            self.note_place(key, evolve(last, running=True))

    def _take_refused(self, sender: str, body: messages.AttemptRefused) -> None:
        record = self._open_record(body.key, body.attempt)
        if record is not None and record.phase is TaskPhase.CANCELLING:
            self._end(body.key, TaskOutcome.CANCELLED, record.reason)
        elif record is not None:
            self._close(record, body.reason, "", False)
            door = ClosedDoor(sender, body.key.team)
            self.closed_until_ms[door] = self.core.now_ms + REFUSED_BACKOFF_MS
            self.core.decide(body.key, "wait", body.reason, detail=f"at {sender}")
        self._note_end(sender, body.key, body.attempt)

    def _take_ended(self, sender: str, body: messages.AttemptEnded) -> None:
        record = self._open_record(body.key, body.attempt)
        if record is not None:
            self._settle_end(record, body)
        self._note_end(sender, body.key, body.attempt)

    def _note_end(self, sender: str, key: TaskKey, number: int) -> None:
        self.core.send(sender, messages.AttemptEndNoted(key, number))

    def _settle_end(self, record: TaskRecord, body: messages.AttemptEnded) -> None:
        failed = body.outcome is TaskOutcome.FAILED
        service = bool(record.spec.service)
        if record.phase is TaskPhase.CANCELLING:
            done = body.outcome is TaskOutcome.SUCCEEDED and not service
            outcome = TaskOutcome.SUCCEEDED if done else TaskOutcome.CANCELLED
            self._end(body.key, outcome, Reason.EXITED if done else record.reason)
        elif body.outcome is TaskOutcome.SUCCEEDED and not service:
            self._end(body.key, body.outcome, body.reason, body.detail)
        elif failed and not service and self._gives_up(record):
            reason = Reason.FAILED_EVERYWHERE
            self._end(body.key, TaskOutcome.FAILED, reason, body.detail)
        else:
            exited = body.outcome is not None
            self._close(record, body.reason, body.checkpoint, exited)

    def _gives_up(self, record: TaskRecord) -> bool:
        """Tell whether one more failure is the last that is allowed."""
        allowed = self.core.context.settings.tasks.failures_allowed
        workers = set(record.failed_workers)
        if record.attempts and record.attempts[-1].number == record.number:
            workers.add(record.attempts[-1].worker_id)
        failures = record.failures + 1
        return len(workers) >= allowed or failures >= allowed * FAILURES_ON_FEW_WORKERS

    def _close(
        self, record: TaskRecord, reason: Reason, checkpoint: str, failed: bool
    ) -> None:
        key = record.spec.key
        was_placed = key not in self.core.state.open_elsewhere
        evicted = was_placed and not failed and reason not in NOT_EVICTIONS
        self.core.change(
            changes.AttemptClosed(
                key,
                record.number,
                reason,
                checkpoint,
                failed,
                evicted,
                self.core.now_ms,
            )
        )
        self.queue_changed = True

    def _end(
        self, key: TaskKey, outcome: TaskOutcome, reason: Reason, detail: str = ""
    ) -> None:
        ended = changes.TaskEnded(key, outcome, reason, self.core.now_ms, detail)
        self.core.change(ended)
        self.core.decide(key, "end", reason, detail=detail or outcome.value)
        self.cancelling.pop(key, None)

    def end_impossible(self, key: TaskKey, detail: str) -> None:
        """End a task that no worker could ever hold."""
        self._end(key, TaskOutcome.IMPOSSIBLE, Reason.FITS_NOWHERE, detail)

    # --- retention --------------------------------------------------------------------

    def forget_ended(self) -> None:
        """Forget ended tasks whose retention has passed or that are too many."""
        settings = self.core.context.settings.tasks
        state = self.core.state
        before_ms = self.core.now_ms - settings.retention_ms
        excess = len(state.ended) - settings.ended_limit
        for number, key in enumerate(list(state.ended)):
            if number >= excess and state.tasks[key].ended_ms >= before_ms:
                return
            self.core.change(changes.TaskForgotten(key))
