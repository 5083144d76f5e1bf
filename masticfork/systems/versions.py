"""Assignment of sessions to model versions, deterministic across hosts."""

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
    """The version assigned to a session, and the one that it replaces, if any."""

    version: VersionId
    moved_from: VersionId | None = None
    # The rollout whose permit an answer needs, or None.
    rollout: RolloutName | None = None
    # The fallback version for a new session if no permit is available.
    without_permit: VersionId | None = None


def assign_version(
    configuration: Configuration,
    rows: RolloutRows,
    team: TeamName,
    session: Session,
    model: ModelName,
) -> Result[Assignment, Refusal]:
    """Return the session's pinned version while it is usable, else assign another one.

    Refuse with `model_unknown` or `model_not_allowed`.
    """
    result = _version_choices(configuration, rows, team, model)
    if isinstance(result, Err):
        return result
    choices = result.ok_value
    pin = session.pinned_version(model)
    if pin in choices.versions:
        return Ok(Assignment(pin, rollout=choices.required_permit(pin)))
    if pin is not None:
        return _reassign(choices, pin)
    return _assign_new_session(choices, session.id)


def version_usable(
    configuration: Configuration,
    rows: RolloutRows,
    team: Team,
    version: VersionId,
) -> bool:
    """Return whether the team's new work may go to the version now."""
    withdrawn = withdrawn_by_rollouts(rows)
    return configuration.may_use(team, version) and version not in withdrawn


def unproven_rollout(
    configuration: Configuration, rows: RolloutRows, version: VersionId
) -> RolloutName | None:
    """Return the unfinished rollout that introduces the version, None if proven."""
    for rollout in configuration.manifest.rollouts:
        model = configuration.models.get(rollout.model)
        if rollout.to_version != version or model is None:
            continue
        row = rows.get(rollout.name)
        proven = row is not None and row.state is RolloutState.DONE
        if not proven and model.current != version:
            return rollout.name
    return None


def session_position(session: SessionId, rollout: RolloutName) -> float:
    """Return a hash in [0, 1) that orders the sessions entering a rollout.

    A session enters once the rollout's entry share exceeds this number.
    """
    return int(digest(rollout, session), 16) / _DIGEST_RANGE


@attrs.frozen
class _VersionChoices:
    """The versions of one model that a team may use, and the model's rollouts."""

    model: Model
    # Usable versions, oldest first.
    versions: tuple[VersionId, ...]
    # Versions whose rollout is not done, with that rollout.
    unproven: dict[VersionId, RolloutName]
    rollouts: tuple[Rollout, ...]
    rows: RolloutRows

    def required_permit(self, version: VersionId) -> RolloutName | None:
        name = self.unproven.get(version)
        row = None if name is None else self.rows.get(name)
        return None if row is not None and not row.capped else name

    def stable_version(self) -> VersionId | None:
        """Return the version that completed rollouts lead to, if it is usable.

        Otherwise return the newest usable version that is proven, or None.
        """
        version = self.model.current
        for rollout in self.rollouts:
            row = self.rows.get(rollout.name)
            done = row is not None and row.state is RolloutState.DONE
            if done and rollout.from_version == version:
                version = rollout.to_version
        if version in self.versions:
            return version
        proven = [v for v in self.versions if v not in self.unproven]
        return proven[-1] if proven else None

    def running_rollouts(self) -> Iterator[RolloutRow]:
        """Yield the running rollouts whose new version is usable."""
        for rollout in self.rollouts:
            row = self.rows.get(rollout.name)
            running = row is not None and row.state is RolloutState.RUNNING
            if row is not None and running and row.to_version in self.versions:
                yield row


def _version_choices(
    configuration: Configuration,
    rows: RolloutRows,
    team_name: TeamName,
    model_name: ModelName,
) -> Result[_VersionChoices, Refusal]:
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
    unproven = {}
    for version in usable:
        rollout = unproven_rollout(configuration, rows, version)
        if rollout is not None:
            unproven[version] = rollout
    rollouts = tuple(
        r for r in configuration.manifest.rollouts if r.model == model_name
    )
    return Ok(_VersionChoices(model, usable, unproven, rollouts, rows))


def _not_allowed(team: TeamName, model: ModelName) -> Err[Refusal]:
    message = f"team {team!r} may use no version of {model!r} in service"
    return Err(Refusal(Reason.MODEL_NOT_ALLOWED, message))


def _reassign(choices: _VersionChoices, pin: VersionId) -> Result[Assignment, Refusal]:
    # Prefer a proven version, so that the session is not moved a second time.
    stable = choices.stable_version()
    version = stable or choices.versions[-1]
    return Ok(Assignment(version, pin, choices.required_permit(version)))


def _assign_new_session(
    choices: _VersionChoices, session: SessionId
) -> Result[Assignment, Refusal]:
    stable = choices.stable_version()
    for row in choices.running_rollouts():
        if stable != row.from_version:
            continue
        if session_position(session, row.name) < row.entry_share:
            permit = choices.required_permit(row.to_version)
            return Ok(Assignment(row.to_version, None, permit, stable))
    version = stable or choices.versions[-1]
    return Ok(Assignment(version, None, choices.required_permit(version)))
