"""A loopback proxy whose connections can be delayed, held, reset or silenced."""

import asyncio

from attrs import Factory, define

CHUNK_BYTES = 65_536
GATE_POLL_S = 0.02


@define(eq=False)
class Pair:
    """A client's connection and the one made for it."""

    writers: list[asyncio.StreamWriter]
    silenced: bool = False


@define(eq=False)
class Link:
    """Forwards one address to another.

    :ivar delay_s: how long each piece waits.
    :ivar held: nothing passes; what was sent meanwhile is delivered afterwards, also if
        its sender has given up.
    :ivar one_way: only what clients send passes; answers wait as if held.
    """

    listen: str
    target: str
    delay_s: float = 0.0
    held: bool = False
    one_way: bool = False
    pairs: set[Pair] = Factory(set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def reset(self) -> None:
        """Drop every connection at once."""
        for pair in list(self.pairs):
            for writer in pair.writers:
                writer.transport.abort()

    def silence(self) -> None:
        """Let nothing pass any more on the connections of now; new ones work."""
        for pair in self.pairs:
            pair.silenced = True

    def close(self) -> None:
        """Stop listening and drop everything; what is held ends soon after."""
        self.server.close()
        self.held = self.one_way = False
        for pair in self.pairs:
            pair.silenced = False
        self.reset()

    async def _serve(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = Pair([writer, other_writer])
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, other_writer, answers=False),
                self._pump(pair, other_reader, writer, answers=True),
            )
        finally:
            self.pairs.discard(pair)

    async def _pump(self, pair: Pair, reader, writer, *, answers: bool) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.delay_s)
                while self.held or pair.silenced or (self.one_way and answers):
                    await asyncio.sleep(GATE_POLL_S)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass  # a lost connection is a fault of the plan or of a killed process
        finally:
            writer.close()
