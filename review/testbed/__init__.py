"""Small stand-ins for the platform, its executors and its clients."""
