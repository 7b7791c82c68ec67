"""The slots that a gateway uses, as it reports them to a new owner."""

from attrs import Factory, define

from poplarlb.coordination.membership.sharding import score
from poplarlb.protocol import api, messages
from poplarlb.state.models import Reason

LONGEST_GRANT_MS = 30_000
GRANT_MARGIN_MS = 1_000
FALLBACK_EPOCH = 0


@define
class GrantRegistry:
    """Grants that this daemon's own requests use.

    Once it has reported to the owner of an epoch it takes no older owner's
    grants for that shard.
    """

    member_id: str
    incarnation: int
    grants: dict[str, api.Grant] = Factory(dict)
    epochs: dict[str, int] = Factory(dict)
    last_grants: dict[tuple[str, str], dict[str, api.Grant]] = Factory(dict)

    def accept(self, service: tuple[str, str], result: api.ApiResult) -> api.ApiResult:
        """Note a grant that came for one of our requests, or refuse an old one."""
        if not isinstance(result, api.Grant):
            return result
        if result.epoch < self.epochs.get(result.shard, 0):
            detail = "the grant's owner was deposed"
            return api.Fault("not_run", Reason.NO_OWNER, detail, 50)
        self.grants[result.request_id] = result
        self.last_grants.setdefault(service, {})[result.worker_id] = result
        return result

    def finish(self, request_id: str) -> None:
        """Forget a grant that was given back."""
        self.grants.pop(request_id, None)

    def report(self, wanted: messages.GrantsWanted) -> messages.GrantsReported | None:
        """Return every slot in use in a shard; ``None`` to a deposed owner."""
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

        The share is by rendezvous over the registered members, so that all
        shares of a worker together are its slots. Endpoints are those that
        owners granted before.
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
                now_ms + GRANT_MARGIN_MS,
                body.deadline_ms,
                slots=last.slots,
            )
            self.grants[body.request_id] = grant
            return grant
        return api.Fault("not_run", Reason.NO_OWNER, "no share of slots is free", 500)

    def _share(self, worker_id: str, slots: int, members: list[str]) -> int:
        winners = (
            max(members, key=lambda name, n=number: score(worker_id, str(n), name))
            for number in range(slots)
        )
        return sum(winner == self.member_id for winner in winners)

    def drop_expired(self, now_ms: int) -> None:
        """Forget grants long past their deadline."""
        expired = [
            name
            for name, grant in self.grants.items()
            if now_ms >= grant.deadline_ms + LONGEST_GRANT_MS
        ]
        for name in expired:
            del self.grants[name]
