"""Exact admission to the endpoints of one shard."""

import bisect
import collections
import itertools
from collections.abc import Iterable

from attrs import Factory, define, frozen

from poplarlb.coordination.context import NodeContext
from poplarlb.coordination.grants import GRANT_MARGIN_MS, LONGEST_GRANT_MS
from poplarlb.coordination.health import (
    EndpointHealth,
    may_eject,
    mean_service_ms,
)
from poplarlb.protocol import api, messages, ports
from poplarlb.protocol.messages import EndpointSummary
from poplarlb.state.models import Alternative, Decision, Reason, WorkClass, Worker

GRANT_USE_MS = 2_000
DEADLINE_STEP_MS = 50
SCAN_LIMIT = 64
LOAD_FACTOR = 0.5
DEFAULT_QUEUE_LIMIT = 256
SHORTEST_RETRY_MS = 20
LONGEST_RETRY_MS = 30_000
REFUSALS_KEPT = 1_000
ALTERNATIVES_KEPT = 8
REPORT_RESEND_MS = 200
CLASS_ORDER = {item: number for number, item in enumerate(WorkClass)}

ServiceKey = tuple[str, str]


@frozen
class Endpoint:
    """A running replica of a service at a worker."""

    team: str
    service: str
    worker: Worker
    slowdown: float = 1.0


@define
class ServingEndpoint:
    """An endpoint with what was learned of it."""

    endpoint: Endpoint
    health: EndpointHealth = Factory(EndpointHealth)


@frozen
class GrantedSlot:
    """A slot that a gateway may be using until ``free_ms`` at the latest."""

    request_id: str
    worker_id: str
    service: ServiceKey
    gateway: str
    free_ms: int


@frozen(order=True)
class QueuedRequest:
    """A request that waits for a slot; ordered by deadline, then class."""

    deadline_step: int
    class_order: int
    number: int
    call_id: int
    body: api.AdmitRequest


@define
class ServiceQueue:
    """A service's endpoints in the shard and the requests that wait for them."""

    endpoints: dict[str, ServingEndpoint] = Factory(dict)
    waiting: list[QueuedRequest] = Factory(list)
    cursor: int = 0

    def health(self) -> list[EndpointHealth]:
        """Return the health of every endpoint."""
        return [item.health for item in self.endpoints.values()]

    def healthy(self) -> list[ServingEndpoint]:
        """Return the endpoints that are not ejected."""
        return [item for item in self.endpoints.values() if not item.health.ejected]


@define
class Takeover:
    """Which members may use slots that this owner doesn't know of.

    ``unreported`` maps a member to when its old grants have surely ended.
    """

    unreported: dict[str, int] = Factory(dict)
    reported: set[str] = Factory(set)
    previous_owner: str = ""
    next_send_ms: int = 0

    def knows(self, member_id: str) -> bool:
        """Tell whether all that a member uses now is known."""
        return member_id in self.reported or member_id not in self.unreported

    def drop_passed(self, now_ms: int) -> None:
        """Forget members whose old grants have ended."""
        passed = [name for name, end_ms in self.unreported.items() if now_ms >= end_ms]
        for name in passed:
            del self.unreported[name]


