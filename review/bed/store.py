"""The platform's key-value store: keys, revisions, leases, watches, transactions."""

import asyncio
import base64
import itertools
import json

from bed.http import Answer, Server, free_address

PAGE_ITEMS = 500
VALUE_BYTES = 1_048_576  # platform.valueBytes of the settings
ANSWER_S = 0.004  # the usual time of an answer


class Store:
    """Serves the store's calls; keeps its whole history."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.address = free_address()
        self.server = Server(self.address, self.handle)
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 1
        self.leases: dict[int, tuple[float, int]] = {}  # end in s, duration in ms
        self.lease_numbers = itertools.count(1)
        self.refused: dict[str, int] = {}  # calls with too large a value, by key
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        self._write(key, base64.b64encode(value).decode(), lease)

    def put_json(self, key: str, value: dict) -> None:
        """Write a key with a JSON value, as operators and workers do."""
        self.put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self._remove(key)

    def value(self, key: str) -> bytes | None:
        """Return a key's value; None if there is no such key."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def _write(self, key: str, value: str, lease: int) -> None:
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": value,
            "rev": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._note({"key": key, "rev": self.revision, "tombstone": True})

    def _note(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for lease in [item for item, (end, _) in self.leases.items() if end <= now_s]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [key for key, row in self.items.items() if row["lease"] == lease]:
            self.delete(key)

    async def handle(self, method, path, query, headers, body) -> Answer:
        """Answer one call."""
        await asyncio.sleep(ANSWER_S)
        self._expire()
        match method, path:
            case "GET", "/v1/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"currentRev": self.revision}
                return 200, {**item, "currentRev": self.revision}
            case "GET", "/v1/kv-range":
                return self._range(query)
            case "GET", "/v1/kv-watch":
                return await self._watch(query)
            case "POST", "/v1/kv-txn":
                return self._transact(body)
            case "POST", "/v1/kv-lease":
                lease = next(self.lease_numbers)
                self._renew(lease, body["ttlMs"])
                return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        return self._lease_call(method, path)

    def _renew(self, lease: int, ttl_ms: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self.leases[lease] = (now_s + ttl_ms / 1000, ttl_ms)

    def _lease_call(self, method: str, path: str) -> Answer:
        name = path.rpartition("/")[2]
        lease = int(name) if name.isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][1]
        self._renew(lease, ttl_ms)
        return 200, {"ttlMs": ttl_ms}

    def _range(self, query: dict) -> Answer:
        after = query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(query["prefix"]) and key > after
        )
        return 200, {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "hasMore": len(keys) > PAGE_ITEMS,
            "currentRev": self.revision,
        }

    async def _watch(self, query: dict) -> Answer:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query["waitMs"]) / 1000
        after = int(query["after"])
        while True:
            self._expire()
            found = [
                event
                for event in self.history
                if event["rev"] > after and event["key"].startswith(query["prefix"])
            ]
            left_s = until_s - loop.time()
            if found or left_s <= 0:
                return 200, {"events": found, "currentRev": self.revision}
            changed = self.changed
            try:
                async with asyncio.timeout(min(left_s, 0.05)):
                    await changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> Answer:
        expected = body.get("expected") or []
        for row in expected:
            found = self.items.get(row["key"])
            if (found["rev"] if found else 0) != row["rev"]:
                keys = [row["key"] for row in expected]
                rows = [self.items[key] for key in keys if key in self.items]
                return 412, {"items": rows}
        puts = body.get("puts") or []
        for row in puts:
            if len(base64.b64decode(row["value"])) > VALUE_BYTES:
                self.refused[row["key"]] = self.refused.get(row["key"], 0) + 1
                return 400, {"error": f"{row['key']}: value too large"}
        if any(row.get("lease") and row["lease"] not in self.leases for row in puts):
            return 404, {}
        keys = [row["key"] for row in puts] + list(body.get("deletes") or [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        self.revision += 1
        for row in puts:
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("deletes") or []:
            self._remove(key)
        return 200, {"rev": self.revision}
