"""Chooses which waiting tasks start next and places them."""

from attrs import define

from poplarlb.coordination.jobs.advice import TicketCache
from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.coordination.jobs.placement import WorkerChooser
from poplarlb.state.jobs import Job, JobState, Task, TaskStatus, critical_path_ms

RELAXED_SLACK_SHARE = 0.75  # of a job's slack; with more left it may wait
# A long-running task that waited this long accepts a paused worker; half of the wait
# allowed while any worker has capacity.
LONG_RUNNING_WAIT_MS = 1_500
LATE_FACTOR = 3  # a job that takes three times its objective has no value any more


@define(eq=False)
class Scheduler:
    """Places the unplaced tasks, those of the most urgent jobs first.

    A job's slack is how much longer its objective is than its critical path.
    """

    state: DispatcherState
    advice: TicketCache
    paused_chooser: WorkerChooser = None  # chooses from the paused workers

    def place_waiting(self) -> None:
        """Run one scheduling round: place every ready task that fits."""
        state = self.state
        state.capacity_changed = False
        chooser = WorkerChooser(state.policy, state.interference, self._workers(True))
        self.paused_chooser = WorkerChooser(
            state.policy, state.interference, self._workers(False)
        )
        self.advice.request_missing(chooser.workers)
        for job in sorted(state.unplaced, key=self.urgency_key):
            self._place_job(job, chooser)

    def _workers(self, usable: bool) -> dict[str, list[WorkerState]]:
        """Return reachable workers by service: the usable or the paused ones."""
        state = self.state
        found: dict[str, list[WorkerState]] = {}
        for worker in state.workers.values():
            if not worker.is_reachable or worker.is_usable(state.now_ms) != usable:
                continue
            if worker.listing.zone in state.zones_out:
                continue
            found.setdefault(worker.listing.service, []).append(worker)
        return found

    def urgency_key(self, job: Job) -> tuple:
        """Return a job's sort key; the most urgent job sorts first.

        Within a priority, jobs without long-running steps come first. Then those come
        first that can still meet their objective, then those that can end within
        ``LATE_FACTOR`` times the objective; of these, those with the least slack left.
        """
        queue = self.state.queue_of(job)
        objective_ms = objective_duration_ms(
            job, queue.critical_path_factor, queue.objective_ms
        )
        due_ms = job.due_utc_ms(min(job.occurrences, default=0))
        time_left_ms = due_ms + objective_ms - self.state.utc_ms
        path_left_ms = remaining_path_ms(job)
        if time_left_ms >= path_left_ms:
            group = 0
        elif time_left_ms + (LATE_FACTOR - 1) * objective_ms >= path_left_ms:
            group = 1
        else:
            group = 2
        # Long-running tasks keep their reservation; the others release it in seconds.
        long_running = any(step.long_running for step in job.spec.steps)
        return (
            queue.priority,
            long_running,
            group,
            time_left_ms - path_left_ms,
            job.spec.job_id,
        )

    def is_urgent(self, job: Job) -> bool:
        """Return whether a job has used up too much of its slack to wait further."""
        queue = self.state.queue_of(job)
        objective_ms = objective_duration_ms(
            job, queue.critical_path_factor, queue.objective_ms
        )
        due_ms = job.due_utc_ms(min(job.occurrences, default=0))
        slack_ms = due_ms + objective_ms - self.state.utc_ms - remaining_path_ms(job)
        return slack_ms < RELAXED_SLACK_SHARE * (objective_ms - critical_path_ms(job))

    def _place_job(self, job: Job, chooser: WorkerChooser) -> None:
        queue = self.state.queue_of(job)
        waiting = False
        for occurrence in job.occurrences.values():
            for step, spec in enumerate(job.spec.steps):
                if not occurrence.is_ready(step, spec):
                    continue
                tasks = [
                    task
                    for task in occurrence.steps[step]
                    if task.status is TaskStatus.WAITING
                ]
                startable = [task for task in tasks if not task.reserved_runs]
                waiting |= len(startable) < len(tasks)
                if spec.gang:
                    placed = self._place_gang(startable, spec, queue.service, chooser)
                    waiting |= bool(tasks) and not placed
                    continue
                urgent = spec.fills and self.is_urgent(job)
                for task in startable:
                    run = self._reserve(task, queue.service, chooser, urgent=urgent)
                    if run is None:
                        waiting = True
                    else:
                        self._commit_start(run)
        if not waiting:
            self.state.unplaced.discard(job)

    def _reserve(
        self,
        task: Task,
        service: str,
        chooser: WorkerChooser,
        rack: str = "",
        urgent: bool = True,
    ) -> Run | None:
        """Choose a worker and reserve capacity there; None if there is none."""
        state = self.state
        tickets = None
        if state.queue_of(task.job).needs_advice:
            tickets = self.advice.allowed(task.step_key)
        worker = chooser.choose(task, service, rack, urgent, tickets)
        if worker is None and self._accepts_paused_workers(task):
            worker = self.paused_chooser.choose(task, service, rack, urgent, tickets)
        if worker is None:
            task.waiting_since_ms = task.waiting_since_ms or state.now_ms
            return None
        task.waiting_since_ms = 0
        task.run += 1
        task.status = TaskStatus.PLACED
        task.worker_id, task.incarnation = worker.worker_id, worker.incarnation
        run = Run(task, task.run, worker.worker_id, RunPhase.COMMITTING, state.now_ms)
        run.resumed = bool(task.checkpoint)
        if tickets is not None:
            run.ticket = tickets[worker.worker_id].text
        worker.add(run)
        return run

    def _accepts_paused_workers(self, task: Task) -> bool:
        """Return whether a task may be placed at a paused worker."""
        waited_ms = self.state.now_ms - (task.waiting_since_ms or self.state.now_ms)
        return task.spec.long_running and waited_ms >= LONG_RUNNING_WAIT_MS

    def _commit_start(self, run: Run) -> None:
        """Have a run stored with the next commit and started after it."""
        state = self.state
        task = run.task
        worker = state.workers[run.worker_id]
        state.to_start.append(run)
        waited_ms = state.utc_ms - task.job.due_utc_ms(task.occurrence)
        state.log_task(
            "task_placed",
            task,
            task.run,
            worker=worker.worker_id,
            free_cpu=worker.free_capacity().cpu_millis,
            figures_ms_ago=state.now_ms - worker.answered_ms,
            worker_paused=not worker.is_usable(state.now_ms),
            waited_ms=waited_ms,
        )
        if task.job.state is JobState.PENDING:
            task.job.state = JobState.ACTIVE
            state.log(
                "job_begun",
                job=task.job.spec.job_id,
                queue=task.job.spec.queue,
                waited_ms=waited_ms,
            )
        state.mark_dirty(task.job)

    def _place_gang(self, tasks, spec, service: str, chooser: WorkerChooser) -> bool:
        """Place all tasks of a gang, a step whose tasks run together, or none.

        Their runs have the same number. Returns whether they were placed.
        """
        if len(tasks) < spec.count:
            return False
        number = max(task.run for task in tasks)
        racks = [""]
        if spec.same_rack:  # every label of a worker but the first may name its rack
            racks = sorted(
                {
                    label
                    for worker in chooser.workers.get(service, ())
                    for label in worker.listing.labels[1:]
                }
            )
        for rack in racks:
            for task in tasks:
                task.run = number
            runs = []
            for task in tasks:
                run = self._reserve(task, service, chooser, rack)
                if run is None:
                    break
                runs.append(run)
            if len(runs) == len(tasks):
                for run in runs:
                    self._commit_start(run)
                return True
            self._release_gang(runs)
        return False

    def _release_gang(self, runs: list[Run]) -> None:
        """Release the reservations for a gang that doesn't fit as a whole."""
        for run in runs:
            self.state.workers[run.worker_id].remove(run)
            run.task.status = TaskStatus.WAITING
            run.task.worker_id, run.task.incarnation = "", 0


def objective_duration_ms(
    job: Job, critical_path_factor: float, allowance_ms: int
) -> float:
    """Return how long after its scheduled start a job should be done.

    This is a multiple of the job's critical path plus a fixed allowance.
    """
    return critical_path_factor * critical_path_ms(job) + allowance_ms


def remaining_path_ms(job: Job) -> int:
    """Return the critical path of the unfinished steps of the oldest occurrence."""
    occurrence = job.occurrences.get(min(job.occurrences, default=0))
    ends: list[int] = []
    for number, step in enumerate(job.spec.steps):
        begin = max((ends[earlier] for earlier in step.after), default=0)
        unfinished = occurrence is None or occurrence.unfinished[number] > 0
        ends.append(begin + (step.estimate_ms if unfinished else 0))
    return max(ends, default=0)
