from masticfork.systems.stream_pace import (
    MIN_HOSTS,
    MIN_PACES,
    PaceBaseline,
    StreamPace,
)


class TestPaceBaseline:
    def baseline(self, running=4, seconds=0.03, count=MIN_PACES):
        baseline = PaceBaseline()
        for _ in range(count):
            baseline.add(StreamPace(0, running, seconds))
        return baseline

    def test_slow_engine_is_found_by_the_pace_of_its_streams(self):
        """Guards against slow versions whose first events come in time."""
        baseline = self.baseline()
        assert baseline.is_slow(StreamPace(0, 4, 0.07))
        assert not baseline.is_slow(StreamPace(0, 4, 0.04))

    def test_idle_server_is_compared_with_busier_ones(self):
        """Guards against slow versions that look usual because they run few calls."""
        baseline = self.baseline(running=20)
        assert baseline.is_slow(StreamPace(0, 1, 0.07))
        assert not baseline.is_slow(StreamPace(0, 1, 0.02))

    def test_busy_server_is_not_compared_with_idle_ones(self):
        assert self.baseline(running=1).is_slow(StreamPace(0, 20, 0.07)) is None

    def test_lowest_usual_pace_of_any_load_above_counts(self):
        baseline = self.baseline(running=20, seconds=0.2)
        for _ in range(MIN_PACES):
            baseline.add(StreamPace(0, 3, 0.03))
        assert baseline.is_slow(StreamPace(0, 1, 0.07))

    def test_few_streams_are_no_baseline_unless_other_hosts_know_some(self):
        """Guards against slow versions that look good to hosts with little traffic."""
        baseline, pace = self.baseline(count=1), StreamPace(0, 4, 0.07)
        assert baseline.is_slow(pace) is None
        others = [self.baseline(count=1).usual for _ in range(MIN_HOSTS - 1)]
        assert baseline.is_slow(pace, others)
        assert PaceBaseline().is_slow(pace, others) is None
