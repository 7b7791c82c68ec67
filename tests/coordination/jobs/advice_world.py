"""A world whose advice service handles one request after another."""

import attrs
from attrs import Factory, define

from poplarlb.coordination.jobs import events
from tests.coordination.jobs.job_world import JobWorld

MAX_WAITING = 32  # requests; further ones are rejected


@define(eq=False)
class AdviceWorld(JobWorld):
    """A world with an advice service that takes its time, and workers that check.

    The times are in ms. A ticket is valid for ``valid_ms`` from the answer, or from
    when the service begins to decide, with ``counts_from_answer`` false. ``advised``
    are the permitted workers; empty: all. The service answers nothing while it isn't
    ``service_up``, and takes ``slow_factor`` times as long.

    :ivar refused: the starts that workers refused for their tickets.
    :ivar rejected: how many requests were rejected, as too many were waiting.
    :ivar finished_ms: when the service will have decided on each request.
    """

    decide_ms: float = 100.0
    each_ms: float = 60.0
    valid_ms: int = 3_000
    counts_from_answer: bool = True
    service_up: bool = True
    refuses_all: bool = False  # workers take no ticket for valid
    slow_factor: float = 1.0
    valid_until_ms: dict[tuple[str, str], float] = Factory(dict)  # by step and worker
    refused: list[str] = Factory(list)
    rejected: int = 0
    finished_ms: list[float] = Factory(list)

    def placed_tasks(self) -> set[str]:
        """Return the tasks that an owner has placed at a worker."""
        return {event.fields["task"] for event in self.logged_events("task_placed")}

    def _advise(self, command, owner, sent_ms: int) -> None:
        self.advice_requests.append(command)
        failed = events.AdviceAnswered(
            command.step, command.workers, sent_ms, failed=True
        )
        if not self.service_up:
            self.later(1, lambda: self._answer(owner, failed))
            return
        self.finished_ms = [at for at in self.finished_ms if at > self.now_ms]
        if len(self.finished_ms) > MAX_WAITING:
            self.rejected += 1
            self.later(1, lambda: self._answer(owner, failed))
            return
        took_ms = self.decide_ms + self.each_ms * len(command.workers)
        began_ms = max([self.now_ms, *self.finished_ms])
        answered_ms = began_ms + took_ms * self.slow_factor
        self.finished_ms.append(answered_ms)
        counted_ms = answered_ms if self.counts_from_answer else began_ms
        timeout_ms = getattr(command, "timeout_ms", 5_000)

        def answer() -> None:
            advised = self.advised or self.workers.keys()
            names = [name for name in command.workers if name in advised]
            step = ".".join(map(str, command.step))
            for name in names:
                self.valid_until_ms[step, name] = counted_ms + self.valid_ms
            if answered_ms - sent_ms > timeout_ms:
                return
            tickets = tuple((name, f"t-{name}") for name in names)
            self._answer(
                owner,
                attrs.evolve(
                    failed, tickets=tickets, failed=False, valid_ms=self.valid_ms
                ),
            )

        self.later(answered_ms - self.now_ms, answer)
        if answered_ms - sent_ms > timeout_ms:
            self.later(timeout_ms, lambda: self._answer(owner, failed))

    def _execute(self, command, worker, sent_ms: int):
        if isinstance(command, events.StartRun) and worker.alive:
            step = command.task.rsplit(".", 1)[0]
            until_ms = self.valid_until_ms.get((step, worker.worker_id), 0.0)
            known = (command.task, command.run) in worker.runs
            if (self.refuses_all or self.now_ms >= until_ms) and not known:
                self.refused.append(command.task)
                return events.StartAnswered(
                    worker.worker_id,
                    command.task,
                    command.run,
                    sent_ms,
                    events.CallOutcome.NO_TICKET,
                    int(worker.clock_ms),
                )
        return super()._execute(command, worker, sent_ms)
