"""Runs whole nodes on one simulated clock and a simulated network with faults."""

import bisect
import heapq
import itertools
import random
from collections.abc import Callable

from attrs import Factory, define, evolve, field, frozen

from poplarlb.coordination.membership.sharding import Member
from poplarlb.coordination.shards.node import Node
from poplarlb.protocol import api, codec, messages, ports
from poplarlb.settings import Settings
from poplarlb.state.models import HostState, Resources, Worker
from tests.harness.store import FakeStore
from tests.standins.worker import WorkerModel

START_MS = 1_700_000_000_000
STORE_TIMEOUT_MS = 2_000
WORKER_TIMEOUT_MS = 3_000
RECORDING_TIME_MS = 10_000
SAMPLE_PERIOD_MS = 100


@define
class Faults:
    """Injected faults of the network and the platform: probabilities and delays."""

    store_down: bool = False
    store_delay_factor: int = 1
    store_answer_loss: float = 0.0
    message_loss: float = 0.0
    message_duplication: float = 0.0
    worker_answer_loss: float = 0.0
    list_lag_ms: int = 1_000
    store_answers_to_lose: int = 0
    worker_call_delay_ms: int = 0


@define
class Daemon:
    """A daemon process: its node, its state and what it can't reach."""

    name: str
    zone: str
    node: Node | None = None
    alive: bool = False
    paused: bool = False
    inbox: list[ports.Event] = Factory(list)
    store_unreachable: bool = False
    unreachable_peers: set[str] = Factory(set)
    workers_unreachable: bool = False
    clock_offset_ms: int = 0
    stopped_ms: int = 0


@frozen
class AnsweredCall:
    """A call of a caller or operator, with its answer."""

    call: api.ApiBody
    result: api.ApiResult
    asked_ms: int
    at_ms: int
    daemon: str


@frozen
class ViewApplied:
    """The time from which a daemon had a configuration version in force."""

    at_ms: int
    daemon: str
    incarnation: int
    version: int


@frozen
class ReportedSuccess:
    """An attempt whose success was reported to a daemon."""

    subject: str
    attempt: int


def reported_successes(event: ports.Event) -> set[ReportedSuccess]:
    """Return the successes that an event reports to a daemon."""
    match event:
        case ports.WorkerReplied(result=ports.WorkerAnswer(report=report)):
            return {
                ReportedSuccess(f"{task.key.team}/{task.key.task_id}", task.attempt)
                for task in report.tasks
                if task.state == "succeeded"
            }
    return set()


