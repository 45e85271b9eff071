"""Which entries there are, and the state that they share."""

from __future__ import annotations
