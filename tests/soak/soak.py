"""One soak seed: a deployment, a random sequence of faults, then recovery."""

import asyncio
import base64
import json
import pathlib
import random
import signal

from attrs import Factory, define

from poplarlb.state.models import Resources
from tests.coordination.jobs.fake_worker import CLOCKS_MS, FakeWorker, draw_clock_ms
from tests.platform.deployment import CONFIG, free_address
from tests.soak.daemons import DaemonProcess
from tests.soak.invariants import InvariantChecker
from tests.soak.link import Link
from tests.soak.submitters import Submitters
from tests.standins.unseen_workers import UnseenWorkers
from tests.standins.users_platform import RESTART_STEP, CrashSettings, StoreService

WORKERS = 4
ZONES = ("z1", "z2")
FAULT_PHASE_S = 20.0
SUBMIT_PERIOD_S = 0.25
RECOVERY_LIMIT_S = 45.0  # leases, late starts and retries end within this time
CHECK_PERIOD_S = 0.02
LINK_CLOSE_S = 0.6  # stalled and delayed forwarding ends within this time
START_TIMEOUT_S = 20.0
FAULT_COUNT = 14
WATCH_FAULT_GAP_S = (0.5, 3.0)
WATCH_FAULT_S = (0.5, 4.0)
RESIZE_GAP_S = (0.3, 2.5)
CAPACITY_SHARES = (0.1, 0.3, 0.6, 1.0)
RESTART_GAP_S = (1.0, 5.0)  # between series of unseen restarts
RESTART_COUNTS = (1, 1, 2)  # of one series
MAX_RESTARTED = 2  # workers at once, so that the others go on
KILL_SHARE = 0.3  # of the cuts, those during which the owner is killed
CUT_AFTER_S = (0.1, 4.0)  # after an unseen restart its worker is cut off
CUT_S = (1.0, 3.0, 12.0)  # calls are carried out at most 12 s late
KILL_AFTER_S = (0.5, 4.0)  # after the cut the owner is killed
IDLE_WAIT_S = 3.0  # for a worker that isn't polled
LONG_WORK_MS = 14_000.0  # more than any lease


