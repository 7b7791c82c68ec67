"""Checks the daemons' invariants from what workers and submitters observe."""

from collections import Counter, defaultdict

from attrs import Factory, define

from poplarlb.state.jobs import RunEnd, parse_task_name
from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import FakeWorker
from tests.soak.link import Link
from tests.standins.users_platform import WorkerService

RECOVERY_S = (
    3.0  # time-bound invariants are checked from this long after the last fault
)
EVACUATION_LIMIT_S = 5.0
DRAIN_LIMIT_S = 2.0
CONFIG_LIMIT_S = 2.0
SHRINK_LIMIT_S = 4.5  # a smaller capacity must be kept from then on
CRASHES_TO_GIVE_UP = 2  # after so many crashes under a task its job may be failed
CRASH_LIMIT = 3  # a deadly task is started less often than EXCESS_STARTS after these
EXCESS_STARTS = 3


@define
class SubmittedJob:
    """A job as its submitter sees it."""

    job_id: str
    steps: list[dict]
    statuses: list[int] = Factory(list)  # HTTP status of each attempt; 0: no response
    cancelled: bool = False  # a cancel was sent
    reported_state: str = ""  # the state that a daemon reported last

    @property
    def accepted(self) -> bool:
        """Return whether an attempt was answered with 200."""
        return 200 in self.statuses

    @property
    def refused(self) -> bool:
        """Return whether every response means that the job will never run."""
        return bool(self.statuses) and set(self.statuses) <= {429, 503}

    def tasks(self) -> set[str]:
        """Return the names of all tasks of the job."""
        return {
            f"{self.job_id}.0.{number}.{index}"
            for number, step in enumerate(self.steps)
            for index in range(step["count"])
        }


