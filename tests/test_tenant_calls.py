"""Calls with keys at the platform's edge, and whose jobs they may see."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from lycheelug.http import Request
from lycheelug.jobservice.interfaces import (
    Configuration,
    PoolPolicy,
    Route,
    SubmissionAnswer,
)
from lycheelug.jobservice.queue_rows import NO_GATES, GateVersions
from lycheelug.platform.config import decode_configuration
from lycheelug.platform.ingress import Ingress
from lycheelug.platform.settings import read_settings
from lycheelug.tenants import KeyCheck, KeyGate, Tenant, TenantDirectory
from lycheelug.workloads import JobLimits, Resources
from tests.job_world import POOL, JobWorld, job_id, until
from tests.virtual_time import VirtualClock, run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from pathlib import Path

    from lycheelug.http import Answer, RawHeaders
    from lycheelug.workloads import JobRecord

KEYED = Route("quick", "q.example", "/q/", POOL, 0, 2, 1.6, 0.6, False)
PUBLIC = Route(
    "open", "q.example", "/open/", POOL, 0, 2, 1.6, 0.6, False, True
)
PARISH = Tenant("parish", ["k1", "k2"], 2.0, Resources(8000, 4096, 0))
COUNCIL = Tenant("council", ["c1"])
JOB = b'{"spec":"x","steps":[{"count":1,"cpu":500}]}'
BOUND_S = 3.0


def token(key: str) -> RawHeaders:
    return [(b"authorization", b"Token " + key.encode("latin-1"))]


class Edge:
    """The ingress of one of three daemons."""

    def __init__(self, world: JobWorld, has_keys: bool = True) -> None:
        self.world = world
        self.service = world.daemons["e0"]
        self.clock = VirtualClock()
        # When the configuration was complete.
        self.known_at = self.clock.now()
        gate = KeyGate(
            KeyCheck(True, 5.0, BOUND_S),
            self.clock.now,
            lambda: self.known_at,
            self.service.metrics,
        )
        self._ingress = Ingress(
            self.service, self.clock, JobLimits(), gate if has_keys else None
        )

    async def call(
        self,
        method: str,
        target: str,
        headers: RawHeaders | None = None,
        body: bytes = b"",
    ) -> Answer:
        return await self._ingress.handle(
            Request(
                method.encode(),
                target.encode(),
                [(b"host", b"q.example"), *(headers or [])],
                body,
            )
        )

    async def status(self, *arguments: Any) -> int:
        return (await self.call(*arguments)).status


def on_edge(
    use: Callable[[Edge], Coroutine[Any, Any, None]],
    has_keys: bool = True,
    world_class: type[JobWorld] = JobWorld,
) -> None:
    """Run `use` at the edge of a small fleet."""

    async def run() -> None:
        world = world_class()
        world.fleet.add("x1", work_s=0.3)
        world.start_fleet()
        for number in range(3):
            world.start_daemon(f"e{number}").apply_configuration(
                Configuration(
                    2,
                    [KEYED, PUBLIC],
                    [PoolPolicy(POOL)],
                    TenantDirectory([PARISH, COUNCIL]),
                )
            )
        await until(lambda: len(world.holders()) == 1)
        await asyncio.sleep(2.5)
        await use(Edge(world, has_keys))
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize(
    ("headers", "status", "detail"),
    [
        pytest.param([], 401, "missing", id="none"),
        pytest.param(token("k1"), 200, "", id="valid"),
        pytest.param(
            [(b"authorization", b"token  k1 ")], 200, "", id="case-and-spaces"
        ),
        pytest.param(token("k3"), 401, "no tenant", id="unknown"),
        pytest.param(
            [(b"authorization", b"Bearer k1")], 401, "scheme", id="scheme"
        ),
        pytest.param([(b"authorization", b"")], 401, "scheme", id="empty"),
        pytest.param(
            [(b"authorization", b"Token ")], 401, "without a key", id="no-key"
        ),
        pytest.param(
            [(b"authorization", b"Token k1 k1")], 401, "one word", id="words"
        ),
        pytest.param(token("k\xe9"), 401, "ASCII", id="not-ascii"),
        pytest.param(token("k\x00"), 401, "ASCII", id="control"),
        pytest.param(token("k" * 1001), 401, "over 1000", id="overlong"),
        pytest.param(token("k1") * 2, 401, "2 times", id="several"),
    ],
)
def test_key_is_required_and_a_bad_one_is_explained(
    headers: RawHeaders, status: int, detail: str
) -> None:
    async def use(edge: Edge) -> None:
        for method, target, body in (
            ("POST", f"/q/{job_id(1)}", JOB),
            ("GET", f"/q/{job_id(1)}", b""),
            ("GET", "/q/", b""),
            ("DELETE", f"/q/{job_id(1)}", b""),
        ):
            answer = await edge.call(method, target, headers, body)
            assert answer.status == status
            if status == 401:
                assert (b"www-authenticate", b"Token") in answer.headers
                assert detail.encode() in answer.body
        if status == 401:
            assert (await edge.world.rows.parts("progress")).unwrap() == []
            counters = edge.service.metrics.counters
            name = "unknown" if "tenant" in detail else "without"
            assert counters[f"calls-{name}-key"] == 4

    on_edge(use)


def test_unknown_path_needs_no_key_and_a_public_queue_neither() -> None:
    async def use(edge: Edge) -> None:
        assert await edge.status("GET", "/other/") == 404
        edge.known_at -= 100.0
        bad = [(b"authorization", b"Basic eA==")]
        for headers in ([], bad, token("k3"), token("k1")):
            target = f"/open/{job_id(1)}"
            assert await edge.status("POST", target, headers, JOB) == 200
            assert await edge.status("GET", target, headers) == 200

    on_edge(use)


def test_calls_carry_no_keys_without_the_contract() -> None:
    async def use(edge: Edge) -> None:
        target = f"/q/{job_id(1)}"
        assert await edge.status("POST", target, [], JOB) == 200
        assert await edge.status("POST", target, token("k3"), JOB) == 200
        assert await edge.status("GET", target) == 200

    on_edge(use, has_keys=False)


@pytest.mark.parametrize("key", ["k1", "k3"])
def test_old_knowledge_refuses_and_says_that_nothing_was_done(
    key: str,
) -> None:
    async def use(edge: Edge) -> None:
        edge.known_at = edge.clock.now() - BOUND_S
        for method, body in (("POST", JOB), ("GET", b""), ("DELETE", b"")):
            answer = await edge.call(
                method, f"/q/{job_id(1)}", token(key), body
            )
            assert answer.status == 503
            assert (b"retry-after", b"1") in answer.headers
            assert b"nothing was done" in answer.body
        jobs = (await edge.world.rows.parts("progress")).unwrap()
        assert jobs == []

    on_edge(use)


def test_cached_final_state_needs_a_key_that_can_be_verified() -> None:
    async def use(edge: Edge) -> None:
        target = f"/q/{job_id(1)}"
        assert await edge.status("POST", target, token("k1"), JOB) == 200
        await asyncio.sleep(2.0)
        edge.known_at = edge.clock.now()
        answer = await edge.call("GET", target, token("k2"))
        assert msgspec.json.decode(answer.body)["state"] == "completed"
        assert await edge.status("GET", target, token("k2")) == 200
        assert await edge.status("GET", target, token("k3")) == 401
        assert await edge.status("GET", target, token("c1")) == 410
        edge.known_at -= BOUND_S
        assert await edge.status("GET", target, token("k2")) == 503

    on_edge(use)


class DirectWorld(JobWorld):
    """Daemons that store all submissions themselves."""

    async def forward(
        self,
        address: str,
        pool: str,
        job_id: str,
        record: JobRecord,
        gates: GateVersions = NO_GATES,
    ) -> SubmissionAnswer:
        return SubmissionAnswer.NOT_TAKEN


@pytest.mark.parametrize("world_class", [JobWorld, DirectWorld])
@pytest.mark.parametrize("age_s", [0.0, 0.1, 1.0])
def test_job_of_another_tenant_is_hidden(
    world_class: type[JobWorld], age_s: float
) -> None:
    """Whether it waits for the owner, runs or has ended."""

    async def use(edge: Edge) -> None:
        target = f"/q/{job_id(1)}"
        assert await edge.status("POST", target, token("k1"), JOB) == 200
        await asyncio.sleep(age_s)
        edge.known_at = edge.clock.now()
        for _ in range(2):
            assert await edge.status("GET", target, token("c1")) == 410
            assert await edge.status("DELETE", target, token("c1")) == 410
            assert await edge.status("POST", target, token("c1"), JOB) == 409
            assert await edge.status("GET", target, token("k2")) == 200
            assert await edge.status("POST", target, token("k2"), JOB) == 200
        await asyncio.sleep(1.0)
        edge.known_at = edge.clock.now()
        answer = await edge.call("GET", target, token("k1"))
        assert msgspec.json.decode(answer.body)["state"] == "completed"
        started = [run.name.job for run in edge.world.fleet.started]
        assert started == [job_id(1)]

    on_edge(use, world_class=world_class)


def test_concurrent_submissions_with_one_id_are_one_tenants_job() -> None:
    async def use(edge: Edge) -> None:
        target = f"/q/{job_id(1)}"
        statuses = await asyncio.gather(
            *(
                edge.status("POST", target, token(key), JOB)
                for key in ("k1", "c1", "k2")
            )
        )
        assert sorted(statuses) == [200, 200, 409]

    on_edge(use)


CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "tenants": [
        {"name": "parish", "api_keys": ["k1"], "weight": 2, "cap": {"cpu": 9}},
        {"name": "council", "api_keys": ["c1"]},
    ],
}


@pytest.mark.parametrize(
    "entry",
    [
        {"name": "parish", "api_keys": None},
        {"name": "parish", "api_keys": ["k1", 7]},
        {"name": "parish", "api_keys": ["k1"], "weight": "much"},
        {"name": "parish", "api_keys": ["k1"], "cap": {"cpu": -1}},
    ],
)
def test_tenant_with_an_invalid_entry_keeps_its_cap_and_loses_its_keys(
    entry: dict[str, Any],
) -> None:
    former = decode_configuration(msgspec.json.encode(CONFIGURATION))
    assert former is not None
    tenants = [entry, {"name": "council", "api_keys": ["c2"]}]
    value = msgspec.json.encode({"version": 4, "tenants": tenants})
    found = decode_configuration(value, former)
    assert found is not None
    assert found.tenants.tenant_of("k1") is None
    assert found.tenants.tenant_of("c1") is None
    assert found.tenants.tenant_of("c2") == "council"
    parish = found.tenants.find("parish")
    assert parish is not None
    assert (parish.weight, parish.cap) == (2.0, Resources(9, 0, 0))


@pytest.mark.parametrize("entry", [7, {}, {"name": ""}, {"name": 7}])
def test_entry_that_names_no_tenant_is_left_out(entry: Any) -> None:
    tenants = [entry, {"name": "council", "api_keys": ["c1"]}]
    value = msgspec.json.encode({"version": 4, "tenants": tenants})
    found = decode_configuration(value)
    assert found is not None
    assert list(found.tenants.by_name) == ["council"]


SETTINGS = """
node_name = "e0"
ip = "127.0.0.1"
zone = "z"
contracts = {contracts}
[platform]
address = "127.0.0.1:1"
[listen_addrs]
frontend_addr = "127.0.0.1:2"
readiness_addr = "127.0.0.1:3"
[bounds]
{bounds}
"""


@pytest.mark.parametrize(
    ("contracts", "bounds", "age_max_s"),
    [
        pytest.param('["base"]', "strict_revocation = true", None, id="none"),
        pytest.param('["tenants"]', "", float("inf"), id="not-strict"),
        pytest.param(
            '["tenants"]',
            "strict_revocation = true\nrevoke_ms = 5000\n"
            "config_apply_ms = 3000",
            2.7,
            id="strict",
        ),
    ],
)
def test_settings_say_whether_and_how_keys_are_checked(
    tmp_path: Path, contracts: str, bounds: str, age_max_s: float | None
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.format(contracts=contracts, bounds=bounds))
    check = read_settings(str(path)).unwrap().key_check()
    found = None if check is None else check.age_max_s
    assert found == pytest.approx(age_max_s) if age_max_s else found is None


@pytest.mark.parametrize("name", ["revoke_ms", "config_apply_ms"])
def test_bound_of_zero_is_rejected_where_keys_are_checked(
    tmp_path: Path, name: str
) -> None:
    path = tmp_path / "node.toml"
    bounds = f"{name} = 0"
    path.write_text(SETTINGS.format(contracts='["tenants"]', bounds=bounds))
    assert f"bounds.{name}" in read_settings(str(path)).failure()
    path.write_text(SETTINGS.format(contracts="[]", bounds=bounds))
    assert read_settings(str(path)).unwrap().key_check() is None
