"""Permits for answers of a new version: the driver grants them, hosts use them."""

import threading
from collections import Counter

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, RolloutName, digest
from masticfork.core.rollouts import PermitGrant, RolloutRow, RolloutState

PERMIT_LIFETIME_SECONDS = 10.0
# Upper bound on the difference between the clocks of two hosts.
MAX_CLOCK_SKEW_SECONDS = 2.0
# A host whose last report is older gets no permits.
MAX_REPORT_AGE_SECONDS = 10.0
MAX_UNUSED_PERMITS_PER_HOST = 4


def reclaim_expired_permits(row: RolloutRow) -> RolloutRow:
    """Reclaim permits that a host still reports as unused after they expired."""
    reclaimed = 0
    grants = []
    for grant in row.grants:
        if grant.unused and _is_reclaimable(grant):
            reclaimed += grant.unused
            grant = attrs.evolve(grant, granted=grant.seen.started)
        grants.append(grant)
    return attrs.evolve(row, grants=tuple(grants), started=row.started - reclaimed)


def grant_permits(row: RolloutRow, cap: int, now: float) -> RolloutRow:
    """Grant permits up to the cap on unrated answers and the step's share.

    A permit counts as a started answer from the moment it is granted, so that
    unresponsive hosts cannot push the number of unrated answers above the cap.
    """
    available = min(cap - row.unrated, _share_allowance(row, cap))
    if row.state is not RolloutState.RUNNING or available <= 0:
        return row
    grants = {g.host: g for g in row.grants}
    added = 0
    while added < available:
        eligible = [g for g in grants.values() if _is_eligible(g, now)]
        if not eligible:
            break
        # Prefer hosts with the fewest unused permits; break ties by a hash that changes
        # with each permit, so that no host is always first.
        tie_breaker = str(row.started + added)
        chosen = min(eligible, key=lambda g: (g.unused, digest(tie_breaker, g.host)))
        expires = Deadline.after(now, PERMIT_LIFETIME_SECONDS)
        # Granted counts are cumulative like the reports, so reading an older grant
        # does not let a host use a permit twice.
        grants[chosen.host] = attrs.evolve(
            chosen, granted=chosen.granted + 1, expires=expires
        )
        added += 1
    return attrs.evolve(row, grants=tuple(grants.values()), started=row.started + added)


class PermitCounter:
    """Thread-safe count of the new-version answers that a host started."""

    def __init__(self, host: HostName) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._began: float | None = None
        self._started: Counter[RolloutName] = Counter()

    def first_report_time(self, now: float) -> float:
        """Return the time of this host's first report, setting it to `now` if unset."""
        with self._lock:
            if self._began is None:
                self._began = now
            return self._began

    def take(self, row: RolloutRow, now: float) -> bool:
        """Use one permit and return whether an unexpired one was available."""
        with self._lock:
            held = row.grant_of(self._host)
            if row.state is not RolloutState.RUNNING or held is None:
                return False
            # An earlier process under this host name may have used these permits.
            if held.seen.began != self._began:
                return False
            if held.expires is None or held.expires.expired(now):
                return False
            if self._started[row.name] >= held.granted:
                return False
            self._started[row.name] += 1
            return True

    def count_without_permit(self, row: RolloutRow) -> None:
        """Count an answer that is started without a permit."""
        with self._lock:
            self._started[row.name] += 1

    def forget(self, rollout: RolloutName) -> None:
        """Drop the count of an ended rollout."""
        with self._lock:
            self._started.pop(rollout, None)

    def started(self, rollout: RolloutName) -> int:
        """Return how many answers this host started in the rollout."""
        with self._lock:
            return self._started[rollout]


def _is_reclaimable(grant: PermitGrant) -> bool:
    # The report was made after the permits had expired on any host's clock.
    expires = grant.expires
    return expires is not None and grant.seen.at >= expires.at + MAX_CLOCK_SKEW_SECONDS


def _share_allowance(row: RolloutRow, cap: int) -> int:
    started = row.started - row.started_at_step
    sessions = row.sessions - row.sessions_at_step
    return cap + int(row.share * sessions) - started


def _is_eligible(grant: PermitGrant, now: float) -> bool:
    fresh = now - grant.seen.at <= MAX_REPORT_AGE_SECONDS
    return (
        fresh and grant.seen.sessions > 0 and grant.unused < MAX_UNUSED_PERMITS_PER_HOST
    )
