"""Schedule of dial attempts, with exponential backoff and jitter."""

import random
from collections.abc import Iterable

import attrs

from masticfork.core.deadlines import Deadline

BASE_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 15.0


@attrs.frozen
class _Target:
    next_dial: Deadline
    failures: int = 0
    dialling: bool = False


class DialSchedule:
    """Tracks dial attempts and the earliest time of the next one, per address."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._targets: dict[str, _Target] = {}

    def due(self, wanted: Iterable[str], now: float) -> tuple[str, ...]:
        """Return the wanted addresses that are due, and mark them as being dialled."""
        wanted = set(wanted)
        for address in set(self._targets) - wanted:
            if not self._targets[address].dialling:
                del self._targets[address]
        due = []
        for address in sorted(wanted):
            target = self._targets.get(address, _Target(Deadline(now)))
            if not target.dialling and target.next_dial.expired(now):
                self._targets[address] = attrs.evolve(target, dialling=True)
                due.append(address)
        return tuple(due)

    def failed(self, address: str, now: float) -> None:
        """Schedule the next attempt; the wait grows with each consecutive failure."""
        failures = self._targets[address].failures + 1
        backoff = BASE_RETRY_SECONDS * 2.0 ** min(failures, 10)
        wait = min(MAX_RETRY_SECONDS, backoff) * self._rng.uniform(0.5, 1.0)
        self._targets[address] = _Target(Deadline.after(now, wait), failures)

    def succeeded(self, address: str, now: float) -> None:
        """Reset the backoff; a link that breaks is dialled again after a short wait."""
        wait = BASE_RETRY_SECONDS * self._rng.uniform(0.5, 1.0)
        self._targets[address] = _Target(Deadline.after(now, wait))
