"""Wait until a configuration is in force on all hosts."""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.admin.client import AdminClient, CallFailure
from masticfork.admin.views import HostHealth
from masticfork.core.deadlines import Deadline

POLL_INTERVAL_SECONDS = 0.2

# Hosts in these states get no new callers and need not be waited for.
_EXCLUDED_HEALTH = frozenset({HostHealth.DEAD.value, HostHealth.LEAVING.value})


@attrs.frozen
class Propagation:
    """Number of hosts counted, and names of those with an older configuration."""

    hosts: int
    lagging: tuple[str, ...]


def read_propagation(
    client: AdminClient, number: int
) -> Result[Propagation, CallFailure]:
    """Return which hosts do not yet have the configuration or a newer one in force."""
    hosts = 0
    lagging: list[str] = []
    for page in client.pages("/status", {"limit": 500}, "after"):
        if isinstance(page, Err):
            return page
        for host in page.ok_value["hosts"]:
            if host["health"] in _EXCLUDED_HEALTH:
                continue
            hosts += 1
            if host["configuration_number"] < number:
                lagging.append(host["name"])
    return Ok(Propagation(hosts, tuple(lagging)))


def wait_until_in_force(
    client: AdminClient,
    number: int,
    deadline: Deadline,
    progress: Callable[[Propagation], None],
    now: Callable[[], float],
    sleep: Callable[[float], None],
) -> Result[Propagation, CallFailure]:
    """Poll until no host lags or the deadline expires; return the last result.

    A failed poll is repeated, and returned as a failure only at the deadline.
    """
    while True:
        seen = read_propagation(client, number)
        if isinstance(seen, Ok):
            progress(seen.ok_value)
            if seen.ok_value.hosts and not seen.ok_value.lagging:
                return seen
        if deadline.expired(now()):
            return seen
        sleep(POLL_INTERVAL_SECONDS)
