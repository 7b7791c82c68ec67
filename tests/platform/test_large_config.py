"""A configuration of hundreds of kilobytes, read over a slow link.

The pattern is a growth of the configuration by many routes, in which every daemon
fetches it, and what they fetch afterwards while nothing changes.
"""

import asyncio
import unittest

from tests.platform.deployment import CONFIG, JOB, Deployment

ID = "0123456789abcdef"
ROUTES = 1_480
LINK_BYTES_PER_S = 750_000  # a third of a link of 2 Mbit/s for each of three daemons
CONFIG_BOUND_S = 4.0
IDLE_S = 3.0
# Of a daemon's link of 2 Mbit/s, what proofs of an unchanged view may take.
IDLE_BYTES_PER_S = 5_000
DAEMONS = 3
GROWTHS = 3
GROWTH_ROUTES = 1_400
GROWTH_BOUND_S = 3.0
# Three daemons with links of 5 Mbit/s.
GROWTH_LINK_BYTES_PER_S = 1_875_000
TRANSFERS_S = 15.0  # the value crosses all links together in 3 to 4 s
QUERIED_S = 3.0
QUERY_PERIOD_S = 0.05
ROUND_TRIP_S = 0.5


def grown(version: int, routes: int) -> dict:
    """Return a configuration with more routes."""
    added = [
        {**CONFIG["routes"][0], "name": f"r{number}", "prefix": f"/r{number}/"}
        for number in range(routes)
    ]
    return {**CONFIG, "version": version, "routes": [*CONFIG["routes"], *added]}


class LargeConfigTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons reach the store over one slow link."""

    async def asyncSetUp(self) -> None:
        """Start them and let the configuration grow."""
        self.system = Deployment(config_ms=int(CONFIG_BOUND_S * 1000))
        await self.system.start(daemons=DAEMONS, linked=True)
        self.store, self.link = self.system.store, self.system.link
        self.link.bytes_per_s = LINK_BYTES_PER_S
        self.system.configure(grown(9, ROUTES))

    async def asyncTearDown(self) -> None:
        """Stop them."""
        await self.system.stop()

    def versions(self) -> set[int]:
        """Return the versions in force at the daemons."""
        return {daemon.config_version() for daemon in self.system.live()}

    async def statuses(self, path: str) -> set[int]:
        """Return the statuses of all daemons' answers to a GET."""
        answers = [
            await self.system.call("GET", path, daemon=name)
            for name in self.system.daemons
        ]
        return {answer.status for answer in answers}

    async def test_it_is_in_force_in_time(self) -> None:
        """Every daemon serves the new routes, and then also a removal of them."""
        await asyncio.sleep(CONFIG_BOUND_S)
        self.assertEqual(self.versions(), {9})
        self.assertEqual(await self.statuses(f"/r{ROUTES - 1}/"), {200})
        self.system.configure(grown(10, 1))
        await asyncio.sleep(CONFIG_BOUND_S)
        self.assertEqual(self.versions(), {10})
        self.assertEqual(await self.statuses(f"/r{ROUTES - 1}/"), {404})

    async def test_proofs_carry_only_what_changed(self) -> None:
        """While nothing changes the daemons are ready, and read next to nothing."""
        await asyncio.sleep(2 * CONFIG_BOUND_S)
        before = self.link.sent_bytes
        await asyncio.sleep(IDLE_S)
        sent = self.link.sent_bytes - before
        self.assertLess(sent, DAEMONS * IDLE_S * IDLE_BYTES_PER_S)
        self.assertTrue(all(daemon.is_ready() for daemon in self.system.live()))
        await self.system.call("POST", f"/o/{ID}", JOB)
        await self.system.wait_for_state(ID, "done")

    async def test_change_that_watches_skipped_is_in_force_in_time(self) -> None:
        """A comparison finds it, and brings its value."""
        await asyncio.sleep(CONFIG_BOUND_S)
        self.store.hidden_keys.add("op/config")
        self.system.configure(grown(10, ROUTES))
        await asyncio.sleep(CONFIG_BOUND_S)
        self.assertEqual(self.versions(), {10})

    async def test_evacuation_that_watches_skipped_is_obeyed(self) -> None:
        """A comparison also finds entries that did not exist."""
        await asyncio.sleep(CONFIG_BOUND_S)
        self.store.hidden_keys.add("op/evacuate/z1")
        self.store.table.put("op/evacuate/z1", b"{}")
        await asyncio.sleep(CONFIG_BOUND_S)
        for daemon in self.system.live():
            self.assertEqual(daemon.operator.zones_out, {"z1"})

    async def test_lost_answers_delay_a_change_less_than_the_bound(self) -> None:
        """Comparisons without an answer are repeated."""
        await asyncio.sleep(CONFIG_BOUND_S)
        self.store.unanswered_writes = 4
        self.store.hidden_keys.add("op/config")
        self.system.configure(grown(10, ROUTES))
        await asyncio.sleep(CONFIG_BOUND_S)
        self.assertEqual(self.versions(), {10})


