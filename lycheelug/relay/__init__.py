"""The peer package for other daemons: calls to the store, submissions."""

from lycheelug.relay.intake import SubmissionForwarder
from lycheelug.relay.rows import RelayedRows
from lycheelug.relay.server import RelayServer

__all__ = ["RelayServer", "RelayedRows", "SubmissionForwarder"]
