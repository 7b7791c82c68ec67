"""Applies a worker's reports to the attempts placed on it."""

from attrs import define

from poplarlb.coordination.workers.leases import PendingBatch, WorkerContact
from poplarlb.coordination.workers.reservations import Reservations
from poplarlb.protocol import ports
from poplarlb.state.models import ENDED_STATES, Reason, TaskOutcome, TaskReport
from poplarlb.state.shard_state import AttemptKey, ReservationRecord

# Added to the time at which something is expected to be over, for the call after it.
NEXT_CALL_MARGIN_MS = 50


@define
class ReportReader:
    """Compares workers' reports with the shard's state and handles the differences.

    A report lists the attempts that run at a worker or have ended there. Orphans are
    attempts that run but that the shard has no record of.
    """

    reservations: Reservations

    def read(self, call: PendingBatch, answer: ports.WorkerAnswer) -> None:
        """Handle a worker's answer to a call, which contains its report."""
        core = self.reservations.core
        contact = self.reservations.contacts.by_worker[call.worker_id]
        reported = {
            AttemptKey(item.key, item.attempt): item for item in answer.report.tasks
        }
        contact.orphans = self._find_orphans(contact, reported)
        for reservation in core.state.reservations_of(call.worker_id):
            key = AttemptKey(reservation.spec.key, reservation.attempt.number)
            if key in reported:
                self._handle_task(key, reservation, reported[key])
            else:
                self._handle_absence(key, reservation, call, contact)
        self.reservations.placed_tasks.pop(call.worker_id, None)
        if contact.orphans:
            core.counters["orphans"] += len(contact.orphans)
            contact.next_call_ms = core.now_ms
        load = self.reservations.load_of(
            contact.worker, self.reservations.contacts.shard_block_reason()
        )
        core.policy.observe_report(answer.report, load, core.now_ms)

    def _find_orphans(
        self, contact: WorkerContact, reported: dict[AttemptKey, TaskReport]
    ) -> tuple[AttemptKey, ...]:
        known = self.reservations.core.state.reservations_at.get(
            contact.worker.worker_id, {}
        )
        return tuple(
            key
            for key, item in reported.items()
            if item.state not in ENDED_STATES and key not in known
        )

    def _handle_task(
        self, key: AttemptKey, reservation: ReservationRecord, item: TaskReport
    ) -> None:
        self.reservations.calls.progress[key] = item
        match item.state:
            case "succeeded":
                self._observe_end(reservation, item, True)
                self.reservations.end(key, TaskOutcome.SUCCEEDED, Reason.EXITED)
            case "failed":
                self._observe_end(reservation, item, False)
                checkpoint, detail = item.checkpoint, item.detail
                outcome = TaskOutcome.FAILED
                self.reservations.end(key, outcome, Reason.EXITED, checkpoint, detail)
            case "refused":
                self.reservations.end(
                    key, None, Reason.START_REFUSED, detail=item.detail
                )
            case "stopped":
                reason = reservation.stopping or Reason.LEASE_EXPIRED
                self.reservations.end(key, None, reason, item.checkpoint, item.detail)
            case _:
                # Only a state that is known to be final ends an attempt.
                self._handle_running(key, reservation)

    def _handle_running(self, key: AttemptKey, reservation: ReservationRecord) -> None:
        worker_id = reservation.attempt.worker_id
        self.reservations.calls.confirm_start(key, worker_id)
        if reservation.attempt.running:
            return
        self.reservations.record_running(key)
        self._schedule_end_poll(reservation)

    def _schedule_end_poll(self, reservation: ReservationRecord) -> None:
        """Have the worker called soon after a task with a known run time should end.

        A call that is due earlier, such as the next lease renewal, stays.
        """
        run_time_ms = reservation.spec.run_time_ms
        contact = self.reservations.contacts.by_worker[reservation.attempt.worker_id]
        if run_time_ms:
            end_ms = self.reservations.core.now_ms + run_time_ms + NEXT_CALL_MARGIN_MS
            contact.next_call_ms = min(contact.next_call_ms, end_ms)

    def _observe_end(
        self, reservation: ReservationRecord, item: TaskReport, succeeded: bool
    ) -> None:
        core = self.reservations.core
        core.policy.observe_end(
            reservation.spec,
            reservation.attempt.worker_id,
            succeeded,
            item.progress_ms or core.now_ms - reservation.attempt.placed_ms,
            core.now_ms,
        )

    def _handle_absence(
        self,
        key: AttemptKey,
        reservation: ReservationRecord,
        call: PendingBatch,
        contact: WorkerContact,
    ) -> None:
        """End an attempt that the worker's report lacks.

        While a start may still reach the worker, the worker is called again later.
        """
        core = self.reservations.core
        margin_ms = core.context.settings.tasks.clock_margin_ms
        last_start_ms = reservation.attempt.start_before_ms + margin_ms
        if call.sent_ms <= last_start_ms:
            contact.next_call_ms = min(
                contact.next_call_ms, last_start_ms + NEXT_CALL_MARGIN_MS
            )
            return
        reason = reservation.stopping or Reason.START_LATE
        if reservation.attempt.running:
            reason = reservation.stopping or Reason.LEASE_EXPIRED
        self.reservations.end(key, None, reason)
