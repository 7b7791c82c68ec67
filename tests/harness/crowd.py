"""Crowds of clients that send odd requests and keep their connections open.

No client reads its answer.
"""

import asyncio
import itertools
import os
import pathlib
import socket

from attrs import Factory, define

ENDLESS_BYTES = 1_000_000  # of a message that has no end
CHUNK_SIZE_BYTES = 64  # more than the line with a chunk's size, which may count
SMALL_CHUNKS = 100_000  # of one byte each
SEND_TIMEOUT_S = 30.0  # a server may stop reading
ANSWER_TIMEOUT_S = 60.0
SETTLE_TIMEOUT_S = 120.0
SETTLE_PERIOD_S = 1.0
IDLE_SHARE = 0.25  # of a processor, at most, for a process that has read everything
SAMPLE_PERIOD_S = 0.005


def repeat_lines(template: str, total_bytes: int, most: int) -> bytes:
    """Return at most so many numbered lines of ``total_bytes`` together."""
    sizes = itertools.accumulate(len(template % n) for n in range(most))
    count = sum(1 for _ in itertools.takewhile(lambda size: size <= total_bytes, sizes))
    return b"".join((template % number).encode() for number in range(count))


def make_payloads(
    request_line: bytes,
    header_bytes: int,
    body_bytes: int,
    header_lines: int = ENDLESS_BYTES,
) -> dict[str, bytes]:
    """Return what each client of a crowd sends, by the kind of crowd.

    :param request_line: with the headers that every request needs.
    :param header_bytes: that the head of a request may have.
    :param body_bytes: that the body of a request may have.
    :param header_lines: that a request may have besides those of ``request_line``.
    """
    chunk_bytes = body_bytes - CHUNK_SIZE_BYTES
    room = header_bytes - len(request_line)
    chunked = request_line + b"Transfer-Encoding: chunked\r\n\r\n"
    endless = b"v" * ENDLESS_BYTES
    return {
        "short header lines": request_line
        + repeat_lines("%x: y\r\n", room, header_lines),
        "header lines without a value": request_line
        + repeat_lines("%x:\r\n", room, header_lines),
        "a head over the limit": request_line + b"Long: " + endless + b"\r\n\r\n",
        "a header line without end": request_line + b"Long: " + endless,
        "a header name without end": request_line + endless,
        "empty lines without end": b"\r\n" * (ENDLESS_BYTES // 2),
        "large chunks": chunked + b"%x\r\n" % chunk_bytes + b"x" * (chunk_bytes - 1),
        "very small chunks": chunked + b"1\r\nx\r\n" * SMALL_CHUNKS,
    }


@define(eq=False)
class ProcessWatch:
    """Samples how many descriptors a process has open, for the highest number."""

    process_id: int
    most_descriptors: int = 0

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def sample(self) -> None:
        """Count the open descriptors now."""
        opened = len(os.listdir(f"/proc/{self.process_id}/fd"))
        self.most_descriptors = max(self.most_descriptors, opened)

    async def settle(self) -> None:
        """Wait until the process is nearly idle, so that it has read what was sent."""
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            used_s = self.processor_s
            while True:
                await asyncio.sleep(SETTLE_PERIOD_S)
                before_s, used_s = used_s, self.processor_s
                if used_s - before_s < IDLE_SHARE * SETTLE_PERIOD_S:
                    return

    @property
    def processor_s(self) -> float:
        """The processor time that the process has used so far."""
        text = pathlib.Path(f"/proc/{self.process_id}/stat").read_text()
        user, system = text.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    @property
    def peak_memory_mb(self) -> float:
        """The most memory that the process has had in use so far."""
        status = pathlib.Path(f"/proc/{self.process_id}/status").read_text()
        line = next(item for item in status.splitlines() if item.startswith("VmHWM"))
        return int(line.split()[1]) / 1024


@define(eq=False)
class Crowd:
    """Clients that each send the same bytes to one address and stay connected."""

    address: str
    payload: bytes
    sockets: list[socket.socket] = Factory(list)

    async def send(self, clients: int) -> None:
        """Connect all clients and send; ends when all have sent or given up."""
        tasks = [asyncio.ensure_future(self._send_one()) for _ in range(clients)]
        _, unsent = await asyncio.wait(tasks, timeout=SEND_TIMEOUT_S)
        for task in unsent:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_one(self) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setblocking(False)
        self.sockets.append(client)
        host, _, port = self.address.rpartition(":")
        try:
            await loop.sock_connect(client, (host, int(port)))
            await loop.sock_sendall(client, self.payload)
        except OSError:
            return  # the server may close the connection of such a client

    def close(self) -> None:
        """Close all connections."""
        for client in self.sockets:
            client.close()


async def ask(address: str, request: bytes) -> int:
    """Return the status of the answer to one request on a connection of its own."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            line = await reader.readline()
        finally:
            writer.close()
    return int(line.split()[1])
