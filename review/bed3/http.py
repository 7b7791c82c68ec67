"""A small HTTP/1.1 server and client for the stand-ins, from the standard library."""

import asyncio
import json
from collections.abc import Awaitable, Callable

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, object]]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes]:
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Server:
    """Serves one address; a request that is cancelled gets no answer.

    ``handler`` returns a status and a body that is encoded as JSON, or ``None`` for a
    request that is never answered.
    """

    def __init__(self, handler: Handler) -> None:
        """Create a server that doesn't listen yet."""
        self.handler = handler
        self.listener: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listen on ``HOST:PORT``."""
        host, _, port = address.rpartition(":")
        self.listener = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ")
                answer = await self.handler(method, path, headers, body)
                if answer is None:
                    await asyncio.sleep(3_600)
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


async def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    host: str = "",
    timeout_s: float = 3.0,
) -> tuple[int, object]:
    """Return the status and the body of the answer to one request; 0 without one."""
    name, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
        f"X-Poplarlb-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(name, int(port))
            writer.write(head.encode() + data)
            first, _, content = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(content) if content else None
    except (OSError, EOFError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
