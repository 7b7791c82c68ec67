"""The machine of a whole daemon: routes events to parts and calls to owners."""

import collections
import itertools

from attrs import Factory, define, frozen

from poplarlb.coordination.admission import Admission
from poplarlb.coordination.budget import CallBudget, StoreCallQueue
from poplarlb.coordination.config import ConfigKeeper, PeerView
from poplarlb.coordination.context import NodeContext
from poplarlb.coordination.effects import SendShard
from poplarlb.coordination.handover import HandOvers
from poplarlb.coordination.journal import Journal
from poplarlb.coordination.membership import Membership
from poplarlb.coordination.ownership import (
    HandOverWanted,
    Ownership,
    ShardAcquired,
    ShardLost,
)
from poplarlb.coordination.requests import (
    RequestParts,
    Routing,
    no_owner_fault,
    silent_owner_fault,
)
from poplarlb.coordination.router import choose_shard
from poplarlb.coordination.shard_host import ShardHost
from poplarlb.coordination.sharding import Member, ShardMap
from poplarlb.coordination.status import node_status
from poplarlb.protocol import api, messages, ports
from poplarlb.settings import Settings
from poplarlb.state.models import Reason

FORWARD_TIMEOUT_MS = 5_000
SUMMARY_PERIOD_MS = 250


@frozen
class _Forwarding:
    """A call that another daemon answers for us."""

    call_id: int
    body: api.ApiBody
    sent_ms: int
    expires_ms: int
    member_id: str


@frozen
class _ForwardedCall:
    """A call that we answer for another daemon."""

    member_id: str
    their_call_id: int


