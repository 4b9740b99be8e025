"""Logs and counts how callers' requests end, and makes the replies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.jobservice.replies import Reply, ReplyKind
from lycheelug.logs import log_change, log_fault

if TYPE_CHECKING:
    from lycheelug.errors import Fault
    from lycheelug.jobservice.interfaces import Rejection, Route
    from lycheelug.metrics import Metrics
    from lycheelug.workloads import JobRecord

__all__ = ["Outcomes"]

# How long a caller should wait while the store is slow.
SLOW_RETRY_AFTER_S: Final = 2


class Outcomes:
    """The outcomes of requests at one daemon."""

    __slots__ = ("_metrics",)

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def accept(
        self, route: Route, job_id: str, record: JobRecord, is_new: bool
    ) -> Reply:
        """Reply that the job is stored."""
        self._metrics.count("jobs-accepted" if is_new else "jobs-repeated")
        log_change(
            "job-accepted",
            job=job_id,
            queue=route.name,
            address=route.address,
            pool=route.pool,
            tenant=record.tenant,
            steps=len(record.steps),
            known=not is_new,
        )
        return Reply(ReplyKind.OK)

    def accept_repeated(self, job_id: str, pool: str) -> Reply:
        """Reply that the job is stored in a former pool of its queue."""
        self._metrics.count("jobs-repeated")
        log_change("job-in-former-pool", job=job_id, pool=pool)
        return Reply(ReplyKind.OK)

    def reply_undecided(self, job_id: str, reason: str) -> Reply:
        """Reply that the job may have been stored."""
        log_change("submission-undecided", job=job_id, reason=reason)
        self._metrics.count("jobs-undecided")
        return Reply(ReplyKind.UNDECIDED)

    def reply_slow(self, job_id: str, may_be_stored: bool) -> Reply:
        """Leave a slow store to the owner, whose writes have many jobs.

        Single writes would hold up the pool's part, and with it the owner.
        """
        reason = "the store is slow, and the owner has not stored it in time"
        if may_be_stored:
            return self.reply_undecided(job_id, reason)
        log_change("submission-refused", subject=job_id, reason=reason)
        self._metrics.count("refused-submission")
        return Reply(ReplyKind.REFUSED, retry_after_s=SLOW_RETRY_AFTER_S)

    def reject(self, route: Route, job_id: str, rejection: Rejection) -> Reply:
        """Refuse a submission for which its pool has no room."""
        log_change(
            "submission-refused",
            subject=job_id,
            pool=route.pool,
            reason="the pool has no room for it",
            retry_after_s=rejection.retry_after_s,
        )
        self._metrics.count("refused-submission")
        return Reply(
            ReplyKind.REFUSED,
            retry_after_s=rejection.retry_after_s,
            is_over_limit=rejection.is_over_limit,
        )

    def refuse(self, operation: str, subject: str, fault: Fault) -> Reply:
        """Reply that the request had no effect because of a fault."""
        log_fault(f"{operation}-refused", fault, subject=subject)
        self._metrics.count(f"refused-{operation}")
        return Reply(ReplyKind.REFUSED)

    def refuse_unreachable(self, operation: str, subject: str) -> Reply:
        """Refuse a request at once while the store is unreachable."""
        log_change(
            f"{operation}-refused",
            subject=subject,
            reason="the store is unreachable",
        )
        self._metrics.count(f"refused-{operation}")
        return Reply(ReplyKind.REFUSED)

    def refuse_moved(self, route: Route, job_id: str) -> Reply:
        """Refuse a submission to a queue that is being moved."""
        log_change(
            "submission-refused",
            subject=job_id,
            queue=route.name,
            pool=route.pool,
            reason="the queue is being moved to another pool",
        )
        self._metrics.count("refused-submission")
        return Reply(ReplyKind.REFUSED)

    def refuse_foreign(self, job_id: str) -> Reply:
        """Reply that another tenant's job has the id."""
        log_change("submission-foreign", job=job_id)
        self._metrics.count("calls-foreign-job")
        return Reply(ReplyKind.FOREIGN)

    def hide_foreign(self, job_id: str) -> Reply:
        """Reply as if another tenant's job didn't exist."""
        log_change("job-hidden", job=job_id, reason="of another tenant")
        self._metrics.count("calls-foreign-job")
        return Reply(ReplyKind.UNKNOWN_JOB)

    def record_cancel(self, job_id: str, pool: str) -> Reply:
        """Reply that a job is cancelled."""
        log_change("job-cancelled", job=job_id, pool=pool)
        self._metrics.count("jobs-cancelled")
        return Reply(ReplyKind.OK)

    def refuse_count(self, route: Route) -> Reply:
        """Refuse a count that the pool's owner has not given."""
        log_change(
            "count-refused",
            subject=route.name,
            pool=route.pool,
            reason="the pool's owner has not given a current count",
        )
        self._metrics.count("refused-count")
        return Reply(ReplyKind.REFUSED)
