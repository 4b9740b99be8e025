"""The gRPC service that an entry daemon offers to the others.

The method table is written by hand, so nothing is generated.  A handler
does the work; this module only carries messages.
"""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, Final, TypeVar

from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

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
_WINDOW_BYTES: Final = 2 * MAX_MESSAGE_BYTES

Q = TypeVar("Q")
A = TypeVar("A")


class EntryHandler(ABC):
    """What a daemon does with the messages of the others."""

    @abstractmethod
    async def exchange(self, digests: Sequence[Digest]) -> list[Digest]:
        """Take in digests; return those that the sender lacks."""

    @abstractmethod
    async def fetch_view(self, request: ViewRequest) -> ViewReply:
        """Return rows of the own view after a revision.

        A daemon whose view is stale after a pause raises GRPCError.
        """

    @abstractmethod
    async def push_config(self, push: ConfigPush) -> ConfigAnswer:
        """Prepare or accept a configuration, or tell the highest one."""

    @abstractmethod
    async def leave(self, digest: Digest) -> None:
        """Take in that a daemon's run ends."""


class _Service:
    """The method table of an EntryHandler, in grpclib's form."""

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
        function: Callable[[Q], Awaitable[A]],
        request: type[Q],
        answer: type[A],
    ) -> Handler:
        """Return grpclib's handler of a method with one message each way."""

        async def run(stream: Stream[Any, Any]) -> None:
            message = await stream.recv_message()
            if message is None:
                raise GRPCError(Status.INVALID_ARGUMENT, "no message")
            # A connection outlives its listening socket.
            if not self.is_open:
                raise GRPCError(Status.UNAVAILABLE, "stopped")
            await stream.send_message(await function(message))

        return Handler(run, Cardinality.UNARY_UNARY, request, answer)

    async def _exchange(self, request: DigestList) -> DigestList:
        return DigestList(await self._handler.exchange(request.digests))

    async def _leave(self, digest: Digest) -> Empty:
        await self._handler.leave(digest)
        return Empty()


class EntryServer:
    """Listens for the other entry daemons on one address."""

    __slots__ = ("_host", "_port", "_server", "_service")

    def __init__(self, host: str, port: int, handler: EntryHandler) -> None:
        self._host = host
        self._port = port
        self._service = _Service(handler)
        self._server: Server | None = None

    @property
    def port(self) -> int:
        """The port: the bound one after `start`."""
        return self._port

    @property
    def address(self) -> str:
        """The address to which peers connect."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Bind and listen; raise OSError where the address is taken."""
        # asyncio sets TCP_NODELAY only where a socket names its protocol.
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
        self._server = Server(
            [self._service], codec=MessagePackCodec(), config=config
        )
        await self._server.start(sock=listener)

    async def stop(self) -> None:
        """Stop listening and end the calls that are running."""
        if self._server is None:
            return
        self._service.is_open = False
        self._server.close()
        await self._server.wait_closed()
        self._server = None
