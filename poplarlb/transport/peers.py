"""Connections between daemons: CBOR messages over WebSocket."""

import asyncio
import collections
import functools
import hmac
import logging
from collections.abc import Callable

import websockets
from loguru import logger
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve

from poplarlb.exceptions import ProtocolError
from poplarlb.protocol import codec
from poplarlb.protocol.messages import PeerMessage
from poplarlb.settings import PeerSettings
from poplarlb.settings_checks import NAME_PATTERN
from poplarlb.transport import tls
from poplarlb.transport.error_reports import ErrorReporter

PROTOCOL_VERSION = "poplarlb.1"
SECRET_HEADER = "Poplarlb-Secret"
MEMBER_HEADER = "Poplarlb-Member"
UNAUTHORIZED_LIMIT = 32  # connections whose member isn't known yet
FRAMES_LIMIT = 1  # received on one connection and not handled yet
QUEUE_LIMIT = 2_000  # messages to one address
RECONNECT_DELAY_S = 0.5  # after a failed connection
SHOWN_LIMIT = 200  # characters of an address or a problem in a log line


class PeerTransport:
    """Sends messages to other daemons and receives theirs.

    A message is dropped if its connection is down or its queue is full; callers repeat
    messages that must arrive. ``queues`` and ``senders`` hold the queue and the task of
    each address; ``rejected`` counts rejected connections and messages by reason.

    :param settings: listening address, shared secret and TLS files.
    :param member_id: this daemon's id.
    :param receive: called with the sender's id and a message.
    """

    def __init__(
        self,
        settings: PeerSettings,
        member_id: str,
        receive: Callable[[str, PeerMessage], None],
    ) -> None:
        """Store the settings; ``start`` opens the connections."""
        self.settings = settings
        self.member_id = member_id
        self.receive = receive
        self.queues: dict[str, asyncio.Queue[bytes]] = {}
        self.senders: dict[str, asyncio.Task] = {}
        self.rejected: collections.Counter[str] = collections.Counter()
        self.sent_bytes = 0
        self.server = None
        self.errors = ErrorReporter()
        self.unauthorized: dict[PeerConnection, None] = {}  # in order of arrival

    async def start(self) -> str:
        """Listen and return the bound address."""
        host, _, port = self.settings.listen.rpartition(":")
        self.server = await serve(
            self._accept,
            host,
            int(port),
            max_size=codec.MAX_MESSAGE_BYTES,
            max_queue=FRAMES_LIMIT,
            subprotocols=[PROTOCOL_VERSION],
            compression=None,
            ssl=tls.make_peer_server_context(self.settings),
            create_connection=functools.partial(PeerConnection, self),
            logger=self._make_library_log(),
        )
        bound = self.server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    def _make_library_log(self) -> logging.Logger:
        """Return the library's log; each of its lines once in a period."""
        log = logging.Logger(f"{__name__}.{self.member_id}", logging.WARNING)
        log.addFilter(lambda record: self.errors.is_due(("library", record.msg)))
        log.addHandler(logging.StreamHandler())
        return log

    async def stop(self) -> None:
        """Stop the senders and close the server."""
        for task in self.senders.values():
            task.cancel()
        if self.server is not None:
            self.server.close()

    def send(self, address: str, message: PeerMessage) -> bool:
        """Queue a message; return whether the queue had space."""
        if address not in self.queues:
            self.queues[address] = asyncio.Queue(QUEUE_LIMIT)
            self.senders[address] = asyncio.create_task(self._run_sender(address))
        data = codec.encode(message, PeerMessage)
        try:
            self.queues[address].put_nowait(data)
        except asyncio.QueueFull:
            return False
        self.sent_bytes += len(data)
        return True

    def forget(self, addresses: set[str]) -> None:
        """Close the connections to addresses that no member has any longer."""
        for address in addresses & self.senders.keys():
            self.senders.pop(address).cancel()
            del self.queues[address]

    async def _run_sender(self, address: str) -> None:
        """Send an address's queue; after a failure drop its messages and reconnect."""
        headers = {
            SECRET_HEADER: self.settings.secret,
            MEMBER_HEADER: self.member_id,
        }
        queue = self.queues[address]
        while True:
            try:
                context = tls.make_peer_client_context(self.settings)
                scheme = "wss" if context else "ws"
                async with connect(
                    f"{scheme}://{address}",
                    ssl=context,
                    subprotocols=[PROTOCOL_VERSION],
                    additional_headers=headers,
                    max_size=codec.MAX_MESSAGE_BYTES,
                    compression=None,
                    proxy=None,
                ) as socket:
                    while True:
                        await socket.send(await queue.get())
            except (OSError, websockets.WebSocketException, TimeoutError):
                _clear_queue(queue)
            except Exception:
                # Another daemon chose the address, so it may be none.
                _clear_queue(queue)
                self.errors.report(f"connection to {ascii(address[:SHOWN_LIMIT])}")
            await asyncio.sleep(RECONNECT_DELAY_S)

    def add_unauthorized(self, connection: "PeerConnection") -> None:
        """Count a connection until its secret is checked; abort the oldest ones."""
        self.unauthorized[connection] = None
        while len(self.unauthorized) > UNAUTHORIZED_LIMIT:
            oldest = next(iter(self.unauthorized))
            del self.unauthorized[oldest]
            oldest.transport.abort()
            self.rejected["connections"] += 1
            if self.errors.is_due(("connections",)):
                line = logger.bind(limit="connections", outcome="connection aborted")
                line.warning("connections of members that aren't known are too many")

    async def _accept(self, socket: ServerConnection) -> None:
        sender = _read_header(socket, MEMBER_HEADER)
        secret = _read_header(socket, SECRET_HEADER)
        if not NAME_PATTERN.fullmatch(sender):
            sender = ""
        if not sender or not _secrets_match(secret, self.settings.secret):
            self.rejected["unauthorized"] += 1
            if self.errors.is_due(("connection",)):
                line = logger.bind(sender=sender, outcome="connection refused")
                line.warning("a connection has no member id or a wrong secret")
            await socket.close(1008, "unauthorized")
            return
        self.unauthorized.pop(socket, None)
        try:
            async for data in socket:
                self._handle_frame(sender, data)
        except websockets.WebSocketException as error:
            logger.debug("connection from {} ended: {}", sender, error)

    def _handle_frame(self, sender: str, data: bytes | str) -> None:
        try:
            if isinstance(data, str):
                raise ProtocolError("text frame; expected a binary one")
            message = codec.decode(data, PeerMessage)
        except ProtocolError as error:
            self.rejected["bad_message"] += 1
            if self.errors.is_due(("message", sender)):
                line = logger.bind(sender=sender, outcome="message refused")
                line.warning("a message is malformed: {}", error.detail[:SHOWN_LIMIT])
            return
        self.receive(sender, message)


class PeerConnection(ServerConnection):
    """A connection to this daemon, counted until its member is known.

    :param peers: counts it.
    """

    def __init__(self, peers: PeerTransport, *arguments, **options) -> None:
        """Create a connection that has no transport yet."""
        super().__init__(*arguments, **options)
        self.peers = peers

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self.peers.add_unauthorized(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Stop counting it."""
        self.peers.unauthorized.pop(self, None)
        super().connection_lost(error)


def _read_header(socket: ServerConnection, name: str) -> str:
    """Return a header's value, or an empty string if it isn't sent exactly once."""
    values = socket.request.headers.get_all(name)
    return values[0] if len(values) == 1 else ""


def _secrets_match(given: str, expected: str) -> bool:
    # Bytes of the header that aren't ASCII are surrogates.
    given_bytes = given.encode(errors="surrogateescape")
    return hmac.compare_digest(given_bytes, expected.encode())


def _clear_queue(queue: asyncio.Queue[bytes]) -> None:
    while not queue.empty():
        queue.get_nowait()
