"""Random walks with failing owners and workers; the checks use the workers' records."""

import itertools
import random
import unittest
from collections import Counter

from attrs import frozen

from poplarlb.state.jobs import FINAL_STATES, JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import (
    HEARTBEAT_MS,
    JobWorld,
    list_tasks,
    make_job,
)

WALKS = 60  # ``python -m tests.coordination.jobs.test_job_fuzz FIRST COUNT`` runs more
DEADLY_WALKS = 30
RESIZE_WALKS = 30
FIRST_SEED = 1
STEPS = 60
RECOVERY_MS = 45_000  # leases, late starts and retries end within this
MAX_WORK_MS = 300_000  # of one walk on its few workers
DEADLY_SHARE = 0.15  # of the submitted jobs that have a task that crashes its workers
RESIZE_SHARE = 0.3  # of the events after which a worker's capacity changes
RESIZED_CPU_MILLIS = (2_000, 4_000, 8_000, 12_000, 24_000)
RESIZED_MEMORY_MB = (2_000, 6_000, 64_000)
FULL_CAPACITY = Resources(16_000, 64_000, 0)
VIEW_LAGS_MS = (0, 700, 1_400)  # below the age at which the owner stops placing


@frozen
class WalkKind:
    """What happens in a walk besides the usual failures.

    The usual events of a seed are drawn alike in walks of all kinds.
    """

    deadly_tasks: bool = False
    resizes: bool = False


def make_steps(rng: random.Random) -> tuple[StepSpec, ...]:
    """Return one to three steps of tasks of different kinds."""
    count = rng.randint(1, 3)
    return tuple(
        StepSpec(
            rng.randint(1, 4),
            Resources(rng.choice((1_000, 4_000, 8_000)), 1_000),
            estimate_ms=800,
            after=(number - 1,) if number and rng.random() < 0.7 else (),
            max_per_worker=rng.choice((0, 0, 1, 2)),
            gang=rng.random() < 0.15,
            fills=rng.random() < 0.3,
        )
        for number in range(count)
    )


def inject_event(world: JobWorld, rng: random.Random, number: int) -> None:
    """Apply one random event to the world."""
    worker = rng.choice(world.remaining_workers())
    match rng.randrange(12):
        case 0 | 1 | 2:
            world.submit(make_job(f"{number:016x}", *make_steps(rng)))
        case 3:
            worker.crash()
            world.unlist(worker.worker_id)
        case 4 if worker.worker_id not in world.listed:
            worker.restart(worker.incarnation + 1_000)
            world.relist(worker.worker_id)
        case 5:
            worker.restart(worker.incarnation + 1_000)
        case 6:
            world.partitioned ^= {worker.worker_id}
        case 7:
            world.new_owner(keep_former=rng.random() < 0.5)
        case 8:
            world.store_up = not world.store_up
        case 9:
            world.delay_rate = rng.choice((0.0, 0.1, 0.4))
        case 10:
            world.loss_rate = rng.choice((0.0, 0.05, 0.3))
        case 11 if world.jobs:
            world.cancel(rng.choice(list(world.jobs)))


def make_task_deadly(world: JobWorld, rng: random.Random, number: int) -> None:
    """Let a task of the job that the event submitted, if it did, crash its workers."""
    spec = world.jobs.get(f"{number:016x}")
    if spec is not None and rng.random() < DEADLY_SHARE:
        world.deadly.add(rng.choice(list_tasks(spec)))


def resize_worker(world: JobWorld, rng: random.Random) -> None:
    """Let a worker's capacity shrink or grow, at times."""
    if rng.random() < RESIZE_SHARE:
        worker = rng.choice(world.remaining_workers())
        capacity = Resources(
            rng.choice(RESIZED_CPU_MILLIS), rng.choice(RESIZED_MEMORY_MB)
        )
        world.resize(worker.worker_id, capacity, rng.uniform(0, HEARTBEAT_MS))


