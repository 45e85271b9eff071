"""An entry whose register forgets every action: a mutant in a process."""

from __future__ import annotations

from sesamevale import daemon
from sesamevale.policy import register

register.Register.submit = lambda *arguments: register.Run()

if __name__ == "__main__":
    daemon.main()
