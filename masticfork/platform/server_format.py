"""Decodes servers, rollouts and hosts from store objects; encodes what hosts write."""

import contextlib
import ipaddress
from typing import Any

import attrs
from result import Err, Ok, Result

from masticfork.core.backend_servers import (
    Address,
    BackendServer,
    HostRequests,
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.findings import Finding
from masticfork.core.store_position import StorePosition
from masticfork.platform import names
from masticfork.platform.fields import (
    MalformedError,
    get_int,
    get_number,
    get_str,
    is_text,
    malformed_finding,
)
from masticfork.platform.objects import PlatformObject

MAX_PORT = 65_535
# Python refuses to parse integers of more than 4,300 digits.
MAX_PORT_DIGITS = 5
# Versions that were rolled back and are stored with a rollout; of most of them no
# server is left.
MAX_REJECTED_VERSIONS = 16
# Starts of hosts whose requests are stored with a rollout.
MAX_HOST_REQUESTS = 1000
# Sizes of models of a route.
MAX_MODEL_SIZES = 16

_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_address(value: str) -> Address:
    """Parse an address of the form HOST:PORT, or raise MalformedError."""
    host, _, port = value.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()):
        raise MalformedError(f"{value!r} is not HOST:PORT")
    if len(port) > MAX_PORT_DIGITS or not 0 < int(port) <= MAX_PORT:
        raise MalformedError(f"{value!r} has no port from 1 to {MAX_PORT}")
    return Address(host, int(port))


def decode_ip_address(value: str) -> Address:
    """Parse an address of the form IP:PORT to connect to, or raise MalformedError.

    A name would be looked up by the thread that serves all requests.
    """
    address = decode_address(value)
    try:
        ip = ipaddress.IPv4Address(address.host)
    except ValueError as error:
        raise MalformedError(f"{value!r} is not IP:PORT") from error
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise MalformedError(f"{value!r} is not the address of one host")
    return address


def decode_server(stored: PlatformObject) -> Result[BackendServer, Finding]:
    """Decode a backend server, or report why its object is malformed."""
    spec = stored.spec
    try:
        draining = _is_draining(get_str(spec, "state"))
        born = spec.get("born")
        return Ok(
            BackendServer(
                id=stored.name,
                service=get_str(spec, "service"),
                address=decode_ip_address(get_str(spec, "address")),
                zone=get_str(spec, "zone"),
                version=get_str(spec, "version"),
                slots=max(1, get_int(spec, "slots")),
                draining=draining,
                started_at_ms=None if born is None else get_int(spec, "born"),
                cold_remaining=get_number(spec, "cold_remaining_ms", 0.0) / 1000,
            )
        )
    except MalformedError as error:
        return Err(
            malformed_finding("server.malformed", f"servers/{stored.name}", error)
        )


def _is_draining(state: str) -> bool:
    if state not in _DRAINING_BY_STATE:
        raise MalformedError(f"unknown server state {state!r}")
    return _DRAINING_BY_STATE[state]


def decode_rollout(
    stored: PlatformObject, era: int = 0
) -> Result[VersionRollout, Finding]:
    """Decode a rollout read in an era, or report why its object is malformed."""
    spec = stored.spec
    try:
        target = get_str(spec, "target")
        return Ok(
            VersionRollout(
                service=get_str(spec, "service"),
                target=target,
                duration=_positive_number(spec, "duration_s"),
                position=StorePosition(era, stored.revision),
                created=_order_id(stored.status, target) or stored.created,
                object_created=stored.created,
                progress=_progress(stored.status, target),
                rejected=_rejected_versions(stored.status) - {target},
            )
        )
    except MalformedError as error:
        return Err(
            malformed_finding("rollout.malformed", f"rollouts/{stored.name}", error)
        )


def _positive_number(spec: Any, name: str) -> float:
    value = get_number(spec, name)
    if value <= 0:
        raise MalformedError(f"{name} is not positive")
    return value


