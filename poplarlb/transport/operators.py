"""The operators' HTTP API: configuration, zones, status and explanations.

An explanation lists the recorded decisions about a task, a request or a worker. The API
has its own address, or shares the callers' address if none is set.
"""

import hmac
import json
import re
import threading

import cattrs
import cherrypy
from attrs import Factory, define, frozen
from loguru import logger

from poplarlb.coordination.membership.sharding import ShardMap
from poplarlb.exceptions import (
    BadRequestError,
    NotFoundError,
    PoplarlbError,
    RateLimitedError,
    TooLargeError,
    UnauthorizedError,
)
from poplarlb.protocol import api, codec
from poplarlb.state.models import TaskKey, ZoneState
from poplarlb.templates import check_team
from poplarlb.transport import tls, views
from poplarlb.transport.limit_reports import LimitReporter
from poplarlb.transport.limits import BoundedServer, ServerLimits, limit_connections
from poplarlb.transport.runtime import Runtime, now_ms

BODY_LIMIT_BYTES = 1 << 20
# A body between the two limits gets a JSON error, a larger one the server's own text.
SERVER_BODY_LIMIT_BYTES = 4 << 20
ITEMS_LIMIT = 100_000  # in the JSON of one request
TEAMS_LIMIT = 500  # in one change
# CherryPy would decode forms of any size into one object for each field.
CHERRYPY_CONFIG = {"/": {"request.body.processors": {}}}
SUBJECT_LIMIT = 200  # characters
CALLS_PER_S = 100.0  # of all operators together
CALLS_BURST = 200.0
SERVER_THREADS = 8
CONNECTIONS_LIMIT = 50  # that wait for a thread
SHUTDOWN_TIMEOUT_S = 5.0
CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
OPERATOR_PATTERN = re.compile(r"[A-Za-z0-9._@+-]{1,64}")
OPERATOR_PATHS = frozenset({"config", "zones", "status", "explain"})

_CONVERTER = codec.make_converter(())


@frozen
class ZoneChange:
    """The body of a request that changes a zone."""

    state: ZoneState
    change_id: str
    operator: str


@define
class RateLimit:
    """A thread-safe token bucket, last refilled at ``refilled_ms``."""

    rate_per_s: float = CALLS_PER_S
    burst: float = CALLS_BURST
    tokens: float = CALLS_BURST
    refilled_ms: int = 0
    lock: threading.Lock = Factory(threading.Lock)

    def take(self, at_ms: int) -> bool:
        """Take a token; return whether one was available."""
        with self.lock:
            refill = max(0, at_ms - self.refilled_ms) * self.rate_per_s / 1000
            self.tokens = min(self.burst, self.tokens + refill)
            self.refilled_ms = max(self.refilled_ms, at_ms)
            if self.tokens < 1:
                return False
            self.tokens -= 1
            return True


