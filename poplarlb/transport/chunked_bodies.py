"""Chunked request bodies, decoded in parts of a bounded size."""

from collections.abc import Iterator
from typing import BinaryIO

from attrs import define
from cheroot.errors import MaxSizeExceeded

MAX_PART_BYTES = 65_536  # read at once, however large a chunk is
MAX_LINE_BYTES = 4_096  # of the size of a chunk, or a trailer


@define
class ChunkedBodyReader:
    """Reads a chunked body as cheroot's ``ChunkedRFile`` does.

    That one reads a whole chunk at once, and lines without a limit.

    :param stream: the connection's data from the end of the headers on.
    :param limit_bytes: of all that is received, with the sizes of the chunks.
    :ivar chunk_bytes: what remains of the current chunk.
    """

    stream: BinaryIO
    limit_bytes: int
    received_bytes: int = 0
    chunk_bytes: int = 0
    ended: bool = False

    def read(self, size: int | None = None) -> bytes:
        """Return so many bytes of the body, or fewer at its end; ``None`` for all.

        :raises MaxSizeExceeded: if the body exceeds the limit.
        :raises ValueError: if it is malformed or truncated.
        """
        wanted = self.limit_bytes if size is None else size
        data = bytearray()
        while len(data) < wanted and self._begin_chunk():
            data += self._read_part(wanted - len(data))
        return bytes(data)

    def readline(self, size: int | None = None) -> bytes:
        """Return a line of the body, or so many bytes of it.

        :raises MaxSizeExceeded: if the body exceeds the limit.
        :raises ValueError: if it is malformed or truncated.
        """
        wanted = self.limit_bytes if size is None else size
        data = bytearray()
        while len(data) < wanted and not data.endswith(b"\n"):
            part = self.read(1)
            if not part:
                break
            data += part
        return bytes(data)

    def readlines(self, sizehint: int = 0) -> list[bytes]:
        """Return the lines of the body, until they exceed ``sizehint`` if it is set."""
        lines, total = [], 0
        while line := self.readline():
            lines.append(line)
            total += len(line)
            if 0 < sizehint <= total:
                break
        return lines

    def read_trailer_lines(self) -> Iterator[bytes]:
        """Yield the lines after the body.

        :raises MaxSizeExceeded: if the request exceeds the limit.
        :raises ValueError: if they are malformed or truncated.
        """
        while (line := self._read_line()) != b"\r\n":
            yield line

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()

    def _begin_chunk(self) -> bool:
        """Read the size of the next chunk if it is due; return whether one is left."""
        if self.chunk_bytes or self.ended:
            return not self.ended
        digits = self._read_line().partition(b";")[0].strip()
        try:
            size = int(digits, 16)
        except ValueError:
            size = -1
        if size < 0:
            raise ValueError("malformed size of a chunk")
        if self.received_bytes + size > self.limit_bytes:
            raise MaxSizeExceeded("Request Entity Too Large", self.limit_bytes)
        self.chunk_bytes = size
        self.ended = not size
        return not self.ended

    def _read_part(self, wanted: int) -> bytes:
        part = self.stream.read(min(wanted, self.chunk_bytes, MAX_PART_BYTES))
        if not part:
            raise ValueError("truncated chunk")
        self.received_bytes += len(part)
        self.chunk_bytes -= len(part)
        if not self.chunk_bytes and self.stream.read(2) != b"\r\n":
            raise ValueError("a chunk has another end than its size says")
        return part

    def _read_line(self) -> bytes:
        line = self.stream.readline(MAX_LINE_BYTES)
        self.received_bytes += len(line)
        if self.received_bytes > self.limit_bytes:
            raise MaxSizeExceeded("Request Entity Too Large", self.limit_bytes)
        if not line.endswith(b"\r\n"):
            raise ValueError("a line is truncated or too long")
        return line
