"""The settings of a daemon."""

import enum
from pathlib import Path

import attrs
from result import Err, Result

from masticfork.core.findings import Findings
from masticfork.settings.jsonc import Document, load_file, load_text
from masticfork.settings.settings_checks import check_settings
from masticfork.settings.structure import make_converter, structure
from masticfork.settings.values import (
    BaseUrl,
    Count,
    IpAddress,
    ListenPort,
    Name,
    SaltHex,
    Seconds,
    SecretHex,
    Sha256Hex,
    SocketAddress,
    register_values,
)


class Role(enum.Enum):
    """What an administrator may do."""

    VIEWER = "viewer"
    OPERATOR = "operator"


class LogLevel(enum.Enum):
    """The least severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen
class SecretKey:
    """A named secret; it is left out of every text form."""

    id: Name
    secret_hex: SecretHex = attrs.field(repr=False)

    @property
    def secret(self) -> bytes:
        """Return the secret as bytes."""
        return bytes.fromhex(self.secret_hex)


@attrs.frozen
class AdminKey:
    """The salted hash of an administrator's key."""

    name: Name
    role: Role
    salt: SaltHex
    sha256: Sha256Hex
    # Teams that the key is for; none means all.
    teams: tuple[Name, ...] = ()


@attrs.frozen
class EntrySettings:
    """The listener for callers."""

    host: IpAddress = "127.0.0.1"
    port: ListenPort = 8080
    threads: Count = 600
    max_body_bytes: Count = 4 << 20
    max_header_count: Count = 64
    # Greatest size of all headers together.
    max_header_bytes: Count = 32 << 10
    idle_timeout_seconds: Seconds = 60.0


@attrs.frozen
class AdminSettings:
    """The listener for administrators."""

    host: IpAddress = "127.0.0.1"
    port: ListenPort = 8081


@attrs.frozen
class PeerSettings:
    """The listener for other daemons; the first key signs, all verify."""

    host: IpAddress = "127.0.0.1"
    port: ListenPort = 8082
    # The address that other daemons dial; by default host and port.
    advertise: SocketAddress | None = None
    keys: tuple[SecretKey, ...] = ()
    seeds: tuple[SocketAddress, ...] = ()


@attrs.frozen
class PlatformSettings:
    """The platform's object API, or one inside the daemon for a trial."""

    url: BaseUrl | None = None
    embedded: bool = False
    timeout_seconds: Seconds = 2.0
    # Least time between two writes of bills; 0 writes each batch at once.
    bill_interval_seconds: float = 0.05


@attrs.frozen
class ShutdownSettings:
    """The phases of a graceful shutdown."""

    # From being not ready until new work is refused.
    not_ready_seconds: Seconds = 5.0
    # From then until unfinished work is given up.
    finish_seconds: Seconds = 60.0


@attrs.frozen
class Settings:
    """Everything that one daemon is told at its start."""

    host: Name
    zone: Name
    region: Name = "default"
    entry: EntrySettings = attrs.field(factory=EntrySettings)
    admin: AdminSettings = attrs.field(factory=AdminSettings)
    peer: PeerSettings = attrs.field(factory=PeerSettings)
    platform: PlatformSettings = attrs.field(factory=PlatformSettings)
    host_list_url: BaseUrl | None = None
    rating_url: BaseUrl | None = None
    weight_store_url: BaseUrl | None = None
    # Keys of session tokens; the first one signs, all verify.
    session_keys: tuple[SecretKey, ...] = ()
    admin_keys: tuple[AdminKey, ...] = ()
    shutdown: ShutdownSettings = attrs.field(factory=ShutdownSettings)
    # How long the claim of a non-idempotent request is kept.
    retention_days: Seconds = 7.0
    # How long a host uses a configuration that nobody confirms.
    confirm_seconds: Seconds = 900.0
    log_level: LogLevel = LogLevel.INFO


def load_settings(path: Path) -> Result[Settings, Findings]:
    """Load and check a settings file; all findings come together."""
    return load_file(path).and_then(_settings_of)


def parse_settings(text: str, source: str) -> Result[Settings, Findings]:
    """Load and check settings from a text; all findings come together."""
    return load_text(text, source).and_then(_settings_of)


def _settings_of(document: Document) -> Result[Settings, Findings]:
    converter = make_converter()
    register_values(converter)
    structured = structure(document, Settings, converter)
    if isinstance(structured, Err):
        return structured
    found = tuple(map(document.finding, check_settings(structured.ok_value)))
    return Err(found) if found else structured
