"""Spread configurations between hosts: newer ones only, whole, after checking.

A host that puts a new number in force announces it to its neighbours once, by a
heartbeat at once; those that are behind ask one announcer for it, so that each
host gets one copy. Every later heartbeat tells the number again, which makes up for
anything lost. The same question, answered by "nothing newer", confirms the number.
"""

import threading
from typing import Protocol

import attrs
from result import Err, Result

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Place, Severity
from masticfork.core.ids import HostName
from masticfork.core.tables import Tables
from masticfork.peers.manifest_copy import pack_manifest, unpack_manifest
from masticfork.peers.messages import (
    Body,
    ConfigurationCopy,
    ConfigurationNumber,
    ConfigurationRequest,
)
from masticfork.systems.confirmation import confirm
from masticfork.systems.servers import put_in_force

ASK_SECONDS = 2.0
# The part of the time to the end of confirmation after which a peer is asked.
CONFIRM_SHARE = 1 / 16


class Check(Protocol):
    """Parses and checks a manifest as a whole."""

    def __call__(
        self, number: int, submission_id: str, text: str, /
    ) -> Result[Configuration, Findings]:
        """Return the configuration, or every finding."""


class Courier(Protocol):
    """Carries what the relay has to say."""

    def announce(self) -> None:
        """Tell all neighbours the number in force now."""

    def ask(self, question: "Question") -> None:
        """Ask a neighbour; its reply goes to `replied`, if one comes."""


@attrs.frozen
class Question:
    """A request to a neighbour for what is newer than the number in force."""

    host: HostName
    request: ConfigurationRequest
    asked_at: float
    until: Deadline


class ConfigurationRelay:
    """Keeps the newest configuration in force, safe to use from all threads."""

    def __init__(
        self, tables: Tables, check: Check, courier: Courier, confirm_seconds: float
    ) -> None:
        self._tables = tables
        self._check = check
        self._courier = courier
        self._confirm_seconds = confirm_seconds
        self._lock = threading.Lock()
        self._copy: ConfigurationCopy | None = None
        # Newer numbers whose manifest did not pass the check.
        self._refused: frozenset[int] = frozenset()
        # What each neighbour last told to be in force.
        self._numbers: dict[HostName, int] = {}
        self._question: Question | None = None
        self._next_confirm = Deadline(0.0)
        # Neighbours that were asked since one last gave an answer of use.
        self._tried: set[HostName] = set()

    @property
    def number(self) -> int:
        """Return the number in force, 0 where there is none."""
        copy = self._copy
        return 0 if copy is None else copy.number

    def offer(self, number: int, submission_id: str, text: str) -> Findings:
        """Take in what the platform holds."""
        copy = ConfigurationCopy(number, submission_id, pack_manifest(text))
        return self._take(copy, "platform")

    def confirmed(self, number: int, asked_at: float) -> None:
        """Take in that the platform or a peer held that number when asked."""
        with self._lock:
            refused = number in self._refused
            if refused or number == self.number != 0:
                self._tried.clear()
                confirm(self._tables, asked_at, self._confirm_seconds, refused=refused)

    def heard(self, host: HostName, number: int, now: float) -> None:
        """Take in the number that a neighbour's heartbeat tells."""
        with self._lock:
            if number > self._numbers.get(host, 0):
                self._tried.discard(host)
            self._numbers[host] = number
        self._ask_next(now)

    def forget(self, host: HostName) -> None:
        """Take in that a host is no neighbour any more."""
        with self._lock:
            self._numbers.pop(host, None)
            if self._question is not None and self._question.host == host:
                self._question = None

    def answer(
        self, request: ConfigurationRequest
    ) -> ConfigurationCopy | ConfigurationNumber:
        """Return the configuration where it is newer, else its number."""
        copy = self._copy
        if copy is None or copy.number <= request.newer_than:
            return ConfigurationNumber(self.number)
        return copy

    def replied(self, question: Question, reply: Body, now: float) -> Findings:
        """Take in a neighbour's reply to a question."""
        with self._lock:
            if self._question == question:
                self._question = None
        findings: Findings = ()
        if isinstance(reply, ConfigurationCopy):
            findings = self._take(reply, question.host)
        if isinstance(reply, ConfigurationCopy | ConfigurationNumber):
            self.confirmed(reply.number, question.asked_at)
        self._ask_next(now)
        return findings

    def run(self, tables: Tables, now: float) -> Findings:
        """Ask again where an answer did not come or confirmation is due."""
        self._ask_next(now)
        return ()

    def _is_news(self, number: int) -> bool:
        return number > self.number and number not in self._refused

    def _take(self, copy: ConfigurationCopy, source: str) -> Findings:
        if not self._is_news(copy.number):
            return ()
        place = Place("configuration", f"{copy.number} from {source}")
        checked = unpack_manifest(copy.manifest, place).and_then(
            lambda text: self._check(copy.number, copy.submission_id, text)
        )
        with self._lock:
            if isinstance(checked, Err):
                self._refused |= {copy.number}
                return (*checked.err_value, _refusal(place))
            if copy.number <= self.number:
                return ()
            put_in_force(self._tables, checked.ok_value)
            self._copy = copy
            self._refused = frozenset(n for n in self._refused if n > copy.number)
            self._tried.clear()
        self._courier.announce()
        message = f"configuration {copy.number} is in force"
        return (Finding("configuration_applied", place, message, Severity.INFO),)

    def _ask_next(self, now: float) -> None:
        with self._lock:
            if self._question is not None:
                if not self._question.until.expired(now):
                    return
                self._question = None
                self._next_confirm = Deadline(now)
            host = self._whom(now)
            if host is None:
                return
            self._tried.add(host)
            question = Question(
                host,
                ConfigurationRequest(self.number),
                now,
                Deadline.after(now, ASK_SECONDS),
            )
            self._question = question
        self._courier.ask(question)

    def _whom(self, now: float) -> HostName | None:
        """Choose a neighbour that is ahead, else one that can confirm if it is due."""
        ahead = {h: n for h, n in self._numbers.items() if self._is_news(n)}
        if ahead:
            return self._untried(ahead)
        known = {self.number, *self._refused} - {0}
        able = {h: n for h, n in self._numbers.items() if n in known}
        if not able or not self._next_confirm.expired(now):
            return None
        wait = self._confirm_seconds * CONFIRM_SHARE
        self._next_confirm = Deadline.after(now, wait)
        return self._untried(able)

    def _untried(self, hosts: dict[HostName, int]) -> HostName:
        """Return the host with the greatest number among those not tried yet."""
        untried = set(hosts) - self._tried
        if not untried:
            self._tried.clear()
            untried = set(hosts)
        return max(sorted(untried), key=lambda host: hosts[host])


def _refusal(place: Place) -> Finding:
    message = "configuration is not applied; the one in force stays"
    return Finding("configuration_refused", place, message)
