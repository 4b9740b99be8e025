"""Benchmarks and experiments; their figures go to docs/."""
