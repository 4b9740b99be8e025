"""Serves questions where a job would go, on the address of the probes.

The body has the name of a queue and a job as callers submit it, or the id of
a job that was sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure

from lycheelug.decoding import decode_json
from lycheelug.http import Answer, json_answer
from lycheelug.jobservice.placement_queries import PlacementQuery
from lycheelug.platform.ingress import decode_job_message

if TYPE_CHECKING:
    from lycheelug.http import Request
    from lycheelug.jobservice.clock import Clock
    from lycheelug.jobservice.interfaces import Configuration, Route
    from lycheelug.jobservice.placement_queries import PlacementAnswer
    from lycheelug.jobservice.service import JobService
    from lycheelug.platform.settings import PlatformSettings

__all__ = ["WHERE_PATH", "WhereHandler", "WhereMessage"]

WHERE_PATH: Final = b"/where"
NO_JOB: Final = msgspec.Raw(b"null")


class WhereMessage(msgspec.Struct, omit_defaults=True):
    """A question where a job would go."""

    queue: str = ""
    # A key of its tenant; empty for a public queue.
    key: str = ""
    # A job as callers submit it.
    job: msgspec.Raw = NO_JOB
    # The id of a job that was sent, instead of the others.
    id: str = ""


class WhereHandler:
    """Answers with the report of a pool's owner."""

    __slots__ = ("_clock", "_has_tenants", "_limits", "_service")

    def __init__(
        self,
        service: JobService,
        clock: Clock,
        settings: PlatformSettings,
    ) -> None:
        self._service = service
        self._clock = clock
        self._limits = settings.job_limits
        self._has_tenants = settings.has_tenants

    async def handle(self, request: Request) -> Answer:
        """Answer one question."""
        if request.method != b"POST":
            return _error(405, "POST a queue and a job, or an id")
        decoded = decode_json(request.body, WhereMessage)
        if isinstance(decoded, Failure):
            return _error(400, f"the body is invalid: {decoded.failure()}")
        message = decoded.unwrap()
        configuration = self._service.configuration
        if configuration is None:
            return _error(503, "this daemon has no configuration yet")
        queries = self._service.placement_queries
        if message.id:
            pools: list[str] = []
            for pool in configuration.pools.values():
                # A standby pool has no owner and no jobs.
                if not pool.is_standby:
                    pools.append(pool.name)
            return _answer(await queries.find(message.id, pools))
        query = self._query(message, configuration)
        if isinstance(query, Answer):
            return query
        return _answer(await queries.ask(query))

    def _query(
        self, message: WhereMessage, configuration: Configuration
    ) -> PlacementQuery | Answer:
        """Return the query for a job that isn't sent, or an error."""
        route = configuration.find_queue(message.queue)
        if route is None:
            names = sorted(each.name for each in configuration.routes)
            return _error(
                404,
                f"queue: no queue {message.queue!r} in version "
                f"{configuration.version}; known: {', '.join(names)}",
            )
        tenant = self._tenant(message, route, configuration)
        if isinstance(tenant, Answer):
            return tenant
        record = decode_job_message(
            bytes(message.job),
            route.name,
            self._clock.unix_ms(),
            self._limits,
        )
        if isinstance(record, str):
            return _error(400, f"job: {record}")
        record.tenant = tenant
        return PlacementQuery(route.pool, "", msgspec.json.encode(record))

    def _tenant(
        self,
        message: WhereMessage,
        route: Route,
        configuration: Configuration,
    ) -> str | Answer:
        """Return the tenant of a key, or an error."""
        if not self._has_tenants:
            return ""
        if not message.key and route.is_public:
            return ""
        if not message.key:
            return _error(
                400, f"key: queue {route.name} is not public; give a key"
            )
        tenant = configuration.tenants.tenant_of(message.key)
        if tenant is None:
            return _error(
                400,
                "key: no tenant has it in version "
                f"{configuration.version}; give a valid one",
            )
        return tenant


def _answer(answer: PlacementAnswer) -> Answer:
    """Return the HTTP answer with an owner's report."""
    if answer.report is not None:
        return json_answer(200, answer.report)
    return _error(404 if answer.is_unknown_job else 503, answer.error)


def _error(status: int, text: str) -> Answer:
    """Return an error answer."""
    return json_answer(status, {"error": text})
