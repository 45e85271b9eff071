"""Tenants of requests while keys are added and withdrawn."""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies

from sesamevale.policy.configuration import credentials
from tests.builders import gateway
from tests.builders import hypothesis_settings

KEYS = [f"key-{number}" for number in range(6)]
TENANTS = ["acme", "bolt", "cork"]
OPEN = gateway.route(needs_key=False)
CLOSED = gateway.route()


class CredentialsMachine(stateful.RuleBasedStateMachine):
    """The oracle keeps the keys of each tenant in clear."""

    def __init__(self):
        super().__init__()
        self.owners: dict[str, str] = {}
        self.load()

    def load(self):
        self.credentials = credentials.Credentials(
            gateway.configuration(
                tenants=[
                    gateway.tenant(
                        name,
                        [
                            k
                            for k, owner in self.owners.items()
                            if owner == name
                        ],
                    )
                    for name in TENANTS
                ]
            )
        )

    @stateful.rule(
        key=strategies.sampled_from(KEYS), name=strategies.sampled_from(TENANTS)
    )
    def give_key(self, key, name):
        self.owners[key] = name
        self.load()

    @stateful.rule(key=strategies.sampled_from(KEYS))
    def withdraw_key(self, key):
        self.owners.pop(key, None)
        self.load()

    @stateful.rule(
        key=strategies.sampled_from([*KEYS, "", "KEY-1", "key-1 "]),
        is_current=strategies.booleans(),
        route=strategies.sampled_from([OPEN, CLOSED]),
    )
    def identify(self, key, is_current, route):
        identity = self.credentials.identify(
            route, key.encode(), is_current=is_current
        )
        owner = self.owners.get(key)
        if owner is None:
            refused = isinstance(identity, credentials.Unidentified)
            assert refused == route.needs_key
            assert refused or identity.tenant is None
        elif not is_current:
            assert isinstance(identity, credentials.Stale)
        else:
            assert isinstance(identity, credentials.Identified)
            assert identity.tenant is not None
            assert identity.tenant.name == owner

    @stateful.rule(key=strategies.sampled_from(KEYS))
    def check_again(self, key):
        digest = credentials.digest_of(key.encode())
        assert self.credentials.still_allows(digest) == (key in self.owners)


TestCredentials = CredentialsMachine.TestCase
TestCredentials.settings = hypothesis_settings.machine_settings(100, 30)


def test_requests_need_no_key_without_tenants():
    found = credentials.Credentials(gateway.configuration())
    identity = found.identify(CLOSED, None, is_current=False)
    assert identity == credentials.Identified()
    assert found.still_allows("anything")


def test_keys_appear_in_no_representation():
    tenant = gateway.tenant(keys=("secret-key",))
    configuration = gateway.configuration(tenants=[tenant])
    found = credentials.Credentials(configuration)
    identity = found.identify(CLOSED, b"secret-key", is_current=True)
    request = gateway.request(tenant=tenant, key_digest=identity.key_digest)
    for each in (configuration, tenant, identity, request):
        assert "secret-key" not in repr(each)
        assert tenant.key_digests[0] not in repr(each)
