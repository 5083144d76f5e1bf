from pathlib import Path

import pytest

from masticfork.core.manifest import KeyHash
from masticfork.settings.keys import key_matches
from masticfork.settings.manifest import parse_manifest
from masticfork.settings.settings import load_settings

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


class TestManifests:
    @pytest.mark.parametrize(
        ("name", "drafting", "order_desk"),
        [("platnosoft", 6, 3), ("instituto", 9, 3)],
    )
    def test_have_no_findings_and_expected_sizes(
        self, name: str, drafting: int, order_desk: int
    ):
        text = (EXAMPLES / f"{name}.jsonc").read_text()
        manifest, findings = parse_manifest(text, name).unwrap()
        assert findings == ()
        assert len(manifest.teams) == 10
        assert sum(len(pool.servers) for pool in manifest.pools) == drafting
        (orders,) = (s for s in manifest.services if s.name == "orders")
        assert len(orders.servers) == order_desk
        zones = {server.zone for server in orders.servers}
        assert len(zones) == 3
        for team in manifest.teams:
            assert key_matches(f"example-{team.name}", team.key_hashes[0])


class TestSettings:
    def test_are_valid(self):
        settings = load_settings(EXAMPLES / "settings.jsonc").unwrap()
        (admin,) = settings.admin_keys
        assert key_matches("example-admin", KeyHash(admin.salt, admin.sha256))
        assert [key.id for key in settings.peer.keys] == ["peer-2", "peer-1"]
