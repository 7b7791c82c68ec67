"""Simulates callers' requests to services, through the calls that a gateway makes."""

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
    """The final result of a request, as its caller saw it."""

    request_id: str
    key: str
    answer: str


@define
class Callers:
    """Sends requests and records their outcomes.

    When a gateway's daemon dies, the requests in progress there are lost. Their
    callers then send the same key again through another daemon, as a caller that
    lost its connection would.
    """

    world: World
    request_numbers: itertools.count = Factory(itertools.count)
    outcomes: list[Outcome] = Factory(list)
    slot_violations: list[Violation] = Factory(list)

    def send(
        self, daemon: str, team: str, service: str, key: str = "", tries: int = 1
    ) -> None:
        """Send one request; a request with a key is sent at most ``tries`` times."""
        request_id = f"r{next(self.request_numbers)}"
        request = _Request(self, daemon, team, service, key, request_id, tries)
        request.begin()

    def check(self) -> list[Violation]:
        """Return requests that ran twice, without a free slot or despite a refusal."""
        served: dict[str, int] = {}
        for row in self.world.history():
            if row.what == "served" and row.detail:
                served[row.detail] = served.get(row.detail, 0) + 1
        repeated_runs = [
            Violation("non-idempotent requests run at most once", f"{key}: {count}")
            for key, count in served.items()
            if count > 1
        ]
        refused = {o.key for o in self.outcomes if o.key and o.answer == "not_run"}
        other = {o.key for o in self.outcomes if o.answer != "not_run"}
        false_refusals = [
            Violation("work reported as not run never runs", key)
            for key in sorted(refused - other)
            if key in served
        ]
        return [*repeated_runs, *false_refusals, *self.slot_violations]


@define
class _Request:
    callers: Callers
    daemon: str
    team: str
    service: str
    key: str
    request_id: str
    tries: int
    first_sending: bool = True

    def begin(self) -> None:
        if not self.key:
            self._admit()
            return
        claim = api.BeginKey(
            self.team,
            self.service,
            self.key,
            self.request_id,
            b"d",
            self.first_sending,
        )
        self.callers.world.ask(self.daemon, claim, self._on_claim)

    def _on_claim(self, result: api.ApiResult) -> None:
        if isinstance(result, api.KeyClaimed):
            self._admit()
        elif isinstance(result, api.KeyAnswered):
            self._record_outcome("answered")
        else:
            self._on_refusal(result)

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
        world.ask(self.daemon, body, self._on_admission)

    def _on_admission(self, result: api.ApiResult) -> None:
        world = self.callers.world
        if not isinstance(result, api.Grant):
            self._finish_key(False)
            self._on_refusal(result)
            return
        node = world.daemons[self.daemon].node
        delay_ms = world.rng.randint(1, 6)
        if world.now_ms >= result.use_before_ms:
            self._return_grant(result, "unsent")
            return
        world.after(delay_ms, lambda: self._arrive_at_worker(result, node))

    def _arrive_at_worker(self, grant: api.Grant, node: object) -> None:
        world = self.callers.world
        model = world.workers[grant.worker_id]
        if model.faults.dead or not model.serves(self.service):
            world.after(5, lambda: self._complete(node, grant, "unsent"))
            return
        if model.busy >= model.worker.slots:
            detail = f"{grant.worker_id} at {world.now_ms}"
            self.callers.slot_violations.append(
                Violation("slots are never exceeded", detail)
            )
        model.busy += 1
        model.history.append(
            HistoryRow(
                world.now_ms, "served", self.service, 0, grant.worker_id, self.key
            )
        )
        work_ms = world.rng.randint(WORK_MS // 2, WORK_MS * 2)
        world.after(work_ms, lambda: self._on_served(grant, node, model))

    def _on_served(self, grant: api.Grant, node: object, model: object) -> None:
        model.busy = max(0, model.busy - 1)
        self._complete(node, grant, "ok")

    def _complete(self, node: object, grant: api.Grant, result: str) -> None:
        daemon = self.callers.world.daemons[self.daemon]
        if daemon.node is not node:
            self._retry("connection lost")
            return
        if result == "ok":
            self._finish(grant, "ok")
            self._finish_key(True)
            self._record_outcome("ok")
            return
        self._return_grant(grant, result)

    def _return_grant(self, grant: api.Grant, result: str) -> None:
        self._finish(grant, result)
        self._finish_key(False)
        self._record_outcome("not_run")

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

    def _on_refusal(self, result: api.ApiResult) -> None:
        code = result.code if isinstance(result, api.Fault) else "unexpected"
        if code == "not_run":
            self._record_outcome("not_run")
            return
        self._retry(code)

    def _retry(self, code: str) -> None:
        world = self.callers.world
        if not self.key or self.tries <= 1:
            self._record_outcome(code)
            return
        self.tries -= 1
        self.first_sending = False
        alive = [d.name for d in world.daemons.values() if d.alive]
        if alive:
            self.daemon = world.rng.choice(alive)
        self.request_id = f"{self.request_id}+"
        world.after(RETRY_MS, self.begin)

    def _record_outcome(self, answer: str) -> None:
        self.callers.outcomes.append(Outcome(self.request_id, self.key, answer))
