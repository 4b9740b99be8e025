"""Serves callers' job requests in the platform's protocol.

The host name and path prefix of a request select the queue, and the rest of
the path is the job's id.  Replies of the job service are translated to the
platform's status codes.
"""

from __future__ import annotations

import asyncio
import string
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.decoding import (
    DEPTH_MAX,
    decode_json,
    deepest_field,
    parse_number,
)
from lycheelug.http import Answer, find_header, json_answer
from lycheelug.jobservice.replies import (
    Reply,
    ReplyKind,
    RequestEffects,
)
from lycheelug.logs import log_change
from lycheelug.platform.authorization import SCHEME, read_key
from lycheelug.platform.wire import JobMessage
from lycheelug.tenants import KeyVerdict
from lycheelug.workloads import (
    JobLimits,
    JobRecord,
    Occurrences,
    StepSpec,
    find_error,
)

if TYPE_CHECKING:
    from lycheelug.http import Request
    from lycheelug.jobservice.clock import Clock
    from lycheelug.jobservice.interfaces import Configuration, Route
    from lycheelug.jobservice.service import JobService
    from lycheelug.platform.wire import StepMessage
    from lycheelug.tenants import KeyGate

__all__ = ["Ingress", "decode_job_message"]

DEADLINE_HEADER: Final = b"deadline-ms"
# Used if a request has no valid deadline header.
DEADLINE_DEFAULT_S: Final = 3.0
# Callers that wait for longer are answered within this time.
DEADLINE_MAX_S: Final = 3600.0
# Answers are sent at least this long before the caller's deadline.
ANSWER_MARGIN_S: Final = 0.1
JOB_ID_LENGTH: Final = 16
HEX_DIGITS: Final = frozenset(string.hexdigits)
SPEC_BYTES_MAX: Final = 4_000
# The callers' names of a job's fields, where they differ.
CALLERS_NAMES: Final = {
    "cpu_millis": "cpu",
    "memory_mb": "mem_mb",
    "gpus": "gpu",
    "max_per_executor": "anti_affinity",
    "occurrences": "repeats",
    "first_ms": "start_at_ms",
}
NOT_CONFIGURED_RETRY_S: Final = 1
# A queue that can't be read is served again from a later configuration.
NO_POLICY_RETRY_S: Final = 5
# Another daemon may verify the key at once, or this one with its next read of
# the configuration.
UNVERIFIED_RETRY_S: Final = 1
# For requests that timed out before anything was written.
TIMED_OUT_RETRY_S: Final = 1


class Ingress:
    """The handler of callers' requests about jobs and queues."""

    __slots__ = ("_clock", "_gate", "_limits", "_service")

    def __init__(
        self,
        service: JobService,
        clock: Clock,
        limits: JobLimits,
        gate: KeyGate | None = None,
    ) -> None:
        self._service = service
        self._clock = clock
        self._limits = limits
        # None if calls carry no keys.
        self._gate = gate

    async def handle(self, request: Request) -> Answer:
        """Answer one request before its caller's deadline."""
        deadline_s = _deadline_s(request)
        effects = RequestEffects()
        try:
            async with asyncio.timeout(deadline_s - ANSWER_MARGIN_S):
                return await self._route(request, effects)
        except TimeoutError:
            log_change(
                "request-timed-out",
                target=request.target.decode("latin-1"),
                method=request.method.decode("latin-1"),
                deadline_s=deadline_s,
                may_have_effect=effects.may_exist,
            )
            text = "the platform's store did not answer in time"
            if effects.may_exist:
                return _error(504, text)
            return _unavailable(text, TIMED_OUT_RETRY_S)

    async def _route(
        self, request: Request, effects: RequestEffects
    ) -> Answer:
        """Dispatch a request by its queue, job id and method."""
        configuration = self._service.configuration
        if configuration is None:
            return _unavailable("no configuration yet", NOT_CONFIGURED_RETRY_S)
        host = (find_header(request.headers, b"host") or b"").decode("latin-1")
        path = request.target.decode("latin-1").partition("?")[0]
        route = configuration.find_route(
            host.rpartition(":")[0].lower() if ":" in host else host.lower(),
            path,
        )
        if route is None:
            return _error(404, "no queue matches this host and path")
        tenant = self._authorize(request, route, configuration)
        if isinstance(tenant, Answer):
            return tenant
        # Whose jobs the call may see; empty for all.
        viewer = "" if route.is_public else tenant
        rest = path[len(route.path_prefix) :]
        if not rest:
            return await self._answer_pending(request, route)
        if len(rest) != JOB_ID_LENGTH or not HEX_DIGITS.issuperset(rest):
            return _error(404, "a job id must be 16 hexadecimal digits")
        if request.method == b"POST":
            return await self._submit(request, route, rest, tenant, effects)
        if request.method == b"GET":
            reply = await self._service.submissions.state(route, rest, viewer)
            content: dict[str, object] = {"state": reply.state}
            if reply.reason:
                content["reason"] = reply.reason
            return _answer(reply, content)
        if request.method == b"DELETE":
            cancel = self._service.submissions.cancel(
                route, rest, viewer, effects
            )
            return _answer(await cancel, {})
        return _error(405, "a job supports only POST, GET and DELETE")

    def _authorize(
        self, request: Request, route: Route, configuration: Configuration
    ) -> str | Answer:
        """Return the tenant of a call, empty for none, or a refusal."""
        if self._gate is None:
            return ""
        key = read_key(request.headers)
        if isinstance(key, Failure):
            if route.is_public:
                return ""
            self._gate.count_malformed()
            return _unauthorized(key.failure())
        admission = self._gate.admit(
            key.unwrap(), configuration.tenants, route.is_public
        )
        if admission.verdict is KeyVerdict.UNKNOWN:
            return _unauthorized("authorization: no tenant has this key")
        if admission.verdict is KeyVerdict.UNVERIFIED:
            return _unavailable(
                "the key can't be verified now; nothing was done",
                UNVERIFIED_RETRY_S,
            )
        return admission.tenant

    async def _answer_pending(self, request: Request, route: Route) -> Answer:
        """Answer the number of pending jobs of a queue."""
        if request.method != b"GET":
            return _error(405, "a queue supports only GET")
        reply = await self._service.submissions.pending(route)
        return _answer(reply, {"pending": reply.pending})

    async def _submit(
        self,
        request: Request,
        route: Route,
        job_id: str,
        tenant: str,
        effects: RequestEffects,
    ) -> Answer:
        """Validate and submit a job of a tenant."""
        if not route.has_policy:
            return _unavailable(
                "the queue's configuration can't be read", NO_POLICY_RETRY_S
            )
        decoded = decode_job_message(
            request.body, route.name, self._clock.unix_ms(), self._limits
        )
        if isinstance(decoded, str):
            log_change("submission-invalid", job=job_id, reason=decoded)
            return _error(400, decoded)
        decoded.tenant = tenant
        submit = self._service.submissions.submit(
            route, job_id, decoded, effects
        )
        return _answer(await submit, {})


