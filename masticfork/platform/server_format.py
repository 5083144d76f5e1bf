"""Decodes servers, roll-outs and hosts from the store; encodes what hosts write."""

from typing import Any

from result import Err, Ok, Result

from masticfork.core.backend_servers import (
    Address,
    BackendServer,
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.findings import Finding
from masticfork.platform.fields import MalformedError, finding, number, text, whole
from masticfork.platform.objects import PlatformObject

_STATES = {"ready": False, "draining": True}


def decode_address(value: str) -> Address:
    """Return the address written as HOST:PORT."""
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit():
        raise MalformedError(f"{value!r} is not HOST:PORT")
    return Address(host, int(port))


def decode_server(stored: PlatformObject) -> Result[BackendServer, Finding]:
    """Return the server that an entry names, or why it names none."""
    spec = stored.spec
    try:
        draining = _draining(text(spec, "state"))
        born = spec.get("born")
        return Ok(
            BackendServer(
                id=stored.name,
                service=text(spec, "service"),
                address=decode_address(text(spec, "address")),
                zone=text(spec, "zone"),
                version=text(spec, "version"),
                slots=max(1, whole(spec, "slots")),
                draining=draining,
                born_ms=None if born is None else whole(spec, "born"),
            )
        )
    except MalformedError as error:
        return Err(finding("server.malformed", f"servers/{stored.name}", error))


def _draining(state: str) -> bool:
    if state not in _STATES:
        raise MalformedError(f"unknown state {state!r}")
    return _STATES[state]


def decode_rollout(stored: PlatformObject) -> Result[VersionRollout, Finding]:
    """Return the roll-out that an entry orders, or why it orders none."""
    spec = stored.spec
    try:
        target = text(spec, "target")
        return Ok(
            VersionRollout(
                service=text(spec, "service"),
                target=target,
                duration=number(spec, "duration_s"),
                revision=stored.revision,
                created=stored.created,
                progress=_progress(stored.status, target),
            )
        )
    except MalformedError as error:
        return Err(finding("rollout.malformed", f"rollouts/{stored.name}", error))


def _progress(status: Any, target: str) -> RolloutProgress:
    """Return what the status tells; one of an earlier order tells nothing."""
    if not isinstance(status, dict) or status.get("target") != target:
        return RolloutProgress()
    try:
        state = RolloutState(text(status, "state"))
        step = whole(status, "step", 0)
        ordered_at = number(status, "ordered_at", 0.0)
    except ValueError:
        return RolloutProgress()
    return RolloutProgress(state, step, ordered_at)


def encode_progress(target: str, progress: RolloutProgress) -> dict[str, Any]:
    """Return the status of a roll-out; `step` and `ordered_at` are our own fields."""
    return {
        "state": progress.state.value,
        "target": target,
        "step": progress.step,
        "ordered_at": progress.ordered_at,
    }


def decode_host(stored: PlatformObject) -> Result[Address, Finding]:
    """Return where an entry host listens for its peers."""
    try:
        return Ok(decode_address(text(stored.spec, "address")))
    except MalformedError as error:
        return Err(finding("host.malformed", stored.name, error))


def encode_host(address: Address) -> dict[str, Any]:
    """Return the entry of a host."""
    return {"address": str(address)}
