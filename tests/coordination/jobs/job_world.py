"""Drives the dispatcher against fake workers and a fake store, on a simulated clock."""

import math
import random
from collections import Counter, defaultdict

import attrs
from attrs import Factory, define

from poplarlb.coordination.jobs import events
from poplarlb.coordination.jobs.dispatcher import Dispatcher
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state import job_records
from poplarlb.state.jobs import (
    Job,
    JobSpec,
    JobState,
    OperatorConfig,
    QueueConfig,
    StepSpec,
    parse_task_name,
)
from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import Crash, FakeWorker

STEP_MS = 20
CALL_MS = 2
COMMIT_MS = 8
TICKET_MS = 3_000
UNANSWERED_MS = 900  # from a call until it is given up
# A deadly task: from its start to the worker's crash; from the crash until the worker's
# entry is removed, and until the worker is back.
CRASH_DELAY_MS = (10, 40)
UNLISTED_AFTER_MS = 3_000
BACK_AFTER_MS = (2_000, 8_000)
EARLY_CRASH_RATE = 0.25  # of the crashes that come before the start's answer
MAX_CRASHES = 3  # under one task
MAX_FURTHER_STARTS = 2  # of a task under which that many workers crashed
CRASHES_TO_GIVE_UP = 2  # a task under which this many workers crashed may be given up
HEARTBEAT_MS = 1_500  # a worker writes a changed capacity within this
SHRUNK_COUNTS_AFTER_MS = 3_000  # and this plus HEARTBEAT_MS after the change
LATE_MS = 1_000  # a start carried out later than this after it was sent is late
QUEUE = QueueConfig(
    "orders",
    "h",
    "/o/",
    "desk",
    max_attempts=3,
    critical_path_factor=1.5,
    objective_ms=500,
)
LOW_PRIORITY = attrs.evolve(QUEUE, name="patient", prefix="/p/", priority=2)
START_UTC_MS = 1_800_000_000_000


def make_job(job_id: str = "a" * 16, *steps: StepSpec, **fields) -> JobSpec:
    """Return a job; one step of two small tasks if none is given."""
    steps = steps or (StepSpec(2, Resources(1_000, 1_000), estimate_ms=500),)
    return JobSpec(job_id, "orders", "desk", START_UTC_MS, "payload", steps, **fields)


@define
class FormerCapacity:
    """A capacity that a worker had until it changed, and wrote that to its entry."""

    capacity: Resources
    changed_ms: float
    written_ms: float = math.inf

    def counts(self, at_ms: float, unwritten: bool = True) -> bool:
        """Return whether runs may still be started by it.

        :param unwritten: also while the worker's entry doesn't have the next one.
        """
        counted_until_ms = self.changed_ms + HEARTBEAT_MS + SHRUNK_COUNTS_AFTER_MS
        if unwritten:
            written_until_ms = self.written_ms + SHRUNK_COUNTS_AFTER_MS
            counted_until_ms = max(counted_until_ms, written_until_ms)
        return at_ms < counted_until_ms


