"""Requests to upstreams (executors on workers) over HTTP/1.1."""
