import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.core.findings import Severity
from masticfork.core.manifest import (
    BackendServer,
    KeyHash,
    Limits,
    Manifest,
    Model,
    Operation,
    Pool,
    Rollout,
    Service,
    Team,
    Version,
    WorkClass,
)
from masticfork.settings.manifest import (
    manifest_object,
    parse_manifest,
    parse_manifest_object,
    render_manifest,
)

TEXT = json.dumps(
    {
        "teams": [
            {
                "name": "order-desk",
                "key_hashes": [{"salt": "00" * 8, "sha256": "a" * 64}],
                "allowed": ["linen", "wool@1"],
                "quality_target": 0.8,
                "services": ["orders"],
            },
            {
                "name": "quotes",
                "key_hashes": [{"salt": "01" * 8, "sha256": "a" * 64}],
                "allowed": ["linen@2"],
                "quality_target": 0.8,
            },
        ],
        "models": [
            {
                "name": "linen",
                "current": "1",
                "versions": [
                    {"id": "1", "pool": "a", "cost_per_1k_tokens": 1},
                    {"id": "linen@2", "pool": "a", "cost_per_1k_tokens": 1.5},
                    {"id": "3", "pool": "a", "cost_per_1k_tokens": 1},
                ],
            },
            {
                "name": "wool",
                "current": "1",
                "versions": [{"id": "1", "pool": "a", "cost_per_1k_tokens": 1}],
            },
        ],
        "pools": [
            {
                "name": "a",
                "servers": [{"name": "a1", "host": "10.0.0.1", "port": 1, "zone": "z"}],
            }
        ],
        "services": [
            {
                "name": "orders",
                "servers": [{"name": "s1", "host": "10.0.0.2", "port": 1, "zone": "z"}],
                "operations": [
                    {
                        "method": "POST",
                        "path": "/orders",
                        "idempotent": False,
                        "lookup": "/orders/{key}",
                    }
                ],
            }
        ],
        "rollouts": [
            {"name": "r", "model": "linen", "from_version": "1", "to_version": "2"}
        ],
        "withdrawn": ["linen@3"],
    }
)


def changed(path: str, value: Any) -> Any:
    """Return the base manifest with the value at a dotted path replaced or appended."""
    manifest = json.loads(TEXT)
    *parents, last = path.split(".")
    container = manifest
    for key in parents:
        container = container[int(key)] if key.isdigit() else container[key]
    if isinstance(container, list) and int(last) == len(container):
        container.append(value)
    else:
        container[int(last) if last.isdigit() else last] = value
    return manifest


TEAM = json.loads(TEXT)["teams"][0]
VERSION = json.loads(TEXT)["models"][0]["versions"][0]
SERVER = {"name": "a2", "host": "10.0.0.1", "port": 1, "zone": "z"}
ROLLOUT = {"name": "q", "model": "linen", "from_version": "1", "to_version": "2"}
OPERATION = {"method": "POST", "path": "/orders", "idempotent": True}

