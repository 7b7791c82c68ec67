"""Stored records of jobs that can't be read."""

import unittest

import orjson

from poplarlb.exceptions import BadAnswerError
from poplarlb.state import job_records
from poplarlb.state.jobs import CrashedRun, Job, JobSpec, JobState, StepSpec, TaskStatus
from poplarlb.state.models import Resources

STEP = StepSpec(2, Resources(1_000, 1_000), estimate_ms=500)


def make_job() -> Job:
    """Return an accepted job."""
    return Job(JobSpec("a" * 16, "orders", "desk", 0, "payload", (STEP,)))


class JobRecordsTest(unittest.TestCase):
    """A record in another format doesn't end its reader, nor repeat what is done."""

    # Guards against an error that ends each daemon that loads such a record in turn.
    def test_records_of_other_types(self) -> None:
        """Each is reported as unreadable."""
        row = {"state": JobState.ACTIVE, "reason": "", "next": 1}
        for changed in ({"occurrences": []}, {"occurrences": {"0": {}}}):
            with self.subTest(changed), self.assertRaises(BadAnswerError):
                job_records.restore_progress(make_job(), orjson.dumps(row | changed))

    # Guards against done tasks that run again as only their crashes can't be read.
    def test_unreadable_crashes(self) -> None:
        """The tasks' states are restored without the crashes."""
        job = make_job()
        tasks = job.open_occurrence(0).steps[0]
        tasks[0].status, tasks[0].run = TaskStatus.DONE, 1
        tasks[1].crashed_runs = (CrashedRun(1, True),)
        job.crashed_tasks.append(tasks[1])
        row = orjson.loads(job_records.encode_progress(job))
        row["crashes"][0].append("added by a later version")
        restored = make_job()
        job_records.restore_progress(restored, orjson.dumps(row))
        self.assertIs(restored.find_task(0, 0, 0).status, TaskStatus.DONE)
        self.assertTrue(restored.stored)


if __name__ == "__main__":
    unittest.main()
