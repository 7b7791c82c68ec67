"""Who gets a turn at the advice service while wide jobs use up their tickets."""

import unittest

import attrs
from attrs import define

from poplarlb.coordination.jobs import events
from poplarlb.state.jobs import StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import QUEUE, TICKET_MS, JobWorld, make_job

WORKERS = 40
WIDE_JOBS = 30
SMALL_JOBS = 5
REQUEST_MS, WORKER_MS = 20, 15  # the service handles one request after another
MAX_WAIT_MS = 10_000  # two rounds of all jobs would take less
WIDE = StepSpec(400, Resources(6_000, 1_000), estimate_ms=400)
SMALL = StepSpec(1, Resources(100, 100), estimate_ms=100)


@define(eq=False)
class SlowAdviceWorld(JobWorld):
    """A world whose advice service takes its time for each request."""

    busy_until_ms: float = 0.0

    def _advise(self, command, owner, sent_ms: int) -> None:
        self.advice_requests.append(command)
        tickets = tuple(
            (name, f"t-{name}") for name in command.workers if name in self.advised
        )
        took_ms = REQUEST_MS + WORKER_MS * len(command.workers)
        self.busy_until_ms = max(self.busy_until_ms, self.now_ms) + took_ms
        answer = events.AdviceAnswered(
            command.step, command.workers, sent_ms, tickets, TICKET_MS
        )
        delay_ms = self.busy_until_ms - self.now_ms
        self.later(delay_ms, lambda: self._answer(owner, answer))


class AdviceTurnsTest(unittest.TestCase):
    """Tickets of wide jobs expire before the jobs have all they ask for."""

    def test_each_job_gets_a_turn(self) -> None:
        """Guards against a small urgent job that is never asked for."""
        queue = attrs.evolve(QUEUE, needs_advice=True)
        world = SlowAdviceWorld(work_ms=400, queue=queue)
        world.new_owner()
        world.add_workers(WORKERS)
        world.run(500)
        world.advised = {f"w{number}" for number in range(0, WORKERS, 2)}
        for number in range(WIDE_JOBS):
            world.submit(make_job(f"a{number:015x}", WIDE))
        world.run(3_000)
        small = {f"b{number:015x}" for number in range(SMALL_JOBS)}
        for job_id in small:
            job = make_job(job_id, SMALL)
            world.submit(attrs.evolve(job, accepted_utc_ms=world.utc_ms()))
        world.run(MAX_WAIT_MS)
        asked = {command.step[0] for command in world.advice_requests}
        self.assertEqual(small - asked, set())


if __name__ == "__main__":
    unittest.main()
