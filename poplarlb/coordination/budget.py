"""A token bucket over the daemon's calls to the platform's store."""

from attrs import define

from poplarlb.settings import StoreSettings


@define
class CallBudget:
    """Allows ``calls_per_s`` store calls on average and a bounded burst."""

    settings: StoreSettings
    tokens: float = 0.0
    filled_ms: int = 0

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = float(self.settings.burst_calls)

    def take(self, now_ms: int) -> bool:
        """Take one token; tells whether there was one."""
        self._fill(now_ms)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _fill(self, now_ms: int) -> None:
        gained = max(0, now_ms - self.filled_ms) * self.settings.calls_per_s / 1000
        self.tokens = min(self.settings.burst_calls, self.tokens + gained)
        self.filled_ms = max(self.filled_ms, now_ms)
