"""Rollouts of versions that turn bad some time after their first answers."""

import functools

import attrs
import pytest

from masticfork.core.backend_servers import RolloutState
from masticfork.relay.loaded_versions_test import DAYS, Service, Simulation, good

SHORT_WORK_SECONDS = 0.015
FAILED_SHARE = 0.5
SEEDS = range(1, 5)
RATES = [8.0, 31.0, 120.0]
DURATION_SECONDS = 16.0
# Seconds from the order to the first bad answer.
ONSETS = [0.0, 5.0, 9.0, 11.0, 12.5, 13.6, 14.0]


def service(rate, duration=DURATION_SECONDS):
    return Service(rate, duration=duration, work_seconds=SHORT_WORK_SECONDS)


def with_burst(seconds_before_end):
    """Return a light service with a burst before the end of the rollout's time."""
    burst_from = DURATION_SECONDS - seconds_before_end
    return attrs.evolve(service(8.0), burst_from=burst_from, burst_factor=4.0)


def turning_bad(onset):
    """Return a version half of whose answers fail from `onset` on."""

    def fails(call, rng):
        return call.age >= onset and rng.random() < FAILED_SHARE

    return fails


def play(version, service, seed):
    with pytest.MonkeyPatch.context() as monkeypatch:
        return Simulation(version, DAYS["calm"], service, seed).play(monkeypatch)


@functools.cache
def played(rate, onset, seed):
    """Return a rollout that has been played, the same one for several tests."""
    version = good if onset is None else turning_bad(onset)
    return play(version, service(rate), seed)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("rate", RATES)
class TestVersionThatTurnsBad:
    @pytest.mark.parametrize("onset", ONSETS)
    def test_gets_no_more_than_its_share(self, onset, rate, seed):
        rollout = played(rate, onset, seed)
        assert rollout.sent_by_limit["v2"] <= rollout.allowed

    @pytest.mark.parametrize("onset", ONSETS)
    def test_is_not_completed_on_answers_from_before(self, onset, rate, seed):
        """Guards against completion on answers that are seconds old."""
        rollout = played(rate, onset, seed)
        assert rollout.final is not None
        assert rollout.final[0] is RolloutState.ROLLED_BACK
        assert rollout.late == 0

    def test_version_that_does_not_is_done_in_time(self, rate, seed):
        """Guards against good versions of light services that are refused."""
        rollout = played(rate, None, seed)
        assert rollout.final is not None
        state, age = rollout.final
        assert state is RolloutState.DONE
        assert age < DURATION_SECONDS


@pytest.mark.parametrize("seed", range(1, 13))
@pytest.mark.parametrize("seconds_before_end", [1.5, 1.2, 1.0])
class TestBurstBeforeTheEnd:
    def test_version_gets_no_more_than_its_share(self, seconds_before_end, seed):
        """Guards against requests kept for the usual traffic alone."""
        rollout = play(good, with_burst(seconds_before_end), seed)
        assert rollout.sent_by_limit["v2"] <= rollout.allowed
