"""Structured logs: one JSON line for each decision, on standard output.

Writing never blocks. Each kind of event has a budget of lines; what goes beyond it is
counted and told in one ``lines_left_out`` line. ``loguru`` serves the product's own
daemon; it writes synchronously, which a pipe that nobody reads would block.
"""

import os
from collections import Counter, deque
from collections.abc import Callable

import orjson
from attrs import Factory, define, field

BUFFER_LINES = 2_000  # about 400 KB; further lines are dropped and counted
LINES_PER_S = 5.0  # for each kind of event, in the long run
BURST_LINES = 300  # for each kind of event
SUMMARY_PERIOD_MS = 1_000
WRITE_LINES = 200  # joined into one write
# Changes of state and failures are rare and always written.
ROUTINE_EVENTS = frozenset(
    (
        "job_accepted",
        "job_taken_in",
        "job_final",
        "task_placed",
        "run_ended",
        "run_paced",
        "run_stopped",
        "task_waits",
        "start_failed",
        "request_refused",
        "request_unsettled",
        "stray_run",
        "worker_paused",
    )
)


@define
class LineBudget:
    """A token bucket for one kind of event."""

    tokens: float = BURST_LINES
    at_ms: int = 0

    def take(self, now_ms: int) -> bool:
        """Tell whether a line may be written."""
        grown = (now_ms - self.at_ms) * LINES_PER_S / 1000
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
    budgets: dict[str, LineBudget] = Factory(dict)
    left_out: Counter = field(factory=Counter)
    next_summary_ms: int = 0
    rest: bytes = b""

    def write(self, event: str, **fields) -> None:
        """Log one event."""
        now_ms, utc_ms = self.clock()
        if event in ROUTINE_EVENTS:
            budget = self.budgets.setdefault(event, LineBudget(at_ms=now_ms))
            if not budget.take(now_ms):
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
