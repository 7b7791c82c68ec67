"""Team quotas: the shares that a team's quota authority grants and shards hold.

The authority is the shard that divides the team's quota among the shards.
"""

from attrs import Factory, define, frozen

from poplarlb.state import changes
from poplarlb.state.models import Resources


@frozen
class Share:
    """A share of a team's quota; ``serial`` grows with every change of the share."""

    serial: int = 0
    amount: Resources = Resources()


@define
class QuotaTable:
    """The shares of a shard.

    ``granted`` holds, by team and shard, the shares that this shard granted as the
    team's quota authority; ``received`` holds, by team, this shard's own shares.
    """

    granted: dict[str, dict[str, Share]] = Factory(dict)
    received: dict[str, Share] = Factory(dict)

    def apply(self, change: changes.QuotaGranted | changes.QuotaReceived) -> None:
        """Apply a change to the table."""
        share = Share(change.serial, change.share)
        match change:
            case changes.QuotaGranted(team=team, shard=shard):
                self.granted.setdefault(team, {})[shard] = share
            case changes.QuotaReceived(team=team):
                self.received[team] = share

    def granted_to(self, team: str, shard: str) -> Share:
        """Return the share of a team's quota last granted to a shard."""
        return self.granted.get(team, {}).get(shard, Share())

    def held(self, team: str) -> Share:
        """Return the share of a team's quota that this shard holds."""
        return self.received.get(team, Share())

    def granted_total(self, team: str) -> Resources:
        """Return the sum of a team's granted shares."""
        total = Resources()
        for share in self.granted.get(team, {}).values():
            total = total.plus(share.amount)
        return total
