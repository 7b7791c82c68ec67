"""Tests of the client of the product's own API."""

import unittest

from poplarlb.client import to_error
from poplarlb.exceptions import BadRequestError, PoplarlbError


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


if __name__ == "__main__":
    unittest.main()
