"""Team quotas across shards: the authority grants shares, shards hold them.

The sum of the shares that shards hold never exceeds what the authority has
granted, and that never grows past the quota. A shard commits a lower share
before it tells the authority, which only then may grant the difference to
another shard. All messages may be lost, repeated and reordered.
"""

from attrs import Factory, define, frozen

from poplarlb.coordination.membership.sharding import ShardMap
from poplarlb.coordination.policy.amounts import scaled, smaller
from poplarlb.coordination.shards.effects import Effects, SendShard
from poplarlb.protocol.messages import QuotaShare, QuotaWanted, ShardBody, ShardMessage
from poplarlb.state import changes
from poplarlb.state.models import Resources
from poplarlb.state.quota import QuotaTable, Share
from poplarlb.state.templates import ConfigView

RESEND_MS = 500
RECALL_PERIOD_MS = 400
ASK_AGAIN_MS = 400
IDLE_BEFORE_RETURN_MS = 30_000
HEADROOM = 0.25


def quota_of(team: str, view: ConfigView) -> Resources:
    """Return a team's quota; nothing for a team without a template."""
    template = view.team(team)
    return template.quota if template else Resources()


@define
class QuotaAuthority:
    """Divides the quotas of the teams whose home is this shard."""

    shard: str
    epoch: int
    table: QuotaTable
    recalled_ms: dict[str, int] = Factory(dict)

    def handle(
        self, sender: str, wanted: QuotaWanted, view: ConfigView, now_ms: int
    ) -> Effects:
        """Settle a shard's wish; a repeated one gets the same answer.

        The changes returned are applied already.
        """
        effects = Effects()
        team = wanted.team
        granted = self.table.granted_to(team, sender)
        if wanted.serial > granted.serial:
            amount = self._settle(team, granted.amount, wanted.wanted, view)
            change = changes.QuotaGranted(team, sender, wanted.serial, amount)
            self.table.apply(change)
            effects.changes.append(change)
            effects.urgent = True
            if not wanted.wanted.fits_in(amount):
                self._recall(team, sender, now_ms, effects)
        elif wanted.serial < granted.serial:
            return effects
        share = self.table.granted_to(team, sender)
        self._send(sender, QuotaShare(team, share.serial, share.amount), effects)
        return effects

    def tick(self, view: ConfigView, now_ms: int) -> Effects:
        """Recall shares of teams whose quota was lowered."""
        effects = Effects()
        for team in self.table.granted:
            if not self.table.granted_total(team).fits_in(quota_of(team, view)):
                self._recall(team, "", now_ms, effects)
        return effects

    def _settle(
        self, team: str, granted: Resources, wanted: Resources, view: ConfigView
    ) -> Resources:
        """Return the new share: all that is wanted, or what is left."""
        left = quota_of(team, view).minus(self.table.granted_total(team))
        limit = granted.plus(left.larger(Resources()))
        return smaller(wanted, limit)

    def _recall(self, team: str, asking: str, now_ms: int, effects: Effects) -> None:
        """Ask every other shard for the part of its share that it doesn't use."""
        if now_ms < self.recalled_ms.get(team, 0) + RECALL_PERIOD_MS:
            return
        self.recalled_ms[team] = now_ms
        for shard, share in self.table.granted[team].items():
            if shard != asking and share.amount != Resources():
                self._send(shard, QuotaShare(team, share.serial, Resources()), effects)

    def _send(self, shard: str, body: ShardBody, effects: Effects) -> None:
        message = ShardMessage(self.shard, self.epoch, shard, body)
        effects.after_commit.append(SendShard(message))


@frozen
class Wish:
    """A wanted share that the authority has not answered."""

    serial: int
    wanted: Resources
    sent_ms: int


