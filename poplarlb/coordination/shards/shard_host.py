"""Connects a shard's state machine to its journal: recovery, commits, hand-over."""

import collections
from collections.abc import Callable, Sequence

from attrs import Factory, define, frozen

from poplarlb.coordination.journal.journal import (
    Committed,
    Deposed,
    Journal,
    JournalOutput,
    JournalPhase,
    Recovered,
    SnapshotRequested,
)
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.coordination.membership.sharding import ShardMap
from poplarlb.coordination.policy.policy import Policy
from poplarlb.coordination.requests.admission import Admission
from poplarlb.coordination.shards.effects import Effects, Resume, ShardCommand
from poplarlb.coordination.shards.shard_core import ShardCore
from poplarlb.coordination.shards.shard_state_machine import ShardStateMachine
from poplarlb.exceptions import ProtocolError
from poplarlb.protocol import api, codec, ports
from poplarlb.protocol.messages import ShardSummary
from poplarlb.state.changes import Change, TaskAccepted
from poplarlb.state.models import Reason
from poplarlb.state.shard_state import ShardState
from poplarlb.state.snapshot import SnapshotWriter, decode_state

CHANGES = tuple[Change, ...]
UNCOMMITTED_LIMIT = 1_000  # staged entries; beyond it submissions are refused
RETRY_AFTER_MS = 1_000
_CONVERTER = codec.make_converter((Change,))


@frozen
class _PendingCommand:
    """A command that waits until the changes up to ``ticket`` are durable.

    A ticket is the number that the journal gives to staged changes. ``revocable`` is
    true for the answer to a submission if the changes of this very ticket accept the
    task: without them it was not accepted.
    """

    ticket: int
    command: ShardCommand
    revocable: bool = False


