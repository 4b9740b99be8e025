"""The operators' routes for the configuration."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from lycheelug.config_outcome import Accepted, Refused, Undecided
from lycheelug.configuration import new_nonce
from lycheelug.decoding import parse_number
from lycheelug.http import Answer, json_answer
from lycheelug.operators.messages import ConfigReply
from lycheelug.operators.routes import OperatorRequest, route

if TYPE_CHECKING:
    from lycheelug.config_outcome import Outcome
    from lycheelug.daemon import Daemon

EMPTY_BODY = b"{}"


@route("GET", "/v1/config")
async def get_config(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return the configuration in force on this daemon."""
    del request
    accepted = daemon.config.accepted
    missing: list[str] = []
    for pending in daemon.config_submitter.pending:
        missing.extend(pending.missing)
    reply = ConfigReply(
        outcome="",
        revision=accepted.revision,
        nonce=accepted.nonce,
        submitter=accepted.submitter,
        body=msgspec.Raw(accepted.body or EMPTY_BODY),
        missing=sorted(set(missing)),
    )
    return json_answer(200, reply)


@route("POST", "/v1/config/nonce")
async def post_nonce(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return a nonce for one submission."""
    del request
    return json_answer(200, {"nonce": new_nonce(time.time(), daemon.core.rng)})


@route("POST", "/v1/config")
async def post_config(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Submit a configuration under a nonce; return the outcome."""
    nonce = request.query_parameter("nonce") or new_nonce(
        time.time(), daemon.core.rng
    )
    excused = [
        name for name in request.query_parameter("excused").split(",") if name
    ]
    based_on = request.query_parameter("based_on")
    outcome = await daemon.config_submitter.submit(
        nonce,
        request.body,
        parse_number(based_on),
        excused,
    )
    return _outcome_answer(nonce, outcome)


@route("GET", "/v1/config/*")
async def get_outcome(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return the outcome of an earlier submission."""
    outcome = await daemon.config_submitter.resolve(request.wildcard_segment)
    return _outcome_answer(request.wildcard_segment, outcome)


def _outcome_answer(nonce: str, outcome: Outcome) -> Answer:
    """Return the answer with the outcome of a submission."""
    reply = ConfigReply(
        outcome="unknown",
        revision=0,
        nonce=nonce,
        submitter="",
        body=msgspec.Raw(EMPTY_BODY),
    )
    if isinstance(outcome, Accepted):
        reply.outcome = "accepted"
        reply.revision = outcome.revision
        reply.missing = outcome.unconfirmed
    if isinstance(outcome, Refused):
        reply.outcome = "refused"
        reply.reason = f"{outcome.code.text} {outcome.reason}".strip()
        reply.missing = outcome.names
    if isinstance(outcome, Undecided):
        reply.reason = outcome.reason
    return json_answer(200, reply)
