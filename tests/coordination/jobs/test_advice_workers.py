"""Which workers the advice service is asked about."""

import unittest

import attrs

from poplarlb.state.jobs import AdviceTimes, JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.advice_world import AdviceWorld
from tests.coordination.jobs.job_world import QUEUE, make_job

SMALL, LARGE = Resources(8_000, 32_000), Resources(32_000, 64_000)
SIZE = Resources(1_000, 1_000)
ID = "a" * 16


def make_world(*queues, **fields) -> AdviceWorld:
    """Return a world with an owner and queues that need advice."""
    advice = AdviceTimes(20, 10, 3_000)
    queue = attrs.evolve(QUEUE, needs_advice=True, advice=advice)
    world = AdviceWorld(queue=queue, decide_ms=20, each_ms=10, **fields)
    world.new_owner()
    return world


class AdviceWorkersTest(unittest.TestCase):
    """A step's request is about the workers that can run it."""

    # Guards against requests about the workers with most capacity, of the wrong kind.
    def test_required_label(self) -> None:
        """The workers with the label have less capacity than many others."""
        world = make_world()
        world.add_workers(30, capacity=LARGE, rack="r1")
        world.add_workers(2, capacity=SMALL, rack="r2")
        world.run(500)
        world.submit(make_job(ID, StepSpec(2, SIZE, required_label="r2")))
        world.run(5_000)
        self.assertIs(world.state(ID), JobState.DONE)

    # Guards against tickets at workers that are too small for the tasks.
    def test_accelerators(self) -> None:
        """The workers with accelerators have fewer processors than many others."""
        world = make_world()
        world.add_workers(30, capacity=LARGE)
        world.add_workers(2, capacity=attrs.evolve(SMALL, accelerators=1))
        world.run(500)
        world.submit(make_job(ID, StepSpec(2, attrs.evolve(SIZE, accelerators=1))))
        world.run(5_000)
        self.assertIs(world.state(ID), JobState.DONE)

    # Guards against a gang whose tickets are spread over all racks.
    def test_gang_in_one_rack(self) -> None:
        """Each rack holds the gang."""
        world = make_world()
        for number in range(24):
            world.add_workers(1, rack=f"r{number % 4}")
        world.run(500)
        spec = StepSpec(5, SIZE, gang=True, same_rack=True, max_per_worker=1)
        world.submit(make_job(ID, spec))
        world.run(5_000)
        self.assertIs(world.state(ID), JobState.DONE)

    # Guards against a gang that fits in no rack and is never asked for.
    def test_gang_in_two_racks(self) -> None:
        """It runs in both."""
        world = make_world()
        world.add_workers(3, rack="r1")
        world.add_workers(3, rack="r2")
        world.run(500)
        spec = StepSpec(5, SIZE, gang=True, same_rack=True, max_per_worker=1)
        world.submit(make_job(ID, spec))
        world.run(6_000)
        self.assertIs(world.state(ID), JobState.DONE)

    # Guards against a wide gang whose first tickets expire before the last ones come.
    def test_wide_gang_beside_other_jobs(self) -> None:
        """Other jobs take their turns between the requests for a gang."""
        world = make_world(advised={f"w{number}" for number in range(0, 60, 2)})
        world.each_ms = 40
        world.add_workers(60)
        world.run(500)
        spec = StepSpec(25, SIZE, gang=True, max_per_worker=1)
        world.submit(make_job(ID, spec))
        for number in range(100):
            job = make_job(f"{number:016x}", StepSpec(4, SIZE))
            world.submit(attrs.evolve(job, accepted_utc_ms=world.utc_ms()))
            world.run(300)
        self.assertIs(world.state(ID), JobState.DONE)

    # Guards against a worker that gets no runs at all after a refused ticket.
    def test_refused_ticket_pauses_no_worker(self) -> None:
        """The service's ticket isn't valid; another queue's job uses the worker."""
        world = make_world()
        world.add_workers(1)
        world.run(500)
        world.refuses_all = True
        world.submit(make_job(ID))
        while not world.refused:
            world.run(20)
        world.run(100)
        world.submit(attrs.evolve(make_job("b" * 16), queue="patient"))
        world.run(200)
        self.assertIn(f"{'b' * 16}.0.0.0", world.placed_tasks())

    # Guards against a start that is sent when its ticket has expired meanwhile.
    def test_slow_commit(self) -> None:
        """The store takes longer than the tickets are valid."""
        world = make_world(valid_ms=1_000)
        world.add_workers(4)
        world.run(500)
        world.submit(make_job(ID))
        world.run(60)
        world.store_up = False
        world.run(1_400)
        world.store_up = True
        world.run(4_000)
        self.assertEqual(world.refused, [])
        self.assertIs(world.state(ID), JobState.DONE)


if __name__ == "__main__":
    unittest.main()
