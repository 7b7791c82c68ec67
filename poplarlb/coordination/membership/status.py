"""Status of a daemon, its shards and the other members, for operators."""

import collections

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.membership import Membership
from poplarlb.coordination.membership.ownership import Ownership
from poplarlb.coordination.membership.sharding import Member, ShardMap
from poplarlb.coordination.shards.shard_host import ShardHost
from poplarlb.protocol import api
from poplarlb.state.models import TaskPhase, WorkClass, ZoneState

# Tasks shown for each shard, with the reason why they wait.
WAITING_SHOWN = 20
# Without an answer for longer, the store is reported as unavailable.
STORE_CONTACT_LIMIT_MS = 5_000


def member_statuses(
    membership: Membership, now_ms: int
) -> tuple[api.MemberStatus, ...]:
    """Return every other member as this daemon sees it."""
    return tuple(
        api.MemberStatus(
            name,
            peer.member.zone,
            peer.member.api_address,
            membership.is_responsive(name, now_ms),
            peer.heartbeat.view_version if peer.heartbeat else 0,
            now_ms - peer.last_heard_ms,
        )
        for name, peer in sorted(membership.peers.items())
    )


def shard_status(
    shard: str, ownership: Ownership, host: ShardHost | None, now_ms: int
) -> api.ShardStatus:
    """Return a shard's status; details only if this daemon owns it."""
    record = ownership.owner_of(shard)
    owner = record.owner if record else ""
    epoch = record.epoch if record else 0
    if host is None:
        return api.ShardStatus(shard, owner, epoch, "elsewhere")
    if not host.open:
        return api.ShardStatus(shard, owner, epoch, "recovering")
    machine = host.machine
    core = machine.core
    running = sum(
        reservation.attempt.running for reservation in core.state.reservations.values()
    )
    queued: collections.Counter[WorkClass] = collections.Counter(
        record.spec.work_class
        for record in core.state.tasks.values()
        if record.phase is TaskPhase.QUEUED
    )
    return api.ShardStatus(
        shard,
        owner,
        epoch,
        "open",
        len(core.workers()),
        running,
        tuple(sorted((kind.value, count) for kind, count in queued.items())),
        core.policy.quarantined(now_ms),
        machine.waiting()[:WAITING_SHOWN],
    )


def node_status(
    own: Member,
    context: NodeContext,
    shards: ShardMap,
    membership: Membership,
    ownership: Ownership,
    shard_hosts: dict[str, ShardHost],
    now_ms: int,
) -> api.Status:
    """Return the status of this daemon, its peers, the shards and the zones."""
    states = {entry.zone: entry.state for entry in context.view.zones}
    zones = context.settings.shards.zones
    contact_age_ms = now_ms - membership.store_contact_ms
    return api.Status(
        own.member_id,
        context.view.version,
        now_ms - context.view_confirmed_ms,
        member_statuses(membership, now_ms),
        tuple(
            shard_status(shard, ownership, shard_hosts.get(shard), now_ms)
            for shard in shards.shards
        ),
        tuple((zone, states.get(zone, ZoneState.IN).value) for zone in zones),
        contact_age_ms < STORE_CONTACT_LIMIT_MS,
    )
