"""Exact admission to the endpoints of one shard."""

import bisect
import collections
import itertools
from collections.abc import Iterable, Iterator

from attrs import Factory, define, frozen

from poplarlb.coordination.context import NodeContext
from poplarlb.coordination.grants import GRANT_MARGIN_MS, LONGEST_GRANT_MS
from poplarlb.coordination.health import (
    EWMA_WEIGHT,
    OUTLIER_SAMPLES,
    UNKNOWN_SERVICE_MS,
    EndpointHealth,
    may_eject,
    mean_service_ms,
)
from poplarlb.protocol import api, messages, ports
from poplarlb.protocol.messages import EndpointSummary
from poplarlb.state.models import Alternative, Decision, Reason, WorkClass, Worker

GRANT_USE_MS = 2_000
DEADLINE_STEP_MS = 50
SCAN_LIMIT = 16
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
    limit: int
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
    listed: list[ServingEndpoint] = Factory(list)
    cursor: int = 0
    mean_ms: float = UNKNOWN_SERVICE_MS
    least_slowdown: float = 1.0

    def update(self, wanted: dict[str, Endpoint]) -> None:
        """Take the endpoints that may get requests; the others get no more."""
        for worker_id in self.endpoints.keys() - wanted.keys():
            del self.endpoints[worker_id]
        for worker_id, endpoint in wanted.items():
            known = self.endpoints.get(worker_id)
            if known is None:
                limit = slots_of(endpoint.worker)
                self.endpoints[worker_id] = ServingEndpoint(endpoint, limit)
            else:
                known.endpoint = endpoint
                known.limit = slots_of(endpoint.worker)
        self.listed = list(self.endpoints.values())
        self.least_slowdown = min(
            (item.endpoint.slowdown for item in self.listed), default=1.0
        )
        self.learn_mean()

    def learn_mean(self) -> None:
        """Take the mean time of the endpoints that have answered."""
        self.mean_ms = mean_service_ms(item.health for item in self.listed)

    def next_listed(self) -> Iterator[ServingEndpoint]:
        """Return the endpoints, beginning after those that were looked at."""
        if len(self.listed) <= SCAN_LIMIT:
            return iter(self.listed)
        self.cursor = (self.cursor + SCAN_LIMIT) % len(self.listed)
        after = itertools.islice(self.listed, self.cursor, None)
        return itertools.chain(after, itertools.islice(self.listed, self.cursor))

    def soonest_ms(self, avoid: tuple[str, ...], now_ms: int) -> int | None:
        """Return when an endpoint may get a request; ``None`` if never."""
        soonest = None
        for item in self.listed:
            if item.endpoint.worker.worker_id in avoid:
                continue
            if not item.health.ejected:
                return now_ms
            after_ms = item.health.probe_after_ms
            soonest = after_ms if soonest is None else min(soonest, after_ms)
        return soonest

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
            queue.update(listed.get(key, {}))
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
        free = sum(max(0, self._free(item)) for item in healthy)
        return EndpointSummary(*key, len(healthy), free, len(queue.waiting))

    # --- slots ----------------------------------------------------------------------

    def _member_limit(self, limit: int) -> int:
        """Return the most slots of a worker that one gateway may use."""
        return limit if self.members <= 1 else max(1, limit // 2)

    def _free(self, item: ServingEndpoint) -> int:
        unknown = len(self.takeover.unreported) * self._member_limit(item.limit)
        used = self.in_use.get(item.endpoint.worker.worker_id, 0)
        return item.limit - used - unknown

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
        unreported = len(self.takeover.unreported)
        if not self.takeover.knows(body.gateway):
            return []
        found = (
            item
            for item in queue.next_listed()
            if self._may_take(item, body, unreported, now_ms)
        )
        return list(itertools.islice(found, SCAN_LIMIT))

    def _may_take(
        self,
        item: ServingEndpoint,
        body: api.AdmitRequest,
        unreported: int,
        now_ms: int,
    ) -> bool:
        worker_id = item.endpoint.worker.worker_id
        own_limit = self._member_limit(item.limit)
        used = self.in_use.get(worker_id, 0) + unreported * own_limit
        return (
            used < item.limit
            and self.held.get((body.gateway, worker_id), 0) < own_limit
            and worker_id not in body.avoid
            and item.health.may_take(now_ms)
        )

    def _expected_ms(self, item: ServingEndpoint, mean_ms: float) -> float:
        known_ms = item.health.service_ms if item.health.samples else mean_ms
        worker = item.endpoint.worker
        load = self.in_use.get(worker.worker_id, 0) / item.limit
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
        deadline_ms = min(body.deadline_ms, now_ms + LONGEST_GRANT_MS)
        item.health.begin(body.request_id)
        key = (body.team, body.service)
        free_ms = deadline_ms + GRANT_MARGIN_MS
        self._hold(
            GrantedSlot(body.request_id, worker.worker_id, key, body.gateway, free_ms)
        )
        spare = max(0, worker.connections - item.limit)
        return api.Grant(
            body.request_id,
            self.shard,
            self.epoch,
            worker.worker_id,
            worker.address,
            min(now_ms + GRANT_USE_MS, deadline_ms),
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
        soonest_ms = queue.soonest_ms(body.avoid, now_ms) if queue else None
        if soonest_ms is None:
            return _refuse(Reason.NO_ENDPOINT, "no endpoint runs here", 1_000)
        if soonest_ms >= body.deadline_ms:
            wait_ms = soonest_ms - now_ms
            return _refuse(Reason.ENDPOINT_FAILED, "every endpoint fails", wait_ms)
        if now_ms + queue.mean_ms * queue.least_slowdown >= body.deadline_ms:
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
        finish_ms = now_ms + wait_ms + queue.mean_ms
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
        mean_ms = queue.mean_ms if queue else 0.0
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
        slots = sum(item.limit for item in healthy)
        return (position + 1) * queue.mean_ms / max(1, slots)

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
        mean_ms = queue.mean_ms
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
                change_ms = body.latency_ms - queue.mean_ms
                queue.mean_ms += EWMA_WEIGHT * change_ms / len(queue.listed)
                due = health.samples % OUTLIER_SAMPLES == 0
                wanted = due and health.is_outlier(queue.health())
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
            if self._free(item) > 0
        }
        return [
            command
            for worker_id in sorted(waiting)
            for command in self._drain(worker_id, now_ms)
        ]


def slots_of(worker: Worker) -> int:
    """Return how many requests a worker takes at once."""
    return max(1, min(worker.slots, worker.connections))


def _refuse(reason: Reason, detail: str, retry_ms: float) -> api.Fault:
    retry_after_ms = int(min(max(retry_ms, SHORTEST_RETRY_MS), LONGEST_RETRY_MS))
    return api.Fault("not_run", reason, detail, retry_after_ms)
