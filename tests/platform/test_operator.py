"""Tests of the decoding of workers' entries."""

import json
import unittest

from poplarlb.coordination.jobs import events
from poplarlb.event_log import EventLog
from poplarlb.platform.operator import PlatformWorkerDirectory
from poplarlb.protocol.store import StoredChange
from tests.platform import test_wire
from tests.transport.test_http_client import ODD_ADDRESSES

KEY = "servers/i-1"
SOUND = test_wire.EntryTest.ENTRY
ODD_VALUES = (
    b"",
    b"\xff\xfe",
    b"{",
    b"[" * 3_000,
    b'{"a":' * 3_000,
    json.dumps([SOUND]).encode(),
    json.dumps({**SOUND, "zone": None}).encode(),
    json.dumps({**SOUND, "state": "resting"}).encode(),
    json.dumps({**SOUND, "labels": [1]}).encode(),
    json.dumps({**SOUND, "born": 10**400}).encode(),
    json.dumps({**SOUND, "born": 1e300}).encode(),
    json.dumps({**SOUND, "remainingMs": -1}).encode(),
    json.dumps({**SOUND, "capacity": {"cpu": 2**64}}).encode(),
    json.dumps({**SOUND, "capacity": 5}).encode(),
)


class WorkerDirectoryTest(unittest.TestCase):
    """A directory whose log lines are kept."""

    def setUp(self) -> None:
        """Create it."""
        self.log = EventLog("d0", lambda: (0, 0))
        self.directory = PlatformWorkerDirectory(self.log)

    def decode(self, value: bytes | None, key: str = KEY) -> events.Event:
        """Return the event for an entry."""
        return self.directory.decode(StoredChange(key, value, 7))

    def read_lines(self) -> list[dict]:
        """Return the lines logged since the last call."""
        lines = [json.loads(line) for line in self.log.lines]
        self.log.lines.clear()
        return lines

    # Guards against entries that are left out without a word.
    def test_unusable_entry_is_logged_once(self) -> None:
        """An entry that can't be used counts as removed; one short line says why."""
        for value in ODD_VALUES:
            with self.subTest(value=value[:60]):
                for _ in range(3):
                    self.assertEqual(self.decode(value), events.WorkerUnlisted("i-1"))
                (line,) = self.read_lines()
                self.assertEqual(line["event"], "entry_unusable")
                self.assertEqual((line["key"], line["revision"]), (KEY, 7))
                self.assertTrue(0 < len(line["error"]) < 200)

    # Guards against entries that are taken for workers and polled for ever.
    def test_odd_address(self) -> None:
        """An entry whose address isn't an IP address and a port can't be used."""
        for address in (*ODD_ADDRESSES, "localhost:80", "worker.example:80", 80):
            with self.subTest(address=str(address)[:40]):
                value = json.dumps({**SOUND, "addr": address}).encode()
                self.assertEqual(self.decode(value), events.WorkerUnlisted("i-1"))
        self.assertTrue(all(len(line["error"]) < 200 for line in self.read_lines()))

    def test_sound_address(self) -> None:
        """An address of either version of IP can be used."""
        for address in ("10.0.0.9:1", "10.0.0.9:65535", "::1:80"):
            value = json.dumps({**SOUND, "addr": address}).encode()
            self.assertEqual(self.decode(value).listing.address, address)

    # Guards against a key that puts lines of its own into the header of each call.
    def test_odd_key(self) -> None:
        """An entry whose key can't name a worker in a header can't be used."""
        sound = json.dumps(SOUND).encode()
        for name in (
            "",
            " ",
            "a b",
            "a\r\nX-Odd: 1",
            "a\n",
            "a\0",
            "\x7f",
            "é",
            "\u2028",
        ):
            with self.subTest(name=name):
                event = self.decode(sound, f"servers/{name}")
                self.assertEqual(event, events.WorkerUnlisted(name))
                (line,) = self.read_lines()
                self.assertEqual(line["event"], "entry_unusable")
        for name in ("i-1", "a/b", "a.b_c:1"):
            self.assertIsInstance(
                self.decode(sound, f"servers/{name}"), events.WorkerListed
            )

    # Guards against a fault that isn't told any more once it was told.
    def test_fault_that_returns_is_logged_again(self) -> None:
        """A sound entry or a removal ends a fault; the next one is logged."""
        for sound in (json.dumps(SOUND).encode(), None):
            self.decode(b"{")
            self.decode(sound)
            self.decode(b"{")
            self.assertEqual(len(self.read_lines()), 2)
            self.decode(None)


if __name__ == "__main__":
    unittest.main()
