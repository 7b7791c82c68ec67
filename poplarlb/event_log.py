"""Structured logs: one JSON line for each decision, on standard output.

Writing never blocks. Successes and failures have a budget of lines each; what goes
beyond it is counted and told in one ``lines_left_out`` line. Changes of state are
always written. ``loguru`` serves the product's own
daemon; it writes synchronously, which a pipe that nobody reads would block.
"""

import os
from collections import Counter, deque
from collections.abc import Callable

import orjson
from attrs import define, field

from poplarlb.job_metrics import JobMetrics

BUFFER_LINES = 2_000  # about 400 KB; further lines are dropped and counted
BURST_LINES = 400  # of each budget
ROUTINE_LINES_PER_S = 10.0  # in the long run; operators bound a daemon to 20 in all
FAILURE_LINES_PER_S = 6.0
SUMMARY_PERIOD_MS = 2_000
WRITE_LINES = 200  # joined into one write
# Lines of successes; a job that fails or is late tells its whole trail at its end.
ROUTINE_EVENTS = frozenset(
    (
        "job_accepted",
        "job_taken_in",
        "job_begun",
        "task_placed",
        "run_ended",
        "run_paced",
        "run_stopped",
        "task_waits",
    )
)
# Lines of failures have a budget of their own, which successes can't use up.
FAILURE_EVENTS = frozenset(
    (
        "job_final",
        "job_not_accepted",
        "start_failed",
        "request_refused",
        "read_repeated",
        "waiting_recounted",
        "stray_run",
        "worker_paused",
        "watch_failed",
        "renewal_failed",
    )
)


@define
class LineBudget:
    """A token bucket for one kind of event."""

    lines_per_s: float
    tokens: float = BURST_LINES
    at_ms: int = 0

    def take(self, now_ms: int) -> bool:
        """Tell whether a line may be written."""
        grown = (now_ms - self.at_ms) * self.lines_per_s / 1000
        self.tokens = min(BURST_LINES, self.tokens + grown)
        self.at_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@define
class EventLog:
    """Buffers lines and writes them when the output takes them.

    :param clock: returns the steady time and the time of day, both in ms.
    """

    daemon_id: str
    clock: Callable[[], tuple[int, int]]
    descriptor: int = 1
    lines: deque = field(factory=deque)
    routine: LineBudget = field(factory=lambda: LineBudget(ROUTINE_LINES_PER_S))
    failures: LineBudget = field(factory=lambda: LineBudget(FAILURE_LINES_PER_S))
    metrics: JobMetrics = field(factory=JobMetrics)
    left_out: Counter = field(factory=Counter)
    next_summary_ms: int = 0
    rest: bytes = b""

    def write(self, event: str, **fields) -> None:
        """Log one event."""
        now_ms, utc_ms = self.clock()
        self.metrics.count(event, fields)
        budget = None
        if event in ROUTINE_EVENTS:
            budget = self.routine
        elif event in FAILURE_EVENTS:
            budget = self.failures
        if budget is not None and not budget.take(now_ms):
            self.left_out[event] += 1
            return
        if len(self.lines) >= BUFFER_LINES:
            self.left_out[event] += 1
            return
        row = {"utc_ms": utc_ms, "daemon": self.daemon_id, "event": event, **fields}
        self.lines.append(orjson.dumps(row, default=str))

    def flush(self) -> None:
        """Write what the output takes without waiting."""
        now_ms, _ = self.clock()
        if self.left_out and now_ms >= self.next_summary_ms:
            self.next_summary_ms = now_ms + SUMMARY_PERIOD_MS
            counts, self.left_out = dict(self.left_out), Counter()
            self.write("lines_left_out", counts=counts)
        while self.rest or self.lines:
            if not self.rest:
                count = min(len(self.lines), WRITE_LINES)
                chunk = (self.lines.popleft() for _ in range(count))
                self.rest = b"\n".join(chunk) + b"\n"
            try:
                written = os.write(self.descriptor, self.rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can be told that the output is gone; the lines are counted.
                self.left_out["output_gone"] += 1
                self.rest = b""
                return
            self.rest = self.rest[written:]
