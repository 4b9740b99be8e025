"""Fleet capacity and maintenance manager.

One package stands for each peer that a daemon talks to (callers,
upstreams, platform, operators, entries).  The flat modules beside them
hold the decisions and import no I/O: they take the time, the random
source and the view as arguments and return what to do.
"""
