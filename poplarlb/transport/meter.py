"""Counts events and commands as they pass between the loop and the node."""

from collections.abc import Callable

from attrs import Factory, define

from poplarlb.coordination.shards.node import Node
from poplarlb.metrics import Metrics
from poplarlb.protocol import api, ports
from poplarlb.state import changes
from poplarlb.state.models import TaskKey
from poplarlb.state.shard_state import PlaceKey
from poplarlb.transport.peers import PeerTransport

PENDING_LIMIT = 10_000


@define
class Meter:
    """Turns events and commands into counters, and a node's fields into gauges."""

    metrics: Metrics
    store_kinds: dict[int, str] = Factory(dict)
    calls: dict[int, api.ApiBody] = Factory(dict)
    rejected_seen: dict[str, int] = Factory(dict)
    seen_shards: set[str] = Factory(set)
    node: Node | None = None
    peers: PeerTransport | None = None
    clock: Callable[[], int] | None = None

    def watch(
        self, node: Node, peers: PeerTransport, now_ms: Callable[[], int]
    ) -> None:
        """Let the gauges read the node whenever metrics are collected."""
        self.node, self.peers, self.clock = node, peers, now_ms
        metrics, context = self.metrics, node.context
        metrics.watch(
            metrics.view_age, lambda: (now_ms() - context.view_confirmed_ms) / 1000
        )
        metrics.watch(metrics.view_version, lambda: context.view.version)
        metrics.watch(metrics.store_budget, lambda: node.budget.tokens)
        metrics.watch(metrics.delayed_calls, lambda: len(node.store_calls))
        metrics.watch(metrics.shards_owned, lambda: len(node.hosts))
        metrics.watch(
            metrics.members_live,
            lambda: sum(
                node.membership.answers(name, now_ms())
                for name in list(node.membership.peers)
            ),
        )

    def note(self, event: ports.Event, commands: list[ports.Command]) -> None:
        """Count one event and the commands that it led to."""
        match event:
            case ports.Tick():
                self._note_tick()
            case ports.StoreReplied(call_id=call_id, result=result):
                kind = self.store_kinds.pop(call_id, "other")
                self.metrics.count_store_call(kind, _store_result(result))
            case ports.WorkerReplied(result=result):
                failed = isinstance(result, ports.WorkerFailed)
                self.metrics.count_worker_call("failed" if failed else "answered")
            case ports.ApiRequested(call_id=call_id, body=body):
                if len(self.calls) < PENDING_LIMIT:
                    self.calls[call_id] = body
        for command in commands:
            self._note_command(command)
        staged = self.node.context.staged if self.node else ()
        while staged:
            self.note_change(staged.popleft())

    def note_change(self, change: changes.Change) -> None:
        """Count one staged change of a shard."""
        match change:
            case changes.DecisionTaken(decision=decision):
                self.metrics.count_decision(decision)
            case changes.PlaceRunning(key=key, number=number):
                self._note_start(PlaceKey(key, number))
            case changes.AttemptClosed(evicted=True):
                self._note_eviction(change)

    def _note_start(self, key: PlaceKey) -> None:
        for host in self.node.hosts.values():
            place = host.machine.core.state.places.get(key) if host.open else None
            if place is not None and place.spec.submitted_ms:
                wait_ms = self.clock() - place.spec.submitted_ms
                work_class = place.spec.work_class
                self.metrics.observe_start(key.key.team, work_class, wait_ms)
                return

    def _note_eviction(self, change: changes.AttemptClosed) -> None:
        """Count the run time that no checkpoint kept."""
        for host in self.node.hosts.values():
            tasks = host.machine.core.state.tasks if host.open else {}
            record = tasks.get(change.key)
            if record is None:
                continue
            attempts = [a for a in record.attempts if a.number == change.number]
            placed_ms = attempts[-1].placed_ms if attempts else change.at_ms
            loss_ms = 0 if change.checkpoint else change.at_ms - placed_ms
            work_class = record.spec.work_class
            self.metrics.observe_eviction(change.key.team, work_class, loss_ms)
            return

    def _note_command(self, command: ports.Command) -> None:
        match command:
            case ports.StoreCall(call_id=call_id, operation=operation):
                kind = type(operation).__name__.removeprefix("Store").lower()
                self.store_kinds[call_id] = kind
            case ports.ApiAnswer(call_id=call_id, result=result):
                self._note_answer(self.calls.pop(call_id, None), result)

    def _note_answer(self, body: api.ApiBody | None, result: api.ApiResult) -> None:
        refused = isinstance(result, api.Fault)
        if refused:
            team = team_of(body)
            self.metrics.count_refusal(team, result.code, result.reason)
        if isinstance(body, api.ApplyTemplates | api.SetZone):
            outcome = result.code if refused else "accepted"
            self.metrics.count_config_change(outcome)

    def _note_tick(self) -> None:
        self.metrics.set_teams({team.team for team in self.node.context.view.teams})
        for reason, count in list(self.peers.rejected.items()):
            new = count - self.rejected_seen.get(reason, 0)
            if new:
                self.metrics.count_rejected(reason, new)
                self.rejected_seen[reason] = count
        owned = set(self.node.hosts)
        for _ in owned - self.seen_shards:
            self.metrics.count_epoch_change("acquired")
        for _ in self.seen_shards - owned:
            self.metrics.count_epoch_change("lost")
        self.seen_shards = owned


def team_of(body: api.ApiBody | None) -> str:
    """Return the team that a call is for, or an empty string."""
    match body:
        case api.SubmitTask(spec=spec):
            return spec.key.team
        case api.ShowTask(key=TaskKey() as key) | api.CancelTask(key=TaskKey() as key):
            return key.team
    return getattr(body, "team", "")


def _store_result(result: ports.StoreResult) -> str:
    match result:
        case ports.StoreFailed():
            return "failed"
        case ports.StoreWritten(applied=False):
            return "mismatch"
    return "ok"
