"""Membership records that entry hosts exchange about each other."""

import enum
from typing import NewType

import attrs

from masticfork.core.ids import HostName, ZoneName

# A group of availability zones that fails independently of other groups.
RegionName = NewType("RegionName", str)
NO_REGION = RegionName("")


class HostState(enum.IntEnum):
    """Liveness of a host as its peers see it; the values are wire codes."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3

    @classmethod
    def _missing_(cls, value: object) -> "HostState":
        """Decode a code that only a newer protocol has as UNKNOWN."""
        return cls.UNKNOWN


@attrs.frozen
class HostReport:
    """One report about an entry host, sent by itself or by a peer."""

    host: HostName
    zone: ZoneName
    region: RegionName
    # `IP:PORT` for peers; in a short report address, zone and region are empty.
    address: str
    incarnation: int
    # Time of the host's last heartbeat, in seconds on the receiver's clock.
    heard_at: float
    state: HostState = HostState.ALIVE
    leaving: bool = False
    configuration_number: int = 0


@attrs.frozen
class ListedHost:
    """An entry host in the platform's host list, which may be out of date."""

    host: HostName
    zone: ZoneName
    address: str
    leaving: bool = False
