"""Shares of teams over several hosts, without a network."""

import random

import pytest

from masticfork.systems.team_shares import REPORT_LIFETIME_SECONDS, TeamShares

TEAMS = [f"team-{n}" for n in range(24)]
# A few teams are large.
WEIGHTS = [8.0, 5.0, 3.0, *([1.0] * 21)]
STEP_SECONDS = 0.1


class Fleet:
    """Hosts that each get a random part of the requests of all teams."""

    def __init__(self, hosts, per_second=90.0, seed=1):
        self.rng = random.Random(seed)
        self.hosts = {f"host-{n}": TeamShares() for n in range(hosts)}
        self.per_second, self.due = per_second, 0.0
        self.reporting = True

    def play(self, start, end, factors=None):
        weights = [
            weight * (factors or {}).get(team, 1.0)
            for team, weight in zip(TEAMS, WEIGHTS, strict=True)
        ]
        total = self.per_second * sum(weights) / sum(WEIGHTS)
        now = start
        while now < end:
            self.due += total * STEP_SECONDS
            while self.due >= 1.0:
                self.due -= 1.0
                (team,) = self.rng.choices(TEAMS, weights)
                host = self.rng.choice(list(self.hosts.values()))
                host.record("llm", team, self.rng.choice([1500, 9000, 17000]), now)
            if self.reporting and self.rng.random() < STEP_SECONDS:
                self.report(now)
            now += STEP_SECONDS

    def report(self, now):
        reports = {name: host.report(now) for name, host in self.hosts.items()}
        for name, host in self.hosts.items():
            for sender, report in reports.items():
                if sender != name:
                    host.apply(sender, report, now)

    def over_share(self, team, now):
        """Return the part of the hosts that see a team over its share."""
        seen = [host.is_over_share("llm", team, now) for host in self.hosts.values()]
        return sum(seen) / len(seen)


class TestLoad:
    @pytest.mark.parametrize("hosts", [1, 4, 34])
    def test_team_with_many_times_its_usual_is_over_its_share(self, hosts):
        """Load: one team sends 7.5 times its usual for some seconds."""
        fleet = Fleet(hosts)
        fleet.play(0.0, 15.0)
        fleet.play(15.0, 19.0, {"team-1": 7.5})
        fleet.report(19.0)
        assert fleet.over_share("team-1", 19.0) == 1.0
        others = [fleet.over_share(team, 19.0) for team in TEAMS if team != "team-1"]
        assert sum(others) / len(others) < 0.1
        # What it has sent does not count against it for long.
        fleet.play(19.0, 29.0)
        fleet.report(29.0)
        assert fleet.over_share("team-1", 29.0) == 0.0

    def test_burst_of_all_teams_puts_none_over_its_share(self):
        """Load: all callers come at once; no team takes the room of another."""
        fleet = Fleet(34)
        fleet.play(0.0, 15.0)
        fleet.per_second *= 3.0
        fleet.play(15.0, 19.0)
        fleet.report(19.0)
        over = [fleet.over_share(team, 19.0) for team in TEAMS]
        assert max(over[:3]) == 0.0
        assert sum(over) / len(over) < 0.1

    def test_large_team_with_its_usual_load_is_not_over_its_share(self):
        fleet = Fleet(34)
        fleet.play(0.0, 20.0)
        fleet.report(20.0)
        assert fleet.over_share("team-0", 20.0) == 0.0


class TestFailures:
    def test_host_without_reports_goes_by_what_it_receives(self):
        """Guards against a partition in which a flood goes unnoticed."""
        fleet = Fleet(2)
        fleet.play(0.0, 15.0)
        fleet.reporting = False
        fleet.play(15.0, 21.0, {"team-1": 7.5})
        assert fleet.over_share("team-1", 21.0) == 1.0

    def test_work_of_lost_hosts_expires(self):
        fleet = Fleet(2)
        fleet.play(0.0, 5.0)
        fleet.report(5.0)
        later = 5.0 + REPORT_LIFETIME_SECONDS + 0.1
        alone = TeamShares()
        alone.apply("host-0", fleet.hosts["host-0"].report(5.0), 5.0)
        assert not alone.is_over_share("llm", "team-1", later)

    def test_service_without_work_has_no_team_over_its_share(self):
        assert not TeamShares().is_over_share("llm", "team-1", 1.0)
