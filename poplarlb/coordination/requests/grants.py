"""Endpoint slots that shards' owners granted to this daemon's gateways.

They are reported to a shard's new owner. While neither the owner nor the store
responds, slots are granted from a fixed share of this daemon.
"""

from attrs import Factory, define

from poplarlb.coordination.membership.sharding import score
from poplarlb.protocol import api, messages
from poplarlb.state.models import Reason

# The longest time from an owner's grant to its deadline.
MAX_GRANT_MS = 30_000
# After a grant's deadline its slot stays counted for this time.
GRANT_GRACE_MS = 1_000
# The epoch of grants without an owner; an owner's epoch is higher.
FALLBACK_EPOCH = 0


@define
class GrantRegistry:
    """Keeps the grants that this daemon's own requests use, by request id.

    After a report to a shard's owner, grants of earlier epochs of that shard are
    refused; ``epochs`` holds the epoch of the last report. ``last_grants`` holds,
    by service and worker, the last grant by an owner.
    """

    member_id: str
    incarnation: int
    grants: dict[str, api.Grant] = Factory(dict)
    epochs: dict[str, int] = Factory(dict)
    last_grants: dict[tuple[str, str], dict[str, api.Grant]] = Factory(dict)

    def accept(self, service: tuple[str, str], result: api.ApiResult) -> api.ApiResult:
        """Record a grant for one of our requests; refuse a deposed owner's grant."""
        if not isinstance(result, api.Grant):
            return result
        if result.epoch < self.epochs.get(result.shard, 0):
            detail = "the owner that issued the grant was deposed"
            return api.Fault("not_run", Reason.NO_OWNER, detail, 50)
        self.grants[result.request_id] = result
        self.last_grants.setdefault(service, {})[result.worker_id] = result
        return result

    def finish(self, request_id: str) -> None:
        """Remove a grant whose slot was released."""
        self.grants.pop(request_id, None)

    def report(self, wanted: messages.GrantsWanted) -> messages.GrantsReported | None:
        """Return the grants of earlier epochs that are in use in a shard.

        Returns ``None`` if a deposed owner asks.
        """
        if wanted.epoch < self.epochs.get(wanted.shard, 0):
            return None
        self.epochs[wanted.shard] = wanted.epoch
        found = tuple(
            messages.OutstandingGrant(
                grant.request_id, grant.worker_id, grant.deadline_ms
            )
            for grant in self.grants.values()
            if grant.shard == wanted.shard and grant.epoch < wanted.epoch
        )
        return messages.GrantsReported(
            wanted.shard, wanted.epoch, self.incarnation, found
        )

    def admit_from_share(
        self, body: api.AdmitRequest, members: list[str], now_ms: int
    ) -> api.ApiResult:
        """Grant a slot from this daemon's fixed share, without the owner.

        Rendezvous hashing over the registered members assigns the shares, so
        that the shares of a worker add up to its slots. Only endpoints that an
        owner has granted before are used.
        """
        known = self.last_grants.get((body.team, body.service), {})
        for worker_id, last in known.items():
            used = sum(g.worker_id == worker_id for g in self.grants.values())
            share = self._share(worker_id, last.slots, members)
            if worker_id in body.avoid or used >= share:
                continue
            grant = api.Grant(
                body.request_id,
                last.shard,
                FALLBACK_EPOCH,
                worker_id,
                last.address,
                now_ms + GRANT_GRACE_MS,
                body.deadline_ms,
                slots=last.slots,
            )
            self.grants[body.request_id] = grant
            return grant
        return api.Fault(
            "not_run", Reason.NO_OWNER, "no slot of this daemon's share is free", 500
        )

    def _share(self, worker_id: str, slots: int, members: list[str]) -> int:
        winners = (
            max(members, key=lambda name, n=number: score(worker_id, str(n), name))
            for number in range(slots)
        )
        return sum(winner == self.member_id for winner in winners)

    def drop_expired(self, now_ms: int) -> None:
        """Remove grants whose deadline passed ``MAX_GRANT_MS`` ago or earlier."""
        expired = [
            name
            for name, grant in self.grants.items()
            if now_ms >= grant.deadline_ms + MAX_GRANT_MS
        ]
        for name in expired:
            del self.grants[name]
