"""The platform's key-value store behind the product's store interface."""

import asyncio
from collections.abc import Callable
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
from poplarlb.transport.http_client import HttpAnswer, HttpClient

CALL_TIMEOUT_S = 1.0  # 4 ms is usual; sixty times that is the slowest on the sheets
WATCH_GRACE_S = 1.0  # beyond the time that a watch may wait
DOWN_AFTER_S = 0.3  # of failures only; a lost connection fails once and is replaced
LEASE_TIMEOUT_S = 0.5  # renewals must be repeated well before a lease of 1.5 s ends


@define
class PlatformStore:
    """Calls the store over the shared client; counts calls for the metrics.

    :param on_lost: called with the first error once the store is down.
    :param on_regained: called with the first answer after that.
    """

    client: HttpClient
    address: str
    calls: int = 0
    failures: int = 0
    on_lost: Callable[[str], None] = lambda error: None
    on_regained: Callable[[], None] = lambda: None
    is_down: bool = False  # calls have failed for a while and none was answered
    down_timer: asyncio.TimerHandle | None = None  # runs from the first failure

    def _note_failure(self, error: str) -> None:
        self.failures += 1
        if self.down_timer is None:
            loop = asyncio.get_running_loop()
            self.down_timer = loop.call_later(DOWN_AFTER_S, self._lose, error)

    def _lose(self, error: str) -> None:
        self.is_down = True
        self.on_lost(error)

    def _note_answer(self) -> None:
        if self.down_timer is not None:
            self.down_timer.cancel()
            self.down_timer = None
        if self.is_down:
            self.is_down = False
            self.on_regained()

    async def get(self, key: str) -> StoredItem | None:
        """Return a key's item, or None."""
        answer = await self._call("GET", f"/v1/kv-key?key={quote(key, safe='')}")
        if answer.status == 404:
            return None
        return decode_item(read(answer))

    async def list(self, prefix: str) -> StoredList:
        """Return every item under a prefix, page by page."""
        items: list[StoredItem] = []
        revision = None
        after = ""
        while True:
            path = f"/v1/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            page = read(await self._call("GET", path))
            items += [decode_item(row) for row in page["items"]]
            revision = page["currentRev"] if revision is None else revision
            if not page.get("hasMore") or not page["items"]:
                return StoredList(tuple(items), revision)
            after = items[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: int) -> StoredChanges:
        """Return changes after a revision, as soon as there is one."""
        path = (
            f"/v1/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={after}&waitMs={wait_ms}"
        )
        timeout_s = wait_ms / 1000 + WATCH_GRACE_S
        answer = await self._call("GET", path, timeout_s=timeout_s)
        if answer.status == 410:
            raise HistoryGoneError(f"{prefix} after {after}")
        page = read(answer)
        changes = tuple(decode_change(row) for row in page["events"])
        return StoredChanges(changes, page["currentRev"])

    async def transact(
        self, transaction: Transaction, timeout_s: float = CALL_TIMEOUT_S
    ) -> TransactionResult:
        """Carry a transaction out."""
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
        answer = await self._call("POST", "/v1/kv-txn", body, timeout_s=timeout_s)
        if answer.status == 404:
            return LeaseGone()
        if answer.status == 412:
            rows = orjson.loads(answer.body).get("items") or ()
            return Conflict(tuple(decode_item(row) for row in rows if exists(row)))
        return Applied(read(answer)["rev"])

    async def grant_lease(self, ttl_ms: int) -> int:
        """Return a new lease."""
        body = orjson.dumps({"ttlMs": ttl_ms})
        return read(await self._call("POST", "/v1/kv-lease", body))["lease"]

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; false if it has ended."""
        path = f"/v1/kv-keep/{lease}"
        answer = await self._call("POST", path, timeout_s=LEASE_TIMEOUT_S)
        if answer.status == 404:
            return False
        read(answer)
        return True

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        await self._call("DELETE", f"/v1/kv-lease-end/{lease}")

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpAnswer:
        self.calls += 1
        try:
            answer = await self.client.call(
                self.address, method, path, body, timeout_s=timeout_s
            )
        except CallNotSentError as error:
            self._note_failure(error.detail)
            raise StoreRefusedError(error.detail) from error
        except CallUnansweredError as error:
            self._note_failure(error.detail)
            raise
        if answer.status in (429, 503):
            refusal = f"{method} {path.split('?')[0]}: {answer.status}"
            self._note_failure(refusal)
            raise StoreRefusedError(refusal)
        self._note_answer()
        return answer


def read(answer: HttpAnswer) -> dict:
    """Return the fields of a successful answer.

    :raises BadAnswerError: it failed or can't be read.
    """
    if answer.status != 200:
        detail = answer.body[:200].decode("utf-8", "replace")
        raise BadAnswerError(f"the store answered {answer.status} {detail}")
    try:
        return orjson.loads(answer.body)
    except orjson.JSONDecodeError as error:
        raise BadAnswerError(f"the store's answer: {error}") from error


def exists(row: dict) -> bool:
    """Tell whether a row of a conflict names a key that exists."""
    return bool(row.get("rev")) and not row.get("tombstone")


def decode_item(row: dict) -> StoredItem:
    """Return one item."""
    return StoredItem(row["key"], decode_value(row.get("value")), row["rev"])


def decode_change(row: dict) -> StoredChange:
    """Return one change."""
    value = None if row.get("tombstone") else decode_value(row.get("value"))
    return StoredChange(row["key"], value, row["rev"])


def encode_put(put) -> dict:
    """Return a row of a transaction."""
    row = {"key": put.key, "value": encode_value(put.value)}
    if put.lease:
        row["lease"] = put.lease
    return row
