"""One seed of the soak: a deployment, a random plan of faults, and calm after it."""

import asyncio
import json
import pathlib
import random
import signal

from attrs import Factory, define

from tests.coordination.jobs.fake_worker import FakeWorker
from tests.platform.deployment import CONFIG, free_address
from tests.soak.daemons import DaemonProcess
from tests.soak.link import Link
from tests.soak.promises import Promises
from tests.soak.submitters import Submitters
from tests.standins.users_platform import StoreService, WorkerService

WORKERS = 4
ZONES = ("z1", "z2")
TROUBLE_S = 20.0
SUBMIT_PERIOD_S = 0.25
QUIET_S = 45.0  # leases, late starts and retries are over within this
CHECK_S = 0.02
CLOSING_S = 0.6  # links end what they hold or delay within this
START_LIMIT_S = 20.0
ACTIONS = 14


@define(eq=False)
class Soak:
    """Runs one seed; everything it starts is ended by its process id."""

    seed: int
    folder: pathlib.Path
    daemon_count: int = 3
    trouble_s: float = TROUBLE_S
    store: StoreService = Factory(StoreService)
    workers: WorkerService = None
    worker_links: dict[str, Link] = Factory(dict)
    daemons: list[DaemonProcess] = Factory(list)
    promises: Promises = None
    submitters: Submitters = None
    dice: random.Random = None
    version: int = 3
    running: set[asyncio.Task] = Factory(set)

    async def run(self) -> list[str]:
        """Return what was broken; empty if every promise was kept."""
        self.dice = random.Random(self.seed)
        checking = None
        try:
            await self._start()
            checking = asyncio.ensure_future(self._check())
            submitting = asyncio.ensure_future(self.submitters.run(SUBMIT_PERIOD_S))
            await self._make_trouble()
            submitting.cancel()
            await asyncio.gather(submitting, return_exceptions=True)
            await self._calm_down()
        finally:
            if checking is not None:
                checking.cancel()
            await self._end()
        if not self.promises.known:
            self.promises.broken.append("nothing ran")
        return self.promises.broken

    # --- set up -----------------------------------------------------------------------

    async def _start(self) -> None:
        store_address = free_address()
        await self.store.start(store_address)
        self.workers = WorkerService(
            self.store.table, work_ms=self.dice.choice((300, 800, 2_000))
        )
        self.promises = Promises(self.workers)
        for number in range(WORKERS):
            worker = FakeWorker(
                f"w{number}",
                life=1_000 + number,
                zone=ZONES[number % len(ZONES)],
                clock_rate=self.dice.choice((1.0, 0.98)),
            )
            link = Link(free_address(), free_address())
            await link.start()
            self.worker_links[worker.worker_id] = link
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
        self.submitters = Submitters(self.daemons, self.promises, self.dice)
        await self._until_ready()

    async def _until_ready(self) -> None:
        async with asyncio.timeout(START_LIMIT_S):
            for daemon in self.daemons:
                while (await self.submitters.call(daemon, "GET", "/o/"))[0] != 200:
                    await asyncio.sleep(0.1)

    def _configure(self) -> None:
        """Write a version; each second one has a further queue."""
        self.version += 1
        routes = [*CONFIG["routes"]]
        if self.version % 2:
            routes.append({**routes[0], "name": "new", "prefix": "/n/"})
        config = {**CONFIG, "version": self.version, "routes": routes}
        self.store.table.put("op/config", json.dumps(config).encode())

    async def _check(self) -> None:
        while True:
            self.promises.check(asyncio.get_running_loop().time())
            await asyncio.sleep(CHECK_S)

    # --- trouble ----------------------------------------------------------------------

    async def _make_trouble(self) -> None:
        """Begin faults at random times; they overlap."""
        gaps = [self.dice.expovariate(1) for _ in range(ACTIONS)]
        scale = self.trouble_s / sum(gaps)
        faults = (
            self._end_daemon,
            self._pause_daemon,
            self._stop_daemon,
            self._end_all_daemons,
            self._reload_daemon,
            self._harm_link_to_store,
            self._harm_link_to_worker,
            self._harm_store,
            self._crash_worker,
            self._drain_worker,
            self._evacuate,
            self._change_configuration,
        )
        for gap in gaps:
            await asyncio.sleep(gap * scale)
            fault = self.dice.choice(faults)
            self._note(fault.__name__.removeprefix("_"))
            task = asyncio.ensure_future(self._disturb(fault))
            self.running.add(task)
            task.add_done_callback(self.running.discard)

    async def _disturb(self, fault) -> None:
        try:
            await fault(self.dice.choice((0.2, 1.0, 3.0, 6.0)))
        finally:
            self.promises.disturbed_s = asyncio.get_running_loop().time()

    def _note(self, what: str) -> None:
        with open(self.folder / "plan.log", "a") as plan:
            plan.write(f"{asyncio.get_running_loop().time():.3f} {what}\n")

    async def _end_daemon(self, lasts_s: float) -> None:
        await self.dice.choice(self.daemons).restart(signal.SIGKILL, lasts_s / 2)

    async def _stop_daemon(self, lasts_s: float) -> None:
        await self.dice.choice(self.daemons).restart(signal.SIGTERM, lasts_s / 2)

    async def _end_all_daemons(self, lasts_s: float) -> None:
        restarts = [item.restart(signal.SIGKILL, lasts_s / 2) for item in self.daemons]
        await asyncio.gather(*restarts)

    async def _reload_daemon(self, lasts_s: float) -> None:
        self.dice.choice(self.daemons).reload()

    async def _pause_daemon(self, lasts_s: float) -> None:
        daemon = self.dice.choice(self.daemons)
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(lasts_s)
        daemon.send(signal.SIGCONT)

    async def _harm_link_to_store(self, lasts_s: float) -> None:
        await self._harm_link(self.dice.choice(self.daemons).store, lasts_s)

    async def _harm_link_to_worker(self, lasts_s: float) -> None:
        link = self.worker_links[self.dice.choice(list(self.worker_links))]
        await self._harm_link(link, lasts_s)

    async def _harm_link(self, link: Link, lasts_s: float) -> None:
        match self.dice.randrange(5):
            case 0:
                link.held = True
            case 1:
                link.one_way = True
            case 2:
                link.delay_s = self.dice.choice((0.03, 0.2, 0.5))
            case 3:
                link.reset()
            case 4:
                link.silence()
        await asyncio.sleep(lasts_s)
        link.held = link.one_way = False
        link.delay_s = 0.0

    async def _harm_store(self, lasts_s: float) -> None:
        match self.dice.randrange(3):
            case 0:
                self.store.refusing = True
            case 1:
                self.store.unanswered_writes += 3
            case 2:
                self.store.table.compact_history()
        await asyncio.sleep(lasts_s)
        self.store.refusing = False

    async def _crash_worker(self, lasts_s: float) -> None:
        """Let a worker die and come back under its id, knowing nothing."""
        worker = self.workers.workers[self.dice.choice(list(self.worker_links))]
        link = self.worker_links[worker.worker_id]
        if not worker.alive:
            return
        worker.alive = False
        link.held = True
        await asyncio.sleep(lasts_s / 2)
        self.store.table.delete(f"servers/{worker.worker_id}")
        await asyncio.sleep(lasts_s / 2)
        # What a process has received dies with it.
        link.reset()
        await asyncio.sleep(2 * CHECK_S)
        link.held = False
        worker.restart(worker.life + 1_000)
        self.promises.draining.pop(worker.worker_id, None)
        self.workers.list(worker)

    async def _drain_worker(self, lasts_s: float) -> None:
        """Let a worker drain, leave, and come back in a new life."""
        worker = self.workers.workers[self.dice.choice(list(self.worker_links))]
        if not worker.alive or worker.draining:
            return
        worker.draining = True
        self.workers.list(worker)
        self.promises.draining[worker.worker_id] = asyncio.get_running_loop().time()
        await asyncio.sleep(2.0 + lasts_s)
        if worker.draining:
            await self._crash_worker(0.2)

    async def _evacuate(self, lasts_s: float) -> None:
        zone = self.dice.choice(ZONES)
        if zone in self.promises.zones_out:
            return
        self.store.table.put(f"op/evacuate/{zone}", b"{}")
        self.promises.zones_out[zone] = asyncio.get_running_loop().time()
        await asyncio.sleep(4.0 + lasts_s)
        self.promises.zones_out.pop(zone)
        self.store.table.delete(f"op/evacuate/{zone}")

    async def _change_configuration(self, lasts_s: float) -> None:
        for _ in range(self.dice.randint(1, 4)):
            self._configure()
            await asyncio.sleep(0.3)

    # --- calm -------------------------------------------------------------------------

    async def _calm_down(self) -> None:
        """Wait until the last faults are over and all accepted work is done."""
        await asyncio.gather(*self.running)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + QUIET_S
        while loop.time() < until_s and not await self.submitters.ask_open():
            await asyncio.sleep(0.3)
        await self._until_ready()
        await self._check_configuration()
        self.promises.check_end()
        if self.promises.broken:
            self._note_workers()

    def _note_workers(self) -> None:
        """Write down what the workers hold, for whoever traces a failure."""
        for worker in self.workers.workers.values():
            self._note(
                f"{worker.worker_id} life {worker.life} alive {worker.alive} "
                f"draining {worker.draining} fence {worker.fence} "
                f"runs {list(worker.runs)} ends {worker.ends}"
            )

    async def _check_configuration(self) -> None:
        """Each daemon serves what the last version has, and nothing else."""
        expected = 200 if self.version % 2 else 404
        for daemon in self.daemons:
            status, _ = await self.submitters.call(daemon, "GET", "/n/")
            if status != expected:
                self.promises.broken.append(f"CONFIG: {daemon.name} answers {status}")

    async def _end(self) -> None:
        for task in self.running:
            task.cancel()
        for daemon in self.daemons:
            await daemon.end()
        if self.submitters is not None:
            self.submitters.client.close()
        for link in self.worker_links.values():
            link.close()
        if self.workers is not None:
            self.workers.close()
        self.store.server.close()
        await asyncio.sleep(CLOSING_S)
