"""Tests of reading chunked bodies."""

import io
import unittest

from cheroot.errors import MaxSizeExceeded

from poplarlb.transport.chunked_bodies import (
    MAX_LINE_BYTES,
    MAX_PART_BYTES,
    ChunkedBodyReader,
)


class RecordingStream(io.BytesIO):
    """A stream that records the largest read."""

    largest = 0

    def read(self, size: int = -1) -> bytes:
        """Read and record the size."""
        self.largest = max(self.largest, size)
        return super().read(size)


def reader(data: bytes, limit_bytes: int = 1 << 24) -> ChunkedBodyReader:
    """Return a reader of some data."""
    return ChunkedBodyReader(RecordingStream(data), limit_bytes)


class ChunkedBodyReaderTest(unittest.TestCase):
    """Well-formed, malformed and oversized bodies."""

    def test_body_and_trailers(self) -> None:
        """Chunks with and without an extension, in parts of any size."""
        data = b"3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nT: 1\r\n\r\n"
        for size in (1, 4, 100, None):
            body = reader(data)
            parts = list(iter(lambda body=body, size=size: body.read(size), b""))
            self.assertEqual(b"".join(parts), b"abc0123456789")
            self.assertEqual(list(body.read_trailer_lines()), [b"T: 1\r\n"])

    def test_lines(self) -> None:
        """Lines end at a line feed, also across chunks."""
        data = b"3\r\na\nb\r\n3\r\nc\nd\r\n0\r\n\r\n"
        self.assertEqual(reader(data).readlines(), [b"a\n", b"bc\n", b"d"])
        self.assertEqual(reader(data).readline(1), b"a")

    def test_large_chunk_is_read_in_parts(self) -> None:
        """Guards against a thread that holds a whole chunk of the largest size."""
        size = 5 * MAX_PART_BYTES
        body = reader(b"%x\r\n" % size + b"z" * size + b"\r\n0\r\n\r\n")
        self.assertEqual(body.read(), b"z" * size)
        self.assertEqual(body.stream.largest, MAX_PART_BYTES)

    def test_malformed(self) -> None:
        """Sizes that aren't numbers, wrong ends, and truncated data."""
        for data in (
            b"zz\r\n", b"-1\r\na\r\n", b"", b"3\r\nab", b"1\r\nabc\r\n", b"1\nb\r\n",
            b"1" * (MAX_LINE_BYTES + 10),
        ):  # fmt: skip
            with self.subTest(data=data[:10]), self.assertRaises(ValueError):
                reader(data).read()

    def test_too_large(self) -> None:
        """The sizes of the chunks count, as does a chunk that hasn't arrived."""
        for data in (b"1\r\na\r\n" * 20, b"ffff\r\n", b"0" * 70 + b"1\r\n"):
            with self.subTest(data=data[:10]), self.assertRaises(MaxSizeExceeded):
                reader(data, 60).read()


if __name__ == "__main__":
    unittest.main()
