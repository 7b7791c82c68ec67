"""Tests of the store adapter over sockets, with valid and invalid answers."""

import base64
import io
import json
import socket
import threading
import unittest

from loguru import logger

from poplarlb.logs import configure_logs
from poplarlb.protocol import ports
from poplarlb.settings import LogSettings, StoreSettings
from poplarlb.transport.store import StoreAdapter
from tests.standins.http import Answer, serve
from tests.standins.store import VALUE_LIMIT_BYTES, FakeStoreServer, KeyTable

BAD_BODIES = (
    b"",
    b"{",
    b"null",
    b"[]",
    b"{}",
    b'{"header": 7}',
    b'{"header": {"revision": "x"}}',
    b'{"result": []}',
    b"\xff\xfe",
    b"[" * 100_000,
)
# Valid answers to a write: ``succeeded`` is left out if it is false.
BAD_READ_BODIES = (
    b'{"header": {"revision": "1"}, "kvs": [7]}',
    b'{"header": {"revision": "1"}, "kvs": [{"key": "%%", "mod_revision": "1"}]}',
    b'{"header": {"revision": "1"}, "kvs": 3}',
)
READ = ports.StoreRead("a/")
OPERATIONS = (
    READ,
    ports.StoreWrite("a/1", b"x", 0),
    ports.StoreDelete("a/1", 0),
    ports.StoreLeaseGrant(5),
    ports.StoreLeaseRenew(1),
)


