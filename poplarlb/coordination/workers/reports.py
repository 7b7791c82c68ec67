"""What a worker's report says of the attempts placed at it."""

from attrs import define

from poplarlb.coordination.workers.leases import Contact, SentCall
from poplarlb.coordination.workers.places import Places
from poplarlb.protocol import ports
from poplarlb.state.models import Reason, TaskOutcome, TaskReport
from poplarlb.state.shard_state import PlaceKey, PlaceRecord

SETTLE_MS = 50


@define
class ReportReader:
    """Compares reports with the state and acts on the differences."""

    places: Places

    def read(self, call: SentCall, answer: ports.WorkerAnswer) -> None:
        """Take the answer to a call."""
        core = self.places.core
        contact = self.places.contacts.by_worker[call.worker_id]
        reported = {
            PlaceKey(item.key, item.attempt): item for item in answer.report.tasks
        }
        contact.strays = self._find_strays(contact, reported)
        for place in core.state.places_of(call.worker_id):
            key = PlaceKey(place.spec.key, place.attempt.number)
            if key in reported:
                self._take_task(key, place, reported[key])
            else:
                self._take_absence(key, place, call, contact)
        self.places.placed_tasks.pop(call.worker_id, None)
        if contact.strays:
            core.counters["strays"] += len(contact.strays)
            contact.next_call_ms = core.now_ms
        room = self.places.room_of(contact.worker, self.places.contacts.barred_all())
        core.policy.observe_report(answer.report, room, core.now_ms)

    def _find_strays(
        self, contact: Contact, reported: dict[PlaceKey, TaskReport]
    ) -> tuple[PlaceKey, ...]:
        here = self.places.core.state.places_at.get(contact.worker.worker_id, {})
        return tuple(
            key
            for key, item in reported.items()
            if item.state == "running" and key not in here
        )

    def _take_task(self, key: PlaceKey, place: PlaceRecord, item: TaskReport) -> None:
        self.places.calls.progress[key] = item
        match item.state:
            case "running":
                self._take_running(key, place)
            case "succeeded":
                self._observe_end(place, item, True)
                self.places.end(key, TaskOutcome.SUCCEEDED, Reason.EXITED)
            case "failed":
                self._observe_end(place, item, False)
                checkpoint, detail = item.checkpoint, item.detail
                outcome = TaskOutcome.FAILED
                self.places.end(key, outcome, Reason.EXITED, checkpoint, detail)
            case "refused":
                self.places.end(key, None, Reason.START_REFUSED, detail=item.detail)
            case _:
                reason = place.stopping or Reason.LEASE_EXPIRED
                self.places.end(key, None, reason, item.checkpoint, item.detail)

    def _take_running(self, key: PlaceKey, place: PlaceRecord) -> None:
        worker_id = place.attempt.worker_id
        self.places.calls.started(key, worker_id)
        if place.attempt.running:
            return
        self.places.note_running(key)
        self._call_at_end(place)

    def _call_at_end(self, place: PlaceRecord) -> None:
        """Look at a short task when it should be done, before the renewal."""
        run_time_ms = place.spec.run_time_ms
        contact = self.places.contacts.by_worker[place.attempt.worker_id]
        if run_time_ms:
            end_ms = self.places.core.now_ms + run_time_ms + SETTLE_MS
            contact.next_call_ms = min(contact.next_call_ms, end_ms)

    def _observe_end(
        self, place: PlaceRecord, item: TaskReport, succeeded: bool
    ) -> None:
        core = self.places.core
        core.policy.observe_end(
            place.spec,
            place.attempt.worker_id,
            succeeded,
            item.progress_ms or core.now_ms - place.attempt.placed_ms,
            core.now_ms,
        )

    def _take_absence(
        self, key: PlaceKey, place: PlaceRecord, call: SentCall, contact: Contact
    ) -> None:
        """Believe "not here" once no start of the attempt can be in flight."""
        core = self.places.core
        margin_ms = core.context.settings.tasks.clock_margin_ms
        settled_ms = place.attempt.start_before_ms + margin_ms
        if call.sent_ms <= settled_ms:
            contact.next_call_ms = min(contact.next_call_ms, settled_ms + SETTLE_MS)
            return
        reason = place.stopping or Reason.START_LATE
        if place.attempt.running:
            reason = place.stopping or Reason.LEASE_EXPIRED
        self.places.end(key, None, reason)
