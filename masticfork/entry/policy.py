"""Choose the version for a chat request by session, rollouts, quality and cost."""

import random
from typing import Protocol

from result import Err, Ok, Result

from masticfork.core.calls import ChatCall
from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.events import Candidate
from masticfork.core.ids import ModelName, TeamName, VersionId, model_of
from masticfork.core.manifest import AUTO_MODEL, Team, Version, WorkClass
from masticfork.core.refusals import Reason, Refusal
from masticfork.core.tables import Tables
from masticfork.entry.routing import VersionChoice
from masticfork.systems.cascades import Plan
from masticfork.systems.rollout_usage import RolloutUsage
from masticfork.systems.sessions import Session, SessionSigner, new_session
from masticfork.systems.versions import (
    Assignment,
    assign_version,
    version_usable,
)


class Planner(Protocol):
    """Plans the steps that reach a team's quality target at the lowest cost."""

    def plan(
        self,
        tables: Tables,
        team: TeamName,
        work_class: WorkClass,
        candidates: tuple[VersionId, ...],
        deadline: Deadline,
        now: float,
    ) -> Plan:
        """Return the plan for one request."""


class SessionPolicy:
    """Pins sessions to versions; chooses the model if the caller asks for `auto`."""

    def __init__(
        self,
        tables: Tables,
        signer: SessionSigner,
        rollout_usage: RolloutUsage,
        planner: Planner,
        rng: random.Random,
    ) -> None:
        self._tables = tables
        self._signer = signer
        self._rollout_usage = rollout_usage
        self._planner = planner
        self._rng = rng

    def choose_version(
        self, configuration: Configuration, call: ChatCall, now: float
    ) -> Result[VersionChoice, Refusal]:
        """Return the version for the request, pinned in its session."""
        opened = self._open_session(call, now)
        if isinstance(opened, Err):
            return opened
        session = opened.ok_value
        candidates = self._list_candidates(configuration, call.head.team)
        model = self._choose_model(configuration, call, session, now)
        if isinstance(model, Err):
            return model
        assigned = assign_version(
            configuration,
            self._tables.rollouts,
            call.head.team.name,
            session,
            model.ok_value,
        )
        if isinstance(assigned, Err):
            return assigned
        assignment = assigned.ok_value
        is_unpinned = session.pinned_version(model.ok_value) is None
        if is_unpinned:
            self._rollout_usage.count_new_session(configuration, model.ok_value)
        version = self._apply_permit(assignment, not is_unpinned, now)
        if version is None:
            message = "no established version of the model is in service"
            return Err(Refusal(Reason.NO_SERVER, message))
        pinned = session.with_pin(model.ok_value, version)
        choice = VersionChoice(
            session=pinned,
            session_token=self._signer.sign(pinned),
            version=version,
            reason=_decision_reason(session, model.ok_value, version),
            moved_from=assignment.moved_from,
            candidates=candidates,
        )
        return Ok(choice)

    def _choose_model(
        self, configuration: Configuration, call: ChatCall, session: Session, now: float
    ) -> Result[ModelName, Refusal]:
        if call.model != AUTO_MODEL:
            return _named_model(configuration, call)
        versions = self._assignable_versions(configuration, call, session)
        if not versions:
            message = "no version that the team may use is in service"
            return Err(Refusal(Reason.MODEL_NOT_ALLOWED, message))
        pinned = [v for v in versions if session.pinned_version(model_of(v)) == v]
        if pinned:
            return Ok(model_of(pinned[0]))
        head = call.head
        plan = self._planner.plan(
            self._tables, head.team.name, call.work_class, versions, head.deadline, now
        )
        first = plan.steps[0].version if plan.steps else versions[0]
        return Ok(model_of(first))

    def _assignable_versions(
        self, configuration: Configuration, call: ChatCall, session: Session
    ) -> tuple[VersionId, ...]:
        """Return, for each model, the version that the session would be assigned."""
        listed = []
        for model in configuration.models:
            assigned = assign_version(
                configuration,
                self._tables.rollouts,
                call.head.team.name,
                session,
                model,
            )
            if isinstance(assigned, Ok):
                assignment = assigned.ok_value
                listed.append(assignment.without_permit or assignment.version)
        return tuple(listed)

    def _apply_permit(
        self, assignment: Assignment, pinned: bool, now: float
    ) -> VersionId | None:
        """Return the assigned version, or the established one if no permit is left.

        Rollout permits bound the unrated answers of a version still in rollout.
        """
        if assignment.rollout is None:
            return assignment.version
        row = self._tables.rollouts.get(assignment.rollout)
        if row is None:
            # The rollout has no driver yet: new sessions get the old version.
            return assignment.version if pinned else assignment.without_permit
        return self._rollout_usage.admit(row, assignment, pinned, now)

    def _open_session(self, call: ChatCall, now: float) -> Result[Session, Refusal]:
        token = call.head.session_token
        if token is None:
            return Ok(new_session(call.head.team.name, self._rng, now))
        return self._signer.verify(token, call.head.team.name)

    def _list_candidates(
        self, configuration: Configuration, team: Team
    ) -> tuple[Candidate, ...]:
        """Return every version with the reason that rules it out, cheapest first."""
        rows = self._tables.rollouts
        by_cost = sorted(
            configuration.versions.values(), key=lambda v: v.cost_per_1k_tokens
        )
        listed = []
        for version in by_cost:
            ruled_out_by = None
            if not configuration.allows(team, version.id):
                ruled_out_by = "not_allowed"
            elif not version_usable(configuration, rows, team, version.id):
                ruled_out_by = "withdrawn"
            elif version.expected_quality < team.quality_target:
                ruled_out_by = "below_quality_target"
            listed.append(_candidate(version, ruled_out_by))
        return tuple(listed)


def _candidate(version: Version, ruled_out_by: str | None) -> Candidate:
    return Candidate(
        version.id, ruled_out_by, version.expected_quality, version.cost_per_1k_tokens
    )


def _named_model(
    configuration: Configuration, call: ChatCall
) -> Result[ModelName, Refusal]:
    if call.model in configuration.models:
        return Ok(call.model)
    return Err(Refusal(Reason.MODEL_UNKNOWN, f"no model {call.model!r}"))


def _decision_reason(session: Session, model: ModelName, version: VersionId) -> str:
    pin = session.pinned_version(model)
    if pin is None:
        return "new_session"
    return "pinned" if pin == version else "moved"