class StoreAdapterTest(unittest.TestCase):
    """Every operation; invalid answers are reported as failures."""

    def setUp(self) -> None:
        """Start a fake store and an adapter."""
        self.store = FakeStoreServer()
        self.server = serve(self.store.answer)
        self.addCleanup(self.server.stop)
        self.adapter = self.connect(self.server.address)

    def connect(self, address: str, limit: int = 1 << 21) -> StoreAdapter:
        """Return an adapter with a short timeout."""
        return StoreAdapter(StoreSettings(address=address, timeout_ms=300), limit)

    def test_matches_in_memory_table(self) -> None:
        """The results over sockets equal those of the in-memory table."""
        table = KeyTable()
        steps = [
            ports.StoreWrite("a/1", b"\x00one", 0),
            ports.StoreWrite("a/1", b"two", 0),
            ports.StoreWrite("b/1", b"", 0),
            ports.StoreRead("a/"),
            ports.StoreRead("a/", 2),
            ports.StoreRead("b/1"),
            ports.StoreDelete("a/1", 1),
            ports.StoreDelete("a/1", 2),
            ports.StoreRead("a/"),
            ports.StoreLeaseGrant(9),
            ports.StoreWrite("c/1", b"leased", 0, 5_000),
            ports.StoreLeaseRenew(5_000),
            ports.StoreLeaseRenew(77),
        ]
        for step in steps:
            with self.subTest(step=step):
                self.assertEqual(self.adapter.execute(step), table.execute(step))
        self.assertEqual(self.adapter.counters.calls["StoreWrite"], 4)
        self.assertEqual(self.store.calls["kv/txn"], 6)

    def test_values_up_to_a_megabyte(self) -> None:
        """A value at the size limit is stored; a larger one is refused."""
        fits = ports.StoreWrite("a/1", bytes(VALUE_LIMIT_BYTES), 0)
        too_large = ports.StoreWrite("a/2", bytes(VALUE_LIMIT_BYTES + 1), 0)
        self.assertTrue(self.adapter.execute(fits).applied)
        self.assertIsInstance(self.adapter.execute(too_large), ports.StoreFailed)
        self.assertEqual(list(self.store.items), ["a/1"])

    def test_faults(self) -> None:
        """A call with a lost answer takes effect, a refused one doesn't; both fail."""
        write = ports.StoreWrite("a/1", b"x", 0)
        self.store.faults.fail_calls = 1
        self.assertIsInstance(self.adapter.execute(write), ports.StoreFailed)
        self.assertEqual(self.store.items, {})
        self.store.faults.lose_answers = 1
        self.assertIsInstance(self.adapter.execute(write), ports.StoreFailed)
        self.assertIn("a/1", self.store.items)
        self.store.faults.delay_ms = 600
        self.assertIsInstance(self.adapter.execute(write), ports.StoreFailed)
        self.store.faults.delay_ms = 0
        self.store.faults.down = True
        self.assertIsInstance(self.adapter.execute(write), ports.StoreFailed)
        self.store.faults.down = False
        self.assertFalse(self.adapter.execute(write).applied)
        self.assertEqual(self.adapter.counters.failures["StoreWrite"], 4)

    def test_malformed_answers(self) -> None:
        """A malformed answer gives a failure, not an exception."""
        cases = [
            *((body, OPERATIONS) for body in BAD_BODIES),
            *((body, (READ,)) for body in BAD_READ_BODIES),
        ]
        bodies = [b""]
        server = serve(lambda *_: Answer(body=bodies[-1]))
        self.addCleanup(server.stop)
        adapter = self.connect(server.address)
        for body, operations in cases:
            bodies.append(body)
            for operation in operations:
                with self.subTest(body=body[:40], operation=operation):
                    result = adapter.execute(operation)
                    self.assertIsInstance(result, ports.StoreFailed)

    def test_numbers_out_of_range(self) -> None:
        """Guards against a number in an answer that ends the call with an error."""
        bodies = [b""]
        server = serve(lambda *_: Answer(body=bodies[-1]))
        self.addCleanup(server.stop)
        adapter = self.connect(server.address)
        odd = ("1e400", "-1e400", "NaN", "true", "1.5", "-3", '"-3"', '"1_0"', "9" * 20)
        for number in odd:
            body = (
                '{"header": {"revision": @}, "ID": @, "TTL": @, "result": {"TTL": @}}'
            )
            bodies.append(body.replace("@", number).encode())
            for operation in OPERATIONS:
                with self.subTest(number=number, operation=operation):
                    result = adapter.execute(operation)
                    self.assertIsInstance(result, ports.StoreFailed)

    def test_success_of_another_type(self) -> None:
        """Guards against a text or a number that counts as a write's success."""
        bodies = [b""]
        server = serve(lambda *_: Answer(body=bodies[-1]))
        self.addCleanup(server.stop)
        adapter = self.connect(server.address)
        for value in ("7", '"false"', "[0]"):
            body = '{"header": {"revision": "1"}, "succeeded": @}'
            bodies.append(body.replace("@", value).encode())
            with self.subTest(value=value):
                result = adapter.execute(OPERATIONS[1])
                self.assertIsInstance(result, ports.StoreFailed)

    def test_key_that_is_no_text_costs_itself(self) -> None:
        """Guards against another writer's key that makes a whole prefix unread."""
        logs = io.StringIO()
        configure_logs(LogSettings(json=True), "d1", logs)
        self.addCleanup(logger.remove)
        item = {"key": base64.b64encode(b"a/\xff\xfe").decode(), "mod_revision": "5"}
        sound = {"key": base64.b64encode(b"a/1").decode(), "mod_revision": "6"}
        body = {"header": {"revision": "6"}, "kvs": [item, sound]}
        server = serve(lambda *_: Answer.of(body))
        self.addCleanup(server.stop)
        adapter = self.connect(server.address)
        for _ in range(3):
            result = adapter.execute(READ)
            self.assertEqual(
                result, ports.StoreEntries((ports.StoreEntry("a/1", b"", 6),), 6)
            )
        self.assertEqual(len(logs.getvalue().splitlines()), 1)

    def test_oversized_answer(self) -> None:
        """An answer over the size limit is a failure."""
        body = json.dumps({"header": {"revision": "1"}, "kvs": [], "x": "y" * 99_999})
        server = serve(lambda *_: Answer(body=body.encode()))
        self.addCleanup(server.stop)
        adapter = self.connect(server.address, 10_000)
        result = adapter.execute(ports.StoreRead("a/"))
        self.assertEqual(result, ports.StoreFailed("the answer is too large"))

    def test_truncated_and_missing_answers(self) -> None:
        """A truncated body and a connection without an answer are failures."""
        heads = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"
            b'{"header": {"revision": "1"}}',
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"not http at all\r\n\r\n",
            b"",
        )
        for head in heads:
            with self.subTest(head=head):
                address = self.serve_once(head)
                result = self.connect(address).execute(ports.StoreRead("a/"))
                self.assertIsInstance(result, ports.StoreFailed)

    def serve_once(self, data: bytes) -> str:
        """Serve one connection with raw bytes and return the address."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def answer() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(data)

        threading.Thread(target=answer, daemon=True).start()
        host, port = listener.getsockname()
        return f"{host}:{port}"
