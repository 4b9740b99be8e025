"""Calls between daemons: relayed store calls, and calls to pools' owners."""

from lycheelug.relay.counts import CountForwarder
from lycheelug.relay.placement_queries import PlacementForwarder
from lycheelug.relay.rows import RelayedRows
from lycheelug.relay.server import RelayServer
from lycheelug.relay.submissions import SubmissionForwarder

__all__ = [
    "CountForwarder",
    "PlacementForwarder",
    "RelayServer",
    "RelayedRows",
    "SubmissionForwarder",
]
