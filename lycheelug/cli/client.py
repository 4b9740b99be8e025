"""Talks to a daemon's operator address; ends the tool on a fault.

Exit codes: 0 done, 1 refused or faults found, 2 wrong usage or file,
3 daemon not reached, 4 outcome unknown.
"""

from __future__ import annotations

import asyncio
import sys
from enum import IntEnum
from typing import TYPE_CHECKING, Final, NoReturn, TypeVar

import msgspec
from returns.result import Success

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
    """How the tool ends."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


class _Reply(msgspec.Struct):
    """A fault as the daemon sends it."""

    code: str = "?"
    title: str = ""
    detail: str = ""
    lines: list[str] = []


def fail(message: str, code: ExitCode) -> NoReturn:
    """Write one line on standard error and end."""
    sys.stderr.write(f"lycheelug: {message}\n")
    raise SystemExit(int(code))


def read_file(path: Path) -> bytes:
    """Return a file's bytes; end the tool where it can't be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        fail(f"{path}: {reason}", ExitCode.USAGE)


class OperatorClient:
    """One daemon's operator address."""

    __slots__ = ("_address", "_token")

    def __init__(self, address: str, token: str) -> None:
        if split_address(address) is None:
            fail(
                f"--address: found {address!r}; "
                "allowed: an IP number and a port, as 127.0.0.1:8081",
                ExitCode.USAGE,
            )
        self._address = address
        self._token = token

    def get(self, target: str, kind: type[V]) -> V:
        """Return a resource."""
        return self._decoded(self.call("GET", target, b""), kind)

    def post(self, target: str, body: bytes, kind: type[V]) -> V:
        """Post a body and return the reply."""
        return self._decoded(self.call("POST", target, body), kind)

    def call(self, method: str, target: str, body: bytes) -> Answer:
        """Return a successful answer; end the tool on any other."""
        answer = asyncio.run(self._request(method, target, body))
        if answer.status == OK_STATUS:
            return answer
        self._end_refused(answer)
        return None

    async def _request(self, method: str, target: str, body: bytes) -> Answer:
        """Exchange one request, or end the tool."""
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

    def _end_refused(self, answer: Answer) -> NoReturn:
        """End the tool with what the daemon says."""
        try:
            reply = msgspec.json.decode(answer.body, type=_Reply)
        except msgspec.DecodeError:
            reply = _Reply(code=f"status {answer.status}")
        for line in reply.lines:
            sys.stderr.write(line + "\n")
        unknown = answer.status == TIMEOUT_STATUS
        code = ExitCode.UNKNOWN if unknown else ExitCode.REFUSED
        text = f"{reply.code}: {reply.title} {reply.detail}"
        fail(text.strip(), code)

    def _decoded(self, answer: Answer, kind: type[V]) -> V:
        """Return an answer's content."""
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except msgspec.MsgspecError as error:
            fail(
                f"daemon at {self._address}: answer not understood: {error}",
                ExitCode.UNREACHABLE,
            )
