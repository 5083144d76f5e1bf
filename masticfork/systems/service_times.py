"""Estimate the service time of requests by work class."""

import attrs

from masticfork.core.manifest import WorkClass

# Gains and deviation factor of the round-trip time estimator in V. Jacobson,
# "Congestion Avoidance and Control", SIGCOMM 1988.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4.0
# Estimate until the first request of a class has ended.
DEFAULT_SERVICE_SECONDS = 0.1


@attrs.define
class ServiceTimes:
    """Moving mean and mean deviation of service times by work class, in seconds."""

    _mean: dict[WorkClass, float] = attrs.field(factory=dict)
    _deviation: dict[WorkClass, float] = attrs.field(factory=dict)

    def observe(self, work_class: WorkClass, seconds: float) -> None:
        """Record the service time in seconds of a request that has ended."""
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
        """Return the mean service time in seconds."""
        return self._mean.get(work_class, DEFAULT_SERVICE_SECONDS)

    def upper_bound(self, work_class: WorkClass) -> float:
        """Return a service time in seconds that few requests exceed."""
        deviation = self._deviation.get(work_class, 0.0)
        return self.mean(work_class) + DEVIATION_FACTOR * deviation
