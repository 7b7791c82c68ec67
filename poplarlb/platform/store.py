"""Implements the store interface with calls to the platform's key-value store."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from urllib.parse import quote

import orjson
from attrs import define

from poplarlb.exceptions import (
    BadAnswerError,
    CallNotSentError,
    CallUnansweredError,
    HistoryGoneError,
    StoreRefusedError,
)
from poplarlb.platform.wire import decode_value, encode_value
from poplarlb.protocol.store import (
    Applied,
    Conflict,
    LeaseGone,
    StoredChange,
    StoredChanges,
    StoredItem,
    StoredList,
    Transaction,
    TransactionResult,
)
from poplarlb.transport.http_client import ClientResponse, HttpClient

CALL_TIMEOUT_S = 1.0  # usually 4 ms; the slowest specified call takes sixty times that
WATCH_GRACE_S = 1.0  # added to the time that a watch may wait for a change
# How long an answer may pause once its body arrives: a large value takes seconds on a
# slow link, also that of a key whose revision a transaction didn't expect.
STALL_TIMEOUT_S = 1.0
# The store is down this long after a failure if it answered no call since; a lost
# connection fails once and is replaced.
DOWN_AFTER_S = 0.3
LEASE_TIMEOUT_S = 0.5  # a renewal must be retried well before a 1.5 s lease expires


@define
class PlatformStore:
    """Calls the store with the shared HTTP client, and counts calls for the metrics.

    :param on_lost: called with the first error once the store is down.
    :param on_regained: called at the first answer after that.
    """

    client: HttpClient
    address: str
    calls: int = 0
    failures: int = 0
    on_lost: Callable[[str], None] = lambda error: None
    on_regained: Callable[[], None] = lambda: None
    is_down: bool = False  # calls have failed for DOWN_AFTER_S and none was answered
    down_timer: asyncio.TimerHandle | None = None  # started by the first failure
    down_since_s: float = 0.0  # on the event loop's clock

    def _record_failure(self, error: str) -> None:
        self.failures += 1
        if self.down_timer is None:
            loop = asyncio.get_running_loop()
            self.down_timer = loop.call_later(DOWN_AFTER_S, self._mark_down, error)

    def _mark_down(self, error: str) -> None:
        self.is_down = True
        self.down_since_s = asyncio.get_running_loop().time()
        self.on_lost(error)

    def _record_response(self, sent_s: float) -> None:
        """Note an answer; one to a call sent before a loss doesn't end the loss."""
        if self.is_down and sent_s < self.down_since_s:
            return
        if self.down_timer is not None:
            self.down_timer.cancel()
            self.down_timer = None
        if self.is_down:
            self.is_down = False
            self.on_regained()

    async def get(self, key: str) -> StoredItem | None:
        """Return a key's item; None if the key doesn't exist."""
        response = await self._call("GET", f"/v1/kv-key?key={quote(key, safe='')}")
        if response.status == 404:
            return None
        with decoding("a read"):
            return decode_item(parse_response(response))

    async def list(self, prefix: str, timeout_s: float = CALL_TIMEOUT_S) -> StoredList:
        """Return every item under a prefix, read page by page.

        :param timeout_s: how long each page may take until its body arrives.

        The revision is that of the first page, so that a watch from there misses
        nothing.
        """
        items: list[StoredItem] = []
        revision = None
        after = ""
        while True:
            path = f"/v1/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            response = await self._call("GET", path, timeout_s=timeout_s)
            with decoding("a listing"):
                page = parse_response(response)
                rows = [decode_item(row) for row in page["items"]]
                found_revision = check_number(page["currentRev"])
                has_more = bool(page.get("hasMore"))
            items += rows
            revision = found_revision if revision is None else revision
            if not has_more or not rows:
                return StoredList(tuple(items), revision)
            after = items[-1].key

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_ms: int,
        on_progress: Callable[[], None] | None = None,
    ) -> StoredChanges:
        """Return the changes under a prefix that follow the revision ``after``.

        Returns as soon as there are any; after ``wait_ms`` without a change, returns
        none.

        :param on_progress: called when a part of the answer has arrived.
        :raises HistoryGoneError: the store no longer keeps all changes since that
            revision.
        """
        path = (
            f"/v1/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={after}&waitMs={wait_ms}"
        )
        timeout_s = wait_ms / 1000 + WATCH_GRACE_S
        response = await self._call(
            "GET", path, timeout_s=timeout_s, on_progress=on_progress
        )
        if response.status == 410:
            raise HistoryGoneError(f"{prefix} after {after}")
        with decoding("a watch"):
            page = parse_response(response)
            changes = tuple(decode_change(row) for row in page["events"])
            return StoredChanges(changes, check_number(page["currentRev"]))

    async def transact(
        self, transaction: Transaction, timeout_s: float = CALL_TIMEOUT_S
    ) -> TransactionResult:
        """Execute a transaction; it is applied only if all expected revisions match.

        :param timeout_s: until the answer's body arrives.

        Returns a conflict if one doesn't match, ``LeaseGone`` if a put's lease is gone.
        """
        body = orjson.dumps(
            {
                "expected": [
                    {"key": item.key, "rev": item.revision}
                    for item in transaction.expected
                ],
                "puts": [encode_put(item) for item in transaction.puts],
                "deletes": list(transaction.deletes),
            }
        )
        response = await self._call("POST", "/v1/kv-txn", body, timeout_s=timeout_s)
        if response.status == 404:
            return LeaseGone()
        with decoding("a transaction"):
            if response.status == 412:
                rows = orjson.loads(response.body).get("items") or ()
                return Conflict(tuple(decode_item(row) for row in rows if exists(row)))
            return Applied(check_number(parse_response(response)["rev"]))

    async def grant_lease(self, ttl_ms: int) -> int:
        """Return the id of a new lease."""
        body = orjson.dumps({"ttlMs": ttl_ms})
        response = await self._call("POST", "/v1/kv-lease", body)
        with decoding("a lease"):
            return check_number(parse_response(response)["lease"])

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return false if it has expired or was revoked."""
        path = f"/v1/kv-keep/{lease}"
        response = await self._call("POST", path, timeout_s=LEASE_TIMEOUT_S)
        if response.status == 404:
            return False
        parse_response(response)
        return True

    async def end_lease(self, lease: int) -> None:
        """Revoke a lease, which removes its keys."""
        await self._call("DELETE", f"/v1/kv-lease-end/{lease}")

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
        on_progress: Callable[[], None] | None = None,
    ) -> ClientResponse:
        self.calls += 1
        sent_s = asyncio.get_running_loop().time()
        try:
            response = await self.client.call(
                self.address,
                method,
                path,
                body,
                timeout_s=timeout_s,
                stall_timeout_s=STALL_TIMEOUT_S,
                on_progress=on_progress,
            )
        except CallNotSentError as error:
            self._record_failure(error.detail)
            raise StoreRefusedError(error.detail) from error
        except CallUnansweredError as error:
            self._record_failure(error.detail)
            raise
        if response.status in (429, 503):
            refusal = f"{method} {path.split('?')[0]}: {response.status}"
            self._record_failure(refusal)
            raise StoreRefusedError(refusal)
        self._record_response(sent_s)
        return response


def parse_response(response: ClientResponse) -> dict:
    """Return the JSON body of a successful response.

    :raises BadAnswerError: the status is not 200, or the body is not JSON.
    """
    if response.status != 200:
        detail = response.body[:200].decode("utf-8", "replace")
        raise BadAnswerError(f"the store answered {response.status} {detail}")
    try:
        return orjson.loads(response.body)
    except orjson.JSONDecodeError as error:
        raise BadAnswerError(f"malformed response of the store: {error}") from error


@contextlib.contextmanager
def decoding(call: str) -> Iterator[None]:
    """Turn the errors of decoding an answer into ``BadAnswerError``."""
    try:
        yield
    except (AttributeError, IndexError, KeyError, TypeError, ValueError) as error:
        detail = f"malformed answer to {call}: {type(error).__name__}: {error}"
        raise BadAnswerError(detail) from error


def check_number(value: object) -> int:
    """Return a value that must be a whole number.

    :raises ValueError: it is something else.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"not a whole number but of type {type(value).__name__}")
    return value


def check_key(value: object) -> str:
    """Return a value that must be a key's name.

    :raises ValueError: it is something else.
    """
    if not isinstance(value, str):
        raise ValueError(f"not a key but of type {type(value).__name__}")
    return value


def exists(row: dict) -> bool:
    """Return whether a conflict's row shows an existing key, not a deleted one."""
    return bool(row.get("rev")) and not row.get("tombstone")


def decode_item(row: dict) -> StoredItem:
    """Return the item in a row of an answer."""
    return StoredItem(
        check_key(row["key"]),
        decode_value(row.get("value")),
        check_number(row["rev"]),
    )


def decode_change(row: dict) -> StoredChange:
    """Return the change in a row of a watch's answer."""
    value = None if row.get("tombstone") else decode_value(row.get("value"))
    return StoredChange(check_key(row["key"]), value, check_number(row["rev"]))


def encode_put(put) -> dict:
    """Return a transaction's row for a put."""
    row = {"key": put.key, "value": encode_value(put.value)}
    if put.lease:
        row["lease"] = put.lease
    return row
