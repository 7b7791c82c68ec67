"""The figures that the job decisions go by; one object, passed whole."""

from attrs import frozen


@frozen
class JobPolicy:
    """Bounds of the deployment and choices of the product, in milliseconds.

    The deployment gives ``lease_limit_ms`` (the longest lease that workers grant),
    ``stop_ms`` (the longest that a stop takes), ``retention_ms`` (how long a final
    state is told) and ``harm_ms`` (how long a serving task may be over its target).
    """

    lease_limit_ms: int = 10_000
    stop_ms: int = 900
    retention_ms: int = 120_000
    harm_ms: int = 4_000
    far_factor: float = 1.5  # how much longer a task takes away from its data
    lease_ms: int = 5_000  # outlasts a takeover; lost workers' work waits
    look_wait_ms: int = 1_000  # renews a lease of 5 s five times over
    watched_look_wait_ms: int = 500  # a worker's figures cover half a second
    look_retry_ms: int = 300  # a silent worker is asked three times a second
    silent_ms: int = 2_000  # no renewals after this long without an answer
    renew_unproven_ms: int = 5_000  # with the lease, outlasts store outages of 10 s
    clock_slack: float = 0.02  # how much slower than ours a worker's clock may run
    lease_margin_ms: int = 200  # rounding, and the time that a kill takes
    late_start_ms: int = 13_000  # unanswered starts are carried out up to 12 s late
    commit_gap_ms: int = 12  # at most 80 commits a second
    start_within_ms: int = 1_500  # a start later than this after its commit is void
    view_limit_ms: int = 1_500  # below the 2 s within which a drain must be obeyed
    stop_retry_ms: int = 500
    refused_pause_ms: int = 700  # a worker that refused a start gets none meanwhile
    stall_ms: int = 2_500  # no progress at full pace: longer than a mean task
    failing_pause_ms: int = 4_000  # pause of a worker that fails what it starts
    failing_limit: int = 3  # failures in a row before the pause
    schedule_period_ms: int = 100  # waiting tasks are looked at again
    status_period_ms: int = 500  # counts of waiting jobs may be 2 s old
    status_confirm_ms: int = 1_000  # unchanged counts are confirmed after this
    lapse_period_ms: int = 1_000  # a takeover prolongs a wait by no more than this
    learned_period_ms: int = 1_000  # rides on a commit that is made anyway
