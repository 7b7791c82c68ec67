"""Tests of the structured log: its rate is limited and it never blocks."""

import json
import os
import unittest

from poplarlb.event_log import BUFFER_LINES, BURST_LINES, EventLog


class EventLogTest(unittest.TestCase):
    """A log that writes to a pipe, with a manual clock."""

    def setUp(self) -> None:
        """Open a non-blocking pipe."""
        self.now_ms = 0
        self.reader, writer = os.pipe()
        os.set_blocking(writer, False)
        os.set_blocking(self.reader, False)
        self.log = EventLog("d1", lambda: (self.now_ms, self.now_ms), writer)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)

    def read(self) -> list[dict]:
        """Flush the log and return the lines that it wrote."""
        self.log.flush()
        try:
            data = os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in data.splitlines()]

    def test_line_has_its_fields(self) -> None:
        """A line is a JSON object with the daemon, the event and its fields."""
        self.log.write("started", zone="kochi")
        (line,) = self.read()
        self.assertEqual((line["event"], line["zone"]), ("started", "kochi"))
        self.assertEqual(line["daemon"], "d1")

    # Guards against a job whose log line ends the ownership: the objective of one with
    # huge estimates has more than 64 bits.
    def test_fields_that_json_cannot_hold(self) -> None:
        """The line is written, with the fields as a text."""
        self.log.write("worker_lost", objective_ms=2**64)
        self.log.write("load", jobs={1: 2})
        first, second = self.read()
        self.assertIn(str(2**64), first["fields"])
        self.assertEqual(second["event"], "load")

    def test_routine_lines_are_limited_and_counted(self) -> None:
        """Lines over the limit are dropped, and their number is logged."""
        for _ in range(BURST_LINES + 50):
            self.log.write("task_placed", task="t")
        self.log.write("config_changed", version=4)
        lines = self.read()
        self.assertEqual(lines[-1]["counts"], {"task_placed": 50})
        self.assertIn("config_changed", {line["event"] for line in lines})

    def test_failures_are_limited_apart_from_successes(self) -> None:
        """A failure is written although successes have used up their tokens."""
        for _ in range(BURST_LINES + 50):
            self.log.write("task_placed", task="t")
        self.log.write("start_failed", task="t", outcome="unanswered")
        self.assertIn("start_failed", {line["event"] for line in self.read()})

    def test_long_run_stays_under_twenty_lines_a_second(self) -> None:
        """Under continuous load the log stays within its long-run rate."""
        written = 0
        for second in range(300):
            self.now_ms = 1_000 * second
            for _ in range(200):
                self.log.write("task_placed", task="t")
                self.log.write("start_failed", task="t", outcome="unanswered")
            written += len(self.read())
        self.assertLess((written - 2 * BURST_LINES) / 300, 20)

    # Guards against a line as long as a text in another writer's entry, its zone say.
    def test_clients_over_a_limit_have_their_own_budget(self) -> None:
        """Any number of them hides no failure, and each one is counted."""
        for _ in range(BURST_LINES + 10):
            self.log.write("client_limit_exceeded", limit="body_bytes")
        self.log.write("clients_shed", limit="memory_bytes", count=3)
        self.log.write("start_failed", outcome="late")
        events = [line["event"] for line in self.read()]
        self.assertEqual(events.count("client_limit_exceeded"), BURST_LINES)
        self.assertIn("start_failed", events)
        text = self.log.metrics.text().decode()
        for limit, count in (("body_bytes", BURST_LINES + 10), ("memory_bytes", 3)):
            line = f'poplarlb_client_limits_total{{limit="{limit}"}} {count}.0'
            self.assertIn(line, text)

    def test_line_is_bounded(self) -> None:
        """Of fields that are too long the line has the beginning."""
        self.log.write("worker_listed", worker="w0", zone="é" * 500_000)
        self.assertLess(len(self.log.lines[0]), 8_000)
        (line,) = self.read()
        self.assertEqual(line["event"], "worker_listed")
        self.assertGreater(line["too_long"], 500_000)
        self.assertIn('"worker":"w0"', line["fields"])

    def test_unread_pipe_does_not_block(self) -> None:
        """Lines that can't be written are dropped and counted, without blocking."""
        for _ in range(3 * BUFFER_LINES):
            self.log.write("config_changed", detail="x" * 200)
            self.log.flush()
        self.assertLessEqual(len(self.log.lines), BUFFER_LINES + 1)
        self.assertGreater(self.log.dropped["config_changed"], 0)


if __name__ == "__main__":
    unittest.main()
