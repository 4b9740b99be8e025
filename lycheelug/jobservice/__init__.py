"""The job service: submissions, pool owners and the fleet planner."""
