"""Servers that fall over if they have to refuse too many requests within a second.

They say so in their responses, with the number of refusals that they bear. The slots of
such a server are then divided among the hosts. A host that needs more uses what the
others leave, by what it knows of their calls, unless the server has lately refused one.
It sends none for a while after its part of half the refusals that the server bears, and
neither do the others after that half: the rest is for calls that are on the way as a
refusal becomes known.
"""

from collections import deque
from collections.abc import Collection

import attrs

from masticfork.core.digests import BrittleReport
from masticfork.systems.rate_share import rank_hosts

# Time for which a refusal counts: longer than the second in which the server counts,
# since other hosts learn of it later.
WINDOW_SECONDS = 1.5
# Time after a refusal in which hosts use their own slots only.
CAUTION_SECONDS = 6.0
# Time after which the announcement of a server that answers no more is forgotten.
LIFETIME_SECONDS = 30.0
# Time for which the end of the state is told to other hosts.
REPORT_SECONDS = 10.0


@attrs.frozen
class _Refusals:
    """Refusals of one second that another host has reported."""

    count: int
    until: float


@attrs.define(eq=False)
class BrittleServer:
    """What one incarnation of a server has announced, and its recent refusals."""

    # Refusals within a second that the server bears, None if it bears any number.
    tolerated: int | None = None
    # Time of the response that told the above, in seconds.
    told_at: float = 0.0
    # Calls that this host may have running whatever the others do, and the number of
    # hosts that have such a part.
    own_slots: int = 0
    _hosts: int = 1
    # Time until which hosts use their own slots only.
    _cautious_until: float = float("-inf")
    _own_refusals: deque[float] = attrs.field(factory=deque)
    # By host.
    _refusals_elsewhere: dict[str, _Refusals] = attrs.field(factory=dict)

    def announce(self, tolerated: int | None, sent_at: float, told_at: float) -> bool:
        """Apply what a response tells of the server; return whether it is a change.

        The response to a request that was sent before the last announcement does not
        end the state.
        """
        if tolerated is None and (self.tolerated is None or sent_at < self.told_at):
            return False
        changed = tolerated != self.tolerated
        self.tolerated, self.told_at = tolerated, max(told_at, self.told_at)
        return changed

    def record_refusal(self, now: float) -> None:
        """Record that the server has refused a request of this host."""
        self._own_refusals.append(now)
        self._cautious_until = now + CAUTION_SECONDS

    def divide(
        self, key: int, slots: int, own_host: str, hosts: Collection[str]
    ) -> None:
        """Set the slots of this host; `hosts` are the names of all known ones."""
        if self.tolerated is None:
            return
        self._hosts = max(1, len(hosts))
        ranked = rank_hosts(key, hosts)
        share, rest = divmod(slots, self._hosts)
        self.own_slots = share + (own_host in ranked[:rest])

    def accepts_calls(
        self, own_running: int, running: int, slots: int, now: float
    ) -> bool:
        """Return whether a call may be sent; `running` are the calls of all hosts."""
        if self.tolerated is None or now - self.told_at >= LIFETIME_SECONDS:
            return True
        borne = max(1, self.tolerated // 2)
        refusals, own_refusals = self._refusals(now), self._recent_own_refusals(now)
        if refusals >= borne or own_refusals >= max(1, borne // self._hosts):
            return False
        if own_running < self.own_slots:
            return True
        # Others may take a slot at the same time.
        spare = slots - running - self._hosts // 2
        return spare > 0 and now >= self._cautious_until

    def _refusals(self, now: float) -> int:
        elsewhere = (
            r.count for r in self._refusals_elsewhere.values() if r.until > now
        )
        return self._recent_own_refusals(now) + sum(elsewhere)

    def _recent_own_refusals(self, now: float) -> int:
        while self._own_refusals and self._own_refusals[0] <= now - WINDOW_SECONDS:
            self._own_refusals.popleft()
        return len(self._own_refusals)

    def report(self, key: int, now: float) -> BrittleReport | None:
        """Return what other hosts are to know, None if there is nothing."""
        age = max(0.0, now - self.told_at)
        if self.tolerated is not None and age < LIFETIME_SECONDS:
            refusals = self._recent_own_refusals(now)
            return BrittleReport(key, self.tolerated, age, refusals)
        if self.told_at > 0.0 and age < REPORT_SECONDS:
            return BrittleReport(key, None, age, 0)
        return None

    def apply(self, report: BrittleReport, host: str, now: float) -> bool:
        """Apply what another host knows; return whether it is a change."""
        told_at = now - report.age
        if report.refusals:
            until = now + WINDOW_SECONDS
            self._refusals_elsewhere[host] = _Refusals(report.refusals, until)
            self._cautious_until = now + CAUTION_SECONDS
        else:
            self._refusals_elsewhere.pop(host, None)
        if told_at <= self.told_at:
            return False
        return self.announce(report.tolerated, told_at, told_at)
