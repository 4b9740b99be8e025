"""An HTTP/1.1 upstream for benchmarks: fixed answer bytes, no parser.

It answers each request head with a short body, and repeats the request's id
if there is one.  It supports only requests without a body, and one request
at a time on a connection.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Final, cast

__all__ = ["main"]

ANSWER_START: Final = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 12\r\n"
)
ANSWER_END: Final = b"\r\nbrass bowls\n"
REQUEST_ID: Final = b"x-request-id: "
LINE_END: Final = b"\r\n"
HEAD_END: Final = b"\r\n\r\n"


class _Connection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self) -> None:
        self._buffer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Answer when a request head is complete."""
        self._buffer += data
        if not self._buffer.endswith(HEAD_END):
            return
        head = self._buffer
        self._buffer = b""
        echoed = b""
        start = head.lower().find(REQUEST_ID)
        if start >= 0:
            end = head.index(LINE_END, start)
            echoed = head[start:end] + LINE_END
        assert self._transport is not None
        self._transport.write(ANSWER_START + echoed + ANSWER_END)


async def _serve() -> None:
    """Serve until the process is killed."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_Connection, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    sys.stdout.write(f"listening 127.0.0.1:{port}\n")
    sys.stdout.flush()
    await asyncio.Event().wait()


def main() -> None:
    """Run the upstream."""
    asyncio.run(_serve())


if __name__ == "__main__":
    main()
