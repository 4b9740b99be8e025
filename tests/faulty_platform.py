"""A platform binding that loses, repeats and delays requests by a script."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from returns.result import Failure, Result, Success

from lycheelug.errors import (
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    Fault,
    Peer,
    Step,
)
from lycheelug.store.interface import (
    Commit,
    Conflict,
    Platform,
    Row,
    Transaction,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from lycheelug.fleet import FleetSnapshot
    from tests.fleet_world import World

T = TypeVar("T")


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine that never really waits."""
    try:
        work.send(None)
    except StopIteration as end:
        result: T = end.value
        return result
    raise AssertionError("the coroutine waits")


class FaultyPlatform(Platform):
    """Loses, repeats and delays requests of one driver, by a script.

    Script entries: 0 works; 1 takes effect, loses its answer; 2 takes no
    effect, loses its answer; 3 comes late; 4 comes twice; 5 unreachable.
    """

    def __init__(self, world: World, seen: FleetSnapshot) -> None:
        self._world = world
        self._seen = seen
        self.script: list[int] = []

    def _next(self) -> int:
        return self.script.pop(0) if self.script else 0

    async def read(self, key: str) -> Result[Row | None, Fault]:
        return await self._world.platform.read(key)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Commit | Conflict, Fault]:
        fault = self._next()
        listed = dict(self._seen.listed)

        def apply(nonce: str = "") -> Commit | Conflict:
            sent = Transaction(
                transaction.guards,
                transaction.writes,
                transaction.nonce + nonce,
            )
            return self._world.apply(sent, listed)

        if fault == 5:
            return Failure(lost(PLATFORM_UNREACHABLE))
        if fault == 3:
            self._world.late.append(lambda: apply("-late"))
        if fault in (2, 3):
            return Failure(lost(PLATFORM_UNKNOWN))
        answer = apply()
        if fault == 4:
            apply("-again")
        return (
            Failure(lost(PLATFORM_UNKNOWN)) if fault == 1 else Success(answer)
        )

    async def _call(
        self, work: Callable[[], Coroutine[Any, Any, Result[None, Fault]]]
    ) -> Result[None, Fault]:
        fault = self._next()
        if fault == 3:
            self._world.late.append(lambda: run(work()))
        if fault in (2, 3, 5):
            return Failure(lost(PLATFORM_UNKNOWN))
        answer = await work()
        if fault == 4:
            await work()
        return Failure(lost(PLATFORM_UNKNOWN)) if fault == 1 else answer

    async def drain(self, host: str) -> Result[None, Fault]:
        return await self._call(lambda: self._world.platform.drain(host))

    async def resume(self, host: str) -> Result[None, Fault]:
        return await self._call(lambda: self._world.platform.resume(host))

    async def reboot(self, host: str, nonce: str) -> Result[None, Fault]:
        def work() -> Coroutine[Any, Any, Result[None, Fault]]:
            return self._world.reboot(host, nonce)

        return await self._call(work)

    async def read_since(self, prefix: str, revision: int) -> Any:
        raise NotImplementedError

    async def put_object(self, name: str, data: bytes) -> Any:
        raise NotImplementedError

    async def get_object(self, name: str) -> Any:
        raise NotImplementedError

    async def delete_object(self, name: str) -> Any:
        raise NotImplementedError

    async def hosts_since(self, revision: int) -> Any:
        raise NotImplementedError


def lost(code: Any) -> Fault:
    return Fault(code, Step.WRITE, Peer.PLATFORM)
