"""Stepwise rollout of a service's new version, with rollback of a bad one.

All hosts follow the step in the store. A host that finds the new version bad stops
sending requests to it at once and records the rollback. Any host may record the next
step, with a conditional write that fails if another host has written since.
"""

from collections import deque

import attrs

from masticfork.core.backend_servers import (
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.ids import stable_hash

# Share of new sessions that each step sends to the new version: a canary, an even split
# and the full service. A bad version may get at most 0.15 of all requests during the
# rollout; the canary step lasts at most two thirds of the rollout's duration.
STEP_SHARES = (0.15, 0.5, 1.0)
CANARY, SPLIT, FULL = 0, 1, 2
# The canary step ends after this many answers of the new version, or at this fraction
# of the rollout's duration with fewer answers.
CANARY_ANSWERS = 20.0
CANARY_END_FRACTION = 0.5
# Fractions of the duration at which the new version serves alone and at which the
# rollout is done. Requests that still run on the old version when the rollout is done
# are lost, so it is done as late as possible.
FULL_FRACTION = 0.66
DONE_FRACTION = 0.92
# From this fraction on, the rollout is done once nothing runs on the old version.
EARLY_DONE_FRACTION = 0.8
# Fractions of the duration at which a version that is still suspicious in the canary
# or in the split step is rolled back.
SUSPICION_END_FRACTIONS = (FULL_FRACTION, EARLY_DONE_FRACTION)
# A version is bad if its failed, or its slow, answers exceed those allowed by this
# number. Allowed are the old version's share and this additional share of all answers.
# So a few answers must differ more than many do.
FAILED_EXCESS, FAILED_ALLOWANCE = 2.25, 0.1
SLOW_EXCESS, SLOW_ALLOWANCE = 3.0, 0.1
# With this fraction of the excess, a version does not get more requests.
SUSPICION_FRACTION = 0.5
# An answer is slow if it took longer than this quantile of the old version's recent
# answers by this factor. Times are compared relative to the expected ones, since these
# differ with the length of the prompt, what the server keeps of it, and its queue.
USUAL_QUANTILE = 0.9
SLOW_MULTIPLE = 1.3
# Added to expected times, which contain neither transport nor an engine's first step.
FIXED_RESPONSE_SECONDS = 0.05
# Faster answers never count as slow.
MIN_SLOW_SECONDS = 0.03
MAX_BASELINE_TIMES = 60
MIN_BASELINE_TIMES = 10
# Earlier answers lose weight by this factor each second, so that good answers in the
# past do not hide a version that turns bad later.
DECAY_PER_SECOND = 0.93


@attrs.define
class AnswerCounts:
    """Exponentially decayed counts of one version's answers.

    Every answer counts as good or bad; a slow one counts as slow in addition.
    """

    good: float = 0.0
    bad: float = 0.0
    slow: float = 0.0
    # Time in seconds up to which the counts are decayed.
    decayed_at: float = 0.0

    @property
    def total(self) -> float:
        """Return the decayed number of answers."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Return the share of failed answers, 0 if there are no answers."""
        return self.bad / self.total if self.total else 0.0

    @property
    def slow_share(self) -> float:
        """Return the share of slow answers, 0 if there are no answers."""
        return self.slow / self.total if self.total else 0.0

    def add(self, bad: bool, slow: bool, now: float) -> None:
        """Record one answer at `now`, in seconds."""
        weight = DECAY_PER_SECOND ** max(0.0, now - self.decayed_at)
        self.good = self.good * weight + float(not bad)
        self.bad = self.bad * weight + float(bad)
        self.slow = self.slow * weight + float(slow)
        self.decayed_at = now


@attrs.frozen
class ResponseTime:
    """Seconds until the first byte of a response, or until the call was abandoned.

    `size` is the model's index in the route, smallest first; only times of equal size
    are compared. `expected` are the seconds estimated when the call was sent.
    """

    size: int
    seconds: float
    expected: float = 0.0

    @property
    def relative(self) -> float:
        """Return the time as a multiple of the expected one."""
        return self.seconds / (self.expected + FIXED_RESPONSE_SECONDS)


@attrs.define
class LatencyBaseline:
    """The usual version's recent times to first byte by model size.

    Times are relative to the expected ones.
    """

    _times: dict[int, deque[float]] = attrs.field(factory=dict)

    def add(self, time: ResponseTime) -> None:
        """Record a time to first byte of the usual version."""
        times = self._times.setdefault(time.size, deque(maxlen=MAX_BASELINE_TIMES))
        times.append(time.relative)

    def is_slow(self, time: ResponseTime) -> bool:
        """Return whether an answer of either version is slow against the baseline."""
        times = self._times.get(time.size, ())
        if len(times) < MIN_BASELINE_TIMES or time.seconds < MIN_SLOW_SECONDS:
            return False
        usual = sorted(times)[int(len(times) * USUAL_QUANTILE)]
        return time.relative > usual * SLOW_MULTIPLE


def is_bad(new: AnswerCounts, old: AnswerCounts) -> bool:
    """Return whether the new version must be rolled back."""
    return _badness(new, old) >= 1.0


def is_suspicious(new: AnswerCounts, old: AnswerCounts) -> bool:
    """Return whether the new version may be bad, without conclusive evidence."""
    return _badness(new, old) >= SUSPICION_FRACTION


def _badness(new: AnswerCounts, old: AnswerCounts) -> float:
    """Return the larger excess of failed or slow answers, 1 if it is conclusive."""
    failed = new.bad - (old.bad_share + FAILED_ALLOWANCE) * new.total
    slow = new.slow - (old.slow_share + SLOW_ALLOWANCE) * new.total
    return max(failed / FAILED_EXCESS, slow / SLOW_EXCESS)


def is_final(progress: RolloutProgress) -> bool:
    """Return whether a rollout has ended."""
    return progress.state in (RolloutState.DONE, RolloutState.ROLLED_BACK)


def with_known_progress(
    listed: VersionRollout, known: VersionRollout
) -> VersionRollout:
    """Return a listed rollout with the furthest progress known of the same order.

    Progress that a restored store has lost still holds: a version that was judged bad
    is not offered again. The operator writes the order again, so it has a new revision.
    """
    restored = known.position.era < listed.position.era
    same_object = known.object_created == listed.object_created
    same_order = same_object or known.created == listed.created or restored
    if known.target != listed.target or not same_order:
        return listed
    progress = listed.progress
    if _stage(progress) < _stage(known.progress):
        progress = known.progress
    return attrs.evolve(listed, created=known.created, progress=progress)


def _stage(progress: RolloutProgress) -> tuple[int, int]:
    """Return a value that grows as a rollout advances."""
    if is_final(progress):
        return 2, 0
    return int(progress.state is RolloutState.RUNNING), progress.step


def next_progress(
    rollout: VersionRollout,
    elapsed: float,
    new: AnswerCounts,
    old: AnswerCounts,
    old_running: int = 0,
    has_servers: bool = True,
) -> RolloutProgress:
    """Return the rollout's next progress, or the current one if no change is due.

    `elapsed` is the time in seconds since the rollout was ordered, `old_running` the
    number of requests still running on the old version, and `has_servers` states
    whether the new version has any server: without one it never replaces the old one.
    """
    progress = rollout.progress
    if is_final(progress):
        return progress
    if is_bad(new, old):
        return attrs.evolve(progress, state=RolloutState.ROLLED_BACK)
    if progress.state is RolloutState.ORDERED:
        return attrs.evolve(progress, state=RolloutState.RUNNING, step=0)
    fraction = elapsed / rollout.duration
    if not has_servers:
        if fraction >= DONE_FRACTION:
            return attrs.evolve(progress, state=RolloutState.ROLLED_BACK)
        return progress
    if progress.step < FULL:
        canary_passed = new.total >= CANARY_ANSWERS or fraction >= CANARY_END_FRACTION
        due = canary_passed if progress.step == CANARY else fraction >= FULL_FRACTION
        if due and not is_suspicious(new, old):
            return attrs.evolve(progress, step=progress.step + 1)
        if fraction >= SUSPICION_END_FRACTIONS[progress.step]:
            return attrs.evolve(progress, state=RolloutState.ROLLED_BACK)
        return progress
    drained = fraction >= EARLY_DONE_FRACTION and old_running == 0
    if (drained and not is_suspicious(new, old)) or fraction >= DONE_FRACTION:
        return attrs.evolve(progress, state=RolloutState.DONE)
    return progress


def runs_on_new_version(
    rollout: VersionRollout, session: str, was_on_new: bool | None
) -> bool:
    """Return whether a session runs on the new version.

    `was_on_new` states whether it ran there before; it is None for a new session.
    """
    state, step = rollout.progress.state, rollout.progress.step
    if state is RolloutState.DONE:
        return True
    if state is not RolloutState.RUNNING:
        return False
    if was_on_new:
        return True
    if was_on_new is not None and step < FULL:
        return False
    share = STEP_SHARES[min(step, len(STEP_SHARES) - 1)]
    return _hash_fraction(f"{rollout.created}/{session}") < share


def _hash_fraction(text: str) -> float:
    """Return a hash of the text in [0, 1) that is the same on every host."""
    return int.from_bytes(stable_hash(text)) / 2.0**64
