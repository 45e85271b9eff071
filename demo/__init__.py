"""A demonstration on one machine."""
