"""Sends one request to one executor and validates its answer.

Answers must match their request: each attempt has a unique `X-Request-Id`,
and an answer with another id is rejected.  Once an executor has echoed the
header, an answer without it is rejected as well.

Executors that never echo the header are accepted unless the settings require
it.  A second answer on a reused connection of such an executor can't be
distinguished from the answer to the next request, so that their connections
are used only once, unless the settings allow reuse.
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
# Headers of the caller that are not forwarded.
DROPPED: Final = HOP_BY_HOP | REPLACED
REFUSAL_STATUS: Final = 503
BODY_METHODS: Final = frozenset({b"POST", b"PUT", b"PATCH"})


class Upstreams:
    """Sends requests to executors over reusable connections."""

    __slots__ = ("_clients", "_echoing_addresses", "_max_answer", "_settings")

    def __init__(
        self, settings: UpstreamSettings, max_answer_bytes: int
    ) -> None:
        self._settings = settings
        self._max_answer = max_answer_bytes
        self._clients: dict[str, HttpClient] = {}
        # The addresses of executors that have echoed a request id.
        self._echoing_addresses: set[str] = set()

    async def run(
        self,
        executor: Executor,
        request: Request,
        request_id: str,
        timeout_s: float,
        repeatable: bool,
    ) -> Result[Answer, ExchangeFault]:
        """Send a request; return its complete and matching answer, or a fault.

        A rejection by the executor is a fault with `maybe_sent` False,
        because the executor states that it did not run the request.
        """
        client = self._client(executor.address)
        settings = self._settings
        reuse_s = settings.reuse_idle_s
        if not repeatable:
            reuse_s = settings.unrepeatable_reuse_idle_s
        is_echoing = executor.address in self._echoing_addresses
        if not is_echoing and not settings.reuse_without_request_id:
            reuse_s = -1.0
        request_id_bytes = request_id.encode()
        forwarded = _make_request(
            request, executor.address, request_id_bytes, timeout_s
        )
        result = await client.request(forwarded, timeout_s, reuse_s)
        if type(result) is Failure:
            return result
        return self._validate(result, executor, request_id_bytes)

    def close(self) -> None:
        """Close all idle connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def close_except(self, addresses: frozenset[str]) -> None:
        """Close the connections to all addresses except the given ones."""
        for address in tuple(self._clients):
            if address in addresses:
                continue
            self._clients.pop(address).close()
            self._echoing_addresses.discard(address)

    def _client(self, address: str) -> HttpClient:
        """Return the client of an address; create it if needed."""
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

    def _validate(
        self,
        result: Result[Answer, ExchangeFault],
        executor: Executor,
        request_id: bytes,
    ) -> Result[Answer, ExchangeFault]:
        """Check that an answer belongs to the request and is no rejection."""
        answer = result.unwrap()
        echoed = find_header(answer.headers, REQUEST_ID)
        is_echoing = executor.address in self._echoing_addresses
        required = is_echoing or self._settings.request_id_required
        is_missing = echoed is None and required
        is_mismatched = echoed is not None and echoed != request_id
        if echoed is not None and not is_mismatched:
            self._echoing_addresses.add(executor.address)
        if is_missing or is_mismatched:
            # Answers may be out of order: none of the executor's idle
            # connections is used again.
            self._client(executor.address).close()
            return Failure(
                ExchangeFault(
                    ANSWER_CROSSED,
                    Step.RECEIVE,
                    Peer.UPSTREAM,
                    f"the answer has the request id {echoed!r}",
                    executor.name,
                    maybe_sent=True,
                )
            )
        if is_refusal(answer):
            fault = ExchangeFault(
                UPSTREAM_REFUSED,
                Step.RECEIVE,
                Peer.UPSTREAM,
                "closing" if answer.close else "",
                executor.name,
                maybe_sent=False,
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


def _make_request(
    request: Request, address: str, request_id: bytes, timeout_s: float
) -> Request:
    """Return the request to send to the executor."""
    headers: RawHeaders = [
        (b"host", address.encode()),
        (REQUEST_ID, request_id),
        (DEADLINE, b"%.3f" % timeout_s),
    ]
    headers.extend(end_to_end_headers(request.headers, DROPPED))
    if request.body or request.method in BODY_METHODS:
        headers.append((b"content-length", b"%d" % len(request.body)))
    return Request(request.method, request.target, headers, request.body)
