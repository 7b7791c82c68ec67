"""A fixed division of team quotas over shards."""

from poplarlb.coordination.core import ShardCore
from poplarlb.coordination.sharding import shard_zone
from poplarlb.state.models import Resources


def quota_allows(core: ShardCore, team: str, extra: Resources) -> bool:
    """Tell whether the shard may reserve ``extra`` more for a team.

    A team without a template has no quota to pass.
    """
    share = _share(core, team)
    if share is None:
        return True
    used = core.state.used_by_team.get(team, Resources())
    return used.plus(extra).fits_in(share)


def _share(core: ShardCore, team: str) -> Resources | None:
    template = core.context.view.team(team)
    if template is None:
        return None
    shards = [
        shard
        for shard in core.shards.shards
        if not template.zones or shard_zone(shard) in template.zones
    ]
    if core.shard not in shards:
        return Resources()
    home = core.shards.home_of_team(team)
    if home not in shards:
        home = shards[0]
    return _divide(template.quota, len(shards), core.shard == home)


def _divide(quota: Resources, count: int, with_rest: bool) -> Resources:
    amounts = (quota.cpu_millis, quota.memory_mb, quota.accelerators)
    return Resources(
        *(amount // count + (amount % count) * with_rest for amount in amounts)
    )
