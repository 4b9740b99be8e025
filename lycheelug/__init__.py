"""Fleet capacity and maintenance manager.

There is one subpackage per kind of peer that a daemon communicates with
(callers, upstreams, platform, operators, entries).  The modules at the top
level contain the decisions and perform no I/O: they receive the time, the
random source and the view of the fleet as arguments and return what to do.
"""

from typing import Final

__all__ = ["__version__"]

__version__: Final = "0.1.0"
