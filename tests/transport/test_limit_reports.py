"""Tests of the reports about clients that exceed a limit."""

import io
import json
import unittest

from loguru import logger

from poplarlb.logs import configure_logs
from poplarlb.metrics import Metrics
from poplarlb.settings import LogSettings
from poplarlb.transport.limit_reports import LimitReporter


class LimitReporterTest(unittest.TestCase):
    """Many clients that exceed two limits."""

    def test_all_are_counted_and_few_are_logged(self) -> None:
        """One line for each limit, however many clients exceed it."""
        logs = io.StringIO()
        configure_logs(LogSettings(json=True), "d1", logs)
        self.addCleanup(logger.remove)
        reporter = LimitReporter(Metrics())
        for _ in range(50):
            reporter.report("query", "request refused")
            reporter.report("thread", "reading ended", 2)
        text = reporter.metrics.render().decode()
        self.assertIn('poplarlb_client_limits_total{limit="query"} 50.0', text)
        self.assertIn('poplarlb_client_limits_total{limit="thread"} 100.0', text)
        lines = [json.loads(line) for line in logs.getvalue().splitlines()]
        self.assertEqual([line["limit"] for line in lines], ["query", "thread"])
        self.assertEqual(lines[0]["outcome"], "request refused")


if __name__ == "__main__":
    unittest.main()
