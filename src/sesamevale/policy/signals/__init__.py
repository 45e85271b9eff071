"""What upstreams say of themselves, and what follows from it."""

from __future__ import annotations
