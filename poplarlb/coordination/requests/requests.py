"""The parts of a daemon that serve requests: keys, marks, slots and grants.

A mark records that an idempotency key may have been dispatched; a grant allows a
gateway to use a slot of an endpoint for one request.
"""

from attrs import Factory, define, evolve

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.membership import Membership
from poplarlb.coordination.membership.ownership import OwnerRecord, Ownership
from poplarlb.coordination.membership.sharding import choose_backup
from poplarlb.coordination.requests.admission import Admission
from poplarlb.coordination.requests.grants import MAX_GRANT_MS, GrantRegistry
from poplarlb.coordination.requests.idempotency import KeyTable
from poplarlb.coordination.requests.key_takeover import KeyPeers, PreviousOwner
from poplarlb.coordination.requests.marks import MarkStore
from poplarlb.protocol import api, messages, ports
from poplarlb.state.models import Reason

MAX_SHARDS_TRIED = 3
SWEEP_PERIOD_MS = 5_000

# Messages to a shard's owner about keys, and messages to its backup daemon.
OWNER_MESSAGES = (messages.KeyMarked, messages.MarksCollected, messages.SecondAdopted)
BACKUP_MESSAGES = (messages.MarkKey, messages.KeyOutcome, messages.AdoptSecond)


@define
class Routing:
    """A request for a slot from this daemon's own gateway.

    ``tried`` are the shards asked; ``finished`` is set if no other shard is left.
    """

    body: api.AdmitRequest
    tried: list[str] = Factory(list)
    finished: bool = False


