"""The peer package for the other entry daemons, over gRPC."""
