"""Stand-ins of the workers, each at its own address."""

import asyncio
import json
import time
from collections.abc import Callable

from bed3.http import Server
from bed3.store import Store

HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3  # then the entry of a worker is removed
STEP_S = 0.02
ENDS_LISTED = 500
STARTUP_MS = 320  # until a task that lasts is at work


class Run:
    """One run of a task at a worker."""

    def __init__(
        self, task: str, number: int, work_ms: float | None, saved: str
    ) -> None:
        """Create a run that has done none of its work; None: of a task that lasts."""
        self.task = task
        self.number = number
        self.work_ms = work_ms
        self.done_ms = 0.0
        self.saved = saved

    @property
    def percent(self) -> int:
        """The share of its work that is done."""
        if self.work_ms is None:
            return min(int(100 * self.done_ms / STARTUP_MS), 100)
        return min(int(100 * self.done_ms / self.work_ms), 99)


class Worker:
    """A worker that starts, runs, lists and stops tasks as the platform's pages say.

    ``work_ms`` gives the work of a task by its name, and None for one that lasts.
    ``note`` records what begins and what ends here. A worker that is ``up`` answers
    calls; one that is ``dark`` doesn't, and its connections stay open without a word.
    """

    def __init__(
        self,
        name: str,
        address: str,
        store: Store,
        note: Callable[..., None],
        work_ms: Callable[[str], float | None],
        *,
        service: str,
        zone: str,
        labels: tuple[str, ...],
        cpu: int,
        hold_max_ms: int,
    ) -> None:
        """Create a worker that isn't up yet."""
        self.name, self.address, self.store = name, address, store
        self.note, self.work_ms = note, work_ms
        self.service, self.zone, self.labels, self.cpu = service, zone, labels, cpu
        self.hold_max_ms = hold_max_ms
        self.up = False
        self.dark = False
        self.born = 0
        self.server: Server | None = None
        self.life: asyncio.Task | None = None
        self.unlisting: asyncio.Task | None = None
        self.reset()

    def reset(self) -> None:
        """Forget what only one life of the worker knows."""
        self.began_s = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.highest: dict[str, int] = {}  # run stopped or ended, by task
        self.ended: list[list] = []
        self.next_end = 1
        self.sequence = 0
        self.has_end = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """The worker's steady clock."""
        return int((time.monotonic() - self.began_s) * 1000)

    # --- lives ------------------------------------------------------------------------

    async def start(self) -> None:
        """Begin a life: know nothing, listen, and register."""
        if self.unlisting is not None:
            self.unlisting.cancel()
        if self.server is not None:
            self.server.close()
        self.reset()
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.dark = False
        self.server = Server(self.handle)
        await self.server.start(self.address)
        self.up = True
        self.note("worker_up", worker=self.name, born=self.born)
        self.life = asyncio.ensure_future(self._live())

    def crash(self, dark: bool = False) -> None:
        """End a life without a word; all that runs is gone.

        :param dark: the machine has no power: its connections get no reset either.
        """
        for run in self.runs.values():
            self.note("lost", task=run.task, run=run.number, worker=self.name)
        self.runs.clear()
        self.up = False
        self.life.cancel()
        self.note("worker_crash", worker=self.name, born=self.born, dark=dark)
        if dark:
            self.dark = True
        else:
            self.server.close()
        self.unlisting = asyncio.ensure_future(self._unlist())

    async def _unlist(self) -> None:
        await asyncio.sleep(SILENT_HEARTBEATS * HEARTBEAT_S)
        self.store.delete(f"servers/{self.name}")

    async def _live(self) -> None:
        loop = asyncio.get_running_loop()
        next_s = last_s = loop.time()
        while True:
            now_s = loop.time()
            if now_s >= next_s:
                next_s = now_s + HEARTBEAT_S
                self._register()
            self._advance((now_s - last_s) * 1000)
            last_s = now_s
            await asyncio.sleep(STEP_S)

    def _register(self) -> None:
        self.sequence += 1
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 64_000},
                "labels": list(self.labels),
                "born": self.born,
                "sequence": self.sequence,
            },
        )

    def _advance(self, elapsed_ms: float) -> None:
        lapsed = self.runs and self.clock_ms >= self.until_ms
        for run in list(self.runs.values()):
            run.done_ms += elapsed_ms
            if lapsed:
                self._end(run, "lapsed")
            elif run.work_ms is not None and run.done_ms >= run.work_ms:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[(run.task, run.number)]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append([self.next_end, run.task, run.number, how, run.saved])
        self.next_end += 1
        self.has_end.set()
        self.note("end", task=run.task, run=run.number, worker=self.name, how=how)

    # --- calls ------------------------------------------------------------------------

    async def handle(
        self, method: str, path: str, headers: dict, body: bytes
    ) -> tuple[int, object] | None:
        """Answer one call; a dark worker answers none."""
        if not self.up:
            return None
        if headers.get("x-poplarlb-expect-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock_ms, "born": self.born}
        row = json.loads(body)
        if row.get("fence", 0) < self.fence:
            return self._answer(409, reason="fence")
        self.fence = row.get("fence", 0)
        match path:
            case "/v1/run-start":
                return self._start_run(row)
            case "/v1/run-stop":
                return self._stop_run(row)
            case "/v1/hold":
                return await self._hold(row)
            case "/v1/pace":
                return self._answer(200)
        return 404, {}

    def _answer(self, status: int, **fields) -> tuple[int, object]:
        return status, {"clockMs": self.clock_ms, "born": self.born, **fields}

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms + self.hold_max_ms)
        self.until_ms = max(self.until_ms, until_ms)

    def _start_run(self, row: dict) -> tuple[int, object]:
        key = row["task"], row["run"]
        if row["untilMs"] <= self.clock_ms:
            return self._answer(409, reason="late")
        self._extend(row["untilMs"])
        if key in self.runs:
            return self._answer(200)
        if row["run"] <= self.highest.get(row["task"], 0):
            return self._answer(409, reason="old")
        work_ms = self.work_ms(row["task"])
        self.runs[key] = Run(*key, work_ms, row.get("saved", ""))
        self.note("begin", task=key[0], run=key[1], worker=self.name, born=self.born)
        return self._answer(200)

    def _stop_run(self, row: dict) -> tuple[int, object]:
        run = self.runs.get((row["task"], row["run"]))
        if run is not None:
            self._end(run, "stopped")
        highest = max(self.highest.get(row["task"], 0), row["run"])
        self.highest[row["task"]] = highest
        return self._answer(200)

    async def _hold(self, row: dict) -> tuple[int, object] | None:
        if "lastSeen" in row:
            self.ended = [end for end in self.ended if end[0] > row["lastSeen"]]
        if "untilMs" in row:
            self._extend(row["untilMs"])
        if not self.ended and row.get("waitMs"):
            self.has_end.clear()
            try:
                async with asyncio.timeout(row["waitMs"] / 1000):
                    await self.has_end.wait()
            except TimeoutError:
                pass
            if not self.up:
                return None
        running = [
            [run.task, run.number, run.saved, run.percent, 0]
            for run in self.runs.values()
        ]
        return self._answer(200, running=running, ended=self.ended[:ENDS_LISTED])
