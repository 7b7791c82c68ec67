"""Chooses which waiting tasks start next and places them."""

from itertools import chain, groupby
from operator import attrgetter

import attrs
from attrs import Factory, define

from poplarlb.coordination.jobs.advice import AdviceRequests
from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.fleet import Run, RunPhase, WorkerState
from poplarlb.coordination.jobs.isolation import Isolation
from poplarlb.coordination.jobs.placement import (
    Demand,
    WorkerChooser,
    list_racks,
)
from poplarlb.coordination.jobs.starvation import StarvedJobs, list_ready
from poplarlb.state.jobs import (
    Job,
    JobState,
    QueueConfig,
    StepSpec,
    Task,
    TaskStatus,
    sum_critical_path,
)

RELAXED_SLACK_SHARE = 0.75  # of a job's slack; with more left it may wait
# A long-running task that waited this long goes before all others and accepts a paused
# worker: half of the wait allowed while any worker has capacity, and, for a task that
# has run before, two thirds of it.
LONG_RUNNING_WAIT_MS = 1_500
LONG_RUNNING_RERUN_WAIT_MS = 4_000
LATE_FACTOR = 3  # a job that takes three times its objective has no value any more


@define(eq=False)
class Scheduler:
    """Places the unplaced tasks, those of the most urgent jobs first.

    A job's slack is how much longer its objective is than its critical path.

    :ivar chooser: chooses from the usable workers.
    :ivar paused_chooser: chooses from the paused ones.
    :ivar isolation: chooses for tasks that may crash their worker.
    :ivar starved_jobs: knows of which jobs nothing runs.
    :ivar next_full_round_ms: when all workers are next considered for every waiting
        task. Until then tasks that fitted nowhere are tried only at workers that
        released capacity.
    :ivar keys: the sort key of each job that was waiting since the last full round.
    """

    state: DispatcherState
    advice: AdviceRequests
    chooser: WorkerChooser = None
    paused_chooser: WorkerChooser = None
    isolation: Isolation = None
    starved_jobs: StarvedJobs = None
    next_full_round_ms: int = 0
    keys: dict[Job, tuple] = Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Create the choosers."""
        state = self.state
        self.chooser = WorkerChooser(
            state.policy, state.interference, state.refused_workers
        )
        self.paused_chooser = WorkerChooser(state.policy, state.interference)
        self.isolation = Isolation(state, self.chooser)
        self.starved_jobs = StarvedJobs(state)

    def place_waiting(self) -> None:
        """Run one scheduling round: place every ready task that fits."""
        state = self.state
        state.capacity_changed = False
        workers, paused_workers = self._split_workers()
        self._place_suspects(workers)
        if state.now_ms >= self.next_full_round_ms:
            self.next_full_round_ms = state.now_ms + state.policy.schedule_period_ms
            state.freed_workers.clear()
            state.interference.update_prior()
            self.keys.clear()
            self.chooser.begin_round(workers, state.now_ms)
            self._place_starved()
        else:
            self.chooser.begin_round(workers, state.now_ms, state.freed_workers)
        self.paused_chooser.begin_round(paused_workers, state.now_ms)
        for job in state.unplaced:
            if job not in self.keys:
                self.keys[job] = self.urgency_key(job)
        order = sorted(state.unplaced, key=self.keys.__getitem__)
        for job in order:
            self._place_job(job)
        self.advice.request_missing(self._rank_without_tickets, workers)
        self.starved_jobs.update()
        for job in self.starved_jobs.due_for_log():
            self._log_starved(job, order)

    def _log_starved(self, job: Job, order: list[Job]) -> None:
        """Log why nothing of a job is started, by the state after this round."""
        state = self.state
        tasks = list_ready(job)
        if not tasks:
            return
        queue = state.queue_of(job)
        demand = self._demand(tasks[0], queue)
        spec = demand.spec
        workers = self.chooser.workers.get(queue.service, ())
        state.log(
            "job_starves",
            task=tasks[0].name,
            queue=job.spec.queue,
            idle_ms=state.now_ms - self.starved_jobs.idle_since_ms[job],
            slack_ms=int(self._slack_ms(job)),
            position=order.index(job),
            waiting_jobs=len(order),
            cpu=spec.size.cpu_millis,
            memory_mb=spec.size.memory_mb,
            image=spec.image,
            best_effort=spec.fills,
            suspected=tasks[0] in state.suspects,
            usable_workers=len(workers),
            refused_workers=self.chooser.count_refusals(demand),
            oldest_answer_ms=max(
                (state.now_ms - item.answered_ms for item in workers), default=-1
            ),
        )

    def _split_workers(
        self,
    ) -> tuple[dict[str, list[WorkerState]], dict[str, list[WorkerState]]]:
        """Return the usable and the paused reachable workers, by service."""
        state = self.state
        usable: dict[str, list[WorkerState]] = {}
        paused: dict[str, list[WorkerState]] = {}
        for worker in state.workers.values():
            if not worker.is_reachable or worker.listing.zone in state.zones_out:
                continue
            taken = worker.held_for or worker.isolated_run
            if taken and self.isolation.keeps_alone(worker):
                continue
            found = usable if state.now_ms >= worker.paused_until_ms else paused
            found.setdefault(worker.listing.service, []).append(worker)
        return usable, paused

    def _place_suspects(self, workers: dict[str, list[WorkerState]]) -> None:
        """Place the tasks that may crash their worker, each isolated from other runs.

        The workers held for them are removed from ``workers``.
        """
        for task in self.isolation.list_waiting():
            queue = self.state.queue_of(task.job)
            if not task.spec.long_running and not self._startable_again([task], queue):
                continue
            usable = workers.setdefault(queue.service, [])
            demand = self._demand(task, queue)
            worker = self.isolation.choose(task, demand, usable)
            if worker is not None:
                run = self._reserve(task, worker, demand)
                self.isolation.begin(worker, run)
                self._commit_start(run)

    def _place_starved(self) -> None:
        """Start a task or a gang of each job that has starved as long as it may."""
        worker_count = sum(map(len, self.chooser.workers.values()))
        for job in self.starved_jobs.list_due(worker_count):
            queue = self.state.queue_of(job)
            ready = filter(self._may_end_starvation, list_ready(job))
            for _, step_tasks in groupby(ready, key=attrgetter("step_key")):
                tasks = self._startable_again(list(step_tasks), queue)
                if job.final or (tasks and self._place_starved_tasks(tasks, queue)):
                    break

    def _may_end_starvation(self, task: Task) -> bool:
        """Return whether a waiting task is started as soon as its job has starved.

        Tasks that last and aren't best-effort ones have a bounded wait of their own.
        """
        if task.spec.long_running and not task.spec.fills:
            return False
        return not task.reserved_runs and task not in self.state.suspects

    def _place_starved_tasks(self, tasks: list[Task], queue: QueueConfig) -> bool:
        """Place the first task of a step, or its gang; return whether it fitted."""
        task = tasks[0]
        for last_resort in (False, True) if task.spec.fills else (False,):
            if task.spec.gang:
                placed = self._place_gang(tasks, task.spec, queue, last_resort, True)
            else:
                placed = self._place_starved_task(task, queue, last_resort)
            if placed:
                idle_since_ms = self.starved_jobs.idle_since_ms[task.job]
                self.state.log_task(
                    "starved_job_placed",
                    task,
                    task.run,
                    idle_ms=self.state.now_ms - idle_since_ms,
                    last_resort=last_resort,
                )
                return True
        return False

    def _place_starved_task(
        self, task: Task, queue: QueueConfig, last_resort: bool
    ) -> bool:
        demand = attrs.evolve(self._demand(task, queue), last_resort=last_resort)
        worker = self.chooser.rank(demand).take()
        if worker is None:
            return False
        self._commit_start(self._reserve(task, worker, demand))
        self.chooser.margins.pop(worker.worker_id, None)
        return True

    def urgency_key(self, job: Job) -> tuple:
        """Return a job's sort key; the most urgent job sorts first.

        Jobs with long-running tasks that have waited as long as they may come first.
        Within a priority, jobs without such tasks come before the others. Then
        those come first that can still meet their objective, then those that can end
        within ``LATE_FACTOR`` times the objective. Of these, those come first that need
        the least work, so that most jobs end in time; a job that needs much comes
        forward as its slack shrinks.
        """
        queue = self.state.queue_of(job)
        slack_ms, objective_ms = self._slack_ms(job), self._objective_ms(job)
        late_slack_ms = slack_ms + (LATE_FACTOR - 1) * objective_ms
        if slack_ms >= 0:
            group, left = 0, slack_ms / max(objective_ms, 1)
        elif late_slack_ms >= 0:
            group, left = 1, late_slack_ms / max(objective_ms, 1)
        else:
            group, left = 2, 1.0
        # Long-running tasks keep their reservation; the others release it in seconds,
        # but a stream of them would take all of it, so waits are bounded.
        long_running = any(step.long_running for step in job.spec.steps)
        return (
            not (long_running and self._has_waited_long(job)),
            queue.priority,
            long_running,
            group,
            left * remaining_work(job),
            job.spec.job_id,
        )

    def _has_waited_long(self, job: Job) -> bool:
        """Return whether a long-running task has waited too long."""
        return any(
            task.status is TaskStatus.WAITING
            and task.waiting_since_ms
            and self._must_run_now(task)
            for occurrence in job.occurrences.values()
            for spec, tasks in zip(job.spec.steps, occurrence.steps, strict=True)
            if spec.long_running
            for task in tasks
        )

    def _must_run_now(self, task: Task) -> bool:
        """Return whether a waiting long-running task has waited as long as it may.

        Until then its room goes to short tasks, which release it again in time.
        """
        limit_ms = LONG_RUNNING_RERUN_WAIT_MS if task.run else LONG_RUNNING_WAIT_MS
        return self.state.now_ms - task.waiting_since_ms >= limit_ms

    def is_urgent(self, job: Job) -> bool:
        """Return whether a job has used up too much of its slack to wait further."""
        flexible_ms = self._objective_ms(job) - job.critical_path_ms
        return self._slack_ms(job) < RELAXED_SLACK_SHARE * flexible_ms

    def _objective_ms(self, job: Job) -> float:
        queue = self.state.queue_of(job)
        return objective_duration_ms(
            job, queue.critical_path_factor, queue.objective_ms
        )

    def _slack_ms(self, job: Job) -> float:
        """Return how long a job can still wait and meet its objective."""
        due_ms = job.due_utc_ms(min(job.occurrences, default=0))
        objective_ms = self._objective_ms(job)
        return due_ms + objective_ms - self.state.utc_ms - remaining_path_ms(job)

    def _place_job(self, job: Job) -> None:
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
                startable = [
                    task
                    for task in tasks
                    if not task.reserved_runs and task not in self.state.suspects
                ]
                if not spec.long_running and any(task.failed_runs for task in tasks):
                    startable = self._startable_again(startable, queue)
                    if job.final:
                        return
                waiting |= len(startable) < len(tasks)
                if not startable:
                    continue
                if spec.gang:
                    waiting |= not self._place_gang(startable, spec, queue)
                else:
                    waiting |= not self._place_tasks(startable, spec, queue)
        if not waiting:
            self.state.unplaced.discard(job)
            self.keys.pop(job, None)

    def _startable_again(self, tasks: list[Task], queue: QueueConfig) -> list[Task]:
        """Return those tasks that may be started by the number of their failed runs.

        While the limit isn't known that is none with a failed run. Once it is known, a
        task that has reached it fails its job.
        """
        if not queue.max_attempts:
            return [task for task in tasks if not task.failed_runs]
        exhausted = next(filter(self.state.is_exhausted, tasks), None)
        if exhausted is None:
            return tasks
        self.state.fail_exhausted(exhausted)
        return []

    def _place_tasks(
        self, tasks: list[Task], spec: StepSpec, queue: QueueConfig
    ) -> bool:
        """Place as many tasks of one step as fit; return whether all were placed."""
        demand = self._demand(tasks[0], queue)
        ranking = self.chooser.rank(demand)
        remaining = iter(tasks)
        for task in remaining:
            worker = ranking.take()
            if worker is None:
                remaining = chain((task,), remaining)
                break
            self._commit_start(self._reserve(task, worker, demand))
        unplaced = list(remaining)
        if spec.long_running:
            unplaced = self._place_at_paused_workers(unplaced, demand)
        return not unplaced

    def _place_at_paused_workers(self, tasks: list[Task], demand: Demand) -> list[Task]:
        """Place long-running tasks that have waited long; return the others.

        Also note since when each of the others has waited.
        """
        now_ms = self.state.now_ms
        ranking = None
        unplaced = []
        for task in tasks:
            task.waiting_since_ms = task.waiting_since_ms or now_ms
            worker = None
            if self._must_run_now(task):
                ranking = ranking or self.paused_chooser.rank(demand)
                worker = ranking.take()
            if worker is None:
                unplaced.append(task)
            else:
                self._commit_start(self._reserve(task, worker, demand))
        return unplaced

    def _demand(self, task: Task, queue: QueueConfig, rack: str = "") -> Demand:
        """Return what the tasks of a task's step require."""
        return Demand(
            task.spec,
            task.step_key,
            queue.service,
            rack,
            not task.spec.fills or self.is_urgent(task.job),
            self.advice.tickets.allowed(task.step_key) if queue.needs_advice else None,
        )

    def _rank_without_tickets(
        self, task: Task, queue: QueueConfig, rack: str
    ) -> list[WorkerState]:
        """Return the workers that a task could start at with a ticket, best first."""
        demand = attrs.evolve(self._demand(task, queue, rack), only=None)
        return [worker for _, _, worker in sorted(self.chooser.rank(demand).heap)]

    def _reserve(self, task: Task, worker: WorkerState, demand: Demand) -> Run:
        """Reserve capacity for a task at a worker; return the new run."""
        task.waiting_since_ms = 0
        task.placed_ms = self.state.now_ms
        task.first_placed_ms = task.first_placed_ms or self.state.now_ms
        task.run += 1
        task.status = TaskStatus.PLACED
        task.worker_id, task.incarnation = worker.worker_id, worker.incarnation
        run = Run(
            task,
            task.run,
            worker.worker_id,
            RunPhase.COMMITTING,
            self.state.now_ms,
        )
        run.resumed = bool(task.checkpoint)
        run.last_resort = demand.last_resort
        if demand.only is not None:
            run.ticket = demand.only[worker.worker_id].text
        worker.add(run)
        return run

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

    def _place_gang(
        self,
        tasks: list[Task],
        spec: StepSpec,
        queue: QueueConfig,
        last_resort: bool = False,
        any_rack: bool = False,
    ) -> bool:
        """Place all tasks of a gang, a step whose tasks run together, or none.

        Their runs have the same number. Returns whether they were placed.

        :param any_rack: a gang that should run in one rack and fits in none may run in
            several, where it takes longer.
        """
        if len(tasks) < spec.count:
            return False
        number = max(task.run for task in tasks)
        share_checkpoint(tasks)
        racks = [""]
        if spec.same_rack:
            racks = list_racks(self.chooser.workers.get(queue.service, ()))
            racks += [""] if any_rack else []
        for rack in racks:
            demand = self._demand(tasks[0], queue, rack)
            demand = attrs.evolve(demand, last_resort=last_resort)
            ranking = self.chooser.rank(demand)
            runs = []
            for task in tasks:
                task.run = number
                worker = ranking.take()
                if worker is None:
                    break
                runs.append(self._reserve(task, worker, demand))
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


def share_checkpoint(tasks: list[Task]) -> None:
    """Let a gang's tasks resume from one checkpoint; any member's is valid for all."""
    saved = next((task.checkpoint for task in tasks if task.checkpoint), "")
    for task in tasks:
        task.checkpoint = saved


def objective_duration_ms(
    job: Job, critical_path_factor: float, allowance_ms: int
) -> float:
    """Return how long after its scheduled start a job should be done.

    This is a multiple of the job's critical path plus a fixed allowance.
    """
    return critical_path_factor * job.critical_path_ms + allowance_ms


def remaining_work(job: Job) -> float:
    """Return the estimated processor time of a job's unfinished tasks.

    In thousandths of a processor times ms.
    """
    return sum(
        unfinished * step.size.cpu_millis * max(step.estimate_ms, 1)
        for occurrence in job.occurrences.values()
        for step, unfinished in zip(job.spec.steps, occurrence.unfinished, strict=True)
    )


def remaining_path_ms(job: Job) -> int:
    """Return the critical path of the unfinished steps of the oldest occurrence."""
    occurrence = job.occurrences.get(min(job.occurrences, default=0))
    unfinished = occurrence.unfinished if occurrence else None
    return sum_critical_path(job.spec.steps, unfinished)
