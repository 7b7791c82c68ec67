"""Counts and logs clients that exceed a limit."""

from attrs import Factory, define
from loguru import logger

from poplarlb.metrics import Metrics
from poplarlb.transport.error_reports import ErrorReporter


@define
class LimitReporter:
    """Counts every client that exceeds a limit, and logs each limit once in a period.

    :param metrics: counts them.
    """

    metrics: Metrics
    errors: ErrorReporter = Factory(ErrorReporter)

    def report(self, limit: str, outcome: str, count: int = 1) -> None:
        """Report clients that exceeded a limit, and what was done about it."""
        self.metrics.count_client_limit(limit, count)
        if self.errors.is_due((limit,)):
            line = logger.bind(limit=limit, outcome=outcome, count=count)
            line.warning("clients exceed the limit {}", limit)
