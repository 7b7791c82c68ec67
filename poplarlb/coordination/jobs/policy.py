"""Times and limits of job scheduling, in one object."""

import math

from attrs import frozen


@frozen
class JobPolicy:
    """Bounds that the deployment sets, and defaults of this package.

    The deployment sets ``lease_limit_ms`` (the longest lease that workers grant),
    ``stop_ms`` (the longest time that a stop takes), ``max_view_age_ms`` (see below),
    ``retention_ms`` (how long a job's final state can be queried), ``harm_ms`` (how
    long a serving task may be over its target), ``far_factor`` and
    ``record_limit_bytes`` (the largest value that the store takes).
    """

    lease_limit_ms: int = 10_000
    stop_ms: int = 900
    retention_ms: int = 120_000
    harm_ms: int = 4_000
    far_factor: float = 1.5  # factor of a task's run time away from its data
    record_limit_bytes: int = 1 << 20
    lease_ms: int = 5_000  # outlasts a takeover; delays the tasks of lost workers
    poll_wait_ms: int = 1_000  # renews a lease of 5 s five times before it expires
    watched_poll_wait_ms: int = 500  # a worker's measurements cover half a second
    poll_retry_ms: int = 300  # unresponsive workers are polled three times a second
    unresponsive_ms: int = 2_000  # no renewals after this long without an answer
    # Leases are renewed for this long after the store last confirmed the ownership;
    # with the lease, outlasts store outages of 10 s.
    max_unconfirmed_ms: int = 5_000
    max_clock_drift: float = 0.02  # how much slower a worker's clock may run
    lease_margin_ms: int = 200  # rounding, and the time that a kill takes
    # A call without an answer may be carried out up to 12 s late; 1 s is margin.
    max_call_delay_ms: int = 13_000
    # Until the entry of a worker that is up is back, if it expired with the store down.
    entry_return_ms: int = 2_500
    min_commit_interval_ms: int = 12  # at most 80 commits a second
    # A commit whose last call took longer starts none of its runs.
    max_commit_before_start_ms: int = 1_500
    # Nothing is placed by older data; below the time within which a drain must be
    # obeyed, by default 2 s.
    max_view_age_ms: int = 1_500
    stop_retry_ms: int = 500  # until a stop is sent again
    refused_pause_ms: int = 700  # without new runs, after a worker refused a start
    # A run that isn't throttled is stopped after this long without progress, or the
    # time for this many of its percents if that is longer: by the longest that one
    # took, or by the task's estimate as long as that isn't known.
    stall_ms: int = 2_500
    stall_percents: int = 4
    stall_estimated_percents: int = 10  # more, as estimates are rough
    # Without new runs, after failures in a row or a run without progress.
    failing_pause_ms: int = 4_000
    failing_limit: int = 3  # failures in a row before the pause
    schedule_period_ms: int = 100  # until tasks that fitted nowhere are tried again
    # Between counts of the waiting jobs; a count may be 2 s old when it is queried.
    status_period_ms: int = 500
    status_confirm_ms: int = 1_000  # unchanged counts are stored again after this
    # Between records of how long the leases of unresponsive workers last; a takeover
    # prolongs the wait for such a lease by at most this.
    lease_record_period_ms: int = 1_000
    # Between writes of the learned interference, part of commits that are made anyway.
    learned_period_ms: int = 1_000

    def max_duration_ms(self, lease_ms: int) -> int:
        """Return how long a run may go on at most by a lease on a worker's clock."""
        return math.ceil((lease_ms + self.lease_margin_ms) / (1 - self.max_clock_drift))

    @property
    def max_inherited_lease_ms(self) -> int:
        """How long after a takeover a lease of the earlier owner may last."""
        return self.max_unconfirmed_ms + self.max_duration_ms(self.lease_ms)

    @property
    def max_inherited_delay_ms(self) -> int:
        """How long after a takeover a start of the earlier owner may be carried out.

        It sends none once its view is out of date.
        """
        return self.max_view_age_ms + self.max_call_delay_ms

    @property
    def max_inherited_misdirected_lease_ms(self) -> int:
        """The same at a worker that has restarted since its runs were placed.

        The earlier owner may have sent it starts by its former clock, until the view by
        which they are sent was too old.
        """
        return max(
            self.max_inherited_lease_ms,
            self.max_view_age_ms + self.max_duration_ms(self.lease_limit_ms),
        )
