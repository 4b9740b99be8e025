"""Asks a daemon where a job would go, and renders its report."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

import msgspec
from returns.result import Failure

from lycheelug.cli.client import ExitCode, fail
from lycheelug.decoding import decode_json
from lycheelug.errors import Peer
from lycheelug.http import HttpClient, Request
from lycheelug.platform.where import WHERE_PATH, WhereMessage
from lycheelug.settings_schema import split_address
from lycheelug.whereabouts import PlacementReport

if TYPE_CHECKING:
    from lycheelug.http import Answer
    from lycheelug.whereabouts import StepReport

__all__ = ["ask_daemon", "make_question", "render_report"]

TIMEOUT_S: Final = 5.0
OK_STATUS: Final = 200
UNAVAILABLE_STATUS: Final = 503
GUESS: Final = "a guess: hosts on their way are not considered"


class _Refusal(msgspec.Struct):
    """The body of an error answer."""

    error: str = "no reason was given"


def make_question(
    queue: str, key: str, job: bytes, job_id: str
) -> WhereMessage:
    """Return a question; end the tool if it isn't complete."""
    if bool(job_id) == bool(queue):
        fail(
            "give --queue and a file with a job, or --id of a job that was "
            "sent",
            ExitCode.USAGE,
        )
    if job_id:
        return WhereMessage(id=job_id)
    content = decode_json(job, dict[str, Any])
    if isinstance(content, Failure):
        fail(
            f"the file is not a job as JSON: {content.failure()}",
            ExitCode.USAGE,
        )
    return WhereMessage(queue, key, msgspec.Raw(job))


def ask_daemon(address: str, question: WhereMessage) -> PlacementReport:
    """Return a daemon's report; end the tool if there is none."""
    if split_address(address) is None:
        fail(f"--daemon: found {address!r}; give IP:PORT", ExitCode.USAGE)
    answer = asyncio.run(_post(address, msgspec.json.encode(question)))
    if answer.status != OK_STATUS:
        refusal = decode_json(answer.body, _Refusal).value_or(_Refusal())
        code = ExitCode.REFUSED
        if answer.status == UNAVAILABLE_STATUS:
            code = ExitCode.UNREACHABLE
        fail(f"daemon at {address}: {refusal.error}", code)
    report = decode_json(answer.body, PlacementReport)
    if isinstance(report, Failure):
        fail(
            f"daemon at {address}: invalid answer: {report.failure()}",
            ExitCode.UNREACHABLE,
        )
    found: PlacementReport = report.unwrap()
    return found


async def _post(address: str, body: bytes) -> Answer:
    """Send a question; end the tool if it isn't answered."""
    client = HttpClient(address, Peer.ENTRY)
    request = Request(
        b"POST",
        WHERE_PATH,
        [
            (b"host", address.encode()),
            (b"content-length", b"%d" % len(body)),
        ],
        body,
    )
    try:
        result = await client.request(request, TIMEOUT_S)
    finally:
        client.close()
    if isinstance(result, Failure):
        fail(f"daemon at {address}: {result.failure()}", ExitCode.UNREACHABLE)
    answer: Answer = result.unwrap()
    return answer


def render_report(report: PlacementReport) -> list[str]:
    """Return the lines of a report for people.

    >>> report = PlacementReport("proofs", "press", "not sent", owner="e1")
    >>> for line in render_report(report):
    ...     print(line)
    proofs in pool press: not sent; 0 executors
    by e1, term 0: ownership proved 0.0 s ago, list of executors 0.0 s old
    nothing of it waits
    """
    outlook = f"; {report.outlook} if it starts now" if report.outlook else ""
    name = f"job {report.job}, {report.queue}" if report.job else report.queue
    lines = [
        f"{name} in pool {report.pool}: {report.state}{outlook}; "
        f"{report.executors} executors",
        f"by {report.owner}, term {report.term}: ownership proved "
        f"{report.ownership_age_s:.1f} s ago, list of executors "
        f"{report.executor_list_age_s:.1f} s old",
    ]
    tenant = report.tenant
    if tenant is not None:
        share = "over its share" if tenant.is_over_share else "in its share"
        line = f"tenant {tenant.name}: {share} of {tenant.weight:g} jobs/s"
        if tenant.cap:
            line += (
                f"; cap {tenant.cap}, reserved here {tenant.reserved}, "
                f"used {tenant.used} (CPU, memory, GPUs)"
            )
        lines.append(line)
    if report.running or report.blocked:
        lines.append(
            f"{report.running} tasks run, {report.blocked} wait for earlier "
            "steps"
        )
    for step in report.steps:
        lines.extend(_render_step(step))
    if not report.steps:
        lines.append("nothing of it waits")
    return lines


def _render_step(step: StepReport) -> list[str]:
    """Return the lines of one step."""
    title = f"step {step.step}, {step.tasks} tasks"
    if step.occurrence:
        title = f"occurrence {step.occurrence}, {title}"
    if step.starts_now:
        place = ", ".join(
            each for each in (step.host, step.rack, step.zone) if each
        )
        lines = [f"{title}: the first goes to {step.executor} ({place}) now"]
    else:
        lines = [
            f"{title}: waits for {step.waits_for}; {step.tasks_ahead} tasks "
            f"({step.cpu_ahead / 1000:g} cores) go before it"
        ]
        if step.expected_wait_s is not None:
            lines.append(
                f"  expected start in {step.expected_wait_s:.1f} s ({GUESS})"
            )
    excluded = ", ".join(
        f"{count} {reason}"
        for reason, count in sorted(
            step.ruled_out.items(), key=lambda item: (-item[1], item[0])
        )
    )
    lines.append(
        f"  {step.candidates} candidates; ruled out: {excluded or 'none'}"
    )
    return lines
