"""The operator's orders to evacuate availability zones, as this host has read them."""

from collections.abc import Callable, Set

from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.tables import RESTORED_ORDER_GRACE_SECONDS
from masticfork.systems.evacuations import Evacuations, ZoneChange


class ZoneEvacuations:
    """Applies orders from the store and from peers, and reports each change."""

    def __init__(
        self,
        loop: Loop,
        evacuations: Evacuations,
        metrics: RelayMetrics,
        on_change: Callable[[ZoneChange], None],
        log: Callable[..., None],
    ) -> None:
        self._loop = loop
        self._evacuations = evacuations
        self._metrics = metrics
        self._on_change = on_change
        self._log = log

    def begin(self, zone: str, source: str) -> None:
        """Send no more requests to the servers of a zone."""
        if self._evacuations.begin(zone):
            self._report([ZoneChange(zone, True)], source)

    def end(self, zone: str, source: str) -> None:
        """Take a zone back."""
        if self._evacuations.end(zone):
            self._report([ZoneChange(zone, False)], source)

    def replace(self, zones: Set[str], source: str, restored: bool = False) -> None:
        """Replace all orders by a listing.

        If the store was `restored` from an older copy, missing orders stay for the time
        within which the operator writes them again.
        """
        if not restored:
            self._report(self._evacuations.replace(zones), source)
            return
        self._evacuations.keep_unlisted(zones)
        for zone in sorted(zones):
            self.begin(zone, source)
        self._loop.call_after(
            RESTORED_ORDER_GRACE_SECONDS,
            lambda: self._report(self._evacuations.end_unlisted(), source),
        )

    def assume_none(self) -> None:
        """Do without the store's list, as a peer that serves requests does."""
        if not self._evacuations.known:
            self._evacuations.known = True
            self._log("evacuations unknown to peer")

    def _report(self, changes: list[ZoneChange], source: str) -> None:
        for change in changes:
            self._log(
                "zone evacuated" if change.evacuated else "zone taken back",
                zone=change.zone,
                source=source,
                evacuated=sorted(self._evacuations.zones),
            )
            self._on_change(change)
        self._metrics.evacuated_zones.set(len(self._evacuations.zones))
