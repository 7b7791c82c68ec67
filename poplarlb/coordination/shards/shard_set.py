"""The shards that this daemon owns, isolated from each other's exceptions."""

import collections
import itertools
import traceback
from collections.abc import Iterable

from attrs import Factory, define, frozen

from poplarlb.coordination.journal.journal import Journal
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.membership import Membership
from poplarlb.coordination.membership.ownership import OwnerRecord, Ownership
from poplarlb.coordination.membership.sharding import Member, ShardMap
from poplarlb.coordination.requests.admission import Admission
from poplarlb.coordination.shards.shard_host import ShardHost
from poplarlb.protocol import messages, ports

SUMMARY_PERIOD_MS = 250
FAULTS_KEPT = 100


@frozen
class ShardFault:
    """An exception raised by a shard's state machine, with its traceback."""

    shard: str
    detail: str


@define
class ShardSet:
    """Opens, drives and closes the shards that this daemon owns.

    A shard whose state machine raises is marked broken and is later recovered from its
    journal under a new epoch; the commands and events of the other shards are not
    lost. ``faults`` holds the latest exceptions until the caller removes them.
    ``own_summaries`` are of this daemon's shards, made at ``summarized_ms``.
    """

    context: NodeContext
    own: Member
    shard_map: ShardMap
    membership: Membership
    ownership: Ownership
    shard_hosts: dict[str, ShardHost] = Factory(dict)
    faults: collections.deque[ShardFault] = Factory(
        lambda: collections.deque(maxlen=FAULTS_KEPT)
    )
    summarized_ms: int = 0
    own_summaries: tuple[messages.ShardSummary, ...] = ()

    def open(self, record: OwnerRecord, admission: Admission) -> None:
        """Begin to recover a newly acquired shard."""
        writer = f"{self.own.member_id}/{self.own.incarnation}"
        journal = Journal(self.context, record.shard, writer, record.epoch)
        self.shard_hosts[record.shard] = ShardHost(
            self.context,
            self.shard_map,
            record.shard,
            record.epoch,
            journal,
            admission,
            self.summaries,
            self.ownership.ownership_confirmed_ms(record.shard),
        )

    def close(self, shard: str) -> list:
        """Drop a shard; return the answers to callers that wait for its commits."""
        host = self.shard_hosts.pop(shard, None)
        return host.step_down() if host is not None else []

    def handle(self, shard: str, event: ports.Event, now_ms: int) -> list:
        """Pass an event to one shard; an exception marks the shard broken."""
        host = self.shard_hosts[shard]
        try:
            return host.handle(event, now_ms)
        except Exception as error:
            host.broken = host.broken or f"{type(error).__name__}: {error}"
            self.faults.append(ShardFault(shard, traceback.format_exc()))
            return []

    def handle_all(self, event: ports.Event, now_ms: int) -> list:
        """Pass an event to every shard."""
        outputs = []
        for shard, host in self.shard_hosts.items():
            host.ownership_confirmed_ms = self.ownership.ownership_confirmed_ms(shard)
            outputs.extend(self.handle(shard, event, now_ms))
        return outputs

    def summarize(self, now_ms: int) -> tuple[messages.ShardSummary, ...]:
        """Return the summaries of this daemon's shards.

        They are renewed every ``SUMMARY_PERIOD_MS``.
        """
        if now_ms - self.summarized_ms >= SUMMARY_PERIOD_MS:
            self.summarized_ms = now_ms
            found = (host.summary() for host in self.shard_hosts.values())
            self.own_summaries = tuple(item for item in found if item is not None)
        return self.own_summaries

    def summaries(self) -> list[messages.ShardSummary]:
        """Return the newest summary of each shard, also of those owned here."""
        heard: Iterable[tuple[messages.ShardSummary, ...]] = (
            peer.heartbeat.summaries
            for peer in self.membership.peers.values()
            if peer.heartbeat is not None
        )
        return [*self.own_summaries, *itertools.chain.from_iterable(heard)]
