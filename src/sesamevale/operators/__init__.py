"""Everything that talks to operators: admin HTTP and the command line."""

from __future__ import annotations
