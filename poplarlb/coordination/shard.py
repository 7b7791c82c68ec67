"""The machine of one shard: accepts, places, renews and ends tasks."""

import functools

from attrs import Factory, define

from poplarlb.coordination.admission import Endpoint
from poplarlb.coordination.context import NodeContext
from poplarlb.coordination.effects import Effects
from poplarlb.coordination.policy import Chosen, Policy, QueuedTask, WorkerRoom
from poplarlb.coordination.replicas import replicas_wanted
from poplarlb.coordination.sharding import ShardMap, shard_zone
from poplarlb.protocol import api, ports
from poplarlb.protocol.messages import EndpointSummary, ShardSummary
from poplarlb.state import changes
from poplarlb.state.models import (
    Attempt,
    Decision,
    HostState,
    Reason,
    Resources,
    TaskKey,
    TaskOutcome,
    TaskPhase,
    Worker,
)
from poplarlb.state.shard_state import ShardState, TaskRecord


@define
class ShardMachine:
    """Decides for one shard under one epoch.

    :param acquired_ms: when this owner took the shard over.
    """

    context: NodeContext
    shards: ShardMap
    shard: str
    epoch: int
    acquired_ms: int
    state: ShardState
    policy: Policy
    proof_ms: int = 0
    operations: dict[str, list[ports.WorkerOperation]] = Factory(dict)
    calls: dict[int, str] = Factory(dict)
    next_renewal_ms: dict[str, int] = Factory(dict)

    def handle(self, event: ports.Event, now_ms: int) -> Effects:
        """Take one event; the changes returned are applied already."""
        effects = Effects()
        match event:
            case ports.Tick():
                self._tick(now_ms, effects)
            case ports.ApiRequested(call_id=call_id, body=body):
                answer = self._answer(body, now_ms, effects)
                effects.after_commit.append(ports.ApiAnswer(call_id, answer))
            case ports.WorkerReplied(call_id=call_id, result=result):
                worker_id = self.calls.pop(call_id, "")
                if worker_id and isinstance(result, ports.WorkerAnswer):
                    self._take_report(result, now_ms, effects)
        return effects

    def workers(self) -> list[Worker]:
        """Return the live workers of the shard."""
        return [
            worker
            for worker in self.context.workers_by_shard.get(self.shard, ())
            if worker.state is HostState.LIVE
        ]

    def _change(self, change: changes.Change, effects: Effects) -> None:
        self.state.apply(change)
        effects.changes.append(change)

    def _answer(
        self, body: api.ApiBody, now_ms: int, effects: Effects
    ) -> api.ApiResult:
        match body:
            case api.SubmitTask(spec=spec):
                if spec.key not in self.state.tasks:
                    self._change(changes.TaskAccepted(spec), effects)
                    effects.urgent = True
                    self._place_queued(now_ms, effects)
                return self._view(self.state.tasks[spec.key])
            case api.ShowTask(key=key):
                record = self.state.tasks.get(key)
                if record is not None:
                    return self._view(record)
                return api.Fault("not_found", Reason.NO_OWNER, f"no task {key}")
            case api.ListTasks(team=team, after=after, limit=limit):
                return self._list(team, after, limit)
            case api.Explain(subject=subject):
                found = [d for d in self.state.decisions if d.subject == subject]
                return api.Decisions(tuple(found))
        return api.Fault("bad_request", Reason.NO_OWNER, "not a call for a shard")

    def _list(self, team: str, after: str, limit: int) -> api.TaskViews:
        keys = sorted(
            key for key in self.state.tasks if key.team == team and key.task_id > after
        )
        views = tuple(self._view(self.state.tasks[key]) for key in keys[:limit])
        return api.TaskViews(views, len(keys) > limit)

    def _view(self, record: TaskRecord) -> api.TaskView:
        return api.TaskView(
            record.spec,
            record.phase,
            self.shard,
            tuple(record.attempts),
            record.outcome,
            record.reason,
            record.detail,
            record.evictions,
        )

    def endpoints(self) -> list[Endpoint]:
        """Return the running replicas of services at the shard's workers."""
        return [
            Endpoint(
                place.spec.key.team,
                place.spec.service,
                self.context.workers[place.attempt.worker_id],
            )
            for place in self.state.places.values()
            if place.spec.service
            and place.attempt.running
            and place.attempt.worker_id in self.context.workers
        ]

    def summary(self, endpoints: tuple[EndpointSummary, ...]) -> ShardSummary:
        """Return what other members should know of the shard."""
        free = [
            worker.capacity.minus(self.state.reserved_at(worker.worker_id))
            for worker in self.workers()
        ]
        largest = max(free, key=lambda item: item.cpu_millis, default=Resources())
        total = functools.reduce(Resources.plus, free, Resources())
        queued = sum(
            record.phase is TaskPhase.QUEUED for record in self.state.tasks.values()
        )
        return ShardSummary(
            self.shard,
            self.epoch,
            shard_zone(self.shard),
            largest,
            total,
            queued,
            endpoints,
        )

    def _accept_replicas(self, effects: Effects) -> None:
        for spec in replicas_wanted(self.context.view):
            at_home = self.shards.home_of_task(spec.key) == self.shard
            if at_home and spec.key not in self.state.tasks:
                self._change(changes.TaskAccepted(spec), effects)

    def _tick(self, now_ms: int, effects: Effects) -> None:
        self._accept_replicas(effects)
        self._place_queued(now_ms, effects)
        for worker in self.workers():
            due = now_ms >= self.next_renewal_ms.get(worker.worker_id, 0)
            if due:
                self._call_worker(worker, (), now_ms, effects)

    def _place_queued(self, now_ms: int, effects: Effects) -> None:
        if not self.context.view_is_fresh(now_ms):
            return
        queued = [
            QueuedTask(record.spec, record.spec.submitted_ms)
            for record in self.state.tasks.values()
            if record.phase is TaskPhase.QUEUED
        ]
        for task in self.policy.order_queue(queued, {}, self.context.view, now_ms):
            self._place(task, now_ms, effects)

    def _place(self, task: QueuedTask, now_ms: int, effects: Effects) -> None:
        spec = task.spec
        reserved = self.policy.reserve_for(spec)
        rooms = [
            WorkerRoom(
                worker,
                worker.capacity.minus(self.state.reserved_at(worker.worker_id)),
                usable=self.context.view.zone_allows_starts(worker.zone),
            )
            for worker in self.workers()
        ]
        choice = self.policy.choose_worker(
            spec, reserved, rooms, self.context.view, now_ms
        )
        if not isinstance(choice, Chosen):
            return
        tasks = self.context.settings.tasks
        start_before_ms = min(
            now_ms + tasks.start_window_ms,
            self.context.view_confirmed_ms + self.context.settings.config.staleness_ms,
        )
        attempt = Attempt(
            len(self.state.tasks[spec.key].attempts) + 1,
            self.shard,
            choice.worker_id,
            self.epoch,
            reserved,
            start_before_ms,
            now_ms,
        )
        self._change(changes.PlaceTaken(spec, self.shard, attempt), effects)
        decision = Decision(
            f"job/{spec.key.team}/{spec.key.task_id}",
            "place",
            Reason.BEST_COST,
            now_ms,
            self.epoch,
            self.context.view.version,
            choice.worker_id,
            alternatives=choice.alternatives,
        )
        self._change(changes.DecisionTaken(decision), effects)
        start = ports.StartTask(
            spec, attempt.number, self.epoch, reserved, start_before_ms
        )
        worker = self.context.workers[choice.worker_id]
        self._call_worker(worker, (start,), now_ms, effects)

    def _call_worker(
        self,
        worker: Worker,
        operations: tuple[ports.WorkerOperation, ...],
        now_ms: int,
        effects: Effects,
    ) -> None:
        tasks = self.context.settings.tasks
        self.next_renewal_ms[worker.worker_id] = now_ms + tasks.renew_period_ms
        call_id = self.context.next_call()
        self.calls[call_id] = worker.worker_id
        batch = ports.WorkerBatch(
            self.shard, self.epoch, now_ms + tasks.lease_ms, operations
        )
        call = ports.WorkerCall(call_id, worker.worker_id, worker.address, batch)
        if operations:
            effects.after_commit.append(call)
        else:
            effects.at_once.append(call)

    def _take_report(
        self, answer: ports.WorkerAnswer, now_ms: int, effects: Effects
    ) -> None:
        for report in answer.report.tasks:
            place = self.state.places.get(report.key)
            if place is None or place.attempt.number != report.attempt:
                continue
            if report.state == "running" and not place.attempt.running:
                self._change(changes.PlaceRunning(report.key, report.attempt), effects)
            if report.state in ("succeeded", "failed"):
                self._end(report.key, TaskOutcome(report.state), now_ms, effects)

    def _end(
        self, key: TaskKey, outcome: TaskOutcome, now_ms: int, effects: Effects
    ) -> None:
        self._change(changes.TaskEnded(key, outcome, Reason.EXITED, now_ms), effects)
