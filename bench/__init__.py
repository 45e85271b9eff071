"""Benchmarks; each prints what it measured."""
