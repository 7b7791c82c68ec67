"""Runs a daemon's node on an asyncio loop and executes its commands.

The node holds all state machines of the daemon: it turns events into commands.
"""

import asyncio
import concurrent.futures
import threading
import time

from loguru import logger

from poplarlb.coordination.membership.sharding import Member
from poplarlb.coordination.shards.node import Node
from poplarlb.exceptions import NotRunError, OutcomeUnknownError
from poplarlb.metrics import Metrics
from poplarlb.protocol import api, ports
from poplarlb.settings import Settings
from poplarlb.transport.error_reports import ErrorReporter
from poplarlb.transport.metrics_recorder import MetricsRecorder
from poplarlb.transport.peers import PeerTransport
from poplarlb.transport.platform import PlatformAdapter
from poplarlb.transport.store import StoreAdapter

STORE_THREADS = 8  # for calls to the store
WORKER_THREADS = 48  # for calls to workers and reads of the host list
ANSWER_TIMEOUT_S = 30.0  # for the node's answer to a call


def now_ms() -> int:
    """Return the current UTC time in milliseconds."""
    return time.time_ns() // 1_000_000


class Runtime:
    """Holds the loop, the node and the adapters.

    ``pending_answers`` holds the future for each call's answer by call id.
    Only the loop's thread accesses the node. Pool threads execute the blocking calls;
    CherryPy's threads use ``ask``.

    :param settings: the daemon's settings.
    """

    def __init__(self, settings: Settings) -> None:
        """Create the adapters; ``run`` opens the connections."""
        self.settings = settings
        self.store = StoreAdapter(settings.store)
        self.platform = PlatformAdapter(settings.platform)
        self.store_pool = concurrent.futures.ThreadPoolExecutor(STORE_THREADS)
        self.worker_pool = concurrent.futures.ThreadPoolExecutor(WORKER_THREADS)
        self.peers = PeerTransport(settings.peers, settings.member_id, self._on_peer)
        self.pending_answers: dict[int, concurrent.futures.Future] = {}
        self.node: Node | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.stopped: asyncio.Event | None = None
        self.started = threading.Event()
        self.draining = False
        self.metrics = Metrics()
        self.metrics_recorder = MetricsRecorder(self.metrics)
        self.errors = ErrorReporter()

    async def run(self, api_address: str) -> None:
        """Run until the node has stopped.

        :param api_address: the callers' address, published to the other daemons.
        """
        self.loop = asyncio.get_running_loop()
        self.stopped = asyncio.Event()
        peer_address = await self.peers.start()
        member = Member(
            self.settings.member_id,
            self.settings.zone,
            peer_address,
            api_address,
            now_ms(),
        )
        self.node = Node(self.settings, member)
        self.metrics_recorder.watch(self.node, self.peers, now_ms)
        self.started.set()
        logger.info("member {} listens for peers on {}", member.member_id, peer_address)
        ticker = asyncio.create_task(self._tick())
        await self.stopped.wait()
        ticker.cancel()
        await self.peers.stop()
        self.store_pool.shutdown(wait=False, cancel_futures=True)
        self.worker_pool.shutdown(wait=False, cancel_futures=True)

    def ask(self, body: api.ApiBody, timeout_s: float = ANSWER_TIMEOUT_S):
        """Return the node's answer to a call; for use by CherryPy's threads.

        :raises NotRunError: if the daemon has not started yet.
        :raises OutcomeUnknownError: if there is no answer within the timeout.
        """
        return self.ask_all([body], timeout_s)[0]

    def ask_all(
        self, bodies: list[api.ApiBody], timeout_s: float = ANSWER_TIMEOUT_S
    ) -> list[api.ApiResult]:
        """Return the node's answers to several concurrent calls.

        :raises NotRunError: if the daemon has not started yet.
        :raises OutcomeUnknownError: if an answer is missing at the timeout.
        """
        if not self.started.is_set():
            raise NotRunError("the daemon is starting")
        futures = [concurrent.futures.Future() for _ in bodies]
        for body, future in zip(bodies, futures, strict=True):
            self.loop.call_soon_threadsafe(self._start_call, body, future)
        try:
            return [future.result(timeout_s) for future in futures]
        except concurrent.futures.TimeoutError as error:
            raise OutcomeUnknownError("no answer within the timeout") from error

    def notify(self, body: api.ApiBody) -> None:
        """Make a call without waiting for its answer."""
        future: concurrent.futures.Future = concurrent.futures.Future()
        try:
            self.loop.call_soon_threadsafe(self._start_call, body, future)
        except RuntimeError:
            logger.debug("call dropped after the shutdown")

    @property
    def ready(self) -> bool:
        """Whether load balancers may send requests to this daemon."""
        return self.started.is_set() and not self.draining

    def hand_over(self) -> None:
        """Have the node hand over its shards; stop when it has, or at the timeout."""
        self.dispatch(ports.ShutdownRequested())
        limit_s = self.settings.stop.hand_over_timeout_ms / 1000
        self.loop.call_later(limit_s, self.stopped.set)

    def dispatch(self, event: ports.Event) -> None:
        """Pass an event to the node and execute its commands.

        An event or a command that fails costs only itself.
        """
        try:
            commands = self.node.handle(event, now_ms())
        except Exception:
            self._report_failure("event", event)
            return
        self._report_faults()
        try:
            self.metrics_recorder.record(event, commands)
        except Exception:
            self._report_failure("metrics of an event", event)
        for command in commands:
            try:
                self._execute(command)
            except Exception:
                self._report_failure("command", command)

    def _report_failure(self, what: str, item: ports.Event | ports.Command) -> None:
        kind = type(item).__name__
        self.errors.report(f"{what} of type {kind}")
        self.metrics.count_failed_event(kind)

    def _report_faults(self) -> None:
        while self.node.owned.faults:
            fault = self.node.owned.faults.popleft()
            self.metrics.count_failed_event("shard")
            place = fault.detail.rsplit("\n", 2)[0]  # without the error's text
            if self.errors.is_due(("shard", fault.shard, place)):
                logger.error("shard {} has failed:\n{}", fault.shard, fault.detail)
        while self.node.context.unreadable:
            record = self.node.context.unreadable.popleft()
            if self.errors.is_due(("record", record.key)):
                line = logger.bind(key=record.key, outcome="not used")
                line.warning("a record can't be read: {}", record.problem)

    def _start_call(self, body: api.ApiBody, future: concurrent.futures.Future) -> None:
        call_id = self.node.context.next_call()
        self.pending_answers[call_id] = future
        self.dispatch(ports.ApiRequested(call_id, body))

    async def _tick(self) -> None:
        while True:
            self.dispatch(ports.Tick())
            await asyncio.sleep(self.settings.tick_ms / 1000)

    def _on_peer(self, sender: str, message) -> None:
        self.dispatch(ports.PeerReceived(sender, message))

    def _execute(self, command: ports.Command) -> None:
        match command:
            case ports.StoreCall():
                self.store_pool.submit(self._call_store, command)
            case ports.WorkerCall():
                self.worker_pool.submit(self._call_worker, command)
            case ports.SendPeer():
                if not self.peers.send(command.address, command.message):
                    self.loop.call_soon(
                        self.dispatch, ports.PeerLost(command.member_id)
                    )
            case ports.ApiAnswer(call_id=call_id, result=result):
                future = self.pending_answers.pop(call_id, None)
                if future is not None:
                    future.set_result(result)
            case ports.ReadHosts():
                self.worker_pool.submit(self._read_hosts)
            case ports.Stopped():
                self.stopped.set()

    # Nobody reads the results of the pools, so each call reports its own errors, and a
    # call that failed is answered: its caller waits for the answer.

    def _call_store(self, call: ports.StoreCall) -> None:
        try:
            result = self.store.execute(call.operation)
        except Exception as error:
            self.errors.report(f"store call {type(call.operation).__name__}")
            result = ports.StoreFailed(f"unexpected {type(error).__name__}")
        self._post_event(ports.StoreReplied(call.call_id, result))

    def _call_worker(self, call: ports.WorkerCall) -> None:
        try:
            result = self.platform.call_worker(call.address, call.batch)
        except Exception as error:
            self.errors.report(f"call of worker {call.worker_id}")
            result = ports.WorkerFailed(f"unexpected {type(error).__name__}")
        self._post_event(ports.WorkerReplied(call.call_id, call.worker_id, result))

    def _read_hosts(self) -> None:
        try:
            listed = self.platform.read_hosts()
        except Exception:
            self.errors.report("reading of the host list")
            return
        if listed is not None:
            self._post_event(listed)

    def _post_event(self, event: ports.Event) -> None:
        try:
            self.loop.call_soon_threadsafe(self.dispatch, event)
        except RuntimeError:
            # During a shutdown the loop closes while calls are in flight.
            logger.debug("answer dropped after the shutdown")
