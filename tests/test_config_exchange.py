from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Result, Success

from lycheelug.config_exchange import ConfigExchange
from lycheelug.config_outcome import Accepted, Outcome, Refused
from lycheelug.config_submitter import ConfigSubmitter
from lycheelug.configuration import (
    ConfigState,
    Configuration,
    read_config_row,
)
from lycheelug.entries.client import EntryClient, EntryClients
from lycheelug.entries.messages import ConfigAnswer, ConfigPush, Digest
from lycheelug.errors import (
    ENTRY_UNREACHABLE,
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    Fault,
    Peer,
    Step,
)
from lycheelug.membership import Members
from lycheelug.records import CONFIG_KEY
from lycheelug.store.interface import HostEntry, HostRole, HostState
from lycheelug.store.memory import MemoryPlatform

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.store.interface import (
        Commit,
        Conflict,
        Row,
        Transaction,
    )

GONE = HostState.GONE
NAMES = ("e1", "e2", "e3")


class FaultyPlatform(MemoryPlatform):
    """Fails transactions by a list of faults; can be unreachable."""

    def __init__(self, faults: Sequence[str] = ()) -> None:
        super().__init__()
        self.faults = list(faults)
        self.late: list[Transaction] = []
        self.unreachable = False

    async def read(self, key: str) -> Result[Row | None, Fault]:
        if self.unreachable:
            return self._fault(False)
        return await super().read(key)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Commit | Conflict, Fault]:
        fault = self.faults.pop(0) if self.faults else ""
        if self.unreachable or fault == "unreachable":
            return self._fault(False)
        if fault == "late":
            self.late.append(transaction)
            return self._fault(True)
        answer = await super().transact(transaction)
        return self._fault(True) if fault == "answer lost" else answer

    async def deliver_late(self) -> None:
        for transaction in self.late:
            await super().transact(transaction)

    def _fault(self, unknown: bool) -> Failure[Fault]:
        code = PLATFORM_UNKNOWN if unknown else PLATFORM_UNREACHABLE
        return Failure(Fault(code, Step.WRITE, Peer.PLATFORM))


class Network(EntryClients):
    """Calls the exchanges in this process; addresses can be cut off."""

    def __init__(self) -> None:
        super().__init__()
        self.exchanges: dict[str, ConfigExchange] = {}
        self.cut_off: set[str] = set()
        self.bodies = 0

    def get(self, address: str) -> EntryClient:
        return LocalClient(address, self)


class LocalClient(EntryClient):
    """The client for one daemon."""

    def __init__(self, address: str, network: Network) -> None:
        super().__init__(address)
        self.network = network

    async def push_config(
        self, push: ConfigPush
    ) -> Result[ConfigAnswer, Fault]:
        if self.address in self.network.cut_off:
            return Failure(
                Fault(ENTRY_UNREACHABLE, Step.CONFIGURE, Peer.ENTRY)
            )
        self.network.bodies += push.body != b""
        return Success(self.network.exchanges[self.address].answer(push))


class Fleet:
    """Three daemons, a platform, and a clock that `sleep` advances."""

    def __init__(self, faults: Sequence[str] = ()) -> None:
        self.now = 0.0
        self.platform = FaultyPlatform(faults)
        self.network = Network()
        self.reasons: dict[str, str] = {}
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> ConfigExchange:
        digests = [
            Digest(each, "z", "r", 1, each, "ready", 0, 0, [], [], [])
            for each in NAMES
        ]
        own = next(each for each in digests if each.name == name)
        members = Members(own)
        members.merge([each for each in digests if each is not own], 0)
        exchange = ConfigExchange(
            members,
            self.network,
            ConfigState(lambda _: self.reasons.get(name, "")),
            lambda _: None,
        )
        self.network.exchanges[name] = exchange
        return exchange

    def submitter(self, name: str) -> ConfigSubmitter:
        exchange = self.network.exchanges[name]
        rng = random.Random(1)
        return ConfigSubmitter(
            self.platform, exchange, lambda: self.now, rng, self.sleep
        )

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        await asyncio.sleep(0)

    def in_force(self) -> list[int]:
        return [self.network.exchanges[n].accepted.revision for n in NAMES]


def describe(outcome: Outcome) -> str:
    if isinstance(outcome, Accepted):
        return f"accepted {outcome.revision} {','.join(outcome.unconfirmed)}"
    if isinstance(outcome, Refused):
        return f"{outcome.code.name} {','.join(outcome.names)}"
    return outcome.code.name


