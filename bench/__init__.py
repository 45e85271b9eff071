"""Benchmarks; each prints its results."""
