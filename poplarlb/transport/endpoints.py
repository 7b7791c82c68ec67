"""Sends a request to an endpoint and reads its whole answer."""

import http.client
import threading
import time
from collections.abc import Iterable, Iterator

import urllib3
from attrs import Factory, define, frozen
from urllib3.util import SKIP_HEADER, Timeout

from poplarlb.protocol import api
from poplarlb.transport.bodies import CHUNK_BYTES, RequestBody

CONNECT_TIMEOUT_S = 1.0
POOLS_LIMIT = 2_000
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
NO_BODY_STATUS = frozenset({204, 304})

Headers = tuple[tuple[str, str], ...]


class UnsentError(Exception):
    """No byte of the request reached the endpoint."""


class BrokenError(Exception):
    """The exchange broke off after a byte may have reached the endpoint."""


@frozen
class OutgoingRequest:
    """What is sent to an endpoint."""

    method: str
    target: str
    headers: Headers
    body: RequestBody
    deadline_ms: int


@define
class EndpointAnswer:
    """An endpoint's answer; its body is read as the caller takes it.

    ``first`` holds what was read ahead; ``rest`` is empty if that was all.
    ``waited_ms`` is the time spent waiting for the endpoint.
    """

    status: int
    reason: str
    headers: Headers
    first: bytes = b""
    rest: Iterator[bytes] | None = None
    waited_ms: float = 0.0

    @property
    def whole(self) -> bool:
        """Whether all of the body was read ahead."""
        return self.rest is None


@define
class EndpointClient:
    """Keeps connections to the endpoints that were used last.

    There are at most as many idle ones to each as its grant allows.
    """

    pools: dict[str, urllib3.HTTPConnectionPool] = Factory(dict)
    lock: threading.Lock = Factory(threading.Lock)

    def send(
        self, grant: api.Grant, request: OutgoingRequest, ahead: int, fresh: bool
    ) -> EndpointAnswer:
        """Return an endpoint's answer, with up to ``ahead`` bytes read already.

        :param fresh: use a connection of its own: one that was idle may have been
            closed by the endpoint, which looks like a request cut off.
        :raises UnsentError: if the endpoint could not be reached.
        :raises BrokenError: if the exchange broke off later.
        """
        pool = self._make_pool(grant.address, 0) if fresh else self._pool_for(grant)
        began = time.perf_counter()
        try:
            response = self._open(pool, request)
            answer = self._read_ahead(response, request, ahead)
        finally:
            if fresh:
                pool.close()
        answer.waited_ms += (time.perf_counter() - began) * 1000
        return answer

    def _pool_for(self, grant: api.Grant) -> urllib3.HTTPConnectionPool:
        with self.lock:
            pool = self.pools.pop(grant.address, None)
            if pool is None:
                pool = self._make_pool(grant.address, grant.idle_connections)
            self.pools[grant.address] = pool
            if len(self.pools) > POOLS_LIMIT:
                self.pools.pop(next(iter(self.pools))).close()
            return pool

    def _make_pool(self, address: str, idle: int) -> urllib3.HTTPConnectionPool:
        host, _, port = address.rpartition(":")
        return urllib3.HTTPConnectionPool(host, int(port), maxsize=max(1, idle))

    def _open(
        self, pool: urllib3.HTTPConnectionPool, request: OutgoingRequest
    ) -> urllib3.HTTPResponse:
        left_s = max(0.001, (request.deadline_ms - time.time() * 1000) / 1000)
        body = request.body.whole
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
                timeout=Timeout(connect=min(CONNECT_TIMEOUT_S, left_s), read=left_s),
                preload_content=False,
                decode_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise UnsentError(str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise BrokenError(f"{type(error).__name__}: {error}") from error

    def _read_ahead(
        self, response: urllib3.HTTPResponse, request: OutgoingRequest, ahead: int
    ) -> EndpointAnswer:
        answer = EndpointAnswer(
            response.status,
            _clean_reason(response),
            forwarded_headers(response.headers.items()),
        )
        if request.method == "HEAD" or response.status in NO_BODY_STATUS:
            response.drain_conn()
            response.release_conn()
            return answer
        parts, total = [], 0
        chunks = _read_chunks(response, request.deadline_ms)
        for part in chunks:
            parts.append(part)
            total += len(part)
            if total > ahead:
                answer.rest = chunks
                break
        answer.first = b"".join(parts)
        return answer


def _read_chunks(response: urllib3.HTTPResponse, deadline_ms: int) -> Iterator[bytes]:
    """Yield an answer's body; a cut short or late one raises ``BrokenError``."""
    try:
        for part in response.stream(CHUNK_BYTES, decode_content=False):
            yield part
            if time.time() * 1000 >= deadline_ms:
                raise BrokenError("the answer took longer than the deadline")
        response.release_conn()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise BrokenError(f"{type(error).__name__}: {error}") from error
    finally:
        response.close()


def _clean_reason(response: urllib3.HTTPResponse) -> str:
    known = http.client.responses.get(response.status, "Unknown")
    reason = response.reason or known
    return reason if reason.isascii() and reason.isprintable() else known


def forwarded_headers(
    items: Iterable[tuple[str, str]], dropped: frozenset[str] = HOP_BY_HOP
) -> Headers:
    """Return the headers that go on: neither hop by hop nor named to be so."""
    listed = list(items)
    named = {
        token.strip().lower()
        for name, value in listed
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in listed
        if name.lower() not in dropped and name.lower() not in named
    )
