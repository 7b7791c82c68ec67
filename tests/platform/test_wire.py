"""Tests of the wire format's decoding, and of which modules use its names."""

import json
import pathlib
import re
import unittest

from hypothesis import given
from hypothesis import strategies as st

import poplarlb
from poplarlb.coordination.jobs import events
from poplarlb.exceptions import BadAnswerError, BadRequestError
from poplarlb.platform import wire
from poplarlb.state.job_records import decode_job, encode_job
from poplarlb.state.jobs import AdviceTimes, QueueConfig, RunEnd
from poplarlb.state.models import Resources

QUEUE = QueueConfig("orders", "h", "/o/", "desk")
ID = "0123456789abcdef"
STEP = {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 900}
WIRE_NAMES = re.compile(
    r"untilMs|lastSeen|run-start|run-stop|kv-|memMb|farX|POPLARLB_BOOT|clockMs"
    r"|maxPerServer|requiredLabel|preferredRack|longRunning|sameRack|targetMs"
    r"|heartbeatMs|holdMaxMs|op/config|op/evacuate"
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)


class JobBodyTest(unittest.TestCase):
    """Submitted jobs."""

    def test_every_field(self) -> None:
        """All fields of a step are decoded to the package's names."""
        step = {
            **STEP,
            "checkpoints": True,
            "gang": True,
            "sameRack": True,
            "requiredLabel": "a",
            "preferredRack": "r1",
            "maxPerServer": 3,
            "speculative": True,
            "longRunning": True,
            "image": "web",
            "targetMs": 45,
            "fills": True,
            "mayMiss": 1,
        }
        body = {"spec": "text", "steps": [STEP, {**step, "after": [0]}], "times": 2}
        spec = wire.decode_job(json.dumps(body).encode(), ID, QUEUE, 1)
        second = spec.steps[1]
        self.assertEqual(second.size, Resources(500, 256, 0))
        self.assertEqual((second.after, second.max_per_worker), ((0,), 3))
        self.assertEqual((second.target_ms, second.may_miss), (45, 1))
        self.assertTrue(second.gang and second.same_rack and second.fills)
        self.assertEqual(decode_job(encode_job(spec)), spec)

    @given(JSON)
    def test_any_json_is_decoded_or_refused(self, document: object) -> None:
        """No document raises anything but a BadRequestError."""
        for body in (document, {"steps": document}, {"steps": [document]}):
            try:
                wire.decode_job(json.dumps(body).encode(), ID, QUEUE, 1)
            except BadRequestError:
                continue

    @given(st.binary())
    def test_any_bytes_are_decoded_or_refused(self, body: bytes) -> None:
        """No bytes raise anything but a BadRequestError."""
        try:
            wire.decode_job(body, ID, QUEUE, 1)
        except BadRequestError:
            return

    def test_ids(self) -> None:
        """An id is 16 hexadecimal digits."""
        self.assertTrue(wire.is_job_id(ID))
        for text in ("", "0" * 15, "0" * 17, "g" * 16, "٣" * 16):
            self.assertFalse(wire.is_job_id(text))


class EntryTest(unittest.TestCase):
    """Entries of workers and of the operator."""

    ENTRY = {
        "service": "desk",
        "addr": "10.0.0.9:80",
        "zone": "kochi",
        "state": "draining",
        "capacity": {"cpu": 16_000, "memMb": 32_768},
        "labels": ["a", "r1-3"],
        "born": 1_700_000_000_000,
        "remainingMs": 1_500,
    }

    def test_worker(self) -> None:
        """A worker's entry is decoded to a listing."""
        listing = wire.decode_listing("i-1", json.dumps(self.ENTRY).encode())
        self.assertTrue(listing.draining)
        self.assertEqual(listing.incarnation, 1_700_000_000_000)
        self.assertEqual(listing.remaining_ms, 1_500)

    @given(st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON), st.binary())
    def test_foreign_entries_name_no_worker(self, changed: dict, raw: bytes) -> None:
        """An entry that can't be used raises only a BadAnswerError, with a reason."""
        for body in (json.dumps({**self.ENTRY, **changed}).encode(), raw):
            try:
                wire.decode_listing("i-1", body)
            except BadAnswerError as error:
                self.assertTrue(error.detail)

    @given(JSON)
    def test_any_configuration_is_decoded_or_refused(self, document: object) -> None:
        """No configuration raises anything but a BadAnswerError."""
        for body in (document, {"version": 1, "routes": [document]}):
            try:
                wire.decode_config(json.dumps(body).encode())
            except BadAnswerError:
                continue

    def test_advice_times(self) -> None:
        """They are decoded; odd ones are unknown, and the queue needs advice still."""
        sound = {"decideMs": 100, "eachMs": 20, "validMs": 3_000}
        row = {"name": "orders", "prefix": "/o/", "service": "desk", "advice": sound}
        self.assertEqual(wire.decode_queue(row).advice, AdviceTimes(100, 20, 3_000))
        for odd in (True, {"decideMs": -1}, {"eachMs": "x"}, {"validMs": 10**400}):
            queue = wire.decode_queue({**row, "advice": odd})
            self.assertEqual((queue.needs_advice, queue.advice), (True, AdviceTimes()))
        self.assertFalse(wire.decode_queue({**row, "advice": None}).needs_advice)

    # Guards against a queue's limit by which the deadlines of its jobs overflow, which
    # ended the ownership and failed the jobs.
    def test_limit_out_of_range(self) -> None:
        """A queue with a number that is too large or negative has a fault for it."""
        route = {"name": "orders", "prefix": "/o/", "service": "desk"}
        for name in ("priority", "maxAttempts", "stretch", "sloMs"):
            for value in (-1, 2**53 + 2, 2**63, 1e308, -1e308, "1", [], True):
                with self.subTest(name=name, value=value):
                    document = {"version": 1, "routes": [{**route, name: value}]}
                    config = wire.decode_config(json.dumps(document).encode())
                    self.assertIn(f"route.{name}", config.queues[0].fault)

    def test_ends(self) -> None:
        """Rows of ended runs are decoded; malformed ones are refused."""
        (row,) = wire.decode_ended([[58, f"{ID}.0.1.9", 1, "done", ""]])
        self.assertEqual((row.number, row.how), (58, RunEnd.DONE))
        for rows in ([[1]], [[1, "t", 1, "asleep", ""]], [3], [["a", "t", 1, "done"]]):
            with self.subTest(rows=rows), self.assertRaises(BadAnswerError):
                wire.decode_ended(rows)


