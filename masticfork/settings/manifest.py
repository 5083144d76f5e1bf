"""Parse, validate and render manifests."""

import functools
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
    InvalidValueError,
    make_converter,
    require_text,
    structure,
)
from masticfork.settings.values import NAME_RULE, is_name

# A valid manifest with its warnings, or the errors and warnings of an invalid one.
ParsedManifest = Result[tuple[Manifest, Findings], Findings]

_NAME_TYPES = (
    ids.ZoneName,
    ids.TeamName,
    ids.ModelName,
    ids.PoolName,
    ids.ServerName,
    ids.ServiceName,
    ids.RolloutName,
)


def parse_manifest(text: str, source: str) -> ParsedManifest:
    """Parse and validate a manifest; return all findings at once."""
    return load_text(text, source).and_then(_validate)


def parse_manifest_object(value: Any, source: str) -> ParsedManifest:
    """Validate a decoded manifest; findings have key paths but no lines."""
    return _validate(Document(value, source, {}))


def manifest_object(manifest: Manifest) -> dict[str, Any]:
    """Return the manifest as a JSON object, with the content of `render_manifest`."""
    json_object: dict[str, Any] = json.loads(render_manifest(manifest))
    return json_object


def render_manifest(manifest: Manifest) -> str:
    """Render a manifest as canonical JSON: equal manifests give equal texts."""
    unstructured = _converter().unstructure(manifest)
    return json.dumps(unstructured, indent=2, sort_keys=True, ensure_ascii=False) + "\n"


def _validate(document: Document) -> ParsedManifest:
    structured = structure(document, Manifest, _converter())
    if isinstance(structured, Err):
        return structured
    manifest = with_qualified_ids(structured.ok_value)
    findings = tuple(
        sorted(map(document.finding, check_manifest(manifest)), key=_by_position)
    )
    return Err(findings) if has_errors(findings) else Ok((manifest, findings))


def _by_position(finding: Finding) -> tuple[int, int]:
    return finding.place.line or 0, finding.place.column or 0


def with_qualified_ids(manifest: Manifest) -> Manifest:
    """Replace version names that lack a model by `MODEL@VERSION`."""
    return attrs.evolve(
        manifest,
        models=tuple(map(_qualify_model, manifest.models)),
        rollouts=tuple(map(_qualify_rollout, manifest.rollouts)),
    )


def _qualify_model(model: Model) -> Model:
    versions = tuple(
        attrs.evolve(version, id=_qualified_id(model.name, version.id))
        for version in model.versions
    )
    return attrs.evolve(
        model, versions=versions, current=_qualified_id(model.name, model.current)
    )


def _qualify_rollout(rollout: Rollout) -> Rollout:
    return attrs.evolve(
        rollout,
        from_version=_qualified_id(rollout.model, rollout.from_version),
        to_version=_qualified_id(rollout.model, rollout.to_version),
    )


def _qualified_id(model: str, version: str) -> ids.VersionId:
    if "@" in version:
        return ids.VersionId(version)
    return ids.version_id(model, version)


@functools.cache
def _converter() -> cattrs.Converter:
    converter = make_converter()
    for name in _NAME_TYPES:
        converter.register_structure_hook(name, _structure_name)
    converter.register_structure_hook(ids.VersionId, _structure_version_id)
    return converter


def _structure_name(value: Any, _: Any) -> str:
    text = require_text(value)
    if not is_name(text):
        raise InvalidValueError("name", NAME_RULE)
    return text


def _structure_version_id(value: Any, _: Any) -> str:
    text = require_text(value)
    parts = text.split("@")
    if len(parts) > 2 or not all(map(is_name, parts)):
        raise InvalidValueError("version_id", "expected VERSION or MODEL@VERSION")
    return text
