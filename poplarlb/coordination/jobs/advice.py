"""Asks which workers may run a step, for queues whose policy allows only some.

An answer names workers with a ticket each, valid for all tasks of the step during that
life of the worker. Which workers are good for a step stays; tickets expire.
"""

from attrs import Factory, define, frozen

from poplarlb.coordination.jobs.book import Book
from poplarlb.coordination.jobs.events import AdviceAnswered, AskAdvice
from poplarlb.coordination.jobs.fleet import WorkerState
from poplarlb.state.jobs import Job, TaskStatus

NAMES_PER_QUESTION = 12  # each name costs the service time, and answers come in turn
OPEN_QUESTIONS = 4  # the service takes one at a time from each daemon
TICKET_MARGIN_MS = 500  # a start must arrive while its ticket is valid
SPARE_TICKETS = 2  # beyond the tasks that wait, for workers that fill up meanwhile

StepKey = tuple[str, int, int]  # job, occurrence, step


@frozen
class Ticket:
    """Allows the tasks of a step at one life of a worker."""

    text: str
    life: int
    until_ms: int


@define(eq=False)
class AdviceDesk:
    """Keeps tickets and asks for those that are missing."""

    book: Book
    tickets: dict[StepKey, dict[str, Ticket]] = Factory(dict)
    denied: dict[StepKey, set[str]] = Factory(dict)
    asking: set[StepKey] = Factory(set)

    def allowed(self, step: StepKey) -> dict[str, Ticket]:
        """Return the tickets of a step that can still be used, by worker."""
        until_ms = self.book.now_ms + TICKET_MARGIN_MS
        return {
            worker_id: ticket
            for worker_id, ticket in self.tickets.get(step, {}).items()
            if ticket.until_ms > until_ms
            and self.book.worker(worker_id).life == ticket.life
        }

    def ask_due(self, workers: dict[str, list[WorkerState]]) -> None:
        """Ask for steps that have too few tickets for the tasks that wait."""
        book = self.book
        for job in book.unplaced:
            queue = book.queue_of(job)
            if not queue.needs_advice:
                continue
            for step, waiting in waiting_steps(job):
                if len(self.asking) >= OPEN_QUESTIONS:
                    return
                if step not in self.asking:
                    self._ask(step, waiting, workers.get(queue.service, ()))

    def _ask(self, step: StepKey, waiting: int, workers) -> None:
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
        unknown.sort(key=lambda worker: -worker.free().cpu_millis)
        names = tuple(worker.worker_id for worker in unknown[:NAMES_PER_QUESTION])
        self.asking.add(step)
        self.book.note("advice_asked", job=step[0], step=step[2], workers=len(names))
        self.book.commands.append(AskAdvice(step, names))

    def answered(self, event: AdviceAnswered) -> None:
        """Take an answer in; a failed one names no workers and denies none."""
        book = self.book
        self.asking.discard(event.step)
        if event.failed or event.step[0] not in book.jobs:
            return
        good = dict(event.good)
        tickets = self.tickets.setdefault(event.step, {})
        denied = self.denied.setdefault(event.step, set())
        denied.update(name for name in event.asked if name not in good)
        for worker_id, text in good.items():
            life = book.worker(worker_id).life
            until_ms = event.sent_ms + event.valid_ms
            tickets[worker_id] = Ticket(text, life, until_ms)
        book.room_changed = True

    def drop(self, step: StepKey, worker_id: str) -> None:
        """Forget a ticket that a worker refused."""
        self.tickets.get(step, {}).pop(worker_id, None)

    def forget_final(self) -> None:
        """Drop what is kept for jobs that are over."""
        for step in [step for step in self.tickets if self._is_over(step)]:
            del self.tickets[step]
            self.denied.pop(step, None)

    def _is_over(self, step: StepKey) -> bool:
        job = self.book.jobs.get(step[0])
        return job is None or job.final


def waiting_steps(job: Job):
    """Yield each ready step of a job with the number of its tasks that wait."""
    for occurrence in job.occurrences.values():
        for number, spec in enumerate(job.spec.steps):
            if not occurrence.is_ready(number, spec):
                continue
            waiting = sum(
                task.status is TaskStatus.WAITING for task in occurrence.steps[number]
            )
            if waiting:
                yield (job.spec.job_id, occurrence.number, number), waiting
