"""A simulation of daemons, callers and a store, to fuzz idempotency keys."""

import functools

from attrs import Factory, define, evolve

from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.requests.idempotency import KeyTable
from poplarlb.coordination.requests.key_takeover import KeyPeers, PreviousOwner
from poplarlb.coordination.requests.marks import MarkStore
from poplarlb.protocol import api, messages, ports
from poplarlb.settings import MemberSettings, Settings
from poplarlb.state.models import Resources
from poplarlb.state.templates import ConfigView, ServiceTemplate, TeamTemplate

SHARD = "kochi/0"
NAMES = ("d0", "d1", "d2", "d3")
WINDOW_MS = 600_000
HORIZON_MS = 60_000
TIMEOUT_MS = 10_000
TABLE_MESSAGES = (messages.KeyMarked, messages.MarksCollected, messages.SecondAdopted)


@define
class OwnerEntry:
    """The shard's owner record in the store."""

    epoch: int = 0
    owner: str = ""
    backup: str = ""


@define
class Sending:
    """One sending of a key by its caller through a gateway."""

    key: str
    digest: bytes
    gateway: str
    incarnation: int
    first: bool
    deadline_ms: int
    uses_claim: bool
    answered: bool = False
    dispatched: bool = False


@define
class Daemon:
    """The parts of a daemon that handle keys; a restart loses their state."""

    name: str
    incarnation: int
    context: NodeContext
    marks: MarkStore = None
    table: KeyTable | None = None
    known: OwnerEntry | None = None
    ownership_confirmed_ms: int = 0
    calls: dict[int, tuple[str, str]] = Factory(dict)


@define
class Packet:
    """A message in flight; ``body`` may also be an API call or its answer."""

    sender: str
    recipient: str
    body: object


