"""State that the parts of the dispatcher share: jobs, workers, and records to store."""

from collections import Counter

import attrs
from attrs import Factory, define

from poplarlb.coordination.jobs.delays import divide_duration
from poplarlb.coordination.jobs.events import Command, LogEvent, ProgressRecord
from poplarlb.coordination.jobs.fleet import (
    UNKNOWN_THROTTLE,
    Run,
    RunPhase,
    WorkerState,
)
from poplarlb.coordination.jobs.interference import InterferenceModel
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
)

MAX_TRAIL_DECISIONS = 60  # of one job, in the log line of its end


@define(eq=False)
class DispatcherState:
    """The jobs and workers while one daemon owns the jobs.

    :param epoch: the number of this ownership; workers refuse calls of lower epochs.
    :ivar cancelled_early: when cancellations of jobs not known yet were read, by id.
    :ivar dirty: the jobs whose progress records the next commit writes, by id.
    :ivar forgotten: the ids of jobs whose records a commit is to delete, and of jobs
        that were cancelled and never stored.
    :ivar to_acknowledge: by worker, its incarnation and the number of the last run end
        applied to this state; acknowledged after the next commit.
    :ivar to_start: the runs to be started after the next commit.
    :ivar recorded_unresponsive: the workers that the stored record of unresponsive
        workers names, or may name once a commit in flight is stored; their leases
        are not renewed.
    :ivar capacity_changed: tasks that fitted nowhere may fit now.
    :ivar freed_workers: the workers where capacity was released, by id, since the
        scheduler last considered all workers for each waiting task.
    :ivar runs_to_stop: the runs that are to be stopped and may not have ended yet, in
        the order in which that was decided.
    :ivar workers_to_poll: the workers that may be due for a poll.
    :ivar suspects: tasks that are to run isolated, as a worker has crashed under them.
    :ivar isolating: the workers with an isolated run.
    :ivar late_call_workers: the workers at which calls may be carried out late, by id.
    :ivar starting_jobs: the jobs whose stored records name tasks whose start may be yet
        to be sent or answered, by id.
    :ivar late_calls_added: one has been noted since these were last listed.
    :ivar departed: unlisted workers without runs at which calls may be carried out late
        if they come back, by id.
    :ivar shortened: the ids of jobs whose records were last stored without all their
        checkpoints.
    :ivar refused_workers: how many workers best-effort tasks were not placed at, by
        reason, since the load was last logged.
    :ivar owned_since_ms: when this ownership began.
    :ivar now_ms: the time of the present event on the daemon's monotonic clock.
    :ivar utc_ms: the wall-clock time of the last tick.
    """

    policy: JobPolicy
    epoch: int
    config: OperatorConfig | None = None
    zones_out: frozenset[str] = frozenset()
    jobs: dict[str, Job] = Factory(dict)
    workers: dict[str, WorkerState] = Factory(dict)
    interference: InterferenceModel = Factory(InterferenceModel)
    cancelled_early: dict[str, int] = Factory(dict)
    dirty: dict[str, Job] = Factory(dict)
    forgotten: list[str] = Factory(list)
    to_acknowledge: dict[str, tuple[int, int]] = Factory(dict)
    to_start: list[Run] = Factory(list)
    recorded_unresponsive: set[str] = Factory(set)
    unplaced: set[Job] = Factory(set)  # jobs that may have tasks to place now
    commands: list[Command] = Factory(list)
    capacity_changed: bool = False
    freed_workers: dict[str, WorkerState] = Factory(dict)
    runs_to_stop: dict[Run, None] = Factory(dict)
    workers_to_poll: dict[str, WorkerState] = Factory(dict)
    suspects: dict[Task, None] = Factory(dict)
    isolating: set[WorkerState] = Factory(set)
    late_call_workers: dict[str, WorkerState] = Factory(dict)
    starting_jobs: dict[str, Job] = Factory(dict)
    late_calls_added: bool = False
    departed: dict[str, WorkerState] = Factory(dict)
    shortened: set[str] = Factory(set)
    refused_workers: Counter[str] = Factory(Counter)
    owned_since_ms: int = 0
    now_ms: int = 0
    utc_ms: int = 0

    def log(self, event: str, **fields) -> None:
        """Log a decision."""
        self.commands.append(LogEvent(event, fields))

    def log_task(self, event: str, task: Task, run: int, **fields) -> None:
        """Log a decision on a task and add it to the job's trail.

        The trail is logged with the end of a job that is late or not done.
        """
        job = task.job
        self.log(event, task=task.name, run=run, **fields)
        if len(job.trail) < MAX_TRAIL_DECISIONS:
            at_ms = self.utc_ms - job.spec.accepted_utc_ms
            detail = " ".join(str(value) for value in fields.values())
            where = f"{task.occurrence}.{task.step}.{task.index}"
            job.trail.append(f"{at_ms} ms {event} {where} run {run} {detail}")

    def worker(self, worker_id: str) -> WorkerState:
        """Return a worker's state, created if there is none."""
        if worker_id not in self.workers:
            departed = self.departed.pop(worker_id, None)
            self.workers[worker_id] = departed or WorkerState(worker_id)
        return self.workers[worker_id]

    def queue_of(self, job: Job) -> QueueConfig:
        """Return the job's queue, as last known if it isn't configured now.

        If a limit in the configuration can't be read, all are those last known.
        """
        found = self.config.queue(job.spec.queue) if self.config else None
        if found is None:
            return job.known_queue
        if found.fault:
            return attrs.evolve(job.known_queue, service=found.service)
        return found

    def is_over(self, job_id: str) -> bool:
        """Return whether a job is final, or forgotten."""
        job = self.jobs.get(job_id)
        return job is None or job.final

    def is_configured(self, job: Job) -> bool:
        """Return whether the configuration in force has the job's queue."""
        return bool(self.config and self.config.queue(job.spec.queue))

    def change_config(self, config: OperatorConfig) -> None:
        """Put a version in force; jobs keep their queues that it has no longer."""
        former, self.config = self.config, config
        self.capacity_changed = True
        for job in self.jobs.values():
            queue = former.queue(job.spec.queue) if former else None
            after = config.queue(job.spec.queue)
            is_kept = after is not None and not after.fault
            if job.final or queue is None or queue.fault or is_kept:
                continue
            if job.known_queue != queue.limits:
                job.last_queue = queue.limits
                self.mark_dirty(job)

    def mark_dirty(self, job: Job) -> None:
        """Have a job's progress record written with the next commit."""
        self.dirty[job.spec.job_id] = job

    def finish(self, job: Job, state: JobState, reason: str) -> None:
        """Set a job's final state, and stop its runs if that isn't ``DONE``."""
        job.state = state
        job.reason = reason
        job.final_utc_ms = self.utc_ms
        self.unplaced.discard(job)
        self.interference.forget(job.spec.job_id)
        self.mark_dirty(job)
        self._log_final(job)
        if state is JobState.DONE:
            return
        for run in job.reserved_runs():
            self.stop(run, f"job {state}")

    def stop(self, run: Run, reason: str) -> None:
        """Have a run stopped; the first reason is kept."""
        run.stopping = run.stopping or reason
        self.runs_to_stop[run] = None

    def _log_final(self, job: Job) -> None:
        """Log a job's end, with its trail if it is late or not done."""
        queue = self.queue_of(job)
        objective_ms = int(
            queue.critical_path_factor * job.critical_path_ms + queue.objective_ms
        )
        took_ms = job.final_utc_ms - job.due_utc_ms(0)
        in_time = job.state is JobState.DONE and took_ms <= objective_ms
        self.log(
            "job_final",
            job=job.spec.job_id,
            queue=job.spec.queue,
            state=str(job.state),
            reason=job.reason,
            took_ms=took_ms,
            objective_ms=0 if job.spec.times else objective_ms,
            delays_ms=divide_duration(job, took_ms, self.now_ms, self.owned_since_ms),
            config_version=self.config.version if self.config else 0,
            queue_configured=self.is_configured(job),
            max_attempts=queue.max_attempts,
            trail=[] if in_time else job.trail,
        )
        job.trail = []

    def note_late_call(self, worker: WorkerState) -> None:
        """Note that a call to a worker may be carried out late."""
        self.late_call_workers[worker.worker_id] = worker
        self.late_calls_added = True

    def note_freed(self, worker: WorkerState) -> None:
        """Note that a worker's capacity was released, so that tasks may fit there."""
        self.freed_workers[worker.worker_id] = worker
        self.capacity_changed = True

    def is_exhausted(self, task: Task) -> bool:
        """Return whether so many runs of a task have failed that its job fails.

        Without a known limit none is; the task isn't started again until it is known.
        """
        limit = self.queue_of(task.job).max_attempts
        if task.spec.long_running or not limit:
            return False
        return len(task.failed_runs) >= limit

    def fail_exhausted(self, task: Task) -> None:
        """Fail the job of a task of which as many runs have failed as may."""
        limit = self.queue_of(task.job).max_attempts
        self.finish(task.job, JobState.FAILED, f"{task.name} failed {limit} times")

    # --- tasks ------------------------------------------------------------------------

    def requeue(self, task: Task, reason: str) -> None:
        """Let a placed task wait for its next run."""
        if task.status is not TaskStatus.PLACED:
            return
        task.status = TaskStatus.WAITING
        task.worker_id, task.incarnation = "", 0
        if task.job.final:
            return
        self.mark_dirty(task.job)
        self.unplaced.add(task.job)
        self.capacity_changed = True
        self.log_task("task_waits", task, task.run, reason=reason)

    def release(self, worker: WorkerState, run: Run, reason: str) -> None:
        """Release a run's reservation; requeue its task if this was its current run."""
        worker.remove(run)
        self.note_freed(worker)
        if run.current:
            self.requeue(run.task, reason)

    def finish_task(self, task: Task) -> None:
        """Mark a task as done, and its job if this was the last task."""
        if task.status is TaskStatus.DONE:
            return
        task.status = TaskStatus.DONE
        task.done_ms = self.now_ms
        job = task.job
        occurrence = job.occurrences[task.occurrence]
        occurrence.unfinished[task.step] -= 1
        self.stop_other_runs(task)
        if job.state in FINAL_STATES:
            return
        self.mark_dirty(job)
        self.unplaced.add(job)
        if occurrence.done and job.spec.times:
            del job.occurrences[task.occurrence]
        all_open = job.next_occurrence >= job.total_occurrences
        if all_open and all(item.done for item in job.occurrences.values()):
            self.finish(job, JobState.DONE, "every task is done")

    def stop_other_runs(self, task: Task) -> None:
        """Stop the remaining runs of a task that is done."""
        for run in task.reserved_runs:
            self.stop(run, "another run is done")

    def restore(self, job: Job) -> None:
        """Add a job from the store, with the runs of its placed tasks."""
        self.jobs[job.spec.job_id] = job
        if not job.final:
            self.unplaced.add(job)
            for task in job.crashed_tasks:
                if task.crashed_runs and not task.spec.gang:
                    task.suspected = True
                    self.suspects[task] = None
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
                if task.spec.fills:
                    run.sent_throttle_percent = UNKNOWN_THROTTLE
                worker.add(run)
                if task.starting:
                    self._expect_start(worker, run)
                if task.isolated_run == run.number:
                    worker.isolated_run = run
                    self.isolating.add(worker)
                if job.final:
                    self.stop(run, f"job {job.state}")

    def _expect_start(self, worker: WorkerState, run: Run) -> None:
        """Note a start that the last owner may yet send, so that it arrives late."""
        policy = self.policy
        until_ms = self.now_ms + policy.max_inherited_delay_ms
        worker.add_unanswered_start(run.key, until_ms, policy, self.now_ms)
        self.note_late_call(worker)
        self.starting_jobs[run.task.job.spec.job_id] = run.task.job

    def set_aside(self, job: Job, reason: str) -> None:
        """Fail a job that can't be handled, and forget its tasks.

        Their runs are then unknown, and are stopped where workers list them.
        """
        job.occurrences.clear()
        job.crashed_tasks.clear()
        job.state = JobState.FAILED
        job.reason = reason
        job.final_utc_ms = self.utc_ms
        self.jobs[job.spec.job_id] = job
        self.mark_dirty(job)
        self.log("job_set_aside", job=job.spec.job_id, reason=reason)

    def collect_records(self) -> tuple[ProgressRecord, ...]:
        """Return the progress records of the dirty jobs; none is dirty after that."""
        records = tuple(map(self._encode_record, self.dirty.values()))
        for job in self.dirty.values():
            job.stored = True
        self.dirty = {}
        return records

    def _encode_record(self, job: Job) -> ProgressRecord:
        """Return a job's record, without checkpoints for which it has no space.

        The store refuses a value over its limit, and with it the whole commit.
        """
        job_id = job.spec.job_id
        starting = find_starting(job)
        if starting:
            self.starting_jobs[job_id] = job
        else:
            self.starting_jobs.pop(job_id, None)
        value = job_records.encode_progress(job, starting=starting)
        excess_bytes = len(value) - self.policy.record_limit_bytes
        if excess_bytes <= 0:
            self.shortened.discard(job_id)
            return ProgressRecord(job_id, value)
        left_out = job_records.choose_left_out(job, excess_bytes)
        if job_id not in self.shortened:
            self.shortened.add(job_id)
            self.log(
                "checkpoints_left_out",
                job=job_id,
                record_bytes=len(value),
                limit_bytes=self.policy.record_limit_bytes,
                tasks=len(left_out),
            )
        value = job_records.encode_progress(job, left_out, starting)
        return ProgressRecord(job_id, value)


def find_starting(job: Job) -> list[Task]:
    """Return the tasks whose start may be yet to be sent or answered."""
    return [
        run.task
        for run in job.reserved_runs()
        if run.current and run.phase in (RunPhase.COMMITTING, RunPhase.SENT)
    ]
