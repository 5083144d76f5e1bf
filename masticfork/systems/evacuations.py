"""Availability zones whose servers get no requests until they are taken back."""

from collections.abc import Set

import attrs


@attrs.frozen
class ZoneChange:
    """The start or the end of the evacuation of one availability zone."""

    zone: str
    evacuated: bool


@attrs.define(eq=False)
class Evacuations:
    """The evacuated zones, as far as this host knows."""

    # Whether the store's list of them is known, or none is expected.
    known: bool
    _zones: set[str] = attrs.field(factory=set)
    # Zones whose orders a restored store has lost.
    _unlisted: set[str] = attrs.field(factory=set)

    @property
    def zones(self) -> frozenset[str]:
        """Return the evacuated zones."""
        return frozenset(self._zones)

    def __contains__(self, zone: str) -> bool:
        return zone in self._zones

    def begin(self, zone: str) -> bool:
        """Evacuate a zone; return whether it was not evacuated before."""
        self._unlisted.discard(zone)
        is_new = zone not in self._zones
        self._zones.add(zone)
        return is_new

    def end(self, zone: str) -> bool:
        """Take a zone back; return whether it was evacuated before."""
        self._unlisted.discard(zone)
        was_evacuated = zone in self._zones
        self._zones.discard(zone)
        return was_evacuated

    def keep_unlisted(self, zones: Set[str]) -> None:
        """Remember which zones a restored store does not list, until `end_unlisted`."""
        self._unlisted |= self._zones - zones

    def end_unlisted(self) -> list[ZoneChange]:
        """Take back the zones that a restored store has lost; return the changes."""
        zones = sorted(self._unlisted)
        return [ZoneChange(zone, False) for zone in zones if self.end(zone)]

    def replace(self, zones: Set[str]) -> list[ZoneChange]:
        """Replace all zones by those listed; return the changes."""
        self.known = True
        self._unlisted.clear()
        ended = [ZoneChange(zone, False) for zone in sorted(self._zones - zones)]
        begun = [ZoneChange(zone, True) for zone in sorted(zones - self._zones)]
        self._zones = set(zones)
        return [*ended, *begun]
