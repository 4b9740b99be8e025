"""Forwards submissions to the daemons that own their pools.

A submission whose reply is lost is not repeated here but reported as
undecided.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.jobservice.interfaces import Rejection, SubmissionAnswer
from lycheelug.jobservice.queue_rows import NO_GATES, GateVersions
from lycheelug.jobservice.submission_queue import SUBMIT_TIMEOUT_S
from lycheelug.logs import log_change
from lycheelug.relay.channels import CALL_ERRORS, NotSentError, PeerChannels
from lycheelug.relay.messages import SubmitCall, SubmitReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.jobservice.interfaces import SubmissionOutcome
    from lycheelug.workloads import JobRecord

__all__ = ["SUBMIT", "SubmissionForwarder"]

SUBMIT: Final = "/lycheelug.Relay/Submit"
# No submission is sent to an owner for this long after it did not answer.
AVOID_S: Final = 1.0


class SubmissionForwarder:
    """Sends submissions to owners on other daemons."""

    __slots__ = ("_avoided_until", "_channels", "_now")

    def __init__(self, now: Callable[[], float]) -> None:
        self._channels = PeerChannels()
        self._now = now
        self._avoided_until: dict[str, float] = {}

    async def submit(
        self,
        address: str,
        pool: str,
        job_id: str,
        record: JobRecord,
        gates: GateVersions = NO_GATES,
    ) -> SubmissionOutcome:
        """Send a submission to the owner at an address, which stores it."""
        if self._now() < self._avoided_until.get(address, 0.0):
            return SubmissionAnswer.NOT_TAKEN
        call = SubmitCall(
            pool,
            job_id,
            msgspec.json.encode(record),
            gates.queue,
            gates.address,
        )
        try:
            reply = await self._channels.call(
                address, SUBMIT, call, SubmitReply, SUBMIT_TIMEOUT_S
            )
        except CALL_ERRORS as error:
            self._avoided_until[address] = self._now() + AVOID_S
            log_change(
                "owner-not-reached",
                peer=address,
                pool=pool,
                job=job_id,
                error=str(error) or type(error).__name__,
            )
            if isinstance(error, NotSentError):
                return SubmissionAnswer.NOT_TAKEN
            return SubmissionAnswer.UNDECIDED
        if reply.retry_after_s > 0:
            return Rejection(reply.retry_after_s, reply.is_over_limit)
        try:
            return SubmissionAnswer[reply.answer]
        except KeyError:
            log_change("reply-unreadable", peer=address, answer=reply.answer)
            return SubmissionAnswer.UNDECIDED

    def close(self) -> None:
        """Close the connections to owners."""
        self._channels.close()
