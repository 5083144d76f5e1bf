"""Records of the manifest that operators submit; immutable."""

import enum

import attrs

from masticfork.core.ids import (
    ModelName,
    PoolName,
    RolloutName,
    ServerName,
    ServiceName,
    TeamName,
    VersionId,
    ZoneName,
)

# Model name that requests the cheapest plan that meets the team's quality target.
AUTO_MODEL = ModelName("auto")


class WorkClass(enum.Enum):
    """Classes of work, most urgent first."""

    LOOKUP = "lookup"
    RESERVATION = "reservation"
    DRAFTING = "drafting"


@attrs.frozen
class Limits:
    """Limits of a team, summed over all hosts; None means unlimited."""

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    in_flight: int | None = None


@attrs.frozen
class KeyHash:
    """Salt and salted SHA-256 of a caller's key, both in hexadecimal."""

    salt: str
    sha256: str


@attrs.frozen
class Team:
    """A team of callers with its permissions, limits and quality target."""

    name: TeamName
    key_hashes: tuple[KeyHash, ...]
    # Allowed versions, as MODEL@VERSION; a bare MODEL allows all of its versions.
    allowed: tuple[str, ...]
    # Minimum mean rating of answers, from 0 to 1.
    quality_target: float
    classes: tuple[WorkClass, ...] = tuple(WorkClass)
    limits: Limits = attrs.field(factory=Limits)
    services: tuple[ServiceName, ...] = ()


@attrs.frozen
class Version:
    """A version of a model, served by one pool."""

    id: VersionId
    pool: PoolName
    # Price of 1,000 generated tokens, in the operator's currency.
    cost_per_1k_tokens: float
    adapter: str | None = None
    # Expected rating from 0 to 1 before any ratings are known (prior mean).
    expected_quality: float = 0.5


@attrs.frozen
class Model:
    """A model with its versions; new sessions get the current one."""

    name: ModelName
    versions: tuple[Version, ...]
    current: VersionId


@attrs.frozen
class BackendServer:
    """A model engine or a process of a plain service."""

    name: ServerName
    host: str
    port: int
    zone: ZoneName
    # Streams or calls that the server runs concurrently.
    slots: int = 8
    # Whether the server rejects requests with an outdated fencing token.
    checks_fencing: bool = False


@attrs.frozen
class Pool:
    """Engines that serve the same versions of models."""

    name: PoolName
    servers: tuple[BackendServer, ...]


@attrs.frozen
class Operation:
    """An operation of a plain service; `path` may end in the wildcard `*`."""

    method: str
    path: str
    idempotent: bool
    work_class: WorkClass = WorkClass.LOOKUP
    # Path of a GET that returns the outcome; `{key}` is the idempotency key.
    lookup: str | None = None


@attrs.frozen
class Service:
    """A service that serves no model, with its servers and operations."""

    name: ServiceName
    servers: tuple[BackendServer, ...]
    operations: tuple[Operation, ...] = ()


@attrs.frozen
class Rollout:
    """A declared gradual replacement of one version of a model by another."""

    name: RolloutName
    model: ModelName
    from_version: VersionId
    to_version: VersionId
    # Shares of new sessions on the new version; strictly increasing, the last one 1.
    steps: tuple[float, ...] = (0.01, 0.1, 0.5, 1.0)
    # Maximum number of unrated answers of the new version, over all hosts.
    max_unrated: int = 20


@attrs.frozen
class Manifest:
    """The complete declaration of the operators, submitted and applied atomically."""

    teams: tuple[Team, ...]
    models: tuple[Model, ...]
    pools: tuple[Pool, ...]
    services: tuple[Service, ...] = ()
    rollouts: tuple[Rollout, ...] = ()
    withdrawn: tuple[VersionId, ...] = ()
