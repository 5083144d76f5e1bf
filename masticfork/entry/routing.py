"""Choose version and server for a request, and check it before dispatch."""

import random
import threading
from collections.abc import Callable
from typing import Protocol

import attrs
from result import Err, Ok, Result

from masticfork.backends.failures import CallFailure
from masticfork.core.calls import ChatCall
from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.events import Candidate
from masticfork.core.ids import ServerName, VersionId
from masticfork.core.manifest import BackendServer, Team, WorkClass
from masticfork.core.refusals import Reason, Refusal
from masticfork.core.tables import Tables
from masticfork.systems.confirmation import ConfirmationState, confirmation_state
from masticfork.systems.eligibility import check_dispatch
from masticfork.systems.outcomes import CallResults, outcome_of
from masticfork.systems.placement import (
    ChoiceInputs,
    InFlight,
    ServerChooser,
    available,
)
from masticfork.systems.pool_capacity import pool_key
from masticfork.systems.prefixes import NO_PROMPT, Prompt
from masticfork.systems.retries import RetryPolicy
from masticfork.systems.sessions import Session

# Retry-After for callers while no server accepts work.
NO_SERVER_RETRY_SECONDS = 2.0

PRIORITIES = {
    WorkClass.LOOKUP: 0,
    WorkClass.RESERVATION: 1,
    WorkClass.DRAFTING: 2,
}


@attrs.frozen
class VersionChoice:
    """The version chosen for a request, and the session that is pinned to it."""

    session: Session
    session_token: str
    version: VersionId
    reason: str
    moved_from: VersionId | None = None
    candidates: tuple[Candidate, ...] = ()


class VersionPolicy(Protocol):
    """Chooses the version for a chat request."""

    def choose_version(
        self, configuration: Configuration, call: ChatCall, now: float
    ) -> Result[VersionChoice, Refusal]:
        """Return the chosen version, or a refusal if none may be used."""


class Router:
    """Makes routing decisions from the tables of this host."""

    def __init__(
        self,
        tables: Tables,
        policy: VersionPolicy,
        chooser: ServerChooser,
        in_flight: InFlight,
        retries: RetryPolicy,
        call_ends: tuple[CallResults, ...],
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._policy = policy
        self._chooser = chooser
        self._call_ends = call_ends
        self._rng = rng
        self._rng_lock = threading.Lock()
        self._now = now
        self.in_flight = in_flight
        self.retries = retries

    def record_outcome(
        self, server: BackendServer, failure: CallFailure | None
    ) -> None:
        """Report a call's outcome to the systems that assess server health."""
        outcome = outcome_of(failure)
        if outcome is None:
            return
        for call_ends in self._call_ends:
            call_ends.add(server.name, outcome, self._now())

    def choose_version(self, call: ChatCall) -> Result[VersionChoice, Refusal]:
        """Choose the version for a chat request."""
        configuration = self._tables.configuration
        if configuration is None:
            return Err(
                Refusal(Reason.NO_CONFIGURATION, "this host has no configuration yet")
            )
        return self._policy.choose_version(configuration, call, self._now())

    def retry_budget(self, choice: VersionChoice) -> str:
        """Return the name of the retry budget of the version's pool."""
        configuration = self._tables.configuration
        versions = configuration.versions if configuration else {}
        version = versions.get(choice.version)
        return pool_key(version.pool if version else "")

    def choose_engine(
        self,
        team: Team,
        choice: VersionChoice,
        tried: frozenset[ServerName],
        prompt: Prompt = NO_PROMPT,
    ) -> Result[BackendServer, Refusal]:
        """Choose an engine of the version's pool that passes the dispatch check."""
        configuration = self._tables.configuration
        version = configuration.versions.get(choice.version) if configuration else None
        if configuration is None or version is None:
            return Err(
                Refusal(
                    Reason.MODEL_NOT_ALLOWED,
                    "the version is no longer in the configuration",
                )
            )
        servers = configuration.pools[version.pool].servers
        chosen = self.choose_server(servers, tried, prompt)
        if isinstance(chosen, Err):
            return chosen
        checked = self.check_eligible(team, choice, chosen.ok_value)
        return checked.and_then(lambda _: chosen)

    def pool_engines(self, version: VersionId) -> tuple[BackendServer, ...]:
        """Return all engines of the version's pool, available or not."""
        configuration = self._tables.configuration
        declared = configuration.versions.get(version) if configuration else None
        if configuration is None or declared is None:
            return ()
        return configuration.pools[declared.pool].servers

    def check_eligible(
        self, team: Team, choice: VersionChoice, server: BackendServer
    ) -> Result[None, Refusal]:
        """Check that the dispatch is still allowed, right before the first byte."""
        return check_dispatch(
            self._tables,
            team.name,
            choice.session,
            choice.version,
            server.name,
            self._now(),
        )

    def choose_server(
        self,
        servers: tuple[BackendServer, ...],
        tried: frozenset[ServerName],
        prompt: Prompt = NO_PROMPT,
    ) -> Result[BackendServer, Refusal]:
        """Choose one of the servers that accept new work and were not tried yet."""
        now = self._now()
        if confirmation_state(self._tables, now) is ConfirmationState.STALE:
            return Err(_stale_refusal(now))
        available_servers = available(self._tables, servers, tried, now)
        if not available_servers:
            retry_at = Deadline.after(now, NO_SERVER_RETRY_SECONDS)
            refusal = Refusal(
                Reason.NO_SERVER, "no backend server accepts work", retry_at=retry_at
            )
            return Err(refusal)
        with self._rng_lock:
            choice = ChoiceInputs(self._tables, available_servers, prompt, self._rng)
            return Ok(self._chooser.choose(choice))


def _stale_refusal(now: float) -> Refusal:
    retry_at = Deadline.after(now, NO_SERVER_RETRY_SECONDS)
    message = "the configuration was not confirmed in time"
    return Refusal(Reason.CONFIGURATION_STALE, message, retry_at=retry_at)
