"""Tasks that drive the decisions and connect the peer packages."""

from __future__ import annotations
