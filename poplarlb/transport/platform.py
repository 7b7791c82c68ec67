"""Clients for the platform's host list (JSON) and its workers (CBOR over HTTP).

The host list names the workers with their capacities and addresses.
"""

import urllib3
from loguru import logger

from poplarlb.exceptions import ProtocolError
from poplarlb.protocol import codec, hosts, ports
from poplarlb.settings import PlatformSettings
from poplarlb.state.models import ENDED_STATES
from poplarlb.transport.error_reports import ErrorReporter

FAULTS_LOGGED = 20  # of one host list; the others are counted in one more line
SHOWN_LIMIT = 200  # characters of what a worker sent, in a log line
TASK_STATES = ENDED_STATES | {"running"}


class PlatformAdapter:
    """Reads the host list and calls workers; blocks the calling thread.

    ``list_tag`` is the entity tag of ``listed``, the host list that was last read.
    ``logged`` holds the faults of the last reading, which are logged when they begin.

    :param settings: addresses, periods and timeouts.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        """Create a pool that keeps up to 4 connections to each address."""
        self.settings = settings
        self.pool = urllib3.PoolManager(num_pools=2_000, maxsize=4, retries=False)
        self.list_tag = ""
        self.listed = ports.HostsListed(())
        self.logged: frozenset[hosts.HostFault] = frozenset()
        self.errors = ErrorReporter()

    def read_hosts(self) -> ports.HostsListed | None:
        """Return the host list, or ``None`` if it can't be read.

        The request is conditional on the entity tag (RFC 9110), so that an unchanged
        list is not transferred again. An odd entry counts as not listed.
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
            found = hosts.parse_hosts(response.data, self.listed.workers)
        except urllib3.exceptions.HTTPError:
            return None
        except ProtocolError as error:
            self._log_faults((hosts.HostFault("all", error.detail),))
            return None
        self._log_faults(found.faults)
        self.listed = ports.HostsListed(found.workers)
        self.list_tag = response.headers.get("ETag", "")
        return self.listed

    def _log_faults(self, faults: tuple[hosts.HostFault, ...]) -> None:
        """Log the faults that the last reading didn't have, within a limit."""
        new = [item for item in faults if item not in self.logged]
        self.logged = frozenset(faults)
        for item in new[:FAULTS_LOGGED]:
            line = logger.bind(host=item.host, fault=item.fault, outcome="not used")
            line.warning("entry {} of the host list is odd: {}", item.host, item.fault)
        left = len(new) - FAULTS_LOGGED
        if left > 0:
            logger.warning("{} more entries of the host list are odd", left)

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
            answer = codec.decode(response.data, ports.WorkerAnswer)
            self._log_unknown_states(address, answer)
            return answer
        except (urllib3.exceptions.HTTPError, ProtocolError) as error:
            return ports.WorkerFailed(f"{type(error).__name__}: {error}")

    def _log_unknown_states(self, address: str, answer: ports.WorkerAnswer) -> None:
        odd = [item for item in answer.report.tasks if item.state not in TASK_STATES]
        if not odd or not self.errors.is_due(("state", address)):
            return
        task = f"{odd[0].key.team}/{odd[0].key.task_id}"[:SHOWN_LIMIT]
        line = logger.bind(worker=address, task=task, outcome="taken for running")
        state = odd[0].state[:SHOWN_LIMIT]
        line.warning("{} tasks of a worker are in unknown states: {}", len(odd), state)