class RepeatedGrowthTest(unittest.IsolatedAsyncioTestCase):
    """The configuration grows three times, to 1.5 MB, over links of 5 Mbit/s each."""

    async def asyncSetUp(self) -> None:
        """Start three daemons behind one link, which all of them share."""
        self.system = Deployment(config_ms=int(GROWTH_BOUND_S * 1000))
        await self.system.start(daemons=DAEMONS, linked=True)
        self.system.link.bytes_per_s = GROWTH_LINK_BYTES_PER_S

    async def asyncTearDown(self) -> None:
        """Stop them."""
        await self.system.stop()

    async def refusals(self, duration_s: float) -> list[tuple[str, int]]:
        """Ask each daemon for a job's state; return the refusals: daemon and status."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s
        found = []
        while loop.time() < until_s:
            for name in self.system.daemons:
                answer = await self.system.call("GET", f"/o/{ID}", daemon=name)
                if answer.status != 200:
                    found.append((name, answer.status))
            await asyncio.sleep(QUERY_PERIOD_S)
        return found

    # Guards against daemons on slow links that refuse every request long after the
    # configuration has grown, as their views are never proven in time.
    async def test_states_are_answered_after_each_growth(self) -> None:
        """Once a version must be in force, every daemon answers each query."""
        await self.system.call("POST", f"/o/{ID}", JOB)
        await self.system.wait_for_state(ID, "done")
        for growth in range(1, GROWTHS + 1):
            self.system.configure(grown(10 * growth, growth * GROWTH_ROUTES))
            await asyncio.sleep(GROWTH_BOUND_S + ROUND_TRIP_S)
            self.assertEqual(self.versions(), {10 * growth})
            self.assertEqual(await self.refusals(QUERIED_S), [])

    # Guards against daemons that refuse all requests for ever after a missed change, as
    # the comparison whose answer brings the large value is given up while it arrives.
    async def test_missed_change_of_a_large_configuration_is_found(self) -> None:
        """The watches leave a change out; every daemon applies it, and answers."""
        await self.system.call("POST", f"/o/{ID}", JOB)
        await self.system.wait_for_state(ID, "done")
        routes = GROWTHS * GROWTH_ROUTES
        self.system.configure(grown(10, routes))
        await self.system.wait_until(lambda: self.versions() == {10}, TRANSFERS_S)
        self.system.store.hidden_keys.add("op/config")
        self.system.configure(grown(11, routes))
        await self.system.wait_until(lambda: self.versions() == {11}, TRANSFERS_S)
        await asyncio.sleep(GROWTH_BOUND_S)
        self.assertEqual(await self.refusals(QUERIED_S), [])

    def versions(self) -> set[int]:
        """Return the versions in force at the daemons."""
        return {daemon.config_version() for daemon in self.system.live()}


if __name__ == "__main__":
    unittest.main()
