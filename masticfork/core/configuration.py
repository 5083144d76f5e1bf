"""The manifest that is in effect, with indexes for routing decisions."""

import attrs

from masticfork.core.ids import (
    ModelName,
    PoolName,
    ServiceName,
    TeamName,
    VersionId,
    model_of,
)
from masticfork.core.manifest import Manifest, Model, Pool, Service, Team, Version


@attrs.frozen(eq=False)
class Configuration:
    """A validated manifest, numbered by the platform, with indexes by name."""

    # Version of the platform's object; a greater number is always newer.
    number: int
    submission_id: str
    manifest: Manifest
    teams: dict[TeamName, Team] = attrs.field(init=False)
    models: dict[ModelName, Model] = attrs.field(init=False)
    pools: dict[PoolName, Pool] = attrs.field(init=False)
    services: dict[ServiceName, Service] = attrs.field(init=False)
    versions: dict[VersionId, Version] = attrs.field(init=False)
    withdrawn: frozenset[VersionId] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        put = object.__setattr__
        manifest = self.manifest
        put(self, "teams", {row.name: row for row in manifest.teams})
        put(self, "models", {row.name: row for row in manifest.models})
        put(self, "pools", {row.name: row for row in manifest.pools})
        put(self, "services", {row.name: row for row in manifest.services})
        versions = (v for model in manifest.models for v in model.versions)
        put(self, "versions", {version.id: version for version in versions})
        put(self, "withdrawn", frozenset(manifest.withdrawn))

    def allows(self, team: Team, version: VersionId) -> bool:
        """Return whether the team may use the version, even if it is withdrawn."""
        return version in team.allowed or model_of(version) in team.allowed

    def may_use(self, team: Team, version: VersionId) -> bool:
        """Return whether new requests of the team may be sent to the version."""
        known = version in self.versions and version not in self.withdrawn
        return known and self.allows(team, version)
