"""The events that the state machines handle and the commands that they return.

A state machine is called as ``handle(event, now_ms) -> list[command]``. Adapters in
``transport`` execute the commands and deliver the answers as events. ``call_id``
matches an answer to its call; it is unique within one daemon.
"""

from attrs import frozen

from poplarlb.protocol.api import ApiBody, ApiResult
from poplarlb.protocol.messages import PeerMessage
from poplarlb.state.models import (
    Resources,
    TaskKey,
    TaskSpec,
    Worker,
    WorkerReport,
)

# --- the platform's key-value store --------------------------------------------


@frozen
class StoreEntry:
    """One key of the store; ``version`` changes with every write of the key."""

    key: str
    value: bytes
    version: int


@frozen
class StoreRead:
    """Read the keys under a prefix that changed after the revision ``newer_than``.

    0 reads every key.
    """

    prefix: str
    newer_than: int = 0


@frozen
class StoreWrite:
    """Write a key if it is at ``expected_version``; 0 means absent.

    The key is bound to the lease ``lease_id`` unless that is 0.
    """

    key: str
    value: bytes
    expected_version: int
    lease_id: int = 0


@frozen
class StoreDelete:
    """Delete a key if it is at ``expected_version``."""

    key: str
    expected_version: int


@frozen
class StoreLeaseGrant:
    """Ask for a lease; the keys bound to it are deleted when it expires.

    The lease expires ``ttl_s`` after it was granted or last renewed.
    """

    ttl_s: int


@frozen
class StoreLeaseRenew:
    """Renew a lease."""

    lease_id: int


StoreOperation = (
    StoreRead | StoreWrite | StoreDelete | StoreLeaseGrant | StoreLeaseRenew
)


@frozen
class StoreEntries:
    """The answer to a read; ``revision`` is the store's revision at that time."""

    entries: tuple[StoreEntry, ...]
    revision: int


@frozen
class StoreWritten:
    """The answer to a write or delete; ``applied`` is false on a version mismatch."""

    applied: bool
    version: int = 0


@frozen
class StoreLease:
    """The answer to a lease call; ``ttl_s`` 0 means that the lease is gone."""

    lease_id: int
    ttl_s: int


@frozen
class StoreFailed:
    """The store call failed or got no answer; a write's outcome is ambiguous."""

    detail: str = ""


StoreResult = StoreEntries | StoreWritten | StoreLease | StoreFailed


def find_entry(entries: tuple[StoreEntry, ...], key: str) -> StoreEntry | None:
    """Return the entry of a key; a read also returns longer keys that begin with it."""
    return next((entry for entry in entries if entry.key == key), None)


# --- workers --------------------------------------------------------------------


@frozen
class StartTask:
    """Start an attempt; the worker refuses it after ``start_before_ms``.

    The attempt resumes from ``checkpoint`` unless that is empty.
    """

    spec: TaskSpec
    attempt: int
    epoch: int
    reserved: Resources
    start_before_ms: int
    checkpoint: str = ""


@frozen
class StopTask:
    """Stop an attempt; with ``checkpoint`` the worker saves the progress first."""

    key: TaskKey
    attempt: int
    checkpoint: bool = False


@frozen
class ThrottleTask:
    """Limit an attempt to a percentage of its reserved processors; 100 lifts it."""

    key: TaskKey
    attempt: int
    percent: int


WorkerOperation = StartTask | StopTask | ThrottleTask


@frozen
class OperationResult:
    """Whether the worker carried out one operation of a batch.

    ``done`` is also true for a repetition of an operation already carried out.
    """

    done: bool
    detail: str = ""


@frozen
class WorkerBatch:
    """One call to a worker: renews all leases of a shard and carries out operations.

    ``lease_until_ms`` is a timestamp; the worker keeps the latest that it has seen.
    The worker refuses the batch if it has seen a higher epoch of the shard.
    """

    shard: str
    epoch: int
    lease_until_ms: int
    operations: tuple[WorkerOperation, ...] = ()


@frozen
class WorkerAnswer:
    """A worker's answer to a batch: the results in order, and a full report."""

    results: tuple[OperationResult, ...]
    report: WorkerReport


@frozen
class WorkerFailed:
    """A worker call failed or got no answer; its operations' outcome is ambiguous."""

    detail: str = ""


# --- events ---------------------------------------------------------------------


@frozen
class Tick:
    """A periodic event on which the state machines check their deadlines."""


@frozen
class StoreReplied:
    """The store answered a call, or the call failed."""

    call_id: int
    result: StoreResult


@frozen
class WorkerReplied:
    """A worker answered a batch, or the call failed."""

    call_id: int
    worker_id: str
    result: WorkerAnswer | WorkerFailed


@frozen
class PeerReceived:
    """A message came from another daemon."""

    sender: str
    message: PeerMessage


@frozen
class PeerLost:
    """A message to the daemon ``member_id`` was dropped, as it could not be queued."""

    member_id: str


@frozen
class ApiRequested:
    """A caller, an operator or another daemon made an API call."""

    call_id: int
    body: ApiBody


@frozen
class HostsListed:
    """The platform's host list was read; it lags behind the hosts' actual state."""

    workers: tuple[Worker, ...]


@frozen
class ShutdownRequested:
    """The process was asked to stop gracefully."""


Event = (
    Tick
    | StoreReplied
    | WorkerReplied
    | PeerReceived
    | PeerLost
    | ApiRequested
    | HostsListed
    | ShutdownRequested
)


# --- commands -------------------------------------------------------------------


@frozen
class StoreCall:
    """Send an operation to the store; answered by ``StoreReplied``."""

    call_id: int
    operation: StoreOperation


@frozen
class WorkerCall:
    """Send a batch to a worker; answered by ``WorkerReplied``."""

    call_id: int
    worker_id: str
    address: str
    batch: WorkerBatch


@frozen
class SendPeer:
    """Send a message to another daemon; it may be lost or delayed."""

    member_id: str
    address: str
    message: PeerMessage


@frozen
class ApiAnswer:
    """Send the final answer to an ``ApiRequested``."""

    call_id: int
    result: ApiResult


@frozen
class ReadHosts:
    """Read the platform's host list; answered by ``HostsListed``."""


@frozen
class Stopped:
    """The daemon has handed over all its shards and may exit."""


Command = StoreCall | WorkerCall | SendPeer | ApiAnswer | ReadHosts | Stopped
