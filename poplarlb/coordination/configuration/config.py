"""Reads, confirms and changes the configuration in the store.

The stored configuration is one head record, which refers to parts: records with one
team's template each. The view is the configuration in force at this daemon.
"""

import collections

from attrs import Factory, define, frozen

from poplarlb.coordination.configuration.config_change import ChangeInProgress, Step
from poplarlb.coordination.membership.context import NodeContext
from poplarlb.protocol import api, codec, messages, ports
from poplarlb.state.models import Reason
from poplarlb.state.templates import ConfigHead, ConfigView, PartRef, TeamTemplate

# Operators' changes that one daemon has in progress or waiting.
CHANGES_LIMIT = 32
# If more parts than this are missing, one call reads all parts.
SINGLE_READS_LIMIT = 4
# Time between requests to peers for their view, made while the store has not confirmed
# our own view recently.
VIEW_WANTED_PERIOD_MS = 1_000
# Between reads of the head that a change waits for.
CHANGE_READ_PERIOD_MS = 100

ConfigEvent = ports.Tick | ports.StoreReplied | ports.ApiRequested | ports.PeerReceived


@frozen
class PeerView:
    """A responsive member and the version of the configuration that it reported."""

    member_id: str
    address: str
    view_version: int


@define
class HeadRead:
    """A read of the head, followed by reads of the parts that this daemon lacks.

    ``head`` is set once the head read is newer than the known one; ``revision`` is
    the store version of its record. ``part_calls`` are the reads in flight.
    """

    sent_ms: int
    head_call: int
    head: ConfigHead | None = None
    revision: int = 0
    part_calls: set[int] = Factory(set)


