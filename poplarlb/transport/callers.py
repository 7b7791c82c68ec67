"""The callers' HTTP server: routes for services, jobs, health and metrics.

Requests to services go to a separate WSGI application; CherryPy serves the rest.
"""

from collections.abc import Callable, Iterable

import cherrypy
from cherrypy.process.servers import ServerAdapter
from prometheus_client import CONTENT_TYPE_LATEST

from poplarlb.exceptions import NotFoundError, PoplarlbError, RateLimitedError
from poplarlb.transport import service_calls, tls
from poplarlb.transport.gateway import ServiceGateway
from poplarlb.transport.jobs import JobRoutes
from poplarlb.transport.limit_reports import LimitReporter
from poplarlb.transport.limits import BoundedServer, ServerLimits, limit_connections
from poplarlb.transport.operators import (
    CHERRYPY_CONFIG,
    OperatorRoutes,
    RateLimit,
    error_body,
)
from poplarlb.transport.runtime import Runtime, now_ms

QUERY_LIMIT = 4_096  # characters, but for services; decoded into an object a field


class CallerHandler:
    """The CherryPy request handlers of the callers' address.

    :param runtime: answers the calls.
    :param reporter: reports the clients that exceed a limit.
    """

    def __init__(self, runtime: Runtime, reporter: LimitReporter) -> None:
        """Create the routes for jobs, and for operators if they have no own address."""
        self.runtime = runtime
        self.jobs = JobRoutes(runtime, reporter)
        separate = runtime.settings.api.operator_listen
        self.operators = None if separate else OperatorRoutes(runtime, reporter)
        per_s = runtime.settings.api.requests_per_s
        self.rate_limit = RateLimit(per_s, per_s, per_s)

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Report that the process is alive."""
        return b"ok\n"

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Report whether load balancers may send requests to this daemon."""
        if not self.runtime.ready:
            cherrypy.response.status = 503
            return b"not ready\n"
        return b"ready\n"

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        cherrypy.response.headers["Content-Type"] = CONTENT_TYPE_LATEST
        return self.runtime.metrics.render()

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Handle every other path, in particular those under ``/v1``."""
        try:
            return self._route(path, query)
        except PoplarlbError as error:
            if isinstance(error, RateLimitedError):
                cherrypy.response.headers["Retry-After"] = "1"
            return error_body(error)

    def _route(self, path: tuple[str, ...], query: dict[str, str]) -> bytes:
        method = cherrypy.request.method
        if self.operators is not None and self.operators.handles(path):
            return self.operators.route(method, path)
        if not self.rate_limit.take(now_ms()):
            raise RateLimitedError("too many requests per second")
        if path[:2] == ("v1", "jobs"):
            return self.jobs.route(method, path[2:], query)
        raise NotFoundError("/".join(path))


def join_applications(
    services: ServiceGateway, others: cherrypy.Application, reporter: LimitReporter
) -> Callable:
    """Return a WSGI application that routes service paths to the gateway."""

    def application(environ: dict, start_response: Callable) -> Iterable[bytes]:
        if environ["PATH_INFO"].startswith(service_calls.PREFIX):
            return services(environ, start_response)
        if len(environ["QUERY_STRING"]) > QUERY_LIMIT:
            reporter.report("query", "request refused")
            start_response("414 URI Too Long", [("Content-Length", "0")])
            return []
        return others(environ, start_response)

    return application


class CallerServer:
    """Serves the callers' address without the main loop of CherryPy's engine.

    :param runtime: answers the calls.
    """

    def __init__(self, runtime: Runtime) -> None:
        """Bind the address, so that it is known before the server starts."""
        settings = runtime.settings.api
        host, _, port = settings.listen.rpartition(":")
        cherrypy.config.update(
            {
                "environment": "embedded",
                "log.screen": False,
                "request.show_tracebacks": False,
            }
        )
        reporter = LimitReporter(runtime.metrics)
        self.handler = CallerHandler(runtime, reporter)
        application = join_applications(
            ServiceGateway(runtime),
            cherrypy.Application(self.handler, "", CHERRYPY_CONFIG),
            reporter,
        )
        limits = ServerLimits(
            settings.threads,
            settings.header_limit_bytes,
            runtime.settings.requests.body_limit_bytes,
            limit_connections(settings.connections),
        )
        self.server = BoundedServer((host, int(port)), application, limits, reporter)
        self.server.ssl_adapter = tls.make_http_adapter(settings)
        self.server.prepare()
        self.adapter = ServerAdapter(cherrypy.engine, self.server)

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
