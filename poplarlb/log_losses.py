"""Sums up from logs what late and failed jobs lost their time to."""

from collections import Counter, defaultdict

from attrs import Factory, define

LATE_FACTOR = 3  # a job that takes this many times its objective has no value any more


@define
class QueueLosses:
    """The ended jobs of one queue.

    ``late`` jobs took longer than their objective, ``worthless`` ones longer than
    ``LATE_FACTOR`` times it. ``late_ms`` is the time that the late ones spent beyond
    their objectives, divided by cause.
    """

    jobs: int = 0
    late: int = 0
    worthless: int = 0
    failed: int = 0
    refused: int = 0
    late_ms: Counter[str] = Factory(Counter)

    def add_late(self, took_ms: int, objective_ms: int, delays_ms: dict) -> None:
        """Add a job that took longer than its objective.

        Its time beyond the objective is divided in proportion to its delays.
        """
        self.late += 1
        self.worthless += took_ms > LATE_FACTOR * objective_ms
        delays = {k: ms for k, ms in delays_ms.items() if k != "expected"}
        total_ms = sum(delays.values())
        beyond_ms = took_ms - objective_ms
        if not total_ms:
            self.late_ms["unknown"] += beyond_ms
            return
        for cause, ms in delays.items():
            self.late_ms[cause] += beyond_ms * ms / total_ms


@define
class ServingLosses:
    """How often serving runs were listed, and how often over their target."""

    listed: int = 0
    over_target: int = 0


def sum_losses(rows: list[dict]) -> tuple[dict[str, QueueLosses], ServingLosses]:
    """Return the losses of each queue and of the serving runs from log events."""
    queues: dict[str, QueueLosses] = defaultdict(QueueLosses)
    serving = ServingLosses()
    ended = set()
    for row in rows:
        match row["event"]:
            case "job_final" if row["job"] not in ended:
                ended.add(row["job"])
                _add_job(queues[row["queue"]], row)
            case "job_not_accepted":
                queues[row.get("queue", "")].refused += 1
            case "load":
                serving.listed += row.get("serving_runs", 0)
                serving.over_target += row.get("over_target_runs", 0)
    return dict(queues), serving


def _add_job(queue: QueueLosses, row: dict) -> None:
    queue.jobs += 1
    queue.failed += row["state"] == "failed"
    objective_ms = row["objective_ms"]
    if row["state"] == "done" and 0 < objective_ms < row["took_ms"]:
        queue.add_late(row["took_ms"], objective_ms, row.get("delays_ms", {}))


def losses_text(queues: dict[str, QueueLosses], serving: ServingLosses) -> str:
    """Return the losses as text, the queue that lost most time first."""
    lines = []
    for name, queue in sorted(
        queues.items(), key=lambda item: -item[1].late_ms.total()
    ):
        lines.append(
            f"{name}: {queue.jobs} jobs ended, {queue.late} late, of these "
            f"{queue.worthless} over {LATE_FACTOR} times their objective; "
            f"{queue.failed} failed, {queue.refused} refused"
        )
        total_ms = queue.late_ms.total()
        lines += [
            f"  {ms / 1000:8.1f} s  {ms / total_ms:4.0%}  {cause}"
            for cause, ms in queue.late_ms.most_common()
        ]
    if serving.listed:
        share = serving.over_target / serving.listed
        lines.append(f"serving runs over their target: {share:.1%} of the listed ones")
    return "\n".join(lines) or "no ended jobs in these logs"
