"""Callers for tests and measurements, and what each of them was told.

Every request carries a payload of its own, which its answer must repeat.
A caller reaches the daemons as through the platform's balancer: where a
daemon could not be connected, or stated that it stops and did not run the
request, the next daemon is asked.  Nothing else is sent again.
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

__all__ = ["NO_ANSWER", "Callers", "Told"]

# The outcome of a caller whose connection ended without an answer.
NO_ANSWER: Final = "no-answer"
BALANCER_TRIES: Final = 40
BALANCER_PAUSE_S: Final = 0.05
SERVER_ERROR_STATUS: Final = 500


class Told:
    """What one caller was told of its request."""

    __slots__ = ("at", "latency_s", "outcome", "payload", "reason", "reply")

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
        self.at = time.monotonic()

    def __repr__(self) -> str:
        return f"Told({self.payload} {self.outcome} {self.reason})"

    @property
    def is_served(self) -> bool:
        """Whether the caller got its own answer."""
        return self.outcome == "answered" and self.is_own

    @property
    def is_own(self) -> bool:
        """Whether an answer, if there is one, is the caller's own."""
        reply = self.reply
        if reply is None or reply.outcome != "answered":
            return True
        if reply.status >= SERVER_ERROR_STATUS:
            return True
        return reply.echo == self.payload


class Callers:
    """Some callers behind one balancer; keeps all that they were told."""

    __slots__ = (
        "_clients",
        "_daemons",
        "_ids",
        "_names",
        "_turns",
        "deadline_s",
        "headers",
        "keyed",
        "pool",
        "told",
    )

    def __init__(
        self,
        daemons: Callable[[], Sequence[DaemonProcess]],
        name: str = "p",
        pool: str = "quotes",
        deadline_s: float = 5.0,
        headers: RawHeaders | None = None,
        keyed: bool = False,
    ) -> None:
        # Whether each request has an idempotency key of its own.
        self.keyed = keyed
        self._daemons = daemons
        self._names = name
        self._ids = itertools.count(1)
        self._turns = itertools.count()
        self._clients: dict[str, HttpClient] = {}
        self.pool = pool
        self.deadline_s = deadline_s
        self.headers: RawHeaders = headers or []
        self.told: list[Told] = []

    @property
    def outcomes(self) -> list[str]:
        """The outcomes told so far."""
        return [each.outcome for each in self.told]

    async def ask(self, payload: str = "", key: str = "") -> Told:
        """Send one request, and keep what is told."""
        payload = payload or f"{self._names}{next(self._ids)}"
        if self.keyed and not key:
            key = f"k-{payload}"
        started = time.monotonic()
        outcome, reason, reply = await self._balance(payload, key)
        latency_s = time.monotonic() - started
        told = Told(payload, outcome, reason, reply, latency_s)
        self.told.append(told)
        return told

    async def wave(self, count: int) -> list[Told]:
        """Send some requests at once."""
        calls = [self.ask() for _ in range(count)]
        return list(await asyncio.gather(*calls))

    async def load(
        self, workers: int, stop: asyncio.Event, pause_s: float = 0.01
    ) -> None:
        """Send requests one after the other, by some workers, until told."""

        async def work() -> None:
            while not stop.is_set():
                await self.ask()
                await asyncio.sleep(pause_s)

        await asyncio.gather(*(work() for _ in range(workers)))

    def close(self) -> None:
        """Close the connections."""
        for client in self._clients.values():
            client.close()

    async def _balance(
        self, payload: str, key: str
    ) -> tuple[str, str, Reply | None]:
        """Try the daemons in turn until one takes the request."""
        for _ in range(BALANCER_TRIES):
            daemons = self._daemons()
            if not daemons:
                await asyncio.sleep(BALANCER_PAUSE_S)
                continue
            daemon = daemons[next(self._turns) % len(daemons)]
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
