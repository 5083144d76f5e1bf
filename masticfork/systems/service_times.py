"""Estimate how long requests are in service."""

import attrs

from masticfork.core.manifest import WorkClass

# Gains and the factor of the deviation as in V. Jacobson, "Congestion Avoidance
# and Control", SIGCOMM 1988, for the estimate of round-trip times.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4.0
# Used before the first request has ended.
FIRST_SECONDS = 0.1


@attrs.define
class ServiceTimes:
    """Mean and mean deviation of service times by class, in seconds."""

    _mean: dict[WorkClass, float] = attrs.field(factory=dict)
    _deviation: dict[WorkClass, float] = attrs.field(factory=dict)

    def observe(self, work_class: WorkClass, seconds: float) -> None:
        """Take in the service time of a request that has ended."""
        mean = self._mean.get(work_class)
        if mean is None:
            self._mean[work_class] = seconds
            self._deviation[work_class] = seconds / 4
            return
        error = seconds - mean
        self._mean[work_class] = mean + MEAN_GAIN * error
        deviation = self._deviation[work_class]
        deviation += DEVIATION_GAIN * (abs(error) - deviation)
        self._deviation[work_class] = deviation

    def mean(self, work_class: WorkClass) -> float:
        """Return the mean service time."""
        return self._mean.get(work_class, FIRST_SECONDS)

    def long(self, work_class: WorkClass) -> float:
        """Return a service time that few requests exceed."""
        deviation = self._deviation.get(work_class, 0.0)
        return self.mean(work_class) + DEVIATIONS * deviation
