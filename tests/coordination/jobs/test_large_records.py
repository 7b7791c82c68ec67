"""Jobs whose progress record would be larger than the store takes."""

import unittest

import attrs
from attrs import Factory, define

from poplarlb.coordination.jobs import events
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.state import job_records
from poplarlb.state.jobs import Job, JobState, StepSpec
from poplarlb.state.models import Resources
from tests.coordination.jobs.job_world import JobWorld, make_job

LIMIT_BYTES = 8_000
CHECKPOINT_SIZE = 300
TASKS = 60
LARGE, SMALL = "a" * 16, "b" * 16
SIZE = Resources(500, 100)
LASTING = StepSpec(TASKS, SIZE, checkpoints=True, long_running=True)


@define(eq=False)
class SmallStoreWorld(JobWorld):
    """A world whose store refuses a commit with a value over its limit, each time.

    :ivar refused: how many commits it refused.
    """

    policy: JobPolicy = Factory(lambda: JobPolicy(record_limit_bytes=LIMIT_BYTES))
    refused: int = 0

    def _commit(self, command: events.Commit, owner, sent_ms: int) -> None:
        if any(len(record.value) > LIMIT_BYTES for record in command.records):
            self.refused += 1
            self.later(200, lambda: self._commit(command, owner, sent_ms))
            return
        super()._commit(command, owner, sent_ms)


def make_job_with(spec: StepSpec, sizes: list[int]) -> Job:
    """Return a job with one step whose tasks have checkpoints of these sizes."""
    job = Job(make_job(LARGE, spec))
    for task, size in zip(job.open_occurrence(0).steps[0], sizes, strict=True):
        task.checkpoint, task.run = "x" * size, 1
    return job


class LargeRecordTest(unittest.TestCase):
    """Checkpoints for which a record has no space are left out."""

    # Guards against a commit that the store refuses for good, so that nothing is
    # started any more, for any job.
    def test_other_jobs_go_on(self) -> None:
        """A worker crashes under a large job; a small one is handed in after that."""
        world = SmallStoreWorld(work_ms=600_000)
        world.new_owner()
        world.add_workers(4, checkpoint_size=CHECKPOINT_SIZE)
        world.run(200)
        world.submit(make_job(LARGE, LASTING))
        world.run(3_000)
        self.assertEqual(len(world.running()), TASKS)
        worker = world.workers["w0"]
        worker.restart(worker.incarnation + 1_000)
        world.relist("w0")
        world.run(3_000)
        world.work_ms = 500
        world.submit(make_job(SMALL))
        world.run(5_000)
        self.assertEqual(world.refused, 0)
        self.assertIs(world.state(SMALL), JobState.DONE)
        self.assertEqual(len(world.logged_events("checkpoints_left_out")), 1)
        self.assertEqual(len(world.running()), TASKS)

    def test_the_largest_go_first(self) -> None:
        """No more are left out than the record's space requires."""
        job = make_job_with(LASTING, [100 + number for number in range(TASKS)])
        excess = len(job_records.encode_progress(job)) - 6_000
        left_out = job_records.choose_left_out(job, excess)
        value = job_records.encode_progress(job, left_out)
        self.assertLessEqual(len(value), 6_000)
        self.assertGreater(len(value), 6_000 - 160)
        kept = [task for task in job.occurrences[0].steps[0] if task not in left_out]
        self.assertEqual([task.index for task in kept], list(range(len(kept))))

    # Guards against a gang whose members resume from different checkpoints.
    def test_gangs_keep_all_or_none(self) -> None:
        """All members of the gang are stored without theirs."""
        gang = attrs.evolve(LASTING, gang=True, long_running=False)
        job = make_job_with(gang, [100] * TASKS)
        left_out = job_records.choose_left_out(job, 1)
        self.assertEqual(len(left_out), TASKS)


if __name__ == "__main__":
    unittest.main()
