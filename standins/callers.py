"""Callers for tests and measurements, and the results that they received.

Every request has a unique payload, which its answer must repeat.  A caller
reaches the daemons as it would through the platform's load balancer: if the
connection to a daemon fails, or if the daemon answers that it is stopping
and did not run the request, the next daemon is tried.  In all other cases
a request is sent only once.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.errors import CONNECT_FAILED, NOT_READY, Peer
from lycheelug.http import HttpClient, Request
from standins.cluster import Reply

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lycheelug.http import RawHeaders
    from standins.processes import DaemonProcess

__all__ = ["NO_ANSWER", "CallResult", "Callers"]

# The outcome of a request whose connection ended without an answer.
NO_ANSWER: Final = "no-answer"
BALANCER_TRIES: Final = 40
BALANCER_PAUSE_S: Final = 0.05
SERVER_ERROR_STATUS: Final = 500


class CallResult:
    """The result of one request as its caller received it."""

    __slots__ = (
        "ended_at",
        "latency_s",
        "outcome",
        "payload",
        "reason",
        "reply",
    )

    def __init__(
        self,
        payload: str,
        outcome: str,
        reason: str,
        reply: Reply | None,
        latency_s: float,
    ) -> None:
        self.payload = payload
        self.outcome = outcome
        self.reason = reason
        self.reply = reply
        self.latency_s = latency_s
        self.ended_at = time.monotonic()

    def __repr__(self) -> str:
        return f"CallResult({self.payload} {self.outcome} {self.reason})"

    @property
    def is_served(self) -> bool:
        """Whether the caller received the answer to its own request."""
        return self.outcome == "answered" and self.has_no_wrong_answer

    @property
    def has_no_wrong_answer(self) -> bool:
        """Whether there is no answer that belongs to another request."""
        reply = self.reply
        if reply is None or reply.outcome != "answered":
            return True
        if reply.status >= SERVER_ERROR_STATUS:
            return True
        return reply.echo == self.payload


class Callers:
    """Callers behind one load balancer, and all their results."""

    __slots__ = (
        "_clients",
        "_daemons",
        "_numbers",
        "_payload_prefix",
        "_tries",
        "deadline_s",
        "headers",
        "pool",
        "results",
        "sends_keys",
    )

    def __init__(
        self,
        daemons: Callable[[], Sequence[DaemonProcess]],
        payload_prefix: str = "p",
        pool: str = "quotes",
        deadline_s: float = 5.0,
        headers: RawHeaders | None = None,
        sends_keys: bool = False,
    ) -> None:
        # Whether each request has a unique idempotency key.
        self.sends_keys = sends_keys
        self._daemons = daemons
        self._payload_prefix = payload_prefix
        self._numbers = itertools.count(1)
        self._tries = itertools.count()
        self._clients: dict[str, HttpClient] = {}
        self.pool = pool
        self.deadline_s = deadline_s
        self.headers: RawHeaders = headers or []
        self.results: list[CallResult] = []

    @property
    def outcomes(self) -> list[str]:
        """The outcomes of all results so far."""
        return [each.outcome for each in self.results]

    async def send(self, payload: str = "", key: str = "") -> CallResult:
        """Send one request and record its result."""
        payload = payload or f"{self._payload_prefix}{next(self._numbers)}"
        if self.sends_keys and not key:
            key = f"k-{payload}"
        started = time.monotonic()
        outcome, reason, reply = await self._send_balanced(payload, key)
        latency_s = time.monotonic() - started
        result = CallResult(payload, outcome, reason, reply, latency_s)
        self.results.append(result)
        return result

    async def send_batch(self, count: int) -> list[CallResult]:
        """Send a number of requests at the same time."""
        calls = [self.send() for _ in range(count)]
        return list(await asyncio.gather(*calls))

    async def run_load(
        self, workers: int, stop: asyncio.Event, pause_s: float = 0.01
    ) -> None:
        """Let each worker send requests in sequence until `stop` is set."""

        async def work() -> None:
            while not stop.is_set():
                await self.send()
                await asyncio.sleep(pause_s)

        await asyncio.gather(*(work() for _ in range(workers)))

    def close(self) -> None:
        """Close the connections."""
        for client in self._clients.values():
            client.close()

    async def _send_balanced(
        self, payload: str, key: str
    ) -> tuple[str, str, Reply | None]:
        """Try the daemons in rotation until one accepts the request."""
        for _ in range(BALANCER_TRIES):
            daemons = self._daemons()
            if not daemons:
                await asyncio.sleep(BALANCER_PAUSE_S)
                continue
            daemon = daemons[next(self._tries) % len(daemons)]
            client = self._client(daemon.callers)
            answer = await client.request(
                self._request(daemon.callers, payload, key),
                self.deadline_s + 10.0,
            )
            if isinstance(answer, Failure):
                fault = answer.failure()
                if fault.code is CONNECT_FAILED or not fault.maybe_sent:
                    await asyncio.sleep(BALANCER_PAUSE_S)
                    continue
                return NO_ANSWER, fault.code.name, None
            reply = Reply(answer.unwrap())
            if reply.reason == NOT_READY.name:
                await asyncio.sleep(BALANCER_PAUSE_S)
                continue
            return reply.outcome, reply.reason, reply
        return "not-run", "no daemon", None

    def _client(self, address: str) -> HttpClient:
        client = self._clients.get(address)
        if client is None:
            client = HttpClient(address, Peer.ENTRY)
            self._clients[address] = client
        return client

    def _request(self, address: str, payload: str, key: str) -> Request:
        body = payload.encode()
        headers: RawHeaders = [
            (b"host", address.encode()),
            (b"content-length", str(len(body)).encode()),
            (b"lycheelug-pool", self.pool.encode()),
            (b"lycheelug-deadline", f"{self.deadline_s:g}".encode()),
            *self.headers,
        ]
        if key:
            headers.append((b"idempotency-key", key.encode()))
        return Request(b"POST", b"/work", headers, body)