def decode_job_message(
    body: bytes, queue: str, unix_ms: int, limits: JobLimits | None = None
) -> JobRecord | str:
    """Return the submitted job, or an error message if it is invalid."""
    limits = limits or JobLimits()
    # Each step is an object, and strings may contain braces.  Decoding many
    # thousands of steps would take a large amount of memory.
    if body.count(b"{") > limits.steps + limits.record_bytes:
        return f"steps: too many; give 1 to {limits.steps}"
    decoded = decode_json(body, JobMessage)
    if isinstance(decoded, Failure):
        field = deepest_field(body)
        if field:
            return f"{field}: nested too deeply; nest up to {DEPTH_MAX} levels"
        return f"the body is not a valid job: {decoded.failure()}"
    message = decoded.unwrap()
    if len(message.spec.encode()) > SPEC_BYTES_MAX:
        return f"spec: over {SPEC_BYTES_MAX} bytes; shorten it"
    steps: list[StepSpec] = []
    for number, step in enumerate(message.steps):
        for earlier in step.depends_on:
            if not 0 <= earlier < number:
                return (
                    f"steps[{number}].depends_on: {earlier}; "
                    "name earlier steps only"
                )
        steps.append(_to_step_spec(step))
    schedule = None
    if message.repeats > 0:
        schedule = Occurrences(
            message.repeats, message.start_at_ms, message.interval_ms
        )
    record = JobRecord(queue, message.spec, steps, unix_ms, schedule)
    excess = find_error(record, limits)
    if excess is not None:
        return excess.render(CALLERS_NAMES.get(excess.field, ""))
    return record


def _to_step_spec(step: StepMessage) -> StepSpec:
    """Convert a step from the platform's representation."""
    return StepSpec(
        count=step.count,
        cpu_millis=step.cpu,
        memory_mb=step.mem_mb,
        gpus=step.gpu,
        estimate_ms=step.estimate_ms,
        depends_on=step.depends_on,
        saves_checkpoints=step.checkpointing,
        is_gang=step.gang,
        wants_one_rack=step.same_rack,
        required_label=step.requirements,
        data_rack=step.affinity,
        max_per_executor=step.anti_affinity,
        may_duplicate=step.speculative,
        lasts=step.long_running,
        image=step.image,
        target_ms=step.target_ms,
        fills=step.fills,
        may_miss=step.may_miss,
    )


def _deadline_s(request: Request) -> float:
    """Return how long the caller waits for an answer.

    The result exceeds `ANSWER_MARGIN_S`, so that some time is left to answer.
    """
    value = find_header(request.headers, DEADLINE_HEADER) or b""
    deadline_ms = parse_number(value.decode("latin-1"))
    if deadline_ms is None:
        return DEADLINE_DEFAULT_S
    return max(2 * ANSWER_MARGIN_S, min(DEADLINE_MAX_S, deadline_ms / 1000))


def _answer(reply: Reply, content: dict[str, object]) -> Answer:
    """Return the HTTP answer for a reply of the job service."""
    if reply.kind is ReplyKind.OK:
        return json_answer(200, content)
    if reply.kind is ReplyKind.UNKNOWN_JOB:
        return _error(410, "no such job")
    if reply.kind is ReplyKind.FOREIGN:
        return _error(409, "the job id is in use; choose another one")
    if reply.kind is ReplyKind.REFUSED:
        status = 429 if reply.is_over_limit else 503
        text = "not accepted; retry later"
        return _unavailable(text, reply.retry_after_s, status)
    return _error(504, "outcome unknown; repeat the request")


def _unauthorized(text: str) -> Answer:
    """Return a 401 answer that names the scheme."""
    answer = _error(401, text)
    answer.headers.append((b"www-authenticate", SCHEME))
    return answer


def _unavailable(text: str, retry_after_s: int, status: int = 503) -> Answer:
    """Return an answer that says when to retry."""
    answer = _error(status, text)
    answer.headers.append((b"retry-after", b"%d" % retry_after_s))
    return answer


def _error(status: int, text: str) -> Answer:
    """Return an error answer with a message for people."""
    return json_answer(status, {"error": text})
