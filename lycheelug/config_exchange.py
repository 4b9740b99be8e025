"""Spreads accepted configurations between daemons, and learns them.

A daemon learns an accepted configuration from a push of its submitter,
from its poll of the platform, or from a peer whose digest shows a higher
revision, whichever comes first.  Bodies travel with the first prepare;
later messages about the same change leave them out, unless the receiver
says that it lacks the body.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from returns.result import Success

from lycheelug.configuration import Configuration, read_config_row
from lycheelug.entries.messages import ConfigAnswer, ConfigPhase, ConfigPush
from lycheelug.records import CONFIG_KEY

if TYPE_CHECKING:
    from collections.abc import (
        Callable,
        Coroutine,
        Iterable,
        Sequence,
    )

    from lycheelug.configuration import ConfigState
    from lycheelug.entries.client import EntryClients
    from lycheelug.membership import Members
    from lycheelug.store.interface import Row

__all__ = ["ConfigExchange"]


class ConfigExchange:
    """The configuration of one daemon, and its messages about it.

    `on_apply` is called with each configuration that comes into force.
    """

    __slots__ = (
        "_clients",
        "_members",
        "_on_apply",
        "_state",
        "_tasks",
    )

    def __init__(
        self,
        members: Members,
        clients: EntryClients,
        state: ConfigState,
        on_apply: Callable[[Configuration], object],
    ) -> None:
        self._members = members
        self._clients = clients
        self._state = state
        self._on_apply = on_apply
        self._tasks: dict[str, asyncio.Task[object]] = {}

    @property
    def members(self) -> Members:
        """The members that messages go to."""
        return self._members

    @property
    def state(self) -> ConfigState:
        """What this daemon holds."""
        return self._state

    @property
    def accepted(self) -> Configuration:
        """The configuration in force here."""
        return self._state.accepted

    @property
    def is_settled(self) -> bool:
        """False while a configuration read is still being handed on."""
        return not any(key.startswith(CONFIG_KEY) for key in self._tasks)

    # --- Learning what others submitted.

    def answer(self, push: ConfigPush) -> ConfigAnswer:
        """Take in a push of another daemon; return the answer."""
        reason = ""
        if push.phase is ConfigPhase.PREPARE and push.body:
            reason = self._state.prepare(_pushed(push))
        if push.phase is ConfigPhase.ACCEPT:
            self._accept_push(push)
        in_force = self._state.accepted
        held = self._state.holds(push.revision, push.nonce, push.checksum)
        answer = ConfigAnswer(self._members.own.name, held, reason)
        is_asked = push.phase is ConfigPhase.QUERY
        if is_asked or (in_force.revision >= push.revision and not held):
            answer.accepted = _push_of(ConfigPhase.ACCEPT, in_force)
        return answer

    def on_rows(self, rows: Iterable[Row]) -> None:
        """Take in rows of the table that changed."""
        for row in rows:
            if row.key != CONFIG_KEY:
                continue
            configuration = read_config_row(row.value)
            if configuration is None:
                continue
            if configuration.revision > self._state.accepted.revision:
                key = f"{CONFIG_KEY}@{configuration.revision}"
                self._start(key, self.propagate(configuration))

    def on_digests(self, names: Sequence[str]) -> None:
        """Ask those members that show a higher revision in force."""
        for name in names:
            digest = self._members.digest(name)
            if digest is None:
                continue
            if digest.config_revision > self._state.accepted.revision:
                self._start(name, self._learn(name))

    async def catch_up(self) -> list[str]:
        """Ask all members; return those that did not answer.

        A daemon that restarts does so before it reports itself ready.  On
        return, what it read from the platform is in force, too.
        """
        names = self._members.not_gone()
        answers = await asyncio.gather(*map(self._query, names))
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        silent = []
        for name, answered in zip(names, answers, strict=True):
            if not answered:
                silent.append(name)
        return silent

    async def stop(self) -> None:
        """End what runs on the side."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def propagate(self, configuration: Configuration) -> list[str]:
        """Tell all others, then apply; return those that did not answer.

        A configuration that only this daemon had in force would revert if
        it died while the platform is away.
        """
        unconfirmed: list[str] = []

        async def push(name: str) -> None:
            answer = await self.push(
                name, ConfigPhase.ACCEPT, configuration, holders
            )
            if answer is None or not _reached(answer, configuration):
                unconfirmed.append(name)
                return
            self._apply(configuration)

        names = self._members.not_gone()
        holders = set(names)
        await asyncio.gather(*map(push, names))
        self._apply(configuration)
        return unconfirmed

    # --- Messages.

    async def push(
        self,
        name: str,
        phase: ConfigPhase,
        configuration: Configuration,
        holders: set[str],
    ) -> ConfigAnswer | None:
        """Send one push, with its body where the receiver lacks it."""
        push = _push_of(phase, configuration)
        if name in holders:
            push.body = b""
            answer = await self._call(name, push)
            if answer is None or answer.held or answer.accepted:
                return answer
            push = _push_of(phase, configuration)
        answer = await self._call(name, push)
        if answer is not None and answer.held:
            holders.add(name)
        return answer

    def _start(self, key: str, work: Coroutine[Any, Any, object]) -> None:
        """Run work on the side, once at a time for each key."""
        if key in self._tasks:
            work.close()
            return
        task = asyncio.create_task(work)
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key))

    async def _query(self, name: str) -> bool:
        push = ConfigPush(ConfigPhase.QUERY)
        return await self._call(name, push) is not None

    async def _learn(self, name: str) -> None:
        """Ask one member, and hand on what it has in force.

        Word by digest comes first where the submitter could not tell all.
        """
        answer = await self._send(name, ConfigPush(ConfigPhase.QUERY))
        if answer is None or answer.accepted is None:
            return
        if answer.accepted.revision > self._state.accepted.revision:
            await self.propagate(_pushed(answer.accepted))

    async def _call(self, name: str, push: ConfigPush) -> ConfigAnswer | None:
        answer = await self._send(name, push)
        if answer is not None and answer.accepted is not None:
            self._apply(_pushed(answer.accepted))
        return answer

    async def _send(self, name: str, push: ConfigPush) -> ConfigAnswer | None:
        address = self._members.addresses().get(name, "")
        if not address:
            return None
        answer: ConfigAnswer
        match await self._clients.get(address).push_config(push):
            case Success(ConfigAnswer() as answer):
                return answer
        return None

    def _accept_push(self, push: ConfigPush) -> None:
        if push.body:
            self._apply(_pushed(push))
        elif self._state.accept_prepared(
            push.revision, push.nonce, push.checksum
        ):
            self._on_apply(self._state.accepted)

    def _apply(self, configuration: Configuration) -> None:
        if self._state.accept(configuration):
            self._on_apply(configuration)


def _pushed(push: ConfigPush) -> Configuration:
    return Configuration(push.revision, push.nonce, push.submitter, push.body)


def _push_of(phase: ConfigPhase, configuration: Configuration) -> ConfigPush:
    return ConfigPush(
        phase,
        configuration.revision,
        configuration.nonce,
        configuration.submitter,
        configuration.body,
        configuration.checksum(),
    )


def _reached(answer: ConfigAnswer, configuration: Configuration) -> bool:
    if answer.held:
        return True
    in_force = answer.accepted.revision if answer.accepted else 0
    return in_force > configuration.revision
