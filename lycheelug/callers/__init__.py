"""The peer package for callers, over HTTP/1.1."""
