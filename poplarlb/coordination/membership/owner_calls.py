"""Calls forwarded to the owners of shards, and calls received for other daemons."""

from attrs import Factory, define, frozen

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.membership import Membership
from poplarlb.coordination.membership.ownership import Ownership
from poplarlb.coordination.requests.requests import (
    RequestService,
    owner_timeout_fault,
    owner_unavailable_fault,
)
from poplarlb.protocol import api, messages, ports

FORWARD_TIMEOUT_MS = 5_000


@frozen
class SentCall:
    """A call that was sent to another daemon.

    ``call_id`` is that of the caller, ``member_id`` names the daemon called.
    """

    call_id: int
    body: api.ApiBody
    sent_ms: int
    expires_ms: int
    member_id: str


@frozen
class ReceivedCall:
    """A call that was received from another daemon, and its call id there."""

    member_id: str
    remote_call_id: int


@define
class OwnerCalls:
    """Sends calls to the owners of shards and matches the answers to them.

    ``sent`` and ``received`` are keyed by the call id that this daemon gave them.
    """

    context: NodeContext
    membership: Membership
    ownership: Ownership
    requests: RequestService
    sent: dict[int, SentCall] = Factory(dict)
    received: dict[int, ReceivedCall] = Factory(dict)

    def send(self, event: ports.ApiRequested, shard: str, now_ms: int) -> list:
        """Send a call to the shard's owner, or answer it if there is none.

        If the owner is unresponsive, a request may also be answered here, with a
        slot from this daemon's fixed share.
        """
        record = self.ownership.owner_of(shard)
        address = self.membership.address_of(record.owner) if record else ""
        if not address or self._is_unresponsive(record.owner, now_ms):
            result = self.requests.answer_without_owner(event.body, now_ms)
            if result is not None:
                return [ports.ApiAnswer(event.call_id, result)]
        if not address:
            return [ports.ApiAnswer(event.call_id, owner_unavailable_fault(event.body))]
        call_id = self.context.next_call()
        expires_ms = now_ms + FORWARD_TIMEOUT_MS
        if isinstance(event.body, api.AdmitRequest):
            expires_ms = event.body.deadline_ms
        self.sent[call_id] = SentCall(
            event.call_id, event.body, now_ms, expires_ms, record.owner
        )
        message = messages.Forward(call_id, shard, event.body)
        return [ports.SendPeer(record.owner, address, message)]

    def send_message(self, message: messages.ShardMessage) -> list:
        """Send a message to the owner of the recipient shard, if there is one."""
        record = self.ownership.owner_of(message.recipient)
        address = self.membership.address_of(record.owner) if record else ""
        return [ports.SendPeer(record.owner, address, message)] if address else []

    def receive(self, sender: str, message: messages.Forward) -> ports.ApiRequested:
        """Return another daemon's call under a call id of our own."""
        call_id = self.context.next_call()
        self.received[call_id] = ReceivedCall(sender, message.call_id)
        return ports.ApiRequested(call_id, message.body)

    def match_answer(self, message: messages.Forwarded) -> ports.ApiAnswer | None:
        """Return the answer for the caller; ``None`` if the call awaits none."""
        item = self.sent.pop(message.call_id, None)
        return ports.ApiAnswer(item.call_id, message.result) if item else None

    def deliver_answer(self, answer: ports.ApiAnswer) -> ports.Command:
        """Return an answer to its caller: our own caller or another daemon."""
        origin = self.received.pop(answer.call_id, None)
        if origin is None:
            return self.requests.finish_routing(answer)
        address = self.membership.address_of(origin.member_id)
        message = messages.Forwarded(origin.remote_call_id, answer.result)
        return ports.SendPeer(origin.member_id, address, message)

    def expire(self, now_ms: int) -> list[ports.ApiAnswer]:
        """Remove overdue calls, and return the answers for their callers.

        A gateway's call ends early if its owner has become unresponsive.
        """
        expired = [
            call_id
            for call_id, item in self.sent.items()
            if now_ms >= item.expires_ms or self._is_owner_unresponsive(item, now_ms)
        ]
        items = [self.sent.pop(call_id) for call_id in expired]
        return [
            ports.ApiAnswer(item.call_id, owner_timeout_fault(item.body))
            for item in items
        ]

    def _is_unresponsive(self, member_id: str, now_ms: int) -> bool:
        """Return whether a member that has sent heartbeats no longer does."""
        peer = self.membership.peers.get(member_id)
        known = peer is not None and peer.heartbeat is not None
        return known and not self.membership.is_responsive(member_id, now_ms)

    def _is_owner_unresponsive(self, item: SentCall, now_ms: int) -> bool:
        """Return whether a gateway's call went to a member that no longer responds."""
        waited_ms = now_ms - item.sent_ms
        return (
            isinstance(item.body, api.AdmitRequest | api.BeginKey)
            and waited_ms >= self.context.settings.members.suspect_after_ms
            and self._is_unresponsive(item.member_id, now_ms)
        )
