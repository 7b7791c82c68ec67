"""Tests of what callers write into the headers of their requests."""

import unittest

from poplarlb.platform.job_api import (
    DEADLINE_HEADER,
    DEFAULT_TIMEOUT_S,
    MAX_TIMEOUT_S,
    caller_timeout_s,
)
from poplarlb.transport.http_server import HttpRequest


class DeadlineTest(unittest.TestCase):
    """The header that says how long a caller waits."""

    def read(self, text: str) -> float:
        """Return the time that a request with this header leaves."""
        headers = {DEADLINE_HEADER: text}
        return caller_timeout_s(HttpRequest("POST", "/o/", headers, b""))

    def test_deadline(self) -> None:
        """Whole milliseconds, within a limit."""
        self.assertEqual(self.read("1500"), 1.5)
        self.assertEqual(self.read("0"), 0.0)
        self.assertEqual(self.read("99999999"), MAX_TIMEOUT_S)

    # Guards against a header for which a submission gets status 500.
    def test_odd_deadline(self) -> None:
        """Too large a number is the limit; anything but a number is ignored."""
        for text in ("9" * 400, "9" * 15_000):
            self.assertEqual(self.read(text), MAX_TIMEOUT_S)
        for text in ("", "\xb2", "\xb9\xb3", "-5", "1e3", "nan", "1.5", " 5", "5_0"):
            self.assertEqual(self.read(text), DEFAULT_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
