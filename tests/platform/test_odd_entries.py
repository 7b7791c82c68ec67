"""Entries of workers that another writer wrote, on real daemons."""

import asyncio
import base64
import json
import unittest

from tests.platform.deployment import JOB, Deployment
from tests.platform.test_operator import ODD_VALUES
from tests.transport.test_http_client import ODD_ADDRESSES

ID = "0123456789abcdef"
ROUNDS = 6
ODD_S = 0.3  # how long a sound worker's entry is overwritten


class OddEntryTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons and two workers; one entry is odd."""

    async def asyncSetUp(self) -> None:
        """Start them."""
        self.deployment = Deployment()
        await self.deployment.start(daemons=2)

    async def asyncTearDown(self) -> None:
        """Stop them."""
        await self.deployment.stop()

    def read_entry(self, worker_id: str) -> dict:
        """Return a worker's entry."""
        item = self.deployment.store.table.items[f"servers/{worker_id}"]
        return json.loads(base64.b64decode(item.value))

    def write_entry(self, worker_id: str, entry: dict | bytes) -> None:
        """Write an entry as another writer does."""
        value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
        self.deployment.store.table.put(f"servers/{worker_id}", value)

    def count_takeovers(self) -> int:
        """Return how often an ownership began."""
        return sum(item.ownership.takeovers for item in self.deployment.live())

    def count_lines(self, event: str) -> int:
        """Return how many lines of an event were logged."""
        return sum(line["event"] == event for line in self.deployment.lines)

    # Guards against an odd address that ends the ownership in a start, and is counted
    # as an error of the job that was to be started.
    async def test_overwritten_address(self) -> None:
        """Jobs are done under one ownership while an entry has an odd port at times."""
        sound = self.read_entry("w0")
        jobs = []
        for number in range(ROUNDS):
            jobs += [f"{4 * number + item:016x}" for item in range(4)]
            for job_id in jobs[-4:]:
                await self.deployment.call("POST", f"/o/{job_id}", JOB)
            self.write_entry("w0", {**sound, "addr": "127.0.0.1:70000"})
            await asyncio.sleep(ODD_S)
            self.write_entry("w0", sound)
        for job_id in jobs:
            await self.deployment.wait_for_state(job_id, "done", timeout_s=15.0)
        self.assertEqual(self.count_takeovers(), 1)
        self.assertEqual(self.count_lines("ownership_failed"), 0)

    # Guards against an entry that is taken for a worker and polled for ever.
    async def test_odd_address_under_its_own_key(self) -> None:
        """The entry names no worker, jobs are done, and one line says why."""
        sound = self.read_entry("w0")
        for number in range(50):
            entry = {**sound, "addr": "127.0.0.1:70000", "sequence": number}
            self.write_entry("odd", entry)
            await asyncio.sleep(0.02)
        await self.deployment.call("POST", f"/o/{ID}", JOB)
        await self.deployment.wait_for_state(ID, "done")
        (owner,) = [item for item in self.deployment.live() if item.owns_jobs()]
        workers = owner.ownership.owner.dispatcher.state.workers
        self.assertEqual(sorted(workers), ["w0", "w1"])
        self.assertEqual(self.count_takeovers(), 1)
        self.assertEqual(self.count_lines("entry_unusable"), 1)
        self.assertEqual(self.count_lines("answer_unreadable"), 0)

    # Guards against any other odd entry, over a sound one or beside it.
    async def test_every_odd_value(self) -> None:
        """Jobs are done under one ownership, and the overwritten worker comes back."""
        sound = self.read_entry("w0")
        huge = {"cpu": 2**53, "memMb": 2**53, "gpu": 2**53}
        odd = [*ODD_VALUES, {**sound, "born": 2**53}, {**sound, "capacity": huge}]
        odd += [{**sound, "addr": address} for address in ODD_ADDRESSES]
        jobs = [f"{number:016x}" for number in range(len(odd))]
        for job_id, value in zip(jobs, odd, strict=True):
            self.write_entry("w0", value)
            self.write_entry(f"odd{job_id}", value)
            await self.deployment.call("POST", f"/o/{job_id}", JOB)
            await asyncio.sleep(0.05)
            self.write_entry("w0", sound)
            await asyncio.sleep(0.05)
        for job_id in jobs:
            await self.deployment.wait_for_state(job_id, "done", timeout_s=15.0)
        self.assertEqual(self.count_takeovers(), 1)
        self.assertEqual(self.count_lines("ownership_failed"), 0)
        (owner,) = [item for item in self.deployment.live() if item.owns_jobs()]
        worker = owner.ownership.owner.dispatcher.state.workers["w0"]
        await self.deployment.wait_until(lambda: worker.is_reachable)

    # Guards against a record by which a daemon ends when it starts.
    async def test_odd_record_of_processors(self) -> None:
        """A daemon starts beside an unreadable record, and replaces it."""
        self.deployment.store.table.put("strongest", b"[]")
        await self.deployment.start_daemon("d2")
        await asyncio.sleep(ODD_S)
        self.assertFalse(self.deployment.running["d2"].done())
        self.assertEqual(self.count_lines("part_failed"), 0)
        item = self.deployment.store.table.items["strongest"]
        self.assertGreater(json.loads(base64.b64decode(item.value)), 0)


if __name__ == "__main__":
    unittest.main()
