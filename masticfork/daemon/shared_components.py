"""Components that the control and serving components of a daemon share."""

import random
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from masticfork.core.events import EventLog
from masticfork.core.ids import HostName, ZoneName
from masticfork.core.tables import SelfRow, Tables
from masticfork.daemon.metrics import Metrics
from masticfork.settings.settings import Settings
from masticfork.store.client import CallCounter, ObjectStore
from masticfork.store.embedded import EmbeddedStore
from masticfork.store.http import HttpObjectStore
from masticfork.store.ratings import RatingClient
from masticfork.systems.placement import InFlight
from masticfork.systems.rollout_usage import RolloutUsage

BACKGROUND_THREADS = 16


class SharedComponents:
    """Tables, clock, platform clients, background threads, metrics and counters."""

    def __init__(
        self, settings: Settings, now: Callable[[], float], rng: random.Random
    ) -> None:
        self.settings = settings
        self.now = now
        self.rng = rng
        me = SelfRow(HostName(settings.host), ZoneName(settings.zone))
        self.tables = Tables(me)
        self.metrics = Metrics()
        self.event_log = EventLog()
        self.calls = CallCounter()
        self.store = _make_store(settings, self.calls, now)
        self.ratings = _make_ratings(settings, now)
        self.background = ThreadPoolExecutor(BACKGROUND_THREADS, "background")
        self.in_flight = InFlight()
        self.usage = RolloutUsage(me.host)

    @property
    def advertised_address(self) -> str:
        """Return the address (`HOST:PORT`) on which other hosts reach this one."""
        peer = self.settings.peer
        return peer.advertise or f"{peer.host}:{peer.port}"


def _make_store(
    settings: Settings, calls: CallCounter, now: Callable[[], float]
) -> ObjectStore:
    url = settings.platform.url
    if url is None:
        return EmbeddedStore(now, calls)
    return HttpObjectStore(url.removeprefix("http://"), now, calls)


def _make_ratings(settings: Settings, now: Callable[[], float]) -> RatingClient | None:
    if settings.rating_url is None:
        return None
    return RatingClient(settings.rating_url.removeprefix("http://"), now)
