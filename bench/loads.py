"""The deployments and load shapes on which placement policies are compared."""

import enum
import math
import random

from attrs import frozen

from poplarlb.state.models import Resources, TaskKey, TaskSpec, WorkClass, Worker
from poplarlb.state.templates import ConfigView, ServiceTemplate, TeamTemplate

DURATION_S = 300
JUMP_PERIOD_S = 25
ZONE_OUT_S = 100
ZONE_BACK_S = 200


class Shape(enum.StrEnum):
    """How load and faults vary over a run."""

    STEADY = "steady"
    MORNING_PEAK = "morning peak"
    NOISY_WAVES = "noisy waves"
    ZONE_LEAVES = "zone leaves"
    WRONG_SIZES = "wrong sizes"
    FAILING_WORKERS = "failing workers"
    LOAD_JUMPS = "load jumps"
    SHIFTING = "shifting"


HELD_OUT = Shape.SHIFTING
TUNING_SHAPES = tuple(shape for shape in Shape if shape is not HELD_OUT)
SEEDS = (1, 2, 3, 4, 5)
HELD_OUT_SEEDS = (101, 102)


@frozen
class Kind:
    """A kind of batch task: its size, its run time and its interference.

    ``interference`` is the slowdown of a service at a load of one half if tasks of this
    kind use a whole worker. ``share`` is the kind's share of all jobs.
    """

    name: str
    work_class: WorkClass
    size: Resources
    run_time_s: int
    interference: float
    share: float
    checkpointable: bool = True


@frozen
class Deployment:
    """The workers, the service and the batch work of one customer."""

    team: str
    zones: tuple[str, ...]
    workers: int
    rack_size: int
    capacity: Resources
    service: ServiceTemplate
    kinds: tuple[Kind, ...]

    def make_workers(self) -> list[Worker]:
        """Return the workers, assigned to zones round-robin and then to racks."""
        workers = []
        for number in range(self.workers):
            zone = self.zones[number % len(self.zones)]
            rack = f"{zone}-r{number // len(self.zones) // self.rack_size}"
            name = f"{zone}-{number}"
            workers.append(Worker(name, zone, rack, "", self.capacity))
        return workers

    def make_view(self, zones_out: tuple = ()) -> ConfigView:
        """Return the configuration with the given zone states."""
        capacity = self.capacity
        quota = Resources(
            capacity.cpu_millis * self.workers, capacity.memory_mb * self.workers
        )
        team = TeamTemplate(self.team, self.zones, quota, services=(self.service,))
        return ConfigView(1, (team,), zones_out)


VELLAKKAL = Deployment(
    "vellakkal",
    ("kochi", "thrissur", "kozhikode", "kollam"),
    25,
    6,
    Resources(16_000, 60_000),
    ServiceTemplate("confirmations", 20, Resources(4_000, 12_000), 60, weight=4.0),
    (
        Kind("invoices", WorkClass.ORDINARY, Resources(2_000, 4_000), 60, 0.2, 0.4),
        Kind("statements", WorkClass.ORDINARY, Resources(3_000, 8_000), 90, 0.8, 0.3),
        Kind("settlement", WorkClass.PATIENT, Resources(4_000, 12_000), 150, 2.0, 0.3),
    ),
)

KITAKAZE = Deployment(
    "kitakaze",
    ("sapporo", "asahikawa", "hakodate"),
    35,
    10,
    Resources(64_000, 250_000),
    ServiceTemplate("reorders", 28, Resources(16_000, 50_000), 60, weight=0.5),
    (
        Kind("shelf", WorkClass.ORDINARY, Resources(8_000, 16_000), 60, 0.3, 0.4),
        Kind("forecast", WorkClass.PATIENT, Resources(16_000, 48_000), 150, 1.8, 0.35),
        Kind(
            "catalogue",
            WorkClass.LONG_LIVED,
            Resources(12_000, 32_000),
            300,
            0.7,
            0.25,
            False,
        ),
    ),
)

DEPLOYMENTS = (VELLAKKAL, KITAKAZE)