@define
class Node:
    """All state machines of one daemon behind one ``handle``."""

    settings: Settings
    own: Member
    context: NodeContext = None
    shards: ShardMap = None
    membership: Membership = None
    ownership: Ownership = None
    config: ConfigKeeper = None
    budget: CallBudget = None
    requests: RequestParts = None
    hosts: dict[str, ShardHost] = Factory(dict)
    handovers: HandOvers = None
    store_calls: StoreCallQueue = None
    forwarding: dict[int, _Forwarding] = Factory(dict)
    forwarded: dict[int, _ForwardedCall] = Factory(dict)
    next_hosts_ms: int = 0
    summarized_ms: int = 0
    latest_summaries: tuple[messages.ShardSummary, ...] = ()

    def __attrs_post_init__(self) -> None:
        """Build the parts."""
        self.context = NodeContext(self.settings)
        self.shards = ShardMap.from_settings(self.settings.shards)
        self.membership = Membership(self.context, self.own)
        self.ownership = Ownership(self.context, self.membership, self.shards)
        self.handovers = HandOvers(self.membership, self.ownership, self.hosts)
        self.config = ConfigKeeper(self.context, self.own.peer_address)
        self.budget = CallBudget(self.settings.store)
        self.store_calls = StoreCallQueue(self.budget)
        self.requests = RequestParts(self.context, self.membership, self.ownership)

    def handle(self, event: ports.Event, now_ms: int) -> list[ports.Command]:
        """Take one event and return the commands to carry out."""
        outputs = []
        match event:
            case ports.Tick():
                outputs = self._tick(event, now_ms)
            case ports.StoreReplied():
                outputs = [
                    *self.config.handle(event, now_ms),
                    *self.membership.handle(event, now_ms),
                    *self.ownership.handle(event, now_ms),
                    *self._to_hosts(event, now_ms),
                ]
                self.requests.note_records()
            case ports.WorkerReplied():
                outputs = self._to_hosts(event, now_ms)
            case ports.HostsListed(workers=workers):
                self.context.set_workers(workers, self.shards)
            case ports.ApiRequested():
                outputs = self._route(event, now_ms)
            case ports.PeerReceived():
                outputs = self._take_peer(event, now_ms)
            case ports.ShutdownRequested():
                outputs = self.handovers.stop(now_ms)
        return self._resolve(outputs, now_ms)

    def _tick(self, event: ports.Tick, now_ms: int) -> list:
        outputs = [
            *self.config.handle(event, now_ms, self._peer_views(now_ms)),
            *self.membership.handle(event, now_ms, self._own_summaries(now_ms)),
            *self.ownership.handle(event, now_ms),
            *self._to_hosts(event, now_ms),
            *self.handovers.tick(now_ms),
            *self.requests.tick(now_ms),
            *self._expire_forwarding(now_ms),
        ]
        if now_ms >= self.next_hosts_ms:
            self.next_hosts_ms = now_ms + self.settings.platform.hosts_period_ms
            outputs.append(ports.ReadHosts())
        return outputs

    def _peer_views(self, now_ms: int) -> tuple[PeerView, ...]:
        return tuple(
            PeerView(name, peer.member.peer_address, peer.heartbeat.view_version)
            for name, peer in self.membership.peers.items()
            if peer.heartbeat is not None and self.membership.answers(name, now_ms)
        )

    def _to_hosts(self, event: ports.Event, now_ms: int) -> list:
        for shard, host in self.hosts.items():
            host.proof_ms = self.ownership.proof_ms(shard)
        return [
            output
            for host in self.hosts.values()
            for output in host.handle(event, now_ms)
        ]

    def _resolve(self, outputs: list, now_ms: int) -> list[ports.Command]:
        commands: list[ports.Command] = []
        pending = collections.deque(outputs)
        while pending:
            output = pending.popleft()
            match output:
                case ShardAcquired():
                    pending.extend(self._open_shard(output, now_ms))
                case ShardLost(shard=shard):
                    pending.extend(self.requests.lose_shard(shard, now_ms))
                    self.hosts.pop(shard, None)
                case HandOverWanted(shard=shard):
                    pending.extend(self.handovers.begin(shard, now_ms))
                case SendShard(message=message):
                    pending.extend(self._send_shard(message, now_ms))
                case ports.StoreCall():
                    self.store_calls.push(output)
                case ports.ApiAnswer():
                    another = self._try_next_shard(output, now_ms)
                    pending.extend(another)
                    if not another:
                        commands.extend(self._return_answer(output))
                case _:
                    commands.append(output)
        commands.extend(self.store_calls.release(now_ms))
        return commands

    def _open_shard(self, acquired: ShardAcquired, now_ms: int) -> list:
        record = acquired.record
        writer = f"{self.own.member_id}/{self.own.incarnation}"
        journal = Journal(self.context, record.shard, writer, record.epoch)
        admission = Admission(self.context, record.shard, record.epoch)
        commands = self.requests.open_shard(record, admission, now_ms)
        self.hosts[record.shard] = ShardHost(
            self.context,
            self.shards,
            record.shard,
            record.epoch,
            journal,
            admission,
            self.summaries,
            self.ownership.proof_ms(record.shard),
        )
        return commands

    def _own_summaries(self, now_ms: int) -> tuple[messages.ShardSummary, ...]:
        if now_ms - self.summarized_ms < SUMMARY_PERIOD_MS:
            return self.latest_summaries
        self.summarized_ms = now_ms
        found = (host.summary() for host in self.hosts.values())
        self.latest_summaries = tuple(item for item in found if item is not None)
        return self.latest_summaries

    def summaries(self) -> list[messages.ShardSummary]:
        """Return the newest summary of each shard, our own included."""
        heard = (
            peer.heartbeat.summaries
            for peer in self.membership.peers.values()
            if peer.heartbeat is not None
        )
        return [*self.latest_summaries, *itertools.chain.from_iterable(heard)]

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
        return self._to_owner(event, shard, now_ms)

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
            detail = "no endpoint of the service runs"
            fault = api.Fault("not_run", Reason.NO_ENDPOINT, detail, 1_000)
            routing.closed = True
            return [ports.ApiAnswer(call_id, fault)]
        routing.tried.append(shard)
        return self._to_owner(ports.ApiRequested(call_id, body), shard, now_ms)

    def _try_next_shard(self, answer: ports.ApiAnswer, now_ms: int) -> list:
        """Ask another shard's owner where one refused a request of our own."""
        routing = self.requests.may_try_again(answer.call_id, answer.result, now_ms)
        if routing is None:
            return []
        body = routing.body
        shard = choose_shard(body, self.summaries(), self.own.zone, routing.tried)
        return self._admit(answer.call_id, routing, now_ms) if shard else []

    def _to_owner(self, event: ports.ApiRequested, shard: str, now_ms: int) -> list:
        if shard in self.hosts:
            return self._decide(event, shard, now_ms)
        record = self.ownership.owner_of(shard)
        address = self.membership.address_of(record.owner) if record else ""
        if not address or self._is_silent(record.owner, now_ms):
            result = self.requests.answer_alone(event.body, now_ms)
            if result is not None:
                return [ports.ApiAnswer(event.call_id, result)]
        if not address:
            fault = no_owner_fault(event.body)
            return [ports.ApiAnswer(event.call_id, fault)]
        call_id = self.context.next_call()
        expires_ms = now_ms + FORWARD_TIMEOUT_MS
        if isinstance(event.body, api.AdmitRequest):
            expires_ms = event.body.deadline_ms
        self.forwarding[call_id] = _Forwarding(
            event.call_id, event.body, now_ms, expires_ms, record.owner
        )
        message = messages.Forward(call_id, shard, event.body)
        return [ports.SendPeer(record.owner, address, message)]

    def _decide(self, event: ports.ApiRequested, shard: str, now_ms: int) -> list:
        """Let the part of this daemon that owns the shard answer a call."""
        if isinstance(event.body, api.BeginKey | api.FinishKey):
            return self.requests.handle_key(event, shard, now_ms)
        return self.hosts[shard].handle(event, now_ms)

    def _is_silent(self, member_id: str, now_ms: int) -> bool:
        peer = self.membership.peers.get(member_id)
        heard = peer is not None and peer.heartbeat is not None
        return heard and not self.membership.answers(member_id, now_ms)

    def _expire_forwarding(self, now_ms: int) -> list:
        expired = [
            call_id
            for call_id, item in self.forwarding.items()
            if now_ms >= item.expires_ms or self._is_lost(item, now_ms)
        ]
        items = [self.forwarding.pop(call_id) for call_id in expired]
        return [
            ports.ApiAnswer(item.call_id, silent_owner_fault(item.body))
            for item in items
        ]

    def _is_lost(self, item: _Forwarding, now_ms: int) -> bool:
        """Tell whether a gateway's call went to a member that has fallen silent."""
        waited_ms = now_ms - item.sent_ms
        return (
            isinstance(item.body, api.AdmitRequest | api.BeginKey)
            and waited_ms >= self.settings.members.suspect_after_ms
            and self._is_silent(item.member_id, now_ms)
        )

    def _return_answer(self, answer: ports.ApiAnswer) -> list[ports.Command]:
        origin = self.forwarded.pop(answer.call_id, None)
        if origin is None:
            return [self.requests.finish_routing(answer)]
        address = self.membership.address_of(origin.member_id)
        message = messages.Forwarded(origin.their_call_id, answer.result)
        return [ports.SendPeer(origin.member_id, address, message)]

    def _send_shard(self, message: messages.ShardMessage, now_ms: int) -> list:
        if message.recipient in self.hosts:
            event = ports.PeerReceived(self.own.member_id, message)
            return self.hosts[message.recipient].handle(event, now_ms)
        record = self.ownership.owner_of(message.recipient)
        address = self.membership.address_of(record.owner) if record else ""
        if not address:
            return []
        return [ports.SendPeer(record.owner, address, message)]

    def _take_peer(self, event: ports.PeerReceived, now_ms: int) -> list:
        match event.message:
            case messages.Heartbeat():
                return self.membership.handle(event, now_ms)
            case messages.ViewWanted() | messages.ViewOffer():
                return self.config.handle(event, now_ms)
            case messages.ShardMessage(recipient=shard) if shard in self.hosts:
                return self.hosts[shard].handle(event, now_ms)
            case messages.Forward(call_id=their_call, shard=shard, body=body):
                return self._take_forward(event.sender, their_call, shard, body, now_ms)
            case messages.Forwarded(call_id=call_id, result=result):
                item = self.forwarding.pop(call_id, None)
                if item is None:
                    return self._give_back(result, now_ms)
                return [ports.ApiAnswer(item.call_id, result)]
        return self.requests.handle_peer(event, now_ms)

    def _give_back(self, result: api.ApiResult, now_ms: int) -> list:
        """Return a slot whose grant came after its caller had given up."""
        if not isinstance(result, api.Grant):
            return []
        call_id = self.context.next_call()
        body = api.FinishRequest(
            result.request_id, result.shard, result.worker_id, 0, "unused"
        )
        event = ports.ApiRequested(call_id, body)
        return self._to_owner(event, result.shard, now_ms)

    def _take_forward(
        self,
        sender: str,
        their_call: int,
        shard: str,
        body: api.ApiBody,
        now_ms: int,
    ) -> list:
        call_id = self.context.next_call()
        self.forwarded[call_id] = _ForwardedCall(sender, their_call)
        if shard not in self.hosts:
            return [ports.ApiAnswer(call_id, no_owner_fault(body))]
        return self._decide(ports.ApiRequested(call_id, body), shard, now_ms)

    def _status(self, now_ms: int) -> api.Status:
        return node_status(
            self.own,
            self.context,
            self.shards,
            self.membership,
            self.ownership,
            self.hosts,
            now_ms,
        )
