"""A forwarder on loopback whose link a test can cut and mend.

While it is cut, open connections are closed, and new ones are closed
before a byte has passed: both ends see a peer that can't be reached.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Final

__all__ = ["Forwarder"]

READ_BYTES: Final = 65_536


class Forwarder:
    """Passes bytes on to one address, both ways."""

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
        """Close all connections, and let none through."""
        self._is_cut = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    def mend(self) -> None:
        """Let new connections through again."""
        self._is_cut = False

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self.cut()
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until either side ends it."""
        if self._is_cut:
            writer.transport.abort()
            return
        with suppress(OSError, asyncio.CancelledError):
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self._port
            )
            ends = {writer, far_writer}
            self._writers |= ends
            await asyncio.gather(
                _pump(reader, far_writer), _pump(far_reader, writer)
            )
            self._writers -= ends


async def _pump(
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
