"""The peer package for upstreams (executors on workers), over HTTP/1.1."""
