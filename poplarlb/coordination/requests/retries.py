"""A retry budget: retries are earned by successes, not counted per request."""

from attrs import define

INITIAL_RETRIES = 5.0
MAX_RETRIES_SAVED = 20.0


@define
class RetryBudget:
    """Allows retries in proportion to the requests that succeeded.

    It starts with ``INITIAL_RETRIES`` and saves up to ``MAX_RETRIES_SAVED``.

    :param share: number of retries that each success earns.
    """

    share: float
    retries: float = INITIAL_RETRIES

    def record_success(self) -> None:
        """Add the retries that a success earns."""
        self.retries = min(MAX_RETRIES_SAVED, self.retries + self.share)

    def try_take(self) -> bool:
        """Spend one retry; return whether one was available."""
        if self.share <= 0 or self.retries < 1:
            return False
        self.retries -= 1
        return True
