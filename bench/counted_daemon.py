"""Runs a daemon that counts the bytes sent and received by its sockets.

Run as `python -m bench.counted_daemon SETTINGS.yaml`.  The counters are
written to the file `SETTINGS.yaml.bytes` as two numbers, sent and received.
They count payloads without the headers of TCP and IP.  The kernel's I/O
counters of a process (`/proc/PID/io`) can't be used, because they leave out
`send` and `recv`.
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

__all__ = ["counter_path", "main", "transferred_bytes"]

# Fixed width, so that a concurrent reader always finds two whole numbers.
LINE: Final = b"%15d %15d\n"


def counter_path(settings: Path) -> Path:
    """Return the path of a daemon's counters."""
    return settings.with_name(settings.name + ".bytes")


def transferred_bytes(settings: Path) -> list[int]:
    """Return the numbers of bytes that a daemon has sent and received."""
    text = counter_path(settings).read_text(encoding="ascii")
    return [int(word) for word in text.split()]


class _Counters:
    """Counts the bytes of all IPv4 sockets of this process."""

    __slots__ = ("_file", "_received", "_sent")

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        self._sent = 0
        self._received = 0
        self._write()

    def counting_send(self, send: Callable[..., int]) -> Callable[..., int]:
        """Return a `send` method that counts its bytes."""

        def counted(sock: socket.socket, *arguments: Any) -> int:
            size = send(sock, *arguments)
            if sock.family == socket.AF_INET:
                self._sent += size
                self._write()
            return size

        return counted

    def counting_recv(
        self, recv: Callable[..., bytes]
    ) -> Callable[..., bytes]:
        """Return a `recv` method that counts its bytes."""

        def counted(sock: socket.socket, *arguments: Any) -> bytes:
            data = recv(sock, *arguments)
            if sock.family == socket.AF_INET:
                self._received += len(data)
                self._write()
            return data

        return counted

    def _write(self) -> None:
        """Write the counters to the file."""
        os.pwrite(self._file, LINE % (self._sent, self._received), 0)


def main() -> None:
    """Run the daemon with counted sockets.

    asyncio's stream transports transfer data by these two methods only.
    """
    counters = _Counters(counter_path(Path(sys.argv[1])))
    kind: Any = socket.socket
    kind.send = counters.counting_send(kind.send)
    kind.recv = counters.counting_recv(kind.recv)
    run_daemon()


if __name__ == "__main__":
    main()
