"""Check whether a request may be sent to a server, immediately before dispatch."""

from result import Err, Ok, Result

from masticfork.core.configuration import Configuration
from masticfork.core.ids import ServerName, TeamName, VersionId, model_of
from masticfork.core.manifest import BackendServer
from masticfork.core.refusals import Reason, Refusal
from masticfork.core.rollouts import withdrawn_by_rollouts
from masticfork.core.tables import Drain, ServerRow, Tables
from masticfork.systems.sessions import Session
from masticfork.systems.versions import unproven_rollout


def check_dispatch(
    tables: Tables,
    team: TeamName,
    session: Session | None,
    version: VersionId,
    server: ServerName,
    now: float,
) -> Result[None, Refusal]:
    """Refuse the dispatch unless the current tables allow it.

    Called before each attempt, including after queueing, retry, escalation and resume.
    """
    configuration = tables.configuration
    if configuration is None:
        return _refuse(Reason.NO_CONFIGURATION, "no configuration is in force")
    if tables.usable_until is not None and tables.usable_until.expired(now):
        message = "the configuration was not confirmed in time"
        return _refuse(Reason.CONFIGURATION_STALE, message)
    checks = (
        _check_version(configuration, tables, team, version),
        _check_pin(session, team, version),
        _check_confirmed(configuration, tables, version, now),
        _check_server(configuration, tables, version, server, now),
    )
    for check in checks:
        if isinstance(check, Err):
            return check
    return Ok(None)


def _refuse(reason: Reason, message: str) -> Err[Refusal]:
    return Err(Refusal(reason, message))


def _check_version(
    configuration: Configuration, tables: Tables, name: TeamName, version: VersionId
) -> Result[None, Refusal]:
    team = configuration.teams.get(name)
    if team is None or not configuration.allows(team, version):
        message = f"team {name!r} may not use {version!r}"
        return _refuse(Reason.MODEL_NOT_ALLOWED, message)
    if version not in configuration.versions:
        return _refuse(Reason.MODEL_UNKNOWN, f"unknown version {version!r}")
    withdrawn = configuration.withdrawn | withdrawn_by_rollouts(tables.rollouts)
    if version in withdrawn:
        return _refuse(Reason.MODEL_NOT_ALLOWED, f"{version!r} is withdrawn")
    return Ok(None)


def _check_pin(
    session: Session | None, team: TeamName, version: VersionId
) -> Result[None, Refusal]:
    if session is None:
        return Ok(None)
    if session.team != team:
        message = "the session belongs to another team"
        return _refuse(Reason.SESSION_INVALID, message)
    pin = session.pinned_version(model_of(version))
    if pin is not None and pin != version:
        message = f"the session is pinned to {pin!r}, not {version!r}"
        return _refuse(Reason.SESSION_INVALID, message)
    return Ok(None)


def _check_confirmed(
    configuration: Configuration, tables: Tables, version: VersionId, now: float
) -> Result[None, Refusal]:
    if unproven_rollout(configuration, tables.rollouts, version) is None:
        return Ok(None)
    # A partitioned host does not learn that a version in rollout was withdrawn.
    confirmed = tables.confirmed_until
    if confirmed is None or confirmed.expired(now):
        message = f"{version!r} is in rollout and the configuration is not confirmed"
        return _refuse(Reason.CONFIGURATION_STALE, message)
    return Ok(None)


def _check_server(
    configuration: Configuration,
    tables: Tables,
    version: VersionId,
    name: ServerName,
    now: float,
) -> Result[None, Refusal]:
    declared = configuration.versions.get(version)
    pool = None if declared is None else configuration.pools.get(declared.pool)
    servers = () if pool is None else pool.servers
    server = next((server for server in servers if server.name == name), None)
    if server is None:
        return _refuse(Reason.NO_SERVER, f"server {name!r} does not serve {version!r}")
    row = tables.servers.get(name)
    if row is None or not server_takes_work(row, now) or drained(tables, server):
        return _refuse(Reason.NO_SERVER, f"server {name!r} accepts no new work")
    return Ok(None)


def drained(tables: Tables, server: BackendServer) -> bool:
    """Return whether an operator or the platform drains the server or its zone."""
    return (
        Drain("server", server.name) in tables.drains
        or Drain("zone", server.zone) in tables.drains
        or server.name in tables.listed_leaving
    )


def server_takes_work(row: ServerRow, now: float) -> bool:
    """Return whether the server is neither leaving nor ejected."""
    ejected = row.ejected_until is not None and not row.ejected_until.expired(now)
    return not row.leaving and not ejected
