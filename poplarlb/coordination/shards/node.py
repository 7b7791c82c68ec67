"""The state machine of a whole daemon: routes events to parts and calls to owners."""

import collections
import itertools

from attrs import define

from poplarlb.coordination.configuration.config import ConfigManager, PeerView
from poplarlb.coordination.membership.budget import CallBudget, StoreCallQueue
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.handover import HandoverManager
from poplarlb.coordination.membership.membership import Membership
from poplarlb.coordination.membership.owner_calls import OwnerCalls
from poplarlb.coordination.membership.ownership import (
    HandoverRequested,
    Ownership,
    ShardAcquired,
    ShardLost,
)
from poplarlb.coordination.membership.sharding import Member, ShardMap
from poplarlb.coordination.membership.status import node_status
from poplarlb.coordination.requests.admission import Admission
from poplarlb.coordination.requests.requests import (
    RequestService,
    Routing,
    owner_unavailable_fault,
)
from poplarlb.coordination.requests.router import choose_shard
from poplarlb.coordination.shards.effects import SendShard
from poplarlb.coordination.shards.shard_host import ShardHost
from poplarlb.coordination.shards.shard_set import ShardSet
from poplarlb.protocol import api, messages, ports
from poplarlb.settings import Settings
from poplarlb.state.models import Reason

# A process makes fewer calls than this in each ms, so none has the number of a call of
# an earlier process of this daemon, whose answer may arrive late.
CALLS_PER_MS = 1 << 11


