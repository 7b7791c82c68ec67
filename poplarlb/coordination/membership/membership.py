"""Tracks which daemons are members, by store leases and peer heartbeats."""

from attrs import Factory, define, evolve

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.gossip import Gossip
from poplarlb.coordination.membership.registration import Registration
from poplarlb.coordination.membership.sharding import Member
from poplarlb.protocol import messages, ports

READ_PERIOD_MS = 1_500
# A full read of the member records is made at the earliest ``FULL_READ_MS_PER_PEER``
# times the number of peers after the one before. It is made then if a registered peer
# is unresponsive, otherwise ``FULL_READ_PERIOD_MS`` later.
FULL_READ_PERIOD_MS = 30_000
FULL_READ_MS_PER_PEER = 100
# With more peers than this, each receives heartbeats less often.
PEERS_AT_FULL_RATE = 10
# A peer is unresponsive after this many periods without a heartbeat, and not before
# ``suspect_after_ms``.
MISSED_HEARTBEATS = 3
# Time until an unregistered peer that sends no heartbeats is forgotten.
PEER_RETENTION_MS = 600_000


@define
class PeerState:
    """A peer's member record and the last heartbeat received from it.

    ``heartbeat.summaries`` holds the newest summary of each of the peer's shards.
    ``registered_since_ms`` and ``unregistered_since_ms`` are when a read first showed
    the peer's record in the store, or its absence.
    ``sent_ms`` and ``next_heartbeat_ms`` are the times of our last and next
    heartbeat to the peer.
    """

    member: Member
    registered: bool = True
    last_heard_ms: int = 0
    heartbeat: messages.Heartbeat | None = None
    registered_since_ms: int = 0
    unregistered_since_ms: int = 0
    sent_ms: int = 0
    next_heartbeat_ms: int = 0