@define
class ShardHost:
    """One shard that this daemon owns.

    ``ownership_confirmed_ms`` is when the last store call that confirmed the ownership
    was sent; ``ShardSet`` updates it. No lease is renewed before the first such call.
    ``machine`` and ``writer``, which encodes snapshots, are ``None`` until the shard is
    recovered. ``broken`` is the failure after which the shard stays closed, or ``""``.

    :param context: the daemon's settings, configuration view and worker list.
    :param summaries: returns the newest summary of every shard.
    """

    context: NodeContext
    shards: ShardMap
    shard: str
    epoch: int
    journal: Journal
    admission: Admission
    summaries: Callable[[], Sequence[ShardSummary]] = tuple
    ownership_confirmed_ms: int = 0
    machine: ShardStateMachine | None = None
    writer: SnapshotWriter | None = None
    pending_commands: collections.deque[_PendingCommand] = Factory(collections.deque)
    committed_ticket: int = 0
    handing_over: bool = False
    broken: str = ""
    endpoints_set: bool = False

    @property
    def open(self) -> bool:
        """Whether the shard is recovered and makes decisions."""
        recovered = self.machine is not None and not self.broken
        return recovered and self.journal.phase is JournalPhase.OPEN

    @property
    def deposed(self) -> bool:
        """Whether the journal found that another daemon owns the shard."""
        return self.journal.phase is JournalPhase.DEPOSED

    @property
    def handed_over(self) -> bool:
        """Whether the hand-over has begun and every change is durable."""
        return self.handing_over and self.committed_ticket >= self.journal.last_ticket

    def hand_over(self, now_ms: int) -> list[ShardCommand]:
        """Stop deciding and flush; ``handed_over`` becomes true once all is durable."""
        if self.handing_over:
            return []
        commands = []
        if self.open:
            commands = self._stage(self.machine.release(now_ms), now_ms)
        self.handing_over = True
        return commands

    def handle(self, event: ports.Event, now_ms: int) -> list[ShardCommand]:
        """Handle one event; return the commands that may be carried out now."""
        commands: list[ShardCommand] = []
        if isinstance(event, ports.ApiRequested):
            match event.body:
                case api.FinishRequest() as body:
                    self._observe_request(body, now_ms)
                    return self.admission.handle(event, now_ms)
                case api.Explain(subject=subject) if subject.startswith("request/"):
                    return self.admission.handle(event, now_ms)
        if isinstance(event, ports.Tick | ports.StoreReplied):
            commands.extend(self._drive_journal(event, now_ms))
        if self.open and not self.handing_over:
            commands.extend(self._drive_machine(event, now_ms))
        elif isinstance(event, ports.ApiRequested):
            commands.append(ports.ApiAnswer(event.call_id, self._refusal(event.body)))
        return commands

    def step_down(self) -> list[ShardCommand]:
        """Stop writing and answer all waiting callers.

        Another daemon may already own the shard.
        """
        return self._drop_pending(self.journal.step_down())

    def _observe_request(self, body: api.FinishRequest, now_ms: int) -> None:
        """Report a successful request's latency to the policy."""
        slot = self.admission.slots.find(body.request_id, body.worker_id)
        if slot is None or self.machine is None or body.result != "ok":
            return
        team, service = slot.service
        if service:
            self.machine.core.policy.observe_request(
                team, service, body.worker_id, body.latency_ms, now_ms
            )

    def _refusal(self, body: api.ApiBody) -> api.Fault:
        """Return the fault for a call while the shard can't decide.

        A submission or cancellation may repeat an earlier one that took effect, so
        its fault is never ``not_run``.
        """
        detail = self.broken or "the shard is changing owners"
        code = "not_run"
        if isinstance(body, api.SubmitTask | api.CancelTask):
            code = "outcome_unknown"
        if self.broken:
            code = "internal"
        return api.Fault(code, Reason.NO_OWNER, detail, RETRY_AFTER_MS)

    def summary(self) -> ShardSummary | None:
        """Return the shard's summary for other members, ``None`` until it is open."""
        if not self.open or self.handing_over or not self.endpoints_set:
            return None
        return self.machine.summary(self.admission.summaries())

    # --- the state machine ------------------------------------------------------------

    def _drive_machine(self, event: ports.Event, now_ms: int) -> list[ShardCommand]:
        match event:
            case ports.ApiRequested(body=api.AdmitRequest()):
                return [
                    *self._set_first_endpoints(now_ms),
                    *self.admission.handle(event, now_ms),
                ]
            case ports.ApiRequested(body=api.SubmitTask(spec=spec)):
                known = spec.key in self.machine.core.state.tasks
                if not known and self._uncommitted() >= UNCOMMITTED_LIMIT:
                    return [ports.ApiAnswer(event.call_id, self._store_down_fault())]
        self.machine.core.ownership_confirmed_ms = self.ownership_confirmed_ms
        effects = self._run(self.machine.handle, event, now_ms)
        commands = self._stage(effects, now_ms)
        if effects.urgent:
            commands.extend(self._handle_outputs(self.journal.advance(now_ms), now_ms))
        if isinstance(event, ports.Tick):
            self._set_endpoints(now_ms)
            commands.extend(self.admission.handle(event, now_ms))
        return commands

    def _set_first_endpoints(self, now_ms: int) -> list[ShardCommand]:
        """Run a tick if none has set the endpoints yet, before a request is handled."""
        if self.endpoints_set:
            return []
        return self._drive_machine(ports.Tick(), now_ms)

    def _set_endpoints(self, now_ms: int) -> None:
        self.admission.set_endpoints(self.machine.endpoints(), now_ms)
        self.endpoints_set = True

    def _run(self, handler: Callable, argument: object, now_ms: int) -> Effects:
        """Run the state machine; an exception marks the shard broken.

        After an exception the state may hold changes that the journal doesn't have.
        """
        try:
            return handler(argument, now_ms)
        except Exception as error:
            self.broken = f"the shard failed: {type(error).__name__}: {error}"
            raise

    def _uncommitted(self) -> int:
        return self.journal.last_ticket - self.committed_ticket

    @staticmethod
    def _store_down_fault() -> api.Fault:
        detail = "too many changes wait to be committed to the store"
        return api.Fault("not_run", Reason.STORE_DOWN, detail, RETRY_AFTER_MS)

    def _stage(self, effects: Effects, now_ms: int) -> list[ShardCommand]:
        ticket = self.journal.last_ticket
        self.context.staged.extend(effects.changes)
        if effects.changes:
            entry = codec.encode(tuple(effects.changes), CHANGES, _CONVERTER)
            ticket = self.journal.stage(entry, effects.urgent)
            for change in effects.changes:
                self.writer.on_change(change)
        accepted = {
            change.spec.key
            for change in effects.changes
            if isinstance(change, TaskAccepted)
        }
        self.pending_commands.extend(
            _PendingCommand(ticket, command, _is_acceptance(command, accepted))
            for command in effects.after_commit
        )
        return [*effects.immediate, *self._release_committed(now_ms)]

    def _release_committed(self, now_ms: int) -> list[ShardCommand]:
        released: list[ShardCommand] = []
        while (
            self.pending_commands
            and self.pending_commands[0].ticket <= self.committed_ticket
        ):
            command = self.pending_commands.popleft().command
            if not isinstance(command, Resume):
                released.append(command)
            elif not self.handing_over:
                effects = self._run(self.machine.resume, command.step, now_ms)
                released.extend(self._stage(effects, now_ms))
        return released

    # --- the journal ------------------------------------------------------------------

    def _drive_journal(
        self, event: ports.Tick | ports.StoreReplied, now_ms: int
    ) -> list[ShardCommand]:
        return self._handle_outputs(self.journal.handle(event, now_ms), now_ms)

    def _handle_outputs(
        self, outputs: list[JournalOutput], now_ms: int
    ) -> list[ShardCommand]:
        commands: list[ShardCommand] = []
        for output in outputs:
            match output:
                case ports.StoreCall():
                    commands.append(output)
                case Recovered():
                    self._recover(output, now_ms)
                case Committed(ticket=ticket):
                    self.committed_ticket = max(self.committed_ticket, ticket)
                    commands.extend(self._release_committed(now_ms))
                case SnapshotRequested():
                    self._offer_snapshot()
                case Deposed():
                    commands.extend(self._drop_pending(output))
        return commands

    def _offer_snapshot(self) -> None:
        if self.writer is not None and not self.broken:
            self.journal.offer_snapshot(self.writer.encode())

    def _recover(self, recovered: Recovered, now_ms: int) -> None:
        """Rebuild the state; the shard stays closed if its journal can't be read."""
        try:
            state = self._replay(recovered)
        except (ProtocolError, LookupError) as error:
            self.broken = f"the shard's journal can't be read: {error!r}"
            return
        core = ShardCore(
            self.context,
            self.shards,
            self.shard,
            self.epoch,
            now_ms,
            state,
            Policy(self.context.settings.policy),
            self.summaries,
            self.ownership_confirmed_ms,
            busy_slots=self._busy_slots,
        )
        self.machine = ShardStateMachine(core)
        self.writer = SnapshotWriter(state)

    def _busy_slots(self, worker_id: str) -> int:
        return self.admission.slots.used_at(worker_id)

    def _replay(self, recovered: Recovered) -> ShardState:
        kept = self.context.settings.tasks.decisions_kept
        state = ShardState(decisions=collections.deque(maxlen=kept))
        if recovered.snapshot:
            state = decode_state(recovered.snapshot, kept)
        for entry in recovered.entries:
            for change in self.decode_changes(entry):
                state.apply(change)
        return state

    @staticmethod
    def decode_changes(entry: bytes) -> CHANGES:
        """Return the changes of one journal entry.

        :raises ProtocolError: if the entry can't be read.
        """
        return codec.decode(entry, CHANGES, _CONVERTER)

    def _drop_pending(self, deposed: Deposed) -> list[ShardCommand]:
        """Answer the callers that wait for commits; drop all other commands."""
        answers = [
            _answer_deposed(item, deposed)
            for item in self.pending_commands
            if isinstance(item.command, ports.ApiAnswer)
        ]
        self.pending_commands.clear()
        return answers


def _is_acceptance(command: ShardCommand, accepted: set) -> bool:
    match command:
        case ports.ApiAnswer(result=api.TaskView(spec=spec)):
            return spec.key in accepted
    return False


def _answer_deposed(item: _PendingCommand, deposed: Deposed) -> ports.ApiAnswer:
    """Return a waiting caller's answer after the owner was deposed.

    It is the original answer if its changes are durable, and ``not_run`` only if the
    submission was certainly not accepted.
    """
    if item.ticket <= deposed.committed_ticket:
        return item.command
    dropped = item.revocable and item.ticket > deposed.ambiguous_ticket
    code = "not_run" if dropped else "outcome_unknown"
    fault = api.Fault(code, Reason.NO_OWNER, "the shard has a new owner")
    return ports.ApiAnswer(item.command.call_id, fault)
