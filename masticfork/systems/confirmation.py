"""How long a host may act on a configuration that nobody confirms.

The platform confirms the number in force, and so does a peer that has the same
number: a platform outage therefore stops nothing while hosts hear each other. A
host that neither reaches stops new work on versions in roll-out first, since those
are the ones most likely withdrawn, and all new work later.
"""

import enum

from masticfork.core.deadlines import Deadline
from masticfork.core.tables import Tables

# The part of `confirm_seconds` in which versions in roll-out get new work.
ROLLOUT_SHARE = 0.25


class Standing(enum.Enum):
    """What a host may start on the strength of its configuration."""

    CONFIRMED = "confirmed"
    ESTABLISHED_ONLY = "established_only"
    STALE = "stale"


def confirm(
    tables: Tables, asked_at: float, confirm_seconds: float, *, refused: bool = False
) -> None:
    """Count the configuration as confirmed by an answer to a question of that time.

    The time of the question counts, not that of the answer: an answer may have
    waited in a buffer while this process was paused. Where the answer names a newer
    configuration that this host refuses, only established versions go on.
    """
    usable = Deadline.after(asked_at, confirm_seconds)
    tables.usable_until = _later(tables.usable_until, usable)
    if not refused:
        rollouts = Deadline.after(asked_at, confirm_seconds * ROLLOUT_SHARE)
        tables.confirmed_until = _later(tables.confirmed_until, rollouts)


def _later(old: Deadline | None, new: Deadline) -> Deadline:
    return new if old is None else max(old, new)


def standing(tables: Tables, now: float) -> Standing:
    """Return what the host may start now."""
    if tables.usable_until is None or tables.usable_until.expired(now):
        return Standing.STALE
    if tables.confirmed_until is None or tables.confirmed_until.expired(now):
        return Standing.ESTABLISHED_ONLY
    return Standing.CONFIRMED
