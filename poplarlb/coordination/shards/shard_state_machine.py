"""The state machine of one shard: passes each event to the parts that handle it."""

import functools

from attrs import Factory, define, frozen

from poplarlb.coordination.membership.sharding import shard_zone
from poplarlb.coordination.policy.quota import QuotaAuthority
from poplarlb.coordination.requests.admission import Endpoint
from poplarlb.coordination.shards.effects import Effects
from poplarlb.coordination.shards.shard_core import ShardCore
from poplarlb.coordination.workers.drain import Drain
from poplarlb.coordination.workers.home_tasks import HomeTasks
from poplarlb.coordination.workers.leases import WorkerContacts
from poplarlb.coordination.workers.queue import PlacementQueue
from poplarlb.coordination.workers.replicas import ReplicaController
from poplarlb.coordination.workers.reports import ReportReader
from poplarlb.coordination.workers.reservations import Reservations
from poplarlb.coordination.workers.worker_calls import AttemptCommitted, WorkerCalls
from poplarlb.protocol import api, messages, ports
from poplarlb.state import changes
from poplarlb.state.models import (
    Decision,
    HostState,
    Reason,
    Resources,
    TaskKey,
    Worker,
)

MAINTENANCE_PERIOD_MS = 1_000
CONTACT_CHECK_PERIOD_MS = 200
SUMMARY_PERIOD_MS = 200
SLOWDOWN_PERIOD_MS = 1_000
# From a host shard, which places attempts on its workers, to the task's home shard.
HOME_MESSAGES = (
    messages.AttemptPlaced
    | messages.AttemptRefused
    | messages.AttemptRunning
    | messages.AttemptEnded
)
HOST_MESSAGES = messages.PlaceAttempt | messages.StopAttempt | messages.AttemptEndNoted
QUOTA_PERIOD_MS = 200


@frozen
class ResendDone:
    """Passed to ``resume`` when a round of repeated messages is committed.

    Only then may the next round begin.
    """


@frozen
class SlowdownKey:
    """A service and a worker; the key of a cached slowdown."""

    service: str
    worker_id: str


