"""Chooses the shard whose owner is asked to admit a request."""

from collections.abc import Collection, Iterable

from attrs import frozen

from poplarlb.coordination.membership.sharding import score
from poplarlb.protocol import api
from poplarlb.protocol.messages import EndpointSummary, ShardSummary

SAMPLED_SHARDS = 2
# The own zone is preferred among loads that exceed the lowest by no more than this.
TIE_MARGIN = 0.25


@frozen
class ShardChoice:
    """A shard with endpoints of the service, according to its last summary."""

    shard: str
    zone: str
    summary: EndpointSummary

    @property
    def load(self) -> float:
        """Queued requests less free slots, per endpoint; negative if slots are free."""
        busy = self.summary.queued - self.summary.free_slots
        return busy / self.summary.endpoints


def choose_shard(
    body: api.AdmitRequest,
    summaries: Iterable[ShardSummary],
    own_zone: str = "",
    tried: Collection[str] = (),
) -> str:
    """Return the shard to ask, or '' if none has endpoints of the service.

    The candidates, all not yet tried, are two shards sampled by a hash of the
    request's id and the shards of the daemon's own zone; the least loaded one is
    chosen, the own zone preferred at similar loads. Sampling keeps the daemons,
    whose summaries are equally old, from all choosing the same shard.
    """
    choices = [
        ShardChoice(summary.shard, summary.zone, endpoint)
        for summary in summaries
        if summary.shard not in tried
        for endpoint in summary.endpoints
        if (endpoint.team, endpoint.service) == (body.team, body.service)
        and endpoint.endpoints > 0
    ]
    choices.sort(key=lambda item: score(body.request_id, item.shard))
    drawn = [
        item
        for number, item in enumerate(choices)
        if number < SAMPLED_SHARDS or item.zone == own_zone
    ]
    if not drawn:
        return ""
    least = min(item.load for item in drawn)
    near = [item for item in drawn if item.load - least <= TIE_MARGIN]
    return min(near, key=lambda item: (item.zone != own_zone, item.load)).shard
