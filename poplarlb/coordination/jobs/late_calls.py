"""Records for the next owner which calls may still be carried out late.

A start that got no answer may be carried out seconds later, also by the next
incarnation of its worker, which then runs the task by a lease of its own; that
incarnation may also have answered it already. Other calls for an earlier incarnation
may renew that lease. The owner doesn't start the task elsewhere while that may be so,
and neither must the next owner.

Starts that may be yet to be sent or answered are named in the records of their jobs,
which are stored before the starts are sent.
"""

from collections.abc import Iterator

from attrs import define

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState, find_starting
from poplarlb.coordination.jobs.fleet import WorkerState
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state.job_records import LateCall

MAX_LOGGED_CALLS = 20  # of one record


@define(eq=False)
class LateCalls:
    """Decides when the record of late calls is stored, and its content.

    :ivar recorded: the workers and runs that the record last stored names.
    :ivar next_ms: when the remaining times are stored again.
    :ivar next_refresh_ms: when the records of jobs are next reviewed.
    """

    state: DispatcherState
    recorded: frozenset[tuple[str, str, int]] = frozenset()
    next_ms: int = 0
    next_refresh_ms: int = 0

    def restore(self, late_calls: tuple[LateCall, ...]) -> None:
        """Apply the record of the last owner."""
        state = self.state
        for call in late_calls:
            worker = state.workers.get(call.worker_id)
            if worker is None:
                continue
            remaining_ms = min(call.remaining_ms, state.policy.max_inherited_delay_ms)
            until_ms = state.now_ms + remaining_ms
            run = worker.runs.get((call.task, call.run))
            if not call.task:
                worker.misdirected_until_ms = until_ms
            elif run is not None:
                worker.add_unanswered_start(
                    run.key, until_ms, state.policy, state.now_ms
                )
                if call.answered:
                    run.answered_elsewhere_ms = min(until_ms, state.now_ms)
            state.note_late_call(worker)
        self.recorded = frozenset(map(identify, late_calls))
        if late_calls:
            self._log("late_calls_taken_over", late_calls)

    def refresh_jobs(self) -> None:
        """Have a commit write the records of jobs whose starts were answered since."""
        state = self.state
        if state.now_ms < self.next_refresh_ms:
            return
        self.next_refresh_ms = state.now_ms + state.policy.lease_record_period_ms
        for job in list(state.starting_jobs.values()):
            if job.spec.job_id not in state.jobs:
                del state.starting_jobs[job.spec.job_id]
            elif not find_starting(job):
                state.mark_dirty(job)

    def due_record(self) -> tuple[LateCall, ...] | None:
        """Return the record to store; None if none is due."""
        state = self.state
        now_ms = state.now_ms
        is_time = now_ms >= self.next_ms
        if not (state.late_calls_added or is_time):
            return None
        state.late_calls_added = False
        if is_time:
            self.next_ms = now_ms + state.policy.lease_record_period_ms
        late_calls = tuple(
            call
            for worker in state.late_call_workers.values()
            for call in list_late_calls(worker, state.policy, now_ms)
        )
        workers = {call.worker_id for call in late_calls}
        for worker_id in state.late_call_workers.keys() - workers:
            del state.late_call_workers[worker_id]
        named = frozenset(map(identify, late_calls))
        if named <= self.recorded and not (self.recorded and is_time):
            return None
        if named != self.recorded:
            self._log("late_calls_changed", late_calls)
        self.recorded = named
        return late_calls

    def _log(self, event: str, late_calls: tuple[LateCall, ...]) -> None:
        """Log how long the calls of a record may still be carried out."""
        self.state.log(
            event,
            count=len(late_calls),
            remaining_ms={
                f"{call.worker_id} {call.task} run {call.run}": call.remaining_ms
                for call in late_calls[:MAX_LOGGED_CALLS]
            },
        )


def list_late_calls(
    worker: WorkerState, policy: JobPolicy, now_ms: int
) -> Iterator[LateCall]:
    """Yield the calls to a worker that may be carried out after ``now_ms``.

    Also those by which a run may still be alive then.
    """
    if worker.misdirected_until_ms > now_ms:
        yield LateCall(worker.worker_id, "", 0, worker.misdirected_until_ms - now_ms)
    prolonged_until_ms = worker.late_calls_until_ms(policy)
    oldest_ms = now_ms - policy.max_duration_ms(policy.lease_limit_ms)
    for run in worker.runs.values():
        start_ms = worker.unanswered_starts.get(run.key, 0)
        if start_ms <= worker.polled_ms:
            start_ms = 0
        start_ms = max(start_ms, run.answered_elsewhere_ms)
        until_ms = max(start_ms, prolonged_until_ms)
        if start_ms and until_ms > oldest_ms:
            answered = bool(run.answered_elsewhere_ms)
            yield LateCall(worker.worker_id, *run.key, until_ms - now_ms, answered)


def identify(call: LateCall) -> tuple[str, str, int]:
    """Return the worker and the run of a late call."""
    return call.worker_id, call.task, call.run