@define
class Node:
    """All state machines of one daemon, driven through :meth:`handle`.

    ``own`` describes this daemon as a member, ``owned`` holds the shards that it owns,
    ``owner_calls`` the calls forwarded to other owners. ``next_hosts_ms`` is when the
    host list is read next.
    """

    settings: Settings
    own: Member
    context: NodeContext = None
    shards: ShardMap = None
    membership: Membership = None
    ownership: Ownership = None
    config: ConfigManager = None
    budget: CallBudget = None
    requests: RequestService = None
    owned: ShardSet = None
    owner_calls: OwnerCalls = None
    handovers: HandoverManager = None
    store_calls: StoreCallQueue = None
    next_hosts_ms: int = 0

    def __attrs_post_init__(self) -> None:
        """Build the parts."""
        first_call = self.own.incarnation * CALLS_PER_MS
        self.context = NodeContext(
            self.settings, call_ids=itertools.count(first_call + 1)
        )
        self.shards = ShardMap.from_settings(self.settings.shards)
        self.membership = Membership(self.context, self.own)
        self.ownership = Ownership(self.context, self.membership, self.shards)
        self.owned = ShardSet(
            self.context, self.own, self.shards, self.membership, self.ownership
        )
        self.handovers = HandoverManager(
            self.membership, self.ownership, self.shard_hosts
        )
        self.config = ConfigManager(self.context, self.own.peer_address)
        self.budget = CallBudget(self.settings.store)
        self.store_calls = StoreCallQueue(self.budget)
        self.requests = RequestService(self.context, self.membership, self.ownership)
        self.owner_calls = OwnerCalls(
            self.context, self.membership, self.ownership, self.requests
        )

    @property
    def shard_hosts(self) -> dict[str, ShardHost]:
        """The objects that run the shards owned by this daemon, by shard."""
        return self.owned.shard_hosts

    def summaries(self) -> list[messages.ShardSummary]:
        """Return the newest summary known of each shard, also of those owned here."""
        return self.owned.summaries()

    def handle(self, event: ports.Event, now_ms: int) -> list[ports.Command]:
        """Handle one event and return the commands to carry out."""
        outputs = []
        match event:
            case ports.Tick():
                outputs = self._tick(event, now_ms)
            case ports.StoreReplied():
                outputs = [
                    *self.config.handle(event, now_ms),
                    *self.membership.handle(event, now_ms),
                    *self.ownership.handle(event, now_ms),
                    *self.owned.handle_all(event, now_ms),
                ]
                self.requests.remember_previous_owners()
            case ports.WorkerReplied():
                outputs = self.owned.handle_all(event, now_ms)
            case ports.HostsListed(workers=workers):
                self.context.set_workers(workers, self.shards)
            case ports.ApiRequested():
                outputs = self._route(event, now_ms)
            case ports.PeerReceived():
                outputs = self._handle_peer(event, now_ms)
            case ports.ShutdownRequested():
                outputs = self.handovers.stop(now_ms)
        return self._dispatch(outputs, now_ms)

    def _tick(self, event: ports.Tick, now_ms: int) -> list:
        outputs = [
            *self.config.handle(event, now_ms, self._peer_views(now_ms)),
            *self.membership.handle(event, now_ms, self.owned.summarize(now_ms)),
            *self.ownership.handle(event, now_ms),
            *self.owned.handle_all(event, now_ms),
            *self.handovers.tick(now_ms),
            *self.requests.tick(now_ms),
            *self.owner_calls.expire(now_ms),
        ]
        if now_ms >= self.next_hosts_ms:
            self.next_hosts_ms = now_ms + self.settings.platform.hosts_period_ms
            outputs.append(ports.ReadHosts())
        return outputs

    def _peer_views(self, now_ms: int) -> tuple[PeerView, ...]:
        return tuple(
            PeerView(name, peer.member.peer_address, peer.heartbeat.view_version)
            for name, peer in self.membership.peers.items()
            if peer.heartbeat is not None
            and self.membership.is_responsive(name, now_ms)
        )

    def _dispatch(self, outputs: list, now_ms: int) -> list[ports.Command]:
        commands: list[ports.Command] = []
        pending = collections.deque(outputs)
        while pending:
            output = pending.popleft()
            match output:
                case ShardAcquired():
                    pending.extend(self._open_shard(output, now_ms))
                case ShardLost(shard=shard):
                    pending.extend(self.requests.close_shard(shard, now_ms))
                    pending.extend(self.owned.close(shard))
                case HandoverRequested(shard=shard):
                    pending.extend(self.handovers.begin(shard, now_ms))
                case SendShard(message=message):
                    pending.extend(self._send_shard(message, now_ms))
                case ports.StoreCall():
                    self.store_calls.push(output)
                case ports.ApiAnswer():
                    retries = self._try_next_shard(output, now_ms)
                    pending.extend(retries)
                    if not retries:
                        commands.append(self.owner_calls.deliver_answer(output))
                case _:
                    commands.append(output)
        commands.extend(self.store_calls.release(now_ms))
        return commands

    def _open_shard(self, acquired: ShardAcquired, now_ms: int) -> list:
        record = acquired.record
        admission = Admission(self.context, record.shard, record.epoch)
        commands = self.requests.open_shard(record, admission, now_ms)
        self.owned.open(record, admission)
        return commands

    # --- calls and their owners ---------------------------------------------------

    def _route(self, event: ports.ApiRequested, now_ms: int) -> list:
        match event.body:
            case api.ShowConfig() | api.ApplyTemplates() | api.SetZone():
                return self.config.handle(event, now_ms)
            case api.ShowStatus():
                return [ports.ApiAnswer(event.call_id, self._status(now_ms))]
            case api.AdmitRequest() as body:
                routing = self.requests.begin_routing(event.call_id, body)
                return self._admit(event.call_id, routing, now_ms)
            case api.FinishRequest(request_id=request_id):
                self.requests.grants.finish(request_id)
        shard = self._shard_for(event.body)
        return self._call_owner(event, shard, now_ms)

    def _shard_for(self, body: api.ApiBody) -> str:
        match body:
            case api.SubmitTask(spec=spec):
                return self.shards.home_of_task(spec.key)
            case api.ShowTask(key=key) | api.CancelTask(key=key):
                return self.shards.home_of_task(key)
            case api.BeginKey() | api.FinishKey():
                return self.shards.home_of_key(body.team, body.service, body.key)
            case api.ListTasks(shard=shard) | api.Explain(shard=shard):
                return shard
            case api.FinishRequest(shard=shard):
                return shard
        return ""

    def _admit(self, call_id: int, routing: Routing, now_ms: int) -> list:
        body = routing.body
        shard = choose_shard(body, self.summaries(), self.own.zone, routing.tried)
        if not shard:
            fault = self._no_endpoint_fault()
            routing.finished = True
            return [ports.ApiAnswer(call_id, fault)]
        routing.tried.append(shard)
        return self._call_owner(ports.ApiRequested(call_id, body), shard, now_ms)

    def _no_endpoint_fault(self) -> api.Fault:
        """Return the fault for a request that no known shard has an endpoint for.

        The reason is ``NO_OWNER`` while a shard without a known owner may have one.
        """
        known = {summary.shard for summary in self.summaries()}
        if set(self.shards.shards) - known:
            detail = "a shard that may have endpoints is changing owners"
            return api.Fault("not_run", Reason.NO_OWNER, detail, 1_000)
        detail = "no endpoint of the service is running"
        return api.Fault("not_run", Reason.NO_ENDPOINT, detail, 1_000)

    def _try_next_shard(self, answer: ports.ApiAnswer, now_ms: int) -> list:
        """Retry a refused request for a slot at another shard's owner.

        Returns an empty list for any other answer, and if the request may not be
        retried or no shard is left; the answer is then sent to the caller.
        """
        routing = self.requests.find_retryable(answer.call_id, answer.result, now_ms)
        if routing is None:
            return []
        body = routing.body
        shard = choose_shard(body, self.summaries(), self.own.zone, routing.tried)
        return self._admit(answer.call_id, routing, now_ms) if shard else []

    def _call_owner(self, event: ports.ApiRequested, shard: str, now_ms: int) -> list:
        if shard in self.shard_hosts:
            return self._handle_owned(event, shard, now_ms)
        return self.owner_calls.send(event, shard, now_ms)

    def _handle_owned(self, event: ports.ApiRequested, shard: str, now_ms: int) -> list:
        """Handle a call for a shard that this daemon owns."""
        if isinstance(event.body, api.BeginKey | api.FinishKey):
            return self.requests.handle_key(event, shard, now_ms)
        return self.owned.handle(shard, event, now_ms)

    def _send_shard(self, message: messages.ShardMessage, now_ms: int) -> list:
        if message.recipient in self.shard_hosts:
            event = ports.PeerReceived(self.own.member_id, message)
            return self.owned.handle(message.recipient, event, now_ms)
        return self.owner_calls.send_message(message)

    def _handle_peer(self, event: ports.PeerReceived, now_ms: int) -> list:
        match event.message:
            case messages.Heartbeat():
                return self.membership.handle(event, now_ms)
            case messages.ViewWanted() | messages.ViewOffer():
                return self.config.handle(event, now_ms)
            case messages.ShardMessage(recipient=shard) if shard in self.shard_hosts:
                return self.owned.handle(shard, event, now_ms)
            case messages.Forward() as message:
                return self._handle_forward(event.sender, message, now_ms)
            case messages.Forwarded() as message:
                answer = self.owner_calls.match_answer(message)
                return (
                    [answer]
                    if answer
                    else self._release_late_grant(message.result, now_ms)
                )
        return self.requests.handle_peer(event, now_ms)

    def _release_late_grant(self, result: api.ApiResult, now_ms: int) -> list:
        """Release a slot whose grant arrived after its caller had given up."""
        if not isinstance(result, api.Grant):
            return []
        call_id = self.context.next_call()
        body = api.FinishRequest(
            result.request_id, result.shard, result.worker_id, 0, "unused"
        )
        event = ports.ApiRequested(call_id, body)
        return self._call_owner(event, result.shard, now_ms)

    def _handle_forward(
        self, sender: str, message: messages.Forward, now_ms: int
    ) -> list:
        event = self.owner_calls.receive(sender, message)
        if message.shard not in self.shard_hosts:
            return [ports.ApiAnswer(event.call_id, owner_unavailable_fault(event.body))]
        return self._handle_owned(event, message.shard, now_ms)

    def _status(self, now_ms: int) -> api.Status:
        return node_status(
            self.own,
            self.context,
            self.shards,
            self.membership,
            self.ownership,
            self.shard_hosts,
            now_ms,
        )
