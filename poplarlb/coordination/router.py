"""Chooses the shard whose owner is asked to admit a request."""

from collections.abc import Iterable

from poplarlb.protocol.messages import ShardSummary


def choose_shard(team: str, service: str, summaries: Iterable[ShardSummary]) -> str:
    """Return the shard with the most free slots for a service, or ''."""
    best = ""
    most = -1
    for summary in summaries:
        for endpoint in summary.endpoints:
            if (endpoint.team, endpoint.service) != (team, service):
                continue
            if endpoint.free_slots > most:
                best, most = summary.shard, endpoint.free_slots
    return best
