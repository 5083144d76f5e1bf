"""Apply operator actions to a rollout; a disallowed action returns a conflict."""

import enum

import attrs
from result import Err, Ok, Result

from masticfork.core.rollouts import RolloutRow, RolloutState


class Action(enum.Enum):
    """An action that an operator requests on a rollout."""

    PAUSE = "pause"
    RESUME = "resume"
    PROMOTE = "promote"
    WITHDRAW = "withdraw"


@attrs.frozen
class Conflict:
    """An action that the rollout's state does not allow."""

    action: Action
    state: RolloutState
    message: str


_ALLOWED_STATES: dict[Action, tuple[RolloutState, ...]] = {
    Action.PAUSE: (RolloutState.RUNNING,),
    Action.RESUME: (RolloutState.PAUSED,),
    Action.PROMOTE: (RolloutState.RUNNING, RolloutState.PAUSED),
    Action.WITHDRAW: (RolloutState.RUNNING, RolloutState.PAUSED, RolloutState.DONE),
}
_STATE_AFTER: dict[Action, RolloutState] = {
    Action.PAUSE: RolloutState.PAUSED,
    Action.RESUME: RolloutState.RUNNING,
    Action.PROMOTE: RolloutState.DONE,
    Action.WITHDRAW: RolloutState.WITHDRAWN,
}
_SHARE_AFTER: dict[Action, float] = {Action.PROMOTE: 1.0, Action.WITHDRAW: 0.0}


def apply_action(
    row: RolloutRow, action: Action, operator: str, seen: RolloutState | None = None
) -> Result[RolloutRow, Conflict]:
    """Return the row after the action; `seen` is the state that the operator saw.

    The caller stores the result with a compare-and-set against `row`. If that fails,
    it reads the row again and repeats the call, so that a concurrent change is
    reported as a conflict instead of being overwritten.
    """
    if seen is not None and seen is not row.state:
        message = f"the rollout is {row.state.value}, no longer {seen.value}"
        return Err(Conflict(action, row.state, message))
    if row.state not in _ALLOWED_STATES[action]:
        message = f"cannot {action.value} a rollout that is {row.state.value}"
        return Err(Conflict(action, row.state, message))
    changed = attrs.evolve(
        row,
        state=_STATE_AFTER[action],
        share=_SHARE_AFTER.get(action, row.share),
        capped=row.capped and action is not Action.PROMOTE,
        reason=f"{action.value} by {operator}",
    )
    if action is Action.RESUME:
        # Restart the counts of the step; otherwise the answers that led to the pause
        # would pause the rollout again at once.
        changed = attrs.evolve(
            changed,
            sessions_at_step=row.sessions,
            started_at_step=row.started,
            rated_at_step=row.rated,
        )
    return Ok(changed)
