"""The metrics of ``poplarlbd``, with bounded sets of label values."""

from collections.abc import Callable

from attrs import Factory, define
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from poplarlb.state.models import Decision, Reason, WorkClass

OTHER = "other"  # label value for those beyond the limits
TEAMS_LIMIT = 200
SERVICES_LIMIT = 400
CODES_LIMIT = 50  # label values of actions, and of results
REQUEST_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)
WAIT_BUCKETS_S = (0.05, 0.1, 0.2, 0.5, 1.1, 2, 5, 10, 60, 600, 3_600, 21_600)
LOSS_BUCKETS_S = (0.1, 1, 5, 15, 60, 300, 900, 3_600)


@define
class LabelSet:
    """The values of one label, up to a limit; further ones become ``other``."""

    limit: int
    values: set[str] = Factory(set)

    def label_for(self, value: str) -> str:
        """Return the value, or ``other`` if it is new and the set is full."""
        if value in self.values:
            return value
        if len(self.values) >= self.limit:
            return OTHER
        self.values.add(value)
        return value


class Metrics:
    """All metrics of one daemon, updated by a method for each kind of event.

    Teams that are not named by ``set_teams`` count as ``other``.
    """

    def __init__(self) -> None:
        """Register all metrics in one registry of this object, not the global one."""
        self.registry = CollectorRegistry()
        self.teams: set[str] = set()
        self.services = LabelSet(SERVICES_LIMIT)
        self.actions = LabelSet(CODES_LIMIT)
        self.results = LabelSet(CODES_LIMIT)
        self._register_work()
        self._register_coordination()

    def _register_work(self) -> None:
        self.request_latency = self._histogram(
            "request_latency_seconds",
            "Time from a request's arrival to its whole answer.",
            ("team", "service", "result"),
            REQUEST_BUCKETS_S,
        )
        self.request_queue = self._histogram(
            "request_queue_seconds",
            "Time that a request waited for a slot.",
            ("team", "service"),
            REQUEST_BUCKETS_S,
        )
        self.submit_to_start = self._histogram(
            "task_submit_to_start_seconds",
            "Time from a task's submission to its first start.",
            ("team", "work_class"),
            WAIT_BUCKETS_S,
        )
        self.eviction_loss = self._histogram(
            "task_eviction_loss_seconds",
            "Run time that an eviction lost for want of a checkpoint.",
            ("team", "work_class"),
            LOSS_BUCKETS_S,
        )
        self.refusals = self._counter(
            "refusals", "Calls that were refused.", ("team", "code", "reason")
        )
        self.decisions = self._counter(
            "decisions", "Decisions taken.", ("action", "reason")
        )
        self.retries = self._counter("retries", "Retried calls.", ("kind",))

    def _register_coordination(self) -> None:
        self.store_calls = self._counter(
            "store_calls", "Calls to the store.", ("kind", "result")
        )
        self.worker_calls = self._counter(
            "worker_calls", "Calls to workers.", ("result",)
        )
        self.epoch_changes = self._counter(
            "epoch_changes", "Shards taken over or lost by this daemon.", ("kind",)
        )
        self.rejected_messages = self._counter(
            "rejected_messages", "Peer messages that were refused.", ("reason",)
        )
        self.failed_events = self._counter(
            "failed_events", "Events whose handling raised an error.", ("kind",)
        )
        self.config_changes = self._counter(
            "config_changes", "Operators' changes through this daemon.", ("result",)
        )
        self.client_limits = self._counter(
            "client_limits", "Clients refused or shed, by limit.", ("limit",)
        )
        self.view_age = self._gauge(
            "view_age_seconds", "Time since the configuration was confirmed."
        )
        self.view_version = self._gauge(
            "view_version", "Version of the configuration in force."
        )
        self.store_budget = self._gauge(
            "store_budget_calls", "Store calls that may be made at once."
        )
        self.delayed_calls = self._gauge(
            "store_delayed_calls", "Store calls that wait for the budget."
        )
        self.shards_owned = self._gauge("shards_owned", "Shards that this daemon owns.")
        self.members_live = self._gauge("members_live", "Members that answer.")

    def _histogram(self, name: str, text: str, labels: tuple, buckets: tuple):
        return Histogram(
            f"poplarlb_{name}", text, labels, registry=self.registry, buckets=buckets
        )

    def _counter(self, name: str, text: str, labels: tuple = ()) -> Counter:
        return Counter(f"poplarlb_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"poplarlb_{name}", text, registry=self.registry)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)

    def set_teams(self, teams: set[str]) -> None:
        """Set the teams with own label values, of which ``TEAMS_LIMIT`` are used."""
        self.teams = set(sorted(teams)[:TEAMS_LIMIT])

    def _team_label(self, team: str) -> str:
        return team if team in self.teams else OTHER

    def _service_label(self, team: str, service: str) -> str:
        if team not in self.teams:
            return OTHER
        return self.services.label_for(service)

    def observe_request(
        self, team: str, service: str, result: str, latency_ms: float
    ) -> None:
        """Observe one request's latency; ``result`` is ``ok`` or a fault's code."""
        labels = (self._team_label(team), self._service_label(team, service))
        bounded = self.results.label_for(result)
        self.request_latency.labels(*labels, bounded).observe(latency_ms / 1000)

    def observe_queue(self, team: str, service: str, wait_ms: float) -> None:
        """Observe the time that one request waited for a slot."""
        labels = (self._team_label(team), self._service_label(team, service))
        self.request_queue.labels(*labels).observe(wait_ms / 1000)

    def observe_start(self, team: str, work_class: WorkClass, wait_ms: float) -> None:
        """Observe the time from one task's submission to its first start."""
        histogram = self.submit_to_start.labels(
            self._team_label(team), work_class.value
        )
        histogram.observe(max(0.0, wait_ms) / 1000)

    def observe_eviction(
        self, team: str, work_class: WorkClass, loss_ms: float
    ) -> None:
        """Observe the run time that one eviction lost."""
        histogram = self.eviction_loss.labels(self._team_label(team), work_class.value)
        histogram.observe(max(0.0, loss_ms) / 1000)

    def count_refusal(self, team: str, code: str, reason: Reason) -> None:
        """Count one refused call."""
        labels = (self._team_label(team), self.results.label_for(code), reason.value)
        self.refusals.labels(*labels).inc()

    def count_decision(self, decision: Decision) -> None:
        """Count one decision."""
        action = self.actions.label_for(decision.action)
        self.decisions.labels(action, decision.reason.value).inc()

    def count_retry(self, kind: str) -> None:
        """Count one retry of a request, a store call or a worker call."""
        self.retries.labels(self.actions.label_for(kind)).inc()

    def count_store_call(self, kind: str, result: str) -> None:
        """Count one store call by its kind and result."""
        self.store_calls.labels(kind, result).inc()

    def count_worker_call(self, result: str) -> None:
        """Count one worker call by its result."""
        self.worker_calls.labels(result).inc()

    def count_epoch_change(self, kind: str) -> None:
        """Count a shard that was ``acquired`` or ``lost``."""
        self.epoch_changes.labels(kind).inc()

    def count_rejected(self, reason: str, count: int = 1) -> None:
        """Count refused peer messages."""
        self.rejected_messages.labels(self.results.label_for(reason)).inc(count)

    def count_client_limit(self, limit: str, count: int) -> None:
        """Count clients that were refused or shed because of a limit."""
        self.client_limits.labels(self.results.label_for(limit)).inc(count)

    def count_failed_event(self, kind: str) -> None:
        """Count an event whose handling raised an error."""
        self.failed_events.labels(self.actions.label_for(kind)).inc()

    def count_config_change(self, result: str) -> None:
        """Count an operator's change by its outcome."""
        self.config_changes.labels(self.results.label_for(result)).inc()

    def set_source(self, gauge: Gauge, read: Callable[[], float]) -> None:
        """Set the function that returns a gauge's value when it is collected."""
        gauge.set_function(read)
