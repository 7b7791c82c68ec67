"""Stored records of jobs that can't be read."""

import unittest

import orjson

from poplarlb.exceptions import BadAnswerError
from poplarlb.state import job_records
from poplarlb.state.job_records import LateCall
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

    # Guards against a next owner that isn't told of a start in flight.
    def test_starting_tasks(self) -> None:
        """The tasks whose start may be yet to be sent or answered are restored."""
        job = make_job()
        tasks = job.open_occurrence(0).steps[0]
        for task in tasks:
            task.status, task.run, task.worker_id = TaskStatus.PLACED, 1, "w0"
        restored = make_job()
        value = job_records.encode_progress(job, starting=tasks[1:])
        job_records.restore_progress(restored, value)
        self.assertFalse(restored.find_task(0, 0, 0).starting)
        self.assertTrue(restored.find_task(0, 0, 1).starting)


class LateCallsTest(unittest.TestCase):
    """The record of calls that may be carried out late."""

    def test_round_trip(self) -> None:
        """Each call is restored as it was."""
        calls = (
            LateCall("w0", "t", 1, 500),
            LateCall("w1", "t", 2, -500, answered=True),
            LateCall("w2", "", 0, 7),
        )
        value = job_records.encode_late_calls(calls)
        self.assertEqual(job_records.decode_late_calls(value), calls)

    # Guards against an upgrade after which the calls of the last owner are unknown.
    def test_record_of_an_earlier_version(self) -> None:
        """It doesn't tell whether a start was answered."""
        value = orjson.dumps([["w0", "t", 1, 500]])
        expected = (LateCall("w0", "t", 1, 500),)
        self.assertEqual(job_records.decode_late_calls(value), expected)

    # Guards against a daemon of an earlier version that can't read the record.
    def test_record_for_an_earlier_version(self) -> None:
        """A start that wasn't answered has four fields."""
        value = job_records.encode_late_calls((LateCall("w0", "t", 1, 500),))
        self.assertEqual(orjson.loads(value), [["w0", "t", 1, 500]])


if __name__ == "__main__":
    unittest.main()
