"""Keeps this daemon's member record in the store, under a lease."""

from attrs import define, field

from poplarlb.coordination.membership.backoff import Backoff
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.sharding import Member
from poplarlb.protocol import codec, ports


@define
class Registration:
    """Obtains a lease, writes the member record under it, and renews the lease.

    Starts again when the lease has expired. One call is in flight at a time.
    ``version`` is that of our record in the store, 0 while there is none;
    ``expected_version`` is that of the record which the next write replaces.
    ``record_unknown`` is set from a write or deletion that was refused or has an
    ambiguous outcome until the record is read. ``superseded`` is set when
    a later incarnation's record was read, ``deregistered`` when ``deregistering``
    has succeeded or was found superseded.
    """

    context: NodeContext
    own: Member
    lease_id: int = 0
    version: int = 0
    expected_version: int = 0
    record_unknown: bool = False
    deregistering: bool = False
    deregistered: bool = False
    superseded: bool = False
    call_id: int = 0
    operation: ports.StoreOperation | None = None
    next_renewal_ms: int = 0
    backoff: Backoff = field(factory=Backoff)

    @property
    def key(self) -> str:
        """The key of our record in the store."""
        prefix = self.context.settings.store.prefix
        return f"{prefix}members/{self.own.member_id}"

    def step(self, now_ms: int) -> list[ports.StoreCall]:
        """Return the next store call, if one is due."""
        if self.call_id or self.deregistered or not self.backoff.ready(now_ms):
            return []
        self.operation = self._next_operation(now_ms)
        if self.operation is None:
            return []
        self.call_id = self.context.next_call()
        return [ports.StoreCall(self.call_id, self.operation)]

    def _next_operation(self, now_ms: int) -> ports.StoreOperation | None:
        if self.record_unknown:
            return ports.StoreRead(self.key)
        if self.deregistering:
            return ports.StoreDelete(self.key, self.version)
        if self.superseded:
            return None
        lease_s = self.context.settings.members.lease_s
        if self.lease_id == 0:
            return ports.StoreLeaseGrant(lease_s)
        if self.version == 0:
            value = codec.encode(self.own, Member)
            return ports.StoreWrite(
                self.key, value, self.expected_version, self.lease_id
            )
        if now_ms < self.next_renewal_ms:
            return None
        self.next_renewal_ms = now_ms + lease_s * 1000 // 3
        return ports.StoreLeaseRenew(self.lease_id)

    def handle_result(self, result: ports.StoreResult, now_ms: int) -> None:
        """Handle the result of the store call in flight."""
        self.call_id = 0
        self.backoff.reset()
        match result:
            case ports.StoreLease(ttl_s=0):
                self._on_lease_expired()
            case ports.StoreLease(lease_id=lease_id):
                self.lease_id = lease_id
            case ports.StoreWritten(applied=True) if self._is_deleting:
                self.deregistered = True
            case ports.StoreWritten(applied=True, version=version):
                self._on_registered(version, now_ms)
            case ports.StoreWritten():
                self.record_unknown = True
            case ports.StoreEntries(entries=entries):
                self._on_record_read(entries)
            case _:
                self._on_failure(now_ms)

    @property
    def _is_deleting(self) -> bool:
        return isinstance(self.operation, ports.StoreDelete)

    def _on_failure(self, now_ms: int) -> None:
        self.backoff.record_failure(now_ms)
        if isinstance(self.operation, ports.StoreWrite):
            # The lease may have expired, or may hold a record whose version we
            # don't know; the next registration gets a new lease.
            self.lease_id = 0
        if isinstance(self.operation, ports.StoreWrite | ports.StoreDelete):
            self.record_unknown = True

    def _on_lease_expired(self) -> None:
        self.lease_id = 0
        self.version = 0
        self.expected_version = 0

    def _on_registered(self, version: int, now_ms: int) -> None:
        self.version = version
        lease_s = self.context.settings.members.lease_s
        self.next_renewal_ms = now_ms + lease_s * 1000 // 3

    def _on_record_read(self, entries: tuple[ports.StoreEntry, ...]) -> None:
        self.record_unknown = False
        found = next((entry for entry in entries if entry.key == self.key), None)
        self.expected_version = found.version if found else 0
        if found is None:
            self.deregistered = self.deregistering
            self.version = 0
            return
        member = self.context.decode_record(found, Member)
        # An unreadable record is replaced like one of an earlier incarnation.
        self.superseded = (
            member is not None and member.incarnation > self.own.incarnation
        )
        if self.deregistering:
            self.version = found.version
            self.deregistered = self.superseded
