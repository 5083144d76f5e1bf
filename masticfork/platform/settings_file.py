"""Reads the platform's settings file."""

import tomllib
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from masticfork.core.backend_servers import Address
from masticfork.core.findings import Finding
from masticfork.platform.fields import (
    MalformedError,
    finding,
    number,
    rows,
    text,
    whole,
)
from masticfork.platform.server_format import decode_address


@attrs.frozen
class Bounds:
    """What the platform's rules allow, in seconds unless said otherwise."""

    # From the announcement that a server leaves to the last request to it.
    drain: float = 2.0
    # From SIGTERM to SIGKILL.
    grace: float = 8.0
    # Repeats for each request to a service, as a share.
    retry_share: float = 0.9
    # Repeats beyond the share, as a number, of all hosts together.
    retry_slack: float = 50.0
    # The window over which repeats are counted.
    retry_window: float = 10.0
    # Pause after which two requests of a session no longer belong together.
    session: float = 5.0
    # Requests that an unproved version may get, as a share of the service's.
    expose_share: float = 0.15
    # From the 50th bad answer of a version to the last request to it.
    rollback: float = 5.0


@attrs.frozen
class EntrySettings:
    """The settings of one entry host."""

    host: str
    zone: str
    front: Address
    ready: Address
    # First and last port that hosts may use among themselves.
    peer_ports: tuple[int, int]
    store: str
    # IP numbers of some hosts, which may be stale; the wire gives their `control`
    # addresses, but the ports are the same on all hosts.
    seeds: tuple[str, ...]
    memory_mb: int
    file_descriptors: int
    bounds: Bounds = Bounds()


def load_settings(path: Path) -> Result[EntrySettings, Finding]:
    """Return the settings in a file, or what is wrong with it."""
    try:
        return Ok(_decode(tomllib.loads(path.read_text())))
    except (OSError, ValueError) as error:
        return Err(finding("settings.malformed", str(path), error))


def _decode(row: Any) -> EntrySettings:
    listen, limits = row.get("listen"), row.get("limits")
    ports = rows(row, "internal_ports")
    if len(ports) != 2:
        raise MalformedError("internal_ports does not hold two ports")
    return EntrySettings(
        host=text(row, "node"),
        zone=text(row, "zone"),
        front=decode_address(text(listen, "front")),
        ready=decode_address(text(listen, "ready")),
        peer_ports=(int(ports[0]), int(ports[1])),
        store=text(row.get("platform"), "address"),
        seeds=tuple(decode_address(str(s)).host for s in rows(row, "seeds")),
        memory_mb=whole(limits, "memory_mb", 256),
        file_descriptors=whole(limits, "file_descriptors", 4096),
        bounds=_bounds(row.get("bounds") or {}),
    )


def _bounds(row: Any) -> Bounds:
    default = Bounds()
    return Bounds(
        drain=number(row, "drain_ms", default.drain * 1000) / 1000,
        grace=number(row, "grace_s", default.grace),
        retry_share=number(row, "retry_budget_ratio", default.retry_share),
        retry_slack=number(row, "budget_slack", default.retry_slack),
        retry_window=number(row, "budget_window_s", default.retry_window),
        session=number(row, "session_s", default.session),
        expose_share=number(row, "expose_share", default.expose_share),
        rollback=number(row, "rollback_ms", default.rollback * 1000) / 1000,
    )
