"""The daemon process that the platform runs on each of its machines."""

import asyncio
import gc
import os
import pathlib
import signal
import sys

from attrs import define, field

from poplarlb.coordination.jobs import events
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.event_log import EventLog
from poplarlb.exceptions import SettingsError
from poplarlb.platform.advice import PlatformAdvice
from poplarlb.platform.job_api import KEPT_HEADERS, JobApi
from poplarlb.platform.operator import (
    OPERATOR_PREFIX,
    OperatorView,
    PlatformWorkerDirectory,
    operator_keys,
)
from poplarlb.platform.settings import (
    DaemonSettings,
    load_settings,
    settings_path,
)
from poplarlb.platform.store import PlatformStore
from poplarlb.platform.workers import PlatformWorkers
from poplarlb.state.jobs import ConfigStamp
from poplarlb.transport.client_budget import (
    ClientBudget,
    ClientHolding,
    ClientLimits,
)
from poplarlb.transport.clock import boottime_ms, utc_ms
from poplarlb.transport.committer import Committer
from poplarlb.transport.http_client import HttpClient
from poplarlb.transport.http_server import (
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from poplarlb.transport.job_gateway import JobGateway
from poplarlb.transport.job_owner import JobOwner
from poplarlb.transport.ownership_loop import OwnershipLoop
from poplarlb.transport.prefix_watcher import PrefixWatcher, WatchSettings

METRICS_PATH = "/metrics"
READY_PATH = "/v1/readyz"
OPERATOR_WATCH_WAIT_MS = 2_000
# Of the time within which a change must be in force: from one listing of the operator's
# entries to the next, and the longest wait for one. Together they leave a quarter of it
# for the listing that finds the change.
LIST_PERIOD_SHARE = 0.35
LIST_TIMEOUT_SHARE = 0.4
# How much younger than the time within which a change must be in force a view has to be
# for a request to be answered, and for a run to be started by a call to a worker.
VIEW_AGE_MARGIN_MS = 200
START_MARGIN_MS = 500
REFRESH_TIMEOUT_S = 0.25  # a request waits this long for a new listing; usually 4 ms
SETTINGS_CHECK_PERIOD_S = 1.0  # the settings file may change without a signal
LOG_FLUSH_PERIOD_S = 0.1
STOP_MARGIN_MS = 1_500  # at the end of the grace period, for closing connections
DRAIN_POLL_PERIOD_S = 0.05


@define(eq=False)
class PlatformDaemon:
    """Connects the job API and the job owner to the platform and runs until stopped.

    ``path`` is that of the settings file. ``operator_watcher`` delivers the operator's
    entries to ``operator``.
    """

    settings: DaemonSettings
    path: pathlib.Path
    log: EventLog
    client: HttpClient = field(factory=HttpClient)
    store: PlatformStore = None
    operator: OperatorView = None
    operator_watcher: PrefixWatcher = None
    job_api: JobApi = None
    job_api_server: HttpServer = None
    servers: list[HttpServer] = field(factory=list)  # includes job_api_server
    client_budget: ClientBudget = None  # of all servers
    advice: PlatformAdvice = None
    ownership: OwnershipLoop = None
    stopped: asyncio.Event = field(factory=asyncio.Event)
    stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the store, the operator's view, the job API and the ownership loop."""
        settings = self.settings
        self.client_budget = ClientBudget(
            ClientLimits.for_machine(settings.memory_mb, settings.descriptors),
            self._log_shed_clients,
        )
        self.store = PlatformStore(
            self.client,
            settings.store_address,
            on_lost=lambda error: self.log.write("store_lost", error=error),
            on_regained=self._on_store_regained,
        )
        self.advice = PlatformAdvice(self.client, settings.advice_address)
        self.operator = OperatorView(self.log, self._on_operator_event)
        self.operator_watcher = PrefixWatcher(
            self.store,
            operator_watch(settings),
            self.operator.on_change,
            self._on_operator_view_confirmed,
            self.log,
        )
        gateway = JobGateway(self.store, self.log, utc_ms)
        self.job_api = JobApi(gateway, self.log, self.confirm_config, self.stamp_config)
        self.ownership = OwnershipLoop(
            self.store,
            settings.daemon_id,
            settings.processors,
            self._load_owner,
            self.log,
        )

    async def run(self) -> None:
        """Serve until stopped."""
        settings = self.settings
        self.job_api_server = await self._serve(
            self.job_api.handle, settings.listen.front
        )
        self.job_api_server.answer_rejection = self.job_api.reject
        await self._serve(self._answer_ready, settings.listen.ready)
        if settings.listen.metrics:
            await self._serve(self._answer_metrics, settings.listen.metrics)
        self._add_gauges()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.log.write("started", zone=settings.zone, front=settings.listen.front)
        tasks = [
            asyncio.ensure_future(work)
            for work in (
                self.operator_watcher.run(),
                self.ownership.run(),
                self._flush_logs(),
                self._watch_settings(),
            )
        ]
        for task in tasks:
            task.add_done_callback(self._on_task_done)
        try:
            await self.stopped.wait()
        finally:
            for task in tasks:
                task.cancel()
        self.log.write("stopped")
        self.log.flush()

    async def _serve(self, handler: Handler, address: str) -> HttpServer:
        server = HttpServer(
            handler,
            budget=self.client_budget,
            kept_headers=KEPT_HEADERS,
            on_limit=lambda limit: self.log.write("client_limit_exceeded", limit=limit),
        )
        await server.start(address)
        self.servers.append(server)
        return server

    def _log_shed_clients(self, limit: str, shed: list[ClientHolding]) -> None:
        budget, now_s = self.client_budget, asyncio.get_running_loop().time()
        self.log.write(
            "clients_shed",
            limit=limit,
            count=len(shed),
            freed_bytes=sum(item.droppable_bytes for item in shed),
            longest_s=round(now_s - min(item.since_s for item in shed), 3),
            used_bytes=budget.used_bytes,
            connections=len(budget.holdings),
            requests=budget.handled,
        )

    # --- owner ------------------------------------------------------------------------

    async def _load_owner(self, committer: Committer) -> JobOwner:
        owner = await JobOwner.load(
            self.store,
            PlatformWorkers(self.client),
            self.advice,
            PlatformWorkerDirectory(self.log),
            committer,
            build_policy(self.settings),
            self.operator_watcher.view,
            self.log,
        )
        if self.operator.is_config_known:
            owner.feed(events.ConfigChanged(self.operator.config))
        owner.feed(events.ZonesOut(frozenset(self.operator.zones_out)))
        return owner

    def _on_store_regained(self) -> None:
        self.log.write("store_regained")
        self.operator_watcher.list_due.set()

    def _on_operator_view_confirmed(self) -> None:
        if self.ownership.owner is not None:
            self.ownership.owner.handle_view_confirmed()

    def _on_operator_event(self, event: events.Event) -> None:
        if isinstance(event, events.ConfigChanged):
            self.job_api.config = event.config
            limits = event.config.limits
            self.job_api_server.limits = HttpLimits(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_ms / 1000,
                limits.idle_ms / 1000,
            )
        if self.ownership.owner is not None:
            self.ownership.owner.feed(event)

    # --- readiness --------------------------------------------------------------------

    def is_ready(self) -> bool:
        """Return whether this daemon is ready for new connections."""
        return not self.stopping and not self.store.is_down and self.is_config_current()

    def is_config_current(self) -> bool:
        """Return whether every change that must be in force is known here."""
        max_age_ms = self.settings.bounds.config_ms - VIEW_AGE_MARGIN_MS
        return self.operator.is_config_known and self.view_age_ms() <= max_age_ms

    async def confirm_config(self) -> None:
        """List the operator's entries if the configuration is too old to decide by.

        Does nothing if there is none, or if the store is known to be down.
        """
        if not self.operator.is_config_known or self.store.is_down:
            return
        if not self.is_config_current():
            await self.operator_watcher.refresh(REFRESH_TIMEOUT_S)

    async def _answer_ready(self, request: HttpRequest) -> HttpResponse:
        if request.path != READY_PATH:
            return HttpResponse(404)
        return HttpResponse(200 if self.is_ready() else 503)

    # --- metrics ----------------------------------------------------------------------

    async def _answer_metrics(self, request: HttpRequest) -> HttpResponse:
        if request.path != METRICS_PATH:
            return HttpResponse(404)
        text = self.log.metrics.text()
        return HttpResponse(200, text, content_type="text/plain; version=0.0.4")

    def _add_gauges(self) -> None:
        add = self.log.metrics.add_gauge
        add("ready", "Whether new connections may come here.", self.is_ready)
        add("owns_jobs", "Whether this daemon owns the jobs.", self.owns_jobs)
        add("takeovers", "Ownerships begun here.", lambda: self.ownership.takeovers)
        add("config_version", "Version of the configuration.", self.config_version)
        add(
            "view_age_seconds",
            "Since when the store has confirmed nothing.",
            lambda: self.view_age_ms() / 1000,
        )
        add(
            "config_revision",
            "The store's revision of the configuration in force.",
            lambda: self.operator.config_revision,
        )
        add("store_calls", "Calls to the store.", lambda: self.store.calls)
        add("store_failures", "Failed calls to it.", lambda: self.store.failures)
        budget = self.client_budget
        add(
            "client_connections", "Open connections of clients.",
            lambda: len(budget.holdings),
        )  # fmt: skip
        add("client_bytes", "Held for clients.", lambda: budget.used_bytes)
        add("connects", "Connections opened.", lambda: self.client.connects)

    def owns_jobs(self) -> bool:
        """Return whether this daemon owns the jobs."""
        return self.ownership.owner is not None

    def config_version(self) -> int:
        """Return the version of the configuration in force here; 0 for none."""
        config = self.operator.config
        return config.version if config else 0

    def view_age_ms(self) -> int:
        """Return the age of the view of the operator's entries.

        Before the first listing that is the time since the machine started.
        """
        now_ms = boottime_ms()
        age_ms = self.operator_watcher.view.age_ms(now_ms)
        return now_ms if age_ms is None else age_ms

    def stamp_config(self) -> ConfigStamp:
        """Return what is known now of the configuration in force here."""
        return ConfigStamp(
            self.config_version(),
            self.operator.config_revision,
            self.view_age_ms(),
            self.is_config_current(),
        )

    # --- shutdown and reload ----------------------------------------------------------

    def _begin_stop(self) -> None:
        if not self.stopping:
            self.stopping = True
            self.log.write("stop_requested")
            asyncio.ensure_future(self._stop())

    async def _stop(self) -> None:
        """Hand over ownership, serve for most of the grace period, and stop."""
        loop = asyncio.get_running_loop()
        bounds = self.settings.bounds
        until_s = loop.time() + (bounds.grace_ms - STOP_MARGIN_MS) / 1000
        server = self.job_api_server
        server.drain()
        await self.ownership.stop()
        # Existing connections stay open, and new ones come until the platform has seen
        # that the daemon isn't ready, so it serves for the whole grace period.
        while loop.time() < until_s:
            await asyncio.sleep(DRAIN_POLL_PERIOD_S)
        server.close()
        while server.active_requests and loop.time() < until_s + STOP_MARGIN_MS / 2000:
            await asyncio.sleep(DRAIN_POLL_PERIOD_S)
        self.stopped.set()

    def _on_task_done(self, task: asyncio.Task) -> None:
        """Stop the daemon if one of its background tasks has ended by itself."""
        if task.cancelled() or self.stopped.is_set():
            return
        self.log.write("part_failed", error=repr(task.exception()))
        self.stopped.set()

    def _reload(self) -> None:
        """Read the settings again.

        The addresses of the store and of the advice service and the bound on the
        configuration apply at once, other bounds from the next ownership on.
        """
        try:
            settings = load_settings(self.path)
        except SettingsError as error:
            self.log.write("settings_refused", error=error.detail)
            return
        if settings == self.settings:
            return
        self.log.write("settings_changed")
        self.settings = settings
        self.store.address = settings.store_address
        self.advice.address = settings.advice_address
        self.operator_watcher.settings = operator_watch(settings)

    async def _watch_settings(self) -> None:
        known = read_file_version(self.path)
        while True:
            await asyncio.sleep(SETTINGS_CHECK_PERIOD_S)
            version = read_file_version(self.path)
            if version != known:
                known = version
                self._reload()

    async def _flush_logs(self) -> None:
        while True:
            self.log.flush()
            await asyncio.sleep(LOG_FLUSH_PERIOD_S)


def read_file_version(path: pathlib.Path) -> tuple[int, int] | None:
    """Return a file's modification time and size; None if it can't be read."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


def build_policy(settings: DaemonSettings) -> JobPolicy:
    """Return the job policy within the deployment's bounds."""
    bounds = settings.bounds
    default = JobPolicy()
    return JobPolicy(
        lease_limit_ms=bounds.lease_limit_ms,
        lease_ms=min(default.lease_ms, bounds.lease_limit_ms),
        stop_ms=bounds.stop_ms,
        retention_ms=bounds.status_ms,
        harm_ms=bounds.harm_ms,
        far_factor=bounds.far_factor,
        record_limit_bytes=settings.value_bytes,
        max_view_age_ms=max(
            0, min(bounds.drain_ms, bounds.config_ms) - START_MARGIN_MS
        ),
    )


def operator_watch(settings: DaemonSettings) -> WatchSettings:
    """Return how the operator's entries are watched, within the deployment's bound."""
    bound_s = settings.bounds.config_ms / 1000
    return WatchSettings(
        source="operator",
        prefix=OPERATOR_PREFIX,
        wait_ms=OPERATOR_WATCH_WAIT_MS,
        list_period_s=LIST_PERIOD_SHARE * bound_s,
        list_timeout_s=LIST_TIMEOUT_SHARE * bound_s,
        compared_keys=operator_keys(settings.zones),
    )


def main() -> None:
    """Run one daemon; exit with 2 if its settings are invalid."""
    path = settings_path()
    try:
        settings = load_settings(path)
    except SettingsError as error:
        print(f"poplarlb: {error.detail}", file=sys.stderr)
        sys.exit(2)
    gc.set_threshold(50_000, 20, 50)  # cycles are few; a full collection takes 10 ms
    os.set_blocking(sys.stdout.fileno(), False)
    log = EventLog(settings.daemon_id, lambda: (boottime_ms(), utc_ms()))
    asyncio.run(PlatformDaemon(settings, path, log).run())
