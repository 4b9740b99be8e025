"""Exchange of accepted configurations between daemons.

A daemon receives an accepted configuration from a push of the submitting
daemon, from its poll of the platform, or from a peer whose digest shows a
higher revision, whichever comes first. The first prepare message contains
the body; later messages about the same change omit it, unless the receiver
reports that it doesn't hold the body.
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
    """One daemon's configuration, and the messages to propagate it.

    `on_apply` is called with each configuration that takes effect.
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
        """The members to which messages are sent."""
        return self._members

    @property
    def state(self) -> ConfigState:
        """The configurations that this daemon holds."""
        return self._state

    @property
    def accepted(self) -> Configuration:
        """The configuration in force on this daemon."""
        return self._state.accepted

    @property
    def is_settled(self) -> bool:
        """Whether no configuration that was read is being propagated."""
        return not any(key.startswith(CONFIG_KEY) for key in self._tasks)

    # --- Changes submitted to other daemons.

    def answer(self, push: ConfigPush) -> ConfigAnswer:
        """Handle a push of another daemon; return the answer."""
        reason = ""
        if push.phase is ConfigPhase.PREPARE and push.body:
            reason = self._state.prepare(_pushed_configuration(push))
        if push.phase is ConfigPhase.ACCEPT:
            self._accept_push(push)
        in_force = self._state.accepted
        held = self._state.holds(push.revision, push.nonce, push.checksum)
        answer = ConfigAnswer(self._members.own.name, held, reason)
        is_query = push.phase is ConfigPhase.QUERY
        if is_query or (in_force.revision >= push.revision and not held):
            answer.accepted = _make_push(ConfigPhase.ACCEPT, in_force)
        return answer

    def on_rows(self, rows: Iterable[Row]) -> None:
        """Propagate a new configuration found in changed table rows."""
        for row in rows:
            if row.key != CONFIG_KEY:
                continue
            configuration = read_config_row(row.value)
            if configuration is None:
                continue
            if configuration.revision > self._state.accepted.revision:
                key = f"{CONFIG_KEY}@{configuration.revision}"
                self._start_task(key, self.propagate(configuration))

    def on_digests(self, names: Sequence[str]) -> None:
        """Query the members whose digests show a higher revision."""
        for name in names:
            digest = self._members.digest(name)
            if digest is None:
                continue
            if digest.config_revision > self._state.accepted.revision:
                self._start_task(name, self._query_and_propagate(name))

    async def catch_up(self) -> list[str]:
        """Query all members; return those that did not answer.

        A restarted daemon calls this before it reports that it is ready.
        On return, a configuration that it read from the platform is in
        force as well.
        """
        names = self._members.not_gone()
        answers = await asyncio.gather(*map(self._query, names))
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        unanswered = []
        for name, answered in zip(names, answers, strict=True):
            if not answered:
                unanswered.append(name)
        return unanswered

    async def stop(self) -> None:
        """Cancel the background tasks."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def propagate(self, configuration: Configuration) -> list[str]:
        """Push to all others and apply; return the names not confirmed.

        The configuration is applied here only after another daemon has
        confirmed it, or after all pushes have ended.  If this daemon alone
        had it in force, the change would be lost if the daemon died while
        the platform is unreachable.
        """
        unconfirmed: list[str] = []

        async def push(name: str) -> None:
            answer = await self.push(
                name, ConfigPhase.ACCEPT, configuration, holders
            )
            if answer is None or not _is_confirmed(answer, configuration):
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
        """Send one push, with the body if the receiver doesn't hold it."""
        push = _make_push(phase, configuration)
        if name in holders:
            push.body = b""
            answer = await self._call(name, push)
            if answer is None or answer.is_held or answer.accepted:
                return answer
            push = _make_push(phase, configuration)
        answer = await self._call(name, push)
        if answer is not None and answer.is_held:
            holders.add(name)
        return answer

    def _start_task(self, key: str, work: Coroutine[Any, Any, object]) -> None:
        """Run work in the background, once at a time for each key."""
        if key in self._tasks:
            work.close()
            return
        task = asyncio.create_task(work)
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key))

    async def _query(self, name: str) -> bool:
        push = ConfigPush(ConfigPhase.QUERY)
        return await self._call(name, push) is not None

    async def _query_and_propagate(self, name: str) -> None:
        """Query one member, and propagate the configuration in force there.

        A digest is the first sign of a change if the submitting daemon could
        not reach all daemons.
        """
        answer = await self._send(name, ConfigPush(ConfigPhase.QUERY))
        if answer is None or answer.accepted is None:
            return
        if answer.accepted.revision > self._state.accepted.revision:
            await self.propagate(_pushed_configuration(answer.accepted))

    async def _call(self, name: str, push: ConfigPush) -> ConfigAnswer | None:
        answer = await self._send(name, push)
        if answer is not None and answer.accepted is not None:
            self._apply(_pushed_configuration(answer.accepted))
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
            self._apply(_pushed_configuration(push))
        elif self._state.accept_prepared(
            push.revision, push.nonce, push.checksum
        ):
            self._on_apply(self._state.accepted)

    def _apply(self, configuration: Configuration) -> None:
        if self._state.accept(configuration):
            self._on_apply(configuration)


def _pushed_configuration(push: ConfigPush) -> Configuration:
    return Configuration(push.revision, push.nonce, push.submitter, push.body)


def _make_push(phase: ConfigPhase, configuration: Configuration) -> ConfigPush:
    return ConfigPush(
        phase,
        configuration.revision,
        configuration.nonce,
        configuration.submitter,
        configuration.body,
        configuration.checksum(),
    )


def _is_confirmed(answer: ConfigAnswer, configuration: Configuration) -> bool:
    if answer.is_held:
        return True
    in_force = answer.accepted.revision if answer.accepted else 0
    return in_force > configuration.revision
