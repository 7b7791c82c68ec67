"""Whole nodes on one hand-held clock, joined by a network that misbehaves."""

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
RECORD_MS = 10_000
SAMPLE_MS = 100


@define
class Faults:
    """What goes wrong in the network and at the platform, as chances and delays."""

    store_down: bool = False
    store_factor: int = 1
    lose_store_answer: float = 0.0
    lose_message: float = 0.0
    repeat_message: float = 0.0
    lose_worker_answer: float = 0.0
    list_lag_ms: int = 1_000
    lost_answers_left: int = 0
    slow_worker_call_ms: int = 0


@define
class Daemon:
    """A daemon process: its node, and whether it runs, is paused or cut off."""

    name: str
    zone: str
    node: Node | None = None
    alive: bool = False
    paused: bool = False
    inbox: list[ports.Event] = Factory(list)
    no_store: bool = False
    cut_peers: set[str] = Factory(set)
    cut_workers: bool = False
    clock_offset_ms: int = 0
    stopped_ms: int = 0


@frozen
class Answered:
    """A caller's or operator's call and the answer that it got."""

    call: api.ApiBody
    result: api.ApiResult
    asked_ms: int
    at_ms: int
    daemon: str


@frozen
class ViewSeen:
    """A daemon had a configuration version in force from an instant on."""

    at_ms: int
    daemon: str
    incarnation: int
    version: int


@frozen
class ReportedSuccess:
    """An attempt whose success a daemon was told and had time to record."""

    subject: str
    attempt: int


