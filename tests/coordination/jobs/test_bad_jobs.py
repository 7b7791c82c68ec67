"""Finding the job that an unexpected error is about, and setting it aside."""

import unittest
from collections import Counter
from unittest import mock

from poplarlb.coordination.jobs.bad_jobs import (
    MAX_ERRORS,
    decode_errors,
    encode_errors,
    find_job_id,
)
from poplarlb.coordination.jobs.dispatcher import Dispatcher
from poplarlb.coordination.jobs.events import (
    AdviceAnswered,
    CallOutcome,
    CancelStored,
    EndedRow,
    Event,
    JobStored,
    StartAnswered,
    StopAnswered,
    ThrottleAnswered,
)
from poplarlb.coordination.jobs.policy import JobPolicy
from poplarlb.coordination.jobs.schedule import Scheduler
from poplarlb.exceptions import BadAnswerError
from poplarlb.state import job_records
from poplarlb.state.jobs import Job, JobState, RunEnd
from tests.coordination.jobs.job_world import JobWorld, make_job

BAD, OTHER = "b" * 16, "a" * 16


def fail_with(*arguments) -> None:
    """Raise an error that names nothing."""
    raise ZeroDivisionError


def handle_row(row: EndedRow) -> None:
    """Fail while a row is handled."""
    fail_with(row)


def loop_over(jobs: list[Job]) -> None:
    """Fail in a loop over jobs."""
    for job in jobs:
        if job.spec.job_id == BAD:
            fail_with()


def pass_on(job: Job, rows: list[EndedRow]) -> None:
    """Fail in a function for one job that loops over rows of another."""
    for row in rows:
        handle_row(row)


def decide(event: Event, jobs: list[Job]) -> None:
    """Fail in a decision about all jobs that follows an event."""
    loop_over(jobs)


def fail_after(event: Event) -> None:
    """Fail after an event with nothing else that names a job."""
    fail_with()


def events_about(job_id: str) -> tuple[Event, ...]:
    """Return an event of each kind that names one job."""
    task, done = f"{job_id}.0.0.0", CallOutcome.DONE
    return (
        JobStored(make_job(job_id)),
        CancelStored(job_id),
        StartAnswered("w0", task, 1, 0, done),
        StopAnswered("w0", task, 1, 0, done),
        ThrottleAnswered("w0", task, 1, 50, done),
        AdviceAnswered((job_id, 0, 0), ("w0",), 0),
    )


def caught(function, *arguments) -> BaseException:
    """Return the error that a call raises."""
    try:
        function(*arguments)
    except ZeroDivisionError as error:
        return error
    raise AssertionError("it raised nothing")


class FindJobTest(unittest.TestCase):
    """The innermost function with a job, or a part of one, names the job."""

    def test_found(self) -> None:
        """An argument before a variable; the innermost first; a row's task."""
        bad, other = Job(make_job(BAD)), Job(make_job(OTHER))
        row = EndedRow(1, f"{BAD}.0.0.0", 1, RunEnd.DONE, "")
        task = bad.open_occurrence(0).steps[0][0]
        self.assertEqual(find_job_id(caught(handle_row, row)), BAD)
        self.assertEqual(find_job_id(caught(handle_row, task)), BAD)
        self.assertEqual(find_job_id(caught(loop_over, [other, bad, other])), BAD)
        self.assertEqual(find_job_id(caught(pass_on, other, [row])), BAD)
        self.assertEqual(find_job_id(caught(fail_with)), "")

    # Guards against a job that fails because its events precede another's errors, while
    # that one ends every ownership.
    def test_decision_after_an_event(self) -> None:
        """The job being decided about, not that of the event; else the event's."""
        bad = Job(make_job(BAD))
        for event in events_about(OTHER):
            with self.subTest(event=type(event).__name__):
                self.assertEqual(find_job_id(caught(decide, event, [bad])), BAD)
                self.assertEqual(find_job_id(caught(fail_after, event)), OTHER)

    def test_placement_when_another_job_arrives(self) -> None:
        """A placement that fails names its job, whichever event preceded it."""
        world = JobWorld()
        world.new_owner()
        world.add_workers(2)
        world.run(200)
        original = Scheduler._place_job

        def place(*arguments) -> None:
            if arguments[1].spec.job_id == BAD:
                fail_with()
            original(*arguments)

        with mock.patch.object(Scheduler, "_place_job", place):
            for job_id in (BAD, OTHER):
                error = caught(world.feed, JobStored(make_job(job_id)))
                self.assertEqual(find_job_id(error), BAD)

    def test_record(self) -> None:
        """It is read as written; a malformed one raises the product's error."""
        errors = Counter({BAD: 2, OTHER: 1})
        self.assertEqual(decode_errors(encode_errors(errors)), errors)
        for value in (b"", b"[]", b'{"a": []}', b"1"):
            self.assertRaises(BadAnswerError, decode_errors, value)


class SetAsideTest(unittest.TestCase):
    """A job with several errors fails, and its runs are stopped."""

    # Guards against a job that ends every ownership, so that no other job gets on.
    def test_next_owner_sets_it_aside(self) -> None:
        """Its tasks run when the next owner takes over."""
        world = JobWorld(work_ms=60_000)
        world.new_owner()
        world.add_workers(2)
        world.run(200)
        world.submit(make_job(BAD))
        world.run(1_000)
        self.assertTrue(world.running())
        jobs = [Job(world.jobs[BAD])]
        job_records.restore_progress(jobs[0], world.records[BAD])
        world.epoch += 1
        world.owner = Dispatcher.take_over(
            JobPolicy(),
            world.epoch,
            jobs,
            int(world.now_ms),
            errors={BAD: MAX_ERRORS},
            utc_ms=world.utc_ms(),
        )
        for worker_id in world.workers:
            world.relist(worker_id)
        world.run(3_000)
        self.assertIs(world.state(BAD), JobState.FAILED)
        self.assertEqual(world.running(), {})
        world.new_owner()
        world.run(1_000)
        self.assertIs(world.state(BAD), JobState.FAILED)


if __name__ == "__main__":
    unittest.main()
