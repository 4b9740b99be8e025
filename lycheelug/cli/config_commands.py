"""The commands `config show`, `config submit` and `config resolve`."""

from __future__ import annotations

import sys
from pathlib import Path
from urllib.parse import quote

from cyclopts import App

from lycheelug.cli.client import ExitCode, fail, read_file
from lycheelug.cli.options import Common, CommonOptions
from lycheelug.cli.output import print_json
from lycheelug.operators.messages import ConfigReply

__all__ = ["register"]


def register(app: App) -> None:
    """Add the commands to the application."""
    group = App(name="config", help="Show and change the configuration.")
    group.command(cmd_config_show, name="show")
    group.command(cmd_config_submit, name="submit")
    group.command(cmd_config_resolve, name="resolve")
    app.command(group)


def cmd_config_show(common: CommonOptions = None) -> None:
    """Show the configuration in force on the daemon."""
    common = common or Common()
    reply = common.client.get("/v1/config", ConfigReply)
    _print_reply(reply, common)


def cmd_config_submit(
    file: Path,
    *,
    based_on: int | None = None,
    excuse: str = "",
    common: CommonOptions = None,
) -> None:
    """Submit a configuration, a JSON file, and show the outcome.

    Parameters
    ----------
    file
        The file with the new configuration.
    based_on
        Refuse the change if the configuration has a later revision.
    excuse
        Names of entry daemons that need not confirm it, separated by commas.

    """
    common = common or Common()
    body = read_file(file)
    client = common.client
    nonce = client.post("/v1/config/nonce", b"", dict[str, str])["nonce"]
    sys.stderr.write(f"submission {nonce}\n")
    target = f"/v1/config?nonce={nonce}&excused={quote(excuse)}"
    if based_on is not None:
        target += f"&based_on={based_on}"
    reply = client.post(target, body, ConfigReply)
    _exit_with_outcome(reply, common)


def cmd_config_resolve(nonce: str, common: CommonOptions = None) -> None:
    """Show the outcome of an earlier submission.

    Parameters
    ----------
    nonce
        The submission's nonce, which `config submit` printed.

    """
    common = common or Common()
    reply = common.client.get(f"/v1/config/{quote(nonce)}", ConfigReply)
    _exit_with_outcome(reply, common)


def _exit_with_outcome(reply: ConfigReply, common: Common) -> None:
    """Print a submission's outcome; end the tool unless it was accepted."""
    _print_reply(reply, common)
    if reply.outcome == "accepted":
        return
    if reply.outcome == "refused":
        fail(f"refused: {reply.reason}", ExitCode.REFUSED)
    fail(
        f"unknown: {reply.reason}; ask again with "
        f"'lycheelug config resolve {reply.nonce}'",
        ExitCode.UNKNOWN,
    )


def _print_reply(reply: ConfigReply, common: Common) -> None:
    """Print a configuration or the outcome of a submission."""
    if common.as_json:
        print_json(reply)
        return
    if reply.outcome:
        sys.stdout.write(f"{reply.outcome}: ")
    by = f" by {reply.submitter}" if reply.submitter else ""
    sys.stdout.write(f"revision {reply.revision}{by}\n")
    if reply.missing:
        names = ", ".join(reply.missing)
        sys.stdout.write(f"missing or refusing: {names}\n")
    if not reply.outcome:
        sys.stdout.write(bytes(reply.body).decode() + "\n")
