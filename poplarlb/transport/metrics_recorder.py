"""Metrics of the events and commands that pass between the loop and the node."""

from collections.abc import Callable

from attrs import Factory, define

from poplarlb.coordination.shards.node import Node
from poplarlb.metrics import Metrics
from poplarlb.protocol import api, ports
from poplarlb.state import changes
from poplarlb.state.models import TaskKey
from poplarlb.state.shard_state import AttemptKey
from poplarlb.transport.peers import PeerTransport

MAX_PENDING_CALLS = 10_000


@define
class MetricsRecorder:
    """Counts events and commands, and reads gauges from a node.

    ``store_call_kinds`` and ``api_calls`` hold the calls not answered yet by call id.
    ``counted_rejections`` and ``counted_shards`` are the values at the last tick.
    """

    metrics: Metrics
    store_call_kinds: dict[int, str] = Factory(dict)
    api_calls: dict[int, api.ApiBody] = Factory(dict)
    counted_rejections: dict[str, int] = Factory(dict)
    counted_shards: set[str] = Factory(set)
    node: Node | None = None
    peers: PeerTransport | None = None
    clock: Callable[[], int] | None = None

    def watch(
        self, node: Node, peers: PeerTransport, now_ms: Callable[[], int]
    ) -> None:
        """Have the gauges read the node and the peers at each collection."""
        self.node, self.peers, self.clock = node, peers, now_ms
        metrics, context = self.metrics, node.context
        metrics.set_source(
            metrics.view_age, lambda: (now_ms() - context.view_confirmed_ms) / 1000
        )
        metrics.set_source(metrics.view_version, lambda: context.view.version)
        metrics.set_source(metrics.store_budget, lambda: node.budget.tokens)
        metrics.set_source(metrics.delayed_calls, lambda: len(node.store_calls))
        metrics.set_source(metrics.shards_owned, lambda: len(node.shard_hosts))
        metrics.set_source(
            metrics.members_live,
            lambda: sum(
                node.membership.is_responsive(name, now_ms())
                for name in list(node.membership.peers)
            ),
        )

    def record(self, event: ports.Event, commands: list[ports.Command]) -> None:
        """Count an event and the commands that result from it."""
        match event:
            case ports.Tick():
                self._record_tick()
            case ports.StoreReplied(call_id=call_id, result=result):
                kind = self.store_call_kinds.pop(call_id, "other")
                self.metrics.count_store_call(kind, _result_label(result))
            case ports.WorkerReplied(result=result):
                failed = isinstance(result, ports.WorkerFailed)
                self.metrics.count_worker_call("failed" if failed else "answered")
            case ports.ApiRequested(call_id=call_id, body=body):
                if len(self.api_calls) < MAX_PENDING_CALLS:
                    self.api_calls[call_id] = body
        for command in commands:
            self._record_command(command)
        staged = self.node.context.staged if self.node else ()
        while staged:
            self.record_change(staged.popleft())

    def record_change(self, change: changes.Change) -> None:
        """Count a change to a shard's state; some types are not counted."""
        match change:
            case changes.DecisionTaken(decision=decision):
                self.metrics.count_decision(decision)
            case changes.PlaceRunning(key=key, number=number):
                self._record_start(AttemptKey(key, number))
            case changes.AttemptClosed(evicted=True):
                self._record_eviction(change)

    def _record_start(self, key: AttemptKey) -> None:
        for host in self.node.shard_hosts.values():
            reservation = (
                host.machine.core.state.reservations.get(key) if host.open else None
            )
            if reservation is not None and reservation.spec.submitted_ms:
                wait_ms = self.clock() - reservation.spec.submitted_ms
                work_class = reservation.spec.work_class
                self.metrics.observe_start(key.key.team, work_class, wait_ms)
                return

    def _record_eviction(self, change: changes.AttemptClosed) -> None:
        """Record the run time lost by an eviction without a checkpoint."""
        for host in self.node.shard_hosts.values():
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

    def _record_command(self, command: ports.Command) -> None:
        match command:
            case ports.StoreCall(call_id=call_id, operation=operation):
                kind = type(operation).__name__.removeprefix("Store").lower()
                self.store_call_kinds[call_id] = kind
            case ports.ApiAnswer(call_id=call_id, result=result):
                self._record_answer(self.api_calls.pop(call_id, None), result)

    def _record_answer(self, body: api.ApiBody | None, result: api.ApiResult) -> None:
        refused = isinstance(result, api.Fault)
        if refused:
            team = team_of(body)
            self.metrics.count_refusal(team, result.code, result.reason)
        if isinstance(body, api.ApplyTemplates | api.SetZone):
            label = result.code if refused else "accepted"
            self.metrics.count_config_change(label)

    def _record_tick(self) -> None:
        self.metrics.set_teams({team.team for team in self.node.context.view.teams})
        for reason, count in list(self.peers.rejected.items()):
            increase = count - self.counted_rejections.get(reason, 0)
            if increase:
                self.metrics.count_rejected(reason, increase)
                self.counted_rejections[reason] = count
        owned = set(self.node.shard_hosts)
        for _ in owned - self.counted_shards:
            self.metrics.count_epoch_change("acquired")
        for _ in self.counted_shards - owned:
            self.metrics.count_epoch_change("lost")
        self.counted_shards = owned


def team_of(body: api.ApiBody | None) -> str:
    """Return the team that a call names, or an empty string."""
    match body:
        case api.SubmitTask(spec=spec):
            return spec.key.team
        case api.ShowTask(key=TaskKey() as key) | api.CancelTask(key=TaskKey() as key):
            return key.team
    return getattr(body, "team", "")


def _result_label(result: ports.StoreResult) -> str:
    match result:
        case ports.StoreFailed():
            return "failed"
        case ports.StoreWritten(applied=False):
            return "mismatch"
    return "ok"
