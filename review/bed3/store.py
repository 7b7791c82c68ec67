"""A stand-in of the platform's metadata store."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from bed3.http import Server

PAGE_ITEMS = 500
ENTRIES = 32
TTL_MIN_MS = 1_000
EXPIRY_PERIOD_S = 0.02


class Store:
    """Keys with revisions, leases and a history of changes, served over HTTP."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 1
        self.leases: dict[int, tuple[float, int]] = {}  # end in s, length in ms
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.expiry: asyncio.Task | None = None

    async def start(self, address: str) -> None:
        """Listen, and expire leases from now on."""
        await self.server.start(address)
        self.expiry = asyncio.ensure_future(self._expire())

    def close(self) -> None:
        """Stop serving."""
        self.expiry.cancel()
        self.server.close()

    def put(self, key: str, value: object) -> None:
        """Write a key with a value that is encoded as JSON."""
        self.revision += 1
        self._write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

    def delete(self, key: str) -> None:
        """Remove a key if it exists."""
        if key in self.items:
            self.revision += 1
            self._remove(key)

    def _write(self, key: str, value: str, lease: int) -> None:
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": value,
            "rev": self.revision,
            "created": created,
            "lease": lease,
        }
        self._note(dict(self.items[key]))

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._note({"key": key, "rev": self.revision, "tombstone": True})

    def _note(self, row: dict) -> None:
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            ended = [n for n, (end, _) in self.leases.items() if end <= loop.time()]
            for lease in ended:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    # --- calls ------------------------------------------------------------------------

    async def handle(
        self, method: str, path: str, headers: dict, body: bytes
    ) -> tuple[int, object]:
        """Answer one call."""
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match method, parts.path:
            case "GET", "/v1/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, {**item, "currentRev": self.revision}
            case "GET", "/v1/kv-range":
                return self._range(query)
            case "GET", "/v1/kv-watch":
                return await self._watch(query)
            case "POST", "/v1/kv-txn":
                return self._transact(json.loads(body))
            case "POST", "/v1/kv-lease":
                ttl_ms = max(json.loads(body)["ttlMs"], TTL_MIN_MS)
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                return self._keep(lease, ttl_ms)
        lease = int(parts.path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        return self._keep(lease, self.leases[lease][1])

    def _keep(self, lease: int, ttl_ms: int) -> tuple[int, object]:
        end_s = asyncio.get_running_loop().time() + ttl_ms / 1000
        self.leases[lease] = end_s, ttl_ms
        return 200, {"lease": lease, "ttlMs": ttl_ms}

    def _range(self, query: dict) -> tuple[int, object]:
        after = query.get("after", "")
        prefix = query["prefix"]
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return 200, {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "hasMore": len(keys) > PAGE_ITEMS,
            "currentRev": self.revision,
        }

    async def _watch(self, query: dict) -> tuple[int, object]:
        loop = asyncio.get_running_loop()
        after, prefix = int(query["after"]), query["prefix"]
        deadline_s = loop.time() + int(query["waitMs"]) / 1000
        while True:
            found = [
                row
                for row in self.history
                if row["rev"] > after and row["key"].startswith(prefix)
            ]
            remaining_s = deadline_s - loop.time()
            if found or remaining_s <= 0:
                return 200, {"events": found, "currentRev": self.revision}
            try:
                async with asyncio.timeout(remaining_s):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> tuple[int, object]:
        expected = body.get("expected") or []
        puts, deletes = body.get("puts") or [], body.get("deletes") or []
        if len(expected) + len(puts) + len(deletes) > ENTRIES:
            return 400, {}
        for row in expected:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                keys = [entry["key"] for entry in expected]
                found = [self.items[key] for key in keys if key in self.items]
                return 412, {"items": found}
        if any(row.get("lease") and row["lease"] not in self.leases for row in puts):
            return 404, {}
        if puts or deletes:
            self.revision += 1
        for row in puts:
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in deletes:
            self._remove(key)
        return 200, {"rev": self.revision}
