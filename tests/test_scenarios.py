"""Runs scripted scenarios: one test for each file in ``tests/scenarios``."""

import pathlib
import unittest

from tests.harness.scenario import Scenario, read_scenario

FOLDER = pathlib.Path(__file__).parent / "scenarios"


class ScenarioTest(unittest.TestCase):
    """Each scenario runs to its end, and all its expectations hold."""


def _make_test(path: pathlib.Path):
    def test(self: unittest.TestCase) -> None:
        Scenario(read_scenario(path)).run()

    test.__doc__ = f"Run {path.name}."
    return test


for _path in sorted(FOLDER.glob("*.scn")):
    _name = "test_" + _path.stem.replace("-", "_")
    setattr(ScenarioTest, _name, _make_test(_path))
