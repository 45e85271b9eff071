"""Runs ``sesamevaled`` with a mutant register that runs every repeat.

The fuzz of a fleet must detect that such entries run an action twice.
"""

from __future__ import annotations

from sesamevale import daemon
from sesamevale.policy.register import register

register.Register.submit = lambda *arguments: register.Run()

if __name__ == "__main__":
    daemon.main()
