"""The home shard's part of a task's life: acceptance, attempts, cancellation, end.

The home shard keeps the task's record. Each attempt to run the task is placed by a host
shard, the same or another one, which reserves resources at one of its workers.
"""

from attrs import Factory, define, evolve, frozen

from poplarlb.coordination.shards.shard_core import ShardCore
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

REPLICA_PREFIX = "service."  # of the ids of tasks that are replicas of services
PLACE_REQUEST_VALID_MS = 30_000
RETRY_AFTER_MS = 5_000
TOTAL_FAILURES_FACTOR = 3  # times the number of workers on which a task may fail
REFUSED_BACKOFF_MS = 2_000
# Attempts that end for other reasons count as evicted, unless the task itself failed.
NON_EVICTION_REASONS = frozenset(
    {
        Reason.LEASE_EXPIRED,
        Reason.START_LATE,
        Reason.START_REFUSED,
        Reason.HOST_DEAD,
        Reason.EXITED,
    }
)


@frozen
class RefusalKey:
    """A shard that recently refused an attempt, and the team of the attempt."""

    shard: str
    team: str


@define
class HomeTasks:
    """Manages the tasks whose home is this shard.

    ``cancelling`` holds the cancelled tasks whose attempts have not ended yet.
    ``queue_changed`` is set when a task began to wait; the queue clears it.
    """

    core: ShardCore
    refused_until_ms: dict[RefusalKey, int] = Factory(dict)
    cancelling: dict[TaskKey, None] = Factory(dict)
    queue_changed: bool = True

    def recover(self) -> None:
        """Resume the cancellations that an earlier owner began."""
        self.cancelling = {
            key: None
            for key, record in self.core.state.tasks.items()
            if record.phase is TaskPhase.CANCELLING
        }

    # --- calls ------------------------------------------------------------------------

    def submit(self, spec: TaskSpec) -> api.ApiResult:
        """Accept a task, or return the accepted one if the submission is repeated.

        The result is a ``Fault`` if the submission is refused.
        """
        if spec.service or spec.key.task_id.startswith(REPLICA_PREFIX):
            detail = f"ids that begin with {REPLICA_PREFIX} are reserved"
            return api.Fault("bad_request", Reason.ID_IN_USE, detail)
        record = self.core.state.tasks.get(spec.key)
        if record is not None:
            return self._answer_repeated(record, spec)
        if len(self.core.state.queued) >= self.core.context.settings.tasks.queue_limit:
            self.core.counters["submits_refused"] += 1
            detail = "too many tasks are queued at the home shard"
            return api.Fault("not_run", Reason.QUEUE_FULL, detail, RETRY_AFTER_MS)
        self.accept(spec)
        return self.view(self.core.state.tasks[spec.key])

    def _answer_repeated(self, record: TaskRecord, spec: TaskSpec) -> api.ApiResult:
        first = evolve(record.spec, submitted_ms=spec.submitted_ms)
        if first == spec:
            return self.view(record)
        detail = "the id belongs to a task that was submitted with different content"
        return api.Fault("conflict", Reason.ID_IN_USE, detail)

    def accept(self, spec: TaskSpec, number: int = 0) -> None:
        """Record a task as accepted.

        :param number: that of the last attempt of a replica's ended task with this key.
        """
        self.core.change(changes.TaskAccepted(spec, self.core.now_ms, number))
        self.queue_changed = True

    def cancel_by_caller(self, key: TaskKey) -> api.ApiResult:
        """Cancel a task at a caller's request."""
        record = self.core.state.tasks.get(key)
        if record is None:
            return self._not_found(key)
        if record.spec.service:
            detail = "replicas are managed by their team's template"
            return api.Fault("bad_request", Reason.ID_IN_USE, detail)
        self.cancel(record, Reason.CANCELLED_BY_CALLER)
        self.core.effects.urgent = True
        return self.view(record)

    def cancel(self, record: TaskRecord, reason: Reason) -> None:
        """End a waiting task; if it has an open attempt, have this stopped first."""
        key = record.spec.key
        if record.phase in (TaskPhase.ENDED, TaskPhase.CANCELLING):
            return
        self.core.record_decision(key, "cancel", reason)
        if not record.host_shard:
            self._end(key, TaskOutcome.CANCELLED, reason)
            return
        self.core.change(changes.TaskPhaseSet(key, TaskPhase.CANCELLING, reason))
        self.cancelling[key] = None
        self._request_stop(record)

    def show(self, key: TaskKey) -> api.ApiResult:
        """Return one task as callers see it."""
        record = self.core.state.tasks.get(key)
        return self.view(record) if record is not None else self._not_found(key)

    @staticmethod
    def _not_found(key: TaskKey) -> api.Fault:
        detail = f"no task {key.team}/{key.task_id}"
        return api.Fault("not_found", Reason.NO_OWNER, detail)

    def list(self, team: str, after: str, limit: int) -> api.TaskViews:
        """Return up to ``limit`` of a team's tasks in order of their ids.

        :param after: the ids returned are greater than this.
        """
        keys = sorted(
            key
            for key in self.core.state.tasks
            if key.team == team and key.task_id > after
        )
        views = tuple(self.view(self.core.state.tasks[key]) for key in keys[:limit])
        return api.TaskViews(views, len(keys) > limit)

    def view(self, record: TaskRecord) -> api.TaskView:
        """Return a task record as callers see it."""
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

    def record_attempt(self, key: TaskKey, attempt: Attempt) -> None:
        """Record the open attempt and the worker that it is placed on."""
        self.core.change(changes.AttemptNoted(key, attempt))

    def delegate(self, record: TaskRecord, shard: str, reserved: Resources) -> None:
        """Open the next attempt at another shard, and have it place the attempt."""
        key = record.spec.key
        opened = changes.AttemptOpened(
            key, record.number + 1, shard, reserved, record.checkpoint
        )
        self.core.change(opened)
        self.core.record_decision(
            key, "delegate", Reason.DELEGATED, detail=f"to {shard}"
        )
        self._request_placement(record)

    def _request_placement(self, record: TaskRecord) -> None:
        body = messages.PlaceAttempt(
            record.spec,
            record.number,
            record.reserved,
            record.checkpoint,
            self.core.now_ms + PLACE_REQUEST_VALID_MS,
        )
        self.core.send(record.host_shard, body)

    def _request_stop(self, record: TaskRecord) -> None:
        body = messages.StopAttempt(
            record.spec.key, record.number, False, Reason.CANCELLED_BY_CALLER
        )
        self.core.send(record.host_shard, body)

    def resend(self) -> None:
        """Repeat the placement and stop requests that host shards have not answered."""
        tasks = self.core.state.tasks
        for key in self.core.state.unconfirmed_attempts:
            if key not in self.cancelling:
                self._request_placement(tasks[key])
        for key in self.cancelling:
            if tasks[key].host_shard != self.core.shard:
                self._request_stop(tasks[key])

    def handle_message(self, message: messages.ShardMessage) -> None:
        """Handle a host shard's message about an attempt."""
        match message.body:
            case messages.AttemptPlaced(key=key, attempt=attempt):
                self._handle_placed(key, attempt)
            case messages.AttemptRunning(key=key, attempt=number):
                self._handle_running(key, number)
            case messages.AttemptRefused() as body:
                self._handle_refused(message.sender, body)
            case messages.AttemptEnded() as body:
                self._handle_ended(message.sender, body)

    def _find_open(self, key: TaskKey, number: int) -> TaskRecord | None:
        """Return the task's record, or ``None`` unless the attempt is the open one."""
        record = self.core.state.tasks.get(key)
        if record is None or not record.host_shard or record.number != number:
            return None
        return record

    def _handle_placed(self, key: TaskKey, attempt: Attempt) -> None:
        record = self._find_open(key, attempt.number)
        if record is not None and key in self.core.state.unconfirmed_attempts:
            self.record_attempt(key, attempt)

    def _handle_running(self, key: TaskKey, number: int) -> None:
        record = self._find_open(key, number)
        if record is None or not record.attempts:
            return
        last = record.attempts[-1]
        if last.number == number and not last.running:
            self.record_attempt(key, evolve(last, running=True))

    def _handle_refused(self, sender: str, body: messages.AttemptRefused) -> None:
        record = self._find_open(body.key, body.attempt)
        if record is not None and record.phase is TaskPhase.CANCELLING:
            self._end(body.key, TaskOutcome.CANCELLED, record.reason)
        elif record is not None:
            self._close(record, body.reason, "", False)
            refusal_key = RefusalKey(sender, body.key.team)
            self.refused_until_ms[refusal_key] = self.core.now_ms + REFUSED_BACKOFF_MS
            self.core.record_decision(
                body.key, "wait", body.reason, detail=f"at {sender}"
            )
        self._acknowledge_end(sender, body.key, body.attempt)

    def _handle_ended(self, sender: str, body: messages.AttemptEnded) -> None:
        record = self._find_open(body.key, body.attempt)
        if record is not None:
            self._apply_end(record, body)
        self._acknowledge_end(sender, body.key, body.attempt)

    def _acknowledge_end(self, sender: str, key: TaskKey, number: int) -> None:
        self.core.send(sender, messages.AttemptEndNoted(key, number))

    def _apply_end(self, record: TaskRecord, body: messages.AttemptEnded) -> None:
        failed = body.outcome is TaskOutcome.FAILED
        service = bool(record.spec.service)
        if record.phase is TaskPhase.CANCELLING:
            done = body.outcome is TaskOutcome.SUCCEEDED and not service
            outcome = TaskOutcome.SUCCEEDED if done else TaskOutcome.CANCELLED
            self._end(body.key, outcome, Reason.EXITED if done else record.reason)
        elif body.outcome is TaskOutcome.SUCCEEDED and not service:
            self._end(body.key, body.outcome, body.reason, body.detail)
        elif failed and not service and self._is_last_failure(record):
            reason = Reason.FAILED_EVERYWHERE
            self._end(body.key, TaskOutcome.FAILED, reason, body.detail)
        else:
            exited = body.outcome is not None
            self._close(record, body.reason, body.checkpoint, exited)

    def _is_last_failure(self, record: TaskRecord) -> bool:
        """Return whether the task ends if its open attempt has failed."""
        allowed = self.core.context.settings.tasks.failures_allowed
        workers = set(record.failed_workers)
        if record.attempts and record.attempts[-1].number == record.number:
            workers.add(record.attempts[-1].worker_id)
        failures = record.failures + 1
        return len(workers) >= allowed or failures >= allowed * TOTAL_FAILURES_FACTOR

    def _close(
        self, record: TaskRecord, reason: Reason, checkpoint: str, failed: bool
    ) -> None:
        key = record.spec.key
        was_placed = key not in self.core.state.unconfirmed_attempts
        evicted = was_placed and not failed and reason not in NON_EVICTION_REASONS
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
        self.core.record_decision(key, "end", reason, detail=detail or outcome.value)
        self.cancelling.pop(key, None)

    def end_impossible(self, key: TaskKey, detail: str) -> None:
        """End a task that fits on no worker."""
        self._end(key, TaskOutcome.IMPOSSIBLE, Reason.FITS_NOWHERE, detail)

    # --- retention --------------------------------------------------------------------

    def forget_ended(self) -> None:
        """Remove ended tasks that are past retention or exceed ``ended_limit``."""
        settings = self.core.context.settings.tasks
        state = self.core.state
        before_ms = self.core.now_ms - settings.retention_ms
        excess = len(state.ended) - settings.ended_limit
        for number, key in enumerate(list(state.ended)):
            if number >= excess and state.tasks[key].ended_ms >= before_ms:
                return
            self.core.change(changes.TaskForgotten(key))
