"""Metrics of the daemon in ``poplarlb.platform``, updated by its log events.

The call that logs an event also counts it, so the counters include the events whose
lines the log drops.
"""

from collections.abc import Callable

from attrs import define, field
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from poplarlb.metrics import LabelSet

QUEUES_LIMIT = 400  # label sets must be bounded; further queues count as ``other``
REASONS_LIMIT = 60  # further reasons count as ``other``
WAIT_BUCKETS_S = (0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 120)
RESPONSE_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)
VIEW_AGE_BUCKETS_S = (0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0)
RATIO_BUCKETS = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0)


@define(eq=False, slots=False)
class JobMetrics:
    """Counters and histograms of events and requests, and gauges.

    ``queues`` and ``reasons`` bound the values of the labels of those names.
    """

    registry: CollectorRegistry = field(factory=CollectorRegistry)
    queues: LabelSet = field(factory=lambda: LabelSet(QUEUES_LIMIT))
    reasons: LabelSet = field(factory=lambda: LabelSet(REASONS_LIMIT))
    gauges: dict[str, Gauge] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        registry = self.registry
        ProcessCollector(registry=registry)
        self.events = Counter(
            "poplarlb_events", "Decisions and changes by event.", ["event"],
            registry=registry,
        )  # fmt: skip
        self.requests = Counter(
            "poplarlb_requests", "Callers' requests by method and status.",
            ["method", "status"], registry=registry,
        )  # fmt: skip
        self.request_times = Histogram(
            "poplarlb_request_seconds", "Time to the answer of a request.",
            ["method"], buckets=RESPONSE_BUCKETS_S, registry=registry,
        )  # fmt: skip
        self.view_ages = Histogram(
            "poplarlb_decision_view_age_seconds",
            "Age of the configuration by which requests were answered.",
            buckets=VIEW_AGE_BUCKETS_S, registry=registry,
        )  # fmt: skip
        self.final_jobs = Counter(
            "poplarlb_jobs_final", "Jobs by queue and final state.",
            ["queue", "state"], registry=registry,
        )  # fmt: skip
        self.first_starts = Histogram(
            "poplarlb_job_first_start_seconds", "Time to a first start.",
            ["queue"], buckets=WAIT_BUCKETS_S, registry=registry,
        )  # fmt: skip
        self.objective_ratios = Histogram(
            "poplarlb_job_objective_ratio", "Time to done as a share of the objective.",
            ["queue"], buckets=RATIO_BUCKETS, registry=registry,
        )  # fmt: skip
        self.run_ends = Counter(
            "poplarlb_run_ends", "Ends of runs by how they ended.", ["how"],
            registry=registry,
        )  # fmt: skip
        self.failed_starts = Counter(
            "poplarlb_starts_failed", "Starts that failed, by outcome.", ["outcome"],
            registry=registry,
        )  # fmt: skip
        self.stopped_runs = Counter(
            "poplarlb_runs_stopped", "Runs stopped, by reason.", ["reason"],
            registry=registry,
        )  # fmt: skip
        self.client_limits = Counter(
            "poplarlb_client_limits", "Clients refused or shed, by limit.", ["limit"],
            registry=registry,
        )  # fmt: skip

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read when the metrics are collected."""
        gauge = Gauge(f"poplarlb_{name}", text, registry=self.registry)
        gauge.set_function(read)
        self.gauges[name] = gauge

    def count(self, event: str, fields: dict) -> None:
        """Update the metrics for one log event."""
        self.events.labels(event).inc()
        match event:
            case "job_final":
                queue = self.queues.label_for(fields["queue"])
                self.final_jobs.labels(queue, fields["state"]).inc()
                if fields["state"] == "done" and fields["objective_ms"]:
                    ratio = fields["took_ms"] / fields["objective_ms"]
                    self.objective_ratios.labels(queue).observe(ratio)
            case "job_begun":
                queue = self.queues.label_for(fields["queue"])
                waited_s = max(fields["waited_ms"], 0) / 1000
                self.first_starts.labels(queue).observe(waited_s)
            case "run_ended":
                self.run_ends.labels(fields["how"]).inc()
            case "start_failed":
                self.failed_starts.labels(fields["outcome"]).inc()
            case "client_limit_exceeded" | "clients_shed":
                self.client_limits.labels(fields["limit"]).inc(fields.get("count", 1))
            case "run_stopped":
                reason = fields["reason"].partition(" at ")[0]
                self.stopped_runs.labels(self.reasons.label_for(reason)).inc()

    def count_request(self, method: str, status: int, took_s: float) -> None:
        """Count one response to a caller."""
        known = method if method in ("GET", "POST", "DELETE") else "other"
        self.requests.labels(known, str(status)).inc()
        self.request_times.labels(known).observe(took_s)

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)
