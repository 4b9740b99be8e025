"""A binding of the platform that uses HTTP/1.1 with JSON messages.

A call that fails before any byte was sent had no effect, which its fault
says (`platform-unreachable`).  A write whose answer is incomplete or invalid
may have taken effect (`platform-unknown`).

If the platform closes an idle connection, only the next request on it
detects that.  Therefore a call whose connection ends without an answer is
sent once more on a new connection, if it is a read or a transaction, which
is made idempotent by its nonce.  No other call is repeated here.

Limits: no redirects, no TLS, one address.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, TypeVar

import msgspec
from returns.result import Failure, Success

from lycheelug.decoding import decode_json
from lycheelug.errors import (
    ANSWER_TRUNCATED,
    PLATFORM_INVALID,
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    Fault,
    Peer,
    Step,
)
from lycheelug.http.client import ExchangeFault, HttpClient
from lycheelug.http.messages import Request
from lycheelug.store.codec import (
    DELTA_PATH,
    HOSTS_PATH,
    OBJECTS_PATH,
    PLATFORM_CODES,
    ROW_PATH,
    TRANSACTIONS_PATH,
    DeltaMessage,
    FaultMessage,
    HostsMessage,
    RebootMessage,
    RowAnswer,
    TransactionAnswer,
    TransactionMessage,
    encode_path,
)
from lycheelug.store.interface import BINDINGS, Platform

if TYPE_CHECKING:
    from returns.result import Result

    from lycheelug.errors import ErrorCode
    from lycheelug.http.messages import Answer
    from lycheelug.store.interface import (
        Commit,
        Conflict,
        Delta,
        HostDelta,
        Row,
        Transaction,
    )

__all__ = ["HttpPlatform", "open_http"]

T = TypeVar("T")

CALL_TIMEOUT_S: Final = 2.0
CALLS_MAX: Final = 16


class HttpPlatform(Platform):
    """A client of a platform at `ip:port`.

    At most `CALLS_MAX` calls run concurrently.  The others wait, which
    counts towards their timeout.
    """

    __slots__ = ("_address", "_client", "_slots", "_timeout_s")

    def __init__(
        self, address: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._client = HttpClient(address, Peer.PLATFORM)
        self._slots = asyncio.Semaphore(CALLS_MAX)

    async def read(self, key: str) -> Result[Row | None, Fault]:
        """Return a row, or None if the key does not exist."""
        target = encode_path(ROW_PATH, key=key)
        match await self._read(target):
            case Success(answer):
                message = self._decode(answer, RowAnswer)
            case Failure(fault):
                return Failure(fault)
        if message is None:
            return Failure(self._fault(PLATFORM_INVALID, Step.READ, key))
        if message.row is None:
            return Success(None)
        return Success(message.row.to_row())

    async def read_since(
        self, prefix: str, revision: int
    ) -> Result[Delta, Fault]:
        """Return the rows of a prefix written after a revision."""
        target = encode_path(DELTA_PATH, prefix=prefix, since=revision)
        match await self._read(target):
            case Success(answer):
                message = self._decode(answer, DeltaMessage)
            case Failure(fault):
                return Failure(fault)
        if message is None:
            return Failure(self._fault(PLATFORM_INVALID, Step.READ, prefix))
        return Success(message.to_delta())

    async def transact(
        self, transaction: Transaction
    ) -> Result[Commit | Conflict, Fault]:
        """Apply all writes if all guards hold."""
        body = msgspec.json.encode(TransactionMessage.of(transaction))
        target = encode_path(TRANSACTIONS_PATH)
        request = self._request(b"POST", target, body)
        match await self._write(request, repeat=True):
            case Success(answer):
                message = self._decode(answer, TransactionAnswer)
            case Failure(fault):
                return Failure(fault)
        if message is None:
            return Failure(
                self._fault(PLATFORM_UNKNOWN, Step.WRITE, "invalid answer")
            )
        return Success(message.to_answer())

    async def put_object(self, name: str, data: bytes) -> Result[None, Fault]:
        """Store an object, replacing an existing one of this name."""
        return await self._command(b"PUT", OBJECTS_PATH, name, body=data)

    async def get_object(self, name: str) -> Result[bytes, Fault]:
        """Return an object; the fault is `unknown-object` if none exists."""
        match await self._read(encode_path(OBJECTS_PATH, name)):
            case Success(answer):
                return Success(answer.body)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError

    async def delete_object(self, name: str) -> Result[None, Fault]:
        """Delete an object; succeed if it does not exist."""
        return await self._command(b"DELETE", OBJECTS_PATH, name)

    async def hosts_since(self, revision: int) -> Result[HostDelta, Fault]:
        """Return the hosts whose list entry changed after a revision."""
        match await self._read(encode_path(HOSTS_PATH, since=revision)):
            case Success(answer):
                message = self._decode(answer, HostsMessage)
            case Failure(fault):
                return Failure(fault)
        if message is None:
            return Failure(self._fault(PLATFORM_INVALID, Step.READ, "hosts"))
        return Success(message.to_delta())

    async def drain(self, host: str) -> Result[None, Fault]:
        """Drain a host, which puts it in the state leaving; idempotent."""
        return await self._command(b"POST", HOSTS_PATH, host, "drain")

    async def reboot(self, host: str, nonce: str) -> Result[None, Fault]:
        """Reboot a drained host once per nonce; it is live afterwards."""
        body = msgspec.json.encode(RebootMessage(nonce))
        return await self._command(
            b"POST", HOSTS_PATH, host, "reboot", body=body
        )

    async def resume(self, host: str) -> Result[None, Fault]:
        """End a drain without a reboot; idempotent."""
        return await self._command(b"POST", HOSTS_PATH, host, "resume")

    async def close(self) -> None:
        """Close the connections."""
        self._client.close()

    # --- Calls.

    async def _command(
        self, method: bytes, *parts: str, body: bytes = b""
    ) -> Result[None, Fault]:
        """Make a write whose answer has no content; it is never repeated."""
        request = self._request(method, encode_path(*parts), body)
        match await self._write(request, repeat=False):
            case Success(_):
                return Success(None)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError

    async def _read(self, target: bytes) -> Result[Answer, Fault]:
        """Make a read, repeating it once if the connection was closed."""
        request = self._request(b"GET", target)
        match await self._call(request, repeat=True):
            case Success(answer):
                pass
            case Failure(fault):
                detail = f"{fault.code.name}: {fault.detail}"
                return Failure(
                    self._fault(PLATFORM_UNREACHABLE, Step.READ, detail)
                )
        if answer.status == 200:
            return Success(answer)
        reported = self._reported_fault(answer, Step.READ)
        if reported is not None:
            return Failure(reported)
        detail = f"status {answer.status}"
        return Failure(self._fault(PLATFORM_UNREACHABLE, Step.READ, detail))

    async def _write(
        self, request: Request, *, repeat: bool
    ) -> Result[Answer, Fault]:
        """Make a write; without an answer its outcome is unknown."""
        match await self._call(request, repeat=repeat):
            case Success(answer):
                pass
            case Failure(fault):
                detail = f"{fault.code.name}: {fault.detail}"
                code = (
                    PLATFORM_UNKNOWN
                    if fault.maybe_sent
                    else PLATFORM_UNREACHABLE
                )
                return Failure(self._fault(code, Step.WRITE, detail))
        if answer.status == 200:
            return Success(answer)
        reported = self._reported_fault(answer, Step.WRITE)
        if reported is not None:
            return Failure(reported)
        detail = f"status {answer.status}"
        return Failure(self._fault(PLATFORM_UNKNOWN, Step.WRITE, detail))

    async def _call(
        self, request: Request, *, repeat: bool
    ) -> Result[Answer, ExchangeFault]:
        """Send a request; if `repeat`, retry once after a truncated answer."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout_s
        try:
            async with asyncio.timeout_at(deadline):
                await self._slots.acquire()
        except TimeoutError:
            return Failure(self._unsent_fault("too many concurrent calls"))
        try:
            remaining = max(0.0, deadline - loop.time())
            answer = await self._client.request(request, remaining)
            match answer:
                case Failure(fault) if fault.code is not ANSWER_TRUNCATED:
                    return answer
                case Success(_):
                    return answer
            remaining = deadline - loop.time()
            if not repeat or remaining <= 0:
                return answer
            return await self._send_again(request, remaining)
        finally:
            self._slots.release()

    async def _send_again(
        self, request: Request, timeout_s: float
    ) -> Result[Answer, ExchangeFault]:
        """Send a request again on a new connection.

        A failure is always marked as sent because the first attempt may have
        reached the platform.
        """
        repeated = await self._client.request(request, timeout_s, 0.0)
        match repeated:
            case Failure(fault):
                fault.maybe_sent = True
        return repeated

    def _request(
        self, method: bytes, target: bytes, body: bytes = b""
    ) -> Request:
        headers = [(b"host", self._address.encode("ascii"))]
        if method != b"GET":
            length = str(len(body)).encode("ascii")
            headers.append((b"content-length", length))
        return Request(method, target, headers, body)

    def _decode(self, answer: Answer, kind: type[T]) -> T | None:
        """Return an answer's decoded message, or None if it is invalid."""
        return decode_json(answer.body, kind).value_or(None)

    def _reported_fault(self, answer: Answer, step: Step) -> Fault | None:
        """Return the fault that the platform itself reports, if any."""
        message = self._decode(answer, FaultMessage)
        if message is None or message.code not in PLATFORM_CODES:
            return None
        code = PLATFORM_CODES[message.code]
        return self._fault(code, step, message.detail)

    def _fault(self, code: ErrorCode, step: Step, detail: str) -> Fault:
        return Fault(code, step, Peer.PLATFORM, detail, self._address)

    def _unsent_fault(self, detail: str) -> ExchangeFault:
        return ExchangeFault(
            PLATFORM_UNREACHABLE,
            Step.CONNECT,
            Peer.PLATFORM,
            detail,
            self._address,
            False,
        )


@BINDINGS.register("http")
def open_http(address: str) -> Platform:
    """Return a client of the platform at `ip:port`."""
    return HttpPlatform(address)
