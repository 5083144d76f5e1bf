"""Limit how long a host may use a configuration without confirmation.

A configuration is confirmed by the platform, or by a peer that has the same
configuration number, so hosts that reach each other keep working during a platform
outage. A host without confirmation first stops new work on versions in rollout,
since those are the most likely to be withdrawn, and later all new work.
"""

import enum

from masticfork.core.deadlines import Deadline
from masticfork.core.tables import Tables

# Fraction of `confirm_seconds` for which versions in rollout accept new work.
ROLLOUT_CONFIRM_FRACTION = 0.25


class ConfirmationState(enum.Enum):
    """What new work a host may start, by the age of its last confirmation."""

    CONFIRMED = "confirmed"
    ESTABLISHED_ONLY = "established_only"
    STALE = "stale"


def confirm(
    tables: Tables, asked_at: float, confirm_seconds: float, *, refused: bool = False
) -> None:
    """Extend the confirmation of the configuration after a query sent at `asked_at`.

    The time of the query counts rather than that of the response, which may have been
    buffered while this process was paused. `refused` means that the response names a
    newer configuration which this host rejects; only versions that are not in rollout
    are then confirmed.
    """
    usable = Deadline.after(asked_at, confirm_seconds)
    tables.usable_until = _latest(tables.usable_until, usable)
    if not refused:
        rollouts = Deadline.after(asked_at, confirm_seconds * ROLLOUT_CONFIRM_FRACTION)
        tables.confirmed_until = _latest(tables.confirmed_until, rollouts)


def _latest(old: Deadline | None, new: Deadline) -> Deadline:
    return new if old is None else max(old, new)


def confirmation_state(tables: Tables, now: float) -> ConfirmationState:
    """Return what new work the host may start now."""
    if tables.usable_until is None or tables.usable_until.expired(now):
        return ConfirmationState.STALE
    if tables.confirmed_until is None or tables.confirmed_until.expired(now):
        return ConfirmationState.ESTABLISHED_ONLY
    return ConfirmationState.CONFIRMED