@pytest.mark.parametrize(
    ("name", "faults", "cut_off", "excused", "expected", "in_force"),
    [
        ("all well", [], [], [], "accepted 1 ", [1, 1, 1]),
        ("answer lost", ["answer lost"], [], [], "accepted 1 ", [1, 1, 1]),
        ("late and repeated", ["late"], [], [], "accepted 1 ", [1, 1, 1]),
        ("refused by e2", [], [], [], "config-invalid e2", [0, 0, 0]),
        ("refused by e1", [], [], [], "config-invalid e1", [0, 0, 0]),
        ("e3 cut off", [], ["e3"], [], "config-refused e3", [0, 0, 0]),
        (
            "e3 cut off and excused",
            [],
            ["e3"],
            ["e3"],
            "accepted 1 e3",
            [1, 1, 0],
        ),
        (
            "all others excused, none holds it",
            [],
            ["e2", "e3"],
            ["e2", "e3"],
            "config-refused e2,e3",
            [0, 0, 0],
        ),
        (
            "e3 removed by the platform's list",
            [],
            ["e3"],
            [],
            "accepted 1 e3",
            [1, 1, 0],
        ),
        (
            "platform unreachable",
            ["unreachable"],
            [],
            [],
            "config-refused ",
            [0, 0, 0],
        ),
        ("never answered", ["late"] * 99, [], [], "config-unknown", [0] * 3),
    ],
)
def test_submit(
    name: str,
    faults: list[str],
    cut_off: list[str],
    excused: list[str],
    expected: str,
    in_force: list[int],
) -> None:
    async def run() -> None:
        fleet = Fleet(faults)
        fleet.network.cut_off = set(cut_off)
        if name.startswith("refused by"):
            fleet.reasons[name[-2:]] = "unknown setting"
        if name.startswith("e3 removed"):
            fleet.now = 60.0
            gone = HostEntry("e3", "z", "", "e3", HostRole.ENTRY, GONE)
            fleet.network.exchanges["e1"].members.apply_host(gone)
        submitter = fleet.submitter("e1")
        outcome = await submitter.submit("n1", b"{}", excused=excused)
        assert describe(outcome) == expected
        assert fleet.in_force() == in_force
        assert submitter.pending == []
        if expected == "accepted 1 ":
            assert fleet.network.bodies == 2
            again = await fleet.submitter("e2").submit("n1", b"{}")
            assert describe(again) == "accepted 1 "
            other = await fleet.submitter("e2").submit("n1", b"{1}")
            assert describe(other) == "config-refused "

    asyncio.run(run())


def test_pending_names_the_missing_daemon_until_it_is_back() -> None:
    async def run() -> None:
        fleet = Fleet()
        fleet.network.cut_off = {"e3"}
        submitter = fleet.submitter("e1")
        seen: list[list[str]] = []

        async def sleep(seconds: float) -> None:
            seen.append(submitter.pending[0].missing)
            fleet.network.cut_off = set()

        submitter._sleep = sleep
        assert describe(await submitter.submit("n1", b"{}")) == "accepted 1 "
        assert seen == [["e3"]]

    asyncio.run(run())


@pytest.mark.parametrize("is_queried_before_arrival", [True, False])
def test_unknown_outcome_is_decided_once(
    is_queried_before_arrival: bool,
) -> None:
    async def run() -> None:
        fleet = Fleet(["late"] * 26)
        outcome = await fleet.submitter("e1").submit("n1", b"{}")
        assert describe(outcome) == "config-unknown"
        fleet.platform.faults.clear()
        answers = []
        if is_queried_before_arrival:
            answers.append(describe(await fleet.submitter("e2").resolve("n1")))
        await fleet.platform.deliver_late()
        answers.append(describe(await fleet.submitter("e3").resolve("n1")))
        expected = ["accepted 1 "]
        if is_queried_before_arrival:
            expected = ["config-refused ", "config-refused "]
        assert answers == expected
        row = fleet.platform.row(CONFIG_KEY)
        assert (row is None) is is_queried_before_arrival

    asyncio.run(run())


def test_racing_submitters_and_a_base_that_is_too_old() -> None:
    async def run() -> None:
        fleet = Fleet()
        outcomes = await asyncio.gather(
            fleet.submitter("e1").submit("n1", b"{1}", base_revision=0),
            fleet.submitter("e2").submit("n2", b"{2}", base_revision=0),
        )
        found = sorted(describe(outcome) for outcome in outcomes)
        assert found == ["accepted 1 ", "config-refused "]
        both = await asyncio.gather(
            fleet.submitter("e1").submit("n3", b"{1}"),
            fleet.submitter("e3").submit("n4", b"{2}"),
        )
        found = sorted(describe(outcome) for outcome in both)
        assert found == ["accepted 2 ", "accepted 3 "]
        assert fleet.in_force() == [3, 3, 3]

    asyncio.run(run())


async def finish_tasks(exchange: ConfigExchange) -> None:
    await asyncio.gather(*exchange._tasks.values())


def test_change_is_learnt_by_poll_digest_and_restart() -> None:
    async def run() -> None:
        fleet = Fleet()
        fleet.network.cut_off = {"e3"}
        submitter = fleet.submitter("e1")
        await submitter.submit("n1", b"{}", excused=["e3"])
        fleet.platform.unreachable = True
        fleet.network.cut_off = set()
        third = fleet.network.exchanges["e3"]
        ahead = Digest("e1", "z", "r", 2, "e1", "", 0, 1, [], [], [])
        third.members.merge([ahead], 0)
        third.on_digests(["e1"])
        await finish_tasks(third)
        assert fleet.in_force() == [1, 1, 1]

        first = fleet.start("e1")
        fleet.network.cut_off = {"e2"}
        assert await first.catch_up() == ["e2"]
        assert fleet.in_force() == [1, 1, 1]

        for name in NAMES:
            fleet.start(name)
        row = fleet.platform.row(CONFIG_KEY)
        assert row is not None
        assert read_config_row(row.value) is not None
        second = fleet.network.exchanges["e2"]
        fleet.network.cut_off = {"e3"}
        second.on_rows([row])
        assert not second.is_settled
        await finish_tasks(second)
        assert second.is_settled
        assert fleet.in_force() == [1, 1, 0]

    asyncio.run(run())


def test_change_learnt_by_digest_is_propagated() -> None:
    async def run() -> None:
        fleet = Fleet()
        first, _, third = fleet.network.exchanges.values()
        first.state.accept(Configuration(1, "n1", "e1", b"{}"))
        ahead = Digest("e1", "z", "r", 2, "e1", "", 0, 1, [], [], [])
        third.members.merge([ahead], 0)
        third.on_digests(["e1"])
        await finish_tasks(third)
        assert fleet.in_force() == [1, 1, 1]

    asyncio.run(run())
