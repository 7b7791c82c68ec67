"""Tests of the platform's adapter over sockets, with host lists that others spoiled."""

import io
import json
import unittest

from loguru import logger

from poplarlb.logs import configure_logs
from poplarlb.protocol import codec, ports
from poplarlb.settings import LogSettings, PlatformSettings
from poplarlb.state.models import TaskKey, TaskReport, WorkerReport
from poplarlb.transport.platform import PlatformAdapter
from tests.standins.http import Answer, serve

DEPTH = 100_000
SPOILED_FIELDS = (
    ("id", 7),
    ("id", ""),
    ("id", "a\r\nb"),
    ("id", "\ud800"),
    ("zone", None),
    ("zone", "\ud800"),
    ("rack", ["r"]),
    ("address", "127.0.0.1:99999"),
    ("address", "127.0.0.1:-1"),
    ("address", "127.0.0.1:0"),
    ("address", "127.0.0.1:x"),
    ("address", "127.0.0.1:8٠"),
    ("address", "127.0.0.1"),
    ("address", "a b:80"),
    ("address", "127.0.0.1:80\r\nX: y"),
    ("address", "\ud800:80"),
    ("address", "a..b:80"),
    ("address", "a" * 64 + ":80"),
    ("address", "[::1:80"),
    ("address", "x/y:80"),
    ("address", 80),
    ("cpu_millis", -1),
    ("cpu_millis", 10**30),
    ("cpu_millis", 1.5),
    ("cpu_millis", True),
    ("cpu_millis", "16000"),
    ("memory_mb", float("inf")),
    ("memory_mb", float("nan")),
    ("accelerators", -2),
    ("slots", 2**63),
    ("connections", None),
    ("state", "resting"),
    ("state", ["live"]),
    ("state", 1),
)


def make_host(name: str, **changes: object) -> dict:
    """Return an entry of the host list."""
    return {
        "id": name,
        "zone": "kochi",
        "rack": "r1",
        "address": "127.0.0.1:8080",
        "cpu_millis": 16_000,
        "memory_mb": 60_000,
        "accelerators": 0,
        "slots": 8,
        "connections": 64,
        "state": "live",
        **changes,
    }


def encode_list(*hosts: object) -> bytes:
    """Return the body of a host list."""
    return json.dumps({"hosts": hosts}).encode()


