"""Decisions without input or output.

Nothing here reads a clock, a socket or a random source of its own: time and
randomness are arguments, and what is to be done comes back as values.
"""

from __future__ import annotations
