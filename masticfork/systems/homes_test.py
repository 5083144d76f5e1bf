import attrs
import pytest

from masticfork.core.routes import CallerLimits, RoutedTeam, RouteKind, RouteTable
from masticfork.systems.homes import ZoneRegions, check_homes, home_regions
from standins.typed_routes import typed_route

ZONES = ZoneRegions({"zone-a": "north", "zone-b": "south"})
ROUTE = typed_route(RouteKind.IDEMPOTENT)
TEAM = RoutedTeam("team-1", ("key",))
NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})


class TestHomeRegions:
    @pytest.mark.parametrize(
        ("route_regions", "team_regions", "expected"),
        [
            (None, None, None),
            (NORTH, None, NORTH),
            (None, SOUTH, SOUTH),
            (NORTH | SOUTH, SOUTH, SOUTH),
            (NORTH, SOUTH, frozenset()),
        ],
    )
    def test_route_and_team_both_bind(self, route_regions, team_regions, expected):
        """Guards against a request that leaves the region of its route or its team."""
        route = attrs.evolve(ROUTE, regions=route_regions)
        team = attrs.evolve(TEAM, regions=team_regions)
        assert home_regions(route, team) == expected

    def test_public_route_has_no_team(self):
        assert home_regions(attrs.evolve(ROUTE, regions=NORTH), None) == NORTH


class TestZoneRegions:
    def test_permits_zones_of_the_regions_only(self):
        assert ZONES.permits("zone-a", NORTH)
        assert not ZONES.permits("zone-b", NORTH)
        assert not ZONES.permits("zone-unknown", NORTH)
        assert ZONES.permits("zone-unknown", None)


class TestCheckHomes:
    def test_names_routes_and_teams_that_no_zone_may_serve(self):
        table = RouteTable(
            version=1,
            routes=(
                attrs.evolve(ROUTE, name="lost", regions=frozenset({"west"})),
                attrs.evolve(ROUTE, name="served", regions=NORTH),
            ),
            services={},
            teams=(attrs.evolve(TEAM, regions=frozenset({"east"})),),
            limits=CallerLimits(),
            keys_required=True,
        )
        findings = check_homes(table, ZONES)
        places = [str(finding.place) for finding in findings]
        assert places == ["config/main routes/lost", "config/main tenants/team-1"]