def _order_id(status: Any, target: str) -> int:
    """Return the identifier of the order that a status is about, 0 if it has none."""
    if not isinstance(status, dict) or status.get("target") != target:
        return 0
    try:
        return get_int(status, "order", 0)
    except MalformedError:
        return 0


def _progress(status: Any, target: str) -> RolloutProgress:
    """Return the progress in a status.

    A malformed status, or one with an earlier target, counts as no progress.
    """
    if not isinstance(status, dict) or status.get("target") != target:
        return RolloutProgress()
    try:
        state = RolloutState(get_str(status, "state"))
        step = get_int(status, "step", 0)
        ordered_at = get_number(status, "ordered_at", 0.0)
        elapsed = max(0.0, get_number(status, "elapsed", 0.0))
        store_seconds = max(0.0, get_number(status, "store_seconds", 0.0))
    except ValueError:
        return RolloutProgress()
    requests = _requests(status)
    return RolloutProgress(
        state,
        step,
        ordered_at,
        elapsed,
        requests,
        store_seconds,
        _usual_times(status),
    )


def _usual_times(status: dict[str, Any]) -> tuple[tuple[int, float], ...]:
    """Return usual times by model size, without malformed entries."""
    listed = status.get("usual_times")
    if not isinstance(listed, dict):
        return ()
    found = []
    for size in sorted(filter(is_text, listed))[:MAX_MODEL_SIZES]:
        with contextlib.suppress(ValueError):
            found.append((int(size), _positive_number(listed, size)))
    return tuple(found)


def _requests(status: dict[str, Any]) -> tuple[HostRequests, ...]:
    """Return what hosts had sent by a status, without malformed entries."""
    listed = status.get("requests")
    found = []
    for item in listed[:MAX_HOST_REQUESTS] if isinstance(listed, list) else ():
        try:
            found.append(
                HostRequests(
                    get_str(item, "host"),
                    get_int(item, "start"),
                    max(0, get_int(item, "sent")),
                    max(0, get_int(item, "to_new")),
                )
            )
        except MalformedError:
            continue
    return tuple(found)


def _rejected_versions(status: Any) -> frozenset[str]:
    """Return the versions that were rolled back, by the status of any order."""
    if not isinstance(status, dict):
        return frozenset()
    listed = status.get("rejected")
    versions = list(listed) if isinstance(listed, list) else []
    if status.get("state") == RolloutState.ROLLED_BACK.value:
        versions.append(status.get("target"))
    return frozenset(filter(is_text, versions))


def encode_progress(
    rollout: VersionRollout, progress: RolloutProgress
) -> dict[str, Any]:
    """Encode new progress of a rollout as its status.

    All but `state` and `target` are the router's own fields.
    """
    return {
        "state": progress.state.value,
        "target": rollout.target,
        "step": progress.step,
        "ordered_at": progress.ordered_at,
        "elapsed": round(progress.elapsed, 3),
        "store_seconds": round(progress.store_seconds, 3),
        "usual_times": {
            str(size): round(time, 3) for size, time in progress.usual_times
        },
        "requests": [
            attrs.asdict(item) for item in progress.requests[:MAX_HOST_REQUESTS]
        ],
        "order": rollout.created,
        "rejected": sorted(rollout.rejected)[:MAX_REJECTED_VERSIONS],
    }


def decode_host(stored: PlatformObject) -> Result[Address, Finding]:
    """Decode the address on which an entry host listens for its peers."""
    try:
        return Ok(decode_ip_address(get_str(stored.spec, "address")))
    except MalformedError as error:
        return Err(
            malformed_finding(
                "host.malformed", f"{names.KIND_HOSTS}/{stored.name}", error
            )
        )


def encode_host(address: Address) -> dict[str, Any]:
    """Encode the spec of an entry host's object."""
    return {"address": str(address)}
