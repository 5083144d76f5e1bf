"""Which version of a model a session gets, the same on every host."""

from collections.abc import Iterator

import attrs
from result import Err, Ok, Result

from masticfork.core.configuration import Configuration
from masticfork.core.ids import (
    ModelName,
    RolloutName,
    SessionId,
    TeamName,
    VersionId,
    digest,
)
from masticfork.core.manifest import Model, Rollout, Team
from masticfork.core.refusals import Reason, Refusal
from masticfork.core.rollouts import (
    RolloutRow,
    RolloutRows,
    RolloutState,
    withdrawn_by_rollouts,
)
from masticfork.systems.sessions import Session

_DIGEST_RANGE = 16**32


@attrs.frozen
class Assignment:
    """The version that a session gets, and the one that it was moved from."""

    version: VersionId
    moved_from: VersionId | None = None
    # Set when an answer needs a permit of this roll-out.
    rollout: RolloutName | None = None
    # The version for a new session where no permit is at hand.
    without_permit: VersionId | None = None


def assign_version(
    configuration: Configuration,
    rows: RolloutRows,
    team: TeamName,
    session: Session,
    model: ModelName,
) -> Result[Assignment, Refusal]:
    """Return the session's pin while it is usable, else a version for it.

    Refuses with `model_unknown` or `model_not_allowed`.
    """
    choice = _choice(configuration, rows, team, model)
    if isinstance(choice, Err):
        return choice
    usable = choice.ok_value
    pin = session.pinned(model)
    if pin in usable.versions:
        return Ok(Assignment(pin, rollout=usable.permit_for(pin)))
    if pin is not None:
        return _moved(usable, pin)
    return _fresh(usable, session.id)


def version_usable(
    configuration: Configuration,
    rows: RolloutRows,
    team: Team,
    version: VersionId,
) -> bool:
    """Tell whether new work of the team may go to the version now."""
    withdrawn = withdrawn_by_rollouts(rows)
    return configuration.usable(team, version) and version not in withdrawn


def unproved_in(
    configuration: Configuration, rows: RolloutRows, version: VersionId
) -> RolloutName | None:
    """Return the roll-out in which the version is not yet proved, or none."""
    for rollout in configuration.manifest.rollouts:
        model = configuration.models.get(rollout.model)
        if rollout.to_version != version or model is None:
            continue
        row = rows.get(rollout.name)
        proved = row is not None and row.state is RolloutState.DONE
        if not proved and model.current != version:
            return rollout.name
    return None


def session_position(session: SessionId, rollout: RolloutName) -> float:
    """Return the session's place from 0 to 1 in the order of entry."""
    return int(digest(rollout, session), 16) / _DIGEST_RANGE


@attrs.frozen
class _Choice:
    """The versions of one model that a team may use, with their roll-outs."""

    model: Model
    # Usable versions, oldest first.
    versions: tuple[VersionId, ...]
    unproved: dict[VersionId, RolloutName]
    declared: tuple[Rollout, ...]
    rows: RolloutRows

    def permit_for(self, version: VersionId) -> RolloutName | None:
        name = self.unproved.get(version)
        row = None if name is None else self.rows.get(name)
        return None if row is not None and not row.capped else name

    def settled(self) -> VersionId | None:
        """Return the usable version that replaced all before it."""
        settled = self.model.current
        for rollout in self.declared:
            row = self.rows.get(rollout.name)
            done = row is not None and row.state is RolloutState.DONE
            if done and rollout.from_version == settled:
                settled = rollout.to_version
        if settled in self.versions:
            return settled
        proved = [v for v in self.versions if v not in self.unproved]
        return proved[-1] if proved else None

    def entering(self) -> Iterator[RolloutRow]:
        """Yield the running roll-outs of usable versions."""
        for rollout in self.declared:
            row = self.rows.get(rollout.name)
            running = row is not None and row.state is RolloutState.RUNNING
            if row is not None and running and row.to_version in self.versions:
                yield row


def _choice(
    configuration: Configuration,
    rows: RolloutRows,
    team_name: TeamName,
    model_name: ModelName,
) -> Result[_Choice, Refusal]:
    model = configuration.models.get(model_name)
    if model is None:
        return Err(Refusal(Reason.MODEL_UNKNOWN, f"no model {model_name!r}"))
    team = configuration.teams.get(team_name)
    if team is None:
        return _not_allowed(team_name, model_name)
    ids = tuple(version.id for version in model.versions)
    usable = tuple(v for v in ids if version_usable(configuration, rows, team, v))
    if not usable:
        return _not_allowed(team_name, model_name)
    unproved = {}
    for version in usable:
        rollout = unproved_in(configuration, rows, version)
        if rollout is not None:
            unproved[version] = rollout
    declared = tuple(
        r for r in configuration.manifest.rollouts if r.model == model_name
    )
    return Ok(_Choice(model, usable, unproved, declared, rows))


def _not_allowed(team: TeamName, model: ModelName) -> Err[Refusal]:
    message = f"team {team!r} may use no version of {model!r} in service"
    return Err(Refusal(Reason.MODEL_NOT_ALLOWED, message))


def _moved(choice: _Choice, pin: VersionId) -> Result[Assignment, Refusal]:
    # A moved session gets a proved version, so that it is not moved twice.
    settled = choice.settled()
    version = settled or choice.versions[-1]
    return Ok(Assignment(version, pin, choice.permit_for(version)))


def _fresh(choice: _Choice, session: SessionId) -> Result[Assignment, Refusal]:
    settled = choice.settled()
    for row in choice.entering():
        if settled != row.from_version:
            continue
        if session_position(session, row.name) < row.entry_share:
            permit_for = choice.permit_for(row.to_version)
            return Ok(Assignment(row.to_version, None, permit_for, settled))
    version = settled or choice.versions[-1]
    return Ok(Assignment(version, None, choice.permit_for(version)))
