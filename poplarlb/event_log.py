"""Structured logs of the daemon in ``poplarlb.platform``: a JSON line per event.

Lines go to standard output. Writing never blocks. Successes, failures, and clients that
exceed a limit have a budget of lines each, kept as a token bucket. Lines beyond it are
dropped and counted, and one ``lines_left_out`` line reports the counts. Changes of
state have no budget; they are always written unless the buffer is full. ``loguru``,
which ``poplarlbd`` uses, is not used here: it writes synchronously, so a pipe that
nobody reads would block the daemon.
"""

import os
from collections import Counter, deque
from collections.abc import Callable

import orjson
from attrs import define, field

from poplarlb.job_metrics import JobMetrics

BUFFER_LINES = 2_000  # about 400 KB; further lines are dropped and counted
BURST_LINES = 400  # capacity of each token bucket
ROUTINE_LINES_PER_S = 10.0  # long-run rate; operators limit a daemon to 20 in all
FAILURE_LINES_PER_S = 6.0
CLIENT_LINES_PER_S = 2.0
SUMMARY_PERIOD_MS = 2_000
MAX_REPR_CHARACTERS = 1_000  # of fields that JSON can't hold, or a line has no room for
MAX_LINE_BYTES = 64 * 1024  # of a line; some fields are texts that others wrote
WRITE_LINES = 200  # at most so many are joined into one write
# Events of successes. ``job_final`` holds the trail of a job that fails or is late.
ROUTINE_EVENTS = frozenset(
    (
        "job_accepted",
        "job_taken_in",
        "job_begun",
        "queue_unknown",
        "task_placed",
        "run_ended",
        "run_paced",
        "run_stopped",
        "task_waits",
        "worker_held",
    )
)
# Events of failures have their own token bucket, which successes can't empty.
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
        "worker_lost",
        "crash_counted",
        "answer_unreadable",
        "change_missed",
        "entry_unusable",
        "refresh_unanswered",
        "watch_failed",
        "renewal_failed",
    )
)
# Events of clients that exceed a limit, of which there can be any number.
CLIENT_EVENTS = frozenset(("client_limit_exceeded", "clients_shed"))


@define
class LineBudget:
    """A token bucket of log lines; ``at_ms`` is when tokens were last added."""

    lines_per_s: float
    tokens: float = BURST_LINES
    at_ms: int = 0

    def try_take(self, now_ms: int) -> bool:
        """Take a token for one line; return whether there was one."""
        added = (now_ms - self.at_ms) * self.lines_per_s / 1000
        self.tokens = min(BURST_LINES, self.tokens + added)
        self.at_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@define
class EventLog:
    """Buffers log lines and writes those that the output accepts without blocking.

    :param clock: returns the monotonic time and the UTC time, both in ms.
    :param descriptor: the file descriptor of the output, set to non-blocking mode.
    :ivar routine: the budget of lines about successes.
    :ivar failures: the budget of lines about failures.
    :ivar clients: the budget of lines about clients that exceed a limit.
    :ivar dropped: the number of lines dropped since the last summary, by event.
    :ivar partial_chunk: the part of a chunk of lines that is still to be written.
    """

    daemon_id: str
    clock: Callable[[], tuple[int, int]]
    descriptor: int = 1
    lines: deque = field(factory=deque)
    routine: LineBudget = field(factory=lambda: LineBudget(ROUTINE_LINES_PER_S))
    failures: LineBudget = field(factory=lambda: LineBudget(FAILURE_LINES_PER_S))
    clients: LineBudget = field(factory=lambda: LineBudget(CLIENT_LINES_PER_S))
    metrics: JobMetrics = field(factory=JobMetrics)
    dropped: Counter = field(factory=Counter)
    next_summary_ms: int = 0
    partial_chunk: bytes = b""

    def write(self, event: str, **fields) -> None:
        """Count an event in the metrics, and buffer its line or drop it."""
        now_ms, utc_ms = self.clock()
        self.metrics.count(event, fields)
        budget = None
        if event in ROUTINE_EVENTS:
            budget = self.routine
        elif event in FAILURE_EVENTS:
            budget = self.failures
        elif event in CLIENT_EVENTS:
            budget = self.clients
        if budget is not None and not budget.try_take(now_ms):
            self.dropped[event] += 1
            return
        if len(self.lines) >= BUFFER_LINES:
            self.dropped[event] += 1
            return
        row = {"utc_ms": utc_ms, "daemon": self.daemon_id, "event": event}
        try:
            line = orjson.dumps(row | fields, default=str)
        except orjson.JSONEncodeError as error:
            text = repr(fields)[:MAX_REPR_CHARACTERS]
            line = orjson.dumps(row | {"not_encoded": str(error), "fields": text})
        if len(line) > MAX_LINE_BYTES:
            text = line[:MAX_REPR_CHARACTERS].decode("utf-8", "replace")
            line = orjson.dumps(row | {"too_long": len(line), "fields": text})
        self.lines.append(line)

    def flush(self) -> None:
        """Write buffered lines until the output would block."""
        now_ms, _ = self.clock()
        if self.dropped and now_ms >= self.next_summary_ms:
            self.next_summary_ms = now_ms + SUMMARY_PERIOD_MS
            counts, self.dropped = dict(self.dropped), Counter()
            self.write("lines_left_out", counts=counts)
        while self.partial_chunk or self.lines:
            if not self.partial_chunk:
                count = min(len(self.lines), WRITE_LINES)
                chunk = (self.lines.popleft() for _ in range(count))
                self.partial_chunk = b"\n".join(chunk) + b"\n"
            try:
                written = os.write(self.descriptor, self.partial_chunk)
            except BlockingIOError:
                return
            except OSError:
                # The output is gone and nobody can be told, so it is only counted.
                self.dropped["output_gone"] += 1
                self.partial_chunk = b""
                return
            self.partial_chunk = self.partial_chunk[written:]
