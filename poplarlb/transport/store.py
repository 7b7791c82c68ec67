"""The platform's key-value store over its v3 JSON gateway (etcd's protocol)."""

import base64
import json

import urllib3

from poplarlb.exceptions import StoreUnavailableError
from poplarlb.protocol import ports
from poplarlb.settings import StoreSettings


class StoreAdapter:
    """Carries out store operations, blocking the calling thread.

    :param settings: address and timeout of the store.
    """

    def __init__(self, settings: StoreSettings) -> None:
        """Open a connection pool."""
        self.settings = settings
        self.pool = urllib3.PoolManager(maxsize=8, retries=False)

    def execute(self, operation: ports.StoreOperation) -> ports.StoreResult:
        """Carry out one operation; a missing answer is a ``StoreFailed``."""
        try:
            return self._execute(operation)
        except (StoreUnavailableError, KeyError, ValueError, TypeError) as error:
            return ports.StoreFailed(f"{type(error).__name__}: {error}")

    def _execute(self, operation: ports.StoreOperation) -> ports.StoreResult:
        match operation:
            case ports.StoreRead():
                return self._read(operation)
            case ports.StoreWrite():
                put = {
                    "key": _encode_key(operation.key),
                    "value": _encode(operation.value),
                    "lease": str(operation.lease_id),
                }
                return self._transact(
                    operation.key, operation.expected_version, {"request_put": put}
                )
            case ports.StoreDelete(key=key, expected_version=expected):
                delete = {"key": _encode_key(key)}
                return self._transact(key, expected, {"request_delete_range": delete})
            case ports.StoreLeaseGrant(ttl_s=ttl_s):
                answer = self._post("lease/grant", {"TTL": str(ttl_s)})
                return ports.StoreLease(int(answer["ID"]), int(answer["TTL"]))
            case ports.StoreLeaseRenew(lease_id=lease_id):
                answer = self._post("lease/keepalive", {"ID": str(lease_id)})
                ttl_s = int(answer["result"].get("TTL", 0))
                return ports.StoreLease(lease_id, ttl_s)
        raise TypeError(f"not a store operation: {operation!r}")

    def _read(self, operation: ports.StoreRead) -> ports.StoreEntries:
        body = {
            "key": _encode_key(operation.prefix),
            "range_end": _encode(_prefix_end(operation.prefix)),
        }
        if operation.newer_than:
            body["min_mod_revision"] = str(operation.newer_than + 1)
        answer = self._post("kv/range", body)
        entries = tuple(
            ports.StoreEntry(
                base64.b64decode(item["key"]).decode(),
                base64.b64decode(item.get("value", "")),
                int(item["mod_revision"]),
            )
            for item in answer.get("kvs", ())
        )
        return ports.StoreEntries(entries, int(answer["header"]["revision"]))

    def _transact(
        self, key: str, expected_version: int, change: dict
    ) -> ports.StoreWritten:
        compare = {
            "key": _encode_key(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected_version),
        }
        answer = self._post("kv/txn", {"compare": [compare], "success": [change]})
        applied = bool(answer.get("succeeded", False))
        return ports.StoreWritten(applied, int(answer["header"]["revision"]))

    def _post(self, path: str, body: dict) -> dict:
        try:
            response = self.pool.request(
                "POST",
                f"http://{self.settings.address}/v3/{path}",
                body=json.dumps(body),
                headers={"Content-Type": "application/json"},
                timeout=self.settings.timeout_ms / 1000,
            )
        except urllib3.exceptions.HTTPError as error:
            raise StoreUnavailableError(str(error)) from error
        if response.status != 200:
            raise StoreUnavailableError(f"status {response.status}")
        return json.loads(response.data)


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _encode_key(key: str) -> str:
    return _encode(key.encode())


def _prefix_end(prefix: str) -> bytes:
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])
