"""Distribution of configurations between hosts.

A host that activates a configuration announces its number to its neighbours in an
immediate heartbeat. Neighbours with an older one request it from one of the hosts
that announced it, so that each host gets one copy. Every later heartbeat repeats the
number, which makes up for lost messages. A reply that the neighbour has nothing newer
confirms the active number. A host activates newer configurations only, and only if
the whole manifest passes the check.
"""

import threading
from typing import Protocol

import attrs
from result import Err, Result

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Severity, SourceLocation
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
from masticfork.systems.servers import activate

REQUEST_TIMEOUT_SECONDS = 2.0
# Fraction of `confirm_seconds` after which confirmation is requested again.
CONFIRM_INTERVAL_FRACTION = 1 / 16


class ManifestCheck(Protocol):
    """Parses and checks a whole manifest."""

    def __call__(
        self, number: int, submission_id: str, text: str, /
    ) -> Result[Configuration, Findings]:
        """Return the configuration, or all findings."""


class PeerTransport(Protocol):
    """Sends the relay's messages to neighbours."""

    def announce(self) -> None:
        """Send the active number to all neighbours at once."""

    def send_request(self, sent_request: "SentRequest") -> None:
        """Send a request to a neighbour; a reply is passed to `on_reply`."""


@attrs.frozen
class SentRequest:
    """A request sent to a neighbour for a configuration newer than the active one."""

    host: HostName
    request: ConfigurationRequest
    requested_at: float
    until: Deadline


class ConfigurationRelay:
    """Keeps the newest valid configuration active; thread-safe."""

    def __init__(
        self,
        tables: Tables,
        check: ManifestCheck,
        transport: PeerTransport,
        confirm_seconds: float,
    ) -> None:
        self._tables = tables
        self._check = check
        self._transport = transport
        self._confirm_seconds = confirm_seconds
        self._lock = threading.Lock()
        self._active: ConfigurationCopy | None = None
        # Numbers above the active one whose manifest failed the check.
        self._rejected_numbers: frozenset[int] = frozenset()
        # Active number that each neighbour last reported.
        self._neighbour_numbers: dict[HostName, int] = {}
        self._sent_request: SentRequest | None = None
        self._next_confirm = Deadline(0.0)
        # Neighbours asked since a number was last applied or confirmed.
        self._tried: set[HostName] = set()

    @property
    def number(self) -> int:
        """Return the active configuration's number, 0 if there is none."""
        copy = self._active
        return 0 if copy is None else copy.number

    def apply_from_platform(
        self, number: int, submission_id: str, text: str
    ) -> Findings:
        """Apply a configuration read from the platform, if it is newer."""
        copy = ConfigurationCopy(number, submission_id, pack_manifest(text))
        return self._apply_if_newer(copy, "platform")

    def confirmed(self, number: int, requested_at: float) -> None:
        """Record that the platform or a peer had this number when it was requested."""
        with self._lock:
            refused = number in self._rejected_numbers
            if refused or number == self.number != 0:
                self._tried.clear()
                confirm(
                    self._tables, requested_at, self._confirm_seconds, refused=refused
                )

    def on_heartbeat(self, host: HostName, number: int, now: float) -> None:
        """Record the number in a neighbour's heartbeat; send a request if due."""
        with self._lock:
            if number > self._neighbour_numbers.get(host, 0):
                self._tried.discard(host)
            self._neighbour_numbers[host] = number
        self._send_next_request(now)

    def remove_neighbour(self, host: HostName) -> None:
        """Forget a host to which the link was closed."""
        with self._lock:
            self._neighbour_numbers.pop(host, None)
            if self._sent_request is not None and self._sent_request.host == host:
                self._sent_request = None

    def answer(
        self, request: ConfigurationRequest
    ) -> ConfigurationCopy | ConfigurationNumber:
        """Return the active configuration if it is newer, else its number."""
        copy = self._active
        if copy is None or copy.number <= request.newer_than:
            return ConfigurationNumber(self.number)
        return copy

    def on_reply(self, sent_request: SentRequest, reply: Body, now: float) -> Findings:
        """Process a neighbour's reply to a request."""
        with self._lock:
            if self._sent_request == sent_request:
                self._sent_request = None
        findings: Findings = ()
        if isinstance(reply, ConfigurationCopy):
            findings = self._apply_if_newer(reply, sent_request.host)
        if isinstance(reply, ConfigurationCopy | ConfigurationNumber):
            self.confirmed(reply.number, sent_request.requested_at)
        self._send_next_request(now)
        return findings

    def run(self, tables: Tables, now: float) -> Findings:
        """Send a request if the last one timed out or confirmation is due."""
        self._send_next_request(now)
        return ()

    def _is_newer(self, number: int) -> bool:
        return number > self.number and number not in self._rejected_numbers

    def _apply_if_newer(self, copy: ConfigurationCopy, source: str) -> Findings:
        if not self._is_newer(copy.number):
            return ()
        place = SourceLocation("configuration", f"{copy.number} from {source}")
        checked = unpack_manifest(copy.manifest, place).and_then(
            lambda text: self._check(copy.number, copy.submission_id, text)
        )
        with self._lock:
            if isinstance(checked, Err):
                self._rejected_numbers |= {copy.number}
                return (*checked.err_value, _rejection(place))
            if copy.number <= self.number:
                return ()
            activate(self._tables, checked.ok_value)
            self._active = copy
            self._rejected_numbers = frozenset(
                n for n in self._rejected_numbers if n > copy.number
            )
            self._tried.clear()
        self._transport.announce()
        message = f"configuration {copy.number} applied"
        return (Finding("configuration_applied", place, message, Severity.INFO),)

    def _send_next_request(self, now: float) -> None:
        with self._lock:
            if self._sent_request is not None:
                if not self._sent_request.until.expired(now):
                    return
                self._sent_request = None
                self._next_confirm = Deadline(now)
            host = self._next_neighbour(now)
            if host is None:
                return
            self._tried.add(host)
            sent_request = SentRequest(
                host,
                ConfigurationRequest(self.number),
                now,
                Deadline.after(now, REQUEST_TIMEOUT_SECONDS),
            )
            self._sent_request = sent_request
        self._transport.send_request(sent_request)

    def _next_neighbour(self, now: float) -> HostName | None:
        """Return a neighbour with a newer number, else one to confirm it if due."""
        with_newer = {
            h: n for h, n in self._neighbour_numbers.items() if self._is_newer(n)
        }
        if with_newer:
            return self._pick_untried(with_newer)
        known = {self.number, *self._rejected_numbers} - {0}
        able_to_confirm = {
            h: n for h, n in self._neighbour_numbers.items() if n in known
        }
        if not able_to_confirm or not self._next_confirm.expired(now):
            return None
        wait = self._confirm_seconds * CONFIRM_INTERVAL_FRACTION
        self._next_confirm = Deadline.after(now, wait)
        return self._pick_untried(able_to_confirm)

    def _pick_untried(self, hosts: dict[HostName, int]) -> HostName:
        """Return the untried host with the greatest number; if none is left, of all."""
        untried = set(hosts) - self._tried
        if not untried:
            self._tried.clear()
            untried = set(hosts)
        return max(sorted(untried), key=lambda host: hosts[host])


def _rejection(place: SourceLocation) -> Finding:
    message = "configuration rejected; the active one is kept"
    return Finding("configuration_refused", place, message)
