"""Tenants of requests by the keys that the requests carry.

Only digests of keys are kept, so that a key appears in no log, representation
or message between entries.
"""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale import routes

__all__ = [
    "Credentials",
    "Identified",
    "Identity",
    "Stale",
    "Unidentified",
    "digest_of",
]

DIGEST_BYTES = 16


def digest_of(key: bytes) -> str:
    """Returns the digest of a key, in hexadecimal digits."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Identified:
    """The request may be served.

    Attributes:
        tenant: Tenant that holds the key; None if the request needs no key
            and carries none.
        key_digest: Digest of the key; None without a tenant.
    """

    tenant: routes.Tenant | None = None
    key_digest: str | None = dataclasses.field(default=None, repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Unidentified:
    """The request needs a key, and no tenant holds the one it carries."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """The configuration is too old to accept keys by it."""


Identity = Identified | Unidentified | Stale


class Credentials:
    """Keys of one configuration.

    A key is looked up by its digest, so the duration of a look-up does not
    depend on how much of a key was guessed.

    Args:
        configuration: The configuration; None if none has been read.
    """

    def __init__(self, configuration: routes.Configuration | None) -> None:
        tenants = {} if configuration is None else configuration.tenants
        self._has_tenants = bool(tenants)
        self._owners = {
            digest: tenant
            for tenant in tenants.values()
            for digest in tenant.key_digests
        }

    @property
    def has_tenants(self) -> bool:
        """Whether requests carry the keys of tenants."""
        return self._has_tenants

    def holder_of(self, digest: str) -> routes.Tenant | None:
        """Returns the tenant that holds a key; None if there is none."""
        return self._owners.get(digest)

    def identify(
        self,
        route: routes.Route,
        key: bytes | None,
        *,
        is_current: bool,
    ) -> Identity:
        """Decides whose request it is.

        Args:
            route: Route of the request.
            key: Key that the request carries; None if there is none.
            is_current: Whether the configuration is recent enough to accept
                keys by it.
        """
        if not self._has_tenants:
            return Identified()
        digest = "" if key is None else digest_of(key)
        tenant = self.holder_of(digest)
        if tenant is None:
            return Unidentified() if route.needs_key else Identified()
        if not is_current:
            return Stale()
        return Identified(tenant, digest)

    def still_allows(self, digest: str) -> bool:
        """Whether the key of a request that was admitted is still held."""
        return not self._has_tenants or self.holder_of(digest) is not None
