from pathlib import Path

import attrs
import pytest

from masticfork.settings.settings import (
    LogLevel,
    Role,
    Settings,
    load_settings,
    parse_settings,
)

SECRET = "ab" * 32
ADMIN = f'{{name: "ana", role: "operator", salt: "{"00" * 16}", sha256: "{"0" * 64}"}}'
MINIMAL = f"""{{
  // One host for a trial.
  host: "entry-1",
  zone: "zilina-a",
  platform: {{embedded: true}},
  admin_keys: [{ADMIN}],
}}"""


def parse_valid(text: str) -> Settings:
    return parse_settings(text, "s.jsonc").unwrap()


def codes_and_paths(text: str) -> list[tuple[str, str]]:
    findings = parse_settings(text, "s.jsonc").unwrap_err()
    return [(finding.code, finding.place.path) for finding in findings]


def with_line(line: str) -> str:
    return MINIMAL.replace("// One host for a trial.", line)


class TestMinimalFile:
    def test_uses_defaults(self):
        settings = parse_valid(MINIMAL)
        assert settings.entry.port == 8080
        assert settings.log_level is LogLevel.INFO
        assert settings.admin_keys[0].role is Role.OPERATOR

    def test_repr_hides_secrets(self):
        text = with_line(f'session_keys: [{{id: "a", secret_hex: "{SECRET}"}}],')
        settings = parse_valid(text)
        assert settings.session_keys[0].secret == bytes.fromhex(SECRET)
        assert SECRET not in repr(settings)


class TestFindings:
    @pytest.mark.parametrize(
        ("line", "expected"),
        [
            ('entry: {port: "80"},', ("type", "entry.port")),
            ("entry: {port: 70000},", ("address", "entry.port")),
            ("entry: {port: true},", ("type", "entry.port")),
            ('entry: {host: "localhost"},', ("address", "entry.host")),
            ("entry: {prot: 80},", ("unknown_key", "entry.prot")),
            ("entry: [],", ("type", "entry")),
            ("entry: {threads: 0},", ("value", "entry.threads")),
            ("entry: {idle_timeout_seconds: 0},", ("value", "entry.idle_")),
            ("admin: {port: 8080},", ("port_conflict", "admin.port")),
            ('peer: {host: "0.0.0.0"},', ("address", "peer.host")),
            ('peer: {seeds: ["10.0.0.1"]},', ("address", "peer.seeds[0]")),
            ('peer: {seeds: "10.0.0.1:1"},', ("type", "peer.seeds")),
            ('log_level: "loud",', ("value", "log_level")),
            ('rating_url: "ftp://x",', ("address", "rating_url")),
            ("retention_days: NaN,", ("value", "retention_days")),
            ('region: "",', ("name", "region")),
            (
                'session_keys: [{id: "a", secret_hex: "abcd"}],',
                ("secret", "session_keys[0].secret_hex"),
            ),
            ('session_keys: [{id: "a"}],', ("missing_key", "session_keys[0]")),
        ],
    )
    def test_reports_each_fault_with_its_path(
        self, line: str, expected: tuple[str, str]
    ):
        found_faults = codes_and_paths(with_line(line))
        assert len(found_faults) == 1
        assert found_faults[0][0] == expected[0]
        assert found_faults[0][1].startswith(expected[1])

    def test_reports_all_faults_at_once(self):
        text = '{zone: 3, platform: {timeout_seconds: "2"}, log_level: 1, x: 2}'
        assert set(codes_and_paths(text)) == {
            ("missing_key", ""),
            ("type", "zone"),
            ("type", "platform.timeout_seconds"),
            ("value", "log_level"),
            ("unknown_key", "x"),
        }

    def test_requires_keys_with_shared_platform(self):
        text = MINIMAL.replace("embedded: true", 'url: "http://127.0.0.1:1"')
        assert codes_and_paths(text) == [
            ("missing_key", "session_keys"),
            ("missing_key", "peer.keys"),
        ]

    def test_findings_have_line_and_column(self):
        findings = parse_settings(with_line("region: 7,"), "s.jsonc").unwrap_err()
        assert str(findings[0]).startswith("s.jsonc:2:11 region: error: ")

    def test_reports_unreadable_file(self, tmp_path: Path):
        findings = load_settings(tmp_path / "none.jsonc").unwrap_err()
        assert [finding.code for finding in findings] == ["unreadable"]


OPERATIONS_PAGE = Path(__file__).resolve().parents[2] / "docs" / "OPERATIONS.md"


class TestReference:
    def test_operations_page_names_every_setting(self):
        page_text = OPERATIONS_PAGE.read_text()
        for field in attrs.fields(Settings):
            if attrs.has(field.type):
                names = [f"{field.name}.{f.name}" for f in attrs.fields(field.type)]
            else:
                names = [field.name]
            missing = [name for name in names if f"`{name}`" not in page_text]
            assert missing == []