@define
class QuotaLedger:
    """Holds this shard's shares of the teams' quotas.

    The table is durable; the rest is rebuilt by asking again.
    """

    shard: str
    epoch: int
    table: QuotaTable
    shards: ShardMap
    needs: dict[str, Resources] = Factory(dict)
    wishes: dict[str, Wish] = Factory(dict)
    quotas: dict[str, Resources] = Factory(dict)
    idle_since_ms: dict[str, int] = Factory(dict)
    asked_ms: dict[str, int] = Factory(dict)

    def may_use(
        self, team: str, used: Resources, extra: Resources, view: ConfigView
    ) -> bool:
        """Tell whether a team that uses ``used`` here may use ``extra`` more.

        A shortage is remembered, and the next tick asks the authority for more.
        """
        total = used.plus(extra)
        quota = quota_of(team, view)
        if not total.fits_in(quota):
            return False
        known = self.quotas.setdefault(team, quota)
        if not known.fits_in(quota):
            return False
        if total.fits_in(self.table.held(team).amount):
            return True
        self.needs[team] = total.larger(self.needs.get(team, Resources()))
        return False

    def handle(
        self, answer: QuotaShare, used: Resources, view: ConfigView, now_ms: int
    ) -> Effects:
        """Take a share from the authority; the changes are applied already.

        An answer with the serial already held is a recall, or shows that the
        authority counts more than this shard holds; an older one shows that it
        may not have heard of a lower share. With nothing to return, the shard
        tells what it holds, so that the authority's count can be compared.
        """
        effects = Effects()
        team = answer.team
        held = self.table.held(team)
        if answer.serial > held.serial:
            # A recall may overtake the answer to a wish and bear its serial.
            amount = answer.share.larger(held.amount)
            self._hold(team, answer.serial, amount, effects)
            self.wishes.pop(team, None)
            self._withdraw_met_need(team)
        elif answer.serial == held.serial:
            self._compare(answer, held, used, now_ms, effects)
        elif team not in self.wishes:
            self._send(team, Wish(held.serial, held.amount, now_ms), effects)
        return effects

    def _compare(
        self,
        answer: QuotaShare,
        held: Share,
        used: Resources,
        now_ms: int,
        effects: Effects,
    ) -> None:
        team = answer.team
        wish = self.wishes.get(team)
        if answer.share == held.amount and wish and wish.serial == held.serial:
            del self.wishes[team]
            return
        counts_more = not answer.share.fits_in(held.amount)
        has_unused = not held.amount.fits_in(answer.share.larger(used))
        if counts_more or has_unused:
            self._lower(team, answer.share, used, now_ms, effects)
        elif wish is None:
            self._send(team, Wish(held.serial, held.amount, now_ms), effects)

    def tick(
        self, used_by_team: dict[str, Resources], view: ConfigView, now_ms: int
    ) -> Effects:
        """Ask for what is needed, return what is idle, and send again."""
        effects = Effects()
        for team in sorted({*self.needs, *self.table.received, *self.quotas}):
            used = used_by_team.get(team, Resources())
            self._follow_quota(team, used, view, now_ms, effects)
            self._follow_idle(team, used, now_ms, effects)
            self._ask(team, view, now_ms, effects)
        return effects

    def _follow_quota(
        self,
        team: str,
        used: Resources,
        view: ConfigView,
        now_ms: int,
        effects: Effects,
    ) -> None:
        """Shrink the share at once in proportion when the quota is lowered."""
        quota = quota_of(team, view)
        known = self.quotas.get(team, quota)
        if not known.fits_in(quota):
            held = self.table.held(team).amount
            target = Resources(
                held.cpu_millis * quota.cpu_millis // max(1, known.cpu_millis),
                held.memory_mb * quota.memory_mb // max(1, known.memory_mb),
                held.accelerators * quota.accelerators // max(1, known.accelerators),
            )
            self._lower(team, smaller(held, target), used, now_ms, effects)
        self.quotas[team] = quota

    def _follow_idle(
        self, team: str, used: Resources, now_ms: int, effects: Effects
    ) -> None:
        held = self.table.held(team).amount
        enough = scaled(used, 1 + HEADROOM)
        if team in self.needs or scaled(held, 0.5).fits_in(enough):
            self.idle_since_ms.pop(team, None)
            return
        since_ms = self.idle_since_ms.setdefault(team, now_ms)
        if now_ms - since_ms >= IDLE_BEFORE_RETURN_MS:
            self.idle_since_ms.pop(team, None)
            self._lower(team, enough, used, now_ms, effects)

    def _lower(
        self,
        team: str,
        target: Resources,
        used: Resources,
        now_ms: int,
        effects: Effects,
    ) -> None:
        """Commit a lower share, never below what is used, and tell it after."""
        held = self.table.held(team)
        amount = smaller(held.amount, target.larger(used))
        serial = held.serial + 1
        self._hold(team, serial, amount, effects)
        self._send(team, Wish(serial, amount, now_ms), effects)

    def _ask(self, team: str, view: ConfigView, now_ms: int, effects: Effects) -> None:
        wish = self.wishes.get(team)
        if wish is not None:
            if now_ms - wish.sent_ms >= RESEND_MS:
                again = Wish(wish.serial, wish.wanted, now_ms)
                self._send(team, again, effects)
            return
        if now_ms < self.asked_ms.get(team, 0) + ASK_AGAIN_MS:
            return
        need = self.needs.pop(team, None)
        held = self.table.held(team)
        if need is None or need.fits_in(held.amount):
            return
        self.asked_ms[team] = now_ms
        quota = quota_of(team, view)
        wanted = smaller(scaled(need, 1 + HEADROOM), quota).larger(held.amount)
        self._send(team, Wish(held.serial + 1, wanted, now_ms), effects)

    def _withdraw_met_need(self, team: str) -> None:
        need = self.needs.get(team)
        if need is not None and need.fits_in(self.table.held(team).amount):
            del self.needs[team]

    def _hold(
        self, team: str, serial: int, amount: Resources, effects: Effects
    ) -> None:
        change = changes.QuotaReceived(team, serial, amount)
        self.table.apply(change)
        effects.changes.append(change)

    def _send(self, team: str, wish: Wish, effects: Effects) -> None:
        self.wishes[team] = wish
        body = QuotaWanted(team, wish.serial, wish.wanted)
        home = self.shards.home_of_team(team)
        message = ShardMessage(self.shard, self.epoch, home, body)
        effects.after_commit.append(SendShard(message))
