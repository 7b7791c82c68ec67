"""The process that the platform runs on each of its machines."""

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
from poplarlb.exceptions import PoplarlbError, SettingsError
from poplarlb.platform.advice import PlatformAdvice
from poplarlb.platform.front import Front
from poplarlb.platform.operator import OPERATOR, Directory, OperatorView
from poplarlb.platform.settings import (
    DeploymentSettings,
    load_settings,
    settings_path,
)
from poplarlb.platform.store import PlatformStore
from poplarlb.platform.workers import PlatformWorkers
from poplarlb.transport.committer import Committer
from poplarlb.transport.http_client import HttpClient
from poplarlb.transport.http_server import (
    Handler,
    HttpLimits,
    HttpReply,
    HttpRequest,
    HttpServer,
)
from poplarlb.transport.job_gateway import JobGateway
from poplarlb.transport.job_owner import JobOwner, steady_ms, utc_ms
from poplarlb.transport.ownership_loop import OwnershipLoop
from poplarlb.transport.prefix_watcher import PrefixWatcher

METRICS_PATH = "/metrics"
READY_PATH = "/v1/readyz"
WATCH_WAIT_MS = 1_000  # a change must be in force within 2 s
VIEW_LIMIT_MS = 2_500  # an older view of the configuration makes the daemon not ready
SETTINGS_PERIOD_S = 1.0  # the settings file may change without a signal
LOG_FLUSH_S = 0.1
STOP_MARGIN_MS = 1_500  # of the grace, for closing what is open
DRAIN_STEP_S = 0.05


