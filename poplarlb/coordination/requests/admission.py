"""Admits requests to the endpoints of one shard without exceeding their slots."""

import bisect
import itertools
from collections.abc import Iterable

from attrs import Factory, define

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.requests.grants import GRANT_GRACE_MS, MAX_GRANT_MS
from poplarlb.coordination.requests.health import (
    EWMA_WEIGHT,
    OUTLIER_SAMPLES,
    may_eject,
)
from poplarlb.coordination.requests.refusals import RefusalLog
from poplarlb.coordination.requests.service_queue import (
    SCAN_LIMIT,
    Endpoint,
    QueuedRequest,
    ServiceQueue,
    ServingEndpoint,
)
from poplarlb.coordination.workers.slots import (
    GrantedSlot,
    ServiceKey,
    SlotReports,
    SlotTable,
)
from poplarlb.protocol import api, messages, ports
from poplarlb.protocol.messages import EndpointSummary
from poplarlb.state.models import Alternative, Reason, WorkClass

# A gateway must start to use a grant within this time.
GRANT_VALID_MS = 2_000
# Queued requests whose deadlines lie in the same step are ordered by work class.
DEADLINE_STEP_MS = 50
# At full load, the response time is expected to be longer by this share.
LOAD_FACTOR = 0.5
# Queued requests of a service without a template.
DEFAULT_QUEUE_LIMIT = 256
MIN_RETRY_AFTER_MS = 20
MAX_RETRY_AFTER_MS = 30_000
# Endpoints recorded with each refusal.
ALTERNATIVES_KEPT = 8
# Between requests to a member for its report of slots in use.
REPORT_RESEND_MS = 200
# Lower ranks are served first.
WORK_CLASS_RANKS = {item: number for number, item in enumerate(WorkClass)}