class WorkerAnswerTest(unittest.TestCase):
    """Workers' answers to polls."""

    SOUND = {
        "clockMs": 482_113,
        "born": 1_700_000_000_000,
        "running": [[f"{ID}.0.1.17", 2, "00000bb87a21d94b", 41, 12.5]],
        "ended": [[58, f"{ID}.0.1.9", 1, "done", ""]],
    }

    def decode(self, changed: dict) -> events.PollAnswered:
        """Return an answer with some fields changed."""
        body = json.dumps({**self.SOUND, **changed}).encode()
        return wire.decode_answer("w0", 1, body)

    def test_sound(self) -> None:
        """Each field is decoded; rows may have fewer or more items, and None."""
        answer = self.decode({})
        self.assertEqual((answer.clock_ms, answer.incarnation), (482_113, 17 * 10**11))
        row = events.RunningRow(f"{ID}.0.1.17", 2, "00000bb87a21d94b", 41, 12.5)
        self.assertEqual(answer.running, (row,))
        self.assertEqual(answer.ended[0].how, RunEnd.DONE)
        for row in (["t", 1, None, 4], ["t", 1, "", 4.0, None], ["t", 1, "", 4, -1, 9]):
            self.assertEqual(self.decode({"running": [row]}).running[0].percent, 4)
        answer = self.decode({"running": None, "ended": None, "born": None})
        self.assertEqual(
            (answer.running, answer.ended, answer.incarnation), ((), (), 0)
        )

    # Guards against numbers that no call and no record can hold, which ended the
    # ownership and failed the jobs that were about to start.
    def test_odd_answers_are_refused(self) -> None:
        """An odd field makes the answer unreadable, with a short reason."""
        huge, deep = 1e300, json.loads("[" * 900 + "]" * 900)
        cases = [{"clockMs": value} for value in (huge, -1, 2**63, "5", None, deep)]
        cases += [{"born": value} for value in (huge, -1, 2**63, "5", True, deep)]
        running = ["t", 1, "", 0, 0.0]
        ended = [1, "t", 1, "done", ""]
        odd = (huge, -huge, 2**63, deep, {}, True, "x" * 5_000)
        for value in odd:
            cases += [
                {"running": [[*running[:number], value, *running[number + 1 :]]]}
                for number in (0, 1, 3, 4)
            ]
            cases += [
                {"ended": [[*ended[:number], value, *ended[number + 1 :]]]}
                for number in (0, 1, 2, 3)
            ]
            cases += [{"running": value}, {"ended": value}, {"running": [value]}]
        cases += [{"running": [["t", 1, deep, 0]]}, {"running": [["t", 1, "", "nan"]]}]
        for case in cases:
            with self.subTest(case=str(case)[:60]):
                with self.assertRaises(BadAnswerError) as raised:
                    self.decode(case)
                self.assertLess(len(raised.exception.detail), 200)


class ClockTest(unittest.TestCase):
    """The worker's clock in an answer, which needs no other field."""

    # Guards against a clock that is lost because the answer is a refusal.
    def test_sound(self) -> None:
        """A whole number of at least 0 is the clock, also if written with a point."""
        for text, expected in (
            (b'{"clockMs": 482113}', 482_113),
            (b'{"clockMs": 482113.0, "reason": "room"}', 482_113),
            (b'{"clockMs": 0, "running": 5}', 0),
        ):
            with self.subTest(text):
                self.assertEqual(wire.decode_clock(text), expected)

    # Guards against an answer to a start that is lost because its clock is odd.
    def test_odd_clocks_count_as_none(self) -> None:
        """An odd clock, or none, is None, and never 0."""
        for value in ("5", True, None, -1, 5.5, 1e300, 2**53 + 1, [5], {}):
            with self.subTest(value):
                body = json.dumps({"clockMs": value}).encode()
                self.assertIsNone(wire.decode_clock(body))
        for body in (b"", b"{}", b"x", b"[]", b"5", b'{"clockMs": 5', b"\xff"):
            with self.subTest(body):
                self.assertIsNone(wire.decode_clock(body))


class BoundaryTest(unittest.TestCase):
    """The names of the wire format are used in one folder only."""

    def test_no_wire_name_outside_the_adapter(self) -> None:
        """No module outside the adapter uses a name of the wire format."""
        package = pathlib.Path(poplarlb.__file__).parent
        found = [
            f"{path.name}:{number}"
            for path in package.rglob("*.py")
            if "platform" not in path.relative_to(package).parts[:1]
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if WIRE_NAMES.search(line)
        ]
        self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
