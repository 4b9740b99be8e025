"""The gRPC service that an entry daemon provides for the others.

The method table is written by hand instead of generated code.  This module
only transports the messages; an `EntryHandler` processes them.
"""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, Final, TypeVar

from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError

from lycheelug.entries.codec import MAX_MESSAGE_BYTES, MessagePackCodec
from lycheelug.entries.messages import (
    ConfigAnswer,
    ConfigPush,
    Digest,
    DigestList,
    Empty,
    ViewReply,
    ViewRequest,
)
from lycheelug.peer_server import PeerLimits, PeerServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping, Sequence

    from grpclib.server import Stream

__all__ = [
    "EXCHANGE",
    "FETCH_VIEW",
    "LEAVE",
    "PUSH_CONFIG",
    "EntryHandler",
    "EntryServer",
]

_SERVICE: Final = "/lycheelug.Entry/"
EXCHANGE: Final = _SERVICE + "Exchange"
FETCH_VIEW: Final = _SERVICE + "FetchView"
PUSH_CONFIG: Final = _SERVICE + "PushConfig"
LEAVE: Final = _SERVICE + "Leave"
BACKLOG: Final = 100
_WINDOW_BYTES: Final = 2 * MAX_MESSAGE_BYTES

Q = TypeVar("Q")
A = TypeVar("A")


class EntryHandler(ABC):
    """Processes the messages of the other entry daemons."""

    @abstractmethod
    async def exchange(self, digests: Sequence[Digest]) -> list[Digest]:
        """Apply digests; return those that the sender lacks."""

    @abstractmethod
    async def fetch_view(self, request: ViewRequest) -> ViewReply:
        """Return the rows of this daemon's view after a revision.

        A daemon whose view is stale after a pause raises GRPCError.
        """

    @abstractmethod
    async def push_config(self, push: ConfigPush) -> ConfigAnswer:
        """Prepare or accept a configuration, or return the highest one."""

    @abstractmethod
    async def leave(self, digest: Digest) -> None:
        """Record that a daemon's run ends."""


class _Service:
    """The method table of an EntryHandler, in the form of grpclib."""

    __slots__ = ("_handler", "is_open")

    def __init__(self, handler: EntryHandler) -> None:
        self._handler = handler
        self.is_open = True

    def __mapping__(self) -> Mapping[str, Handler]:
        return {
            EXCHANGE: self._unary(self._exchange, DigestList, DigestList),
            FETCH_VIEW: self._unary(
                self._handler.fetch_view, ViewRequest, ViewReply
            ),
            PUSH_CONFIG: self._unary(
                self._handler.push_config, ConfigPush, ConfigAnswer
            ),
            LEAVE: self._unary(self._leave, Digest, Empty),
        }

    def _unary(
        self,
        method: Callable[[Q], Awaitable[A]],
        request: type[Q],
        answer: type[A],
    ) -> Handler:
        """Return the grpclib handler of a unary method."""

        async def run(stream: Stream[Any, Any]) -> None:
            message = await stream.recv_message()
            if message is None:
                raise GRPCError(
                    Status.INVALID_ARGUMENT, "the request has no message"
                )
            # Connections stay open after the listening socket is closed.
            if not self.is_open:
                raise GRPCError(Status.UNAVAILABLE, "the daemon has stopped")
            await stream.send_message(await method(message))

        return Handler(run, Cardinality.UNARY_UNARY, request, answer)

    async def _exchange(self, request: DigestList) -> DigestList:
        return DigestList(await self._handler.exchange(request.digests))

    async def _leave(self, digest: Digest) -> Empty:
        await self._handler.leave(digest)
        return Empty()


class EntryServer:
    """Listens for the other entry daemons on one address."""

    __slots__ = (
        "_host",
        "_limits",
        "_on_refused",
        "_port",
        "_server",
        "_service",
    )

    def __init__(
        self,
        host: str,
        port: int,
        handler: EntryHandler,
        limits: PeerLimits | None = None,
        on_refused: Callable[[str], None] | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._service = _Service(handler)
        self._limits = limits
        self._on_refused = on_refused
        self._server: PeerServer | None = None

    @property
    def port(self) -> int:
        """The port; after `start`, the port that was bound."""
        return self._port

    @property
    def address(self) -> str:
        """The address to which peers connect."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Bind and listen; raise OSError if the address is in use."""
        # asyncio only sets TCP_NODELAY if the socket states its protocol.
        listener = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((self._host, self._port))
        except OSError:
            listener.close()
            raise
        listener.setblocking(False)
        self._port = listener.getsockname()[1]
        config = Configuration(
            http2_connection_window_size=_WINDOW_BYTES,
            http2_stream_window_size=_WINDOW_BYTES,
        )
        self._server = PeerServer(
            [self._service],
            MessagePackCodec(),
            config,
            self._limits,
            self._on_refused,
        )
        listener.listen(BACKLOG)
        self._server.listen(listener)

    async def stop(self) -> None:
        """Stop listening and end the calls in progress."""
        if self._server is None:
            return
        self._service.is_open = False
        self._server.close()
        await self._server.wait_closed()
        self._server = None
