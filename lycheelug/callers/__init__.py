"""The HTTP/1.1 interface for callers."""
