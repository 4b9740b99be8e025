"""Runs a daemon that counts the bytes which its sockets carry.

Run as `python -m bench.counted_daemon SETTINGS.yaml`.  The counters are
kept in the file `SETTINGS.yaml.bytes` as two numbers, sent and received;
they hold payloads, without the headers of TCP and IP.  The kernel's own
counters of a process (`/proc/PID/io`) leave out `send` and `recv`.
"""

from __future__ import annotations

import os
import socket
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from lycheelug.main import main as run_daemon

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["carried_bytes", "counter_path", "main"]

# Fixed width, so that a reader always finds two whole numbers.
LINE: Final = b"%15d %15d\n"


def counter_path(settings: Path) -> Path:
    """Return where the counters of a daemon are kept."""
    return settings.with_name(settings.name + ".bytes")


def carried_bytes(settings: Path) -> list[int]:
    """Return the bytes that a daemon has sent and received so far."""
    text = counter_path(settings).read_text(encoding="ascii")
    return [int(word) for word in text.split()]


class _Counters:
    """The bytes of all sockets of this process."""

    __slots__ = ("_file", "_received", "_sent")

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        self._sent = 0
        self._received = 0
        self._store()

    def counting_send(self, send: Callable[..., int]) -> Callable[..., int]:
        """Return a `send` method that counts."""

        def counted(sock: socket.socket, *arguments: Any) -> int:
            size = send(sock, *arguments)
            if sock.family == socket.AF_INET:
                self._sent += size
                self._store()
            return size

        return counted

    def counting_recv(
        self, recv: Callable[..., bytes]
    ) -> Callable[..., bytes]:
        """Return a `recv` method that counts."""

        def counted(sock: socket.socket, *arguments: Any) -> bytes:
            data = recv(sock, *arguments)
            if sock.family == socket.AF_INET:
                self._received += len(data)
                self._store()
            return data

        return counted

    def _store(self) -> None:
        """Write the counters."""
        os.pwrite(self._file, LINE % (self._sent, self._received), 0)


def main() -> None:
    """Run the daemon with counted sockets.

    asyncio's transports call only these two methods on streams.
    """
    counters = _Counters(counter_path(Path(sys.argv[1])))
    kind: Any = socket.socket
    kind.send = counters.counting_send(kind.send)
    kind.recv = counters.counting_recv(kind.recv)
    run_daemon()


if __name__ == "__main__":
    main()
