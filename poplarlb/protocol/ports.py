"""Events that reach the state machines and commands that they return.

A machine is called as ``handle(event, now_ms) -> list[command]``. Adapters in
``transport`` carry the commands out and bring the answers back as events;
``call_id`` pairs an answer with its call and is unique within one daemon.
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
    """Read every key under a prefix, or only those changed since a revision."""

    prefix: str
    newer_than: int = 0


@frozen
class StoreWrite:
    """Write a key if it is at ``expected_version``; 0 means absent."""

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
    """Ask for a lease; keys bound to it vanish when it lapses."""

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
    """The answer to a read; ``revision`` is the store's own at that time."""

    entries: tuple[StoreEntry, ...]
    revision: int


@frozen
class StoreWritten:
    """The answer to a write or delete; not applied means a version mismatch."""

    applied: bool
    version: int = 0


@frozen
class StoreLease:
    """The answer to a lease call; ``ttl_s`` 0 means that the lease is gone."""

    lease_id: int
    ttl_s: int


@frozen
class StoreFailed:
    """No answer came; a write may or may not have taken effect."""

    detail: str = ""


StoreResult = StoreEntries | StoreWritten | StoreLease | StoreFailed


# --- workers --------------------------------------------------------------------


@frozen
class StartTask:
    """Start an attempt; the worker refuses it after ``start_before_ms``."""

    spec: TaskSpec
    attempt: int
    epoch: int
    reserved: Resources
    start_before_ms: int
    checkpoint: str = ""


@frozen
class StopTask:
    """Stop an attempt; with ``checkpoint`` the worker saves its progress first."""

    key: TaskKey
    attempt: int
    checkpoint: bool = False


@frozen
class ThrottleTask:
    """Limit an attempt to a share of its processor time; 100 lifts the limit."""

    key: TaskKey
    attempt: int
    percent: int


WorkerOperation = StartTask | StopTask | ThrottleTask


@frozen
class OperationResult:
    """Whether the worker carried out one operation, in the order they came.

    ``done`` is true also for a repetition of an operation already carried out.
    """

    done: bool
    detail: str = ""


@frozen
class WorkerBatch:
    """One call to a worker: renew all leases of a shard and run operations.

    ``lease_until_ms`` is absolute; the worker keeps the latest that it has seen.
    The worker refuses the batch if it has seen a higher epoch for the shard.
    """

    shard: str
    epoch: int
    lease_until_ms: int
    operations: tuple[WorkerOperation, ...] = ()


@frozen
class WorkerAnswer:
    """A worker's answer to a batch: results in order and a whole report."""

    results: tuple[OperationResult, ...]
    report: WorkerReport


@frozen
class WorkerFailed:
    """No answer came from the worker; operations may have been carried out."""

    detail: str = ""


# --- events ---------------------------------------------------------------------


@frozen
class Tick:
    """Time has passed."""


@frozen
class StoreReplied:
    """The store answered, or failed to answer, a call."""

    call_id: int
    result: StoreResult


@frozen
class WorkerReplied:
    """A worker answered, or failed to answer, a batch."""

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
    """A message could not be handed to another daemon's connection."""

    member_id: str


@frozen
class ApiRequested:
    """A caller, an operator or another daemon asks for something."""

    call_id: int
    body: ApiBody


@frozen
class HostsListed:
    """The platform's host list was read; it lags behind the truth."""

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
    """Send an operation to the store."""

    call_id: int
    operation: StoreOperation


@frozen
class WorkerCall:
    """Send a batch to a worker."""

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
    """Give the final answer to an ``ApiRequested``."""

    call_id: int
    result: ApiResult


@frozen
class ReadHosts:
    """Read the platform's host list."""


@frozen
class Stopped:
    """The daemon has handed over everything and may exit."""


Command = StoreCall | WorkerCall | SendPeer | ApiAnswer | ReadHosts | Stopped
