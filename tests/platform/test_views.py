"""Tests of what daemons decide by data of the store that is old or incomplete.

Within 2 s of its acknowledgement an operator's change must be in force.
"""

import asyncio
import json
import unittest

from poplarlb.platform.wire import decode_job
from poplarlb.state.job_records import encode_job
from poplarlb.state.jobs import QueueConfig
from tests.platform.deployment import CONFIG, JOB, Deployment

ID = "0123456789abcdef"
CONFIG_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0
DRAIN_BOUND_S = 2.0
START_S = 1.0  # a job starts well within this
IN_FLIGHT_S = 1.2  # calls made before a fault may still be answered for so long
ADDED = {**CONFIG["routes"][0], "name": "new", "prefix": "/n/"}
NEWER = {**CONFIG, "version": 9, "routes": [*CONFIG["routes"], ADDED]}


class ViewTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons and two workers; the store is reached through a link."""

    async def asyncSetUp(self) -> None:
        """Start them."""
        self.system = Deployment()
        await self.system.start(daemons=2, linked=True)
        self.store = self.system.store

    async def asyncTearDown(self) -> None:
        """Stop them."""
        await self.system.stop()

    async def status(self, path: str, daemon: str) -> int:
        """Return the status of a daemon's answer to a GET."""
        return (await self.system.call("GET", path, daemon=daemon)).status

    def store_job(self) -> None:
        """Store an accepted job, as a daemon does."""
        body = json.dumps(JOB).encode()
        spec = decode_job(body, ID, QueueConfig("orders", "", "/o/", "desk"), 1)
        self.store.table.put(f"in/job/{ID}", encode_job(spec))

    def versions(self) -> set[int]:
        """Return the versions in force at the daemons."""
        return {daemon.config_version() for daemon in self.system.live()}

    # A watch that is never answered must not hide a change for longer than the bound.
    async def test_added_queue_is_served_although_watches_are_silent(self) -> None:
        """The change is found without a watch."""
        self.store.silent_watches = True
        await asyncio.sleep(IN_FLIGHT_S)
        self.system.configure(NEWER)
        await asyncio.sleep(CONFIG_BOUND_S)
        for daemon in ("d0", "d1"):
            self.assertEqual(await self.status("/n/", daemon), 200)

    # After connections went silent, retries must not take further dead ones in turn.
    async def test_silent_connections_delay_a_change_less_than_the_bound(self) -> None:
        """Every daemon has the change in time although all its connections died."""
        for daemon in ("d0", "d1"):
            calls = (self.status(f"/o/{ID}", daemon) for _ in range(8))
            await asyncio.gather(*calls)
        self.system.link.blackhole()
        self.system.configure(NEWER)
        await asyncio.sleep(CONFIG_BOUND_S)
        self.assertEqual(self.versions(), {9})

    # A change that a watch's answer leaves out must be found, not be lost for good.
    async def test_change_that_watches_skipped_is_in_force_in_time(self) -> None:
        """The change is found by a listing."""
        self.store.hidden_keys.add("op/config")
        self.system.configure(NEWER)
        await asyncio.sleep(CONFIG_BOUND_S)
        self.assertEqual(self.versions(), {9})

    # By a configuration that may be out of date nothing is answered but "not run".
    async def test_requests_are_refused_by_an_outdated_configuration(self) -> None:
        """An unknown queue isn't answered with 404, and no job is accepted."""
        self.store.silent_prefixes = ("op/",)
        await asyncio.sleep(IN_FLIGHT_S)
        self.system.configure(NEWER)
        await asyncio.sleep(CONFIG_BOUND_S)
        for daemon in ("d0", "d1"):
            for method, path in (("GET", "/n/"), ("POST", f"/o/{ID}")):
                answer = await self.system.call(method, path, JOB, daemon)
                self.assertEqual(answer.status, 503)
            self.assertFalse(self.system.daemons[daemon].is_ready())
        self.store.silent_prefixes = ()
        self.system.link.reset()
        await asyncio.sleep(CONFIG_BOUND_S)
        self.assertEqual(await self.status("/n/", "d0"), 200)
        self.assertEqual(self.system.workers.starts, [])

    # After an outage the views are old; the first request must not be refused for that.
    async def test_first_request_after_an_outage_is_served(self) -> None:
        """The operator's entries are listed as soon as the store answers again."""
        self.store.refusing = True
        await asyncio.sleep(CONFIG_BOUND_S + START_S)
        self.store.refusing = False
        daemons = self.system.live()
        await self.system.wait_until(
            lambda: not any(daemon.store.is_down for daemon in daemons)
        )
        for daemon in ("d0", "d1"):
            self.assertEqual(await self.status(f"/o/{ID}", daemon), 410)

    # A request must not be rejected by a size limit that may be out of date.
    async def test_outdated_limit_rejects_nothing(self) -> None:
        """A body above the old limit is refused as not run, not as too large."""
        self.store.silent_prefixes = ("op/",)
        await asyncio.sleep(IN_FLIGHT_S)
        self.system.configure({**NEWER, "limits": {"maxBodyBytes": 100_000}})
        await asyncio.sleep(CONFIG_BOUND_S)
        answer = await self.system.call("POST", f"/o/{ID}", b"x" * 30_000)
        self.assertEqual(answer.status, 503)

    # A configuration that can't be decoded must not leave the one before in force.
    async def test_unreadable_configuration_ends_the_one_before(self) -> None:
        """Requests are refused, and nothing starts, until there is a readable one."""
        self.system.configure({**NEWER, "version": "9"})
        await asyncio.sleep(CONFIG_BOUND_S)
        self.store_job()
        await asyncio.sleep(START_S)
        self.assertEqual(self.system.workers.starts, [])
        for path in ("/n/", f"/o/{ID}"):
            self.assertEqual(await self.status(path, "d0"), 503)
        self.system.configure({**NEWER, "version": 10})
        await asyncio.sleep(CONFIG_BOUND_S)
        self.assertEqual(await self.status("/n/", "d0"), 200)
        await self.system.wait_for_state(ID, "done")

    # One queue with a field of an unknown type must not keep out the other queues.
    async def test_unreadable_queue_is_refused_alone(self) -> None:
        """The other queues of its configuration are in force."""
        odd = {**ADDED, "name": "odd", "prefix": "/odd/", "sloMs": {"p50": 3}}
        self.system.configure({**NEWER, "routes": [*NEWER["routes"], odd]})
        await asyncio.sleep(CONFIG_BOUND_S)
        self.assertEqual(await self.status("/n/", "d0"), 200)
        self.assertEqual(await self.status("/odd/", "d0"), 503)
        self.assertEqual(await self.status("/nothing/", "d0"), 404)

    # The owner must not place by a view of the operator's entries that may be outdated.
    async def test_nothing_starts_by_an_outdated_evacuation_view(self) -> None:
        """Starts stop when the operator's entries can't be read."""
        self.store.silent_prefixes = ("op/",)
        await asyncio.sleep(IN_FLIGHT_S)
        self.store.table.put("op/evacuate/z1", b"{}")
        await asyncio.sleep(CONFIG_BOUND_S)
        self.store_job()
        await asyncio.sleep(START_S)
        self.assertEqual(self.system.workers.starts, [])

    # An evacuation that a watch's answer leaves out must be found.
    async def test_skipped_evacuation_is_obeyed(self) -> None:
        """No task starts in the zone once the bound has passed."""
        self.store.hidden_keys.add("op/evacuate/z1")
        self.store.table.put("op/evacuate/z1", b"{}")
        await asyncio.sleep(EVACUATION_BOUND_S)
        await self.system.call("POST", f"/o/{ID}", JOB)
        await asyncio.sleep(START_S)
        self.assertEqual(self.system.workers.starts, [])

    # Workers whose drain a watch's answer leaves out must get no further tasks.
    async def test_skipped_drain_is_obeyed(self) -> None:
        """No task starts after the 2 s within which a drain must be obeyed."""
        for name, worker in self.system.workers.workers.items():
            self.store.hidden_keys.add(f"servers/{name}")
            worker.draining = True
            self.system.workers.list(worker)
        await asyncio.sleep(DRAIN_BOUND_S)
        await self.system.call("POST", f"/o/{ID}", JOB)
        await asyncio.sleep(START_S)
        self.assertEqual(self.system.workers.starts, [])

    # A job or cancellation that a watch's answer leaves out must not be lost.
    async def test_skipped_job_and_cancellation_are_found(self) -> None:
        """The job starts, and its runs are stopped after it was cancelled."""
        self.system.workers.work_ms = 60_000
        self.store.hidden_keys |= {"in/job/" + ID, "in/cancel/" + ID}
        await self.system.call("POST", f"/o/{ID}", JOB)
        await self.system.wait_for_state(ID, "active", timeout_s=12.0)
        await self.system.call("DELETE", f"/o/{ID}")
        await self.system.wait_for_state(ID, "cancelled", timeout_s=3.0)

    # A lost ownership that a watch's answer leaves out must not end all placement.
    async def test_skipped_end_of_ownership_is_found(self) -> None:
        """A daemon that knows the owner takes over after the owner's end."""
        await self.system.start_daemon("d2")
        self.store.hidden_keys.add("holder")
        self.system.kill("d0")
        self.system.kill("d1")
        await self.system.wait_until(self.system.daemons["d2"].owns_jobs, 5.0)


if __name__ == "__main__":
    unittest.main()
