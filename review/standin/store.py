"""A stand-in of the platform's key-value store, as ``PROTOCOL.md`` describes it.

Each machine calls it at an address of its own, so that faults can hit single machines,
as the page allows ("The store may reject some machines ... while it serves the other
machines and the operator").
"""

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

from review.standin.http import Drop, Server

MAX_ENTRIES = 32
PAGE_ITEMS = 500
EXPIRY_CHECK_S = 0.02


class Store:
    """Keys with revisions and leases, and the whole history for watches."""

    def __init__(self):
        """Create an empty store."""
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.ttls = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.gates = {}

    async def gate(self, name):
        """Return the address at which the machine of this name calls the store."""
        gate = Gate(self)
        self.gates[name] = gate
        await gate.server.start()
        return gate.server.address

    def close(self):
        """Stop all gates."""
        for gate in self.gates.values():
            gate.server.stop()

    # --- operator and workers ---------------------------------------------------------

    def put(self, key, value):
        """Write a JSON value, as the operator or a worker does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.revision += 1
        self._write(key, text, 0)

    def delete(self, key):
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            self._remove(key)

    def read(self, key):
        """Return the decoded JSON value of a key, or None."""
        if key not in self.items:
            return None
        return json.loads(base64.b64decode(self.items[key]["value"]))

    # --- the table --------------------------------------------------------------------

    def _write(self, key, text, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": text,
            "rev": self.revision,
            "created": created,
            "lease": lease,
        }
        self._append(dict(self.items[key]))

    def _remove(self, key):
        del self.items[key]
        self._append({"key": key, "rev": self.revision, "tombstone": True})

    def _append(self, row):
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def expire(self):
        """End the leases that have expired."""
        now_s = asyncio.get_running_loop().time()
        for lease in [item for item, end in self.leases.items() if end <= now_s]:
            self.end_lease(lease)

    def transact(self, body):
        """Execute a transaction; return the status and the answer."""
        expected, puts = body.get("expected", []), body.get("puts", [])
        deletes = body.get("deletes", [])
        if len(expected) + len(puts) + len(deletes) > MAX_ENTRIES:
            return 400, {}
        found = {row["key"]: self.items.get(row["key"]) for row in expected}
        if any((found[r["key"]] or {"rev": 0})["rev"] != r["rev"] for r in expected):
            return 412, {"items": [dict(item) for item in found.values() if item]}
        if any(row.get("lease") and row["lease"] not in self.leases for row in puts):
            return 404, {}
        if puts or deletes:
            self.revision += 1
        for row in puts:
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in deletes:
            if key in self.items:
                self._remove(key)
        return 200, {"rev": self.revision}

    async def execute(self, method, path, body):
        """Execute one call; return the status and the answer."""
        self.expire()
        parts = urlsplit(path)
        query = {name: items[0] for name, items in parse_qs(parts.query).items()}
        match method, parts.path:
            case "GET", "/v1/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, {**item, "currentRev": self.revision}
            case "GET", "/v1/kv-range":
                after = query.get("after", "")
                prefix = query["prefix"]
                keys = sorted(
                    key
                    for key in self.items
                    if key.startswith(prefix) and (not after or key > after)
                )
                return 200, {
                    "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                    "hasMore": len(keys) > PAGE_ITEMS,
                    "currentRev": self.revision,
                }
            case "GET", "/v1/kv-watch":
                return await self._watch(query)
            case "POST", "/v1/kv-txn":
                return self.transact(json.loads(body))
            case "POST", "/v1/kv-lease":
                ttl_ms = json.loads(body)["ttlMs"]
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                self.ttls[lease] = ttl_ms
                self._extend(lease)
                return 200, {"lease": lease, "ttlMs": ttl_ms}
        lease = int(parts.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
        else:
            self._extend(lease)
        return 200, {"ttlMs": self.ttls[lease]}

    def _extend(self, lease):
        now_s = asyncio.get_running_loop().time()
        self.leases[lease] = now_s + self.ttls[lease] / 1000

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query["waitMs"]) / 1000
        while True:
            found = [
                row
                for row in self.history
                if row["rev"] > after and row["key"].startswith(prefix)
            ]
            if found or loop.time() >= until_s:
                return 200, {"events": found, "currentRev": self.revision}
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(EXPIRY_CHECK_S):
                    await changed.wait()
            self.expire()


class Gate:
    """One machine's way to the store.

    ``fault(method, path, body)`` is asked before each call; it returns None, a status
    that rejects the call, "lost" (executed, its answer is lost) or "silent" (neither).
    Per the page, a connection on which an answer is lost returns nothing further.
    """

    def __init__(self, store):
        """Create a gate without faults."""
        self.store = store
        self.fault = None
        self.server = Server(self._handle)

    async def _handle(self, method, path, headers, body):
        kind = self.fault(method, path, body) if self.fault else None
        if isinstance(kind, int):
            return kind, {}
        if kind == "silent":
            await asyncio.sleep(3_600)
        if kind == "reset":
            raise Drop
        result = await self.store.execute(method, path, body)
        if kind == "lost":
            await asyncio.sleep(3_600)
        return result
