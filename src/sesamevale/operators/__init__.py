"""Admin pages over HTTP and the command line for operators."""

from __future__ import annotations
