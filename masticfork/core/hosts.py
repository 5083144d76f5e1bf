"""What entry hosts know and tell of each other."""

import enum
from typing import NewType

import attrs

from masticfork.core.ids import HostName, ZoneName

# A group of availability zones that fails apart from other groups.
RegionName = NewType("RegionName", str)
NO_REGION = RegionName("")


class HostState(enum.IntEnum):
    """How sure it is that a host runs; the values are the codes on the wire."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3

    @classmethod
    def _missing_(cls, value: object) -> "HostState":
        """Read a code of a newer protocol as unknown."""
        return cls.UNKNOWN


@attrs.frozen
class HostReport:
    """One statement about an entry host, by itself or by another one."""

    host: HostName
    zone: ZoneName
    region: RegionName
    # `IP:PORT` for peers; a short report leaves it, zone and region empty.
    address: str
    incarnation: int
    # When the host was last heard, in seconds on the receiver's clock.
    heard_at: float
    state: HostState = HostState.ALIVE
    leaving: bool = False
    configuration_number: int = 0


@attrs.frozen
class ListedHost:
    """An entry host as the platform's lagging list has it."""

    host: HostName
    zone: ZoneName
    address: str
    leaving: bool = False
