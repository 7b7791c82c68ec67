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
HANDOVER_PERIOD_MS = 2_000
REVIEW_PERIOD_MS = 500
CLAIM_PERIOD_MS = 200
HANDOVERS_WHILE_STOPPING = 4
EARLIER_BACKUPS_KEPT = 8


@frozen
class OwnerRecord:
    """A shard's owner, its epoch, and the backup daemon for its key marks.

    ``second`` is the backup daemon. ``earlier_seconds`` are those of earlier
    epochs, which may hold marks that no owner has collected yet;
    ``assign_backup`` clears them.
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
    """This daemon owns the shard under this epoch; recover its journal now."""

    record: OwnerRecord


@frozen
class ShardLost:
    """Another daemon owns the shard, or may own it; stop deciding at once."""

    shard: str


@frozen
class HandoverRequested:
    """``member_id`` should own the shard: flush it, then call ``hand_over``."""

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
    """Claims the shards that this daemon should own and tracks the other owners."""

    context: NodeContext
    membership: Membership
    shards: ShardMap
    records: dict[str, OwnerRecord] = Factory(dict)
    versions: dict[str, int] = Factory(dict)
    held: dict[str, int] = Factory(dict)
    last_epochs: dict[str, int] = Factory(dict)
    confirmed_ms_by_shard: dict[str, int] = Factory(dict)
    writes: dict[int, _Write] = Factory(dict)
    ambiguous_writes: dict[str, int] = Factory(dict)
    pending_backups: dict[str, str] = Factory(dict)
    pending_handovers: dict[str, int] = Factory(dict)
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
        """Return when the last store call that confirmed our ownership was sent."""
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
        """Name the preferred live member as owner, with the next epoch.

        The shard must be flushed and must take no more decisions. Nothing is done
        if no other member may own it; the hand-over is then requested again.
        """
        target = self._preferred_owner(shard, now_ms)
        if shard not in self.held or self._is_written(shard) or target is None:
            return []
        return [self._write(self._next_record(shard, target, now_ms), now_ms)]

    def reclaim(self, shard: str, now_ms: int) -> list[OwnershipOutput]:
        """Claim a shard of ours under a new epoch, to recover its journal again."""
        if shard not in self.held or self._is_written(shard):
            return []
        return [
            self._write(self._next_record(shard, self.membership.own, now_ms), now_ms)
        ]

    def assign_backup(self, shard: str, member_id: str) -> None:
        """Assign the member that holds the key marks of a shard that we own.

        Call it only when the marks of all earlier backup daemons have been
        collected; ``confirmed_backup`` is empty until the record is written.
        """
        if shard in self.held:
            self.pending_backups[shard] = member_id

    def confirmed_backup(self, shard: str) -> str:
        """Return a shard's backup daemon, or an empty string while it changes."""
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
        for shard in self.held:
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
        if self.held.get(shard) == record.epoch:
            return []
        outputs: list[OwnershipOutput] = self._drop(shard)
        if self._is_own_record(record) and record.epoch > self.last_epochs.get(
            shard, 0
        ):
            self.held[shard] = record.epoch
            self.last_epochs[shard] = record.epoch
            self._confirm(shard, sent_ms)
            outputs.append(ShardAcquired(record))
        return outputs

    def _is_own_record(self, record: OwnerRecord) -> bool:
        own = self.membership.own
        ours = (own.member_id, own.incarnation)
        return (record.owner, record.incarnation) == ours

    def _drop(self, shard: str) -> list[OwnershipOutput]:
        self.pending_handovers.pop(shard, None)
        self.pending_backups.pop(shard, None)
        if self.held.pop(shard, None) is None:
            return []
        return [ShardLost(shard)]

    def _confirm(self, shard: str, sent_ms: int) -> None:
        self.confirmed_ms_by_shard[shard] = max(
            sent_ms, self.confirmed_ms_by_shard.get(shard, 0)
        )

    def _expire(self, now_ms: int) -> list[OwnershipOutput]:
        horizon_ms = self.context.settings.members.orphan_horizon_ms
        expired = [
            s for s in self.held if now_ms - self.confirmed_ms_by_shard[s] >= horizon_ms
        ]
        return [output for shard in expired for output in self._drop(shard)]

    # --- writes --------------------------------------------------------------------

    def _is_written(self, shard: str) -> bool:
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
        if self.held.get(write.record.shard) == write.record.epoch:
            self._confirm(write.record.shard, write.sent_ms)

    def _next_record(self, shard: str, owner: Member, now_ms: int) -> OwnerRecord:
        old = self.records.get(shard)
        live = self.membership.live_members(now_ms)
        backup = choose_backup(shard, owner, live)
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
            if not self._is_written(shard)
        ]

    # --- claims --------------------------------------------------------------------

    def _claim(self, now_ms: int) -> list[OwnershipOutput]:
        ready = self.membership.registered and not self.membership.stopping
        if not ready or not self.read_answered_ms or now_ms < self.next_claim_ms:
            return []
        self.next_claim_ms = now_ms + CLAIM_PERIOD_MS
        live = self.membership.live_members(now_ms)
        return [
            self._write(self._next_record(shard, self.membership.own, now_ms), now_ms)
            for shard in self.shards.shards
            if shard not in self.held
            and self._should_own(shard, live, now_ms)
            and not self._is_written(shard)
        ]

    def _should_own(self, shard: str, live: list[Member], now_ms: int) -> bool:
        record = self.records.get(shard)
        own = self.membership.own
        if record is not None and record.owner == own.member_id:
            return True
        if record is not None and not self._is_claimable(record, now_ms):
            return False
        return owner_order(shard, live)[0].member_id == own.member_id

    def _is_claimable(self, record: OwnerRecord, now_ms: int) -> bool:
        dead = self.membership.is_dead(record.owner, now_ms)
        return dead and now_ms >= self.claims_allowed_ms

    # --- hand-overs ----------------------------------------------------------------

    def _request_handovers(self, now_ms: int) -> list[OwnershipOutput]:
        """Request hand-overs of shards, a few at a time."""
        stopping = self.membership.stopping
        limit = HANDOVERS_WHILE_STOPPING if stopping else 1
        self.pending_handovers = {
            s: t for s, t in self.pending_handovers.items() if now_ms - t < 10_000
        }
        if now_ms < self.next_handover_ms and not stopping:
            return []
        wanted = [
            HandoverRequested(shard, target.member_id)
            for shard, target in (
                (s, self._preferred_owner(s, now_ms)) for s in self.held
            )
            if target is not None and shard not in self.pending_handovers
        ]
        chosen = wanted[: max(0, limit - len(self.pending_handovers))]
        self.next_handover_ms = now_ms + REVIEW_PERIOD_MS
        for output in chosen:
            self.pending_handovers[output.shard] = now_ms
            self.next_handover_ms = now_ms + HANDOVER_PERIOD_MS
        return chosen

    def _preferred_owner(self, shard: str, now_ms: int) -> Member | None:
        """Return the member that should own a shard of ours, if it is established."""
        own = self.membership.own
        for member in owner_order(shard, self.membership.live_members(now_ms)):
            if member.member_id == own.member_id:
                return None
            if self.membership.is_established(member.member_id, now_ms):
                return member
        return None
