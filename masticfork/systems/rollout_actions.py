"""What operators do to a roll-out: transitions of its row, conflicts as values."""

import enum

import attrs
from result import Err, Ok, Result

from masticfork.core.rollouts import RolloutRow, RolloutState


class Action(enum.Enum):
    """An operator's order."""

    PAUSE = "pause"
    RESUME = "resume"
    PROMOTE = "promote"
    WITHDRAW = "withdraw"


@attrs.frozen
class Conflict:
    """An order that the roll-out's state does not allow."""

    action: Action
    state: RolloutState
    message: str


_ALLOWED: dict[Action, tuple[RolloutState, ...]] = {
    Action.PAUSE: (RolloutState.RUNNING,),
    Action.RESUME: (RolloutState.PAUSED,),
    Action.PROMOTE: (RolloutState.RUNNING, RolloutState.PAUSED),
    Action.WITHDRAW: (RolloutState.RUNNING, RolloutState.PAUSED, RolloutState.DONE),
}
_RESULT: dict[Action, RolloutState] = {
    Action.PAUSE: RolloutState.PAUSED,
    Action.RESUME: RolloutState.RUNNING,
    Action.PROMOTE: RolloutState.DONE,
    Action.WITHDRAW: RolloutState.WITHDRAWN,
}
_SHARE: dict[Action, float] = {Action.PROMOTE: 1.0, Action.WITHDRAW: 0.0}


def act(
    row: RolloutRow, action: Action, operator: str, seen: RolloutState | None = None
) -> Result[RolloutRow, Conflict]:
    """Return the row after the order; `seen` is the state that the operator saw.

    The caller writes the row on the condition that the stored one is still `row`;
    where that fails it reads again and calls this again, so that a race is told.
    """
    if seen is not None and seen is not row.state:
        message = f"the roll-out is {row.state.value}, no longer {seen.value}"
        return Err(Conflict(action, row.state, message))
    if row.state not in _ALLOWED[action]:
        message = f"a roll-out that is {row.state.value} can't {action.value}"
        return Err(Conflict(action, row.state, message))
    changed = attrs.evolve(
        row,
        state=_RESULT[action],
        share=_SHARE.get(action, row.share),
        capped=row.capped and action is not Action.PROMOTE,
        reason=f"{action.value} by {operator}",
    )
    if action is Action.RESUME:
        # The step counts anew, so a spent budget does not pause it at once.
        changed = attrs.evolve(
            changed,
            sessions_at_step=row.sessions,
            started_at_step=row.started,
            rated_at_step=row.rated,
        )
    return Ok(changed)
