"""Tests of the codec: decoded messages keep the types of their values."""

import math
import unittest

import cbor2

from poplarlb.exceptions import ProtocolError
from poplarlb.protocol import codec, messages, ports
from poplarlb.state.models import (
    Reason,
    ServiceLatency,
    TaskKey,
    TaskOutcome,
    TaskReport,
    WorkerReport,
)


class EnumTest(unittest.TestCase):
    """Enums are decoded as enums, and values are checked."""

    def setUp(self) -> None:
        """Encode a message that contains enums."""
        ended = messages.AttemptEnded(
            TaskKey("dairy", "j1"), 1, TaskOutcome.SUCCEEDED, Reason.EXITED
        )
        self.message = messages.ShardMessage("a/0", 1, "b/0", ended)
        self.data = codec.encode(self.message, messages.PeerMessage)

    def test_enum_stays_an_enum(self) -> None:
        """Enums are decoded to their members, as code compares them by identity."""
        decoded = codec.decode(self.data, messages.PeerMessage)
        self.assertIs(decoded.body.outcome, TaskOutcome.SUCCEEDED)
        self.assertIs(decoded.body.reason, Reason.EXITED)

    def test_wrong_types_are_refused(self) -> None:
        """A value of another type is refused, not converted."""
        for wrong in ("1", 1.0, True, None, b"1"):
            raw = cbor2.loads(self.data)
            raw["epoch"] = wrong
            with self.subTest(wrong=wrong), self.assertRaises(ProtocolError):
                codec.decode(cbor2.dumps(raw), messages.PeerMessage)

    def test_unknown_value_is_refused(self) -> None:
        """A value that is not a member of the enum is a protocol error."""
        raw = cbor2.loads(self.data)
        raw["body"]["reason"] = "because"
        with self.assertRaises(ProtocolError):
            codec.decode(cbor2.dumps(raw), messages.PeerMessage)


class NumberTest(unittest.TestCase):
    """Numbers that later arithmetic can't handle are refused."""

    def test_number_out_of_range_is_refused(self) -> None:
        """Guards against a number too large that fails a shard when it is used."""
        answer = ports.WorkerAnswer(
            (),
            WorkerReport(
                "w1",
                1,
                1,
                (TaskReport(TaskKey("dairy", "j1"), 1, 1, "running"),),
                (ServiceLatency("orders", 5.0, 9.0, 20),),
            ),
        )
        data = codec.encode(answer, ports.WorkerAnswer)
        self.assertEqual(codec.decode(data, ports.WorkerAnswer), answer)
        too_large = (10**400, -(10**400), 2**63, codec.NUMBER_LIMIT + 1)
        not_finite = (math.inf, -math.inf, math.nan)
        cases = (
            *(("tasks", "throttle_percent", value) for value in too_large),
            *(("service_latency_ms", "requests", value) for value in too_large),
            *(("service_latency_ms", "p99_ms", v) for v in (*too_large, *not_finite)),
        )
        for table, name, value in cases:
            raw = cbor2.loads(data)
            raw["report"][table][0][name] = value
            shown = f"{name} {str(value)[:30]}"
            with self.subTest(shown), self.assertRaises(ProtocolError):
                codec.decode(cbor2.dumps(raw), ports.WorkerAnswer)