@define(eq=False)
class PlatformDaemon:
    """Wires the product to the platform and runs until it is told to stop."""

    settings: DeploymentSettings
    path: pathlib.Path
    log: EventLog
    client: HttpClient = field(factory=HttpClient)
    store: PlatformStore = None
    operator: OperatorView = None
    front: Front = None
    front_server: HttpServer = None
    servers: list[HttpServer] = field(factory=list)  # with the front's
    ownership: OwnershipLoop = None
    view_ms: int = 0
    stopped: asyncio.Event = field(factory=asyncio.Event)
    stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Build the parts."""
        settings = self.settings
        self.store = PlatformStore(
            self.client,
            settings.store_address,
            on_lost=lambda error: self.log.write("store_lost", error=error),
            on_regained=lambda: self.log.write("store_regained"),
        )
        self.operator = OperatorView(self.log, self._take_operator_event)
        self.front = Front(JobGateway(self.store, self.log, utc_ms), self.log)
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
        self.front_server = await self._serve(self.front.handle, settings.listen.front)
        await self._serve(self._answer_ready, settings.listen.ready)
        if settings.listen.metrics:
            await self._serve(self._answer_metrics, settings.listen.metrics)
        self._add_gauges()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.log.write("started", zone=settings.zone, front=settings.listen.front)
        watcher = PrefixWatcher(
            self.store,
            OPERATOR,
            WATCH_WAIT_MS,
            self.operator.take,
            self._confirm_view,
            self._view_trouble,
        )
        tasks = [
            asyncio.ensure_future(work)
            for work in (
                watcher.run(),
                self.ownership.run(),
                self._flush_logs(),
                self._follow_settings(),
            )
        ]
        for task in tasks:
            task.add_done_callback(self._part_ended)
        try:
            await self.stopped.wait()
        finally:
            for task in tasks:
                task.cancel()
        self.log.write("stopped")
        self.log.flush()

    async def _serve(self, handler: Handler, address: str) -> HttpServer:
        server = HttpServer(handler)
        await server.start(address)
        self.servers.append(server)
        return server

    # --- owner ------------------------------------------------------------------------

    async def _load_owner(self, committer: Committer) -> JobOwner:
        owner = await JobOwner.load(
            self.store,
            PlatformWorkers(self.client),
            PlatformAdvice(self.client, self.settings.advice_address),
            Directory(),
            committer,
            build_policy(self.settings),
            self.log,
        )
        if self.operator.config is not None:
            owner.feed(events.ConfigChanged(self.operator.config))
        owner.feed(events.ZonesOut(frozenset(self.operator.zones_out)))
        return owner

    def _take_operator_event(self, event: events.Event) -> None:
        if isinstance(event, events.ConfigChanged):
            self.front.config = event.config
            limits = event.config.limits
            self.front_server.limits = HttpLimits(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_ms / 1000,
                limits.idle_ms / 1000,
            )
        if self.ownership.owner is not None:
            self.ownership.owner.feed(event)

    # --- readiness --------------------------------------------------------------------

    def _confirm_view(self) -> None:
        self.view_ms = steady_ms()

    def _view_trouble(self, error: PoplarlbError) -> None:
        self.log.write("watch_failed", source="operator", error=error.detail)

    def is_ready(self) -> bool:
        """Tell whether new connections may come here."""
        return (
            not self.stopping
            and not self.store.is_down
            and self.operator.config is not None
            and steady_ms() - self.view_ms <= VIEW_LIMIT_MS
        )

    async def _answer_ready(self, request: HttpRequest) -> HttpReply:
        if request.path != READY_PATH:
            return HttpReply(404)
        return HttpReply(200 if self.is_ready() else 503)

    # --- metrics ----------------------------------------------------------------------

    async def _answer_metrics(self, request: HttpRequest) -> HttpReply:
        if request.path != METRICS_PATH:
            return HttpReply(404)
        text = self.log.metrics.text()
        return HttpReply(200, text, content_type="text/plain; version=0.0.4")

    def _add_gauges(self) -> None:
        add = self.log.metrics.add_gauge
        add("ready", "Whether new connections may come here.", self.is_ready)
        add("owns_jobs", "Whether this daemon owns the jobs.", self.owns_jobs)
        add("takeovers", "Ownerships begun here.", lambda: self.ownership.takeovers)
        add("config_version", "Version of the configuration.", self.config_version)
        add(
            "view_age_seconds",
            "Since when the store has confirmed nothing.",
            lambda: (steady_ms() - self.view_ms) / 1000,
        )
        add("store_calls", "Calls to the store.", lambda: self.store.calls)
        add("store_failures", "Failed calls to it.", lambda: self.store.failures)
        add("connects", "Connections opened.", lambda: self.client.connects)

    def owns_jobs(self) -> bool:
        """Tell whether this daemon is the owner."""
        return self.ownership.owner is not None

    def config_version(self) -> int:
        """Return the version in force here; 0 for none."""
        config = self.operator.config
        return config.version if config else 0

    # --- life -------------------------------------------------------------------------

    def _begin_stop(self) -> None:
        if not self.stopping:
            self.stopping = True
            self.log.write("stop_requested")
            asyncio.ensure_future(self._stop())

    async def _stop(self) -> None:
        """Hand over, answer what is open, and end within the grace."""
        loop = asyncio.get_running_loop()
        bounds = self.settings.bounds
        until_s = loop.time() + (bounds.grace_ms - STOP_MARGIN_MS) / 1000
        front = self.front_server
        front.drain()
        await self.ownership.stop()
        # Connections stay with this daemon and new ones come until the platform has
        # seen it not ready, so it serves for the whole grace.
        while loop.time() < until_s:
            await asyncio.sleep(DRAIN_STEP_S)
        front.close()
        while front.busy and loop.time() < until_s + STOP_MARGIN_MS / 2000:
            await asyncio.sleep(DRAIN_STEP_S)
        self.stopped.set()

    def _part_ended(self, task: asyncio.Task) -> None:
        if task.cancelled() or self.stopped.is_set():
            return
        self.log.write("part_failed", error=repr(task.exception()))
        self.stopped.set()

    def _reload(self) -> None:
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

    async def _follow_settings(self) -> None:
        seen = read_stamp(self.path)
        while True:
            await asyncio.sleep(SETTINGS_PERIOD_S)
            stamp = read_stamp(self.path)
            if stamp != seen:
                seen = stamp
                self._reload()

    async def _flush_logs(self) -> None:
        while True:
            self.log.flush()
            await asyncio.sleep(LOG_FLUSH_S)


def read_stamp(path: pathlib.Path) -> tuple[int, int] | None:
    """Return what changes when a file does; None if there is no file."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


def build_policy(settings: DeploymentSettings) -> JobPolicy:
    """Return the product's policy under the deployment's bounds."""
    bounds = settings.bounds
    default = JobPolicy()
    return JobPolicy(
        lease_limit_ms=bounds.lease_limit_ms,
        lease_ms=min(default.lease_ms, bounds.lease_limit_ms),
        stop_ms=bounds.stop_ms,
        retention_ms=bounds.status_ms,
        harm_ms=bounds.harm_ms,
        far_factor=bounds.far_factor,
    )


def main() -> None:
    """Run one daemon; exit 2 if its settings are faulty."""
    path = settings_path()
    try:
        settings = load_settings(path)
    except SettingsError as error:
        print(f"poplarlb: {error.detail}", file=sys.stderr)
        sys.exit(2)
    gc.set_threshold(50_000, 20, 50)  # few cycles are made; a full pass takes 10 ms
    os.set_blocking(sys.stdout.fileno(), False)
    log = EventLog(settings.daemon_id, lambda: (steady_ms(), utc_ms()))
    asyncio.run(PlatformDaemon(settings, path, log).run())
