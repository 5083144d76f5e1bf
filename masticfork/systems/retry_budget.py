"""Bounds how many calls to a service repeat an earlier one."""

from collections import deque
from typing import Protocol

import attrs

# Width in seconds of the steps in which calls are counted.
STEP = 0.25
# Part of the bound that is used; the rest covers hosts that count in other windows.
USED_PART = 0.85


class RepeatPolicy(Protocol):
    """Decides whether one more call of a request may be sent."""

    def first(self, service: str, now: float) -> None:
        """Count the first call of a request."""

    def again(self, service: str, now: float, reserve: float) -> bool:
        """Tell whether a request may be sent once more; count it if so.

        `reserve` is the part of the bound that is left to more urgent repeats.
        """


@attrs.define
class _Count:
    """Calls within the window."""

    steps: deque[tuple[int, int]] = attrs.field(factory=deque)
    total: int = 0

    def add(self, now: float) -> None:
        """Count one call."""
        step = int(now / STEP)
        if self.steps and self.steps[-1][0] == step:
            self.steps[-1] = (step, self.steps[-1][1] + 1)
        else:
            self.steps.append((step, 1))
        self.total += 1

    def within(self, now: float, window: float) -> int:
        """Return the calls within the window before `now`."""
        oldest = int((now - window) / STEP)
        while self.steps and self.steps[0][0] < oldest:
            self.total -= self.steps.popleft()[1]
        return self.total


class WindowedRepeats:
    """Keeps repeats within a share of the requests plus this host's part of a slack."""

    def __init__(self, share: float, slack: float, window: float) -> None:
        self._share = share
        self._slack = slack
        self._window = window
        # Hosts that share the slack.
        self.hosts = 1
        self._firsts: dict[str, _Count] = {}
        self._repeats: dict[str, _Count] = {}

    def first(self, service: str, now: float) -> None:
        """Count the first call of a request."""
        self._firsts.setdefault(service, _Count()).add(now)

    def again(self, service: str, now: float, reserve: float) -> bool:
        """Tell whether a request may be sent once more; count it if so."""
        firsts = self._firsts.setdefault(service, _Count()).within(now, self._window)
        repeats = self._repeats.setdefault(service, _Count())
        bound = self._share * firsts + self._slack / max(1, self.hosts)
        if repeats.within(now, self._window) + 1 > bound * USED_PART * (1.0 - reserve):
            return False
        repeats.add(now)
        return True


class UnboundedRepeats:
    """Allows every repeat; the baseline."""

    def first(self, service: str, now: float) -> None:
        """Count nothing."""

    def again(self, service: str, now: float, reserve: float) -> bool:
        """Allow it."""
        return True
