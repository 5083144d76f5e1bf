"""Checks of settings that involve several fields."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator
from itertools import combinations
from typing import TYPE_CHECKING

from masticfork.settings.faults import Fault, repeated

if TYPE_CHECKING:
    from masticfork.settings.settings import Settings


def check_settings(settings: Settings) -> Iterator[Fault]:
    """Yield every fault that the checks of single values cannot detect."""
    yield from _check_ports(settings)
    yield from _check_peer_addresses(settings)
    yield from _check_platform(settings)
    yield from _check_keys(settings)


def _check_ports(settings: Settings) -> Iterator[Fault]:
    entry, admin, peer = settings.entry, settings.admin, settings.peer
    listeners = [("entry", entry.host, entry.port), ("admin", admin.host, admin.port)]
    listeners.append(("peer", peer.host, peer.port))
    for (other, host, port), (name, own_host, own_port) in combinations(listeners, 2):
        if own_port and own_port == port and _addresses_overlap(own_host, host):
            message = f"the listener of {other!r} also uses port {port}"
            yield Fault("port_conflict", f"{name}.port", message)


def _addresses_overlap(host: str, other: str) -> bool:
    addresses = [ipaddress.ip_address(host), ipaddress.ip_address(other)]
    return host == other or any(address.is_unspecified for address in addresses)


def _check_peer_addresses(settings: Settings) -> Iterator[Fault]:
    peer = settings.peer
    if peer.advertise is None and ipaddress.ip_address(peer.host).is_unspecified:
        message = "needs 'advertise', since peers cannot connect to this address"
        yield Fault("address", "peer.host", message)
    for index in repeated(peer.seeds):
        yield Fault("duplicate", f"peer.seeds[{index}]", "duplicate seed")


def _check_platform(settings: Settings) -> Iterator[Fault]:
    platform = settings.platform
    if platform.embedded and platform.url is not None:
        yield Fault("platform", "platform.url", "cannot be combined with 'embedded'")
    if not platform.embedded and platform.url is None:
        yield Fault("platform", "platform", "needs 'url', or 'embedded' for trials")
    if platform.bill_interval_seconds < 0:
        yield Fault("range", "platform.bill_interval_seconds", "must not be negative")
    if platform.embedded and settings.peer.seeds:
        message = "an embedded platform serves one host only"
        yield Fault("platform", "peer.seeds", message)


def _check_keys(settings: Settings) -> Iterator[Fault]:
    shared = not settings.platform.embedded
    if shared and not settings.session_keys:
        yield Fault("missing_key", "session_keys", "needs at least one key")
    if shared and not settings.peer.keys:
        yield Fault("missing_key", "peer.keys", "needs at least one key")
    if not settings.admin_keys:
        yield Fault("missing_key", "admin_keys", "needs at least one key")
    names_by_path = {
        "session_keys": [key.id for key in settings.session_keys],
        "peer.keys": [key.id for key in settings.peer.keys],
        "admin_keys": [key.name for key in settings.admin_keys],
    }
    for path, names in names_by_path.items():
        for index in repeated(names):
            yield Fault("duplicate", f"{path}[{index}]", "duplicate name")
    hashes = [key.sha256 for key in settings.admin_keys]
    for index in repeated(hashes):
        yield Fault(
            "duplicate", f"admin_keys[{index}]", "another entry has the same key hash"
        )
