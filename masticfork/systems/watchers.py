"""Which hosts watch the platform for newer configurations.

A few in each region, by rendezvous hashing among the live hosts; all of them in a
small fleet. Hosts may differ for a moment on who they are: one watcher too many
costs a waiting call, one too few is made up for by other regions and by the next
heartbeats.
"""

from masticfork.core.ids import HostName, rank
from masticfork.core.tables import Tables
from masticfork.systems.membership import live_hosts

WATCHERS_PER_REGION = 2
ALL_WATCH_HOSTS = 4


def watchers(tables: Tables) -> frozenset[HostName]:
    """Return the hosts that watch the platform for this host's region."""
    me = tables.me
    others = live_hosts(tables)
    mine = [] if me.stopping else [me.host]
    if len(others) + len(mine) <= ALL_WATCH_HOSTS:
        return frozenset([*mine, *(row.host for row in others)])
    near = [row.host for row in others if row.region == me.region]
    ranked = sorted([*mine, *near], key=lambda host: rank("watcher", me.region, host))
    return frozenset(ranked[:WATCHERS_PER_REGION])


def watches(tables: Tables) -> bool:
    """Tell whether this host watches the platform."""
    return tables.me.host in watchers(tables)
