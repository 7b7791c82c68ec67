"""Team quotas across shards: an authority grants shares of each quota to the shards.

A team's authority is its home shard; each shard has a ledger of the shares it holds.
The sum of the shares that shards hold never exceeds the sum of the authority's
grants, which a new grant never raises above the quota. A shard commits a lower
share before it reports it to the authority, which only then may grant the
difference to another shard. Messages may be lost, repeated and reordered.
"""

from attrs import Factory, define, frozen

from poplarlb.coordination.membership.sharding import ShardMap
from poplarlb.coordination.policy.amounts import elementwise_min, scaled
from poplarlb.coordination.shards.effects import Effects, SendShard
from poplarlb.protocol.messages import QuotaShare, QuotaWanted, ShardBody, ShardMessage
from poplarlb.state import changes
from poplarlb.state.models import Resources
from poplarlb.state.quota import QuotaTable, Share
from poplarlb.state.templates import ConfigView

RESEND_MS = 500  # a request unanswered for this long is sent again
RECALL_PERIOD_MS = 400  # between recalls of the shares of one team's quota
REQUEST_PERIOD_MS = 400  # between requests of one shard for one team
IDLE_RETURN_MS = 30_000  # a share mostly unused for this long is lowered
HEADROOM = 0.25  # requested, or kept of an idle share, as a share of the use


def quota_of(team: str, view: ConfigView) -> Resources:
    """Return a team's quota; nothing for a team without a template."""
    template = view.team(team)
    return template.quota if template else Resources()


@define
class QuotaAuthority:
    """Divides the quotas of the teams whose home is this shard.

    :ivar recalled_ms: when each team's shares were last recalled.
    """

    shard: str
    epoch: int
    table: QuotaTable
    recalled_ms: dict[str, int] = Factory(dict)

    def handle(
        self, sender: str, wanted: QuotaWanted, view: ConfigView, now_ms: int
    ) -> Effects:
        """Answer a shard's request; a repeated one gets the share granted before.

        The returned changes are already applied.
        """
        effects = Effects()
        team = wanted.team
        granted = self.table.granted_to(team, sender)
        if wanted.serial > granted.serial:
            amount = self._decide_share(team, granted.amount, wanted.wanted, view)
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
        """Recall shares of teams whose quota is below the sum of their grants."""
        effects = Effects()
        for team in self.table.granted:
            if not self.table.granted_total(team).fits_in(quota_of(team, view)):
                self._recall(team, "", now_ms, effects)
        return effects

    def _decide_share(
        self, team: str, granted: Resources, wanted: Resources, view: ConfigView
    ) -> Resources:
        """Return the new share: all that is wanted, or as much as the quota allows."""
        left = quota_of(team, view).minus(self.table.granted_total(team))
        limit = granted.plus(left.elementwise_max(Resources()))
        return elementwise_min(wanted, limit)

    def _recall(self, team: str, asking: str, now_ms: int, effects: Effects) -> None:
        """Ask every other shard with a share to return the unused part of it."""
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
class ShareRequest:
    """A message to the authority that it has not answered yet.

    It requests a larger share, or reports a lowered or unchanged one.
    """

    serial: int
    wanted: Resources
    sent_ms: int


