"""A client of a daemon's operator address; it ends the tool on a fault.

Exit codes: 0 done, 1 refused or faults found, 2 wrong usage or file,
3 daemon unreachable, 4 outcome unknown.
"""

from __future__ import annotations

import asyncio
import sys
from enum import IntEnum
from typing import TYPE_CHECKING, Final, NoReturn, TypeVar

import msgspec
from returns.result import Failure, Success

from lycheelug.decoding import decode_json
from lycheelug.errors import Peer
from lycheelug.http import Answer, HttpClient, RawHeaders, Request
from lycheelug.settings_schema import split_address

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["ExitCode", "OperatorClient", "fail", "read_file"]

TIMEOUT_S: Final = 10.0
OK_STATUS: Final = 200
TIMEOUT_STATUS: Final = 504

V = TypeVar("V")


class ExitCode(IntEnum):
    """The exit status of the tool."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


class _FaultReply(msgspec.Struct):
    """The body of an error answer of the daemon."""

    code: str = "?"
    title: str = ""
    detail: str = ""
    lines: list[str] = []


def fail(message: str, code: ExitCode) -> NoReturn:
    """Write one line to standard error and end the tool."""
    sys.stderr.write(f"lycheelug: {message}\n")
    raise SystemExit(int(code))


def read_file(path: Path) -> bytes:
    """Return a file's content; end the tool if it can't be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        fail(f"{path}: {reason}", ExitCode.USAGE)


class OperatorClient:
    """A client of one daemon's operator address."""

    __slots__ = ("_address", "_token")

    def __init__(self, address: str, token: str) -> None:
        if split_address(address) is None:
            fail(
                f"--address: found {address!r}; "
                "allowed: an IP address and a port, such as 127.0.0.1:8081",
                ExitCode.USAGE,
            )
        self._address = address
        self._token = token

    def get(self, target: str, kind: type[V]) -> V:
        """Return the decoded content of a resource."""
        return self.decode(self.call("GET", target, b""), kind)

    def post(self, target: str, body: bytes, kind: type[V]) -> V:
        """Send a body and return the decoded reply."""
        return self.decode(self.call("POST", target, body), kind)

    def call(self, method: str, target: str, body: bytes) -> Answer:
        """Return a successful answer; end the tool on any other."""
        answer = asyncio.run(self._request(method, target, body))
        if answer.status == OK_STATUS:
            return answer
        self._exit_with_fault(answer)
        return None

    async def _request(self, method: str, target: str, body: bytes) -> Answer:
        """Send a request; end the tool if there is no answer.

        If a request that changes something may have reached the daemon, its
        outcome is unknown.
        """
        headers: RawHeaders = [
            (b"host", self._address.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        if self._token:
            headers.append(
                (b"authorization", f"Bearer {self._token}".encode())
            )
        client = HttpClient(self._address, Peer.ENTRY)
        request = Request(method.encode(), target.encode(), headers, body)
        try:
            result = await client.request(request, TIMEOUT_S)
        finally:
            client.close()
        if isinstance(result, Success):
            answer: Answer = result.unwrap()
            return answer
        fault = result.failure()
        code = ExitCode.UNREACHABLE
        if fault.maybe_sent and method != "GET":
            code = ExitCode.UNKNOWN
        fail(f"daemon at {self._address}: {fault}", code)

    def _exit_with_fault(self, answer: Answer) -> NoReturn:
        """End the tool with the error that the daemon returned."""
        unknown = _FaultReply(code=f"status {answer.status}")
        reply = decode_json(answer.body, _FaultReply).value_or(unknown)
        for line in reply.lines:
            sys.stderr.write(line + "\n")
        is_unknown = answer.status == TIMEOUT_STATUS
        code = ExitCode.UNKNOWN if is_unknown else ExitCode.REFUSED
        text = f"{reply.code}: {reply.title} {reply.detail}"
        fail(text.strip(), code)

    def decode(self, answer: Answer, kind: type[V]) -> V:
        """Return the decoded content of an answer; end the tool if invalid."""
        decoded = decode_json(answer.body, kind)
        if isinstance(decoded, Failure):
            fail(
                f"daemon at {self._address}: invalid answer: "
                f"{decoded.failure()}",
                ExitCode.UNREACHABLE,
            )
        return decoded.unwrap()
