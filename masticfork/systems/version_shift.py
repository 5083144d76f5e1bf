"""Moves a service from one version to another in steps, and stops a bad one.

All hosts follow the step that the store holds. A host that sees a bad version stops
sending to it at once and writes that down; a step forward is written by whichever host
comes first, under the condition that nobody else has written since.
"""

import statistics
from collections import deque

import attrs

from masticfork.core.backend_servers import (
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.ids import rank

# Share of the new sessions on the new version in each step: a trial, both versions side
# by side, the new version alone. A bad version may get 0.15 of all requests between the
# order and the end of its time; the trial lasts two thirds of that time at most.
STEP_SHARES = (0.15, 0.5, 1.0)
TRIAL, SHARED, ALONE = 0, 1, 2
# Answers of the new version that end the trial, and the part of the time that ends it
# nevertheless.
PROVING_ANSWERS = 20.0
TRIAL_ENDS_AT = 0.5
# Part of the time at which the new version serves alone. What still runs on the old one
# when the roll-out is done is lost, so that is as late as it may be.
ALONE_AT = 0.66
DONE_AT = 0.92
# Part of the time from which it is done as soon as nothing runs on the old version.
DONE_FROM = 0.8
# A version is bad with this many failed answers and this share of them, if the share is
# also that much above the old version's.
BAD_ANSWERS, BAD_SHARE, BAD_EXCESS = 3.0, 0.2, 0.15
# The same for slow answers, of which queues make some on any version: share and excess
# in the trial, and while both versions serve, when cold engines make more of them.
SLOW_ANSWERS = 5.0
SLOW_SHARES = ((0.34, 0.17), (0.4, 0.22))
# Excess of slow or failed answers with which a version is not moved on.
SUSPICIOUS_EXCESS = 0.1
# An answer is slow beyond this multiple of the median of the old version's last times.
SLOW_MULTIPLE = 3.0
# No answer within this time in seconds is slow; callers wait a second and more for the
# first event.
LEAST_SLOW = 0.1
TIMES_KEPT = 60
LEAST_TIMES = 5
# Weight of the answers seen before in each second, so that a version that turns bad
# late is not excused by its past.
FADE_PER_SECOND = 0.93


@attrs.define
class Evidence:
    """Answers of one version, faded with time; slow ones count as good or bad too."""

    good: float = 0.0
    bad: float = 0.0
    slow: float = 0.0
    faded_at: float = 0.0

    @property
    def total(self) -> float:
        """Return the number of answers."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Return the share of failed answers, 0 where there is none."""
        return self.bad / self.total if self.total else 0.0

    @property
    def slow_share(self) -> float:
        """Return the share of slow answers, 0 where there is none."""
        return self.slow / self.total if self.total else 0.0

    def add(self, bad: bool, slow: bool, now: float) -> None:
        """Take in one answer."""
        kept = FADE_PER_SECOND ** max(0.0, now - self.faded_at)
        self.good = self.good * kept + float(not bad)
        self.bad = self.bad * kept + float(bad)
        self.slow = self.slow * kept + float(slow)
        self.faded_at = now


@attrs.define
class UsualTimes:
    """The old version's last times to the first byte, by size of the model."""

    _times: dict[int, deque[float]] = attrs.field(factory=dict)

    def add(self, size: int, seconds: float) -> None:
        """Take in a time of the old version."""
        kept = self._times.setdefault(size, deque(maxlen=TIMES_KEPT))
        kept.append(seconds)

    def is_slow(self, size: int, seconds: float) -> bool:
        """Tell whether an answer of either version was slow."""
        times = self._times.get(size, ())
        if len(times) < LEAST_TIMES or seconds < LEAST_SLOW:
            return False
        return seconds > statistics.median(times) * SLOW_MULTIPLE


def is_bad(new: Evidence, old: Evidence, step: int) -> bool:
    """Tell whether the new version has to be withdrawn.

    Times are compared only while both versions serve: a version that serves alone has
    twice the work.
    """
    failing = new.bad >= BAD_ANSWERS and new.bad_share >= BAD_SHARE
    if failing and new.bad_share > old.bad_share + BAD_EXCESS:
        return True
    if step >= ALONE or new.slow < SLOW_ANSWERS:
        return False
    share, excess = SLOW_SHARES[step]
    return new.slow_share >= share and new.slow_share > old.slow_share + excess


def is_suspicious(new: Evidence, old: Evidence) -> bool:
    """Tell whether the new version may be bad, though too little is known."""
    failing = new.bad_share > old.bad_share + SUSPICIOUS_EXCESS
    return failing or new.slow_share > old.slow_share + SUSPICIOUS_EXCESS


def is_final(progress: RolloutProgress) -> bool:
    """Tell whether a roll-out has ended."""
    return progress.state in (RolloutState.DONE, RolloutState.ROLLED_BACK)


def advance(
    rollout: VersionRollout,
    elapsed: float,
    new: Evidence,
    old: Evidence,
    old_running: int = 0,
) -> RolloutProgress:
    """Return the progress that is due, the same one if nothing is."""
    progress = rollout.progress
    if is_final(progress):
        return progress
    if is_bad(new, old, progress.step):
        return attrs.evolve(progress, state=RolloutState.ROLLED_BACK)
    if progress.state is RolloutState.ORDERED:
        return attrs.evolve(progress, state=RolloutState.RUNNING, step=0)
    part = elapsed / rollout.duration
    if progress.step == TRIAL:
        proved = new.total >= PROVING_ANSWERS or part >= TRIAL_ENDS_AT
        if proved and not is_suspicious(new, old):
            return attrs.evolve(progress, step=SHARED)
        if part >= ALONE_AT:
            return attrs.evolve(progress, state=RolloutState.ROLLED_BACK)
        return progress
    if progress.step == SHARED:
        due = part >= ALONE_AT
        return attrs.evolve(progress, step=ALONE) if due else progress
    drained = part >= DONE_FROM and old_running == 0
    if drained or part >= DONE_AT:
        return attrs.evolve(progress, state=RolloutState.DONE)
    return progress


def takes_new_version(
    rollout: VersionRollout, session: str, was_on_new: bool | None
) -> bool:
    """Tell whether a session runs on the new version.

    `was_on_new` tells whether it did shortly before, None for a new session.
    """
    state, step = rollout.progress.state, rollout.progress.step
    if state is RolloutState.DONE:
        return True
    if state is not RolloutState.RUNNING:
        return False
    if was_on_new:
        return True
    if was_on_new is not None and step < ALONE:
        return False
    share = STEP_SHARES[min(step, len(STEP_SHARES) - 1)]
    return _position(f"{rollout.created}/{session}") < share


def _position(text: str) -> float:
    """Return a number in [0, 1) that all hosts share for a text."""
    return int.from_bytes(rank(text)) / 2.0**64
