"""The clocks of the platform's role."""

import time


def boottime_ms() -> int:
    """Return a monotonic time in ms that also advances during a suspension."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)


def utc_ms() -> int:
    """Return the UTC time in ms since 1970."""
    return int(time.time() * 1000)
