"""Which daemon owns which shard: compare-and-swap on owner records."""

from attrs import Factory, define, frozen

from poplarlb.coordination.context import NodeContext
from poplarlb.coordination.membership import Membership
from poplarlb.coordination.sharding import ShardMap, owner_order
from poplarlb.protocol import codec, ports


@frozen
class OwnerRecord:
    """Who owns a shard, under which epoch, and who holds its key marks."""

    shard: str
    owner: str
    epoch: int
    incarnation: int = 0
    second: str = ""
    members: tuple[str, ...] = ()


@frozen
class ShardAcquired:
    """This daemon owns the shard under this epoch; recover its journal now."""

    record: OwnerRecord


@frozen
class ShardLost:
    """Another daemon owns the shard; step down at once."""

    shard: str


OwnershipOutput = ports.StoreCall | ShardAcquired | ShardLost


@define
class Ownership:
    """Claims the shards that this daemon should own and watches the others."""

    context: NodeContext
    membership: Membership
    shards: ShardMap
    records: dict[str, OwnerRecord] = Factory(dict)
    versions: dict[str, int] = Factory(dict)
    held: dict[str, int] = Factory(dict)
    proofs_ms: dict[str, int] = Factory(dict)
    claims: dict[int, OwnerRecord] = Factory(dict)
    read_call: int = 0
    read_sent_ms: int = 0
    read_done: bool = False
    next_read_ms: int = 0

    def owner_of(self, shard: str) -> OwnerRecord | None:
        """Return the last known owner record of a shard."""
        return self.records.get(shard)

    def proof_ms(self, shard: str) -> int:
        """Return when the last read that proved our ownership was sent."""
        return self.proofs_ms.get(shard, 0)

    def handle(
        self, event: ports.Tick | ports.StoreReplied, now_ms: int
    ) -> list[OwnershipOutput]:
        """Advance ownership; returns store calls and changes of ownership."""
        match event:
            case ports.Tick():
                return [*self._read(now_ms), *self._claim(now_ms)]
            case ports.StoreReplied(call_id=call_id, result=result):
                if call_id == self.read_call:
                    return self._settle_read(result)
                if call_id in self.claims:
                    return self._settle_claim(self.claims.pop(call_id), result)
        return []

    def _prefix(self) -> str:
        return self.context.settings.store.prefix + "owners/"

    def _read(self, now_ms: int) -> list[OwnershipOutput]:
        if now_ms < self.next_read_ms or self.read_call:
            return []
        self.next_read_ms = now_ms + 1_000
        self.read_call = self.context.next_call()
        self.read_sent_ms = now_ms
        return [ports.StoreCall(self.read_call, ports.StoreRead(self._prefix()))]

    def _settle_read(self, result: ports.StoreResult) -> list[OwnershipOutput]:
        self.read_call = 0
        if not isinstance(result, ports.StoreEntries):
            return []
        self.read_done = True
        outputs: list[OwnershipOutput] = []
        for entry in result.entries:
            record = codec.decode(entry.value, OwnerRecord)
            self.records[record.shard] = record
            self.versions[record.shard] = entry.version
            if self.held.get(record.shard) == record.epoch:
                self.proofs_ms[record.shard] = self.read_sent_ms
            elif record.shard in self.held:
                del self.held[record.shard]
                outputs.append(ShardLost(record.shard))
        return outputs

    def _claim(self, now_ms: int) -> list[OwnershipOutput]:
        if not self.read_done or self.membership.own_version == -1:
            return []
        live = self.membership.live_members(now_ms)
        claimed = {record.shard for record in self.claims.values()}
        return [
            self._claim_one(shard)
            for shard in self.shards.shards
            if shard not in self.held
            and shard not in claimed
            and self._wanted(shard, live, now_ms)
        ]

    def _wanted(self, shard: str, live: list, now_ms: int) -> bool:
        order = owner_order(shard, live)
        if not order or order[0].member_id != self.membership.own.member_id:
            return False
        record = self.records.get(shard)
        if record is None or record.owner == self.membership.own.member_id:
            return True
        registered = any(member.member_id == record.owner for member in live)
        return not registered and not self.membership.answers(record.owner, now_ms)

    def _claim_one(self, shard: str) -> OwnershipOutput:
        own = self.membership.own
        old = self.records.get(shard)
        epoch = old.epoch + 1 if old else 1
        record = OwnerRecord(shard, own.member_id, epoch, own.incarnation)
        call_id = self.context.next_call()
        self.claims[call_id] = record
        value = codec.encode(record, OwnerRecord)
        version = self.versions.get(shard, 0)
        write = ports.StoreWrite(self._prefix() + shard, value, version)
        return ports.StoreCall(call_id, write)

    def _settle_claim(
        self, record: OwnerRecord, result: ports.StoreResult
    ) -> list[OwnershipOutput]:
        match result:
            case ports.StoreWritten(applied=True, version=version):
                self.records[record.shard] = record
                self.versions[record.shard] = version
                self.held[record.shard] = record.epoch
                return [ShardAcquired(record)]
        return []
