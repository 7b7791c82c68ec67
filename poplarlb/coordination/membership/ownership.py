"""Ownership of shards, by compare-and-swap on owner records in the store."""

from attrs import Factory, define, evolve, frozen

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.membership import Membership
from poplarlb.coordination.membership.sharding import (
    Member,
    ShardMap,
    choose_backup,
    owner_order,
)
from poplarlb.protocol import codec, ports

READ_PERIOD_MS = 1_000
# Time to the next review of owners: after one that requested a hand-over, and else.
HANDOVER_PERIOD_MS = 2_000
REVIEW_PERIOD_MS = 500
CLAIM_PERIOD_MS = 200
# At most this many hand-overs at a time while the daemon is stopping, otherwise one.
HANDOVERS_WHILE_STOPPING = 4
EARLIER_BACKUPS_KEPT = 8


@frozen
class OwnerRecord:
    """A shard's owner, the epoch of this ownership, and the shard's backup daemon.

    The backup daemon ``second`` holds copies of the owner's key marks: records
    that an idempotency key may have been dispatched. ``earlier_seconds`` are the
    backup daemons of earlier epochs, which may hold marks that no owner has
    collected yet; ``assign_backup`` clears them. ``incarnation`` is the owner's,
    and ``members`` is left empty.
    """

    shard: str
    owner: str
    epoch: int
    incarnation: int = 0
    second: str = ""
    members: tuple[str, ...] = ()
    earlier_seconds: tuple[str, ...] = ()


@frozen
class ShardAcquired:
    """This daemon owns the shard under the record's epoch; recover its journal now."""

    record: OwnerRecord


@frozen
class ShardLost:
    """Another daemon owns the shard, or may own it; stop deciding at once."""

    shard: str


@frozen
class HandoverRequested:
    """``member_id`` should own the shard: flush its journal, call ``hand_over``."""

    shard: str
    member_id: str


OwnershipOutput = ports.StoreCall | ShardAcquired | ShardLost | HandoverRequested


@frozen
class _Write:
    """A write of an owner record that is in flight."""

    record: OwnerRecord
    sent_ms: int


