"""Joins a shard's journal and its machine: recovery, commit, release."""

import collections

from attrs import Factory, define

from poplarlb.coordination.admission import Admission
from poplarlb.coordination.context import NodeContext
from poplarlb.coordination.effects import Effects, ShardCommand
from poplarlb.coordination.journal import (
    Committed,
    Deposed,
    Journal,
    JournalPhase,
    Recovered,
)
from poplarlb.coordination.policy import Policy
from poplarlb.coordination.shard import ShardMachine
from poplarlb.coordination.sharding import ShardMap
from poplarlb.protocol import api, codec, ports
from poplarlb.protocol.messages import ShardSummary
from poplarlb.state.changes import Change
from poplarlb.state.models import Reason
from poplarlb.state.shard_state import ShardState

CHANGES = tuple[Change, ...]
_CONVERTER = codec.make_converter((Change,))


@define
class ShardHost:
    """One shard that this daemon owns."""

    context: NodeContext
    shards: ShardMap
    shard: str
    epoch: int
    journal: Journal
    admission: Admission
    machine: ShardMachine | None = None
    waiting: collections.deque[tuple[int, ShardCommand]] = Factory(collections.deque)
    committed_ticket: int = 0

    @property
    def open(self) -> bool:
        """Whether the shard takes decisions."""
        return self.machine is not None and self.journal.phase is JournalPhase.OPEN

    def handle(self, event: ports.Event, now_ms: int) -> list[ShardCommand]:
        """Take one event; returns the commands that may be carried out now."""
        commands: list[ShardCommand] = []
        if isinstance(event, ports.Tick | ports.StoreReplied):
            commands.extend(self._drive_journal(event, now_ms))
        if self.open:
            commands.extend(self._drive_machine(event, now_ms))
        elif isinstance(event, ports.ApiRequested):
            fault = api.Fault("not_run", Reason.NO_OWNER, "the shard is recovering")
            commands.append(ports.ApiAnswer(event.call_id, fault))
        return commands

    def summary(self) -> ShardSummary | None:
        """Return what other members should know, once the shard is open."""
        if not self.open:
            return None
        return self.machine.summary(self.admission.summaries())

    def _drive_machine(self, event: ports.Event, now_ms: int) -> list[ShardCommand]:
        if isinstance(event, ports.ApiRequested) and isinstance(
            event.body, api.AdmitRequest | api.FinishRequest
        ):
            return self.admission.handle(event, now_ms)
        commands = self._stage(self.machine.handle(event, now_ms))
        if isinstance(event, ports.Tick):
            self.admission.set_endpoints(self.machine.endpoints(), now_ms)
            commands.extend(self.admission.handle(event, now_ms))
        return commands

    def _stage(self, effects: Effects) -> list[ShardCommand]:
        ticket = self.journal.last_ticket
        if effects.changes:
            entry = codec.encode(tuple(effects.changes), CHANGES, _CONVERTER)
            ticket = self.journal.stage(entry, effects.urgent)
        self.waiting.extend((ticket, command) for command in effects.after_commit)
        return [*effects.at_once, *self._release()]

    def _release(self) -> list[ShardCommand]:
        released = []
        while self.waiting and self.waiting[0][0] <= self.committed_ticket:
            released.append(self.waiting.popleft()[1])
        return released

    def _drive_journal(
        self, event: ports.Tick | ports.StoreReplied, now_ms: int
    ) -> list[ShardCommand]:
        commands: list[ShardCommand] = []
        for output in self.journal.handle(event, now_ms):
            match output:
                case ports.StoreCall():
                    commands.append(output)
                case Recovered():
                    self._recover(output, now_ms)
                case Committed(ticket=ticket):
                    self.committed_ticket = ticket
                    commands.extend(self._release())
                case Deposed():
                    commands.extend(self._drop_waiting(output))
        return commands

    def _recover(self, recovered: Recovered, now_ms: int) -> None:
        state = ShardState()
        for entry in recovered.entries:
            for change in codec.decode(entry, CHANGES, _CONVERTER):
                state.apply(change)
        self.machine = ShardMachine(
            self.context,
            self.shards,
            self.shard,
            self.epoch,
            now_ms,
            state,
            Policy(self.context.settings.policy),
        )

    def _drop_waiting(self, deposed: Deposed) -> list[ShardCommand]:
        answers: list[ShardCommand] = []
        for ticket, command in self.waiting:
            if isinstance(command, ports.ApiAnswer):
                code = "outcome_unknown"
                if ticket > deposed.unsettled_ticket:
                    code = "not_run"
                fault = api.Fault(code, Reason.NO_OWNER, "the shard has a new owner")
                answers.append(ports.ApiAnswer(command.call_id, fault))
        self.waiting.clear()
        return answers
