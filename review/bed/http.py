"""A small HTTP/1.1 server and client on asyncio, with JSON bodies."""

import asyncio
import json
import os
import socket
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

MAX_LINE_BYTES = 1 << 20
Answer = tuple[int, dict | None]
Handler = Callable[[str, str, dict, dict, dict | None], Awaitable[Answer]]
FIRST_PORT, BLOCKS, BLOCK_PORTS = 18_000, 140, 100
taken: set[int] = set()


def free_port() -> int:
    """Return a free port of the loopback address that this run hasn't used yet.

    Each process draws from a block of its own, as a port is listened on some time after
    it was drawn. All blocks are below the ports that the system takes for outgoing
    connections.
    """
    first = FIRST_PORT + os.getpid() % BLOCKS * BLOCK_PORTS
    for port in range(first, first + BLOCK_PORTS):
        if port in taken:
            continue
        taken.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise OSError(f"no free port from {first} on")


def free_address() -> str:
    """Return a free loopback address as ``HOST:PORT``."""
    return f"127.0.0.1:{free_port()}"


async def read_message(reader) -> tuple[str, dict, bytes] | None:
    """Return the first line, headers and body of a message; None at the end."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return first.decode("latin-1").strip(), headers, body


class Server:
    """Serves one loopback address; each connection carries one call at a time.

    ``handler`` gets the method, path, query, headers and JSON body of a call, and
    returns the status and the JSON body of its answer.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        """Create a server that doesn't listen yet."""
        self.address = address
        self.handler = handler
        self.listener = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self.listener = await asyncio.start_server(
            self._serve, host, int(port), limit=MAX_LINE_BYTES, backlog=256
        )

    def stop(self) -> None:
        """Stop listening and abort all connections, as the end of a process does."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = {key: item[0] for key, item in parse_qs(parts.query).items()}
                value = json.loads(body) if body else None
                status, answer = await self.handler(
                    method, parts.path, query, headers, value
                )
                data = b"" if answer is None else json.dumps(answer).encode()
                head = (
                    f"HTTP/1.1 {status} Answer\r\nContent-Length: {len(data)}\r\n"
                    "Content-Type: application/json\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer has gone, or this process ends
        finally:
            self.tasks.discard(task)
            writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    body: dict | None = None,
    headers: tuple[str, ...] = (),
    timeout_s: float = 3.0,
) -> Answer | None:
    """Return the answer to one call on a connection of its own; None if there is none.

    A body that isn't JSON is returned as None.
    """
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", *headers, "Connection: close"]
    if data:
        lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            message = await read_message(reader)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
    if message is None:
        return None
    first, _, answer = message
    try:
        return int(first.split(" ")[1]), json.loads(answer) if answer else None
    except ValueError:
        return int(first.split(" ")[1]), None
