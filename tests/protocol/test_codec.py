"""Tests of the codec: decoded messages keep the types of their values."""

import unittest

import cbor2

from poplarlb.exceptions import ProtocolError
from poplarlb.protocol import codec, messages
from poplarlb.state.models import Reason, TaskKey, TaskOutcome


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