class HostListTest(unittest.TestCase):
    """An odd entry costs that entry and one log line; the list is still followed."""

    def setUp(self) -> None:
        """Serve ``body`` as the host list, and capture the logs."""
        self.logs = io.StringIO()
        configure_logs(LogSettings(json=True), "d1", self.logs)
        self.addCleanup(logger.remove)
        self.body = encode_list()
        server = serve(lambda *_: Answer(body=self.body))
        self.addCleanup(server.stop)
        self.adapter = PlatformAdapter(PlatformSettings(server.address))

    def read(self, body: bytes) -> list[str] | None:
        """Return the ids in the host list that the adapter reads, or None."""
        self.body = body
        listed = self.adapter.read_hosts()
        return None if listed is None else [w.worker_id for w in listed.workers]

    def take_lines(self) -> list[dict]:
        """Return the log lines since the last call."""
        lines = [json.loads(line) for line in self.logs.getvalue().splitlines()]
        self.logs.seek(0)
        self.logs.truncate()
        return lines

    def test_deeply_nested_body_leaves_the_list_followed(self) -> None:
        """Guards against a RecursionError that ends the reading of the host list."""
        self.assertEqual(self.read(encode_list(make_host("w1"))), ["w1"])
        for body in (b"[" * DEPTH, b'{"hosts":' * DEPTH, b"[" * DEPTH + b"]" * DEPTH):
            for _ in range(3):
                self.assertIsNone(self.read(body))
            self.assertEqual(len(self.take_lines()), 1)
            self.assertEqual(self.read(encode_list(make_host("w2"))), ["w2"])

    def test_deeply_nested_field_costs_one_host(self) -> None:
        """Guards against one host's deeply nested field that makes the list unread."""
        deep = b"[" * DEPTH + b"]" * DEPTH
        sound = encode_list(
            make_host("w1"), make_host("w2", slots="@"), make_host("w3")
        )
        for _ in range(3):
            read = self.read(sound.replace(b'"@"', deep))
            self.assertEqual(read, ["w1", "w3"])
        lines = self.take_lines()
        self.assertEqual([line["host"] for line in lines], ["w2"])
        self.assertIn("slots", lines[0]["fault"])

    def test_odd_field_costs_one_host(self) -> None:
        """Guards against one odd field of one host that makes the list unread or used.

        A host that was sound before counts as no longer listed.
        """
        for name, value in SPOILED_FIELDS:
            with self.subTest(name=name, value=ascii(value)):
                everyone = encode_list(*(make_host(f"w{n}") for n in (1, 2, 3)))
                self.assertEqual(self.read(everyone), ["w1", "w2", "w3"])
                odd = make_host("w2", **{name: value})
                body = encode_list(make_host("w1"), odd, make_host("w3"))
                for _ in range(3):
                    self.assertEqual(self.read(body), ["w1", "w3"])
                lines = self.take_lines()
                self.assertEqual(len(lines), 1)
                self.assertIn(name, lines[0]["fault"])
                self.assertLess(len(json.dumps(lines[0])), 1_000)

    def test_entry_that_is_no_object_costs_itself(self) -> None:
        """Guards against an entry of another type that makes the list unread."""
        for entry in ([], "w2", 7, None, True, {}, [make_host("w2")]):
            with self.subTest(entry=entry):
                body = encode_list(make_host("w1"), entry, make_host("w3"))
                self.assertEqual(self.read(body), ["w1", "w3"])
                self.assertEqual(len(self.take_lines()), 1)
                self.read(encode_list())

    def test_unreadable_values_cost_one_host(self) -> None:
        """Guards against bytes or numbers that can't be read and spoil the list."""
        sound = encode_list(
            make_host("w1"), make_host("w2", slots="@"), make_host("w3")
        )
        values = (
            b"1e400",
            b"9" * 10_000,
            b"-1e400",
            b"NaN",
            b'"\xff\xfe"',
            b'"\xed\xa0"',
        )
        for value in values:
            with self.subTest(value=value[:20]):
                read = self.read(sound.replace(b'"@"', value))
                self.assertEqual(read, ["w1", "w3"])
                self.assertEqual(len(self.take_lines()), 1)
                self.read(encode_list())

    def test_id_listed_twice_is_used_once(self) -> None:
        """Guards against a second entry that replaces a listed worker's address."""
        self.assertEqual(self.read(encode_list(make_host("w1"))), ["w1"])
        other = make_host("w1", address="127.0.0.1:9")
        for hosts in ((make_host("w1"), other), (other, make_host("w1"))):
            for _ in range(2):
                self.assertEqual(self.read(encode_list(*hosts)), ["w1"])
                address = self.adapter.listed.workers[0].address
                self.assertEqual(address, "127.0.0.1:8080")
        self.assertEqual(len(self.take_lines()), 1)

    def test_lines_about_many_odd_hosts_are_bounded(self) -> None:
        """Guards against a line for each of many odd hosts, or for each new value."""
        for number in range(5):
            odd = [make_host(f"w{n}", slots=-number - 1) for n in range(1_600)]
            self.assertEqual(self.read(encode_list(make_host("s"), *odd)), ["s"])
        self.assertLess(len(self.take_lines()), 30)


class WorkerAnswerTest(unittest.TestCase):
    """Answers of workers, over sockets."""

    def test_unknown_state_is_logged_once(self) -> None:
        """Guards against a task in an unknown state that no log line names."""
        logs = io.StringIO()
        configure_logs(LogSettings(json=True), "d1", logs)
        self.addCleanup(logger.remove)
        tasks = tuple(
            TaskReport(TaskKey("dairy", f"j{n}"), 1, 1, state * 1_000)
            for n, state in enumerate(("resting", "running"))
        )
        answer = ports.WorkerAnswer((), WorkerReport("w1", 1, 1, tasks))
        data = codec.encode(answer, ports.WorkerAnswer)
        server = serve(lambda *_: Answer(200, data, "application/cbor"))
        self.addCleanup(server.stop)
        adapter = PlatformAdapter(PlatformSettings(server.address))
        batch = ports.WorkerBatch("kochi/0", 1, 0)
        for _ in range(3):
            self.assertEqual(adapter.call_worker(server.address, batch), answer)
        lines = [json.loads(line) for line in logs.getvalue().splitlines()]
        self.assertEqual([line["worker"] for line in lines], [server.address])
        self.assertLess(len(logs.getvalue()), 2_000)


if __name__ == "__main__":
    unittest.main()
