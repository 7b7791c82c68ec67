"""Random jobs of every shape that the protocol allows, also extreme ones."""

import random
import unittest

import attrs
from attrs import define

from poplarlb.coordination.jobs.events import PollAnswered
from poplarlb.event_log import EventLog
from poplarlb.state import job_records
from poplarlb.state.jobs import JobSpec, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import QUEUE, JobWorld, make_job

LARGEST = 2**53
SEEDS = 12
JOBS = 14
AMOUNTS = (0, 0, 1, 100, 4_000, 16_000, LARGEST)


@define(eq=False)
class MeasuredWorld(JobWorld):
    """A world whose workers list random measurements, and whose log lines are encoded.

    Every record is decoded again, as a next owner would.
    """

    log: EventLog = None

    def __attrs_post_init__(self) -> None:
        """Create the log."""
        super().__attrs_post_init__()
        self.log = EventLog("d0", lambda: (int(self.now_ms), self.utc_ms()))

    def _poll(self, command, worker, sent_ms: int) -> PollAnswered | None:
        answer = super()._poll(command, worker, sent_ms)
        if answer is None:
            return None
        running = tuple(
            attrs.evolve(row, measurement=self.rng.choice((0.0, 1.0, 80.0, 9e15)))
            for row in answer.running
        )
        return attrs.evolve(answer, running=running)

    def feed(self, event, owner=None) -> None:
        """Encode what was logged."""
        super().feed(event, owner)
        for line in self.logged:
            self.log.write(line.event, **line.fields)
        self.logged.clear()
        self.log.lines.clear()


def make_odd_step(rng: random.Random, number: int) -> StepSpec:
    """Return a step with random fields."""
    return StepSpec(
        rng.choice((1, 1, 2, 7, 40)),
        Resources(rng.choice(AMOUNTS), rng.choice(AMOUNTS[:5]), rng.choice((0, 0, 1))),
        estimate_ms=rng.choice((0, 1, 500, LARGEST)),
        after=tuple(item for item in range(number) if rng.random() < 0.4),
        checkpoints=rng.random() < 0.3,
        gang=rng.random() < 0.2,
        same_rack=rng.random() < 0.2,
        required_label=rng.choice(("", "", "a", "nowhere")),
        preferred_rack=rng.choice(("", "r1", "nowhere")),
        max_per_worker=rng.choice((0, 0, 1, LARGEST)),
        speculative=rng.random() < 0.2,
        long_running=rng.random() < 0.2,
        image=rng.choice(("", "i1", "i2")),
        target_ms=rng.choice((0, 0, 1, 100, LARGEST)),
        fills=rng.random() < 0.4,
        may_miss=rng.choice((0, 1)),
    )


def make_odd_job(rng: random.Random, number: int, utc_ms: int) -> JobSpec:
    """Return a job of random steps, at times with occurrences."""
    steps = [make_odd_step(rng, step) for step in range(rng.randint(1, 4))]
    times = rng.choice((0, 0, 0, 1, 3, 300))
    return make_job(
        f"{number:016x}",
        *steps,
        times=times,
        first_utc_ms=rng.choice((0, 1, utc_ms, LARGEST)),
        interval_ms=rng.choice((0, 1, 1_000, LARGEST)),
        accepted_by=QUEUE.limits,
    )


class OddJobTest(unittest.TestCase):
    """No job makes the owner raise an error."""

    # Guards against jobs that end every ownership, such as that of review/1.
    def test_random_jobs(self) -> None:
        """They run, fail, are cancelled, and are taken over with crashed workers."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.walk(random.Random(seed), seed)

    def walk(self, rng: random.Random, seed: int) -> None:
        """Play one world."""
        queue = attrs.evolve(QUEUE, critical_path_factor=rng.choice((1.5, 1e6)))
        world = MeasuredWorld(seed=seed, work_ms=300.0, queue=queue)
        world.new_owner()
        world.add_workers(3, capacity=Resources(16_000, 64_000, 2))
        for number in range(JOBS):
            spec = make_odd_job(rng, number, world.utc_ms())
            world.submit(job_records.decode_job(job_records.encode_job(spec)))
            if rng.random() < 0.3:
                world.failing.add(f"{number:016x}.0.0.0")
            if rng.random() < 0.2:
                world.cancel(f"{rng.randrange(number + 1):016x}")
            if rng.random() < 0.2:
                world.new_owner()
            if rng.random() < 0.15:
                worker = rng.choice(list(world.workers.values()))
                worker.restart(worker.incarnation + 1_000)
                world.relist(worker.worker_id)
            world.run(rng.choice((20, 300)))
        for number in range(JOBS):
            world.cancel(f"{number:016x}")
        world.run(1_000)


if __name__ == "__main__":
    unittest.main()
