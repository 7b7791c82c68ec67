"""Client for the platform's key-value store: etcd's v3 API over its JSON gateway."""

import base64
import binascii
import collections
import json
import re
import threading

import urllib3
from attrs import Factory, define
from loguru import logger

from poplarlb.exceptions import StoreUnavailableError
from poplarlb.protocol import ports
from poplarlb.settings import StoreSettings

ANSWER_LIMIT_BYTES = 64 << 20  # a longer answer is a failure
READ_CHUNK_BYTES = 1 << 16  # of an answer, read at once
NUMBER_LIMIT = 1 << 63
ODD_KEYS_KEPT = 100  # of keys that are no text; further ones aren't logged
ODD_KEY_SHOWN_BYTES = 200

_DIGITS = re.compile(r"[0-9]{1,19}")


@define
class StoreCounters:
    """Thread-safe counts of calls and failures by kind, and of the bytes of bodies.

    The kind is the class name of the operation.
    """

    calls: collections.Counter[str] = Factory(collections.Counter)
    failures: collections.Counter[str] = Factory(collections.Counter)
    sent_bytes: int = 0
    received_bytes: int = 0
    lock: threading.Lock = Factory(threading.Lock)

    def count_call(self, kind: str, failed: bool) -> None:
        """Count a call."""
        with self.lock:
            self.calls[kind] += 1
            self.failures[kind] += failed

    def count_bytes(self, sent: int, received: int) -> None:
        """Count the bytes of a call's body and of its answer."""
        with self.lock:
            self.sent_bytes += sent
            self.received_bytes += received


class StoreAdapter:
    """Executes store operations; blocks the calling thread.

    ``odd_keys`` holds the keys that are no text and have been logged.

    :param settings: address and timeout of the store.
    :param answer_limit_bytes: a longer answer is treated as a failure.
    """

    def __init__(
        self, settings: StoreSettings, answer_limit_bytes: int = ANSWER_LIMIT_BYTES
    ) -> None:
        """Create the counters and a connection pool."""
        self.settings = settings
        self.answer_limit_bytes = answer_limit_bytes
        self.counters = StoreCounters()
        self.pool = urllib3.PoolManager(maxsize=8, retries=False)
        self.odd_keys: set[bytes] = set()

    def execute(self, operation: ports.StoreOperation) -> ports.StoreResult:
        """Execute an operation; return ``StoreFailed`` if there is no valid answer."""
        result = self._execute(operation)
        failed = isinstance(result, ports.StoreFailed)
        self.counters.count_call(type(operation).__name__, failed)
        return result

    def _execute(self, operation: ports.StoreOperation) -> ports.StoreResult:
        try:
            return self._dispatch(operation)
        except StoreUnavailableError as error:
            return ports.StoreFailed(error.detail)
        except _BAD_ANSWER_ERRORS as error:
            return ports.StoreFailed(f"bad answer: {type(error).__name__}: {error}")

    def _dispatch(self, operation: ports.StoreOperation) -> ports.StoreResult:
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
                return ports.StoreLease(
                    _read_number(answer["ID"]), _read_number(answer["TTL"])
                )
            case ports.StoreLeaseRenew(lease_id=lease_id):
                answer = self._post("lease/keepalive", {"ID": str(lease_id)})
                ttl_s = _read_number(answer["result"].get("TTL", 0))
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
        entries = [
            self._read_entry(item, operation.prefix) for item in answer.get("kvs", ())
        ]
        return ports.StoreEntries(
            tuple(filter(None, entries)), _read_number(answer["header"]["revision"])
        )

    def _read_entry(self, item: dict, prefix: str) -> ports.StoreEntry | None:
        """Return an entry, or ``None`` if its key, which others wrote, is no text.

        :raises ValueError: if the key is outside the prefix.
        """
        key = _decode(item["key"])
        if not key.startswith(prefix.encode()):
            raise ValueError("answer contains a key outside the prefix")
        value = _decode(item.get("value", ""))
        version = _read_number(item["mod_revision"])
        try:
            return ports.StoreEntry(key.decode(), value, version)
        except UnicodeDecodeError:
            self._log_odd_key(key)
            return None

    def _log_odd_key(self, key: bytes) -> None:
        if key in self.odd_keys or len(self.odd_keys) >= ODD_KEYS_KEPT:
            return
        self.odd_keys.add(key)
        shown = repr(key[:ODD_KEY_SHOWN_BYTES])
        line = logger.bind(key=shown, outcome="not used")
        line.warning("the store holds a key that is no text: {}", shown)

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
        applied = answer.get("succeeded") or False
        if not isinstance(applied, bool):
            raise TypeError("succeeded is not true or false")
        return ports.StoreWritten(applied, _read_number(answer["header"]["revision"]))

    def _post(self, path: str, body: dict) -> dict:
        data = json.dumps(body).encode()
        try:
            response = self.pool.request(
                "POST",
                f"http://{self.settings.address}/v3/{path}",
                body=data,
                headers={"Content-Type": "application/json"},
                timeout=self.settings.timeout_ms / 1000,
                preload_content=False,
            )
            answer = self._receive(response)
        except urllib3.exceptions.HTTPError as error:
            raise StoreUnavailableError(str(error)) from error
        self.counters.count_bytes(len(data), len(answer))
        if response.status != 200:
            raise StoreUnavailableError(f"status {response.status}")
        return json.loads(answer)

    def _receive(self, response: urllib3.BaseHTTPResponse) -> bytes:
        chunks = []
        size = 0
        for chunk in response.stream(READ_CHUNK_BYTES):
            size += len(chunk)
            if size > self.answer_limit_bytes:
                response.close()
                raise StoreUnavailableError("the answer is too large")
            chunks.append(chunk)
        response.release_conn()
        return b"".join(chunks)


_BAD_ANSWER_ERRORS = (
    KeyError,
    ValueError,
    TypeError,
    AttributeError,
    RecursionError,
    binascii.Error,
)


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _read_number(value: object) -> int:
    """Return a number that the store may send as text: at most 64 bits, not negative.

    :raises ValueError: if it is none.
    """
    if isinstance(value, str) and _DIGITS.fullmatch(value):
        value = int(value)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if is_integer and 0 <= value < NUMBER_LIMIT:
        return value
    raise ValueError("not a number that the store may send")


def _encode_key(key: str) -> str:
    return _encode(key.encode())


def _prefix_end(prefix: str) -> bytes:
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])