@define
class ShardStateMachine:
    """Makes the decisions of one shard under one epoch.

    ``sender_epochs`` holds the highest epoch seen from each shard; messages of lower
    epochs are dropped. ``resending`` is true while repeated messages wait for a commit.

    :param core: the shard's state and context, shared by the parts.
    """

    core: ShardCore
    contacts: WorkerContacts = None
    calls: WorkerCalls = None
    reservations: Reservations = None
    reports: ReportReader = None
    home: HomeTasks = None
    queue: PlacementQueue = None
    replicas: ReplicaController = None
    drain: Drain = None
    authority: QuotaAuthority = None
    next_quota_ms: int = 0
    next_contact_check_ms: int = 0
    next_maintenance_ms: int = 0
    resending: bool = False
    sender_epochs: dict[str, int] = Factory(dict)
    last_summary: messages.ShardSummary | None = None
    summary_until_ms: int = 0
    slowdowns: dict[SlowdownKey, float] = Factory(dict)
    next_slowdown_ms: int = 0

    def __attrs_post_init__(self) -> None:
        """Build the parts and resume the operations that an earlier owner committed."""
        self.contacts = WorkerContacts(self.core)
        self.calls = WorkerCalls(self.core, self.contacts)
        self.reservations = Reservations(self.core, self.contacts, self.calls)
        self.reports = ReportReader(self.reservations)
        self.home = HomeTasks(self.core)
        self.queue = PlacementQueue(self.core, self.home, self.reservations)
        self.replicas = ReplicaController(self.home)
        self.drain = Drain(self.reservations)
        self.authority = QuotaAuthority(
            self.core.shard, self.core.epoch, self.core.state.quota
        )
        self.calls.recover()
        self.home.recover()

    def handle(self, event: ports.Event, now_ms: int) -> Effects:
        """Handle one event; the returned changes are already applied to the state."""
        self.core.begin(now_ms)
        match event:
            case ports.Tick():
                self._tick()
            case ports.ApiRequested(call_id=call_id, body=body):
                answer = self._answer(body)
                self.core.effects.after_commit.append(ports.ApiAnswer(call_id, answer))
            case ports.WorkerReplied():
                self._handle_report(event)
            case ports.PeerReceived(message=messages.ShardMessage() as message):
                self._handle_message(message)
        return self._finish()

    def resume(self, step: object, now_ms: int) -> Effects:
        """Carry out a step that a ``Resume`` command deferred until a commit."""
        self.core.begin(now_ms)
        match step:
            case AttemptCommitted(key=key):
                self.calls.send_committed(key)
            case ResendDone():
                self.resending = False
        return self._finish()

    def _finish(self) -> Effects:
        """Deliver the shard's messages to itself within the same commit."""
        while self.core.inbox:
            self._handle_message(self.core.inbox.popleft())
        return self.core.effects

    # --- events -----------------------------------------------------------------------

    def _tick(self) -> None:
        if self.core.now_ms >= self.next_contact_check_ms:
            self.next_contact_check_ms = self.core.now_ms + CONTACT_CHECK_PERIOD_MS
            self.contacts.update()
            self.reservations.end_lost()
            self.calls.stop_drained()
        self.drain.tick(shard_zone(self.core.shard))
        # Ends of attempts above must reach the home records before the queue is read.
        self._finish()
        self.replicas.tick()
        self._finish()
        self.queue.tick(self.drain.start_limit)
        self._tick_quota()
        if self.core.now_ms >= self.next_maintenance_ms:
            self.next_maintenance_ms = self.core.now_ms + MAINTENANCE_PERIOD_MS
            self._run_maintenance()
        self.calls.call_due()

    def _run_maintenance(self) -> None:
        self.home.forget_ended()
        self.reservations.drop_tombstones()
        self.queue.prune()
        if not self.resending:
            self.resending = True
            self.home.resend()
            self.reservations.resend_unacknowledged()
            self.core.after_commit(ResendDone())

    def _handle_report(self, event: ports.WorkerReplied) -> None:
        call = self.contacts.handle_reply(event)
        if call is not None:
            self.reports.read(call, event.result)
        contact = self.contacts.by_worker.get(event.worker_id)
        if contact is not None and self.core.now_ms >= contact.next_call_ms:
            self.calls.call_soon(event.worker_id)

    def _handle_message(self, message: messages.ShardMessage) -> None:
        if message.recipient != self.core.shard or not self._has_valid_parties(message):
            self.core.counters["messages_refused"] += 1
            return
        if message.epoch < self.sender_epochs.get(message.sender, 0):
            self.core.counters["messages_of_old_epochs"] += 1
            return
        self.sender_epochs[message.sender] = message.epoch
        match message.body:
            case messages.QuotaWanted() | messages.QuotaShare() as body:
                self._handle_quota(message.sender, body)
            case body if isinstance(body, HOME_MESSAGES):
                self.home.handle_message(message)
            case _:
                self.reservations.handle_message(message)

    def _handle_quota(
        self, sender: str, body: messages.QuotaWanted | messages.QuotaShare
    ) -> None:
        core = self.core
        view = core.context.view
        if isinstance(body, messages.QuotaWanted):
            core.stage_effects(self.authority.handle(sender, body, view, core.now_ms))
            return
        used = core.state.used_by_team.get(body.team, Resources())
        core.stage_effects(core.quota.handle(body, used, view, core.now_ms))
        self.reservations.capacity_freed = True
        self.queue.next_round_ms = 0
        self.queue.tick(self.drain.start_limit)

    def _tick_quota(self) -> None:
        core = self.core
        if not core.context.view_is_fresh(core.now_ms):
            return
        if not core.quota.needs and core.now_ms < self.next_quota_ms:
            return
        self.next_quota_ms = core.now_ms + QUOTA_PERIOD_MS
        view = core.context.view
        core.stage_effects(core.quota.tick(core.state.used_by_team, view, core.now_ms))
        core.stage_effects(self.authority.tick(view, core.now_ms))
        self._finish()

    def _has_valid_parties(self, message: messages.ShardMessage) -> bool:
        """Return whether a message of this type may pass from its sender to this shard.

        A task's home shard sends the requests about its attempts and receives the
        reports on them. A team's home shard receives the team's quota requests and
        sends its quota shares.
        """
        match message.body:
            case messages.PlaceAttempt(spec=spec):
                return self._is_home(message.sender, spec.key)
            case messages.StopAttempt(key=key) | messages.AttemptEndNoted(key=key):
                return self._is_home(message.sender, key)
            case messages.QuotaWanted(team=team):
                return self.core.shards.home_of_team(team) == self.core.shard
            case messages.QuotaShare(team=team):
                return self.core.shards.home_of_team(team) == message.sender
            case body if isinstance(body, HOME_MESSAGES):
                return self._is_home(self.core.shard, body.key)
        return False

    def _is_home(self, shard: str, key: TaskKey) -> bool:
        return self.core.shards.home_of_task(key) == shard

    def _answer(self, body: api.ApiBody) -> api.ApiResult:
        match body:
            case api.SubmitTask():
                return self._submit(body)
            case api.ShowTask(key=key):
                return self.home.show(key)
            case api.CancelTask(key=key):
                return self.home.cancel_by_caller(key)
            case api.ListTasks(team=team, after=after, limit=limit):
                return self.home.list(team, after, limit)
            case api.Explain(subject=subject):
                return self._find_decisions(subject)
        return api.Fault(
            "bad_request", Reason.NO_OWNER, "shards don't handle this call"
        )

    def _submit(self, body: api.SubmitTask) -> api.ApiResult:
        key = body.spec.key
        known = key in self.core.state.tasks
        answer = self.home.submit(body.spec)
        if known or isinstance(answer, api.Fault):
            return answer
        self.queue.place_submitted(key)
        if self.core.quota.needs:
            self._tick_quota()
        return self.home.show(key)

    def _find_decisions(self, subject: str) -> api.Decisions:
        kind, _, name = subject.partition("/")
        decisions = self.core.state.decisions
        if kind == "worker":
            return api.Decisions(tuple(d for d in decisions if d.worker_id == name))
        return api.Decisions(tuple(d for d in decisions if d.subject == subject))

    # --- views ------------------------------------------------------------------------

    @property
    def shard(self) -> str:
        """The shard's name."""
        return self.core.shard

    def workers(self) -> list[Worker]:
        """Return the workers of the shard whose hosts are listed as live."""
        listed = self.core.workers().values()
        return [worker for worker in listed if worker.state is HostState.LIVE]

    def endpoints(self) -> list[Endpoint]:
        """Return the running replicas that may be given new requests."""
        state = self.core.state
        reservations = (state.reservations[key] for key in state.endpoints)
        return [
            Endpoint(
                reservation.spec.key.team,
                reservation.spec.service,
                worker,
                self._slowdown(reservation.spec.service, worker),
            )
            for reservation in reservations
            if reservation.attempt.running
            and reservation.stopping is None
            and (worker := self._serving_worker(reservation.attempt.worker_id))
            is not None
        ]

    def _slowdown(self, service: str, worker: Worker) -> float:
        """Return a service's expected slowdown at a worker.

        The value is cached for at most ``SLOWDOWN_PERIOD_MS``.
        """
        if self.core.now_ms >= self.next_slowdown_ms:
            self.next_slowdown_ms = self.core.now_ms + SLOWDOWN_PERIOD_MS
            self.slowdowns.clear()
        key = SlowdownKey(service, worker.worker_id)
        if key not in self.slowdowns:
            load = self.reservations.load_of(worker, None)
            factor = self.core.policy.expected_slowdown(service, load)
            self.slowdowns[key] = factor
        return self.slowdowns[key]

    def _serving_worker(self, worker_id: str) -> Worker | None:
        worker = self.core.workers().get(worker_id)
        if worker is None or worker.state is not HostState.LIVE:
            return None
        if not self.core.context.view.zone_allows_starts(worker.zone):
            return None
        return worker

    def summary(
        self, endpoints: tuple[messages.EndpointSummary, ...]
    ) -> messages.ShardSummary:
        """Return the shard's summary for other members.

        It is cached for ``SUMMARY_PERIOD_MS`` while the endpoints don't change.
        """
        now_ms = self.core.now_ms
        last = self.last_summary
        if last and now_ms < self.summary_until_ms and last.endpoints == endpoints:
            return last
        self.summary_until_ms = now_ms + SUMMARY_PERIOD_MS
        free = [
            worker.capacity.minus(self.core.state.reserved_at(worker.worker_id))
            for worker in self.core.workers().values()
            if self.contacts.start_block_reason(worker) is None
        ]
        largest = max(free, key=lambda item: item.cpu_millis, default=Resources())
        self.last_summary = messages.ShardSummary(
            self.core.shard,
            self.core.epoch,
            shard_zone(self.core.shard),
            largest,
            functools.reduce(Resources.plus, free, Resources()),
            len(self.core.state.queued),
            endpoints,
        )
        return self.last_summary

    def waiting(self) -> tuple[Decision, ...]:
        """Return why tasks are not placed, for a limited number of them."""
        return self.queue.waiting_decisions()

    def release(self, now_ms: int) -> Effects:
        """Return the effects of a hand-over: the owner's last change, due at once."""
        self.core.begin(now_ms)
        lease_until_ms = self.contacts.latest_lease_end_ms()
        released = changes.EpochReleased(self.core.epoch, lease_until_ms)
        self.core.change(released)
        self.core.effects.urgent = True
        return self.core.effects