@define
class Ownership:
    """Claims the shards that this daemon should own and tracks the other owners.

    ``versions`` holds the store version of each shard's owner record.
    ``owned_epochs`` maps the shards that this daemon owns to their epochs,
    ``last_epochs`` every shard that it has owned to the highest of its epochs.
    ``ambiguous_writes`` holds when a write of a record failed or was refused,
    ``pending_backups`` the backup daemons still to be recorded, and
    ``handover_requested_ms`` when the hand-over of a shard was requested. Shards of
    dead owners are claimed from ``claims_allowed_ms`` on.
    """

    context: NodeContext
    membership: Membership
    shards: ShardMap
    records: dict[str, OwnerRecord] = Factory(dict)
    versions: dict[str, int] = Factory(dict)
    owned_epochs: dict[str, int] = Factory(dict)
    last_epochs: dict[str, int] = Factory(dict)
    confirmed_ms_by_shard: dict[str, int] = Factory(dict)
    writes: dict[int, _Write] = Factory(dict)
    ambiguous_writes: dict[str, int] = Factory(dict)
    pending_backups: dict[str, str] = Factory(dict)
    handover_requested_ms: dict[str, int] = Factory(dict)
    read_call: int = 0
    read_sent_ms: int = 0
    read_revision: int = 0
    read_answered_ms: int = 0
    next_read_ms: int = 0
    next_handover_ms: int = 0
    claims_allowed_ms: int = 0
    next_claim_ms: int = 0

    def owner_of(self, shard: str) -> OwnerRecord | None:
        """Return the last known owner record of a shard."""
        return self.records.get(shard)

    def ownership_confirmed_ms(self, shard: str) -> int:
        """Return when the last store call that confirmed our ownership was sent.

        Returns 0 if none has.
        """
        return self.confirmed_ms_by_shard.get(shard, 0)

    def handle(
        self, event: ports.Tick | ports.StoreReplied, now_ms: int
    ) -> list[OwnershipOutput]:
        """Advance ownership; return store calls and changes of ownership."""
        match event:
            case ports.Tick():
                return [
                    *self._expire(now_ms),
                    *self._read(now_ms),
                    *self._claim(now_ms),
                    *self._write_backups(now_ms),
                    *self._request_handovers(now_ms),
                ]
            case ports.StoreReplied(call_id=call_id, result=result):
                if call_id == self.read_call:
                    return self._handle_read(result, now_ms)
                if call_id in self.writes:
                    return self._handle_write(call_id, result, now_ms)
        return []

    def hand_over(self, shard: str, now_ms: int) -> list[OwnershipOutput]:
        """Write the preferred other member as owner, with the next epoch.

        The shard's journal must be flushed and its owner must take no more
        decisions. Nothing is done while a write of the record is unsettled or no
        established member is preferred to this daemon; call it again then.
        """
        target = self._preferred_owner(shard, now_ms)
        if (
            shard not in self.owned_epochs
            or self._has_unsettled_write(shard)
            or target is None
        ):
            return []
        return [self._write(self._next_record(shard, target, now_ms), now_ms)]

    def reclaim(self, shard: str, now_ms: int) -> list[OwnershipOutput]:
        """Claim a shard of ours under a new epoch, to recover its journal again."""
        if shard not in self.owned_epochs or self._has_unsettled_write(shard):
            return []
        return [
            self._write(self._next_record(shard, self.membership.own, now_ms), now_ms)
        ]

    def assign_backup(self, shard: str, member_id: str) -> None:
        """Assign the backup daemon of a shard that we own.

        Call this only when the marks of all earlier backup daemons have been
        collected. Until the owner record is written, ``confirmed_backup`` returns
        an empty string.
        """
        if shard in self.owned_epochs:
            self.pending_backups[shard] = member_id

    def confirmed_backup(self, shard: str) -> str:
        """Return a shard's backup daemon.

        Returns an empty string if none is known or an assignment is being written.
        """
        record = self.records.get(shard)
        if record is None or shard in self.pending_backups:
            return ""
        return record.second

    # --- reads ---------------------------------------------------------------------

    def _prefix(self) -> str:
        return self.context.settings.store.prefix + "owners/"

    def _read(self, now_ms: int) -> list[OwnershipOutput]:
        if now_ms < self.next_read_ms or self.read_call:
            return []
        self.next_read_ms = now_ms + READ_PERIOD_MS
        self.read_call = self.context.next_call()
        self.read_sent_ms = now_ms
        operation = ports.StoreRead(self._prefix(), self.read_revision)
        return [ports.StoreCall(self.read_call, operation)]

    def _handle_read(
        self, result: ports.StoreResult, now_ms: int
    ) -> list[OwnershipOutput]:
        self.read_call = 0
        if not isinstance(result, ports.StoreEntries):
            return []
        self._track_outage(now_ms)
        self.read_revision = max(self.read_revision, result.revision)
        outputs: list[OwnershipOutput] = []
        for entry in result.entries:
            record = codec.decode(entry.value, OwnerRecord)
            if entry.version > self.versions.get(record.shard, 0):
                outputs.extend(
                    self._apply_record(record, entry.version, self.read_sent_ms)
                )
        for shard in self.owned_epochs:
            self._confirm(shard, self.read_sent_ms)
        self.ambiguous_writes = {
            shard: failed_ms
            for shard, failed_ms in self.ambiguous_writes.items()
            if failed_ms > self.read_sent_ms
        }
        return outputs

    def _track_outage(self, now_ms: int) -> None:
        settings = self.context.settings.members
        if now_ms - self.read_answered_ms >= settings.lease_s * 1000 // 2:
            # Leases may have expired while the store was unavailable; their
            # holders get time to register again.
            self.claims_allowed_ms = now_ms + settings.registration_grace_ms
        self.read_answered_ms = now_ms

    def _apply_record(
        self, record: OwnerRecord, version: int, sent_ms: int
    ) -> list[OwnershipOutput]:
        """Apply a newer record; return the changes of our own ownership."""
        shard = record.shard
        self.records[shard] = record
        self.versions[shard] = version
        if (
            self.pending_backups.get(shard) == record.second
            and not record.earlier_seconds
        ):
            del self.pending_backups[shard]
        if self.owned_epochs.get(shard) == record.epoch:
            return []
        outputs: list[OwnershipOutput] = self._drop(shard)
        if self._is_own_record(record) and record.epoch > self.last_epochs.get(
            shard, 0
        ):
            self.owned_epochs[shard] = record.epoch
            self.last_epochs[shard] = record.epoch
            self._confirm(shard, sent_ms)
            outputs.append(ShardAcquired(record))
        return outputs

    def _is_own_record(self, record: OwnerRecord) -> bool:
        own = self.membership.own
        ours = (own.member_id, own.incarnation)
        return (record.owner, record.incarnation) == ours

    def _drop(self, shard: str) -> list[OwnershipOutput]:
        self.handover_requested_ms.pop(shard, None)
        self.pending_backups.pop(shard, None)
        if self.owned_epochs.pop(shard, None) is None:
            return []
        return [ShardLost(shard)]

    def _confirm(self, shard: str, sent_ms: int) -> None:
        self.confirmed_ms_by_shard[shard] = max(
            sent_ms, self.confirmed_ms_by_shard.get(shard, 0)
        )

    def _expire(self, now_ms: int) -> list[OwnershipOutput]:
        """Give up the shards whose ownership the store has not confirmed lately."""
        horizon_ms = self.context.settings.members.orphan_horizon_ms
        expired = [
            s
            for s in self.owned_epochs
            if now_ms - self.confirmed_ms_by_shard[s] >= horizon_ms
        ]
        return [output for shard in expired for output in self._drop(shard)]

    # --- writes --------------------------------------------------------------------

    def _has_unsettled_write(self, shard: str) -> bool:
        """Return whether a write of the record is in flight or ambiguous."""
        in_flight = any(write.record.shard == shard for write in self.writes.values())
        return in_flight or shard in self.ambiguous_writes

    def _write(self, record: OwnerRecord, now_ms: int) -> ports.StoreCall:
        version = self.versions.get(record.shard, 0)
        call_id = self.context.next_call()
        self.writes[call_id] = _Write(record, now_ms)
        value = codec.encode(record, OwnerRecord)
        operation = ports.StoreWrite(self._prefix() + record.shard, value, version)
        return ports.StoreCall(call_id, operation)

    def _handle_write(
        self, call_id: int, result: ports.StoreResult, now_ms: int
    ) -> list[OwnershipOutput]:
        write = self.writes.pop(call_id)
        shard = write.record.shard
        match result:
            case ports.StoreWritten(applied=True, version=version):
                if version <= self.versions.get(shard, 0):
                    return []
                self._confirm_write(write)
                return self._apply_record(write.record, version, write.sent_ms)
        # Only a read sent from now on shows whether the write took effect; until
        # then nothing else is written for the shard.
        self.ambiguous_writes[shard] = now_ms
        if isinstance(result, ports.StoreWritten):
            self.next_read_ms = now_ms
        return []

    def _confirm_write(self, write: _Write) -> None:
        if self.owned_epochs.get(write.record.shard) == write.record.epoch:
            self._confirm(write.record.shard, write.sent_ms)

    def _next_record(self, shard: str, owner: Member, now_ms: int) -> OwnerRecord:
        old = self.records.get(shard)
        members = self.membership.registered_members(now_ms)
        backup = choose_backup(shard, owner, members)
        if old is None:
            return OwnerRecord(shard, owner.member_id, 1, owner.incarnation, backup)
        earlier = dict.fromkeys([*old.earlier_seconds, old.second])
        earlier.pop("", None)
        epoch = max(old.epoch, self.last_epochs.get(shard, 0)) + 1
        return OwnerRecord(
            shard,
            owner.member_id,
            epoch,
            owner.incarnation,
            backup,
            earlier_seconds=tuple(earlier)[-EARLIER_BACKUPS_KEPT:],
        )

    def _write_backups(self, now_ms: int) -> list[OwnershipOutput]:
        # Written again until the record changes, so that no earlier assignment
        # can take effect afterwards.
        return [
            self._write(
                evolve(self.records[shard], second=member_id, earlier_seconds=()),
                now_ms,
            )
            for shard, member_id in self.pending_backups.items()
            if not self._has_unsettled_write(shard)
        ]

    # --- claims --------------------------------------------------------------------

    def _claim(self, now_ms: int) -> list[OwnershipOutput]:
        ready = self.membership.registered and not self.membership.stopping
        if not ready or not self.read_answered_ms or now_ms < self.next_claim_ms:
            return []
        self.next_claim_ms = now_ms + CLAIM_PERIOD_MS
        members = self.membership.registered_members(now_ms)
        return [
            self._write(self._next_record(shard, self.membership.own, now_ms), now_ms)
            for shard in self.shards.shards
            if shard not in self.owned_epochs
            and self._should_claim(shard, members, now_ms)
            and not self._has_unsettled_write(shard)
        ]

    def _should_claim(self, shard: str, members: list[Member], now_ms: int) -> bool:
        record = self.records.get(shard)
        own = self.membership.own
        if record is not None and record.owner == own.member_id:
            return True
        if record is not None and not self._is_claimable(record, now_ms):
            return False
        return owner_order(shard, members)[0].member_id == own.member_id

    def _is_claimable(self, record: OwnerRecord, now_ms: int) -> bool:
        dead = self.membership.is_dead(record.owner, now_ms)
        return dead and now_ms >= self.claims_allowed_ms

    # --- hand-overs ----------------------------------------------------------------

    def _request_handovers(self, now_ms: int) -> list[OwnershipOutput]:
        """Request hand-overs to preferred owners, a few at a time.

        A request that was not carried out within 10 s may be made again.
        """
        stopping = self.membership.stopping
        limit = HANDOVERS_WHILE_STOPPING if stopping else 1
        self.handover_requested_ms = {
            s: t for s, t in self.handover_requested_ms.items() if now_ms - t < 10_000
        }
        if now_ms < self.next_handover_ms and not stopping:
            return []
        wanted = [
            HandoverRequested(shard, target.member_id)
            for shard, target in (
                (s, self._preferred_owner(s, now_ms)) for s in self.owned_epochs
            )
            if target is not None and shard not in self.handover_requested_ms
        ]
        chosen = wanted[: max(0, limit - len(self.handover_requested_ms))]
        self.next_handover_ms = now_ms + REVIEW_PERIOD_MS
        for output in chosen:
            self.handover_requested_ms[output.shard] = now_ms
            self.next_handover_ms = now_ms + HANDOVER_PERIOD_MS
        return chosen

    def _preferred_owner(self, shard: str, now_ms: int) -> Member | None:
        """Return the established member that comes first as owner of a shard of ours.

        Returns ``None`` if this daemon comes before every established member.
        """
        own = self.membership.own
        for member in owner_order(shard, self.membership.registered_members(now_ms)):
            if member.member_id == own.member_id:
                return None
            if self.membership.is_established(member.member_id, now_ms):
                return member
        return None
