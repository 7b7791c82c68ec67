"""Asks the advice service which workers may run a step, for queues that need advice.

The service handles a daemon's requests one after another and takes time for each
worker. So one request is in flight at a time, and it names few workers.
"""

from collections import Counter
from collections.abc import Callable
from itertools import islice

from attrs import Factory, define

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import AdviceAnswered, AskAdvice
from poplarlb.coordination.jobs.fleet import WorkerState
from poplarlb.coordination.jobs.placement import count_fitting, list_racks
from poplarlb.coordination.jobs.tickets import TicketCache, margin_ms
from poplarlb.state.jobs import AdviceTimes, Job, QueueConfig, Task, TaskStatus

WORKERS_LIMIT = 100  # of one request
DEFAULT_WORKERS = 12  # of one request, while the service's times aren't known
REQUEST_SHARE = 0.5  # of a ticket's usable time that a request takes at most
SPARE_WORKERS = 2  # beyond one for each unplaced task, as some workers fill up
BASE_TIMEOUT_MS, MAX_TIMEOUT_MS = 5_000, 60_000  # of a request
MAX_SLOWNESS = 64.0
# Pauses after failed requests; they double with each failure.
MIN_RETRY_MS, MAX_RETRY_MS = 200, 2_000
STEPS_PER_ROUND = 8  # for which workers are searched in one scheduling round

# Returns the workers with capacity for a task in a rack, the best first.
Ranker = Callable[[Task, QueueConfig, str], list[WorkerState]]


