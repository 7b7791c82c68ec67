"""Tests of what callers write into the headers of their requests."""

import unittest
import unittest.mock

import orjson

from poplarlb.event_log import EventLog
from poplarlb.platform.job_api import (
    DEADLINE_HEADER,
    DEFAULT_TIMEOUT_S,
    MAX_SHOWN,
    MAX_TIMEOUT_S,
    JobApi,
    caller_timeout_s,
)
from poplarlb.state.jobs import ConfigStamp, OperatorConfig
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


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Answers that need neither the store nor an owner, and their log lines."""

    def setUp(self) -> None:
        """Create an API without queues."""
        self.log = EventLog("d0", lambda: (0, 0))
        self.api = JobApi(
            unittest.mock.Mock(),
            self.log,
            unittest.mock.AsyncMock(),
            lambda: ConfigStamp(3, 7, 50, True),
            OperatorConfig(3),
        )

    def test_no_room(self) -> None:
        """A request without room has not run, and may be sent again."""
        response = self.api.reject(503)
        self.assertEqual((response.status, response.retry_after_s), (503, 1))
        self.assertEqual(self.api.reject(431).retry_after_s, 0)

    # Guards against lines with texts of callers, thousands of which may be buffered.
    async def test_texts_of_callers_are_cut(self) -> None:
        """The line has the beginning of a long path and a long host."""
        request = HttpRequest("GET", "/" + "p" * 9_000, {"host": "h" * 9_000})
        self.assertEqual((await self.api.handle(request)).status, 404)
        line = orjson.loads(self.log.lines[0])
        self.assertEqual(line["event"], "queue_unknown")
        self.assertEqual((len(line["path"]), len(line["host"])), (MAX_SHOWN, MAX_SHOWN))


if __name__ == "__main__":
    unittest.main()
