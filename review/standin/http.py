"""A small HTTP/1.1 server and client on the event loop, from the standard library."""

import asyncio
import json
import socket


class Drop(Exception):  # noqa: N818
    """Raised by a handler to close the connection without an answer."""


class Server:
    """Serves JSON over HTTP/1.1 at one loopback address.

    ``handler(method, path, headers, body)`` returns a status and an object or None.
    """

    def __init__(self, handler, port=0):
        """Create a server that doesn't listen yet; port 0 takes a free one."""
        self.handler = handler
        self.port = port
        self.listener = None
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        """The address as HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    async def start(self):
        """Listen."""
        self.listener = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=256
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening, and reset every connection, as a crashed process does."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self.drop_silent()

    def drop_silent(self):
        """Reset the connections: what was lost on them stays lost."""
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                status, answer = await self.handler(method, path, headers, body)
                data = b"" if answer is None else json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except Drop:
            writer.transport.abort()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()


async def call(address, method, path, body=None, headers=(), timeout_s=3.0):
    """Return the status and the decoded body of one call on a new connection.

    The status is None if there was no answer within the time.
    """
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", *headers]
            lines.append("Content-Type: application/json")
            lines += [f"Content-Length: {len(data)}", "Connection: close"]
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            size = 0
            for line in head.decode("latin-1").split("\r\n")[1:]:
                name, _, value = line.partition(":")
                if name.strip().lower() == "content-length":
                    size = int(value)
            answer = await reader.readexactly(size) if size else b""
            return status, json.loads(answer) if answer else None
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None, None
    finally:
        if writer is not None:
            writer.transport.abort()
