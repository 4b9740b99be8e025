"""Benchmarks and experiments; their results are published under docs/."""
