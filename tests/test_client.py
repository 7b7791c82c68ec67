"""Tests of the client of the product's own API."""

import json
import unittest
from unittest import mock

from poplarlb.client import MAX_ROUNDS, Answer, Client, to_error
from poplarlb.exceptions import (
    BadRequestError,
    OutcomeUnknownError,
    PoplarlbError,
)


class ErrorTest(unittest.TestCase):
    """Error responses become exceptions of the client."""

    # Guards against an AttributeError instead of the daemon's error, as a class that is
    # built from a fault has the code of its base.
    def test_internal_error(self) -> None:
        """It is the base class, with the daemon's detail."""
        error = to_error(500, {"code": "internal", "detail": "a fault"})
        self.assertIs(type(error), PoplarlbError)
        self.assertEqual(error.detail, "a fault")

    def test_code_of_a_class(self) -> None:
        """It is that class."""
        error = to_error(400, {"code": "bad_request", "reason": "size"})
        self.assertIs(type(error), BadRequestError)


class UnknownOutcomeTest(unittest.TestCase):
    """A repeatable call whose first attempt may have been run."""

    def send(self, *codes: str) -> Answer:
        """Return the response to a call whose later attempts are answered with codes.

        The last code is that of all further attempts.
        """
        answers = iter(codes)
        last = codes[-1]

        def send_once(client, daemon, *arguments) -> Answer:
            code = next(answers, last)
            if code == "lost":
                raise OutcomeUnknownError("no response")
            body = json.dumps({"code": code}).encode()
            return Answer(503 if code else 200, {}, body, daemon)

        with (
            mock.patch.object(Client, "send_once", send_once),
            mock.patch("time.sleep"),
        ):
            return Client(["d0:1", "d1:1"]).send("PUT", "/v1/jobs/t/j", b"", {}, True)

    # Guards against a call that may have been run and is said not to have been.
    def test_later_attempts_were_not_run(self) -> None:
        """The outcome stays unknown."""
        for code in ("not_run", "rate_limited"):
            self.assertRaises(OutcomeUnknownError, self.send, "lost", code)

    def test_later_attempt_is_run(self) -> None:
        """Its response is returned, also after one that was not run."""
        self.assertEqual(self.send("lost", "not_run", "").status, 200)

    def test_no_attempt_was_run(self) -> None:
        """The last response says so."""
        self.assertEqual(self.send(*["not_run"] * MAX_ROUNDS).status, 503)


if __name__ == "__main__":
    unittest.main()
