"""Reconstructs the timeline of one job, and the causes of its outcome, from logs."""

import json
from collections.abc import Iterable

from attrs import define, frozen

CONTEXT_MARGIN_MS = 2_000  # context events are shown this long before and after the job
CONTEXT_EVENTS = frozenset(
    (
        "started",
        "stopped",
        "stop_requested",
        "store_lost",
        "store_regained",
        "ownership_claimed",
        "ownership_lost",
        "ownership_released",
        "config_changed",
        "zones_out",
        "worker_restarted",
        "worker_unlisted",
        "worker_draining",
        "lines_left_out",
    )
)
LATE_FIRST_START_MS = 500  # a first start that waited longer is given as a cause


@frozen
class TraceLine:
    """One line of a job's timeline."""

    utc_ms: int
    daemon: str
    text: str
    own: bool  # about the job itself, not a context event


@define
class Trace:
    """The timeline of one job, and the causes of its outcome.

    ``causes`` is empty if the job was done in time and nothing unusual happened.
    """

    job_id: str
    lines: list[TraceLine]
    causes: list[str]

    def text(self) -> str:
        """Return the causes and the timeline, with times since the job's first line."""
        if not any(line.own for line in self.lines):
            return f"{self.job_id}: nothing in these logs"
        first_ms = next(line.utc_ms for line in self.lines if line.own)
        rows = [
            f"{line.utc_ms - first_ms:+8d} ms  {line.daemon:18s}"
            f"{'  ' if line.own else '| '}{line.text}"
            for line in self.lines
        ]
        causes = self.causes or ["nothing unusual"]
        return "\n".join([f"{self.job_id}: {'; '.join(causes)}", *rows])


def read_lines(files: Iterable[Iterable[str]]) -> list[dict]:
    """Return the log events of several log files, in order of time.

    Text before a line's JSON object, such as a log collector's prefix, is skipped, and
    so are lines without an event.
    """
    rows = []
    for line in (line for file in files for line in file):
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            row = json.loads(line[begin:])
        except ValueError:
            continue
        if isinstance(row, dict) and "event" in row and "utc_ms" in row:
            rows.append(row)
    return sorted(rows, key=lambda row: row["utc_ms"])


def trace_job(rows: list[dict], job_id: str) -> Trace:
    """Return a job's timeline with its context events, and the causes of its outcome.

    Context events are those of daemons and workers, shortly before the job to after it.
    """
    own = [row for row in rows if is_about(row, job_id)]
    if not own:
        return Trace(job_id, [], [])
    first_ms = own[0]["utc_ms"] - CONTEXT_MARGIN_MS
    last_ms = own[-1]["utc_ms"] + CONTEXT_MARGIN_MS
    context = [
        row
        for row in rows
        if row["event"] in CONTEXT_EVENTS and first_ms <= row["utc_ms"] <= last_ms
    ]
    chosen = sorted(own + context, key=lambda row: row["utc_ms"])
    lines = [
        TraceLine(row["utc_ms"], row.get("daemon", ""), describe(row), row in own)
        for row in chosen
    ]
    return Trace(job_id, lines, find_causes(own, context))


def is_about(row: dict, job_id: str) -> bool:
    """Return whether a log event is about a job."""
    return (
        row.get("job") == job_id
        or str(row.get("task", "")).startswith(f"{job_id}.")
        or job_id in str(row.get("path", ""))
    )


def describe(row: dict) -> str:
    """Return an event's name, its fields, and below them the job's trail of events.

    The time and the daemon are left out, as they have columns of their own.
    """
    omitted = ("utc_ms", "daemon", "event", "trail")
    fields = " ".join(f"{k}={v}" for k, v in row.items() if k not in omitted)
    trail = "".join(f"\n{'':32s}  {item}" for item in row.get("trail", ()))
    return f"{row['event']} {fields}{trail}"


def find_causes(own: list[dict], context: list[dict]) -> list[str]:
    """Return the causes of a job's refusals, lateness, failure or repeated runs."""
    causes = []
    refused = [row for row in own if row["event"] == "request_refused"]
    if refused:
        lost = any(row["event"] == "store_lost" for row in context)
        why = "the store was down" if lost else refused[-1].get("error") or "no answer"
        causes.append(
            f"refused {len(refused)} times with {refused[-1]['status']}: {why}"
        )
    final = next((row for row in own if row["event"] == "job_final"), None)
    if final is None:
        causes.append("no final state in these logs")
    elif final["state"] != "done":
        causes.append(f"{final['state']}: {final['reason']}")
    elif final["objective_ms"] and final["took_ms"] > final["objective_ms"]:
        causes.append(f"late: {final['took_ms']} ms of {final['objective_ms']} ms")
    trail = list(final.get("trail", ())) if final else []
    started = next((row for row in own if row["event"] == "job_begun"), None)
    if started and started["waited_ms"] > LATE_FIRST_START_MS:
        causes.append(f"waited {started['waited_ms']} ms for free capacity")
    counted = {
        "ended failed": "runs that failed",
        " failed ": "runs that failed",
        "harms a serving task": "runs moved away from serving tasks",
        "lease is over": "runs lost with their worker",
        "worker restarted": "runs lost with their worker",
        "start_failed": "starts that failed",
        "no progress": "runs without progress",
        "worker is draining": "runs moved off a draining worker",
    }
    texts = trail or [describe(row) for row in own]
    for label in dict.fromkeys(counted.values()):
        patterns = [pattern for pattern, name in counted.items() if name == label]
        number = sum(any(pattern in text for pattern in patterns) for text in texts)
        if number:
            causes.append(f"{number} {label}")
    takeovers = sum(row["event"] == "ownership_claimed" for row in context)
    if takeovers:
        causes.append(f"{takeovers} takeovers of ownership meanwhile")
    return causes
