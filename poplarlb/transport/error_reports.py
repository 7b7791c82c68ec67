"""Logs unexpected errors, each at most once in a period."""

import sys
import threading
import time

from attrs import Factory, define
from loguru import logger

REPEAT_PERIOD_S = 60.0  # between two lines about the same error
ERRORS_KEPT = 500


@define
class ErrorReporter:
    """Logs errors from any thread; one that repeats costs a line in each period.

    ``logged_s`` holds when an error was last logged, by its subject, class and place.
    """

    logged_s: dict[tuple, float] = Factory(dict)
    lock: threading.Lock = Factory(threading.Lock)

    def report(self, subject: str) -> None:
        """Log the exception that is being handled; ``subject`` says what has failed."""
        kind, _, trace = sys.exc_info()
        while trace.tb_next is not None:
            trace = trace.tb_next
        place = (trace.tb_frame.f_code.co_filename, trace.tb_lineno)
        if self.is_due((subject, kind, place)):
            logger.exception("{} failed", subject)

    def is_due(self, key: tuple) -> bool:
        """Return whether an error is to be logged now, and note that it is."""
        now_s = time.monotonic()
        with self.lock:
            if now_s - self.logged_s.get(key, -REPEAT_PERIOD_S) < REPEAT_PERIOD_S:
                return False
            if len(self.logged_s) >= ERRORS_KEPT:
                self.logged_s.clear()
            self.logged_s[key] = now_s
            return True
