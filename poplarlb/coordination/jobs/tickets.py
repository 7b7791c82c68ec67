"""Keeps the tickets by which workers start the tasks of queues that need advice.

The advice service gives them; each is a text that is sent with a start, without which
the worker refuses it. A ticket permits all tasks of a step at the worker's present
incarnation until it expires. A worker once denied for a step stays denied.
"""

import attrs
from attrs import Factory, define, frozen

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.events import AdviceAnswered
from poplarlb.coordination.jobs.fleet import Run

TICKET_MARGIN_MS = 500  # a start must arrive while its ticket is valid
MARGIN_SHARE = 0.25  # of the validity; the margin isn't longer
# A ticket's validity may count from the answer or from an earlier time. Also one that
# may have expired on the way is used for this long: the worker refuses it at worst.
FRESH_MS = 1_000
DISTRUST_MS = 10_000  # no use of such tickets after one was refused

StepKey = tuple[str, int, int]  # job, occurrence, step


@frozen
class Ticket:
    """Permits the tasks of a step at one incarnation of a worker, until it expires.

    It is valid until ``certain_until_ms`` and may be until ``until_ms``, both on the
    daemon's monotonic clock. A start is sent ``margin_ms`` earlier at the latest.
    """

    text: str
    incarnation: int
    certain_until_ms: int
    until_ms: int
    margin_ms: int


@define(eq=False)
class TicketCache:
    """Keeps the tickets of each step, and which workers were denied.

    :ivar tickets: by step and worker, also the expired ones.
    :ivar denied: the workers for which the service gave no ticket, by step.
    :ivar distrust_until_ms: only certain tickets are used until then.
    """

    state: DispatcherState
    tickets: dict[StepKey, dict[str, Ticket]] = Factory(dict)
    denied: dict[StepKey, set[str]] = Factory(dict)
    distrust_until_ms: int = 0

    def allowed(self, step: StepKey) -> dict[str, Ticket]:
        """Return the tickets of a step that may be used for a start, by worker."""
        now_ms = self.state.now_ms
        return {
            worker_id: ticket
            for worker_id, ticket in self.tickets.get(step, {}).items()
            if self._expires_ms(ticket) - ticket.margin_ms > now_ms
            and self.state.worker(worker_id).incarnation == ticket.incarnation
        }

    def _expires_ms(self, ticket: Ticket) -> int:
        trusted = self.state.now_ms >= self.distrust_until_ms
        return ticket.until_ms if trusted else ticket.certain_until_ms

    def permits(self, run: Run) -> bool:
        """Return whether a run needs no ticket or its ticket may still be valid."""
        if not run.ticket:
            return True
        ticket = self.tickets.get(run.task.step_key, {}).get(run.worker_id)
        if ticket is None or ticket.text != run.ticket:
            return False
        return self.state.now_ms < self._expires_ms(ticket)

    def on_refused(self, run: Run) -> None:
        """Drop a ticket that a worker refused."""
        tickets = self.tickets.get(run.task.step_key, {})
        ticket = tickets.get(run.worker_id)
        if ticket is None or ticket.text != run.ticket:
            return
        tickets[run.worker_id] = attrs.evolve(ticket, certain_until_ms=0, until_ms=0)
        if run.sent_ms >= ticket.certain_until_ms:
            self.distrust_until_ms = self.state.now_ms + DISTRUST_MS

    def forget_final(self) -> None:
        """Drop the tickets and denials for jobs that are final or forgotten."""
        for step in [step for step in self.tickets if self.state.is_over(step[0])]:
            del self.tickets[step]
            self.denied.pop(step, None)

    def store(self, event: AdviceAnswered) -> int:
        """Store the tickets and denials in an answer; return the number of tickets."""
        state = self.state
        granted = {
            name: text for name, text in event.tickets if name in event.asked_workers
        }
        self.denied.setdefault(event.step, set()).update(
            name for name in event.asked_workers if name not in granted
        )
        certain_until_ms = event.sent_ms + event.valid_ms
        fresh_until_ms = state.now_ms + min(event.valid_ms, FRESH_MS)
        tickets = self.tickets.setdefault(event.step, {})
        for worker_id, text in granted.items():
            tickets[worker_id] = Ticket(
                text,
                state.worker(worker_id).incarnation,
                certain_until_ms,
                max(certain_until_ms, fresh_until_ms),
                margin_ms(event.valid_ms),
            )
        return len(granted)


def margin_ms(valid_ms: int) -> int:
    """Return how long before a ticket's end a start with it is sent at the latest."""
    return min(TICKET_MARGIN_MS, int(valid_ms * MARGIN_SHARE))
