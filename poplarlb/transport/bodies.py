"""Request bodies that the gateway forwards, with limits on size, memory and time."""

import contextlib
import threading
from collections.abc import Iterator

from attrs import Factory, define
from cheroot.errors import MaxSizeExceeded
from cheroot.server import HTTPRequest

from poplarlb.exceptions import BadRequestError, RequestTimeoutError, TooLargeError

CHUNK_BYTES = 65_536  # read at once
MAX_BUFFERED_BODY_BYTES = 262_144  # longer bodies are streamed


@define
class BufferBudget:
    """Limits the bytes of request bodies held in memory at once."""

    limit_bytes: int
    used_bytes: int = 0
    lock: threading.Lock = Factory(threading.Lock)

    def acquire(self, count: int) -> bool:
        """Acquire ``count`` bytes; return whether the limit allowed it."""
        with self.lock:
            if self.used_bytes + count > self.limit_bytes:
                return False
            self.used_bytes += count
            return True

    def release(self, count: int) -> None:
        """Release ``count`` bytes."""
        with self.lock:
            self.used_bytes -= count


@define
class RequestBody:
    """The body of a caller's request.

    ``content`` holds the body once it has been buffered; a body too long for the buffer
    is streamed and can be sent only once. ``length`` is -1 for a chunked body, whose
    length is unknown.
    """

    request: HTTPRequest
    limit_bytes: int
    length: int
    content: bytes | None = None
    read_bytes: int = 0

    @classmethod
    def from_request(cls, request: HTTPRequest, limit_bytes: int) -> "RequestBody":
        """Return the body of a request without reading it.

        :raises TooLargeError: if the declared length exceeds the limit.
        """
        length = int(request.inheaders.get(b"Content-Length", b"0"))
        if request.chunked_read:
            length = -1
        if length > limit_bytes:
            raise TooLargeError(f"request body exceeds {limit_bytes} bytes")
        return cls(request, limit_bytes, length, b"" if length == 0 else None)

    def read_all(self, limit_bytes: int) -> bool:
        """Buffer a body that fits the limit; return whether it is buffered.

        A chunked body is always read, as its length is unknown.

        :raises PoplarlbError: if the body is too large, truncated or too slow.
        """
        if self.content is None and self.length <= limit_bytes:
            parts, total = [], 0
            for part in self.chunks():
                total += len(part)
                if total > limit_bytes:
                    detail = f"chunked request body exceeds {limit_bytes} bytes"
                    raise TooLargeError(detail)
                parts.append(part)
            self.content = b"".join(parts)
        return self.content is not None

    def chunks(self) -> Iterator[bytes]:
        """Yield the parts of the body as they arrive.

        :raises PoplarlbError: if the body is too large, truncated or too slow.
        """
        while self.length < 0 or self.read_bytes < self.length:
            part = self._read()
            if not part:
                break
            self.read_bytes += len(part)
            yield part
        if self.read_bytes < self.length:
            raise RequestTimeoutError("request body truncated or too slow")

    def _read(self) -> bytes:
        try:
            return self.request.rfile.read(CHUNK_BYTES)
        except MaxSizeExceeded as error:
            detail = f"request body exceeds {self.limit_bytes} bytes"
            raise TooLargeError(detail) from error
        except TimeoutError as error:
            raise RequestTimeoutError("request body too slow") from error
        except (OSError, ValueError) as error:
            raise BadRequestError(f"request body unreadable: {error}") from error


@contextlib.contextmanager
def reserve_buffer(budget: BufferBudget, body: RequestBody) -> Iterator[bool]:
    """Reserve buffer memory for a body; yield whether the budget allowed it.

    The memory is released at the end of the ``with`` block.
    """
    with reserve_bytes(budget, body.length, MAX_BUFFERED_BODY_BYTES) as reserved:
        yield reserved


@contextlib.contextmanager
def reserve_bytes(
    budget: BufferBudget, length: int, limit_bytes: int
) -> Iterator[bool]:
    """Reserve memory for a body until the end of the ``with`` block.

    Yields whether the budget allowed it.

    :param length: that the client declares, or -1 for an unknown one.
    :param limit_bytes: that are buffered at most.
    """
    size = limit_bytes if length < 0 else min(length, limit_bytes)
    if not budget.acquire(size):
        yield False
        return
    try:
        yield True
    finally:
        budget.release(size)