@define
class Admission:
    """Grants slots at the shard's endpoints.

    State is volatile. A new owner asks every member for the slots that it uses;
    until a member has reported, or the longest grant has ended, each worker
    keeps the most slots free for it that one member may hold.
    """

    context: NodeContext
    shard: str
    epoch: int
    members: int = 1
    services: dict[ServiceKey, ServiceQueue] = Factory(dict)
    granted: dict[tuple[str, str], GrantedSlot] = Factory(dict)
    in_use: dict[str, int] = Factory(dict)
    held: dict[tuple[str, str], int] = Factory(dict)
    takeover: Takeover = Factory(Takeover)
    numbers: itertools.count = Factory(itertools.count)
    refusals: collections.deque[Decision] = Factory(
        lambda: collections.deque(maxlen=REFUSALS_KEPT)
    )
    closed: bool = False

    # --- what the daemon tells the machine ------------------------------------------

    def begin_takeover(
        self, members: Iterable[str], early: dict[str, int], now_ms: int
    ) -> None:
        """Count these members as unreported.

        :param early: members whose own earlier incarnation may have left slots
            in use, with the instant of their start.
        """
        end_ms = now_ms + LONGEST_GRANT_MS + GRANT_MARGIN_MS
        self.takeover.unreported = dict.fromkeys(members, end_ms)
        for name, start_ms in early.items():
            until_ms = start_ms + LONGEST_GRANT_MS + GRANT_MARGIN_MS
            if until_ms > now_ms:
                self.takeover.unreported.setdefault(name, until_ms)

    def set_endpoints(self, endpoints: list[Endpoint], now_ms: int) -> None:
        """Take the endpoints that are running and may get requests.

        An endpoint that is no longer listed gets nothing more; its slots in use
        stay counted until they are given back.
        """
        listed: dict[ServiceKey, dict[str, Endpoint]] = {}
        for item in endpoints:
            own = listed.setdefault((item.team, item.service), {})
            own[item.worker.worker_id] = item
        for key in listed.keys() | self.services.keys():
            queue = self.services.setdefault(key, ServiceQueue())
            wanted = listed.get(key, {})
            for worker_id in queue.endpoints.keys() - wanted.keys():
                del queue.endpoints[worker_id]
            for worker_id, endpoint in wanted.items():
                known = queue.endpoints.get(worker_id)
                if known is None:
                    queue.endpoints[worker_id] = ServingEndpoint(endpoint)
                else:
                    known.endpoint = endpoint
        unused = [
            key
            for key, queue in self.services.items()
            if not queue.endpoints and not queue.waiting
        ]
        for key in unused:
            del self.services[key]

    def handle(self, event: ports.Event, now_ms: int) -> list[ports.Command]:
        """Answer calls for slots and their return."""
        match event:
            case ports.ApiRequested(call_id=call_id, body=api.AdmitRequest() as body):
                return self._admit(call_id, body, now_ms)
            case ports.ApiRequested(call_id=call_id, body=api.FinishRequest() as body):
                answer = ports.ApiAnswer(call_id, api.Done())
                return [answer, *self._finish(body, now_ms)]
            case ports.ApiRequested(call_id=call_id, body=api.Explain() as body):
                found = tuple(d for d in self.refusals if d.subject == body.subject)
                return [ports.ApiAnswer(call_id, api.Decisions(found))]
            case ports.PeerReceived(
                sender=sender, message=messages.GrantsReported() as report
            ):
                return self._take_report(sender, report, now_ms)
            case ports.Tick():
                return self._tick(now_ms)
        return []

    def close(self) -> list[ports.Command]:
        """Grant nothing more; every queued request is refused."""
        self.closed = True
        fault = _refuse(Reason.NO_OWNER, "the shard has a new owner", 50)
        queued = [item for queue in self.services.values() for item in queue.waiting]
        for queue in self.services.values():
            queue.waiting.clear()
        return [ports.ApiAnswer(item.call_id, fault) for item in queued]

    def outstanding(self) -> tuple[messages.OutstandingGrant, ...]:
        """Return every slot that is in use."""
        return tuple(
            messages.OutstandingGrant(
                slot.request_id,
                slot.worker_id,
                slot.free_ms - GRANT_MARGIN_MS,
                slot.gateway,
            )
            for slot in self.granted.values()
        )

    def wanted_reports(self, now_ms: int) -> list[str]:
        """Return the members to ask now for the slots that they use."""
        if not self.takeover.unreported or now_ms < self.takeover.next_send_ms:
            return []
        self.takeover.next_send_ms = now_ms + REPORT_RESEND_MS
        return list(self.takeover.unreported)

    def summaries(self) -> tuple[EndpointSummary, ...]:
        """Return how busy each service's endpoints are."""
        return tuple(
            self._summary(key, queue) for key, queue in sorted(self.services.items())
        )

    def _summary(self, key: ServiceKey, queue: ServiceQueue) -> EndpointSummary:
        healthy = queue.healthy()
        free = sum(max(0, self._free(item.endpoint.worker)) for item in healthy)
        return EndpointSummary(*key, len(healthy), free, len(queue.waiting))

    # --- slots ----------------------------------------------------------------------

    def _limit(self, worker: Worker) -> int:
        return min(worker.slots, worker.connections)

    def _member_limit(self, worker: Worker) -> int:
        """Return the most slots of a worker that one gateway may use."""
        limit = self._limit(worker)
        return limit if self.members <= 1 else max(1, limit // 2)

    def _free(self, worker: Worker) -> int:
        unknown = len(self.takeover.unreported) * self._member_limit(worker)
        return self._limit(worker) - self.in_use.get(worker.worker_id, 0) - unknown

    def _hold(self, slot: GrantedSlot) -> None:
        self.granted[(slot.request_id, slot.worker_id)] = slot
        self.in_use[slot.worker_id] = self.in_use.get(slot.worker_id, 0) + 1
        key = (slot.gateway, slot.worker_id)
        self.held[key] = self.held.get(key, 0) + 1

    def _release(self, slot: GrantedSlot) -> None:
        del self.granted[(slot.request_id, slot.worker_id)]
        for counts, key in (
            (self.in_use, slot.worker_id),
            (self.held, (slot.gateway, slot.worker_id)),
        ):
            counts[key] -= 1
            if not counts[key]:
                del counts[key]

    # --- choosing -------------------------------------------------------------------

    def _candidates(
        self, queue: ServiceQueue, body: api.AdmitRequest, now_ms: int
    ) -> list[ServingEndpoint]:
        listed = list(queue.endpoints.values())
        if len(listed) > SCAN_LIMIT:
            queue.cursor = (queue.cursor + SCAN_LIMIT) % len(listed)
            listed = listed[queue.cursor :] + listed[: queue.cursor]
        found = (item for item in listed if self._may_take(item, body, now_ms))
        return list(itertools.islice(found, SCAN_LIMIT))

    def _may_take(
        self, item: ServingEndpoint, body: api.AdmitRequest, now_ms: int
    ) -> bool:
        worker = item.endpoint.worker
        held = self.held.get((body.gateway, worker.worker_id), 0)
        return (
            self._free(worker) > 0
            and held < self._member_limit(worker)
            and self.takeover.knows(body.gateway)
            and worker.worker_id not in body.avoid
            and item.health.may_take(now_ms)
        )

    def _expected_ms(self, item: ServingEndpoint, mean_ms: float) -> float:
        known_ms = item.health.service_ms if item.health.samples else mean_ms
        worker = item.endpoint.worker
        load = self.in_use.get(worker.worker_id, 0) / max(1, self._limit(worker))
        return known_ms * item.endpoint.slowdown * (1 + LOAD_FACTOR * load)

    def _choose(
        self, queue: ServiceQueue, body: api.AdmitRequest, now_ms: int
    ) -> ServingEndpoint | None:
        candidates = self._candidates(queue, body, now_ms)
        if not candidates:
            return None
        probes = [item for item in candidates if item.health.ejected]
        if probes:
            return probes[0]
        mean_ms = mean_service_ms(item.health for item in candidates)
        return min(candidates, key=lambda item: self._expected_ms(item, mean_ms))

    def _grant(
        self, item: ServingEndpoint, body: api.AdmitRequest, now_ms: int
    ) -> api.Grant:
        worker = item.endpoint.worker
        deadline_ms = min(body.deadline_ms, now_ms + LONGEST_GRANT_MS)
        item.health.begin(body.request_id)
        key = (body.team, body.service)
        free_ms = deadline_ms + GRANT_MARGIN_MS
        self._hold(
            GrantedSlot(body.request_id, worker.worker_id, key, body.gateway, free_ms)
        )
        spare = max(0, worker.connections - self._limit(worker))
        return api.Grant(
            body.request_id,
            self.shard,
            self.epoch,
            worker.worker_id,
            worker.address,
            min(now_ms + GRANT_USE_MS, deadline_ms),
            deadline_ms,
            self._limit(worker),
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
        usable = [
            item.health.probe_after_ms if item.health.ejected else now_ms
            for name, item in (queue.endpoints.items() if queue else ())
            if name not in body.avoid
        ]
        if not usable:
            return _refuse(Reason.NO_ENDPOINT, "no endpoint runs here", 1_000)
        if min(usable) >= body.deadline_ms:
            wait_ms = min(usable) - now_ms
            return _refuse(Reason.ENDPOINT_FAILED, "every endpoint fails", wait_ms)
        mean_ms = mean_service_ms(queue.health())
        if now_ms + mean_ms * _fastest(queue) >= body.deadline_ms:
            return _refuse(Reason.DEADLINE, "the deadline is too near", 0)
        return None

    def _enqueue(
        self, queue: ServiceQueue, call_id: int, body: api.AdmitRequest, now_ms: int
    ) -> list[ports.Command]:
        item = QueuedRequest(
            body.deadline_ms // DEADLINE_STEP_MS,
            CLASS_ORDER[body.work_class],
            next(self.numbers),
            call_id,
            body,
        )
        position = bisect.bisect(queue.waiting, item)
        wait_ms = self._wait_ms(queue, position)
        finish_ms = now_ms + wait_ms + mean_service_ms(queue.health())
        if finish_ms > body.deadline_ms:
            detail = f"about {wait_ms:.0f} ms to wait"
            fault = _refuse(Reason.DEADLINE, detail, wait_ms)
            return self._answer_fault(call_id, body, fault, now_ms)
        queue.waiting.insert(position, item)
        if len(queue.waiting) <= self._queue_limit(body):
            return []
        last = queue.waiting.pop()
        fault = _refuse(Reason.QUEUE_FULL, "the queue is full", wait_ms / 2)
        return self._answer_fault(last.call_id, last.body, fault, now_ms)

    def _answer_fault(
        self, call_id: int, body: api.AdmitRequest, fault: api.Fault, now_ms: int
    ) -> list[ports.Command]:
        """Refuse a request, and keep why for a while."""
        queue = self.services.get((body.team, body.service))
        weighed = queue.endpoints.items() if queue else ()
        mean_ms = mean_service_ms(queue.health()) if queue else 0.0
        decision = Decision(
            f"request/{body.request_id}",
            "refuse",
            fault.reason,
            now_ms,
            self.epoch,
            self.context.view.version,
            detail=fault.detail,
            alternatives=tuple(
                Alternative(name, self._expected_ms(item, mean_ms), fault.reason)
                for name, item in itertools.islice(weighed, ALTERNATIVES_KEPT)
            ),
        )
        self.refusals.append(decision)
        return [ports.ApiAnswer(call_id, fault)]

    def _queue_limit(self, body: api.AdmitRequest) -> int:
        template = self.context.view.service(body.team, body.service)
        return template.queue_limit if template else DEFAULT_QUEUE_LIMIT

    def _wait_ms(self, queue: ServiceQueue, position: int) -> float:
        """Return how long a request waits behind ``position`` others."""
        healthy = queue.healthy() or list(queue.endpoints.values())
        slots = sum(self._limit(item.endpoint.worker) for item in healthy)
        return (position + 1) * mean_service_ms(queue.health()) / max(1, slots)

    def _drain(self, worker_id: str, now_ms: int) -> list[ports.Command]:
        """Give a worker's free slots to the most pressing requests for it."""
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
        for index, item in enumerate(queue.waiting[:SCAN_LIMIT]):
            chosen = self._choose(queue, item.body, now_ms)
            if chosen is not None:
                del queue.waiting[index]
                grant = self._grant(chosen, item.body, now_ms)
                commands.append(ports.ApiAnswer(item.call_id, grant))
                return True
        return False

    def _shed(self, queue: ServiceQueue, now_ms: int) -> list[ports.Command]:
        """Refuse queued requests that can't make their deadline any more."""
        if not queue.waiting:
            return []
        mean_ms = mean_service_ms(queue.health())
        late = [
            item
            for item in queue.waiting
            if now_ms + mean_ms > item.body.deadline_ms
            or all(name in item.body.avoid for name in queue.endpoints)
        ]
        if late:
            gone = set(map(id, late))
            queue.waiting = [item for item in queue.waiting if id(item) not in gone]
        retry_ms = self._wait_ms(queue, len(queue.waiting))
        fault = _refuse(Reason.DEADLINE, "not served in time", retry_ms)
        return [
            command
            for item in late
            for command in self._answer_fault(item.call_id, item.body, fault, now_ms)
        ]

    # --- the end of requests ----------------------------------------------------------

    def _finish(self, body: api.FinishRequest, now_ms: int) -> list[ports.Command]:
        slot = self.granted.get((body.request_id, body.worker_id))
        if slot is None:
            return []
        self._release(slot)
        self._learn(slot, body, now_ms)
        return self._drain(slot.worker_id, now_ms)

    def _learn(self, slot: GrantedSlot, body: api.FinishRequest, now_ms: int) -> None:
        queue = self.services.get(slot.service)
        item = queue.endpoints.get(slot.worker_id) if queue else None
        if item is None:
            return
        health = item.health
        match body.result:
            case "ok":
                health.note_answer(body.request_id, body.latency_ms, now_ms)
                wanted = health.is_outlier(queue.health())
            case "unused":
                health.release_probe(body.request_id)
                return
            case _:
                wanted = health.note_failure(body.request_id, now_ms)
        if wanted and not health.ejected and may_eject(queue.health()):
            health.eject(now_ms)

    def _take_report(
        self, sender: str, report: messages.GrantsReported, now_ms: int
    ) -> list[ports.Command]:
        if report.epoch != self.epoch or sender not in self.takeover.unreported:
            return []
        if report.whole and sender == self.takeover.previous_owner:
            self.takeover.unreported.clear()
        restarted_ms = report.incarnation + LONGEST_GRANT_MS + GRANT_MARGIN_MS
        self.takeover.reported.add(sender)
        end_ms = self.takeover.unreported.get(sender, 0)
        if now_ms >= restarted_ms:
            self.takeover.unreported.pop(sender, None)
        elif restarted_ms < end_ms:
            # What it used before its restart ends by then; it can't tell what.
            self.takeover.unreported[sender] = restarted_ms
        for item in report.grants:
            free_ms = item.deadline_ms + GRANT_MARGIN_MS
            slot = GrantedSlot(
                item.request_id,
                item.worker_id,
                ("", ""),
                item.gateway or sender,
                free_ms,
            )
            if (item.request_id, item.worker_id) not in self.granted:
                self._hold(slot)
        return self._drain_all(now_ms)

    def _tick(self, now_ms: int) -> list[ports.Command]:
        self.takeover.drop_passed(now_ms)
        lapsed = [slot for slot in self.granted.values() if now_ms >= slot.free_ms]
        for slot in lapsed:
            self._release(slot)
            body = api.FinishRequest(
                slot.request_id, self.shard, slot.worker_id, 0, "unknown"
            )
            self._learn(slot, body, now_ms)
        shed = [
            command
            for queue in self.services.values()
            for command in self._shed(queue, now_ms)
        ]
        return [*shed, *self._drain_all(now_ms)]

    def _drain_all(self, now_ms: int) -> list[ports.Command]:
        waiting = {
            worker_id
            for queue in self.services.values()
            if queue.waiting
            for worker_id, item in queue.endpoints.items()
            if self._free(item.endpoint.worker) > 0
        }
        return [
            command
            for worker_id in sorted(waiting)
            for command in self._drain(worker_id, now_ms)
        ]


def _fastest(queue: ServiceQueue) -> float:
    return min(item.endpoint.slowdown for item in queue.endpoints.values())


def _refuse(reason: Reason, detail: str, retry_ms: float) -> api.Fault:
    retry_after_ms = int(min(max(retry_ms, SHORTEST_RETRY_MS), LONGEST_RETRY_MS))
    return api.Fault("not_run", reason, detail, retry_after_ms)