@define(eq=False)
class Soak:
    """Runs one seed and ends every process that it started, by process id.

    ``longest_stall_s`` is the longest time for which this process, which serves the
    store and the workers, did nothing: they are then slower than the daemons may
    expect.
    """

    seed: int
    folder: pathlib.Path
    daemon_count: int = 3
    fault_phase_s: float = FAULT_PHASE_S
    store: StoreService = Factory(StoreService)
    workers: UnseenWorkers = None
    worker_links: dict[str, Link] = Factory(dict)
    daemons: list[DaemonProcess] = Factory(list)
    invariants: InvariantChecker = None
    submitters: Submitters = None
    rng: random.Random = None
    version: int = 3
    longest_stall_s: float = 0.0
    running_faults: set[asyncio.Task] = Factory(set)
    restarted_hosts: set[str] = Factory(set)  # with a series of unseen restarts

    async def run(self) -> list[str]:
        """Run the seed and return the violated invariants."""
        self.rng = random.Random(self.seed)
        checking = None
        try:
            await self._start()
            checking = asyncio.ensure_future(self._check_invariants())
            submitting = asyncio.ensure_future(self.submitters.run(SUBMIT_PERIOD_S))
            background_faults = [
                asyncio.ensure_future(self._inject_watch_faults()),
                asyncio.ensure_future(self._restart_workers()),
                asyncio.ensure_future(self._resize_workers()),
            ]
            await self._inject_faults()
            for task in (submitting, *background_faults):
                task.cancel()
            await asyncio.gather(submitting, *background_faults, return_exceptions=True)
            await self._wait_for_recovery()
        finally:
            if checking is not None:
                checking.cancel()
            await self._shut_down()
        if not self.invariants.started_runs:
            self.invariants.violations.append("no run was started")
        return self.invariants.violations

    # --- setup ------------------------------------------------------------------------

    async def _start(self) -> None:
        store_address = free_address()
        await self.store.start(store_address)
        self.workers = UnseenWorkers(
            self.store.table,
            work_ms=self.rng.choice((300, 800, 2_000)),
            clock_rng=random.Random(f"clocks {self.seed}"),
        )
        self.invariants = InvariantChecker(self.workers)
        deadly_rng = random.Random(f"deadly {self.seed}")
        self.workers.next_crash = lambda: draw_crash(deadly_rng)
        loop = asyncio.get_running_loop()
        self.workers.on_started = lambda: self.invariants.check(loop.time())
        for number in range(WORKERS):
            worker = FakeWorker(
                f"w{number}",
                incarnation=1_000 + number,
                zone=ZONES[number % len(ZONES)],
                clock_rate=self.rng.choice((1.0, 0.98)),
                clock_ms=self.workers.clock_rng.uniform(*CLOCKS_MS),
            )
            link = Link(free_address(), free_address())
            await link.start()
            self.worker_links[worker.worker_id] = link
            self.invariants.links[link.listen] = link
            await self.workers.add(worker, link.target)
            self.workers.addresses[worker.worker_id] = link.listen
            self.workers.list(worker)
        self._configure()
        self.daemons = [
            await DaemonProcess.create(f"d{number}", self.folder, store_address)
            for number in range(self.daemon_count)
        ]
        for daemon in self.daemons:
            await daemon.start()
        self.submitters = Submitters(
            self.daemons, self.invariants, self.rng, deadly_rng
        )
        await self._until_ready()

    async def _until_ready(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            for daemon in self.daemons:
                while (await self.submitters.call(daemon, "GET", "/o/"))[0] != 200:
                    await asyncio.sleep(0.1)

    def _configure(self) -> None:
        """Write the next configuration version; odd ones have a further queue."""
        self.version += 1
        routes = [*CONFIG["routes"]]
        if self.version % 2:
            routes.append({**routes[0], "name": "new", "prefix": "/n/"})
        config = {**CONFIG, "version": self.version, "routes": routes}
        self.store.table.put("op/config", json.dumps(config).encode())
        self.invariants.record_config(
            asyncio.get_running_loop().time(), 200 if self.version % 2 else 404
        )

    async def _check_invariants(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            self.invariants.check(began_s)
            await asyncio.sleep(CHECK_PERIOD_S)
            stall_s = loop.time() - began_s - CHECK_PERIOD_S
            self.longest_stall_s = max(self.longest_stall_s, stall_s)

    # --- faults -----------------------------------------------------------------------

    async def _inject_faults(self) -> None:
        """Start faults at random times; they may overlap."""
        gaps = [self.rng.expovariate(1) for _ in range(FAULT_COUNT)]
        scale = self.fault_phase_s / sum(gaps)
        faults = (
            self._kill_daemon,
            self._pause_daemon,
            self._stop_daemon,
            self._kill_all_daemons,
            self._reload_daemon,
            self._disrupt_store_link,
            self._disrupt_worker_link,
            self._disrupt_store,
            self._crash_worker,
            self._drain_worker,
            self._evacuate,
            self._change_configuration,
        )
        for gap in gaps:
            await asyncio.sleep(gap * scale)
            fault = self.rng.choice(faults)
            self._log_plan(fault.__name__.removeprefix("_"))
            self._run_beside(self._run_fault(fault))

    def _run_beside(self, fault) -> None:
        """Run a fault to its end while others begin."""
        task = asyncio.ensure_future(fault)
        self.running_faults.add(task)
        task.add_done_callback(self.running_faults.discard)

    async def _inject_watch_faults(self) -> None:
        """Have watches get no answer, or answers that leave out changes.

        Views must stay within their bounds meanwhile, so no check is suspended. The
        random numbers are separate, so that a seed's other faults don't depend on them.
        """
        rng = random.Random(f"watches {self.seed}")
        store = self.store
        try:
            while True:
                await asyncio.sleep(rng.uniform(*WATCH_FAULT_GAP_S))
                if rng.random() < 0.5:
                    store.silent_watches = True
                else:
                    zones = {f"op/evacuate/{zone}" for zone in ZONES}
                    workers = {f"servers/{name}" for name in self.workers.workers}
                    store.hidden_keys = {"op/config", "holder"} | zones | workers
                await asyncio.sleep(rng.uniform(*WATCH_FAULT_S))
                store.silent_watches, store.hidden_keys = False, set()
        finally:
            store.silent_watches, store.hidden_keys = False, set()

    async def _resize_workers(self) -> None:
        """Shrink and grow the workers' capacities, by separate random numbers."""
        rng = random.Random(f"capacities {self.seed}")
        full = FakeWorker("", 0).capacity
        try:
            while True:
                await asyncio.sleep(rng.uniform(*RESIZE_GAP_S))
                host = rng.choice(list(self.worker_links))
                self._resize_worker(host, full, rng.choice(CAPACITY_SHARES))
        finally:
            for host in self.worker_links:
                self._resize_worker(host, full, 1.0)

    def _resize_worker(self, host: str, full: Resources, share: float) -> None:
        capacity = Resources(int(full.cpu_millis * share), int(full.memory_mb * share))
        self.workers.resize(self.workers.hosts[host], capacity)

    async def _restart_workers(self) -> None:
        """Have workers restart unseen and be cut off, by separate random numbers."""
        rng = random.Random(f"restarts {self.seed}")
        while True:
            await asyncio.sleep(rng.uniform(*RESTART_GAP_S))
            self._run_beside(self._restart_in_series(random.Random(rng.random())))

    async def _restart_in_series(self, rng: random.Random) -> None:
        """Restart a worker and cut it off, once or more, if one is there to restart."""
        host = await self._find_idle(rng)
        if not host or len(self.restarted_hosts) == MAX_RESTARTED:
            return
        self.restarted_hosts.add(host)
        try:
            for _ in range(rng.choice(RESTART_COUNTS)):
                await self._restart_and_cut(host, rng)
        finally:
            self.restarted_hosts.discard(host)

    async def _find_idle(self, rng: random.Random) -> str:
        """Wait for a host whose worker runs nothing, for which it isn't polled.

        A start may then be the first call after its restart. After some time any host
        will do; return an empty name if there is none.
        """
        hosts = rng.sample(list(self.worker_links), WORKERS)
        for _ in range(int(IDLE_WAIT_S / CHECK_PERIOD_S)):
            for host in hosts:
                worker = self.workers.hosts[host]
                if host not in self.restarted_hosts and self._is_idle(worker):
                    return host
            await asyncio.sleep(CHECK_PERIOD_S)
        return next((host for host in hosts if host not in self.restarted_hosts), "")

    def _is_idle(self, worker: FakeWorker) -> bool:
        """Return whether an owner knows a worker and neither uses nor polls it."""
        is_polled = worker.runs or self.workers.polls[worker.worker_id]
        return worker.alive and worker.fence > 0 and not is_polled

    async def _restart_and_cut(self, host: str, rng: random.Random) -> None:
        """Restart a worker under its id and cut it off soon after.

        The restart of an idle worker, which isn't polled, stays unseen until then. What
        starts there goes on for longer than its lease. The owner may be killed during
        the cut. Calls that were sent during the cut may be carried out after it.
        """
        worker, link = self.workers.hosts[host], self.worker_links[host]
        if not worker.alive or worker.draining:
            return
        loop = asyncio.get_running_loop()
        self.invariants.check(loop.time())
        is_idle = self._is_idle(worker)
        self.workers.record_crash(worker)
        clock_ms = draw_clock_ms(rng, worker.clock_ms)
        self._log_plan(f"restart {host}, idle {is_idle}")
        self.workers.restart(worker, clock_ms)
        self.workers.least_work_ms[worker.worker_id] = LONG_WORK_MS
        if not is_idle:
            self.workers.unseen.discard(worker.worker_id)
        await asyncio.sleep(rng.uniform(*CUT_AFTER_S))
        link.stalled = True
        self._log_plan(f"cut {host}, which runs {list(worker.runs)}")
        if rng.random() < 0.5:
            self.workers.reveal(worker)
        events = [asyncio.sleep(rng.choice(CUT_S))]
        if rng.random() < KILL_SHARE:
            events.append(self._kill_owner(rng.uniform(*KILL_AFTER_S)))
        await asyncio.gather(*events)
        if rng.random() < 0.5:
            link.reset()
        link.stalled = False
        del self.workers.least_work_ms[worker.worker_id]
        self.workers.reveal(worker)
        self.invariants.last_fault_end_s = loop.time()

    async def _kill_owner(self, after_s: float) -> None:
        """Kill the daemon that owns the jobs after some time, and start it again."""
        await asyncio.sleep(after_s)
        holder = self.store.table.items.get("holder")
        owner = json.loads(base64.b64decode(holder.value))["daemon"] if holder else ""
        for daemon in self.daemons:
            if daemon.name == owner:
                self._log_plan(f"kill the owner {owner}")
                await daemon.restart(signal.SIGKILL, 0.5)

    async def _run_fault(self, fault) -> None:
        try:
            await fault(self.rng.choice((0.2, 1.0, 3.0, 6.0)))
        finally:
            self.invariants.last_fault_end_s = asyncio.get_running_loop().time()

    def _log_plan(self, what: str) -> None:
        with open(self.folder / "plan.log", "a") as plan:
            plan.write(f"{asyncio.get_running_loop().time():.3f} {what}\n")

    async def _kill_daemon(self, duration_s: float) -> None:
        await self.rng.choice(self.daemons).restart(signal.SIGKILL, duration_s / 2)

    async def _stop_daemon(self, duration_s: float) -> None:
        await self.rng.choice(self.daemons).restart(signal.SIGTERM, duration_s / 2)

    async def _kill_all_daemons(self, duration_s: float) -> None:
        restarts = [
            item.restart(signal.SIGKILL, duration_s / 2) for item in self.daemons
        ]
        await asyncio.gather(*restarts)

    async def _reload_daemon(self, duration_s: float) -> None:
        self.rng.choice(self.daemons).reload()

    async def _pause_daemon(self, duration_s: float) -> None:
        daemon = self.rng.choice(self.daemons)
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        daemon.send(signal.SIGCONT)

    async def _disrupt_store_link(self, duration_s: float) -> None:
        await self._disrupt_link(self.rng.choice(self.daemons).store_link, duration_s)

    async def _disrupt_worker_link(self, duration_s: float) -> None:
        link = self.worker_links[self.rng.choice(list(self.worker_links))]
        await self._disrupt_link(link, duration_s)

    async def _disrupt_link(self, link: Link, duration_s: float) -> None:
        match self.rng.randrange(5):
            case 0:
                link.stalled = True
            case 1:
                link.one_way = True
            case 2:
                link.delay_s = self.rng.choice((0.03, 0.2, 0.5))
            case 3:
                link.reset()
            case 4:
                link.blackhole()
        await asyncio.sleep(duration_s)
        link.stalled = link.one_way = False
        link.delay_s = 0.0

    async def _disrupt_store(self, duration_s: float) -> None:
        match self.rng.randrange(3):
            case 0:
                self.store.refusing = True
            case 1:
                self.store.unanswered_writes += 3
            case 2:
                self.store.table.compact_history()
        await asyncio.sleep(duration_s)
        self.store.refusing = False

    async def _crash_worker(self, duration_s: float, leaving: str = "") -> None:
        """Crash a worker and restart it under its id with no state.

        :param leaving: the host whose worker ends as it announced, which is no crash;
            empty for a crash at a random host.
        """
        # Drawn in any case, so that seeds keep their faults.
        drawn = self.rng.choice(list(self.worker_links))
        worker = self.workers.hosts[leaving or drawn]
        link = self.worker_links[leaving or drawn]
        if not worker.alive:
            return
        if leaving:
            worker.alive = False
        else:
            self.workers.record_crash(worker)
        link.stalled = True
        await asyncio.sleep(duration_s / 2)
        self.workers.unlist(worker)
        await asyncio.sleep(duration_s / 2)
        # Data that the crashed process received must not reach the restarted one.
        link.reset()
        await asyncio.sleep(2 * CHECK_PERIOD_S)
        link.stalled = False
        clock_ms = draw_clock_ms(self.workers.clock_rng, worker.clock_ms)
        worker.restart(worker.incarnation + RESTART_STEP, clock_ms)
        self.workers.list(worker)

    async def _drain_worker(self, duration_s: float) -> None:
        """Drain a worker, remove it, and restart it as a new incarnation."""
        host = self.rng.choice(list(self.worker_links))
        worker = self.workers.hosts[host]
        if not worker.alive or worker.draining:
            return
        worker.draining = True
        self.workers.list(worker)
        drained_s = asyncio.get_running_loop().time()
        self.invariants.draining[worker.worker_id, worker.incarnation] = drained_s
        await asyncio.sleep(2.0 + duration_s)
        if worker.draining and worker is self.workers.hosts[host]:
            await self._crash_worker(0.2, host)

    async def _evacuate(self, duration_s: float) -> None:
        zone = self.rng.choice(ZONES)
        if zone in self.invariants.zones_out:
            return
        self.store.table.put(f"op/evacuate/{zone}", b"{}")
        self.invariants.zones_out[zone] = asyncio.get_running_loop().time()
        await asyncio.sleep(4.0 + duration_s)
        self.invariants.zones_out.pop(zone)
        self.store.table.delete(f"op/evacuate/{zone}")

    async def _change_configuration(self, duration_s: float) -> None:
        for _ in range(self.rng.randint(1, 4)):
            self._configure()
            await asyncio.sleep(0.3)

    # --- recovery ---------------------------------------------------------------------

    async def _wait_for_recovery(self) -> None:
        """Wait until all faults are over and all accepted jobs are done."""
        await asyncio.gather(*self.running_faults)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + RECOVERY_LIMIT_S
        while loop.time() < until_s and not await self.submitters.check_open_jobs():
            await asyncio.sleep(0.3)
        await self._until_ready()
        await self._check_configuration()
        self.invariants.check_final_state()
        if self.invariants.violations:
            self._log_workers()

    def _log_workers(self) -> None:
        """Write the workers' state to the plan log, to help to trace a failure."""
        for worker in self.workers.workers.values():
            self._log_plan(
                f"{worker.worker_id} incarnation {worker.incarnation} "
                f"alive {worker.alive} draining {worker.draining} fence {worker.fence} "
                f"runs {list(worker.runs)} ends {worker.ends}"
            )

    async def _check_configuration(self) -> None:
        """Check that each daemon serves the queues of the last version only."""
        expected = 200 if self.version % 2 else 404
        for daemon in self.daemons:
            status, _ = await self.submitters.call(daemon, "GET", "/n/")
            if status != expected:
                self.invariants.violations.append(
                    f"CONFIG: {daemon.name} answers {status}"
                )

    async def _shut_down(self) -> None:
        for task in self.running_faults:
            task.cancel()
        for daemon in self.daemons:
            await daemon.kill()
        if self.submitters is not None:
            self.submitters.client.close()
        for link in self.worker_links.values():
            link.close()
        if self.workers is not None:
            self.workers.close()
        self.store.server.close()
        await asyncio.sleep(LINK_CLOSE_S)


def draw_crash(rng: random.Random) -> CrashSettings:
    """Return how a worker crashes under a deadly task."""
    return CrashSettings(
        silent=rng.random() < 0.5,
        renamed=rng.random() < 0.5,
        absent_s=rng.choice((0.5, 2.0, 4.0)),
    )
