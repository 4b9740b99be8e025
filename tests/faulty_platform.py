"""A platform binding that injects scripted faults into its calls."""

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


def run(call: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine that never suspends, without an event loop."""
    try:
        call.send(None)
    except StopIteration as end:
        result: T = end.value
        return result
    raise AssertionError("the coroutine was suspended")


class FaultyPlatform(Platform):
    """A platform whose next calls fail as scripted, used by one driver.

    Script entries: 0 succeeds; 1 takes effect but its answer is lost; 2 has
    no effect and its answer is lost; 3 takes effect later and its answer is
    lost; 4 takes effect twice; 5 is unreachable and has no effect.
    """

    def __init__(self, world: World, snapshot: FleetSnapshot) -> None:
        self._world = world
        self._snapshot = snapshot
        self.script: list[int] = []

    def _next_fault(self) -> int:
        return self.script.pop(0) if self.script else 0

    async def read(self, key: str) -> Result[Row | None, Fault]:
        return await self._world.platform.read(key)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Commit | Conflict, Fault]:
        fault = self._next_fault()
        listed = dict(self._snapshot.listed)

        def apply(nonce: str = "") -> Commit | Conflict:
            sent = Transaction(
                transaction.guards,
                transaction.writes,
                transaction.nonce + nonce,
            )
            return self._world.apply(sent, listed)

        if fault == 5:
            return Failure(platform_fault(PLATFORM_UNREACHABLE))
        if fault == 3:
            self._world.late_calls.append(lambda: apply("-late"))
        if fault in (2, 3):
            return Failure(platform_fault(PLATFORM_UNKNOWN))
        answer = apply()
        if fault == 4:
            apply("-again")
        return (
            Failure(platform_fault(PLATFORM_UNKNOWN))
            if fault == 1
            else Success(answer)
        )

    async def _call(
        self, call: Callable[[], Coroutine[Any, Any, Result[None, Fault]]]
    ) -> Result[None, Fault]:
        fault = self._next_fault()
        if fault == 3:
            self._world.late_calls.append(lambda: run(call()))
        if fault in (2, 3, 5):
            return Failure(platform_fault(PLATFORM_UNKNOWN))
        answer = await call()
        if fault == 4:
            await call()
        return (
            Failure(platform_fault(PLATFORM_UNKNOWN)) if fault == 1 else answer
        )

    async def drain(self, host: str) -> Result[None, Fault]:
        return await self._call(lambda: self._world.platform.drain(host))

    async def resume(self, host: str) -> Result[None, Fault]:
        return await self._call(lambda: self._world.platform.resume(host))

    async def reboot(self, host: str, nonce: str) -> Result[None, Fault]:
        def call() -> Coroutine[Any, Any, Result[None, Fault]]:
            return self._world.reboot(host, nonce)

        return await self._call(call)

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


def platform_fault(code: Any) -> Fault:
    return Fault(code, Step.WRITE, Peer.PLATFORM)
