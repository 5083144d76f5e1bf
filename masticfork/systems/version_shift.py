"""Stepwise rollout of a service's new version, with rollback of a bad one.

All hosts follow the step in the store. A host that finds the new version bad stops
sending requests to it at once and records the rollback. Any host may record the next
step, with a conditional write that fails if another host has written since. What the
version may get before the end of the rollout's time is limited by `exposure`. It is
completed only on recent answers under the full load of the service.
"""

import statistics
from collections import deque
from collections.abc import Mapping, Sequence

import attrs

from masticfork.core.backend_servers import (
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.ids import stable_hash
from masticfork.systems.rollout_plan import RolloutPlan
from masticfork.systems.version_evidence import Assessment

# The canary step gets a part of the requests that a version may get before it is
# proven, the full step all requests as far as that limit allows.
CANARY, FULL = 0, 1
# Fraction of the sessions from which the canary step takes its requests. All hosts take
# the same ones, so that a session that changes hosts mostly keeps its version.
CANARY_CANDIDATES = 0.5
# An answer is slow if it took longer than this quantile of the old version's recent
# answers by this factor. Times are compared relative to the expected ones, since these
# differ with the length of the prompt, what the server keeps of it, and its queue.
USUAL_QUANTILE = 0.9
SLOW_MULTIPLE = 2.0
# The same for engines that have just got all requests of their service.
COLD_SLOW_MULTIPLE = 4.0
# Added to expected times, which contain neither transport nor an engine's first step.
FIXED_RESPONSE_SECONDS = 0.05
# Faster answers never count as slow.
MIN_SLOW_SECONDS = 0.03
MAX_BASELINE_TIMES = 60
MIN_BASELINE_TIMES = 10
# Earlier answers of the old version lose weight by this factor each second.
DECAY_PER_SECOND = 0.93


@attrs.define
class AnswerCounts:
    """Exponentially decayed counts of the old version's answers.

    Every answer counts as good or bad; a slow one counts as slow in addition.
    """

    good: float = 0.0
    bad: float = 0.0
    slow: float = 0.0
    # Time in seconds up to which the counts are decayed.
    decayed_at: float = 0.0

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

    @property
    def usual_times(self) -> dict[int, float]:
        """Return the usual time of each size of which enough times are known."""
        usual = ((size, self._usual_time(size)) for size in self._times)
        return {size: time for size, time in usual if time is not None}

    def _usual_time(self, size: int) -> float | None:
        times = self._times.get(size, ())
        if len(times) < MIN_BASELINE_TIMES:
            return None
        return sorted(times)[int(len(times) * USUAL_QUANTILE)]

    def add(self, time: ResponseTime) -> None:
        """Record a time to first byte of the usual version."""
        times = self._times.setdefault(time.size, deque(maxlen=MAX_BASELINE_TIMES))
        times.append(time.relative)

    def is_slow(
        self,
        time: ResponseTime,
        elsewhere: Sequence[Mapping[int, float]] = (),
        multiple: float = SLOW_MULTIPLE,
    ) -> bool:
        """Return whether an answer of either version is slow against the baseline.

        `elsewhere` are the usual times of other hosts, for a host that knows too few.
        """
        if time.seconds < MIN_SLOW_SECONDS:
            return False
        usual = self._usual_time(time.size)
        if usual is None:
            others = [times[time.size] for times in elsewhere if time.size in times]
            if not others:
                return False
            usual = statistics.median(others)
        return time.relative > usual * multiple


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


def with_known_rejections(
    rollout: VersionRollout, known: VersionRollout
) -> VersionRollout:
    """Return a rollout with the versions that are rejected after an earlier one.

    The target of an order is not rejected: it is tried anew.
    """
    rejected = rollout.rejected | rejected_versions(known)
    return attrs.evolve(rollout, rejected=rejected - {rollout.target})


def rejected_versions(rollout: VersionRollout) -> frozenset[str]:
    """Return the versions that requests must not use after this order."""
    if rollout.progress.state is RolloutState.ROLLED_BACK:
        return rollout.rejected | {rollout.target}
    return rollout.rejected


def _stage(progress: RolloutProgress) -> tuple[int, int]:
    """Return a value that grows as a rollout advances."""
    if is_final(progress):
        return 2, 0
    return int(progress.state is RolloutState.RUNNING), progress.step


def next_progress(
    rollout: VersionRollout,
    elapsed: float,
    assessment: Assessment,
    plan: RolloutPlan,
    has_servers: bool = True,
    confirmed: bool = True,
    affordable: bool = True,
) -> RolloutProgress:
    """Return the rollout's next progress, or the current one if no change is due.

    `elapsed` is the time in seconds since the rollout was ordered, and `has_servers`
    states whether the new version has any server: without one it never replaces the old
    one. It is `confirmed` if there are recent answers under the full load of the
    service, and `affordable` if it may serve alone until the end of the rollout's time.
    """
    progress = rollout.progress
    if is_final(progress):
        return progress
    if assessment.is_bad:
        return attrs.evolve(progress, state=RolloutState.ROLLED_BACK)
    if progress.state is RolloutState.ORDERED:
        return attrs.evolve(progress, state=RolloutState.RUNNING, step=CANARY)
    passed = has_servers and not assessment.is_suspicious
    if elapsed < plan.complete_from:
        proven = assessment.proven
        full_from = plan.full_from if proven else plan.unproven_full_from
        if progress.step < FULL and passed and elapsed >= full_from:
            return attrs.evolve(progress, step=FULL)
        return progress
    if not passed or assessment.doubt >= 1.0 or progress.step < FULL:
        return attrs.evolve(progress, state=RolloutState.ROLLED_BACK)
    if confirmed and assessment.proven:
        done = attrs.evolve(progress, state=RolloutState.DONE)
        return done if affordable else progress
    if elapsed >= plan.give_up_from:
        return attrs.evolve(progress, state=RolloutState.ROLLED_BACK)
    return progress


def is_canary_candidate(rollout: VersionRollout, session: str) -> bool:
    """Return whether the canary step may take a session; the same on all hosts."""
    return hash_fraction(f"{rollout.created}/{session}") < CANARY_CANDIDATES


def hash_fraction(text: str) -> float:
    """Return a hash of the text in [0, 1) that is the same on every host."""
    return int.from_bytes(stable_hash(text)) / 2.0**64
