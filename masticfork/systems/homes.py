"""The regions in which requests may be served, as routes and teams restrict them.

Where a route and a team both name home regions, both bind.
"""

from collections.abc import Iterable, Mapping, Set

import attrs

from masticfork.core.findings import Finding, Findings, SourceLocation
from masticfork.core.routes import Route, RoutedTeam, RouteTable


@attrs.frozen
class ZoneRegions:
    """The regions of the availability zones."""

    by_zone: Mapping[str, str]

    def permits(self, zone: str, regions: Set[str] | None) -> bool:
        """Return whether a request with these home regions may be sent to a zone.

        None stands for no restriction. A zone whose region is unknown is in none.
        """
        return regions is None or self.by_zone.get(zone) in regions


def home_regions(route: Route, team: RoutedTeam | None) -> frozenset[str] | None:
    """Return the regions that may serve a team's request, None for all."""
    team_regions = None if team is None else team.regions
    if route.regions is None or team_regions is None:
        return route.regions if team_regions is None else team_regions
    return route.regions & team_regions


def check_homes(table: RouteTable, zones: ZoneRegions) -> Findings:
    """Return a finding for each route and team that no availability zone may serve."""
    known = frozenset(zones.by_zone.values())
    routes = (("routes", route.name, route.regions) for route in table.routes)
    teams = (("tenants", team.name, team.regions) for team in table.teams)
    return tuple(_unserved([*routes, *teams], known))


def _unserved(
    entries: Iterable[tuple[str, str, frozenset[str] | None]], known: frozenset[str]
) -> Iterable[Finding]:
    for kind, name, regions in entries:
        if regions is not None and not regions & known:
            place = SourceLocation("config/main", f"{kind}/{name}")
            message = f"no availability zone lies in {sorted(regions)}"
            yield Finding("configuration.no_home", place, message)
