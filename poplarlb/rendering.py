"""Renders the daemons' JSON responses as text for the command line."""

import datetime
from collections.abc import Iterable

_ACTIONS = {
    "place": "placed at {worker}",
    "evict": "evicted from {worker}",
    "throttle": "throttled at {worker}",
    "end": "ended",
    "delegate": "handed to another shard",
    "refuse": "refused",
    "wait": "waits",
    "quarantine": "{worker} quarantined",
    "accept": "accepted",
}
_REASONS = {
    "best_cost": "the lowest cost of all workers considered",
    "no_capacity": "no worker has enough free capacity now",
    "fits_nowhere": "larger than the capacity of every worker",
    "quota_exceeded": "the team's quota is used up",
    "zone_out": "operators have taken the zone out of service",
    "host_leaving": "the worker is leaving",
    "host_dead": "the worker is dead",
    "worker_quarantined": "the worker fails what it starts",
    "view_stale": "the configuration could not be confirmed in time",
    "service_breach": "a service there violates its SLO target",
    "lease_expired": "the lease expired without contact with the worker",
    "start_refused": "the worker refused the start",
    "start_late": "the start came too late and was not carried out",
    "cancelled_by_caller": "its submitter cancelled it",
    "template_changed": "operators changed the template",
    "failed_everywhere": "it failed wherever it ran",
    "exited": "the task exited by itself",
    "queue_full": "the queue is full",
    "deadline": "it could not have met its deadline",
    "no_endpoint": "no endpoint of the service is running",
    "no_owner": "no daemon answers for the shard",
    "key_uncertain": "an earlier request with this key may have run",
    "key_running": "a request with this key is running",
    "rate_limited": "too many calls",
    "store_down": "the store did not answer",
    "shutting_down": "the daemon is shutting down",
    "delegated": "another shard has free capacity",
    "retry_budget_spent": "the retry budget is spent",
}


def format_timestamp(at_ms: int) -> str:
    """Return a UTC timestamp in ISO 8601 format with milliseconds."""
    if not at_ms:
        return "-"
    moment = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def columns(rows: Iterable[Iterable[object]]) -> str:
    """Return rows as text with aligned columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    if not texts:
        return ""
    widths = [max(len(cell) for cell in column) for column in zip(*texts, strict=True)]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in texts
    )
    return "\n".join(line.rstrip() for line in lines)


def reason(code: str | None) -> str:
    """Return the description of a reason's code."""
    return _REASONS.get(code or "", code or "-")


# --- decisions ------------------------------------------------------------------


def decision_line(item: dict) -> str:
    """Return one decision on a line, with its details and alternatives below."""
    action = _ACTIONS.get(item["action"], item["action"])
    description = action.format(worker=item.get("worker_id") or "a worker")
    lines = [
        f"{format_timestamp(item['at_ms'])}  {description}: {reason(item['reason'])}"
        f" [{item['reason']}]",
    ]
    if item.get("detail"):
        lines.append(f"    detail: {item['detail']}")
    lines.append(
        f"    decided by shard {item.get('shard', '-')} in epoch {item['epoch']}"
        f" under configuration version {item['view_version']}"
    )
    lines += [alternative_line(other) for other in item.get("alternatives", ())]
    return "\n".join(lines)


def alternative_line(item: dict) -> str:
    """Return the line on a worker that was considered, or ruled out, in a decision."""
    if item["reason"] == "best_cost":
        return f"    considered {item['worker_id']}: cost {item['cost']:.3f}"
    return f"    ruled out {item['worker_id']}: {reason(item['reason'])}"


def explanation(table: dict) -> str:
    """Return the explanation of a job, a request or a worker."""
    lines = [f"Explanation of {table['subject']}"]
    if table.get("task"):
        lines += ["", task_text(table["task"])]
    lines += ["", "Decisions, oldest first (UTC):"]
    lines += [decision_line(item) for item in table["decisions"]] or ["  none kept"]
    if table["silent_shards"]:
        unresponsive = ", ".join(table["silent_shards"])
        lines += ["", f"Incomplete: no answer from the owners of {unresponsive}."]
    return "\n".join(lines)


# --- jobs -----------------------------------------------------------------------
# The daemons' responses call a batch job a task.