@define
class QuotaLedger:
    """Holds this shard's shares of the teams' quotas.

    The table is journaled; the other state is lost with the owner, and requests
    are then sent again.

    :ivar needs: what each team needs here in all, if that exceeds its share.
    :ivar share_requests: the message of each team that awaits an answer.
    :ivar quotas: the quota to which each team's share was last adjusted.
    :ivar idle_since_ms: since when most of a team's share is unused.
    :ivar requested_ms: when a larger share was last requested for a team.
    """

    shard: str
    epoch: int
    table: QuotaTable
    shards: ShardMap
    needs: dict[str, Resources] = Factory(dict)
    share_requests: dict[str, ShareRequest] = Factory(dict)
    quotas: dict[str, Resources] = Factory(dict)
    idle_since_ms: dict[str, int] = Factory(dict)
    requested_ms: dict[str, int] = Factory(dict)

    def may_use(
        self, team: str, used: Resources, extra: Resources, view: ConfigView
    ) -> bool:
        """Return whether a team that uses ``used`` here may use ``extra`` more.

        If only the share is too small, the need is recorded, and the next tick requests
        a larger share.
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
        self.needs[team] = total.elementwise_max(self.needs.get(team, Resources()))
        return False

    def handle(
        self, answer: QuotaShare, used: Resources, view: ConfigView, now_ms: int
    ) -> Effects:
        """Apply an answer of the authority; the returned changes are already applied.

        An answer with the serial already held is a recall, or shows that the
        authority's grant is above the share held here; an older serial shows that
        the authority may not have received a lower share. If there is nothing to
        return, the shard reports its share, for comparison with the grant.
        """
        effects = Effects()
        team = answer.team
        held = self.table.held(team)
        if answer.serial > held.serial:
            # A recall may overtake the answer to a request and has the same serial.
            amount = answer.share.elementwise_max(held.amount)
            self._set_share(team, answer.serial, amount, effects)
            self.share_requests.pop(team, None)
            self._drop_met_need(team)
        elif answer.serial == held.serial:
            self._reconcile(answer, held, used, now_ms, effects)
        elif team not in self.share_requests:
            self._send(team, ShareRequest(held.serial, held.amount, now_ms), effects)
        return effects

    def _reconcile(
        self,
        answer: QuotaShare,
        held: Share,
        used: Resources,
        now_ms: int,
        effects: Effects,
    ) -> None:
        team = answer.team
        share_request = self.share_requests.get(team)
        if (
            answer.share == held.amount
            and share_request
            and share_request.serial == held.serial
        ):
            del self.share_requests[team]
            return
        authority_counts_more = not answer.share.fits_in(held.amount)
        has_unused = not held.amount.fits_in(answer.share.elementwise_max(used))
        if authority_counts_more or has_unused:
            self._lower_share(team, answer.share, used, now_ms, effects)
        elif share_request is None:
            self._send(team, ShareRequest(held.serial, held.amount, now_ms), effects)

    def tick(
        self, used_by_team: dict[str, Resources], view: ConfigView, now_ms: int
    ) -> Effects:
        """Request missing shares, return idle ones, and resend requests."""
        effects = Effects()
        for team in sorted({*self.needs, *self.table.received, *self.quotas}):
            used = used_by_team.get(team, Resources())
            self._apply_lower_quota(team, used, view, now_ms, effects)
            self._return_idle_share(team, used, now_ms, effects)
            self._request_missing(team, view, now_ms, effects)
        return effects

    def _apply_lower_quota(
        self,
        team: str,
        used: Resources,
        view: ConfigView,
        now_ms: int,
        effects: Effects,
    ) -> None:
        """Lower the share in proportion to the quota if that was lowered."""
        quota = quota_of(team, view)
        known = self.quotas.get(team, quota)
        if not known.fits_in(quota):
            held = self.table.held(team).amount
            target = Resources(
                held.cpu_millis * quota.cpu_millis // max(1, known.cpu_millis),
                held.memory_mb * quota.memory_mb // max(1, known.memory_mb),
                held.accelerators * quota.accelerators // max(1, known.accelerators),
            )
            self._lower_share(
                team, elementwise_min(held, target), used, now_ms, effects
            )
        self.quotas[team] = quota

    def _return_idle_share(
        self, team: str, used: Resources, now_ms: int, effects: Effects
    ) -> None:
        held = self.table.held(team).amount
        enough = scaled(used, 1 + HEADROOM)
        if team in self.needs or scaled(held, 0.5).fits_in(enough):
            self.idle_since_ms.pop(team, None)
            return
        since_ms = self.idle_since_ms.setdefault(team, now_ms)
        if now_ms - since_ms >= IDLE_RETURN_MS:
            self.idle_since_ms.pop(team, None)
            self._lower_share(team, enough, used, now_ms, effects)

    def _lower_share(
        self,
        team: str,
        target: Resources,
        used: Resources,
        now_ms: int,
        effects: Effects,
    ) -> None:
        """Lower the share, not below the use; it is reported after the commit."""
        held = self.table.held(team)
        amount = elementwise_min(held.amount, target.elementwise_max(used))
        serial = held.serial + 1
        self._set_share(team, serial, amount, effects)
        self._send(team, ShareRequest(serial, amount, now_ms), effects)

    def _request_missing(
        self, team: str, view: ConfigView, now_ms: int, effects: Effects
    ) -> None:
        share_request = self.share_requests.get(team)
        if share_request is not None:
            if now_ms - share_request.sent_ms >= RESEND_MS:
                again = ShareRequest(share_request.serial, share_request.wanted, now_ms)
                self._send(team, again, effects)
            return
        if now_ms < self.requested_ms.get(team, 0) + REQUEST_PERIOD_MS:
            return
        need = self.needs.pop(team, None)
        held = self.table.held(team)
        if need is None or need.fits_in(held.amount):
            return
        self.requested_ms[team] = now_ms
        quota = quota_of(team, view)
        wanted = elementwise_min(scaled(need, 1 + HEADROOM), quota).elementwise_max(
            held.amount
        )
        self._send(team, ShareRequest(held.serial + 1, wanted, now_ms), effects)

    def _drop_met_need(self, team: str) -> None:
        need = self.needs.get(team)
        if need is not None and need.fits_in(self.table.held(team).amount):
            del self.needs[team]

    def _set_share(
        self, team: str, serial: int, amount: Resources, effects: Effects
    ) -> None:
        change = changes.QuotaReceived(team, serial, amount)
        self.table.apply(change)
        effects.changes.append(change)

    def _send(self, team: str, share_request: ShareRequest, effects: Effects) -> None:
        self.share_requests[team] = share_request
        body = QuotaWanted(team, share_request.serial, share_request.wanted)
        home = self.shards.home_of_team(team)
        message = ShardMessage(self.shard, self.epoch, home, body)
        effects.after_commit.append(SendShard(message))