@define(eq=False)
class JobWorld:
    """A store, workers, and one owner after another.

    Calls take effect in the order of their delivery. ``loss_rate`` is the share of
    calls, and of answers, that are lost; ``delay_rate`` that of calls that are delayed.
    A worker that starts a task in ``deadly`` crashes and is back some seconds later,
    under its id, or under another one at the same address; ``keeps_id`` tells which,
    with None it is drawn. ``further_starts`` counts the starts of deadly tasks under
    which ``MAX_CRASHES`` workers had crashed.

    ``view_lag_ms`` is how long a changed capacity takes from the store to the owner.
    ``former_capacities`` are those of each worker whose capacity has changed.
    ``excused_excesses`` counts starts that exceeded a shrunken capacity, but were
    carried out late, or whose worker couldn't write the change for long.

    With ``overtaken_ms`` an answer to a poll is read up to so much later, other calls
    take up to so much longer to their workers, and a poll that reaches another
    incarnation than the owner knows is answered at once, as on a new connection.
    """

    workers: dict[str, FakeWorker] = Factory(dict)
    policy: JobPolicy = Factory(JobPolicy)
    seed: int = 1
    now_ms: float = 100_000.0
    epoch: int = 0
    owner: Dispatcher | None = None
    jobs: dict[str, JobSpec] = Factory(dict)
    cancels: set[str] = Factory(set)
    records: dict[str, bytes] = Factory(dict)
    lease_remainders: tuple[job_records.LeaseRemainder, ...] = ()  # as stored
    late_calls: tuple[job_records.LateCall, ...] = ()  # as stored
    listed: dict[str, events.WorkerListing] = Factory(dict)
    calls: list = Factory(list)  # (due, sequence, action)
    sequence: int = 0
    store_up: bool = True
    views_confirmed: bool = True  # while the store is up
    partitioned: set[str] = Factory(set)  # workers that no owner can reach
    work_ms: float = 500.0
    failing: set[str] = Factory(set)  # tasks that fail
    deadly: set[str] = Factory(set)  # tasks that crash their workers
    keeps_id: bool | None = None
    further_starts: Counter = Factory(Counter)
    view_lag_ms: int = 0
    former_capacities: dict[str, list[FormerCapacity]] = Factory(dict)
    excused_excesses: Counter = Factory(Counter)
    loss_rate: float = 0.0
    delay_rate: float = 0.0
    poll_limit_ms: int = 60  # upper bound of a poll's wait for an end
    overtaken_ms: float = 0.0
    advised: set[str] = Factory(set)  # workers that the advice service allows
    advice_requests: list[events.AskAdvice] = Factory(list)
    tickets: list[str] = Factory(list)  # of the starts that were carried out
    queue: QueueConfig = QUEUE
    config: OperatorConfig | None = None  # the newest; None: the default queues
    config_known: bool = True  # new owners know a configuration at once
    logged: list[events.LogEvent] = Factory(list)
    violations: list[str] = Factory(list)
    starts: Counter = Factory(Counter)
    former_owners: list[Dispatcher] = Factory(list)  # not yet deposed
    rng: random.Random = None
    crash_rng: random.Random = None
    overtaken_rng: random.Random = None

    def __attrs_post_init__(self) -> None:
        """Seed the random numbers."""
        self.rng = random.Random(self.seed)
        self.crash_rng = random.Random(f"crashes {self.seed}")
        self.overtaken_rng = random.Random(f"overtaken {self.seed}")

    # --- set up -----------------------------------------------------------------------

    def add_workers(self, count: int, **fields) -> None:
        """Add listed workers."""
        for _ in range(count):
            worker_id = f"w{len(self.workers)}"
            worker = FakeWorker(
                worker_id, incarnation=1_000 + len(self.workers), **fields
            )
            self.workers[worker_id] = worker
            self.listed[worker_id] = worker.listing()
            self.feed(events.WorkerListed(worker.listing()))

    def new_owner(self, keep_former: bool = False) -> None:
        """Let another daemon take over, with the state that the store holds.

        With ``keep_former`` the former owner goes on until it learns of the new one.
        """
        self.epoch += 1
        if self.owner is not None and keep_former:
            self.former_owners.append(self.owner)
        jobs = []
        for job_id, spec in self.jobs.items():
            job = Job(spec)
            if job_id in self.records:
                job_records.restore_progress(job, self.records[job_id])
            elif not spec.times:
                job.open_occurrence(0)
            jobs.append(job)
        now_ms = int(self.now_ms)
        self.owner = Dispatcher.take_over(
            self.policy,
            self.epoch,
            jobs,
            now_ms,
            self.lease_remainders,
            late_calls=self.late_calls,
        )
        if self.config_known:
            config = self.config or OperatorConfig(1, (self.queue, LOW_PRIORITY))
            self.feed(events.ConfigChanged(config))
        for listing in self.listed.values():
            self.feed(events.WorkerListed(listing))
        for job_id in self.cancels:
            self.feed(events.CancelStored(job_id))

    def configure(self, *queues: QueueConfig) -> None:
        """Write a version of the configuration with these queues."""
        version = self.config.version + 1 if self.config else 2
        self.config = OperatorConfig(version, queues)
        self.feed(events.ConfigChanged(self.config))

    def submit(self, spec: JobSpec) -> None:
        """Store an accepted job."""
        self.jobs[spec.job_id] = spec
        self.feed(events.JobStored(spec))

    def cancel(self, job_id: str) -> None:
        """Store a cancel."""
        self.cancels.add(job_id)
        self.feed(events.CancelStored(job_id))

    def unlist(self, worker_id: str) -> None:
        """Remove a worker's listing."""
        self.listed.pop(worker_id, None)
        self.feed(events.WorkerUnlisted(worker_id))

    def relist(self, worker_id: str) -> None:
        """Write a worker's present listing."""
        listing = self._write_entry(self.workers[worker_id])
        self.feed(events.WorkerListed(listing))

    # --- capacity ---------------------------------------------------------------------

    def resize(self, worker_id: str, capacity: Resources, unwritten_ms: float) -> None:
        """Change a worker's capacity; its entry in the store follows later."""
        worker = self.workers[worker_id]
        former = self.former_capacities.setdefault(worker_id, [])
        former.append(FormerCapacity(worker.capacity, self.now_ms))
        worker.capacity = capacity

        def write() -> None:
            if not worker.alive or worker_id not in self.listed:
                return  # its next entry will have the capacity
            if not self.store_up:
                self.later(100, write)
                return
            self._write_entry(worker)
            self.later(self.view_lag_ms, tell)

        def tell() -> None:
            if worker_id in self.listed:
                self.feed(events.WorkerListed(self.listed[worker_id]))

        self.later(unwritten_ms, write)

    def _write_entry(self, worker: FakeWorker) -> events.WorkerListing:
        listing = worker.listing()
        self.listed[worker.worker_id] = listing
        for former in self.former_capacities.get(worker.worker_id, ()):
            former.written_ms = min(former.written_ms, self.now_ms)
        return listing

    def counted_capacity(
        self, worker: FakeWorker, at_ms: float, unwritten: bool = True
    ) -> Resources:
        """Return the largest of the capacities that counted at a time."""
        capacities = [worker.capacity] + [
            former.capacity
            for former in self.former_capacities.get(worker.worker_id, ())
            if former.counts(at_ms, unwritten)
        ]
        return Resources(*map(max, zip(*map(attrs.astuple, capacities), strict=True)))

    def used_capacity(self, worker: FakeWorker) -> Resources:
        """Return what all runs of a worker reserve, until they have ended."""
        used = Resources()
        for run in worker.runs.values():
            used = used.plus(self._reserved(run.task))
        return used

    def _reserved(self, task: str) -> Resources:
        job_id, _, step, _ = parse_task_name(task)
        return self.jobs[job_id].steps[step].reserved

    # --- crashes ----------------------------------------------------------------------

    def crash(self, worker: FakeWorker, cause: str = "") -> None:
        """Crash a worker; it is unlisted, and is back some seconds later."""
        if not worker.alive:
            return
        worker.crash(cause)
        crashed = worker.incarnation
        keeps_id = self.keeps_id
        if keeps_id is None:
            keeps_id = self.crash_rng.random() < 0.5

        def still_down() -> bool:
            return not worker.alive and worker.incarnation == crashed

        def remove_entry() -> None:
            if still_down():
                self.unlist(worker.worker_id)

        def come_back() -> None:
            if not still_down():
                return
            if keeps_id:
                worker.restart(crashed + 1_000)
                self.relist(worker.worker_id)
            else:
                self.replace(worker)

        self.later(UNLISTED_AFTER_MS, remove_entry)
        self.later(self.crash_rng.uniform(*BACK_AFTER_MS), come_back)

    def replace(self, worker: FakeWorker) -> None:
        """Let a worker with another id take a crashed one's address."""
        worker.replaced = True
        self.unlist(worker.worker_id)
        other = FakeWorker(
            f"w{len(self.workers)}",
            worker.incarnation + 1_000,
            worker.zone,
            worker.rack,
            worker.capacity,
            worker.service,
            worker.clock_rate,
            speed=worker.speed,
            address=worker.address,
        )
        self.workers[other.worker_id] = other
        self.relist(other.worker_id)

    def remaining_workers(self) -> list[FakeWorker]:
        """Return the workers that run or may come back."""
        return [worker for worker in self.workers.values() if not worker.replaced]

    def crashes_under(self, task: str) -> list[Crash]:
        """Return the crashes of workers that were running a task."""
        return [
            crash
            for worker in self.workers.values()
            for crash in worker.crashes
            if task in crash.tasks
        ]

    def _crash_soon(self, worker: FakeWorker, task: str) -> None:
        """Crash a worker that has started a deadly task, at times before it answers."""
        started = worker.incarnation

        def crash() -> None:
            if worker.incarnation == started:
                self.crash(worker, task)

        if self.crash_rng.random() < EARLY_CRASH_RATE:
            crash()
        else:
            self.later(self.crash_rng.uniform(*CRASH_DELAY_MS), crash)

    # --- time -------------------------------------------------------------------------

    def run(self, duration_ms: float) -> None:
        """Advance the clock in steps of ``STEP_MS``."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            for worker in self.workers.values():
                worker.advance(STEP_MS)
            self._deliver()
            self.check()
            for owner in [*self.former_owners, self.owner]:
                if owner is None:
                    continue
                if self.store_up and self.views_confirmed and owner is self.owner:
                    confirmed_ms = int(self.now_ms) - self.view_lag_ms
                    self.feed(events.ViewConfirmed(confirmed_ms))
                self.feed(events.Tick(self.utc_ms()), owner)

    def utc_ms(self) -> int:
        """Return the wall-clock time."""
        return int(START_UTC_MS + self.now_ms - 100_000)

    def feed(self, event: events.Event, owner: Dispatcher | None = None) -> None:
        """Pass an event to an owner, by default to the present one."""
        owner = owner or self.owner
        if owner is None or (
            owner is not self.owner and owner not in self.former_owners
        ):
            return
        for command in owner.handle(event, int(self.now_ms)):
            self._carry_out(command, owner)

    def _depose(self, owner: Dispatcher) -> None:
        if owner in self.former_owners:
            self.former_owners.remove(owner)
        elif owner is self.owner:
            self.violations.append("the present owner was deposed")

    def later(self, delay_ms: float, action) -> None:
        """Schedule an action."""
        self.sequence += 1
        self.calls.append((self.now_ms + delay_ms, self.sequence, action))

    def _deliver(self) -> None:
        due = sorted(item for item in self.calls if item[0] <= self.now_ms)
        self.calls = [item for item in self.calls if item[0] > self.now_ms]
        for _, _, action in due:
            action()

    # --- commands ---------------------------------------------------------------------

    def _carry_out(self, command: events.Command, owner: Dispatcher) -> None:
        now_ms = int(self.now_ms)
        match command:
            case events.LogEvent():
                self.logged.append(command)
            case events.StepDown():
                self._depose(owner)
            case events.Commit():
                self.later(COMMIT_MS, lambda: self._commit(command, owner, now_ms))
            case events.PollWorker():
                self._call(command, owner, self._poll, now_ms)
            case events.AskAdvice():
                self._advise(command, owner, now_ms)
            case _:
                self._call(command, owner, self._execute, now_ms)

    def _commit(self, command: events.Commit, owner, sent_ms: int) -> None:
        if not self.store_up:
            self.later(100, lambda: self._commit(command, owner, sent_ms))
            return
        if owner is not self.owner:
            self._depose(owner)
            return
        for record in command.records:
            self._check_record(record)
            self.records[record.job_id] = record.value
        if command.lease_remainders is not None:
            self.lease_remainders = command.lease_remainders
        if command.late_calls is not None:
            self.late_calls = command.late_calls
        for job_id in command.forgotten:
            self.records.pop(job_id, None)
            self.jobs.pop(job_id, None)
            self.cancels.discard(job_id)
        self.feed(events.Committed(sent_ms), owner)

    def _advise(self, command: events.AskAdvice, owner, sent_ms: int) -> None:
        self.advice_requests.append(command)
        tickets = tuple(
            (name, f"t-{name}") for name in command.workers if name in self.advised
        )
        answer = events.AdviceAnswered(
            command.step, command.workers, sent_ms, tickets, TICKET_MS
        )
        self.later(50, lambda: self._answer(owner, answer))

    def _call(self, command, owner, action, sent_ms: int) -> None:
        worker = self.workers[command.worker_id]
        sent_to = worker.incarnation
        known = owner.state.worker(command.worker_id).incarnation
        reached = worker.alive and command.worker_id not in self.partitioned
        if not reached or self.rng.random() < self.loss_rate:
            self._fail_later(command, owner, sent_ms)
            return
        if self.rng.random() < self.delay_rate and not isinstance(
            command, events.PollWorker
        ):
            delay_ms = self.rng.uniform(2_000, 12_000)

            def execute_late() -> None:
                # A call received by a process is lost when the process ends.
                if worker.alive and worker.incarnation == sent_to:
                    action(command, worker, sent_ms)

            self.later(delay_ms, execute_late)
            self.later(1_000, lambda: self._answer(owner, fail(command, sent_ms)))
            return

        def execute() -> None:
            if not worker.alive:
                self._answer(owner, fail(command, sent_ms))
                return
            sent = command
            if isinstance(command, events.PollWorker) and worker.incarnation != known:
                # On a new connection the adapter first polls without renewing leases.
                sent = attrs.evolve(command, acknowledged_end=None, lease_end_ms=None)
            answer = action(sent, worker, sent_ms)
            if not worker.alive:  # the call has crashed it
                self._fail_later(command, owner, sent_ms)
                return
            if self.rng.random() < self.loss_rate:
                answer = fail(command, sent_ms)
            answer_ms = CALL_MS + self._overtaken_ms(command)
            self.later(answer_ms, lambda: self._answer(owner, answer))

        wait_ms = getattr(command, "wait_ms", 0)
        if self.overtaken_ms and sent_to != known:
            wait_ms = 0
        way_ms = CALL_MS + self._way_ms(command)
        self.later(way_ms + min(wait_ms, self.poll_limit_ms), execute)

    def _way_ms(self, command) -> float:
        """Return how much longer than usual a call takes to its worker."""
        if not self.overtaken_ms or isinstance(command, events.PollWorker):
            return 0.0
        return self.overtaken_rng.uniform(0, self.overtaken_ms)

    def _overtaken_ms(self, command) -> float:
        """Return how much later than usual the answer to a call is read."""
        if not self.overtaken_ms or not isinstance(command, events.PollWorker):
            return 0.0
        return self.overtaken_rng.uniform(0, self.overtaken_ms)

    def _fail_later(self, command, owner: Dispatcher, sent_ms: int) -> None:
        known = owner.state.worker(command.worker_id).incarnation
        is_poll = isinstance(command, events.PollWorker)
        if is_poll and self.workers[command.worker_id].incarnation != known:
            # On a new connection the adapter first polls without renewing leases.
            command = attrs.evolve(command, lease_end_ms=None)
        answer = fail(command, sent_ms)
        self.later(UNANSWERED_MS, lambda: self._answer(owner, answer))

    def _answer(self, owner, event) -> None:
        if event is None:
            self._depose(owner)
            return
        self.feed(event, owner)

    def _poll(self, command: events.PollWorker, worker: FakeWorker, sent_ms: int):
        lists = worker.poll(command)
        if lists is None:
            return None
        return events.PollAnswered(
            worker.worker_id, sent_ms, worker.incarnation, int(worker.clock_ms), *lists
        )

    def _execute(self, command, worker: FakeWorker, sent_ms: int):
        if not worker.alive:
            return None
        name = getattr(command, "task", "")
        match command:
            case events.StartRun():
                known = (command.task, command.run) in worker.runs
                fails = name in self.failing
                outcome = worker.start(command, self.work_ms, fails)
                if outcome is events.CallOutcome.DONE and not known:
                    self._check_start(command, worker)
                    self._check_capacity(command, worker, sent_ms)
                    if command.task in self.deadly:
                        self._crash_soon(worker, command.task)
                return events.StartAnswered(
                    worker.worker_id,
                    name,
                    command.run,
                    sent_ms,
                    outcome,
                    int(worker.clock_ms),
                )
            case events.StopRun():
                outcome = worker.stop(command)
                return events.StopAnswered(
                    worker.worker_id, name, command.run, sent_ms, outcome
                )
            case events.ThrottleRun():
                run = worker.runs.get((name, command.run))
                if run is not None:
                    run.throttle_percent = command.percent
                return events.ThrottleAnswered(
                    worker.worker_id,
                    name,
                    command.run,
                    command.percent,
                    events.CallOutcome.DONE,
                )
        return None

    # --- checks -----------------------------------------------------------------------

    def _check_start(self, command: events.StartRun, worker: FakeWorker) -> None:
        self.starts[command.task] += 1
        self.tickets.append(command.ticket)
        job_id, _, step, _ = parse_task_name(command.task)
        spec = self.jobs.get(job_id)
        long_running = spec is not None and spec.steps[step].long_running
        if not long_running and any(
            task == command.task
            for other in self.workers.values()
            for task, _ in other.acknowledged_ends
        ):
            self.violations.append(f"{command.task} started after its end")
        if spec is not None and spec.steps[step].max_per_worker:
            same = [
                run
                for run in worker.runs.values()
                if run.task.rsplit(".", 1)[0] == command.task.rsplit(".", 1)[0]
            ]
            if len(same) > spec.steps[step].max_per_worker:
                self.violations.append(f"{command.task} exceeds its spread limit")
        if command.task in self.deadly and command.epoch == self.epoch:
            self._count_further_start(command.task)

    def _check_capacity(
        self, command: events.StartRun, worker: FakeWorker, sent_ms: int
    ) -> None:
        """Check that a start doesn't bring a worker over its capacity.

        Runs that began before the capacity shrank may exceed it.
        """
        if worker.worker_id not in self.former_capacities:
            return  # checked at any time
        used, added = self.used_capacity(worker), self._reserved(command.task)

        def fits(at_ms: float, unwritten: bool = True) -> bool:
            capacity = self.counted_capacity(worker, at_ms, unwritten)
            return fits_added(used, added, capacity)

        if fits(self.now_ms):
            if not fits(self.now_ms, unwritten=False):
                self.excused_excesses["capacity not written"] += 1
        elif self.now_ms - sent_ms > LATE_MS and fits(sent_ms):
            self.excused_excesses["carried out late"] += 1
        else:
            self.violations.append(
                f"LIMIT: {command.task} brings {worker.worker_id} over its capacity"
            )

    def _count_further_start(self, task: str) -> None:
        """Count the present owner's starts of a task under which workers crashed."""
        if len(self.crashes_under(task)) < MAX_CRASHES:
            return
        self.further_starts[task] += 1
        if self.further_starts[task] == MAX_FURTHER_STARTS + 1:
            self.violations.append(
                f"BUDGET: {task} started three times more after three workers had"
                " crashed under it"
            )

    def _check_record(self, record: events.ProgressRecord) -> None:
        """Check that a job that fails has a task that may be given up."""
        job_id = record.job_id
        state = job_records.decode_job_state(record.value)
        if state is not JobState.FAILED or self.state(job_id) is JobState.FAILED:
            return
        may_give_up = any(
            len(self.crashes_under(task)) >= CRASHES_TO_GIVE_UP
            or any(task in worker.failed_tasks for worker in self.workers.values())
            for task in list_tasks(self.jobs[job_id])
        )
        if not may_give_up:
            self.violations.append(f"{job_id} failed after too few crashes")

    def check(self) -> None:
        """Check the invariants that hold at any time."""
        places = defaultdict(list)
        for worker in self.workers.values():
            if not worker.alive:
                continue
            for task, _ in worker.runs:
                places[task].append(worker.worker_id)
            if worker.worker_id in self.former_capacities:
                continue  # checked at each start
            if not self.used_capacity(worker).fits_in(worker.capacity):
                self.violations.append(f"{worker.worker_id} exceeds its capacity")
        for task, where in places.items():
            if len(where) > 1:
                self.violations.append(f"{task} runs at {where}")

    def state(self, job_id: str) -> JobState:
        """Return a job's state in the store."""
        value = self.records.get(job_id)
        return job_records.decode_job_state(value) if value else JobState.PENDING

    def running(self) -> dict[str, str]:
        """Return the worker of each running task."""
        return {
            task: worker.worker_id
            for worker in self.workers.values()
            if worker.alive
            for task, _ in worker.runs
        }

    def logged_events(self, event: str) -> list[events.LogEvent]:
        """Return the logged decisions of one event."""
        return [note for note in self.logged if note.event == event]