@define
class ConfigManager:
    """Keeps the daemon's view up to date and applies operators' changes.

    The view only moves to higher versions. Only a read of the store confirms it.
    ``head`` is the head last read or written, ``head_revision`` the store version of
    its record, and ``parts`` the parts that it refers to; a view received from a peer
    may be newer.
    The first of ``changes`` is in progress, the others wait. ``sweeps`` maps the
    ids of store calls that list a team's parts, to delete unused ones, to the team.

    :param peer_address: this daemon's own peer address.
    """

    context: NodeContext
    peer_address: str = ""
    head: ConfigHead = ConfigHead()
    head_revision: int = 0
    parts: dict[PartRef, TeamTemplate] = Factory(dict)
    reading: HeadRead | None = None
    next_read_ms: int = 0
    next_change_read_ms: int = 0
    next_view_request_ms: int = 0
    changes: collections.deque[ChangeInProgress] = Factory(collections.deque)
    sweeps: dict[int, str] = Factory(dict)
    peers: tuple[PeerView, ...] = ()

    def handle(
        self,
        event: ConfigEvent,
        now_ms: int,
        peers: tuple[PeerView, ...] | None = None,
    ) -> list[ports.Command]:
        """Advance the view and the changes; return calls, messages and answers.

        :param peers: the responsive members; ``None`` keeps those given before.
        """
        if peers is not None:
            self.peers = peers
        match event:
            case ports.Tick():
                return [
                    *self._expire_changes(now_ms),
                    *self._read(now_ms),
                    *self._ask_peers(now_ms),
                ]
            case ports.StoreReplied(call_id=call_id, result=result):
                return self._handle_reply(call_id, result, now_ms)
            case ports.ApiRequested(call_id=call_id, body=body):
                return self._handle_request(call_id, body, now_ms)
            case ports.PeerReceived(sender=sender, message=message):
                return self._handle_peer_message(sender, message)
        return []

    # --- reads --------------------------------------------------------------------

    def _prefix(self) -> str:
        return self.context.settings.store.prefix + "config/"

    def _part_key(self, ref: PartRef) -> str:
        return f"{self._prefix()}parts/{ref.team}/{ref.part}"

    def _call(self, operation: ports.StoreOperation) -> ports.StoreCall:
        return ports.StoreCall(self.context.next_call(), operation)

    def _read(self, now_ms: int) -> list[ports.Command]:
        if self.reading is not None and not self._read_is_lost(now_ms):
            return []
        if now_ms < self.next_read_ms and not self._change_wants_read(now_ms):
            return []
        self.next_read_ms = now_ms + self.context.settings.config.poll_period_ms
        self.next_change_read_ms = now_ms + CHANGE_READ_PERIOD_MS
        call = self._call(ports.StoreRead(self._prefix() + "head", self.head_revision))
        self.reading = HeadRead(now_ms, call.call_id)
        return [call]

    def _read_is_lost(self, now_ms: int) -> bool:
        limit_ms = 3 * self.context.settings.store.timeout_ms
        return now_ms - self.reading.sent_ms >= limit_ms

    def _change_wants_read(self, now_ms: int) -> bool:
        waiting = bool(self.changes) and self.changes[0].step is Step.HEAD_READ
        return waiting and now_ms >= self.next_change_read_ms

    def _handle_reply(
        self, call_id: int, result: ports.StoreResult, now_ms: int
    ) -> list[ports.Command]:
        reading = self.reading
        if reading is not None and call_id == reading.head_call:
            return self._handle_head(reading, result, now_ms)
        if reading is not None and call_id in reading.part_calls:
            return self._handle_part(reading, call_id, result, now_ms)
        if self.changes and call_id in self.changes[0].calls:
            return self._handle_change_reply(call_id, result, now_ms)
        if call_id in self.sweeps:
            return self._handle_sweep(self.sweeps.pop(call_id), result)
        return []

    def _handle_head(
        self, reading: HeadRead, result: ports.StoreResult, now_ms: int
    ) -> list[ports.Command]:
        if not isinstance(result, ports.StoreEntries):
            self.reading = None
            return []
        entry = next(
            (e for e in result.entries if e.key == self._prefix() + "head"), None
        )
        if entry is None or entry.version <= self.head_revision:
            return self._finish_read(reading, now_ms)
        reading.head = self.context.decode_record(entry, ConfigHead)
        if reading.head is None:
            self.reading = None
            return []
        reading.revision = entry.version
        return self._read_parts(reading, now_ms)

    def _read_parts(self, reading: HeadRead, now_ms: int) -> list[ports.Command]:
        missing = [ref for ref in reading.head.parts if ref not in self.parts]
        if not missing:
            return self._finish_read(reading, now_ms)
        keys = [self._part_key(ref) for ref in missing]
        if len(keys) > SINGLE_READS_LIMIT:
            keys = [self._prefix() + "parts/"]
        calls = [self._call(ports.StoreRead(key)) for key in keys]
        reading.part_calls = {call.call_id for call in calls}
        return calls

    def _handle_part(
        self,
        reading: HeadRead,
        call_id: int,
        result: ports.StoreResult,
        now_ms: int,
    ) -> list[ports.Command]:
        reading.part_calls.discard(call_id)
        if isinstance(result, ports.StoreEntries):
            self._keep_parts(reading.head, result.entries)
        if reading.part_calls:
            return []
        if any(ref not in self.parts for ref in reading.head.parts):
            self.reading = None
            return []
        return self._finish_read(reading, now_ms)

    def _keep_parts(
        self, head: ConfigHead, entries: tuple[ports.StoreEntry, ...]
    ) -> None:
        refs = {self._part_key(ref): ref for ref in head.parts}
        for entry in entries:
            if entry.key not in refs:
                continue
            # A part that can't be decoded counts as missing, so the view
            # stays unconfirmed.
            template = self.context.decode_record(entry, TeamTemplate)
            if template is not None:
                self.parts[refs[entry.key]] = template

    def _finish_read(self, reading: HeadRead, now_ms: int) -> list[ports.Command]:
        self.reading = None
        if reading.head is not None:
            self._apply_head(reading.head, reading.revision)
        if self.context.view.version == self.head.version:
            confirmed_ms = max(self.context.view_confirmed_ms, reading.sent_ms)
            self.context.view_confirmed_ms = confirmed_ms
        return self._advance_change(reading.sent_ms, now_ms)

    def _apply_head(self, head: ConfigHead, revision: int) -> None:
        if revision <= self.head_revision:
            return
        self.head, self.head_revision = head, revision
        self.parts = {ref: self.parts[ref] for ref in head.parts}
        if head.version >= self.context.view.version:
            teams = tuple(self.parts[ref] for ref in head.parts)
            view = ConfigView(head.version, teams, head.zones, head.changes)
            self.context.view = view

    # --- peers --------------------------------------------------------------------

    def _ask_peers(self, now_ms: int) -> list[ports.Command]:
        if now_ms < self.next_view_request_ms or self.context.view_is_fresh(now_ms):
            return []
        self.next_view_request_ms = now_ms + VIEW_WANTED_PERIOD_MS
        wanted = messages.ViewWanted(self.peer_address)
        newer = [p for p in self.peers if p.view_version > self.context.view.version]
        if newer:
            best = max(newer, key=lambda peer: peer.view_version)
            return [ports.SendPeer(best.member_id, best.address, wanted)]
        if self.context.view.version or self.peers:
            return []
        seeds = self.context.settings.peers.seeds
        return [ports.SendPeer(seed, seed, wanted) for seed in seeds]

    def _handle_peer_message(
        self, sender: str, message: messages.PeerMessage
    ) -> list[ports.Command]:
        match message:
            case messages.ViewOffer(view=view):
                if view.version > self.context.view.version:
                    self.context.view = view
            case messages.ViewWanted(reply_to=reply_to):
                known = [p.address for p in self.peers if p.member_id == sender]
                address = reply_to or next(iter(known), "")
                if address and self.context.view.version:
                    offer = messages.ViewOffer(self.context.view)
                    return [ports.SendPeer(sender, address, offer)]
        return []

    # --- changes ------------------------------------------------------------------

    def _handle_request(
        self, call_id: int, body: api.ApiBody, now_ms: int
    ) -> list[ports.Command]:
        match body:
            case api.ShowConfig():
                age_ms = now_ms - self.context.view_confirmed_ms
                shown = api.ConfigShown(self.context.view, age_ms)
                return [ports.ApiAnswer(call_id, shown)]
            case api.ApplyTemplates() | api.SetZone():
                if len(self.changes) >= CHANGES_LIMIT:
                    fault = api.Fault("not_run", Reason.RATE_LIMITED)
                    return [ports.ApiAnswer(call_id, fault)]
                change = ChangeInProgress(call_id, body, now_ms, now_ms)
                self.changes.append(change)
                return self._read(now_ms)
        return []

    def _expire_changes(self, now_ms: int) -> list[ports.Command]:
        expired = [change for change in self.changes if change.expired(now_ms)]
        for change in expired:
            self.changes.remove(change)
        return [
            ports.ApiAnswer(
                change.call_id,
                api.Fault(
                    "outcome_unknown" if change.outcome_unknown else "not_run",
                    Reason.STORE_DOWN,
                    "the store did not answer in time; retry with the same change id",
                ),
            )
            for change in expired
        ]

    def _advance_change(self, read_sent_ms: int, now_ms: int) -> list[ports.Command]:
        if not self.changes:
            return []
        change = self.changes[0]
        waiting = change.step is Step.HEAD_READ
        if not waiting or read_sent_ms < change.read_after_ms:
            return []
        answer = change.evaluate(self.head, self.head_revision, now_ms)
        if not isinstance(answer, api.Done):
            return self._end_change(answer, now_ms)
        if change.proposal.parts:
            return self._write_parts(change)
        return self._write_head(change)

    def _write_parts(self, change: ChangeInProgress) -> list[ports.Command]:
        calls = [
            self._call(
                ports.StoreWrite(
                    self._part_key(ref), codec.encode(template, TeamTemplate), 0
                )
            )
            for ref, template in change.proposal.parts
        ]
        change.step = Step.PARTS_WRITTEN
        change.calls = {call.call_id for call in calls}
        return calls

    def _write_head(self, change: ChangeInProgress) -> list[ports.Command]:
        proposal = change.proposal
        value = codec.encode(proposal.head, ConfigHead)
        key = self._prefix() + "head"
        call = self._call(ports.StoreWrite(key, value, proposal.base_revision))
        change.step = Step.HEAD_WRITTEN
        change.calls = {call.call_id}
        change.outcome_unknown = True
        return [call]

    def _handle_change_reply(
        self, call_id: int, result: ports.StoreResult, now_ms: int
    ) -> list[ports.Command]:
        change = self.changes[0]
        change.calls.discard(call_id)
        match change.step, result:
            case Step.PARTS_WRITTEN, ports.StoreWritten():
                # A part that exists already has the same content: its name contains a
                # digest.
                return [] if change.calls else self._write_head(change)
            case Step.HEAD_WRITTEN, ports.StoreWritten(applied=True, version=version):
                self.parts.update(change.proposal.parts)
                self._apply_head(change.proposal.head, version)
                answer = api.ConfigChanged(change.proposal.head.version)
                return self._end_change(answer, now_ms)
        change.read_again(now_ms)
        return self._read(now_ms) if isinstance(result, ports.StoreWritten) else []

    def _end_change(self, answer: api.ApiResult, now_ms: int) -> list[ports.Command]:
        change = self.changes.popleft()
        commands: list[ports.Command] = []
        if isinstance(answer, api.ConfigChanged):
            lagging = tuple(
                sorted(
                    peer.member_id
                    for peer in self.peers
                    if peer.view_version < answer.version
                )
            )
            answer = api.ConfigChanged(answer.version, lagging)
            commands.extend(self._start_sweeps(change.body))
        if self.changes:
            commands.extend(self._read(now_ms))
        return [ports.ApiAnswer(change.call_id, answer), *commands]

    # --- deletion of parts that no head refers to ------------------------------------

    def _start_sweeps(self, body: api.ApiBody) -> list[ports.Command]:
        if not isinstance(body, api.ApplyTemplates):
            return []
        teams = sorted({team.team for team in body.teams} | set(body.removed))
        calls = []
        for team in teams:
            call = self._call(ports.StoreRead(f"{self._prefix()}parts/{team}/"))
            self.sweeps[call.call_id] = team
            calls.append(call)
        return calls

    def _handle_sweep(self, team: str, result: ports.StoreResult) -> list:
        if not isinstance(result, ports.StoreEntries):
            return []
        named = {self._part_key(ref) for ref in self.head.parts}
        # A part that is older than the head and that the head doesn't refer to belongs
        # to a replaced head, or to a change based on a replaced head, whose
        # compare-and-swap fails. No later head can refer to it, since a part's name
        # contains a digest of its change and of the version that the change was based
        # on.
        return [
            self._call(ports.StoreDelete(entry.key, entry.version))
            for entry in result.entries
            if entry.key not in named and entry.version < self.head_revision
        ]
