"""Requests of routes and teams with home regions, with a real host and servers."""

import pytest

from standins.entry_environment import (
    SERVICE,
    configuration,
    route,
    running_entry_host,
)
from standins.scripted_server import response

REGIONS = {"zone-a": "north", "zone-b": "south"}


def answer(request):
    yield response(request, b"whole")


class TestHomes:
    @pytest.mark.parametrize(
        ("route_changes", "team_changes"),
        [
            ({"allowed_regions": ["south"]}, {}),
            ({}, {"allowed_regions": ["south"]}),
            ({"allowed_regions": ["south"]}, {"allowed_regions": ["south", "north"]}),
        ],
    )
    def test_requests_reach_servers_of_the_home_only(self, route_changes, team_changes):
        """Guards against requests to the nearest server outside their home."""
        spec = configuration(1, route("safe", **route_changes))
        spec["tenants"][0].update(team_changes)
        with running_entry_host(spec, zone_regions=REGIONS) as env:
            outside = env.add_server(answer, SERVICE, zone="zone-a")
            inside = env.add_server(answer, SERVICE, zone="zone-b")
            env.wait_for_servers(2)
            statuses = [env.send("/safe/x").status for _ in range(5)]
            assert statuses == [200] * 5
            assert outside.requests == []
            assert len(inside.requests) == 5

    def test_request_without_a_server_in_its_home_is_refused_at_once(self):
        spec = configuration(1, route("unsafe", allowed_regions=["west"]))
        with running_entry_host(spec, zone_regions=REGIONS) as env:
            server = env.add_server(answer, SERVICE, zone="zone-a")
            env.wait_for_servers(1)
            refusal = env.send("/unsafe/x")
            assert refusal.status == 503
            assert server.requests == []
            assert env.logged(
                "configuration finding",
                code="configuration.no_home",
                place="config/main routes/r-unsafe",
            )
