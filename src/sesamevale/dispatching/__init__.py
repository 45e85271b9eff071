"""Tasks that apply the dispatch policies and connect the peer packages."""

from __future__ import annotations
