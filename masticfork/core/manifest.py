"""The records of a manifest: what operators declare, immutable once checked."""

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

# The model name with which a caller asks for the cheapest plan at the team's quality.
AUTO_MODEL = ModelName("auto")


class WorkClass(enum.Enum):
    """Kinds of work, most urgent first."""

    LOOKUP = "lookup"
    RESERVATION = "reservation"
    DRAFTING = "drafting"


@attrs.frozen
class Limits:
    """What a team may use over all hosts; none means no limit."""

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    in_flight: int | None = None


@attrs.frozen
class KeyHash:
    """A salted SHA-256 of a caller's key, both in hexadecimal."""

    salt: str
    sha256: str


@attrs.frozen
class Team:
    """A team of callers with what it may use and what it expects."""

    name: TeamName
    key_hashes: tuple[KeyHash, ...]
    # Allowed versions; a model without "@" allows all of its versions.
    allowed: tuple[str, ...]
    # Least mean rating of answers, from 0 to 1.
    quality_target: float
    classes: tuple[WorkClass, ...] = tuple(WorkClass)
    limits: Limits = attrs.field(factory=Limits)
    services: tuple[ServiceName, ...] = ()


@attrs.frozen
class Version:
    """One version of a model, served by one pool."""

    id: VersionId
    pool: PoolName
    # Price of 1,000 tokens generated, in the operator's currency.
    cost_per_1k_tokens: float
    adapter: str | None = None
    # Rating expected before any evidence, from 0 to 1.
    expected_quality: float = 0.5


@attrs.frozen
class Model:
    """A model, its versions and the one that new sessions get."""

    name: ModelName
    versions: tuple[Version, ...]
    current: VersionId


@attrs.frozen
class BackendServer:
    """An engine or a plain service process that does the work."""

    name: ServerName
    host: str
    port: int
    zone: ZoneName
    # Streams or calls that it runs at once.
    slots: int = 8
    # Whether it refuses an order that carries an old fencing number.
    checks_fencing: bool = False


@attrs.frozen
class Pool:
    """Engines that serve the same versions."""

    name: PoolName
    servers: tuple[BackendServer, ...]


@attrs.frozen
class Operation:
    """One kind of call of a plain service; `path` may end in `*`."""

    method: str
    path: str
    idempotent: bool
    work_class: WorkClass = WorkClass.LOOKUP
    # Path of a GET that tells the outcome; `{key}` is the idempotency key.
    lookup: str | None = None


@attrs.frozen
class Service:
    """A plain service with its servers and operations."""

    name: ServiceName
    servers: tuple[BackendServer, ...]
    operations: tuple[Operation, ...] = ()


@attrs.frozen
class Rollout:
    """The declared entry of a new version in place of another."""

    name: RolloutName
    model: ModelName
    from_version: VersionId
    to_version: VersionId
    # Shares of new sessions, growing, the last one 1.
    steps: tuple[float, ...] = (0.01, 0.1, 0.5, 1.0)
    # Answers of the new version that may await their rating, over all hosts.
    max_unrated: int = 20


@attrs.frozen
class Manifest:
    """Everything that operators declare, submitted and applied as a whole."""

    teams: tuple[Team, ...]
    models: tuple[Model, ...]
    pools: tuple[Pool, ...]
    services: tuple[Service, ...] = ()
    rollouts: tuple[Rollout, ...] = ()
    withdrawn: tuple[VersionId, ...] = ()
