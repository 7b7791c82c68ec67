"""Hands shards over to other daemons, and carries out the daemon's stop."""

from attrs import Factory, define

from poplarlb.coordination.membership.membership import Membership
from poplarlb.coordination.membership.ownership import Ownership
from poplarlb.coordination.shards.shard_host import ShardHost
from poplarlb.protocol import ports

HANDOVER_TIMEOUT_MS = 10_000


@define
class HandoverManager:
    """Carries out hand-overs: flush the journal, then name the next owner.

    A shard whose hand-over takes longer than ``HANDOVER_TIMEOUT_MS`` is reclaimed
    unless the daemon is stopping. A shard whose state machine has failed is always
    reclaimed, to recover its state from the journal. ``started_ms`` holds when
    each hand-over began.
    """

    membership: Membership
    ownership: Ownership
    shard_hosts: dict[str, ShardHost]
    started_ms: dict[str, int] = Factory(dict)
    stopping: bool = False

    def begin(self, shard: str, now_ms: int) -> list:
        """Stop taking decisions for a shard and flush its journal."""
        host = self.shard_hosts.get(shard)
        if host is None:
            return []
        self.started_ms.setdefault(shard, now_ms)
        return host.hand_over(now_ms)

    def stop(self, now_ms: int) -> list:
        """Begin to hand every shard over and then to deregister."""
        self.stopping = True
        self.membership.leave()
        return []

    def tick(self, now_ms: int) -> list:
        """Name the next owner of each flushed shard, and advance the daemon's stop."""
        outputs = []
        for shard, host in self.shard_hosts.items():
            if host.broken:
                outputs.extend(self.ownership.reclaim(shard, now_ms))
            elif shard in self.started_ms:
                outputs.extend(self._advance(shard, host, now_ms))
        self.started_ms = {
            s: t for s, t in self.started_ms.items() if s in self.shard_hosts
        }
        if self.stopping:
            outputs.extend(self._advance_stop(now_ms))
        return outputs

    def _advance(self, shard: str, host: ShardHost, now_ms: int) -> list:
        if now_ms - self.started_ms[shard] >= HANDOVER_TIMEOUT_MS and not self.stopping:
            self.started_ms[shard] = now_ms
            return self.ownership.reclaim(shard, now_ms)
        if not host.handed_over:
            return []
        return self.ownership.hand_over(shard, now_ms)

    def _advance_stop(self, now_ms: int) -> list:
        """Deregister once all shards are handed over, or flushed without a successor.

        Outputs ``Stopped`` when the daemon is deregistered.
        """
        if self.shard_hosts and self._has_successor(now_ms):
            return []
        outputs = []
        for shard in self.shard_hosts:
            outputs.extend(self.begin(shard, now_ms))
        if not all(host.handed_over for host in self.shard_hosts.values()):
            return outputs
        self.membership.deregister()
        if self.membership.deregistered:
            outputs.append(ports.Stopped())
        return outputs

    def _has_successor(self, now_ms: int) -> bool:
        """Return whether any other member may take over shards."""
        members = self.membership.registered_members(now_ms)
        return any(self.membership.is_established(m.member_id, now_ms) for m in members)