ERRORS = [
    ("teams.1.name", "order-desk", "duplicate_name", "teams[1].name"),
    ("teams.1.name", "a b", "name", "teams[1].name"),
    ("models.1.name", "linen", "duplicate_name", "models[1].name"),
    ("models.1.name", "auto", "reserved_name", "models[1].name"),
    ("models.0.versions.1.id", "1", "duplicate_name", "models[0].versions[1].id"),
    ("models.0.versions.0.id", "wool@1", "version_id", "models[0].versions[0].id"),
    ("models.0.versions.0.id", "a@b@c", "version_id", "models[0].versions[0].id"),
    ("models.0.versions.0.pool", "b", "pool_unknown", "models[0].versions[0].pool"),
    ("models.0.current", "9", "version_unknown", "models[0].current"),
    ("models.0.current", "3", "version_withdrawn", "models[0].current"),
    ("models.0.versions.0.adapter", "a\nb", "value", "models[0].versions[0].adapter"),
    ("withdrawn.0", "linen@9", "version_unknown", "withdrawn[0]"),
    ("withdrawn.0", "2", "version_unknown", "withdrawn[0]"),
    ("teams.0.allowed.0", "linen@9", "version_unknown", "teams[0].allowed[0]"),
    ("teams.0.allowed.0", "silk", "version_unknown", "teams[0].allowed[0]"),
    ("teams.0.allowed", "linen", "type", "teams[0].allowed"),
    ("teams.0.key_hashes", [], "key_missing", "teams[0].key_hashes"),
    ("teams.0.key_hashes.0.salt", "xy", "key_hash", "teams[0].key_hashes[0].salt"),
    ("teams.0.key_hashes.0.sha256", "a", "key_hash", "teams[0].key_hashes[0].sha256"),
    ("teams.1.key_hashes", TEAM["key_hashes"], "key_shared", "teams[1].key_hashes[0]"),
    ("teams.0.services.0", "quotes", "service_unknown", "teams[0].services[0]"),
    ("teams.0.classes", [], "class_missing", "teams[0].classes"),
    ("teams.0.classes", ["urgent"], "value", "teams[0].classes[0]"),
    ("teams.0.quality_target", 1.1, "value", "teams[0].quality_target"),
    ("teams.0.quality_target", "0.5", "type", "teams[0].quality_target"),
    ("teams.0.limits", {"in_flight": 0}, "value", "teams[0].limits.in_flight"),
    ("teams.0.color", 1, "unknown_key", "teams[0].color"),
    ("rollouts.0.model", "silk", "model_unknown", "rollouts[0].model"),
    ("rollouts.0.to_version", "9", "version_unknown", "rollouts[0].to_version"),
    ("rollouts.0.to_version", "1", "rollout_equal", "rollouts[0].to_version"),
    ("rollouts.0.to_version", "3", "version_withdrawn", "rollouts[0].to_version"),
    ("rollouts.0.max_unrated", 0, "value", "rollouts[0].max_unrated"),
    ("rollouts.0.steps", [0.5, 0.5, 1], "steps", "rollouts[0].steps"),
    ("rollouts.0.steps", [0.1, 0.5], "steps", "rollouts[0].steps"),
    ("rollouts.0.steps", [], "steps", "rollouts[0].steps"),
    ("rollouts.0.steps", [0, 1], "value", "rollouts[0].steps[0]"),
    ("rollouts.1", ROLLOUT, "rollout_overlap", "rollouts[1].from_version"),
    ("pools.0.servers.1", SERVER, "duplicate_address", "pools[0].servers[1]"),
    ("pools.0.servers.0.name", "s1", "duplicate_name", "services[0].servers[0].name"),
    ("pools.0.servers.0.host", "engine", "address", "pools[0].servers[0].host"),
    ("pools.0.servers.0.port", 0, "address", "pools[0].servers[0].port"),
    ("pools.0.servers.0.slots", 0, "value", "pools[0].servers[0].slots"),
    (
        "services.0.operations.1",
        OPERATION,
        "duplicate_operation",
        "services[0].operations[1]",
    ),
    (
        "services.0.operations.0.path",
        "/a/*/b",
        "path",
        "services[0].operations[0].path",
    ),
    (
        "services.0.operations.0.method",
        "post",
        "method",
        "services[0].operations[0].method",
    ),
    (
        "services.0.operations.0.lookup",
        "/orders",
        "path",
        "services[0].operations[0].lookup",
    ),
]


