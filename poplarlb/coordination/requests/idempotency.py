"""The owner's table of idempotency keys: at most one dispatch of each key.

A mark is a record that a key may have been dispatched. Before a key is claimed, the
backup daemon of the shard must hold the mark, unless the service keeps its keys in
the owner's memory only.
"""

from attrs import Factory, define, evolve

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.requests.key_backup import BackupDaemon
from poplarlb.coordination.requests.key_takeover import (
    RESEND_MS,
    KeyPeers,
    MarkCollector,
    PreviousOwner,
    Uncertainty,
)
from poplarlb.coordination.requests.marks import (
    KeyLedger,
    MarkedKey,
    MarkStore,
    name_key,
)
from poplarlb.protocol import api, messages, ports
from poplarlb.state.models import Reason

# How long the keys of a service without a template are kept after their deadline.
DEFAULT_WINDOW_MS = 600_000
KEYS_LIMIT = 50_000
LEDGER_LIMIT_BYTES = 32 << 20
# A claim is refused if the backup daemon does not acknowledge its mark in this time.
MARK_TIMEOUT_MS = 1_500
# A claimed key counts as running for the default timeout and this margin.
ANSWER_MARGIN_MS = 2_000
RETRY_AFTER_MS = 500
SWEEP_PERIOD_MS = 5_000
DURABILITY_MEMORY = "memory"


@define
class PendingClaim:
    """A claim of a key that waits for the backup daemon to hold its mark.

    ``first_sending`` is set if the caller states that the key was never sent before.
    The claim is refused at ``expires_ms``; ``sent_ms`` is when its mark was last sent.
    """

    mark: messages.MarkKey
    call_id: int
    first_sending: bool
    expires_ms: int
    sent_ms: int = 0


