import pytest
from result import Err

from masticfork.core.backend_servers import Address
from masticfork.platform.settings_file import load_settings

VALID_SETTINGS = """
node = "front-a-1"
role = "entry"
zone = "a"
internal_ports = [7340, 7355]
seeds = ["10.1.0.40:8229", "10.2.0.29:8229"]
something_new = 3
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
control = "10.1.0.40:8229"
[limits]
memory_mb = 300
file_descriptors = 4100
[bounds]
drain_ms = 2000
grace_s = 8
retry_budget_ratio = 0.9
[platform]
address = "10.200.1.7:8223"
"""


@pytest.fixture
def load(tmp_path):
    def write_and_load(text):
        path = tmp_path / "node.toml"
        path.write_text(text)
        return load_settings(path)

    return write_and_load


class TestLoadSettings:
    def test_reads_a_valid_file_and_ignores_unknown_fields(self, load):
        settings = load(VALID_SETTINGS).ok_value
        assert settings.host == "front-a-1"
        assert settings.front == Address("10.1.0.40", 8227)
        assert settings.seeds == ("10.1.0.40", "10.2.0.29")
        assert (settings.bounds.drain, settings.bounds.grace) == (2.0, 8.0)

    def test_missing_bounds_and_seeds_have_defaults(self, load):
        text = VALID_SETTINGS.replace("seeds", "other").replace("[bounds]", "[ignored]")
        settings = load(text).ok_value
        assert settings.seeds == ()
        assert settings.bounds.grace == 8.0

    def test_parts_that_only_some_deployments_have(self, load):
        plain = load(VALID_SETTINGS).ok_value
        assert (plain.bounds.evacuate, plain.scarce_room) == (None, False)
        text = VALID_SETTINGS.replace(
            "something_new = 3", 'contracts = ["base", "pressure"]'
        ).replace("drain_ms = 2000", "drain_ms = 2000\nevacuate_ms = 5000")
        settings = load(text + '[zones]\na = "north"\nb = "south"\n').ok_value
        assert (settings.bounds.evacuate, settings.scarce_room) == (5.0, True)
        assert settings.zone_regions == {"a": "north", "b": "south"}

    @pytest.mark.parametrize(
        ("old", "new", "message"),
        [
            ('node = "front-a-1"', "", "node is missing"),
            ('zone = "a"', "zone = 3", "zone is not a string"),
            ("10.1.0.40:8227", "nowhere", "'nowhere' is not HOST:PORT"),
            ("[7340, 7355]", "[7340]", "two ports"),
            ("[limits]", "[limits", ""),
            ("drain_ms", "evacuate_ms = 'x'\ndrain_ms", "evacuate_ms is not a number"),
            ("[limits]", "[zones]\na = 3\n[limits]", "a is not a string"),
        ],
    )
    def test_malformed_file_is_a_finding_with_its_place(self, load, old, new, message):
        loaded = load(VALID_SETTINGS.replace(old, new))
        assert isinstance(loaded, Err)
        assert message in loaded.err_value.message
        assert loaded.err_value.place.source.endswith("node.toml")

    def test_missing_file_is_a_finding(self, tmp_path):
        assert isinstance(load_settings(tmp_path / "none.toml"), Err)
