"""A load balancer whose entries coordinate with each other.

The packages ``callers``, ``upstreams``, ``entries``, ``operators``, ``etcd``
and ``platform`` each hold the code for one peer of the system. ``policy``
holds the decisions and performs no input or output. ``dispatching`` and
``forwarding`` hold the tasks that apply those decisions: to the calls of an
entry that follows documents, and to the requests of a gateway entry.
"""

from __future__ import annotations

__version__ = "0.1.0"
