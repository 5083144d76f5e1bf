"""Checks of a manifest as a whole: teams, models and rollouts."""

import math
from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise

from masticfork.core.ids import VersionId, model_of
from masticfork.core.manifest import (
    AUTO_MODEL,
    Limits,
    Manifest,
    Model,
    Rollout,
    Team,
    Version,
)
from masticfork.settings.faults import Fault, repeated, warning
from masticfork.settings.server_checks import check_servers
from masticfork.settings.values import is_salt, is_sha256


def check_manifest(manifest: Manifest) -> Iterator[Fault]:
    """Yield every fault of a manifest whose version IDs are all qualified."""
    yield from _check_duplicate_names(manifest)
    yield from check_servers(manifest)
    for index, model in enumerate(manifest.models):
        yield from _check_model(model, manifest, f"models[{index}]")
    for index, team in enumerate(manifest.teams):
        yield from _check_team(team, manifest, f"teams[{index}]")
    yield from _check_shared_keys(manifest)
    for index, rollout in enumerate(manifest.rollouts):
        yield from _check_rollout(rollout, manifest, f"rollouts[{index}]")
    yield from _check_overlapping_rollouts(manifest)
    yield from _check_withdrawn(manifest)


def _check_duplicate_names(manifest: Manifest) -> Iterator[Fault]:
    lists: dict[str, list[str]] = {
        "teams": [team.name for team in manifest.teams],
        "models": [model.name for model in manifest.models],
        "pools": [pool.name for pool in manifest.pools],
        "services": [service.name for service in manifest.services],
        "rollouts": [rollout.name for rollout in manifest.rollouts],
    }
    for path, names in lists.items():
        for index in repeated(names):
            message = f"{names[index]!r} is declared twice"
            yield Fault("duplicate_name", f"{path}[{index}].name", message)


def _declared_versions(manifest: Manifest) -> set[VersionId]:
    return {v.id for model in manifest.models for v in model.versions}


def _check_model(model: Model, manifest: Manifest, path: str) -> Iterator[Fault]:
    if model.name == AUTO_MODEL:
        message = f"{AUTO_MODEL!r} is reserved: it requests automatic choice of a model"
        yield Fault("reserved_name", f"{path}.name", message)
    known = [version.id for version in model.versions]
    for index in repeated(known):
        key_path = f"{path}.versions[{index}].id"
        yield Fault("duplicate_name", key_path, f"{known[index]!r} is declared twice")
    if model.current not in known:
        message = f"{model.current!r} is not a version of {model.name!r}"
        yield Fault("version_unknown", f"{path}.current", message)
    elif model.current in manifest.withdrawn:
        message = f"{model.current!r} is withdrawn"
        yield Fault("version_withdrawn", f"{path}.current", message)
    pools = {pool.name for pool in manifest.pools}
    for index, version in enumerate(model.versions):
        key_path = f"{path}.versions[{index}]"
        if model_of(version.id) != model.name:
            message = f"{version.id!r} is not a version ID of model {model.name!r}"
            yield Fault("version_id", f"{key_path}.id", message)
        if version.pool not in pools:
            message = f"no pool {version.pool!r} is declared"
            yield Fault("pool_unknown", f"{key_path}.pool", message)
        yield from _check_version_values(version, key_path)


def _check_version_values(version: Version, path: str) -> Iterator[Fault]:
    if not version.cost_per_1k_tokens >= 0:
        key_path = f"{path}.cost_per_1k_tokens"
        yield Fault("value", key_path, "expected a cost of at least 0")
    yield from _check_fraction(version.expected_quality, f"{path}.expected_quality")
    if version.adapter is not None and not (
        version.adapter and version.adapter.isprintable()
    ):
        yield Fault("value", f"{path}.adapter", "expected printable text")


def _check_fraction(value: float, path: str) -> Iterator[Fault]:
    if not 0 <= value <= 1:
        yield Fault("value", path, "expected a number from 0 to 1")


def _check_team(team: Team, manifest: Manifest, path: str) -> Iterator[Fault]:
    if not team.key_hashes:
        message = f"team {team.name!r} has no key"
        yield Fault("key_missing", f"{path}.key_hashes", message)
    for index, key_hash in enumerate(team.key_hashes):
        key_path = f"{path}.key_hashes[{index}]"
        if not is_salt(key_hash.salt):
            message = "expected 8 or more bytes in hexadecimal"
            yield Fault("key_hash", f"{key_path}.salt", message)
        if not is_sha256(key_hash.sha256):
            message = "expected 64 lower-case hexadecimal digits"
            yield Fault("key_hash", f"{key_path}.sha256", message)
    yield from _check_fraction(team.quality_target, f"{path}.quality_target")
    yield from _check_limits(team.limits, f"{path}.limits")
    yield from _check_allowed(team, manifest, path)
    services = {service.name for service in manifest.services}
    for index, service in enumerate(team.services):
        if service not in services:
            message = f"no service {service!r} is declared"
            yield Fault("service_unknown", f"{path}.services[{index}]", message)
    if not team.classes:
        message = f"team {team.name!r} has no work class"
        yield Fault("class_missing", f"{path}.classes", message)
    for name in ("allowed", "services", "classes"):
        for index in repeated(getattr(team, name)):
            yield warning("duplicate", f"{path}.{name}[{index}]", "duplicate entry")


