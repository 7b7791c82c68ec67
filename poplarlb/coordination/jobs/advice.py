"""Asks the advice service which workers may run a step, for queues that need advice.

An answer names workers with a ticket each: a text that is sent with a start, without
which the worker refuses it. A ticket permits all tasks of the step at the worker's
present incarnation until it expires. A worker once denied for a step stays denied.
"""

from attrs import Factory, define, frozen

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import AdviceAnswered, AskAdvice
from poplarlb.coordination.jobs.fleet import WorkerState
from poplarlb.state.jobs import Job, TaskStatus

# The service takes time for each worker, and handles a daemon's requests one after
# another.
WORKERS_PER_REQUEST = 12
MAX_OPEN_REQUESTS = 4
TICKET_MARGIN_MS = 500  # a start must arrive while its ticket is valid
SPARE_TICKETS = 2  # beyond one for each unplaced task, as some workers fill up

StepKey = tuple[str, int, int]  # job, occurrence, step


@frozen
class Ticket:
    """Permits the tasks of a step at one incarnation of a worker, until it expires."""

    text: str
    incarnation: int
    until_ms: int  # on the daemon's monotonic clock


@define(eq=False)
class TicketCache:
    """Keeps the tickets of each step and asks for missing ones.

    :ivar denied: the workers for which the service gave no ticket, by step.
    :ivar open_requests: the steps for which a request is in flight.
    :ivar asked_ms: when the service was last asked for a job, by the job's id.
    """

    state: DispatcherState
    tickets: dict[StepKey, dict[str, Ticket]] = Factory(dict)
    denied: dict[StepKey, set[str]] = Factory(dict)
    open_requests: set[StepKey] = Factory(set)
    asked_ms: dict[str, int] = Factory(dict)

    def allowed(self, step: StepKey) -> dict[str, Ticket]:
        """Return the valid tickets of a step, by worker."""
        min_until_ms = self.state.now_ms + TICKET_MARGIN_MS
        return {
            worker_id: ticket
            for worker_id, ticket in self.tickets.get(step, {}).items()
            if ticket.until_ms > min_until_ms
            and self.state.worker(worker_id).incarnation == ticket.incarnation
        }

    def request_missing(self, workers: dict[str, list[WorkerState]]) -> None:
        """Ask for tickets for the steps with too few for their unplaced tasks.

        :param workers: the workers that may get new runs, by service.
        """
        state = self.state
        jobs = [job for job in state.unplaced if state.queue_of(job).needs_advice]
        for job in sorted(jobs, key=self._turn):
            queue = state.queue_of(job)
            for step, waiting in unplaced_steps(job):
                if len(self.open_requests) >= MAX_OPEN_REQUESTS:
                    return
                if step not in self.open_requests:
                    self._request_if_too_few(
                        step, waiting, workers.get(queue.service, ())
                    )

    def _turn(self, job: Job) -> tuple[int, int]:
        """Return a job's sort key; jobs never asked for and older ones come first."""
        job_id = job.spec.job_id
        return self.asked_ms.get(job_id, 0), job.spec.accepted_utc_ms

    def _request_if_too_few(self, step: StepKey, waiting: int, workers) -> None:
        allowed = self.allowed(step)
        if len(allowed) >= waiting + SPARE_TICKETS:
            return
        denied = self.denied.get(step, set())
        unknown = [
            worker
            for worker in workers
            if worker.worker_id not in allowed and worker.worker_id not in denied
        ]
        if not unknown:
            return
        unknown.sort(key=lambda worker: -worker.free_capacity().cpu_millis)
        names = tuple(worker.worker_id for worker in unknown[:WORKERS_PER_REQUEST])
        self.open_requests.add(step)
        self.asked_ms[step[0]] = self.state.now_ms
        self.state.log("advice_asked", job=step[0], step=step[2], workers=len(names))
        self.state.commands.append(AskAdvice(step, names))

    def on_answer(self, event: AdviceAnswered) -> None:
        """Keep an answer's tickets; a failed request allows and denies no worker."""
        state = self.state
        state.log(
            "advice_answered",
            job=event.step[0],
            step=event.step[2],
            workers=len(event.asked_workers),
            tickets=len(event.tickets),
            failed=event.failed,
            took_ms=state.now_ms - event.sent_ms,
            valid_ms=event.valid_ms,
            open_requests=len(self.open_requests),
        )
        self.open_requests.discard(event.step)
        if event.failed or event.step[0] not in state.jobs:
            return
        granted = dict(event.tickets)
        tickets = self.tickets.setdefault(event.step, {})
        denied = self.denied.setdefault(event.step, set())
        denied.update(name for name in event.asked_workers if name not in granted)
        for worker_id, text in granted.items():
            incarnation = state.worker(worker_id).incarnation
            until_ms = event.sent_ms + event.valid_ms
            tickets[worker_id] = Ticket(text, incarnation, until_ms)
        state.capacity_changed = True

    def drop(self, step: StepKey, worker_id: str) -> None:
        """Drop a ticket that a worker refused."""
        self.tickets.get(step, {}).pop(worker_id, None)

    def forget_final(self) -> None:
        """Drop the tickets and denials for jobs that are final or forgotten."""
        for step in [step for step in self.tickets if self._is_final(step[0])]:
            del self.tickets[step]
            self.denied.pop(step, None)
        for job_id in [name for name in self.asked_ms if self._is_final(name)]:
            del self.asked_ms[job_id]

    def _is_final(self, job_id: str) -> bool:
        job = self.state.jobs.get(job_id)
        return job is None or job.final


def unplaced_steps(job: Job):
    """Yield each ready step of a job with the number of its unplaced tasks."""
    for occurrence in job.occurrences.values():
        for number, spec in enumerate(job.spec.steps):
            if not occurrence.is_ready(number, spec):
                continue
            waiting = sum(
                task.status is TaskStatus.WAITING for task in occurrence.steps[number]
            )
            if waiting:
                yield (job.spec.job_id, occurrence.number, number), waiting
