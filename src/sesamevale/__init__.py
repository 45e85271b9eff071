"""A load balancer whose entries act together.

The packages ``callers``, ``upstreams``, ``platform``, ``entries`` and
``operators`` each hold the code for one peer of the system. ``policy`` holds
the decisions and performs no input or output. ``dispatching`` holds the tasks
that drive those decisions.
"""

from __future__ import annotations

__version__ = "0.1.0"