def read_successes(event: ports.Event) -> set[ReportedSuccess]:
    """Return the successes that an event tells a daemon."""
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
    """Everything outside the nodes, and the clock.

    :param settings: for every daemon; ``member_id`` and ``zone`` are replaced.
    :param seed: of all delays and losses.
    """

    settings: Settings
    seed: int = 0
    tick_ms: int = 100
    now_ms: int = START_MS
    store: FakeStore = Factory(FakeStore)
    faults: Faults = Factory(Faults)
    daemons: dict[str, Daemon] = Factory(dict)
    workers: dict[str, WorkerModel] = Factory(dict)
    answers: list[Answered] = Factory(list)
    views: list[ViewSeen] = Factory(list)
    reported: dict[ReportedSuccess, int] = Factory(dict)
    troubles: dict[str, list[int]] = Factory(dict)
    queue: list = Factory(list)
    order: itertools.count = Factory(itertools.count)
    pending: dict[tuple[str, int], tuple[api.ApiBody, int, Callable]] = Factory(dict)
    lists: list[tuple[int, tuple[Worker, ...]]] = Factory(list)
    chance: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seed the delays."""
        self.chance = random.Random(self.seed)
        self.after(SAMPLE_MS, self._sample_reach)

    def _sample_reach(self) -> None:
        """Note which workers some daemon may fail to reach now."""
        faults = self.faults
        cut = any(daemon.cut_workers for daemon in self.daemons.values())
        poor = faults.lose_worker_answer > 0 or faults.slow_worker_call_ms > 0
        for worker_id, model in self.workers.items():
            if cut or poor or model.faults.dead:
                self.troubles.setdefault(worker_id, []).append(self.now_ms)
        self.after(SAMPLE_MS, self._sample_reach)

    def was_reachable(self, worker_id: str, from_ms: int, to_ms: int) -> bool:
        """Tell whether every daemon could reach a worker all the time."""
        troubles = self.troubles.get(worker_id, [])
        first = bisect.bisect_left(troubles, from_ms - 2 * SAMPLE_MS)
        return first == len(troubles) or troubles[first] > to_ms

    # --- time -----------------------------------------------------------------

    def after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Run an action later."""
        at_ms = self.now_ms + max(0, delay_ms)
        heapq.heappush(self.queue, (at_ms, next(self.order), action))

    def run(self, duration_ms: int) -> None:
        """Advance the clock, running all that falls due."""
        end_ms = self.now_ms + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.queue)
            action()
        self.now_ms = end_ms

    def run_until(self, done: Callable[[], bool], limit_ms: int) -> bool:
        """Advance in steps until ``done`` or the limit; tells whether done."""
        end_ms = self.now_ms + limit_ms
        while not done() and self.now_ms < end_ms:
            self.run(200)
        return done()

    # --- daemons ----------------------------------------------------------------

    def start(self, name: str, zone: str = "") -> Daemon:
        """Start or restart a daemon with nothing remembered."""
        daemon = self.daemons.setdefault(name, Daemon(name, zone))
        settings = evolve(self.settings, member_id=name, zone=daemon.zone)
        member = Member(name, daemon.zone, name, name, self.now_ms)
        daemon.node = Node(settings, member)
        daemon.alive = True
        daemon.paused = False
        daemon.inbox.clear()
        self.after(self.chance.randrange(self.tick_ms), lambda: self._tick(daemon))
        return daemon

    def kill(self, name: str) -> None:
        """End a daemon at once; its callers hear nothing."""
        daemon = self.daemons[name]
        daemon.alive = False
        daemon.node = None
        daemon.inbox.clear()
        for key in [key for key in self.pending if key[0] == name]:
            body, asked_ms, then = self.pending.pop(key)
            fault = api.Fault("outcome_unknown", "no_owner", "the daemon died")
            self._note(body, fault, asked_ms, name, then)

    def pause(self, name: str) -> None:
        """Freeze a daemon's process; events wait for it."""
        self.daemons[name].paused = True

    def resume(self, name: str) -> None:
        """Let a frozen daemon go on."""
        daemon = self.daemons[name]
        daemon.paused = False
        waiting = list(daemon.inbox)
        daemon.inbox.clear()
        for event in waiting:
            self.deliver(daemon, event)

    def deliver(self, daemon: Daemon, event: ports.Event) -> None:
        """Hand an event to a daemon and carry out its commands."""
        if not daemon.alive:
            return
        if daemon.paused:
            daemon.inbox.append(event)
            return
        for success in read_successes(event) - self.reported.keys():
            self._await_record(daemon, daemon.node, success, 0)
        node = daemon.node
        version = node.context.view.version
        commands = node.handle(event, self.now_ms + daemon.clock_offset_ms)
        if node.owned.faults:
            raise AssertionError(node.owned.faults[0].detail)
        if node.context.view.version != version:
            self.views.append(
                ViewSeen(
                    self.now_ms,
                    daemon.name,
                    node.own.incarnation,
                    node.context.view.version,
                )
            )
        for command in commands:
            self._carry_out(daemon, command)

    def _await_record(
        self, daemon: Daemon, node: Node, success: ReportedSuccess, good_ms: int
    ) -> None:
        """Count a success once its daemon had time to record it in the store."""
        if daemon.node is not node:
            return
        if good_ms >= RECORD_MS:
            self.reported.setdefault(success, self.now_ms)
            return
        down = self.faults.store_down or daemon.no_store or daemon.paused
        good_ms = 0 if down else good_ms + 1_000
        self.after(1_000, lambda: self._await_record(daemon, node, success, good_ms))

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

    def _carry_out(self, daemon: Daemon, command: ports.Command) -> None:
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
                    body, asked_ms, then = self.pending.pop(key)
                    self._note(body, result, asked_ms, daemon.name, then)
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
        if self.faults.store_down or daemon.no_store:
            self._reply(daemon, self.chance.choice((5, STORE_TIMEOUT_MS)), failed)
            return
        there_ms = self.chance.randint(1, 4) * self.faults.store_factor
        back_ms = self.chance.randint(1, 4) * self.faults.store_factor
        lost = self.chance.random() < self.faults.lose_store_answer
        if self.faults.lost_answers_left:
            self.faults.lost_answers_left -= 1
            lost = True

        def arrive() -> None:
            if self.faults.store_down:
                result = ports.StoreFailed("down")
            else:
                result = self.store.execute(call.operation, self.now_ms)
            if lost:
                result = ports.StoreFailed("lost")
            total_ms = there_ms + back_ms
            if total_ms > STORE_TIMEOUT_MS:
                result = ports.StoreFailed("slow")
            wait_ms = STORE_TIMEOUT_MS - there_ms if lost else back_ms
            event = ports.StoreReplied(call.call_id, result)
            self.after(wait_ms, lambda: self._deliver_to(daemon, node, event))

        self.after(there_ms, arrive)

    def _call_worker(self, daemon: Daemon, call: ports.WorkerCall) -> None:
        node = daemon.node
        there_ms = self.chance.randint(1, 6) + self.faults.slow_worker_call_ms
        lost = self.chance.random() < self.faults.lose_worker_answer

        def arrive() -> None:
            model = self.workers[call.worker_id]
            result = None
            if not model.faults.dead and not daemon.cut_workers:
                result = model.take_batch(call.batch, self.now_ms)
            wait_ms = self.chance.randint(1, 6)
            if result is None or lost:
                result = ports.WorkerFailed("no answer")
                wait_ms = WORKER_TIMEOUT_MS
            event = ports.WorkerReplied(call.call_id, call.worker_id, result)
            self.after(wait_ms, lambda: self._deliver_to(daemon, node, event))

        self.after(there_ms, arrive)

    def _send(self, daemon: Daemon, command: ports.SendPeer) -> None:
        target = self.daemons.get(command.member_id)
        cut = target is None or target.name in daemon.cut_peers
        if cut or self.chance.random() < self.faults.lose_message:
            return
        data = codec.encode(command.message, messages.PeerMessage)
        repeats = 1 + (self.chance.random() < self.faults.repeat_message)
        for _ in range(repeats):
            message = codec.decode(data, messages.PeerMessage)
            event = ports.PeerReceived(daemon.name, message)
            self._reply(target, self.chance.randint(1, 10), event)

    def _read_hosts(self, daemon: Daemon) -> None:
        limit_ms = self.now_ms - self.faults.list_lag_ms
        old = [workers for at_ms, workers in self.lists if at_ms <= limit_ms]
        listed = old[-1] if old else self.lists[0][1] if self.lists else ()
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
        """Change what the list will say of a host, after its lag."""
        model = self.workers[worker_id]
        model.worker = evolve(model.worker, state=state)
        self._publish_list()

    def fail_host(self, worker_id: str) -> None:
        """Make a host fail: its tasks are gone and it answers nobody."""
        model = self.workers[worker_id]
        model.crash(self.now_ms)
        model.faults.dead = True
        self.set_host(worker_id, HostState.DEAD)

    def revive_host(self, worker_id: str) -> None:
        """Bring a failed host back, empty."""
        self.workers[worker_id].faults.dead = False
        self.set_host(worker_id, HostState.LIVE)

    def _publish_list(self) -> None:
        workers = tuple(model.worker for model in self.workers.values())
        self.lists.append((self.now_ms, workers))

    # --- callers and operators --------------------------------------------------

    def ask(
        self,
        name: str,
        body: api.ApiBody,
        then: Callable[[api.ApiResult], None] = lambda result: None,
    ) -> None:
        """Send a call to a daemon; ``then`` gets the answer."""
        daemon = self.daemons[name]
        if not daemon.alive:
            fault = api.Fault("unreachable", "no_owner", "connection refused")
            self._note(body, fault, self.now_ms, name, then)
            return
        call_id = daemon.node.context.next_call()
        self.pending[name, call_id] = (body, self.now_ms, then)
        self.deliver(daemon, ports.ApiRequested(call_id, body))

    def ask_and_wait(
        self, name: str, body: api.ApiBody, limit_ms: int = 20_000
    ) -> api.ApiResult | None:
        """Send a call and advance the clock until its answer is there."""
        got: list[api.ApiResult] = []
        self.ask(name, body, got.append)
        self.run_until(lambda: bool(got), limit_ms)
        return got[0] if got else None

    def _note(
        self,
        body: api.ApiBody,
        result: api.ApiResult,
        asked_ms: int,
        name: str,
        then: Callable[[api.ApiResult], None],
    ) -> None:
        self.answers.append(Answered(body, result, asked_ms, self.now_ms, name))
        then(result)

    def history(self) -> list:
        """Return what all workers did, oldest first."""
        for model in self.workers.values():
            model.advance(self.now_ms)
        rows = itertools.chain.from_iterable(m.history for m in self.workers.values())
        return sorted(rows, key=lambda row: row.at_ms)
