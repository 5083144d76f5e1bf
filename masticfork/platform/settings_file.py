"""Reads an entry host's settings file, which is TOML in the platform's format."""

import tomllib
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from masticfork.core.backend_servers import Address
from masticfork.core.findings import Finding
from masticfork.platform.fields import (
    MalformedError,
    get_int,
    get_list,
    get_number,
    get_str,
    malformed_finding,
)
from masticfork.platform.server_format import decode_address


@attrs.frozen
class Bounds:
    """Limits that the platform sets; times in seconds."""

    # Longest time from the announcement that a server leaves to the last request to it.
    drain: float = 2.0
    # Time after the return of the store from which on its changes have to take effect.
    contact: float = 3.0
    # Longest time from a new configuration to the last request handled by an older one.
    config_apply: float = 2.0
    # Time from SIGTERM to SIGKILL.
    grace: float = 8.0
    # Retries allowed per request to a service, as a ratio.
    retry_share: float = 0.9
    # Number of retries allowed beyond that ratio, for all hosts together.
    retry_slack: float = 50.0
    # Window over which retries are counted.
    retry_window: float = 10.0
    # Longest pause between two requests that belong to one session.
    session: float = 5.0
    # Largest share of a service's requests that may go to a version not yet proven.
    expose_share: float = 0.15
    # Number of requests that may go to it beyond that share, over all hosts.
    expose_slack: float = 30.0
    # Longest time from a version's 50th bad response to the last request to it.
    rollback: float = 5.0
    # Longest time from the order to evacuate an availability zone to the last request
    # to its servers; None if the deployment has no evacuations.
    evacuate: float | None = None

    @property
    def shortest_change(self) -> float:
        """Return the shortest time within which a change in the store takes effect."""
        bounds = (self.drain, self.config_apply, self.evacuate)
        return min(bound for bound in bounds if bound is not None)


@attrs.frozen
class EntrySettings:
    """Settings of one entry host."""

    # The host's name; the file calls it `node`.
    host: str
    zone: str
    # Where the host accepts connections of callers.
    front: Address
    # Where the host serves its readiness page.
    ready: Address
    # First and last port for connections between hosts (`internal_ports`).
    peer_ports: tuple[int, int]
    # HOST:PORT of the platform's object store (`platform.address`).
    store: str
    # IP addresses of some hosts, possibly stale. The file lists their `control`
    # addresses; the port is dropped since all hosts use the same ports.
    seeds: tuple[str, ...]
    memory_mb: int
    file_descriptors: int
    bounds: Bounds = Bounds()
    # Whether callers compete for room and may read slowly: the file's list `contracts`
    # holds `pressure`.
    scarce_room: bool = False
    # Region of each availability zone.
    zone_regions: dict[str, str] = attrs.field(factory=dict)


def load_settings(path: Path) -> Result[EntrySettings, Finding]:
    """Read a settings file, or report why it cannot be read or is malformed."""
    try:
        return Ok(_decode_settings(tomllib.loads(path.read_text())))
    except (OSError, ValueError) as error:
        return Err(malformed_finding("settings.malformed", str(path), error))


def _decode_settings(table: Any) -> EntrySettings:
    listen, limits = table.get("listen"), table.get("limits")
    ports = get_list(table, "internal_ports")
    if len(ports) != 2 or int(ports[0]) >= int(ports[1]):
        raise MalformedError("internal_ports is not a range of two ports or more")
    return EntrySettings(
        host=get_str(table, "node"),
        zone=get_str(table, "zone"),
        front=decode_address(get_str(listen, "front")),
        ready=decode_address(get_str(listen, "ready")),
        peer_ports=(int(ports[0]), int(ports[1])),
        store=get_str(table.get("platform"), "address"),
        seeds=tuple(decode_address(str(s)).host for s in get_list(table, "seeds")),
        memory_mb=get_int(limits, "memory_mb", 256),
        file_descriptors=get_int(limits, "file_descriptors", 4096),
        bounds=_decode_bounds(table.get("bounds") or {}),
        scarce_room="pressure" in get_list(table, "contracts"),
        zone_regions=_decode_zone_regions(table.get("zones") or {}),
    )


def _decode_bounds(table: Any) -> Bounds:
    default = Bounds()
    return Bounds(
        drain=get_number(table, "drain_ms", default.drain * 1000) / 1000,
        contact=get_number(table, "contact_ms", default.contact * 1000) / 1000,
        config_apply=get_number(table, "config_apply_ms", default.config_apply * 1000)
        / 1000,
        grace=get_number(table, "grace_s", default.grace),
        retry_share=get_number(table, "retry_budget_ratio", default.retry_share),
        retry_slack=get_number(table, "budget_slack", default.retry_slack),
        retry_window=get_number(table, "budget_window_s", default.retry_window),
        session=get_number(table, "session_s", default.session),
        expose_share=get_number(table, "expose_share", default.expose_share),
        expose_slack=get_number(table, "expose_slack", default.expose_slack),
        rollback=get_number(table, "rollback_ms", default.rollback * 1000) / 1000,
        evacuate=(
            get_number(table, "evacuate_ms") / 1000 if "evacuate_ms" in table else None
        ),
    )


def _decode_zone_regions(table: Any) -> dict[str, str]:
    if not isinstance(table, dict):
        raise MalformedError("zones is not a table")
    return {zone: get_str(table, zone) for zone in table}