def task_text(task: dict) -> str:
    """Return a batch job's state, attempts and outcome."""
    spec = task["spec"]
    size = spec["size"]
    lines = [
        f"{spec['key']['team']}/{spec['key']['task_id']}: {task['phase']}"
        f" ({spec['work_class']}), home shard {task['home_shard']}",
        f"  requested {size['cpu_millis']} millicores, {size['memory_mb']} MB,"
        f" {size['accelerators']} accelerators",
    ]
    if spec.get("submitted_ms"):
        lines.append(f"  submitted {format_timestamp(spec['submitted_ms'])}")
    lines += [
        f"  attempt {item['number']} at {item['worker_id'] or 'no worker yet'}"
        f" (shard {item['shard']}, epoch {item['epoch']}),"
        f" placed {format_timestamp(item['placed_ms'])}"
        for item in task["attempts"]
    ]
    if task.get("evictions"):
        lines.append(f"  evicted {task['evictions']} times")
    if task.get("outcome"):
        lines.append(f"  outcome {task['outcome']}: {reason(task['reason'])}")
    elif task.get("reason"):
        lines.append(f"  because {reason(task['reason'])}")
    if task.get("detail"):
        lines.append(f"  detail: {task['detail']}")
    return "\n".join(lines)


def task_rows(tasks: list[dict]) -> str:
    """Return a table of batch jobs."""
    rows = [
        (
            task["spec"]["key"]["task_id"],
            task["spec"]["work_class"],
            task["phase"],
            task.get("outcome") or "-",
            task["attempts"][-1]["worker_id"] if task["attempts"] else "-",
        )
        for task in tasks
    ]
    return columns([("JOB", "CLASS", "PHASE", "OUTCOME", "WORKER"), *rows])


# --- configuration and status -----------------------------------------------------


def changes_text(changes: Iterable[object]) -> str:
    """Return effective changes, one per line."""
    return "\n".join(str(change) for change in changes) or "no effective change"


def zone_rows(zones: list[dict]) -> str:
    """Return a table of zones."""
    rows = [
        (
            zone["zone"],
            zone["state"],
            format_timestamp(zone["changed_ms"]),
            zone["changed_by"] or "-",
        )
        for zone in zones
    ]
    return columns([("ZONE", "STATE", "SINCE (UTC)", "BY"), *rows])


def status_text(statuses: list[dict], unreachable: list[str]) -> str:
    """Return the combined status of several daemons.

    :param unreachable: the daemons that did not answer.
    """
    if not statuses:
        return "no daemon answered"
    newest = max(statuses, key=lambda item: item["view_version"])
    parts = [
        "DAEMONS",
        columns(
            [
                ("  member", "view", "confirmed", "store"),
                *(
                    (
                        f"  {item['member_id']}",
                        item["view_version"],
                        f"{item['view_age_ms']} ms ago",
                        "ok" if item["store_ok"] else "no contact",
                    )
                    for item in statuses
                ),
            ]
        ),
    ]
    parts += [f"  {address}: no answer" for address in unreachable]
    zones = ", ".join(f"{zone} {state}" for zone, state in newest["zones"])
    parts += ["ZONES", f"  {zones or 'none'}", "SHARDS", shard_rows(statuses)]
    return "\n".join(parts + waiting_lines(statuses))


def best_shards(statuses: list[dict]) -> list[dict]:
    """Return the status of each shard from its owner, or else from any daemon."""
    found: dict[str, dict] = {}
    for status in statuses:
        for shard in status["shards"]:
            name = shard["shard"]
            owned = shard["state"] != "elsewhere"
            if name not in found or (owned and shard["epoch"] >= found[name]["epoch"]):
                found[name] = shard
    return [found[name] for name in sorted(found)]


def shard_rows(statuses: list[dict]) -> str:
    """Return a table of the shards."""
    rows = [
        (
            f"  {shard['shard']}",
            shard["owner"] or "nobody",
            shard["epoch"],
            shard["state"],
            shard["workers"],
            shard["running"],
            " ".join(f"{name}:{count}" for name, count in shard["queued"]) or "-",
            ", ".join(shard["quarantined"]) or "-",
        )
        for shard in best_shards(statuses)
    ]
    header = (
        "  shard",
        "owner",
        "epoch",
        "state",
        "workers",
        "running",
        "queued",
        "quarantined",
    )
    return columns([header, *rows])


def waiting_lines(statuses: list[dict]) -> list[str]:
    """Return the lines on waiting tasks and their reasons."""
    waiting = [
        f"  {item['subject']}: {reason(item['reason'])}"
        for shard in best_shards(statuses)
        for item in shard["waiting"]
    ]
    return ["WAITING", *(waiting or ["  nothing"])]
