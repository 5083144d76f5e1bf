"""Parse, check and render manifests."""

import json
from typing import Any

import attrs
import cattrs
from result import Err, Ok, Result

from masticfork.core import ids
from masticfork.core.findings import Finding, Findings, has_errors
from masticfork.core.manifest import Manifest, Model, Rollout
from masticfork.settings.jsonc import Document, load_text
from masticfork.settings.manifest_checks import check_manifest
from masticfork.settings.structure import (
    ValueFault,
    make_converter,
    require_text,
    structure,
)
from masticfork.settings.values import NAME_RULE, is_name

# A manifest with warnings, or the errors and warnings that refuse it.
Parsed = Result[tuple[Manifest, Findings], Findings]

_NAMES = (
    ids.ZoneName,
    ids.TeamName,
    ids.ModelName,
    ids.PoolName,
    ids.ServerName,
    ids.ServiceName,
    ids.RolloutName,
)


def parse_manifest(text: str, source: str) -> Parsed:
    """Parse and check a manifest; all findings come together."""
    return load_text(text, source).and_then(_checked)


def parse_manifest_object(value: Any, source: str) -> Parsed:
    """Check a manifest that is decoded already; findings have key paths only."""
    return _checked(Document(value, source, {}))


def manifest_object(manifest: Manifest) -> dict[str, Any]:
    """Return the manifest as the JSON object that `render_manifest` shows."""
    plain: dict[str, Any] = json.loads(render_manifest(manifest))
    return plain


def render_manifest(manifest: Manifest) -> str:
    """Render a manifest as JSON; equal manifests give equal texts."""
    plain = _converter().unstructure(manifest)
    return json.dumps(plain, indent=2, sort_keys=True, ensure_ascii=False) + "\n"


def _checked(document: Document) -> Parsed:
    structured = structure(document, Manifest, _converter())
    if isinstance(structured, Err):
        return structured
    manifest = with_full_ids(structured.ok_value)
    found = tuple(sorted(map(document.finding, check_manifest(manifest)), key=_order))
    return Err(found) if has_errors(found) else Ok((manifest, found))


def _order(finding: Finding) -> tuple[int, int]:
    return finding.place.line or 0, finding.place.column or 0


def with_full_ids(manifest: Manifest) -> Manifest:
    """Write out the versions that are given by their short name."""
    return attrs.evolve(
        manifest,
        models=tuple(map(_full_model, manifest.models)),
        rollouts=tuple(map(_full_rollout, manifest.rollouts)),
    )


def _full_model(model: Model) -> Model:
    versions = tuple(
        attrs.evolve(version, id=_full(model.name, version.id))
        for version in model.versions
    )
    return attrs.evolve(
        model, versions=versions, current=_full(model.name, model.current)
    )


def _full_rollout(rollout: Rollout) -> Rollout:
    return attrs.evolve(
        rollout,
        from_version=_full(rollout.model, rollout.from_version),
        to_version=_full(rollout.model, rollout.to_version),
    )


def _full(model: str, version: str) -> ids.VersionId:
    if "@" in version:
        return ids.VersionId(version)
    return ids.version_id(model, version)


def _converter() -> cattrs.Converter:
    converter = make_converter()
    for name in _NAMES:
        converter.register_structure_hook(name, _name)
    converter.register_structure_hook(ids.VersionId, _version)
    return converter


def _name(value: Any, _: Any) -> str:
    text = require_text(value)
    if not is_name(text):
        raise ValueFault("name", NAME_RULE)
    return text


def _version(value: Any, _: Any) -> str:
    text = require_text(value)
    parts = text.split("@")
    if len(parts) > 2 or not all(map(is_name, parts)):
        raise ValueFault("version_id", "expected VERSION or MODEL@VERSION")
    return text
