"""When a rollout gives its new version all requests, and when it is completed."""

import attrs

# Fraction of the time of a rollout before which it does not get all of them: sessions
# of the old version stay there in its first half.
EARLIEST_FULL_FRACTION = 0.52
# Time before the end at which a rollout is completed, beyond two writes to the store,
# and the most of it as a fraction of the whole time. Hosts write one after the other,
# since the first may be lost, and operators see it 0.35 s later.
COMPLETION_SECONDS, MAX_COMPLETION_FRACTION = 0.45, 0.15
# Time from when the full step is due until all hosts follow it, beyond two calls to the
# store.
STEP_SECONDS = 0.1
# Fraction of the time from the full step to the end at which it begins for a version
# that has not answered enough, since the service has few requests.
UNPROVEN_FRACTION = 0.85
# Fraction of the time from the completion to the end at which a version that has no
# recent answers is rolled back.
LAST_CHANCE_FRACTION = 0.8


@attrs.frozen
class RolloutPlan:
    """Times of a rollout, in seconds since its order."""

    # From when on the new version gets all requests.
    full_from: float
    # From when on it replaces the old one, if its answers allow it.
    complete_from: float
    # When the time of the rollout ends.
    ends_at: float

    @property
    def times(self) -> tuple[float, ...]:
        """Return when a change may be due."""
        return self.full_from, self.complete_from, self.give_up_from, self.ends_at

    @property
    def full_seconds(self) -> float:
        """Return how long the new version gets all requests before the completion."""
        return self.complete_from - self.full_from

    @property
    def alone_seconds(self) -> float:
        """Return how long the new version serves alone between completion and end."""
        return self.ends_at - self.complete_from

    @property
    def unproven_full_from(self) -> float:
        """Return when a version that has not answered enough gets all requests."""
        return self.ends_at - UNPROVEN_FRACTION * (self.ends_at - self.full_from)

    @property
    def give_up_from(self) -> float:
        """Return from when on a version without recent answers is rolled back."""
        return self.ends_at - LAST_CHANCE_FRACTION * self.alone_seconds

    @classmethod
    def of(
        cls, duration: float, full_seconds: float, store_seconds: float
    ) -> "RolloutPlan":
        """Return the plan of a rollout; all times are in seconds.

        `full_seconds` is how long the version may get all requests, and `store_seconds`
        how long a write to the store takes.
        """
        completion = min(
            COMPLETION_SECONDS + 2.0 * store_seconds, MAX_COMPLETION_FRACTION * duration
        )
        complete_from = duration - completion
        earliest = EARLIEST_FULL_FRACTION * duration
        full_seconds += STEP_SECONDS + 2.0 * store_seconds
        full_from = min(max(earliest, complete_from - full_seconds), complete_from)
        return cls(full_from, complete_from, duration)
