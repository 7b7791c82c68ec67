"""Names of tasks that workers list."""

import unittest

from poplarlb.state.jobs import parse_task_name


class TaskNameTest(unittest.TestCase):
    """A text that is no task's name is recognized as such."""

    # Guards against an exception that deposes each owner that polls such a worker.
    def test_digits_that_are_no_number(self) -> None:
        """Such a text is no task's name."""
        self.assertIsNone(parse_task_name("a.\u00b2.0.0"))
        self.assertIsNone(parse_task_name(f"a.{'9' * 5000}.0.0"))


if __name__ == "__main__":
    unittest.main()