class OperatorRoutes:
    """Handles the operators' paths under ``/v1``.

    :param runtime: answers the calls.
    :param reporter: reports the clients that exceed a limit.
    """

    def __init__(self, runtime: Runtime, reporter: LimitReporter) -> None:
        """Store the runtime, read the shards and create the rate limit."""
        self.runtime = runtime
        self.reporter = reporter
        self.shards = ShardMap.from_settings(runtime.settings.shards)
        self.rate_limit = RateLimit()

    def handles(self, path: tuple[str, ...]) -> bool:
        """Return whether a path is one of the operators' paths."""
        return len(path) > 1 and path[0] == "v1" and path[1] in OPERATOR_PATHS

    def route(self, method: str, path: tuple[str, ...]) -> bytes:
        """Return the JSON response to the current request.

        :raises PoplarlbError: if the request is refused before it is executed.
        """
        if not self.handles(path):
            raise NotFoundError(f"{method} /{'/'.join(path)}")
        self._authorize()
        if not self.rate_limit.take(now_ms()):
            raise RateLimitedError(f"more than {CALLS_PER_S:.0f} calls per second")
        match (method, *path[1:]):
            case ("GET", "config"):
                return self._answer(api.ShowConfig())
            case ("POST", "config"):
                return self._apply_templates()
            case ("GET", "zones"):
                return self._answer(api.ShowConfig())
            case ("PUT", "zones", zone):
                return self._set_zone(zone)
            case ("GET", "status"):
                return self._answer(api.ShowStatus())
            case ("GET", "explain", *subject) if subject:
                return self._explain("/".join(subject))
        raise NotFoundError(f"{method} /{'/'.join(path)}")

    def _authorize(self) -> None:
        secret = self.runtime.settings.api.operator_secret
        if not secret:
            return
        given = cherrypy.request.headers.get("Authorization", "")
        expected = f"Bearer {secret}"
        if not hmac.compare_digest(given.encode(), expected.encode()):
            raise UnauthorizedError("the operators' secret is missing or wrong")

    def _answer(self, body: api.ApiBody) -> bytes:
        result = self.runtime.ask(body)
        cherrypy.response.status = views.status_of(result)
        return json_body(views.to_json(result))

    def _apply_templates(self) -> bytes:
        table = read_json_object(self.reporter, ITEMS_LIMIT)
        change = structure(table, api.ApplyTemplates)
        check_change_ids(change.change_id, change.operator)
        if len(change.teams) > TEAMS_LIMIT:
            raise BadRequestError(f"a change may contain at most {TEAMS_LIMIT} teams")
        names = [team.team for team in change.teams]
        faults = [
            f"{team.team}: {fault}"
            for team in change.teams
            for fault in check_team(team, self.runtime.settings.shards.zones)
        ]
        faults += [f"{name}: named twice" for name in names if names.count(name) > 1]
        if faults:
            raise BadRequestError("\n".join(faults))
        summary = f"templates {', '.join(names)} removed {', '.join(change.removed)}"
        return self._execute_change(change, summary)

    def _set_zone(self, zone: str) -> bytes:
        table = read_json_object(self.reporter, ITEMS_LIMIT)
        zone_change = structure(table, ZoneChange)
        check_change_ids(zone_change.change_id, zone_change.operator)
        known = self.runtime.settings.shards.zones
        if zone not in known:
            raise NotFoundError(f"no zone {zone!r}; there are {', '.join(known)}")
        change = api.SetZone(
            zone_change.change_id, zone_change.operator, zone, zone_change.state
        )
        return self._execute_change(change, f"zone {zone} {zone_change.state.value}")

    def _execute_change(
        self, change: api.ApplyTemplates | api.SetZone, summary: str
    ) -> bytes:
        result = self.runtime.ask(change)
        outcome = result.code if isinstance(result, api.Fault) else "accepted"
        logger.bind(operator=change.operator, change_id=change.change_id).info(
            "operator {} change {}: {}: {}",
            change.operator,
            change.change_id,
            summary,
            outcome,
        )
        cherrypy.response.status = views.status_of(result)
        return json_body(views.to_json(result))

    def _explain(self, subject: str) -> bytes:
        if len(subject) > SUBJECT_LIMIT:
            raise TooLargeError(f"subject exceeds {SUBJECT_LIMIT} characters")
        task, shards = self._locate(subject)
        results = self.runtime.ask_all([api.Explain(subject, s) for s in shards])
        answers = dict(zip(shards, results, strict=True))
        decisions = [
            {"shard": shard, **_CONVERTER.unstructure(decision)}
            for shard, result in answers.items()
            if isinstance(result, api.Decisions)
            for decision in result.decisions
        ]
        unanswered = [s for s, r in answers.items() if not isinstance(r, api.Decisions)]
        return json_body(
            {
                "subject": subject,
                "task": views.to_json(task) if task else None,
                "decisions": sorted(decisions, key=lambda item: item["at_ms"]),
                "silent_shards": unanswered,
            }
        )

    def _locate(self, subject: str) -> tuple[api.TaskView | None, list[str]]:
        """Return a subject's task, if it is one, and the shards that may know of it."""
        match subject.split("/"):
            case ["job", team, task_id]:
                key = TaskKey(team, task_id)
                home = self.shards.home_of_task(key)
                task = self.runtime.ask(api.ShowTask(key))
                if not isinstance(task, api.TaskView):
                    return None, [home]
                placed = [attempt.shard for attempt in task.attempts]
                return task, list(dict.fromkeys([home, *placed]))
            case ["request", _] | ["worker", _]:
                return None, list(self.shards.shards)
        allowed = "job/TEAM/ID, request/ID or worker/ID"
        raise BadRequestError(f"{subject!r} is not a subject; allowed: {allowed}")


class OperatorHandler:
    """The CherryPy request handlers of the operators' own address.

    :param routes: handles the requests.
    """

    def __init__(self, routes: OperatorRoutes) -> None:
        """Store the routes."""
        self.routes = routes

    @cherrypy.expose
    def default(self, *path: str, **_query: str) -> bytes:
        """Handle a request to any path."""
        try:
            return self.routes.route(cherrypy.request.method, path)
        except PoplarlbError as error:
            return error_body(error)


