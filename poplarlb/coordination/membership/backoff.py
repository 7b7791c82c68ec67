"""Exponential backoff between retries of a failed store call."""

from attrs import define

MIN_WAIT_MS = 100
MAX_WAIT_MS = 2_000


@define
class Backoff:
    """Doubles the wait after each failure in a row, up to ``MAX_WAIT_MS``."""

    failures: int = 0
    until_ms: int = 0

    def ready(self, now_ms: int) -> bool:
        """Return whether the wait after the last failure has ended."""
        return now_ms >= self.until_ms

    def reset(self) -> None:
        """Forget earlier failures."""
        self.failures = 0
        self.until_ms = 0

    def record_failure(self, now_ms: int) -> None:
        """Count a failure and start the next wait."""
        self.until_ms = now_ms + min(MAX_WAIT_MS, MIN_WAIT_MS << self.failures)
        self.failures = min(self.failures + 1, MAX_WAIT_MS.bit_length())
