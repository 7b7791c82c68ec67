"""The configuration: reading it, confirming it, and changing it."""

from attrs import Factory, define, evolve

from poplarlb.coordination.context import NodeContext
from poplarlb.protocol import api, codec, ports
from poplarlb.state.models import Reason, ZoneState
from poplarlb.state.templates import ConfigView, ZoneEntry


@define
class ConfigKeeper:
    """Keeps the daemon's view and carries out operators' changes.

    The view only moves to higher versions.
    """

    context: NodeContext
    head_version: int = 0
    read_call: int = 0
    read_sent_ms: int = 0
    next_read_ms: int = 0
    writes: dict[int, tuple[int, ConfigView]] = Factory(dict)

    def handle(
        self,
        event: ports.Tick | ports.StoreReplied | ports.ApiRequested,
        now_ms: int,
    ) -> list[ports.Command]:
        """Advance the view; returns store calls and answers."""
        match event:
            case ports.Tick():
                return self._read(now_ms)
            case ports.StoreReplied(call_id=call_id, result=result):
                if call_id == self.read_call:
                    return self._settle_read(result)
                if call_id in self.writes:
                    return self._settle_write(call_id, result, now_ms)
            case ports.ApiRequested(call_id=call_id, body=body):
                return self._answer(call_id, body, now_ms)
        return []

    def _key(self) -> str:
        return self.context.settings.store.prefix + "config/head"

    def _read(self, now_ms: int) -> list[ports.Command]:
        if now_ms < self.next_read_ms or self.read_call:
            return []
        self.next_read_ms = now_ms + self.context.settings.config.poll_period_ms
        self.read_call = self.context.next_call()
        self.read_sent_ms = now_ms
        read = ports.StoreRead(self._key(), self.head_version)
        return [ports.StoreCall(self.read_call, read)]

    def _settle_read(self, result: ports.StoreResult) -> list[ports.Command]:
        self.read_call = 0
        if not isinstance(result, ports.StoreEntries):
            return []
        for entry in result.entries:
            view = codec.decode(entry.value, ConfigView)
            self._adopt(view, entry.version)
        self.context.view_confirmed_ms = self.read_sent_ms
        return []

    def _adopt(self, view: ConfigView, head_version: int) -> None:
        if view.version >= self.context.view.version:
            self.context.view = view
            self.head_version = head_version

    def _answer(
        self, call_id: int, body: api.ApiBody, now_ms: int
    ) -> list[ports.Command]:
        view = self.context.view
        match body:
            case api.ShowConfig():
                age_ms = now_ms - self.context.view_confirmed_ms
                return [ports.ApiAnswer(call_id, api.ConfigShown(view, age_ms))]
            case api.ApplyTemplates():
                if body.base_version != view.version:
                    fault = api.Fault(
                        "conflict", Reason.TEMPLATE_CHANGED, f"now at {view.version}"
                    )
                    return [ports.ApiAnswer(call_id, fault)]
                named = {item.team for item in body.teams} | set(body.removed)
                kept = tuple(item for item in view.teams if item.team not in named)
                return self._write(call_id, evolve(view, teams=kept + body.teams))
            case api.SetZone(zone=zone, state=ZoneState() as state):
                kept_zones = tuple(item for item in view.zones if item.zone != zone)
                entry = ZoneEntry(zone, state, now_ms, body.operator)
                return self._write(call_id, evolve(view, zones=(*kept_zones, entry)))
        return []

    def _write(self, call_id: int, view: ConfigView) -> list[ports.Command]:
        view = evolve(view, version=self.context.view.version + 1)
        store_call = self.context.next_call()
        self.writes[store_call] = (call_id, view)
        value = codec.encode(view, ConfigView)
        write = ports.StoreWrite(self._key(), value, self.head_version)
        return [ports.StoreCall(store_call, write)]

    def _settle_write(
        self, store_call: int, result: ports.StoreResult, now_ms: int
    ) -> list[ports.Command]:
        call_id, view = self.writes.pop(store_call)
        match result:
            case ports.StoreWritten(applied=True, version=version):
                self._adopt(view, version)
                answer = api.ConfigChanged(view.version)
            case ports.StoreWritten():
                answer = api.Fault("conflict", Reason.TEMPLATE_CHANGED, "lost a race")
            case _:
                answer = api.Fault("outcome_unknown", Reason.STORE_DOWN)
        return [ports.ApiAnswer(call_id, answer)]
