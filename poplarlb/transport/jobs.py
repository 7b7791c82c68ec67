"""The callers' API for batch jobs: submit, show, cancel, list.

Inside the daemon a batch job of this API is one task; the jobs of steps in
``state.jobs`` are others.
"""

import cherrypy

from poplarlb.coordination.membership.sharding import ShardMap
from poplarlb.exceptions import (
    BadRequestError,
    MethodNotAllowedError,
    NotFoundError,
    NotRunError,
    RateLimitedError,
)
from poplarlb.protocol import api
from poplarlb.transport import views
from poplarlb.transport.bodies import BufferBudget, reserve_bytes
from poplarlb.transport.limit_reports import LimitReporter
from poplarlb.transport.operators import (
    BODY_LIMIT_BYTES,
    declared_length,
    json_body,
    read_json_object,
)
from poplarlb.transport.runtime import Runtime, now_ms

DEFAULT_LIST_LIMIT = 100
MAX_LIST_LIMIT = 1_000
BODIES_BYTES = 16 << 20  # of all jobs that are being read
ITEMS_LIMIT = 5_000  # in the JSON of one job


class JobRoutes:
    """Handles the paths under ``/v1/jobs``.

    :param runtime: answers the calls.
    :param reporter: reports the clients that exceed a limit.
    """

    def __init__(self, runtime: Runtime, reporter: LimitReporter) -> None:
        """Store the runtime and read the shards from its settings."""
        self.runtime = runtime
        self.reporter = reporter
        self.shards = ShardMap.from_settings(runtime.settings.shards)
        self.bodies = BufferBudget(BODIES_BYTES)

    def route(self, method: str, path: tuple[str, ...], query: dict) -> bytes:
        """Return the JSON response to the current request.

        :raises PoplarlbError: if the request is refused before it is executed.
        """
        match (method, *path):
            case ("PUT", team, job_id):
                return self._submit(team, job_id)
            case ("GET", team, job_id):
                return self._answer(api.ShowTask(views.parse_job_key(team, job_id)))
            case ("DELETE", team, job_id):
                return self._answer(api.CancelTask(views.parse_job_key(team, job_id)))
            case ("GET", team):
                return self._list(team, query)
            case (_, _, _) | (_, _):
                raise MethodNotAllowedError(f"{method} is not supported for jobs")
        raise NotFoundError("/v1/jobs/TEAM/ID or /v1/jobs/TEAM")

    def _submit(self, team: str, job_id: str) -> bytes:
        key = views.parse_job_key(team, job_id)
        view = self._view()
        length = declared_length()
        with reserve_bytes(self.bodies, length, BODY_LIMIT_BYTES) as reserved:
            if not reserved:
                self.reporter.report("job_bodies", "request refused")
                detail = "the memory for jobs that are being read is used up"
                raise RateLimitedError(detail)
            table = read_json_object(self.reporter, ITEMS_LIMIT)
            spec = views.parse_job(key, table, now_ms())
        if view.team(team) is None:
            raise NotFoundError(f"no team {team}")
        unknown = set(spec.zones) - set(self.runtime.settings.shards.zones)
        if unknown:
            raise BadRequestError(f"zones: unknown: {', '.join(sorted(unknown))}")
        return self._answer(api.SubmitTask(spec))

    def _view(self):
        if not self.runtime.started.is_set():
            raise NotRunError("the daemon is starting")
        view = self.runtime.node.context.view
        if view.version == 0:
            raise NotRunError("the configuration is not known yet")
        return view

    def _answer(self, body: api.ApiBody) -> bytes:
        result = self.runtime.ask(body)
        cherrypy.response.status = views.status_of(result)
        if isinstance(result, api.Fault) and result.retry_after_ms:
            seconds = -(-result.retry_after_ms // 1000)
            cherrypy.response.headers["Retry-After"] = str(seconds)
        return json_body(views.to_json(result))

    def _list(self, team: str, query: dict) -> bytes:
        """Merge a page of jobs from each shard; list the shards that did not answer."""
        after, limit = views.parse_page(query, DEFAULT_LIST_LIMIT, MAX_LIST_LIMIT)
        views.parse_job_key(team, "any")
        shards = self.shards.shards
        calls = [api.ListTasks(team, shard, after, limit) for shard in shards]
        results = dict(zip(shards, self.runtime.ask_all(calls), strict=True))
        pages = {s: r for s, r in results.items() if isinstance(r, api.TaskViews)}
        found = sorted(
            (task for page in pages.values() for task in page.tasks),
            key=lambda task: task.spec.key,
        )
        more = len(found) > limit or any(page.more for page in pages.values())
        shown = found[:limit]
        table = {
            "jobs": [views.to_json(task) for task in shown],
            "after": shown[-1].spec.key.task_id if more and shown else "",
            "more": more,
            "silent_shards": [shard for shard in shards if shard not in pages],
        }
        return json_body(table)