@frozen
class Job:
    """A batch job with its actual size and run time, which its spec may misstate."""

    spec: TaskSpec
    kind: Kind
    true_size: Resources
    true_run_time_s: int


@frozen
class Load:
    """One seeded run of one shape on one deployment."""

    deployment: Deployment
    shape: Shape
    seed: int

    def demand(self, second: int) -> float:
        """Return the load on the service relative to its peak."""
        match self.shape:
            case Shape.MORNING_PEAK:
                rise = (second - DURATION_S / 2) / (DURATION_S / 8)
                return 0.4 + 0.55 * math.exp(-(rise**2))
            case Shape.LOAD_JUMPS:
                rng = random.Random(f"{self.seed}/{second // JUMP_PERIOD_S}")
                return rng.choice((0.3, 0.4, 0.9))
            case Shape.SHIFTING:
                return (0.35, 0.8, 0.5)[second // 60 % 3]
        return 0.5

    def zone_out(self, second: int) -> str:
        """Return the zone that operators have taken out, or an empty string."""
        leaves = self.shape is Shape.ZONE_LEAVES
        if leaves and ZONE_OUT_S <= second < ZONE_BACK_S:
            return self.deployment.zones[0]
        return ""

    def fails_starts(self, worker: Worker) -> bool:
        """Return whether every start at a worker fails."""
        if self.shape is not Shape.FAILING_WORKERS:
            return False
        number = int(worker.worker_id.rpartition("-")[2])
        return number in (5, 10)

    def jobs(self) -> list[list[Job]]:
        """Return the jobs submitted in each second."""
        rng = random.Random(f"{self.seed}/{self.shape}/{self.deployment.team}")
        made = []
        for second in range(DURATION_S):
            count = int(self._rate(second) + rng.random())
            made.append([self._job(rng, second, i) for i in range(count)])
        return made

    def _rate(self, second: int) -> float:
        """Return the mean number of jobs in a second; the first has a backlog too."""
        deployment = self.deployment
        free = deployment.workers * deployment.capacity.cpu_millis
        free -= deployment.service.replicas * deployment.service.size.cpu_millis
        mean = sum(k.share * k.size.cpu_millis * k.run_time_s for k in deployment.kinds)
        rate = 0.7 * free / mean
        if second == 0:
            return rate * 60
        if self.shape is Shape.NOISY_WAVES:
            return rate * (2.2 if self._in_wave(second) else 0.5)
        return rate

    def _in_wave(self, second: int) -> bool:
        return second % 120 < 35

    def _job(self, rng: random.Random, second: int, number: int) -> Job:
        kinds = self.deployment.kinds
        shares = [kind.share for kind in kinds]
        if self.shape is Shape.NOISY_WAVES and self._in_wave(second):
            shares = [
                share * (4 if kind.interference > 1 else 0.5)
                for kind, share in zip(kinds, shares, strict=True)
            ]
        if self.shape is Shape.SHIFTING and second > DURATION_S / 2:
            shares = [
                share * (2 if kind.interference > 0.5 else 0.5)
                for kind, share in zip(kinds, shares, strict=True)
            ]
        kind = rng.choices(kinds, shares)[0]
        run_time_s = max(10, int(kind.run_time_s * rng.lognormvariate(0, 0.4)))
        size, declared_s = kind.size, run_time_s
        if self.shape is Shape.WRONG_SIZES:
            factor = rng.choice((0.5, 0.8, 1.0, 1.5, 2.0))
            size = Resources(
                int(size.cpu_millis * factor), int(size.memory_mb * factor)
            )
            declared_s = int(run_time_s * rng.choice((0.2, 1, 5)))
        spec = TaskSpec(
            TaskKey(self.deployment.team, f"{kind.name}.{second}.{number}"),
            kind.work_class,
            kind.size,
            declared_s * 1000,
            kind.name,
            checkpointable=kind.checkpointable,
            submitted_ms=second * 1000,
        )
        return Job(spec, kind, size, run_time_s)
