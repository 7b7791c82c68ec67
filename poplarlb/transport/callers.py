"""The HTTP doors for callers and operators, served by CherryPy.

CherryPy's threads only parse, hand a typed call to the loop, and wait.
"""

import json
import socket

import cherrypy
import urllib3
from cherrypy.process.servers import ServerAdapter
from prometheus_client import CONTENT_TYPE_LATEST

from poplarlb.exceptions import BadRequestError, PoplarlbError
from poplarlb.protocol import api
from poplarlb.state.models import Resources, TaskKey, TaskSpec, WorkClass
from poplarlb.transport import tls, views
from poplarlb.transport.operators import OperatorRoutes
from poplarlb.transport.runtime import Runtime, now_ms


def bind(listen: str) -> socket.socket:
    """Return a listening socket bound to ``host:port``; port 0 picks a free one."""
    host, _, port = listen.rpartition(":")
    return socket.create_server((host, int(port)), backlog=256)


class Door:
    """The WSGI application behind the callers' and operators' address.

    :param runtime: answers the calls.
    """

    def __init__(self, runtime: Runtime) -> None:
        """Keep the runtime and open a pool towards endpoints."""
        self.runtime = runtime
        separate = runtime.settings.api.operator_listen
        self.operators = None if separate else OperatorRoutes(runtime)
        self.pool = urllib3.PoolManager(num_pools=2_000, maxsize=64, retries=False)

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Tell that the process runs."""
        return b"ok\n"

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Tell whether the balancer may send callers here."""
        if not self.runtime.started.is_set():
            cherrypy.response.status = 503
            return b"starting\n"
        return b"ready\n"

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics as Prometheus reads them."""
        cherrypy.response.headers["Content-Type"] = CONTENT_TYPE_LATEST
        return self.runtime.metrics.render()

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Route everything under ``/v1``."""
        try:
            return self._route(path, query)
        except PoplarlbError as error:
            cherrypy.response.status = error.http_status
            return _json({"code": error.code, "detail": error.detail})

    def _route(self, path: tuple[str, ...], query: dict[str, str]) -> bytes:
        method = cherrypy.request.method
        match (method, *path):
            case (_, "v1", "services", team, service, *rest):
                return self._serve(team, service, "/".join(rest))
            case ("PUT", "v1", "jobs", team, job_id):
                return self._submit(TaskKey(team, job_id))
            case ("GET", "v1", "jobs", team, job_id):
                return self._answer(api.ShowTask(TaskKey(team, job_id)))
            case ("DELETE", "v1", "jobs", team, job_id):
                return self._answer(api.CancelTask(TaskKey(team, job_id)))
        if self.operators is not None and self.operators.handles(path):
            return self.operators.route(method, path)
        cherrypy.response.status = 404
        return _json({"code": "not_found", "detail": "/".join(path)})

    def _body(self) -> dict:
        try:
            table = json.loads(cherrypy.request.body.read())
        except ValueError as error:
            raise BadRequestError(f"not JSON: {error}") from error
        if not isinstance(table, dict):
            raise BadRequestError("not a JSON object")
        return table

    def _submit(self, key: TaskKey) -> bytes:
        body = self._body()
        spec = TaskSpec(
            key,
            WorkClass(body.get("class", "ordinary")),
            Resources(**body.get("size", {})),
            body.get("run_time_ms", 0),
            payload=body.get("payload", "").encode(),
            submitted_ms=now_ms(),
        )
        return self._answer(api.SubmitTask(spec))

    def _answer(self, body: api.ApiBody) -> bytes:
        result = self.runtime.ask(body)
        cherrypy.response.status = views.status_of(result)
        return _json(views.to_json(result))

    def _serve(self, team: str, service: str, path: str) -> bytes:
        started_ms = now_ms()
        request_id = f"{self.runtime.settings.member_id}-{started_ms}"
        admit = api.AdmitRequest(request_id, team, service, started_ms + 10_000)
        grant = self.runtime.ask(admit)
        if not isinstance(grant, api.Grant):
            cherrypy.response.status = views.status_of(grant)
            return _json(views.to_json(grant))
        url = f"http://{grant.address}/service/{team}/{service}/{path}"
        body = cherrypy.request.body.read()
        answer = self.pool.request(cherrypy.request.method, url, body=body)
        finish = api.FinishRequest(
            request_id, grant.shard, grant.worker_id, now_ms() - started_ms, "ok"
        )
        self.runtime.ask(finish)
        cherrypy.response.status = answer.status
        cherrypy.response.headers["Content-Type"] = answer.headers.get(
            "Content-Type", "application/octet-stream"
        )
        return answer.data


def _json(value: object) -> bytes:
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(value).encode() + b"\n"


class CallerServer:
    """CherryPy on an address from the settings, without its global engine loop.

    :param runtime: answers the calls.
    """

    def __init__(self, runtime: Runtime) -> None:
        """Bind the address, so that it is known before anything starts."""
        settings = runtime.settings.api
        host, _, port = settings.listen.rpartition(":")
        cherrypy.config.update(
            {
                "environment": "embedded",
                "log.screen": False,
                "request.show_tracebacks": False,
                "server.max_request_body_size": (
                    runtime.settings.requests.body_limit_bytes
                ),
            }
        )
        application = cherrypy.tree.mount(Door(runtime), "/")
        from cheroot.wsgi import Server

        self.server = Server(
            (host, int(port)), application, numthreads=settings.threads
        )
        self.server.ssl_adapter = tls.make_http_adapter(settings)
        self.server.prepare()
        self.adapter = ServerAdapter(cherrypy.engine, self.server)

    @property
    def address(self) -> str:
        """The address that was bound."""
        host, port = self.server.bind_addr[:2]
        return f"{host}:{port}"

    def serve(self) -> None:
        """Serve until stopped; runs on a thread of its own."""
        self.server.serve()

    def stop(self) -> None:
        """Stop accepting and wait for requests in flight."""
        self.server.stop()
