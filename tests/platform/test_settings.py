"""Tests of the platform's settings file."""

import json
import pathlib
import tempfile
import unittest

from poplarlb.exceptions import SettingsError
from poplarlb.platform.daemon import build_policy, operator_watch
from poplarlb.platform.settings import DEFAULT_MEMORY_MB, load_settings

VALID = {
    "node": "edge-1",
    "zone": "kochi",
    "ip": "10.1.0.13",
    "listen": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167"},
    "limits": {"cpuShare": 0.43},
    "bounds": {"graceS": 6, "holdMaxMs": 6000, "stopMs": 200, "farX": 1.5},
    "platform": {"addr": "10.200.1.7:8169"},
}


class SettingsTest(unittest.TestCase):
    """Valid files are read; all faults of invalid ones are reported."""

    def load(self, document: object):
        """Write a document to a file and load it."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "local.json"
            text = document if isinstance(document, str) else json.dumps(document)
            path.write_text(text)
            return load_settings(path)

    def test_valid_file(self) -> None:
        """Durations are converted to milliseconds; unknown fields are ignored."""
        settings = self.load({**VALID, "new": {"field": 1}})
        self.assertEqual(settings.daemon_id, "edge-1")
        self.assertEqual(settings.bounds.grace_ms, 6_000)
        self.assertEqual(settings.bounds.lease_limit_ms, 6_000)
        self.assertEqual(settings.advice_address, "")

    def test_limits_of_the_machine(self) -> None:
        """They are those of the smallest machine if the file names none."""
        self.assertEqual(self.load(VALID).memory_mb, DEFAULT_MEMORY_MB)
        limits = {"memoryMb": 552, "maxFds": 8_192}
        settings = self.load({**VALID, "limits": limits})
        self.assertEqual((settings.memory_mb, settings.descriptors), (552, 8_192))

    def test_policy_stays_within_the_bounds(self) -> None:
        """Leases are no longer than the limit of the workers."""
        bounds = {**VALID["bounds"], "holdMaxMs": 3_000}
        policy = build_policy(self.load({**VALID, "bounds": bounds}))
        self.assertLessEqual(policy.lease_ms, 3_000)

    # A bound longer than the default must not stop placement at the default's age.
    def test_views_may_be_as_old_as_the_bounds_allow(self) -> None:
        """The shorter of the bounds on drains and configurations counts."""
        for drain_ms, config_ms, age_ms in (
            (2_000, 2_000, 1_500),
            (3_000, 3_000, 2_500),
            (3_000, 2_000, 1_500),
        ):
            bounds = {**VALID["bounds"], "drainMs": drain_ms, "configMs": config_ms}
            policy = build_policy(self.load({**VALID, "bounds": bounds}))
            self.assertEqual(policy.max_view_age_ms, age_ms)

    # Guards against a file that ends the process when it is read again.
    def test_odd_files_are_refused(self) -> None:
        """A file of any content is read or refused, with a short reason."""
        texts = [
            "[" * 100_000,
            '{"node":' * 100_000,
            "\x00",
            '{"a":' + "9" * 5_000 + "}",
        ]
        for name in ("graceS", "stopMs", "holdMaxMs", "status_s", "configMs", "farX"):
            for value in ("1e999", "-1e999", "NaN", "-1", "9" * 400, "1e300"):
                bounds = f'{{"{name}": {value}}}'
                texts.append(
                    json.dumps({**VALID, "bounds": None}).replace("null", bounds)
                )
        for address in (
            "10.0.0.1:\xb2",
            "10.0.0.1:70000",
            "10.0.0.1\r\nX: 1:80",
            ":80",
        ):
            texts.append(json.dumps({**VALID, "platform": {"addr": address}}))
            texts.append(json.dumps({**VALID, "advice": address}))
        for text in texts:
            with self.subTest(text=text[:40], end=text[-60:]):
                with self.assertRaises(SettingsError) as raised:
                    self.load(text)
                self.assertLess(len(raised.exception.detail), 400)

    def test_configuration_is_listed_well_within_its_bound(self) -> None:
        """A listing that times out leaves a fifth of the bound for the next one."""
        for bound_ms in (500, 2_000, 3_000):
            bounds = {**VALID["bounds"], "configMs": bound_ms}
            watch = operator_watch(self.load({**VALID, "bounds": bounds}))
            spent_s = watch.list_period_s + watch.list_timeout_s
            self.assertLessEqual(spent_s, 0.8 * bound_ms / 1000)
        bounds = {**VALID["bounds"], "configMs": 0}
        with self.assertRaises(SettingsError) as caught:
            self.load({**VALID, "bounds": bounds})
        self.assertIn("configMs", caught.exception.detail)

    def test_all_faults_are_reported_at_once(self) -> None:
        """Three faults of a file are all reported."""
        bad = {**VALID, "node": 7, "zone": None, "platform": {"addr": "nowhere"}}
        with self.assertRaises(SettingsError) as caught:
            self.load(bad)
        for fault in ("node: wrong type", "zone: missing", "platform.addr"):
            self.assertIn(fault, caught.exception.detail)

    def test_unreadable_files(self) -> None:
        """A file that is not a JSON object is a fault."""
        for text in ("", "{", "[]", "3"):
            with self.subTest(text=text), self.assertRaises(SettingsError):
                self.load(text)


if __name__ == "__main__":
    unittest.main()