@define
class RequestService:
    """Key tables and admissions of the shards that this daemon owns, and its grants.

    ``marks`` holds the marks kept as a backup daemon and those of shards that this
    daemon owned earlier, ``closed_grants`` the reports of slots in use in such shards.
    ``earlier_records`` holds, for each shard, the last owner record that names another
    daemon or another incarnation of this one. ``routing`` holds the requests of the
    own gateway by call id.
    """

    context: NodeContext
    membership: Membership
    ownership: Ownership
    marks: MarkStore = None
    grants: GrantRegistry = None
    tables: dict[str, KeyTable] = Factory(dict)
    admissions: dict[str, Admission] = Factory(dict)
    closed_grants: dict[str, messages.GrantsReported] = Factory(dict)
    earlier_records: dict[str, OwnerRecord] = Factory(dict)
    routing: dict[int, Routing] = Factory(dict)
    next_sweep_ms: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the parts that last as long as the daemon."""
        own = self.membership.own
        self.marks = MarkStore(
            own.incarnation, self._known_epoch, self.membership.address_of
        )
        self.grants = GrantRegistry(own.member_id, own.incarnation)

    def _known_epoch(self, shard: str) -> int | None:
        record = self.ownership.owner_of(shard)
        return record.epoch if record else None

    def _incarnation_of(self, member_id: str) -> int:
        peer = self.membership.peers.get(member_id)
        if peer is None:
            return 0
        reported = peer.heartbeat.incarnation if peer.heartbeat else 0
        return max(peer.member.incarnation, reported)

    # --- ownership ------------------------------------------------------------------

    def remember_previous_owners(self) -> None:
        """Record each shard's owner record unless it names this incarnation."""
        own = self.membership.own
        for shard, record in self.ownership.records.items():
            if (record.owner, record.incarnation) != (own.member_id, own.incarnation):
                self.earlier_records[shard] = record

    def open_shard(
        self, record: OwnerRecord, admission: Admission, now_ms: int
    ) -> list[ports.Command]:
        """Start to serve keys and slots of a shard that was just acquired.

        If this daemon still serves an earlier epoch of it, that one is closed first.
        """
        shard = record.shard
        commands = []
        previous = self._previous_owner(record)
        if shard in self.tables:
            commands = self.close_shard(shard, now_ms)
        self.tables[shard] = KeyTable(
            self.context,
            shard,
            record.epoch,
            now_ms,
            self._key_peers(shard),
            self.marks,
            previous,
        )
        self.admissions[shard] = admission
        if previous is not None:
            self._begin_takeover(admission, previous, now_ms)
        return commands

    def _previous_owner(self, record: OwnerRecord) -> PreviousOwner | None:
        if record.epoch == 1:
            return None
        epoch = record.epoch - 1
        earlier = self.earlier_records.get(record.shard)
        owner = earlier.owner if earlier and earlier.epoch == epoch else ""
        table = self.tables.get(record.shard)
        if table is not None and table.epoch == epoch:
            owner = self.membership.own.member_id
        return PreviousOwner(epoch, owner, record.earlier_seconds)

    def _begin_takeover(
        self, admission: Admission, previous: PreviousOwner, now_ms: int
    ) -> None:
        own = self.membership.own
        members = {
            name
            for name, peer in self.membership.peers.items()
            if peer.registered or now_ms - peer.last_heard_ms < MAX_GRANT_MS
        }
        restarted = {own.member_id: own.incarnation}
        previous_owner = {previous.owner} if previous.owner else set()
        admission.begin_takeover(members | previous_owner, restarted, now_ms)
        admission.takeover.previous_owner = previous.owner

    def _key_peers(self, shard: str) -> KeyPeers:
        return KeyPeers(
            self.membership.own.member_id,
            self.membership.address_of,
            self._incarnation_of,
            lambda: list(self.membership.peers),
            lambda: self._backup_of(shard),
            lambda: self.ownership.ownership_confirmed_ms(shard),
        )

    def _backup_of(self, shard: str) -> str:
        record = self.ownership.owner_of(shard)
        own_id = self.membership.own.member_id
        if record is None or record.owner != own_id:
            return ""
        return self.ownership.confirmed_backup(shard)

    def _check_backup(self, shard: str, now_ms: int) -> None:
        """Clear earlier backup daemons, or replace one that is unresponsive or missing.

        Earlier ones are cleared from the owner record once their marks have been
        collected and the present one holds the whole ledger: all marks and outcomes.
        """
        backup = self._backup_of(shard)
        record = self.ownership.owner_of(shard)
        if record is None or shard in self.ownership.pending_backups:
            return
        table = self.tables[shard]
        if (
            table.backup.ready
            and record.earlier_seconds
            and table.knows_all_keys(now_ms)
        ):
            self.ownership.assign_backup(shard, backup)
        elif not backup or not self.membership.is_responsive(backup, now_ms):
            self._replace_backup(shard, backup, now_ms)

    def _replace_backup(self, shard: str, unresponsive: str, now_ms: int) -> None:
        own = self.membership.own
        live = [
            member
            for member in self.membership.members_not_stopping(now_ms)
            if self.membership.is_responsive(member.member_id, now_ms)
            and member.member_id != unresponsive
        ]
        name = choose_backup(shard, own, live)
        if name and self.tables[shard].knows_all_keys(now_ms):
            self.ownership.assign_backup(shard, name)

    def close_shard(self, shard: str, now_ms: int) -> list[ports.Command]:
        """Stop serving a shard; the new owner may ask for its keys and grants."""
        commands = []
        table = self.tables.pop(shard, None)
        if table is not None:
            commands.extend(table.depose(now_ms))
        admission = self.admissions.pop(shard, None)
        if admission is not None:
            commands.extend(admission.close())
            self.closed_grants[shard] = messages.GrantsReported(
                shard,
                admission.epoch,
                self.membership.own.incarnation,
                admission.slots.outstanding(),
                whole=not admission.takeover.unreported,
            )
        return commands

    # --- events ---------------------------------------------------------------------

    def tick(self, now_ms: int) -> list[ports.Command]:
        """Advance takeovers, check backup daemons, drop expired marks and grants."""
        commands: list[ports.Command] = []
        for shard, table in list(self.tables.items()):
            self._check_backup(shard, now_ms)
            commands.extend(table.handle(ports.Tick(), now_ms))
            self.admissions[shard].members = self._count_members(now_ms)
            commands.extend(self._ask_for_grants(shard, now_ms))
        if now_ms >= self.next_sweep_ms:
            self.next_sweep_ms = now_ms + SWEEP_PERIOD_MS
            self.marks.handle(ports.Tick(), now_ms)
            self.grants.drop_expired(now_ms)
        return commands

    def _count_members(self, now_ms: int) -> int:
        names = self.membership.peers
        return 1 + sum(self.membership.is_responsive(name, now_ms) for name in names)

    def _ask_for_grants(self, shard: str, now_ms: int) -> list[ports.Command]:
        admission = self.admissions[shard]
        wanted = messages.GrantsWanted(shard, admission.epoch)
        commands: list[ports.Command] = []
        for name in admission.members_to_ask(now_ms):
            if name == self.membership.own.member_id:
                report = self._make_grants_report(wanted)
                event = ports.PeerReceived(name, report)
                commands.extend(admission.handle(event, now_ms))
            else:
                commands.extend(self._send(name, wanted))
        return commands

    def _send(
        self, member_id: str, message: messages.PeerMessage
    ) -> list[ports.Command]:
        address = self.membership.address_of(member_id)
        return [ports.SendPeer(member_id, address, message)] if address else []

    def handle_key(
        self, event: ports.ApiRequested, shard: str, now_ms: int
    ) -> list[ports.Command]:
        """Answer a call for a key as the owner of its home shard."""
        table = self.tables.get(shard)
        if table is not None:
            return table.handle(event, now_ms)
        return [ports.ApiAnswer(event.call_id, owner_unavailable_fault(event.body))]

    def handle_peer(
        self, event: ports.PeerReceived, now_ms: int
    ) -> list[ports.Command]:
        """Handle a message about marks or grants."""
        message = event.message
        match message:
            case messages.GrantsWanted():
                return self._answer_grants(event.sender, message, now_ms)
            case messages.GrantsReported(shard=shard):
                admission = self.admissions.get(shard)
                return admission.handle(event, now_ms) if admission else []
            case messages.CollectMarks(shard=shard, epoch=epoch):
                table = self.tables.get(shard)
                commands = []
                if table is not None and epoch > table.epoch:
                    commands = table.depose(now_ms)
                return [*commands, *self.marks.handle(event, now_ms)]
        if isinstance(message, BACKUP_MESSAGES):
            return self.marks.handle(event, now_ms)
        if isinstance(message, OWNER_MESSAGES) and message.shard in self.tables:
            return self.tables[message.shard].handle(event, now_ms)
        return []

    def _answer_grants(
        self, sender: str, wanted: messages.GrantsWanted, now_ms: int
    ) -> list[ports.Command]:
        """Report our slots to a shard's new owner; close the shard if we served it."""
        commands: list[ports.Command] = []
        admission = self.admissions.get(wanted.shard)
        if admission is not None and admission.epoch < wanted.epoch:
            commands.extend(self.close_shard(wanted.shard, now_ms))
        report = self._make_grants_report(wanted)
        if report is not None:
            commands.extend(self._send(sender, report))
        return commands

    def _make_grants_report(
        self, wanted: messages.GrantsWanted
    ) -> messages.GrantsReported | None:
        """Return our gateway's slots, and those granted while we owned the shard.

        Returns ``None`` if a deposed owner asks.
        """
        report = self.grants.report(wanted)
        closed = self.closed_grants.get(wanted.shard)
        if report is None or closed is None:
            return report
        known = {(item.request_id, item.worker_id): item for item in closed.grants}
        known.update(
            {(item.request_id, item.worker_id): item for item in report.grants}
        )
        whole = closed.whole and closed.epoch == wanted.epoch - 1
        return messages.GrantsReported(
            wanted.shard,
            wanted.epoch,
            report.incarnation,
            tuple(known.values()),
            whole,
        )

    # --- this daemon's own gateway ----------------------------------------------------

    def begin_routing(self, call_id: int, body: api.AdmitRequest) -> Routing:
        """Return the routing of a request for a slot, a new one at its first attempt.

        It is kept so that other shards can be tried if one refuses.
        """
        return self.routing.setdefault(call_id, Routing(body))

    def finish_routing(self, answer: ports.ApiAnswer) -> ports.ApiAnswer:
        """Record the final answer to our own gateway; refuse an outdated grant."""
        routing = self.routing.pop(answer.call_id, None)
        if routing is None:
            return answer
        service = (routing.body.team, routing.body.service)
        result = self.grants.accept(service, answer.result)
        return ports.ApiAnswer(answer.call_id, result)

    def find_retryable(
        self, call_id: int, result: api.ApiResult, now_ms: int
    ) -> Routing | None:
        """Return the routing of a refused request that another shard may admit.

        Returns ``None`` if no other shard may be asked.
        """
        routing = self.routing.get(call_id)
        if routing is None or routing.finished or not isinstance(result, api.Fault):
            return None
        late = now_ms >= routing.body.deadline_ms
        if result.code != "not_run" or late or len(routing.tried) >= MAX_SHARDS_TRIED:
            return None
        return routing

    def answer_without_owner(
        self, body: api.ApiBody, now_ms: int
    ) -> api.ApiResult | None:
        """Grant a slot from our share if the store has not answered for ``lease_s``.

        Call this only while the owner is unresponsive. Returns a fault if no slot
        is free, and ``None`` for any other call or if the store answered lately.
        """
        if not isinstance(body, api.AdmitRequest):
            return None
        store_age_ms = now_ms - self.membership.store_contact_ms
        if store_age_ms < self.context.settings.members.lease_s * 1000:
            return None
        members = [
            member.member_id for member in self.membership.members_not_stopping(now_ms)
        ]
        return self.grants.admit_from_share(body, members, now_ms)


def owner_unavailable_fault(body: api.ApiBody, detail: str = "") -> api.Fault:
    """Return the refusal of a call whose owner can't be asked.

    The code is ``not_run`` only if nothing can have run: an earlier sending of
    a key, a job or a cancellation may have reached another owner.
    """
    match body:
        case api.SubmitTask() | api.CancelTask():
            code = "outcome_unknown"
        case api.BeginKey(first_sending=False):
            code = "outcome_unknown"
        case _:
            code = "not_run"
    return api.Fault(code, Reason.NO_OWNER, detail, 1_000)


def owner_timeout_fault(body: api.ApiBody) -> api.Fault:
    """Return the answer to a call that its owner did not answer in time."""
    fault = owner_unavailable_fault(body, "the owner did not answer in time")
    if isinstance(body, api.AdmitRequest | api.BeginKey):
        # This gateway will not use what the owner may still grant.
        return fault
    return evolve(fault, code="outcome_unknown")
