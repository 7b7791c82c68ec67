"""A fake runtime that answers operators' calls from memory, behind an HTTP server."""

import threading

from attrs import Factory, define, evolve

from poplarlb.metrics import Metrics
from poplarlb.protocol import api
from poplarlb.settings import ApiSettings, Settings, ShardSettings
from poplarlb.state.models import (
    Alternative,
    Attempt,
    Decision,
    Reason,
    Resources,
    TaskSpec,
    WorkClass,
)
from poplarlb.state.templates import ConfigView, ZoneEntry
from poplarlb.transport.operators import OperatorServer

ZONES = ("kochi", "thrissur", "kozhikode", "kollam")
SECRET = "s3cret-for-operators"


def make_settings(secret: str = SECRET) -> Settings:
    """Return settings with a separate operators' address."""
    api_settings = ApiSettings(operator_listen="127.0.0.1:0", operator_secret=secret)
    return Settings("d1", "kochi", shards=ShardSettings(ZONES), api=api_settings)


@define
class FakeRuntime:
    """Stores a view and the requested changes; ``fault``, if set, refuses them."""

    settings: Settings = Factory(make_settings)
    view: ConfigView = ConfigView()
    asked: list[api.ApiBody] = Factory(list)
    fault: api.Fault | None = None
    lagging: int = 0
    metrics: Metrics = Factory(Metrics)

    def ask_all(self, bodies: list[api.ApiBody]) -> list[api.ApiResult]:
        """Answer several calls."""
        return [self.ask(body) for body in bodies]

    def ask(self, body: api.ApiBody) -> api.ApiResult:
        """Answer one call."""
        match body:
            case api.ShowConfig():
                return api.ConfigShown(self.view, 100)
            case api.ShowStatus():
                return self._status()
            case api.ShowTask(key=key):
                attempt = Attempt(1, "kollam/0", "kollam-w1", 3, Resources(1), 0, 5)
                spec = TaskSpec(key, WorkClass.PATIENT, Resources(1_000, 64))
                running = evolve(attempt, running=True)
                return api.TaskView(spec, "running", "kochi/0", (running,))
            case api.Explain(shard=shard):
                return self._explain(body) if shard != "thrissur/0" else _UNANSWERED
        self.asked.append(body)
        return self.fault or self._change(body)

    def _status(self) -> api.Status:
        peer = api.MemberStatus(
            "d2", "kollam", "127.0.0.1:1", True, self.view.version - self.lagging
        )
        wait_decision = Decision("job/dairy/big", "wait", Reason.QUOTA_EXCEEDED, 1)
        shard = api.ShardStatus(
            "kochi/0",
            "d1",
            4,
            "open",
            3,
            2,
            (("patient", 1),),
            ("kochi-w2",),
            (wait_decision,),
        )
        zones = tuple((zone, "in") for zone in ZONES)
        return api.Status("d1", self.view.version, 90, (peer,), (shard,), zones)

    def _explain(self, body: api.Explain) -> api.Decisions:
        if body.shard != "kollam/0":
            return api.Decisions(())
        alternatives = (
            Alternative("kollam-w1", 0.25),
            Alternative("kollam-w2", 0.0, Reason.WORKER_QUARANTINED),
        )
        decision = Decision(
            body.subject,
            "place",
            Reason.BEST_COST,
            1_000,
            3,
            7,
            "kollam-w1",
            "",
            alternatives,
        )
        return api.Decisions((decision,))

    def _change(self, body: api.ApiBody) -> api.ConfigChanged:
        view = evolve(self.view, version=self.view.version + 1)
        match body:
            case api.ApplyTemplates(teams=teams, removed=removed):
                changed_teams = {team.team for team in teams} | set(removed)
                unchanged = tuple(t for t in view.teams if t.team not in changed_teams)
                view = evolve(view, teams=unchanged + teams)
            case api.SetZone(zone=zone, state=state):
                entry = ZoneEntry(zone, state, 1_000, body.operator)
                view = evolve(view, zones=(entry,))
        self.view = view
        return api.ConfigChanged(view.version)


_UNANSWERED = api.Fault("not_run", Reason.NO_OWNER)


def serve(runtime: FakeRuntime) -> OperatorServer:
    """Start the operators' server on its own thread."""
    server = OperatorServer(runtime)
    threading.Thread(target=server.serve, daemon=True).start()
    return server
