"""Tests of decoding the operator's configuration, entry by entry.

The bytes are written from the fields that the platform's pages name, not
from the types that decode them.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from lycheelug.platform.config import decode_configuration

if TYPE_CHECKING:
    from lycheelug.jobservice.interfaces import Configuration, Route

ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "Pule25.example",
    "path_prefix": "/puxa400/",
    "kind": "non_idempotent",
    "timeout_ms": 3032,
    "slo_ms": 606,
    "priority": 0,
    "service": "huvo11a",
    "max_attempts": 4,
    "stretch": 1.6,
}
OTHER = {**ROUTE, "name": "r-2", "path_prefix": "/wuhu344/"}
SERVICE: dict[str, Any] = {
    "name": "huvo11a",
    "health_path": "/healthz",
    "max_conns": 64,
    "protocol": "h1",
    "tls": False,
    "rejects_overload": False,
}
TENANT: dict[str, Any] = {
    "name": "cugo130",
    "api_keys": ["pqk8bdk9eevyxq2yyaza"],
    "weight": 2.5,
    "cap": {"cpu": 64000, "mem_mb": 0, "gpu": 0},
}
HINT = {"decide_ms": 20, "period_ms": 1, "valid_ms": 4000}


def config(
    routes: list[Any],
    services: list[Any] | None = None,
    tenants: list[Any] | None = None,
    version: int = 7,
) -> bytes:
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [SERVICE] if services is None else services,
            "limits": {"max_header_bytes": 16384},
            "tenants": [TENANT] if tenants is None else tenants,
        }
    ).encode()


def decode(value: bytes, former: Configuration | None = None) -> Configuration:
    configuration = decode_configuration(value, former)
    assert configuration is not None
    return configuration


def queue(configuration: Configuration, name: str) -> Route:
    route = configuration.find_queue(name)
    assert route is not None
    return route


# Guards against a field of the pages that makes the configuration unreadable,
# so that daemons stay with an older one: `hint` did (review case 6).
@pytest.mark.parametrize(
    ("field", "value", "attribute", "expected"),
    [
        ("name", "r-9", "name", "r-9"),
        ("host", "Jepu9.example", "host", "jepu9.example"),
        ("path_prefix", "/bobo563/lo7/", "path_prefix", "/bobo563/lo7/"),
        ("service", "kafi81c", "pool", "kafi81c"),
        ("timeout_ms", 2500.5, "pool", "huvo11a"),
        ("slo_ms", 2506, "objective_s", 2.506),
        ("slo_ms", 600.5, "objective_s", 0.6005),
        ("priority", 1, "priority", 1),
        ("max_attempts", 3, "max_attempts", 3),
        ("stretch", 2, "stretch", 2.0),
        ("stretch", 2.2, "stretch", 2.2),
        ("hint", HINT, "needs_placement_hint", True),
        ("hint", {"valid_ms": 1500.5}, "needs_placement_hint", True),
        ("hint", {**HINT, "new": [1]}, "needs_placement_hint", True),
        ("hint", None, "needs_placement_hint", False),
        ("public", True, "is_public", True),
        ("unheard_of", {"a": []}, "name", "r-1"),
    ],
)
def test_each_field_of_a_queue_is_decoded(
    field: str, value: object, attribute: str, expected: object
) -> None:
    configuration = decode(config([{**ROUTE, field: value}]))
    (route,) = configuration.routes
    assert getattr(route, attribute) == expected


# Guards against a field of a service or tenant that takes the whole
# configuration away, as a queue's `hint` did (review case 6).
@pytest.mark.parametrize(
    ("field", "value", "attribute", "expected"),
    [
        ("name", "lohu93e", "name", "lohu93e"),
        ("rejects_overload", True, "rejects_overload", True),
        ("standby", True, "is_standby", True),
        ("health_path", "/healthz", "is_standby", False),
        ("max_conns", 64, "is_standby", False),
        ("protocol", "h1", "is_standby", False),
        ("tls", False, "is_standby", False),
        ("unheard_of", {"a": []}, "is_standby", False),
    ],
)
def test_each_field_of_a_pool_is_decoded(
    field: str, value: object, attribute: str, expected: object
) -> None:
    configuration = decode(config([ROUTE], [{**SERVICE, field: value}]))
    (pool,) = configuration.pools.values()
    assert getattr(pool, attribute) == expected


UNREADABLE_ROUTES = [
    {"hint": 7},
    {"hint": {"valid_ms": "4 s"}},
    {"max_attempts": "four"},
    {"stretch": None},
]


# Guards against one queue that can't be read and takes all others with it
# (related to review case 6).
@pytest.mark.parametrize("odd", [*UNREADABLE_ROUTES, {"service": 7}])
def test_unreadable_queue_leaves_the_others(odd: dict[str, Any]) -> None:
    configuration = decode(config([{**ROUTE, **odd}, OTHER]))
    assert configuration.version == 7
    assert queue(configuration, "r-2").max_attempts == 4
    known = configuration.find_queue("r-1")
    if "service" in odd:
        assert known is None
        return
    # Its jobs can be asked for, but none is accepted under defaults.
    assert known is not None
    assert not known.has_policy
    assert (known.host, known.pool) == ("pule25.example", "huvo11a")


# Guards against a queue that loses its policy, or goes back to its former
# pool, because a field of a later version can't be read.
@pytest.mark.parametrize("odd", UNREADABLE_ROUTES)
def test_unreadable_queue_keeps_its_former_policy(
    odd: dict[str, Any],
) -> None:
    former = decode(config([ROUTE]))
    moved = {**ROUTE, "service": "kafi81c", "path_prefix": "/p/", **odd}
    route = queue(decode(config([moved], version=8), former), "r-1")
    assert route.has_policy
    assert (route.max_attempts, route.pool) == (4, "kafi81c")
    assert route.path_prefix == "/p/"
    assert queue(former, "r-1").pool == "huvo11a"


# Guards against one pool or tenant that can't be read and takes the queues
# with it (related to review case 6).
@pytest.mark.parametrize(
    ("services", "tenants", "pools", "names"),
    [
        ([7, SERVICE], [TENANT], ["huvo11a"], ["cugo130"]),
        ([{**SERVICE, "standby": 2}], [], ["huvo11a"], []),
        ([{"name": 7}, SERVICE], [], ["huvo11a"], []),
        ([SERVICE], [7, TENANT], ["huvo11a"], ["cugo130"]),
        ([SERVICE], [{**TENANT, "weight": "x"}], ["huvo11a"], []),
    ],
)
def test_unreadable_pool_or_tenant_costs_only_itself(
    services: list[Any], tenants: list[Any], pools: list[str], names: list[str]
) -> None:
    configuration = decode(config([ROUTE], services, tenants))
    assert list(configuration.pools) == pools
    assert queue(configuration, "r-1").has_policy
    found = [name for name in ("cugo130",) if configuration.tenants.find(name)]
    assert found == names


# Guards against a pool that loses its policy with one unreadable field.
def test_unreadable_pool_keeps_what_was_known() -> None:
    former = decode(config([ROUTE], [{**SERVICE, "rejects_overload": True}]))
    odd = {**SERVICE, "standby": "no"}
    configuration = decode(config([ROUTE], [odd], version=8), former)
    assert configuration.pools["huvo11a"].rejects_overload
