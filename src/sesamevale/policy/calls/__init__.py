"""The course of one call: attempts, retries, hedges, outcome."""

from __future__ import annotations
