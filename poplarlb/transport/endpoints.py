"""Sends requests to endpoints and reads their responses."""

import http.client
import threading
import time
from collections.abc import Iterable, Iterator

import urllib3
from attrs import Factory, define, frozen
from urllib3.util import SKIP_HEADER, Timeout

from poplarlb.protocol import api, hosts
from poplarlb.transport.bodies import CHUNK_BYTES, RequestBody

CONNECT_TIMEOUT_S = 1.0
MAX_POOLS = 2_000  # of connections, one for each endpoint
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
NOT_FORWARDED = HOP_BY_HOP | {"host", "content-length", "expect"}
BODILESS_STATUSES = frozenset({204, 304})

Headers = tuple[tuple[str, str], ...]


class RequestNotSentError(Exception):
    """No byte of the request reached the endpoint."""


class ExchangeBrokenError(Exception):
    """Sending or reading failed after a byte may have reached the endpoint."""


@frozen
class OutgoingRequest:
    """A request to an endpoint, to be answered by ``deadline_ms`` (UTC)."""

    method: str
    target: str
    headers: Headers
    body: RequestBody
    deadline_ms: int


@define
class EndpointResponse:
    """An endpoint's response; the body is read as the caller receives it.

    ``reason`` is the HTTP reason phrase. ``buffered`` holds the start of the body;
    ``remaining`` yields the rest and is ``None`` if the buffer holds the entire body.
    ``waited_ms`` is the time from before the request was sent until that start was
    buffered.
    """

    status: int
    reason: str
    headers: Headers
    buffered: bytes = b""
    remaining: Iterator[bytes] | None = None
    waited_ms: float = 0.0

    @property
    def complete(self) -> bool:
        """Whether ``buffered`` holds the entire body."""
        return self.remaining is None


@define
class EndpointClient:
    """Sends requests over pooled connections, with one pool for each endpoint.

    A pool keeps as many idle connections as the grant allows, and at least one. The
    least recently used pools beyond ``MAX_POOLS`` are closed.
    """

    pools: dict[str, urllib3.HTTPConnectionPool] = Factory(dict)
    lock: threading.Lock = Factory(threading.Lock)

    def send(
        self, grant: api.Grant, request: OutgoingRequest, buffer_bytes: int, fresh: bool
    ) -> EndpointResponse:
        """Return an endpoint's response.

        Its body is buffered until it ends or exceeds ``buffer_bytes`` bytes.

        :param fresh: open a new connection; the endpoint may have closed an idle one,
            which is indistinguishable from a failure during the request.
        :raises RequestNotSentError: if the endpoint could not be reached.
        :raises ExchangeBrokenError: if the exchange failed after that.
        """
        if not hosts.is_address(grant.address):
            raise RequestNotSentError("the endpoint has no valid address")
        pool = self._make_pool(grant.address, 0) if fresh else self._pool_for(grant)
        started_s = time.perf_counter()
        try:
            raw = self._open(pool, request)
            response = self._read_ahead(raw, request, buffer_bytes)
        finally:
            if fresh:
                pool.close()
        response.waited_ms += (time.perf_counter() - started_s) * 1000
        return response

    def _pool_for(self, grant: api.Grant) -> urllib3.HTTPConnectionPool:
        with self.lock:
            pool = self.pools.pop(grant.address, None)
            if pool is None:
                pool = self._make_pool(grant.address, grant.idle_connections)
            self.pools[grant.address] = pool
            if len(self.pools) > MAX_POOLS:
                self.pools.pop(next(iter(self.pools))).close()
            return pool

    def _make_pool(self, address: str, idle: int) -> urllib3.HTTPConnectionPool:
        host, _, port = address.rpartition(":")
        return urllib3.HTTPConnectionPool(host, int(port), maxsize=max(1, idle))

    def _open(
        self, pool: urllib3.HTTPConnectionPool, request: OutgoingRequest
    ) -> urllib3.HTTPResponse:
        remaining_s = max(0.001, (request.deadline_ms - time.time() * 1000) / 1000)
        body = request.body.content
        headers = dict(request.headers)
        for name in ("Accept-Encoding", "User-Agent"):
            headers.setdefault(name, SKIP_HEADER)
        if body is None:
            body = request.body.chunks()
            if request.body.length >= 0:
                headers["Content-Length"] = str(request.body.length)
        try:
            return pool.urlopen(
                request.method,
                request.target,
                body,
                headers,
                retries=False,
                redirect=False,
                assert_same_host=False,
                timeout=Timeout(
                    connect=min(CONNECT_TIMEOUT_S, remaining_s), read=remaining_s
                ),
                preload_content=False,
                decode_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise RequestNotSentError(str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise ExchangeBrokenError(f"{type(error).__name__}: {error}") from error

    def _read_ahead(
        self, raw: urllib3.HTTPResponse, request: OutgoingRequest, buffer_bytes: int
    ) -> EndpointResponse:
        response = EndpointResponse(
            raw.status,
            _clean_reason(raw),
            forwarded_headers(raw.headers.items()),
        )
        if request.method == "HEAD" or raw.status in BODILESS_STATUSES:
            raw.drain_conn()
            raw.release_conn()
            return response
        parts, total = [], 0
        chunks = _read_chunks(raw, request.deadline_ms)
        for part in chunks:
            parts.append(part)
            total += len(part)
            if total > buffer_bytes:
                response.remaining = chunks
                break
        response.buffered = b"".join(parts)
        return response


def _read_chunks(raw: urllib3.HTTPResponse, deadline_ms: int) -> Iterator[bytes]:
    """Yield the body of a response.

    :raises ExchangeBrokenError: if the body is truncated or passes the deadline.
    """
    try:
        for part in raw.stream(CHUNK_BYTES, decode_content=False):
            yield part
            if time.time() * 1000 >= deadline_ms:
                raise ExchangeBrokenError("response not complete by the deadline")
        raw.release_conn()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise ExchangeBrokenError(f"{type(error).__name__}: {error}") from error
    finally:
        raw.close()


def _clean_reason(raw: urllib3.HTTPResponse) -> str:
    known = http.client.responses.get(raw.status, "Unknown")
    reason = raw.reason or known
    return reason if reason.isascii() and reason.isprintable() else known


def forwarded_headers(
    items: Iterable[tuple[str, str]], dropped: frozenset[str] = HOP_BY_HOP
) -> Headers:
    """Return the headers but those in ``dropped`` or listed by a Connection header."""
    headers = list(items)
    connection_headers = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and name.lower() not in connection_headers
    )
