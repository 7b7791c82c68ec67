"""Records of jobs whose fields are nested very deeply or of another type."""

import unittest

import orjson

from poplarlb.coordination.jobs import bad_jobs
from poplarlb.coordination.jobs.interference import InterferenceModel
from poplarlb.exceptions import BadAnswerError
from poplarlb.state import job_records
from poplarlb.state.jobs import Job, JobSpec, StepSpec
from poplarlb.state.models import Resources

SPEC = JobSpec("0" * 16, "q", "s", 1, "", (StepSpec(1, Resources(1, 1, 1)),))
DEEP = b"[" * 1_000 + b"]" * 1_000
PROGRESS = {
    "state": "active",
    "reason": "",
    "next": 1,
    "occurrences": {"0": [[[1, 1, [], "", "w", 1]]]},
    "crashes": [[0, 0, 0, [], 0, 0]],
}
LEARNED = {"slopes": {}, "utc_ms": 5, "margins": [["a", 0, 0, 1, 1, 5]], "forecast": []}
MARK = "here"


def replace_each(row: object, value: bytes) -> list[bytes]:
    """Return a record once for each of its values, with that one replaced."""
    found = []

    def visit(node: object, set_node) -> None:
        set_node(MARK)
        found.append(orjson.dumps(root[0]).replace(b'"%s"' % MARK.encode(), value))
        set_node(node)
        if isinstance(node, dict | list):
            keys = list(node) if isinstance(node, dict) else range(len(node))
            for key in keys:
                visit(node[key], lambda item, key=key: node.__setitem__(key, item))

    root = [orjson.loads(orjson.dumps(row))]
    visit(root[0], lambda item: root.__setitem__(0, item))
    return found


class OddRecordTest(unittest.TestCase):
    """Every reader of a record reads it or refuses it."""

    # Guards against a record that raises an error which its reader doesn't expect.
    def test_any_value_may_be_odd(self) -> None:
        """No record raises anything but a BadAnswerError."""
        readers = {
            "progress": (PROGRESS, restore_progress),
            "state": (PROGRESS, job_records.decode_job_state),
            "job": (orjson.loads(job_records.encode_job(SPEC)), job_records.decode_job),
            "waiting": (
                {"utc_ms": 1, "queues": {"q": 1}},
                job_records.decode_waiting_counts,
            ),
            "lapses": ({"w": 1}, job_records.decode_lease_remainders),
            "late-calls": ([["w", "t", 1, 1]], job_records.decode_late_calls),
            "errors": ({"a": 1}, bad_jobs.decode_errors),
            "learned": (LEARNED, restore_learned),
        }
        for name, (row, read) in readers.items():
            for value in (DEEP, b"1e300", b"-1", b"null", b'"x"', b"{}", b"[]"):
                for record in replace_each(row, value):
                    with self.subTest(name=name, record=record[:80]):
                        try:
                            read(record)
                        except BadAnswerError:
                            continue


class WaitingCountsTest(unittest.TestCase):
    """The counts of waiting jobs, which requests are answered by."""

    # Guards against counts that pass as read and fail a request with status 500.
    def test_types(self) -> None:
        """A time and counts that aren't numbers are refused."""
        record = {"utc_ms": 1, "queues": {"q": 1}}
        for value in (DEEP, b"null", b'"x"', b"{}", b"[]"):
            for name in (b'"utc_ms":1', b'"q":1'):
                key = name[:-1]
                with self.subTest(key=key, value=value[:20]):
                    changed = orjson.dumps(record).replace(name, key + value)
                    with self.assertRaises(BadAnswerError):
                        job_records.decode_waiting_counts(changed)
        with self.assertRaises(BadAnswerError):
            job_records.decode_waiting_counts(b'{"utc_ms":1,"queues":[]}')
        counts = job_records.decode_waiting_counts(orjson.dumps(record))
        self.assertEqual((counts.utc_ms, counts.queues), (1, {"q": 1}))


def restore_progress(record: bytes) -> None:
    """Restore a job's progress."""
    job_records.restore_progress(Job(SPEC), record)


def restore_learned(record: bytes) -> None:
    """Restore what an owner has learned."""
    InterferenceModel().restore(record, 10, 10)


if __name__ == "__main__":
    unittest.main()
