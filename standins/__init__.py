"""Stand-ins for outside systems; no part of the installed product."""
