"""The adapter to the users' platform: only translation, no decisions."""
