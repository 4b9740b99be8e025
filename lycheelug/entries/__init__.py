"""Communication between entry daemons, over gRPC."""
