"""Calls between daemons: relayed store calls, and submissions to owners."""

from lycheelug.relay.rows import RelayedRows
from lycheelug.relay.server import RelayServer
from lycheelug.relay.submissions import SubmissionForwarder

__all__ = ["RelayServer", "RelayedRows", "SubmissionForwarder"]
