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
    """The minimum severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen
class SecretKey:
    """A named secret, which `repr` and `str` leave out."""

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
    # Teams that the key gives access to; empty means all.
    teams: tuple[Name, ...] = ()


@attrs.frozen
class EntrySettings:
    """The listener for callers."""

    host: IpAddress = "127.0.0.1"
    port: ListenPort = 8080
    threads: Count = 600
    max_body_bytes: Count = 4 << 20
    max_header_count: Count = 64
    # Maximum total size of all headers.
    max_header_bytes: Count = 32 << 10
    idle_timeout_seconds: Seconds = 60.0


@attrs.frozen
class AdminSettings:
    """The listener for administrators."""

    host: IpAddress = "127.0.0.1"
    port: ListenPort = 8081


@attrs.frozen
class PeerSettings:
    """The listener for other daemons; the first key signs, all keys verify."""

    host: IpAddress = "127.0.0.1"
    port: ListenPort = 8082
    # Address that other daemons connect to; by default host and port.
    advertise: SocketAddress | None = None
    keys: tuple[SecretKey, ...] = ()
    seeds: tuple[SocketAddress, ...] = ()


@attrs.frozen
class PlatformSettings:
    """The platform's object API, or one embedded in the daemon for trials."""

    url: BaseUrl | None = None
    embedded: bool = False
    timeout_seconds: Seconds = 2.0
    # Minimum time between two writes of bills; 0 writes each batch immediately.
    bill_interval_seconds: float = 0.05


@attrs.frozen
class ShutdownSettings:
    """The phases of a graceful shutdown."""

    # Time from reporting not ready until new requests are refused.
    not_ready_seconds: Seconds = 5.0
    # Time from then until unfinished requests are aborted.
    finish_seconds: Seconds = 60.0


@attrs.frozen
class Settings:
    """All settings of a daemon, read when it starts."""

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
    # Keys of session tokens; the first one signs, all keys verify.
    session_keys: tuple[SecretKey, ...] = ()
    admin_keys: tuple[AdminKey, ...] = ()
    shutdown: ShutdownSettings = attrs.field(factory=ShutdownSettings)
    # Retention of the claims of non-idempotent requests.
    retention_days: Seconds = 7.0
    # How long a host uses a configuration that neither platform nor peers confirm.
    confirm_seconds: Seconds = 900.0
    log_level: LogLevel = LogLevel.INFO


def load_settings(path: Path) -> Result[Settings, Findings]:
    """Load and validate a settings file; return all findings at once."""
    return load_file(path).and_then(_structure_and_check)


def parse_settings(text: str, source: str) -> Result[Settings, Findings]:
    """Parse and validate settings from a text; return all findings at once."""
    return load_text(text, source).and_then(_structure_and_check)


def _structure_and_check(document: Document) -> Result[Settings, Findings]:
    converter = make_converter()
    register_values(converter)
    structured = structure(document, Settings, converter)
    if isinstance(structured, Err):
        return structured
    findings = tuple(map(document.finding, check_settings(structured.ok_value)))
    return Err(findings) if findings else structured