@define
class Membership:
    """Keeps this daemon registered and tracks the other members.

    ``store_contact_ms`` is when the last store call that was answered was sent.
    ``read_full`` is set if the last read was of all member records.
    """

    context: NodeContext
    own: Member
    peers: dict[str, PeerState] = Factory(dict)
    registration: Registration | None = None
    gossip: Gossip | None = None
    store_contact_ms: int = 0
    stopping: bool = False
    read_call: int = 0
    read_sent_ms: int = 0
    read_revision: int = 0
    read_full: bool = False
    next_read_ms: int = 0
    next_full_read_ms: int = 0
    registration_sent_ms: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the registration and the gossip."""
        settings = self.context.settings.members
        self.registration = Registration(self.context, self.own)
        self.gossip = Gossip(settings.gossip_bytes_per_s)

    @property
    def registered(self) -> bool:
        """Whether our own record is in the store, as far as we know."""
        return self.registration.version != 0

    @property
    def deregistered(self) -> bool:
        """Whether our record was removed after ``deregister``.

        Also true if a later incarnation of this daemon has replaced the record by then.
        """
        return self.registration.deregistered

    def leave(self) -> None:
        """Begin to stop: announce it in heartbeats and claim no more shards."""
        self.stopping = True

    def deregister(self) -> None:
        """Remove our record from the store; ``deregistered`` is then set."""
        self.registration.deregistering = True

    def members_not_stopping(self, now_ms: int) -> list[Member]:
        """Return the registered members that are not stopping, this daemon included.

        Unresponsive peers count too, and this daemon even before it is registered.
        """
        peers = [
            peer.member
            for peer in self.peers.values()
            if peer.registered and not _is_stopping(peer)
        ]
        return peers if self.stopping else [self.own, *peers]

    def is_responsive(self, member_id: str, now_ms: int) -> bool:
        """Return whether a peer sent a heartbeat lately; false for our own id."""
        peer = self.peers.get(member_id)
        return (
            peer is not None
            and now_ms - peer.last_heard_ms < self._unresponsive_after_ms()
        )

    def is_established(self, member_id: str, now_ms: int) -> bool:
        """Return whether a peer is responsive and past its registration grace.

        The grace is the first ``registration_grace_ms`` after it registered.
        """
        grace_ms = self.context.settings.members.registration_grace_ms
        peer = self.peers.get(member_id)
        return (
            peer is not None
            and peer.registered
            and now_ms - peer.registered_since_ms >= grace_ms
            and self.is_responsive(member_id, now_ms)
        )

    def is_dead(self, member_id: str, now_ms: int) -> bool:
        """Return whether a member is unregistered and unresponsive.

        ``suspect_after_ms`` must have passed since its record was found to be removed
        and since its last heartbeat. An unknown member is dead, this daemon never is.
        A member whose lease has expired is sent heartbeats at the full rate, so a
        running one answers within ``suspect_after_ms``.
        """
        if member_id == self.own.member_id:
            return False
        peer = self.peers.get(member_id)
        if peer is None:
            return True
        since_ms = max(peer.last_heard_ms, peer.unregistered_since_ms)
        suspect_after_ms = self.context.settings.members.suspect_after_ms
        return not peer.registered and now_ms - since_ms >= suspect_after_ms

    def address_of(self, member_id: str) -> str:
        """Return a member's peer address, or an empty string."""
        peer = self.peers.get(member_id)
        return peer.member.peer_address if peer else ""

    def handle(
        self,
        event: ports.Tick | ports.StoreReplied | ports.PeerReceived,
        now_ms: int,
        summaries: tuple[messages.ShardSummary, ...] = (),
    ) -> list[ports.Command]:
        """Advance membership and return store calls and heartbeats.

        :param summaries: those of the shards that this daemon owns.
        """
        match event:
            case ports.Tick():
                calls = [*self._register(now_ms), *self._read(now_ms)]
                return [*calls, *self._heartbeats(now_ms, summaries)]
            case ports.StoreReplied(call_id=call_id, result=result):
                return self._handle_reply(call_id, result, now_ms)
            case ports.PeerReceived(
                sender=sender, message=messages.Heartbeat() as heartbeat
            ):
                self._handle_heartbeat(sender, heartbeat, now_ms)
        return []

    # --- the store -----------------------------------------------------------------

    def _register(self, now_ms: int) -> list[ports.StoreCall]:
        calls = self.registration.step(now_ms)
        if calls:
            self.registration_sent_ms = now_ms
        return calls

    def _read(self, now_ms: int) -> list[ports.StoreCall]:
        if self.read_call or now_ms < self.next_read_ms:
            return []
        self.next_read_ms = now_ms + READ_PERIOD_MS
        self.read_full = self._full_read_due(now_ms)
        if self.read_full:
            period_ms = FULL_READ_MS_PER_PEER * len(self.peers)
            self.next_full_read_ms = now_ms + max(READ_PERIOD_MS, period_ms)
        self.read_call = self.context.next_call()
        self.read_sent_ms = now_ms
        newer_than = 0 if self.read_full else self.read_revision
        operation = ports.StoreRead(
            self.context.settings.store.prefix + "members/", newer_than
        )
        return [ports.StoreCall(self.read_call, operation)]

    def _full_read_due(self, now_ms: int) -> bool:
        # Only a full read shows which records were deleted.
        if self.read_revision == 0:
            return True
        if now_ms < self.next_full_read_ms:
            return False
        unresponsive = any(
            peer.registered and not self.is_responsive(name, now_ms)
            for name, peer in self.peers.items()
        )
        return unresponsive or now_ms >= self.next_full_read_ms + FULL_READ_PERIOD_MS

    def _handle_reply(
        self, call_id: int, result: ports.StoreResult, now_ms: int
    ) -> list[ports.Command]:
        answered = not isinstance(result, ports.StoreFailed)
        if call_id == self.registration.call_id:
            self.registration.handle_result(result, now_ms)
            if answered:
                self._record_contact(self.registration_sent_ms)
            return self._register(now_ms)
        if call_id == self.read_call:
            self.read_call = 0
            if isinstance(result, ports.StoreEntries):
                self._record_contact(self.read_sent_ms)
                self._apply_members(result, now_ms)
        return []

    def _record_contact(self, sent_ms: int) -> None:
        self.store_contact_ms = max(self.store_contact_ms, sent_ms)

    def _key_of(self, member: Member) -> str:
        return f"{self.context.settings.store.prefix}members/{member.member_id}"

    def _apply_members(self, result: ports.StoreEntries, now_ms: int) -> None:
        self.read_revision = result.revision
        found = [
            self.context.decode_record(entry, Member, self._key_of)
            for entry in result.entries
        ]
        # An unreadable record counts as absent.
        others = {
            member.member_id: member
            for member in found
            if member is not None and member.member_id != self.own.member_id
        }
        for name, member in others.items():
            self._apply_member(name, member, now_ms)
        if not self.read_full:
            return
        for name, peer in list(self.peers.items()):
            if name in others:
                continue
            if peer.registered:
                peer.registered = False
                peer.unregistered_since_ms = now_ms
                peer.next_heartbeat_ms = now_ms
            since_ms = max(peer.last_heard_ms, peer.unregistered_since_ms)
            if now_ms - since_ms >= PEER_RETENTION_MS:
                del self.peers[name]
                self.gossip.forget(name)

    def _apply_member(self, name: str, member: Member, now_ms: int) -> None:
        peer = self.peers.get(name)
        if peer is None or peer.member != member:
            self.gossip.forget(name)
            peer = PeerState(member, False, peer.last_heard_ms if peer else 0)
            self.peers[name] = peer
        if not peer.registered:
            peer.registered = True
            peer.registered_since_ms = now_ms

    # --- heartbeats ----------------------------------------------------------------

    def _period_ms(self) -> int:
        # Grows with the number of peers, to bound the total rate of messages.
        settings = self.context.settings.members
        peers = max(len(self.peers), PEERS_AT_FULL_RATE)
        return settings.heartbeat_ms * peers // PEERS_AT_FULL_RATE

    def _unresponsive_after_ms(self) -> int:
        settings = self.context.settings.members
        return max(settings.suspect_after_ms, MISSED_HEARTBEATS * self._period_ms())

    def _handle_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat, now_ms: int
    ) -> None:
        peer = self.peers.get(sender)
        if peer is None or heartbeat.incarnation < peer.member.incarnation:
            return
        peer.last_heard_ms = now_ms
        known = peer.heartbeat.summaries if peer.heartbeat else ()
        merged = {item.shard: item for item in (*known, *heartbeat.summaries)}
        peer.heartbeat = evolve(heartbeat, summaries=tuple(merged.values()))
        if heartbeat.summaries:
            self._drop_outdated(sender, heartbeat.summaries)
        # A peer that sends sooner than we would checks whether we are alive.
        full_rate_ms = self.context.settings.members.heartbeat_ms
        if now_ms - peer.sent_ms >= full_rate_ms:
            peer.next_heartbeat_ms = now_ms

    def _drop_outdated(
        self, sender: str, summaries: tuple[messages.ShardSummary, ...]
    ) -> None:
        newest = {item.shard: item.epoch for item in summaries}
        for name, peer in self.peers.items():
            if name == sender or peer.heartbeat is None:
                continue
            kept = tuple(
                item
                for item in peer.heartbeat.summaries
                if item.epoch >= newest.get(item.shard, 0)
            )
            if len(kept) < len(peer.heartbeat.summaries):
                peer.heartbeat = evolve(peer.heartbeat, summaries=kept)

    def _heartbeats(
        self, now_ms: int, summaries: tuple[messages.ShardSummary, ...]
    ) -> list[ports.Command]:
        return [
            self._make_heartbeat(name, peer, now_ms, summaries)
            for name, peer in self.peers.items()
            if now_ms >= peer.next_heartbeat_ms
        ]

    def _make_heartbeat(
        self,
        name: str,
        peer: PeerState,
        now_ms: int,
        summaries: tuple[messages.ShardSummary, ...],
    ) -> ports.SendPeer:
        full_rate_ms = self.context.settings.members.heartbeat_ms
        period_ms = self._period_ms() if peer.registered else full_rate_ms
        peer.next_heartbeat_ms = now_ms + period_ms
        peer.sent_ms = now_ms
        heartbeat = messages.Heartbeat(
            self.own.incarnation,
            self.context.view.version,
            now_ms - self.store_contact_ms,
            self.gossip.choose(name, summaries, now_ms),
            self.stopping,
        )
        return ports.SendPeer(name, peer.member.peer_address, heartbeat)


def _is_stopping(peer: PeerState) -> bool:
    return peer.heartbeat is not None and peer.heartbeat.stopping
