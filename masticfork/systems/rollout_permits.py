"""Permits for answers of an unproved version: granted by the driver, kept by hosts."""

import threading
from collections import Counter

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, RolloutName, digest
from masticfork.core.rollouts import PermitGrant, RolloutRow, RolloutState

PERMIT_SECONDS = 10.0
# Clocks of two hosts differ by less.
CLOCK_MARGIN_SECONDS = 2.0
# A host without a report for longer gets no permits.
REPORT_FRESH_SECONDS = 10.0
MOST_PERMITS_A_HOST = 4


def take_back(row: RolloutRow) -> RolloutRow:
    """Return expired permits that the host reported, after the expiry, as unused."""
    returned = 0
    grants = []
    for grant in row.grants:
        if grant.unused and _returned(grant):
            returned += grant.unused
            grant = attrs.evolve(grant, granted=grant.seen.started)
        grants.append(grant)
    return attrs.evolve(row, grants=tuple(grants), started=row.started - returned)


def grant(row: RolloutRow, cap: int, now: float) -> RolloutRow:
    """Grant permits up to the cap on unrated answers and to the step's share.

    A permit counts as started from its grant on, so that hosts that don't answer
    can't add to the exposure.
    """
    free = min(cap - row.unrated, _within_share(row, cap))
    if row.state is not RolloutState.RUNNING or free <= 0:
        return row
    grants = {g.host: g for g in row.grants}
    added = 0
    while added < free:
        fit = [g for g in grants.values() if _takes_more(g, now)]
        if not fit:
            break
        # Fewest first, then in an order that changes with each permit.
        turn = str(row.started + added)
        least = min(fit, key=lambda g: (g.unused, digest(turn, g.host)))
        expires = Deadline.after(now, PERMIT_SECONDS)
        # A grant starts from the report, so an older one can't be used twice.
        grants[least.host] = attrs.evolve(
            least, granted=least.granted + 1, expires=expires
        )
        added += 1
    return attrs.evolve(row, grants=tuple(grants.values()), started=row.started + added)


class PermitCounter:
    """One host's count of the answers that it started in each roll-out."""

    def __init__(self, host: HostName) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._began: float | None = None
        self._started: Counter[RolloutName] = Counter()

    def begin(self, now: float) -> float:
        """Return when the first report was made, which is `now` for the first."""
        with self._lock:
            if self._began is None:
                self._began = now
            return self._began

    def take(self, row: RolloutRow, now: float) -> bool:
        """Use one permit for an answer, where one is at hand."""
        with self._lock:
            held = row.grant_of(self._host)
            if row.state is not RolloutState.RUNNING or held is None:
                return False
            # Permits of a host before this one under its name may be used up.
            if held.seen.began != self._began:
                return False
            if held.expires is None or held.expires.expired(now):
                return False
            if self._started[row.name] >= held.granted:
                return False
            self._started[row.name] += 1
            return True

    def count_pinned(self, row: RolloutRow) -> None:
        """Count an answer of a session that keeps the new version."""
        with self._lock:
            self._started[row.name] += 1

    def forget(self, rollout: RolloutName) -> None:
        """Drop the count of a roll-out that ended."""
        with self._lock:
            self._started.pop(rollout, None)

    def started(self, rollout: RolloutName) -> int:
        """Return the answers started, for the host's report."""
        with self._lock:
            return self._started[rollout]


def _returned(grant: PermitGrant) -> bool:
    # The host's report is from a time when it could use the permits no more.
    expires = grant.expires
    return expires is not None and grant.seen.at >= expires.at + CLOCK_MARGIN_SECONDS


def _within_share(row: RolloutRow, cap: int) -> int:
    entered = row.started - row.started_at_step
    sessions = row.sessions - row.sessions_at_step
    return cap + int(row.share * sessions) - entered


def _takes_more(grant: PermitGrant, now: float) -> bool:
    fresh = now - grant.seen.at <= REPORT_FRESH_SECONDS
    return fresh and grant.seen.sessions > 0 and grant.unused < MOST_PERMITS_A_HOST
