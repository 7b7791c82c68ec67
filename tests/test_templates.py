"""Tests of templates: inheritance, parameters, validation, effective changes."""

import pathlib
import tempfile
import unittest

from poplarlb.exceptions import BadRequestError
from poplarlb.state.models import WorkClass
from poplarlb.template_files import load_team
from poplarlb.templates import build_team, check_team, diff_teams, to_table

EXAMPLES = pathlib.Path("examples/templates")
KERALA = ("kochi", "thrissur", "kozhikode", "kollam")
BASE = """
zones = ["kochi"]
[parameters]
replicas = 2
[quota]
cpu_millis = 1000
memory_mb = 1000
[services.orders]
replicas = "${replicas}"
size = { cpu_millis = 100, memory_mb = 100 }
"""
BAD = """
extends = "base.toml"
team = "Dairy"
zones = ["kochi", "atlantis"]
colour = "red"

[parameters]
unused = 1

[services.orders]
replicas = "${replica}"
target_ms = 0
[batch.settlement]
class = "soon"
"""


class TemplateFileTest(unittest.TestCase):
    """Template files in a temporary folder."""

    def setUp(self) -> None:
        """Write the base file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.write("base.toml", BASE)

    def write(self, name: str, text: str) -> str:
        """Write a file and return its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def faults(self, text: str) -> list[str]:
        """Return the faults of a file, without the path of the folder."""
        with self.assertRaises(BadRequestError) as caught:
            load_team(self.write("team.toml", text), KERALA)
        return caught.exception.detail.replace(f"{self.folder}/", "").splitlines()

    def test_base_and_parameters(self) -> None:
        """A team's file overrides the parameters and values of its base file."""
        text = 'extends = "base.toml"\nteam = "dairy"\n[parameters]\nreplicas = 5\n'
        team = load_team(self.write("team.toml", text), KERALA)
        self.assertEqual(team.services[0].replicas, 5)
        self.assertEqual(team.zones, ("kochi",))

    def test_every_fault_with_its_line(self) -> None:
        """All faults of a file are reported at once, each with its file and line."""
        self.assertEqual(
            [fault.split(";")[0] for fault in self.faults(BAD)],
            [
                "team.toml:11: services.orders.replicas: no parameter 'replica'",
                "base.toml:4: parameters.replicas: unused parameter",
                "team.toml:8: parameters.unused: unused parameter",
                "team.toml:5: colour: unknown key",
                "team.toml:3: team: 'Dairy' is not a name",
                "team.toml:4: zones: no zone 'atlantis'",
                "team.toml:11: services.orders.replicas: '${replica}' is not allowed",
                "team.toml:12: services.orders.target_ms: 0 is not allowed",
                "team.toml:14: batch.settlement.class: 'soon' is not allowed",
                "team.toml:13: batch.settlement.size.cpu_millis: missing",
                "team.toml:13: batch.settlement.size.memory_mb: missing",
            ],
        )

    def test_unreadable_files(self) -> None:
        """Invalid TOML, a missing base and a file that extends itself are faults."""
        self.assertIn("team.toml: Invalid value", self.faults("team = ")[0])
        self.assertIn("can't be read", self.faults('extends = "none.toml"')[0])
        self.assertIn("nested base files", self.faults('extends = "team.toml"')[0])
        self.assertIn("is not a file name", self.faults("extends = 5")[0])

    def test_wrong_types(self) -> None:
        """Values of a wrong type are reported as faults."""
        text = 'team = "a"\nzones = "kochi"\nquota = 5\nservices = [1]\nbatch.x = 1\n'
        found = "\n".join(self.faults(text))
        for part in ("zones", "quota: not a table", "services: not tables", "batch.x"):
            self.assertIn(part, found)


class TemplateTest(unittest.TestCase):
    """Conversion and comparison of templates."""

    def test_examples(self) -> None:
        """The example templates are valid, and equal after conversion to a table."""
        for name in ("vellakkal", "kitakaze"):
            team = load_team(str(EXAMPLES / f"{name}.toml"))
            self.assertEqual(check_team(team), [])
            self.assertEqual(build_team(to_table(team)), team)
        self.assertIs(team.batch[0].work_class, WorkClass.LONG_LIVED)

    def test_effective_changes(self) -> None:
        """Only effective values that differ are reported."""
        old = load_team(str(EXAMPLES / "vellakkal.toml"))
        table = to_table(old)
        table["services"]["confirmations"]["target_ms"] = 200
        del table["batch"]["settlement"]
        found = [str(change) for change in diff_teams(old, build_team(table))]
        prefix = "~ vellakkal.services.confirmations"
        self.assertIn(f"{prefix}.target_ms = 250 -> 200", found)
        self.assertIn("- vellakkal.batch.settlement.class = patient", found)
        self.assertEqual(len(found), 8)
        self.assertEqual(diff_teams(old, old), [])


if __name__ == "__main__":
    unittest.main()