@define(eq=False)
class AdviceRequests:
    """Asks for the tickets that steps lack, for one step at a time.

    :ivar open_request: the request in flight.
    :ivar asked_ms: when the service was last asked for a job, by the job's id.
    :ivar queue_asked_ms: the same for a queue, by its name.
    :ivar next_request_ms: when the next request may be sent.
    :ivar skipped_steps: how many steps need no request, by the latest rounds.
    :ivar asked_workers: for how many workers a queue's requests were answered.
    :ivar granted_workers: how many of these got a ticket.
    :ivar retry_ms: the pause after the next failed request.
    :ivar slowness: how much longer a request takes than the queue's times say.
    """

    state: DispatcherState
    tickets: TicketCache
    open_request: AskAdvice | None = None
    asked_ms: dict[str, int] = Factory(dict)
    queue_asked_ms: dict[str, int] = Factory(dict)
    next_request_ms: int = 0
    skipped_steps: int = 0
    asked_workers: Counter[str] = Factory(Counter)
    granted_workers: Counter[str] = Factory(Counter)
    retry_ms: int = MIN_RETRY_MS
    slowness: float = 1.0

    # --- requests ---------------------------------------------------------------------

    def request_missing(
        self, rank: Ranker, workers: dict[str, list[WorkerState]]
    ) -> None:
        """Ask for tickets for the first step that has too few.

        Steps that could start at once come before those for which no worker has
        capacity now.

        :param workers: the workers that may get new runs, by service.
        """
        state = self.state
        if self.open_request is not None or state.now_ms < self.next_request_ms:
            return
        jobs = [job for job in state.unplaced if state.queue_of(job).needs_advice]
        steps = [
            tasks for job in sorted(jobs, key=self._turn) for tasks in list_steps(job)
        ]
        end = self.skipped_steps + STEPS_PER_ROUND
        searched = steps[self.skipped_steps : end]
        crowded = len(steps) > 1
        for choose in (self._choose_startable, self._choose_for_later):
            for tasks in searched:
                queue = state.queue_of(tasks[0].job)
                found = choose(tasks, queue, rank, workers.get(queue.service, []))
                if found:
                    self.skipped_steps = 0
                    self._ask(tasks, queue, found, crowded)
                    return
        self.skipped_steps = end if end < len(steps) else 0
        self.next_request_ms = state.now_ms + state.policy.schedule_period_ms

    def _turn(self, job: Job) -> tuple[int, int, int]:
        """Return a job's sort key; queues take turns.

        Within a queue, jobs never asked for and older ones come first.
        """
        spec = job.spec
        queue_ms = self.queue_asked_ms.get(spec.queue, 0)
        return queue_ms, self.asked_ms.get(spec.job_id, 0), spec.accepted_utc_ms

    def _choose_startable(
        self,
        tasks: list[Task],
        queue: QueueConfig,
        rank: Ranker,
        workers: list[WorkerState],
    ) -> list[WorkerState]:
        """Return the workers without a ticket that have capacity for a step's tasks.

        Empty if those with one have enough, or if a gang fits nowhere as a whole.
        """
        spec, step = tasks[0].spec, tasks[0].step_key
        allowed = self.tickets.allowed(step)
        denied = self.tickets.denied.get(step, ())
        best: list[WorkerState] = []
        best_count = 0
        racks = list_racks(workers) if spec.gang and spec.same_rack else []
        for rack in [*racks, ""]:
            if best and not rack:
                break  # it fits in one rack
            found = [
                worker
                for worker in rank(tasks[0], queue, rack)
                if worker.worker_id not in denied
            ]
            counts = {
                worker.worker_id: count_fitting(worker, spec, step) for worker in found
            }
            if sum(counts[name] for name in counts if name in allowed) >= len(tasks):
                return []
            count = sum(counts.values())
            if spec.gang and count < len(tasks):
                continue
            if count > best_count:
                best, best_count = found, count
        return [worker for worker in best if worker.worker_id not in allowed]

    def _choose_for_later(
        self,
        tasks: list[Task],
        queue: QueueConfig,
        rank: Ranker,
        workers: list[WorkerState],
    ) -> list[WorkerState]:
        """Return the workers at which a step's tasks may fit later.

        Empty if enough of them have a ticket, and for a gang, which needs capacity at
        several workers at once.
        """
        spec, step = tasks[0].spec, tasks[0].step_key
        if spec.gang:
            return []
        allowed = self.tickets.allowed(step)
        denied = self.tickets.denied.get(step, ())
        possible = [
            worker
            for worker in workers
            if spec.size.fits_in(worker.listing.capacity)
            and (
                not spec.required_label or spec.required_label in worker.listing.labels
            )
        ]
        if (
            sum(worker.worker_id in allowed for worker in possible)
            >= len(tasks) + SPARE_WORKERS
        ):
            return []
        unknown = [
            worker
            for worker in possible
            if worker.worker_id not in allowed and worker.worker_id not in denied
        ]
        return sorted(unknown, key=lambda item: -item.free_capacity().cpu_millis)

    def _ask(
        self,
        tasks: list[Task],
        queue: QueueConfig,
        candidates: list[WorkerState],
        crowded: bool,
    ) -> None:
        """Send a request for the first of the candidates.

        :param crowded: other steps wait, so a worker is counted for several tasks.
        """
        state = self.state
        spec, step = tasks[0].spec, tasks[0].step_key
        permitted = self.tickets.tickets.get(step, {})
        most = WORKERS_LIMIT if spec.gang else self._most_workers(queue.advice)
        rate = (self.granted_workers[queue.name] + 1) / (
            self.asked_workers[queue.name] + 2
        )
        # Whether a worker may run the step doesn't change.
        candidates = sorted(
            candidates, key=lambda worker: worker.worker_id not in permitted
        )
        missing = float(len(tasks))
        names: list[str] = []
        for worker in islice(candidates, most):
            if missing <= 0:
                break
            fitting = count_fitting(worker, spec, step) if crowded else 1
            chance = 1.0 if worker.worker_id in permitted else rate
            missing -= max(min(fitting, len(tasks)), 1) * chance
            names.append(worker.worker_id)
        if not crowded:
            most = min(most, len(names) + SPARE_WORKERS)
            names = [worker.worker_id for worker in islice(candidates, most)]
        expected_ms = queue.advice.decide_ms + queue.advice.each_ms * len(names)
        timeout_ms = min(
            BASE_TIMEOUT_MS + int(2 * expected_ms * self.slowness), MAX_TIMEOUT_MS
        )
        self.open_request = AskAdvice(step, tuple(names), expected_ms, timeout_ms)
        self.asked_ms[step[0]] = self.queue_asked_ms[queue.name] = state.now_ms
        state.log(
            "advice_asked",
            job=step[0],
            step=step[2],
            workers=len(names),
            expected_ms=expected_ms,
        )
        state.commands.append(self.open_request)

    def _most_workers(self, times: AdviceTimes) -> int:
        """Return for how many workers the service decides soon enough."""
        if not times.valid_ms:
            return max(int(DEFAULT_WORKERS / self.slowness), 1)
        usable_ms = times.valid_ms - margin_ms(times.valid_ms)
        decide_ms = usable_ms * REQUEST_SHARE / self.slowness - times.decide_ms
        return min(max(int(decide_ms / max(times.each_ms, 1)), 1), WORKERS_LIMIT)

    # --- answers ----------------------------------------------------------------------

    def on_answer(self, event: AdviceAnswered) -> None:
        """Keep an answer's tickets; a failed request allows and denies no worker."""
        state = self.state
        request, self.open_request = self.open_request, None
        took_ms = state.now_ms - event.sent_ms
        state.log(
            "advice_answered",
            job=event.step[0],
            step=event.step[2],
            workers=len(event.asked_workers),
            tickets=len(event.tickets),
            failed=event.failed,
            took_ms=took_ms,
            valid_ms=event.valid_ms,
        )
        if request is not None:
            self._note_time(request, took_ms, event.failed)
        job = state.jobs.get(event.step[0])
        if event.failed or job is None:
            return
        queue = state.queue_of(job)
        self.asked_workers[queue.name] += len(event.asked_workers)
        self.granted_workers[queue.name] += self.tickets.store(event)
        state.capacity_changed = True

    def forget_final(self) -> None:
        """Forget the jobs that are final or forgotten, and their tickets."""
        for job_id in [name for name in self.asked_ms if self.state.is_over(name)]:
            del self.asked_ms[job_id]
        self.tickets.forget_final()

    def _note_time(self, request: AskAdvice, took_ms: int, failed: bool) -> None:
        """Adapt the next requests to how long one took or whether it failed."""
        if not failed:
            self.retry_ms = MIN_RETRY_MS
            if request.expected_ms:
                slowness = max(took_ms / request.expected_ms, 1.0)
                self.slowness = min(slowness, MAX_SLOWNESS)
            return
        if took_ms >= request.timeout_ms:
            self.slowness = min(2 * self.slowness, MAX_SLOWNESS)
        self.next_request_ms = self.state.now_ms + self.retry_ms
        self.retry_ms = min(2 * self.retry_ms, MAX_RETRY_MS)


def list_steps(job: Job):
    """Yield the unplaced tasks of each ready step of a job."""
    for occurrence in job.occurrences.values():
        for number, spec in enumerate(job.spec.steps):
            if not occurrence.is_ready(number, spec):
                continue
            waiting = [
                task
                for task in occurrence.steps[number]
                if task.status is TaskStatus.WAITING
            ]
            if waiting:
                yield waiting
