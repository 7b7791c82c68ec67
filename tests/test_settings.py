"""Tests of the settings file, and of the page that documents it."""

import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

from poplarlb import daemon
from poplarlb.exceptions import SettingsError
from poplarlb.settings import load_settings, parse_settings
from tests import settings_page

VALID = {"member_id": "d1", "zone": "kochi", "shards": {"zones": ["kochi"]}}


def faults_of(table: dict) -> list[str]:
    """Return the faults of a table."""
    try:
        parse_settings(table)
    except SettingsError as error:
        return error.detail.splitlines()
    return []


class SettingsTest(unittest.TestCase):
    """Validation of settings."""

    def test_every_fault_at_once(self) -> None:
        """Faults in several tables are reported together."""
        table = {
            "member_id": "D 1",
            "zone": "kochi",
            "colour": 1,
            "store": {"address": "store.example:2379", "timeout_ms": 1},
            "api": {"listen": "127.0.0.1:99999", "operator_secret": 5},
            "logs": {"level": "LOUD", "json": 1},
            "tick_ms": True,
        }
        faults = "\n".join(faults_of(table))
        for part in (
            "member_id = 'D 1': must be lower-case",
            "colour: unknown key; allowed: api, config",
            "store.address = 'store.example:2379': must be an IP address",
            "store.timeout_ms = 1: must be between 50 and 60000",
            "api.listen = '127.0.0.1:99999': must be an IP",
            "api.operator_secret = (hidden): must be of type str",
            "logs.level = 'LOUD': must be one of",
            "logs.json = 1: must be of type bool",
            "tick_ms = True: must be of type int",
        ):
            self.assertIn(part, faults)
        self.assertEqual(len(faults.splitlines()), 9)

    def test_inconsistent_values(self) -> None:
        """Values that are valid but inconsistent with each other are faults."""
        self.assertEqual(faults_of(VALID), [])
        cases = {
            "zone = 'kollam'": {"zone": "kollam"},
            "tasks.renew_period_ms": {"tasks": {"lease_ms": 5_000}},
            "config.poll_period_ms": {"config": {"poll_period_ms": 3_000}},
            "api.tls_certificate": {"api": {"tls_key": "k.pem"}},
            "api.operator_secret": {"api": {"listen": "10.0.0.1:80"}},
            "peers.secret": {"peers": {"listen": "10.0.0.1:81"}},
        }
        for start, change in cases.items():
            faults = faults_of({**VALID, **change})
            self.assertEqual([f[: len(start)] for f in faults], [start])
        extra = {"zones": ["kochi"], "extra_zones": ["edge"]}
        self.assertEqual(faults_of({**VALID, "zone": "edge", "shards": extra}), [])

    def test_check_flag(self) -> None:
        """``--check`` reports all faults and exits with 2, and starts nothing."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "d.toml")
            path.write_text('member_id = "d1"\n')
            command = ["poplarlbd", "--config", str(path), "--check"]
            errors = io.StringIO()
            with (
                mock.patch("sys.argv", command),
                contextlib.redirect_stderr(errors),
                self.assertRaises(SystemExit) as stopped,
            ):
                daemon.main()
            self.assertEqual(stopped.exception.code, daemon.EXIT_BAD_SETTINGS)
            self.assertIn("zone: missing", errors.getvalue())
            self.assertRaises(SettingsError, load_settings, folder + "/none.toml")

    def test_every_setting_is_documented(self) -> None:
        """The page is up to date; ``python -m tests.settings_page`` generates it."""
        self.assertEqual(settings_page.PAGE.read_text(), settings_page.render())

    def test_secrets_are_not_shown(self) -> None:
        """The representation of settings contains no secret."""
        table = {**VALID, "api": {"operator_secret": "hush-1"}}
        table["peers"] = {"secret": "hush-2"}
        self.assertNotIn("hush", repr(parse_settings(table)))


if __name__ == "__main__":
    unittest.main()