def fits_added(used: Resources, added: Resources, capacity: Resources) -> bool:
    """Return whether the use fits in a capacity, of all that was added to."""
    rows = zip(*map(attrs.astuple, (used, added, capacity)), strict=True)
    return all(not more or total <= limit for total, more, limit in rows)


def list_tasks(spec: JobSpec) -> list[str]:
    """Return the names of a job's tasks."""
    return [
        f"{spec.job_id}.{occurrence}.{step}.{index}"
        for occurrence in range(max(spec.times, 1))
        for step, step_spec in enumerate(spec.steps)
        for index in range(step_spec.count)
    ]


def fail(command, sent_ms: int) -> events.Event:
    """Return the event of a call without an answer."""
    outcome = events.CallOutcome.UNANSWERED
    match command:
        case events.PollWorker():
            renewed = command.lease_end_ms is not None
            return events.PollFailed(command.worker_id, sent_ms, renewed)
        case events.StartRun():
            return events.StartAnswered(
                command.worker_id, command.task, command.run, sent_ms, outcome
            )
        case events.StopRun():
            return events.StopAnswered(
                command.worker_id, command.task, command.run, sent_ms, outcome
            )
    return events.ThrottleAnswered(
        command.worker_id, command.task, command.run, command.percent, outcome
    )
