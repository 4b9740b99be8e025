"""Operators' resources for the configuration."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from lycheelug.config_outcome import Accepted, Refused, Undecided
from lycheelug.configuration import new_nonce
from lycheelug.http import Answer, json_answer
from lycheelug.operators.messages import ConfigReply
from lycheelug.operators.routes import OperatorRequest, route

if TYPE_CHECKING:
    from lycheelug.config_outcome import Outcome
    from lycheelug.daemon import Daemon

NO_BODY = b"{}"


@route("GET", "/v1/config")
async def get_config(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return the configuration in force here."""
    del request
    found = daemon.config.accepted
    missing: list[str] = []
    for pending in daemon.config_submitter.pending:
        missing.extend(pending.missing)
    reply = ConfigReply(
        outcome="",
        revision=found.revision,
        nonce=found.nonce,
        submitter=found.submitter,
        body=msgspec.Raw(found.body or NO_BODY),
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
    """Submit a configuration under a nonce; tell what became of it."""
    nonce = request.query("nonce") or new_nonce(time.time(), daemon.core.rng)
    excused = [name for name in request.query("excused").split(",") if name]
    base = request.query("based_on")
    outcome = await daemon.config_submitter.submit(
        nonce,
        request.body,
        int(base) if base.isdecimal() else None,
        excused,
    )
    return _reply(nonce, outcome)


@route("GET", "/v1/config/*")
async def get_outcome(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Tell what became of a submission."""
    outcome = await daemon.config_submitter.resolve(request.tail)
    return _reply(request.tail, outcome)


def _reply(nonce: str, outcome: Outcome) -> Answer:
    """Return what became of a submission."""
    reply = ConfigReply(
        outcome="unknown",
        revision=0,
        nonce=nonce,
        submitter="",
        body=msgspec.Raw(NO_BODY),
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
