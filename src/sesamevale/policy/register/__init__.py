"""Actions that run at most once: identities and their register."""

from __future__ import annotations
