"""Tests of the metrics, read back with Prometheus' own parser."""

import unittest

from prometheus_client.parser import text_string_to_metric_families

from poplarlb.metrics import CODES_LIMIT, OTHER, TEAMS_LIMIT, Metrics
from poplarlb.protocol import api, ports
from poplarlb.state import changes
from poplarlb.state.models import Decision, Reason, WorkClass
from poplarlb.transport.metrics_recorder import MetricsRecorder


def samples(metrics: Metrics) -> dict:
    """Return the samples by name and sorted label values, as a scraper reads them."""
    text = metrics.render().decode()
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


class MetricsTest(unittest.TestCase):
    """Counts, and limits on label values."""

    def test_histograms_by_team_and_class(self) -> None:
        """Each observation is exported with its labels."""
        metrics = Metrics()
        metrics.set_teams({"dairy"})
        metrics.observe_request("dairy", "orders", "ok", 12.0)
        metrics.observe_queue("dairy", "orders", 3.0)
        metrics.observe_start("dairy", WorkClass.URGENT, 900)
        metrics.observe_eviction("dairy", WorkClass.PATIENT, 4_000)
        found = samples(metrics)
        latency = ("poplarlb_request_latency_seconds_sum", "dairy", "ok", "orders")
        self.assertAlmostEqual(found[latency], 0.012)
        start = ("poplarlb_task_submit_to_start_seconds_count", "dairy", "urgent")
        self.assertEqual(found[start], 1)
        loss = ("poplarlb_task_eviction_loss_seconds_sum", "dairy", "patient")
        self.assertEqual(found[loss], 4)

    def test_labels_are_bounded(self) -> None:
        """Unknown teams, and results beyond the limit, count as ``other``."""
        metrics = Metrics()
        names = {f"t{number}" for number in range(TEAMS_LIMIT + 50)}
        metrics.set_teams(names)
        for name in sorted(names):
            metrics.count_refusal(name, f"code-{name}", Reason.QUOTA_EXCEEDED)
        keys = [key for key in samples(metrics) if key[0] == "poplarlb_refusals_total"]
        labels = {label for key in keys for label in key[1:]}
        self.assertIn(OTHER, labels)
        self.assertLessEqual(len(labels), TEAMS_LIMIT + CODES_LIMIT + 2)

    def test_two_daemons_in_one_process(self) -> None:
        """Each daemon has its own registry."""
        first, second = Metrics(), Metrics()
        first.count_retry("request")
        self.assertNotIn(("poplarlb_retries_total", "request"), samples(second))

    def test_commands_are_counted(self) -> None:
        """Store calls, refusals and operators' changes are counted."""
        metrics = Metrics()
        metrics.set_teams({"dairy"})
        meter = MetricsRecorder(metrics)
        fault = api.Fault("conflict", Reason.TEMPLATE_CHANGED)
        meter.record(
            ports.ApiRequested(1, api.ApplyTemplates("c1", "asha", 0, ())),
            [ports.StoreCall(2, ports.StoreRead("config/head"))],
        )
        failed = ports.StoreReplied(2, ports.StoreFailed())
        meter.record(failed, [ports.ApiAnswer(1, fault)])
        found = samples(metrics)
        self.assertEqual(found["poplarlb_store_calls_total", "failed", "read"], 1)
        self.assertEqual(found["poplarlb_config_changes_total", "conflict"], 1)
        refusal = ("poplarlb_refusals_total", "conflict", OTHER, "template_changed")
        self.assertEqual(found[refusal], 1)

    def test_decisions_are_counted(self) -> None:
        """A committed decision counts by action and reason."""
        metrics = Metrics()
        decision = Decision("job/a/b", "place", Reason.BEST_COST, 1)
        MetricsRecorder(metrics).record_change(changes.DecisionTaken(decision))
        key = ("poplarlb_decisions_total", "best_cost", "place")
        self.assertEqual(samples(metrics)[key], 1)


if __name__ == "__main__":
    unittest.main()
