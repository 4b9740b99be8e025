"""Serves jobs: submissions, owners of pools, the fleet's planner."""
