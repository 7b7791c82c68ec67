"""Callers' requests to services, through a gateway's steps on the fake network."""

import itertools

from attrs import Factory, define, frozen

from poplarlb.protocol import api
from tests.harness.oracle import Violation
from tests.harness.world import World
from tests.standins.worker import HistoryRow

WORK_MS = 40
RETRY_MS = 700
TIMEOUT_MS = 8_000


@frozen
class Outcome:
    """What a caller was told in the end."""

    request_id: str
    key: str
    answer: str


@define
class Callers:
    """Sends requests and keeps what callers were told.

    A gateway that dies takes its steps with it; the caller then sends the same
    key again through another daemon, as one that lost its connection would.
    """

    world: World
    numbers: itertools.count = Factory(itertools.count)
    outcomes: list[Outcome] = Factory(list)
    overfull: list[Violation] = Factory(list)

    def send(
        self, daemon: str, team: str, service: str, key: str = "", tries: int = 1
    ) -> None:
        """Send one request; with a key it is sent again up to ``tries`` times."""
        request_id = f"r{next(self.numbers)}"
        request = _Request(self, daemon, team, service, key, request_id, tries)
        request.begin()

    def check(self) -> list[Violation]:
        """Return the requests that ran twice or found no free slot."""
        served: dict[str, int] = {}
        for row in self.world.history():
            if row.what == "served" and row.detail:
                served[row.detail] = served.get(row.detail, 0) + 1
        doubled = [
            Violation("non-idempotent requests run at most once", f"{key}: {count}")
            for key, count in served.items()
            if count > 1
        ]
        refused = {o.key for o in self.outcomes if o.key and o.answer == "not_run"}
        other = {o.key for o in self.outcomes if o.answer != "not_run"}
        untrue = [
            Violation("not run is true", key)
            for key in sorted(refused - other)
            if key in served
        ]
        return [*doubled, *untrue, *self.overfull]


@define
class _Request:
    callers: Callers
    daemon: str
    team: str
    service: str
    key: str
    request_id: str
    tries: int
    first: bool = True

    def begin(self) -> None:
        if not self.key:
            self._admit()
            return
        claim = api.BeginKey(
            self.team, self.service, self.key, self.request_id, b"d", self.first
        )
        self.callers.world.ask(self.daemon, claim, self._claimed)

    def _claimed(self, result: api.ApiResult) -> None:
        if isinstance(result, api.KeyClaimed):
            self._admit()
        elif isinstance(result, api.KeyAnswered):
            self._tell("answered")
        else:
            self._refused(result)

    def _admit(self) -> None:
        world = self.callers.world
        deadline_ms = world.now_ms + TIMEOUT_MS
        body = api.AdmitRequest(
            self.request_id,
            self.team,
            self.service,
            deadline_ms,
            not self.key,
            gateway=self.daemon,
        )
        world.ask(self.daemon, body, self._admitted)

    def _admitted(self, result: api.ApiResult) -> None:
        world = self.callers.world
        if not isinstance(result, api.Grant):
            self._finish_key(False)
            self._refused(result)
            return
        node = world.daemons[self.daemon].node
        delay_ms = world.chance.randint(1, 6)
        if world.now_ms >= result.use_before_ms:
            self._give_back(result, "unsent")
            return
        world.after(delay_ms, lambda: self._arrive(result, node))

    def _arrive(self, grant: api.Grant, node: object) -> None:
        world = self.callers.world
        model = world.workers[grant.worker_id]
        if model.faults.dead or not model.serves(self.service):
            world.after(5, lambda: self._if_same(node, grant, "unsent"))
            return
        if model.busy >= model.worker.slots:
            detail = f"{grant.worker_id} at {world.now_ms}"
            self.callers.overfull.append(Violation("slots are never exceeded", detail))
        model.busy += 1
        model.history.append(
            HistoryRow(
                world.now_ms, "served", self.service, 0, grant.worker_id, self.key
            )
        )
        work_ms = world.chance.randint(WORK_MS // 2, WORK_MS * 2)
        world.after(work_ms, lambda: self._served(grant, node, model))

    def _served(self, grant: api.Grant, node: object, model: object) -> None:
        model.busy = max(0, model.busy - 1)
        self._if_same(node, grant, "ok")

    def _if_same(self, node: object, grant: api.Grant, result: str) -> None:
        daemon = self.callers.world.daemons[self.daemon]
        if daemon.node is not node:
            self._retry("connection lost")
            return
        if result == "ok":
            self._finish(grant, "ok")
            self._finish_key(True)
            self._tell("ok")
            return
        self._give_back(grant, result)

    def _give_back(self, grant: api.Grant, result: str) -> None:
        self._finish(grant, result)
        self._finish_key(False)
        self._tell("not_run")

    def _finish(self, grant: api.Grant, result: str) -> None:
        body = api.FinishRequest(
            self.request_id, grant.shard, grant.worker_id, WORK_MS, result
        )
        self.callers.world.ask(self.daemon, body)

    def _finish_key(self, used: bool) -> None:
        if not self.key:
            return
        body = api.FinishKey(
            self.team, self.service, self.key, self.request_id, used, 200, (), b"ok"
        )
        self.callers.world.ask(self.daemon, body)

    def _refused(self, result: api.ApiResult) -> None:
        code = result.code if isinstance(result, api.Fault) else "unexpected"
        if code == "not_run":
            self._tell("not_run")
            return
        self._retry(code)

    def _retry(self, code: str) -> None:
        world = self.callers.world
        if not self.key or self.tries <= 1:
            self._tell(code)
            return
        self.tries -= 1
        self.first = False
        alive = [d.name for d in world.daemons.values() if d.alive]
        if alive:
            self.daemon = world.chance.choice(alive)
        self.request_id = f"{self.request_id}+"
        world.after(RETRY_MS, self.begin)

    def _tell(self, answer: str) -> None:
        self.callers.outcomes.append(Outcome(self.request_id, self.key, answer))
