"""What the owner tells at a glance: counts of waiting jobs, and the workers' load."""

from collections import Counter

from attrs import define

from poplarlb.coordination.jobs.book import Book
from poplarlb.state.job_records import WaitingCounts
from poplarlb.state.jobs import JobState

LOAD_NOTE_PERIOD_MS = 2_000  # 0.5 of the 20 log lines a second that operators allow


@define(eq=False)
class Overview:
    """Decides when counts are stored and the load is logged."""

    book: Book
    next_count_ms: int = 0
    next_confirm_ms: int = 0
    next_load_note_ms: int = 0
    told: dict[str, int] | None = None  # the counts that were stored last

    def count_waiting(self) -> WaitingCounts | None:
        """Return the counts of jobs that haven't begun, if they are to be stored."""
        book = self.book
        if book.now_ms < self.next_count_ms:
            return None
        self.next_count_ms = book.now_ms + book.policy.status_period_ms
        counts = Counter(
            job.spec.queue
            for job in book.jobs.values()
            if job.state is JobState.PENDING
        )
        if counts == self.told and book.now_ms < self.next_confirm_ms:
            return None
        self.told = counts
        self.next_confirm_ms = book.now_ms + book.policy.status_confirm_ms
        return WaitingCounts(book.utc_ms, dict(counts))

    def note_load(self) -> None:
        """Log how full the workers are and what waits, now and then."""
        book = self.book
        if book.now_ms < self.next_load_note_ms:
            return
        self.next_load_note_ms = book.now_ms + LOAD_NOTE_PERIOD_MS
        usable = [worker for worker in book.workers.values() if worker.listed]
        waiting = Counter(job.spec.queue for job in book.unplaced)
        book.note(
            "load",
            workers=len(usable),
            paused=sum(not worker.is_usable(book.now_ms) for worker in usable),
            serving_workers=sum(worker.serving > 0 for worker in usable),
            capacity_cpu=sum(item.listing.capacity.cpu_millis for item in usable),
            reserved_cpu=sum(item.reserved.cpu_millis for item in usable),
            filling_cpu=sum(item.filling_cpu for item in usable),
            runs=sum(len(item.runs) for item in usable),
            jobs_waiting=dict(waiting),
        )
