"""Wait until a configuration is in force everywhere."""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.admin.client import AdminClient, CallFailure
from masticfork.admin.views import HostHealth
from masticfork.core.deadlines import Deadline

# Time in seconds between two looks at the hosts.
POLL_SECONDS = 0.2

# Hosts that get no new callers need not be waited for.
_GONE = frozenset({HostHealth.DEAD.value, HostHealth.LEAVING.value})


@attrs.frozen
class Spread:
    """How far a configuration has come."""

    hosts: int
    lagging: tuple[str, ...]


def spread(client: AdminClient, number: int) -> Result[Spread, CallFailure]:
    """Ask how many hosts have the configuration or a newer one in force."""
    hosts = 0
    lagging: list[str] = []
    for page in client.pages("/status", {"limit": 500}, "after"):
        if isinstance(page, Err):
            return page
        for host in page.ok_value["hosts"]:
            if host["health"] in _GONE:
                continue
            hosts += 1
            if host["configuration_number"] < number:
                lagging.append(host["name"])
    return Ok(Spread(hosts, tuple(lagging)))


def wait_everywhere(
    client: AdminClient,
    number: int,
    deadline: Deadline,
    progress: Callable[[Spread], None],
    now: Callable[[], float],
    sleep: Callable[[float], None],
) -> Result[Spread, CallFailure]:
    """Return once no host lags, or with the hosts that lag at the deadline."""
    while True:
        seen = spread(client, number)
        if isinstance(seen, Ok):
            progress(seen.ok_value)
            if seen.ok_value.hosts and not seen.ok_value.lagging:
                return seen
        if deadline.expired(now()):
            return seen
        sleep(POLL_SECONDS)
