"""Copies of the store that this host fetches from other hosts."""

import random
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

import attrs
from result import Err, Ok, Result

from masticfork.core.backend_servers import Address
from masticfork.core.deadlines import Deadline
from masticfork.core.digests import Digest
from masticfork.platform.objects import Listing
from masticfork.relay.loop import Loop
from masticfork.relay.mirror import decode_copy
from masticfork.store.connections import Call, ConnectionPool

COPY_PATH = "/copy.z"
COPY_TIMEOUT_SECONDS = 1.0
# Time after which a further host is asked while an attempt has not ended. A copy takes
# some 50 ms; a host that stands still never answers.
HEDGE_SECONDS = 0.25
# Attempts at a time; each is a thread.
MAX_ATTEMPTS = 3
# Pause after a copy: the changes that it lacks usually arrive by a datagram.
COPY_INTERVAL_SECONDS = 0.4
# Time for which a host that has not answered is asked only if no other one is left.
UNANSWERED_MEMORY_SECONDS = 3.0

# A copy by kind, or why there is none.
Copy = Result[dict[str, Listing], str]


class CopyFetcher(Protocol):
    """Fetches the copy of one host in the background."""

    def fetch(self, address: Address, on_fetched: Callable[[Copy], None]) -> None:
        """Begin to fetch; call back on the loop's thread."""


class ThreadedFetcher:
    """Fetches copies over HTTP, each attempt in a thread."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._executor = ThreadPoolExecutor(MAX_ATTEMPTS, "copier")

    def fetch(self, address: Address, on_fetched: Callable[[Copy], None]) -> None:
        """Begin to fetch; call back on the loop's thread."""

        def run() -> None:
            try:
                copied = _fetch_copy(address)
            except Exception as error:
                # An attempt that never ends would keep its place for good.
                copied = Err(repr(error))
            self._loop.post(lambda: on_fetched(copied))

        self._executor.submit(run)


@attrs.define
class _Attempt:
    host: str
    begun_at: float
    ended: bool = False


class StoreCopies:
    """Requests a copy from a host that knows more, and from others if it is silent."""

    def __init__(
        self,
        loop: Loop,
        zone: str,
        fetcher: CopyFetcher,
        log: Callable[..., None],
    ) -> None:
        self._loop = loop
        self._zone = zone
        self._fetcher = fetcher
        self._log = log
        # The latest attempt at each host that has not led to a copy.
        self._unanswered: dict[str, _Attempt] = {}
        self._next_attempt = Deadline(float("-inf"))

    def request(
        self,
        candidates: list[tuple[Digest, Address]],
        apply_copy: Callable[[dict[str, Listing]], None],
    ) -> None:
        """Begin an attempt unless enough are in progress.

        Prefer hosts that have not failed to answer, then those with the newest
        configuration and those of the own availability zone.
        """
        now = self._loop.now
        self._unanswered = {
            host: attempt
            for host, attempt in self._unanswered.items()
            if not attempt.ended or now - attempt.begun_at < UNANSWERED_MEMORY_SECONDS
        }
        running = {a.host for a in self._unanswered.values() if not a.ended}
        idle = [pair for pair in candidates if pair[0].host not in running]
        is_due = self._next_attempt.expired(now)
        if not idle or len(running) >= MAX_ATTEMPTS or not is_due:
            return
        random.shuffle(idle)
        chosen, address = min(idle, key=lambda pair: self._rank(pair[0]))
        attempt = self._unanswered[chosen.host] = _Attempt(chosen.host, now)
        self._next_attempt = Deadline.after(now, HEDGE_SECONDS)
        self._log(
            "store copy requested",
            peer=chosen.host,
            configuration=chosen.configuration,
            unanswered=len(self._unanswered) - 1,
        )
        self._fetcher.fetch(
            address,
            lambda copied: self._on_fetched(attempt, copied, apply_copy),
        )

    def _rank(self, digest: Digest) -> tuple[bool, int, bool]:
        # The hosts of a zone may have been lost together.
        elsewhere = digest.zone != self._zone and not self._unanswered
        return digest.host in self._unanswered, -digest.configuration, elsewhere

    def _on_fetched(
        self,
        attempt: _Attempt,
        copied: Copy,
        apply_copy: Callable[[dict[str, Listing]], None],
    ) -> None:
        attempt.ended = True
        if isinstance(copied, Err):
            self._log(
                "store copy failed",
                peer=attempt.host,
                seconds=round(self._loop.now - attempt.begun_at, 3),
                error=copied.err_value,
            )
            return
        self._unanswered.pop(attempt.host, None)
        self._next_attempt = Deadline.after(self._loop.now, COPY_INTERVAL_SECONDS)
        apply_copy(copied.ok_value)


def _fetch_copy(address: Address) -> Copy:
    pool = ConnectionPool(str(address), time.monotonic)
    deadline = Deadline.after(time.monotonic(), COPY_TIMEOUT_SECONDS)
    outcome = pool.exchange(Call("GET", COPY_PATH, deadline), fresh=True)
    pool.close()
    if isinstance(outcome, Err):
        return Err(outcome.err_value.message)
    try:
        return Ok(decode_copy(outcome.ok_value.body))
    except ValueError as error:
        return Err(str(error))
