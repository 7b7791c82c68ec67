"""Workers: they run tasks under leases and epochs, and list their runs and ends."""

import asyncio
import itertools
import time
from collections.abc import Callable

from bed.http import Answer, Server, free_address
from bed.store import Store

HEARTBEAT_S = 1.5
TICK_S = 0.02
GANG_WAIT_S = 3.0  # then a member ends as alone
HELD_S = 2.0  # the longest wait for an end
ENDS_PER_ANSWER = 500


class Run:
    """One run of a task at a worker; ``members`` is the gang's size, 0 for none."""

    def __init__(self, task: str, number: int, saved: str, work_s: float) -> None:
        """Create a run that begins now."""
        self.task = task
        self.number = number
        self.saved = saved
        self.work_s = work_s
        self.done_s = 0.0
        self.waited_s = 0.0
        self.worked = False
        self.lasting = False  # then its percent is 100 while it is at work
        self.members = 0
        self.stop_at_s: float | None = None

    @property
    def percent(self) -> int:
        """Return the part of the work that is done, in whole percents."""
        if self.lasting:
            return 100 if self.worked else 0
        return min(int(100 * self.done_s / self.work_s), 100)


class Worker:
    """One worker; ``start`` begins an incarnation and ``crash`` ends it."""

    def __init__(self, fleet: "Fleet", name: str, labels: list[str]) -> None:
        """Create a worker that isn't running."""
        self.fleet = fleet
        self.name = name
        self.labels = labels
        self.address = free_address()
        self.server = Server(self.address, self.handle)
        self.capacity = dict(fleet.capacity)
        self.time_ahead_ms = 0  # of its time of day, while that has jumped
        self.alive = False
        self.entry_task: asyncio.Task | None = None
        self.reset()

    def reset(self) -> None:
        """Forget all, as a process does that starts."""
        self.born = int(time.time() * 1000) + self.time_ahead_ms
        self.began_s = time.monotonic()
        self.fence = 0
        self.lease_end_ms = 0.0
        self.runs: dict[tuple[str, int], Run] = {}
        self.ends: list[list] = []
        self.numbers = itertools.count(1)
        self.highest: dict[str, int] = {}
        self.sequence = itertools.count(1)

    @property
    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return int((time.monotonic() - self.began_s) * 1000) + 1000

    async def start(self) -> None:
        """Begin an incarnation, and register in the store at once."""
        self.reset()
        self.alive = True
        self.server = Server(self.address, self.handle)
        self.write_entry()
        await self.server.start()
        self.entry_task = asyncio.ensure_future(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    def write_entry(self) -> None:
        """Write the worker's report about itself into the store."""
        entry = {
            "service": self.fleet.service,
            "addr": self.address,
            "zone": self.fleet.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clockMs": self.clock_ms,
            "sequence": next(self.sequence),
            "born": self.born,
        }
        self.fleet.store.put_json(f"servers/{self.name}", entry)

    async def crash(self, back_s: float | None) -> None:
        """End without a word; start again under the same id after ``back_s``.

        None: the worker is lost for good, and its entry is removed after three
        heartbeats of silence.
        """
        self.fleet.note("crash", worker=self.name, runs=list(self.runs))
        self.alive = False
        self.entry_task.cancel()
        self.server.stop()
        for run in self.runs.values():
            self.fleet.ended(self, run, "crashed")
        self.runs = {}
        silent_s = 3 * HEARTBEAT_S
        if back_s is None or back_s > silent_s:
            await asyncio.sleep(silent_s)
            self.fleet.store.delete(f"servers/{self.name}")
            back_s = None if back_s is None else back_s - silent_s
        if back_s is not None:
            await asyncio.sleep(back_s)
            await self.start()
            self.fleet.note("back", worker=self.name, born=self.born)

    # --- time -------------------------------------------------------------------------

    def advance(self, elapsed_s: float) -> None:
        """Work on the runs for a while, and end those that are over."""
        if not self.alive:
            return
        for key, run in list(self.runs.items()):
            together = self.fleet.is_together(run)
            if together:
                run.worked = True
                run.done_s += elapsed_s
                self._save(run)
            else:
                run.waited_s += elapsed_s
            if run.stop_at_s is not None and time.monotonic() >= run.stop_at_s:
                self.end(key, "stopped")
            elif self.clock_ms >= self.lease_end_ms:
                self.end(key, "lapsed")
            elif not together and run.worked:
                self.end(key, "broken")
            elif not together and run.waited_s >= GANG_WAIT_S:
                self.end(key, "alone")
            elif run.done_s >= run.work_s:
                self.end(key, self.fleet.outcome(run.task))

    def _save(self, run: Run) -> None:
        """Save progress after each ``save_s`` of work, where the step does."""
        if self.fleet.saves(run.task):
            count = int(run.done_s / self.fleet.save_s)
            if count:
                saved = f"{count:08x}{run.task[4:12]}"
                run.saved = saved.ljust(self.fleet.saved_size, ".")

    def end(self, key: tuple[str, int], how: str) -> None:
        """End a run, and list that."""
        run = self.runs.pop(key)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        saved = run.saved if how not in ("done", "failed") else ""
        self.ends.append([next(self.numbers), run.task, run.number, how, saved])
        self.fleet.ended(self, run, how)

    # --- calls ------------------------------------------------------------------------

    async def handle(self, method, path, query, headers, body) -> Answer:
        """Answer one call."""
        expected = headers.get("x-poplarlb-expect-instance", self.name)
        if expected != self.name:
            return 421, {"clockMs": self.clock_ms}
        if method == "GET":
            return 200, {}
        if body.get("fence", 0) < self.fence:
            return 409, {"clockMs": self.clock_ms, "reason": "fence"}
        self.fence = body.get("fence", 0)
        match path:
            case "/v1/run-start":
                return self._start_run(body)
            case "/v1/run-stop":
                return self._stop_run(body)
            case "/v1/hold":
                return await self._hold(body)
            case "/v1/pace":
                return 200, {"clockMs": self.clock_ms}
        return 400, {"clockMs": self.clock_ms}

    def _extend(self, until_ms: float | None) -> None:
        if until_ms is not None:
            limit_ms = self.clock_ms + self.fleet.hold_max_ms
            self.lease_end_ms = max(self.lease_end_ms, min(until_ms, limit_ms))

    def _refuse(self, body: dict, reason: str) -> Answer:
        self.fleet.note(
            "start_refused", worker=self.name, task=body["task"], reason=reason
        )
        return 409, {"clockMs": self.clock_ms, "reason": reason}

    def _start_run(self, body: dict) -> Answer:
        task, number = body["task"], body["run"]
        if body["untilMs"] <= self.clock_ms:
            return self._refuse(body, "late")
        self._extend(body["untilMs"])
        if (task, number) in self.runs:
            return 200, {"clockMs": self.clock_ms}
        if number <= self.highest.get(task, 0):
            return self._refuse(body, "old")
        if not self.fleet.ticket_holds(self, task, body.get("ticket", "")):
            return self._refuse(body, "ticket")
        run = Run(task, number, body.get("saved", ""), self.fleet.work_s(task))
        run.members = self.fleet.gang_size(task)
        run.lasting = self.fleet.step_of(task).get("longRunning", False)
        if run.saved:
            run.done_s = int(run.saved[:8], 16) * self.fleet.save_s
        self.runs[task, number] = run
        self.fleet.started(self, run, body)
        return 200, {"clockMs": self.clock_ms}

    def _stop_run(self, body: dict) -> Answer:
        task, number = body["task"], body["run"]
        run = self.runs.get((task, number))
        self.fleet.note("stop", worker=self.name, task=task, run=number)
        if run is None:
            self.highest[task] = max(self.highest.get(task, 0), number)
        elif run.stop_at_s is None:
            run.stop_at_s = time.monotonic() + self.fleet.stop_s
        return 200, {"clockMs": self.clock_ms}

    async def _hold(self, body: dict) -> Answer:
        self._extend(body.get("untilMs"))
        if body.get("lastSeen") is not None:
            self.ends = [row for row in self.ends if row[0] > body["lastSeen"]]
        until_s = time.monotonic() + min(body.get("waitMs", 0) / 1000, HELD_S)
        while not self.ends and time.monotonic() < until_s:
            await asyncio.sleep(TICK_S)
        running = [
            [run.task, run.number, run.saved, run.percent, 0]
            for run in self.runs.values()
        ]
        return 200, {
            "clockMs": self.clock_ms,
            "born": self.born,
            "running": running,
            "ended": self.ends[:ENDS_PER_ANSWER],
        }


class Fleet:
    """All workers of one service, and what they run.

    :param note: writes a line of the record.
    """

    service = "desk-svc"
    zone = "kochi"
    save_s = 0.5
    saved_size = 16  # characters of what a task saves
    stop_s = 0.1
    hold_max_ms = 6_000

    def __init__(self, store: Store, note: Callable, capacity: dict) -> None:
        """Create a fleet without workers."""
        self.store = store
        self.note = note
        self.capacity = capacity
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, dict] = {}  # what was submitted, by id
        self.works: dict[str, float] = {}  # work of each task of a job in s
        self.tickets: dict[tuple[str, str], tuple[str, float]] = {}
        self.needs_ticket = False
        self.starts: list[tuple[float, str, str, int, str]] = []
        self.ends_seen: list[tuple[float, str, str, int, str]] = []
        self.ticker: asyncio.Task | None = None

    async def add(self, name: str, labels: list[str]) -> Worker:
        """Start a worker."""
        worker = self.workers[name] = Worker(self, name, labels)
        await worker.start()
        if self.ticker is None:
            self.ticker = asyncio.ensure_future(self._tick())
        return worker

    def stop(self) -> None:
        """Stop all workers."""
        if self.ticker is not None:
            self.ticker.cancel()
        for worker in self.workers.values():
            if worker.entry_task is not None:
                worker.entry_task.cancel()
            worker.server.stop()

    async def _tick(self) -> None:
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            for worker in self.workers.values():
                worker.advance(now_s - last_s)
            last_s = now_s

    # --- what is run ------------------------------------------------------------------

    def step_of(self, task: str) -> dict:
        """Return the submitted step of a task."""
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def work_s(self, task: str) -> float:
        """Return the work of a task."""
        return self.works[task.split(".")[0]]

    def saves(self, task: str) -> bool:
        """Return whether a task saves its progress."""
        return self.step_of(task).get("checkpoints", False)

    def outcome(self, task: str) -> str:
        """Return how a run ends whose work is done."""
        return "done"

    def gang_size(self, task: str) -> int:
        """Return the number of members of a task's gang; 0 if it is none."""
        step = self.step_of(task)
        return step["count"] if step.get("gang") else 0

    def is_together(self, run: Run) -> bool:
        """Return whether all members of a run's gang are at work."""
        if not run.members:
            return True
        prefix = run.task.rpartition(".")[0] + "."
        present = {
            other.task
            for worker in self.workers.values()
            for other in worker.runs.values()
            if other.task.startswith(prefix) and other.number == run.number
        }
        return len(present) == run.members

    def ticket_holds(self, worker: Worker, task: str, ticket: str) -> bool:
        """Return whether a start carries a valid ticket, if it needs one."""
        if not self.needs_ticket:
            return True
        step = task.rpartition(".")[0]
        text, until_s = self.tickets.get((step, worker.name), ("", 0.0))
        return bool(ticket) and ticket == text and time.monotonic() < until_s

    def running(self, job: str) -> list[tuple[str, Run]]:
        """Return the runs of a job that are active now, with their workers."""
        return [
            (worker.name, run)
            for worker in self.workers.values()
            for run in worker.runs.values()
            if run.task.startswith(job + ".")
        ]

    def started(self, worker: Worker, run: Run, body: dict) -> None:
        """Record a start."""
        at_s = time.monotonic()
        self.starts.append((at_s, worker.name, run.task, run.number, run.saved))
        self.note(
            "start",
            worker=worker.name,
            task=run.task,
            run=run.number,
            fence=body.get("fence"),
            saved=run.saved,
        )

    def ended(self, worker: Worker, run: Run, how: str) -> None:
        """Record an end."""
        at_s = time.monotonic()
        self.ends_seen.append((at_s, worker.name, run.task, run.number, how))
        self.note("end", worker=worker.name, task=run.task, run=run.number, how=how)

    def free_cpu(self) -> tuple[int, int]:
        """Return the processors in use and in all at the workers that are up."""
        used = sum(
            self.step_of(run.task)["cpu"]
            for worker in self.workers.values()
            if worker.alive
            for run in worker.runs.values()
        )
        total = sum(
            worker.capacity["cpu"] for worker in self.workers.values() if worker.alive
        )
        return used, total
