"""Tells the next owner how long the leases of workers that don't answer may last.

A worker that can't be reached keeps its tasks until its lease is over. The owner stores
how much of that time is left, so that a takeover doesn't begin the wait anew. While the
store may hold such a record, no lease is renewed at the worker: the next owner would
wait too short a time.
"""

from attrs import define

from poplarlb.coordination.jobs.book import Book
from poplarlb.coordination.jobs.fleet import WorkerState
from poplarlb.state.job_records import Lapse

FIRST_LOOKS_MS = 500  # workers that live answer a new owner's first look within this


@define(eq=False)
class SilentWorkers:
    """Decides when the record of silent workers is stored and what it says.

    :ivar begun_ms: when this ownership began.
    :ivar sent: the workers named by the record that is on its way to the store.
    """

    book: Book
    begun_ms: int = 0
    next_ms: int = 0
    sent: frozenset[str] | None = None

    def restore(self, lapses: tuple[Lapse, ...]) -> None:
        """Take in what the last owner stored."""
        book = self.book
        for lapse in lapses:
            book.lapsing.add(lapse.worker_id)
            if lapse.worker_id in book.workers:
                worker = book.workers[lapse.worker_id]
                worker.unknown_until_ms = book.now_ms + lapse.rest_ms

    def record(self) -> tuple[Lapse, ...] | None:
        """Return the record to be stored; None if the stored one still serves."""
        book = self.book
        if book.now_ms < self.begun_ms + FIRST_LOOKS_MS:
            return None
        lapses = tuple(
            Lapse(worker.worker_id, rest_ms)
            for worker in book.workers.values()
            if worker.runs and worker.is_silent(book.policy, book.now_ms)
            if (rest_ms := worker.lease_rest_ms(book.policy, book.now_ms)) > 0
        )
        silent = frozenset(lapse.worker_id for lapse in lapses)
        if silent >= book.lapsing and (not silent or book.now_ms < self.next_ms):
            return None
        if silent != book.lapsing:
            rests = {lapse.worker_id: lapse.rest_ms for lapse in lapses}
            book.note("workers_silent", lease_rest_ms=rests)
        self.next_ms = book.now_ms + book.policy.lapse_period_ms
        self.sent = silent
        book.lapsing |= silent
        return lapses

    def committed(self) -> None:
        """Take in that the record on its way is stored."""
        if self.sent is not None:
            self.book.lapsing = set(self.sent)
            self.sent = None


def may_renew(book: Book, worker: WorkerState) -> bool:
    """Tell whether a lease may begin or go on at a worker."""
    return worker.worker_id not in book.lapsing