@define(eq=False)
class InvariantChecker:
    """Observes the workers and collects violated invariants in ``violations``."""

    workers: WorkerService
    jobs: dict[str, SubmittedJob] = Factory(dict)
    last_fault_end_s: float = 0.0
    zones_out: dict[str, float] = Factory(dict)  # zone: when it was taken out
    # Worker and incarnation: when it began to drain.
    draining: dict[tuple[str, int], float] = Factory(dict)
    configs: list[tuple[float, int]] = Factory(list)  # time, status by it
    violations: list[str] = Factory(list)
    started_runs: set[tuple] = Factory(set)
    links: dict[str, Link] = Factory(dict)  # to workers, by their address
    starts_after_crashes: Counter[str] = Factory(Counter)  # of deadly tasks
    done_tasks: set[str] = Factory(set)  # tasks with a run that ended as done
    # (task, run) that ended as done, not acknowledged: a later start of the task
    late_starts: dict[tuple[str, int], str] = Factory(dict)

    def record_config(self, now_s: float, status: int) -> None:
        """Record a configuration, and the status by it of the queue that changes."""
        self.configs.append((now_s, status))

    def check_config(
        self, daemon: str, status: int, sent_s: float, answered_s: float
    ) -> None:
        """Check an answer against the versions that it may have been decided by.

        Those are all from the one in force ``CONFIG_LIMIT_S`` before the request to the
        one at its answer, whatever faults there are: a daemon that can't know refuses.
        """
        if status not in (200, 404):
            return
        replaced_s = [at_s for at_s, _ in self.configs[1:]] + [float("inf")]
        allowed = {
            expected
            for (at_s, expected), until_s in zip(self.configs, replaced_s, strict=True)
            if at_s <= answered_s and until_s >= sent_s - CONFIG_LIMIT_S
        }
        if status not in allowed:
            self._record_violation(
                f"CONFIG: {daemon} answers {status} to a request sent at {sent_s:.3f}"
            )

    def check(self, now_s: float) -> None:
        """Check the invariants that hold at any time."""
        for worker in self.workers.workers.values():
            self.done_tasks.update(
                row.task for row in worker.ends if row.how is RunEnd.DONE
            )
            self.done_tasks.update(task for task, _ in worker.acknowledged_ends)
        workers_by_task = defaultdict(list)
        for worker in self.workers.workers.values():
            if not worker.alive:
                continue
            used = Resources()
            has_started = False
            for task, run in worker.runs:
                workers_by_task[task].append(worker.worker_id)
                used = used.plus(self._size(task))
                key = (worker.worker_id, worker.incarnation, task, run)
                if key not in self.started_runs:
                    self.started_runs.add(key)
                    has_started = True
                    self._check_start(worker, task, now_s)
            self._check_capacity(worker, used, has_started, now_s)
        for task, worker_ids in workers_by_task.items():
            if len(worker_ids) > 1:
                self._record_violation(f"TWICE: {task} runs at {sorted(worker_ids)}")
        for worker in self.workers.workers.values():
            # An end that the worker still listed when its lease expired is not binding.
            for end in (
                worker.acknowledged_ends - worker.ends_at_lease_expiry
            ) & self.late_starts.keys():
                self._record_violation(
                    f"TWICE: {self.late_starts.pop(end)} after an acknowledged end"
                )

    def _check_capacity(
        self, worker: FakeWorker, used: Resources, has_started: bool, now_s: float
    ) -> None:
        """Check what a worker runs at each start, or at any time by a fixed capacity.

        What runs already may exceed a capacity that has shrunk. Starts that were
        delayed on their way go by the capacities at the time when they were sent.
        """
        link = self.links.get(self.workers.addresses.get(worker.worker_id, ""))
        sent_s = link.oldest_receipt_s(now_s) if link is not None else now_s
        is_fixed = len(self.workers.capacities_since(worker, 0.0)) == 1
        allowed = self.workers.capacities_since(worker, sent_s - SHRINK_LIMIT_S)
        if (has_started or is_fixed) and not any(map(used.fits_in, allowed)):
            self._record_violation(
                f"LIMIT: {worker.worker_id} runs more than its capacity"
            )

    def _size(self, task: str) -> Resources:
        job_id, _, step, _ = parse_task_name(task)
        row = self.jobs[job_id].steps[step] if job_id in self.jobs else {}
        return Resources(row.get("cpu", 0), row.get("memMb", 0), 0)

    def _check_start(self, worker, task: str, now_s: float) -> None:
        job_id, _, step, _ = parse_task_name(task)
        job = self.jobs.get(job_id)
        if job is None:
            self._record_violation(f"UNASKED: {task}")
            return
        self._check_crash_budget(task)
        for other in self.workers.workers.values():
            if any(name == task for name, _ in other.acknowledged_ends):
                self._record_violation(
                    f"TWICE: {task} started after its acknowledged end"
                )
            for row in other.ends:
                if row.task == task and row.how is RunEnd.DONE:
                    self.late_starts[(task, row.run)] = f"{task} at {worker.worker_id}"
        for earlier in job.steps[step].get("after", ()):
            names = {name for name in job.tasks() if f".0.{earlier}." in name}
            if not names <= self.done_tasks:
                self._record_violation(f"ORDER: {task} before step {earlier}")
        if now_s - self.last_fault_end_s < RECOVERY_S:
            return
        out_s = self.zones_out.get(worker.zone)
        if out_s is not None and now_s - out_s > EVACUATION_LIMIT_S:
            self._record_violation(f"EVAC: {task} in {worker.zone}")
        drain_s = self.draining.get((worker.worker_id, worker.incarnation))
        if drain_s is not None and now_s - drain_s > DRAIN_LIMIT_S:
            self._record_violation(f"DRAIN: {task} at {worker.worker_id}")

    def _check_crash_budget(self, task: str) -> None:
        """Count the starts of a deadly task after the crashes that prove it to be."""
        if task not in self.workers.deadly_tasks:
            return
        if self.workers.crashes_under(task) < CRASH_LIMIT:
            return
        self.starts_after_crashes[task] += 1
        if self.starts_after_crashes[task] == EXCESS_STARTS:
            self._record_violation(
                f"BUDGET: {task} started {EXCESS_STARTS} times more after {CRASH_LIMIT}"
                " workers had crashed under it"
            )

    def _may_fail(self, job: SubmittedJob) -> bool:
        """Return whether enough workers have crashed under one of a job's tasks."""
        return any(
            self.workers.crashes_under(task) >= CRASHES_TO_GIVE_UP
            for task in job.tasks()
        )

    def check_reported_state(self, job: SubmittedJob, state: str, now_s: float) -> None:
        """Check a job state that a daemon reported to a submitter."""
        job.reported_state = state
        self.check(now_s)
        if state == "done" and not job.tasks() <= self.done_tasks:
            self._record_violation(f"MIXED: {job.job_id} reported as done")
        recovered = now_s - self.last_fault_end_s >= RECOVERY_S
        if state == "410" and job.accepted and recovered:
            self._record_violation(f"LOST: {job.job_id} is not known")
        if state == "cancelled" and not job.cancelled:
            self._record_violation(f"LOST: {job.job_id} reported as cancelled")
        if state == "failed" and not self._may_fail(job):
            self._record_violation(f"LOST: {job.job_id} reported as failed")

    def check_final_state(self) -> None:
        """Check the invariants that hold once all faults are over and work is done."""
        for job in self.jobs.values():
            started = any(name in self._started_tasks() for name in job.tasks())
            if job.refused and started:
                self._record_violation(f"REFUSED: {job.job_id} {job.statuses}")
            # What is reported as failed was checked when it was reported.
            has_ended = job.reported_state in ("done", "failed")
            if job.accepted and not job.cancelled and not has_ended:
                self._record_violation(
                    f"LOST: {job.job_id} is {job.reported_state!r} at the end"
                )

    def _started_tasks(self) -> set[str]:
        return {task for _, _, task, _ in self.started_runs}

    def _record_violation(self, what: str) -> None:
        if what not in self.violations:
            self.violations.append(what)
