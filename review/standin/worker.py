"""A stand-in of a worker, as the part "Running tasks" of ``PROTOCOL.md`` describes it.

A job's ``spec`` tells the worker what its tasks do: a JSON object with ``ms`` (run
time) and ``fail`` (numbers of the runs that end ``failed``).
"""

import asyncio
import contextlib
import json
import time

from review.standin.http import Server

TICK_S = 0.01
STOP_S = 0.05  # below every stopMs of the pages


class Worker:
    """One worker through all its lives; ``record`` gets a line for each event."""

    def __init__(self, worker_id, store, record, **options):
        """Create a worker that isn't started."""
        self.worker_id = worker_id
        self.store = store
        self.record = record
        self.service = options.get("service", "svc")
        self.zone = options.get("zone", "z1")
        self.capacity = options.get("capacity", {"cpu": 64_000, "memMb": 250_000})
        self.labels = options.get("labels", ["a", "r1"])
        self.hold_max_ms = options.get("hold_max_ms", 10_000)
        self.on_start = None  # awaited with (worker, task, run) before a start
        self.cut = False  # the network loses everything to and from it; it runs on
        self.dark = False  # it has no power: nothing runs, nothing is answered
        self.server = Server(self._handle)
        self.up = False
        self.ticker = None

    async def start(self):
        """Begin a life: nothing is known of the one before."""
        self.born = int(time.time() * 1000)
        self.began_s = time.monotonic()
        self.fence = 0
        self.lease_ms = 0
        self.running = {}
        self.ended = []
        self.last_number = 0
        self.highest_ended = {}
        self.ended_event = asyncio.Event()
        self.up = True
        if self.dark:  # it listens again before it resets what it doesn't know
            self.dark = False
            self.server.drop_silent()
        else:
            await self.server.start()
        self.record("worker_up", worker=self.worker_id, born=self.born)
        self.list("ready")
        if self.ticker is None:
            self.ticker = asyncio.ensure_future(self._tick())

    def list(self, state):
        """Write this worker's entry into the store."""
        self.store.put(
            f"servers/{self.worker_id}",
            {
                "service": self.service,
                "addr": self.server.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": state,
                "coldLeftMs": 0,
                "sequence": 1,
                "born": self.born,
                "capacity": self.capacity,
                "labels": self.labels,
            },
        )

    def crash(self, dark=False):
        """End this life; everything that ran here is gone.

        Without power its connections are reset only when it is back.
        """
        if not self.up:
            return
        self.up = False
        self.dark = dark
        self.record(
            "worker_crashed",
            worker=self.worker_id,
            running=[f"{task} run {run}" for task, run in self.running],
        )
        self.running = {}
        if not dark:
            self.server.stop()

    def close(self):
        """Stop for good."""
        self.up = False
        self.server.stop()
        if self.ticker is not None:
            self.ticker.cancel()

    @property
    def clock_ms(self):
        """The worker's own steady clock."""
        return int((time.monotonic() - self.began_s) * 1000)

    # --- runs -------------------------------------------------------------------------

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            if not self.up:
                continue
            now_s = time.monotonic()
            if self.running and self.clock_ms >= self.lease_ms:
                for key in list(self.running):
                    self._end(key, "lapsed")
            for key, run in list(self.running.items()):
                if run["stop_s"] and now_s >= run["stop_s"]:
                    self._end(key, "stopped")
                elif now_s >= run["end_s"]:
                    self._end(key, "failed" if run["fails"] else "done")

    def _end(self, key, how):
        del self.running[key]
        task, run = key
        self.last_number += 1
        self.ended.append([self.last_number, task, run, how, ""])
        self.highest_ended[task] = max(run, self.highest_ended.get(task, 0))
        self.record("ended", worker=self.worker_id, task=task, run=run, how=how)
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    def _extend(self, until_ms):
        limit_ms = self.clock_ms + self.hold_max_ms
        self.lease_ms = max(self.lease_ms, min(until_ms, limit_ms))

    # --- calls ------------------------------------------------------------------------

    async def _handle(self, method, path, headers, body):
        if self.cut or self.dark:
            await asyncio.sleep(3_600)
        expected = headers.get("x-poplarlb-expect-instance", self.worker_id)
        if expected != self.worker_id:
            return 421, {}
        row = json.loads(body)
        if path == "/v1/run-start" and self.on_start is not None:
            await self.on_start(self, row["task"], row["run"])
            if self.dark:
                await asyncio.sleep(3_600)
        fence = row.get("fence", 0)
        if fence < self.fence:
            return self._refuse("fence")
        self.fence = fence
        match path:
            case "/v1/run-start":
                result = self._start(row)
            case "/v1/run-stop":
                result = self._stop(row)
            case "/v1/hold":
                result = await self._hold(row)
            case _:
                result = 200, {"clockMs": self.clock_ms}
        if self.cut or self.dark:
            await asyncio.sleep(3_600)
        return result

    def _refuse(self, reason):
        return 409, {"clockMs": self.clock_ms, "reason": reason}

    def _start(self, row):
        key = row["task"], row["run"]
        if key in self.running:
            self._extend(row["untilMs"])
            return 200, {"clockMs": self.clock_ms}
        if row["run"] <= self.highest_ended.get(row["task"], 0):
            self._extend(row["untilMs"])
            return self._refuse("old")
        if row["untilMs"] <= self.clock_ms:
            return self._refuse("late")
        self._extend(row["untilMs"])
        spec = json.loads(row["spec"])
        now_s = time.monotonic()
        self.running[key] = {
            "begin_s": now_s,
            "end_s": now_s + spec["ms"] / 1000,
            "ms": spec["ms"],
            "fails": row["run"] in spec.get("fail", ()),
            "stop_s": 0.0,
        }
        self.record(
            "started",
            worker=self.worker_id,
            task=row["task"],
            run=row["run"],
            fence=row["fence"],
            lease_left_ms=self.lease_ms - self.clock_ms,
        )
        return 200, {"clockMs": self.clock_ms}

    def _stop(self, row):
        key = row["task"], row["run"]
        if key in self.running:
            run = self.running[key]
            run["stop_s"] = run["stop_s"] or time.monotonic() + STOP_S
        else:
            known = self.highest_ended.get(row["task"], 0)
            self.highest_ended[row["task"]] = max(known, row["run"])
        return 200, {"clockMs": self.clock_ms}

    async def _hold(self, row):
        if "untilMs" in row:
            self._extend(row["untilMs"])
        seen = row.get("lastSeen", 0)
        if any(end[0] <= seen for end in self.ended):
            noted = [f"{end[1]} run {end[2]}" for end in self.ended if end[0] <= seen]
            self.record("noted", worker=self.worker_id, ends=noted)
        self.ended = [end for end in self.ended if end[0] > seen]
        until_s = time.monotonic() + row.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < until_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(until_s - time.monotonic()):
                    await self.ended_event.wait()
        now_s = time.monotonic()
        running = [
            [
                task,
                number,
                "",
                int(100 * min((now_s - run["begin_s"]) * 1000 / run["ms"], 0.99)),
                0,
            ]
            for (task, number), run in self.running.items()
        ]
        return 200, {
            "clockMs": self.clock_ms,
            "born": self.born,
            "running": running,
            "ended": self.ended[:500],
        }
