"""Tests of the runtime with adapters and commands that raise unexpected errors."""

import asyncio
import io
import json
import types
import unittest
from collections.abc import Callable

from attrs import Factory, define
from loguru import logger

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.logs import configure_logs
from poplarlb.protocol import messages, ports
from poplarlb.settings import LogSettings, Settings
from poplarlb.transport.runtime import Runtime

TICK_MS = 5
TICKS = 20  # that must follow a failure
WAIT_S = 10.0


@define
class ScriptedNode:
    """A node that returns the same commands for every tick, and keeps its events."""

    commands: list[ports.Command] = Factory(list)
    events: list[ports.Event] = Factory(list)
    context: NodeContext = Factory(lambda: NodeContext(Settings("d1", "kochi")))
    owned: types.SimpleNamespace = Factory(lambda: types.SimpleNamespace(faults=()))

    def handle(self, event: ports.Event, now_ms: int) -> list[ports.Command]:
        """Keep an event; return the commands if it is a tick."""
        self.events.append(event)
        return self.commands if isinstance(event, ports.Tick) else []

    def count(self, kind: type) -> int:
        """Return the number of events of a class."""
        return sum(isinstance(event, kind) for event in self.events)


def fail(*_: object) -> None:
    """Raise an error that no caller expects."""
    raise RecursionError("injected")


def fail_at_length(*_: object) -> None:
    """Raise an error whose text quotes a large message."""
    raise ValueError("\ud800" * 1_000_000)


class FailingCallTest(unittest.IsolatedAsyncioTestCase):
    """An unexpected error is logged, and the periodic work goes on."""

    async def asyncSetUp(self) -> None:
        """Tick a runtime with a scripted node, and capture the logs."""
        self.logs = io.StringIO()
        configure_logs(LogSettings(json=True), "d1", self.logs)
        self.addCleanup(logger.remove)
        self.runtime = Runtime(Settings("d1", "kochi", tick_ms=TICK_MS))
        self.addCleanup(self.runtime.store_pool.shutdown)
        self.addCleanup(self.runtime.worker_pool.shutdown)
        self.runtime.metrics_recorder = types.SimpleNamespace(record=lambda *_: None)
        self.runtime.loop = asyncio.get_running_loop()
        self.node = ScriptedNode()

    async def tick(self, command: ports.Command, is_over: Callable[[], bool]) -> None:
        """Tick with a command until a condition holds."""
        self.node.commands = [command]
        self.runtime.node = self.node
        ticker = asyncio.create_task(self.runtime._tick())
        self.addCleanup(ticker.cancel)
        async with asyncio.timeout(WAIT_S):
            while not is_over() and not ticker.done():
                await asyncio.sleep(TICK_MS / 1000)
        ticker.cancel()

    def lines(self) -> list[dict]:
        """Return the log lines so far."""
        return [json.loads(line) for line in self.logs.getvalue().splitlines()]

    async def test_unexpected_error_of_the_host_list_is_logged(self) -> None:
        """Guards against an error of read_hosts that no log line reports."""
        self.runtime.platform.read_hosts = fail
        await self.tick(ports.ReadHosts(), lambda: self.node.count(ports.Tick) >= TICKS)
        self.assertGreaterEqual(self.node.count(ports.Tick), TICKS)
        lines = self.lines()
        self.assertEqual(
            [line["error"] for line in lines], ["RecursionError: injected"]
        )

    async def test_unexpected_error_of_a_store_call_is_answered(self) -> None:
        """Guards against a store call whose unexpected error leaves it unanswered."""
        self.runtime.store.execute = fail
        call = ports.StoreCall(7, ports.StoreRead("a/"))
        await self.tick(call, lambda: self.node.count(ports.StoreReplied) >= TICKS)
        replies = [e for e in self.node.events if isinstance(e, ports.StoreReplied)]
        self.assertEqual(replies[0].call_id, 7)
        self.assertIsInstance(replies[0].result, ports.StoreFailed)
        self.assertEqual(len(self.lines()), 1)

    async def test_unexpected_error_of_a_worker_call_is_answered(self) -> None:
        """Guards against a worker call whose unexpected error leaves it unanswered."""
        self.runtime.platform.call_worker = fail
        batch = ports.WorkerBatch("kochi/0", 1, 0)
        call = ports.WorkerCall(7, "w1", "127.0.0.1:1", batch)
        await self.tick(call, lambda: self.node.count(ports.WorkerReplied) >= TICKS)
        replies = [e for e in self.node.events if isinstance(e, ports.WorkerReplied)]
        self.assertEqual((replies[0].call_id, replies[0].worker_id), (7, "w1"))
        self.assertIsInstance(replies[0].result, ports.WorkerFailed)
        self.assertEqual(len(self.lines()), 1)

    async def test_line_about_a_large_error_is_bounded(self) -> None:
        """Guards against a log line as long as the message that an error quotes."""
        self.runtime.platform.read_hosts = fail_at_length
        await self.tick(ports.ReadHosts(), lambda: self.node.count(ports.Tick) >= TICKS)
        logger.bind(operator="x" * 100_000).info("y" * 100_000)
        lines = self.logs.getvalue().splitlines()
        self.assertEqual(len(lines), 2)
        for line in lines:
            self.assertLess(len(line), 60_000)
            json.loads(line)

    async def test_unreadable_record_is_logged_once(self) -> None:
        """Guards against a record of another writer that no log line names."""
        for version in range(5):
            entry = ports.StoreEntry("p/members/d3", b"\x81" * 100_000, version)
            self.node.context.note_unreadable(entry, "x" * 100_000)
        self.runtime.platform.read_hosts = lambda: None
        await self.tick(ports.ReadHosts(), lambda: self.node.count(ports.Tick) >= TICKS)
        lines = self.lines()
        self.assertEqual([line["key"] for line in lines], ["p/members/d3"])
        self.assertLess(len(json.dumps(lines[0])), 1_000)

    async def test_command_that_fails_ends_no_ticks(self) -> None:
        """Guards against a command that can't be executed and ends the ticks for good.

        The commands after it are executed.
        """
        wanted = messages.ViewWanted("\ud800")
        self.runtime.stopped = asyncio.Event()
        send = ports.SendPeer("d2", "127.0.0.1:1", wanted)
        await self.tick(send, lambda: self.node.count(ports.Tick) >= TICKS)
        self.assertGreaterEqual(self.node.count(ports.Tick), TICKS)
        self.assertEqual(len(self.lines()), 1)
        self.node.commands.append(ports.Stopped())
        self.runtime.dispatch(ports.Tick())
        self.assertTrue(self.runtime.stopped.is_set())
        await self.runtime.peers.stop()


if __name__ == "__main__":
    unittest.main()
