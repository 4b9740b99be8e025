"""The peer package for other daemons that reach the store."""

from lycheelug.relay.rows import RelayedRows
from lycheelug.relay.server import RelayServer

__all__ = ["RelayServer", "RelayedRows"]