@define
class KeyTable:
    """Claims keys for gateways under one epoch of a shard.

    ``ledger`` holds the claimed keys, ``pending`` the claims that wait for the
    backup daemon. A claimed key without an outcome counts as running until its time
    in ``running_until_ms``, and as having an unknown outcome afterwards. The
    claimed keys, ``pending`` and ``running_until_ms`` are keyed by the key's name.
    ``ledger_bytes`` is the approximate size of the ledger.

    :param previous: the owner of the epoch before; ``None`` in the first epoch.
    :param marks: the marks that this daemon holds itself, perhaps as the backup
        daemon of the previous owner.
    """

    context: NodeContext
    shard: str
    epoch: int
    acquired_ms: int
    peers: KeyPeers
    marks: MarkStore
    previous: PreviousOwner | None = None
    ledger: KeyLedger = None
    pending: dict[str, PendingClaim] = Factory(dict)
    running_until_ms: dict[str, int] = Factory(dict)
    collector: MarkCollector = None
    backup: BackupDaemon = None
    ledger_bytes: int = 0
    next_sweep_ms: int = 0
    deposed: bool = False

    def __attrs_post_init__(self) -> None:
        """Start with the marks that this daemon holds itself."""
        settings = self.context.settings
        self.ledger = KeyLedger(self.shard)
        self.marks.fence(self.shard, self.epoch)
        self.backup = BackupDaemon(
            self.shard, self.epoch, self.peers, self.context.next_call
        )
        self.collector = MarkCollector(
            self.shard, self.epoch, self.peers, self._max_window_ms(), self.previous
        )
        horizon_ms = settings.members.orphan_horizon_ms + settings.tasks.clock_margin_ms
        self._merge(self.collector.begin(self.marks, horizon_ms, self.acquired_ms))

    # --- events -------------------------------------------------------------------

    def handle(self, event: ports.Event, now_ms: int) -> list[ports.Command]:
        """Handle claims and outcomes of keys; keep the backup daemon up to date."""
        match event:
            case ports.ApiRequested(call_id=call_id, body=api.BeginKey() as body):
                return self._begin(call_id, body, now_ms)
            case ports.ApiRequested(call_id=call_id, body=api.FinishKey() as body):
                return [*self._finish(body), ports.ApiAnswer(call_id, api.Done())]
            case ports.PeerReceived(sender=sender, message=messages.KeyMarked() as m):
                return self._handle_marked(sender, m, now_ms)
            case ports.PeerReceived(
                sender=sender, message=messages.MarksCollected() as m
            ):
                return self._handle_collected(sender, m, now_ms)
            case ports.PeerReceived(
                sender=sender, message=messages.SecondAdopted() as m
            ):
                return self._handle_adopted(sender, m, now_ms)
            case ports.Tick():
                return self._tick(now_ms)
        return []

    def knows_all_keys(self, now_ms: int) -> bool:
        """Return whether each marked key of earlier owners is known or has expired."""
        return now_ms >= self.collector.marked.until_ms

    def depose(self, now_ms: int) -> list[ports.Command]:
        """Refuse all claims from now on, and keep the ledger for the new owner."""
        if self.deposed:
            return []
        self.deposed = True
        fault = "the shard has a new owner"
        answers = [
            ports.ApiAnswer(claim.call_id, _refuse(claim, Reason.NO_OWNER, fault))
            for claim in self.pending.values()
        ]
        self.pending.clear()
        if now_ms >= self.collector.marked.fenced_ms:
            self.ledger.complete_epoch = self.epoch
            self.ledger.uncertain_until_ms = self.collector.marked.until_ms
            self.ledger.from_owner = now_ms >= self.collector.unmarked.until_ms
        self.marks.retain(self.ledger)
        return answers

    def _tick(self, now_ms: int) -> list[ports.Command]:
        if now_ms >= self.next_sweep_ms:
            self.next_sweep_ms = now_ms + SWEEP_PERIOD_MS
            self._sweep(now_ms)
        return [
            *([] if self.deposed else self.collector.ask(now_ms)),
            *self._send_ledger_to_backup(now_ms),
            *self._resend_marks(now_ms),
        ]

    def _sweep(self, now_ms: int) -> None:
        self.ledger.drop_expired(now_ms)
        live = self.ledger.keys.keys()
        for name in [n for n in self.running_until_ms if n not in live]:
            del self.running_until_ms[name]
        self.ledger_bytes = sum(item.size_bytes for item in self.ledger.keys.values())

    # --- claims -------------------------------------------------------------------

    def _begin(
        self, call_id: int, body: api.BeginKey, now_ms: int
    ) -> list[ports.Command]:
        name = name_key(body.team, body.service, body.key)
        fault = self._find_fault(name, body, now_ms)
        if fault is not None:
            return [ports.ApiAnswer(call_id, fault)]
        mark = self._make_mark(body, now_ms)
        if self._is_memory_only(body):
            return self._claim(mark, call_id, now_ms)
        expires_ms = now_ms + MARK_TIMEOUT_MS
        claim = PendingClaim(mark, call_id, body.first_sending, expires_ms)
        self.pending[name] = claim
        return [*self._send_ledger_to_backup(now_ms), *self._resend_marks(now_ms)]

    def _find_fault(
        self, name: str, body: api.BeginKey, now_ms: int
    ) -> api.ApiResult | None:
        """Return the answer to a key that must not be claimed now, or ``None``.

        It is a fault, or the recorded response to the first request with the key.
        """
        if self.deposed:
            return _unknown("the shard has a new owner", RETRY_AFTER_MS)
        if name in self.pending:
            held = MarkedKey(self.pending[name].mark)
            return self._answer_repeat(held, body, now_ms)
        if name in self.ledger.keys:
            return self._answer_repeat(self.ledger.keys[name], body, now_ms)
        uncertainty = self._uncertainty_of(body)
        if now_ms < uncertainty.until_ms and not body.first_sending:
            detail = "an earlier owner may have dispatched the key"
            return _unknown(detail, RETRY_AFTER_MS)
        if now_ms < uncertainty.fenced_ms:
            detail = "an earlier owner may still dispatch keys"
            return _refuse(body, Reason.KEY_UNCERTAIN, detail)
        if body.deadline_ms and now_ms >= body.deadline_ms:
            return _refuse(body, Reason.DEADLINE, "the deadline has passed", 0)
        ownership_confirmed_ms = max(
            self.acquired_ms, self.peers.ownership_confirmed_ms()
        )
        if (
            now_ms - ownership_confirmed_ms
            >= self.context.settings.members.orphan_horizon_ms
        ):
            return _refuse(
                body,
                Reason.STORE_DOWN,
                "the store has not confirmed the ownership lately",
            )
        full = len(self.ledger.keys) + len(self.pending) >= KEYS_LIMIT
        if full or self.ledger_bytes >= LEDGER_LIMIT_BYTES:
            return _refuse(
                body, Reason.KEYS_FULL, "the table of idempotency keys is full", 10_000
            )
        return None

    def _uncertainty_of(self, body: api.BeginKey) -> Uncertainty:
        if self._is_memory_only(body):
            return self.collector.unmarked
        return self.collector.marked

    def _is_memory_only(self, body: api.BeginKey) -> bool:
        template = self.context.view.service(body.team, body.service)
        return template is not None and template.durability == DURABILITY_MEMORY

    def _answer_repeat(
        self, held: MarkedKey, body: api.BeginKey, now_ms: int
    ) -> api.ApiResult:
        if held.mark.digest != body.digest:
            detail = "the key was used for another request"
            return api.Fault("conflict", Reason.KEY_REUSED, detail)
        if held.outcome is not None and held.outcome.status:
            outcome = held.outcome
            return api.KeyAnswered(outcome.status, outcome.headers, outcome.body)
        if held.outcome is not None:
            return _unknown("the first response was not recorded completely", 0)
        if held.name in self.pending or now_ms < self.running_until_ms.get(
            held.name, 0
        ):
            detail = "the first request with this key is still running"
            return api.Fault("conflict", Reason.KEY_RUNNING, detail, RETRY_AFTER_MS)
        return _unknown("the first request ended without a known outcome", 0)

    def _make_mark(self, body: api.BeginKey, now_ms: int) -> messages.MarkKey:
        template = self.context.view.service(body.team, body.service)
        window_ms = template.key_window_ms if template else DEFAULT_WINDOW_MS
        margin_ms = self.context.settings.tasks.clock_margin_ms
        deadline_ms = max(now_ms, body.deadline_ms)
        return messages.MarkKey(
            self.shard,
            self.epoch,
            self.context.next_call(),
            body.team,
            body.service,
            body.key,
            body.request_id,
            body.digest,
            deadline_ms + window_ms + margin_ms,
        )

    def _claim(
        self, mark: messages.MarkKey, call_id: int, now_ms: int
    ) -> list[ports.Command]:
        name = name_key(mark.team, mark.service, mark.key)
        self.ledger.keys[name] = MarkedKey(mark)
        limit_ms = self.context.settings.requests.default_timeout_ms
        self.running_until_ms[name] = now_ms + limit_ms + ANSWER_MARGIN_MS
        return [ports.ApiAnswer(call_id, api.KeyClaimed(mark.request_id))]

    def _finish(self, body: api.FinishKey) -> list[ports.Command]:
        name = name_key(body.team, body.service, body.key)
        waiting = self.pending.get(name)
        if waiting is not None and waiting.mark.request_id == body.request_id:
            return self._abandon_claim(
                name, _refuse(waiting, Reason.CANCELLED_BY_CALLER)
            )
        held = self.ledger.keys.get(name)
        if held is None or held.mark.request_id != body.request_id:
            return []
        if held.outcome is not None:
            return []
        self.running_until_ms.pop(name, None)
        outcome = self._make_outcome(body)
        if body.used:
            held.outcome = outcome
            self.ledger_bytes += held.size_bytes
        else:
            del self.ledger.keys[name]
        return self.backup.send(outcome)

    def _make_outcome(self, body: api.FinishKey) -> messages.KeyOutcome:
        """Return the outcome to record, with status 0 if the body is too large."""
        limit = self.context.settings.requests.key_body_limit_bytes
        keep = len(body.body) <= limit
        return messages.KeyOutcome(
            self.shard,
            self.epoch,
            body.team,
            body.service,
            body.key,
            body.request_id,
            body.used,
            body.status if keep else 0,
            body.headers if keep else (),
            body.body if keep else b"",
        )

    def _abandon_claim(self, name: str, fault: api.Fault) -> list[ports.Command]:
        claim = self.pending.pop(name)
        mark = claim.mark
        released = api.FinishKey(
            mark.team, mark.service, mark.key, mark.request_id, used=False
        )
        return [
            ports.ApiAnswer(claim.call_id, fault),
            *self.backup.send(self._make_outcome(released)),
        ]

    # --- the backup daemon --------------------------------------------------------

    def _resend_marks(self, now_ms: int) -> list[ports.Command]:
        """Send the marks of pending claims, if due; refuse the expired claims."""
        commands: list[ports.Command] = []
        for name, claim in list(self.pending.items()):
            if now_ms >= claim.expires_ms:
                detail = "the backup daemon did not acknowledge the key in time"
                fault = _refuse(claim, Reason.NO_SECOND, detail)
                commands.extend(self._abandon_claim(name, fault))
            elif self.backup.ready and now_ms >= claim.sent_ms + RESEND_MS:
                claim.sent_ms = now_ms
                commands.extend(self.backup.send(claim.mark))
        return commands

    def _handle_marked(
        self, sender: str, marked: messages.KeyMarked, now_ms: int
    ) -> list[ports.Command]:
        if marked.epoch > self.epoch:
            return self.depose(now_ms)
        found = [
            (name, claim)
            for name, claim in self.pending.items()
            if claim.mark.mark_id == marked.mark_id
        ]
        if not found or sender != self.backup.member_id or not self.backup.ready:
            return []
        if not marked.held:
            self.backup.restart(self.backup.member_id)
            return self._send_ledger_to_backup(now_ms)
        name, claim = found[0]
        del self.pending[name]
        return self._claim(claim.mark, claim.call_id, now_ms)

    def _send_ledger_to_backup(self, now_ms: int) -> list[ports.Command]:
        """Send the backup daemon the next page of the ledger, if one is due.

        A newly assigned one gets the first page. Nothing is sent once deposed, before
        the marks that the daemon holds are known, or while an earlier owner may still
        dispatch keys.
        """
        wanted = self.peers.backup()
        if wanted != self.backup.member_id:
            self.backup.restart(wanted)
        if self.deposed or not self.collector.may_adopt(wanted):
            return []
        if now_ms < self.collector.marked.fenced_ms:
            return []
        return self.backup.advance(self.ledger, self.collector.marked.until_ms, now_ms)

    def _handle_adopted(
        self, sender: str, adopted: messages.SecondAdopted, now_ms: int
    ) -> list[ports.Command]:
        if adopted.epoch > self.epoch:
            return self.depose(now_ms)
        if not self.backup.handle_adopted(sender, adopted):
            return []
        if not self.backup.ready:
            return self._send_ledger_to_backup(now_ms)
        for claim in self.pending.values():
            # A late acknowledgement of the old mark id may be from before a restart.
            claim.mark = evolve(claim.mark, mark_id=self.context.next_call())
            claim.sent_ms = 0
        return self._resend_marks(now_ms)

    # --- takeover -----------------------------------------------------------------

    def _handle_collected(
        self, sender: str, page: messages.MarksCollected, now_ms: int
    ) -> list[ports.Command]:
        if self.deposed:
            return []
        until_ms = self.collector.marked.until_ms
        records = self.collector.add_page(sender, page, now_ms)
        if records is None:
            return []
        added = self._merge(records) or until_ms != self.collector.marked.until_ms
        if added and self.backup.member_id:
            self.backup.restart(self.backup.member_id)
        return [*self.collector.ask(now_ms), *self._send_ledger_to_backup(now_ms)]

    def _merge(self, records: list[MarkedKey]) -> bool:
        """Add the records that are new; return whether there were any."""
        unclaimed = (item for item in records if item.name not in self.pending)
        added = [self.ledger.merge(item) for item in unclaimed]
        return any(added)

    def _max_window_ms(self) -> int:
        windows = [
            service.key_window_ms
            for team in self.context.view.teams
            for service in team.services
        ]
        margin_ms = self.context.settings.tasks.clock_margin_ms
        return max([DEFAULT_WINDOW_MS, *windows]) + margin_ms


def _refuse(
    sending: api.BeginKey | PendingClaim,
    reason: Reason,
    detail: str = "",
    retry_after_ms: int = RETRY_AFTER_MS,
) -> api.Fault:
    """Return a refusal, with code ``not_run`` only for a key's first sending.

    An owner may not know yet that it is deposed, nor which keys the next owner
    has dispatched.
    """
    code = "not_run" if sending.first_sending else "outcome_unknown"
    return api.Fault(code, reason, detail, retry_after_ms)


def _unknown(detail: str, retry_after_ms: int) -> api.Fault:
    return api.Fault("outcome_unknown", Reason.KEY_UNCERTAIN, detail, retry_after_ms)
