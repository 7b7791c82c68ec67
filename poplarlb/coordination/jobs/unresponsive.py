"""Records for the next owner how long the leases of unresponsive workers may last.

An unresponsive worker may run its tasks until its lease expires, so the owner waits
that long. The owner stores the remaining time, so that a takeover doesn't start the
wait again. Runs that may be alive for longer are in the record of :mod:`late_calls`,
each with its own time. While the stored record may name a worker, no lease is granted
or renewed there: the next owner would wait too short a time.
"""

from attrs import define

from poplarlb.coordination.jobs.dispatcher_state import DispatcherState
from poplarlb.coordination.jobs.fleet import WorkerState
from poplarlb.state.job_records import LeaseRemainder

FIRST_POLLS_MS = 500  # reachable workers answer a new owner's first poll within this


@define(eq=False)
class UnresponsiveWorkers:
    """Decides when the record of unresponsive workers is stored, and its content.

    :ivar owned_since_ms: when this ownership began.
    :ivar next_ms: when the remaining times are stored again.
    :ivar in_commit: the workers named by the record that is being committed.
    """

    state: DispatcherState
    owned_since_ms: int = 0
    next_ms: int = 0
    in_commit: frozenset[str] | None = None

    def restore(self, lease_remainders: tuple[LeaseRemainder, ...]) -> None:
        """Apply the record of the last owner."""
        state = self.state
        for remainder in lease_remainders:
            state.recorded_unresponsive.add(remainder.worker_id)
            if remainder.worker_id in state.workers:
                worker = state.workers[remainder.worker_id]
                worker.inherited_leases_until_ms = state.now_ms + remainder.remaining_ms

    def on_incarnation_listed(self, worker: WorkerState) -> None:
        """Wait longer for a worker that has restarted and hasn't answered this owner.

        The last owner's record holds already how long its leases may last.
        """
        state = self.state
        incarnation = worker.listing.incarnation
        if (
            worker.fenced
            or worker.worker_id in state.recorded_unresponsive
            or all(run.task.incarnation == incarnation for run in worker.runs.values())
        ):
            return
        worker.inherited_leases_until_ms = (
            self.owned_since_ms + state.policy.max_inherited_misdirected_lease_ms
        )

    def pause(self, worker: WorkerState) -> None:
        """Place no runs at a recorded worker before the record can be written again."""
        until_ms = self.owned_since_ms + FIRST_POLLS_MS
        worker.paused_until_ms = max(worker.paused_until_ms, until_ms)

    def due_record(self) -> tuple[LeaseRemainder, ...] | None:
        """Return the record to store; None if none is due."""
        state = self.state
        if state.now_ms < self.owned_since_ms + FIRST_POLLS_MS:
            return None
        lease_remainders = tuple(
            LeaseRemainder(worker.worker_id, remaining_ms)
            for worker in state.workers.values()
            if worker.runs and worker.is_unresponsive(state.policy, state.now_ms)
            if (remaining_ms := worker.lease_remaining_ms(state.policy, state.now_ms))
        )
        unresponsive = frozenset(remainder.worker_id for remainder in lease_remainders)
        if unresponsive >= state.recorded_unresponsive and (
            not unresponsive or state.now_ms < self.next_ms
        ):
            return None
        if unresponsive != state.recorded_unresponsive:
            remaining_by_worker = {
                remainder.worker_id: remainder.remaining_ms
                for remainder in lease_remainders
            }
            state.log("workers_silent", lease_rest_ms=remaining_by_worker)
        self.next_ms = state.now_ms + state.policy.lease_record_period_ms
        self.in_commit = unresponsive
        state.recorded_unresponsive |= unresponsive
        return lease_remainders

    def on_committed(self) -> None:
        """Handle that the last commit, and the record if it held one, is stored."""
        if self.in_commit is not None:
            self.state.recorded_unresponsive = set(self.in_commit)
            self.in_commit = None


def may_renew(state: DispatcherState, worker: WorkerState) -> bool:
    """Return whether a lease may be granted or renewed at a worker."""
    return worker.worker_id not in state.recorded_unresponsive
