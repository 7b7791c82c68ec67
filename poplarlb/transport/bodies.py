"""Bodies that pass through the gateway: whole, in bounded memory and in time."""

import contextlib
import threading
from collections.abc import Iterator

from attrs import Factory, define
from cheroot.errors import MaxSizeExceeded
from cheroot.server import HTTPRequest

from poplarlb.exceptions import BadRequestError, RequestTimeoutError, TooLargeError

CHUNK_BYTES = 65_536
WHOLE_BODY_BYTES = 262_144


@define
class BufferBudget:
    """How many bytes of bodies may be held in memory at once."""

    limit_bytes: int
    used_bytes: int = 0
    lock: threading.Lock = Factory(threading.Lock)

    def take(self, count: int) -> bool:
        """Take some bytes; tells whether there was room."""
        with self.lock:
            if self.used_bytes + count > self.limit_bytes:
                return False
            self.used_bytes += count
            return True

    def give_back(self, count: int) -> None:
        """Give bytes back."""
        with self.lock:
            self.used_bytes -= count


@define
class RequestBody:
    """A caller's body.

    ``whole`` holds all of it once it was read; a longer one is streamed and can
    be sent once only. ``length`` is -1 for a chunked body.
    """

    request: HTTPRequest
    limit_bytes: int
    length: int
    whole: bytes | None = None
    read_bytes: int = 0

    @classmethod
    def of(cls, request: HTTPRequest, limit_bytes: int) -> "RequestBody":
        """Return the body of a request, not read yet.

        :raises TooLargeError: if its length is over the limit.
        """
        length = int(request.inheaders.get(b"Content-Length", b"0"))
        if request.chunked_read:
            length = -1
        if length > limit_bytes:
            raise TooLargeError(f"a body has at most {limit_bytes} bytes")
        return cls(request, limit_bytes, length, b"" if length == 0 else None)

    def read_whole(self, limit_bytes: int) -> bool:
        """Read all of a body that fits the limit; tells whether it did fit.

        A chunked body is always read.

        :raises PoplarlbError: if it is too large, cut short or too slow.
        """
        if self.whole is None and self.length <= limit_bytes:
            parts, total = [], 0
            for part in self.chunks():
                total += len(part)
                if total > limit_bytes:
                    detail = f"a chunked body has at most {limit_bytes} bytes here"
                    raise TooLargeError(detail)
                parts.append(part)
            self.whole = b"".join(parts)
        return self.whole is not None

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it comes.

        :raises PoplarlbError: if it is too large, cut short or too slow.
        """
        while self.length < 0 or self.read_bytes < self.length:
            part = self._read()
            if not part:
                break
            self.read_bytes += len(part)
            yield part
        if self.read_bytes < self.length:
            raise RequestTimeoutError("the body was cut short or too slow")

    def _read(self) -> bytes:
        try:
            return self.request.rfile.read(CHUNK_BYTES)
        except MaxSizeExceeded as error:
            detail = f"a body has at most {self.limit_bytes} bytes"
            raise TooLargeError(detail) from error
        except TimeoutError as error:
            raise RequestTimeoutError("the body is too slow") from error
        except (OSError, ValueError) as error:
            raise BadRequestError(f"the body can't be read: {error}") from error


@contextlib.contextmanager
def buffered(budget: BufferBudget, body: RequestBody) -> Iterator[bool]:
    """Hold room for a body in memory; yields whether there was any."""
    size = WHOLE_BODY_BYTES if body.length < 0 else min(body.length, WHOLE_BODY_BYTES)
    if not budget.take(size):
        yield False
        return
    try:
        yield True
    finally:
        budget.give_back(size)