@define
class KeyWorld:
    """The simulation, with checks at each dispatch and each answer."""

    durability: str = "two-daemons"
    now_ms: int = 1_000_000
    record: OwnerEntry = Factory(OwnerEntry)
    daemons: dict[str, Daemon] = Factory(dict)
    dead: set[str] = Factory(set)
    cuts: set[frozenset[str]] = Factory(set)
    cut_from_store: set[str] = Factory(set)
    network: list[Packet] = Factory(list)
    past: list[Packet] = Factory(list)
    sendings: dict[str, Sending] = Factory(dict)
    first_sent_ms: dict[str, int] = Factory(dict)
    dispatches: dict[str, list[str]] = Factory(dict)
    incarnations: int = 0

    def __attrs_post_init__(self) -> None:
        """Start all daemons and let the first one own the shard."""
        for name in NAMES:
            self.restart(name)
        self.claim("d0", "d1")
        self.deliver_all()

    # --- daemons and the store ----------------------------------------------------

    def restart(self, name: str) -> None:
        """Start a new incarnation of a daemon, with empty state."""
        self.incarnations += 1
        members = MemberSettings(orphan_horizon_ms=HORIZON_MS)
        context = NodeContext(Settings(name, "kochi", members=members))
        size = Resources(1, 1)
        service = ServiceTemplate(
            "orders", 1, size, durability=self.durability, key_window_ms=WINDOW_MS
        )
        team = TeamTemplate("dairy", ("kochi",), size, services=(service,))
        context.view = ConfigView(1, (team,))
        daemon = Daemon(name, self.incarnations, context)
        daemon.marks = MarkStore(
            self.incarnations,
            lambda _: daemon.known.epoch if daemon.known else None,
            str,
        )
        self.daemons[name] = daemon
        self.dead.discard(name)
        self.read_record(name)

    def read_record(self, name: str) -> None:
        """Let a daemon read the owner record, if it reaches the store."""
        if name in self.cut_from_store or name in self.dead:
            return
        daemon = self.daemons[name]
        daemon.known = evolve(self.record)
        if daemon.table is None:
            return
        if daemon.table.epoch == self.record.epoch:
            daemon.ownership_confirmed_ms = self.now_ms
        else:
            self.carry_out(daemon, daemon.table.depose(self.now_ms))
            daemon.table = None

    def claim(self, name: str, backup: str) -> None:
        """Let a daemon take over the shard by compare-and-swap."""
        daemon = self.daemons[name]
        if name in self.dead or name in self.cut_from_store or backup == name:
            return
        self.read_record(name)
        if daemon.table is not None:
            self.record.backup = backup
            self.read_record(name)
            return
        old = self.record
        previous = PreviousOwner(old.epoch, old.owner, (old.backup,))
        self.record = OwnerEntry(old.epoch + 1, name, backup)
        daemon.known = evolve(self.record)
        daemon.ownership_confirmed_ms = self.now_ms
        daemon.table = self.make_table(daemon, previous if old.epoch else None)

    def make_table(self, daemon: Daemon, previous: PreviousOwner | None) -> KeyTable:
        """Return the key table of a new owner."""
        peers = KeyPeers(
            daemon.name,
            str,
            lambda name: self.daemons[name].incarnation,
            lambda: [name for name in NAMES if name != daemon.name],
            lambda: daemon.known.backup,
            lambda: daemon.ownership_confirmed_ms,
        )
        return KeyTable(
            daemon.context,
            SHARD,
            self.record.epoch,
            self.now_ms,
            peers,
            daemon.marks,
            previous,
        )

    def tick(self, elapsed_ms: int) -> None:
        """Advance the clock and send every daemon a tick."""
        self.now_ms += elapsed_ms
        for name in NAMES:
            daemon = self.daemons[name]
            if name in self.dead:
                continue
            daemon.marks.handle(ports.Tick(), self.now_ms)
            if daemon.table is not None:
                commands = daemon.table.handle(ports.Tick(), self.now_ms)
                self.carry_out(daemon, commands)

    def carry_out(self, daemon: Daemon, commands: list[ports.Command]) -> None:
        """Put the messages and answers of a daemon on the network."""
        for command in commands:
            match command:
                case ports.SendPeer(member_id=recipient, message=message):
                    self.network.append(Packet(daemon.name, recipient, message))
                case ports.ApiAnswer(call_id=call_id, result=result):
                    origin, request_id = daemon.calls.pop(call_id)
                    answer = (request_id, result)
                    self.network.append(Packet(daemon.name, origin, answer))

    # --- network ------------------------------------------------------------------

    def deliver(self, index: int, keep: bool = False) -> None:
        """Deliver one packet out of order; ``keep`` delivers it again later."""
        if not self.network:
            return
        index %= len(self.network)
        packet = self.network[index] if keep else self.network.pop(index)
        self.past.append(packet)
        self.hand_to_recipient(packet)

    def replay(self, index: int) -> None:
        """Deliver again a packet that was delivered before."""
        if self.past:
            self.hand_to_recipient(self.past[-1 - index % len(self.past)])

    def hand_to_recipient(self, packet: Packet) -> None:
        """Deliver a packet, unless its link is cut or its recipient is dead."""
        pair = frozenset((packet.sender, packet.recipient))
        if {packet.recipient} & self.dead or pair in self.cuts:
            return
        self.receive(self.daemons[packet.recipient], packet)

    def deliver_all(self, rounds: int = 6) -> None:
        """Deliver all packets in order for some rounds."""
        for _ in range(rounds):
            self.tick(250)
            for _ in range(len(self.network)):
                self.deliver(0)

    def receive(self, daemon: Daemon, packet: Packet) -> None:
        """Pass a packet to the part of the daemon that handles it."""
        match packet.body:
            case (str() as request_id, result):
                self.handle_answer(daemon, request_id, result)
            case api.BeginKey() | api.FinishKey() as body:
                self.handle_call(daemon, packet.sender, body)
            case _ as message:
                event = ports.PeerReceived(packet.sender, message)
                table = daemon.table
                if isinstance(message, TABLE_MESSAGES):
                    if table is not None and table.shard == message.shard:
                        self.carry_out(daemon, table.handle(event, self.now_ms))
                    return
                if (
                    isinstance(message, messages.CollectMarks)
                    and table is not None
                    and message.epoch > table.epoch
                ):
                    self.carry_out(daemon, table.depose(self.now_ms))
                    daemon.table = None
                self.carry_out(daemon, daemon.marks.handle(event, self.now_ms))

    def handle_call(self, daemon: Daemon, origin: str, body: api.ApiBody) -> None:
        """Let the owner answer a gateway; other daemons do not answer."""
        if daemon.table is None:
            return
        call_id = daemon.context.next_call()
        daemon.calls[call_id] = (origin, body.request_id)
        event = ports.ApiRequested(call_id, body)
        self.carry_out(daemon, daemon.table.handle(event, self.now_ms))

    # --- callers and gateways -------------------------------------------------------

    def send(
        self, key: str, gateway: str, owner: str, digest: bytes, first: bool, uses: bool
    ) -> None:
        """Send a key through a gateway to the daemon it assumes to be the owner."""
        if gateway in self.dead:
            return
        sent_ms = self.first_sent_ms.setdefault(key, self.now_ms)
        if self.now_ms >= sent_ms + WINDOW_MS - TIMEOUT_MS:
            return
        earlier = [item for item in self.sendings.values() if item.key == key]
        unanswered = [
            item
            for item in earlier
            if item.first and not item.answered and self.now_ms < item.deadline_ms
        ]
        if unanswered:
            return
        request_id = f"{gateway}-{len(self.sendings)}"
        sending = Sending(
            key,
            digest,
            gateway,
            self.daemons[gateway].incarnation,
            first and not earlier,
            self.now_ms + TIMEOUT_MS,
            uses,
        )
        self.sendings[request_id] = sending
        begin = api.BeginKey(
            "dairy",
            "orders",
            key,
            request_id,
            digest,
            sending.first,
            sending.deadline_ms,
        )
        self.network.append(Packet(gateway, owner, begin))

    def give_up(self, request_id: str) -> None:
        """Let a gateway stop waiting and report that it will not use a claim."""
        sending = self.sendings[request_id]
        if self.is_waiting(sending):
            sending.answered = True
            self.finish(request_id, False)

    def is_waiting(self, sending: Sending) -> bool:
        """Return whether the gateway still waits for the owner's answer."""
        same = self.daemons[sending.gateway].incarnation == sending.incarnation
        return same and sending.gateway not in self.dead and not sending.answered

    def finish(self, request_id: str, used: bool) -> None:
        """Report the outcome to the daemon that the gateway assumes to be the owner."""
        sending = self.sendings[request_id]
        body = api.FinishKey(
            "dairy",
            "orders",
            sending.key,
            request_id,
            used,
            200 if used else 0,
            (),
            sending.digest if used else b"",
        )
        known = self.daemons[sending.gateway].known
        owner = known.owner if known and known.owner else self.record.owner
        self.network.append(Packet(sending.gateway, owner, body))

    def handle_answer(
        self, daemon: Daemon, request_id: str, result: api.ApiResult
    ) -> None:
        """Pass the owner's answer to a gateway, which ignores late answers."""
        sending = self.sendings[request_id]
        if not self.is_waiting(sending) or daemon.name != sending.gateway:
            return
        dispatched = self.dispatches.get(sending.key, [])
        match result:
            case api.KeyClaimed():
                sending.answered = True
                if sending.uses_claim and self.now_ms < sending.deadline_ms:
                    self.dispatch(request_id, sending)
                else:
                    self.finish(request_id, False)
            case api.KeyAnswered(body=body):
                sending.answered = True
                assert body == sending.digest, "outcome of another request"
                assert dispatched, "outcome of a request that was never dispatched"
            case api.Fault(code="not_run"):
                sending.answered = True
                assert not dispatched, f"answered not_run, but {dispatched} ran"
            case api.Fault():
                sending.answered = True

    def dispatch(self, request_id: str, sending: Sending) -> None:
        """Dispatch the request to its endpoint and report the outcome."""
        sending.dispatched = True
        done = self.dispatches.setdefault(sending.key, [])
        done.append(request_id)
        assert len(done) == 1, f"{sending.key} dispatched by {done}"
        self.finish(request_id, True)


def without(target: type, name: str, replacement: object):
    """Return a decorator that runs a call with one attribute replaced."""

    def decorate(call):
        @functools.wraps(call)
        def run(*arguments, **named):
            original = getattr(target, name)
            setattr(target, name, replacement)
            try:
                return call(*arguments, **named)
            finally:
                setattr(target, name, original)

        return run

    return decorate
