"""States of an entry host as other entry hosts see it."""

import enum
from typing import NewType

# A group of availability zones that fails apart from other groups.
RegionName = NewType("RegionName", str)


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
