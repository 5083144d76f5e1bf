import random

import pytest

from masticfork.systems.server_limits import ServerLimit

WINDOW_SECONDS = 4.0


def allowed(rate):
    """Return the requests that a server may get within the window."""
    return 1.5 * rate * WINDOW_SECONDS + 5


def most_in_window(times):
    """Return the largest number of times within a window."""
    return max(
        (sum(at <= other < at + WINDOW_SECONDS for other in times) for at in times),
        default=0,
    )


class Fleet:
    """Hosts that send to one limited server whenever they may."""

    def __init__(self, names, rate, seed=1):
        self.rng = random.Random(seed)
        self.limits = {name: ServerLimit() for name in names}
        # The hosts that each host knows.
        self.known = {name: set(names) for name in names}
        self.rate, self.sent = rate, []

    def join(self, name):
        self.limits[name] = ServerLimit()
        self.known[name] = set(self.known) | {name}

    def play(self, start, end, step=0.02):
        now = start
        while now < end:
            for name, limit in self.limits.items():
                limit.name(self.rate, now)
                limit.divide(7, name, self.known[name], now)
                if limit.accepts_calls(now) and self.rng.random() < 0.8:
                    limit.take(now)
                    self.sent.append(now)
            now += step


class TestSumOverHosts:
    @pytest.mark.parametrize("rate", [0.5, 1.0, 2.5, 10.0, 60.0])
    @pytest.mark.parametrize("hosts", [1, 4, 28, 77])
    def test_hosts_together_keep_the_limit_and_use_it(self, hosts, rate):
        """Guards against hosts that each keep the limit for themselves."""
        fleet = Fleet([f"host-{n}" for n in range(hosts)], rate)
        fleet.play(0.0, 24.0)
        assert most_in_window(fleet.sent) <= allowed(rate)
        assert len(fleet.sent) > 0.5 * rate * 20.0

    def test_hosts_that_join_or_are_forgotten(self):
        fleet = Fleet([f"host-{n}" for n in range(4)], 1.0)
        fleet.play(0.0, 8.0)
        fleet.join("host-9")
        fleet.play(8.0, 10.0)
        for known in fleet.known.values():
            known.add("host-9")
        fleet.play(10.0, 18.0)
        del fleet.limits["host-0"]
        fleet.play(18.0, 22.0)
        for known in fleet.known.values():
            known.discard("host-0")
        fleet.play(22.0, 30.0)
        assert most_in_window(fleet.sent) <= allowed(1.0)

    def test_halves_that_do_not_know_each_other(self):
        """Guards against hosts that divide a limit among the few that they know."""
        names = [f"host-{n}" for n in range(4)]
        fleet = Fleet(names, 1.0)
        for name in names:
            fleet.known[name] = set(names[:2] if name in names[:2] else names[2:])
        fleet.play(0.0, 20.0)
        assert most_in_window(fleet.sent) <= allowed(1.0)


class TestServerLimit:
    def limited(self, rate=2.0, now=10.0):
        limit = ServerLimit()
        limit.name(rate, now)
        limit.divide(7, "a", ["a"], now)
        return limit

    def test_response_without_limit_lifts_it(self):
        limit = self.limited()
        assert limit.lift(10.5, 10.6)
        assert limit.accepts_calls(10.6)

    def test_response_to_an_earlier_request_does_not_lift_it(self):
        """Guards against limits lifted by responses that cross their announcement."""
        limit = self.limited()
        assert not limit.lift(9.9, 10.2)
        assert not limit.accepts_calls(10.2)

    def test_reports_reach_other_hosts_the_newest_wins(self):
        limit, other = self.limited(), ServerLimit()
        assert other.apply(limit.report(7, 10.3), 110.3)
        assert other.rate == 2.0
        lifted = ServerLimit()
        lifted.apply(limit.report(7, 10.3), 10.3)
        lifted.lift(11.0, 11.1)
        assert other.apply(lifted.report(7, 11.2), 111.2)
        assert other.rate is None
        assert not other.apply(limit.report(7, 11.3), 111.3)

    def test_unused_time_is_not_saved_up(self):
        limit = self.limited()
        sent = 0
        for n in range(40):
            now = 100.0 + n * 0.1
            if limit.accepts_calls(now):
                limit.take(now)
                sent += 1
        assert sent <= 2.0 * WINDOW_SECONDS + 1

    def test_rate_of_zero_still_asks_now_and_then(self):
        limit = self.limited(0.0)
        assert not limit.accepts_calls(11.0)
        assert limit.accepts_calls(60.0)
        assert limit.accepts_at(11.0) > 11.0