class TestChecks:
    def test_base_manifest_has_no_findings(self):
        manifest, findings = parse_manifest(TEXT, "m").unwrap()
        assert findings == ()
        assert [v.id for v in manifest.models[0].versions] == [
            "linen@1",
            "linen@2",
            "linen@3",
        ]
        assert manifest.models[0].current == "linen@1"
        assert manifest.rollouts[0].to_version == "linen@2"

    @pytest.mark.parametrize(("path", "value", "code", "place"), ERRORS)
    def test_reports_each_fault(self, path: str, value: Any, code: str, place: str):
        text = json.dumps(changed(path, value), indent=1)
        findings = parse_manifest(text, "m").unwrap_err()
        errors = [f for f in findings if f.severity is Severity.ERROR]
        assert (code, place) in [(f.code, f.place.path) for f in errors]
        assert all(f.place.line is not None for f in findings)

    @pytest.mark.parametrize(
        ("path", "value", "code"),
        [
            ("services.0.operations.0.lookup", None, "no_lookup"),
            ("pools.0.servers", [], "no_server"),
            ("teams.1.allowed", ["linen@3"], "no_usable_version"),
            ("teams.1.allowed", [], "nothing_allowed"),
            ("teams.0.allowed", ["linen", "linen"], "duplicate"),
        ],
    )
    def test_accepts_manifest_with_warnings(self, path: str, value: Any, code: str):
        _, findings = parse_manifest_object(changed(path, value), "m").unwrap()
        assert [(f.code, f.severity) for f in findings] == [(code, Severity.WARNING)]

    def test_reports_all_findings_in_document_order(self):
        manifest = changed("models.0.current", "9")
        manifest["teams"][1]["quality_target"] = 2
        manifest["withdrawn"] = ["silk@1"]
        text = json.dumps(manifest, indent=1)
        findings = parse_manifest(text, "m").unwrap_err()
        assert [f.place.path for f in findings] == [
            "teams[1].quality_target",
            "models[0].current",
            "withdrawn[0]",
        ]

    @given(st.recursive(st.none() | st.text() | st.integers(), st.lists))
    def test_never_raises(self, value: Any):
        for path in ("teams", "models.0", "teams.0.limits", "rollouts.0.steps"):
            parse_manifest_object(changed(path, value), "m")


NAMES = st.from_regex(r"[a-z][a-z0-9.-]{0,5}", fullmatch=True)
SHARES = st.floats(0, 1)


@st.composite
def manifests(draw: st.DrawFn) -> Manifest:
    model_names = draw(st.lists(NAMES, min_size=1, max_size=3, unique=True))
    model_names = [name for name in model_names if name != "auto"] or ["m"]
    models = []
    for name in model_names:
        version_names = draw(st.lists(NAMES, min_size=2, max_size=3, unique=True))
        versions = tuple(
            Version(f"{name}@{v}", "p", draw(st.floats(0, 9)), draw(st.none() | NAMES))
            for v in version_names
        )
        models.append(Model(name, versions, versions[0].id))
    teams = tuple(
        Team(
            name,
            (KeyHash(f"{index:016x}", "0" * 64),),
            tuple(draw(st.lists(st.sampled_from(model_names), unique=True))),
            draw(SHARES),
            tuple(draw(st.lists(st.sampled_from(WorkClass), min_size=1, unique=True))),
            Limits(draw(st.none() | st.floats(0.1, 9)), None, draw(st.none())),
            ("s",),
        )
        for index, name in enumerate(draw(st.lists(NAMES, max_size=3, unique=True)))
    )
    first = models[0].versions
    rollout = Rollout("r", models[0].name, first[0].id, first[1].id, (0.1, 1.0))
    operation = Operation("POST", "/orders", False, lookup="/orders/{key}")
    return Manifest(
        teams,
        tuple(models),
        (Pool("p", (BackendServer("b1", "10.0.0.1", 80, "z"),)),),
        (Service("s", (BackendServer("b2", "::1", 80, "z"),), (operation,)),),
        draw(st.sampled_from([(), (rollout,)])),
        (),
    )


class TestRender:
    @given(manifests())
    def test_round_trip(self, manifest: Manifest):
        text = render_manifest(manifest)
        reparsed, _ = parse_manifest(text, "m").unwrap()
        assert reparsed == manifest
        assert render_manifest(reparsed) == text
        assert parse_manifest_object(manifest_object(manifest), "m").is_ok()

    def test_key_order_does_not_change_rendering(self):
        decoded = json.loads(TEXT)
        reordered_text = json.dumps(dict(reversed(decoded.items())))
        original, _ = parse_manifest(TEXT, "m").unwrap()
        reordered, _ = parse_manifest(reordered_text, "m").unwrap()
        assert render_manifest(original) == render_manifest(reordered)
