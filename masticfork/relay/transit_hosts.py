"""The other hosts through which a host that reaches no server calls servers."""

import random
from collections import Counter

import attrs

from masticfork.core.backend_servers import Address
from masticfork.relay.loop import Loop
from masticfork.relay.peers import Peers
from masticfork.systems.homes import ZoneRegions

# Age of a digest beyond which its host is not called.
MAX_DIGEST_AGE_SECONDS = 1.5
# Time for which a host is avoided after a call through it has failed.
AVOID_SECONDS = 1.0


@attrs.frozen
class TransitHost:
    """Another host that connects this one to servers."""

    name: str
    address: Address
    zone: str = ""


@attrs.define(eq=False)
class TransitHosts:
    """Chooses the host for each call: the one with the fewest calls of this host."""

    _loop: Loop
    _peers: Peers
    _zones: ZoneRegions
    _calls: Counter[str] = attrs.field(factory=Counter)
    _avoided_until: dict[str, float] = attrs.field(factory=dict)

    @property
    def available(self) -> bool:
        """Return whether any host can be chosen."""
        return bool(self._candidates())

    def choose(self, regions: frozenset[str] | None = None) -> TransitHost | None:
        """Return the host for a call, None if none reaches servers.

        The request may pass through hosts in the given regions only.
        """
        candidates = [
            host
            for host in self._candidates()
            if self._zones.permits(host.zone, regions)
        ]
        random.shuffle(candidates)
        return min(candidates, key=lambda host: self._calls[host.name], default=None)

    def begin_call(self, host: str) -> None:
        """Count a call through a host."""
        self._calls[host] += 1

    def end_call(self, host: str) -> None:
        """Count the end of a call through a host."""
        self._calls[host] -= 1
        if not self._calls[host]:
            del self._calls[host]

    def record_failure(self, host: str) -> None:
        """Avoid a host for some time."""
        self._avoided_until[host] = self._loop.now + AVOID_SECONDS

    def _candidates(self) -> list[TransitHost]:
        now = self._loop.now
        self._avoided_until = {
            host: until for host, until in self._avoided_until.items() if until > now
        }
        hosts = []
        for digest in self._peers.recent_digests(MAX_DIGEST_AGE_SECONDS):
            address = self._peers.address_of(digest.host)
            if digest.cut_off or not digest.transit_port or address is None:
                continue
            if digest.host not in self._avoided_until:
                transit_address = Address(address.host, digest.transit_port)
                hosts.append(TransitHost(digest.host, transit_address, digest.zone))
        return hosts
