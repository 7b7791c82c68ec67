"""A budget for retries: a share of successes, not a count for each request."""

from attrs import define

INITIAL_RETRIES = 5.0
MAX_RETRIES_SAVED = 20.0


@define
class RetryBudget:
    """Allows retries in proportion to the requests that succeeded.

    :param share: retries earned by each success.
    """

    share: float
    retries: float = INITIAL_RETRIES

    def note_success(self) -> None:
        """Earn a part of a retry."""
        self.retries = min(MAX_RETRIES_SAVED, self.retries + self.share)

    def take(self) -> bool:
        """Spend one retry; tells whether there was one."""
        if self.share <= 0 or self.retries < 1:
            return False
        self.retries -= 1
        return True
