"""The peer package for other daemons: calls to the store, submissions."""

from lycheelug.relay.rows import RelayedRows
from lycheelug.relay.server import RelayServer
from lycheelug.relay.submissions import SubmissionForwarder

__all__ = ["RelayServer", "RelayedRows", "SubmissionForwarder"]
