"""Peer: operators, with admin pages over HTTP and the command line."""

from __future__ import annotations
