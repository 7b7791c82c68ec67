"""A loopback proxy whose connections can be delayed, stalled, reset or blackholed."""

import asyncio

from attrs import Factory, define

CHUNK_BYTES = 8_192
STALL_POLL_S = 0.02
LATE_S = 0.1  # data that the link has held for longer is late


@define(eq=False)
class ConnectionPair:
    """A client's connection and the proxy's connection to the target."""

    writers: list[asyncio.StreamWriter]
    blackholed: bool = False


@define(eq=False)
class Link:
    """Forwards connections from ``listen`` to ``target``.

    :ivar delay_s: the delay of each chunk.
    :ivar bytes_per_s: what all responses together may take; 0 for no limit.
    :ivar sent_bytes: the bytes of all responses so far.
    :ivar busy_until_s: when the responses so far have passed, on the loop's clock.
    :ivar stalled: nothing is forwarded; data sent meanwhile is delivered afterwards,
        even if its sender has given up.
    :ivar late_chunks: when late data to the target was received, and when forwarded.
    :ivar one_way: only what clients send is forwarded; responses wait as if stalled.
    """

    listen: str
    target: str
    delay_s: float = 0.0
    bytes_per_s: int = 0
    stalled: bool = False
    one_way: bool = False
    pairs: set[ConnectionPair] = Factory(set)
    server: asyncio.Server | None = None
    late_chunks: list[tuple[float, float]] = Factory(list)
    sent_bytes: int = 0
    busy_until_s: float = 0.0

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def reset(self) -> None:
        """Abort every connection."""
        for pair in list(self.pairs):
            for writer in pair.writers:
                writer.transport.abort()

    def blackhole(self) -> None:
        """Forward nothing more on the existing connections; new ones work."""
        for pair in self.pairs:
            pair.blackholed = True

    def oldest_receipt_s(self, now_s: float) -> float:
        """Return when the oldest data that was forwarded just now was received."""
        recent = (
            received_s
            for received_s, forwarded_s in self.late_chunks
            if now_s - forwarded_s < LATE_S
        )
        return min(recent, default=now_s)

    def close(self) -> None:
        """Stop listening and abort all connections; stalled ones end soon after."""
        self.server.close()
        self.stalled = self.one_way = False
        for pair in self.pairs:
            pair.blackholed = False
        self.reset()

    async def _serve(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        pair = ConnectionPair([writer, target_writer])
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self._forward(pair, reader, target_writer, from_target=False),
                self._forward(pair, target_reader, writer, from_target=True),
            )
        finally:
            self.pairs.discard(pair)

    async def _pace(self, size: int) -> None:
        """Wait until a part of a response has passed the link."""
        self.sent_bytes += size
        if not self.bytes_per_s:
            return
        now_s = asyncio.get_running_loop().time()
        self.busy_until_s = max(self.busy_until_s, now_s) + size / self.bytes_per_s
        await asyncio.sleep(self.busy_until_s - now_s)

    async def _forward(
        self, pair: ConnectionPair, reader, writer, *, from_target: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                received_s = loop.time()
                await asyncio.sleep(self.delay_s)
                if from_target:
                    await self._pace(len(data))
                while self.stalled or pair.blackholed or (self.one_way and from_target):
                    await asyncio.sleep(STALL_POLL_S)
                if not from_target and loop.time() - received_s > LATE_S:
                    self.late_chunks.append((received_s, loop.time()))
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass  # an injected fault or a killed process closed the connection
        finally:
            writer.close()