@define
class Admission:
    """Grants gateways slots at the shard's endpoints, each for one request.

    A gateway belongs to a daemon, called a member. The state is in memory only:
    a new owner of the shard asks every member which slots it uses. Until a member
    has reported, or the longest grant has expired, as many slots of each worker
    as one member may hold stay reserved for that member. ``members`` is the number
    of responsive members.
    """

    context: NodeContext
    shard: str
    epoch: int
    members: int = 1
    services: dict[ServiceKey, ServiceQueue] = Factory(dict)
    slots: SlotTable = Factory(SlotTable)
    takeover: SlotReports = Factory(SlotReports)
    arrival_numbers: itertools.count = Factory(itertools.count)
    refusals: RefusalLog = Factory(RefusalLog)
    closed: bool = False

    # --- events from the daemon -----------------------------------------------------

    def begin_takeover(
        self, members: Iterable[str], restarted: dict[str, int], now_ms: int
    ) -> None:
        """Wait for these members to report the slots that they use.

        :param restarted: members whose earlier incarnation may have slots in use,
            with the start time of their present incarnation.
        """
        end_ms = now_ms + MAX_GRANT_MS + GRANT_GRACE_MS
        self.takeover.unreported = dict.fromkeys(members, end_ms)
        for name, start_ms in restarted.items():
            until_ms = start_ms + MAX_GRANT_MS + GRANT_GRACE_MS
            if until_ms > now_ms:
                self.takeover.unreported.setdefault(name, until_ms)

    def set_endpoints(self, endpoints: list[Endpoint], now_ms: int) -> None:
        """Replace the endpoints that are running and may receive requests.

        An endpoint that is no longer listed receives no new requests; its slots
        in use stay counted until they are released.
        """
        listed: dict[ServiceKey, dict[str, Endpoint]] = {}
        for item in endpoints:
            own = listed.setdefault((item.team, item.service), {})
            own[item.worker.worker_id] = item
        for key in listed.keys() | self.services.keys():
            queue = self.services.setdefault(key, ServiceQueue())
            queue.update(listed.get(key, {}))
        unused = [
            key
            for key, queue in self.services.items()
            if not queue.endpoints and not queue.waiting
        ]
        for key in unused:
            del self.services[key]

    def handle(self, event: ports.Event, now_ms: int) -> list[ports.Command]:
        """Handle requests for slots, releases of slots, members' reports and ticks."""
        match event:
            case ports.ApiRequested(call_id=call_id, body=api.AdmitRequest() as body):
                return self._admit(call_id, body, now_ms)
            case ports.ApiRequested(call_id=call_id, body=api.FinishRequest() as body):
                answer = ports.ApiAnswer(call_id, api.Done())
                return [answer, *self._finish(body, now_ms)]
            case ports.ApiRequested(call_id=call_id, body=api.Explain() as body):
                found = api.Decisions(self.refusals.find(body.subject))
                return [ports.ApiAnswer(call_id, found)]
            case ports.PeerReceived(
                sender=sender, message=messages.GrantsReported() as report
            ):
                return self._handle_report(sender, report, now_ms)
            case ports.Tick():
                return self._tick(now_ms)
        return []

    def close(self) -> list[ports.Command]:
        """Stop granting slots and refuse every queued request."""
        self.closed = True
        fault = _refuse(Reason.NO_OWNER, "the shard has a new owner", 50)
        queued = [item for queue in self.services.values() for item in queue.waiting]
        for queue in self.services.values():
            queue.waiting.clear()
        return [ports.ApiAnswer(item.call_id, fault) for item in queued]

    def members_to_ask(self, now_ms: int) -> list[str]:
        """Return the members to ask now which slots they use."""
        if not self.takeover.unreported or now_ms < self.takeover.next_send_ms:
            return []
        self.takeover.next_send_ms = now_ms + REPORT_RESEND_MS
        return list(self.takeover.unreported)

    def summaries(self) -> tuple[EndpointSummary, ...]:
        """Return the healthy endpoints, free slots and queue length of each service."""
        return tuple(
            self._summary(key, queue) for key, queue in sorted(self.services.items())
        )

    def _summary(self, key: ServiceKey, queue: ServiceQueue) -> EndpointSummary:
        healthy = queue.healthy_endpoints()
        free = sum(max(0, self._free(item)) for item in healthy)
        return EndpointSummary(*key, len(healthy), free, len(queue.waiting))

    # --- slots ----------------------------------------------------------------------

    def _member_limit(self, limit: int) -> int:
        """Return how many of a worker's ``limit`` slots one gateway may use."""
        return limit if self.members <= 1 else max(1, limit // 2)

    def _free(self, item: ServingEndpoint) -> int:
        """Return the free slots less those that members yet to report may use."""
        unknown = len(self.takeover.unreported) * self._member_limit(item.limit)
        used = self.slots.slots_in_use_at(item.endpoint.worker.worker_id)
        return item.limit - used - unknown

    # --- choice of an endpoint ------------------------------------------------------

    def _candidates(
        self, queue: ServiceQueue, body: api.AdmitRequest, now_ms: int
    ) -> list[ServingEndpoint]:
        unreported = len(self.takeover.unreported)
        if not self.takeover.knows_slots_of(body.gateway):
            return []
        found = (
            item
            for item in queue.in_scan_order()
            if self._is_candidate(item, body, unreported, now_ms)
        )
        return list(itertools.islice(found, SCAN_LIMIT))

    def _is_candidate(
        self,
        item: ServingEndpoint,
        body: api.AdmitRequest,
        unreported: int,
        now_ms: int,
    ) -> bool:
        worker_id = item.endpoint.worker.worker_id
        own_limit = self._member_limit(item.limit)
        used = self.slots.slots_in_use_at(worker_id) + unreported * own_limit
        return (
            used < item.limit
            and self.slots.slots_used_by(body.gateway, worker_id) < own_limit
            and worker_id not in body.avoid
            and item.health.accepts_requests(now_ms)
        )

    def _expected_ms(self, item: ServingEndpoint, mean_ms: float) -> float:
        known_ms = item.health.response_ms if item.health.samples else mean_ms
        worker = item.endpoint.worker
        load = self.slots.slots_in_use_at(worker.worker_id) / item.limit
        return known_ms * item.endpoint.slowdown * (1 + LOAD_FACTOR * load)

    def _choose(
        self, queue: ServiceQueue, body: api.AdmitRequest, now_ms: int
    ) -> ServingEndpoint | None:
        candidates = self._candidates(queue, body, now_ms)
        if not candidates:
            return None
        probe = next((item for item in candidates if item.health.ejected), None)
        if probe is not None:
            return probe
        mean_ms = queue.mean_ms
        return min(candidates, key=lambda item: self._expected_ms(item, mean_ms))

    def _grant(
        self, item: ServingEndpoint, body: api.AdmitRequest, now_ms: int
    ) -> api.Grant:
        worker = item.endpoint.worker
        deadline_ms = min(body.deadline_ms, now_ms + MAX_GRANT_MS)
        item.health.begin(body.request_id)
        key = (body.team, body.service)
        free_by_ms = deadline_ms + GRANT_GRACE_MS
        self.slots.hold(
            GrantedSlot(
                body.request_id, worker.worker_id, key, body.gateway, free_by_ms
            )
        )
        spare = max(0, worker.connections - item.limit)
        return api.Grant(
            body.request_id,
            self.shard,
            self.epoch,
            worker.worker_id,
            worker.address,
            min(now_ms + GRANT_VALID_MS, deadline_ms),
            deadline_ms,
            item.limit,
            spare // max(1, self.members),
        )

    # --- admission and the queue ----------------------------------------------------

    def _admit(
        self, call_id: int, body: api.AdmitRequest, now_ms: int
    ) -> list[ports.Command]:
        queue = self.services.get((body.team, body.service))
        fault = self._find_fault(queue, body, now_ms)
        if fault is not None:
            return self._answer_fault(call_id, body, fault, now_ms)
        chosen = None if queue.waiting else self._choose(queue, body, now_ms)
        if chosen is not None:
            return [ports.ApiAnswer(call_id, self._grant(chosen, body, now_ms))]
        return self._enqueue(queue, call_id, body, now_ms)

    def _find_fault(
        self, queue: ServiceQueue | None, body: api.AdmitRequest, now_ms: int
    ) -> api.Fault | None:
        if self.closed:
            return _refuse(Reason.NO_OWNER, "the shard has a new owner", 50)
        earliest_available_ms = (
            queue.earliest_available_ms(body.avoid, now_ms) if queue else None
        )
        if earliest_available_ms is None:
            return _refuse(
                Reason.NO_ENDPOINT,
                "no endpoint of the service runs in this shard",
                1_000,
            )
        if earliest_available_ms >= body.deadline_ms:
            wait_ms = earliest_available_ms - now_ms
            return _refuse(
                Reason.ENDPOINT_FAILED,
                "every endpoint is ejected after failures",
                wait_ms,
            )
        if now_ms + queue.mean_ms * queue.min_slowdown >= body.deadline_ms:
            return _refuse(
                Reason.DEADLINE, "too little time left before the deadline", 0
            )
        return None

    def _enqueue(
        self, queue: ServiceQueue, call_id: int, body: api.AdmitRequest, now_ms: int
    ) -> list[ports.Command]:
        item = QueuedRequest(
            body.deadline_ms // DEADLINE_STEP_MS,
            WORK_CLASS_RANKS[body.work_class],
            next(self.arrival_numbers),
            call_id,
            body,
        )
        position = bisect.bisect(queue.waiting, item)
        wait_ms = queue.wait_ms(position)
        finish_ms = now_ms + wait_ms + queue.mean_ms
        if finish_ms > body.deadline_ms:
            detail = f"the estimated wait is {wait_ms:.0f} ms"
            fault = _refuse(Reason.DEADLINE, detail, wait_ms)
            return self._answer_fault(call_id, body, fault, now_ms)
        queue.waiting.insert(position, item)
        if len(queue.waiting) <= self._queue_limit(body):
            return []
        last = queue.waiting.pop()
        fault = _refuse(Reason.QUEUE_FULL, "the request queue is full", wait_ms / 2)
        return self._answer_fault(last.call_id, last.body, fault, now_ms)

    def _answer_fault(
        self, call_id: int, body: api.AdmitRequest, fault: api.Fault, now_ms: int
    ) -> list[ports.Command]:
        """Refuse a request, and record why and some endpoints of its service."""
        queue = self.services.get((body.team, body.service), ServiceQueue())
        alternatives = [
            Alternative(name, self._expected_ms(item, queue.mean_ms), fault.reason)
            for name, item in itertools.islice(
                queue.endpoints.items(), ALTERNATIVES_KEPT
            )
        ]
        version = self.context.view.version
        self.refusals.record(
            body.request_id, fault, alternatives, now_ms, self.epoch, version
        )
        return [ports.ApiAnswer(call_id, fault)]

    def _queue_limit(self, body: api.AdmitRequest) -> int:
        template = self.context.view.service(body.team, body.service)
        return template.queue_limit if template else DEFAULT_QUEUE_LIMIT

    def _serve_queued(self, worker_id: str, now_ms: int) -> list[ports.Command]:
        """Grant free slots to queued requests of a worker's services.

        The earliest deadline goes first. Requests that can't be served in time are
        refused.
        """
        commands: list[ports.Command] = []
        while True:
            heads = [
                (queue.waiting[0], queue)
                for queue in self.services.values()
                if queue.waiting and worker_id in queue.endpoints
            ]
            granted = False
            for _, queue in sorted(heads, key=lambda pair: pair[0]):
                commands.extend(self._shed(queue, now_ms))
                granted = self._grant_first(queue, now_ms, commands)
                if granted:
                    break
            if not granted:
                return commands

    def _grant_first(
        self, queue: ServiceQueue, now_ms: int, commands: list[ports.Command]
    ) -> bool:
        """Grant a slot to the first queued request that can get one, if any.

        The answer is added to ``commands``. Returns whether a slot was granted.
        """
        for index, item in enumerate(queue.waiting[:SCAN_LIMIT]):
            chosen = self._choose(queue, item.body, now_ms)
            if chosen is not None:
                del queue.waiting[index]
                grant = self._grant(chosen, item.body, now_ms)
                commands.append(ports.ApiAnswer(item.call_id, grant))
                return True
        return False

    def _shed(self, queue: ServiceQueue, now_ms: int) -> list[ports.Command]:
        """Refuse queued requests that can no longer be served in time."""
        late = queue.remove_unservable(now_ms)
        if not late:
            return []
        retry_ms = queue.wait_ms(len(queue.waiting))
        fault = _refuse(
            Reason.DEADLINE, "could not be served before the deadline", retry_ms
        )
        return [
            command
            for item in late
            for command in self._answer_fault(item.call_id, item.body, fault, now_ms)
        ]

    # --- end of requests ------------------------------------------------------------

    def _finish(self, body: api.FinishRequest, now_ms: int) -> list[ports.Command]:
        slot = self.slots.find(body.request_id, body.worker_id)
        if slot is None:
            return []
        self.slots.release(slot)
        self._record_result(slot, body, now_ms)
        return self._serve_queued(slot.worker_id, now_ms)

    def _record_result(
        self, slot: GrantedSlot, body: api.FinishRequest, now_ms: int
    ) -> None:
        queue = self.services.get(slot.service)
        item = queue.endpoints.get(slot.worker_id) if queue else None
        if item is None:
            return
        health = item.health
        match body.result:
            case "ok":
                health.record_answer(body.request_id, body.latency_ms, now_ms)
                change_ms = body.latency_ms - queue.mean_ms
                queue.mean_ms += EWMA_WEIGHT * change_ms / len(queue.listed)
                due = health.samples % OUTLIER_SAMPLES == 0
                should_eject = due and health.is_outlier(queue.all_health())
            case "unused":
                health.release_probe(body.request_id)
                return
            case _:
                should_eject = health.record_failure(body.request_id, now_ms)
        if should_eject and not health.ejected and may_eject(queue.all_health()):
            health.eject(now_ms)

    def _handle_report(
        self, sender: str, report: messages.GrantsReported, now_ms: int
    ) -> list[ports.Command]:
        if report.epoch != self.epoch or sender not in self.takeover.unreported:
            return []
        if report.whole and sender == self.takeover.previous_owner:
            self.takeover.unreported.clear()
        earlier_grants_end_ms = report.incarnation + MAX_GRANT_MS + GRANT_GRACE_MS
        self.takeover.reported.add(sender)
        end_ms = self.takeover.unreported.get(sender, 0)
        if now_ms >= earlier_grants_end_ms:
            self.takeover.unreported.pop(sender, None)
        elif earlier_grants_end_ms < end_ms:
            # The member can't report the grants that it used before its restart;
            # they have expired by then.
            self.takeover.unreported[sender] = earlier_grants_end_ms
        for item in report.grants:
            free_by_ms = item.deadline_ms + GRANT_GRACE_MS
            slot = GrantedSlot(
                item.request_id,
                item.worker_id,
                ("", ""),
                item.gateway or sender,
                free_by_ms,
            )
            if self.slots.find(item.request_id, item.worker_id) is None:
                self.slots.hold(slot)
        return self._serve_all_queued(now_ms)

    def _tick(self, now_ms: int) -> list[ports.Command]:
        self.takeover.drop_expired_members(now_ms)
        for slot in self.slots.expired(now_ms):
            self.slots.release(slot)
            body = api.FinishRequest(
                slot.request_id, self.shard, slot.worker_id, 0, "unknown"
            )
            self._record_result(slot, body, now_ms)
        shed = [
            command
            for queue in self.services.values()
            for command in self._shed(queue, now_ms)
        ]
        return [*shed, *self._serve_all_queued(now_ms)]

    def _serve_all_queued(self, now_ms: int) -> list[ports.Command]:
        """Grant the free slots of all workers to queued requests."""
        waiting = {
            worker_id
            for queue in self.services.values()
            if queue.waiting
            for worker_id, item in queue.endpoints.items()
            if self._free(item) > 0
        }
        return [
            command
            for worker_id in sorted(waiting)
            for command in self._serve_queued(worker_id, now_ms)
        ]


def _refuse(reason: Reason, detail: str, retry_ms: float) -> api.Fault:
    retry_after_ms = int(min(max(retry_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))
    return api.Fault("not_run", reason, detail, retry_after_ms)
