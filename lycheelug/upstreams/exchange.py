"""One request on one executor, and what its end means.

An answer counts only if it belongs to the request: each try carries an
`X-Request-Id` of its own, and an answer that carries another one is
refused.  Once an executor has echoed the header, an answer without it is
refused as well.

Upstreams that never echo it are accepted unless the settings require it;
then a second answer on a kept connection can't be told from the next
request's, so their connections are used once, unless the settings allow
more.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result

from lycheelug.errors import (
    ANSWER_CROSSED,
    UPSTREAM_REFUSED,
    Peer,
    Step,
)
from lycheelug.http import (
    HOP_BY_HOP,
    Answer,
    ExchangeFault,
    HttpClient,
    RawHeaders,
    Request,
    end_to_end_headers,
    find_header,
)
from lycheelug.requests import Outcome

if TYPE_CHECKING:
    from lycheelug.dispatch import Executor
    from lycheelug.settings import UpstreamSettings

__all__ = ["Upstreams", "is_refusal"]

REQUEST_ID: Final = b"x-request-id"
DEADLINE: Final = b"lycheelug-deadline"
OUTCOME: Final = b"lycheelug-outcome"
REPLACED: Final = frozenset(
    {b"host", b"content-length", b"expect", REQUEST_ID, DEADLINE}
)
# Not passed on as the caller sent it.
DROPPED: Final = HOP_BY_HOP | REPLACED
REFUSAL_STATUS: Final = 503
BODY_METHODS: Final = frozenset({b"POST", b"PUT", b"PATCH"})


class Upstreams:
    """The daemon's connections to executors."""

    __slots__ = ("_clients", "_echoing", "_max_answer", "_settings")

    def __init__(
        self, settings: UpstreamSettings, max_answer_bytes: int
    ) -> None:
        self._settings = settings
        self._max_answer = max_answer_bytes
        self._clients: dict[str, HttpClient] = {}
        # The addresses that have echoed a request's id.
        self._echoing: set[str] = set()

    async def run(
        self,
        executor: Executor,
        request: Request,
        request_id: str,
        timeout_s: float,
        repeatable: bool,
    ) -> Result[Answer, ExchangeFault]:
        """Run a request; return its own whole answer, or what went wrong.

        A refusal is a fault of which nothing counts as sent: the executor
        states that it did not run the request.
        """
        client = self._client(executor.address)
        settings = self._settings
        reuse_s = settings.reuse_idle_s
        if not repeatable:
            reuse_s = settings.unrepeatable_reuse_idle_s
        proven = executor.address in self._echoing
        if not proven and not settings.reuse_without_request_id:
            reuse_s = -1.0
        own_id = request_id.encode()
        sent = _forwarded(request, executor.address, own_id, timeout_s)
        result = await client.request(sent, timeout_s, reuse_s)
        if type(result) is Failure:
            return result
        return self._judge(result, executor, own_id)

    def close(self) -> None:
        """Close all idle connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def keep_only(self, addresses: frozenset[str]) -> None:
        """Drop the connections of executors that left the fleet."""
        for address in tuple(self._clients):
            if address in addresses:
                continue
            self._clients.pop(address).close()
            self._echoing.discard(address)

    def _client(self, address: str) -> HttpClient:
        """Return the client of an address, made if needed."""
        client = self._clients.get(address)
        if client is not None:
            return client
        clock = asyncio.get_running_loop().time
        client = HttpClient(
            address,
            Peer.UPSTREAM,
            self._max_answer,
            clock,
            self._settings.connect_s,
        )
        self._clients[address] = client
        return client

    def _judge(
        self,
        result: Result[Answer, ExchangeFault],
        executor: Executor,
        request_id: bytes,
    ) -> Result[Answer, ExchangeFault]:
        """Check that a whole answer is the request's own."""
        answer = result.unwrap()
        echoed = find_header(answer.headers, REQUEST_ID)
        proven = executor.address in self._echoing
        required = proven or self._settings.request_id_required
        missing = echoed is None and required
        crossed = echoed is not None and echoed != request_id
        if echoed is not None and not crossed:
            self._echoing.add(executor.address)
        if missing or crossed:
            # The connection's order is lost: none of it is used again.
            self._client(executor.address).close()
            return Failure(
                ExchangeFault(
                    ANSWER_CROSSED,
                    Step.RECEIVE,
                    Peer.UPSTREAM,
                    f"answer carries the id {echoed!r}",
                    executor.name,
                    sent=True,
                )
            )
        if is_refusal(answer):
            fault = ExchangeFault(
                UPSTREAM_REFUSED,
                Step.RECEIVE,
                Peer.UPSTREAM,
                "closing" if answer.close else "",
                executor.name,
                sent=False,
            )
            return Failure(fault)
        return result


def is_refusal(answer: Answer) -> bool:
    """Whether an executor states that it did not run the request.

    >>> is_refusal(Answer(503, [(b"lycheelug-outcome", b"not-run")]))
    True
    >>> is_refusal(Answer(503, []))
    False
    """
    if answer.status != REFUSAL_STATUS:
        return False
    stated = find_header(answer.headers, OUTCOME)
    return stated == Outcome.NOT_RUN.value.encode()


def _forwarded(
    request: Request, address: str, request_id: bytes, timeout_s: float
) -> Request:
    """Return the request as the executor gets it."""
    headers: RawHeaders = [
        (b"host", address.encode()),
        (REQUEST_ID, request_id),
        (DEADLINE, b"%.3f" % timeout_s),
    ]
    headers.extend(end_to_end_headers(request.headers, DROPPED))
    if request.body or request.method in BODY_METHODS:
        headers.append((b"content-length", b"%d" % len(request.body)))
    return Request(request.method, request.target, headers, request.body)
