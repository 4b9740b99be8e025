"""The peer package for operators, over HTTP/1.1."""
