"""Jobs whose queue isn't in the configuration, or before any is known."""

import unittest

import attrs

from poplarlb.coordination.jobs import events
from poplarlb.state import job_records
from poplarlb.state.jobs import JobState, QueueConfig, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import (
    LOW_PRIORITY,
    QUEUE,
    JobWorld,
    make_job,
)

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
STEP = StepSpec(1, Resources(1_000, 1_000), estimate_ms=500)


def make_world(queue: QueueConfig = QUEUE, stored: bool = True) -> JobWorld:
    """Return a world with a job whose task runs and will end as failed.

    :param stored: the job's record has the queue as configured at acceptance.
    """
    world = JobWorld(work_ms=500, queue=queue, failing={TASK})
    world.new_owner()
    world.add_workers(2)
    world.run(200)
    spec = make_job(JOB, STEP, accepted_by=queue.limits if stored else None)
    value = job_records.encode_job(spec)
    world.submit(job_records.decode_job(value))
    world.run(200)
    return world


class UnknownQueueTest(unittest.TestCase):
    """Accepted work isn't lost or run by other limits while its queue is away."""

    def check_is_done(self, world: JobWorld) -> None:
        """Let the task succeed, and check that the job is done."""
        world.failing.clear()
        world.run(5_000)
        self.assertIs(world.state(JOB), JobState.DONE)

    # Guards against review/4: a job failed after one failed run of three allowed, as
    # its queue was away from the configuration at that moment.
    def test_run_fails_while_the_queue_is_away(self) -> None:
        """The queue is removed, a run fails, and the queue is added again."""
        world = make_world()
        world.configure(LOW_PRIORITY)
        world.run(600)
        self.assertIsNot(world.state(JOB), JobState.FAILED)
        self.assertEqual(world.failing & {TASK}, {TASK})
        world.failing.clear()
        world.run(600)
        world.configure(QUEUE, LOW_PRIORITY)
        self.check_is_done(world)

    # Guards against a task that is started more often than allowed meanwhile.
    def test_limit_holds_while_the_queue_is_away(self) -> None:
        """Every run fails; the job fails after three."""
        world = make_world()
        world.configure(LOW_PRIORITY)
        world.run(10_000)
        self.assertIs(world.state(JOB), JobState.FAILED)
        self.assertEqual(world.starts[TASK], QUEUE.max_attempts)

    # Guards against the same in an owner that has read no configuration yet.
    def test_no_configuration_after_a_takeover(self) -> None:
        """The next owner reads the end of the failed run before any configuration."""
        world = make_world()
        world.config_known = False
        world.new_owner()
        world.run(2_000)
        self.assertIsNot(world.state(JOB), JobState.FAILED)
        world.configure(QUEUE, LOW_PRIORITY)
        self.check_is_done(world)

    # Guards against limits that a later version raised and a takeover forgets.
    def test_later_limits_outlast_a_takeover(self) -> None:
        """A job accepted with one attempt is allowed three; the queue goes."""
        world = make_world(attrs.evolve(QUEUE, max_attempts=1))
        world.configure(QUEUE, LOW_PRIORITY)
        world.configure(LOW_PRIORITY)
        world.run(100)
        world.new_owner()
        world.run(600)
        self.assertIsNot(world.state(JOB), JobState.FAILED)
        self.check_is_done(world)

    # Guards against the default limit of a queue whose own can't be read.
    def test_limits_of_a_queue_that_cannot_be_read(self) -> None:
        """A version has the queue with a malformed limit."""
        world = make_world()
        fault = attrs.evolve(QUEUE, max_attempts=1, fault="maxAttempts: not a number")
        world.configure(fault, LOW_PRIORITY)
        world.run(600)
        self.assertIsNot(world.state(JOB), JobState.FAILED)
        self.check_is_done(world)

    # Guards against the highest priority for jobs whose queue was removed.
    def test_priority_is_kept(self) -> None:
        """A job of a removed queue of low priority comes after others."""
        world = make_world(attrs.evolve(QUEUE, priority=2))
        other = make_job("b" * 16, STEP)
        world.submit(attrs.evolve(other, queue=LOW_PRIORITY.name))
        world.configure(attrs.evolve(LOW_PRIORITY, priority=1))
        state = world.owner.state
        priorities = [state.queue_of(state.jobs[job]).priority for job in world.jobs]
        self.assertEqual(priorities, [2, 1])

    # Guards against starts without the ticket that a removed queue's jobs need.
    def test_advice_is_asked_for(self) -> None:
        """The queue needs advice, and is away when the job is read."""
        world = JobWorld(queue=attrs.evolve(QUEUE, needs_advice=True))
        world.new_owner()
        world.add_workers(2)
        world.advised = {"w1"}
        world.run(200)
        world.configure(LOW_PRIORITY)
        world.submit(make_job(JOB, STEP, accepted_by=world.queue.limits))
        world.run(2_000)
        self.assertEqual(world.tickets, ["t-w1"])
        self.assertIs(world.state(JOB), JobState.DONE)

    # Guards against records of earlier versions, which have no limits.
    def test_record_without_limits(self) -> None:
        """A task isn't started again, nor its job failed, until the limit is known."""
        world = make_world(stored=False)
        world.configure(LOW_PRIORITY)
        world.owner.state.jobs[JOB].last_queue = None
        world.run(3_000)
        self.assertEqual(world.starts[TASK], 1)
        self.assertIsNot(world.state(JOB), JobState.FAILED)
        world.configure(attrs.evolve(QUEUE, max_attempts=1), LOW_PRIORITY)
        world.run(600)
        self.assertIs(world.state(JOB), JobState.FAILED)
        self.assertEqual(world.starts[TASK], 1)

    # Guards against a job that fails by an unreadable configuration.
    def test_unreadable_configuration(self) -> None:
        """The newest configuration can't be read while the run fails."""
        world = make_world()
        world.feed(events.ConfigUnreadable())
        world.run(1_000)
        self.assertIsNot(world.state(JOB), JobState.FAILED)
        world.configure(QUEUE, LOW_PRIORITY)
        self.check_is_done(world)


if __name__ == "__main__":
    unittest.main()
