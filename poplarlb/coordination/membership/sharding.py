"""Maps workers, tasks and keys to shards, and orders members as owners."""

import functools
import hashlib
from collections.abc import Iterable

from attrs import frozen

from poplarlb.settings import ShardSettings
from poplarlb.state.models import TaskKey, Worker


@functools.lru_cache(maxsize=1 << 16)
def score(*parts: str) -> int:
    """Return a 64-bit rendezvous score for the joined parts."""
    digest = hashlib.blake2b("\x00".join(parts).encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def shard_zone(shard: str) -> str:
    """Return the availability zone of a shard's workers."""
    return shard.rpartition("/")[0]


@frozen
class ShardMap:
    """Maps names to shards, identically on every daemon with the same settings."""

    shards: tuple[str, ...]

    @classmethod
    def from_settings(cls, settings: ShardSettings) -> "ShardMap":
        """Return the map that the settings describe."""
        return cls(
            tuple(
                f"{zone}/{number}"
                for zone in settings.zones
                for number in range(settings.shards_per_zone)
            )
        )

    def of_worker(self, worker: Worker) -> str:
        """Return the worker's shard, or an empty string if its zone is unknown."""
        own = [shard for shard in self.shards if shard_zone(shard) == worker.zone]
        return max(own, key=lambda shard: score(shard, worker.worker_id), default="")

    def home_of_task(self, key: TaskKey) -> str:
        """Return the shard whose owner alone decides about a task."""
        return self._home("task", key.team, key.task_id)

    def home_of_key(self, team: str, service: str, key: str) -> str:
        """Return the shard that keeps an idempotency key's outcome."""
        return self._home("key", team, service, key)

    def home_of_team(self, team: str) -> str:
        """Return the shard that divides a team's quota."""
        return self._home("team", team)

    def _home(self, *parts: str) -> str:
        return max(self.shards, key=lambda shard: score(shard, *parts))


@frozen
class Member:
    """A daemon, as its record in the store describes it.

    ``incarnation`` is the start time of its process, in ms.
    """

    member_id: str
    zone: str
    peer_address: str
    api_address: str
    incarnation: int


def owner_order(shard: str, members: Iterable[Member]) -> list[Member]:
    """Return the members in the order of preference as owner of the shard.

    Members in another zone than the shard's workers come first, so that the loss
    of one zone does not affect a shard's owner and its workers together.
    """
    zone = shard_zone(shard)
    return sorted(
        members,
        key=lambda m: (m.zone == zone, -score(shard, m.member_id)),
    )


def choose_backup(shard: str, owner: Member, members: Iterable[Member]) -> str:
    """Return the id of the member that should be the shard's backup daemon.

    The backup daemon holds copies of the owner's marks: records that an
    idempotency key may have been dispatched. The first other member in the order
    of preference is chosen, in another zone than the owner's if possible; an
    empty string is returned if there is no other member.
    """
    others = [m for m in members if m.member_id != owner.member_id]
    order = owner_order(shard, others)
    elsewhere = (m for m in order if m.zone != owner.zone)
    chosen = next(elsewhere, order[0] if order else None)
    return chosen.member_id if chosen else ""
