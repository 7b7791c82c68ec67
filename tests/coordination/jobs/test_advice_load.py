"""Queues whose jobs wait for a slow advice service."""

import unittest

import attrs

from poplarlb.state.jobs import AdviceTimes, JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.advice_world import AdviceWorld
from tests.coordination.jobs.job_world import QUEUE, make_job

WORKERS = 24
STEP = StepSpec(4, Resources(1_000, 1_000), estimate_ms=800)
PERIOD_MS = 1_000  # between jobs
BURST_FACTOR = 2.6
BURST_MS = 4_000
BEFORE_MS, AFTER_MS = 6_000, 6_000
FINISH_MS = 14_000
MAX_REFUSED_SHARE = 0.1  # of the starts


def make_world(decide_ms: int, each_ms: int, valid_ms: int, **fields) -> AdviceWorld:
    """Return a world with an owner and workers."""
    times = AdviceTimes(decide_ms, each_ms, valid_ms)
    queue = attrs.evolve(QUEUE, needs_advice=True, advice=times)
    world = AdviceWorld(work_ms=800, queue=queue, **attrs.asdict(times), **fields)
    world.new_owner()
    world.add_workers(WORKERS)
    world.run(500)
    return world


def submit(world: AdviceWorld, queue: str = QUEUE.name) -> str:
    """Hand in a job now; return its id."""
    job_id = f"{len(world.jobs):016x}"
    job = make_job(job_id, STEP)
    world.submit(attrs.evolve(job, queue=queue, accepted_utc_ms=world.utc_ms()))
    return job_id


def play_burst(world: AdviceWorld, factor: float, period_ms: float = PERIOD_MS) -> None:
    """Hand in jobs, with a burst among them, and wait until they should be done."""
    began_ms = world.now_ms
    length_ms = BEFORE_MS + BURST_MS + AFTER_MS
    while (at_ms := world.now_ms - began_ms) < length_ms:
        in_burst = BEFORE_MS <= at_ms < BEFORE_MS + BURST_MS
        submit(world)
        world.run(period_ms / (factor if in_burst else 1))
    world.run(FINISH_MS)


class AdviceLoadTest(unittest.TestCase):
    """Jobs come faster for a while than the service decides, or it is slow."""

    def check_done(self, world: AdviceWorld) -> None:
        """Check that all jobs are done, and that few starts were refused."""
        states = [world.state(job_id) for job_id in world.jobs]
        self.assertEqual(states.count(JobState.DONE), len(states))
        starts = sum(world.starts.values())
        self.assertLessEqual(len(world.refused), MAX_REFUSED_SHARE * starts)
        self.assertEqual(world.violations, [])

    # Guards against tickets that expire while their request waits for earlier ones.
    def test_burst(self) -> None:
        """A burst of 2.6 times the traffic that the service can just bear."""
        for counts_from_answer in (True, False):
            with self.subTest(counts_from_answer=counts_from_answer):
                world = make_world(
                    100, 60, 3_000, counts_from_answer=counts_from_answer
                )
                play_burst(world, BURST_FACTOR)
                self.check_done(world)

    # Guards against requests for more workers than the service decides on in time.
    def test_requests_fit_the_traffic(self) -> None:
        """The service needs longer for 12 workers than the jobs are apart."""
        world = make_world(100, 100, 3_000)
        play_burst(world, 1.0)
        self.check_done(world)

    # Guards against tickets whose validity is shorter than the margin for the start.
    def test_short_validity(self) -> None:
        """Tickets are valid for less than half a second."""
        for counts_from_answer in (True, False):
            with self.subTest(counts_from_answer=counts_from_answer):
                world = make_world(40, 10, 400, counts_from_answer=counts_from_answer)
                play_burst(world, BURST_FACTOR)
                self.check_done(world)

    # Guards against tickets that count as expired before they have arrived.
    def test_decision_longer_than_the_validity(self) -> None:
        """The validity counts from the answer, as no start is possible otherwise."""
        world = make_world(2_000, 10, 1_500)
        play_burst(world, 1.0, period_ms=4_000)
        self.check_done(world)

    # Guards against a start at every worker for tickets that are never valid.
    def test_refused_starts_are_bounded(self) -> None:
        """The validity is over before the answer comes."""
        world = make_world(2_000, 10, 1_500, counts_from_answer=False)
        for _ in range(5):
            submit(world)
        world.run(60_000)
        self.assertEqual(sum(world.starts.values()), 0)
        self.assertLessEqual(len(world.refused), 60_000 / 2_000)

    # Guards against requests that keep a service busy with what nobody waits for.
    def test_service_that_was_slow(self) -> None:
        """The service takes 20 times as long for a while; then all goes on."""
        world = make_world(100, 60, 3_000)
        for _ in range(3):
            submit(world)
            world.run(PERIOD_MS)
        world.slow_factor = 20.0
        for _ in range(15):
            submit(world)
            world.run(PERIOD_MS)
        world.slow_factor = 1.0
        world.run(FINISH_MS + 15_000)
        self.check_done(world)
        self.assertEqual(world.rejected, 0)

    # Guards against a queue whose jobs wait behind all those of another one.
    def test_two_queues(self) -> None:
        """One queue gets more jobs than the service can decide on."""
        world = make_world(100, 300, 3_000)
        other = attrs.evolve(world.queue, name="patient", prefix="/p/")
        world.configure(world.queue, other)
        few = []
        for _ in range(10):
            for _ in range(16):
                submit(world)
                world.run(PERIOD_MS / 4)
            few.append(submit(world, other.name))
        world.run(4_000)
        states = [world.state(job_id) for job_id in few]
        self.assertEqual(states, [JobState.DONE] * len(few))

    # Guards against a request in each round to a service that doesn't answer.
    def test_service_that_is_down(self) -> None:
        """Requests fail at once for 10 s."""
        world = make_world(100, 60, 3_000, service_up=False)
        submit(world)
        world.run(10_000)
        self.assertLess(len(world.advice_requests), 20)
        world.service_up = True
        world.run(6_000)
        self.check_done(world)


if __name__ == "__main__":
    unittest.main()
