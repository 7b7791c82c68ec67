"""A fake of the platform's key-value store with the v3 JSON gateway's interface.

``KeyTable`` is the store itself, on a manual clock; ``FakeStoreServer`` serves it over
HTTP, injects faults and counts calls.
Run it with ``python -m tests.standins.store --port 2379``.
"""

import argparse
import base64
import collections
import json
import threading
import time

from attrs import Factory, define

from poplarlb.protocol import ports
from tests.standins.http import Answer, serve

VALUE_LIMIT_BYTES = 1 << 20


@define
class Item:
    """A key's value, its version and its lease."""

    value: bytes
    version: int
    lease: int = 0


@define
class Lease:
    """A lease, and when it expires unless it is renewed."""

    ttl_s: int
    end_ms: int


@define
class KeyTable:
    """Keys with versions and leases; leases expire only when ``expire`` is called."""

    items: dict[str, Item] = Factory(dict)
    leases: dict[int, Lease] = Factory(dict)
    revision: int = 1

    def execute(
        self, operation: ports.StoreOperation, now_ms: int = 0
    ) -> ports.StoreResult:
        """Carry out one operation as the store's adapter and the store do together."""
        self.expire(now_ms)
        match operation:
            case ports.StoreRead(prefix=prefix, newer_than=newer):
                found = self.range(prefix, prefix[:-1] + chr(ord(prefix[-1]) + 1))
                entries = tuple(
                    ports.StoreEntry(key, item.value, item.version)
                    for key, item in found
                    if item.version > newer
                )
                return ports.StoreEntries(entries, self.revision)
            case ports.StoreWrite():
                return self._write(operation)
            case ports.StoreDelete(key=key, expected_version=expected):
                applied = self.version_of(key) == expected
                if applied:
                    self.delete(key)
                return ports.StoreWritten(applied, self.revision)
            case ports.StoreLeaseGrant(ttl_s=ttl_s):
                return ports.StoreLease(self.grant(ttl_s, now_ms), ttl_s)
            case ports.StoreLeaseRenew(lease_id=lease_id):
                return ports.StoreLease(lease_id, self.renew(lease_id, now_ms))
        raise TypeError(f"not a store operation: {operation!r}")

    def _write(self, write: ports.StoreWrite) -> ports.StoreResult:
        if len(write.value) > VALUE_LIMIT_BYTES:
            return ports.StoreFailed("value too large")
        if write.lease_id and write.lease_id not in self.leases:
            return ports.StoreFailed("no such lease")
        if self.version_of(write.key) != write.expected_version:
            return ports.StoreWritten(False, self.revision)
        self.put(write.key, write.value, write.lease_id)
        return ports.StoreWritten(True, self.revision)

    def version_of(self, key: str) -> int:
        """Return a key's version, or 0 if the key is absent."""
        return self.items[key].version if key in self.items else 0

    def range(self, first: str, end: str) -> list[tuple[str, Item]]:
        """Return the keys from ``first`` up to, but without, ``end`` in order."""
        return sorted(pair for pair in self.items.items() if first <= pair[0] < end)

    def put(self, key: str, value: bytes, lease: int) -> None:
        """Set a key."""
        self.revision += 1
        self.items[key] = Item(value, self.revision, lease)

    def delete(self, key: str) -> None:
        """Delete a key if it is present."""
        self.revision += 1
        self.items.pop(key, None)

    def grant(self, ttl_s: int, now_ms: int) -> int:
        """Create a lease and return its id."""
        self.revision += 1
        lease = self.revision * 1000
        self.leases[lease] = Lease(ttl_s, now_ms + ttl_s * 1000)
        return lease

    def renew(self, lease: int, now_ms: int) -> int:
        """Extend a lease and return its time to live; 0 if it has expired."""
        if lease not in self.leases:
            return 0
        found = self.leases[lease]
        found.end_ms = now_ms + found.ttl_s * 1000
        return found.ttl_s

    def expire(self, now_ms: int) -> None:
        """Delete expired leases and their keys."""
        expired = {name for name, lease in self.leases.items() if lease.end_ms < now_ms}
        for lease in expired:
            del self.leases[lease]
        for key in [key for key, item in self.items.items() if item.lease in expired]:
            self.delete(key)


