"""Select the hosts that watch the platform for newer configurations.

In each region, rendezvous hashing selects a few of the live hosts; in a small fleet,
all hosts watch. Hosts may briefly disagree on the selection. A surplus watcher costs
one more pending call; a missing one is compensated by the watchers of other regions
and by the next heartbeats.
"""

from masticfork.core.ids import HostName, stable_hash
from masticfork.core.tables import Tables
from masticfork.systems.membership import live_hosts

WATCHERS_PER_REGION = 2
# In a fleet of up to this number of hosts, all of them watch.
ALL_WATCH_MAX_HOSTS = 4


def watchers(tables: Tables) -> frozenset[HostName]:
    """Return the watchers in this host's region; all hosts in a small fleet."""
    me = tables.me
    others = live_hosts(tables)
    own = [] if me.stopping else [me.host]
    if len(others) + len(own) <= ALL_WATCH_MAX_HOSTS:
        return frozenset([*own, *(row.host for row in others)])
    same_region = [row.host for row in others if row.region == me.region]
    ranked = sorted(
        [*own, *same_region], key=lambda host: stable_hash("watcher", me.region, host)
    )
    return frozenset(ranked[:WATCHERS_PER_REGION])


def is_watcher(tables: Tables) -> bool:
    """Return whether this host watches the platform."""
    return tables.me.host in watchers(tables)