def _check_limits(limits: Limits, path: str) -> Iterator[Fault]:
    for name in ("requests_per_second", "tokens_per_second", "in_flight"):
        value = getattr(limits, name)
        if value is not None and not 0 < value < math.inf:
            yield Fault(
                "value", f"{path}.{name}", "expected a finite number greater than 0"
            )


def _check_allowed(team: Team, manifest: Manifest, path: str) -> Iterator[Fault]:
    versions = _declared_versions(manifest)
    models = {model.name for model in manifest.models}
    for index, allowed in enumerate(team.allowed):
        if allowed not in versions and allowed not in models:
            kind = "version" if "@" in allowed else "model"
            message = f"no {kind} {allowed!r} is declared"
            yield Fault("version_unknown", f"{path}.allowed[{index}]", message)
    usable = versions - set(manifest.withdrawn)
    reachable = {v for v in usable if {v, model_of(v)} & set(team.allowed)}
    if team.allowed and not reachable:
        message = (
            f"team {team.name!r} may use no version that is declared and not withdrawn"
        )
        yield warning("no_usable_version", f"{path}.allowed", message)
    if not team.allowed and not team.services:
        message = f"team {team.name!r} may use neither a model nor a service"
        yield warning("nothing_allowed", path, message)


def _check_shared_keys(manifest: Manifest) -> Iterator[Fault]:
    owners: dict[tuple[str, str], list[tuple[str, str]]] = defaultdict(list)
    for team_index, team in enumerate(manifest.teams):
        for index, key_hash in enumerate(team.key_hashes):
            path = f"teams[{team_index}].key_hashes[{index}]"
            owners[key_hash.salt, key_hash.sha256].append((team.name, path))
    for uses in owners.values():
        for _, path in uses[1:]:
            message = f"the key hash is also used by team {uses[0][0]!r}"
            yield Fault("key_shared", path, message)


def _check_rollout(rollout: Rollout, manifest: Manifest, path: str) -> Iterator[Fault]:
    models = {model.name: model for model in manifest.models}
    model = models.get(rollout.model)
    if model is None:
        message = f"no model {rollout.model!r} is declared"
        yield Fault("model_unknown", f"{path}.model", message)
    else:
        known = {version.id for version in model.versions}
        for name in ("from_version", "to_version"):
            version = getattr(rollout, name)
            if version not in known:
                message = f"{version!r} is not a version of {rollout.model!r}"
                yield Fault("version_unknown", f"{path}.{name}", message)
    if rollout.from_version == rollout.to_version:
        message = "the rollout replaces a version with itself"
        yield Fault("rollout_equal", f"{path}.to_version", message)
    if rollout.to_version in manifest.withdrawn:
        message = f"{rollout.to_version!r} is withdrawn"
        yield Fault("version_withdrawn", f"{path}.to_version", message)
    if rollout.max_unrated < 1:
        yield Fault("value", f"{path}.max_unrated", "expected at least 1")
    yield from _check_steps(rollout.steps, f"{path}.steps")


def _check_steps(steps: tuple[float, ...], path: str) -> Iterator[Fault]:
    for index, step in enumerate(steps):
        if not 0 < step <= 1:
            message = "expected a share greater than 0 and at most 1"
            yield Fault("value", f"{path}[{index}]", message)
    if any(after <= before for before, after in pairwise(steps)):
        yield Fault("steps", path, "the steps must be strictly increasing")
    if not steps or steps[-1] != 1:
        yield Fault("steps", path, "the last step must be 1")


def _check_overlapping_rollouts(manifest: Manifest) -> Iterator[Fault]:
    sources = [(rollout.model, rollout.from_version) for rollout in manifest.rollouts]
    for index in repeated(sources):
        message = f"another rollout also replaces {sources[index][1]!r}"
        yield Fault("rollout_overlap", f"rollouts[{index}].from_version", message)


def _check_withdrawn(manifest: Manifest) -> Iterator[Fault]:
    known = _declared_versions(manifest)
    for index, version in enumerate(manifest.withdrawn):
        if version not in known:
            message = f"no version {version!r} is declared; write MODEL@VERSION"
            yield Fault("version_unknown", f"withdrawn[{index}]", message)
    for index in repeated(manifest.withdrawn):
        yield warning("duplicate", f"withdrawn[{index}]", "duplicate entry")
