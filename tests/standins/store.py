"""A stand-in for the platform's key-value store, speaking its v3 JSON gateway.

Run by hand: ``python -m tests.standins.store --port 2379``.
"""

import argparse
import base64
import collections
import json
import threading
import time

from attrs import Factory, define

from tests.standins.http import Answer, serve


@define
class StoreFaults:
    """What goes wrong at the store."""

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


@define
class Item:
    """A key's value, its version and its lease."""

    value: bytes
    version: int
    lease: int = 0


@define
class StoreStandIn:
    """Keys with versions, leases, call counts and faults; safe for threads."""

    items: dict[str, Item] = Factory(dict)
    leases: dict[int, tuple[int, float]] = Factory(dict)
    revision: int = 1
    calls: collections.Counter[str] = Factory(collections.Counter)
    transferred_bytes: int = 0
    faults: StoreFaults = Factory(StoreFaults)
    lock: threading.Lock = Factory(threading.Lock)

    def answer(self, method: str, path: str, body: bytes, _: dict) -> Answer:
        """Answer one HTTP call."""
        if path == "/control":
            return self._control(json.loads(body or b"{}"))
        if self.faults.delay_ms:
            time.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return Answer(drop=True)
        with self.lock:
            self._expire()
            result = self._dispatch(path, json.loads(body))
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return Answer(drop=True)
        if result is None:
            return Answer.of({"error": "unknown call"}, 404)
        answer = Answer.of(result)
        self.transferred_bytes += len(body) + len(answer.body)
        return answer

    def _control(self, wanted: dict) -> Answer:
        for name, value in wanted.items():
            setattr(self.faults, name, value)
        counts = dict(self.calls, transferred_bytes=self.transferred_bytes)
        return Answer.of(counts)

    def _dispatch(self, path: str, body: dict) -> dict | None:
        self.calls[path.removeprefix("/v3/")] += 1
        match path:
            case "/v3/kv/range":
                return self._range(body)
            case "/v3/kv/txn":
                return self._transact(body)
            case "/v3/lease/grant":
                self.revision += 1
                lease = self.revision * 1000
                ttl_s = int(body["TTL"])
                self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return {"header": self._header(), "ID": str(lease), "TTL": str(ttl_s)}
            case "/v3/lease/keepalive":
                return {"result": self._keep_alive(int(body["ID"]))}
        return None

    def _header(self) -> dict:
        return {"revision": str(self.revision)}

    def _keep_alive(self, lease: int) -> dict:
        if lease not in self.leases:
            return {"ID": str(lease), "TTL": "0"}
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return {"ID": str(lease), "TTL": str(ttl_s)}

    def _expire(self) -> None:
        now = time.monotonic()
        lapsed = {lease for lease, (_, end) in self.leases.items() if end < now}
        for lease in lapsed:
            del self.leases[lease]
        gone = [key for key, item in self.items.items() if item.lease in lapsed]
        for key in gone:
            del self.items[key]
        self.revision += bool(gone)

    def _range(self, body: dict) -> dict:
        first = base64.b64decode(body["key"]).decode()
        end = base64.b64decode(body.get("range_end", "")).decode()
        least = int(body.get("min_mod_revision", 0))
        found = [
            {
                "key": base64.b64encode(key.encode()).decode(),
                "value": base64.b64encode(item.value).decode(),
                "mod_revision": str(item.version),
            }
            for key, item in sorted(self.items.items())
            if (first <= key < end if end else key == first) and item.version >= least
        ]
        return {"header": self._header(), "kvs": found, "count": str(len(found))}

    def _transact(self, body: dict) -> dict:
        for compare in body["compare"]:
            key = base64.b64decode(compare["key"]).decode()
            version = self.items[key].version if key in self.items else 0
            if version != int(compare["mod_revision"]):
                return {"header": self._header(), "succeeded": False}
        self.revision += 1
        for change in body["success"]:
            self._change(change)
        return {"header": self._header(), "succeeded": True}

    def _change(self, change: dict) -> None:
        if "request_put" in change:
            put = change["request_put"]
            key = base64.b64decode(put["key"]).decode()
            value = base64.b64decode(put["value"])
            lease = int(put.get("lease", 0))
            self.items[key] = Item(value, self.revision, lease)
        else:
            delete = change["request_delete_range"]
            self.items.pop(base64.b64decode(delete["key"]).decode(), None)


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=2379)
    arguments = parser.parse_args()
    server = serve(StoreStandIn().answer, port=arguments.port)
    print(f"store stand-in on {server.address}", flush=True)
    server.thread.join()


if __name__ == "__main__":
    main()
