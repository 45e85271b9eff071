"""Who is admitted, and in which order: limits, budgets, queues, shutdown."""

from __future__ import annotations
