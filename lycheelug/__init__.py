"""Fleet capacity and maintenance manager.

One package stands for each peer that a daemon talks to (callers,
upstreams, platform, operators, entries).  The flat modules beside them
hold the decisions and import no I/O: they take the time, the random
source and the view as arguments and return what to do.
"""

from typing import Final

__all__ = ["__version__"]

__version__: Final = "0.1.0"