@define
class World:
    """The clock and everything outside the nodes.

    :param settings: of every daemon, except for its ``member_id`` and ``zone``.
    :param seed: of all random delays and losses.
    """

    settings: Settings
    seed: int = 0
    tick_ms: int = 100
    now_ms: int = START_MS
    store: FakeStore = Factory(FakeStore)
    faults: Faults = Factory(Faults)
    daemons: dict[str, Daemon] = Factory(dict)
    workers: dict[str, WorkerModel] = Factory(dict)
    answers: list[AnsweredCall] = Factory(list)
    views: list[ViewApplied] = Factory(list)
    reported: dict[ReportedSuccess, int] = Factory(dict)
    unreachable_at_ms: dict[str, list[int]] = Factory(dict)
    queue: list = Factory(list)
    order: itertools.count = Factory(itertools.count)
    pending: dict[tuple[str, int], tuple[api.ApiBody, int, Callable]] = Factory(dict)
    host_lists: list[tuple[int, tuple[Worker, ...]]] = Factory(list)
    rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seed the random delays and start to sample which workers are reachable."""
        self.rng = random.Random(self.seed)
        self.after(SAMPLE_PERIOD_MS, self._sample_reachability)

    def _sample_reachability(self) -> None:
        """Record which workers some daemon may fail to reach now."""
        faults = self.faults
        partitioned = any(
            daemon.workers_unreachable for daemon in self.daemons.values()
        )
        degraded = faults.worker_answer_loss > 0 or faults.worker_call_delay_ms > 0
        for worker_id, model in self.workers.items():
            if partitioned or degraded or model.faults.dead:
                self.unreachable_at_ms.setdefault(worker_id, []).append(self.now_ms)
        self.after(SAMPLE_PERIOD_MS, self._sample_reachability)

    def was_reachable(self, worker_id: str, from_ms: int, to_ms: int) -> bool:
        """Return whether every daemon could reach a worker all the time."""
        unreachable_at_ms = self.unreachable_at_ms.get(worker_id, [])
        first = bisect.bisect_left(unreachable_at_ms, from_ms - 2 * SAMPLE_PERIOD_MS)
        return first == len(unreachable_at_ms) or unreachable_at_ms[first] > to_ms

    # --- time -----------------------------------------------------------------

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        at_ms = self.now_ms + max(0, delay_ms)
        heapq.heappush(self.queue, (at_ms, next(self.order), action))

    def run(self, duration_ms: int) -> None:
        """Advance the clock and run the actions that fall due."""
        end_ms = self.now_ms + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.queue)
            action()
        self.now_ms = end_ms

    def run_until(self, done: Callable[[], bool], limit_ms: int) -> bool:
        """Advance in steps until ``done()`` or the limit; returns ``done()``."""
        end_ms = self.now_ms + limit_ms
        while not done() and self.now_ms < end_ms:
            self.run(200)
        return done()

    # --- daemons ----------------------------------------------------------------

    def start(self, name: str, zone: str = "") -> Daemon:
        """Start or restart a daemon without any state from before."""
        daemon = self.daemons.setdefault(name, Daemon(name, zone))
        settings = evolve(self.settings, member_id=name, zone=daemon.zone)
        member = Member(name, daemon.zone, name, name, self.now_ms)
        daemon.node = Node(settings, member)
        daemon.alive = True
        daemon.paused = False
        daemon.inbox.clear()
        self.after(self.rng.randrange(self.tick_ms), lambda: self._tick(daemon))
        return daemon

    def kill(self, name: str) -> None:
        """Kill a daemon; its pending calls get an ambiguous outcome."""
        daemon = self.daemons[name]
        daemon.alive = False
        daemon.node = None
        daemon.inbox.clear()
        for key in [key for key in self.pending if key[0] == name]:
            body, asked_ms, on_answer = self.pending.pop(key)
            fault = api.Fault("outcome_unknown", "no_owner", "the daemon died")
            self._record_answer(body, fault, asked_ms, name, on_answer)

    def pause(self, name: str) -> None:
        """Pause a daemon's process; its events are queued."""
        self.daemons[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a paused daemon and deliver its queued events."""
        daemon = self.daemons[name]
        daemon.paused = False
        queued = list(daemon.inbox)
        daemon.inbox.clear()
        for event in queued:
            self.deliver(daemon, event)

    def deliver(self, daemon: Daemon, event: ports.Event) -> None:
        """Deliver an event to a daemon and execute the commands that it returns."""
        if not daemon.alive:
            return
        if daemon.paused:
            daemon.inbox.append(event)
            return
        for success in reported_successes(event) - self.reported.keys():
            self._await_record(daemon, daemon.node, success, 0)
        node = daemon.node
        version = node.context.view.version
        commands = node.handle(event, self.now_ms + daemon.clock_offset_ms)
        if node.owned.faults:
            raise AssertionError(node.owned.faults[0].detail)
        if node.context.view.version != version:
            self.views.append(
                ViewApplied(
                    self.now_ms,
                    daemon.name,
                    node.own.incarnation,
                    node.context.view.version,
                )
            )
        for command in commands:
            self._execute(daemon, command)

    def _await_record(
        self, daemon: Daemon, node: Node, success: ReportedSuccess, healthy_ms: int
    ) -> None:
        """Add a success to ``reported`` once its daemon had time to store it.

        That is ``RECORDING_TIME_MS`` in a row without a pause or a store outage.
        """
        if daemon.node is not node:
            return
        if healthy_ms >= RECORDING_TIME_MS:
            self.reported.setdefault(success, self.now_ms)
            return
        blocked = self.faults.store_down or daemon.store_unreachable or daemon.paused
        healthy_ms = 0 if blocked else healthy_ms + 1_000
        self.after(1_000, lambda: self._await_record(daemon, node, success, healthy_ms))

    def _tick(self, daemon: Daemon) -> None:
        node = daemon.node
        if not daemon.alive or node is None:
            return
        if not daemon.paused:
            self.deliver(daemon, ports.Tick())
        self.after(self.tick_ms, lambda: self._tick_if(daemon, node))

    def _tick_if(self, daemon: Daemon, node: Node) -> None:
        if daemon.node is node:
            self._tick(daemon)

    # --- commands ---------------------------------------------------------------

    def _execute(self, daemon: Daemon, command: ports.Command) -> None:
        match command:
            case ports.StoreCall():
                self._call_store(daemon, command)
            case ports.WorkerCall():
                self._call_worker(daemon, command)
            case ports.SendPeer():
                self._send(daemon, command)
            case ports.ApiAnswer(call_id=call_id, result=result):
                key = (daemon.name, call_id)
                if key in self.pending:
                    body, asked_ms, on_answer = self.pending.pop(key)
                    self._record_answer(body, result, asked_ms, daemon.name, on_answer)
            case ports.ReadHosts():
                self._read_hosts(daemon)
            case ports.Stopped():
                daemon.stopped_ms = self.now_ms
                self.kill(daemon.name)

    def _reply(self, daemon: Daemon, delay_ms: int, event: ports.Event) -> None:
        node = daemon.node
        self.after(delay_ms, lambda: self._deliver_to(daemon, node, event))

    def _deliver_to(self, daemon: Daemon, node: Node, event: ports.Event) -> None:
        if daemon.node is node:
            self.deliver(daemon, event)

    def _call_store(self, daemon: Daemon, call: ports.StoreCall) -> None:
        node = daemon.node
        failed = ports.StoreReplied(call.call_id, ports.StoreFailed("timeout"))
        if self.faults.store_down or daemon.store_unreachable:
            self._reply(daemon, self.rng.choice((5, STORE_TIMEOUT_MS)), failed)
            return
        request_delay_ms = self.rng.randint(1, 4) * self.faults.store_delay_factor
        answer_delay_ms = self.rng.randint(1, 4) * self.faults.store_delay_factor
        lost = self.rng.random() < self.faults.store_answer_loss
        if self.faults.store_answers_to_lose:
            self.faults.store_answers_to_lose -= 1
            lost = True

        def arrive() -> None:
            if self.faults.store_down:
                result = ports.StoreFailed("down")
            else:
                result = self.store.execute(call.operation, self.now_ms)
            if lost:
                result = ports.StoreFailed("lost")
            total_ms = request_delay_ms + answer_delay_ms
            if total_ms > STORE_TIMEOUT_MS:
                result = ports.StoreFailed("slow")
            wait_ms = STORE_TIMEOUT_MS - request_delay_ms if lost else answer_delay_ms
            event = ports.StoreReplied(call.call_id, result)
            self.after(wait_ms, lambda: self._deliver_to(daemon, node, event))

        self.after(request_delay_ms, arrive)

    def _call_worker(self, daemon: Daemon, call: ports.WorkerCall) -> None:
        node = daemon.node
        request_delay_ms = self.rng.randint(1, 6) + self.faults.worker_call_delay_ms
        lost = self.rng.random() < self.faults.worker_answer_loss

        def arrive() -> None:
            model = self.workers[call.worker_id]
            result = None
            if not model.faults.dead and not daemon.workers_unreachable:
                result = model.execute_batch(call.batch, self.now_ms)
            wait_ms = self.rng.randint(1, 6)
            if result is None or lost:
                result = ports.WorkerFailed("no answer")
                wait_ms = WORKER_TIMEOUT_MS
            event = ports.WorkerReplied(call.call_id, call.worker_id, result)
            self.after(wait_ms, lambda: self._deliver_to(daemon, node, event))

        self.after(request_delay_ms, arrive)

    def _send(self, daemon: Daemon, command: ports.SendPeer) -> None:
        target = self.daemons.get(command.member_id)
        cut = target is None or target.name in daemon.unreachable_peers
        if cut or self.rng.random() < self.faults.message_loss:
            return
        data = codec.encode(command.message, messages.PeerMessage)
        repeats = 1 + (self.rng.random() < self.faults.message_duplication)
        for _ in range(repeats):
            message = codec.decode(data, messages.PeerMessage)
            event = ports.PeerReceived(daemon.name, message)
            self._reply(target, self.rng.randint(1, 10), event)

    def _read_hosts(self, daemon: Daemon) -> None:
        limit_ms = self.now_ms - self.faults.list_lag_ms
        visible = [workers for at_ms, workers in self.host_lists if at_ms <= limit_ms]
        listed = (
            visible[-1] if visible else self.host_lists[0][1] if self.host_lists else ()
        )
        self._reply(daemon, 5, ports.HostsListed(listed))

    # --- the platform -----------------------------------------------------------

    def add_workers(
        self, zone: str, count: int, size: Resources, rack_size: int = 6
    ) -> None:
        """Add workers to a zone."""
        for number in range(count):
            name = f"{zone}-w{number}"
            rack = f"{zone}-r{number // rack_size}"
            self.workers[name] = WorkerModel(Worker(name, zone, rack, name, size))
        self._publish_list()

    def set_host(self, worker_id: str, state: HostState) -> None:
        """Change a host's state in the host list, seen after the list's lag."""
        model = self.workers[worker_id]
        model.worker = evolve(model.worker, state=state)
        self._publish_list()

    def fail_host(self, worker_id: str) -> None:
        """Make a host fail: its tasks are lost and it answers no calls."""
        model = self.workers[worker_id]
        model.crash(self.now_ms)
        model.faults.dead = True
        self.set_host(worker_id, HostState.DEAD)

    def revive_host(self, worker_id: str) -> None:
        """Make a host live and reachable again; tasks lost in a failure stay lost."""
        self.workers[worker_id].faults.dead = False
        self.set_host(worker_id, HostState.LIVE)

    def _publish_list(self) -> None:
        workers = tuple(model.worker for model in self.workers.values())
        self.host_lists.append((self.now_ms, workers))

    # --- callers and operators --------------------------------------------------

    def ask(
        self,
        name: str,
        body: api.ApiBody,
        on_answer: Callable[[api.ApiResult], None] = lambda result: None,
    ) -> None:
        """Send a call to a daemon; ``on_answer`` gets its result."""
        daemon = self.daemons[name]
        if not daemon.alive:
            fault = api.Fault("unreachable", "no_owner", "connection refused")
            self._record_answer(body, fault, self.now_ms, name, on_answer)
            return
        call_id = daemon.node.context.next_call()
        self.pending[name, call_id] = (body, self.now_ms, on_answer)
        self.deliver(daemon, ports.ApiRequested(call_id, body))

    def ask_and_wait(
        self, name: str, body: api.ApiBody, limit_ms: int = 20_000
    ) -> api.ApiResult | None:
        """Send a call and advance the clock until its answer or ``limit_ms``."""
        received: list[api.ApiResult] = []
        self.ask(name, body, received.append)
        self.run_until(lambda: bool(received), limit_ms)
        return received[0] if received else None

    def _record_answer(
        self,
        body: api.ApiBody,
        result: api.ApiResult,
        asked_ms: int,
        name: str,
        on_answer: Callable[[api.ApiResult], None],
    ) -> None:
        self.answers.append(AnsweredCall(body, result, asked_ms, self.now_ms, name))
        on_answer(result)

    def history(self) -> list:
        """Return the history of all workers, oldest row first."""
        for model in self.workers.values():
            model.advance(self.now_ms)
        rows = itertools.chain.from_iterable(m.history for m in self.workers.values())
        return sorted(rows, key=lambda row: row.at_ms)
