"""Demonstration of a small fleet on one machine."""
