"""Team quotas: the shares granted at the authority and held at a shard."""

from attrs import Factory, define, frozen

from poplarlb.state import changes
from poplarlb.state.models import Resources


@frozen
class Share:
    """A share of a team's quota; the serial grows with every change."""

    serial: int = 0
    amount: Resources = Resources()


@define
class QuotaTable:
    """What this shard granted as an authority, and what it holds itself."""

    granted: dict[str, dict[str, Share]] = Factory(dict)
    received: dict[str, Share] = Factory(dict)

    def apply(self, change: changes.QuotaGranted | changes.QuotaReceived) -> None:
        """Alter the table as the change says."""
        share = Share(change.serial, change.share)
        match change:
            case changes.QuotaGranted(team=team, shard=shard):
                self.granted.setdefault(team, {})[shard] = share
            case changes.QuotaReceived(team=team):
                self.received[team] = share

    def granted_to(self, team: str, shard: str) -> Share:
        """Return the share that the authority last committed for a shard."""
        return self.granted.get(team, {}).get(shard, Share())

    def held(self, team: str) -> Share:
        """Return the share that this shard holds."""
        return self.received.get(team, Share())

    def granted_total(self, team: str) -> Resources:
        """Return the sum of a team's granted shares."""
        total = Resources()
        for share in self.granted.get(team, {}).values():
            total = total.plus(share.amount)
        return total
