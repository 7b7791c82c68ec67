"""Clients for the platform's host list (JSON) and its workers (CBOR over HTTP).

The host list names the workers with their capacities and addresses.
"""

import json

import urllib3

from poplarlb.exceptions import ProtocolError
from poplarlb.protocol import codec, ports
from poplarlb.settings import PlatformSettings
from poplarlb.state.models import HostState, Resources, Worker


class PlatformAdapter:
    """Reads the host list and calls workers; blocks the calling thread.

    ``list_tag`` is the entity tag of ``listed``, the host list that was last read.

    :param settings: addresses, periods and timeouts.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        """Create a pool that keeps up to 4 connections to each address."""
        self.settings = settings
        self.pool = urllib3.PoolManager(num_pools=2_000, maxsize=4, retries=False)
        self.list_tag = ""
        self.listed = ports.HostsListed(())

    def read_hosts(self) -> ports.HostsListed | None:
        """Return the host list, or ``None`` if it can't be read.

        The request is conditional on the entity tag (RFC 9110), so that an unchanged
        list is not transferred again.
        """
        url = f"http://{self.settings.hosts_address}/v1/hosts"
        timeout_s = self.settings.worker_timeout_ms / 1000
        headers = {"If-None-Match": self.list_tag} if self.list_tag else {}
        try:
            response = self.pool.request("GET", url, headers=headers, timeout=timeout_s)
            if response.status == 304:
                return self.listed
            if response.status != 200:
                return None
            items = json.loads(response.data)["hosts"]
            self.listed = ports.HostsListed(tuple(_parse_host(item) for item in items))
            self.list_tag = response.headers.get("ETag", "")
            return self.listed
        except (urllib3.exceptions.HTTPError, KeyError, ValueError, TypeError):
            return None

    def call_worker(
        self, address: str, batch: ports.WorkerBatch
    ) -> ports.WorkerAnswer | ports.WorkerFailed:
        """Send a batch; return ``WorkerFailed`` if there is no valid answer."""
        try:
            response = self.pool.request(
                "POST",
                f"http://{address}/v1/batch",
                body=codec.encode(batch, ports.WorkerBatch),
                headers={"Content-Type": "application/cbor"},
                timeout=self.settings.worker_timeout_ms / 1000,
            )
            if response.status != 200:
                return ports.WorkerFailed(f"status {response.status}")
            return codec.decode(response.data, ports.WorkerAnswer)
        except (urllib3.exceptions.HTTPError, ProtocolError) as error:
            return ports.WorkerFailed(f"{type(error).__name__}: {error}")


def _parse_host(item: dict) -> Worker:
    size = Resources(item["cpu_millis"], item["memory_mb"], item["accelerators"])
    return Worker(
        item["id"],
        item["zone"],
        item["rack"],
        item["address"],
        size,
        item["slots"],
        item["connections"],
        HostState(item["state"]),
    )
