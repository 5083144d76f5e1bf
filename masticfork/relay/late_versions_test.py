"""Rollouts of versions that turn bad some time after their first answers."""

import functools

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


def turning_bad(onset):
    """Return a version half of whose answers fail from `onset` on."""

    def fails(call, rng):
        return call.age >= onset and rng.random() < FAILED_SHARE

    return fails


@functools.cache
def played(rate, onset, seed):
    """Return a rollout that has been played, the same one for several tests."""
    version = good if onset is None else turning_bad(onset)
    with pytest.MonkeyPatch.context() as monkeypatch:
        simulation = Simulation(version, DAYS["calm"], service(rate), seed)
        return simulation.play(monkeypatch)


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