class OperatorServer:
    """Serves the operators' address with CherryPy.

    :param runtime: answers the calls.
    """

    def __init__(self, runtime: Runtime) -> None:
        """Bind the address."""
        settings = runtime.settings.api
        host, _, port = settings.operator_listen.rpartition(":")
        reporter = LimitReporter(runtime.metrics)
        handler = OperatorHandler(OperatorRoutes(runtime, reporter))
        cherrypy.config.update({"environment": "embedded", "log.screen": False})
        application = cherrypy.Application(handler, "", CHERRYPY_CONFIG)
        limits = ServerLimits(
            SERVER_THREADS,
            settings.header_limit_bytes,
            SERVER_BODY_LIMIT_BYTES,
            limit_connections(CONNECTIONS_LIMIT),
        )
        self.server = BoundedServer((host, int(port)), application, limits, reporter)
        self.server.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        self.server.ssl_adapter = tls.make_http_adapter(settings)
        self.server.prepare()

    @property
    def address(self) -> str:
        """The bound address, as ``HOST:PORT``."""
        host, port = self.server.bind_addr[:2]
        return f"{host}:{port}"

    def serve(self) -> None:
        """Serve until stopped; blocks the calling thread."""
        self.server.watchdog.start()
        self.server.serve()

    def stop(self) -> None:
        """Stop accepting and wait for in-flight requests."""
        self.server.stop()
        self.server.watchdog.stop()


def check_change_ids(change_id: str, operator: str) -> None:
    """Check the change id and the operator's name of a change.

    :raises BadRequestError: if one has forbidden characters or a wrong length.
    """
    if not CHANGE_ID_PATTERN.fullmatch(change_id):
        raise BadRequestError(f"change_id: allowed: {CHANGE_ID_PATTERN.pattern}")
    if not OPERATOR_PATTERN.fullmatch(operator):
        raise BadRequestError(f"operator: allowed: {OPERATOR_PATTERN.pattern}")


def declared_length() -> int:
    """Return the length of the current request's body; -1 if it isn't declared."""
    text = cherrypy.request.headers.get("Content-Length", "")
    return int(text) if text.isdigit() else -1


def read_json_object(reporter: LimitReporter, items_limit: int) -> dict:
    """Return the JSON object in the body of the current request.

    :param reporter: reports a body with too many values.
    :param items_limit: the most values in it, as each takes far more than its text.
    :raises TooLargeError: if the body exceeds the limit.
    :raises BadRequestError: if the body is not a JSON object, or has too many values.
    """
    try:
        data = cherrypy.request.body.read(BODY_LIMIT_BYTES + 1)
    except cherrypy.HTTPError as error:
        raise TooLargeError(f"request body exceeds {BODY_LIMIT_BYTES} bytes") from error
    if len(data) > BODY_LIMIT_BYTES:
        raise TooLargeError(f"request body exceeds {BODY_LIMIT_BYTES} bytes")
    if sum(data.count(mark) for mark in (b"{", b"[", b",")) > items_limit:
        reporter.report("values", "request refused")
        raise BadRequestError(f"request body has more than {items_limit} values")
    try:
        table = json.loads(data)
        # A lone surrogate can be neither sent to another daemon nor stored.
        json.dumps(table, ensure_ascii=False).encode()
    except UnicodeEncodeError as error:
        raise BadRequestError("request body contains a lone surrogate") from error
    except (ValueError, RecursionError) as error:
        raise BadRequestError(f"request body is not JSON: {error}") from error
    if not isinstance(table, dict):
        raise BadRequestError("request body is not a JSON object")
    return table


def structure(table: dict, kind: type):
    """Return the instance of the class ``kind`` that a JSON object represents.

    :raises BadRequestError: if the object is invalid; the detail lists every fault.
    """
    try:
        return _CONVERTER.structure(table, kind)
    except Exception as error:
        faults = cattrs.transform_error(error)
        raise BadRequestError("; ".join(faults)) from error


def json_body(value: object) -> bytes:
    """Return the body of a JSON response and set its content type."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(value).encode() + b"\n"


def error_body(error: PoplarlbError) -> bytes:
    """Return the JSON body that reports an error and set the response's status."""
    cherrypy.response.status = error.http_status
    return json_body({"code": error.code, "detail": error.detail})