@define
class StoreFaults:
    """Injected faults of the store.

    The next ``lose_answers`` calls take effect but get no response; the next
    ``fail_calls`` calls are refused before they take effect.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    fail_calls: int = 0


@define
class FakeStoreServer:
    """Serves a key table over HTTP and counts its calls by path; thread-safe."""

    table: KeyTable = Factory(KeyTable)
    calls: collections.Counter[str] = Factory(collections.Counter)
    transferred_bytes: int = 0
    faults: StoreFaults = Factory(StoreFaults)
    lock: threading.Lock = Factory(threading.Lock)

    @property
    def items(self) -> dict[str, Item]:
        """The keys and their values."""
        return self.table.items

    def answer(self, method: str, path: str, body: bytes, _: dict) -> Answer:
        """Handle one HTTP request."""
        if path == "/control":
            return self._control(json.loads(body or b"{}"))
        if self.faults.delay_ms:
            time.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return Answer(drop=True)
        with self.lock:
            answer = self._answer_locked(path, body)
            self.transferred_bytes += len(body) + len(answer.body)
        return answer

    def _answer_locked(self, path: str, body: bytes) -> Answer:
        if self.faults.fail_calls:
            self.faults.fail_calls -= 1
            return Answer.of({"code": 14, "message": "unavailable"}, 503)
        now_ms = time.monotonic_ns() // 1_000_000
        self.table.expire(now_ms)
        answer = self._dispatch(path, json.loads(body), now_ms)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return Answer(drop=True)
        return answer

    def _control(self, changes: dict) -> Answer:
        for name, value in changes.items():
            setattr(self.faults, name, value)
        counts = dict(self.calls, transferred_bytes=self.transferred_bytes)
        return Answer.of(counts)

    def _dispatch(self, path: str, body: dict, now_ms: int) -> Answer:
        self.calls[path.removeprefix("/v3/")] += 1
        match path:
            case "/v3/kv/range":
                return Answer.of(self._range(body))
            case "/v3/kv/txn":
                return self._transact(body)
            case "/v3/lease/grant":
                ttl_s = int(body["TTL"])
                lease = self.table.grant(ttl_s, now_ms)
                result = {"header": self._header(), "ID": str(lease), "TTL": str(ttl_s)}
                return Answer.of(result)
            case "/v3/lease/keepalive":
                lease = int(body["ID"])
                ttl_s = self.table.renew(lease, now_ms)
                return Answer.of({"result": {"ID": str(lease), "TTL": str(ttl_s)}})
        return Answer.of({"error": "unknown call"}, 404)

    def _header(self) -> dict:
        return {"revision": str(self.table.revision)}

    def _range(self, body: dict) -> dict:
        first = _decode_text(body["key"])
        end = _decode_text(body["range_end"]) if "range_end" in body else first + "\x00"
        min_version = int(body.get("min_mod_revision", 0))
        found = [
            {
                "key": base64.b64encode(key.encode()).decode(),
                "value": base64.b64encode(item.value).decode(),
                "mod_revision": str(item.version),
            }
            for key, item in self.table.range(first, end)
            if item.version >= min_version
        ]
        return {"header": self._header(), "kvs": found, "count": str(len(found))}

    def _transact(self, body: dict) -> Answer:
        for compare in body["compare"]:
            version = self.table.version_of(_decode_text(compare["key"]))
            if version != int(compare["mod_revision"]):
                return Answer.of({"header": self._header(), "succeeded": False})
        for change in body["success"]:
            refusal = self._apply_change(change)
            if refusal is not None:
                return refusal
        return Answer.of({"header": self._header(), "succeeded": True})

    def _apply_change(self, change: dict) -> Answer | None:
        if "request_delete_range" in change:
            self.table.delete(_decode_text(change["request_delete_range"]["key"]))
            return None
        put = change["request_put"]
        value = base64.b64decode(put["value"])
        lease = int(put.get("lease", 0))
        if len(value) > VALUE_LIMIT_BYTES:
            return Answer.of({"code": 3, "message": "request is too large"}, 400)
        if lease and lease not in self.table.leases:
            return Answer.of({"code": 5, "message": "requested lease not found"}, 404)
        self.table.put(_decode_text(put["key"]), value, lease)
        return None


def _decode_text(encoded: str) -> str:
    return base64.b64decode(encoded).decode()


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=2379)
    arguments = parser.parse_args()
    server = serve(FakeStoreServer().answer, port=arguments.port)
    print(f"store stand-in on {server.address}", flush=True)
    server.thread.join()


if __name__ == "__main__":
    main()
