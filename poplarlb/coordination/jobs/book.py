"""What the parts of the dispatcher share: jobs, workers, and what is to be stored."""

from attrs import Factory, define

from poplarlb.coordination.jobs.events import Command, Note, ProgressRecord
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.coordination.jobs.harm import HarmModel
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state import job_records
from poplarlb.state.jobs import (
    FINAL_STATES,
    Job,
    JobState,
    OperatorConfig,
    QueueConfig,
    Task,
    TaskStatus,
    chain_ms,
)

TRAIL_LENGTH = 60  # decisions of one job that its last log line tells


@define(eq=False)
class Book:
    """The jobs and workers of one epoch.

    :param epoch: the fencing token of this ownership.
    """

    policy: JobPolicy
    epoch: int
    config: OperatorConfig | None = None
    zones_out: frozenset[str] = frozenset()
    jobs: dict[str, Job] = Factory(dict)
    workers: dict[str, WorkerState] = Factory(dict)
    harm: HarmModel = Factory(HarmModel)
    cancelled_early: set[str] = Factory(set)  # cancels that came before their job
    dirty: dict[str, Job] = Factory(dict)
    forgotten: list[str] = Factory(list)
    acknowledge: dict[str, tuple[int, int]] = Factory(dict)  # worker: life, number
    to_start: list[Run] = Factory(list)
    lapsing: set[str] = Factory(set)  # workers that the store may call silent
    unplaced: set[Job] = Factory(set)  # jobs that may have tasks to place
    commands: list[Command] = Factory(list)
    room_changed: bool = False
    now_ms: int = 0
    utc_ms: int = 0

    def note(self, event: str, **fields) -> None:
        """Log a decision."""
        self.commands.append(Note(event, fields))

    def note_task(self, event: str, task: Task, run: int, **fields) -> None:
        """Log a decision on a task and keep it in its job's trail."""
        job = task.job
        self.note(event, task=task.name, run=run, **fields)
        if len(job.trail) < TRAIL_LENGTH:
            at_ms = self.utc_ms - job.spec.accepted_utc_ms
            detail = " ".join(str(value) for value in fields.values())
            where = f"{task.occurrence}.{task.step}.{task.index}"
            job.trail.append(f"{at_ms} ms {event} {where} run {run} {detail}")

    def worker(self, worker_id: str) -> WorkerState:
        """Return the state kept for a worker, new if there is none."""
        if worker_id not in self.workers:
            self.workers[worker_id] = WorkerState(worker_id)
        return self.workers[worker_id]

    def queue_of(self, job: Job) -> QueueConfig:
        """Return the job's queue as configured, or as it was when accepted."""
        spec = job.spec
        found = self.config.queue(spec.queue) if self.config else None
        return found or QueueConfig(spec.queue, "", "", spec.service, max_attempts=1)

    def touch(self, job: Job) -> None:
        """Have a job's progress stored with the next commit."""
        self.dirty[job.spec.job_id] = job

    def finish(self, job: Job, state: JobState, reason: str) -> None:
        """Bring a job to a final state and stop what still runs of it."""
        job.state = state
        job.reason = reason
        job.final_utc_ms = self.utc_ms
        self.unplaced.discard(job)
        self.harm.forget(job.spec.job_id)
        self.touch(job)
        self._note_final(job)
        if state is JobState.DONE:
            return
        for worker in self.workers.values():
            for run in worker.runs.values():
                if run.task.job is job:
                    run.stopping = run.stopping or f"job {state}"

    def _note_final(self, job: Job) -> None:
        """Log a job's end; one that is late or not done tells its whole trail."""
        queue = self.queue_of(job)
        objective_ms = int(queue.stretch * chain_ms(job) + queue.objective_ms)
        took_ms = job.final_utc_ms - job.due_utc_ms(0)
        in_time = job.state is JobState.DONE and took_ms <= objective_ms
        self.note(
            "job_final",
            job=job.spec.job_id,
            queue=job.spec.queue,
            state=str(job.state),
            reason=job.reason,
            took_ms=took_ms,
            objective_ms=0 if job.spec.times else objective_ms,
            config_version=self.config.version if self.config else 0,
            trail=[] if in_time else job.trail,
        )
        job.trail = []

    # --- tasks ------------------------------------------------------------------------

    def give_back(self, task: Task, reason: str) -> None:
        """Let a task that has no run wait for its next one."""
        if task.status is not TaskStatus.PLACED:
            return
        task.status = TaskStatus.WAITING
        task.worker_id, task.life = "", 0
        if task.job.final:
            return
        self.touch(task.job)
        self.unplaced.add(task.job)
        self.room_changed = True
        self.note_task("task_waits", task, task.run, reason=reason)

    def free(self, worker: WorkerState, run: Run, reason: str) -> None:
        """Free a run's room; its task waits again if this was its run."""
        worker.remove(run)
        self.room_changed = True
        if run.current:
            self.give_back(run.task, reason)

    def finish_task(self, task: Task) -> None:
        """Take in that a task has ended done."""
        if task.status is TaskStatus.DONE:
            return
        task.status = TaskStatus.DONE
        job = task.job
        occurrence = job.occurrences[task.occurrence]
        occurrence.undone[task.step] -= 1
        self.stop_other_runs(task)
        if job.state in FINAL_STATES:
            return
        self.touch(job)
        self.unplaced.add(job)
        all_open = job.next_occurrence >= job.total_occurrences
        if all_open and all(item.done for item in job.occurrences.values()):
            self.finish(job, JobState.DONE, "every task is done")

    def stop_other_runs(self, task: Task) -> None:
        """Stop the runs of a task that is done."""
        for worker in self.workers.values():
            for run in worker.runs.values():
                if run.task is task:
                    run.stopping = run.stopping or "another run is done"

    def restore(self, job: Job) -> None:
        """Take in a job that an earlier owner left, with its placed tasks."""
        self.jobs[job.spec.job_id] = job
        if not job.final:
            self.unplaced.add(job)
        for occurrence in job.occurrences.values():
            for task in (task for tasks in occurrence.steps for task in tasks):
                if task.status is not TaskStatus.PLACED:
                    continue
                worker = self.worker(task.worker_id)
                run = Run(
                    task,
                    task.run,
                    task.worker_id,
                    RunPhase.INHERITED,
                    self.now_ms,
                    progress_ms=self.now_ms,
                )
                run.stopping = f"job {job.state}" if job.final else ""
                worker.add(run)

    def take_records(self) -> tuple[ProgressRecord, ...]:
        """Return the records of the jobs that changed, and begin anew."""
        records = tuple(
            ProgressRecord(job_id, job_records.encode_progress(job))
            for job_id, job in self.dirty.items()
        )
        for job in self.dirty.values():
            job.stored = True
        self.dirty = {}
        return records
