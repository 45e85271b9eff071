"""Decisions as plain objects without input or output.

Nothing here reads a clock, a socket or a random source of its own: time and
randomness are arguments, and effects are returned as values.
"""

from __future__ import annotations
