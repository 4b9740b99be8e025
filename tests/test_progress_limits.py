"""Tests the limits of an exchange that follow its progress.

The transport is a stand-in and the time virtual, so the parts of an answer
arrive exactly when a case says so.
"""

from __future__ import annotations

import asyncio
from typing import Any, Final

import pytest
from returns.result import Failure, Success

from lycheelug.errors import Peer
from lycheelug.http import ClientConnection, ProgressLimits, Request
from tests.virtual_time import run_virtual

HEAD: Final = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n"
REQUEST: Final = Request(b"GET", b"/", [(b"host", b"a")])
LIMITS: Final = ProgressLimits(idle_s=0.5, answer_s=10.0)
FIRST_BYTE_S: Final = 2.0


class StandInTransport(asyncio.Transport):
    """A transport that only records whether it is closed."""

    def __init__(self) -> None:
        super().__init__()
        self._is_closed = False

    def write(self, data: Any) -> None:
        pass

    def abort(self) -> None:
        self._is_closed = True

    def is_closing(self) -> bool:
        return self._is_closed


async def exchange(
    connection: ClientConnection,
    parts: list[tuple[float, bytes]],
    limits: ProgressLimits | None,
) -> tuple[str, float]:
    """Return an exchange's status or fault, and how long it took.

    Each part of the answer arrives after a pause.
    """

    async def send_parts() -> None:
        for pause_s, data in parts:
            await asyncio.sleep(pause_s)
            connection.data_received(data)

    loop = asyncio.get_running_loop()
    began = loop.time()
    sending = loop.create_task(send_parts())
    result = await connection.exchange(REQUEST, FIRST_BYTE_S, limits)
    took_s = loop.time() - began
    sending.cancel()
    match result:
        case Success(answer):
            return str(answer.status), took_s
        case Failure(fault):
            return str(fault.code.name), took_s
    raise AssertionError


def connect() -> ClientConnection:
    connection = ClientConnection(Peer.PLATFORM, "platform")
    connection.connection_made(StandInTransport())
    return connection


STEADY: Final = [(0.4, HEAD), *[(0.4, b"x" * 100)] * 10]


# Large answers were cut at a fixed time; a silent peer must still be left.
@pytest.mark.parametrize(
    ("parts", "limits", "expected", "bound_s"),
    [
        pytest.param(STEADY, LIMITS, "200", 4.4, id="steady"),
        pytest.param(
            STEADY, None, "answer-timeout", FIRST_BYTE_S, id="total-limit"
        ),
        pytest.param(
            [], LIMITS, "answer-timeout", FIRST_BYTE_S, id="no-first-byte"
        ),
        pytest.param(
            [(0.1, HEAD), (0.1, b"x")],
            LIMITS,
            "answer-timeout",
            0.1 + 0.1 + LIMITS.idle_s,
            id="stops",
        ),
        pytest.param(
            [(1.0, HEAD), *[(0.4, b"x")] * 900],
            LIMITS,
            "answer-timeout",
            1.0 + LIMITS.answer_s,
            id="trickles",
        ),
        pytest.param(
            [(0.1, HEAD[:20]), (0.1, HEAD[20:30])],
            LIMITS,
            "answer-timeout",
            0.1 + 0.1 + LIMITS.idle_s,
            id="head-stops",
        ),
    ],
)
def test_exchange_ends_when_its_answer_makes_no_progress(
    parts: list[tuple[float, bytes]],
    limits: ProgressLimits | None,
    expected: str,
    bound_s: float,
) -> None:
    async def run() -> tuple[str, float]:
        return await exchange(connect(), parts, limits)

    result, took_s = run_virtual(run())
    assert result == expected
    assert took_s <= bound_s + 0.001


# The timer of an exchange must not end a later one on the same connection.
def test_limits_of_an_exchange_do_not_apply_to_the_next_one() -> None:
    whole = HEAD + b"x" * 1000

    async def run() -> list[str]:
        connection = connect()
        found: list[str] = []
        for parts, limits in (
            (STEADY, LIMITS),
            ([(1.9, whole)], LIMITS),
            ([(0.1, HEAD), (1.8, whole[len(HEAD) :])], None),
            (STEADY, LIMITS),
            (STEADY, None),
        ):
            found.append((await exchange(connection, parts, limits))[0])
        return found

    expected = ["200", "200", "200", "200", "answer-timeout"]
    assert run_virtual(run()) == expected


# A timer that is set for each part would cost more than parsing the part.
def test_parts_of_an_answer_do_not_set_the_timer() -> None:
    async def run() -> int:
        loop = asyncio.get_running_loop()
        connection = connect()
        timers: list[float] = []
        call_at = loop.call_at

        def count_timer(when: float, *args: Any, **options: Any) -> Any:
            timers.append(when)
            return call_at(when, *args, **options)

        answer = loop.create_task(
            connection.exchange(REQUEST, FIRST_BYTE_S, LIMITS)
        )
        await asyncio.sleep(0)
        loop.call_at = count_timer  # type: ignore[method-assign, assignment]
        connection.data_received(HEAD)
        for _ in range(1000):
            connection.data_received(b"x")
        assert (await answer).unwrap().status == 200
        return len(timers)

    assert run_virtual(run()) == 1
