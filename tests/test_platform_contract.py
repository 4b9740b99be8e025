from __future__ import annotations

import asyncio

from returns.result import Success

from lycheelug.platform import (
    ABSENT,
    BINDINGS,
    Commit,
    Conflict,
    Guard,
    Transaction,
    Write,
)


def test_memory_binding_is_registered() -> None:
    async def scenario() -> None:
        platform = BINDINGS.get("memory")("")
        insert = Transaction([Guard("a", ABSENT)], [Write("a", b"1")], "n1")
        again = Transaction([Guard("a", ABSENT)], [Write("a", b"2")], "n2")
        for transaction, kind in ((insert, Commit), (again, Conflict)):
            match await platform.transact(transaction):
                case Success(answer):
                    assert isinstance(answer, kind)
                case fault:
                    raise AssertionError(fault)

    asyncio.run(scenario())
