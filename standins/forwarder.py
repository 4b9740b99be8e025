"""A TCP forwarder on loopback whose link a test can cut and restore.

Cutting the link closes all open connections.  While the link is cut, new
connections are closed before any byte is forwarded, so that the peer is
unreachable for both ends.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Final

__all__ = ["Forwarder"]

READ_BYTES: Final = 65_536


class Forwarder:
    """Forwards bytes to and from one address."""

    __slots__ = ("_host", "_is_cut", "_port", "_server", "_writers")

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._host = host
        self._port = int(port)
        self._is_cut = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address listened on; valid after `start`."""
        assert self._server is not None
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def cut(self) -> None:
        """Close all connections and reject new ones."""
        self._is_cut = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    def restore(self) -> None:
        """Forward new connections again."""
        self._is_cut = False

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self.cut()
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until either side closes it."""
        if self._is_cut:
            writer.transport.abort()
            return
        with suppress(OSError, asyncio.CancelledError):
            target_reader, target_writer = await asyncio.open_connection(
                self._host, self._port
            )
            connection_writers = {writer, target_writer}
            self._writers |= connection_writers
            await asyncio.gather(
                _copy(reader, target_writer), _copy(target_reader, writer)
            )
            self._writers -= connection_writers


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Pass bytes one way until they end."""
    with suppress(OSError):
        while True:
            data = await reader.read(READ_BYTES)
            if not data:
                break
            writer.write(data)
            await writer.drain()
    writer.close()
