"""Which daemons are members: store leases and peer heartbeats."""

from attrs import Factory, define

from poplarlb.coordination.context import NodeContext
from poplarlb.coordination.sharding import Member
from poplarlb.protocol import codec, messages, ports


@define
class HeardMember:
    """A member and the last heartbeat that came from it."""

    member: Member
    registered: bool = True
    heard_ms: int = 0
    heartbeat: messages.Heartbeat | None = None


@define
class Membership:
    """Keeps this daemon registered and knows the other members."""

    context: NodeContext
    own: Member
    peers: dict[str, HeardMember] = Factory(dict)
    lease_id: int = 0
    own_version: int = 0
    store_contact_ms: int = 0
    calls: dict[int, int] = Factory(dict)
    next_step_ms: int = 0
    next_heartbeat_ms: int = 0
    stopping: bool = False

    def live_members(self, now_ms: int) -> list[Member]:
        """Return the registered members, this daemon included unless stopping."""
        peers = [p.member for p in self.peers.values() if p.registered]
        return peers if self.stopping else [self.own, *peers]

    def answers(self, member_id: str, now_ms: int) -> bool:
        """Tell whether the member was heard from lately."""
        peer = self.peers.get(member_id)
        limit = self.context.settings.members.suspect_after_ms
        return peer is not None and now_ms - peer.heard_ms < limit

    def address_of(self, member_id: str) -> str:
        """Return a member's address for daemons, or an empty string."""
        peer = self.peers.get(member_id)
        return peer.member.peer_address if peer else ""

    def handle(
        self,
        event: ports.Tick | ports.StoreReplied | ports.PeerReceived,
        now_ms: int,
        summaries: tuple[messages.ShardSummary, ...] = (),
    ) -> list[ports.Command]:
        """Advance membership and return store calls and heartbeats."""
        match event:
            case ports.Tick():
                return [*self._step(now_ms), *self._heartbeats(now_ms, summaries)]
            case ports.StoreReplied(call_id=call_id, result=result):
                if call_id in self.calls:
                    return self._settle(result, self.calls.pop(call_id), now_ms)
            case ports.PeerReceived(
                sender=sender, message=messages.Heartbeat() as beat
            ):
                self._heard(sender, beat, now_ms)
        return []

    def _heard(self, sender: str, beat: messages.Heartbeat, now_ms: int) -> None:
        if sender in self.peers:
            self.peers[sender].heard_ms = now_ms
            self.peers[sender].heartbeat = beat

    def _prefix(self) -> str:
        return self.context.settings.store.prefix + "members/"

    def _call(self, operation: ports.StoreOperation, now_ms: int) -> ports.StoreCall:
        call_id = self.context.next_call()
        self.calls[call_id] = now_ms
        return ports.StoreCall(call_id, operation)

    def _step(self, now_ms: int) -> list[ports.Command]:
        if now_ms < self.next_step_ms or self.calls:
            return []
        settings = self.context.settings.members
        self.next_step_ms = now_ms + settings.lease_s * 1000 // 4
        if self.lease_id == 0:
            return [self._call(ports.StoreLeaseGrant(settings.lease_s), now_ms)]
        return [
            self._call(ports.StoreLeaseRenew(self.lease_id), now_ms),
            self._call(ports.StoreRead(self._prefix()), now_ms),
        ]

    def _settle(
        self, result: ports.StoreResult, sent_ms: int, now_ms: int
    ) -> list[ports.Command]:
        if not isinstance(result, ports.StoreFailed):
            self.store_contact_ms = max(self.store_contact_ms, sent_ms)
        match result:
            case ports.StoreLease(ttl_s=0):
                self.lease_id = 0
                self.own_version = 0
                self.next_step_ms = now_ms
            case ports.StoreLease(lease_id=lease_id) if lease_id != self.lease_id:
                self.lease_id = lease_id
                return [self._register(now_ms)]
            case ports.StoreEntries(entries=entries):
                self._read_members(entries)
        return []

    def _register(self, now_ms: int) -> ports.StoreCall:
        value = codec.encode(self.own, Member)
        key = self._prefix() + self.own.member_id
        write = ports.StoreWrite(key, value, self.own_version, self.lease_id)
        self.next_step_ms = now_ms
        return self._call(write, now_ms)

    def _read_members(self, entries: tuple[ports.StoreEntry, ...]) -> None:
        seen = [codec.decode(entry.value, Member) for entry in entries]
        for peer in self.peers.values():
            peer.registered = False
        for member in seen:
            if member.member_id == self.own.member_id:
                continue
            peer = self.peers.setdefault(member.member_id, HeardMember(member))
            peer.member = member
            peer.registered = True

    def _heartbeats(
        self, now_ms: int, summaries: tuple[messages.ShardSummary, ...]
    ) -> list[ports.Command]:
        if now_ms < self.next_heartbeat_ms:
            return []
        self.next_heartbeat_ms = now_ms + self.context.settings.members.heartbeat_ms
        beat = messages.Heartbeat(
            self.own.incarnation,
            self.context.view.version,
            now_ms - self.store_contact_ms,
            summaries,
            self.stopping,
        )
        return [
            ports.SendPeer(name, peer.member.peer_address, beat)
            for name, peer in self.peers.items()
        ]