def recover(world: JobWorld) -> None:
    """End all failures and run until every job is final.

    Deadly tasks still crash the workers that start them.
    """
    world.store_up = True
    world.partitioned.clear()
    world.delay_rate = world.loss_rate = 0.0
    world.view_lag_ms = 0
    for worker in world.remaining_workers():
        if not worker.alive:
            worker.restart(worker.incarnation + 1_000)
        if worker.capacity != FULL_CAPACITY:
            world.resize(worker.worker_id, FULL_CAPACITY, 0)
        world.relist(worker.worker_id)
    until_ms = world.now_ms + RECOVERY_MS + MAX_WORK_MS
    while (
        world.now_ms < until_ms
        and not world.violations
        and not all(world.state(job_id) in FINAL_STATES for job_id in world.jobs)
    ):
        world.run(1_000)


def walk(seed: int, kind: WalkKind = WalkKind()) -> JobWorld:
    """Return a world after one random walk and the recovery from it."""
    rng = random.Random(seed)
    deadly_rng = random.Random(f"deadly {seed}")
    world = JobWorld(seed=seed, work_ms=rng.choice((300.0, 1_500.0, 4_000.0)))
    resize_rng = random.Random(f"resizes {seed}")
    if kind.resizes:
        world.view_lag_ms = resize_rng.choice(VIEW_LAGS_MS)
    world.new_owner()
    world.add_workers(rng.randint(2, 5), clock_rate=rng.choice((1.0, 0.98)))
    for number in range(STEPS):
        world.run(rng.choice((20, 200, 1_000)))
        inject_event(world, rng, number)
        if kind.deadly_tasks:
            make_task_deadly(world, deadly_rng, number)
        if kind.resizes:
            resize_worker(world, resize_rng)
        if world.violations:
            return world
    recover(world)
    return world


def find_failures(world: JobWorld) -> list[str]:
    """Return the violations and unfinished or failed jobs of a walk.

    Without deadly tasks no job may fail, though workers crash.
    """
    workers = world.remaining_workers()
    fits = max(worker.capacity.cpu_millis for worker in workers)
    unfinished = [
        job_id
        for job_id, spec in world.jobs.items()
        if world.state(job_id) not in FINAL_STATES and can_finish(world, spec, fits)
    ]
    failed = [job_id for job_id in world.jobs if world.state(job_id) is JobState.FAILED]
    if world.deadly:
        failed = []  # by crashes; the world checks their number
    return world.violations + [f"{item} unfinished" for item in unfinished] + failed


def can_finish(world: JobWorld, spec, fits: int) -> bool:
    """Return whether a job's gangs fit in the present workers."""
    count = len(world.remaining_workers())
    return all(
        not step.gang
        or not step.max_per_worker
        or step.count <= step.max_per_worker * count
        for step in spec.steps
    ) and all(
        not step.gang
        or step.fills
        or step.count <= count * (fits // step.size.cpu_millis)
        for step in spec.steps
    )


class JobFuzzTest(unittest.TestCase):
    """Every walk keeps the invariants."""

    def test_walks(self) -> None:
        """No task runs twice, no capacity is exceeded, every job ends."""
        for seed in range(FIRST_SEED, FIRST_SEED + WALKS):
            with self.subTest(seed=seed):
                self.assertEqual(find_failures(walk(seed)), [])

    def test_walks_with_deadly_tasks(self) -> None:
        """Besides, tasks that crash their workers are given up in time."""
        for seed in range(FIRST_SEED, FIRST_SEED + DEADLY_WALKS):
            with self.subTest(seed=seed):
                world = walk(seed, WalkKind(deadly_tasks=True))
                self.assertEqual(find_failures(world), [])

    def test_walks_with_changing_capacity(self) -> None:
        """No start exceeds a capacity that shrank; grown ones are used."""
        for seed in range(FIRST_SEED, FIRST_SEED + RESIZE_WALKS):
            with self.subTest(seed=seed):
                world = walk(seed, WalkKind(resizes=True))
                self.assertEqual(find_failures(world), [])


if __name__ == "__main__":
    import sys

    first, count = int(sys.argv[1]), int(sys.argv[2])
    excused = Counter()
    kinds = [WalkKind(*row) for row in itertools.product((False, True), repeat=2)]
    for seed, kind in itertools.product(range(first, first + count), kinds):
        world = walk(seed, kind)
        excused.update(world.excused_excesses)
        found = find_failures(world)
        if found:
            print(seed, kind, found[:3], flush=True)
    print("starts above a shrunken capacity that are excused:", dict(excused))
